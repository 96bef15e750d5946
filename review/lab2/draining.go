package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	// lapseTime is how long after the loss of the replicas the primary reports that it leaves.
	lapseTime = 8 * time.Second
	// stopDelay is the time from that report to SIGTERM.
	stopDelay = 700 * time.Millisecond
	// stableWindow is stable_window_ms of the site.
	stableWindow = 4 * time.Second
	// afterDrain is how long the load goes on after the drain time.
	afterDrain = 4 * time.Second
)

// drainingPrimary loses both replicas of a service for good. Later the primary reports that it
// leaves, and one machine is stopped by SIGTERM and started again. It checks that no request
// of a machine in touch reaches the primary later than drainTime after its report.
func drainingPrimary(c *cluster, trouble bool) (bool, error) {
	l := startLoad(c)
	for _, i := range c.instances {
		l.add(i, routePrimary, 50*time.Millisecond, func(int) string { return "WRITE a b" })
	}
	time.Sleep(2 * time.Second)
	primary := c.group.Primary()
	if primary == nil {
		return false, errNoPrimary
	}
	if trouble {
		for _, d := range c.group.Members() {
			if d != primary {
				c.crash(d)
			}
		}
	}
	time.Sleep(lapseTime)
	reported, err := c.reportDraining(primary)
	if err != nil {
		return false, err
	}
	time.Sleep(stopDelay)
	i := c.instances[0]
	i.signal(syscall.SIGTERM)
	<-i.done
	if err := i.launch(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(reported.Add(drainTime + afterDrain)))
	l.end()
	return c.ranLate(l, primary, i, reported.Add(drainTime)), nil
}

// reportDraining writes the registration of a database with the state draining.
func (c *cluster) reportDraining(d *hosted.Database) (time.Time, error) {
	resp, err := http.Get("http://" + c.storeAt + "/v1/objects/servers")
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	var list struct{ Items []hosted.Object }
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return time.Time{}, err
	}
	for _, o := range list.Items {
		if o.Meta.Name != d.ID() {
			continue
		}
		var spec map[string]any
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			return time.Time{}, err
		}
		spec["state"] = "draining"
		c.store.Put("servers", d.ID(), spec)
		c.rec.printf("the store has accepted that database %s is draining", d.ID())
		return time.Now(), nil
	}
	return time.Time{}, fmt.Errorf("database %s is not registered", d.ID())
}

// ranLate reports whether the database ran a request of the instance later than the bound,
// that was sent when the instance had been running for stableWindow.
func (c *cluster) ranLate(l *load, d *hosted.Database, i *instance, bound time.Time) bool {
	sent := make(map[string]result)
	for _, r := range l.results {
		sent[r.id] = r
	}
	late := 0
	for _, run := range c.group.Runs() {
		r, ok := sent[run.ID]
		if !ok || run.Database != d.ID() || !run.At.After(bound) || strings.HasPrefix(run.Text, "COMMIT") {
			continue
		}
		if r.instance != i.name || r.sent.Before(i.started.Add(stableWindow)) {
			continue
		}
		late++
		c.rec.printf("BROKEN: request %s of %s ran at %s %.3f s after the bound", r.id, r.instance, d.ID(), run.At.Sub(bound).Seconds())
	}
	return late > 0
}
