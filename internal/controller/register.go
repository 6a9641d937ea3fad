package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// vote is the acceptor's part. What it says of accepted values is always durable already.
type vote struct {
	inc      ident.Inc
	promised protocol.Ballot
	accepted protocol.Ballot
	value    *protocol.Desired
	// what the disk surely has
	safeB protocol.Ballot
	safeV *protocol.Desired

	started clock.Tick // from when other owners' holds may still run unseen
	duty    ident.Duty
	sure    ident.Duty // the highest that the disk has
	owner   protocol.Sibling
	until   clock.Tick
}

// register is the proposer's and reader's part.
type register struct {
	known   *protocol.Desired // newest value known to be chosen
	at      protocol.Ballot
	hint    *protocol.Desired // a voter set to try, from a value perhaps not chosen
	round   uint64
	top     uint64 // highest ballot number seen anywhere
	op      *op
	queue   []*op
	reads   []reader
	query   *query
	next    clock.Tick
	heard   clock.Tick // when the last majority read was asked for
	lives   map[ident.Node]sight
	blank   clock.Tick // since when every seed is seen blank
	kept    *protocol.Desired
	force   bool
	unequal int
	odd     int
	shaped  clock.Tick // when the voter set now known was first known
	gone    map[ident.Node]clock.Tick
}

type sight struct {
	at    clock.Tick
	state protocol.State
	sib   protocol.Sibling
}

// op is one change or full read in its rounds.
type op struct {
	apply  func(protocol.Desired) (protocol.Desired, failure.Kind)
	done   func(v protocol.Desired, k failure.Kind)
	end    clock.Tick
	set    protocol.Desired
	ballot protocol.Ballot
	round  uint64
	phase  string // wait, prepare, accept
	sent   clock.Tick
	wake   clock.Tick
	yes    map[ident.Node]ident.Inc
	best   protocol.Ballot
	value  *protocol.Desired
	next   protocol.Desired
	kind   failure.Kind
	risky  bool // an accept was sent whose fate is not settled
	fails  int
}

type query struct {
	round uint64
	at    clock.Tick
	claim bool
	num   ident.Duty
	again bool // no voter of a majority has given the duty to another since this node had it
	set   protocol.Desired
	yes   map[ident.Node]ident.Inc
	grant map[ident.Node]ident.Inc
	acc   map[ident.Node]protocol.Ballot
	top   protocol.Ballot // highest accepted among the voters heard
	asked bool            // the value at top is being fetched
	read  bool            // a majority was heard
	won   bool
	dutyN ident.Duty
	owner protocol.Sibling
}

func (r *register) init() {
	r.lives = map[ident.Node]sight{}
	r.gone = map[ident.Node]clock.Tick{}
}

const (
	diskInc = "inc"
	diskB   = "promised"
	diskV   = "accepted"
	diskD   = "duty"
	diskL   = "list"
	diskR   = "leavings"
)

type safe struct {
	Ballot protocol.Ballot
	Value  *protocol.Desired
}

type pledge struct {
	Duty  ident.Duty
	Owner protocol.Sibling
}

func (c *Core) start(s protocol.Start) {
	c.vote.started = c.now
	read := func(k string, p any) bool {
		b, ok := s.Disk[k]
		if !ok {
			return false
		}
		if err := json.Unmarshal(b, p); err != nil {
			c.oops("disk: " + k + ": " + err.Error())
			return false
		}
		return true
	}
	if read(diskInc, &c.vote.inc) && c.vote.inc != 0 {
		var v safe
		var d pledge
		read(diskB, &c.vote.promised)
		read(diskV, &v)
		read(diskD, &d)
		read(diskL, &c.list)
		var gone []protocol.Beacon
		read(diskR, &gone)
		c.recall(gone)
		c.vote.accepted, c.vote.value = v.Ballot, v.Value
		c.vote.safeB, c.vote.safeV = v.Ballot, v.Value
		c.vote.duty, c.vote.sure, c.vote.owner = d.Duty, d.Duty, d.Owner
		c.reg.hint = v.Value
		c.reg.top = max(c.vote.promised.N, v.Ballot.N)
		c.began = true
		return
	}
	// An empty or damaged disk begins a new life, which no voter set names yet.
	c.vote.inc = c.o.Inc
	c.save(map[string][]byte{diskInc: jot(c.vote.inc)}, func() { c.began = true })
}

// Acceptor.

