package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/outcome"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// sqlStateReadOnly is the error of a replica that receives a write.
const sqlStateReadOnly = "25006"

// finishReplicaRead checks the answer of a database that was not primary before
// and after the batch, so that nothing took effect.
func (e *execution) finishReplicaRead(a backend.Answer, failure error) error {
	e.outcome.MarkDone(outcome.EffectNone)
	switch {
	case failure != nil:
		return failure
	case a.StatusBefore.Role != backend.RoleReplica:
		return result.Errorf(result.DatabaseDown, "database %s is %s and follows no primary", e.db.info.Name, a.StatusBefore.Role)
	case e.req.GetVerify():
		return result.Errorf(result.Unverified, "database %s is a replica: a read with an unknown floor requires the primary", e.db.info.Name)
	case a.SQLState == sqlStateReadOnly:
		return result.Errorf(result.NotPrimary, "database %s is a replica and refused a write", e.db.info.Name)
	}
	if err := e.checkFloor(a.StatusBefore); err != nil {
		return err
	}
	if e.req.GetBound() == wire.ReadBound_READ_BOUND_AGE && !e.db.history.provesAge(e.sentAt, e.now(), e.maxAge(), a.StatusBefore) {
		if !e.req.GetMarkStale() {
			return result.Errorf(result.TooOld, "cannot prove that the data on database %s is at most %v old", e.db.info.Name, e.maxAge())
		}
		e.resp.Stale = true
		e.pool().record(events.Event{
			Kind: events.KindStaleRead, Request: e.req.GetRequestId(), Group: e.db.group, Database: e.db.info.Name,
			Class: e.className(), Code: result.StaleAnswer, Text: "answered and marked as stale: the age of the data could not be proved",
		})
	}
	e.setAnswer(a, false)
	return nil
}

const (
	// maxSamples limits the position history. At the shortest sampling interval it
	// covers 12.8 s; a longer max_age is proved with the samples that are left.
	maxSamples = 512
	// samplesPerAge is the number of samples within the shortest requested
	// max_age. The proof is stricter than max_age by up to one sampling interval.
	samplesPerAge = 8
	// samplingIdleTimeout is how long sampling continues after the last read with
	// an age bound.
	samplingIdleTimeout = 10 * time.Second
	// maxAgeProofGroup is the size of the largest group in which the primary and
	// one replica are a majority.
	maxAgeProofGroup = 3
)

// Limits of the sampling interval.
const (
	minSampleInterval = 25 * time.Millisecond
	maxSampleInterval = 500 * time.Millisecond
)

// sample is a log position of the primary that was read after begin.
type sample struct {
	begin    time.Time
	term     uint64
	position backend.Position
}

// positionHistory holds log positions that the group's primary reported. It proves
// the age of data read from a replica, and samples the primary only while there
// are reads with an age bound.
type positionHistory struct {
	db *ownedDatabase

	mu            sync.Mutex
	samples       []sample // ordered by begin
	lastRequested time.Time
	minMaxAge     time.Duration
	sampling      bool
	firstSample   chan struct{} // closed after the first sample since sampling started
}

func newPositionHistory(d *ownedDatabase) *positionHistory { return &positionHistory{db: d} }

// ensureSampling starts sampling if necessary. It waits for the first sample after
// the start.
func (h *positionHistory) ensureSampling(ctx context.Context, maxAge time.Duration) {
	now := h.db.pool.cfg.Clock.Now()
	h.mu.Lock()
	h.lastRequested = now
	if !h.sampling {
		h.minMaxAge = maxAge
		h.firstSample = make(chan struct{})
		h.sampling = h.db.spawn(h.sampleLoop)
	}
	h.minMaxAge = min(h.minMaxAge, maxAge)
	firstSample, sampling := h.firstSample, h.sampling
	h.mu.Unlock()
	if !sampling {
		return
	}
	select {
	case <-firstSample:
	case <-ctx.Done():
	}
}

func (h *positionHistory) sampleLoop() {
	first := true
	for {
		h.sample()
		h.mu.Lock()
		if first {
			close(h.firstSample)
			first = false
		}
		now := h.db.pool.cfg.Clock.Now()
		if now.Sub(h.lastRequested) > samplingIdleTimeout || h.db.ctx.Err() != nil {
			h.sampling = false
			h.mu.Unlock()
			return
		}
		interval := min(max(h.minMaxAge/samplesPerAge, minSampleInterval), maxSampleInterval)
		h.mu.Unlock()
		h.db.sleep(interval)
	}
}

// sample reads the primary's position through its owner.
func (h *positionHistory) sample() {
	g, ok := h.db.pool.cfg.Directory.Group(h.db.group)
	if !ok {
		return
	}
	for _, p := range *h.db.peers.Load() {
		if p.name != g.Primary {
			continue
		}
		begin := h.db.pool.cfg.Clock.Now()
		s, ok, _ := h.db.peerStatus(h.db.ctx, p, backend.Position{})
		if ok && s.Role == backend.RolePrimary {
			h.add(sample{begin: begin, term: s.Term, position: s.Last})
		}
	}
}

func (h *positionHistory) add(s sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == maxSamples {
		h.samples = slices.Delete(h.samples, 0, maxSamples/4)
	}
	h.samples = append(h.samples, s)
}

// provesAge reports whether data read from a replica with the given status is at
// most maxAge old at now. This is proved if the replica had reached a position that
// the primary reported to a call that began within maxAge and before the read. Both
// databases were at the same term after the call began, so no primary of a higher
// term had acknowledged a write before.
func (h *positionHistory) provesAge(readStart, now time.Time, maxAge time.Duration, s backend.Status) bool {
	if len(*h.db.peers.Load())+1 > maxAgeProofGroup {
		return false
	}
	oldest := now.Add(-maxAge)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.samples {
		if p.begin.Before(oldest) || p.begin.After(readStart) {
			continue
		}
		if p.term == s.Term && s.Last.Compare(p.position) >= 0 {
			return true
		}
	}
	return false
}
