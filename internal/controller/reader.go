package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// query is one majority read. Several may be outstanding: a read that takes longer than the read interval
// continues, so that a core whose nodes answer slowly still learns the newest value.
type query struct {
	round            uint64
	at               clock.Instant
	claim            bool
	term             ident.Term
	uncontested      bool // no answering voter has granted the lease to another node since this node last held it
	set              protocol.Desired
	responders       map[ident.Node]ident.Incarnation
	grantors         map[ident.Node]ident.Incarnation
	vacant           map[ident.Node]ident.Incarnation // voters that have granted the lease to nobody but this node
	grantedElsewhere map[ident.Node]ident.Incarnation // voters that have granted this node's own term to another node
	accepted         map[ident.Node]protocol.Ballot
	top              protocol.Ballot // highest ballot accepted by the voters that answered
	shape            uint64          // highest voter set version that these voters have accepted
	fetching         bool            // the value of ballot top is being fetched
	answered         bool            // a majority has answered
	completed        bool            // a value as new as top is known: no newer value was chosen before the read began
	won              bool            // a majority has granted the term
	highestTerm      ident.Term
	owner            protocol.Peer
}

func newQuery(round uint64, at clock.Instant) *query {
	return &query{
		round: round, at: at, uncontested: true, responders: map[ident.Node]ident.Incarnation{}, grantors: map[ident.Node]ident.Incarnation{}, vacant: map[ident.Node]ident.Incarnation{},
		grantedElsewhere: map[ident.Node]ident.Incarnation{}, accepted: map[ident.Node]protocol.Ballot{},
	}
}

// maxQueries bounds the outstanding majority reads.
const maxQueries = 16

// newestQuery returns the majority read that began last, or nil.
func (r *register) newestQuery() *query {
	if len(r.queries) == 0 {
		return nil
	}
	return r.queries[len(r.queries)-1]
}

// queryByRound returns the majority read of a round, or nil if it is neither outstanding nor the last one
// completed.
func (r *register) queryByRound(round uint64) *query {
	for _, q := range r.queries {
		if q.round == round {
			return q
		}
	}
	return nil
}

// beginQuery adds a new majority read to the outstanding ones.
func (c *Core) beginQuery() *query {
	r := &c.register
	r.round++
	q := newQuery(r.round, c.now)
	r.queries = append(r.queries, q)
	if n := len(r.queries) - maxQueries; n > 0 {
		for _, old := range r.queries[:n] {
			c.countQuery(old)
		}
		r.queries = r.queries[n:]
	}
	return q
}

// tickQueries sends the periodic majority read. With a claim, the read also acquires or renews the leadership
// lease.
func (c *Core) tickQueries() {
	r := &c.register
	if c.now < r.nextQuery {
		return
	}
	r.nextQuery = c.now.Add(c.o.ReadInterval)
	c.repairUnsettled()
	q := c.beginQuery()
	recipients := map[ident.Node]protocol.Peer{}
	if set := c.latest(); set != nil {
		q.set = *set
		q.claim, q.term = c.shouldClaim(q.set)
		for _, p := range voterset.Peers(*set) {
			recipients[p.ID] = p
		}
	}
	ask := func(p protocol.Peer) { c.send(p, protocol.Query{Round: q.round, Claim: q.claim, Term: q.term}) }
	for _, m := range c.members.Alive("controller") {
		recipients[m.ID] = m.Peer
	}
	for _, id := range generic.SortedKeys(recipients) {
		ask(recipients[id])
	}
	if c.latest() == nil {
		for _, s := range c.contactSeeds() {
			known := false
			for _, p := range recipients {
				known = known || p.Addr == s.Addr
			}
			if !known {
				ask(s)
			}
		}
	}
}

// unsettledReads is how many consecutive reads must show the same newer value, not known to be chosen, before a
// full read begins for it.
const unsettledReads = 2

