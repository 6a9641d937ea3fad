package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

type query struct {
	round  uint64
	at     clock.Tick
	claim  bool
	num    ident.Duty
	again  bool // no voter of a majority has given the duty to another since this node had it
	set    protocol.Desired
	yes    map[ident.Node]ident.Inc
	grant  map[ident.Node]ident.Inc
	open   map[ident.Node]ident.Inc // voters that hold the duty for nobody but this node
	others map[ident.Node]ident.Inc // voters that hold this node's own term for another
	acc    map[ident.Node]protocol.Ballot
	top    protocol.Ballot // highest accepted among the voters heard
	asked  bool            // the value at top is being fetched
	read   bool            // a majority was heard
	ended  bool            // it showed nothing newer than what is known, or its value was fetched
	won    bool
	dutyN  ident.Duty
	owner  protocol.Sibling
}

// The regular majority read. With a claim it also takes or renews the duty.
func (c *Core) beatQuery() {
	r := &c.reg
	if c.now < r.next {
		return
	}
	r.next = c.now.Add(c.o.Round)
	// A majority that shows no one ballot twice running may hold a value that is not chosen:
	// only a full round can tell, and mends it.
	if q := r.query; q != nil && q.read && (r.known == nil || r.at.Less(q.top)) {
		if r.odd++; r.odd >= 2 && r.op == nil && len(r.queue) == 0 {
			r.odd = 0
			c.read(func(protocol.Desired, failure.Kind) {})
		}
	} else {
		r.odd = 0
	}
	c.countQuery(r.query)
	r.round++
	q := &query{round: r.round, again: true, at: c.now, yes: map[ident.Node]ident.Inc{}, grant: map[ident.Node]ident.Inc{}, open: map[ident.Node]ident.Inc{}, others: map[ident.Node]ident.Inc{}, acc: map[ident.Node]protocol.Ballot{}}
	to := map[ident.Node]protocol.Sibling{}
	if set := c.latest(); set != nil {
		q.set = *set
		q.claim, q.num = c.claims(q.set)
		for _, p := range electors(*set) {
			to[p.ID] = p
		}
	}
	r.query = q
	ask := func(p protocol.Sibling) { c.send(p, protocol.Query{Round: q.round, Claim: q.claim, Duty: q.num}) }
	for _, m := range c.mates.Alive("controller") {
		to[m.ID] = m.Sibling
	}
	for _, id := range generic.SortedKeys(to) {
		ask(to[id])
	}
	if c.latest() == nil {
		for _, s := range c.o.Seeds {
			known := false
			for _, p := range to {
				known = known || p.Addr == s.Addr
			}
			if !known {
				ask(s)
			}
		}
	}
}

func (c *Core) onState(e protocol.Env) {
	r, b := &c.reg, e.Body.(protocol.State)
	r.top = max(r.top, b.Accepted.N)
	if b.Round <= r.first || b.Round < r.lives[e.From.ID].state.Round {
		return // it answers an earlier life, or came after a later answer: what it says may be over
	}
	r.lives[e.From.ID] = sight{at: c.now, state: b, sib: e.From}
	set := c.latest()
	if !b.Blank && (set == nil || b.Shape > set.Shape) {
		c.send(e.From, protocol.Fetch{})
	}
	q := r.query
	if q == nil || b.Round != q.round {
		return
	}
	q.yes[e.From.ID] = b.Inc
	if b.Granted {
		q.grant[e.From.ID] = b.Inc
	}
	if b.Duty > q.dutyN {
		q.dutyN = b.Duty
	}
	if b.Owner.ID == "" || b.Owner.ID == c.o.Me.ID {
		q.open[e.From.ID] = b.Inc
	}
	if b.Owner.ID != "" && b.Owner.ID != c.o.Me.ID && b.Duty == c.duty.num {
		q.others[e.From.ID] = b.Inc
	}
	if b.Owner.ID != "" && b.Duty >= q.dutyN {
		q.owner = b.Owner
	}
	if c.inSet(q.set, e.From.ID, b.Inc) {
		q.acc[e.From.ID] = b.Accepted
		if q.top.Less(b.Accepted) {
			q.top = b.Accepted
		}
	}
	if b.Prior != c.o.Me.ID {
		q.again = false
	}
	if q.claim && quorum(q.set, q.grant) {
		q.won = true
	}
	if quorum(q.set, q.yes) {
		q.read = true
		r.answered = max(r.answered, q.at)
		c.compare(q)
	}
	c.saw(q)
}

// compare ends a majority read: nothing is newer than what is known, or a majority shows
// one newer ballot, which is then chosen and its value only needs to be fetched.
func (c *Core) compare(q *query) {
	r := &c.reg
	if r.known != nil && !r.at.Less(q.top) {
		c.fresh(q)
		return
	}
	have := map[ident.Node]ident.Inc{}
	for id, b := range q.acc {
		if b == q.top {
			have[id] = q.yes[id]
		}
	}
	if !q.asked && q.top != (protocol.Ballot{}) && quorum(q.set, have) {
		q.asked = true
		id := generic.SortedKeys(have)[0]
		if _, me := have[c.o.Me.ID]; me {
			id = c.o.Me.ID
		}
		c.send(r.lives[id].sib, protocol.Fetch{Round: q.round})
	}
}

// fresh notes that, when the round was asked for, nothing newer was chosen than what is known.
func (c *Core) fresh(q *query) {
	q.ended = true
	c.reg.heard = max(c.reg.heard, q.at)
	c.serveReads(q.at)
	if q.won {
		c.won(q)
	}
}

// countQuery counts what became of a majority read once the next one begins.
func (c *Core) countQuery(q *query) {
	switch {
	case q == nil:
	case q.ended:
		c.tally.QueriesEnded++
	case q.read:
		c.tally.QueriesOvertaken++
	default:
		c.tally.QueriesUnanswered++
	}
}

// sweep mends a voter whose copy stays old: a full round brings the copies together.
func (c *Core) sweep() {
	r := &c.reg
	if r.known == nil || r.op != nil {
		return
	}
	old := false
	for _, v := range r.known.Voters {
		s, ok := r.lives[v.ID]
		if ok && c.now.Sub(s.at) < 2*c.o.Round && s.state.Inc == v.Inc && s.state.Accepted.Less(r.at) {
			old = true
		}
	}
	if !old {
		r.unequal = 0
		return
	}
	if r.unequal++; r.unequal > 30 {
		r.unequal = 0
		c.tally.Repairs++
		c.read(func(protocol.Desired, failure.Kind) {})
	}
}

func (c *Core) onValue(e protocol.Env) {
	b := e.Body.(protocol.Value)
	if b.Value == nil {
		return
	}
	if q := c.reg.query; q != nil && q.asked && b.Round == q.round && b.Accepted == q.top {
		c.learn(b.Accepted, *b.Value)
		c.fresh(q)
	}
	if set := c.latest(); set == nil || b.Value.Shape > set.Shape {
		c.reg.hint = b.Value
	}
}
