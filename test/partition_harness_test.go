package integration

import (
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
)

// minPartitionTime is how long a partition lasts at least. Deaths are known and a
// primary is replaced in less.
const minPartitionTime = 6 * time.Second

// partitionTest is a running deployment with a ledger on all instances, a session
// with a token, and a watch on the version of a class on each instance.
type partitionTest struct {
	*cluster
	workload  *insertWorkload
	session   *rowSession
	versions  *versionMonitor
	class     catalog.Class
	startedAt time.Time
	stop      func()
}

// startPartition returns a deployment that is about to be partitioned.
func startPartition(t *testing.T) *partitionTest {
	t.Helper()
	parallelCluster(t)
	c, l := startClusterWithWrites(t, options{editSeed: addAgeClasses})
	p := &partitionTest{
		cluster: c, workload: l, session: c.newSession(t, l, "gb-3"),
		versions: &versionMonitor{latest: make(map[string]uint64)},
		class:    catalog.Class{Name: "default", Service: "hut-ledger", Rank: catalog.RankNormal, LatencyTarget: catalog.Duration(2 * time.Second)},
	}
	for _, in := range c.instanceNames {
		p.session.checkServed(t, in, tolerantClass) // begins the sampling of the primary's position
		p.session.checkServed(t, in, "default")
	}
	done, name := make(chan struct{}), p.class.ObjectName()
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				p.versions.poll(c, platform.KindClass, name)
			}
		}
	})
	p.stop = sync.OnceFunc(func() { close(done); wg.Wait() })
	t.Cleanup(p.stop)
	waitFor(t, 30*time.Second, "all versions are known", func() bool { return p.versions.allHold(c.instanceNames, 1) })
	p.startedAt = time.Now()
	return p
}

// changeClass stores a change of the default class and returns its version.
func (p *partitionTest) changeClass(t *testing.T) uint64 {
	t.Helper()
	api := p.platformClient()
	defer api.Close()
	p.class.LatencyTarget += catalog.Duration(time.Millisecond)
	return putClass(t, api, p.class)
}

// waitVersion waits until the instances hold a version of the class.
func (p *partitionTest) waitVersion(t *testing.T, instances []string, version uint64) {
	t.Helper()
	start := time.Now()
	waitFor(t, 30*time.Second, "the configuration is in force", func() bool { return p.versions.allHold(instances, version) })
	t.Logf("version %d in force on %d instances after %v", version, len(instances), time.Since(start).Round(time.Millisecond))
}

// checkServes checks that reads and writes go on through the instances.
func (p *partitionTest) checkServes(t *testing.T, instances ...string) {
	t.Helper()
	now := time.Now()
	waitFor(t, 30*time.Second, "a write is acknowledged", func() bool {
		a, _, _ := p.workload.countOutcomes(setOf(instances...), now, time.Now())
		return a > 0
	})
	for _, in := range instances {
		p.session.checkServed(t, in, "default")
		p.session.checkServed(t, in, recentClass)
	}
}

// checkProvableReadsOnly checks that instances without a majority answer reads whose
// floor or age a replica proves, and refuse reads of recent data.
func (p *partitionTest) checkProvableReadsOnly(t *testing.T, instances ...string) {
	t.Helper()
	for _, in := range instances {
		p.session.checkServed(t, in, "default")
		p.session.checkServed(t, in, tolerantClass)
		p.session.checkRefused(t, in, recentClass)
	}
}

// waitMinTime waits until the partition has lasted for its time.
func (p *partitionTest) waitMinTime() { time.Sleep(time.Until(p.startedAt.Add(minPartitionTime))) }

// checkNoWriteAcknowledged checks that no write was acknowledged through the
// instances since the partition was noticed, and that some were refused.
func (p *partitionTest) checkNoWriteAcknowledged(t *testing.T, instances ...string) {
	t.Helper()
	acknowledged, refused, unknown := p.workload.countOutcomes(setOf(instances...), p.startedAt.Add(time.Second), time.Now())
	t.Logf("writes through %v: acknowledged %d, refused %d, unknown %d", instances, acknowledged, refused, unknown)
	if acknowledged != 0 || refused == 0 {
		t.Errorf("acknowledged %d and refused %d writes through %v, want refusals only", acknowledged, refused, instances)
	}
}

// healAndCheck heals all links and checks what was promised.
func (p *partitionTest) healAndCheck(t *testing.T) {
	t.Helper()
	p.links.healAll(t)
	healed := time.Now()
	p.finishAndCheck(t, p.workload).reportViolations(t)
	t.Logf("the group converged %v after the repair", time.Since(healed).Round(time.Millisecond))
	version := p.changeClass(t)
	p.waitVersion(t, p.instanceNames, version)
	p.waitPrimaryPublished(t, failoverGroup)
	p.stop()
	for _, e := range p.versions.reversions {
		t.Error(e)
	}
	for _, in := range p.instanceNames {
		p.session.checkServed(t, in, "default")
		p.session.checkServed(t, in, recentClass)
	}
}

// checkTermUnchanged checks that no primary was replaced.
func (p *partitionTest) checkTermUnchanged(t *testing.T) {
	t.Helper()
	if term := p.term(t, failoverGroup); term != 1 {
		t.Errorf("term is %d, want 1", term)
	}
}

// linksToOthers matches links between a data centre and the other ones.
func (p *partitionTest) linksToOthers(dc string) func(link) bool {
	inside := p.dataCentre(dc)
	return func(l link) bool {
		return l.from != callerEndpoint && l.to != platformEndpoint && inside[l.from] != inside[l.to]
	}
}

// linksToPlatform matches links of a data centre to the platform.
func (p *partitionTest) linksToPlatform(dc string) func(link) bool {
	inside := p.dataCentre(dc)
	return func(l link) bool { return inside[l.from] && l.to == platformEndpoint }
}

func anyOf(matches ...func(link) bool) func(link) bool {
	return func(l link) bool {
		for _, m := range matches {
			if m(l) {
				return true
			}
		}
		return false
	}
}

// versionAt reads the version of the default class that an instance holds.
func (p *partitionTest) versionAt(instance string) uint64 {
	p.versions.mu.Lock()
	defer p.versions.mu.Unlock()
	return p.versions.latest[instance]
}

// clusterSlots bounds the deployments that tests run at the same time.
var clusterSlots = make(chan struct{}, 4)

// parallelCluster lets the test run in parallel with a few others that start a deployment.
func parallelCluster(t *testing.T) {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}
