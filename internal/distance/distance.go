// Package distance describes how far apart data centres are: the time of a round trip
// and a tier with a price. All choices between places use it, and only deployments of
// several regions have distances.
//
// The package does no I/O and takes the time as an argument.
package distance

import "time"

// Tier is a class of distances.
type Tier int

// Tiers, from near to far.
const (
	SameDataCentre Tier = iota
	SameRegion
	OtherRegion
)

// String returns the name of the tier in metrics and logs.
func (t Tier) String() string {
	return [...]string{"same_data_centre", "same_region", "other_region"}[t]
}

// Default times and prices. They come from the table of
// docs/design/organisations-and-uneven-demand.md, section 1: 1.4 ms one way between the
// data centres of a region and 12 ms between regions.
const (
	oneWaySameRegion  = 1400 * time.Microsecond
	oneWayOtherRegion = 12 * time.Millisecond
)

// RoundTrip returns the round-trip time that is assumed for a tier without a recent
// measurement: twice the one-way time of the table.
func (t Tier) RoundTrip() time.Duration { return 2 * t.Price() }

// Price returns the waiting time that a choice of the tier must save beyond its longer
// round trip, because links are shared and billed: the one-way time of the table.
func (t Tier) Price() time.Duration {
	switch t {
	case SameRegion:
		return oneWaySameRegion
	case OtherRegion:
		return oneWayOtherRegion
	}
	return 0
}

// Regions maps each data centre to its region. A nil map means that distances are not
// taken into account.
type Regions map[string]string

// Tier returns the tier of two data centres. A data centre without a region is in
// another region than all others.
func (r Regions) Tier(a, b string) Tier {
	region, known := r[a]
	switch {
	case a == b:
		return SameDataCentre
	case known && region == r[b]:
		return SameRegion
	}
	return OtherRegion
}
