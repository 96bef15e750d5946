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

// platformCounts returns the numbers of calls that the platform has received.
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

// platformCalls returns the number of calls that an instance has sent to the platform.
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

// Rate limits of the platform, in calls per second.
const (
	maxWritesPerSecond = standin.DefaultWriteRate
	maxReadsPerSecond  = standin.DefaultReadRate
)

// recoveryWindow is the time after the platform's recovery in which call rates are
// checked.
const recoveryWindow = 5 * time.Second

// peakCallRates returns the highest rates, over intervals of about a second, of reads
// and writes by all instances and of all calls by one instance. Watches and lists
// count as reads, heartbeats as writes.
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

// checkCallRates fails the test if the call rates after the platform's recovery exceed
// the platform's limits, or the limit that each instance applies to itself.
func (c *cluster) checkCallRates(t *testing.T) {
	t.Helper()
	limited := c.platformCounts(t).Limited
	reads, writes, instance := c.peakCallRates(t, recoveryWindow)
	t.Logf("highest calls per second within %v of the recovery: %.0f reads, %.0f writes; %.1f by one instance",
		recoveryWindow, reads, writes, instance)
	if reads > maxReadsPerSecond || writes > maxWritesPerSecond || c.platformCounts(t).Limited != limited {
		t.Errorf("%.0f reads and %.0f writes per second, want at most %.0f and %.0f", reads, writes, float64(maxReadsPerSecond), float64(maxWritesPerSecond))
	}
	// An idle rate limiter admits its whole burst in the first second.
	if bound := platform.DefaultRate + float64(platform.DefaultBurst); instance > bound {
		t.Errorf("%.1f calls per second by one instance, want at most %.1f", instance, bound)
	}
}

// Guards against requests that fail because the platform is down, slow or flapping,
// and against a surge of calls when it recovers.
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
				t.Errorf("%d writes were refused and %d have an unknown outcome while only the platform failed", refused, unknown)
			}
			p.setFaults(t, standin.Faults{})
			p.checkCallRates(t)
			p.healAndCheck(t)
		})
	}
}

// Guards against a surge of calls when the platform recovers while a group has no
// primary.
func TestPlatformReturnsToLostPrimary(t *testing.T) {
	p := startPartition(t)
	p.setFaults(t, standin.Faults{Outage: true})
	p.databases["huts-1-a"].kill(t)
	p.waitMinTime()
	p.checkTermUnchanged(t)
	p.setFaults(t, standin.Faults{})
	p.checkCallRates(t)
	waitFor(t, 60*time.Second, "another primary is promoted", func() bool { return p.primary(t, failoverGroup) != "huts-1-a" })
	p.databases["huts-1-a"].start(t)
	p.healAndCheck(t)
}
