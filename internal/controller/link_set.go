package controller

import (
	"cmp"
	"slices"

	"tidedeck/internal/protocol"
)

// linkSet is the router links of a term: in the order of their sessions, and those that have something to send by themselves,
// so that an input costs what it changes and not what there is.
type linkSet struct {
	ordered []*link
	unsent  map[*link]bool
}

func newLinkSet() linkSet { return linkSet{unsent: map[*link]bool{}} }

// compareSessions orders links by node, then by the lives of its agent and its router, then by number.
func compareSessions(a, b protocol.Session) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.N, b.N))
}

// add takes a new link in.
func (s *linkSet) add(l *link) {
	at, _ := s.find(l)
	s.ordered = slices.Insert(s.ordered, at, l)
}

// remove takes a link out.
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
	return slices.BinarySearchFunc(s.ordered, l, func(a, b *link) int { return compareSessions(a.ses, b.ses) })
}

// takeUnsent gives the links that have something to send, in order, and begins their list anew.
func (s *linkSet) takeUnsent() []*link {
	if len(s.unsent) == 0 {
		return nil
	}
	due := make([]*link, 0, len(s.unsent))
	for l := range s.unsent {
		due = append(due, l)
	}
	clear(s.unsent)
	slices.SortFunc(due, func(a, b *link) int { return compareSessions(a.ses, b.ses) })
	return due
}
