package primacy

import (
	"slices"
	"testing"

	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/ownership"
)

// Six data centres in two regions, a to c and d to f.
var testRegions = distance.Regions{"a": "north", "b": "north", "c": "north", "d": "south", "e": "south", "f": "south"}

// Guards against the state of the store passing more than once over the link between two
// regions, also while the instance that gets it from there has failed, and against an
// instance that no state reaches.
func TestOneInstanceOfARegionAsksTheOther(t *testing.T) {
	for _, n := range []int{6, 7, 67, 300} {
		all := newFleet(n, 6)
		for _, lost := range append([]string{""}, carriers(all, nil)...) {
			crossing := 0
			parents := make(map[string][]string)
			for _, reg := range all {
				ups := upstreamsIn(testRegions, all, reg.Instance, reg.DataCentre)
				if reg.Instance == lost {
					continue
				}
				ups = slices.DeleteFunc(ups, func(i ownership.Instance) bool { return i.Name == lost })
				for _, u := range ups {
					parents[reg.Instance] = append(parents[reg.Instance], u.Name)
				}
				if len(ups) > 0 && testRegions.Tier(ups[0].DataCentre, reg.DataCentre) == distance.OtherRegion {
					crossing++
				}
			}
			if crossing > 1 || (lost == "" && crossing != 1) {
				t.Errorf("%d instances, %q lost: %d get the state from the other region", n, lost, crossing)
			}
			checkReach(t, all, parents)
		}
	}
}

// carriers returns the instances that get the state from the other region.
func carriers(all []Registration, names []string) []string {
	for _, reg := range all {
		ups := upstreamsIn(testRegions, all, reg.Instance, reg.DataCentre)
		if len(ups) > 0 && testRegions.Tier(ups[0].DataCentre, reg.DataCentre) == distance.OtherRegion {
			names = append(names, reg.Instance)
		}
	}
	return names
}

// Guards against owners and detours in the other region while the database's own has
// instances.
func TestOwnersAndDetoursPreferTheRegion(t *testing.T) {
	all := slices.Concat(newRegistrations(1, "a"), newRegistrations(5, "b"), newRegistrations(20, "d"))
	for _, reg := range all {
		owners, _ := ownersIn(testRegions, all, reg.Instance, "db-1", "a", 46)
		if len(owners) != 4 {
			t.Errorf("%d owners, want 4", len(owners))
		}
		for _, o := range owners {
			if testRegions.Tier(o.DataCentre, "a") == distance.OtherRegion {
				t.Errorf("owner %s is in the other region", o.Name)
			}
		}
		detours := detoursIn(testRegions, all, reg.Instance, "db-1", reg.DataCentre, "a")
		if reg.DataCentre == "d" && (detours[2].DataCentre != "a" || detours[3].DataCentre != "b") {
			t.Errorf("%s: detours %v, want two of its own data centre, then of the database's and of its region", reg.Instance, detours)
		}
	}
	if owners, _ := ownersIn(testRegions, newRegistrations(3, "d"), "d-0", "db-1", "a", 46); len(owners) != 3 {
		t.Errorf("owners %v, want those of the other region if there are no others", owners)
	}
}

// Guards against instances that ask others which may not connect to the database, and
// against all of them asking the same one first.
func TestSubstitutesMayConnect(t *testing.T) {
	all := newFleet(67, 6)
	first := make(map[string]int)
	for _, reg := range all {
		substitutes := Substitutes(all, reg.Instance, "db-1", 46)
		if len(substitutes) != maxSubstitutes {
			t.Fatalf("%d substitutes, want %d", len(substitutes), maxSubstitutes)
		}
		for _, s := range substitutes {
			if s.Name == reg.Instance || !MayConnect(all, s.Name, "db-1", 46) {
				t.Errorf("%s asks %s", reg.Instance, s.Name)
			}
		}
		first[substitutes[0].Name]++
	}
	if len(first) < 8 {
		t.Errorf("only %d of 11 instances are asked first", len(first))
	}
}
