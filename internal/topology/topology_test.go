package topology

import (
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
	tp.Replace(nil, time.Second)
	if removed := tp.Expire(time.Second + RemovalDelay - 1); len(removed) != 0 {
		t.Fatalf("%v expired early", removed)
	}
	tp.Register(db("a"), 0) // back in time
	if removed := tp.Expire(time.Hour); len(removed) != 0 {
		t.Fatalf("%v expired although registered", removed)
	}
	tp.Replace(nil, 2*time.Hour)
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
