package router

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"sort"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// End is how a go ended.
type End string

// The ways a go ends.
const (
	Pending End = ""        // it has not
	Kept    End = "kept"    // the hold or the entry was gone when it was to be sent
	Unsent  End = "unsent"  // the server was not reached
	Dropped End = "dropped" // the server dropped it
	Lost    End = "lost"    // nothing is known of it
	Split   End = "split"   // its stream broke off
	Done    End = "done"
)

// Go is one try in a request's ledger.
type Go struct {
	Server ident.Server
	Inc    ident.Inc
	How    End
	Kind   failure.Kind
	Begun  bool

	at     clock.Tick // when it was launched
	weight int        // tokens that it still counts for at its server
	ahead  int        // and those that were under way there before it
}

// Stages of a request.
const (
	Waiting = "waiting"
	Going   = "going"
	Flowing = "flowing"
	Closed  = "closed"
)

type req struct {
	Call
	key   ident.Key
	class fleetplan.Class
	came  clock.Tick
	due   clock.Tick // it waits here until then
	end   clock.Tick // and its answer is over by then
	goes  []Go
	stage string
	owes  clock.Tick // since when its next go is a retry that is not paid for yet
	doubt bool       // the plan in force allows it not, but that plan may be old
	first bool       // its first arrival was counted
	route *fleetplan.Route
}

// again tells whether the request may run a second time.
func (r *req) again() bool {
	return r.Call.Call.Again || r.route != nil && (r.route.Mode == fleetplan.Idempotent || r.route.Resume)
}

// begun tells whether anything of its answer has come.
func (r *req) begun() bool {
	for _, g := range r.goes {
		if g.Begun {
			return true
		}
	}
	return false
}

// resumes tells whether its stream may be taken up at another server.
func (r *req) resumes() bool { return r.route != nil && r.route.Resume }

type tag struct{}

// The life of a request.
var stages = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) { return c.Value(tag{}).(*req).stage, nil },
		func(c context.Context, s stateless.State) error {
			c.Value(tag{}).(*req).stage = s.(string)
			return nil
		}, stateless.FiringImmediate)
	s.Configure(Waiting).Permit("launch", Going).Permit("close", Closed)
	s.Configure(Going).Permit("begin", Flowing).Permit("back", Waiting).Permit("close", Closed)
	s.Configure(Flowing).Permit("back", Waiting).Permit("close", Closed)
	s.Configure(Closed).Ignore("close")
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

func (r *req) fire(what string) bool {
	was := r.stage
	_ = stages.FireCtx(context.WithValue(context.Background(), tag{}, r), what)
	return r.stage != was
}

// move is what comes next for a request.
type move struct {
	again bool         // wait for another go
	pay   bool         // which comes out of the allowance, or there is none
	owe   bool         // which waits until the allowance bears it
	kind  failure.Kind // the answer, when there is no other go
}

// patience is how long a go after a failed dial waits for the allowance: at night there may be
// none, and no server has been bothered yet.
const patience = clock.Span(1e9)

// What follows each end of a go, for requests that may not and that may be repeated.
var moves = map[End][2]move{
	Pending: {{again: true}, {again: true}},
	Kept:    {{again: true}, {again: true}},
	Unsent:  {{again: true, owe: true}, {again: true, owe: true}},
	Dropped: {{again: true, pay: true}, {again: true, pay: true}},
	Lost:    {{kind: failure.Unclear}, {again: true, pay: true}},
	Split:   {{kind: failure.Cut}, {kind: failure.Cut}},
	Done:    {{}, {}},
}

// next derives the next move from the ledger alone.
func (r *req) next(most int) move {
	if len(r.goes) == 0 {
		return move{again: true}
	}
	g := r.goes[len(r.goes)-1]
	m := moves[g.How][b2i(r.again())]
	if g.How == Dropped && g.Kind == failure.Repeated {
		return move{kind: failure.Repeated} // another server would run it a second time
	}
	if g.Begun && g.How == Lost {
		m = moves[Split][0]
	}
	if g.How == Split && r.resumes() {
		m = move{again: true, pay: true}
	}
	if r.route != nil {
		most = r.route.Tries
	}
	sent := 0
	for _, g := range r.goes {
		if g.How != Kept && g.How != Unsent {
			sent++
		}
	}
	if m.again && sent >= most {
		if g.How == Dropped && g.Kind == failure.Mismatch {
			return move{kind: failure.Moved} // what was known of the server was old: it is asked anew at once
		}
		return move{kind: failure.NotReady}
	}
	return m
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *Core) allowed(r *req) failure.Kind {
	if c.plan == nil {
		return failure.None // no plan is known yet: it waits, but is sent nowhere
	}
	m, why := c.plan.Match(r.Call.Call.Query(r.Route))
	if why == failure.None && m.Key != r.key {
		return failure.Moved // the plan sends it elsewhere now
	}
	return why
}

