package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

// shortSeeds run by default. Seeds that failed once are in regressionSeeds.
var shortSeeds = []uint64{1, 2, oversubscribedSeeds + 1, linkSeeds + 1, restoreSeeds + 1}

// regressionSeeds are seeds that failed once, with the cause of the failure. They run
// by default, too.
var regressionSeeds = map[uint64]string{
	2111: "SIGHUP ended an instance that had just been started and did not catch it yet",
}

const (
	// oversubscribedSeeds is the first seed of deployments whose databases accept fewer
	// connections than there are instances.
	oversubscribedSeeds = 1000
	// linkSeeds is the first seed of deployments with a loopback proxy in front of
	// each database and between each instance and the store. In those with an odd
	// seed connections are oversubscribed as well.
	linkSeeds = 2000
	// restoreSeeds is the first seed of deployments, with loopback proxies, whose store
	// also comes back from older copies.
	restoreSeeds = 3000
	soakDuration = 4 * time.Second // time of faults for each seed
	// maxFaultGapMillis bounds the random time between two faults.
	maxFaultGapMillis = 400
	// maxFaultMillis bounds the random part of a fault's duration.
	maxFaultMillis = 1500
)

// faultInjector injects faults into a deployment from outside its processes. The seed
// determines the sequence of faults.
type faultInjector struct {
	h   *hostedCluster
	rng *rand.Rand
	wg  sync.WaitGroup

	mu       sync.Mutex
	faulty   map[string]bool // targets that currently have a fault
	injected []string

	restores bool            // the store may be restored
	backups  []hosted.Backup // from before each fault
}

// applyFault calls start at once and end after a random time, unless the target
// already has a fault.
func (s *faultInjector) applyFault(fault, target string, start, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulty[target] {
		return
	}
	s.faulty[target] = true
	d := time.Duration(100+s.rng.IntN(maxFaultMillis)) * time.Millisecond
	s.injected = append(s.injected, fmt.Sprintf("%s %s for %v", fault, target, d))
	start()
	s.wg.Go(func() {
		time.Sleep(d)
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faulty[target] = false
	})
}

func (s *faultInjector) database() *hosted.Database {
	g := s.h.groups[s.rng.IntN(len(s.h.groups))]
	if s.rng.IntN(2) == 0 {
		return g.Primary()
	}
	return g.Members()[s.rng.IntN(len(g.Members()))]
}

// inject selects and applies a fault.
func (s *faultInjector) inject(t *testing.T) {
	i := s.rng.IntN(len(s.h.instances))
	p, d := s.h.instances[i], s.database()
	if d == nil {
		return
	}
	restart := func() {
		<-p.exited
		p.start(t)
	}
	storeFault := []hosted.Fault{hosted.Busy, hosted.Reset, hosted.NoAnswer, hosted.LostAnswer, hosted.Slow}[s.rng.IntN(5)]
	kinds := directFaults
	if s.h.links != nil {
		kinds += linkFaults
	}
	if s.restores {
		s.backups = append(s.backups, s.h.store.Backup())
		if s.rng.IntN(restoreOdds) == 0 {
			s.injectRestore(storeFault)
			return
		}
	}
	switch s.rng.IntN(kinds) {
	case 0:
		s.applyFault("kill", p.name, func() { p.signal(t, syscall.SIGKILL) }, restart)
	case 1:
		s.applyFault("terminate", p.name, func() { p.signal(t, syscall.SIGTERM) }, restart)
	case 2:
		s.applyFault("pause", p.name, func() { p.pause(t) }, func() { p.resume(t) })
	case 3:
		s.applyFault("SIGHUP to", p.name, func() { p.signal(t, syscall.SIGHUP) }, func() {})
	case 4, 5:
		s.applyFault("store "+string(storeFault), "store", func() { s.h.store.SetFault("", storeFault) }, func() { s.h.store.SetFault("", hosted.Healthy) })
	case 6:
		s.applyFault("store "+string(storeFault), "store of "+p.name,
			func() { s.h.store.SetFault(p.name, storeFault) }, func() { s.h.store.SetFault(p.name, hosted.Healthy) })
	case 7:
		s.applyFault("compact", "store", s.h.store.Compact, func() {})
	case 8:
		s.applyFault("crash", d.ID(), d.Crash, func() {
			if err := d.Restart(); err != nil {
				t.Errorf("restart %s: %v", d.ID(), err)
			}
		})
	case 9:
		s.applyFault("cut off from the group", d.ID(), func() { d.SetPartitioned(true) }, func() { d.SetPartitioned(false) })
	case 10:
		s.applyFault("lag", d.ID(), func() { d.SetLagging(true) }, func() { d.SetLagging(false) })
	case 11:
		s.applyFault("no answers to "+p.name, d.ID(), func() { d.SetUnresponsiveTo(p.name, true) }, func() { d.SetUnresponsiveTo(p.name, false) })
	case 12:
		s.applyFault("lose answers", d.ID(), func() { d.LoseAnswers(3 + s.rng.IntN(20)) }, func() { d.LoseAnswers(0); d.ResetConnections() })
	case directFaults, directFaults + 1, directFaults + 2, directFaults + 3:
		s.injectLink(t, s.rng.IntN(linkFaults), p, d)
	}
}

