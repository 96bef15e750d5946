package failover

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
)

// failoverBound is the longest allowed time from the failure of a primary to a new
// primary.
const failoverBound = 9 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// awaitReplication writes to the primary and waits until the replicas have the
// writes and the detectors' cooldown is over.
func (c *cluster) awaitReplication() {
	c.t.Helper()
	c.exec("a", `CREATE TABLE booking (id bigint)`)
	c.exec("a", `INSERT INTO booking VALUES (1)`)
	for _, name := range members[1:] {
		c.awaitFollowing(name, 1, c.status("a").Last)
	}
	c.eventually("the detectors' cooldown is over", func() bool {
		for _, in := range c.instances {
			in.Manager.mu.Lock()
			gs := in.groups[groupName]
			ready := gs != nil && time.Since(gs.detector.termChanged) > DefaultThresholds.Cooldown
			in.Manager.mu.Unlock()
			if !ready {
				return false
			}
		}
		return true
	})
}

// Guards against a killed primary that is not replaced in time, and against a
// former primary that does not follow the new one after its restart.
func TestKilledPrimaryIsReplaced(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	before := c.status("b").Last
	began := time.Now()
	if err := c.databases["a"].Crash(); err != nil {
		t.Fatal(err)
	}
	primary, term := c.awaitPrimary(1, "a", "b", "c")
	took := time.Since(began)
	t.Logf("new primary %s of term %d after %v", primary, term, took)
	if took > failoverBound {
		t.Errorf("failover took %v, bound is %v", took, failoverBound)
	}
	c.exec(primary, `INSERT INTO booking VALUES (2)`)
	last := c.status(primary).Last
	if last.Compare(before) <= 0 || c.status(primary).Role != backend.RolePrimary {
		t.Errorf("status of %s is %+v", primary, c.status(primary))
	}
	other := strings.Trim("bc", primary)
	c.awaitFollowing(other, term, last)
	c.restart("a")
	c.awaitFollowing("a", term, last)
	c.eventually("the platform names the primary", func() bool { g := c.platform.group(t); return g.Primary == primary && g.Term == term })
	for _, phase := range []string{"detection", "term", "raise", "promote", "redirect"} {
		if c.promotionEvents(phase+" ") == 0 {
			t.Errorf("no event reports the duration of phase %s", phase)
		}
	}
}

