// Package placement decides which organisations the connections to a database serve,
// if a connection serves one organisation and there are more organisations than
// connections. It does no I/O and gets the time as an argument.
package placement

import (
	"math"
	"slices"
	"time"
)

// useTimeConstant is the time constant of the estimate of an organisation's rate. The
// small organisations of a deployment with 82 send a request to a database every 15 to
// 30 s; a shorter time constant can't tell them apart.
const useTimeConstant = 30 * time.Second

// Use is the history of an organisation's use of a database: the number of its requests,
// weighted by their age. The zero value means no use.
type Use struct {
	weight float64
	at     time.Duration // of the last request
}

// Record counts a request.
func (u *Use) Record(now time.Duration) {
	u.weight = u.decayed(now) + 1
	u.at = now
}

// Rate returns the estimated number of requests per second.
func (u Use) Rate(now time.Duration) float64 { return u.decayed(now) / useTimeConstant.Seconds() }

// Negligible reports whether the use is so old or rare that it can be forgotten.
func (u Use) Negligible(now time.Duration) bool { return u.decayed(now) < negligibleWeight }

// negligibleWeight is the weight of a single request that is 2.5 minutes old.
const negligibleWeight = 0.007

func (u Use) decayed(now time.Duration) float64 {
	return u.weight * math.Exp(-(now-u.at).Seconds()/useTimeConstant.Seconds())
}

// Idle describes an idle connection.
type Idle struct {
	Organisation string  // empty if it serves none
	Rate         float64 // requests per second of the organisation
}

// maxOccupation bounds the assumed number of connections that an organisation uses on
// average, in the estimate for its further idle connections.
const maxOccupation = 0.9

// Victim returns the index of the idle connection to close for another organisation: one
// without organisation, or else the one that is expected to be needed last. idle is
// ordered by the time of the last use, the latest last; hold is the mean time for which a
// request uses a connection. Victim returns -1 if idle is empty.
//
// The first idle connection of an organisation is needed by its next request. Each
// further one is needed only by a request that comes while those before it are in use.
func Victim(idle []Idle, hold time.Duration) int {
	victim, latest := -1, 0.0
	rank := make(map[string]int, len(idle))
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if c.Organisation == "" {
			return oldestUnassigned(idle)
		}
		next := timeToUse(c.Rate, rank[c.Organisation], hold)
		rank[c.Organisation]++
		if victim < 0 || next >= latest {
			victim, latest = i, next
		}
	}
	return victim
}

func oldestUnassigned(idle []Idle) int {
	return slices.IndexFunc(idle, func(c Idle) bool { return c.Organisation == "" })
}

// timeToUse returns the expected time in seconds until a connection is needed before
// which the given number of idle ones of its organisation is used.
func timeToUse(rate float64, before int, hold time.Duration) float64 {
	if rate <= 0 {
		return math.Inf(1)
	}
	occupation := min(rate*hold.Seconds(), maxOccupation)
	return 1 / (rate * math.Pow(occupation, float64(before)))
}

// WaitTime returns how long a request should wait for one of the connections of its
// organisation that are in use, rather than have one opened; 0 means not at all. held
// contains how long each of them has been in use, waiting is the number of requests that
// wait for them already, hold is the mean time for which a request uses a connection and
// open the time to open one.
//
// Opening a connection occupies a slot of the database for its whole time. A connection
// that has been in use for twice the mean belongs to a transaction that waits for its
// caller, so its release can't be predicted.
func WaitTime(held []time.Duration, waiting int, hold, open time.Duration) time.Duration {
	var left []time.Duration
	for _, h := range held {
		if h < 2*hold {
			left = append(left, max(hold-h, hold/2))
		}
	}
	if waiting >= len(left) {
		return 0
	}
	slices.Sort(left)
	if left[waiting] > open {
		return 0
	}
	return open
}
