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

// Time limits of the failure injection and of its checks.
const (
	convergence        = clock.Span(4e9) // how long a returned or new machine still counts as lost
	confirmTimeout     = clock.Span(8e9) // a change must be confirmed within this time after the last loss has ended
	confirmInterval    = clock.Span(300e6)
	jointCheckInterval = clock.Span(100e6)
)

// lossKind is a way in which a core node is lost.
type lossKind int

const (
	powerLoss          lossKind = iota // restarts with its disk intact
	diskLoss                           // restarts with an empty disk
	diskLossAfterAck                   // like diskLoss, right after the node confirmed a change
	replacement                        // removed permanently; an empty node starts at another address
	plannedReplacement                 // an empty node starts at another address before the old one stops permanently
)

// countsAsLost reports whether a seat counts as lost at a given time.
func (s *seat) countsAsLost(now clock.Instant) bool { return now < s.lostUntil }

// allSeats returns the current seats and the permanently stopped nodes, any of which may count as lost.
func (f *coreFleet) allSeats() []*seat { return append(append([]*seat{}, f.seats...), f.stopped...) }

// mayLose reports whether the failure tolerance permits losing a seat now.
func (f *coreFleet) mayLose(s *seat, now clock.Instant) bool {
	count := 1
	for _, other := range f.allSeats() {
		if other == s || !other.countsAsLost(now) {
			continue
		}
		if f.OneZone && other.zone != s.zone {
			return false
		}
		count++
	}
	return count <= f.Losses
}

// nextLossEnd returns when the earliest loss with a known end stops counting, at most confirmInterval from now.
func (f *coreFleet) nextLossEnd(now clock.Instant) clock.Instant {
	end := now.Add(confirmInterval)
	for _, s := range f.allSeats() {
		if s.countsAsLost(now) && s.lostUntil < end {
			end = s.lostUntil
		}
	}
	return end
}

// hasNoLosses reports whether no core node counts as lost or is being replaced.
func (f *coreFleet) hasNoLosses(now clock.Instant) bool {
	for _, s := range f.allSeats() {
		if s.countsAsLost(now) || s.replacing {
			return false
		}
	}
	return true
}

// injectLosses loses random core nodes in the given ways, in as quick succession as the tolerance permits.
func (w *World) injectLosses(from, to float64, kinds ...lossKind) {
	var next func()
	next = func() {
		if w.now > atSecond(to) {
			w.expectChangeConfirmed()
			return
		}
		s := w.core.seats[w.rand.IntN(len(w.core.seats))]
		if w.rand.IntN(5) < 2 {
			s = w.ownerSeat()
		}
		if s.lostUntil == noEnd || s.replacing || !w.core.mayLose(s, w.now) {
			w.At(w.core.nextLossEnd(w.now).Add(clock.Span(1e6+w.rand.Int64N(20e6))), next)
			return
		}
		w.injectLoss(s, kinds[w.rand.IntN(len(kinds))])
		w.After(w.drawLossDelay(), next)
	}
	w.At(atSecond(from), next)
}