func (c *Core) onPrepare(e protocol.Env) {
	b := e.Body.(protocol.Prepare)
	c.reg.top = max(c.reg.top, b.Ballot.N)
	if b.Ballot.Less(c.vote.promised) {
		c.reply(e, protocol.Promise{Round: b.Round, Inc: c.vote.inc, Promised: c.vote.promised})
		return
	}
	c.vote.promised = b.Ballot
	a, v := c.vote.accepted, c.vote.value
	c.save(map[string][]byte{diskB: jot(b.Ballot)}, func() {
		c.reply(e, protocol.Promise{Round: b.Round, OK: true, Inc: c.vote.inc, Promised: b.Ballot, Accepted: a, Value: v})
	})
}

func (c *Core) onAccept(e protocol.Env) {
	b := e.Body.(protocol.Accept)
	c.reg.top = max(c.reg.top, b.Ballot.N)
	if b.Ballot.Less(c.vote.promised) {
		c.reply(e, protocol.Accepted{Round: b.Round, Inc: c.vote.inc, Promised: c.vote.promised})
		return
	}
	v := b.Value
	// A voter that joins a set does not know what was pledged before it came.
	if p := c.vote.value; c.inSet(v, c.o.Me.ID, c.vote.inc) && (p == nil || !c.inSet(*p, c.o.Me.ID, c.vote.inc)) {
		c.vote.started = c.now
	}
	c.vote.promised, c.vote.accepted, c.vote.value = b.Ballot, b.Ballot, &v
	c.save(map[string][]byte{diskB: jot(b.Ballot), diskV: jot(safe{b.Ballot, &v})}, func() {
		if c.vote.safeB.Less(b.Ballot) {
			c.vote.safeB, c.vote.safeV = b.Ballot, &v
		}
		c.reply(e, protocol.Accepted{Round: b.Round, OK: true, Inc: c.vote.inc, Promised: b.Ballot})
	})
}

func alike(a, b []protocol.Voter) bool {
	if len(a) != len(b) {
		return false
	}
	for _, v := range a {
		if !seat(b, v.ID, v.Inc) {
			return false
		}
	}
	return true
}

func seat(l []protocol.Voter, id ident.Node, inc ident.Inc) bool {
	for _, v := range l {
		if v.ID == id && v.Inc == inc {
			return true
		}
	}
	return false
}

func (c *Core) onQuery(e protocol.Env) {
	b := e.Body.(protocol.Query)
	s := protocol.State{Round: b.Round, Inc: c.vote.inc, Last: c.vote.owner.ID, Prior: c.vote.owner.ID, Shy: c.ending || c.now < c.duty.shy, Blank: c.vote.safeV == nil, Accepted: c.vote.safeB}
	if c.vote.safeV != nil {
		s.Epoch, s.Shape = c.vote.safeV.Epoch, c.vote.safeV.Shape
	}
	long := c.pad(c.o.Duty)
	held := c.now < c.vote.until
	if b.Claim {
		quiet := c.now.Sub(c.vote.started) < long
		switch {
		case b.Duty == c.vote.duty && e.From.ID == c.vote.owner.ID && b.Duty != c.vote.sure:
			// The pledge is not on disk yet; the answer that follows it is under way.
		case b.Duty == c.vote.duty && e.From.ID == c.vote.owner.ID:
			c.vote.until = c.now.Add(long)
			s.Granted, held = true, true
		case b.Duty > c.vote.duty && (c.vote.owner.ID == e.From.ID || !held && !quiet):
			c.vote.duty, c.vote.owner, c.vote.until = b.Duty, e.From, c.now.Add(long)
			s.Granted, s.Duty, s.Owner = true, b.Duty, e.From
			c.save(map[string][]byte{diskD: jot(pledge{b.Duty, e.From})}, func() {
				c.vote.sure = max(c.vote.sure, b.Duty)
				c.reply(e, s)
			})
			return
		}
	}
	s.Duty = c.vote.duty
	if held {
		s.Owner = c.vote.owner
	}
	c.reply(e, s)
}

func (c *Core) pad(s clock.Span) clock.Span {
	return s + clock.Span(float64(s)*c.o.Drift) + c.o.Margin
}

func (c *Core) onFetch(e protocol.Env) {
	c.reply(e, protocol.Value{Round: e.Body.(protocol.Fetch).Round, Inc: c.vote.inc, Accepted: c.vote.safeB, Value: c.vote.safeV})
}

// Proposer.

