package daemon

import (
	"context"
	"errors"
	"time"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/telemetry"
)

// setReady lets callers come, unless the instance is stopping already.
func (d *Daemon) setReady() {
	d.readiness.Lock()
	defer d.readiness.Unlock()
	if !d.draining.Load() {
		d.health.SetReady()
	}
}

func (d *Daemon) setDraining() {
	d.readiness.Lock()
	defer d.readiness.Unlock()
	d.draining.Store(true)
	d.health.SetNotReady("draining")
}

// awaitStop ends the instance when ctx ends or after a drain.
func (d *Daemon) awaitStop(ctx context.Context, cancel context.CancelFunc) error {
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
	case <-d.drainReq:
	}
	return d.drain(ctx)
}

// quietPeriod is the time without work from peers after which a draining
// instance closes its listener. Peers retry a refused request within it.
const quietPeriod = 300 * time.Millisecond

// drain finishes what is in flight. Peers learn first, so that new work goes
// elsewhere while the old work ends.
func (d *Daemon) drain(ctx context.Context) error {
	start := time.Now()
	d.setDraining()
	d.events.Record(events.Event{Kind: events.KindDrain, Text: "graceful shutdown started"})
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DrainTimeout.Std())
	defer cancel()
	d.members.Leave(ctx)
	err := d.entry.Drain(ctx)
	err = errors.Join(err, d.pool.Drain(ctx), d.inner.WaitIdle(ctx, quietPeriod), d.inner.Shutdown(ctx))
	d.log.Info().Str("part", telemetry.PartDaemon).Dur("took", time.Since(start)).Err(err).Msg("Graceful shutdown is complete.")
	return nil
}
