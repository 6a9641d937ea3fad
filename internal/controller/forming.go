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

func (c *Core) beatForm() {
	r := &c.reg
	if c.latest() != nil || r.op != nil || c.o.Joined && !r.force {
		return
	}
	var l []protocol.Voter
	for _, s := range c.o.Seeds {
		for _, id := range generic.SortedKeys(r.lives) {
			v := r.lives[id]
			if v.sib.Addr == s.Addr && v.state.Blank && c.now.Sub(v.at) < 2*c.o.Round+c.o.ClockMargin {
				zone := ident.Zone("")
				for _, m := range c.mates.All() {
					if m.ID == id {
						zone = m.Zone
					}
				}
				l = append(l, protocol.Voter{Sibling: v.sib, Zone: zone, Inc: v.state.Inc})
			}
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	all := len(l) == len(c.o.Seeds) || r.force && len(l) > 0
	if !all || l[0].ID != c.o.Me.ID {
		r.blankSince = 0
		return
	}
	if r.blankSince == 0 {
		r.blankSince, r.agentCopy = c.now, nil
	}
	for _, m := range c.mates.Alive("agent") {
		c.send(m.Sibling, protocol.Keep{Round: uint64(r.blankSince)})
	}
	if c.now.Sub(r.blankSince) < c.o.Form {
		return
	}
	r.blankSince = 0
	// A generation's number is its former's disk life, so that it passes those that are lost.
	d := protocol.Desired{Gen: uint64(c.vote.inc), Voters: l, Shape: 1}
	if k := r.agentCopy; k != nil {
		// All that was confirmed is gone but for what agents hold: the newest of it goes on,
		// under an epoch that leaps past whatever the lost core may have counted to.
		d.Gen, d.Plan, d.Empty, d.Windows, d.Epoch = max(d.Gen, k.Gen+1), k.Plan, k.Empty, k.Windows, k.Epoch+1000
		d.Shape = k.Shape + 1000
		c.oops("core disks lost: a new generation forms from an agent's copy")
	}
	r.hint = &d
	c.fullRead(func(k failure.Kind) {
		if k != failure.None {
			r.hint = nil
		}
	})
}

func (c *Core) onKept(e protocol.Env) {
	b, r := e.Body.(protocol.Kept), &c.reg
	if b.Value == nil || r.blankSince == 0 || b.Round != uint64(r.blankSince) {
		return
	}
	if b.Value.Newer(r.agentCopy) {
		r.agentCopy = b.Value
	}
}

// lift makes the generation pass one that a router still knows: a core that formed after a total
// loss, on a clock that was set back, would else be taken for an older one for ever.
func (c *Core) lift(gen uint64) {
	if c.reg.op != nil || len(c.reg.queue) > 0 {
		return
	}
	c.oops(fmt.Sprintf("a router knows generation %d, past this core's: the core goes past it", gen))
	c.propose(mutation{apply: func(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
		d.Gen = max(d.Gen, gen+1)
		return d, failure.None, nil
	}, done: func(applied) {}})
}
