package entry

import (
	"maps"
	"testing"
)

// Guards against urgent work on the lane of other work, or the reverse, outside
// and inside of transactions.
func TestLaneFollowsRank(t *testing.T) {
	f := start(t, nil)
	for _, class := range []string{"default", "browse", "quick"} {
		conn := f.connect("")
		f.exec(conn, "SET geraniumbeam.class = '"+class+"'")
		f.exec(conn, "select 1")
		f.exec(conn, "begin")
		f.exec(conn, "rollback")
	}
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	if want := map[string]int{"default": 3, "browse": 3}; !maps.Equal(f.cluster.bulk, want) {
		t.Errorf("bulk lane got %v, want %v", f.cluster.bulk, want)
	}
	if want := map[string]int{"quick": 3}; !maps.Equal(f.cluster.urgent, want) {
		t.Errorf("first lane got %v, want %v", f.cluster.urgent, want)
	}
}
