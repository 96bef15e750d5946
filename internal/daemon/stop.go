package daemon

import (
	"context"
	"errors"
	"time"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/telemetry"
)

// setReady makes /readyz report ready unless the instance is draining.
func (d *Daemon) setReady() {
	d.readyMu.Lock()
	defer d.readyMu.Unlock()
	if !d.draining.Load() {
		d.health.SetReady()
	}
}

func (d *Daemon) setDraining() {
	d.readyMu.Lock()
	defer d.readyMu.Unlock()
	d.draining.Store(true)
	d.health.SetNotReady("draining")
}

// waitStop stops the instance when ctx ends or after a graceful shutdown.
func (d *Daemon) waitStop(ctx context.Context, cancel context.CancelFunc) error {
	defer func() {
		cancel()
		_ = d.inner.Close()
		stop, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		d.health.Close(stop)
	}()
	select {
	case <-ctx.Done():
		return nil
	case <-d.drainRequested:
	}
	return d.drain(ctx)
}

// peerIdlePeriod is the time without calls from peers after which a draining
// instance closes its listener. It exceeds the time in which peers retry a refused
// request.
const peerIdlePeriod = 300 * time.Millisecond

// drain completes the work in flight. It notifies peers first, so that they send
// new work to other instances meanwhile.
func (d *Daemon) drain(ctx context.Context) error {
	start := time.Now()
	d.setDraining()
	d.events.Record(events.Event{Kind: events.KindDrain, Text: "graceful shutdown started"})
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DrainTimeout.Std())
	defer cancel()
	d.members.Leave(ctx)
	err := d.entry.Drain(ctx)
	err = errors.Join(err, d.pool.Drain(ctx), d.inner.WaitIdle(ctx, peerIdlePeriod), d.inner.Shutdown(ctx))
	d.log.Info().Str("part", telemetry.PartDaemon).Dur("took", time.Since(start)).Err(err).Msg("Graceful shutdown is complete.")
	return nil
}
