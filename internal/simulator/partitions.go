package simulator

import (
	"tidedeck/internal/clock"
)

// partition is how a core node is cut off from the other core nodes.
type partitionKind int

const (
	partitionBoth     partitionKind = iota // nothing gets in or out
	partitionInbound                       // what it says gets out
	partitionOutbound                      // what others say gets in
	partitionKindCount
)

// partNode cuts a core node off; operators still reach it, and so do routers and servers now and then.
func (w *World) partitionNode(node string, how partitionKind) {
	alone := w.rand.IntN(2) == 0
	for _, b := range w.boxes() {
		if b == node || !isCore(b) && !alone {
			continue
		}
		if how != partitionOutbound {
			w.Cut(b, node, false)
		}
		if how != partitionInbound {
			w.Cut(node, b, false)
		}
	}
}

// playParted cuts off the owner or a seed, again and again, while changes are taken elsewhere.
func (w *World) runPartitions(until float64) {
	w.tracef("deployment: %s", w.core)
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
		w.partitionOneNode()
		w.After(confirmInterval, round)
	}
	w.At(sec(12), round)
}

// partOne cuts one node off for a while; processes are restarted on either side, as far as the tolerance
// allows, and operators call the parted node all the while.
func (w *World) partitionOneNode() {
	parted := w.ownerSeat()
	if w.rand.IntN(2) == 0 {
		parted = w.core.seats[w.rand.IntN(formingSeats)]
	}
	long := clock.Span(14e9 + w.rand.Int64N(11e9))
	node := parted.node
	parted.lostUntil = stillDown
	w.partitionNode(node, partitionKind(w.rand.IntN(int(partitionKindCount))))
	w.callRepeatedly(node, long+convergence, true)
	begin := float64(w.now) / 1e9
	w.changePlanPeriodically(begin, begin+float64(long)/1e9, 1e9)
	w.restartDuringPartition(parted, w.now.Add(long-5e9))
	w.After(long, func() {
		w.Heal()
		w.coreStarted(node)
		parted.lostUntil = w.now.Add(convergence)
		w.After(convergence, func() { w.Check.checkReplica(node) })
	})
}

// restartsMeanwhile restarts, wipes and replaces nodes until a moment.
func (w *World) restartDuringPartition(parted *seat, until clock.Tick) {
	w.After(clock.Span(1e9+w.rand.Int64N(3e9)), func() {
		if w.now > until {
			return
		}
		s := w.core.seats[w.rand.IntN(len(w.core.seats))]
		switch {
		case s == parted:
			w.Restart(s.node, clock.Span(w.rand.Int64N(500e6)))
		case s.lostUntil != stillDown && w.core.mayLose(s, w.now):
			w.injectLoss(s, []lossKind{powerLoss, diskLoss, replacement}[w.rand.IntN(3)])
		}
		w.restartDuringPartition(parted, until)
	})
}
