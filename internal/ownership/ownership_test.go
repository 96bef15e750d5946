package ownership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// Guards against owners in another data centre while the database's own has live
// instances, and against a database without owners while any instance is live.
func TestOwners(t *testing.T) {
	datadriven.RunTest(t, "testdata/owners", func(t *testing.T, d *datadriven.TestData) string {
		var live []Instance
		for line := range strings.Lines(d.Input) {
			name, dc, _ := strings.Cut(strings.TrimSpace(line), " ")
			live = append(live, Instance{Name: name, DataCentre: dc})
		}
		var dc string
		d.ScanArgs(t, "dc", &dc)
		var b strings.Builder
		for i := range 4 {
			owners, remote := OwnersOf(fmt.Sprintf("db-%d", i), dc, live)
			fmt.Fprintf(&b, "db-%d:", i)
			for _, o := range owners {
				b.WriteString(" " + o.Name)
			}
			if remote {
				b.WriteString(" (remote)")
			}
			b.WriteString("\n")
		}
		return b.String()
	})
}

func instances(n int) []Instance {
	out := make([]Instance, n)
	for i := range out {
		out[i] = Instance{Name: fmt.Sprintf("gb-%d", i), DataCentre: "a"}
	}
	return out
}

// Guards against reassigning databases that a leaving instance did not own. Of its
// own databases the standby, which already has connections, must become the active
// owner.
func TestReassignmentIsMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := instances(rapid.IntRange(3, 40).Draw(t, "instances"))
		gone := live[rapid.IntRange(0, len(live)-1).Draw(t, "gone")]
		rest := slices.DeleteFunc(slices.Clone(live), func(in Instance) bool { return in == gone })
		for i := range 30 {
			db := fmt.Sprintf("db-%d", i)
			before, _ := OwnersOf(db, "a", live)
			after, _ := OwnersOf(db, "a", rest)
			switch gone {
			case before[0]:
				if after[0] != before[1] {
					t.Fatalf("%s: %s is active after %s left, want the standby %s", db, after[0].Name, gone.Name, before[1].Name)
				}
			case before[1]:
				if after[0] != before[0] {
					t.Fatalf("%s: the active owner changed although the standby left", db)
				}
			default:
				if !slices.Equal(before, after) {
					t.Fatalf("%s has new owners although %s did not own it", db, gone.Name)
				}
			}
		}
	})
}

// Guards against owners that depend on the order of the list of instances, and
// against an uneven distribution. The hash is deterministic, so the result is too.
func TestOrderIndependenceAndDistribution(t *testing.T) {
	live := instances(7)
	count := make(map[string]int)
	const databases = 7000
	for i := range databases {
		db := fmt.Sprintf("db-%d", i)
		owners, _ := OwnersOf(db, "a", live)
		count[owners[0].Name]++
		reversed := slices.Clone(live)
		slices.Reverse(reversed)
		if other, _ := OwnersOf(db, "a", reversed); !slices.Equal(owners, other) {
			t.Fatalf("%s: owners depend on the order of the list", db)
		}
		if names := []string{"x", owners[0].Name}; Pick(db, names) < 0 || Pick(db, nil) != -1 {
			t.Fatal("Pick is out of range")
		}
	}
	for name, n := range count {
		if n < databases/7*8/10 || n > databases/7*12/10 {
			t.Errorf("%s is active for %d of %d databases", name, n, databases)
		}
	}
}