// quorum tells whether those who said yes are a majority of the voter set, each in the life
// that the set names, and of the set before it while that one is still being left.
func quorum(v protocol.Desired, yes map[ident.Node]ident.Inc) bool {
	most := func(l []protocol.Voter) bool {
		n := 0
		for _, w := range l {
			if inc, ok := yes[w.ID]; ok && inc == w.Inc {
				n++
			}
		}
		return n > len(l)/2
	}
	return len(v.Voters) > 0 && most(v.Voters) && (len(v.Prior) == 0 || most(v.Prior))
}

func electors(v protocol.Desired) []protocol.Sibling {
	seen := map[ident.Node]bool{}
	var l []protocol.Sibling
	for _, w := range append(append([]protocol.Voter{}, v.Voters...), v.Prior...) {
		if !seen[w.ID] {
			seen[w.ID] = true
			l = append(l, w.Sibling)
		}
	}
	return l
}

func (c *Core) latest() *protocol.Desired {
	k, h := c.reg.known, c.reg.hint
	if k != nil && (h == nil || h.Shape <= k.Shape) {
		return k
	}
	return h
}

// propose queues a change; done hears of it exactly once.
func (c *Core) propose(apply func(protocol.Desired) (protocol.Desired, failure.Kind), done func(protocol.Desired, failure.Kind)) {
	if len(c.reg.queue) > 64 {
		done(protocol.Desired{}, failure.Full)
		return
	}
	c.reg.queue = append(c.reg.queue, &op{apply: apply, done: done, end: c.now.Add(4e9), phase: "wait"})
	c.stir()
}

// read queues a full read: a round that proposes what it finds, and so mends old copies.
func (c *Core) read(done func(protocol.Desired, failure.Kind)) {
	c.tally.Reads++
	c.propose(func(d protocol.Desired) (protocol.Desired, failure.Kind) { return d, failure.None }, done)
}

func (c *Core) stir() {
	r := &c.reg
	if r.op == nil && len(r.queue) > 0 {
		r.op, r.queue = r.queue[0], r.queue[1:]
	}
	o := r.op
	if o == nil || o.phase != "wait" || c.now < o.wake {
		return
	}
	set := c.latest()
	if set == nil {
		return
	}
	c.begin(o, *set)
}

func (c *Core) begin(o *op, set protocol.Desired) {
	r := &c.reg
	r.top++
	r.round++
	o.set, o.ballot, o.round = set, protocol.Ballot{N: r.top, By: c.o.Me.ID}, r.round
	o.phase, o.sent = "prepare", c.now
	o.yes, o.best, o.value = map[ident.Node]ident.Inc{}, protocol.Ballot{}, nil
	c.tally.Rounds++
	for _, p := range electors(set) {
		c.send(p, protocol.Prepare{Round: o.round, Ballot: o.ballot})
	}
}

func (c *Core) again(o *op) {
	o.fails++
	o.phase = "wait"
	back := clock.Span(20e6) << min(o.fails, 4)
	o.wake = c.now.Add(back/2 + clock.Span(c.o.Rand.Int64N(int64(back))))
	c.tally.Conflicts++
}

func (c *Core) onPromise(e protocol.Env) {
	b, o := e.Body.(protocol.Promise), c.reg.op
	c.reg.top = max(c.reg.top, b.Promised.N)
	if o == nil || o.phase != "prepare" || b.Round != o.round {
		return
	}
	if !b.OK {
		if o.ballot.Less(b.Promised) {
			c.again(o)
		}
		return
	}
	if b.Value != nil && o.best.Less(b.Accepted) {
		o.best, o.value = b.Accepted, b.Value
	}
	o.yes[e.From.ID] = b.Inc
	if !quorum(o.set, o.yes) {
		return
	}
	now := o.set // with nothing accepted anywhere, only the forming of a core proposes a first value
	if o.value != nil {
		now = *o.value
		if now.Shape >= o.set.Shape && !(alike(now.Voters, o.set.Voters) && alike(now.Prior, o.set.Prior)) {
			c.reg.hint = o.value
			c.begin(o, now)
			return
		}
	}
	o.next, o.kind = o.apply(now)
	if o.kind != failure.None {
		o.next = now
	}
	o.phase, o.sent, o.yes = "accept", c.now, map[ident.Node]ident.Inc{}
	o.risky = true
	for _, p := range electors(both(o.set, o.next)) {
		c.send(p, protocol.Accept{Round: o.round, Ballot: o.ballot, Value: o.next})
	}
}

func both(a, b protocol.Desired) protocol.Desired {
	a.Prior = append(append(append([]protocol.Voter{}, a.Prior...), b.Voters...), b.Prior...)
	return a
}

