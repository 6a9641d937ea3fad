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

// concurrentOperators is the number of operators that change the plan concurrently in a storm.
const concurrentOperators = 8

// stormDrainTime is the time allowed for the last changes of a storm to complete.
const stormDrainTime = clock.Span(2e9)

// storm is a group of operators that all change the plan as fast as they receive answers.
type storm struct {
	w        *World
	accepted int
	stopped  bool
	pickNode func() string // draws the node to call
}

// startStorm starts a storm of changes at the nodes that pickNode returns.
func (w *World) startStorm(pickNode func() string) *storm {
	s := &storm{w: w, pickNode: pickNode}
	for range concurrentOperators {
		s.sendNext()
	}
	return s
}

// sendNext submits one operator's next change, unless the storm has stopped.
func (s *storm) sendNext() {
	w := s.w
	if s.stopped {
		return
	}
	start := w.now
	w.putNextPlan(s.pickNode(), "storm", func(accepted bool) {
		s.accepted += boolToInt(accepted)
		pause := clock.Span(w.rand.Int64N(20e6))
		if !accepted && w.now.Sub(start) < 50e6 {
			pause += 200e6 // calls to a node that is down fail immediately
		}
		w.After(pause, s.sendNext)
	})
}

// stopAfter stops the storm once the given number of changes was accepted or the time limit is reached, and calls then
// after the last changes had time to complete.
func (s *storm) stopAfter(changes int, limit clock.Span, then func()) {
	w := s.w
	start := w.now
	var check func()
	check = func() {
		if s.accepted < changes && w.now.Sub(start) < limit {
			w.After(50e6, check)
			return
		}
		s.stopped = true
		w.tracef("storm: %d changes taken in %v", s.accepted, w.now.Sub(start))
		w.After(stormDrainTime, then)
	}
	check()
}

// racingChange is one of two changes that are based on the same version.
type racingChange struct {
	request  controller.Admin
	accepted bool
}

// raceChanges has two operators change the same version. Each sends its change to several nodes, as an operator does
// whose answers get lost.
func (w *World) raceChanges(name string, then func(both [2]*racingChange)) {
	w.ReadPlan(w.randomRunningNode(), func(r controller.Receipt) {
		if r.Kind != failure.None {
			w.After(confirmInterval, func() { w.raceChanges(name, then) })
			return
		}
		var both [2]*racingChange
		pending := concurrentOperators
		for i := range both {
			c := &racingChange{request: controller.Admin{Op: "put", Expect: r.Epoch, Number: r.Epoch + 1 + ident.Epoch(w.rand.IntN(3)),
				Raw: WithName(w.options.Plan, fmt.Sprintf("%s-%d", name, i), nil), Change: fmt.Sprintf("%s-%d", name, i)}}
			both[i] = c
			done := func(r controller.Receipt) {
				c.accepted = c.accepted || r.Kind == failure.None
				if pending--; pending == 0 {
					then(both)
				}
			}
			w.submitChange(w.randomRunningNode(), c.request, done)
			for range concurrentOperators/2 - 1 {
				w.After(clock.Span(w.rand.Int64N(300e6)), func() { w.Admin(w.randomRunningNode(), c.request, done) })
			}
		}
	})
}

// raceAndRepeat races two changes, runs a storm of further changes, and then repeats both racing changes at other
// nodes.
func (w *World) raceAndRepeat(round, changes int, limit clock.Span, then func()) {
	w.raceChanges(fmt.Sprintf("race-%d", round), func(both [2]*racingChange) {
		s := w.startStorm(w.randomRunningNode)
		s.stopAfter(changes, limit, func() {
			pending := concurrentOperators
			for range concurrentOperators / 2 {
				for _, c := range both {
					w.Admin(w.randomRunningNode(), c.request, func(r controller.Receipt) {
						if c.accepted && (r.Kind == failure.Conflict || r.Kind == failure.FaultyPlan) {
							w.Check.violationf("change %q was accepted, but its repeat after %d changes was refused: %s", c.request.Change, s.accepted, r.Why)
						}
						if pending--; pending == 0 {
							then()
						}
					})
				}
			}
		})
	})
}

