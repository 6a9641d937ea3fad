// Package voterset says who votes in the core: what counts as a majority, and which set should follow another. Voter sets and
// the answers of voters go in; verdicts and sets come out. It keeps nothing, and imports only the messages' types.
//
// A value of the register names one set of voters, or two that rule together while the older one is being left. A voter is
// named with its incarnation, the life of its disk: an emptied disk begins another, which no set names.
package voterset

import (
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Same tells whether two lists name the same voters, in the same lives.
func Same(a, b []protocol.Voter) bool {
	if len(a) != len(b) {
		return false
	}
	for _, v := range a {
		if !Names(b, v.ID, v.Inc) {
			return false
		}
	}
	return true
}

// Names tells whether a list names a node in a life of its disk.
func Names(l []protocol.Voter, id ident.Node, inc ident.Inc) bool {
	for _, v := range l {
		if v.ID == id && v.Inc == inc {
			return true
		}
	}
	return false
}

// Seats tells whether a list has a seat for a node, in whatever life.
func Seats(l []protocol.Voter, id ident.Node) bool {
	for _, v := range l {
		if v.ID == id {
			return true
		}
	}
	return false
}

// In tells whether a value names a node in a life of its disk as a voter of either set.
func In(v protocol.Desired, id ident.Node, inc ident.Inc) bool {
	return Names(v.Voters, id, inc) || Names(v.Prior, id, inc)
}

// Majority tells whether those who said yes are a majority of the voter set, each in the life that the set names, and of the
// set before it while that one is still being left.
func Majority(v protocol.Desired, yes map[ident.Node]ident.Inc) bool {
	most := func(l []protocol.Voter) bool {
		n := 0
		for _, w := range l {
			if inc, ok := yes[w.ID]; ok && inc == w.Inc {
				n++
			}
		}
		return n > len(l)/2
	}
	return len(v.Voters) > 0 && most(v.Voters) && (len(v.Prior) == 0 || most(v.Prior))
}

// Addresses gives every voter of a value once.
func Addresses(v protocol.Desired) []protocol.Sibling {
	seen := map[ident.Node]bool{}
	var l []protocol.Sibling
	for _, w := range append(append([]protocol.Voter{}, v.Voters...), v.Prior...) {
		if !seen[w.ID] {
			seen[w.ID] = true
			l = append(l, w.Sibling)
		}
	}
	return l
}

// Both gives a value that names the voters of two.
func Both(a, b protocol.Desired) protocol.Desired {
	a.Prior = append(append(append([]protocol.Voter{}, a.Prior...), b.Voters...), b.Prior...)
	return a
}

// Changed counts the seats of a voter set that the next one gives to others, or adds.
func Changed(old, next []protocol.Voter) (n int) {
	for _, v := range next {
		if !Names(old, v.ID, v.Inc) {
			n++
		}
	}
	return max(n, len(old)-len(next))
}
