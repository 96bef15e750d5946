package primacy

import (
	"time"
)

const (
	// renewInterval is the interval between two requests that confirm the records.
	renewInterval = 400 * time.Millisecond
	// recordValidity is how long a confirmed record may be used, counted from when
	// the request to the store was sent. It covers an upstream that fails, a
	// renewal that fails after it, and the status requests to databases that
	// replace it. A promoter waits for it if an instance is out of reach.
	recordValidity = 1300 * time.Millisecond
	// databaseQueryAge is the age of a confirmation from which databases are asked
	// instead of the store. Each question takes a slot of a database, and an instance
	// that lost its upstream usually has the state from others by then.
	databaseQueryAge = 600 * time.Millisecond
	// hedgeDelay is how long an instance waits for the store before it asks peers
	// and databases as well. A store that is not slow answers within 5 ms.
	hedgeDelay = 200 * time.Millisecond
	// storeDownRenewInterval is the interval between renewals while the store is
	// unavailable. Together with renewTimeout it leaves room for one failed round
	// within the validity.
	storeDownRenewInterval = 250 * time.Millisecond
	// renewTimeout bounds a renewal request. A slow store answers within 300 ms.
	renewTimeout = 400 * time.Millisecond
	// storeTimeout bounds other calls to the store.
	storeTimeout = 1 * time.Second
	// watchTimeout is how long the store holds a watch request open without a
	// change. A dead connection is detected after this time and
	// watchTimeoutMargin.
	watchTimeout       = 15 * time.Second
	watchTimeoutMargin = 1 * time.Second
	// checkInterval is the interval between checks for a failed primary.
	checkInterval = 100 * time.Millisecond
	// rankDelay is the delay per rank that keeps instances from starting the same
	// failover at the same time.
	rankDelay = 40 * time.Millisecond
	// switchoverRankDelay is the delay per rank in a switchover, when the primary
	// still works.
	switchoverRankDelay = 400 * time.Millisecond
	// quorumRetryDelay is the delay after a vote without a quorum.
	quorumRetryDelay = 50 * time.Millisecond
	// maxQuorumRetryDelay bounds the exponential back-off after several such votes.
	// Those who do not reach a primary that others reach would otherwise list all
	// registrations as fast as the store answers.
	maxQuorumRetryDelay = 1200 * time.Millisecond
	// countersPerTurn is how many instances count votes at the same time, and
	// turnDelay the delay between two such groups: if no instance of the first
	// group can start the replacement within it, the next group tries as well.
	countersPerTurn = 8
	turnDelay       = 100 * time.Millisecond
	// maxBootstrapDelay is the upper bound of the random delay that keeps instances
	// from recording the same initial primary at the same time.
	maxBootstrapDelay = 600 * time.Millisecond
	// takeoverTimeout is how long a replacement may make no progress before
	// another instance takes it over. It must exceed the time for which a promoter
	// may wait.
	takeoverTimeout = recordValidity + validityMargin + replacementTime
	// replacementTime is how long a replacement may take besides the wait for the
	// validity of cached records: control commands, the promotion and the wait for
	// the promoted database to report that it is primary.
	replacementTime = 3 * time.Second
	// promotionWindow is how long after a promoter began to write the candidate into the
	// record it may send promotion calls. A successor takes the record over after
	// takeoverTimeout, and nothing else keeps a call of the former promoter from undoing
	// the promotion by the successor.
	promotionWindow = takeoverTimeout - promoteTimeout
	// ownRetryDelay is the delay before an instance retries its own failed
	// replacement.
	ownRetryDelay = 700 * time.Millisecond
	// maxBackoff bounds the back-off between calls to a store that is unavailable.
	maxBackoff = 1 * time.Second
	// replaceTimeout bounds one check of a service, including a replacement.
	replaceTimeout = 15 * time.Second
)

// InitialValidity is the validity of an instance that has just started.
const InitialValidity = recordValidity
