package controller

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Snapshot is a read-only view of the state that determines a core node's next steps in the register and the leadership
// lease. It is intended for checkers. It shares pointers with the core, so callers must not modify it.
type Snapshot struct {
	Began    bool // the node's incarnation is durable, so the node participates
	Ending   bool
	Voter    VoterSnapshot
	Register RegisterSnapshot
	Duty     DutySnapshot
	Members  []protocol.Member
}

// VoterSnapshot is the acceptor's state in a Snapshot.
type VoterSnapshot struct {
	Incarnation   ident.Inc
	Promised      protocol.Ballot
	Reserved      protocol.Ballot // the last ballot promised together with an accept
	Accepted      protocol.Ballot
	Value         *protocol.Desired
	DurableBallot protocol.Ballot
	DurableValue  *protocol.Desired
	Started       clock.Tick // start of this incarnation; grants from before may still be in force without this voter knowing
	Duty          ident.Duty
	DurableDuty   ident.Duty
	Owner         ident.Node
	GrantUntil    clock.Tick
	Asked         clock.Tick // when the proposer of the promised ballot last sent a message
}

// RegisterSnapshot is the proposer's and reader's state in a Snapshot.
type RegisterSnapshot struct {
	Known         *protocol.Desired // newest value known to be chosen
	KnownBallot   protocol.Ballot
	Hint          *protocol.Desired // value with the newest voter set seen; may not be chosen
	Round         uint64
	HighestBallot uint64
	Operation     *OperationSnapshot
	Queued        []OperationSnapshot
	Queries       []QuerySnapshot // majority reads in progress, oldest first
	LastRead      uint64
	WantedBallot  protocol.Ballot
	Wanted        clock.Tick
	NextQuery     clock.Tick
	LastMajority  clock.Tick   // start of the last completed read
	LastAnswer    clock.Tick   // when a majority last answered
	Reads         []clock.Tick // arrival of each read that waits for a majority
	Siblings      []SiblingSnapshot
	Absent        map[ident.Node]clock.Tick
	UnclearReads  int // consecutive majority reads that showed the same newer ballot that is not known to be chosen
	UnclearBallot protocol.Ballot
	Unequal       clock.Tick      // since when a voter has had an outdated copy
	Unclear       clock.Tick      // since when reads have shown the unsettled ballot
	Promised      protocol.Ballot // by a majority, for this node's next attempt
	PromisedAt    protocol.Ballot // with the accept of this ballot
	Forwards      []ForwardSnapshot
}

// OperationSnapshot is a change or a full read in progress.
type OperationSnapshot struct {
	Phase    string
	Ballot   protocol.Ballot
	Round    uint64
	Set      protocol.Desired
	Best     protocol.Ballot
	Value    *protocol.Desired
	Next     protocol.Desired
	Kind     string
	Answered map[ident.Node]ident.Inc
	Sent     clock.Tick
	Wake     clock.Tick
	End      clock.Tick
	Unclear  bool
	Fails    int
	Resent   int
	Base     protocol.Ballot // ballot of the newest value known to be chosen when the operation began
}

// ForwardSnapshot is a change that was forwarded to the leader.
type ForwardSnapshot struct {
	Change    string
	Owner     ident.Node
	Due       clock.Tick // when this node proposes the change if no outcome has arrived
	Unsettled bool
	Proposed  bool
	Answered  bool
	Outcome   ident.Epoch // resulting version according to the leader, which this node does not know yet
}

// QuerySnapshot is a majority read.
type QuerySnapshot struct {
	Round    uint64
	At       clock.Tick
	Claim    bool
	Number   ident.Duty
	Set      protocol.Desired
	Answered map[ident.Node]ident.Inc
	Granted  map[ident.Node]ident.Inc
	Accepted map[ident.Node]protocol.Ballot
	Top      protocol.Ballot
	Shape    uint64
	Fetching bool
	Read     bool
	Ended    bool
	Won      bool
	Duty     ident.Duty
	Owner    ident.Node
}

// PeerSnapshot is the last state that a node received from another.
type SiblingSnapshot struct {
	ID    ident.Node
	At    clock.Tick
	State protocol.State
}

// LeadershipSnapshot is a node's own view of the leadership lease.
type DutySnapshot struct {
	Mine    bool
	Number  ident.Duty
	Renewed clock.Tick
	Began   clock.Tick
	Highest ident.Duty
	Owner   ident.Node
	Free    bool
	ShyTill clock.Tick
	Next    ident.Node
	Left    clock.Tick
}

// Inspect returns a Snapshot of the core. It doesn't modify the core.
func (c *Core) Inspect() Snapshot {
	return Snapshot{
		Began: c.began, Ending: c.ending,
		Voter: c.inspectVoter(), Register: c.inspectRegister(), Duty: c.inspectLeadership(),
		Members: c.mates.All(),
	}
}

func (c *Core) inspectVoter() VoterSnapshot {
	v := c.vote
	return VoterSnapshot{
		Incarnation: v.inc, Promised: v.promised, Reserved: v.reserved, Accepted: v.accepted, Value: v.value,
		DurableBallot: v.safeB, DurableValue: v.safeV, Started: v.started,
		Duty: v.duty, DurableDuty: v.sure, Owner: v.owner.ID, GrantUntil: v.until, Asked: v.asked,
	}
}

