package primacy

import (
	"slices"
	"time"

	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/ownership"
)

// Instances form a tree by which the state of the store reaches all of them: one
// instance of the deployment queries the store, the first instance of each data
// centre gets the state from it, and the others from instances of their data
// centre. So the number of requests to the store does not grow with the number of
// instances, and little passes between data centres.

// fanOut is the number of instances of a data centre that get the state from one
// other. Each causes 2.5 requests a second.
const fanOut = 16

// Upstreams returns the instances from which an instance should get the state of the
// store, in the order in which it should try them. It returns nil if the instance
// must query the store itself.
func Upstreams(registered []Registration, self, dataCentre string) []ownership.Instance {
	return upstreamsIn(nil, registered, self, dataCentre)
}

// upstreamsIn is Upstreams for data centres in regions. One instance of each region, the
// first of those that stand first in their data centres, gets the state from another
// region; it passes once over each link between regions. regions may be nil.
func upstreamsIn(regions distance.Regions, registered []Registration, self, dataCentre string) []ownership.Instance {
	members := byDataCentre(registered)
	heads := headsOf(members)
	local := treeOrder(dataCentre, members[dataCentre])
	position := slices.IndexFunc(local, func(i ownership.Instance) bool { return i.Name == self })
	var upstreams []ownership.Instance
	switch {
	case position < 0 && len(local) == 0: // not listed yet
		upstreams = nearestFirst(regions, heads, dataCentre)
	case position < 0:
		upstreams = []ownership.Instance{parentOf(local, len(local)), local[0]}
	case position == 0:
		before := heads[:slices.IndexFunc(heads, func(i ownership.Instance) bool { return i.Name == self })]
		upstreams = nearestFirst(regions, before, dataCentre)
	case position == 1:
		upstreams = []ownership.Instance{local[0], secondSource(regions, heads, local[0])}
	default:
		parent := parentOf(local, position)
		backup := local[0]
		if parent.Name == backup.Name {
			backup = local[1]
		}
		upstreams = []ownership.Instance{parent, backup}
	}
	return withoutRepeats(upstreams)
}

// nearestFirst returns the instances with those of the data centre's region first, and
// otherwise in the given order.
func nearestFirst(regions distance.Regions, instances []ownership.Instance, dataCentre string) []ownership.Instance {
	var near, other []ownership.Instance
	for _, i := range instances {
		if regions.Tier(i.DataCentre, dataCentre) == distance.OtherRegion {
			other = append(other, i)
		} else {
			near = append(near, i)
		}
	}
	return append(near, other...)
}

// secondSource returns where an instance gets the state if head, the first of its data
// centre, fails: from another head of its region if there is one, otherwise from the top
// of the tree.
func secondSource(regions distance.Regions, heads []ownership.Instance, head ownership.Instance) ownership.Instance {
	for _, i := range heads {
		if regions.Tier(i.DataCentre, head.DataCentre) == distance.SameRegion {
			return i
		}
	}
	return heads[0]
}

// byDataCentre returns the instances that can be reached, by data centre.
func byDataCentre(registered []Registration) map[string][]ownership.Instance {
	members := make(map[string][]ownership.Instance)
	for _, reg := range registered {
		if reg.Address != "" {
			i := ownership.Instance{Name: reg.Instance, Address: reg.Address, DataCentre: reg.DataCentre}
			members[reg.DataCentre] = append(members[reg.DataCentre], i)
		}
	}
	return members
}

// headsOf returns the first instance of each data centre, the top of the tree first.
func headsOf(members map[string][]ownership.Instance) []ownership.Instance {
	var heads []ownership.Instance
	for dataCentre, local := range members {
		heads = append(heads, treeOrder(dataCentre, local)[0])
	}
	return ownership.Order("upstream", heads)
}

// treeOrder returns the instances of a data centre in the order in which they stand
// in the tree, the first one at its top.
func treeOrder(dataCentre string, members []ownership.Instance) []ownership.Instance {
	return ownership.Order("upstream "+dataCentre, members)
}

// parentOf returns the parent in the tree of the instance at a position from 1.
func parentOf(order []ownership.Instance, position int) ownership.Instance {
	return order[(position-1)/fanOut]
}

// maxUpstreams bounds the instances that one tries before it queries the store.
const maxUpstreams = 2

func withoutRepeats(upstreams []ownership.Instance) []ownership.Instance {
	var out []ownership.Instance
	for _, u := range upstreams {
		if len(out) < maxUpstreams && !slices.ContainsFunc(out, func(o ownership.Instance) bool { return o.Name == u.Name }) {
			out = append(out, u)
		}
	}
	return out
}

const (
	// upstreamRetryMin and upstreamRetryMax bound the exponential back-off after
	// an upstream that did not provide the state of the store.
	upstreamRetryMin = 500 * time.Millisecond
	upstreamRetryMax = 30 * time.Second
)

// upstreamFailure is the state of an upstream that failed.
type upstreamFailure struct {
	retryAt time.Duration
	backoff time.Duration
}

// upstreams is the list of an instance's upstreams, without those that failed
// recently.
type upstreams struct {
	ordered  []ownership.Instance
	failures map[string]upstreamFailure // by address
}

// set replaces the list and reports whether the instance has upstreams.
func (u *upstreams) set(ordered []ownership.Instance) bool {
	u.ordered = ordered
	if u.failures == nil {
		u.failures = make(map[string]upstreamFailure)
	}
	return len(ordered) > 0
}

// pick returns the first upstream that has not failed recently.
func (u *upstreams) pick(now time.Duration) (ownership.Instance, bool) {
	for _, i := range u.ordered {
		if f, failed := u.failures[i.Address]; !failed || now >= f.retryAt {
			return i, true
		}
	}
	return ownership.Instance{}, false
}

// record notes whether an upstream provided the state.
func (u *upstreams) record(address string, ok bool, now time.Duration) {
	if ok {
		delete(u.failures, address)
		return
	}
	backoff := min(max(2*u.failures[address].backoff, upstreamRetryMin), upstreamRetryMax)
	u.failures[address] = upstreamFailure{retryAt: now + backoff, backoff: backoff}
}
