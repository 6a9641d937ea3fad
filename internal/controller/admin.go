package controller

import (
	"slices"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// Admin is an operator's request to a core node.
type Admin struct {
	Token  uint64
	Op     string
	Raw    []byte      // a plan, a merge patch, or a calendar
	Expect ident.Epoch // the epoch that the change goes on
	Any    bool        // no epoch is expected
	Number ident.Epoch // that the operator gives the change; zero counts on
	Change string      // id of the change; a repeat of it is answered, not redone
	Zone   ident.Zone
	Old    ident.Node
	New    ident.Node

	reply func(Receipt) // where the receipt goes, if another node handed the request over
}

// Receipt answers an Admin.
type Receipt struct {
	Token  uint64            `json:"-"`
	Kind   failure.Kind      `json:"kind,omitempty"`
	Why    string            `json:"why,omitempty"`
	Faults fleetplan.Faults  `json:"faults,omitempty"`
	Epoch  ident.Epoch       `json:"epoch,omitempty"`
	Empty  []ident.Zone      `json:"empty,omitempty"`
	Plan   []byte            `json:"-"`
	Owner  *protocol.Sibling `json:"owner,omitempty"`
	View   map[string]any    `json:"view,omitempty"`
}

// Which operator's request goes where.
var admins = map[string]func(*Core, Admin){
	"put": (*Core).putPlan, "patch": (*Core).patchPlan, "get": (*Core).getPlan,
	"empty": (*Core).emptyZone, "refill": (*Core).refillZone, "windows": (*Core).putWindows,
	"replace": (*Core).replaceVoter, "form": (*Core).forceForm,
	"nodes": (*Core).viewNodes, "servers": (*Core).viewServers, "holds": (*Core).viewHolds, "status": (*Core).viewStatus,
}

func (c *Core) admin(a Admin) {
	if f := admins[a.Op]; f != nil {
		f(c, a)
		return
	}
	c.receipt(Receipt{Token: a.Token, Kind: failure.Unknown, Why: "no such request"})
}

func (c *Core) receipt(a Receipt) { c.out = append(c.out, a) }

// answer gives a request its receipt, here or at the node that handed it over.
func (c *Core) answer(a Admin, r Receipt) {
	if a.reply != nil {
		a.reply(r)
		return
	}
	r.Token = a.Token
	c.receipt(r)
}

// maxChanges bounds how many taken changes are remembered by their ids: at 12 changes a second a repeat is
// known for 40 s, and they add some 12 KB to what a voter writes.
const maxChanges = 512

// forgotten tells whether a change goes on a version from before the oldest change that is remembered: it
// may have been taken long ago, so that its repeat must not be told as refused.
func forgotten(d protocol.Desired, a Admin) bool {
	return a.Change != "" && len(d.Done) == maxChanges && a.Expect < d.Done[0].Epoch
}

// hasTaken tells whether the newest value known to be chosen has a change.
func (c *Core) hasTaken(change string) bool {
	k := c.reg.known
	return change != "" && k != nil && slices.ContainsFunc(k.Done, func(x protocol.Change) bool { return x.ID == change })
}

func (c *Core) putPlan(a Admin) {
	if _, f := c.o.Read(a.Raw); f != nil {
		c.answer(a, Receipt{Kind: failure.Faulty, Faults: f})
		return
	}
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		d.Plan = a.Raw
		return failure.None, nil
	})
}

func (c *Core) patchPlan(a Admin) {
	if _, f := fleetplan.Open(a.Raw); len(*f) > 0 {
		c.answer(a, Receipt{Kind: failure.Malformed, Faults: *f})
		return
	}
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		if len(d.Plan) == 0 {
			return failure.Unknown, fleetplan.Faults{{Path: "$", Why: "there is no plan to change yet"}}
		}
		n, f := c.o.Merge(d.Plan, a.Raw)
		if f != nil {
			return failure.Malformed, f
		}
		if _, f := c.o.Read(n); f != nil {
			return failure.Faulty, f
		}
		d.Plan = n
		return failure.None, nil
	})
}

// mergePatch is RFC 7396's.
func mergePatch(plan, patch []byte) ([]byte, fleetplan.Faults) {
	n, err := jsonpatch.MergePatch(plan, patch)
	if err != nil {
		return nil, fleetplan.Faults{{Path: "$", Why: err.Error()}}
	}
	return n, nil
}

func (c *Core) getPlan(a Admin) {
	if c.latest() == nil {
		c.receipt(Receipt{Token: a.Token, Kind: failure.NotReady, Why: "this node knows no core yet"})
		return
	}
	// A majority read that begins now will tell whether what is known is the newest.
	c.reg.reads = append(c.reg.reads, reader{a.Token, c.now})
	c.reg.next = c.now
	c.beatQuery()
}

// reader is an operator who waits for a majority read.
type reader struct {
	token uint64
	at    clock.Tick
}

// serveReads answers those who came before a majority read that showed nothing newer.
func (c *Core) serveReads(at clock.Tick) {
	l := c.reg.reads
	c.reg.reads = nil
	for _, r := range l {
		if r.at > at {
			c.reg.reads = append(c.reg.reads, r)
			continue
		}
		v := c.reg.known
		c.checkRead(v.Epoch)
		c.receipt(Receipt{Token: r.token, Epoch: v.Epoch, Empty: v.Empty, Plan: v.Plan})
	}
}