// repairUnsettled begins a full read if consecutive reads showed the same newer value that is not known to be
// chosen. Its proposer may have failed, and then only a full read can decide the value. If each read shows a
// different value, changes make progress, and a full read would only delay them.
func (c *Core) repairUnsettled() {
	r, q := &c.register, c.register.queryByRound(c.register.lastRead)
	if q == nil || r.known != nil && !r.knownBallot.Less(q.top) {
		r.unsettledCount = 0
		return
	}
	if q.top != r.unsettledBallot {
		r.unsettledCount, r.unsettledBallot, r.unsettledSince = 0, q.top, c.now
	}
	if r.unsettledCount++; r.unsettledCount >= unsettledReads && c.now.Sub(r.unsettledSince) >= c.unsettledWait() && r.active == nil && len(r.queue) == 0 {
		r.unsettledCount = 0
		c.fullRead(func(failure.Kind) {})
	}
}

// unsettledWait returns for how long reads must show one value that is not known to be chosen before this node
// begins a full read: the accept may still be on its way. If another node holds the leadership lease, that node
// is given time to repair it first.
func (c *Core) unsettledWait() clock.Span {
	trip := min(c.register.roundTrips.reads.Timeout(), maxRivalRounds*c.o.ReadInterval)
	if _, other := c.remoteProposer(); other {
		return minAnswerRounds*c.o.ReadInterval + 2*trip
	}
	return trip
}

func (c *Core) onState(e protocol.Envelope) {
	r, b := &c.register, e.Body.(protocol.State)
	r.highestNumber = max(r.highestNumber, b.Accepted.N)
	if b.Round <= r.roundBase || b.Round > r.round {
		return // answers a query of another incarnation
	}
	if b.Round >= r.states[e.From.ID].state.Round { // otherwise it arrived after a later answer and may be out of date
		r.states[e.From.ID] = stateReport{at: c.now, state: b, sibling: e.From}
		set := c.latest()
		if !b.Blank && (set == nil || b.VoterSet > set.VoterSet) {
			c.send(e.From, protocol.FetchValue{})
		}
		c.compareRegistries(e.From, b)
	}
	c.noteChosen(b.Chosen, e.From)
	q := r.queryByRound(b.Round)
	if q == nil {
		return
	}
	c.recordAnswer(q, e.From.ID, b)
	c.renewTerm(q)
	c.completeQueries()
	c.fetchNewest(q)
	c.observeOwner(q)
}

// recordAnswer adds a voter's answer to a majority read.
func (c *Core) recordAnswer(q *query, from ident.Node, b protocol.State) {
	q.responders[from] = b.Incarnation
	if b.Granted {
		q.grantors[from] = b.Incarnation
	}
	q.highestTerm = max(q.highestTerm, b.Term)
	if b.Owner.ID == "" || b.Owner.ID == c.o.Self.ID {
		q.vacant[from] = b.Incarnation
	}
	if b.Owner.ID != "" && b.Owner.ID != c.o.Self.ID && b.Term == c.leadership.term {
		q.grantedElsewhere[from] = b.Incarnation
	}
	if b.Owner.ID != "" && b.Term >= q.highestTerm {
		q.owner = b.Owner
	}
	if voterset.IsVoter(q.set, from, b.Incarnation) {
		q.accepted[from] = b.Accepted
		q.shape = max(q.shape, b.VoterSet)
		if q.top.Less(b.Accepted) {
			q.top = b.Accepted
		}
	}
	if b.PriorGrantee != c.o.Self.ID {
		q.uncontested = false
	}
	q.won = q.won || q.claim && voterset.Majority(q.set, q.grantors)
	if voterset.Majority(q.set, q.responders) {
		if !q.answered {
			c.register.roundTrips.reads.Observe(c.now.Sub(q.at))
		}
		q.answered = true
		c.register.answered = c.now
		c.register.lastRead = max(c.register.lastRead, q.round)
	}
}

