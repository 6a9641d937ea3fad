package controller

import (
	"cmp"
	"fmt"
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// A core forms by the first value of the register, whose voters are seeds with blank disks. There are three cases:
//
//   - A system that starts for the first time has no core yet. Its seeds record on their disks that they are founders, and
//     among which seeds. A part of them suffices, because every majority of the voters that they may propose is also a
//     majority of all founding seeds: two first values have a voter in common, and the register chooses one of them.
//   - Without that knowledge, a seed that is missing may belong to a core, so all seeds must be there and blank.
//   - An operator may order a core from the blank seeds that answer.

// foundingSet is the voter set of a core that may form.
type foundingSet struct {
	voters   []protocol.Voter // ordered by ID
	proposer ident.Node       // proposes the first value
	wait     clock.Span       // for how long the set must have been possible
}

// tickForming forms a core once that has been possible for long enough.
func (c *Core) tickForming() {
	r := &c.register
	if c.latest() != nil || r.active != nil {
		return
	}
	set, ok := c.foundingSet()
	if !ok || set.proposer != c.o.Self.ID {
		r.blankSince = 0
		return
	}
	if r.blankSince == 0 {
		r.blankSince, r.agentCopy = c.now, nil
	}
	c.queryAgentCopies()
	if c.now.Sub(r.blankSince) < set.wait {
		return
	}
	r.blankSince = 0
	c.proposeFirst(set.voters)
}

// copyQueriesPerWait is how often agents are asked for their copies during the shortest wait. The messages may be lost, and
// the answers of all agents must not crowd out those of the other seeds.
const copyQueriesPerWait = 2

// queryAgentCopies asks all agents for their copies of the configuration, unless it has just done so.
func (c *Core) queryAgentCopies() {
	r := &c.register
	if r.copiesQueriedAt != 0 && c.now.Sub(r.copiesQueriedAt) < c.o.FormAfter/copyQueriesPerWait {
		return
	}
	r.copiesQueriedAt = c.now
	for _, m := range c.members.Alive("agent") {
		c.send(m.Peer, protocol.RecoveryQuery{Round: uint64(r.blankSince)})
	}
}

// proposeFirst proposes the first value of a core. If agents hold a copy of a configuration, everything confirmed but
// these copies is lost: the newest one is adopted, with an epoch far past any that the lost core may have reached.
func (c *Core) proposeFirst(voters []protocol.Voter) {
	r := &c.register
	// The generation number is the disk incarnation of the forming node, so that it exceeds those of lost cores.
	d := protocol.Desired{Gen: uint64(c.acceptor.inc), Voters: voters, Founders: voters, VoterSet: 1}
	if old := r.agentCopy; old != nil {
		d.Gen, d.Plan, d.EmptiedZones, d.Windows, d.Epoch = max(d.Gen, old.Gen+1), old.Plan, old.EmptiedZones, old.Windows, old.Epoch+1000
		d.VoterSet = old.VoterSet + 1000
		c.logError("core disks lost: forming a new generation from an agent's copy of the configuration")
	}
	c.logEvent("forming a core", field("voters", voterIDs(voters)), field("founder", c.isFounder()), field("forced", r.forceForming))
	r.hint = &d
	c.fullRead(func(kind failure.Kind) {
		if kind != failure.None {
			r.hint = nil
		}
	})
}

// foundingSet returns the voters with which a core may form now.
func (c *Core) foundingSet() (set foundingSet, ok bool) {
	set.wait = c.o.FormAfter
	switch {
	case c.register.forceForming:
		set.voters = c.blankSeeds(c.o.Seeds, c.isFresh)
		ok = true
	case c.isFounder():
		return c.foundersSet()
	case !c.o.CoreExists:
		set.voters = c.blankSeeds(c.o.Seeds, c.isFresh)
		ok = len(set.voters) == len(c.o.Seeds)
	}
	if !ok || len(set.voters) == 0 {
		return set, false
	}
	set.proposer = set.voters[0].ID
	if c.register.forceForming {
		set.proposer = c.o.Self.ID // the node that got the order
	}
	return set, true
}

// withoutAll is how many times longer founders wait before they form a core without all of them, because a voter set
// without a seed that is merely late has to be changed again.
const withoutAll = 2

// foundersSet returns the voters with which the founders may form a core: those seen blank at any time since this process
// started, if a majority of them answers.
func (c *Core) foundersSet() (set foundingSet, ok bool) {
	seeds := c.acceptor.foundingSeeds
	set.voters = c.blankSeeds(seeds, isReportedFounder)
	answering := c.blankSeeds(seeds, func(s stateReport) bool { return isReportedFounder(s) && c.isFresh(s) })
	if len(set.voters) < minFounders(len(seeds)) || len(answering) <= len(set.voters)/2 {
		return set, false
	}
	set.wait = withoutAll * c.o.FormAfter
	if len(answering) == len(seeds) {
		set.wait = c.o.FormAfter
	}
	set.proposer = answering[0].ID
	return set, true
}

// minFounders returns the smallest size of a first voter set for which each of its majorities is also a majority of all
// founding seeds.
func minFounders(seeds int) int { return max(1, seeds/2*2) }

// isFounder reports whether this node may form the first core of a system together with the other founding seeds.
func (c *Core) isFounder() bool { return len(c.acceptor.foundingSeeds) > 0 }

// foundingSeedsOf returns the seeds with which a node with an empty disk may found a core, or nil if it may not: only a seed
// of a system that starts for the first time may.
func foundingSeedsOf(o Options) []protocol.Peer {
	if !o.FirstStart || !slices.ContainsFunc(o.Seeds, func(p protocol.Peer) bool { return p.Addr == o.Self.Addr }) {
		return nil
	}
	return o.Seeds
}

func isReportedFounder(s stateReport) bool { return s.state.Founder }

// isFresh reports whether a node has answered recently.
func (c *Core) isFresh(s stateReport) bool {
	return c.now.Sub(s.at) < 2*c.o.ReadInterval+c.o.ClockMargin
}

// blankSeeds returns the seeds whose last answer was blank and accepted by a filter, ordered by ID.
func (c *Core) blankSeeds(seeds []protocol.Peer, accepts func(stateReport) bool) (voters []protocol.Voter) {
	zones := map[ident.Node]ident.Zone{}
	for _, m := range c.members.Members() {
		zones[m.ID] = m.Zone
	}
	for _, id := range generic.SortedKeys(c.register.states) {
		s := c.register.states[id]
		isSeed := slices.ContainsFunc(seeds, func(p protocol.Peer) bool { return p.Addr == s.sibling.Addr })
		if isSeed && s.state.Blank && accepts(s) {
			voters = append(voters, protocol.Voter{Peer: s.sibling, Zone: zones[id], Incarnation: s.state.Incarnation})
		}
	}
	slices.SortFunc(voters, func(a, b protocol.Voter) int { return cmp.Compare(a.ID, b.ID) })
	return voters
}

// contactSeeds returns the seeds that a node asks while it knows of no core: those of its settings, and those with which it
// may found one.
func (c *Core) contactSeeds() []protocol.Peer {
	seeds := slices.Clone(c.o.Seeds)
	for _, p := range c.acceptor.foundingSeeds {
		if !slices.Contains(seeds, p) {
			seeds = append(seeds, p)
		}
	}
	return seeds
}

// isFoundingVoter reports whether this node's disk was a voter of the first set of the core, so that it has lost nothing of
// what the core acknowledged.
func (c *Core) isFoundingVoter() bool {
	known := c.register.known
	return known != nil && voterset.Contains(known.Founders, c.o.Self.ID, c.acceptor.inc)
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