// replaceSequentially replaces one core node after another permanently. The owner is lost soon after each replacement,
// and another node as soon as the new node no longer counts as lost.
func (w *World) replaceSequentially(from, to float64) {
	var next func()
	next = func() {
		if w.now > atSecond(to) {
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
	w.At(atSecond(from), next)
}

// replaceAndLose replaces one core node and loses others around the end of its replacement.
func (w *World) replaceAndLose() {
	replaced := w.core.seats[w.rand.IntN(len(w.core.seats))]
	w.injectLoss(replaced, replacement)
	drawKind := func() lossKind { return []lossKind{powerLoss, diskLoss, replacement}[w.rand.IntN(3)] }
	w.After(clock.Span(w.rand.Int64N(4000e6)), func() {
		if s := w.ownerSeat(); s != replaced && w.core.mayLose(s, w.now) {
			w.injectLoss(s, drawKind())
		}
	})
	var loseAnother func()
	loseAnother = func() {
		if replaced.countsAsLost(w.now) {
			w.At(min(replaced.lostUntil, w.now.Add(confirmInterval)), loseAnother)
			return
		}
		w.After(clock.Span(1e6+w.rand.Int64N(20e6)), func() {
			s := w.core.seats[w.rand.IntN(len(w.core.seats))]
			if s != replaced && !s.countsAsLost(w.now) && w.core.mayLose(s, w.now) {
				w.injectLoss(s, drawKind())
			}
		})
	}
	loseAnother()
}

// drawLossDelay draws the time until the next loss: almost immediate, short, or long enough to fall into a change of
// the voter set.
func (w *World) drawLossDelay() clock.Span {
	switch w.rand.IntN(3) {
	case 0:
		return clock.Span(1e6 + w.rand.Int64N(50e6))
	case 1:
		return clock.Span(w.rand.Int64N(1500e6))
	}
	return clock.Span(w.rand.Int64N(4000e6))
}

// ownerSeat returns the seat of the duty's owner, or the first seat if no node that is up owns the duty.
func (w *World) ownerSeat() *seat {
	for _, s := range w.core.seats {
		p := w.procs[s.node]
		if !p.up {
			continue
		}
		if _, ok := p.core.(*controller.Core).Owns(p.localTime(w.now)); ok {
			return s
		}
	}
	return w.core.seats[0]
}

// injectLoss loses the core node of a seat in the given way.
func (w *World) injectLoss(s *seat, kind lossKind) {
	node := s.node
	restartDelay := clock.Span(100e6 + w.rand.Int64N(2900e6))
	switch kind {
	case powerLoss:
		w.killSeatNode(s, "loses its power")
		w.After(restartDelay, func() { w.restartSeatNode(s) })
	case diskLoss:
		w.killSeatNode(s, "loses its power and its disk")
		w.Wipe(node)
		w.After(restartDelay, func() { w.restartSeatNode(s) })
	case diskLossAfterAck:
		w.putNextPlan(node, "before a loss", func(accepted bool) {
			if !accepted || s.node != node || s.lostUntil == noEnd || !w.core.mayLose(s, w.now) {
				return
			}
			w.killSeatNode(s, "loses its power and its disk right after a confirmation")
			w.Wipe(node)
			w.After(restartDelay, func() { w.restartSeatNode(s) })
		})
	case replacement:
		w.killSeatNode(s, "is gone for good")
		w.removeProcess(node)
		w.addNodeToSeat(s, w.runningSeeds())
		w.After(400e6+restartDelay, func() { w.restartSeatNode(s) })
	case plannedReplacement:
		s.replacing = true
		w.startPlannedReplacement(s)
	}
}

// stopGracePeriod is the time between a stop request to a core node and the removal of its process.
const stopGracePeriod = clock.Span(2e9)

// startPlannedReplacement starts a new node for a seat and stops the old one after a delay. The old node counts as lost
// from its stop until the convergence time has passed. The new node counts as lost separately, because it may have
// replaced another voter by then.
func (w *World) startPlannedReplacement(s *seat) {
	old, next := s.node, &seat{zone: s.zone}
	w.addNodeToSeat(next, w.runningSeeds())
	w.Start(next.node)
	w.tracef("%s is to replace %s", next.node, old)
	w.After(clock.Span(500e6+w.rand.Int64N(4500e6)), func() { w.stopReplacedNode(s, old, next.node) })
}

// stopReplacedNode stops a replaced node permanently as soon as the tolerance permits.
func (w *World) stopReplacedNode(s *seat, old, next string) {
	if s.lostUntil == noEnd || !w.core.mayLose(s, w.now) {
		w.After(confirmInterval, func() { w.stopReplacedNode(s, old, next) })
		return
	}
	stopped := &seat{node: old, zone: s.zone, lostUntil: noEnd}
	w.core.stopped = append(w.core.stopped, stopped)
	p := w.procs[old]
	w.tracef("%s is stopped for good", old)
	w.step(p, p.incarnation, protocol.Stop{})
	w.After(stopGracePeriod, func() {
		w.removeProcess(old)
		s.node, s.replacing = next, false
		s.lostUntil = w.core.startedAt[next].Add(convergence)
		stopped.lostUntil = w.now.Add(convergence)
		w.After(convergence, func() {
			if s.node == next && w.procs[next].up {
				w.Check.checkAdmitted(next)
			}
		})
	})
}

// killSeatNode kills the node of a seat, which counts as lost until the node is restarted.
func (w *World) killSeatNode(s *seat, event string) {
	w.tracef("%s %s", s.node, event)
	s.lostUntil = noEnd
	w.Kill(s.node)
}

// restartSeatNode starts the node of a seat, which stops counting as lost after the convergence time. The node must
// be a voter by then.
func (w *World) restartSeatNode(s *seat) {
	node := s.node
	w.Start(node)
	s.lostUntil = w.now.Add(convergence)
	w.After(convergence, func() {
		if w.core.startedAt[node].Add(convergence) == w.now && s.node == node && w.procs[node].up {
			w.Check.checkAdmitted(node)
		}
	})
}

// putNextPlan reads the plan at a node and submits a new plan on top of that version.
func (w *World) putNextPlan(node, name string, then func(accepted bool)) {
	w.ReadPlan(node, func(r controller.Receipt) {
		if r.Kind != failure.None {
			then(false)
			return
		}
		raw := WithName(w.options.Plan, fmt.Sprintf("%s %d", name, w.lastAdmin), nil)
		w.PutNumbered(node, raw, r.Epoch, r.Epoch+1+ident.Epoch(w.rand.IntN(3)), func(r controller.Receipt) {
			then(r.Kind == failure.None)
		})
	})
}

// changePlanPeriodically has an operator change the plan at random intervals of gap on average, at any node that is up.
func (w *World) changePlanPeriodically(from, to float64, gap clock.Span) {
	var next func()
	next = func() {
		if w.now > atSecond(to) {
			return
		}
		w.putNextPlan(w.randomRunningNode(), "meanwhile", func(bool) {})
		w.After(gap/2+clock.Span(w.rand.Int64N(int64(gap))), next)
	}
	w.At(atSecond(from), next)
}

// expectChangeConfirmed checks that a change is confirmed within confirmTimeout after the last loss has ended.
func (w *World) expectChangeConfirmed() {
	if !w.core.hasNoLosses(w.now) {
		w.After(confirmInterval, w.expectChangeConfirmed)
		return
	}
	start, confirmed := w.now, false
	w.After(confirmTimeout, func() {
		if !confirmed {
			w.Check.violationf("no change was confirmed within %v after the last loss of a core node: %s", confirmTimeout, w.describeVoterSets())
		}
	})
	var try func()
	try = func() {
		if confirmed || w.now.Sub(start) > confirmTimeout {
			return
		}
		w.putNextPlan(w.randomRunningNode(), "calm", func(accepted bool) { confirmed = confirmed || accepted })
		w.After(confirmInterval, try)
	}
	try()
}

// checkAdmitted checks that a started node is a voter, or that the voter set is complete without it: another new node
// may have taken the free place.
func (k *Checker) checkAdmitted(node string) {
	w := k.world
	if w.hasSpareNodes() {
		return // more nodes than voters: the node need not be one of them
	}
	for _, p := range w.controllers() {
		voters, prior := w.voterSets(p)
		if containsVoter(voters, node) && (len(prior) == 0 || containsVoter(prior, node)) {
			return
		}
		if w.isCompleteVoterSet(voters) && (len(prior) == 0 || w.isCompleteVoterSet(prior)) {
			return // the set may be joint because of another node that came back empty
		}
	}
	k.violationf("%s is no full voter %v after its start: %s", node, convergence, w.describeVoterSets())
}

// isCompleteVoterSet reports whether a voter set has all its members, and none that was permanently removed longer
// than the convergence time ago.
func (w *World) isCompleteVoterSet(voters []protocol.Voter) bool {
	for _, v := range voters {
		if at, gone := w.core.removedAt[string(v.ID)]; gone && w.now.Sub(at) > convergence {
			return false
		}
	}
	return len(voters) == 2*w.core.Losses+1
}

// hasSpareNodes reports whether there are more core nodes than voters.
func (w *World) hasSpareNodes() bool { return w.core.Nodes > 2*w.core.Losses+1 }

// containsVoter reports whether a node is in a list of voters.
func containsVoter(voters []protocol.Voter, node string) bool {
	for _, v := range voters {
		if v.ID == ident.Node(node) {
			return true
		}
	}
	return false
}

// watchJointState checks from a given time on, when the core has grown to its full size, that no joint voter set
// remains longer than the convergence time after the last change among the core nodes.
func (w *World) watchJointState(from float64) {
	reported := clock.Instant(-1)
	var check func()
	check = func() {
		f := w.core
		if w.now.Sub(f.changedAt) > convergence && f.hasNoLosses(w.now) && reported != f.changedAt {
			if n := w.findJointVoter(); n != "" {
				reported = f.changedAt
				w.Check.violationf("the voter set is still in a joint state at %s, %v after the last change: %s", n, w.now.Sub(f.changedAt), w.describeVoterSets())
			}
		}
		w.After(jointCheckInterval, check)
	}
	w.At(atSecond(from), check)
}

// findJointVoter returns the name of a voter that still knows a joint voter set, or the empty string.
func (w *World) findJointVoter() string {
	for _, p := range w.controllers() {
		if voters, prior := w.voterSets(p); len(prior) > 0 && containsVoter(voters, p.name) {
			return p.name
		}
	}
	return ""
}

// describeVoterSets describes which voter sets the running nodes know, and marks voters that are down or removed.
func (w *World) describeVoterSets() string {
	format := func(voters []protocol.Voter) string {
		var names []string
		for _, v := range voters {
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
		text := "voters " + format(voters)
		if len(prior) > 0 {
			text += ", prior voters " + format(prior)
		}
		known[text]++
	}
	var descriptions []string
	for _, text := range generic.SortedKeys(known) {
		descriptions = append(descriptions, fmt.Sprintf("%d know %s", known[text], text))
	}
	return strings.Join(descriptions, ", ")
}
