package primacy

import (
	"time"
)

const (
	// renewInterval is the pause between two questions that confirm the records.
	renewInterval = 400 * time.Millisecond
	// directValidity is how long what a question showed may be used, counted
	// from when it was sent. It covers a renewal that fails and the questions
	// to databases that replace it.
	directValidity = 1500 * time.Millisecond
	// relayedValidity covers the age of what a relay knows as well.
	relayedValidity = 2200 * time.Millisecond
	// storeDownRenewInterval is the pause while the store does not answer. With renewTimeout
	// it leaves room for a round that fails within the validity.
	storeDownRenewInterval = 250 * time.Millisecond
	// renewTimeout bounds a question. The store answers within 300 ms when it
	// is slow.
	renewTimeout = 400 * time.Millisecond
	// storeTimeout bounds other calls to the store.
	storeTimeout = 1 * time.Second
	// watchTimeout is how long a watch waits for a change. A connection that went
	// silent is noticed after this time and watchSlack.
	watchTimeout       = 15 * time.Second
	watchTimeoutMargin = 1 * time.Second
	// checkInterval is the period of the checks for a failed primary.
	checkInterval = 100 * time.Millisecond
	// rankDelay separates instances that could begin the same replacement.
	rankDelay = 120 * time.Millisecond
	// switchoverRankDelay does so for a primary that still works.
	switchoverRankDelay = 400 * time.Millisecond
	// probeTimeout bounds the question to a primary that seems not to answer.
	// A database that is five times slower than usual and has work for all
	// connections answers others meanwhile, which ends the suspicion.
	probeTimeout = 250 * time.Millisecond
	// quorumRetryDelay is the pause after a vote that found no quorum.
	quorumRetryDelay = 150 * time.Millisecond
	// countersPerTurn is how many instances count votes at the same time, and
	// turnPause the pause between two such groups: if none of the first can begin
	// the replacement within it, others try as well.
	countersPerTurn = 8
	turnDelay       = 100 * time.Millisecond
	// maxBootstrapDelay separates instances that could record the same primary.
	maxBootstrapDelay = 600 * time.Millisecond
	// takeoverTimeout is how long a replacement may stand still before another
	// instance takes it over. It is above the time that a promoter may wait.
	takeoverTimeout = relayedValidity + validityMargin + replacementTime
	// replacementTime is what a replacement may take besides the wait for the validity
	// of the instances' knowledge: control commands, the promotion and the wait
	// for the promoted database to lead.
	replacementTime = 3 * time.Second
	// ownRetryDelay is the pause before an instance repeats its own failed attempt.
	ownRetryDelay = 700 * time.Millisecond
	// maxBackoff bounds the pause between calls to a store that does not answer.
	maxBackoff = 1 * time.Second
	// replaceTimeout bounds one replacement.
	replaceTimeout = 15 * time.Second
)

// validityOf returns how long an instance uses what it knows.
func validityOf(relayed bool) time.Duration {
	if relayed {
		return relayedValidity
	}
	return directValidity
}

// InitialValidity is the validity before other instances are known.
const InitialValidity = directValidity
