package controller

import (
	"cmp"
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// linkSet holds the router links of a term in session order. Links with unsent changes are tracked separately,
// so that the cost of an input depends on what it changes and not on the number of links.
type linkSet struct {
	ordered  []*link
	unsent   map[*link]bool
	deferred []deferredLink // links whose unsent changes can wait, in the order in which their time is over
}

// deferredLink is a link whose changes are sent at a time, unless they have been sent before.
type deferredLink struct {
	link *link
	at   clock.Instant
}

func newLinkSet() linkSet { return linkSet{unsent: map[*link]bool{}} }

// deferUntil has the changes of a link sent at a time, unless they are sent before. Times must not decrease from call to call.
func (s *linkSet) deferUntil(l *link, at clock.Instant) {
	if l.isDeferred || s.unsent[l] {
		return
	}
	l.isDeferred = true
	s.deferred = append(s.deferred, deferredLink{l, at})
}

// releaseDeferred marks the links whose time is over as having unsent changes.
func (s *linkSet) releaseDeferred(now clock.Instant) {
	n := 0
	for n < len(s.deferred) && s.deferred[n].at <= now {
		l := s.deferred[n].link
		l.isDeferred = false
		if !l.isRemoved {
			s.unsent[l] = true
		}
		n++
	}
	s.deferred = slices.Delete(s.deferred, 0, n)
}

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
	l.isRemoved = true
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
