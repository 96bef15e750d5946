package topology

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// fakeSource counts the lists of a store that holds one database.
type fakeSource struct {
	lists    int
	revision uint64
	leaving  bool
	err      error
}

func (f *fakeSource) Databases(context.Context) ([]Database, uint64, []error, error) {
	f.lists++
	return []Database{{ID: "db-1", Service: "ledger", Leaving: f.leaving}}, f.revision, nil, f.err
}

func (f *fakeSource) Configuration(context.Context) (Configuration, uint64, error) {
	return Configuration{Version: 3}, f.revision, f.err
}

// testSyncer is a syncer whose clock the test sets.
type testSyncer struct {
	*Syncer
	source *fakeSource
	now    time.Duration
}

func newTestSyncer() *testSyncer {
	s := &testSyncer{source: &fakeSource{revision: 10}, now: time.Hour}
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
	s.source.revision, s.source.leaving = 20, true
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
	s.ObserveRevision(15, s.now)
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
	direct.ObserveRevision(10, direct.now)
	if direct.needed {
		t.Error("a known revision makes an instance list the store")
	}
	direct.ObserveRevision(11, direct.now)
	if !direct.needed {
		t.Error("a new revision does not make an instance list the store")
	}
}

// Guards against listings of the same content that differ between instances, so that
// they are sent again and again, and against a changed one that is not sent.
func TestContentIsTheSameForAllInstances(t *testing.T) {
	a, b := newTestSyncer(), newTestSyncer()
	b.source.revision = 30
	if x, y := a.listed(t), b.listed(t); x.Content != y.Content {
		t.Errorf("contents %d and %d of equal listings", x.Content, y.Content)
	}
	b.source.leaving = true
	if x, y := a.listed(t), b.listed(t); x.Content == y.Content {
		t.Error("a database that is leaving does not change the content")
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