func (c *Core) onAccepted(e protocol.Env) {
	b, o := e.Body.(protocol.Accepted), c.reg.op
	c.reg.top = max(c.reg.top, b.Promised.N)
	if o == nil || o.phase != "accept" || b.Round != o.round {
		return
	}
	if !b.OK {
		if o.ballot.Less(b.Promised) {
			c.again(o)
		}
		return
	}
	o.yes[e.From.ID] = b.Inc
	if !quorum(o.set, o.yes) || !quorum(o.next, o.yes) {
		return
	}
	c.reg.op = nil
	c.learn(o.ballot, o.next)
	o.done(o.next, o.kind)
	c.stir()
}

// learn takes in a value that is known to be chosen.
func (c *Core) learn(b protocol.Ballot, v protocol.Desired) {
	r := &c.reg
	if r.known != nil && b.Less(r.at) {
		return
	}
	r.at = b
	old := r.known
	r.known = &v
	if old == nil || old.Shape != v.Shape {
		r.shaped = c.now
	}
	if r.hint != nil && r.hint.Shape <= v.Shape {
		r.hint = &v
	}
	if old == nil || old.Epoch != v.Epoch || old.Gen != v.Gen || !bytes.Equal(old.Plan, v.Plan) {
		c.planned()
		if c.duty.mine {
			c.pushAll()
		} else if o := c.duty.who; o.ID != "" && o.ID != c.o.Me.ID {
			c.send(o, protocol.Taken{Epoch: v.Epoch})
		}
	}
}

func (c *Core) onTaken(e protocol.Env) {
	if e.Body.(protocol.Taken).Epoch > c.Epoch() && c.reg.op == nil {
		c.reg.next = c.now // the next read finds it
		c.beatQuery()
	}
}

func (c *Core) beatRegister() {
	r := &c.reg
	if o := r.op; o != nil {
		switch {
		case c.now > o.end:
			r.op = nil
			k := failure.NotReady
			if o.risky {
				k = failure.Unclear
			}
			o.done(protocol.Desired{}, k)
		case o.phase != "wait" && c.now.Sub(o.sent) > 700e6:
			c.again(o)
		}
	}
	for len(r.queue) > 0 && c.now > r.queue[0].end {
		o := r.queue[0]
		r.queue = r.queue[1:]
		o.done(protocol.Desired{}, failure.NotReady)
	}
	c.stir()
	c.dropReads()
	c.beatQuery()
	c.beatForm()
	c.beatVoters()
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
	r.round++
	q := &query{round: r.round, again: true, at: c.now, yes: map[ident.Node]ident.Inc{}, grant: map[ident.Node]ident.Inc{}, acc: map[ident.Node]protocol.Ballot{}}
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
		c.compare(q)
	}
	c.saw(q)
}

