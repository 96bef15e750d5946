package topology

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/revision"
)

// fakeSource counts the lists of a store that holds one database.
type fakeSource struct {
	lists    int
	revision revision.Revision
	leaving  bool
	version  uint64 // of the configuration
	invalid  bool   // the configuration can't be decoded
	err      error

	organisations []organisation.Organisation
	damaged       []error // organisations that can't be decoded
}

func (f *fakeSource) Databases(context.Context) ([]Database, revision.Revision, []error, error) {
	f.lists++
	d := db("db-1")
	d.Leaving = f.leaving
	return []Database{d}, f.revision, nil, f.err
}

func (f *fakeSource) Configuration(context.Context) (Configuration, revision.Revision, []error, error) {
	if f.invalid {
		return Configuration{}, f.revision, nil, fmt.Errorf("%w: odd", ErrInvalidConfiguration)
	}
	return Configuration{Version: f.version, Organisations: f.organisations}, f.revision, f.damaged, f.err
}

// rev returns a revision of the first era.
func rev(number uint64) revision.Revision { return revision.Revision{Era: 1, Number: number} }

// Guards against databases that are no longer followed, and a configuration that is
// withdrawn, because the stored one can't be decoded.
func TestInvalidConfigurationCostsNoDatabase(t *testing.T) {
	s := newTestSyncer()
	s.source.version, s.source.revision = 4, rev(10)
	s.listed(t)
	s.source.invalid, s.source.leaving, s.source.revision = true, true, rev(11)
	l := s.listed(t)
	if l.Configuration.Version != 4 || !l.Databases[0].Leaving || l.DatabasesRevision != rev(11) {
		t.Errorf("listing %+v, want configuration 4 and a leaving database", l)
	}
}

// Guards against a database without usable address that an instance of another release
// passes on, and that counts in the quorums of its service.
func TestUnusableDatabaseIsNotAdopted(t *testing.T) {
	s := newTestSyncer()
	odd, noService := db("db-2"), db("db-3")
	odd.Address, noService.Service = "10.0.0.1:70000", ""
	s.Adopt(&Listing{Databases: []Database{odd, db("db-1"), noService}, DatabasesRevision: rev(3), Content: 5}, s.Now())
	if got := s.Topology.Snapshot().Databases["ledger"]; len(got) != 1 || got[0].ID != "db-1" {
		t.Errorf("databases %+v, want db-1", got)
	}
}

// testSyncer is a syncer whose clock the test sets.
type testSyncer struct {
	*Syncer
	source *fakeSource
	now    time.Duration
}

func newTestSyncer() *testSyncer {
	s := &testSyncer{source: &fakeSource{revision: rev(10), version: 3}, now: time.Hour}
	s.Syncer = NewSyncer(New(), s.source, func() time.Duration { return s.now }, zerolog.Nop())
	return s
}

func (s *testSyncer) listed(t *testing.T) *Listing {
	t.Helper()
	if err := s.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	l, _ := s.Listing()
	return l
}

// Guards against a process that starts and uses a database that the others know to
// have left, because the instance that it asks is behind, and against a listing that
// is older than the one in use.
func TestStaleListingIsNotAdopted(t *testing.T) {
	other := newTestSyncer()
	old := other.listed(t)
	s := newTestSyncer()
	s.SetRelayed(true)
	s.Adopt(old, s.now-maxRelayedAge-time.Millisecond)
	if l, _ := s.Listing(); l != nil || !s.needed {
		t.Errorf("a stale listing is in use at the start: %+v; the store is listed: %v", l, s.needed)
	}
	s.source.revision, s.source.leaving = rev(20), true
	current := s.listed(t)
	s.Adopt(old, s.now)
	if l, _ := s.Listing(); l.Content != current.Content || !s.Topology.Snapshot().Databases["ledger"][0].Leaving {
		t.Errorf("the listing in use was replaced by an older one: %+v", l)
	}
}

