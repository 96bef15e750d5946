package quota

import "time"

const (
	// ArrivalTime is the longest usual time from the charge of an operation to its
	// arrival at a database. It includes ReturnTime.
	ArrivalTime = 800 * time.Millisecond
	// ReturnTime is how long after it was taken a permit may be returned.
	ReturnTime = 200 * time.Millisecond
	// minStorage is the number of permits below which no bucket can give one out.
	minStorage = 1
)

// Limit bounds the operations of an organisation over all instances: in each span of
// time t, at most Rate t + Storage permits are given out.
type Limit struct {
	Rate    float64 // permits created per second
	Storage float64 // permits that exist unused at any time
}

// Window holds the parameters of the rule that limits must keep: in each span of
// Length, at most (rate x Length + burst) x (1 + Overage) + Slack operations run.
type Window struct {
	Length  time.Duration
	Overage float64
	Slack   float64
}

// Bound returns the number of operations that may run in one window.
func (w Window) Bound(rate, burst float64) float64 {
	return (rate*w.Length.Seconds()+burst)*(1+w.Overage) + w.Slack
}

// Limit returns the limit that keeps the rule for an organisation. Permits are created
// at the organisation's rate unless that leaves less than half the slack for storage.
func (w Window) Limit(rate, burst float64) Limit {
	bound := w.Bound(rate, burst)
	span := (w.Length + ArrivalTime).Seconds()
	storage := bound - rate*span
	if least := min(max(w.Slack/2, minStorage), bound); storage < least {
		return Limit{Rate: (bound - least) / span, Storage: least}
	}
	return Limit{Rate: rate, Storage: storage}
}
