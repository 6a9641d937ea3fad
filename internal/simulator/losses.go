package simulator

import (
	"fmt"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// What a deployment promises of its core nodes.
const (
	convergence        = clock.Span(4e9) // a machine that is back, or new, counts as lost for so long
	confirmTimeout     = clock.Span(8e9) // a change is confirmed so soon after the last loss is over
	confirmInterval    = clock.Span(300e6)
	jointCheckInterval = clock.Span(100e6)
)

// loss is one way to lose a core node.
type lossKind int

const (
	powerLoss          lossKind = iota // it starts again, with its disk
	diskLoss                           // it starts again, empty
	diskLossAfterAck                   // the same, right after it confirmed a change
	replacement                        // it is gone for good; an empty node comes at another address
	plannedReplacement                 // an empty node comes at another address; then it is stopped for good
)

// lost tells whether a seat counts as lost.
func (s *seat) countsAsLost(now clock.Tick) bool { return now < s.lostUntil }

// counted are all that may count as lost.
func (f *coreFleet) allSeats() []*seat { return append(append([]*seat{}, f.seats...), f.stopped...) }

// mayLose tells whether the tolerance allows that a seat is lost now.
func (f *coreFleet) mayLose(s *seat, now clock.Tick) bool {
	count := 1
	for _, other := range f.allSeats() {
		if other == s || !other.countsAsLost(now) {
			continue
		}
		if f.ByZone && other.zone != s.zone {
			return false
		}
		count++
	}
	return count <= f.Losses
}

// freed is when the next loss that is not open-ended stops counting.
func (f *coreFleet) nextLossEnd(now clock.Tick) clock.Tick {
	at := now.Add(confirmInterval)
	for _, s := range f.allSeats() {
		if s.countsAsLost(now) && s.lostUntil < at {
			at = s.lostUntil
		}
	}
	return at
}

// calm tells whether no core node counts as lost.
func (f *coreFleet) hasNoLosses(now clock.Tick) bool {
	for _, s := range f.allSeats() {
		if s.countsAsLost(now) || s.replacing {
			return false
		}
	}
	return true
}

// losses loses core nodes in every way, as closely after one another as the tolerance allows.
func (w *World) injectLosses(from, to float64, kinds ...lossKind) {
	var next func()
	next = func() {
		if w.now > sec(to) {
			w.expectChangeConfirmed()
			return
		}
		s := w.core.seats[w.rand.IntN(len(w.core.seats))]
		if w.rand.IntN(5) < 2 {
			s = w.ownerSeat()
		}
		if s.lostUntil == stillDown || s.replacing || !w.core.mayLose(s, w.now) {
			w.At(w.core.nextLossEnd(w.now).Add(clock.Span(1e6+w.rand.Int64N(20e6))), next)
			return
		}
		w.injectLoss(s, kinds[w.rand.IntN(len(kinds))])
		w.After(w.drawLossDelay(), next)
	}
	w.At(sec(from), next)
}

// replaceInTurn replaces one core node after another for good; the owner is lost soon after each, and
// another node as soon as the new one counts as there.
func (w *World) replaceSequentially(from, to float64) {
	var next func()
	next = func() {
		if w.now > sec(to) {
			w.expectChangeConfirmed()
			return
		}
		if !w.core.hasNoLosses(w.now) {
			w.At(w.core.nextLossEnd(w.now).Add(1e6), next)
			return
		}
		w.replaceAndLose()
		w.After(1e6, next)
	}
	w.At(sec(from), next)
}

func (w *World) replaceAndLose() {
	first := w.core.seats[w.rand.IntN(len(w.core.seats))]
	w.injectLoss(first, replacement)
	how := func() lossKind { return []lossKind{powerLoss, diskLoss, replacement}[w.rand.IntN(3)] }
	w.After(clock.Span(w.rand.Int64N(4000e6)), func() {
		if s := w.ownerSeat(); s != first && w.core.mayLose(s, w.now) {
			w.injectLoss(s, how())
		}
	})
	var third func()
	third = func() {
		if first.countsAsLost(w.now) {
			w.At(min(first.lostUntil, w.now.Add(confirmInterval)), third)
			return
		}
		w.After(clock.Span(1e6+w.rand.Int64N(20e6)), func() {
			s := w.core.seats[w.rand.IntN(len(w.core.seats))]
			if s != first && !s.countsAsLost(w.now) && w.core.mayLose(s, w.now) {
				w.injectLoss(s, how())
			}
		})
	}
	third()
}

// spacing draws the time to the next loss: at once, soon, or while the core is changing its voters.
func (w *World) drawLossDelay() clock.Span {
	switch w.rand.IntN(3) {
	case 0:
		return clock.Span(1e6 + w.rand.Int64N(50e6))
	case 1:
		return clock.Span(w.rand.Int64N(1500e6))
	}
	return clock.Span(w.rand.Int64N(4000e6))
}

func (w *World) ownerSeat() *seat {
	for _, s := range w.core.seats {
		p := w.procs[s.node]
		if !p.up {
			continue
		}
		if _, ok := p.core.(*controller.Core).Owns(p.tick(w.now)); ok {
			return s
		}
	}
	return w.core.seats[0]
}

// lose loses the core node in a seat.
func (w *World) injectLoss(s *seat, how lossKind) {
	node := s.node
	again := clock.Span(100e6 + w.rand.Int64N(2900e6))
	switch how {
	case powerLoss:
		w.killSeatNode(s, "loses its power")
		w.After(again, func() { w.restartSeatNode(s) })
	case diskLoss:
		w.killSeatNode(s, "loses its power and its disk")
		w.Wipe(node)
		w.After(again, func() { w.restartSeatNode(s) })
	case diskLossAfterAck:
		w.putNextPlan(node, "before a loss", func(taken bool) {
			if !taken || s.node != node || s.lostUntil == stillDown || !w.core.mayLose(s, w.now) {
				return
			}
			w.killSeatNode(s, "loses its power and its disk right after a confirmation")
			w.Wipe(node)
			w.After(again, func() { w.restartSeatNode(s) })
		})
	case replacement:
		w.killSeatNode(s, "is gone for good")
		w.remove(node)
		w.seatNode(s, w.upSeeds())
		w.After(400e6+again, func() { w.restartSeatNode(s) })
	case plannedReplacement:
		s.replacing = true
		w.startPlannedReplacement(s)
	}
}

// plannedGrace is how long a core node may go on after it is told to stop.
const stopGracePeriod = clock.Span(2e9)

// replaceAsPlanned starts a new node for a seat, and stops the old one after a while. The old one counts as
// lost from the stop on, until the core has had its time to converge; the new one may have taken the place
// of another by then, and is lost by itself.
func (w *World) startPlannedReplacement(s *seat) {
	old, next := s.node, &seat{zone: s.zone}
	w.seatNode(next, w.upSeeds())
	w.Start(next.node)
	w.tracef("%s is to replace %s", next.node, old)
	w.After(clock.Span(500e6+w.rand.Int64N(4500e6)), func() { w.stopReplacedNode(s, old, next.node) })
}

func (w *World) stopReplacedNode(s *seat, old, next string) {
	if s.lostUntil == stillDown || !w.core.mayLose(s, w.now) {
		w.After(confirmInterval, func() { w.stopReplacedNode(s, old, next) })
		return
	}
	gone := &seat{node: old, zone: s.zone, lostUntil: stillDown}
	w.core.stopped = append(w.core.stopped, gone)
	p := w.procs[old]
	w.tracef("%s is stopped for good", old)
	w.step(p, p.life, protocol.Stop{})
	w.After(stopGracePeriod, func() {
		w.remove(old)
		s.node, s.replacing = next, false
		s.lostUntil = w.core.started[next].Add(convergence)
		gone.lostUntil = w.now.Add(convergence)
		w.After(convergence, func() {
			if s.node == next && w.procs[next].up {
				w.Check.checkAdmitted(next)
			}
		})
	})
}

func (w *World) killSeatNode(s *seat, how string) {
	w.tracef("%s %s", s.node, how)
	s.lostUntil = stillDown
	w.Kill(s.node)
}

// returns starts the node of a seat, which counts as there after a while. A new one must be a voter by then.
func (w *World) restartSeatNode(s *seat) {
	node := s.node
	w.Start(node)
	s.lostUntil = w.now.Add(convergence)
	w.After(convergence, func() {
		if w.core.started[node].Add(convergence) == w.now && s.node == node && w.procs[node].up {
			w.Check.checkAdmitted(node)
		}
	})
}

// Operators of these scenes.

// putNext reads the plan at a node, and hands over another that goes on it.
func (w *World) putNextPlan(node, name string, then func(taken bool)) {
	w.Read(node, func(r controller.Receipt) {
		if r.Kind != failure.None {
			then(false)
			return
		}
		raw := WithName(w.o.Plan, fmt.Sprintf("%s %d", name, w.admin), nil)
		w.PutNumber(node, raw, r.Epoch, r.Epoch+1+ident.Epoch(w.rand.IntN(3)), func(r controller.Receipt) {
			then(r.Kind == failure.None)
		})
	})
}

// operate has an operator change the plan every while, at any node that is up.
func (w *World) changePlanPeriodically(from, to float64, gap clock.Span) {
	var next func()
	next = func() {
		if w.now > sec(to) {
			return
		}
		w.putNextPlan(w.someUp(), "meanwhile", func(bool) {})
		w.After(gap/2+clock.Span(w.rand.Int64N(int64(gap))), next)
	}
	w.At(sec(from), next)
}

// expectConfirmed expects that a change is confirmed soon after the last loss is over.
func (w *World) expectChangeConfirmed() {
	if !w.core.hasNoLosses(w.now) {
		w.After(confirmInterval, w.expectChangeConfirmed)
		return
	}
	began, confirmed := w.now, false
	w.After(confirmTimeout, func() {
		if !confirmed {
			w.Check.bad("no change is confirmed %v after the last loss of a core node: %s", confirmTimeout, w.describeVoterSets())
		}
	})
	var try func()
	try = func() {
		if confirmed || w.now.Sub(began) > confirmTimeout {
			return
		}
		w.putNextPlan(w.someUp(), "calm", func(taken bool) { confirmed = confirmed || taken })
		w.After(confirmInterval, try)
	}
	try()
}

// Checkers.

// admitted expects that a node that counts as there is a voter, or that the voter set is whole without it:
// another new node may have taken the place that was free.
func (k *Checker) checkAdmitted(node string) {
	w := k.w
	if w.hasSpareNodes() {
		return // more nodes than voters: it need not be one
	}
	for _, p := range w.controllers() {
		voters, prior := w.voterSets(p)
		if containsVoter(voters, node) && (len(prior) == 0 || containsVoter(prior, node)) {
			return
		}
		if w.isCompleteVoterSet(voters) && (len(prior) == 0 || w.isCompleteVoterSet(prior)) {
			return // it may be joint for another that came back empty
		}
	}
	k.bad("%s is no full voter %v after its start: %s", node, convergence, w.describeVoterSets())
}

// whole tells whether a voter set has all its seats, and none of a node that is long gone for good.
func (w *World) isCompleteVoterSet(voters []protocol.Voter) bool {
	for _, v := range voters {
		if at, gone := w.core.removed[string(v.ID)]; gone && w.now.Sub(at) > convergence {
			return false
		}
	}
	return len(voters) == 2*w.core.Losses+1
}

// spares tells whether there are more core nodes than voters.
func (w *World) hasSpareNodes() bool { return w.core.Nodes > 2*w.core.Losses+1 }

func containsVoter(l []protocol.Voter, node string) bool {
	for _, v := range l {
		if v.ID == ident.Node(node) {
			return true
		}
	}
	return false
}

// watchVoters expects, once the core has grown, that a voter set is left soon after the last change among
// the core nodes.
func (w *World) watchJointState(from float64) {
	told := clock.Tick(-1)
	var look func()
	look = func() {
		f := w.core
		if w.now.Sub(f.changed) > convergence && f.hasNoLosses(w.now) && told != f.changed {
			if n := w.findJointVoter(); n != "" {
				told = f.changed
				w.Check.bad("the voter set is still in a joint state at %s, %v after the last change: %s", n, w.now.Sub(f.changed), w.describeVoterSets())
			}
		}
		w.After(jointCheckInterval, look)
	}
	w.At(sec(from), look)
}

// jointAt names a voter that knows a set that is still being left.
func (w *World) findJointVoter() string {
	for _, p := range w.controllers() {
		if voters, prior := w.voterSets(p); len(prior) > 0 && containsVoter(voters, p.name) {
			return p.name
		}
	}
	return ""
}

// describeCore tells, of each node that is up, which voters it knows; those that are down are marked.
func (w *World) describeVoterSets() string {
	mark := func(l []protocol.Voter) string {
		var names []string
		for _, v := range l {
			name := strings.TrimPrefix(string(v.ID), "controller-")
			if p := w.procs[string(v.ID)]; p == nil {
				name += "(gone)"
			} else if !p.up {
				name += "(down)"
			}
			names = append(names, name)
		}
		return "{" + strings.Join(names, " ") + "}"
	}
	known := map[string]int{}
	for _, p := range w.controllers() {
		voters, prior := w.voterSets(p)
		text := "voters " + mark(voters)
		if len(prior) > 0 {
			text += " beside " + mark(prior)
		}
		known[text]++
	}
	var l []string
	for _, text := range generic.SortedKeys(known) {
		l = append(l, fmt.Sprintf("%d know %s", known[text], text))
	}
	return strings.Join(l, ", ")
}
