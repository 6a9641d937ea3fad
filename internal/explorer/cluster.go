package explorer

import (
	"fmt"
	"maps"
	"math/rand/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/immutable"
	"tidedeck/internal/invariant"
	_ "tidedeck/internal/invariant/strict" // makes violated invariants panic
	"tidedeck/internal/protocol"
)

// message is an envelope in flight whose delivery is explored.
type message struct {
	number int
	env    protocol.Envelope
}

// node is a controller node with its disk.
type node struct {
	id          ident.Node
	core        *controller.Core // nil while the node is down
	disk        map[string][]byte
	vote        controller.DurableVote // the vote stored on the disk
	incarnation int
	isolated    bool
	lost        bool
	// stalled is set while the disk syncs nothing. The writes in pendingWrites are then not synced yet.
	stalled       bool
	pendingWrites []protocol.Save
	// losingPower is set while the node handles its last messages before a power loss: no write reaches its disk.
	losingPower bool
}

func (n *node) up() bool { return n.core != nil }

// Cluster is a small cluster of controllers with its network, disks and operators during a run.
type Cluster struct {
	scenario           Scenario
	options            clusterOptions
	now                clock.Instant
	nodes              []*node
	inFlight           []message
	sentCount          int
	inputs             []delivery // inputs to handle before the current action ends
	deliverImmediately bool       // every message is delivered immediately, as during recovery
	used               Budget
	history            history
	announced          uint64            // announcements of the scenario's server
	handedOut          immutable.Checker // outputs of all nodes
	trace              func(string)
}

// clusterOptions differ between the formation of a cluster and its operation afterwards.
type clusterOptions struct {
	joined bool
}

// delivery is an input queued for a node within one action.
type delivery struct {
	to    *node
	input any
}

// constantSource returns the same number on every call, so that a run depends only on its actions.
type constantSource uint64

func (s constantSource) Uint64() uint64 { return uint64(s) }

// randSource returns a source with a different constant for each node.
func randSource(position int) constantSource {
	const low, step = 0x2000_1234_2000_1235, 0x1800_0000_1800_0000
	return constantSource(low + uint64(position)*step)
}

func peer(id ident.Node) protocol.Peer { return protocol.Peer{ID: id, Addr: string(id)} }

func (c *Cluster) boot(n *node) {
	position := 0
	for i, o := range c.nodes {
		if o == n {
			position = i
		}
	}
	var seeds []protocol.Peer
	for _, id := range c.scenario.Voters {
		seeds = append(seeds, protocol.Peer{Addr: string(id)})
	}
	n.incarnation++
	n.core = controller.New(controller.Options{
		Self: peer(n.id), Zone: ident.Zone("zone-" + n.id), Inc: ident.Incarnation(n.incarnation), Seeds: seeds,
		Rand:         rand.New(randSource(position)),
		ReadInterval: tickInterval, LeadershipLease: leadershipLease, ReplaceAfter: spareTimeout, FormAfter: formTimeout,
		ParsePlan: func([]byte) (*fleetplan.Plan, fleetplan.Faults) { return &fleetplan.Plan{}, nil },
		Enrolled:  true, Unfenced: true, CoreExists: c.options.joined, FirstStart: !c.options.joined, NoForwarding: !c.scenario.ForwardsChanges,
	})
	c.enqueue(n, protocol.Start{Disk: maps.Clone(n.disk)})
}

func (c *Cluster) node(id ident.Node) *node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (c *Cluster) enqueue(to *node, input any) { c.inputs = append(c.inputs, delivery{to, input}) }

// drain handles queued inputs until none is left.
func (c *Cluster) drain() {
	for len(c.inputs) > 0 {
		d := c.inputs[0]
		c.inputs = c.inputs[1:]
		if d.to.up() {
			c.step(d.to, d.input)
		}
	}
}

