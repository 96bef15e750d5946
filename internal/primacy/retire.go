package primacy

import (
	"context"
	"sync"
	"time"
)

// noPromoter is the promoter of a record whose promoter gave it up.
const noPromoter = ""

// handOverTimeout bounds the write by which a promoter gives up a record.
const handOverTimeout = 300 * time.Millisecond

// retirement keeps an instance that shuts down from starting replacements, and
// counts those in progress. The zero value is ready for use.
type retirement struct {
	mu      sync.Mutex
	retired bool
	idle    chan struct{} // closed when the instance has retired and no replacement is in progress
	cancels map[int]context.CancelFunc
	next    int
}

// begin registers a replacement. It reports false if the instance has retired. end
// must be called when the replacement has ended.
func (r *retirement) begin(ctx context.Context) (_ context.Context, end func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retired {
		return ctx, nil, false
	}
	if r.cancels == nil {
		r.cancels = make(map[int]context.CancelFunc)
	}
	ctx, cancel := context.WithCancel(ctx)
	r.next++
	id := r.next
	r.cancels[id] = cancel
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, id)
		r.signalIdle()
	}, true
}

// signalIdle closes idle if the instance has retired and no replacement is in
// progress. r.mu is held.
func (r *retirement) signalIdle() {
	if r.retired && len(r.cancels) == 0 {
		close(r.idle)
	}
}

func (r *retirement) started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retired
}

// retire stops new replacements and returns a channel that is closed when those in
// progress have ended.
func (r *retirement) retire() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retired {
		r.retired, r.idle = true, make(chan struct{})
		r.signalIdle()
	}
	return r.idle
}

// abort cancels the replacements in progress.
func (r *retirement) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel()
	}
}

// Retire makes the instance start no more replacements, and waits until those in
// progress have ended. If ctx ends first, it gives them up, so that another instance
// takes them over at once instead of after takeoverTimeout.
func (r *Runner) Retire(ctx context.Context) {
	idle := r.retirement.retire()
	select {
	case <-idle:
		return
	case <-ctx.Done():
	}
	r.retirement.abort()
	t := time.NewTimer(2 * handOverTimeout)
	defer t.Stop()
	select {
	case <-idle:
	case <-t.C:
		r.log.Warn().Msg("A replacement could not be given up. Another instance takes it over after a time-out.")
	}
}

// handOver gives up the record of a service whose replacement this instance has
// aborted. An accepted promotion may still take effect; the successor looks for a
// database that leads already.
func (r *Runner) handOver(service string) {
	rec, _, ok := r.cfg.Cache.Record(service)
	if !ok || rec.Phase != Replacing || rec.Promoter != r.incarnation() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	rec.Promoter = noPromoter
	done, err := r.cfg.Store.UpdateRecord(ctx, rec.Revision.Era, rec)
	if err != nil {
		r.log.Warn().Str("service", service).Uint64("token", rec.Token).Err(err).Msg("Giving up the record of a service failed.")
		return
	}
	r.applyRecord(done, "given up by this instance")
}
