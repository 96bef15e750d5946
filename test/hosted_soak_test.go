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

// shortSeeds run with the ordinary tests. A seed that ever failed is kept in
// regressionSeeds with its cause.
var shortSeeds = []uint64{1, 2, oversubscribedSeeds + 1, linkSeeds + 1}

// regressionSeeds are seeds that failed once, with the cause.
var regressionSeeds = map[uint64]string{}

const (
	// oversubscribedSeeds is the first seed of deployments whose databases have fewer
	// connections than there are instances.
	oversubscribedSeeds = 1000
	// linkSeeds is the first seed of deployments with a loopback proxy before each
	// database and between each instance and the store. Every other one has
	// scarce connections.
	linkSeeds    = 2000
	soakDuration = 4 * time.Second // of faults, for each seed
	// maxFaultGapMillis is the longest pause between two faults, in milliseconds.
	maxFaultGapMillis = 400
	// maxFaultMillis is the longest duration of a fault, in milliseconds.
	maxFaultMillis = 1500
)

// faultInjector injects faults into a deployment from outside its processes. The seed
// decides all of them.
type faultInjector struct {
	h   *hostedCluster
	rng *rand.Rand
	wg  sync.WaitGroup

	mu       sync.Mutex
	faulty   map[string]bool // things that a fault holds
	injected []string
}

// applyFault runs start at once and end after a while, unless the thing is held by
// another fault.
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

// inject injects the next fault.
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
	switch s.rng.IntN(kinds) {
	case 0:
		s.applyFault("kill", p.name, func() { p.signal(t, syscall.SIGKILL) }, restart)
	case 1:
		s.applyFault("stop", p.name, func() { p.signal(t, syscall.SIGTERM) }, restart)
	case 2:
		s.applyFault("freeze", p.name, func() { p.pause(t) }, func() { p.resume(t) })
	case 3:
		s.applyFault("hang up", p.name, func() { p.signal(t, syscall.SIGHUP) }, func() {})
	case 4, 5:
		s.applyFault("store "+string(storeFault), "store", func() { s.h.store.SetFault("", storeFault) }, func() { s.h.store.SetFault("", hosted.Healthy) })
	case 6:
		s.applyFault("store of one "+string(storeFault), "store of "+p.name,
			func() { s.h.store.SetFault(p.name, storeFault) }, func() { s.h.store.SetFault(p.name, hosted.Healthy) })
	case 7:
		s.applyFault("forget", "store", s.h.store.Compact, func() {})
	case 8:
		s.applyFault("crash", d.ID(), d.Crash, func() {
			if err := d.Restart(); err != nil {
				t.Errorf("restart %s: %v", d.ID(), err)
			}
		})
	case 9:
		s.applyFault("cut from the group", d.ID(), func() { d.SetPartitioned(true) }, func() { d.SetPartitioned(false) })
	case 10:
		s.applyFault("lag", d.ID(), func() { d.SetLagging(true) }, func() { d.SetLagging(false) })
	case 11:
		s.applyFault("silence to "+p.name, d.ID(), func() { d.SetUnresponsiveTo(p.name, true) }, func() { d.SetUnresponsiveTo(p.name, false) })
	case 12:
		s.applyFault("lose answers", d.ID(), func() { d.LoseAnswers(3 + s.rng.IntN(20)) }, func() { d.LoseAnswers(0); d.ResetConnections() })
	case directFaults, directFaults + 1, directFaults + 2, directFaults + 3:
		s.injectLink(t, s.rng.IntN(linkFaults), p, d)
	}
}

const (
	directFaults = 13 // kinds of faults of processes and stand-ins
	linkFaults   = 4  // kinds of faults of links
)

// injectLink injects a fault of the link to a database or of one instance's link
// to the store. A connection that lost bytes is reset when the fault ends, as
// TCP never goes on after a gap.
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
		s.applyFault("silent link", to, func() { links.cutLinks(t, this) }, func() { links.healLinks(t, this); links.reset(t, this) })
	case 1:
		s.applyFault("link deaf "+stream, to, func() { links.addToxic(t, l, "deaf", "timeout", stream, `{"timeout":0}`) },
			func() { links.removeToxic(t, l, "deaf"); links.reset(t, this) })
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

// startSoak starts the deployment that a seed stands for.
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
	s := &faultInjector{h: h, rng: rand.New(rand.NewPCG(seed, 77)), faulty: make(map[string]bool)}
	stop := runCallers(h, hist, 16, seed)
	for end := time.Now().Add(soakDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(s.rng.IntN(maxFaultGapMillis)) * time.Millisecond)
		s.inject(t)
	}
	s.wg.Wait()
	h.waitAllServing() // recovery: every instance serves every service again
	stop()
	h.report(hist)
	if t.Failed() {
		t.Logf("seed %d, faults:\n%s", seed, strings.Join(s.injected, "\n"))
		saveLogs(t, h, seed)
	}
}

// saveLogs keeps the processes' logs of a failed seed.
func saveLogs(t *testing.T, h *hostedCluster, seed uint64) {
	dir := os.Getenv("GERANIUMBEAM_SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, p := range h.instances {
		path := fmt.Sprintf("%s/seed-%d-%s.log", dir, seed, p.name)
		if err := os.WriteFile(path, []byte(p.log.tail(maxLogBytes)), 0o600); err != nil {
			t.Logf("keep the log: %v", err)
		}
	}
}

// Guards against promises that break when faults come in series and overlap.
// GERANIUMBEAM_SOAK_SEEDS=FIRST-LAST chooses other seeds.
func TestHostedSoak(t *testing.T) {
	seeds := shortSeeds
	for seed := range regressionSeeds {
		seeds = append(seeds, seed)
	}
	if first, last, ok := strings.Cut(os.Getenv("GERANIUMBEAM_SOAK_SEEDS"), "-"); ok {
		a, err1 := strconv.ParseUint(first, 10, 64)
		b, err2 := strconv.ParseUint(last, 10, 64)
		if err1 != nil || err2 != nil {
			t.Fatalf("GERANIUMBEAM_SOAK_SEEDS: want FIRST-LAST, got %s-%s", first, last)
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
