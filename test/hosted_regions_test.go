package integration

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against guarantees that are violated, or requests that are not served, in a
// deployment of two regions, where reads are spread over all databases and requests queue
// at the owners: without faults, and while more than half of the instances are killed.
func TestHostedPathWithRegions(t *testing.T) {
	h := startHostedWithSettings(t, "regions: {z0: north, z1: north, z2: south}\n", nil, 7, 1, 6)
	time.Sleep(2 * time.Second) // time for the instances to discover each other
	hist := &history{}
	stop := runCallers(h, hist, 12, 3)
	time.Sleep(2 * time.Second)
	ranWithoutFaults := len(h.groups[0].Runs())
	h.checkOwnersUsed()
	for _, p := range h.instances[:4] {
		p.signal(t, syscall.SIGKILL)
	}
	for _, p := range h.instances[:4] {
		<-p.exited
		p.start(t)
	}
	h.waitAllServing()
	stop()
	h.report(hist)
	if ranWithoutFaults < 200 {
		t.Errorf("%d statements ran in 2 s without faults, want at least 200", ranWithoutFaults)
	}
	if body := h.metrics(5); !strings.Contains(body, `geraniumbeam_balanced_reads_total{tier="other_region"}`) {
		t.Errorf("no read was sent to the other region:\n%s", body)
	}
}
