// Package voterset computes majorities of the core's voters and the successors of voter sets. It is stateless and
// imports only the message types.
//
// A register value names one set of voters, or two sets in joint operation while the older one is being replaced. A
// voter is identified by its node and the incarnation of its disk: after its disk is erased, a node has a new
// incarnation, which no set names.
package voterset

import (
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Equal reports whether two lists contain the same voters with the same incarnations.
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

// Contains reports whether a list contains a node with the given incarnation.
func Names(voters []protocol.Voter, id ident.Node, inc ident.Inc) bool {
	for _, v := range voters {
		if v.ID == id && v.Inc == inc {
			return true
		}
	}
	return false
}

// ContainsNode reports whether a list contains a node, with any incarnation.
func Seats(voters []protocol.Voter, id ident.Node) bool {
	for _, v := range voters {
		if v.ID == id {
			return true
		}
	}
	return false
}

// IsVoter reports whether a value names a node with the given incarnation as a voter of either set.
func In(v protocol.Desired, id ident.Node, inc ident.Inc) bool {
	return Names(v.Voters, id, inc) || Names(v.Prior, id, inc)
}

// Majority reports whether the nodes in yes are a majority of the voter set, each with the incarnation that the set
// names, and also of the prior set while that one is being replaced.
func Majority(v protocol.Desired, yes map[ident.Node]ident.Inc) bool {
	isMajority := func(voters []protocol.Voter) bool {
		n := 0
		for _, voter := range voters {
			if incarnation, ok := yes[voter.ID]; ok && incarnation == voter.Inc {
				n++
			}
		}
		return n > len(voters)/2
	}
	return len(v.Voters) > 0 && isMajority(v.Voters) && (len(v.Prior) == 0 || isMajority(v.Prior))
}

// Siblings returns each voter of a value once.
func Addresses(v protocol.Desired) []protocol.Sibling {
	seen := map[ident.Node]bool{}
	var peers []protocol.Sibling
	for _, voter := range append(append([]protocol.Voter{}, v.Voters...), v.Prior...) {
		if !seen[voter.ID] {
			seen[voter.ID] = true
			peers = append(peers, voter.Sibling)
		}
	}
	return peers
}

// Joint returns a value that names the voters of both values.
func Both(a, b protocol.Desired) protocol.Desired {
	a.Prior = append(append(append([]protocol.Voter{}, a.Prior...), b.Voters...), b.Prior...)
	return a
}

// CountChanged counts the seats of a voter set that the next set replaces, adds or removes.
func Changed(old, next []protocol.Voter) (changed int) {
	for _, v := range next {
		if !Names(old, v.ID, v.Inc) {
			changed++
		}
	}
	return max(changed, len(old)-len(next))
}