func (c *Core) inSet(v protocol.Desired, id ident.Node, inc ident.Inc) bool {
	return seat(v.Voters, id, inc) || seat(v.Prior, id, inc)
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
	c.reg.heard = max(c.reg.heard, q.at)
	c.serveReads(q.at)
	if q.won {
		c.won(q)
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

// Forming of a core where every seed is blank.

func (c *Core) beatForm() {
	r := &c.reg
	if c.latest() != nil || r.op != nil || c.o.Joined && !r.force {
		return
	}
	var l []protocol.Voter
	for _, s := range c.o.Seeds {
		for _, id := range generic.SortedKeys(r.lives) {
			v := r.lives[id]
			if v.sib.Addr == s.Addr && v.state.Blank && c.now.Sub(v.at) < 2*c.o.Round+c.o.Margin {
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
		r.blank = 0
		return
	}
	if r.blank == 0 {
		r.blank, r.kept = c.now, nil
	}
	for _, m := range c.mates.Alive("agent") {
		c.send(m.Sibling, protocol.Keep{Round: uint64(r.blank)})
	}
	if c.now.Sub(r.blank) < c.o.Form {
		return
	}
	r.blank = 0
	// A generation's number is its former's disk life, so that it passes those that are lost.
	d := protocol.Desired{Gen: uint64(c.vote.inc), Voters: l, Shape: 1}
	if k := r.kept; k != nil {
		// All that was confirmed is gone but for what agents hold: the newest of it goes on,
		// under an epoch that leaps past whatever the lost core may have counted to.
		d.Gen, d.Plan, d.Empty, d.Windows, d.Epoch = max(d.Gen, k.Gen+1), k.Plan, k.Empty, k.Windows, k.Epoch+1000
		d.Shape = k.Shape + 1000
		c.oops("core disks lost: a new generation forms from an agent's copy")
	}
	r.hint = &d
	c.read(func(v protocol.Desired, k failure.Kind) {
		if k != failure.None {
			r.hint = nil
		}
	})
}

func (c *Core) onKept(e protocol.Env) {
	b, r := e.Body.(protocol.Kept), &c.reg
	if b.Value == nil || r.blank == 0 || b.Round != uint64(r.blank) {
		return
	}
	if b.Value.Newer(r.kept) {
		r.kept = b.Value
	}
}

// lift makes the generation pass one that a router still knows: a core that formed after a total
// loss, on a clock that was set back, would else be taken for an older one for ever.
func (c *Core) lift(gen uint64) {
	if c.reg.op != nil || len(c.reg.queue) > 0 {
		return
	}
	c.oops(fmt.Sprintf("a router knows generation %d, past this core's: the core goes past it", gen))
	c.propose(func(d protocol.Desired) (protocol.Desired, failure.Kind) {
		d.Gen = max(d.Gen, gen+1)
		return d, failure.None
	}, func(protocol.Desired, failure.Kind) {})
}

// Changes of the voter set: a voter in a new life is admitted again, a voter long gone is
// replaced by a spare, and the set before is left once the new one has settled.
func (c *Core) beatVoters() {
	r := &c.reg
	if !c.duty.mine || r.known == nil || r.op != nil || len(r.queue) > 0 {
		return
	}
	k := *r.known
	if len(k.Prior) > 0 {
		// An owner that the set before still held on to must have lapsed before that set is left.
		if c.now.Sub(r.shaped) > c.pad(c.o.Duty) {
			c.reshape(k, nil)
		}
		return
	}
	var spare []protocol.Voter
	for _, m := range c.mates.Alive("controller") {
		s, ok := r.lives[m.ID]
		if ok && c.now.Sub(s.at) < 3*c.o.Round && !sits(k.Voters, m.ID) {
			spare = append(spare, protocol.Voter{Sibling: m.Sibling, Zone: m.Zone, Inc: s.state.Inc})
		}
	}
	for i, v := range k.Voters {
		s, ok := r.lives[v.ID]
		live := ok && c.now.Sub(s.at) < 4*c.o.Round
		if live {
			delete(r.gone, v.ID)
			if s.state.Inc != v.Inc || s.sib.Addr != v.Addr {
				n := v
				n.Inc, n.Sibling = s.state.Inc, s.sib
				c.reshape(k, swap(k.Voters, i, n))
				return
			}
			continue
		}
		if r.gone[v.ID] == 0 {
			r.gone[v.ID] = c.now
		}
		if c.now.Sub(r.gone[v.ID]) > c.o.Spare && len(spare) > 0 {
			n := spare[0]
			for _, x := range spare {
				if x.Zone == v.Zone {
					n = x
					break
				}
			}
			c.reshape(k, swap(k.Voters, i, n))
			return
		}
	}
	// A set that formed of the seeds may be too small for what is to be borne at once.
	if len(k.Voters) < c.o.Voters && len(spare) > 0 {
		c.reshape(k, swap(append(append([]protocol.Voter{}, k.Voters...), protocol.Voter{}), len(k.Voters), spare[0]))
		return
	}
	c.sweep()
}

func sits(l []protocol.Voter, id ident.Node) bool {
	for _, v := range l {
		if v.ID == id {
			return true
		}
	}
	return false
}

func swap(l []protocol.Voter, i int, n protocol.Voter) []protocol.Voter {
	m := append([]protocol.Voter{}, l...)
	m[i] = n
	sort.Slice(m, func(i, j int) bool { return m[i].ID < m[j].ID })
	return m
}

// reshape moves to a new voter set in two changes: first both sets rule together, then
// (with no set given) the one before is left.
func (c *Core) reshape(from protocol.Desired, to []protocol.Voter) {
	shape := from.Shape
	c.propose(func(d protocol.Desired) (protocol.Desired, failure.Kind) {
		if d.Shape != shape || (to == nil) != (len(d.Prior) > 0) {
			return d, failure.Conflict
		}
		if to != nil {
			d.Prior, d.Voters = d.Voters, to
		} else {
			d.Prior = nil
		}
		d.Shape++
		return d, failure.None
	}, func(_ protocol.Desired, k failure.Kind) {
		if k == failure.None && to != nil {
			c.tally.Admit++
			c.note("voter set changed")
		}
	})
}
