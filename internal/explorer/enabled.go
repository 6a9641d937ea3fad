package explorer

import (
	"slices"

	"github.com/go-faster/errors"

	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Apply executes one action and then checks the properties of the resulting state.
func (c *Cluster) Apply(a Action) error {
	c.logf("%s", a)
	if err := c.perform(a); err != nil {
		return err
	}
	c.drain()
	c.history.checkLeaders(c)
	c.history.checkDurable(c)
	return nil
}

func (c *Cluster) perform(a Action) error {
	switch a.Kind {
	case Deliver, Duplicate, Drop, Interrupt:
		return c.performMessage(a)
	case Settle:
		c.settle()
	case Tick:
		c.used.Ticks++
		c.tick()
	case Pass:
		c.used.Passes++
		c.settle()
		c.advance(c.scenario.PassTicks)
	default:
		n := c.node(a.Node)
		if n == nil {
			return errors.Errorf("%s: unknown node", a)
		}
		return c.performOnNode(a, n)
	}
	return nil
}

func (c *Cluster) performMessage(a Action) error {
	m, ok := c.removeInFlight(a.Message)
	if !ok {
		return errors.Errorf("%s: no message with this number is in flight", a)
	}
	switch a.Kind {
	case Drop:
		c.used.Drops++
		c.logf("    %d is lost: %s", m.number, envelopeText(m.env))
		return nil
	case Duplicate:
		c.used.Duplicates++
		c.sentCount++
		c.inFlight = append(c.inFlight, message{c.sentCount, m.env})
	case Interrupt:
		c.used.Interrupts++
		c.receiver(m).losingPower = true
	}
	if !c.isReachable(m) {
		return errors.Errorf("%s: the receiver is not reachable", a)
	}
	c.deliver(m)
	if a.Kind == Interrupt {
		c.stop(c.receiver(m))
	}
	return nil
}

func (c *Cluster) performOnNode(a Action, n *node) error {
	switch a.Kind {
	case DeliverTo, InterruptAt, DropTo:
		c.performBatch(a, n)
		return nil
	case Depart:
		if !n.up() {
			return errors.Errorf("%s: the node is down", a)
		}
		c.used.Departures++
		c.enqueue(n, c.announcement("gone"))
	case Put, Get:
		if !n.up() {
			return errors.Errorf("%s: the node is down", a)
		}
		return c.sendRequest(a, n)
	case Crash:
		c.used.Crashes++
		c.stop(n)
	case Restart:
		if n.up() || n.lost {
			return errors.Errorf("%s: the node is running or lost and cannot start", a)
		}
		c.boot(n)
	case Wipe:
		c.used.Wipes++
		c.stop(n)
		n.disk, n.vote = map[string][]byte{}, controller.DurableVote{}
		c.boot(n)
	case Lose:
		c.used.Losses++
		c.stop(n)
		n.disk, n.vote, n.lost = map[string][]byte{}, controller.DurableVote{}, true
	case Stall:
		c.used.Stalls++
		n.stalled = true
	case Unstall:
		c.unstall(n)
	case Cut:
		c.used.Cuts++
		n.isolated = true
	case Heal:
		n.isolated = false
	default:
		return errors.Errorf("%s: unknown action", a)
	}
	return nil
}

// unstall ends a disk stall and syncs the pending writes in order.
func (c *Cluster) unstall(n *node) {
	writes := n.pendingWrites
	n.stalled, n.pendingWrites = false, nil
	for _, s := range writes {
		c.sync(n, s)
	}
}

// stop stops a node. Its disk keeps only what was synced.
func (c *Cluster) stop(n *node) {
	n.core, n.losingPower, n.stalled, n.pendingWrites = nil, false, false, nil
	c.history.nodeStopped(n)
}

// performBatch delivers or loses all messages in flight to a node, but not messages sent in response to them.
func (c *Cluster) performBatch(a Action, n *node) {
	var batch, rest []message
	for _, m := range c.inFlight {
		if c.receiver(m) == n && (a.Kind == DropTo || c.isReachable(m)) {
			batch = append(batch, m)
		} else {
			rest = append(rest, m)
		}
	}
	c.inFlight = rest
	switch a.Kind {
	case DropTo:
		c.used.Drops++
		return
	case InterruptAt:
		c.used.Interrupts++
		n.losingPower = true
	}
	for _, m := range batch {
		c.deliver(m)
	}
	if a.Kind == InterruptAt {
		c.stop(n)
	}
}

// sendRequest sends an operator's read or change to a node.
func (c *Cluster) sendRequest(a Action, n *node) error {
	if a.Kind == Get {
		c.used.Gets++
		c.enqueue(n, controller.Admin{Token: c.history.addRequest(request{node: n.id}), Op: "get"})
		return nil
	}
	for _, o := range c.scenario.Operators {
		if o.Name == a.Operator {
			c.sendChange(n, o.Name, o.ExpectedEpoch, o.NewEpoch, false)
			return nil
		}
	}
	return errors.Errorf("%s: unknown operator", a)
}

func (c *Cluster) sendChange(n *node, change string, expect, number ident.Epoch, anyEpoch bool) {
	token := c.history.addRequest(request{node: n.id, change: change, expectedEpoch: expect, anyEpoch: anyEpoch})
	c.enqueue(n, controller.Admin{
		Token: token, Op: "put", Raw: []byte(change), Change: change,
		Expect: expect, Number: number, Any: anyEpoch,
	})
}

// Enabled returns the actions that the scenario allows in the current state, in a fixed order.
func (c *Cluster) Enabled() []Action {
	var actions []Action
	actions = append(actions, c.enabledDeliveries()...)
	actions = append(actions, c.enabledRequests()...)
	actions = append(actions, c.enabledFaults()...)
	b := c.scenario.Budget
	if c.used.Ticks < b.Ticks {
		actions = append(actions, Action{Kind: Tick})
	}
	if c.used.Passes < b.Passes {
		actions = append(actions, Action{Kind: Pass})
	}
	return actions
}

func (c *Cluster) enabledDeliveries() []Action {
	var actions []Action
	if c.scenario.Granularity == ByMessage {
		actions = c.enabledMessages()
	} else {
		actions = c.enabledBatches()
	}
	if slices.ContainsFunc(c.inFlight, c.isReachable) {
		actions = append(actions, Action{Kind: Settle})
	}
	return actions
}

func (c *Cluster) enabledMessages() []Action {
	var actions []Action
	b := c.scenario.Budget
	seen := map[string]bool{}
	for _, m := range c.inFlight {
		text := envelopeText(m.env)
		if seen[text] || !c.isReachable(m) || c.isIgnored(m) {
			continue
		}
		seen[text] = true
		actions = append(actions, Action{Kind: Deliver, Message: m.number})
		if c.used.Duplicates < b.Duplicates {
			actions = append(actions, Action{Kind: Duplicate, Message: m.number})
		}
		if c.used.Drops < b.Drops {
			actions = append(actions, Action{Kind: Drop, Message: m.number})
		}
		if c.used.Interrupts < b.Interrupts && c.mayFail(c.receiver(m)) {
			actions = append(actions, Action{Kind: Interrupt, Message: m.number})
		}
	}
	return actions
}

func (c *Cluster) enabledBatches() []Action {
	var actions []Action
	b := c.scenario.Budget
	for _, n := range c.nodes {
		deliverable := slices.ContainsFunc(c.inFlight, func(m message) bool {
			return c.receiver(m) == n && c.isReachable(m) && !c.isIgnored(m)
		})
		if !deliverable {
			continue
		}
		actions = append(actions, Action{Kind: DeliverTo, Node: n.id})
		if c.used.Drops < b.Drops {
			actions = append(actions, Action{Kind: DropTo, Node: n.id})
		}
		if c.used.Interrupts < b.Interrupts && c.mayFail(n) {
			actions = append(actions, Action{Kind: InterruptAt, Node: n.id})
		}
	}
	return actions
}

// isIgnored reports whether a message in flight is a response that its receiver would ignore.
func (c *Cluster) isIgnored(m message) bool {
	n := c.receiver(m)
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
	seen, current, proposing := n.core.Proposing()
	return highest <= seen && (!proposing || current != round)
}

func (c *Cluster) enabledRequests() []Action {
	var actions []Action
	for _, o := range c.scenario.Operators {
		if c.history.attempts[o.Name] >= o.MaxAttempts {
			continue
		}
		for _, id := range o.Nodes {
			if c.node(id).up() {
				actions = append(actions, Action{Kind: Put, Operator: o.Name, Node: id})
			}
		}
	}
	if c.used.Gets < c.scenario.Budget.Gets {
		for _, id := range c.scenario.ReadNodes {
			if c.node(id).up() {
				actions = append(actions, Action{Kind: Get, Node: id})
			}
		}
	}
	if c.used.Departures < c.scenario.Budget.Departures {
		for _, id := range c.scenario.DepartNodes {
			if c.node(id).up() {
				actions = append(actions, Action{Kind: Depart, Node: id})
			}
		}
	}
	return actions
}

// mayFail reports whether the scenario allows faults at a node.
func (c *Cluster) mayFail(n *node) bool {
	return len(c.scenario.FaultNodes) == 0 || slices.Contains(c.scenario.FaultNodes, n.id)
}

func (c *Cluster) enabledFaults() []Action {
	var actions []Action
	b := c.scenario.Budget
	for _, n := range c.nodes {
		if n.lost {
			continue
		}
		if !n.up() {
			actions = append(actions, Action{Kind: Restart, Node: n.id})
		}
		if n.isolated {
			actions = append(actions, Action{Kind: Heal, Node: n.id})
		}
		if n.stalled {
			actions = append(actions, Action{Kind: Unstall, Node: n.id})
		}
		if !c.mayFail(n) {
			continue
		}
		if n.up() && c.used.Crashes < b.Crashes {
			actions = append(actions, Action{Kind: Crash, Node: n.id})
		}
		if n.up() && !n.stalled && c.used.Stalls < b.Stalls {
			actions = append(actions, Action{Kind: Stall, Node: n.id})
		}
		if n.up() && !n.isolated && c.used.Cuts < b.Cuts {
			actions = append(actions, Action{Kind: Cut, Node: n.id})
		}
		if !c.mayLoseDisk(n) {
			continue
		}
		if c.used.Wipes < b.Wipes {
			actions = append(actions, Action{Kind: Wipe, Node: n.id})
		}
		if c.used.Losses < b.Losses {
			actions = append(actions, Action{Kind: Lose, Node: n.id})
		}
	}
	return actions
}

// mayLoseDisk reports whether, after the loss of a node's disk, every voter set in use still has no more lost seats than
// the scenario tolerates at once.
func (c *Cluster) mayLoseDisk(n *node) bool {
	if c.history.inForce == nil && !c.mayLoseFounder(n) {
		return false
	}
	values := c.acceptedOnDisks()
	if c.history.inForce != nil {
		values = append(values, c.history.inForce)
	}
	var sets [][]protocol.Voter
	for _, value := range values {
		sets = append(sets, value.Voters, value.PriorVoters)
	}
	for _, voters := range sets {
		lost := 0
		for _, v := range voters {
			if v.ID == n.id || !c.diskIntact(v) {
				lost++
			}
		}
		if lost > min(c.scenario.MaxLostVoters, max(0, len(voters)-1)/2) && len(voters) > 0 {
			return false
		}
	}
	return true
}

// mayLoseFounder reports whether a node's disk may be lost before a core has formed: a single one, while the others are up
// and connected.
func (c *Cluster) mayLoseFounder(n *node) bool {
	if !c.scenario.FirstStart || c.used.Wipes+c.used.Losses > 0 {
		return false
	}
	return !slices.ContainsFunc(c.nodes, func(other *node) bool { return other != n && (!other.up() || other.isolated) })
}

// acceptedOnDisks returns the accepted values on disks that are newer than the chosen one. Any of them may become
// chosen; the next proposer must then adopt that value and needs a quorum of its voter set.
func (c *Cluster) acceptedOnDisks() []*protocol.Desired {
	var newer []*protocol.Desired
	for _, n := range c.nodes {
		if n.vote.Value != nil && c.history.inForceBallot.Less(n.vote.Ballot) {
			newer = append(newer, n.vote.Value)
		}
	}
	return newer
}

// diskIntact reports whether the disk of a voter seat still exists, regardless of whether its node is up.
func (c *Cluster) diskIntact(v protocol.Voter) bool {
	n := c.node(v.ID)
	return n != nil && !n.lost && n.vote.Incarnation == v.Incarnation
}