// admit takes a request's class and horizon from the plan. While no plan is known that surely
// rules, a request may wait a while for one, but is sent nowhere and turned away by none.
func (c *Core) admit(r *req) failure.Kind {
	r.class = fleetplan.Class{Value: 1, Wait: 5e9}
	r.doubt = c.plan == nil
	if c.plan != nil {
		m, why := c.plan.Match(r.Call.Call.Query(r.Route))
		switch {
		case why == failure.None:
			r.class, r.key, r.route = m.Class, m.Key, m.Route
		case c.holds():
			return why
		default:
			r.doubt = true // without a hold the plan may be old: a newer one may allow it
		}
	}
	r.due = r.came.Add(r.class.Wait)
	if w := r.Call.Call.Wait; w > 0 && w < r.class.Wait {
		r.due = r.came.Add(w)
	}
	r.end = r.due
	if q := r.class.Quit; q > 0 && !r.begun() {
		r.due = min(r.due, r.came.Add(q))
	}
	return failure.None
}

// resolve looks anew at every request in line, under the plan now in force.
func (c *Core) resolve(all bool) {
	for _, k := range generic.SortedKeys(c.lines) {
		for _, r := range append([]*req{}, c.lines[k]...) {
			if !all && !r.doubt {
				continue
			}
			c.leave(r)
			if why := c.admit(r); why != failure.None {
				c.rest(r)
				c.finish(r, why, 0)
				continue
			}
			c.rest(r)
		}
	}
}

func (c *Core) onCall(v Call) {
	c.tally.Calls++
	r := &req{Call: v, came: c.now.Add(-v.Age), stage: Waiting, key: ident.KeyOf(v.Call.Base, v.Call.Extra)}
	c.reqs[v.Ref] = r
	if why := c.admit(r); why != failure.None {
		c.finish(r, why, 0)
		return
	}
	if v.Call.Wait < 0 {
		c.finish(r, failure.PastDue, 0)
		return
	}
	if v.Call.Repeat {
		c.tally.Repeats++
		if !c.pay() {
			c.finish(r, failure.Spent, 0)
			return
		}
	}
	c.came[r.key]++
	if c.o.Free {
		c.loads[r.key] += c.loadOf(r)
	}
	if e := c.entries[r.key]; e != nil && e.held && c.holds() && len(e.Replicas) > 0 && !c.o.Check {
		c.tally.Hits++
	}
	if c.o.Check && c.entries[r.key] != nil {
		c.entries[r.key].held = false
	}
	if !c.join(r) {
		return
	}
	c.serve(r.key)
	if r.stage == Waiting {
		c.tally.Waited++
	}
}

// pay takes one retry out of the allowance, which first goes fill.
func (c *Core) pay() bool {
	sum, left := 0.0, 1.0
	c.lapse()
	for _, x := range c.bank {
		sum += x.n
	}
	if sum < 1 {
		return c.borrow()
	}
	for i := range c.bank {
		n := min(left, c.bank[i].n)
		c.bank[i].n -= n
		left -= n
	}
	return true
}

// borrow takes one of the arrivals that the fleet is lent whatever it earned; this router has its share.
func (c *Core) borrow() bool {
	for len(c.lent) > 0 && c.now.Sub(c.lent[0]) > c.o.Window {
		c.lent = c.lent[1:]
	}
	if float64(len(c.lent)+1) > c.o.Lend/float64(max(1, c.routers)) {
		return false
	}
	c.lent = append(c.lent, c.now)
	return true
}

// earn adds what a first go earns, which does not last.
func (c *Core) earn() {
	if n := len(c.bank); n == 0 || c.now.Sub(c.bank[n-1].at) > c.o.Save/20 {
		c.bank = append(c.bank, coin{at: c.now})
	}
	c.bank[len(c.bank)-1].n += c.o.Share
	c.lapse()
}

// lapse lets go of what was earned too long ago.
func (c *Core) lapse() {
	for len(c.bank) > 0 && c.now.Sub(c.bank[0].at) > c.o.Save {
		c.bank = c.bank[1:]
	}
}

