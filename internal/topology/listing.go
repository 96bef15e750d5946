package topology

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumbeam/internal/revision"
)

// Listing is the configuration and the registrations, as the store returned them.
// Its JSON form, with the Go field names, is sent to other instances.
type Listing struct {
	Configuration Configuration
	Databases     []Database
	// ConfigurationRevision and DatabasesRevision are the store's revisions at
	// which the two parts were read.
	ConfigurationRevision, DatabasesRevision revision.Revision
	// Content identifies the configuration and the databases: listings with equal
	// values differ in their revisions at most.
	Content uint64
}

// Revision returns the store's revision up to which the listing is complete.
func (l *Listing) Revision() revision.Revision {
	return revision.Min(l.ConfigurationRevision, l.DatabasesRevision)
}

// contentOf returns a hash of a configuration and registrations. Equal versions of a
// configuration are equal.
func contentOf(c Configuration, databases []Database) (uint64, error) {
	encoded, err := json.Marshal(databases)
	if err != nil {
		return 0, fmt.Errorf("encode the registrations: %w", err)
	}
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%d ", c.Version) // a hash never fails to write
	_, _ = h.Write(encoded)
	return h.Sum64(), nil
}

// Listing returns the listing in use, and the time of the latest request that
// showed that it was current. It returns nil before the first listing. The caller
// must not modify it.
func (s *Syncer) Listing() (*Listing, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing, s.currentAt
}

// Adopt takes over a listing of another instance that was current at the given
// time. The configuration and the databases of l are ignored if its content is the
// one in use. If the other instance lags behind, the store is listed instead.
func (s *Syncer) Adopt(l *Listing, currentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listing != nil && l.Content == s.listing.Content {
		s.confirm(l, currentAt)
		return
	}
	switch {
	case s.listing == nil && s.Now()-currentAt > maxRelayedAge:
		// A process that has just started must not use databases that the others
		// know to have left.
		s.requestList()
	case s.listing == nil || !l.DatabasesRevision.Before(s.listing.DatabasesRevision):
		s.apply(l, currentAt)
	default:
		s.reportIgnored(l.DatabasesRevision)
	}
}

// reportIgnored logs the first of the listings in a row that were ignored because
// they are older than the one in use. s.mu is held.
func (s *Syncer) reportIgnored(at revision.Revision) {
	if s.ignoring {
		return
	}
	s.ignoring = true
	s.Log.Warn().Stringer("revision", at).Stringer("revision_in_use", s.listing.DatabasesRevision).
		Uint64("version", s.Topology.Snapshot().Version).Msg("A listing is older than the one in use and was ignored.")
}

// confirm notes that the content in use is that of l, which was current at the
// given time. s.mu is held.
func (s *Syncer) confirm(l *Listing, at time.Duration) {
	confirmed := *s.listing
	confirmed.ConfigurationRevision = revision.Max(confirmed.ConfigurationRevision, l.ConfigurationRevision)
	confirmed.DatabasesRevision = revision.Max(confirmed.DatabasesRevision, l.DatabasesRevision)
	s.listing = &confirmed
	s.observeCurrent(at)
	switch {
	case s.Now()-s.currentAt > maxRelayedAge:
		s.requestList()
	case s.relayed:
		s.needed = false // a list that the store refused is no longer wanted
	}
}

// apply puts a listing in use that was current at the given time. s.mu is held.
func (s *Syncer) apply(l *Listing, currentAt time.Duration) {
	s.applyConfiguration(l.Configuration)
	l = s.withConfigurationInForce(l)
	databases := usable(l.Databases)
	before := s.Topology.Snapshot()
	s.Topology.Replace(databases, s.Now(), s.stability.changedAfter())
	s.reportChanges(before, l.DatabasesRevision)
	s.listing = l
	s.observeCurrent(currentAt)
	s.needed, s.ignoring = false, false
	s.signal()
	if s.OnListing != nil {
		s.OnListing()
	}
}

// observeCurrent notes that the listing in use was current at the given time. s.mu is held.
func (s *Syncer) observeCurrent(at time.Duration) {
	s.currentAt = max(s.currentAt, at)
	s.stability.observe(s.listing.DatabasesRevision.Era, at)
}

// LeavingAges returns how long the databases that are leaving have been so at most.
func (s *Syncer) LeavingAges() []LeavingAge { return s.Topology.LeavingAges(s.Now()) }

// AdoptLeavingAges takes over the bounds of another instance. at is the earliest time at
// which they were determined.
func (s *Syncer) AdoptLeavingAges(ages []LeavingAge, at time.Duration) {
	for _, d := range s.Topology.AdoptLeavingAges(ages, at) {
		s.Log.Info().Str("database", d.ID).Str("service", d.Service).Dur("leaving_at_most_ms", d.LeavingFor(s.Now())).
			Msg("Another instance knows for how long a database has been leaving.")
	}
}

// withConfigurationInForce returns the listing with the configuration in force if that is
// newer and has organisations. The databases of a listing may be newer than those in use
// while its configuration is older; an instance that has just started would accept the
// older one, with keys that were revoked since.
func (s *Syncer) withConfigurationInForce(l *Listing) *Listing {
	c := s.Topology.Snapshot().Configuration
	if c.Organisations == nil || c.Version <= l.Configuration.Version {
		return l
	}
	content, err := contentOf(c, l.Databases)
	if err != nil {
		return l // can't happen: the databases were decoded from the same form
	}
	merged := *l
	merged.Configuration, merged.Content = c, content
	return &merged
}

// SetRelayed tells the syncer whether listings come from another instance. It then
// lists the store only if that instance lags behind.
func (s *Syncer) SetRelayed(relayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed = relayed
	if s.listing == nil && !relayed {
		s.requestList()
	}
}

// ObserveRevision records a revision that the store returned to a request that was
// sent at asked. A newer one than that of the listing triggers a list.
func (s *Syncer) ObserveRevision(at revision.Revision, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.listing == nil: // Run makes the first one
	case !s.listing.Revision().Before(at):
		s.observeCurrent(asked)
	case !s.relayed || s.Now()-s.currentAt > maxRelayedAge:
		s.requestList()
	}
}

// requestList makes Run list the store. s.mu is held.
func (s *Syncer) requestList() {
	s.needed = true
	s.signal()
}

func (s *Syncer) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
