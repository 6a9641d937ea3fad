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
	Began      bool // the node's incarnation is durable, so the node participates
	Ending     bool
	Voter      VoterSnapshot
	Register   RegisterSnapshot
	Leadership LeadershipSnapshot
	Registry   RegistrySnapshot
	Members    []protocol.Member
}

// VoterSnapshot is the acceptor's state in a Snapshot.
type VoterSnapshot struct {
	Incarnation     ident.Incarnation
	Promised        protocol.Ballot
	Reserved        protocol.Ballot // the last ballot promised together with an accept
	Accepted        protocol.Ballot
	Value           *protocol.Desired
	DurableBallot   protocol.Ballot
	DurableValue    *protocol.Desired
	Started         clock.Instant // start of this incarnation; grants from before may still be in force without this voter knowing
	Term            ident.Term
	DurableTerm     ident.Term
	Owner           ident.Node
	GrantUntil      clock.Instant
	ProposerHeardAt clock.Instant // when the proposer of the promised ballot last sent a message
}

// RegisterSnapshot is the proposer's and reader's state in a Snapshot.
type RegisterSnapshot struct {
	Known           *protocol.Desired // newest value known to be chosen
	KnownBallot     protocol.Ballot
	Hint            *protocol.Desired // value with the newest voter set seen; may not be chosen
	Round           uint64
	HighestBallot   uint64
	Operation       *OperationSnapshot
	Queued          []OperationSnapshot
	Queries         []QuerySnapshot // majority reads in progress, oldest first
	LastRead        uint64
	WantedBallot    protocol.Ballot
	Wanted          clock.Instant
	NextQuery       clock.Instant
	LastMajority    clock.Instant   // start of the last completed read
	LastAnswer      clock.Instant   // when a majority last answered
	Reads           []clock.Instant // arrival of each read that waits for a majority
	Peers           []PeerSnapshot
	Absent          map[ident.Node]clock.Instant
	UnsettledReads  int // consecutive majority reads that showed the same newer ballot that is not known to be chosen
	UnsettledBallot protocol.Ballot
	StaleSince      clock.Instant   // since when a voter has had an outdated copy
	UnsettledSince  clock.Instant   // since when reads have shown the unsettled ballot
	Promised        protocol.Ballot // by a majority, for this node's next attempt
	PromisedAt      protocol.Ballot // with the accept of this ballot
	Forwards        []ForwardSnapshot
}

// OperationSnapshot is a change or a full read in progress.
type OperationSnapshot struct {
	Phase           string
	Ballot          protocol.Ballot
	Round           uint64
	Set             protocol.Desired
	HighestAccepted protocol.Ballot
	Value           *protocol.Desired
	Next            protocol.Desired
	Kind            string
	Answered        map[ident.Node]ident.Incarnation
	SentAt          clock.Instant
	RetryAt         clock.Instant
	Deadline        clock.Instant
	Uncertain       bool
	Failures        int
	Resent          int
	BaseBallot      protocol.Ballot // ballot of the newest value known to be chosen when the operation began
}

// ForwardSnapshot is a change that was forwarded to the leader.
type ForwardSnapshot struct {
	Change    string
	Owner     ident.Node
	Due       clock.Instant // when this node proposes the change if no outcome has arrived
	Unsettled bool
	Proposed  bool
	Answered  bool
	Outcome   ident.Epoch // resulting version according to the leader, which this node does not know yet
}

// QuerySnapshot is a majority read.
type QuerySnapshot struct {
	Round       uint64
	At          clock.Instant
	Claim       bool
	Term        ident.Term
	Set         protocol.Desired
	Answered    map[ident.Node]ident.Incarnation
	Granted     map[ident.Node]ident.Incarnation
	Accepted    map[ident.Node]protocol.Ballot
	Top         protocol.Ballot
	VoterSet    uint64
	Fetching    bool
	Read        bool
	Completed   bool
	Won         bool
	HighestTerm ident.Term
	Owner       ident.Node
}

// PeerSnapshot is the last state that a node received from another.
type PeerSnapshot struct {
	ID    ident.Node
	At    clock.Instant
	State protocol.State
}

// RegistrySnapshot is what a node knows of servers that announce themselves.
type RegistrySnapshot struct {
	DeparturesComplete bool
	Servers            []protocol.ListedServer // on record, ordered by ID
	Listed             []protocol.ListedServer // in the last list
	Merged             []ident.Node            // whose registries this node has merged since it lost its disk
	Received           []ident.Node            // whose registries this leader has received
	Offered            []ident.Server          // live servers of a leader that has the registries of a majority
}

// LeadershipSnapshot is a node's own view of the leadership lease.
type LeadershipSnapshot struct {
	Held         bool
	Term         ident.Term
	Renewed      clock.Instant
	BegunAt      clock.Instant
	HighestTerm  ident.Term
	Owner        ident.Node
	Vacant       bool
	DeclineUntil clock.Instant
	Successor    ident.Node
	ReleasedAt   clock.Instant
}

// Inspect returns a Snapshot of the core. It doesn't modify the core.
func (c *Core) Inspect() Snapshot {
	return Snapshot{
		Began: c.began, Ending: c.stopping,
		Voter: c.inspectVoter(), Register: c.inspectRegister(), Leadership: c.inspectLeadership(),
		Registry: c.inspectRegistry(), Members: c.members.Members(),
	}
}

