package simulator

import (
	"tidedeck/internal/clock"
)

// partitionKind is the direction in which a core node is cut off from the other core nodes.
type partitionKind int

const (
	partitionBoth     partitionKind = iota // no messages in either direction
	partitionInbound                       // outgoing messages still pass
	partitionOutbound                      // incoming messages still pass
	partitionKindCount
)

// partitionNode cuts a core node off from the other core nodes, and in half of the cases from all other machines too.
// Operators still reach the node.
func (w *World) partitionNode(node string, kind partitionKind) {
	fromAll := w.rand.IntN(2) == 0
	for _, b := range w.machineNames() {
		if b == node || !isCore(b) && !fromAll {
			continue
		}
		if kind != partitionOutbound {
			w.Cut(b, node, false)
		}
		if kind != partitionInbound {
			w.Cut(node, b, false)
		}
	}
}

// runPartitions repeatedly cuts off the owner or a seed while changes are accepted elsewhere.
func (w *World) runPartitions(until float64) {
	w.tracef("deployment: %s", w.core)
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
		w.partitionOneNode()
		w.After(confirmInterval, round)
	}
	w.At(atSecond(12), round)
}

// partitionOneNode cuts one node off for 14 to 25 s. Processes are restarted on both sides as far as the tolerance
// permits, and operators call the isolated node throughout.
func (w *World) partitionOneNode() {
	isolated := w.ownerSeat()
	if w.rand.IntN(2) == 0 {
		isolated = w.core.seats[w.rand.IntN(initialCoreNodes)]
	}
	duration := clock.Span(14e9 + w.rand.Int64N(11e9))
	node := isolated.node
	isolated.lostUntil = noEnd
	w.partitionNode(node, partitionKind(w.rand.IntN(int(partitionKindCount))))
	w.callRepeatedly(node, duration+convergence, true)
	start := float64(w.now) / 1e9
	w.changePlanPeriodically(start, start+float64(duration)/1e9, 1e9)
	w.restartDuringPartition(isolated, w.now.Add(duration-5e9))
	w.After(duration, func() {
		w.Heal()
		w.noteCoreStart(node)
		isolated.lostUntil = w.now.Add(convergence)
		w.After(convergence, func() { w.Check.checkReplica(node) })
	})
}

// restartDuringPartition restarts, wipes and replaces random nodes until the given time; the isolated node is only
// restarted.
func (w *World) restartDuringPartition(isolated *seat, until clock.Instant) {
	w.After(clock.Span(1e9+w.rand.Int64N(3e9)), func() {
		if w.now > until {
			return
		}
		s := w.core.seats[w.rand.IntN(len(w.core.seats))]
		switch {
		case s == isolated:
			w.Restart(s.node, clock.Span(w.rand.Int64N(500e6)))
		case s.lostUntil != noEnd && w.core.mayLose(s, w.now):
			w.injectLoss(s, []lossKind{powerLoss, diskLoss, replacement}[w.rand.IntN(3)])
		}
		w.restartDuringPartition(isolated, until)
	})
}
