package explorer

import (
	"fmt"
	"maps"
	"math/rand/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/invariant"
	_ "tidedeck/internal/invariant/strict" // a run fails at a violated invariant
	"tidedeck/internal/protocol"
)

// message is one envelope whose delivery is explored.
type message struct {
	number int
	env    protocol.Env
}

// node is one core node with its disk.
type node struct {
	id    ident.Node
	core  *controller.Core // nil while it is down
	disk  map[string][]byte
	vote  controller.DurableVote // what the disk has
	lives int
	cut   bool
	lost  bool
	// stalled is set while its disk syncs nothing; pending is what waits to be synced.
	stalled bool
	pending []protocol.Save
	// dying is set while the node handles its last messages: nothing more reaches its disk.
	dying bool
}

func (n *node) up() bool { return n.core != nil }

// World is a small core with its network, disks and operators at one moment of a run.
type World struct {
	scenario Scenario
	options  worldOptions
	now      clock.Tick
	nodes    []*node
	flight   []message
	sent     int
	queue    []delivery // inputs that arrive before the action ends
	open     bool       // every message arrives at once, as during recovery
	spent    Budget
	history  history
	trace    func(string)
}

// worldOptions differ between the forming of a core and its life after.
type worldOptions struct {
	joined bool
}

// delivery is an input on its way to a node within one action.
type delivery struct {
	to    *node
	input any
}

// steadySource gives each node one number for ever: a run depends on its actions alone.
type steadySource uint64

func (s steadySource) Uint64() uint64 { return uint64(s) }

func sourceOf(position int) steadySource {
	const low, step = 0x2000_1234_2000_1235, 0x1800_0000_1800_0000
	return steadySource(low + uint64(position)*step)
}

func sibling(id ident.Node) protocol.Sibling { return protocol.Sibling{ID: id, Addr: string(id)} }

func (w *World) boot(n *node) {
	position := 0
	for i, o := range w.nodes {
		if o == n {
			position = i
		}
	}
	var seeds []protocol.Sibling
	for _, id := range w.scenario.Voters {
		seeds = append(seeds, protocol.Sibling{Addr: string(id)})
	}
	n.lives++
	n.core = controller.New(controller.Options{
		Me: sibling(n.id), Zone: ident.Zone("zone-" + n.id), Inc: ident.Inc(n.lives), Seeds: seeds,
		Rand:  rand.New(sourceOf(position)),
		Round: stepSpan, Duty: dutySpan, Spare: spareSpan, Form: formSpan,
		Read:     func([]byte) (*fleetplan.Plan, fleetplan.Faults) { return &fleetplan.Plan{}, nil },
		Enrolled: true, Unfenced: true, Joined: w.options.joined, Alone: !w.scenario.Forwards,
	})
	w.push(n, protocol.Start{Disk: maps.Clone(n.disk)})
}

func (w *World) node(id ident.Node) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *World) push(to *node, input any) { w.queue = append(w.queue, delivery{to, input}) }

// drain handles every input that arrives before the action ends.
func (w *World) drain() {
	for len(w.queue) > 0 {
		d := w.queue[0]
		w.queue = w.queue[1:]
		if d.to.up() {
			w.step(d.to, d.input)
		}
	}
}

// step gives a node one input and carries out what it answers.
func (w *World) step(n *node, input any) {
	for _, out := range w.stepCore(n, input) {
		switch o := out.(type) {
		case protocol.Env:
			w.carry(n, o)
		case protocol.Save:
			w.save(n, o)
		case protocol.Compute:
			o.Run()
			w.push(n, protocol.Computed{Token: o.Token})
		case controller.Receipt:
			w.note("    %s answers the operator: %s", n.id, receiptText(o))
			w.history.answered(n, o)
		}
	}
	w.history.observe(w, n)
}

// stepCore gives a core its input; an invariant that it violates is a violation of the run.
func (w *World) stepCore(n *node, input any) []any {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case invariant.Violation:
			w.history.violate("%v", v)
		default:
			panic(v)
		}
	}()
	return n.core.Step(w.now, input)
}

func (w *World) save(n *node, s protocol.Save) {
	if n.dying {
		return
	}
	if n.stalled {
		n.pending = append(n.pending, s)
		return
	}
	w.sync(n, s)
}

// sync has a write reach a node's disk, and the node hear of it.
func (w *World) sync(n *node, s protocol.Save) {
	maps.Copy(n.disk, s.Puts)
	if err := n.vote.Read(s.Puts); err != nil {
		w.history.violate("%s wrote what cannot be read: %v", n.id, err)
	}
	w.push(n, protocol.Saved{Token: s.Token})
}

// carry takes an envelope from its sender: to itself at once, else through the network.
func (w *World) carry(from *node, e protocol.Env) {
	to := w.node(ident.Node(e.Hop().Addr))
	if to == nil {
		return
	}
	if to == from {
		if !from.dying {
			w.push(to, e)
		}
		return
	}
	if !w.connected(from, to) {
		return
	}
	if w.open || !w.scenario.Held(e) {
		w.push(to, e)
		return
	}
	w.sent++
	w.flight = append(w.flight, message{w.sent, e})
	w.note("    sends %d: %s", w.sent, envelopeText(e))
}

func (w *World) connected(a, b *node) bool {
	return a.up() && b.up() && !a.cut && !b.cut
}

// reaches tells whether a message under way can arrive now. Its sender may have stopped since.
func (w *World) reaches(m message) bool {
	from, to := w.node(m.env.From.ID), w.node(ident.Node(m.env.Hop().Addr))
	return to.up() && !to.cut && !from.cut
}

func (w *World) receiver(m message) *node { return w.node(ident.Node(m.env.Hop().Addr)) }

// take removes a message from those under way.
func (w *World) take(number int) (message, bool) {
	for i, m := range w.flight {
		if m.number == number {
			w.flight = append(append([]message{}, w.flight[:i]...), w.flight[i+1:]...)
			return m, true
		}
	}
	return message{}, false
}

func (w *World) arrive(m message) {
	w.note("    %s receives %d: %s", w.receiver(m).id, m.number, envelopeText(m.env))
	w.push(w.receiver(m), m.env)
	w.drain()
}

// settle delivers messages in order until none is under way; what cannot arrive is lost.
func (w *World) settle() {
	for len(w.flight) > 0 {
		m := w.flight[0]
		w.flight = w.flight[1:]
		if w.reaches(m) {
			w.arrive(m)
		}
	}
}

// tick lets one step of time go by.
func (w *World) tick() {
	w.now = w.now.Add(stepSpan)
	for _, n := range w.nodes {
		if n.up() {
			w.push(n, protocol.Beat{})
			w.drain()
		}
	}
	w.history.watch(w)
}

func (w *World) pass(ticks int) {
	for range ticks {
		w.tick()
		w.settle()
	}
}

func (w *World) note(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf(format, args...))
	}
}
