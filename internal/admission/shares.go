package admission

import (
	"math"
	"time"

	"geraniumbeam/internal/catalog"
)

// GuaranteedShare is the share of slot time that each lower rank keeps while
// it has waiting work. It is slightly above the target of 10 % so that the
// measured share stays above it.
//
// Two lower ranks that both ask for 10 % or more leave 79 % to urgent work, so
// the targets "each lower rank keeps 10 %" and "urgent goodput above 85 %"
// exclude each other in that case, and the guarantee of the lower ranks takes
// precedence. Whenever the lower ranks together ask for no more than 14 %, or
// only one of them has waiting work, all targets hold: a lower rank gets no
// more than its share while urgent work waits.
const GuaranteedShare = 0.105

const rankCount = 3

// Bounds of the credit in mean service times. The upper bound limits how much
// lower work may pass urgent work at once after a quiet time. The lower bound
// limits how long a rank waits for its share after it used idle capacity.
const (
	maxCredit = 1
	maxDebt   = 8
)

// shares accounts slot time per rank. A lower rank whose credit is positive
// goes before higher ranks. Credit grows by GuaranteedShare of all slot time
// used and falls by the slot time that the rank uses itself, so a rank that
// already gets more than its share never passes urgent work.
type shares struct {
	credit   [rankCount]float64 // seconds
	used     [rankCount]float64 // seconds used, decaying with usedWindow
	usedAt   time.Duration
	cost     average
	meanCost float64
}

// usedWindow is the time constant of the utilisation per rank.
const usedWindow = time.Second

func (s *shares) charge(rank int, seconds float64) { s.credit[rank] -= seconds }

// settle replaces the charged estimate by the measured service time.
func (s *shares) settle(now time.Duration, rank int, charged, service float64) {
	s.credit[rank] += charged - service
	s.decay(now)
	s.used[rank] += service
	if service > 0 {
		s.cost.add(service, costWindow)
		s.meanCost = s.cost.mean
	}
	for r := range s.credit {
		s.credit[r] = min(max(s.credit[r]+GuaranteedShare*service, -maxDebt*s.meanCost), maxCredit*s.meanCost)
	}
}

func (s *shares) decay(now time.Duration) {
	f := math.Exp(-(now - s.usedAt).Seconds() / usedWindow.Seconds())
	s.usedAt = now
	for r := range s.used {
		s.used[r] *= f
	}
}

// utilisation is the recent share of the slots' time that ranks above rank used.
func (s *shares) utilisationAbove(now time.Duration, rank, slots int) float64 {
	s.decay(now)
	var sum float64
	for r := range rank {
		sum += s.used[r]
	}
	return min(1, sum/usedWindow.Seconds()/float64(slots))
}

// pickRank returns the rank to serve next; some rank has waiting work.
func (c *core) pickRank() int {
	first := -1
	best := -1
	for r := range catalog.Ranks {
		if c.ranks[r].count == 0 {
			continue
		}
		if first < 0 {
			first, best = r, r
			continue
		}
		if c.policy != PolicyTargets || c.shares.credit[r] <= 0 {
			continue
		}
		if best == first || c.shares.credit[r] > c.shares.credit[best] {
			best = r
		}
	}
	return best
}