// join puts a request in line. A full line lets go of what is worth least.
func (c *Core) join(r *req) bool {
	for len(c.lines[r.key]) >= c.o.Line || c.wait >= c.o.Queue {
		low := r
		for _, k := range generic.SortedKeys(c.lines) {
			if len(c.lines[r.key]) >= c.o.Line && k != r.key {
				continue
			}
			for _, x := range c.lines[k] {
				if x.class.Value < low.class.Value || x.class.Value == low.class.Value && low != r && x.came > low.came {
					low = x
				}
			}
		}
		c.finish(low, failure.Full, 0)
		if low == r {
			return false
		}
	}
	c.rest(r)
	return true
}

// rest puts a request at its place in its line: the most valuable first, then the most urgent.
func (c *Core) rest(r *req) {
	l := c.lines[r.key]
	i := sort.Search(len(l), func(i int) bool {
		return l[i].class.Value < r.class.Value || l[i].class.Value == r.class.Value && l[i].due > r.due
	})
	l = append(l, nil)
	copy(l[i+1:], l[i:])
	l[i] = r
	c.lines[r.key] = l
	c.wait++
}

func (c *Core) leave(r *req) {
	l := c.lines[r.key]
	for i, x := range l {
		if x == r {
			c.wait--
			l = append(l[:i:i], l[i+1:]...)
			break
		}
	}
	if len(l) == 0 {
		delete(c.lines, r.key)
		return
	}
	c.lines[r.key] = l
}

// finish closes a request with its final answer.
func (c *Core) finish(r *req, k failure.Kind, back clock.Span) {
	if r.stage == Waiting {
		c.leave(r)
	}
	r.fire("close")
	delete(c.reqs, r.Ref)
	if k == failure.None {
		c.tally.Receipts++
		return
	}
	if failure.Receipts[k].Dropped && r.ran() {
		k = failure.Unclear // a drop would say that it never ran
	}
	a := failure.Receipts[k]
	if back == 0 {
		back = a.Back
	}
	c.tally.Drops[k]++
	if a.Dropped {
		c.tally.Dropped++
	}
	c.out = append(c.out, Receipt{Ref: r.Ref, Kind: k, Back: back})
}

// pump serves every line, the most valuable first.
func (c *Core) pump() {
	l := generic.SortedKeys(c.lines)
	sort.SliceStable(l, func(i, j int) bool { return c.lines[l[i]][0].class.Value > c.lines[l[j]][0].class.Value })
	for _, k := range l {
		c.serve(k)
	}
}

// serve launches what waits for a key while the promise on it holds and servers have room.
func (c *Core) serve(k ident.Key) {
	for i := 0; i < len(c.lines[k]); {
		r, e := c.lines[k][i], c.entries[k]
		if r.doubt {
			return
		}
		if c.now >= r.due {
			c.finish(r, failure.Expired, 0)
			continue
		}
		if e == nil || !e.held {
			c.want(k)
		}
		if !c.usable(e) {
			return
		}
		e.used = c.now
		if e.Never {
			c.finish(r, failure.NotReady, 5e9) // given up on, so told at once
			continue
		}
		if back := e.got.Add(e.Soon).Sub(c.now); e.Soon > 0 && len(e.Replicas) == 0 && c.now.Add(back) > r.due {
			c.finish(r, failure.NotReady, back) // its turn can't come in time: told at once, and when it may
			continue
		}
		p := c.pick(e, r)
		switch {
		case p == nil && !r.again():
			i++ // it waits for one server; others behind it may go to another
		case p == nil:
			return
		case r.owes != 0 && c.now.Sub(r.owes) < patience && !c.pay():
			i++
		default:
			r.owes = 0
			c.launch(r, p)
		}
	}
}

// want asks for an entry, with the mark of the copy that is suspect, if there is one.
func (c *Core) want(k ident.Key) {
	e := c.entries[k]
	if e == nil {
		e = &entry{Entry: protocol.Entry{Key: k}, used: c.now}
		c.entries[k] = e
	}
	if e.asking && c.now.Sub(e.asked) < 400e6 || c.ses.N == 0 {
		return
	}
	e.asking, e.asked = true, c.now
	c.tally.Lookups++
	w := protocol.Want{Session: c.ses, Key: k, Waiting: len(c.lines[k]), Value: c.lines[k][0].class.Value}
	if len(e.Replicas) > 0 {
		w.Mark = e.Mark
	}
	c.send(w)
}

func (c *Core) seat(s ident.Server) *bench {
	b := c.bench[s]
	if b == nil {
		b = &bench{keys: map[ident.Key]int{}}
		c.bench[s] = b
	}
	return b
}

