package integration

import (
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
)

// partitionMin is how long a partition lasts at least. Deaths are known and a
// primary is replaced in less.
const partitionMin = 6 * time.Second

// partition is a running deployment with a ledger on all instances, a session
// with a token, and a watch on the version of a class on each instance.
type partition struct {
	*cluster
	ledger  *ledger
	session *session
	watch   *versionWatch
	class   catalog.Class
	began   time.Time
	stop    func()
}

// startPartition returns a deployment that is about to be partitioned.
func startPartition(t *testing.T) *partition {
	t.Helper()
	heavy(t)
	c, l := startWriting(t, options{seed: addAgeClasses})
	p := &partition{
		cluster: c, ledger: l, session: c.newSession(t, l, "gb-3"),
		watch: &versionWatch{highest: make(map[string]uint64)},
		class: catalog.Class{Name: "default", Service: "hut-ledger", Rank: catalog.RankNormal, LatencyTarget: catalog.Duration(2 * time.Second)},
	}
	for _, in := range c.order {
		p.session.served(t, in, patient) // begins the sampling of the primary's position
		p.session.served(t, in, "default")
	}
	done, name := make(chan struct{}), p.class.ObjectName()
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				p.watch.poll(c, platform.KindClass, name)
			}
		}
	})
	p.stop = sync.OnceFunc(func() { close(done); wg.Wait() })
	t.Cleanup(p.stop)
	waitFor(t, 30*time.Second, "all versions are known", func() bool { return p.watch.everywhere(c.order, 1) })
	p.began = time.Now()
	return p
}

// configure stores a change of the default class and returns its version.
func (p *partition) configure(t *testing.T) uint64 {
	t.Helper()
	api := p.api()
	defer api.Close()
	p.class.LatencyTarget += catalog.Duration(time.Millisecond)
	return putClass(t, api, p.class)
}

// reaches waits until the instances hold a version of the class.
func (p *partition) reaches(t *testing.T, instances []string, version uint64) {
	t.Helper()
	start := time.Now()
	waitFor(t, 30*time.Second, "the configuration is in force", func() bool { return p.watch.everywhere(instances, version) })
	t.Logf("version %d in force on %d instances after %v", version, len(instances), time.Since(start).Round(time.Millisecond))
}

// serves checks that reads and writes go on through the instances.
func (p *partition) serves(t *testing.T, instances ...string) {
	t.Helper()
	now := time.Now()
	waitFor(t, 30*time.Second, "a write is acknowledged", func() bool {
		a, _, _ := p.ledger.outcomesBetween(names(instances...), now, time.Now())
		return a > 0
	})
	for _, in := range instances {
		p.session.served(t, in, "default")
		p.session.served(t, in, recentClass)
	}
}

// servesProvenReads checks that instances without a majority answer reads whose
// floor or age a replica proves, and refuse reads of recent data.
func (p *partition) servesProvenReads(t *testing.T, instances ...string) {
	t.Helper()
	for _, in := range instances {
		p.session.served(t, in, "default")
		p.session.served(t, in, patient)
		p.session.refused(t, in, recentClass)
	}
}

// last waits until the partition has lasted for its time.
func (p *partition) last() { time.Sleep(time.Until(p.began.Add(partitionMin))) }

// acknowledgesNothing checks that no write was acknowledged through the
// instances since the partition was noticed, and that some were refused.
func (p *partition) acknowledgesNothing(t *testing.T, instances ...string) {
	t.Helper()
	acknowledged, refused, unknown := p.ledger.outcomesBetween(names(instances...), p.began.Add(time.Second), time.Now())
	t.Logf("writes through %v: acknowledged %d, refused %d, unknown %d", instances, acknowledged, refused, unknown)
	if acknowledged != 0 || refused == 0 {
		t.Errorf("acknowledged %d and refused %d writes through %v, want refusals only", acknowledged, refused, instances)
	}
}

// converges heals all links and checks what was promised.
func (p *partition) converges(t *testing.T) {
	t.Helper()
	p.links.heal(t)
	healed := time.Now()
	p.settle(t, p.ledger).report(t)
	t.Logf("the group converged %v after the repair", time.Since(healed).Round(time.Millisecond))
	version := p.configure(t)
	p.reaches(t, p.order, version)
	p.waitPublished(t, failoverGroup)
	p.stop()
	for _, e := range p.watch.errors {
		t.Error(e)
	}
	for _, in := range p.order {
		p.session.served(t, in, "default")
		p.session.served(t, in, recentClass)
	}
}

// sameTerm checks that no primary was replaced.
func (p *partition) sameTerm(t *testing.T) {
	t.Helper()
	if term := p.term(t, failoverGroup); term != 1 {
		t.Errorf("term is %d, want 1", term)
	}
}

// fromOthers matches links between a data centre and the other ones.
func (p *partition) fromOthers(dc string) func(link) bool {
	inside := p.dataCentre(dc)
	return func(l link) bool {
		return l.from != callerEnd && l.to != platformEnd && inside[l.from] != inside[l.to]
	}
}

// fromPlatform matches links of a data centre to the platform.
func (p *partition) fromPlatform(dc string) func(link) bool {
	inside := p.dataCentre(dc)
	return func(l link) bool { return inside[l.from] && l.to == platformEnd }
}

func either(matches ...func(link) bool) func(link) bool {
	return func(l link) bool {
		for _, m := range matches {
			if m(l) {
				return true
			}
		}
		return false
	}
}

// heldVersion reads the version of the default class that an instance holds.
func (p *partition) heldVersion(instance string) uint64 {
	p.watch.mu.Lock()
	defer p.watch.mu.Unlock()
	return p.watch.highest[instance]
}

// clusters bounds the deployments that tests run at the same time.
var clusters = make(chan struct{}, 4)

// heavy lets the test run in parallel with a few others that start a deployment.
func heavy(t *testing.T) {
	t.Helper()
	t.Parallel()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
}
