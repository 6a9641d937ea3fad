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
	Expect ident.Epoch // the epoch that the change is based on
	Any    bool        // the change applies to any epoch
	Number ident.Epoch // epoch that the operator assigns to the change; 0 for the next one
	Change string      // id of the change; a repeat is answered but not applied again
	Zone   ident.Zone
	Old    ident.Node
	New    ident.Node

	reply func(Receipt) // receives the receipt if another node forwarded the request
}

// Receipt is the answer to an Admin.
type Receipt struct {
	Token  uint64           `json:"-"`
	Kind   failure.Kind     `json:"kind,omitempty"`
	Why    string           `json:"why,omitempty"`
	Faults fleetplan.Faults `json:"faults,omitempty"`
	Epoch  ident.Epoch      `json:"epoch,omitempty"`
	Empty  []ident.Zone     `json:"empty,omitempty"`
	Plan   []byte           `json:"-"`
	Owner  *protocol.Peer   `json:"owner,omitempty"`
	View   map[string]any   `json:"view,omitempty"`
}

// adminHandlers maps operations to their handlers.
var adminHandlers = map[string]func(*Core, Admin){
	"put": (*Core).putPlan, "patch": (*Core).patchPlan, "get": (*Core).getPlan,
	"empty": (*Core).emptyZone, "refill": (*Core).refillZone, "windows": (*Core).putWindows,
	"replace": (*Core).replaceVoter, "form": (*Core).forceForm,
	"nodes": (*Core).viewNodes, "servers": (*Core).viewServers, "holds": (*Core).viewHolds, "status": (*Core).viewStatus,
}

// admin dispatches an operator's request.
func (c *Core) admin(a Admin) {
	if f := adminHandlers[a.Op]; f != nil {
		f(c, a)
		return
	}
	c.receipt(Receipt{Token: a.Token, Kind: failure.Unknown, Why: "no such request"})
}

func (c *Core) receipt(a Receipt) { c.out = append(c.out, a) }

// answer sends the receipt of a request, to the operator or to the node that forwarded it.
func (c *Core) answer(a Admin, r Receipt) {
	if a.reply != nil {
		a.reply(r)
		return
	}
	r.Token = a.Token
	c.receipt(r)
}

// maxChanges bounds the history of committed change ids. At 12 changes per second, a repeat is recognized for 40 s. The
// history adds about 12 KB to each write of a voter.
const maxChanges = 512

// predatesHistory reports whether a change is based on a version older than the oldest change in the history. Such a
// change may already have been committed, so its repeat must not be reported as refused.
func predatesHistory(d protocol.Desired, a Admin) bool {
	return a.Change != "" && len(d.AppliedChanges) == maxChanges && a.Expect < d.AppliedChanges[0].Epoch
}

// hasChosen reports whether the newest value known to be chosen includes a change.
func (c *Core) hasChosen(change string) bool {
	k := c.register.known
	return change != "" && k != nil && slices.ContainsFunc(k.AppliedChanges, func(x protocol.Change) bool { return x.ID == change })
}

func (c *Core) putPlan(a Admin) {
	if _, faults := c.o.ParsePlan(a.Raw); faults != nil {
		c.answer(a, Receipt{Kind: failure.FaultyPlan, Faults: faults})
		return
	}
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		d.Plan = a.Raw
		return failure.None, nil
	})
}

func (c *Core) patchPlan(a Admin) {
	if _, f := fleetplan.ParseJSON(a.Raw); len(*f) > 0 {
		c.answer(a, Receipt{Kind: failure.Malformed, Faults: *f})
		return
	}
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		if len(d.Plan) == 0 {
			return failure.Unknown, fleetplan.Faults{{Path: "$", Why: "there is no plan to patch yet"}}
		}
		merged, f := c.o.MergePatch(d.Plan, a.Raw)
		if f != nil {
			return failure.Malformed, f
		}
		if _, f := c.o.ParsePlan(merged); f != nil {
			return failure.FaultyPlan, f
		}
		d.Plan = merged
		return failure.None, nil
	})
}

// mergePatch applies a JSON merge patch (RFC 7396).
func mergePatch(plan, patch []byte) ([]byte, fleetplan.Faults) {
	merged, err := jsonpatch.MergePatch(plan, patch)
	if err != nil {
		return nil, fleetplan.Faults{{Path: "$", Why: err.Error()}}
	}
	return merged, nil
}

func (c *Core) getPlan(a Admin) {
	if c.latest() == nil {
		c.receipt(Receipt{Token: a.Token, Kind: failure.NotReady, Why: "this node knows no core yet"})
		return
	}
	// A majority read that begins now shows whether the known value is the newest.
	c.register.reads = append(c.register.reads, pendingRead{a.Token, c.now})
	c.register.nextQuery = c.now
	c.tickQueries()
}

// pendingRead is an operator's read that waits for a majority read.
type pendingRead struct {
	token uint64
	at    clock.Instant
}

// serveReads answers the reads that arrived before the start of a majority read that showed nothing newer.
func (c *Core) serveReads(at clock.Instant) {
	reads := c.register.reads
	c.register.reads = nil
	for _, r := range reads {
		if r.at > at {
			c.register.reads = append(c.register.reads, r)
			continue
		}
		value := c.register.known
		c.checkRead(value.Epoch)
		c.receipt(Receipt{Token: r.token, Epoch: value.Epoch, Empty: value.EmptiedZones, Plan: value.Plan})
	}
}