// caps tells how much this router may have under way at a replica: its share of the server,
// and of a cold replica only a part that grows.
func (c *Core) caps(e *entry, p *protocol.Replica) (all, cold int) {
	n := math.Ceil(2 * float64(p.Slots) / float64(max(1, c.routers)))
	all = max(1, int(n))
	age := p.Warm + c.now.Sub(e.got)
	if age >= c.o.Ramp {
		return all, all
	}
	return all, max(1, int(n*float64(age)/float64(c.o.Ramp)))
}

// rank orders replicas for a request the same way at every router.
func rank(r *req, s ident.Server, parts bool, heads int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, s, "|", r.key.Base())
	if parts = parts && len(r.Call.Call.Parts) > 0; !parts {
		fmt.Fprint(h, "|", r.Call.Call.ID)
	}
	for i, p := range r.Call.Call.Parts {
		if parts && (heads == 0 || i < heads) {
			fmt.Fprint(h, "|", p)
		}
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// bound finds the one replica that a request which may not be repeated goes to, by its id: the same at
// every router, so that a server that ran it knows it when it is asked for again. Only one that
// this request could not reach twice is passed over.
func (c *Core) bound(e *entry, r *req) *protocol.Replica {
	var top *protocol.Replica
	high := uint64(0)
	for i := range e.Replicas {
		p := &e.Replicas[i]
		lost := 0
		for _, g := range r.goes {
			if g.Server == p.Server && g.How == Unsent {
				lost++
			}
		}
		if c.empty[p.Zone] || lost >= 2 {
			continue
		}
		if n := rank(r, p.Server, false, 0); top == nil || n > high {
			top, high = p, n
		}
	}
	return top
}

// pick chooses a replica: by rendezvous hash over the prompt's shared parts, as long as the
// one it names is not burdened beyond its fair share; otherwise the least burdened.
func (c *Core) pick(e *entry, r *req) *protocol.Replica {
	if c.o.Free {
		return c.weigh(e, r)
	}
	var l []*protocol.Replica
	var only *protocol.Replica
	if !r.again() && !c.o.Free {
		if only = c.bound(e, r); only == nil {
			return nil
		}
	}
	sum, slots := 0, 0
	for i := range e.Replicas {
		p := &e.Replicas[i]
		b := c.seat(p.Server)
		if only != nil && only != p {
			continue
		}
		if c.empty[p.Zone] || c.now < b.avoid {
			continue
		}
		all, cold := c.caps(e, p)
		if b.work >= all || b.keys[r.key] >= cold {
			continue
		}
		sum += b.work
		slots += max(1, p.Slots)
		l = append(l, p)
	}
	if len(l) == 0 {
		return nil
	}
	hash := len(r.Call.Call.Parts) > 0 && !c.o.Plain
	// Burdens are weighed by what servers can do at once.
	part := func(p *protocol.Replica) float64 { return float64(c.seat(p.Server).work) / float64(max(1, p.Slots)) }
	fair := 1.25 * float64(sum) / float64(slots)
	fits := func(p *protocol.Replica) bool { return part(p) <= fair+1/float64(max(1, p.Slots)) }
	sort.SliceStable(l, func(i, j int) bool {
		a, b := part(l[i]), part(l[j])
		if hash {
			if fa, fb := fits(l[i]), fits(l[j]); fa != fb {
				return fa
			} else if fa {
				return rank(r, l[i].Server, hash, c.o.Heads) > rank(r, l[j].Server, hash, c.o.Heads)
			}
		}
		if a != b {
			return a < b
		}
		return rank(r, l[i].Server, hash, c.o.Heads) > rank(r, l[j].Server, hash, c.o.Heads)
	})
	return l[0]
}

func (c *Core) launch(r *req, p *protocol.Replica) {
	c.leave(r)
	r.fire("launch")
	b := c.seat(p.Server)
	r.goes = append(r.goes, Go{Server: p.Server, Inc: p.Inc, at: c.now, weight: r.weight(), ahead: b.under()})
	n := len(r.goes)
	b.work++
	b.tokens += r.weight()
	b.memory += r.memory()
	c.sent(r)
	b.keys[r.key]++
	c.work[r.key]++
	x := r.Call.Call
	c.out = append(c.out, Launch{Ref: r.Ref, N: n, Server: p.Server, Addr: p.Addr, Work: protocol.Work{
		Go: fmt.Sprintf("%s-%d-%d-%d", c.o.Me.ID, c.o.Inc, r.Ref, n), ID: x.ID, Base: x.Base, Extra: x.Extra,
		Inc: p.Inc, Parts: x.Parts, Prompt: x.Prompt, Max: x.Max, Once: !x.Again,
	}, Left: r.end.Sub(c.now), Rank: c.plan.Rank(r.class.Value), Again: r.again(), Resume: r.resumes()})
}

// MaySend is asked at the very point of sending: the hold must still run, the callback must
// still be on the entry, and the entry must still name the server.
func (c *Core) MaySend(now clock.Tick, ref Ref, n int) bool {
	c.now = now
	r := c.reqs[ref]
	if r == nil || r.stage != Going || n != len(r.goes) {
		return false
	}
	g := &r.goes[n-1]
	if !c.stands(r, g) {
		c.tally.SendsHeld++
		return false
	}
	first := true
	for _, x := range r.goes[:n-1] {
		first = first && (x.How == Kept || x.How == Unsent)
	}
	switch {
	case first && r.first: // nothing of it has left yet
	case first:
		r.first = true
		c.tally.Firsts++
		if !r.Call.Call.Repeat {
			c.earn()
		}
	default:
		c.tally.Retries++
	}
	return true
}

func (c *Core) stands(r *req, g *Go) bool {
	e := c.entries[r.key]
	if !c.usable(e) || c.plan == nil || c.allowed(r) != failure.None {
		return false
	}
	for _, p := range e.Replicas {
		if p.Server == g.Server && p.Inc == g.Inc && !c.empty[p.Zone] {
			return true
		}
	}
	return false
}

func (c *Core) onBegun(v Begun) {
	r := c.reqs[v.Ref]
	if r == nil || v.N != len(r.goes) || !r.fire("begin") {
		return
	}
	g := &r.goes[v.N-1]
	g.Begun = true
	b := c.seat(g.Server)
	b.fails = 0
	if c.o.Free && !r.key.Plain() {
		c.pace(r, g)
		left := min(g.weight, r.Call.Call.Max, mostOut) // the prompt is read
		b.tokens -= g.weight - left
		g.weight = left
	}
}

// release takes a go's burden off its server.
func (c *Core) release(r *req, g *Go) *bench {
	b := c.seat(g.Server)
	b.work--
	b.tokens -= g.weight
	b.memory -= r.memory()
	if b.keys[r.key]--; b.keys[r.key] <= 0 {
		delete(b.keys, r.key)
	}
	if c.work[r.key]--; c.work[r.key] <= 0 {
		delete(c.work, r.key)
	}
	return b
}

func (c *Core) onEnded(v Ended) {
	r := c.reqs[v.Ref]
	if r == nil || v.N != len(r.goes) || r.goes[v.N-1].How != Pending {
		return
	}
	g := &r.goes[v.N-1]
	g.How, g.Kind = v.How, v.Kind
	if g.Begun && v.How == Lost {
		g.How = Split
	}
	b := c.release(r, g)
	c.mark(r, g, b)
	m := r.next(c.o.Goes)
	switch {
	case m.again && m.pay && !c.pay():
		c.finish(r, failure.Spent, 0)
	case m.again && c.now >= r.due:
		c.finish(r, failure.Expired, 0)
	case m.again:
		r.fire("back")
		if m.owe {
			r.owes = c.now
		}
		if why := c.admit(r); why != failure.None { // the plan may have changed under way
			c.rest(r)
			c.finish(r, why, 0)
			break
		}
		c.join(r)
	default:
		c.finish(r, m.kind, 0)
	}
	c.pump()
}

// ran tells whether any go so far may have run.
func (r *req) ran() bool {
	for _, g := range r.goes {
		if g.How == Lost || g.How == Split {
			return true
		}
	}
	return false
}

// mark draws what an end says about the server and the entry.
func (c *Core) mark(r *req, g *Go, b *bench) {
	back := func() {
		b.fails++
		b.avoid = c.now.Add(clock.Span(50e6) << min(b.fails, 5))
	}
	switch g.How {
	case Unsent:
		c.tally.Unsent++
		back()
	case Dropped:
		c.tally.Declined++
		back()
		if g.Kind != failure.Busy {
			if e := c.entries[r.key]; e != nil {
				e.held = false // what it says is in doubt: it is checked before it is used again
			}
		}
	case Lost:
		c.tally.Lost++
		back()
	case Split:
		c.tally.Cuts++
	case Done:
		b.fails = 0
	}
}

func (c *Core) onQuit(v Quit) {
	r := c.reqs[v.Ref]
	if r == nil {
		return
	}
	c.tally.Quit++
	if r.stage == Waiting {
		c.leave(r)
	} else if n := len(r.goes); n > 0 && r.goes[n-1].How == Pending {
		c.release(r, &r.goes[n-1])
		r.goes[n-1].How = Done
	}
	r.fire("close")
	delete(c.reqs, v.Ref)
	c.pump()
}