func (c *Core) inspectRegister() RegisterSnapshot {
	r := &c.reg
	s := RegisterSnapshot{
		Known: r.known, KnownBallot: r.at, Hint: r.hint, Round: r.round, HighestBallot: r.top,
		NextQuery: r.next, LastMajority: r.heard, Absent: r.absent, LastAnswer: r.answered,
		UnclearReads: r.odd, UnclearBallot: r.oddTop, Unequal: r.unequal, Unclear: r.oddSince, LastRead: r.lastRead, WantedBallot: r.wanted, Wanted: r.wantedAt,
	}
	if r.op != nil {
		o := inspectOperation(r.op)
		s.Operation = &o
	}
	if r.promised != nil {
		s.Promised, s.PromisedAt = r.promised.ballot, r.promised.at
	}
	for _, number := range generic.SortedKeys(c.forwards.open) {
		p := c.forwards.open[number]
		s.Forwards = append(s.Forwards, ForwardSnapshot{Change: p.admin.Change, Owner: p.owner.ID, Due: c.forwardDeadline(p), Unsettled: p.maybeCommitted, Proposed: p.proposed, Answered: p.answered, Outcome: p.outcomeEpoch()})
	}
	for _, o := range r.queue {
		s.Queued = append(s.Queued, inspectOperation(o))
	}
	for _, q := range r.queries {
		s.Queries = append(s.Queries, inspectQuery(q))
	}
	for _, x := range r.reads {
		s.Reads = append(s.Reads, x.at)
	}
	for _, id := range generic.SortedKeys(r.lives) {
		s.Siblings = append(s.Siblings, SiblingSnapshot{ID: id, At: r.lives[id].at, State: r.lives[id].state})
	}
	return s
}

func inspectOperation(o *op) OperationSnapshot {
	return OperationSnapshot{
		Phase: string(o.phase), Ballot: o.ballot, Round: o.round, Set: o.set, Best: o.best, Value: o.value,
		Next: o.next, Kind: string(o.result.kind), Answered: o.yes, Sent: o.sent, Wake: o.wake, End: o.end,
		Unclear: o.risky, Fails: o.fails, Resent: o.resent, Base: o.baseAt,
	}
}

func inspectQuery(q *query) QuerySnapshot {
	return QuerySnapshot{
		Round: q.round, At: q.at, Claim: q.claim, Number: q.num, Set: q.set, Answered: q.yes,
		Granted: q.grant, Accepted: q.acc, Top: q.top, Shape: q.shape, Fetching: q.asked, Read: q.read, Ended: q.ended, Won: q.won,
		Duty: q.dutyN, Owner: q.owner.ID,
	}
}

func (c *Core) inspectLeadership() DutySnapshot {
	d := &c.duty
	return DutySnapshot{
		Mine: d.mine, Number: d.num, Renewed: d.asked, Began: d.began, Highest: d.top, Owner: d.who.ID,
		Free: d.free, ShyTill: d.shy, Next: d.next, Left: d.left,
	}
}

// DurableVote is the voting state on a core node's disk.
type DurableVote struct {
	Incarnation ident.Inc
	Promised    protocol.Ballot
	Ballot      protocol.Ballot
	Value       *protocol.Desired
	Duty        ident.Duty
	Owner       ident.Node
}

// Read updates the state with the keys that were written to disk; other fields keep their values.
func (v *DurableVote) Read(puts map[string][]byte) error {
	var accepted safe
	var granted pledge
	parts := []struct {
		key  string
		into any
		then func()
	}{
		{diskInc, &v.Incarnation, func() {}},
		{diskB, &v.Promised, func() {}},
		{diskV, &accepted, func() { v.Ballot, v.Value = accepted.Ballot, accepted.Value }},
		{diskD, &granted, func() { v.Duty, v.Owner = granted.Duty, granted.Owner.ID }},
	}
	for _, p := range parts {
		b, ok := puts[p.key]
		if !ok {
			continue
		}
		if err := json.Unmarshal(b, p.into); err != nil {
			return errors.Wrapf(err, "read %s", p.key)
		}
		p.then()
	}
	return nil
}

// Chosen returns the newest value that this node knows to be chosen, if any, and its ballot.
func (c *Core) Chosen() (protocol.Ballot, *protocol.Desired) { return c.reg.at, c.reg.known }

// Proposing returns the highest ballot number that this node has seen and the round of its operation in progress, if
// there is one.
func (c *Core) Proposing() (highest, round uint64, active bool) {
	if c.reg.op == nil {
		return c.reg.top, 0, false
	}
	return c.reg.top, c.reg.op.round, true
}

// ReadIndex returns the 1-based position of a round's majority read among those in progress, or 0 if it isn't in
// progress.
func (c *Core) ReadIndex(round uint64) int {
	for i, q := range c.reg.queries {
		if q.round == round {
			return i + 1
		}
	}
	return 0
}
