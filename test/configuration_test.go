package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	standin "geraniumbeam/internal/standin/platform"
)

// maxPropagationTime bounds the time until an accepted change is in force on every
// reachable instance.
const maxPropagationTime = 3 * time.Second

// putClass stores a class and returns its version. If the answer is lost, it
// reads the object back before it tries again.
func putClass(t testing.TB, api *platform.Client, c catalog.Class) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	for ctx.Err() == nil {
		current, err := api.Get(ctx, platform.KindClass, c.ObjectName())
		if err != nil {
			continue
		}
		if string(current.Data) == string(data) {
			return current.Version
		}
		stored, err := api.Put(ctx, platform.KindClass, c.ObjectName(), current.Version, data)
		if err == nil {
			return stored.Version
		}
		if result.Is(err, result.Conflict) {
			t.Fatalf("store class %s: conflict although there is no other writer: %v", c.ObjectName(), err)
		}
	}
	t.Fatalf("store class %s: %v", c.ObjectName(), ctx.Err())
	return 0
}

// versionMonitor checks that no instance goes back to an older version of an
// object.
type versionMonitor struct {
	mu         sync.Mutex
	latest     map[string]uint64
	reversions []string
}

func (w *versionMonitor) poll(c *cluster, kind, name string) {
	for _, in := range c.instanceNames {
		s, err := c.status(in)
		if err != nil {
			continue
		}
		for _, o := range s.GetObjects() {
			if o.GetKind() == kind && o.GetName() == name {
				w.observe(in, o.GetVersion())
			}
		}
	}
}

func (w *versionMonitor) observe(instance string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.latest[instance] {
		w.reversions = append(w.reversions, fmt.Sprintf("%s went from version %d to %d", instance, w.latest[instance], version))
	}
	w.latest[instance] = version
}

// allHold reports whether all given instances hold the version or a newer one.
func (w *versionMonitor) allHold(instances []string, version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, in := range instances {
		if w.latest[in] < version {
			return false
		}
	}
	return true
}

// Guards against a configuration change that reaches an instance too late, and
// against an instance that goes back to an older version, while the platform is
// slow, loses answers and serves stale reads and an instance is restarted.
func TestConfigurationInForceAndNeverReverts(t *testing.T) {
	c := startCluster(t, options{})
	c.setFaults(t, standin.Faults{LostPuts: 0.3, OldReads: 0.3, OldAge: catalog.Duration(2 * time.Second), Latency: catalog.Duration(20 * time.Millisecond)})
	w := &versionMonitor{latest: make(map[string]uint64)}
	done := make(chan struct{})
	var wg sync.WaitGroup
	class := catalog.Class{Name: "default", Service: "hut-ledger", Rank: catalog.RankNormal, LatencyTarget: catalog.Duration(time.Second)}
	name := class.ObjectName()
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				w.poll(c, platform.KindClass, name)
			}
		}
	})
	api := c.platformClient()
	changes := 10
	if longTests {
		changes = 200
	}
	var worst time.Duration
	for i := range changes {
		class.LatencyTarget = catalog.Duration(time.Second + time.Duration(i)*time.Millisecond)
		version := putClass(t, api, class)
		start := time.Now()
		waitFor(t, 30*time.Second, fmt.Sprintf("version %d is everywhere", version), func() bool {
			return w.allHold(c.instanceNames, version)
		})
		worst = max(worst, time.Since(start))
		if i == changes/2 {
			c.instances["gb-3"].kill(t)
			w.mu.Lock()
			delete(w.latest, "gb-3") // a restarted process has no version yet
			w.mu.Unlock()
			c.instances["gb-3"].start(t)
			c.waitReady(t)
		}
	}
	close(done)
	wg.Wait()
	t.Logf("%d changes, slowest in force on all instances after %v", changes, worst)
	for _, e := range w.reversions {
		t.Error(e)
	}
	if worst > maxPropagationTime {
		t.Errorf("slowest change was in force after %v, want at most %v", worst, maxPropagationTime)
	}
}
