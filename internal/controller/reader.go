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
	round       uint64
	at          clock.Tick
	claim       bool
	num         ident.Duty
	uncontested bool // no answering voter has granted the lease to another node since this node last held it
	set         protocol.Desired
	yes         map[ident.Node]ident.Inc
	grant       map[ident.Node]ident.Inc
	vacant      map[ident.Node]ident.Inc // voters that have granted the lease to nobody but this node
	others      map[ident.Node]ident.Inc // voters that have granted this node's own term to another node
	acc         map[ident.Node]protocol.Ballot
	top         protocol.Ballot // highest ballot accepted by the voters that answered
	shape       uint64          // highest voter set version that these voters have accepted
	asked       bool            // the value of ballot top is being fetched
	read        bool            // a majority has answered
	ended       bool            // a value as new as top is known: no newer value was chosen before the read began
	won         bool            // a majority has granted the term
	dutyN       ident.Duty
	owner       protocol.Sibling
}

func newQuery(round uint64, at clock.Tick) *query {
	return &query{
		round: round, at: at, uncontested: true, yes: map[ident.Node]ident.Inc{}, grant: map[ident.Node]ident.Inc{}, vacant: map[ident.Node]ident.Inc{},
		others: map[ident.Node]ident.Inc{}, acc: map[ident.Node]protocol.Ballot{},
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
	r := &c.reg
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
	r := &c.reg
	if c.now < r.next {
		return
	}
	r.next = c.now.Add(c.o.Round)
	c.repairUnsettled()
	q := c.beginQuery()
	recipients := map[ident.Node]protocol.Sibling{}
	if set := c.latest(); set != nil {
		q.set = *set
		q.claim, q.num = c.shouldClaim(q.set)
		for _, p := range voterset.Addresses(*set) {
			recipients[p.ID] = p
		}
	}
	ask := func(p protocol.Sibling) { c.send(p, protocol.Query{Round: q.round, Claim: q.claim, Duty: q.num}) }
	for _, m := range c.mates.Alive("controller") {
		recipients[m.ID] = m.Sibling
	}
	for _, id := range generic.SortedKeys(recipients) {
		ask(recipients[id])
	}
	if c.latest() == nil {
		for _, s := range c.o.Seeds {
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
	r, q := &c.reg, c.reg.queryByRound(c.reg.lastRead)
	if q == nil || r.known != nil && !r.at.Less(q.top) {
		r.odd = 0
		return
	}
	if q.top != r.oddTop {
		r.odd, r.oddTop, r.oddSince = 0, q.top, c.now
	}
	if r.odd++; r.odd >= unsettledReads && c.now.Sub(r.oddSince) >= c.unsettledWait() && r.op == nil && len(r.queue) == 0 {
		r.odd = 0
		c.fullRead(func(failure.Kind) {})
	}
}

// unsettledWait returns for how long reads must show one value that is not known to be chosen before this node
// begins a full read: the accept may still be on its way. If another node holds the leadership lease, that node
// is given time to repair it first.
func (c *Core) unsettledWait() clock.Span {
	trip := min(c.reg.trips.reads.Timeout(), maxRivalRounds*c.o.Round)
	if _, other := c.proposerElsewhere(); other {
		return minAnswerRounds*c.o.Round + 2*trip
	}
	return trip
}

func (c *Core) onState(e protocol.Env) {
	r, b := &c.reg, e.Body.(protocol.State)
	r.top = max(r.top, b.Accepted.N)
	if b.Round <= r.roundBase {
		return // answers a query of an earlier incarnation
	}
	if b.Round >= r.lives[e.From.ID].state.Round { // otherwise it arrived after a later answer and may be out of date
		r.lives[e.From.ID] = stateReport{at: c.now, state: b, sib: e.From}
		set := c.latest()
		if !b.Blank && (set == nil || b.Shape > set.Shape) {
			c.send(e.From, protocol.Fetch{})
		}
	}
	c.hearOfChosen(b.Chosen, e.From)
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
	q.yes[from] = b.Inc
	if b.Granted {
		q.grant[from] = b.Inc
	}
	q.dutyN = max(q.dutyN, b.Duty)
	if b.Owner.ID == "" || b.Owner.ID == c.o.Me.ID {
		q.vacant[from] = b.Inc
	}
	if b.Owner.ID != "" && b.Owner.ID != c.o.Me.ID && b.Duty == c.duty.num {
		q.others[from] = b.Inc
	}
	if b.Owner.ID != "" && b.Duty >= q.dutyN {
		q.owner = b.Owner
	}
	if voterset.In(q.set, from, b.Inc) {
		q.acc[from] = b.Accepted
		q.shape = max(q.shape, b.Shape)
		if q.top.Less(b.Accepted) {
			q.top = b.Accepted
		}
	}
	if b.Prior != c.o.Me.ID {
		q.uncontested = false
	}
	q.won = q.won || q.claim && voterset.Majority(q.set, q.grant)
	if voterset.Majority(q.set, q.yes) {
		if !q.read {
			c.reg.trips.reads.Observe(c.now.Sub(q.at))
		}
		q.read = true
		c.reg.answered = c.now
		c.reg.lastRead = max(c.reg.lastRead, q.round)
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
	r := &c.reg
	if r.known == nil {
		return
	}
	for i := len(r.queries) - 1; i >= 0; i-- {
		q := r.queries[i]
		if q.ended && !q.winsTerm(c) {
			return
		}
		if !q.read || r.at.Less(q.top) || q.set.Shape < r.known.Shape {
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
func (q *query) winsTerm(c *Core) bool { return q.won && !c.duty.mine }

// fetchNewest learns the newest value that a majority read showed, if a majority of the voters have accepted it.
// The value is then chosen and only needs to be fetched.
func (c *Core) fetchNewest(q *query) {
	if !q.read || q.ended || q.top == (protocol.Ballot{}) || !c.reg.at.Less(q.top) && c.reg.known != nil {
		return
	}
	accepted := q.acceptedTop()
	if !voterset.Majority(q.set, accepted) {
		return
	}
	if c.vote.value != nil && c.vote.accepted == q.top {
		c.learnChosen(q.top, *c.vote.value)
		return
	}
	if q.asked {
		return
	}
	q.asked = true
	c.send(c.reg.lives[generic.SortedKeys(accepted)[0]].sib, protocol.Fetch{Round: q.round, Ballot: q.top})
}

// acceptedTop returns the voters that have accepted the newest value that a majority read showed.
func (q *query) acceptedTop() map[ident.Node]ident.Inc {
	accepted := map[ident.Node]ident.Inc{}
	for id, b := range q.acc {
		if b == q.top {
			accepted[id] = q.yes[id]
		}
	}
	return accepted
}

// completeQuery records that no value newer than the known one was chosen before a read began.
func (c *Core) completeQuery(q *query) {
	q.ended = true
	c.reg.heard = max(c.reg.heard, q.at)
	c.reg.completedAt = c.now
	c.serveReads(q.at)
	if q.won {
		c.beginTerm(q)
	}
}

// countQuery counts the outcome of a majority read that is no longer waited for.
func (c *Core) countQuery(q *query) {
	switch {
	case q.ended:
		c.tally.QueriesEnded++
	case q.read:
		c.tally.QueriesOvertaken++
	default:
		c.tally.QueriesUnanswered++
	}
}

// repairStaleVoter begins a full read if a voter's copy stays out of date. A full read brings all copies up to
// date.
func (c *Core) repairStaleVoter() {
	r := &c.reg
	if r.known == nil || r.op != nil {
		return
	}
	stale := false
	for _, v := range r.known.Voters {
		s, ok := r.lives[v.ID]
		if ok && c.now.Sub(s.at) < 2*c.o.Round && s.state.Inc == v.Inc && s.state.Accepted.Less(r.at) {
			stale = true
		}
	}
	if !stale {
		r.unequal = 0
		return
	}
	if r.unequal == 0 {
		r.unequal = c.now
	}
	if c.now.Sub(r.unequal) > c.answerWait() {
		r.unequal = 0
		c.tally.Repairs++
		c.fullRead(func(failure.Kind) {})
	}
}

func (c *Core) onValue(e protocol.Env) {
	b := e.Body.(protocol.Value)
	if b.Value == nil {
		return
	}
	if b.Chosen || c.seenChosen(b.Accepted) {
		c.learnChosen(b.Accepted, *b.Value)
	}
	if set := c.latest(); set == nil || b.Value.Shape > set.Shape {
		c.reg.hint = b.Value
	}
}

// seenChosen reports whether a majority read has shown that a majority accepted a ballot.
func (c *Core) seenChosen(b protocol.Ballot) bool {
	for _, q := range c.reg.queries {
		if q.asked && q.top == b {
			return true
		}
	}
	return false
}
