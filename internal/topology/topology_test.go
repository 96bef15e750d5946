package topology

import (
	"slices"
	"testing"
	"time"
)

func db(id string) Database {
	return Database{ID: id, Service: "ledger", Address: "10.0.0.1:1", StartMillis: 1}
}

// Guards against a configuration whose version decreases while a process runs.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	tp := New()
	if !tp.Apply(Configuration{Version: 7}) || tp.Apply(Configuration{Version: 5}) || tp.Apply(Configuration{Version: 7}) {
		t.Error("an older or equal version was applied")
	}
	if v := tp.Snapshot().Version; v != 7 {
		t.Errorf("version %d is in force, want 7", v)
	}
}

// Guards against removing all databases because their registrations expired
// during a store outage.
func TestMissingRegistrationIsRemovedAfterTheDelay(t *testing.T) {
	tp := New()
	tp.Register(db("a"), 0)
	tp.Replace(nil, time.Second, time.Second)
	if removed := tp.Expire(time.Second + RemovalDelay - 1); len(removed) != 0 {
		t.Fatalf("%v expired early", removed)
	}
	tp.Register(db("a"), 0) // back in time
	if removed := tp.Expire(time.Hour); len(removed) != 0 {
		t.Fatalf("%v expired although registered", removed)
	}
	tp.Replace(nil, 2*time.Hour, 2*time.Hour)
	tp.StoreUnavailable(2*time.Hour + time.Second)
	if removed := tp.Expire(2*time.Hour + RemovalDelay); len(removed) != 0 {
		t.Fatalf("%v expired while the store was unavailable", removed)
	}
	if removed := tp.Expire(2*time.Hour + time.Second + RemovalDelay); len(removed) != 1 {
		t.Fatalf("expired %v, want a", removed)
	}
	if _, ok := tp.Snapshot().Find("ledger", "a"); ok {
		t.Error("an expired database is still listed")
	}
}

// Guards against new work for a leaving database after a stale list that shows it
// as ready again.
func TestDatabaseStaysLeavingUntilItRestarts(t *testing.T) {
	tp := New()
	d := db("a")
	d.Leaving = true
	tp.Register(d, 0)
	tp.Register(db("a"), 0)
	if got, _ := tp.Snapshot().Find("ledger", "a"); !got.Leaving {
		t.Error("a stale registration made a leaving database usable")
	}
	d.Leaving, d.StartMillis = false, 2
	tp.Register(d, 0)
	if got, _ := tp.Snapshot().Find("ledger", "a"); got.Leaving {
		t.Error("a restarted database is still listed as leaving")
	}
}

// Guards against new work for a database that has left, when the store comes back from
// a copy in which it was still ready.
func TestDatabaseThatLeftIsNotUsedAgain(t *testing.T) {
	tp := New()
	leaving := db("a")
	leaving.Leaving = true
	tp.Register(leaving, 0)
	tp.Replace(nil, time.Second, time.Second)
	removed := time.Second + RemovalDelay
	tp.Expire(removed)
	now := removed + time.Second
	tp.Replace([]Database{db("a")}, now, now)
	if got, ok := tp.Snapshot().Find("ledger", "a"); !ok || !got.Leaving || got.LeavingFor(now) != now {
		t.Errorf("a database that left is %+v, leaving for %v; want leaving for %v", got, got.LeavingFor(now), now)
	}
	if marked := tp.MarkLeaving([]Database{db("a"), db("b")}); !marked[0].Leaving || marked[1].Leaving {
		t.Errorf("other instances are told %+v", marked)
	}
	restarted := db("a")
	restarted.StartMillis = 2
	tp.Replace([]Database{restarted}, now, now)
	if got, _ := tp.Snapshot().Find("ledger", "a"); got.Leaving {
		t.Error("a database that started again is still listed as leaving")
	}
	tp.Replace(nil, now, now)
	tp.Expire(now + RemovalDelay + departedRetention)
	tp.Replace([]Database{db("a")}, now+RemovalDelay+departedRetention, now+RemovalDelay+departedRetention)
	if len(tp.departed) != 0 {
		t.Errorf("departures are remembered for ever: %v", tp.departed)
	}
}

// Guards against a database that no longer counts as a member of its service because it
// crashed: it comes back with its log. One that left has handed its log over.
func TestLapsedDatabaseIsRemembered(t *testing.T) {
	topo := New()
	crashed, left := Database{ID: "db-1", Service: "ledger"}, Database{ID: "db-2", Service: "ledger", Leaving: true}
	topo.Replace([]Database{crashed, left}, time.Second, time.Second)
	topo.Replace(nil, 2*time.Second, 2*time.Second)
	at := 2*time.Second + RemovalDelay
	topo.Expire(at)
	if got := topo.Lapsed("ledger"); !slices.Equal(got, []string{"db-1"}) {
		t.Errorf("lapsed: %v, want db-1", got)
	}
	topo.Expire(at + lapsedRetention)
	if got := topo.Lapsed("ledger"); len(got) != 1 {
		t.Errorf("lapsed at the end of the retention: %v", got)
	}
	topo.Expire(at + lapsedRetention + 1)
	if got := topo.Lapsed("ledger"); len(got) != 0 {
		t.Errorf("lapsed after the retention: %v", got)
	}
	topo.Replace([]Database{crashed}, at, at)
	topo.Replace(nil, at, at)
	topo.Expire(at + RemovalDelay)
	topo.Register(crashed, at+RemovalDelay)
	if got := topo.Lapsed("ledger"); len(got) != 0 {
		t.Errorf("lapsed after its return: %v", got)
	}
}
