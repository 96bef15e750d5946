package primacy

import (
	"slices"
	"sync"
	"time"
)

// validityMargin is what a promoter waits beyond the validity of an instance's
// knowledge. Clocks of machines may run at slightly different rates. An answer
// that arrives later is not passed on, so requests under way need no margin.
const validityMargin = 100 * time.Millisecond

// Primary names the database that leads a service.
type Primary struct {
	ID    string
	Term  uint64
	Token uint64
}

type cachedRecord struct {
	record       Record
	confirmedAt  time.Duration // when the last question that showed the record was sent
	invalidToken uint64        // token for which a database showed that it is being replaced
}

// RecordCache is what an instance knows of the records. It is safe for concurrent
// use.
type RecordCache struct {
	now      func() time.Duration // counts suspension
	validity time.Duration

	mu           sync.Mutex
	entries      map[string]*cachedRecord
	incarnation  string
	registeredAt time.Duration // since when promoters know the incarnation
	changed      chan struct{}
}

// NewRecordCache returns beliefs that hold nothing. now must count suspension.
// validity is how long knowledge of a record may be used, counted from when the
// question was sent; it must be the one in the instance's registration.
func NewRecordCache(incarnation string, validity time.Duration, now func() time.Duration) *RecordCache {
	return &RecordCache{
		now: now, validity: validity, entries: make(map[string]*cachedRecord), incarnation: incarnation, changed: make(chan struct{}),
	}
}

// Update takes a record and reports whether it is newer than the known one.
func (b *RecordCache) Update(r Record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.update(r)
}

func (b *RecordCache) update(r Record) bool {
	old, known := b.entries[r.Service]
	if known && old.record.Revision >= r.Revision {
		return false
	}
	if !known {
		old = &cachedRecord{}
		b.entries[r.Service] = old
	}
	old.record = r
	b.notify()
	return true
}

// notify wakes the waiters. b.mu is held.
func (b *RecordCache) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Confirm takes the complete answer to a list that was sent at asked and
// returns the records that were newer than the known ones.
func (b *RecordCache) Confirm(records []Record, asked time.Duration) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newer []Record
	for _, r := range records {
		if b.update(r) {
			newer = append(newer, r)
		}
		b.confirm(b.entries[r.Service], asked)
	}
	b.notify()
	return newer
}

// Extend confirms the record of one service by other means than the store, if
// its token is still current.
func (b *RecordCache) Extend(service string, token uint64, asked time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.entries[service]; ok && s.record.Token == token && s.invalidToken != token {
		b.confirm(s, asked)
		b.notify()
	}
}

// Invalidate stops the use of the primary under the token: a database showed that
// somebody replaces it. Only the store can confirm the record again. A promotion
// clears what databases show, so later answers of theirs mean nothing.
func (b *RecordCache) Invalidate(service string, token uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.entries[service]; ok && s.record.Token == token && s.invalidToken != token {
		s.invalidToken, s.confirmedAt = token, 0
		b.notify()
	}
}

// confirm ignores questions that were sent before the registration: a promoter
// may have listed the registrations since.
func (b *RecordCache) confirm(s *cachedRecord, asked time.Duration) {
	if asked >= b.registeredAt {
		s.confirmedAt = max(s.confirmedAt, asked)
	}
}

// Primary returns the database that may be used as primary now.
func (b *RecordCache) Primary(service string) (Primary, bool) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.entries[service]
	if !ok || !b.usable(s, now) {
		return Primary{}, false
	}
	return Primary{ID: s.record.Primary, Term: s.record.Term, Token: s.record.Token}, true
}

func (b *RecordCache) usable(s *cachedRecord, now time.Duration) bool {
	return s.record.Phase == Serving && s.confirmedAt > 0 && now-s.confirmedAt < b.validity && !slices.Contains(s.record.Excluded, b.incarnation)
}

// IsCurrent reports whether p may still be used as primary of the service.
func (b *RecordCache) IsCurrent(service string, p Primary) bool {
	current, ok := b.Primary(service)
	return ok && current == p
}

// Record returns the newest known record and when it was last confirmed.
func (b *RecordCache) Record(service string) (Record, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.entries[service]
	if !ok {
		return Record{}, 0, false
	}
	return s.record, s.confirmedAt, true
}

// SetValidity changes how long knowledge may be used. A longer validity must be
// in the registration first.
func (b *RecordCache) SetValidity(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.validity = d
}

// SetIncarnation notes that the instance is registered under the incarnation from
// now on. All records must be confirmed again.
func (b *RecordCache) SetIncarnation(incarnation string) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation, b.registeredAt = incarnation, now
	for _, s := range b.entries {
		s.confirmedAt = 0
	}
	b.notify()
}

// Changed returns a channel that is closed when a belief changes.
func (b *RecordCache) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}
