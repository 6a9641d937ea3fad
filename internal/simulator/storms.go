package simulator

import (
	"encoding/json"
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// orders is how many operators change the plan at once in a storm.
const concurrentOperators = 8

// stormEnds is how long the last changes of a storm may still be under way.
const stormDrainTime = clock.Span(2e9)

// storm is a number of operators who all change the plan as fast as they are answered.
type storm struct {
	w        *World
	accepted int
	stopped  bool
	pickNode func() string // draws the node that is called
}

// startStorm begins a storm of changes at the nodes that are drawn.
func (w *World) startStorm(toward func() string) *storm {
	s := &storm{w: w, pickNode: toward}
	for range concurrentOperators {
		s.sendNext()
	}
	return s
}

func (s *storm) sendNext() {
	w := s.w
	if s.stopped {
		return
	}
	began := w.now
	w.putNextPlan(s.pickNode(), "storm", func(taken bool) {
		s.accepted += b2i(taken)
		pause := clock.Span(w.rand.Int64N(20e6))
		if !taken && w.now.Sub(began) < 50e6 {
			pause += 200e6 // a node that is down answers at once
		}
		w.After(pause, s.sendNext)
	})
}

// after runs a step once so many changes were taken, or it lasted too long.
func (s *storm) stopAfter(changes int, most clock.Span, then func()) {
	w := s.w
	began := w.now
	var look func()
	look = func() {
		if s.accepted < changes && w.now.Sub(began) < most {
			w.After(50e6, look)
			return
		}
		s.stopped = true
		w.tracef("storm: %d changes taken in %v", s.accepted, w.now.Sub(began))
		w.After(stormDrainTime, then)
	}
	look()
}

// raced is one of two changes that go on the same version.
type racingChange struct {
	request  controller.Admin
	accepted bool
}

// race has two operators change one version. Each sends its change to several nodes, as one does whose
// answers get lost.
func (w *World) raceChanges(name string, then func(both [2]*racingChange)) {
	w.Read(w.someUp(), func(r controller.Receipt) {
		if r.Kind != failure.None {
			w.After(confirmInterval, func() { w.raceChanges(name, then) })
			return
		}
		var both [2]*racingChange
		left := concurrentOperators
		for i := range both {
			c := &racingChange{request: controller.Admin{Op: "put", Expect: r.Epoch, Number: r.Epoch + 1 + ident.Epoch(w.rand.IntN(3)),
				Raw: WithName(w.o.Plan, fmt.Sprintf("%s-%d", name, i), nil), Change: fmt.Sprintf("%s-%d", name, i)}}
			both[i] = c
			done := func(r controller.Receipt) {
				c.accepted = c.accepted || r.Kind == failure.None
				if left--; left == 0 {
					then(both)
				}
			}
			w.change(w.someUp(), c.request, done)
			for range concurrentOperators/2 - 1 {
				w.After(clock.Span(w.rand.Int64N(300e6)), func() { w.Admin(w.someUp(), c.request, done) })
			}
		}
	})
}

// raceAndRepeat races two changes, has a storm go over them, and sends both once more, to other nodes.
func (w *World) raceAndRepeat(round, changes int, most clock.Span, then func()) {
	w.raceChanges(fmt.Sprintf("race-%d", round), func(both [2]*racingChange) {
		s := w.startStorm(w.someUp)
		s.stopAfter(changes, most, func() {
			left := concurrentOperators
			for range concurrentOperators / 2 {
				for _, c := range both {
					w.Admin(w.someUp(), c.request, func(r controller.Receipt) {
						if c.accepted && (r.Kind == failure.Conflict || r.Kind == failure.Faulty) {
							w.Check.bad("change %q was taken, and its repeat after %d changes refused: %s", c.request.Change, s.accepted, r.Why)
						}
						if left--; left == 0 {
							then()
						}
					})
				}
			}
		})
	})
}

// playRaces races changes again and again, with so many others in between.
func (w *World) runRaces(until float64, changes int) {
	w.tracef("deployment: %s", w.core)
	round := 0
	var next func()
	next = func() {
		if w.now > sec(until) {
			return
		}
		round++
		w.raceAndRepeat(round, changes, 30e9, next)
	}
	w.At(sec(10), func() {
		w.ReplyLoss = 0.15
		next()
	})
}

// playAway has a voter away while hundreds of changes are taken; it returns with its old disk, and others
// are lost as soon as it counts as there.
func (w *World) runVoterAbsences(until float64, changes int) {
	w.tracef("deployment: %s", w.core)
	w.watchJointState(12)
	var round func()
	round = func() {
		if w.now > sec(until) {
			w.expectChangeConfirmed()
			return
		}
		if !w.core.hasNoLosses(w.now) {
			w.After(confirmInterval, round)
			return
		}
		away := w.core.seats[w.rand.IntN(len(w.core.seats))]
		w.killSeatNode(away, "is away")
		s := w.startStorm(w.someUp)
		s.stopAfter(changes, 30e9, func() {
			w.restartSeatNode(away)
			changes := w.rand.IntN(2) == 0 // else nothing is written while it catches up
			w.callRepeatedly(away.node, 8e9, changes)
			w.After(convergence+1e6, func() {
				w.Check.checkReplica(away.node)
				w.powerOffOthers(away)
				w.After(4e9, round)
			})
		})
	}
	w.At(sec(10), round)
}

// loseOthers has as many others lose power at once as the tolerance allows.
func (w *World) powerOffOthers(but *seat) {
	for _, i := range w.rand.Perm(len(w.core.seats)) {
		if s := w.core.seats[i]; s != but && !s.countsAsLost(w.now) && w.core.mayLose(s, w.now) {
			w.injectLoss(s, powerLoss)
		}
	}
}

// callOften has operators read the plan at one node for a while, and change it if they are to.
func (w *World) callRepeatedly(node string, long clock.Span, changes bool) {
	end := w.now.Add(long)
	var next func()
	next = func() {
		if w.now > end {
			return
		}
		w.Read(node, nil)
		if n := w.Check.newest(w.now); n != nil && changes && w.rand.IntN(2) == 0 {
			name := fmt.Sprintf("called %d", w.admin)
			w.PutNumber(node, WithName(w.o.Plan, name, nil), n.epoch, n.epoch+1, nil)
		}
		w.After(clock.Span(100e6+w.rand.Int64N(400e6)), next)
	}
	next()
}

// settledFor is how long ago a change was confirmed that every replica must have.
const replicationTime = clock.Span(1500e6)

// replica expects that a voter's disk has what was confirmed a while ago.
func (k *Checker) checkReplica(node string) {
	p := k.w.procs[node]
	if p == nil || !p.up || !isKnownVoter(k.w, node) {
		return
	}
	want := k.newest(k.w.now.Add(-replicationTime))
	var on struct{ Value *protocol.Desired }
	if err := json.Unmarshal(p.disk.safe["accepted"], &on); err != nil {
		k.bad("%s has a disk that cannot be read: %v", node, err)
		return
	}
	if want == nil {
		return
	}
	has := ident.Epoch(0)
	if on.Value != nil {
		has = on.Value.Epoch
	}
	if has < want.epoch {
		k.bad("%s is no full replica %v after it came back: its disk has epoch %d, %d was confirmed", node, convergence, has, want.epoch)
	}
}

// sitsIn tells whether a node is a voter as the others know it.
func isKnownVoter(w *World, node string) bool {
	for _, p := range w.controllers() {
		if p.name == node {
			continue
		}
		if voters, _ := w.voterSets(p); containsVoter(voters, node) {
			return true
		}
	}
	return false
}
