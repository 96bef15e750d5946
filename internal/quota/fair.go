package quota

import "slices"

// fairLevel returns the level of a max-min fair division of a capacity: each demand
// gets the smaller of itself and the level. It returns false if the capacity covers all
// demands. It sorts demands.
func fairLevel(capacity float64, demands []float64) (float64, bool) {
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		part := left / float64(len(demands)-i)
		if d >= part {
			return max(part, 0), true
		}
		left -= d
	}
	return 0, false
}
