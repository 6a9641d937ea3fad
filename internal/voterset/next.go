package voterset

import (
	"cmp"
	"fmt"
	"slices"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Replace returns the set with the voter at index i replaced.
func Replace(voters []protocol.Voter, i int, replacement protocol.Voter) []protocol.Voter {
	result := slices.Clone(voters)
	result[i] = replacement
	return byID(result)
}

// Add returns the set with one more voter.
func Add(voters []protocol.Voter, voter protocol.Voter) []protocol.Voter {
	return byID(append(slices.Clone(voters), voter))
}

func byID(voters []protocol.Voter) []protocol.Voter {
	slices.SortFunc(voters, func(a, b protocol.Voter) int { return cmp.Compare(a.ID, b.ID) })
	return voters
}

// Domain returns the failure domain of a voter: its zone or its region.
type Domain func(protocol.Voter) string

// Zone returns a voter's zone.
func Zone(v protocol.Voter) string { return string(v.Zone) }

// seatsIn counts the voters in each domain, excluding the one at index skip.
func seatsIn(voters []protocol.Voter, domainOf Domain, skip int) map[string]int {
	counts := map[string]int{}
	for i, v := range voters {
		if i != skip {
			counts[domainOf(v)]++
		}
	}
	return counts
}

// PickSpare returns the spare whose region, and then whose zone, has the fewest remaining voters. Ties go to a spare
// in the zone of the departing voter, whose index is out; out is -1 if no voter departs.
func PickSpare(voters []protocol.Voter, out int, spares []protocol.Voter, region Domain) protocol.Voter {
	regions, zones := seatsIn(voters, region, out), seatsIn(voters, Zone, out)
	otherZone := func(s protocol.Voter) int {
		if out >= 0 && s.Zone == voters[out].Zone {
			return 0
		}
		return 1
	}
	return slices.MinFunc(spares, func(a, b protocol.Voter) int {
		return cmp.Or(
			cmp.Compare(regions[region(a)], regions[region(b)]),
			cmp.Compare(zones[Zone(a)], zones[Zone(b)]),
			cmp.Compare(otherZone(a), otherZone(b)))
	})
}

// Spread moves a seat out of a domain whose loss would leave no majority, if a spare is in a domain with fewer
// voters. Otherwise it returns nil.
func Spread(voters, spares []protocol.Voter, domainOf Domain) []protocol.Voter {
	counts := seatsIn(voters, domainOf, -1)
	for i, v := range voters {
		if len(voters)-counts[domainOf(v)] > len(voters)/2 {
			continue
		}
		for _, s := range spares {
			if counts[domainOf(s)]+1 < counts[domainOf(v)] {
				return Replace(voters, i, s)
			}
		}
	}
	return nil
}

// Describe returns a log text for a change of the voter set.
func Describe(from, to []protocol.Voter) string {
	names := func(voters, excluded []protocol.Voter) []ident.Node {
		var ids []ident.Node
		for _, v := range voters {
			if !Contains(excluded, v.ID, v.Incarnation) {
				ids = append(ids, v.ID)
			}
		}
		return ids
	}
	return fmt.Sprintf("voter set changes: %v in, %v out", names(to, from), names(from, to))
}