// step passes one input to a node and executes the resulting outputs.
func (c *Cluster) step(n *node, input any) {
	outputs := c.stepCore(n, input)
	if err := c.handedOut.Observe(string(n.id), outputs); err != nil {
		c.history.reportViolation("%v", err)
	}
	for _, out := range outputs {
		switch o := out.(type) {
		case protocol.Envelope:
			c.send(n, o)
		case protocol.Save:
			c.save(n, o)
		case protocol.Compute:
			o.Run()
			c.enqueue(n, protocol.Computed{Token: o.Token})
		case controller.Announced:
			c.history.recordAnnounced(o)
		case controller.Receipt:
			c.logf("    %s answers the operator: %s", n.id, receiptText(o))
			c.history.recordAnswer(n, o)
		}
	}
	c.history.observe(c, n)
}

// stepCore passes an input to a controller core. A violated invariant is recorded as a violation of the run.
func (c *Cluster) stepCore(n *node, input any) []any {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case invariant.Violation:
			c.history.reportViolation("%v", v)
		default:
			panic(v)
		}
	}()
	return n.core.Step(c.now, input)
}

func (c *Cluster) save(n *node, s protocol.Save) {
	if n.losingPower {
		return
	}
	if n.stalled {
		n.pendingWrites = append(n.pendingWrites, s)
		return
	}
	c.sync(n, s)
}

// sync writes to a node's disk and notifies the node.
func (c *Cluster) sync(n *node, s protocol.Save) {
	maps.Copy(n.disk, s.Puts)
	if err := n.vote.Read(s.Puts); err != nil {
		c.history.reportViolation("%s wrote a vote that cannot be decoded: %v", n.id, err)
	}
	c.enqueue(n, protocol.Saved{Token: s.Token})
}

// send delivers an envelope to its own sender at once and to other nodes through the network.
func (c *Cluster) send(from *node, e protocol.Envelope) {
	to := c.node(ident.Node(e.NextHop().Addr))
	if to == nil {
		return
	}
	if to == from {
		if !from.losingPower {
			c.enqueue(to, e)
		}
		return
	}
	if !c.connected(from, to) {
		return
	}
	if c.deliverImmediately || !c.scenario.Intercepts(e) {
		c.enqueue(to, e)
		return
	}
	c.sentCount++
	c.inFlight = append(c.inFlight, message{c.sentCount, e})
	c.logf("    sends %d: %s", c.sentCount, envelopeText(e))
}

func (c *Cluster) connected(a, b *node) bool {
	return a.up() && b.up() && !a.isolated && !b.isolated
}

// isReachable reports whether a message in flight can arrive now. Its sender may have stopped in the meantime.
func (c *Cluster) isReachable(m message) bool {
	from, to := c.node(m.env.From.ID), c.node(ident.Node(m.env.NextHop().Addr))
	return to.up() && !to.isolated && !from.isolated
}

func (c *Cluster) receiver(m message) *node { return c.node(ident.Node(m.env.NextHop().Addr)) }

// removeInFlight removes a message from those in flight and returns it.
func (c *Cluster) removeInFlight(number int) (message, bool) {
	for i, m := range c.inFlight {
		if m.number == number {
			c.inFlight = append(append([]message{}, c.inFlight[:i]...), c.inFlight[i+1:]...)
			return m, true
		}
	}
	return message{}, false
}

func (c *Cluster) deliver(m message) {
	c.logf("    %s receives %d: %s", c.receiver(m).id, m.number, envelopeText(m.env))
	c.enqueue(c.receiver(m), m.env)
	c.drain()
}

// settle delivers messages in order until none is in flight. Messages that cannot arrive are lost.
func (c *Cluster) settle() {
	for len(c.inFlight) > 0 {
		m := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		if c.isReachable(m) {
			c.deliver(m)
		}
	}
}

// tick advances the clock by one tick and runs the timers of all nodes.
func (c *Cluster) tick() {
	c.now = c.now.Add(tickInterval)
	for _, n := range c.nodes {
		if n.up() {
			c.enqueue(n, protocol.TimerTick{})
			c.drain()
		}
	}
	c.history.checkLeaders(c)
}

// advance runs several ticks and delivers all messages after each of them.
func (c *Cluster) advance(ticks int) {
	for range ticks {
		c.tick()
		c.settle()
	}
}

func (c *Cluster) logf(format string, args ...any) {
	if c.trace != nil {
		c.trace(fmt.Sprintf(format, args...))
	}
}
