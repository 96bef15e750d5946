package topology

import (
	"testing"
	"time"

	"geraniumbeam/internal/revision"
)

const (
	// longDrainTime is longer than any deployment lets a leaving database get work.
	longDrainTime = time.Hour
	// storeContact is the interval at which the syncers of these tests hear from the store.
	storeContact = 500 * time.Millisecond
)

// contact lets time pass in which the store shows that the listing in use is current.
func (s *testSyncer) contact(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += storeContact
		s.ObserveRevision(s.source.revision, s.now)
	}
}

// leave makes the store list the database as leaving and returns the bound of the syncer.
func (s *testSyncer) leave(t *testing.T) time.Duration {
	t.Helper()
	s.source.leaving = true
	s.source.revision.Number++
	s.listed(t)
	return s.leavingFor(t)
}

func (s *testSyncer) leavingFor(t *testing.T) time.Duration {
	t.Helper()
	d, ok := s.Topology.Snapshot().Find("ledger", "db-1")
	if !ok || !d.Leaving {
		t.Fatalf("database %+v, want one that is leaving", d)
	}
	return d.LeavingFor(s.now)
}

// Guards against a process that starts, finds a database that is leaving and uses it for
// the whole time that a leaving database may get work, although others have used that up.
func TestRestartDoesNotProlongUseOfLeavingDatabase(t *testing.T) {
	old, restarted := newTestSyncer(), newTestSyncer()
	old.listed(t)
	old.contact(10 * time.Second)
	if got := old.leave(t); got > storeContact {
		t.Errorf("leaving for at most %v after it was seen to stay at %v", got, old.currentAt)
	}
	old.now += 3 * time.Second
	restarted.now = old.now
	if got := restarted.leave(t); got < longDrainTime {
		t.Errorf("leaving for at most %v, of which the process can't know", got)
	}
	if ages := restarted.LeavingAges(); len(ages) != 0 {
		t.Errorf("others are told %+v, of which the process can't know", ages)
	}
	ages := old.LeavingAges()
	const onTheWay = 20 * time.Millisecond
	restarted.now += onTheWay
	restarted.AdoptLeavingAges(ages, old.now)
	if got, want := restarted.leavingFor(t), old.leavingFor(t)+onTheWay; got != want {
		t.Errorf("leaving for at most %v, want the bound of another instance and the time on the way, %v", got, want)
	}
	ages[0].AtMost = 0
	ages[0].StartMillis++
	restarted.AdoptLeavingAges(ages, restarted.now)
	if got, want := restarted.leavingFor(t), old.leavingFor(t)+onTheWay; got != want {
		t.Errorf("leaving for at most %v, want %v: the bound of another start was taken over", got, want)
	}
}

// Guards against an instance that was suspended or cut off while a database reported that
// it leaves, and lets the time of a leaving database begin when it finds out.
func TestLateNewsOfLeavingDatabaseCountsFromLastContact(t *testing.T) {
	s := newTestSyncer()
	s.listed(t)
	s.contact(10 * time.Second)
	const away = 8 * time.Second
	s.now += away
	if got := s.leave(t); got < away {
		t.Errorf("leaving for at most %v after %v without contact", got, away)
	}
	s.contact(time.Second)
	if got := s.leavingFor(t); got < away+time.Second {
		t.Errorf("leaving for at most %v a second later", got)
	}
}

// Guards against a database whose report was lost with the restored store, and that counts
// as staying until it has written the report again.
func TestLostReportOfLeavingDatabaseCountsFromBeforeTheRestore(t *testing.T) {
	s := newTestSyncer()
	s.listed(t)
	s.contact(10 * time.Second)
	const outage = 5 * time.Second
	before := s.now
	s.now += outage
	s.source.revision = revision.Revision{Era: 2, Number: 4}
	s.listed(t)
	s.contact(2 * time.Second)
	if got, want := s.leave(t), s.now-before; got < want {
		t.Errorf("leaving for at most %v; the report may have been made %v ago, before the restore", got, want)
	}

	s = newTestSyncer()
	s.listed(t)
	s.source.revision = revision.Revision{Era: 2, Number: 4}
	s.listed(t)
	s.contact(restoreSettleTime + storeContact)
	if got := s.leave(t); got > storeContact {
		t.Errorf("leaving for at most %v; the restore is over", got)
	}
}
