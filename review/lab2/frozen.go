package main

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	// freezeTime is how long the machine is suspended.
	freezeTime = 7 * time.Second
	// crashTime is how long a crashed primary is down; the longest on the site's days.
	crashTime = 7 * time.Second
	// freezeRounds bounds the crashes of a primary in one run.
	freezeRounds = 9
	// roundTime is the time from one crash to the next.
	roundTime = 11 * time.Second
	// minStopDelay and stopDelaySpread bound the time from the store's answer to the suspension.
	minStopDelay    = 40 * time.Microsecond
	stopDelaySpread = 120 * time.Microsecond
	// afterTime is how long the load goes on after the rule was broken.
	afterTime = 10 * time.Second
)

// frozenPromoter crashes the primary several times, one after the other. Each time it
// suspends the machine that replaces it, as the answer to its last write to the store is on
// its way. It checks that the platform gets no promotion call with a lower fencing token
// than it has seen.
func frozenPromoter(c *cluster, trouble bool) (bool, error) {
	l := startLoad(c)
	for _, i := range c.instances {
		l.add(i, routePrimary, 250*time.Millisecond, func(int) string { return "WRITE a b" })
	}
	time.Sleep(2 * time.Second)
	var armed atomic.Bool
	c.setOnAnswer(func(call storeCall) {
		phase, candidate, token, ok := recordOf(call)
		if !ok || phase != "replacing" {
			return
		}
		c.rec.printf("the store has carried out a write of %s: phase %s, candidate %q, token %d", call.instance.name, phase, candidate, token)
		if candidate == "" || !armed.CompareAndSwap(true, false) {
			return
		}
		time.AfterFunc(minStopDelay+rand.N(stopDelaySpread), func() {
			call.instance.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { call.instance.signal(syscall.SIGCONT) })
		})
	})
	broken := false
	for n := 0; n < freezeRounds && !broken; n++ {
		primary := c.group.Primary()
		if primary == nil {
			return false, errNoPrimary
		}
		armed.Store(trouble)
		c.crash(primary)
		time.AfterFunc(crashTime, func() { c.restart(primary) })
		time.Sleep(roundTime)
		broken = lowerToken(c, c.group.PromotionCalls())
	}
	if broken {
		time.Sleep(afterTime)
	}
	served, sent := share(l.end(), time.Now().Add(-afterTime/2))
	c.rec.printf("of %d requests in the last %v, %d were served", sent, afterTime/2, served)
	for n, call := range c.group.PromotionCalls() {
		c.rec.printf("promotion call %d: database %s, holder %s, token %d", n+1, call.Database, call.Holder, call.Token)
	}
	return broken, nil
}

// lowerToken reports whether a call has a lower token than one before it.
func lowerToken(c *cluster, calls []hosted.PromotionCall) bool {
	highest := uint64(0)
	for n, call := range calls {
		if call.Token < highest {
			c.rec.printf("BROKEN: promotion call %d of %s has token %d, after one with token %d", n+1, call.Holder, call.Token, highest)
			return true
		}
		highest = call.Token
	}
	return false
}