func (c *Core) inspectRegistry() RegistrySnapshot {
	s := RegistrySnapshot{DeparturesComplete: c.departuresComplete, Listed: c.list.List,
		Merged: generic.SortedKeys(c.recovered), Received: generic.SortedKeys(c.registriesReceived)}
	for _, id := range generic.SortedKeys(c.enrolledServers) {
		s.Servers = append(s.Servers, c.enrolledServers[id].ListedServer)
	}
	if !c.holdsLease() || !c.registryComplete() {
		return s
	}
	for _, id := range generic.SortedKeys(c.servers) {
		if c.servers[id].State == "live" {
			s.Offered = append(s.Offered, id)
		}
	}
	return s
}

func (c *Core) inspectVoter() VoterSnapshot {
	v := c.acceptor
	return VoterSnapshot{
		Incarnation: v.inc, Promised: v.promised, Reserved: v.reserved, Accepted: v.accepted, Value: v.value,
		DurableBallot: v.durableBallot, DurableValue: v.durableValue, Started: v.started,
		Term: v.term, DurableTerm: v.durableTerm, Owner: v.owner.ID, GrantUntil: v.grantUntil, ProposerHeardAt: v.proposerHeardAt,
	}
}

func (c *Core) inspectRegister() RegisterSnapshot {
	r := &c.register
	s := RegisterSnapshot{
		Known: r.known, KnownBallot: r.knownBallot, Hint: r.hint, Round: r.round, HighestBallot: r.highestNumber,
		NextQuery: r.nextQuery, LastMajority: r.knownSince, Absent: r.absentSince, LastAnswer: r.answered,
		UnsettledReads: r.unsettledCount, UnsettledBallot: r.unsettledBallot, StaleSince: r.staleSince, UnsettledSince: r.unsettledSince, LastRead: r.lastRead, WantedBallot: r.fetchedBallot, Wanted: r.fetchedAt,
	}
	if r.active != nil {
		o := inspectOperation(r.active)
		s.Operation = &o
	}
	if r.reserved != nil {
		s.Promised, s.PromisedAt = r.reserved.ballot, r.reserved.acceptedBallot
	}
	for _, number := range generic.SortedKeys(c.forwards.pending) {
		p := c.forwards.pending[number]
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
	for _, id := range generic.SortedKeys(r.states) {
		s.Peers = append(s.Peers, PeerSnapshot{ID: id, At: r.states[id].at, State: r.states[id].state})
	}
	return s
}

func inspectOperation(o *proposal) OperationSnapshot {
	return OperationSnapshot{
		Phase: string(o.phase), Ballot: o.ballot, Round: o.round, Set: o.set, HighestAccepted: o.highestAccepted, Value: o.value,
		Next: o.proposed, Kind: string(o.result.kind), Answered: o.responders, SentAt: o.sentAt, RetryAt: o.retryAt, Deadline: o.deadline,
		Uncertain: o.uncertain, Failures: o.failures, Resent: o.resent, BaseBallot: o.baseBallot,
	}
}

func inspectQuery(q *query) QuerySnapshot {
	return QuerySnapshot{
		Round: q.round, At: q.at, Claim: q.claim, Term: q.term, Set: q.set, Answered: q.responders,
		Granted: q.grantors, Accepted: q.accepted, Top: q.top, VoterSet: q.shape, Fetching: q.fetching, Read: q.answered, Completed: q.completed, Won: q.won,
		HighestTerm: q.highestTerm, Owner: q.owner.ID,
	}
}

func (c *Core) inspectLeadership() LeadershipSnapshot {
	d := &c.leadership
	return LeadershipSnapshot{
		Held: d.held, Term: d.term, Renewed: d.renewedAt, BegunAt: d.begunAt, HighestTerm: d.highestTerm, Owner: d.owner.ID,
		Vacant: d.vacant, DeclineUntil: d.declineUntil, Successor: d.successor, ReleasedAt: d.releasedAt,
	}
}

// DurableVote is the voting state on a core node's disk.
type DurableVote struct {
	Incarnation ident.Incarnation
	Promised    protocol.Ballot
	Ballot      protocol.Ballot
	Value       *protocol.Desired
	Term        ident.Term
	Owner       ident.Node
}

// Read updates the state with the keys that were written to disk; other fields keep their values.
func (v *DurableVote) Read(puts map[string][]byte) error {
	var accepted storedAccept
	var granted storedGrant
	parts := []struct {
		key  string
		into any
		then func()
	}{
		{keyIncarnation, &v.Incarnation, func() {}},
		{keyPromised, &v.Promised, func() {}},
		{keyAccepted, &accepted, func() { v.Ballot, v.Value = accepted.Ballot, accepted.Value }},
		{keyLeaseGrant, &granted, func() { v.Term, v.Owner = granted.Duty, granted.Owner.ID }},
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
func (c *Core) Chosen() (protocol.Ballot, *protocol.Desired) {
	return c.register.knownBallot, c.register.known
}

// Proposing returns the highest ballot number that this node has seen and the round of its operation in progress, if
// there is one.
func (c *Core) Proposing() (highest, round uint64, active bool) {
	if c.register.active == nil {
		return c.register.highestNumber, 0, false
	}
	return c.register.highestNumber, c.register.active.round, true
}

// ReadIndex returns the 1-based position of a round's majority read among those in progress, or 0 if it isn't in
// progress.
func (c *Core) ReadIndex(round uint64) int {
	for i, q := range c.register.queries {
		if q.round == round {
			return i + 1
		}
	}
	return 0
}
