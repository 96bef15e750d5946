package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// hostedDrainTime is the drain time in the settings of hosted instances.
const hostedDrainTime = 7 * time.Second

// writeThrough writes through an instance until stop is closed. The ids of its statements
// begin with the number of the instance.
func (h *hostedCluster) writeThrough(i int, stop <-chan struct{}) {
	var c *hostedConn
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(30 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialHosted(h.callerAddresses[i], routePrimary+"svc0"); err != nil {
				continue
			}
		}
		if _, err := c.query(fmt.Sprintf("%d-%d", i, n), "WRITE a b"); err != nil {
			c.close()
			c = nil
		}
	}
}

// Guards against requests to a leaving primary that can't be replaced, later than the drain
// time allows, from an instance that was started again or resumed after the report: its
// own time to use the primary must not begin when it finds out.
func TestHostedLeavingPrimaryIsLeftInTime(t *testing.T) {
	h := startHosted(t, 4, 1)
	primary := h.groups[0].Primary()
	for _, d := range h.groups[0].Members() {
		if d != primary {
			d.Crash()
			h.store.Remove("servers", d.ID())
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range h.instances {
		wg.Go(func() { h.writeThrough(i, stop) })
	}
	time.Sleep(4 * time.Second) // until the lost replicas are no longer listed
	suspended, restarted := h.instances[1], h.instances[2]
	suspended.pause(t)
	primary.Leave()
	reported := time.Now()
	time.Sleep(2500 * time.Millisecond)
	restarted.terminate(t, 10*time.Second)
	restarted.start(t)
	time.Sleep(time.Until(reported.Add(4 * time.Second)))
	suspended.resume(t)
	time.Sleep(time.Until(reported.Add(hostedDrainTime + 2*time.Second)))
	close(stop)
	wg.Wait()
	before, late := make(map[string]int), make(map[string]int)
	for _, run := range h.groups[0].Runs() {
		instance, _, ok := strings.Cut(run.ID, "-")
		switch {
		case !ok:
		case run.At.After(reported.Add(hostedDrainTime)):
			late[instance]++
		default:
			before[instance]++
		}
	}
	if len(late) != 0 {
		t.Errorf("requests to the leaving primary after the drain time, by instance: %v", late)
	}
	for i := range h.instances {
		if before[fmt.Sprint(i)] == 0 {
			t.Errorf("instance %d sent no request to the primary before the drain time", i)
		}
	}
}
