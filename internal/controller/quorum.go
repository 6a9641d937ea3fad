package controller

import (
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func alike(a, b []protocol.Voter) bool {
	if len(a) != len(b) {
		return false
	}
	for _, v := range a {
		if !seat(b, v.ID, v.Inc) {
			return false
		}
	}
	return true
}

func seat(l []protocol.Voter, id ident.Node, inc ident.Inc) bool {
	for _, v := range l {
		if v.ID == id && v.Inc == inc {
			return true
		}
	}
	return false
}

// quorum tells whether those who said yes are a majority of the voter set, each in the life
// that the set names, and of the set before it while that one is still being left.
func quorum(v protocol.Desired, yes map[ident.Node]ident.Inc) bool {
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

func electors(v protocol.Desired) []protocol.Sibling {
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

func (c *Core) inSet(v protocol.Desired, id ident.Node, inc ident.Inc) bool {
	return seat(v.Voters, id, inc) || seat(v.Prior, id, inc)
}

func sits(l []protocol.Voter, id ident.Node) bool {
	for _, v := range l {
		if v.ID == id {
			return true
		}
	}
	return false
}
