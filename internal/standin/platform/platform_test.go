package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a server with cfg on a loopback address and returns it with a client.
func start(t *testing.T, cfg Config, opts platform.Options) (*Server, *platform.Client) {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	if opts.Rate == 0 {
		opts.Rate, opts.Burst = 1e6, 1e6
	}
	c := platform.NewClient("http://"+l.Addr().String(), opts)
	t.Cleanup(func() {
		c.Close()
		s.Close()
		if err := <-serveErr; err != nil {
			t.Error(err)
		}
	})
	return s, c
}

func wantError(t *testing.T, err error, code result.Code, ran result.Ran) {
	t.Helper()
	if e := result.From(err); e == nil || e.Code != code || e.Ran != ran {
		t.Fatalf("got %v, want code %v ran %v", err, code, ran)
	}
}

// Guards against lost updates: of several writers that read the same version only
// one may succeed, also if the object was deleted in between.
func TestConditionalUpdates(t *testing.T) {
	_, c := start(t, Config{}, platform.Options{})
	ctx := context.Background()
	o, err := c.Put(ctx, "group", "a/b c", platform.NoVersion, []byte(`{"term":1}`))
	if err != nil || o.Version == 0 {
		t.Fatalf("%+v %v", o, err)
	}
	current, err := c.Put(ctx, "group", "a/b c", platform.NoVersion, []byte(`{}`))
	wantError(t, err, result.Conflict, result.RanNo)
	if current.Version != o.Version || string(current.Data) != `{"term":1}` {
		t.Fatalf("conflict returned %+v", current)
	}
	if err := c.Delete(ctx, "group", "a/b c", o.Version+1); !result.Is(err, result.Conflict) {
		t.Fatal(err)
	}
	if err := c.Delete(ctx, "group", "a/b c", o.Version); err != nil {
		t.Fatal(err)
	}
	_, err = c.Get(ctx, "group", "a/b c")
	wantError(t, err, result.NotFound, result.RanNo)
	again, err := c.Put(ctx, "group", "a/b c", platform.NoVersion, []byte(`{}`))
	if err != nil || again.Version <= o.Version+1 {
		t.Fatalf("version after deletion is %d (%v)", again.Version, err)
	}

	var wg sync.WaitGroup
	var mu sync.Mutex
	succeeded := 0
	for range 20 {
		wg.Go(func() {
			if _, err := c.Put(ctx, "group", "a/b c", again.Version, []byte(`{}`)); err == nil {
				mu.Lock()
				succeeded++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if succeeded != 1 {
		t.Fatalf("%d of 20 racing updates succeeded", succeeded)
	}
}

// Guards against refusing a value of the maximum size, and against accepting a
// larger one or one that is not JSON.
func TestValueLimits(t *testing.T) {
	_, c := start(t, Config{}, platform.Options{})
	ctx := context.Background()
	large := []byte(`"` + strings.Repeat("x", platform.MaxValue-2) + `"`)
	if _, err := c.Put(ctx, "status", "x", platform.AnyVersion, large); err != nil {
		t.Fatal(err)
	}
	if o, err := c.Get(ctx, "status", "x"); err != nil || len(o.Data) != platform.MaxValue {
		t.Fatalf("%d %v", len(o.Data), err)
	}
	_, err := c.Put(ctx, "status", "x", platform.AnyVersion, append(large, ' '))
	wantError(t, err, result.Invalid, result.RanNo)
	_, err = c.Put(ctx, "status", "x", platform.AnyVersion, []byte("{"))
	wantError(t, err, result.Invalid, result.RanNo)
}

// Guards against a watch that misses a deletion, or a change made between two
// watches.
func TestWatchReportsAllChanges(t *testing.T) {
	s, c := start(t, Config{}, platform.Options{})
	ctx := context.Background()
	s.PutObject("class", "a", []byte(`1`))
	s.PutObject("group", "other", []byte(`1`))
	objects, v, err := c.Watch(ctx, "class", 0, 0)
	if err != nil || len(objects) != 1 || v != 2 {
		t.Fatalf("%v %d %v", objects, v, err)
	}
	if objects, v, err = c.Watch(ctx, "class", v, 10*time.Millisecond); err != nil || len(objects) != 0 || v != 2 {
		t.Fatalf("%v %d %v", objects, v, err)
	}
	go func() {
		s.PutObject("class", "b", []byte(`2`))
		s.store.put("class", "a", platform.AnyVersion, nil, true)
	}()
	var seen []string
	for len(seen) < 2 {
		if objects, v, err = c.Watch(ctx, "class", v, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		for _, o := range objects {
			seen = append(seen, fmt.Sprint(o.Name, o.Version, o.Deleted))
		}
	}
	if got := strings.Join(seen, " "); got != "b3 false a4 true" {
		t.Fatal(got)
	}
}

// Guards against a lost response that the client reports as not executed, and
// against a watch that outlasts an outage.
func TestFaultResults(t *testing.T) {
	s, c := start(t, Config{}, platform.Options{Timeout: 5 * time.Second})
	ctx := context.Background()

	s.SetFaults(Faults{LostPuts: 1})
	_, err := c.Put(ctx, "group", "g", platform.NoVersion, []byte(`{}`))
	wantError(t, err, result.PlatformDown, result.RanUnknown)
	s.SetFaults(Faults{})
	o, err := c.Get(ctx, "group", "g")
	if err != nil || o.Version != 1 {
		t.Fatalf("the change did not take effect: %+v %v", o, err)
	}

	watched := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(ctx, "group", 1, 30*time.Second)
		watched <- err
	}()
	for s.Counts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetFaults(Faults{Outage: true})
	wantError(t, <-watched, result.PlatformDown, result.RanNo)
	_, err = c.Get(ctx, "group", "g")
	wantError(t, err, result.PlatformDown, result.RanNo)

	s.SetFaults(Faults{Latency: catalog.Duration(time.Minute)})
	shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = c.Put(shortCtx, "group", "g", platform.AnyVersion, []byte(`{}`))
	wantError(t, err, result.PlatformDown, result.RanUnknown)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}

// Guards against stale reads that return the wrong version, and against outages
// at the wrong times while the platform is flapping.
func TestStaleReadsAndFlapping(t *testing.T) {
	fake := clock.NewFake(time.Unix(1e9, 0))
	s, c := start(t, Config{Now: fake.Now}, platform.Options{})
	ctx := context.Background()
	s.PutObject("class", "a", []byte(`1`))
	fake.Advance(10 * time.Second)
	s.PutObject("class", "a", []byte(`2`))
	s.SetFaults(Faults{OldReads: 1, OldAge: catalog.Duration(5 * time.Second)})
	if o, err := c.Get(ctx, "class", "a"); err != nil || o.Version != 1 {
		t.Fatalf("%+v %v", o, err)
	}
	fake.Advance(10 * time.Second)
	if l, v, err := c.List(ctx, "class"); err != nil || len(l) != 1 || l[0].Version != 2 || v != 2 {
		t.Fatalf("%+v %v", l, err)
	}
	s.SetFaults(Faults{FlapUp: catalog.Duration(time.Second), FlapDown: catalog.Duration(time.Second)})
	for i := range 4 {
		_, err := c.Get(ctx, "class", "a")
		if up := i%2 == 0; (err == nil) != up {
			t.Fatalf("second %d: %v", i, err)
		}
		fake.Advance(time.Second)
	}
}

// Guards against calls above the server's limit that are served, and against calls
// above the client's own limit that are sent.
func TestRateLimits(t *testing.T) {
	s, c := start(t, Config{WriteRate: 3, ReadRate: 1e6}, platform.Options{})
	ctx := context.Background()
	limited := 0
	for range 10 {
		if _, err := c.Put(ctx, "status", "x", platform.AnyVersion, []byte(`1`)); result.Is(err, result.RateLimited) {
			limited++
		}
	}
	if limited == 0 || s.Counts().Limited != int64(limited) {
		t.Fatalf("%d of 10 writes at once were limited", limited)
	}
	client := platform.NewClient("http://127.0.0.1:1", platform.Options{Rate: 0.001, Burst: 1})
	_, err := client.Get(ctx, "x", "y")
	wantError(t, err, result.PlatformDown, result.RanNo)
	_, err = client.Get(ctx, "x", "y")
	wantError(t, err, result.RateLimited, result.RanNo)
	if client.Calls() != 1 {
		t.Fatalf("%d calls sent", client.Calls())
	}
}

// Guards against an instance list that shows changes before the lag has passed, or
// instances whose heartbeats have stopped.
func TestInstanceListLag(t *testing.T) {
	fake := clock.NewFake(time.Unix(1e9, 0))
	seed, err := LoadSeed("../../../examples/alliance/platform.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, c := start(t, Config{Now: fake.Now, Seed: seed, ListLag: 10 * time.Second}, platform.Options{})
	ctx := context.Background()
	names := func() string {
		t.Helper()
		l, err := c.Instances(ctx)
		if err != nil {
			t.Fatal(err)
		}
		var out []string
		for _, in := range l {
			if in.Leaving {
				in.Name += "!"
			}
			out = append(out, in.Name)
		}
		return strings.Join(out, " ")
	}
	const seeded = "gb-1 gb-2 gb-3 gb-4 gb-5 gb-6 gb-7"
	check := func(want string) {
		t.Helper()
		if got := names(); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	check(seeded)
	instance := platform.Instance{Name: "gb-8", DataCentre: "keelung", Address: "127.0.0.1:9"}
	if err := c.Heartbeat(ctx, instance); err != nil {
		t.Fatal(err)
	}
	s.RemoveInstance("gb-1")
	s.SetInstance(platform.Instance{Name: "gb-2", DataCentre: "taipei-a", Address: "127.0.0.1:7502", Leaving: true})
	fake.Advance(9 * time.Second)
	check(seeded)
	if err := c.Heartbeat(ctx, instance); err != nil {
		t.Fatal(err)
	}
	fake.Advance(time.Second)
	check("gb-2! gb-3 gb-4 gb-5 gb-6 gb-7 gb-8")
	fake.Advance(20 * time.Second)
	check("gb-2! gb-3 gb-4 gb-5 gb-6 gb-7")
}

// Guards against a seed with a missing, unknown or malformed field that is
// accepted, or rejected without naming the field.
func TestSeedValidation(t *testing.T) {
	for text, message := range map[string]string{
		"groups: [{name: g}]":                                      "groups[0].databases",
		"instances: [{name: a, data_center: x}]":                   "data_center",
		"instances: [{name: a, data_centre: x, address: nowhere}]": "want HOST:PORT",
	} {
		if _, err := ParseSeed([]byte(text)); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: got %v, want an error about %s", text, err, message)
		}
	}
	if _, err := LoadSeed("missing.yaml"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}
