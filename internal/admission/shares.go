package admission

import (
	"math"
	"time"

	"geraniumbeam/internal/catalog"
)

// GuaranteedShare is the share of slot time that each lower rank keeps while it has
// waiting work. It is slightly above the target of 10 % so that the achieved share
// stays above the target.
//
// Two lower ranks that both need 10 % or more leave 79 % to urgent work, so the
// targets "each lower rank keeps 10 %" and "urgent goodput above 85 %" exclude each
// other in that case. The guarantee of the lower ranks then takes precedence. All
// targets hold whenever the lower ranks together need no more than 14 %, or only one
// of them has waiting work, because a lower rank gets no more than its share while
// urgent work waits.
const GuaranteedShare = 0.105

const rankCount = 3

// Bounds of the credit in mean service times. The upper bound limits how much work of
// a lower rank may be served ahead of urgent work at once after an idle period. The
// lower bound limits how long a rank waits for its share after it used idle capacity.
const (
	maxCredit  = 1
	maxDeficit = 8
)

// shares accounts slot time per rank by credits. A lower rank with positive credit is
// served before higher ranks. Credit grows by GuaranteedShare of all slot time used
// and falls by the slot time that the rank uses itself, so a rank that already gets
// more than its share is never served before urgent work.
type shares struct {
	credit    [rankCount]float64 // seconds
	usage     [rankCount]float64 // seconds used, decaying with usageTimeConstant
	usageTime time.Duration      // of the last decay
	cost      average
	meanCost  float64
}

// usageTimeConstant is the time constant by which usage decays.
const usageTimeConstant = time.Second

func (s *shares) debit(rank int, seconds float64) { s.credit[rank] -= seconds }

// settle replaces the debited estimate by the measured service time.
func (s *shares) settle(now time.Duration, rank int, debited, service float64) {
	s.credit[rank] += debited - service
	s.decay(now)
	s.usage[rank] += service
	if service > 0 {
		s.cost.add(service, costSamples)
		s.meanCost = s.cost.mean
	}
	for r := range s.credit {
		s.credit[r] = min(max(s.credit[r]+GuaranteedShare*service, -maxDeficit*s.meanCost), maxCredit*s.meanCost)
	}
}

func (s *shares) decay(now time.Duration) {
	f := math.Exp(-(now - s.usageTime).Seconds() / usageTimeConstant.Seconds())
	s.usageTime = now
	for r := range s.usage {
		s.usage[r] *= f
	}
}

// utilisationAbove returns the recent share of the slot time that the ranks above the
// given rank used.
func (s *shares) utilisationAbove(now time.Duration, rank, slots int) float64 {
	s.decay(now)
	var sum float64
	for r := range rank {
		sum += s.usage[r]
	}
	return min(1, sum/usageTimeConstant.Seconds()/float64(slots))
}

// pickRank returns the rank to serve next. At least one rank must have waiting work.
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