// Guards against an isolated primary that is not replaced, and against unconfirmed
// writes of it that survive.
func TestIsolatedPrimaryIsReplaced(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	began := time.Now()
	c.instances["a"].isolated.Store(true)
	for _, stream := range []string{"upstream", "downstream"} {
		if _, err := c.proxies["a"].Toxics.AddToxicJson(strings.NewReader(`{"name":"` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`)); err != nil {
			t.Fatal(err)
		}
	}
	c.exec("a", `INSERT INTO booking VALUES (98)`)
	primary, term := c.awaitPrimary(1, "b", "c")
	took := time.Since(began)
	t.Logf("new primary %s of term %d after %v", primary, term, took)
	if took > failoverBound {
		t.Errorf("failover took %v, bound is %v", took, failoverBound)
	}
	if s := c.status("a"); s.Role != backend.RolePrimary || s.Term != 1 {
		t.Errorf("the isolated database was reached: %+v", s)
	}
	c.exec(primary, `INSERT INTO booking VALUES (2)`)
	last := c.status(primary).Last
	c.proxies["a"].Toxics.ResetToxics(t.Context())
	c.instances["a"].isolated.Store(false)
	if _, err := c.instances["a"].directory.Apply([]platform.Object{c.platform.object}); err != nil {
		t.Fatal(err)
	}
	c.awaitFollowing("a", term, last)
	if got := c.status("a").Last; got != last {
		t.Errorf("the former primary's last position is %v, the new primary's %v", got, last)
	}
}

// Guards against a candidate that does not continue with its claimed term when the
// platform's answer is lost after the write took effect.
func TestLostPlatformAnswer(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	lost := 0
	c.platform.after = func(platform.Group) error {
		if lost++; lost%2 == 1 {
			return errNoAnswer
		}
		return nil
	}
	if err := c.databases["a"].Crash(); err != nil {
		t.Fatal(err)
	}
	if _, term := c.awaitPrimary(1, "a", "b", "c"); term != 2 {
		t.Errorf("term is %d, want 2", term)
	}
	c.eventually("the platform names the primary", func() bool { return c.platform.group(t).Primary != "" })
}

// Guards against a promotion without a term claimed on the platform.
func TestNoPromotionWhilePlatformIsDown(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	c.platform.unavailable.Store(true)
	if err := c.databases["a"].Crash(); err != nil {
		t.Fatal(err)
	}
	c.eventually("a candidate fails", func() bool { return c.promotionEvents("no promotion: read group") > 0 })
	for _, name := range members[1:] {
		if s := c.status(name); s.Term != 1 || s.Role != backend.RoleReplica {
			t.Errorf("%s is %+v without the platform", name, s)
		}
	}
	c.platform.unavailable.Store(false)
	c.awaitPrimary(1, "a", "b", "c")
}

// Guards against a group that stays without a primary when a candidate fails after
// it claimed a term.
func TestCandidateFailsAfterClaimingTerm(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	stopped := ""
	c.platform.after = func(g platform.Group) error {
		if stopped == "" {
			stopped = g.Candidate
			c.instances[stopped].stop()
		}
		return nil
	}
	began := time.Now()
	if err := c.databases["a"].Crash(); err != nil {
		t.Fatal(err)
	}
	c.eventually("a candidate dies", func() bool { c.platform.mu.Lock(); defer c.platform.mu.Unlock(); return stopped != "" })
	var running []string
	for _, name := range members {
		if name != stopped {
			running = append(running, name)
		}
	}
	primary, term := c.awaitPrimary(2, running...)
	took := time.Since(began)
	t.Logf("%s stopped; new primary %s of term %d after %v", stopped, primary, term, took)
	if took > failoverBound {
		t.Errorf("failover took %v, bound is %v", took, failoverBound)
	}
}

// Guards against a primary that is never published on the platform because the
// candidate failed after the promotion.
func TestCandidateFailsBeforePublishing(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	stopped := ""
	c.platform.before = func(g platform.Group) error {
		if g.Primary == "" || stopped != "" {
			return nil
		}
		stopped = g.Candidate
		c.instances[stopped].stop()
		return errNoAnswer
	}
	if err := c.databases["a"].Crash(); err != nil {
		t.Fatal(err)
	}
	c.eventually("the platform names the primary", func() bool { g := c.platform.group(t); return g.Term >= 2 && g.Primary != "" })
	g := c.platform.group(t)
	if s := c.status(g.Primary); s.Role != backend.RolePrimary || s.Term != g.Term {
		t.Errorf("the platform names %s of term %d, which is %+v", g.Primary, g.Term, s)
	}
}

// Guards against a leaving primary that is not replaced, so that the group takes no
// writes, and against more than one switchover.
func TestLeavingPrimarySwitchesOver(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	last := c.status("a").Last
	c.exec("a", `SELECT standin_set('leaving', 1)`)
	primary, term := c.awaitPrimary(1, "a", "b", "c")
	if primary == "a" {
		t.Fatal("the leaving database was promoted")
	}
	if got := c.status(primary).Last; got.Offset <= last.Offset {
		t.Errorf("the new primary's last position is %v, the former primary's was %v", got, last)
	}
	c.awaitFollowing("a", term, c.status(primary).Last)
	if c.promotionEvents("is leaving; this instance starts to replace it") != 1 {
		t.Errorf("%d switchovers were started, want 1", c.promotionEvents("is leaving; this instance starts to replace it"))
	}
}

// Guards against two concurrent candidates that both promote a database.
func TestTwoCandidatesAtOnce(t *testing.T) {
	c := startCluster(t, nil)
	c.awaitReplication()
	for _, in := range c.instances { // the test starts the candidates
		in.Manager.mu.Lock()
		in.groups[groupName].nextAttempt = time.Now().Add(time.Hour)
		in.Manager.mu.Unlock()
	}
	if err := c.databases["a"].Crash(); err != nil {
		t.Fatal(err)
	}
	c.eventually("two instances suspect", func() bool {
		for _, name := range members[1:] {
			in := c.instances[name]
			in.Manager.mu.Lock()
			suspect := in.groups[groupName].detector.Suspect(time.Now())
			in.Manager.mu.Unlock()
			if !suspect {
				return false
			}
		}
		return true
	})
	errs := make(chan error, 2)
	for _, name := range members[1:] {
		in := c.instances[name]
		go func() {
			s, ok := in.takeSnapshot(in.groups[groupName])
			if !ok {
				errs <- ErrPrimaryHealthy
				return
			}
			p := &promotion{manager: in.Manager, group: groupName, snapshot: s, plan: NewPlan(1, name, name, false), phaseStart: time.Now()}
			errs <- p.run(context.Background())
		}()
	}
	first, second := <-errs, <-errs
	if first == nil && second == nil {
		t.Error("both candidates promoted a database")
	}
	for _, err := range []error{first, second} {
		if err != nil && !errors.Is(err, ErrSuperseded) && !errors.Is(err, ErrPrimaryHealthy) {
			t.Errorf("candidate failed: %v", err)
		}
	}
	primary, term := c.awaitPrimary(1, "a", "b", "c")
	c.awaitFollowing(strings.Trim("bc", primary), term, c.status(primary).Last)
}
