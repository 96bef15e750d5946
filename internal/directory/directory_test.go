package directory

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

// Guards against objects that revert to an older version, terms that decrease,
// invalid objects that replace valid ones, and owners that are not updated with
// the live instances.
func TestDirectory(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		d := New(ownership.Instance{Name: "gb-1", Address: "10.0.0.1:1", DataCentre: "a"})
		datadriven.RunTest(t, path, func(t *testing.T, c *datadriven.TestData) string {
			changed := d.Changed()
			out := run(t, d, c)
			select {
			case <-changed:
				out += "changed\n"
			default:
			}
			return out
		})
	})
}

func run(t *testing.T, d *Directory, c *datadriven.TestData) string {
	var b strings.Builder
	switch c.Cmd {
	case "apply":
		// Lines: kind name version data, where data "deleted" deletes.
		var objects []platform.Object
		for line := range strings.Lines(c.Input) {
			f := strings.SplitN(strings.TrimSpace(line), " ", 4)
			o := platform.Object{Kind: f[0], Name: f[1], Data: []byte(f[3]), Deleted: f[3] == "deleted"}
			_, _ = fmt.Sscan(f[2], &o.Version)
			objects = append(objects, o)
		}
		applied, err := d.Apply(objects)
		for _, o := range applied {
			fmt.Fprintf(&b, "applied %s/%s %d\n", o.Kind, o.Name, o.Version)
		}
		if err != nil {
			fmt.Fprintf(&b, "error: %v\n", err)
		}
	case "learn":
		var group, primary string
		var term uint64
		c.ScanArgs(t, "group", &group)
		c.ScanArgs(t, "term", &term)
		c.MaybeScanArgs(t, "primary", &primary)
		d.LearnPrimary(group, term, primary)
	case "live":
		var live []ownership.Instance
		for line := range strings.Lines(c.Input) {
			name, dc, _ := strings.Cut(strings.TrimSpace(line), " ")
			live = append(live, ownership.Instance{Name: name, Address: "x", DataCentre: dc})
		}
		d.SetLive(live, c.HasArg("leaving"))
	case "owners":
		for i := range 3 {
			db := platform.Database{Name: fmt.Sprint("db-", i), DataCentre: "a"}
			fmt.Fprintf(&b, "%s index %d:", db.Name, d.OwnerIndex(db))
			for _, o := range d.Owners(db) {
				b.WriteString(" " + o.Name)
			}
			b.WriteString("\n")
		}
	case "show":
		for _, g := range d.Groups() {
			fmt.Fprintf(&b, "group %s term %d primary %q hinted %v databases %d\n",
				g.Name, g.Term, g.Primary, g.FromHint, len(g.Databases))
		}
		for _, s := range d.Catalog().Services() {
			fmt.Fprintf(&b, "service %s %v\n", s.Name, s.Groups)
		}
		for _, k := range d.Catalog().Classes("") {
			fmt.Fprintf(&b, "class %s %s\n", k.ObjectName(), k.Rank)
		}
		fmt.Fprintf(&b, "version %d\n", d.Version())
	default:
		t.Fatalf("unknown command %s", c.Cmd)
	}
	return b.String()
}

func testObjects(classes, groups int) []platform.Object {
	var out []platform.Object
	add := func(kind, name string, v any) {
		data, _ := json.Marshal(v)
		out = append(out, platform.Object{Kind: kind, Name: name, Version: uint64(len(out) + 1), Data: data})
	}
	for i := range groups {
		name := fmt.Sprintf("group-%04d", i)
		g := platform.Group{Term: 3, Primary: name + "-a"}
		for j, letter := range []string{"a", "b", "c"} {
			g.Databases = append(g.Databases, platform.Database{
				Name: name + "-" + letter, DataCentre: fmt.Sprintf("data-centre-%d", (i+j)%9),
				Address: fmt.Sprintf("10.%d.%d.%d:5432", j, i/256, i%256),
			})
		}
		add(platform.KindGroup, name, g)
	}
	for i := range classes {
		c := catalog.Class{
			Name: fmt.Sprintf("class-%04d", i), Service: fmt.Sprintf("service-%d", i/10), Rank: catalog.RankNormal,
			Description: "A class of work of the size that operators write", LatencyTarget: 1e9,
		}
		add(platform.KindClass, c.ObjectName(), c)
	}
	return out
}

// Guards against digests that depend on the order in which objects were applied, or
// that are equal for different objects.
func TestDigest(t *testing.T) {
	objects := testObjects(20, 20)
	build := func(objects []platform.Object) *Directory {
		d := New(ownership.Instance{Name: "i"})
		for _, o := range objects {
			if _, err := d.Apply([]platform.Object{o}); err != nil {
				t.Fatal(err)
			}
		}
		return d
	}
	a := build(objects)
	shuffled := append([]platform.Object{{
		Kind: platform.KindClass, Name: objects[30].Name, Version: 1, Data: objects[30].Data,
	}}, objects...)
	random := rand.New(rand.NewPCG(1, 1))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	b := build(shuffled)
	da, va := a.Digest()
	if db, vb := b.Digest(); da != db || va != vb {
		t.Errorf("digests %x %d and %x %d of the same objects", da, va, db, vb)
	}
	if db, _ := build(objects[1:]).Digest(); da == db {
		t.Error("a missing object does not change the digest")
	}
	objects[5].Version = 1000
	if db, _ := build(objects).Digest(); da == db {
		t.Error("another version does not change the digest")
	}
	if got := len(a.ObjectsNewerThan(35)); got != 5 {
		t.Errorf("%d objects above version 35, want 5", got)
	}
}

// BenchmarkApplyOne measures applying one changed class to a directory of 5,000.
func BenchmarkApplyOne(b *testing.B) {
	objects := testObjects(5000, 2500)
	d := New(ownership.Instance{Name: "i"})
	if _, err := d.Apply(objects); err != nil {
		b.Fatal(err)
	}
	o := objects[len(objects)-1]
	b.ResetTimer()
	for i := range b.N {
		o.Version = uint64(10000 + i)
		if _, err := d.Apply([]platform.Object{o}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOwners measures the lookup of owners, which each request does.
func BenchmarkOwners(b *testing.B) {
	d := New(ownership.Instance{Name: "i"})
	live := make([]ownership.Instance, 3900)
	for i := range live {
		live[i] = ownership.Instance{Name: fmt.Sprint("instance-", i), DataCentre: fmt.Sprintf("data-centre-%d", i%9)}
	}
	d.SetLive(live, false)
	db := platform.Database{Name: "db", DataCentre: "data-centre-1"}
	for range b.N {
		d.Owners(db)
	}
}

// BenchmarkMemory reports the heap of a directory with 5,000 classes and 2,500
// groups.
func BenchmarkMemory(b *testing.B) {
	heap := func(classes, groups int) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := New(ownership.Instance{Name: "i"})
		if _, err := d.Apply(testObjects(classes, groups)); err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(d)
		return float64(after.HeapAlloc) - float64(before.HeapAlloc)
	}
	for range b.N {
		b.ReportMetric(heap(5000, 0)/5000, "B/class")
		b.ReportMetric(heap(0, 2500)/2500, "B/group")
		b.ReportMetric(heap(5000, 2500)/(1<<20), "MiB/directory")
	}
}