// expireReads fails reads that have waited for a majority for too long.
func (c *Core) expireReads() {
	reads := c.register.reads
	c.register.reads = nil
	for _, r := range reads {
		if c.now.Sub(r.at) > 4e9 {
			c.receipt(Receipt{Token: r.token, Kind: failure.NotReady, Why: "no majority of the core answers"})
			continue
		}
		c.register.reads = append(c.register.reads, r)
	}
}

func (c *Core) emptyZone(a Admin) {
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		for _, z := range d.EmptiedZones {
			if z == a.Zone {
				return failure.None, nil
			}
		}
		d.EmptiedZones = append(d.EmptiedZones, a.Zone)
		sort.Slice(d.EmptiedZones, func(i, j int) bool { return d.EmptiedZones[i] < d.EmptiedZones[j] })
		return failure.None, nil
	})
}

func (c *Core) refillZone(a Admin) {
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		var remaining []ident.Zone
		for _, z := range d.EmptiedZones {
			if z != a.Zone {
				remaining = append(remaining, z)
			}
		}
		d.EmptiedZones = remaining
		return failure.None, nil
	})
}

// replaceVoter handles an operator's request to replace a voter.
func (c *Core) replaceVoter(a Admin) {
	candidate, ok := c.register.states[a.New]
	value := c.register.known
	if value == nil || !ok || len(value.PriorVoters) > 0 {
		c.receipt(Receipt{Token: a.Token, Kind: failure.NotReady, Why: "the new node is not known, or a change of the voters is in progress"})
		return
	}
	for i, v := range value.Voters {
		if v.ID == a.Old && !voterset.ContainsNode(value.Voters, a.New) {
			c.changeVoters(*value, voterset.Replace(value.Voters, i, protocol.Voter{Peer: candidate.sibling, Zone: v.Zone, Incarnation: candidate.state.Incarnation}))
			c.receipt(Receipt{Token: a.Token})
			return
		}
	}
	c.receipt(Receipt{Token: a.Token, Kind: failure.Unknown, Why: "the old node is not a voter, or the new one already is"})
}

func (c *Core) forceForm(a Admin) {
	if c.latest() != nil {
		c.receipt(Receipt{Token: a.Token, Kind: failure.Conflict, Why: "this node knows a core"})
		return
	}
	c.register.forceForming = true
	c.receipt(Receipt{Token: a.Token})
}

func (c *Core) viewNodes(a Admin) {
	view := map[string]any{"members": c.members.Members()}
	if value := c.latest(); value != nil {
		view["voters"], view["prior"], view["gen"] = value.Voters, value.PriorVoters, value.Gen
	}
	if c.leadership.owner.ID != "" {
		view["owner"] = c.leadership.owner
	}
	c.receipt(Receipt{Token: a.Token, View: view})
}

// answerAsOwner answers a request for data that only the leader has. Other nodes name the leader instead.
func (c *Core) answerAsOwner(a Admin, view func() map[string]any) {
	if !c.holdsLease() {
		receipt := Receipt{Token: a.Token, Kind: failure.NotReady, Why: "this node is not the leader"}
		if owner := c.leadership.owner; owner.ID != "" && owner.ID != c.o.Self.ID {
			receipt.Owner = &owner
		}
		c.receipt(receipt)
		return
	}
	c.receipt(Receipt{Token: a.Token, View: view()})
}

func (c *Core) viewServers(a Admin) {
	if c.holdsLease() && !c.registryComplete() {
		c.receipt(Receipt{Token: a.Token, Kind: failure.NotReady, Why: "the leader has not yet received the server registries of a majority of the core"})
		return
	}
	c.answerAsOwner(a, func() map[string]any {
		var servers []map[string]any
		for _, id := range generic.SortedKeys(c.servers) {
			s := c.servers[id]
			var replicas []map[string]any
			for _, k := range generic.SortedKeys(s.replicas) {
				p := s.replicas[k]
				replicas = append(replicas, map[string]any{"key": k, "stage": p.stage, "size": p.size, "active": p.running})
			}
			servers = append(servers, map[string]any{"id": id, "zone": s.Zone, "state": s.State, "dark": s.unreachable, "known": s.known,
				"odd": s.contradiction, "room": s.room, "used": s.used(), "slots": s.slots, "holds": replicas, "offered": c.open(s)})
		}
		return map[string]any{"servers": servers, "duty": c.leadership.term, "lacks": c.shortfalls(), "moves": len(c.moves)}
	})
}

func (c *Core) viewHolds(a Admin) {
	c.answerAsOwner(a, func() map[string]any {
		var links []map[string]any
		for _, link := range c.sortedLinks() {
			links = append(links, map[string]any{"router": link.session.Node, "session": link.session, "callbacks": len(link.callbacks), "unacknowledged": len(link.unacked),
				"left_ms": link.leaseEnd.Sub(c.now).Milliseconds()})
		}
		return map[string]any{"links": links, "duty": c.leadership.term}
	})
}

func (c *Core) viewStatus(a Admin) {
	view := map[string]any{"node": c.o.Self, "zone": c.o.Zone, "ready": c.Ready(), "epoch": c.Epoch(), "duty": c.leadership.term, "owns": c.holdsLease(),
		"owner": c.leadership.owner, "tally": c.tally, "blank": c.acceptor.durableValue == nil, "disk": c.acceptor.inc}
	if value := c.register.known; value != nil {
		view["gen"], view["empty"] = value.Gen, value.EmptiedZones
	}
	if missing, lacks := c.missingMajority(); lacks {
		view["waits_for"] = missing.String()
	}
	if text, _ := c.formingWait(); text != "" {
		view["waits_for"] = text
	}
	c.receipt(Receipt{Token: a.Token, View: view})
}