// dropReads gives up, after a while, on reads that found no majority.
func (c *Core) dropReads() {
	l := c.reg.reads
	c.reg.reads = nil
	for _, r := range l {
		if c.now.Sub(r.at) > 4e9 {
			c.receipt(Receipt{Token: r.token, Kind: failure.NotReady, Why: "no majority of the core answers"})
			continue
		}
		c.reg.reads = append(c.reg.reads, r)
	}
}

func (c *Core) emptyZone(a Admin) {
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		for _, z := range d.Empty {
			if z == a.Zone {
				return failure.None, nil
			}
		}
		d.Empty = append(d.Empty, a.Zone)
		sort.Slice(d.Empty, func(i, j int) bool { return d.Empty[i] < d.Empty[j] })
		return failure.None, nil
	})
}

func (c *Core) refillZone(a Admin) {
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		var l []ident.Zone
		for _, z := range d.Empty {
			if z != a.Zone {
				l = append(l, z)
			}
		}
		d.Empty = l
		return failure.None, nil
	})
}

// replaceVoter is an operator's own replacement of a core node.
func (c *Core) replaceVoter(a Admin) {
	s, ok := c.reg.lives[a.New]
	k := c.reg.known
	if k == nil || !ok || len(k.Prior) > 0 {
		c.receipt(Receipt{Token: a.Token, Kind: failure.NotReady, Why: "the new node is not seen, or a change is under way"})
		return
	}
	for i, v := range k.Voters {
		if v.ID == a.Old && !voterset.Seats(k.Voters, a.New) {
			c.reshape(*k, voterset.Replace(k.Voters, i, protocol.Voter{Sibling: s.sib, Zone: v.Zone, Inc: s.state.Inc}))
			c.receipt(Receipt{Token: a.Token})
			return
		}
	}
	c.receipt(Receipt{Token: a.Token, Kind: failure.Unknown, Why: "the old node is no voter, or the new one is one already"})
}

func (c *Core) forceForm(a Admin) {
	if c.latest() != nil {
		c.receipt(Receipt{Token: a.Token, Kind: failure.Conflict, Why: "this node knows a core"})
		return
	}
	c.reg.force = true
	c.receipt(Receipt{Token: a.Token})
}

func (c *Core) viewNodes(a Admin) {
	v := map[string]any{"members": c.mates.All()}
	if k := c.latest(); k != nil {
		v["voters"], v["prior"], v["gen"] = k.Voters, k.Prior, k.Gen
	}
	if c.duty.who.ID != "" {
		v["owner"] = c.duty.who
	}
	c.receipt(Receipt{Token: a.Token, View: v})
}

// owned answers for what only the duty's owner knows; others name it.
func (c *Core) owned(a Admin, view func() map[string]any) {
	if !c.rules() {
		r := Receipt{Token: a.Token, Kind: failure.NotReady, Why: "this node does not own the duty"}
		if o := c.duty.who; o.ID != "" && o.ID != c.o.Me.ID {
			r.Owner = &o
		}
		c.receipt(r)
		return
	}
	c.receipt(Receipt{Token: a.Token, View: view()})
}

func (c *Core) viewServers(a Admin) {
	if c.rules() && !c.rolled() {
		c.receipt(Receipt{Token: a.Token, Kind: failure.NotReady, Why: "the owner has not heard yet what a majority of the core knows of servers"})
		return
	}
	c.owned(a, func() map[string]any {
		var l []map[string]any
		for _, id := range generic.SortedKeys(c.servers) {
			s := c.servers[id]
			var p []map[string]any
			for _, k := range generic.SortedKeys(s.spots) {
				x := s.spots[k]
				p = append(p, map[string]any{"key": k, "stage": x.stage, "size": x.size, "active": x.work})
			}
			l = append(l, map[string]any{"id": id, "zone": s.Zone, "state": s.State, "dark": s.dark, "known": s.known,
				"odd": s.odd, "room": s.room, "used": s.used(), "slots": s.slots, "holds": p, "offered": c.open(s)})
		}
		return map[string]any{"servers": l, "duty": c.duty.num, "lacks": c.lacks(), "moves": len(c.shifts)}
	})
}

func (c *Core) viewHolds(a Admin) {
	c.owned(a, func() map[string]any {
		var l []map[string]any
		for _, x := range c.sorted() {
			l = append(l, map[string]any{"router": x.ses.Node, "session": x.ses, "callbacks": len(x.holds), "unacknowledged": len(x.items),
				"left_ms": x.until.Sub(c.now).Milliseconds()})
		}
		return map[string]any{"links": l, "duty": c.duty.num}
	})
}

func (c *Core) viewStatus(a Admin) {
	v := map[string]any{"node": c.o.Me, "zone": c.o.Zone, "ready": c.Ready(), "epoch": c.Epoch(), "duty": c.duty.num, "owns": c.rules(),
		"owner": c.duty.who, "tally": c.tally, "blank": c.vote.safeV == nil, "disk": c.vote.inc}
	if k := c.reg.known; k != nil {
		v["gen"], v["empty"] = k.Gen, k.Empty
	}
	if m, lacks := c.lacksVoters(); lacks {
		v["waits_for"] = m.String()
	}
	c.receipt(Receipt{Token: a.Token, View: v})
}