const (
	directFaults = 13 // number of faults of processes and stand-ins
	linkFaults   = 4  // number of faults of links
	restoreOdds  = 5  // one in so many faults is a restore of the store, where it is restored at all
)

// injectRestore makes the store unavailable and brings it back from an earlier copy.
func (s *faultInjector) injectRestore(outage hosted.Fault) {
	i := s.rng.IntN(len(s.backups))
	copied := s.backups[i]
	s.applyFault(fmt.Sprintf("store %s, then restored to copy %d of %d", outage, i+1, len(s.backups)), "store",
		func() { s.h.store.SetFault("", outage) },
		func() { s.h.store.Restore(copied); s.h.store.SetFault("", hosted.Healthy) })
}

// injectLink injects a fault of the link to a database or of an instance's link to
// the store. Connections that lost data are reset when the fault ends, since TCP
// never delivers data after a gap.
func (s *faultInjector) injectLink(t *testing.T, kind int, p *process, d *hosted.Database) {
	to := d.ID()
	if s.rng.IntN(3) == 0 {
		to = "store of " + p.name
	}
	l := link{anyInstance, to}
	this := func(x link) bool { return x == l }
	stream := []string{"upstream", "downstream"}[s.rng.IntN(2)]
	delay := 20 + s.rng.IntN(300)
	links := s.h.links
	switch kind {
	case 0:
		s.applyFault("link cut", to, func() { links.cutLinks(t, this) }, func() { links.healLinks(t, this); links.reset(t, this) })
	case 1:
		s.applyFault("link cut "+stream, to, func() { links.addToxic(t, l, "one-way", "timeout", stream, `{"timeout":0}`) },
			func() { links.removeToxic(t, l, "one-way"); links.reset(t, this) })
	case 2:
		s.applyFault(fmt.Sprintf("link slow by %d ms %s", delay, stream), to,
			func() {
				links.addToxic(t, l, "slow", "latency", stream, fmt.Sprintf(`{"latency":%d,"jitter":%d}`, delay, delay/2))
			},
			func() { links.removeToxic(t, l, "slow") })
	case 3:
		s.applyFault("link reset", to, func() { links.reset(t, this) }, func() {})
	}
}

// startSoak starts the deployment that a seed selects.
func startSoak(t *testing.T, seed uint64) *hostedCluster {
	t.Helper()
	var ls *links
	if seed >= linkSeeds {
		ls = newLinks()
		t.Cleanup(ls.close)
	}
	if seed < oversubscribedSeeds || (seed >= linkSeeds && seed%2 == 0) {
		return startHostedWithLinks(t, ls, 4, 2, 4*4)
	}
	return startHostedWithLinks(t, ls, 7, 1, 6)
}

func runSoak(t *testing.T, seed uint64) {
	h := startSoak(t, seed)
	hist := &history{}
	s := &faultInjector{h: h, rng: rand.New(rand.NewPCG(seed, 77)), faulty: make(map[string]bool), restores: seed >= restoreSeeds}
	stop := runCallers(h, hist, 16, seed)
	for end := time.Now().Add(soakDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(s.rng.IntN(maxFaultGapMillis)) * time.Millisecond)
		s.inject(t)
	}
	s.wg.Wait()
	h.waitAllServing() // every instance must recover
	stop()
	h.report(hist)
	if s.restores {
		h.checkTokensRise()
	}
	if t.Failed() {
		t.Logf("seed %d, faults:\n%s", seed, strings.Join(s.injected, "\n"))
		saveLogs(t, h, seed)
	}
}

// saveLogs writes the logs of the instances of a failed seed to the directory
// GERANIUMBEAM_SOAK_LOGS, if it is set.
func saveLogs(t *testing.T, h *hostedCluster, seed uint64) {
	dir := os.Getenv("GERANIUMBEAM_SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, p := range h.instances {
		path := fmt.Sprintf("%s/seed-%d-%s.log", dir, seed, p.name)
		if err := os.WriteFile(path, []byte(p.log.tail(maxLogBytes)), 0o600); err != nil {
			t.Logf("save the log of %s: %v", p.name, err)
		}
	}
}

// Guards against guarantees that are violated when faults follow each other and
// overlap. GERANIUMBEAM_SOAK_SEEDS=FIRST-LAST selects other seeds.
func TestHostedSoak(t *testing.T) {
	seeds := shortSeeds
	for seed := range regressionSeeds {
		seeds = append(seeds, seed)
	}
	if first, last, ok := strings.Cut(os.Getenv("GERANIUMBEAM_SOAK_SEEDS"), "-"); ok {
		a, err1 := strconv.ParseUint(first, 10, 64)
		b, err2 := strconv.ParseUint(last, 10, 64)
		if err1 != nil || err2 != nil {
			t.Fatalf("GERANIUMBEAM_SOAK_SEEDS is %s-%s, want FIRST-LAST with decimal numbers", first, last)
		}
		seeds = nil
		for n := a; n <= b; n++ {
			seeds = append(seeds, n)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}
