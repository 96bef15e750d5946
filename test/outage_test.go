package integration

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
	standin "geraniumbeam/internal/standin/platform"
)

// platformCounts returns the calls that reached the platform so far.
func (c *cluster) platformCounts(t testing.TB) standin.Counts {
	t.Helper()
	resp, err := http.Get(c.platformURL + standin.PathCounts)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out standin.Counts
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// platformCalls returns how many calls an instance sent to the platform.
func (c *cluster) platformCalls(t testing.TB, instance string) int {
	t.Helper()
	resp, err := http.Get("http://" + c.metricsAddress[instance] + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Platform map[string]int `json:"platform_calls"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	n := 0
	for name, v := range vars.Platform {
		if name != "limited" && !strings.HasPrefix(name, "failed_") {
			n += v
		}
	}
	return n
}

// Bounds on the calls per second to the platform.
const (
	maxWritesPerSecond = standin.DefaultWriteRate
	maxReadsPerSecond  = standin.DefaultReadRate
)

// recoveryWindow is how long after the platform's return a surge is looked for.
const recoveryWindow = 5 * time.Second

// peakCallRates returns the largest numbers of reads and writes in a second, and of all
// calls of one instance, within the window. Watches and lists count as reads,
// heartbeats as writes.
func (c *cluster) peakCallRates(t *testing.T, window time.Duration) (reads, writes, instance float64) {
	t.Helper()
	sent := make(map[string]int)
	for _, in := range c.instanceNames {
		sent[in] = c.platformCalls(t, in)
	}
	before, at := c.platformCounts(t), time.Now()
	for end := at.Add(window); time.Now().Before(end); {
		time.Sleep(time.Second)
		now, elapsed := c.platformCounts(t), time.Since(at).Seconds()
		r := float64(now.Reads+now.Watches+now.Instances-before.Reads-before.Watches-before.Instances) / elapsed
		w := float64(now.Writes+now.Heartbeats-before.Writes-before.Heartbeats) / elapsed
		reads, writes = max(reads, r), max(writes, w)
		for _, in := range c.instanceNames {
			n := c.platformCalls(t, in)
			instance = max(instance, float64(n-sent[in])/elapsed)
			sent[in] = n
		}
		before, at = now, time.Now()
	}
	return reads, writes, instance
}

// checkCallRates fails the test if the calls after the platform's return exceed what
// the platform takes, or what the limiters of the instances allow.
func (c *cluster) checkCallRates(t *testing.T) {
	t.Helper()
	limited := c.platformCounts(t).Limited
	reads, writes, instance := c.peakCallRates(t, recoveryWindow)
	t.Logf("highest calls per second within %v of the return: %.0f reads, %.0f writes; %.1f by one instance",
		recoveryWindow, reads, writes, instance)
	if reads > maxReadsPerSecond || writes > maxWritesPerSecond || c.platformCounts(t).Limited != limited {
		t.Errorf("%.0f reads and %.0f writes per second, want at most %.0f and %.0f", reads, writes, float64(maxReadsPerSecond), float64(maxWritesPerSecond))
	}
	// A limiter that was idle lets its burst through in the first second.
	if bound := platform.DefaultRate + float64(platform.DefaultBurst); instance > bound {
		t.Errorf("%.1f calls per second by one instance, want at most %.1f", instance, bound)
	}
}

// Guards against callers who notice that the platform is down, slow or flapping,
// and against a surge of calls when it returns.
func TestPlatformFaultsUnnoticed(t *testing.T) {
	for _, f := range []struct {
		name   string
		faults standin.Faults
	}{
		{"Outage", standin.Faults{Outage: true}},
		{"Slow", standin.Faults{Latency: catalog.Duration(5 * time.Second)}},
		{"Flapping", standin.Faults{FlapUp: catalog.Duration(700 * time.Millisecond), FlapDown: catalog.Duration(700 * time.Millisecond)}},
	} {
		t.Run(f.name, func(t *testing.T) {
			p := startPartition(t)
			p.setFaults(t, f.faults)
			if longTests {
				time.Sleep(5 * time.Minute)
			}
			p.waitMinTime()
			p.checkServes(t, p.instanceNames...)
			p.checkTermUnchanged(t)
			acknowledged, refused, unknown := p.workload.countOutcomes(setOf(p.instanceNames...), p.startedAt, time.Now())
			t.Logf("writes during the fault: acknowledged %d, refused %d, unknown %d", acknowledged, refused, unknown)
			if refused != 0 || unknown != 0 {
				t.Errorf("%d writes were refused and %d are unknown while only the platform failed", refused, unknown)
			}
			p.setFaults(t, standin.Faults{})
			p.checkCallRates(t)
			p.healAndCheck(t)
		})
	}
}

// Guards against a surge when the platform returns while a group has no primary.
func TestPlatformReturnsToLostPrimary(t *testing.T) {
	p := startPartition(t)
	p.setFaults(t, standin.Faults{Outage: true})
	p.databases["huts-1-a"].kill(t)
	p.waitMinTime()
	p.checkTermUnchanged(t)
	p.setFaults(t, standin.Faults{})
	p.checkCallRates(t)
	waitFor(t, 60*time.Second, "another primary is chosen", func() bool { return p.primary(t, failoverGroup) != "huts-1-a" })
	p.databases["huts-1-a"].start(t)
	p.healAndCheck(t)
}
