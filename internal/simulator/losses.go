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
	convergence   = clock.Span(4e9) // a machine that is back, or new, counts as lost for so long
	confirmBound  = clock.Span(8e9) // a change is confirmed so soon after the last loss is over
	confirmEvery  = clock.Span(300e6)
	jointLookEach = clock.Span(100e6)
)

// loss is one way to lose a core node.
type loss int

const (
	powerLoss   loss = iota // it starts again, with its disk
	diskLoss                // it starts again, empty
	ackDiskLoss             // the same, right after it confirmed a change
	replacement             // it is gone for good; an empty node comes at another address
	planned                 // an empty node comes at another address; then it is stopped for good
)

// lost tells whether a seat counts as lost.
func (s *seat) lost(now clock.Tick) bool { return now < s.lostUntil }

// counted are all that may count as lost.
func (f *coreFleet) counted() []*seat { return append(append([]*seat{}, f.seats...), f.stopped...) }

// mayLose tells whether the tolerance allows that a seat is lost now.
func (f *coreFleet) mayLose(s *seat, now clock.Tick) bool {
	count := 1
	for _, other := range f.counted() {
		if other == s || !other.lost(now) {
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
func (f *coreFleet) freed(now clock.Tick) clock.Tick {
	at := now.Add(confirmEvery)
	for _, s := range f.counted() {
		if s.lost(now) && s.lostUntil < at {
			at = s.lostUntil
		}
	}
	return at
}

// calm tells whether no core node counts as lost.
func (f *coreFleet) calm(now clock.Tick) bool {
	for _, s := range f.counted() {
		if s.lost(now) || s.replacing {
			return false
		}
	}
	return true
}

// losses loses core nodes in every way, as closely after one another as the tolerance allows.
func (w *World) losses(from, to float64, kinds ...loss) {
	var next func()
	next = func() {
		if w.now > sec(to) {
			w.expectConfirmed()
			return
		}
		s := w.core.seats[w.rand.IntN(len(w.core.seats))]
		if w.rand.IntN(5) < 2 {
			s = w.ownerSeat()
		}
		if s.lostUntil == stillDown || s.replacing || !w.core.mayLose(s, w.now) {
			w.At(w.core.freed(w.now).Add(clock.Span(1e6+w.rand.Int64N(20e6))), next)
			return
		}
		w.lose(s, kinds[w.rand.IntN(len(kinds))])
		w.After(w.spacing(), next)
	}
	w.At(sec(from), next)
}

// replaceInTurn replaces one core node after another for good; the owner is lost soon after each, and
// another node as soon as the new one counts as there.
func (w *World) replaceInTurn(from, to float64) {
	var next func()
	next = func() {
		if w.now > sec(to) {
			w.expectConfirmed()
			return
		}
		if !w.core.calm(w.now) {
			w.At(w.core.freed(w.now).Add(1e6), next)
			return
		}
		w.replaceAndLose()
		w.After(1e6, next)
	}
	w.At(sec(from), next)
}

func (w *World) replaceAndLose() {
	first := w.core.seats[w.rand.IntN(len(w.core.seats))]
	w.lose(first, replacement)
	how := func() loss { return []loss{powerLoss, diskLoss, replacement}[w.rand.IntN(3)] }
	w.After(clock.Span(w.rand.Int64N(4000e6)), func() {
		if s := w.ownerSeat(); s != first && w.core.mayLose(s, w.now) {
			w.lose(s, how())
		}
	})
	var third func()
	third = func() {
		if first.lost(w.now) {
			w.At(min(first.lostUntil, w.now.Add(confirmEvery)), third)
			return
		}
		w.After(clock.Span(1e6+w.rand.Int64N(20e6)), func() {
			s := w.core.seats[w.rand.IntN(len(w.core.seats))]
			if s != first && !s.lost(w.now) && w.core.mayLose(s, w.now) {
				w.lose(s, how())
			}
		})
	}
	third()
}

// spacing draws the time to the next loss: at once, soon, or while the core is changing its voters.
func (w *World) spacing() clock.Span {
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
func (w *World) lose(s *seat, how loss) {
	node := s.node
	again := clock.Span(100e6 + w.rand.Int64N(2900e6))
	switch how {
	case powerLoss:
		w.fell(s, "loses its power")
		w.After(again, func() { w.returns(s) })
	case diskLoss:
		w.fell(s, "loses its power and its disk")
		w.Wipe(node)
		w.After(again, func() { w.returns(s) })
	case ackDiskLoss:
		w.putNext(node, "before a loss", func(taken bool) {
			if !taken || s.node != node || s.lostUntil == stillDown || !w.core.mayLose(s, w.now) {
				return
			}
			w.fell(s, "loses its power and its disk right after a confirmation")
			w.Wipe(node)
			w.After(again, func() { w.returns(s) })
		})
	case replacement:
		w.fell(s, "is gone for good")
		w.remove(node)
		w.seatNode(s, w.upSeeds())
		w.After(400e6+again, func() { w.returns(s) })
	case planned:
		s.replacing = true
		w.replaceAsPlanned(s)
	}
}

// plannedGrace is how long a core node may go on after it is told to stop.
const plannedGrace = clock.Span(2e9)

// replaceAsPlanned starts a new node for a seat, and stops the old one after a while. The old one counts as
// lost from the stop on, until the core has had its time to converge; the new one may have taken the place
// of another by then, and is lost by itself.
func (w *World) replaceAsPlanned(s *seat) {
	old, next := s.node, &seat{zone: s.zone}
	w.seatNode(next, w.upSeeds())
	w.Start(next.node)
	w.tracef("%s is to replace %s", next.node, old)
	w.After(clock.Span(500e6+w.rand.Int64N(4500e6)), func() { w.stopReplaced(s, old, next.node) })
}

func (w *World) stopReplaced(s *seat, old, next string) {
	if s.lostUntil == stillDown || !w.core.mayLose(s, w.now) {
		w.After(confirmEvery, func() { w.stopReplaced(s, old, next) })
		return
	}
	gone := &seat{node: old, zone: s.zone, lostUntil: stillDown}
	w.core.stopped = append(w.core.stopped, gone)
	p := w.procs[old]
	w.tracef("%s is stopped for good", old)
	w.step(p, p.life, protocol.Stop{})
	w.After(plannedGrace, func() {
		w.remove(old)
		s.node, s.replacing = next, false
		s.lostUntil = w.core.started[next].Add(convergence)
		gone.lostUntil = w.now.Add(convergence)
		w.After(convergence, func() {
			if s.node == next && w.procs[next].up {
				w.Check.admitted(next)
			}
		})
	})
}

func (w *World) fell(s *seat, how string) {
	w.tracef("%s %s", s.node, how)
	s.lostUntil = stillDown
	w.Kill(s.node)
}

// returns starts the node of a seat, which counts as there after a while. A new one must be a voter by then.
func (w *World) returns(s *seat) {
	node := s.node
	w.Start(node)
	s.lostUntil = w.now.Add(convergence)
	w.After(convergence, func() {
		if w.core.started[node].Add(convergence) == w.now && s.node == node && w.procs[node].up {
			w.Check.admitted(node)
		}
	})
}

// Operators of these scenes.

// putNext reads the plan at a node, and hands over another that goes on it.
func (w *World) putNext(node, name string, then func(taken bool)) {
	w.Read(node, func(r controller.Receipt) {
		if r.Kind != failure.None {
			then(false)
			return
		}
		raw := Named(w.o.Plan, fmt.Sprintf("%s %d", name, w.admin), nil)
		w.PutNumber(node, raw, r.Epoch, r.Epoch+1+ident.Epoch(w.rand.IntN(3)), func(r controller.Receipt) {
			then(r.Kind == failure.None)
		})
	})
}

// operate has an operator change the plan every while, at any node that is up.
func (w *World) operate(from, to float64, gap clock.Span) {
	var next func()
	next = func() {
		if w.now > sec(to) {
			return
		}
		w.putNext(w.someUp(), "meanwhile", func(bool) {})
		w.After(gap/2+clock.Span(w.rand.Int64N(int64(gap))), next)
	}
	w.At(sec(from), next)
}

// expectConfirmed expects that a change is confirmed soon after the last loss is over.
func (w *World) expectConfirmed() {
	if !w.core.calm(w.now) {
		w.After(confirmEvery, w.expectConfirmed)
		return
	}
	began, confirmed := w.now, false
	w.After(confirmBound, func() {
		if !confirmed {
			w.Check.bad("no change is confirmed %v after the last loss of a core node: %s", confirmBound, w.describeCore())
		}
	})
	var try func()
	try = func() {
		if confirmed || w.now.Sub(began) > confirmBound {
			return
		}
		w.putNext(w.someUp(), "calm", func(taken bool) { confirmed = confirmed || taken })
		w.After(confirmEvery, try)
	}
	try()
}

// Checkers.

// admitted expects that a node that counts as there is a voter, or that the voter set is whole without it:
// another new node may have taken the place that was free.
func (k *Checker) admitted(node string) {
	w := k.w
	if w.spares() {
		return // more nodes than voters: it need not be one
	}
	for _, p := range w.controllers() {
		voters, prior := w.voterSets(p)
		if sits(voters, node) && (len(prior) == 0 || sits(prior, node)) {
			return
		}
		if w.whole(voters) && (len(prior) == 0 || w.whole(prior)) {
			return // it may be joint for another that came back empty
		}
	}
	k.bad("%s is no full voter %v after its start: %s", node, convergence, w.describeCore())
}

// whole tells whether a voter set has all its seats, and none of a node that is long gone for good.
func (w *World) whole(voters []protocol.Voter) bool {
	for _, v := range voters {
		if at, gone := w.core.removed[string(v.ID)]; gone && w.now.Sub(at) > convergence {
			return false
		}
	}
	return len(voters) == 2*w.core.Losses+1
}

// spares tells whether there are more core nodes than voters.
func (w *World) spares() bool { return w.core.Nodes > 2*w.core.Losses+1 }

func sits(l []protocol.Voter, node string) bool {
	for _, v := range l {
		if v.ID == ident.Node(node) {
			return true
		}
	}
	return false
}

// watchVoters expects, once the core has grown, that a voter set is left soon after the last change among
// the core nodes.
func (w *World) watchVoters(from float64) {
	told := clock.Tick(-1)
	var look func()
	look = func() {
		f := w.core
		if w.now.Sub(f.changed) > convergence && f.calm(w.now) && told != f.changed {
			if n := w.jointAt(); n != "" {
				told = f.changed
				w.Check.bad("the voter set is still in a joint state at %s, %v after the last change: %s", n, w.now.Sub(f.changed), w.describeCore())
			}
		}
		w.After(jointLookEach, look)
	}
	w.At(sec(from), look)
}

// jointAt names a voter that knows a set that is still being left.
func (w *World) jointAt() string {
	for _, p := range w.controllers() {
		if voters, prior := w.voterSets(p); len(prior) > 0 && sits(voters, p.name) {
			return p.name
		}
	}
	return ""
}

// describeCore tells, of each node that is up, which voters it knows; those that are down are marked.
func (w *World) describeCore() string {
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
