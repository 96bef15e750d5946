package primacy

import (
	"math"
	"slices"
	"sync"
	"time"
)

// validityMargin is how long a promoter waits beyond the validity of an
// instance's cached record, because the clocks of two machines may run at
// slightly different rates. Requests in flight need no margin: a response that
// arrives after the validity has passed is discarded.
const validityMargin = 100 * time.Millisecond

// Primary identifies the primary database of a service.
type Primary struct {
	ID    string
	Term  uint64
	Token uint64
}

type cachedRecord struct {
	record       Record
	confirmedAt  time.Duration // send time of the latest request that confirmed the record
	invalidToken uint64        // token that a database reported as superseded
	listed       bool          // the store has confirmed a record since the instance registered
}

// RecordCache holds the service records that an instance has seen. A cached
// primary may be used only for a limited time after the record was confirmed. It
// is safe for concurrent use.
type RecordCache struct {
	now      func() time.Duration // includes time spent suspended
	validity time.Duration

	mu           sync.Mutex
	entries      map[string]*cachedRecord // by service
	incarnation  string
	registeredAt time.Duration // when the current incarnation was registered in era
	era          uint64        // of the store that has the registration
	version      uint64        // grows with each change of a record
	changed      chan struct{}
}

// NewRecordCache returns an empty cache. now must include time that the machine
// spent suspended. validity is how long a record may be used, counted from when
// the request that confirmed it was sent; it must equal the validity in the
// instance's registration.
func NewRecordCache(incarnation string, validity time.Duration, now func() time.Duration) *RecordCache {
	return &RecordCache{
		now: now, validity: validity, entries: make(map[string]*cachedRecord), incarnation: incarnation, changed: make(chan struct{}),
	}
}

// Update stores a record if it is newer than the cached one and reports whether
// it was. It does not confirm the record.
func (c *RecordCache) Update(r Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.update(r)
}

func (c *RecordCache) update(r Record) bool {
	old, known := c.entries[r.Service]
	if known && !old.record.Revision.Before(r.Revision) {
		return false
	}
	if !known {
		old = &cachedRecord{}
		c.entries[r.Service] = old
	}
	old.record = r
	c.version++
	c.notify()
	return true
}

// notify wakes the waiters. c.mu is held.
func (c *RecordCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Confirm processes a complete list of records from the store in the given era,
// requested at asked. It returns the records that were newer than the cached ones. A
// record that was written in an earlier era is not confirmed: the store may have lost
// newer ones.
func (c *RecordCache) Confirm(records []Record, era uint64, asked time.Duration) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newer []Record
	for _, r := range records {
		if c.update(r) {
			newer = append(newer, r)
		}
		if s := c.entries[r.Service]; r.Revision.Era == era && s.record.Revision.Era == era && era == c.era {
			s.listed = c.confirm(s, asked) || s.listed
		}
	}
	c.notify()
	return newer
}

// Extend confirms the record of one service without the store, from the status
// of its databases, and reports whether it did. It has no effect unless the token is still
// current and the store has confirmed a record of the service since the instance
// registered: a promoter that does not know the instance may not have fenced the databases
// yet.
func (c *RecordCache) Extend(service string, token uint64, asked time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.entries[service]
	if !ok || s.record.Token != token || s.invalidToken == token || !s.listed {
		return false
	}
	c.confirm(s, asked)
	c.notify()
	return true
}

// ExtendFromDatabases confirms a record from the status of its databases, which were asked
// at the given time, or invalidates it if they show that its primary is being replaced.
// others is the number of databases without the primary. Whether the record is valid counts
// when all answers are there: if it lapsed meanwhile, a promotion may have cleared the
// fences of those that answered last.
func (c *RecordCache) ExtendFromDatabases(rec Record, answered []MemberStatus, others int, asked time.Duration) (extended, superseded bool) {
	_, valid := c.Primary(rec.Service)
	if Superseded(rec, answered) {
		c.Invalidate(rec.Service, rec.Token)
		return false, true
	}
	if !ConfirmsPrimary(rec, answered, others, valid) {
		return false, false
	}
	return c.Extend(rec.Service, rec.Token, asked), false
}

// Invalidate stops the use of the primary under the token, because a database
// showed that it is being replaced. After that only the store can confirm the
// record: a promotion resets the state by which databases show a replacement, so
// their later answers prove nothing.
func (c *RecordCache) Invalidate(service string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.entries[service]; ok && s.record.Token == token && s.invalidToken != token {
		s.invalidToken, s.confirmedAt = token, 0
		c.notify()
	}
}

// confirm ignores requests that were sent before the instance registered: a
// promoter may have listed the registrations before that and not know of it. It reports
// whether the request counts.
func (c *RecordCache) confirm(s *cachedRecord, asked time.Duration) bool {
	if asked < c.registeredAt {
		return false
	}
	s.confirmedAt = max(s.confirmedAt, asked)
	return true
}

// Primary returns the database that may be used as primary now.
func (c *RecordCache) Primary(service string) (Primary, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.entries[service]
	if !ok || !c.usable(s, now) {
		return Primary{}, false
	}
	return Primary{ID: s.record.Primary, Term: s.record.Term, Token: s.record.Token}, true
}

func (c *RecordCache) usable(s *cachedRecord, now time.Duration) bool {
	return s.record.Phase == Serving && s.confirmedAt > 0 && now-s.confirmedAt < c.validity && !slices.Contains(s.record.Excluded, c.incarnation)
}

// IsCurrent reports whether p may still be used as primary of the service. A record
// that was written again after a restore of the store names the same primary and term
// under another token.
func (c *RecordCache) IsCurrent(service string, p Primary) bool {
	current, ok := c.Primary(service)
	return ok && current.ID == p.ID && current.Term == p.Term
}

// Record returns the newest known record of a service and when it was last
// confirmed.
func (c *RecordCache) Record(service string) (Record, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.entries[service]
	if !ok {
		return Record{}, 0, false
	}
	return s.record, s.confirmedAt, true
}

// Records returns the newest known records, and a version that grows with each
// change of them.
func (c *RecordCache) Records() (records []Record, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Record, 0, len(c.entries))
	for _, s := range c.entries {
		all = append(all, s.record)
	}
	return all, c.version
}

// SetValidity changes how long a confirmed record may be used. A longer validity
// must be published in the registration before it is set here.
func (c *RecordCache) SetValidity(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validity = d
}

// SetIncarnation notes that the instance is now registered under the
// incarnation. All records must be confirmed again.
func (c *RecordCache) SetIncarnation(incarnation string) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnation, c.registeredAt = incarnation, now
	for _, s := range c.entries {
		s.confirmedAt, s.listed = 0, false
	}
	c.notify()
}

// Unregistered notes that the store has lost the registration of the instance. No
// primary may be used until SetIncarnation is called.
func (c *RecordCache) Unregistered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registeredAt = math.MaxInt64
	for _, s := range c.entries {
		s.confirmedAt, s.listed = 0, false
	}
	c.notify()
}

// SetEra notes that the instance is now registered in the given era. Lists that were
// requested before confirm nothing. What was confirmed in an earlier era stays usable
// for its validity.
func (c *RecordCache) SetEra(era uint64) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era, c.registeredAt = era, now
}

// Changed returns a channel that is closed at the next change.
func (c *RecordCache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
