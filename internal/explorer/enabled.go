package explorer

import (
	"slices"

	"github.com/go-faster/errors"

	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Apply carries out one action and checks what must hold after it.
func (w *World) Apply(a Action) error {
	w.note("%s", a)
	if err := w.perform(a); err != nil {
		return err
	}
	w.drain()
	w.history.watch(w)
	w.history.checkDurable(w)
	return nil
}

func (w *World) perform(a Action) error {
	switch a.Kind {
	case Deliver, Duplicate, Drop, Interrupt:
		return w.performMessage(a)
	case Settle:
		w.settle()
	case Tick:
		w.spent.Ticks++
		w.tick()
	case Pass:
		w.spent.Passes++
		w.settle()
		w.pass(w.scenario.PassTicks)
	default:
		n := w.node(a.Node)
		if n == nil {
			return errors.Errorf("%s: no such node", a)
		}
		return w.performAt(a, n)
	}
	return nil
}

func (w *World) performMessage(a Action) error {
	m, ok := w.take(a.Message)
	if !ok {
		return errors.Errorf("%s: no such message is under way", a)
	}
	switch a.Kind {
	case Drop:
		w.spent.Drops++
		w.note("    %d is lost: %s", m.number, envelopeText(m.env))
		return nil
	case Duplicate:
		w.spent.Duplicates++
		w.sent++
		w.flight = append(w.flight, message{w.sent, m.env})
	case Interrupt:
		w.spent.Interrupts++
		w.receiver(m).dying = true
	}
	if !w.reaches(m) {
		return errors.Errorf("%s: its receiver is not reached", a)
	}
	w.arrive(m)
	if a.Kind == Interrupt {
		w.stop(w.receiver(m))
	}
	return nil
}

func (w *World) performAt(a Action, n *node) error {
	switch a.Kind {
	case DeliverTo, BreakAt, DropTo:
		w.performWave(a, n)
		return nil
	case Put, Get:
		if !n.up() {
			return errors.Errorf("%s: the node is down", a)
		}
		return w.ask(a, n)
	case Crash:
		w.spent.Crashes++
		w.stop(n)
	case Restart:
		if n.up() || n.lost {
			return errors.Errorf("%s: it cannot start", a)
		}
		w.boot(n)
	case Wipe:
		w.spent.Wipes++
		w.stop(n)
		n.disk, n.vote = map[string][]byte{}, controller.DurableVote{}
		w.boot(n)
	case Lose:
		w.spent.Losses++
		w.stop(n)
		n.disk, n.vote, n.lost = map[string][]byte{}, controller.DurableVote{}, true
	case Stall:
		w.spent.Stalls++
		n.stalled = true
	case Unstall:
		w.unstall(n)
	case Cut:
		w.spent.Cuts++
		n.cut = true
	case Heal:
		n.cut = false
	default:
		return errors.Errorf("%s: no such action", a)
	}
	return nil
}

// unstall has a disk sync what waited, in order.
func (w *World) unstall(n *node) {
	waiting := n.pending
	n.stalled, n.pending = false, nil
	for _, s := range waiting {
		w.sync(n, s)
	}
}

// stop ends a node's life; its disk keeps what was synced.
func (w *World) stop(n *node) {
	n.core, n.dying, n.stalled, n.pending = nil, false, false, nil
	w.history.stopped(n)
}

// performWave delivers or loses all that is under way to a node, but not what this leads to.
func (w *World) performWave(a Action, n *node) {
	var wave, rest []message
	for _, m := range w.flight {
		if w.receiver(m) == n && (a.Kind == DropTo || w.reaches(m)) {
			wave = append(wave, m)
		} else {
			rest = append(rest, m)
		}
	}
	w.flight = rest
	switch a.Kind {
	case DropTo:
		w.spent.Drops++
		return
	case BreakAt:
		w.spent.Interrupts++
		n.dying = true
	}
	for _, m := range wave {
		w.arrive(m)
	}
	if a.Kind == BreakAt {
		w.stop(n)
	}
}

// ask sends an operator's request to a node.
func (w *World) ask(a Action, n *node) error {
	if a.Kind == Get {
		w.spent.Gets++
		w.push(n, controller.Admin{Token: w.history.asks(request{at: n.id}), Op: "get"})
		return nil
	}
	for _, o := range w.scenario.Operators {
		if o.Name == a.Operator {
			w.put(n, o.Name, o.Expect, o.Number, false)
			return nil
		}
	}
	return errors.Errorf("%s: no such operator", a)
}

func (w *World) put(n *node, change string, expect, number ident.Epoch, any bool) {
	token := w.history.asks(request{at: n.id, change: change, expect: expect, any: any})
	w.push(n, controller.Admin{
		Token: token, Op: "put", Raw: []byte(change), Change: change,
		Expect: expect, Number: number, Any: any,
	})
}

// Enabled lists the actions that the scenario allows now, in a fixed order.
func (w *World) Enabled() []Action {
	var l []Action
	l = append(l, w.enabledDeliveries()...)
	l = append(l, w.enabledRequests()...)
	l = append(l, w.enabledFaults()...)
	b := w.scenario.Budget
	if w.spent.Ticks < b.Ticks {
		l = append(l, Action{Kind: Tick})
	}
	if w.spent.Passes < b.Passes {
		l = append(l, Action{Kind: Pass})
	}
	return l
}

func (w *World) enabledDeliveries() []Action {
	var l []Action
	if w.scenario.Grain == ByMessage {
		l = w.enabledMessages()
	} else {
		l = w.enabledWaves()
	}
	if slices.ContainsFunc(w.flight, w.reaches) {
		l = append(l, Action{Kind: Settle})
	}
	return l
}

func (w *World) enabledMessages() []Action {
	var l []Action
	b := w.scenario.Budget
	seen := map[string]bool{}
	for _, m := range w.flight {
		text := envelopeText(m.env)
		if seen[text] || !w.reaches(m) || w.inert(m) {
			continue
		}
		seen[text] = true
		l = append(l, Action{Kind: Deliver, Message: m.number})
		if w.spent.Duplicates < b.Duplicates {
			l = append(l, Action{Kind: Duplicate, Message: m.number})
		}
		if w.spent.Drops < b.Drops {
			l = append(l, Action{Kind: Drop, Message: m.number})
		}
		if w.spent.Interrupts < b.Interrupts && w.strikes(w.receiver(m)) {
			l = append(l, Action{Kind: Interrupt, Message: m.number})
		}
	}
	return l
}

func (w *World) enabledWaves() []Action {
	var l []Action
	b := w.scenario.Budget
	for _, n := range w.nodes {
		live := slices.ContainsFunc(w.flight, func(m message) bool {
			return w.receiver(m) == n && w.reaches(m) && !w.inert(m)
		})
		if !live {
			continue
		}
		l = append(l, Action{Kind: DeliverTo, Node: n.id})
		if w.spent.Drops < b.Drops {
			l = append(l, Action{Kind: DropTo, Node: n.id})
		}
		if w.spent.Interrupts < b.Interrupts && w.strikes(n) {
			l = append(l, Action{Kind: BreakAt, Node: n.id})
		}
	}
	return l
}

// inert tells whether a message under way is an answer that its receiver passes over.
func (w *World) inert(m message) bool {
	n := w.receiver(m)
	if !n.up() {
		return false
	}
	var round, highest uint64
	switch b := m.env.Body.(type) {
	case protocol.Promise:
		round, highest = b.Round, b.Promised.N
	case protocol.Accepted:
		round, highest = b.Round, b.Promised.N
	default:
		return false
	}
	seen, current, under := n.core.Proposing()
	return highest <= seen && (!under || current != round)
}

func (w *World) enabledRequests() []Action {
	var l []Action
	for _, o := range w.scenario.Operators {
		if w.history.attempts[o.Name] >= o.Attempts {
			continue
		}
		for _, id := range o.At {
			if w.node(id).up() {
				l = append(l, Action{Kind: Put, Operator: o.Name, Node: id})
			}
		}
	}
	if w.spent.Gets < w.scenario.Budget.Gets {
		for _, id := range w.scenario.GetAt {
			if w.node(id).up() {
				l = append(l, Action{Kind: Get, Node: id})
			}
		}
	}
	return l
}

func (w *World) strikes(n *node) bool {
	return len(w.scenario.Faulty) == 0 || slices.Contains(w.scenario.Faulty, n.id)
}

func (w *World) enabledFaults() []Action {
	var l []Action
	b := w.scenario.Budget
	for _, n := range w.nodes {
		if n.lost {
			continue
		}
		if !n.up() {
			l = append(l, Action{Kind: Restart, Node: n.id})
		}
		if n.cut {
			l = append(l, Action{Kind: Heal, Node: n.id})
		}
		if n.stalled {
			l = append(l, Action{Kind: Unstall, Node: n.id})
		}
		if !w.strikes(n) {
			continue
		}
		if n.up() && w.spent.Crashes < b.Crashes {
			l = append(l, Action{Kind: Crash, Node: n.id})
		}
		if n.up() && !n.stalled && w.spent.Stalls < b.Stalls {
			l = append(l, Action{Kind: Stall, Node: n.id})
		}
		if n.up() && !n.cut && w.spent.Cuts < b.Cuts {
			l = append(l, Action{Kind: Cut, Node: n.id})
		}
		if !w.mayLose(n) {
			continue
		}
		if w.spent.Wipes < b.Wipes {
			l = append(l, Action{Kind: Wipe, Node: n.id})
		}
		if w.spent.Losses < b.Losses {
			l = append(l, Action{Kind: Lose, Node: n.id})
		}
	}
	return l
}

// mayLose tells whether the loss of a node's disk leaves no more seats of a voter set in force dead
// than the core is promised to bear at once.
func (w *World) mayLose(n *node) bool {
	if w.history.inForce == nil {
		return false
	}
	var sets [][]protocol.Voter
	for _, value := range append(w.acceptedOnDisks(), w.history.inForce) {
		sets = append(sets, value.Voters, value.Prior)
	}
	for _, voters := range sets {
		dead := 0
		for _, v := range voters {
			if v.ID == n.id || !w.intact(v) {
				dead++
			}
		}
		if dead > w.scenario.Tolerance {
			return false
		}
	}
	return true
}

// acceptedOnDisks lists the values on disks that are newer than the one in force: any of them may be chosen,
// so that whoever goes on must go on with it and needs a quorum of its voter set.
func (w *World) acceptedOnDisks() []*protocol.Desired {
	var newer []*protocol.Desired
	for _, n := range w.nodes {
		if n.vote.Value != nil && w.history.ballot.Less(n.vote.Ballot) {
			newer = append(newer, n.vote.Value)
		}
	}
	return newer
}

// intact tells whether a seat's disk is still there, whether its node is up or not.
func (w *World) intact(v protocol.Voter) bool {
	n := w.node(v.ID)
	return n != nil && !n.lost && n.vote.Incarnation == v.Inc
}
