// Package balance decides which of several databases gets a read. Each instance sees
// only its own part of the load, so instances that all choose the best database by what
// they know choose the same one. Here two candidates are drawn by weight, in proportion
// to their free capacity, and the one with the shorter expected time is taken ("power of
// two choices", Mitzenmacher 2001).
//
// The package does no I/O and takes the time and random numbers as arguments.
package balance

import "time"

// Report is the load of a database as one of the instances that hold connections to it
// sees it.
type Report struct {
	Queued int // requests that wait for a place
	InUse  int // places in use
	Limit  int // places; 0 if the report is empty
	// Busy is the mean of (InUse + Queued) / Limit over the last exchanges.
	Busy float64
	// Mean is the smoothed time from sending a statement to the database until its answer.
	Mean time.Duration
	// RefusedFor is how long the database should still get no reads, because it refused
	// some for a full queue.
	RefusedFor time.Duration
	// Took is how long the instance took to answer the request with this report, so that
	// the rest of the time was spent on the way.
	Took time.Duration
}

// Candidate is a database that may serve a read.
type Candidate struct {
	Report Report
	Age    time.Duration // of the report
	// Latency is the smoothed time of the instance's own exchanges with the database,
	// for candidates without a report; 0 if unknown.
	Latency   time.Duration
	RoundTrip time.Duration // to the place of the report
	// Penalty is the waiting time that the candidate must save to be preferred, and the
	// time until it can be used.
	Penalty    time.Duration
	RefusedFor time.Duration // as Report.RefusedFor, at present
}

const (
	// reportHalfLife is the age at which the queue in a report counts half. A queue
	// comes and goes within 100 ms, and instances that act on an older one move together:
	// with 200 ms, the model of internal/proxy/uneven_test.go had more refusals.
	reportHalfLife = 50 * time.Millisecond
	// maxReportAge is the age from which a report is not used.
	maxReportAge = 5 * time.Second
	// minFree is the least share of free capacity. With more weight on what is free, reads
	// swing between databases that are all busy.
	minFree = 0.2
	// assumedMean is the time of a statement at a database of which nothing is known.
	assumedMean = 10 * time.Millisecond
)

// hasReport reports whether the candidate's report can be used.
func (c Candidate) hasReport() bool { return c.Report.Limit > 0 && c.Age <= maxReportAge }

// mean returns the expected time of a statement without the wait for a place.
func (c Candidate) mean() time.Duration {
	switch {
	case c.hasReport() && c.Report.Mean > 0:
		return c.Report.Mean
	case c.Latency > c.RoundTrip:
		return c.Latency - c.RoundTrip
	}
	return assumedMean
}

// Expected returns the expected time until the answer, with penalties. The wait is that of
// the reported queue while the report is fresh, and otherwise the usual wait of the
// instance's own exchanges.
func (c Candidate) Expected() time.Duration {
	mean := c.mean()
	wait := float64(max(c.Latency-c.RoundTrip-mean, 0))
	if c.hasReport() {
		fresh := decay(c.Age)
		wait = fresh*float64(mean)*float64(c.Report.Queued)/float64(c.Report.Limit) + (1-fresh)*wait
	}
	return c.RoundTrip + c.Penalty + mean + time.Duration(wait)
}

// decay returns the weight of a report of the given age.
func decay(age time.Duration) float64 {
	return float64(reportHalfLife) / float64(reportHalfLife+max(age, 0))
}

// weight returns the free capacity: the share of the places that is free, divided by the
// time for which a statement occupies one.
func (c Candidate) weight() float64 {
	free := 1.0
	if c.hasReport() {
		free = max(1-c.Report.Busy, minFree)
	}
	return free / float64(max(c.mean(), time.Millisecond))
}

// Reason says why a candidate was chosen.
type Reason string

// Reasons.
const (
	Only      Reason = "only candidate"
	AllRefuse Reason = "all candidates refuse, this one for the shortest time"
	Shorter   Reason = "shorter expected time of two drawn by free capacity"
)

// Choose returns the index of the candidate that gets the read, or -1 if there is none.
// draw returns random numbers in [0, 1). Candidates that refused lately are used only if
// there are no others.
func Choose(candidates []Candidate, draw func() float64) (int, Reason) {
	weights := make([]float64, len(candidates))
	n, soonest := 0, -1
	for i, c := range candidates {
		if c.RefusedFor <= 0 {
			weights[i] = c.weight()
			n++
		}
		if soonest < 0 || c.RefusedFor < candidates[soonest].RefusedFor {
			soonest = i
		}
	}
	if n == 0 {
		return soonest, AllRefuse
	}
	first := drawByWeight(weights, draw())
	if n == 1 {
		return first, Only
	}
	weights[first] = 0
	second := drawByWeight(weights, draw())
	if candidates[second].Expected() < candidates[first].Expected() {
		return second, Shorter
	}
	return first, Shorter
}

// drawByWeight returns an index with a probability in proportion to its weight. One
// weight at least is positive; at is a random number in [0, 1).
func drawByWeight(weights []float64, at float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at *= sum
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		if last = i; at < w {
			return i
		}
		at -= w
	}
	return last
}
