package main

import (
	"fmt"
	"time"
)

const (
	// replacedMachines is how many machines are removed for good, one after the other.
	replacedMachines = 50
	// replacedLife is how long a machine that will be removed runs.
	replacedLife = 800 * time.Millisecond
	// recoveryTime is recovery_s of the site.
	recoveryTime = 12 * time.Second
	calmTime     = 15 * time.Second
	measureTime  = 15 * time.Second
)

// replacedFleet removes machines without SIGTERM and adds others at new addresses, one at a
// time, so that seven run in the end as at the start. Then all processes are killed and
// start again. It checks that at least a quarter of the requests that are sent later than
// recoveryTime after that is served.
func replacedFleet(c *cluster, trouble bool) (bool, error) {
	began := time.Now()
	l := startLoad(c)
	for _, i := range c.instances {
		l.add(i, routePrimary, 100*time.Millisecond, func(int) string { return "WRITE a b" })
		l.add(i, routePrimary, 100*time.Millisecond, func(int) string { return "READ a" })
		l.add(i, routeBounded, 100*time.Millisecond, func(int) string { return "READ a" })
		l.add(i, routeSession, 100*time.Millisecond, func(int) string { return "READ a" })
	}
	time.Sleep(calmTime)
	if trouble {
		if err := c.replaceMachines(replacedMachines); err != nil {
			return false, err
		}
	}
	final := time.Now()
	for _, i := range c.instances {
		i.kill()
	}
	for _, i := range c.instances {
		if err := i.launch(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recoveryTime + measureTime)
	results := l.end()
	servedBefore, sentBefore := shareBetween(results, began, final)
	served, sent := shareBetween(results, back.Add(recoveryTime), time.Now())
	c.rec.printf("before the final fault %d of %d requests were served", servedBefore, sentBefore)
	c.rec.printf("later than %v after the machines were back %d of %d requests were served", recoveryTime, served, sent)
	if 4*servedBefore < sentBefore {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	if 4*served < sent {
		c.rec.printf("BROKEN: RECOVER: less than a quarter was served")
		return true, nil
	}
	return false, nil
}

// replaceMachines starts machines one after the other and removes each without SIGTERM. The
// machines of the cluster go on.
func (c *cluster) replaceMachines(count int) error {
	for n := range count {
		i, err := c.newInstance(instanceCount+n, c.storeAt)
		if err != nil {
			return err
		}
		c.extra = append(c.extra, i)
		if err := i.launch(); err != nil {
			return err
		}
		time.Sleep(replacedLife)
		i.kill()
	}
	return nil
}
