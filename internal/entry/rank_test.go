package entry

import (
	"maps"
	"testing"
)

// Guards against urgent calls on the connection of other calls, or the reverse,
// outside and inside transactions.
func TestUrgentCallsUseTheirOwnConnection(t *testing.T) {
	f := newFixture(t, nil)
	for _, class := range []string{"default", "browse", "quick"} {
		conn := f.connect("")
		f.exec(conn, "SET geraniumbeam.class = '"+class+"'")
		f.exec(conn, "select 1")
		f.exec(conn, "begin")
		f.exec(conn, "rollback")
	}
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	if want := map[string]int{"default": 3, "browse": 3}; !maps.Equal(f.cluster.bulkCalls, want) {
		t.Errorf("calls on the shared connection %v, want %v", f.cluster.bulkCalls, want)
	}
	if want := map[string]int{"quick": 3}; !maps.Equal(f.cluster.urgentCalls, want) {
		t.Errorf("calls on the urgent connection %v, want %v", f.cluster.urgentCalls, want)
	}
}
