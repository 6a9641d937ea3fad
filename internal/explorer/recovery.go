package explorer

import (
	"fmt"
	"slices"
	"strings"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Bounds of recovery, in ticks. Within recoverTicks after the last fault, the cluster must have a leader,
// have left every joint voter set and accept changes again.
const (
	recoverTicks  = 72
	probeInterval = 6
)

// recoveryChange is the id prefix of the changes that an operator sends during recovery. They expect no epoch.
const recoveryChange = "recovery"

// Recover ends all faults and advances the clock by a bounded time. It is the last step of a run. A cluster that has not
// lost more seats than it tolerates must make progress again within this time; otherwise Recover records a violation.
func (c *Cluster) Recover() {
	c.logf("recovery: every node that is not lost is up and connected, and no further faults occur")
	c.deliverImmediately = true
	for _, n := range c.nodes {
		n.isolated = false
		c.unstall(n)
		if !n.up() && !n.lost {
			c.boot(n)
			c.drain()
		}
	}
	c.settle()
	for tick := range recoverTicks {
		c.advance(1)
		if c.Violation() != "" {
			return
		}
		if tick%probeInterval == probeInterval-1 && c.hasRecovered(tick/probeInterval) {
			c.history.checkDurable(c)
			return
		}
	}
	c.history.reportViolation("the cluster makes no progress: %s", c.stuckReason())
}

// hasRecovered sends a change to every node that is up and reports whether one of them is confirmed.
func (c *Cluster) hasRecovered(round int) bool {
	if c.leader() == nil || c.history.inForce == nil || len(c.history.inForce.PriorVoters) > 0 || c.unfilledSeat() != "" {
		return false
	}
	confirmed := false
	for _, n := range c.nodes {
		if !n.up() {
			continue
		}
		change := fmt.Sprintf("%s-%d-%s", recoveryChange, round, n.id)
		c.sendChange(n, change, 0, 0, true)
		c.drain()
		_, ok := c.history.confirmed[change]
		confirmed = confirmed || ok
	}
	return confirmed
}

// unfilledSeat returns the node id of a seat whose disk is lost although its node or a spare could fill it, or "".
func (c *Cluster) unfilledSeat() ident.Node {
	set := c.history.inForce.Voters
	spare := slices.ContainsFunc(c.nodes, func(n *node) bool {
		return n.up() && !slices.ContainsFunc(set, func(v protocol.Voter) bool { return v.ID == n.id })
	})
	for _, v := range set {
		if !c.diskIntact(v) && (spare || c.node(v.ID).up()) {
			return v.ID
		}
	}
	return ""
}

// stuckReason describes why a cluster makes no progress.
func (c *Cluster) stuckReason() string {
	var reasons []string
	if c.leader() == nil {
		reasons = append(reasons, "no node holds the leadership lease")
	}
	if c.history.inForce == nil {
		return "no core has formed"
	}
	if len(c.history.inForce.PriorVoters) > 0 {
		reasons = append(reasons, "the joint voter set is not left")
	}
	if id := c.unfilledSeat(); id != "" {
		reasons = append(reasons, fmt.Sprintf("the seat of %s, whose disk is lost, is not filled", id))
	}
	if len(reasons) == 0 {
		reasons = append(reasons, "no change is confirmed")
	}
	for _, n := range c.nodes {
		if !n.up() {
			continue
		}
		r := n.core.Inspect().Register
		reasons = append(reasons, fmt.Sprintf("%s knows %s, proposes {%s}", n.id, valueText(r.Known), valueText(r.Hint)))
	}
	return strings.Join(reasons, "; ")
}
