package topology

import (
	"testing"
	"time"
)

func db(id string) Database {
	return Database{ID: id, Service: "ledger", Address: "10.0.0.1:1", StartMillis: 1}
}

// Guards against a configuration that goes back within the life of a process.
func TestConfigurationNeverGoesBack(t *testing.T) {
	tp := New()
	if !tp.Apply(Configuration{Version: 7}) || tp.Apply(Configuration{Version: 5}) || tp.Apply(Configuration{Version: 7}) {
		t.Error("an older or equal version was applied")
	}
	if v := tp.Snapshot().Version; v != 7 {
		t.Errorf("version %d is in force, want 7", v)
	}
}

// Guards against dropping all databases because their registrations lapsed
// while the store was away.
func TestLapsedRegistrationCountsForAWhile(t *testing.T) {
	tp := New()
	tp.Register(db("a"), 0)
	tp.Replace(nil, time.Second)
	if gone := tp.Expire(time.Second + RemovalDelay - 1); len(gone) != 0 {
		t.Fatalf("%v expired early", gone)
	}
	tp.Register(db("a"), 0) // back in time
	if gone := tp.Expire(time.Hour); len(gone) != 0 {
		t.Fatalf("%v expired although registered", gone)
	}
	tp.Replace(nil, 2*time.Hour)
	tp.StoreUnavailable(2*time.Hour + time.Second)
	if gone := tp.Expire(2*time.Hour + RemovalDelay); len(gone) != 0 {
		t.Fatalf("%v expired while the store was away", gone)
	}
	if gone := tp.Expire(2*time.Hour + time.Second + RemovalDelay); len(gone) != 1 {
		t.Fatalf("expired %v, want a", gone)
	}
	if _, ok := tp.Snapshot().Find("ledger", "a"); ok {
		t.Error("an expired database is still listed")
	}
}

// Guards against new work for a leaving database after a stale list that shows
// it as ready again.
func TestLeavingIsKeptUntilTheDatabaseStartsAgain(t *testing.T) {
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
		t.Error("a database that started again is still listed as leaving")
	}
}
