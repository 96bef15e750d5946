package integration

import (
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
)

// minPartitionTime is the minimum duration of a partition. It is longer than the
// detection of a failed member and the replacement of a primary take.
const minPartitionTime = 6 * time.Second

// partitionTest is a deployment with inserts through all instances, a session with
// a token, and a monitor of the default class's version on each instance.
type partitionTest struct {
	*cluster
	workload  *insertWorkload
	session   *rowSession
	versions  *versionMonitor
	class     catalog.Class
	startedAt time.Time
	stop      func()
}

// startPartition starts the deployment for a partition test. The minimum duration
// of the partition counts from its return.
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
		p.session.checkServed(t, in, tolerantClass) // starts the sampling of the primary's position
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
	waitFor(t, 30*time.Second, "all instances hold a version of the class", func() bool { return p.versions.allHold(c.instanceNames, 1) })
	p.startedAt = time.Now()
	return p
}

// changeClass stores a change of the default class and returns the new version.
func (p *partitionTest) changeClass(t *testing.T) uint64 {
	t.Helper()
	api := p.platformClient()
	defer api.Close()
	p.class.LatencyTarget += catalog.Duration(time.Millisecond)
	return putClass(t, api, p.class)
}

// waitVersion waits until the instances hold the version of the class or a newer
// one.
func (p *partitionTest) waitVersion(t *testing.T, instances []string, version uint64) {
	t.Helper()
	start := time.Now()
	waitFor(t, 30*time.Second, "the configuration is in force", func() bool { return p.versions.allHold(instances, version) })
	t.Logf("version %d in force on %d instances after %v", version, len(instances), time.Since(start).Round(time.Millisecond))
}

// checkServes checks that the instances serve reads and that a write through one of
// them is acknowledged.
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

// checkProvableReadsOnly checks that instances without a majority answer reads
// whose session floor or maximum age a replica can satisfy, and refuse reads of
// recent data.
func (p *partitionTest) checkProvableReadsOnly(t *testing.T, instances ...string) {
	t.Helper()
	for _, in := range instances {
		p.session.checkServed(t, in, "default")
		p.session.checkServed(t, in, tolerantClass)
		p.session.checkRefused(t, in, recentClass)
	}
}

// waitMinTime waits until the partition has lasted for the minimum duration.
func (p *partitionTest) waitMinTime() { time.Sleep(time.Until(p.startedAt.Add(minPartitionTime))) }

// checkNoWriteAcknowledged checks that the instances refused writes and acknowledged
// none, beginning one second after the start of the partition, when they have
// detected it.
func (p *partitionTest) checkNoWriteAcknowledged(t *testing.T, instances ...string) {
	t.Helper()
	acknowledged, refused, unknown := p.workload.countOutcomes(setOf(instances...), p.startedAt.Add(time.Second), time.Now())
	t.Logf("writes through %v: acknowledged %d, refused %d, unknown %d", instances, acknowledged, refused, unknown)
	if acknowledged != 0 || refused == 0 {
		t.Errorf("acknowledged %d and refused %d writes through %v, want refusals only", acknowledged, refused, instances)
	}
}

// healAndCheck heals all links and checks that the databases converge, no write
// contradicts its answer, no instance went back to an older version, and all
// instances serve reads and the newest configuration.
func (p *partitionTest) healAndCheck(t *testing.T) {
	t.Helper()
	p.links.healAll(t)
	healed := time.Now()
	p.finishAndCheck(t, p.workload).reportViolations(t)
	t.Logf("the group converged %v after the links were healed", time.Since(healed).Round(time.Millisecond))
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

// checkTermUnchanged checks that no primary was promoted.
func (p *partitionTest) checkTermUnchanged(t *testing.T) {
	t.Helper()
	if term := p.term(t, failoverGroup); term != 1 {
		t.Errorf("term is %d, want 1 without a promotion", term)
	}
}

// linksToOthers matches the links between a data centre and the others.
func (p *partitionTest) linksToOthers(dc string) func(link) bool {
	inside := p.dataCentre(dc)
	return func(l link) bool {
		return l.from != callerEndpoint && l.to != platformEndpoint && inside[l.from] != inside[l.to]
	}
}

// linksToPlatform matches the links from a data centre to the platform.
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

// versionAt returns the latest version of the default class seen on an instance.
func (p *partitionTest) versionAt(instance string) uint64 {
	p.versions.mu.Lock()
	defer p.versions.mu.Unlock()
	return p.versions.latest[instance]
}

// clusterSlots bounds the number of deployments that run at the same time.
var clusterSlots = make(chan struct{}, 4)

// parallelCluster marks the test as parallel and waits for one of the slots for a
// deployment.
func parallelCluster(t *testing.T) {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}
