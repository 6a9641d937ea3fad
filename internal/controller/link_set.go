package controller

import (
	"cmp"
	"slices"

	"tidedeck/internal/protocol"
)

// linkSet holds the router links of a term in session order. Links with unsent changes are tracked separately,
// so that the cost of an input depends on what it changes and not on the number of links.
type linkSet struct {
	ordered []*link
	unsent  map[*link]bool
}

func newLinkSet() linkSet { return linkSet{unsent: map[*link]bool{}} }

// compareSessions orders sessions by node, then by the incarnations of agent and router, then by number.
func compareSessions(a, b protocol.Session) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.AgentIncarnation, b.AgentIncarnation), cmp.Compare(a.Num, b.Num))
}

// add inserts a new link.
func (s *linkSet) add(l *link) {
	at, _ := s.find(l)
	s.ordered = slices.Insert(s.ordered, at, l)
}

// remove deletes a link.
func (s *linkSet) remove(l *link) {
	delete(s.unsent, l)
	for at, found := s.find(l); found && at < len(s.ordered); at++ {
		if s.ordered[at] == l {
			s.ordered = slices.Delete(s.ordered, at, at+1)
			return
		}
	}
}

func (s *linkSet) find(l *link) (at int, found bool) {
	return slices.BinarySearchFunc(s.ordered, l, func(a, b *link) int { return compareSessions(a.session, b.session) })
}

// takeUnsent returns the links with unsent changes in session order, and clears the set.
func (s *linkSet) takeUnsent() []*link {
	if len(s.unsent) == 0 {
		return nil
	}
	due := make([]*link, 0, len(s.unsent))
	for l := range s.unsent {
		due = append(due, l)
	}
	clear(s.unsent)
	slices.SortFunc(due, func(a, b *link) int { return compareSessions(a.session, b.session) })
	return due
}