// completeQueries completes the newest majority read that shows nothing newer than the known value, and drops
// the earlier ones.
//
// Every value that was chosen before a read began shows among a majority's answers, as itself or as a later
// value. So the read completes once a chosen value is known that is no older than the newest one it showed, even
// if that value was chosen or learned after the answers arrived. A read of an older voter set than the one now
// known proves nothing: a majority of the newer set may have chosen further values, none of which need show
// among the answers of the older set.
func (c *Core) completeQueries() {
	r := &c.register
	if r.known == nil {
		return
	}
	for i := len(r.queries) - 1; i >= 0; i-- {
		q := r.queries[i]
		if q.completed && !q.winsTerm(c) {
			return
		}
		if !q.answered || r.knownBallot.Less(q.top) || q.set.VoterSet < r.known.VoterSet {
			continue
		}
		for _, old := range r.queries[:i] {
			c.countQuery(old)
		}
		r.queries = r.queries[i:]
		c.completeQuery(q)
		return
	}
}

// winsTerm reports whether a majority has granted a term that this node has not begun.
func (q *query) winsTerm(c *Core) bool { return q.won && !c.leadership.held }

// fetchNewest learns the newest value that a majority read showed, if a majority of the voters have accepted it.
// The value is then chosen and only needs to be fetched.
func (c *Core) fetchNewest(q *query) {
	if !q.answered || q.completed || q.top == (protocol.Ballot{}) || !c.register.knownBallot.Less(q.top) && c.register.known != nil {
		return
	}
	accepted := q.acceptedTop()
	if !voterset.Majority(q.set, accepted) {
		return
	}
	if c.acceptor.value != nil && c.acceptor.accepted == q.top {
		c.learnChosen(q.top, *c.acceptor.value)
		return
	}
	if q.fetching {
		return
	}
	q.fetching = true
	c.send(c.register.states[generic.SortedKeys(accepted)[0]].sibling, protocol.FetchValue{Round: q.round, Ballot: q.top})
}

// acceptedTop returns the voters that have accepted the newest value that a majority read showed.
func (q *query) acceptedTop() map[ident.Node]ident.Incarnation {
	accepted := map[ident.Node]ident.Incarnation{}
	for id, b := range q.accepted {
		if b == q.top {
			accepted[id] = q.responders[id]
		}
	}
	return accepted
}

// completeQuery records that no value newer than the known one was chosen before a read began.
func (c *Core) completeQuery(q *query) {
	q.completed = true
	c.register.knownSince = max(c.register.knownSince, q.at)
	c.register.completedAt = c.now
	c.serveReads(q.at)
	if q.won {
		c.beginTerm(q)
	}
}

// countQuery counts the outcome of a majority read that is no longer waited for.
func (c *Core) countQuery(q *query) {
	switch {
	case q.completed:
		c.tally.QueriesEnded++
	case q.answered:
		c.tally.QueriesOvertaken++
	default:
		c.tally.QueriesUnanswered++
	}
}

// repairStaleVoter begins a full read if a voter's copy stays out of date. A full read brings all copies up to
// date.
func (c *Core) repairStaleVoter() {
	r := &c.register
	if r.known == nil || r.active != nil {
		return
	}
	stale := false
	for _, v := range r.known.Voters {
		s, ok := r.states[v.ID]
		if ok && c.now.Sub(s.at) < 2*c.o.ReadInterval && s.state.Incarnation == v.Incarnation && s.state.Accepted.Less(r.knownBallot) {
			stale = true
		}
	}
	if !stale {
		r.staleSince = 0
		return
	}
	if r.staleSince == 0 {
		r.staleSince = c.now
	}
	if c.now.Sub(r.staleSince) > c.answerWait() {
		r.staleSince = 0
		c.tally.Repairs++
		c.fullRead(func(failure.Kind) {})
	}
}

func (c *Core) onValue(e protocol.Envelope) {
	b := e.Body.(protocol.FetchedValue)
	if b.Value == nil {
		return
	}
	if b.Chosen || c.seenChosen(b.Accepted) {
		c.learnChosen(b.Accepted, *b.Value)
	}
	if set := c.latest(); set == nil || b.Value.VoterSet > set.VoterSet {
		c.register.hint = b.Value
	}
}

// seenChosen reports whether a majority read has shown that a majority accepted a ballot.
func (c *Core) seenChosen(b protocol.Ballot) bool {
	for _, q := range c.register.queries {
		if q.fetching && q.top == b {
			return true
		}
	}
	return false
}
