package controller

import (
	"fmt"
	"sort"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// tickForming forms a new core once all seeds have been seen blank for long enough; if forced, any of them suffice. The
// blank seed with the lowest ID proposes the first value.
func (c *Core) tickForming() {
	r := &c.register
	if c.latest() != nil || r.active != nil || c.o.CoreExists && !r.forceForming {
		return
	}
	var l []protocol.Voter
	for _, s := range c.o.Seeds {
		for _, id := range generic.SortedKeys(r.states) {
			v := r.states[id]
			if v.sibling.Addr == s.Addr && v.state.Blank && c.now.Sub(v.at) < 2*c.o.ReadInterval+c.o.ClockMargin {
				zone := ident.Zone("")
				for _, m := range c.members.Members() {
					if m.ID == id {
						zone = m.Zone
					}
				}
				l = append(l, protocol.Voter{Peer: v.sibling, Zone: zone, Incarnation: v.state.Incarnation})
			}
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	all := len(l) == len(c.o.Seeds) || r.forceForming && len(l) > 0
	if !all || l[0].ID != c.o.Self.ID {
		r.blankSince = 0
		return
	}
	if r.blankSince == 0 {
		r.blankSince, r.agentCopy = c.now, nil
	}
	for _, m := range c.members.Alive("agent") {
		c.send(m.Peer, protocol.RecoveryQuery{Round: uint64(r.blankSince)})
	}
	if c.now.Sub(r.blankSince) < c.o.FormAfter {
		return
	}
	r.blankSince = 0
	// The generation number is the disk incarnation of the forming node, so that it exceeds those of lost cores.
	d := protocol.Desired{Gen: uint64(c.acceptor.inc), Voters: l, VoterSet: 1}
	if old := r.agentCopy; old != nil {
		// Everything confirmed is lost except the copies that agents hold. The newest copy is adopted, with an epoch far
		// past any that the lost core may have reached.
		d.Gen, d.Plan, d.EmptiedZones, d.Windows, d.Epoch = max(d.Gen, old.Gen+1), old.Plan, old.EmptiedZones, old.Windows, old.Epoch+1000
		d.VoterSet = old.VoterSet + 1000
		c.logError("core disks lost: forming a new generation from an agent's copy of the configuration")
	}
	r.hint = &d
	c.fullRead(func(kind failure.Kind) {
		if kind != failure.None {
			r.hint = nil
		}
	})
}

func (c *Core) onRecoveryReply(e protocol.Envelope) {
	b, r := e.Body.(protocol.RecoveryReply), &c.register
	if b.Value == nil || r.blankSince == 0 || b.Round != uint64(r.blankSince) {
		return
	}
	if b.Value.Newer(r.agentCopy) {
		r.agentCopy = b.Value
	}
}

// raiseGeneration raises the generation past one that a router still knows. A core that formed after a total loss, on a
// clock that was set back, would otherwise be taken for an older one forever.
func (c *Core) raiseGeneration(gen uint64) {
	if c.register.active != nil || len(c.register.queue) > 0 {
		return
	}
	c.logError(fmt.Sprintf("a router knows generation %d, newer than this core's: raising this core's generation past it", gen))
	c.propose(mutation{apply: func(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
		d.Gen = max(d.Gen, gen+1)
		return d, failure.None, nil
	}, done: func(applyResult) {}})
}
