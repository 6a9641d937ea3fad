package voterset

import (
	"cmp"
	"fmt"
	"slices"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Replace gives a set in which one seat, by its index, is another voter's.
func Replace(l []protocol.Voter, i int, n protocol.Voter) []protocol.Voter {
	m := slices.Clone(l)
	m[i] = n
	return byID(m)
}

// Add gives a set with one voter more.
func Add(l []protocol.Voter, n protocol.Voter) []protocol.Voter {
	return byID(append(slices.Clone(l), n))
}

func byID(l []protocol.Voter) []protocol.Voter {
	slices.SortFunc(l, func(a, b protocol.Voter) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Domain names what a voter shares with those that are lost together with it: its zone, or its region.
type Domain func(protocol.Voter) string

// Zone names a voter's zone.
func Zone(v protocol.Voter) string { return string(v.Zone) }

// seatsIn counts the voters of each domain, without the one at index skip.
func seatsIn(voters []protocol.Voter, of Domain, skip int) map[string]int {
	n := map[string]int{}
	for i, v := range voters {
		if i != skip {
			n[of(v)]++
		}
	}
	return n
}

// PickSpare chooses the spare whose region, and then whose zone, has the fewest voters left; among equals one of the zone of
// the voter that goes, at index out, if one goes; -1 if none does.
func PickSpare(voters []protocol.Voter, out int, spares []protocol.Voter, region Domain) protocol.Voter {
	regions, zones := seatsIn(voters, region, out), seatsIn(voters, Zone, out)
	elsewhere := func(s protocol.Voter) int {
		if out >= 0 && s.Zone == voters[out].Zone {
			return 0
		}
		return 1
	}
	return slices.MinFunc(spares, func(a, b protocol.Voter) int {
		return cmp.Or(
			cmp.Compare(regions[region(a)], regions[region(b)]),
			cmp.Compare(zones[Zone(a)], zones[Zone(b)]),
			cmp.Compare(elsewhere(a), elsewhere(b)))
	})
}

// Spread moves a seat out of a domain whose loss would leave no majority, if a spare stands in one that has fewer; else it
// gives none.
func Spread(voters, spares []protocol.Voter, of Domain) []protocol.Voter {
	n := seatsIn(voters, of, -1)
	for i, v := range voters {
		if len(voters)-n[of(v)] > len(voters)/2 {
			continue
		}
		for _, s := range spares {
			if n[of(s)]+1 < n[of(v)] {
				return Replace(voters, i, s)
			}
		}
	}
	return nil
}

// Describe says for the log which seats a change of the voter set gives to whom.
func Describe(from, to []protocol.Voter) string {
	names := func(l, without []protocol.Voter) []ident.Node {
		var ids []ident.Node
		for _, v := range l {
			if !Names(without, v.ID, v.Inc) {
				ids = append(ids, v.ID)
			}
		}
		return ids
	}
	return fmt.Sprintf("voter set changes: %v in, %v out", names(to, from), names(from, to))
}