// Guards against a call to the store for each change of its revision by each instance,
// and against an instance that trusts an upstream which has stopped listing.
func TestRelayedInstanceListsOnlyWhenBehind(t *testing.T) {
	other := newTestSyncer()
	l := other.listed(t)
	s := newTestSyncer()
	s.SetRelayed(true)
	s.Adopt(l, s.now)
	s.ObserveRevision(rev(15), s.now)
	if s.needed {
		t.Error("a new revision makes a relayed instance list the store")
	}
	s.now += maxRelayedAge + time.Millisecond
	s.Adopt(l, s.now-maxRelayedAge-time.Millisecond)
	if !s.needed {
		t.Error("an upstream that lags behind is trusted")
	}
	direct := newTestSyncer()
	direct.listed(t)
	direct.ObserveRevision(rev(10), direct.now)
	if direct.needed {
		t.Error("a known revision makes an instance list the store")
	}
	direct.ObserveRevision(rev(11), direct.now)
	if !direct.needed {
		t.Error("a new revision does not make an instance list the store")
	}
}

// Guards against listings of the same content that differ between instances, so that
// they are sent again and again, and against a changed one that is not sent.
func TestContentIsTheSameForAllInstances(t *testing.T) {
	a, b := newTestSyncer(), newTestSyncer()
	b.source.revision = rev(30)
	if x, y := a.listed(t), b.listed(t); x.Content != y.Content {
		t.Errorf("contents %d and %d of equal listings", x.Content, y.Content)
	}
	b.source.leaving = true
	if x, y := a.listed(t), b.listed(t); x.Content == y.Content {
		t.Error("a database that is leaving does not change the content")
	}
}

// Guards against an instance that once lagged behind and calls a store that refuses it
// again and again, although others provide current listings meanwhile.
func TestRelayedListingEndsAWantedList(t *testing.T) {
	l := newTestSyncer().listed(t)
	for _, relayed := range []bool{true, false} {
		s := newTestSyncer()
		s.SetRelayed(true)
		s.Adopt(l, s.now)
		s.SetRelayed(relayed)
		s.now += maxRelayedAge + time.Millisecond
		s.ObserveRevision(rev(99), s.now)
		s.source.err = errors.New("refused")
		if err := s.list(t.Context()); err == nil || !s.needed {
			t.Fatalf("error %v, needed %v: want a list that the store refuses", err, s.needed)
		}
		s.Adopt(l, s.now)
		if s.needed == relayed {
			t.Errorf("relayed %v: the store is listed: %v", relayed, s.needed)
		}
	}
}

// Guards against an instance that lists the store for ever or never, when its first
// listing fails.
func TestFirstListingIsRepeatedUntilItSucceeds(t *testing.T) {
	s := newTestSyncer()
	s.source.err = errors.New("down")
	s.SetRelayed(false)
	if err := s.list(t.Context()); err == nil || !s.needed {
		t.Errorf("error %v, needed %v: want another try", err, s.needed)
	}
	s.source.err = nil
	s.listed(t)
	if s.needed {
		t.Error("the store is listed again without a change")
	}
}

// Guards against listings of a store that was restored from an older copy which have
// no effect, because its revisions are below those that the instance has seen.
func TestListingsOfARestoredStoreAreUsed(t *testing.T) {
	s, other := newTestSyncer(), newTestSyncer()
	s.source.revision = rev(90)
	before := s.listed(t)
	restored := revision.Revision{Era: 2, Number: 40}
	s.ObserveRevision(restored, s.now)
	if !s.needed {
		t.Error("the revision of a restored store does not make an instance list it")
	}
	s.source.revision, s.source.leaving = restored, true
	if l := s.listed(t); l.DatabasesRevision != restored || !s.Topology.Snapshot().Databases["ledger"][0].Leaving {
		t.Errorf("the listing in use is %+v, want the one of the restored store", l)
	}
	other.Adopt(before, other.now)
	l, _ := s.Listing()
	other.Adopt(l, other.now)
	if got, _ := other.Listing(); got.Content != l.Content {
		t.Errorf("another instance keeps the listing %+v from before the restore", got)
	}
	other.Adopt(before, other.now)
	if got, _ := other.Listing(); got.Content != l.Content {
		t.Errorf("a listing from before the restore is used again: %+v", got)
	}
}

// Guards against an instance that starts after a restore of the store and gets an older
// configuration from the others than the one that they have in force.
func TestListingHasTheConfigurationInForce(t *testing.T) {
	s, other := newTestSyncer(), newTestSyncer()
	s.source.version = 8
	s.listed(t)
	s.source.version, s.source.revision = 6, revision.Revision{Era: 2, Number: 4}
	l := s.listed(t)
	other.Adopt(l, other.now)
	if v := other.Topology.Snapshot().Version; v != 8 {
		t.Errorf("an instance that starts has version %d in force, want 8", v)
	}
}
