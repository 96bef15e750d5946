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

// counts returns the calls that reached the platform so far.
func (c *cluster) counts(t testing.TB) standin.Counts {
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
	resp, err := http.Get("http://" + c.metrics[instance] + "/debug/vars")
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
	writesPerSecond = standin.DefaultWriteRate
	readsPerSecond  = standin.DefaultReadRate
)

// returnWindow is how long after the platform's return a surge is looked for.
const returnWindow = 5 * time.Second

// peak returns the largest numbers of reads and writes in a second, and of all
// calls of one instance, within the window. Watches and lists count as reads,
// heartbeats as writes.
func (c *cluster) peak(t *testing.T, window time.Duration) (reads, writes, instance float64) {
	t.Helper()
	sent := make(map[string]int)
	for _, in := range c.order {
		sent[in] = c.platformCalls(t, in)
	}
	before, at := c.counts(t), time.Now()
	for end := at.Add(window); time.Now().Before(end); {
		time.Sleep(time.Second)
		now, took := c.counts(t), time.Since(at).Seconds()
		r := float64(now.Reads+now.Watches+now.Instances-before.Reads-before.Watches-before.Instances) / took
		w := float64(now.Writes+now.Heartbeats-before.Writes-before.Heartbeats) / took
		reads, writes = max(reads, r), max(writes, w)
		for _, in := range c.order {
			n := c.platformCalls(t, in)
			instance = max(instance, float64(n-sent[in])/took)
			sent[in] = n
		}
		before, at = now, time.Now()
	}
	return reads, writes, instance
}

// checkPeak fails the test if the calls after the platform's return exceed what
// the platform takes, or what the limiters of the instances allow.
func (c *cluster) checkPeak(t *testing.T) {
	t.Helper()
	limited := c.counts(t).Limited
	reads, writes, instance := c.peak(t, returnWindow)
	t.Logf("highest calls per second within %v of the return: %.0f reads, %.0f writes; %.1f by one instance",
		returnWindow, reads, writes, instance)
	if reads > readsPerSecond || writes > writesPerSecond || c.counts(t).Limited != limited {
		t.Errorf("%.0f reads and %.0f writes per second, want at most %.0f and %.0f", reads, writes, float64(readsPerSecond), float64(writesPerSecond))
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
			if long {
				time.Sleep(5 * time.Minute)
			}
			p.last()
			p.serves(t, p.order...)
			p.sameTerm(t)
			acknowledged, refused, unknown := p.ledger.outcomesBetween(names(p.order...), p.began, time.Now())
			t.Logf("writes during the fault: acknowledged %d, refused %d, unknown %d", acknowledged, refused, unknown)
			if refused != 0 || unknown != 0 {
				t.Errorf("%d writes were refused and %d are unknown while only the platform failed", refused, unknown)
			}
			p.setFaults(t, standin.Faults{})
			p.checkPeak(t)
			p.converges(t)
		})
	}
}

// Guards against a surge when the platform returns while a group has no primary.
func TestPlatformReturnsToLostPrimary(t *testing.T) {
	p := startPartition(t)
	p.setFaults(t, standin.Faults{Outage: true})
	p.databases["huts-1-a"].kill(t)
	p.last()
	p.sameTerm(t)
	p.setFaults(t, standin.Faults{})
	p.checkPeak(t)
	waitFor(t, 60*time.Second, "another primary is chosen", func() bool { return p.primary(t, failoverGroup) != "huts-1-a" })
	p.databases["huts-1-a"].start(t)
	p.converges(t)
}
