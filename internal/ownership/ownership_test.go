package ownership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// Guards against owners outside the data centre while it has live instances,
// and against a database without owners while any instance is live.
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

// Guards against movement of databases that have nothing to do with an
// instance that leaves: only its own databases move, and their standby, which
// has connections already, becomes the active owner.
func TestMovementIsMinimal(t *testing.T) {
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
					t.Fatalf("%s moved although %s did not own it", db, gone.Name)
				}
			}
		}
	})
}

// Guards against a view that depends on the order of the list, and against an
// uneven spread. The spread is a fixed computation, not a measurement.
func TestOrderAndSpread(t *testing.T) {
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
