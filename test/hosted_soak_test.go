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
var shortSeeds = []uint64{1, 2, scarceSeeds + 1, linkSeeds + 1}

// regressionSeeds are seeds that failed once, with the cause.
var regressionSeeds = map[uint64]string{}

const (
	// scarceSeeds is the first seed of deployments whose databases have fewer
	// connections than there are instances.
	scarceSeeds = 1000
	// linkSeeds is the first seed of deployments with a loopback proxy before each
	// database and between each instance and the store. Every other one has
	// scarce connections.
	linkSeeds = 2000
	soakTime  = 4 * time.Second // of faults, for each seed
	// soakGap is the longest pause between two faults, in milliseconds.
	soakGap = 400
	// soakHold is the longest duration of a fault, in milliseconds.
	soakHold = 1500
)

// soak injects faults into a deployment from outside its processes. The seed
// decides all of them.
type soak struct {
	h   *hostedCluster
	rng *rand.Rand
	wg  sync.WaitGroup

	mu       sync.Mutex
	busy     map[string]bool // things that a fault holds
	injected []string
}

// hold runs start at once and end after a while, unless the thing is held by
// another fault.
func (s *soak) hold(what, thing string, start, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[thing] {
		return
	}
	s.busy[thing] = true
	d := time.Duration(100+s.rng.IntN(soakHold)) * time.Millisecond
	s.injected = append(s.injected, fmt.Sprintf("%s %s for %v", what, thing, d))
	start()
	s.wg.Go(func() {
		time.Sleep(d)
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy[thing] = false
	})
}

func (s *soak) database() *hosted.Database {
	g := s.h.groups[s.rng.IntN(len(s.h.groups))]
	if s.rng.IntN(2) == 0 {
		return g.Primary()
	}
	return g.Members()[s.rng.IntN(len(g.Members()))]
}

// inject injects the next fault.
func (s *soak) inject(t *testing.T) {
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
		s.hold("kill", p.name, func() { p.signal(t, syscall.SIGKILL) }, restart)
	case 1:
		s.hold("stop", p.name, func() { p.signal(t, syscall.SIGTERM) }, restart)
	case 2:
		s.hold("freeze", p.name, func() { p.pause(t) }, func() { p.resume(t) })
	case 3:
		s.hold("hang up", p.name, func() { p.signal(t, syscall.SIGHUP) }, func() {})
	case 4, 5:
		s.hold("store "+string(storeFault), "store", func() { s.h.store.SetFault("", storeFault) }, func() { s.h.store.SetFault("", hosted.Healthy) })
	case 6:
		s.hold("store of one "+string(storeFault), "store of "+p.name,
			func() { s.h.store.SetFault(p.name, storeFault) }, func() { s.h.store.SetFault(p.name, hosted.Healthy) })
	case 7:
		s.hold("forget", "store", s.h.store.Compact, func() {})
	case 8:
		s.hold("crash", d.ID(), d.Crash, func() {
			if err := d.Restart(); err != nil {
				t.Errorf("restart %s: %v", d.ID(), err)
			}
		})
	case 9:
		s.hold("cut from the group", d.ID(), func() { d.SetPartitioned(true) }, func() { d.SetPartitioned(false) })
	case 10:
		s.hold("lag", d.ID(), func() { d.SetLagging(true) }, func() { d.SetLagging(false) })
	case 11:
		s.hold("silence to "+p.name, d.ID(), func() { d.SetUnresponsiveTo(p.name, true) }, func() { d.SetUnresponsiveTo(p.name, false) })
	case 12:
		s.hold("lose answers", d.ID(), func() { d.LoseAnswers(3 + s.rng.IntN(20)) }, func() { d.LoseAnswers(0); d.ResetConnections() })
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
func (s *soak) injectLink(t *testing.T, kind int, p *process, d *hosted.Database) {
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
		s.hold("silent link", to, func() { links.cutLinks(t, this) }, func() { links.healLinks(t, this); links.reset(t, this) })
	case 1:
		s.hold("link deaf "+stream, to, func() { links.addToxic(t, l, "deaf", "timeout", stream, `{"timeout":0}`) },
			func() { links.removeToxic(t, l, "deaf"); links.reset(t, this) })
	case 2:
		s.hold(fmt.Sprintf("link slow by %d ms %s", delay, stream), to,
			func() {
				links.addToxic(t, l, "slow", "latency", stream, fmt.Sprintf(`{"latency":%d,"jitter":%d}`, delay, delay/2))
			},
			func() { links.removeToxic(t, l, "slow") })
	case 3:
		s.hold("link reset", to, func() { links.reset(t, this) }, func() {})
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
	if seed < scarceSeeds || (seed >= linkSeeds && seed%2 == 0) {
		return startHostedBehind(t, ls, 4, 2, 4*4)
	}
	return startHostedBehind(t, ls, 7, 1, 6)
}

func runSoak(t *testing.T, seed uint64) {
	h := startSoak(t, seed)
	hist := &history{}
	s := &soak{h: h, rng: rand.New(rand.NewPCG(seed, 77)), busy: make(map[string]bool)}
	stop := runCallers(h, hist, 16, seed)
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		time.Sleep(time.Duration(s.rng.IntN(soakGap)) * time.Millisecond)
		s.inject(t)
	}
	s.wg.Wait()
	h.awaitServed() // recovery: every instance serves every service again
	stop()
	h.report(hist)
	if t.Failed() {
		t.Logf("seed %d, faults:\n%s", seed, strings.Join(s.injected, "\n"))
		keepLogs(t, h, seed)
	}
}

// keepLogs keeps the processes' logs of a failed seed.
func keepLogs(t *testing.T, h *hostedCluster, seed uint64) {
	dir := os.Getenv("GERANIUMBEAM_SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, p := range h.instances {
		path := fmt.Sprintf("%s/seed-%d-%s.log", dir, seed, p.name)
		if err := os.WriteFile(path, []byte(p.log.tail(maxLog)), 0o600); err != nil {
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