// runRaces repeatedly races two changes, each time with the given number of other changes before their repeats.
func (w *World) runRaces(until float64, changes int) {
	w.tracef("deployment: %s", w.core)
	round := 0
	var next func()
	next = func() {
		if w.now > atSecond(until) {
			return
		}
		round++
		w.raceAndRepeat(round, changes, 30e9, next)
	}
	w.At(atSecond(10), func() {
		w.ReplyLossOdds = 0.15
		next()
	})
}

// runVoterAbsences repeatedly stops a voter while hundreds of changes are accepted. The voter returns with its old
// disk, and others are lost as soon as it no longer counts as lost.
func (w *World) runVoterAbsences(until float64, changes int) {
	w.tracef("deployment: %s", w.core)
	w.watchJointState(12)
	var round func()
	round = func() {
		if w.now > atSecond(until) {
			w.expectChangeConfirmed()
			return
		}
		if !w.core.hasNoLosses(w.now) {
			w.After(confirmInterval, round)
			return
		}
		absent := w.core.seats[w.rand.IntN(len(w.core.seats))]
		w.killSeatNode(absent, "is away")
		s := w.startStorm(w.randomRunningNode)
		s.stopAfter(changes, 30e9, func() {
			w.restartSeatNode(absent)
			changes := w.rand.IntN(2) == 0 // otherwise operators only read while the voter catches up
			w.callRepeatedly(absent.node, 8e9, changes)
			w.After(convergence+1e6, func() {
				w.Check.checkReplica(absent.node)
				w.powerOffOthers(absent)
				w.After(4e9, round)
			})
		})
	}
	w.At(atSecond(10), round)
}

// powerOffOthers makes as many other core nodes lose power at once as the tolerance permits.
func (w *World) powerOffOthers(except *seat) {
	for _, i := range w.rand.Perm(len(w.core.seats)) {
		if s := w.core.seats[i]; s != except && !s.countsAsLost(w.now) && w.core.mayLose(s, w.now) {
			w.injectLoss(s, powerLoss)
		}
	}
}

// callRepeatedly has operators read the plan at one node for the given duration, and also change it if changes is set.
func (w *World) callRepeatedly(node string, duration clock.Span, changes bool) {
	end := w.now.Add(duration)
	var next func()
	next = func() {
		if w.now > end {
			return
		}
		w.ReadPlan(node, nil)
		if n := w.Check.latestConfirmed(w.now); n != nil && changes && w.rand.IntN(2) == 0 {
			name := fmt.Sprintf("called %d", w.lastAdmin)
			w.PutNumbered(node, WithName(w.options.Plan, name, nil), n.epoch, n.epoch+1, nil)
		}
		w.After(clock.Span(100e6+w.rand.Int64N(400e6)), next)
	}
	next()
}

// replicationTime is the age from which a confirmed change must be on the disk of every replica.
const replicationTime = clock.Span(1500e6)

// checkReplica checks that a voter's disk has the changes confirmed at least replicationTime ago.
func (k *Checker) checkReplica(node string) {
	p := k.world.procs[node]
	if p == nil || !p.up || !isKnownVoter(k.world, node) {
		return
	}
	confirmed := k.latestConfirmed(k.world.now.Add(-replicationTime))
	var stored struct{ Value *protocol.Desired }
	if err := json.Unmarshal(p.disk.synced["accepted"], &stored); err != nil {
		k.violationf("the disk of %s cannot be decoded: %v", node, err)
		return
	}
	if confirmed == nil {
		return
	}
	epoch := ident.Epoch(0)
	if stored.Value != nil {
		epoch = stored.Value.Epoch
	}
	if epoch < confirmed.epoch {
		k.violationf("%s is no full replica %v after its return: its disk has epoch %d, but epoch %d was confirmed", node, convergence, epoch, confirmed.epoch)
	}
}

// isKnownVoter reports whether any other node knows the given node as a voter.
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
