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
func Equal(a, b []protocol.Voter) bool {
	if len(a) != len(b) {
		return false
	}
	for _, v := range a {
		if !Contains(b, v.ID, v.Incarnation) {
			return false
		}
	}
	return true
}

// Contains reports whether a list contains a node with the given incarnation.
func Contains(voters []protocol.Voter, id ident.Node, inc ident.Incarnation) bool {
	for _, v := range voters {
		if v.ID == id && v.Incarnation == inc {
			return true
		}
	}
	return false
}

// ContainsNode reports whether a list contains a node, with any incarnation.
func ContainsNode(voters []protocol.Voter, id ident.Node) bool {
	for _, v := range voters {
		if v.ID == id {
			return true
		}
	}
	return false
}

// IsVoter reports whether a value names a node with the given incarnation as a voter of either set.
func IsVoter(v protocol.Desired, id ident.Node, inc ident.Incarnation) bool {
	return Contains(v.Voters, id, inc) || Contains(v.PriorVoters, id, inc)
}

// Majority reports whether the nodes in yes are a majority of the voter set, each with the incarnation that the set
// names, and also of the prior set while that one is being replaced.
func Majority(v protocol.Desired, yes map[ident.Node]ident.Incarnation) bool {
	isMajority := func(voters []protocol.Voter) bool {
		n := 0
		for _, voter := range voters {
			if incarnation, ok := yes[voter.ID]; ok && incarnation == voter.Incarnation {
				n++
			}
		}
		return n > len(voters)/2
	}
	return len(v.Voters) > 0 && isMajority(v.Voters) && (len(v.PriorVoters) == 0 || isMajority(v.PriorVoters))
}

// Peers returns each voter of a value once.
func Peers(v protocol.Desired) []protocol.Peer {
	seen := map[ident.Node]bool{}
	var peers []protocol.Peer
	for _, voter := range append(append([]protocol.Voter{}, v.Voters...), v.PriorVoters...) {
		if !seen[voter.ID] {
			seen[voter.ID] = true
			peers = append(peers, voter.Peer)
		}
	}
	return peers
}

// Joint returns a value that names the voters of both values.
func Joint(a, b protocol.Desired) protocol.Desired {
	a.PriorVoters = append(append(append([]protocol.Voter{}, a.PriorVoters...), b.Voters...), b.PriorVoters...)
	return a
}

// CountChanged counts the seats of a voter set that the next set replaces, adds or removes.
func CountChanged(old, next []protocol.Voter) (changed int) {
	for _, v := range next {
		if !Contains(old, v.ID, v.Incarnation) {
			changed++
		}
	}
	return max(changed, len(old)-len(next))
}
