package controller

import (
	"math"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Placement by weight: what a key is worth at a server is what it would cost to be without it. Busy
// bases get as many replicas as their work asks for; all other room keeps as many different keys as it
// holds, and what is let go is what will be missed least for the time that it takes to be back.

const (
	sumEvery   = 250e6
	nowSpan    = 1.2  // seconds that the work of just now looks back
	lateSpan   = 4.0  // and that of late
	slowSpan   = 20.0 // and the longer ones
	goodLoad   = 0.4  // of a server's time that one key's replica should take
	fullLoad   = 0.6  // past which another replica is worth a rarer key's only one
	riseTrust  = 0.5  // of a rise that is taken to go on
	goodBatch  = 0.15 // of a server's places that one key's requests should take
	warmPart   = 0.25 // of a load's time that it takes from a server's own disk
	busyRate   = 1.0  // requests a second from which on a base is busy
	seedEvery  = 300e6
	weighEvery = 20e6
	weighMany  = 200 // models and adapters
	firstSpan  = 4e9
	drainSpan  = 800e6 // what was sent to a server may begin there for so long before a model is unloaded
	orderLag   = 400e6 // from an order's end until routers know of it
	longAge    = 3.0   // seconds of waiting from which on it counts for no more
	crowded    = 6000  // tokens under way at a server from which on others are better
	freshSpan  = 1500e6

	renewalSpan = 400e6 // within which a router's renewal shows what its lookup told: two of its intervals
)

// came takes in what a router was asked for since its last renewal.
func (c *Core) came(k ident.Key, u protocol.Burden) {
	if c.asked == 0 && u.Came > 0 {
		c.asked = c.now
	}
	if n := c.demand[k]; n != nil {
		n.came += float64(u.Came)
		n.took += u.Load
	}
}

// sumDemand turns what came into rates.
func (c *Core) sumDemand() {
	d := c.now.Sub(c.summed)
	if d < sumEvery {
		return
	}
	c.summed = c.now
	t := math.Min(d.Seconds(), 2)
	late, slow := 1-math.Exp(-t/lateSpan), 1-math.Exp(-t/slowSpan)
	for _, n := range c.demand {
		n.rate += (n.came/t - n.rate) * late
		n.slow += (n.came/t - n.slow) * slow
		n.load += (n.took/t - n.load) * late
		n.now += (n.took/t - n.now) * (1 - math.Exp(-t/nowSpan))
		n.came, n.took = 0, 0
	}
}

// count takes in what a link's router has under way at servers, in place of what it had.
func (c *Core) count(l *link, seats map[ident.Server]int) {
	for s, n := range l.seats {
		if c.seats[s] -= n; c.seats[s] <= 0 {
			delete(c.seats, s)
		}
	}
	for s, n := range seats {
		c.seats[s] += n
	}
	l.seats = seats
}

// seatsOf tells what all routers have under way at the servers that a link's entries name.
func (c *Core) seatsOf(l *link) map[ident.Server]int {
	if !c.o.Unfenced {
		return nil
	}
	m := map[ident.Server]int{}
	for k := range l.holds {
		if e := c.entries[k]; e != nil {
			for _, r := range e.replicas {
				if n := c.seats[r.rep.Server]; n > 0 {
					m[r.rep.Server] = n
				}
			}
		}
	}
	return m
}

// coming forecasts a key's work by when a load that begins now is done: what rises goes on rising for
// a while, what falls is trusted to fall more slowly.
func (n *need) coming() float64 { return math.Max(n.load, n.now+(n.now-n.load)*riseTrust) }

// age is how many seconds somebody has waited for a key, as far as they count.
func (n *need) age(now clock.Tick) float64 {
	if n.since == 0 {
		return 0
	}
	return math.Min(now.Sub(n.since).Seconds(), longAge)
}

// family is a base with all of its adapters, as placement sees it.
type family struct {
	m     fleetplan.Model
	live  int
	load  float64
	rate  float64
	slow  float64
	wait  int
	work  int     // under way or waiting, at all routers
	line  int     // waiting, at all routers
	age   float64 // seconds that somebody has waited
	value int
	rank  int // of the value among those of the plan: 0 comes first
	want  int
	spare bool // nobody asks for it: it takes no room from what somebody may ask for
}

func (c *Core) families() map[ident.Key]*family {
	l := map[ident.Key]*family{}
	for k, m := range c.plan.Models {
		if !k.IsAdapter() {
			l[k] = &family{m: m}
		}
	}
	for k, n := range c.demand {
		f := l[k.Base()]
		if f == nil {
			continue
		}
		f.load += n.coming()
		f.slow += n.slow
		f.rate += n.rate
		if c.now.Sub(n.at) < freshSpan && n.wait > 0 {
			f.wait = max(f.wait, n.wait)
			f.value = max(f.value, n.value)
			f.age = math.Max(f.age, n.age(c.now))
		}
	}
	for _, x := range c.links {
		for k, u := range x.burden {
			if f := l[k.Base()]; f != nil {
				f.work += u.Work + u.Wait
				f.line += u.Wait
			}
		}
	}
	for _, s := range c.servers {
		if !c.stays(s) {
			continue
		}
		for k, p := range s.spots {
			if f := l[k]; f != nil && (p.stage == Ordered || p.stage == Ready) {
				f.live++
			}
		}
	}
	young := c.asked == 0 || c.now.Sub(c.asked) < firstSpan
	for _, f := range l {
		if young && f.live > 1 {
			// What is asked for is not known yet: how many replicas there are tells what was meant to be busy.
			f.load = math.Max(f.load, goodLoad*float64(f.live))
		}
		good := float64(max(1, c.plan.Services[f.m.Key.Service()].Slots)) * goodBatch
		f.want = min(max(f.m.Floor, int(math.Ceil(f.load/goodLoad)), int(float64(f.work)/good+0.5)), f.m.Most)
		f.wait, f.rank = max(f.wait, f.line), c.plan.Rank(f.value)
		if f.wait > 0 {
			f.want = max(f.want, 1)
		}
	}
	return l
}

// gain is what one more replica is worth: the requests that wait for it, and those that come while it
// is being loaded, as far as they could not be served well without.
func (f *family) gain() float64 {
	if f.spare {
		return 0.5
	}
	weight := 2 / float64(1+f.rank)
	if f.live == 0 {
		return (float64(f.wait)+f.age)*weight + 2*f.rate
	}
	part := func(bears float64) float64 {
		return math.Max(0, 1-float64(f.live)*bears/math.Max(f.load, 1e-9))
	}
	return f.rate * (part(goodLoad) + part(fullLoad))
}

// loadOf sums the work of what a server holds, as its replicas share it.
func (c *Core) loadOf(s *server, l map[ident.Key]*family) float64 {
	sum := 0.0
	for k, p := range s.spots {
		if f := l[k]; f != nil && (p.stage == Ready || p.stage == Ordered) {
			sum += f.load / float64(max(1, f.live))
		}
	}
	return sum
}

// weighAll places what is asked for.
func (c *Core) weighAll(rate int) {
	// The more there is to look at, the more seldom: a load takes seconds anyhow.
	if c.now.Sub(c.weighed) < weighEvery*clock.Span(1+len(c.plan.Models)/weighMany) {
		return
	}
	c.weighed = c.now
	l := c.families()
	once, _ := c.budget()
	for _, s := range c.servers {
		for k, p := range s.spots {
			if p.stage == Ordered && !k.IsAdapter() && !c.sure(s, k) && (!s.dark || c.now.Sub(p.since) < 60e9) {
				once--
				if p.num == 0 {
					rate-- // it begins before long
				}
			}
		}
	}
	store := min(once, rate)
	for _, id := range generic.SortedKeys(c.servers) {
		c.undo(c.servers[id])
	}
	var todo []*family
	for _, k := range generic.SortedKeys(l) {
		f := l[k]
		if f.live < f.want {
			todo = append(todo, f)
		}
	}
	sort.SliceStable(todo, func(i, j int) bool {
		a, b := todo[i], todo[j]
		if x, y := a.gain(), b.gain(); x != y {
			return x > y
		}
		return a.value > b.value
	})
	c.line = map[ident.Key]int{}
	for _, f := range todo {
		if c.placeAt(f, l, store > 0) {
			store--
		}
		if f.live == 0 {
			c.line[f.m.Key] = len(c.line) + 1
		}
	}
	if c.o.Warm && len(todo) == 0 && store > 1 {
		c.seed(l)
	}
	c.weighAdapters(l)
}

// undo gives up placements for which a server turns out to have no room, and nothing is on its way out.
func (c *Core) undo(s *server) {
	crowd := s.places > 0 && s.adapters() > s.places
	if s.plain || s.used() <= s.room && !crowd || !s.known {
		return
	}
	for _, p := range s.spots {
		if p.stage == Breaking || p.stage == Draining || p.stage == Unloading {
			return
		}
	}
	for _, k := range generic.SortedKeys(s.spots) {
		if p := s.spots[k]; p.stage == Ordered && p.num == 0 {
			delete(s.spots, k)
		}
	}
}

// seed loads, while the store has nothing better to do, a model that no server has on its own disk:
// from there it comes in a part of the time, and asks nothing of the store.
func (c *Core) seed(l map[ident.Key]*family) {
	if c.now.Sub(c.seeded) < seedEvery {
		return
	}
	c.seeded = c.now
	for _, k := range generic.SortedKeys(l) {
		f := l[k]
		if f.live > 0 {
			continue
		}
		known := false
		for _, s := range c.servers {
			known = known || c.has(s, k)
		}
		if !known {
			f.spare = true
			c.placeAt(f, l, true)
			return
		}
	}
}

// placeAt finds the server where one more replica of a family costs least, and begins it there; what
// must make way is broken first. It tells whether the load comes from the store, which is only asked if
// it bears another one.
func (c *Core) placeAt(f *family, l map[ident.Key]*family, store bool) bool {
	var best *server
	var gone []*spot
	cost := math.Inf(1)
	_, _, zones := c.live(f.m.Key)
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, f.m.Key) || s.room < f.m.Size {
			continue
		}
		free := s.room - s.used()
		if s.pending() > 0 && free < f.m.Size {
			continue // what is under way there comes first
		}
		if !store && !c.sure(s, f.m.Key) {
			continue
		}
		n := f.m.Load.Seconds()
		if c.has(s, f.m.Key) {
			n *= warmPart
		}
		n += float64(s.pending()) * 1.5
		n += 4 * c.loadOf(s, l)
		if zones[s.Zone] {
			n += 0.2
		}
		var out []*spot
		if free < f.m.Size {
			var price float64
			out, price = c.makeWay(s, f, l, f.m.Size-free)
			if out == nil || price > f.gain() {
				continue
			}
			n += price + 0.5
		}
		if n < cost {
			best, gone, cost = s, out, n
		}
	}
	if best == nil {
		return false
	}
	c.evictAll(best, gone, l)
	best.spots[f.m.Key] = &spot{key: f.m.Key, size: f.m.Size, stage: Ordered, since: c.now}
	f.live++
	return !c.sure(best, f.m.Key)
}

// pending counts the orders that a server still has to carry out.
func (s *server) pending() int {
	n := 0
	for _, p := range s.spots {
		if p.stage != Ready {
			n++
		}
	}
	return n
}

// makeWay lists what is cheapest to let go of a server for a family, and what it will cost: the
// requests that will miss it, for the time that it takes to be back.
func (c *Core) makeWay(s *server, f *family, l map[ident.Key]*family, size int) ([]*spot, float64) {
	type way struct {
		p    *spot
		cost float64
	}
	var ways []way
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if k.IsAdapter() || p.stage != Ready || c.now.Sub(p.ready) < freshSpan || c.shifts[k] != nil || k == f.m.Key.Base() {
			continue
		}
		g := l[k]
		if g == nil {
			ways = append(ways, way{p, 0})
			continue
		}
		if g.live <= g.m.Floor || g.wait > 0 && g.live <= g.want || f.spare && (g.live > 1 || g.slow > 0.05 || !c.has(s, k)) {
			continue
		}
		n := c.miss(g)
		ways = append(ways, way{p, n})
	}
	sort.SliceStable(ways, func(i, j int) bool {
		return ways[i].cost*float64(ways[j].p.size) < ways[j].cost*float64(ways[i].p.size)
	})
	var out []*spot
	sum := 0.0
	for _, w := range ways {
		if size <= 0 {
			break
		}
		out = append(out, w.p)
		size -= c.weightOn(s, w.p)
		sum += w.cost
	}
	if size > 0 {
		return nil, 0
	}
	return out, sum
}

// evictAll begins to take replicas off a server, and counts them out of their families.
func (c *Core) evictAll(s *server, out []*spot, l map[ident.Key]*family) {
	for _, p := range out {
		c.evict(s, p)
		if g := l[p.key]; g != nil {
			g.live--
		}
	}
}

// miss is what one replica less of a family costs: the requests that suffer before it could be back.
func (c *Core) miss(g *family) float64 {
	if g.live <= 1 {
		return 0.2 + (2*g.rate+4*g.slow)*g.m.Load.Seconds()
	}
	switch left := g.load / float64(g.live-1); {
	case left > fullLoad:
		return 1 + 2*g.rate
	case left > goodLoad:
		return 0.3 + 0.5*g.rate
	default:
		return 0.05 + 0.1*g.rate
	}
}

// weightOn tells what goes with a base: its adapters leave with it.
func (c *Core) weightOn(s *server, p *spot) int {
	n := p.size
	for k, a := range s.spots {
		if k != p.key && k.Base() == p.key {
			n += a.size
		}
	}
	return n
}

// weighAdapters brings adapters that are asked for to replicas of their bases. They come in no time
// and take little room, but a server has few places for them.
func (c *Core) weighAdapters(l map[ident.Key]*family) {
	for _, k := range generic.SortedKeys(c.demand) {
		n := c.demand[k]
		m, ok := c.plan.Models[k]
		if !ok || !k.IsAdapter() || c.now.Sub(n.at) > freshSpan {
			continue
		}
		live, _, _ := c.live(k)
		want := max(1, min(int(math.Ceil(n.load/goodLoad)), m.Most))
		most := math.Inf(1)
		if live >= want {
			// Where its servers are crowded and another replica of its base is not, it goes there too.
			low := math.MaxInt
			for id, s := range c.servers {
				if p := s.spots[k]; p != nil && c.stays(s) {
					low = min(low, c.seats[id])
				}
			}
			if low < crowded || live >= m.Most {
				continue
			}
			most = float64(low) / crowded / 2
		}
		f := &family{m: m, live: live, rate: n.rate, wait: n.wait, age: n.age(c.now), value: n.value, rank: c.plan.Rank(n.value)}
		c.settleAdapter(f, l, most)
	}
}

// settleAdapter loads an adapter at the replica of its base where that costs least, and less than most.
func (c *Core) settleAdapter(f *family, l map[ident.Key]*family, most float64) {
	var best *server
	var out []*spot
	cost := most
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.stays(s) || s.alien || s.spots[f.m.Key] != nil || !s.based(f.m.Key) || s.odd != "" {
			continue
		}
		victims, price, ok := c.makeWayForAdapter(s, f, l)
		if !ok {
			continue
		}
		if x := float64(c.seats[id])/crowded + 0.3*float64(s.pending()) + price; x < cost {
			best, out, cost = s, victims, x
		}
	}
	if best == nil {
		return
	}
	c.evictAll(best, out, l) // its place is free before long
	best.spots[f.m.Key] = &spot{key: f.m.Key, size: f.m.Size, stage: Ordered, since: c.now}
}

// makeWayForAdapter lists what must leave a server before an adapter can be loaded there, and what that
// costs: another adapter, or, where room alone is short and the adapter is nowhere else, replicas of bases.
func (c *Core) makeWayForAdapter(s *server, f *family, l map[ident.Key]*family) (out []*spot, price float64, ok bool) {
	placeless := s.places > 0 && s.adapters() >= s.places
	short := f.m.Size - (s.room - s.used())
	if !placeless && short <= 0 {
		return nil, 0, true
	}
	if p, rate := c.leastAskedAdapter(s); p != nil {
		return []*spot{p}, 0.3 + rate, true
	}
	if placeless || f.live > 0 || s.pending() > 0 {
		return nil, 0, false // what is under way there comes first
	}
	out, price = c.makeWay(s, f, l, short)
	return out, 0.5 + price, out != nil && price <= f.gain()
}

// leastAskedAdapter finds the adapter that a server can do without best, and the rate at which it is asked
// for: one that is ready for a while, and for which nobody waits.
func (c *Core) leastAskedAdapter(s *server) (victim *spot, rate float64) {
	rate = math.Inf(1)
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if !k.IsAdapter() || p.stage != Ready || c.now.Sub(p.ready) < freshSpan {
			continue
		}
		slow := 0.0
		if n := c.demand[k]; n != nil {
			if n.wait > 0 && c.now.Sub(n.at) < freshSpan {
				continue
			}
			slow = n.slow
		}
		if slow < rate {
			rate, victim = slow, p
		}
	}
	return victim, rate
}

// soon estimates when a key without a replica will have one: the load under way, or its turn in the
// line for the store.
func (c *Core) soon(k ident.Key) clock.Span {
	if !c.o.Unfenced || c.plan == nil || k.Plain() {
		return 0
	}
	m, ok := c.plan.Models[k.Base()]
	if !ok {
		return 0
	}
	best := clock.Span(0)
	for _, s := range c.servers {
		p := s.spots[m.Key]
		if p == nil || !c.stays(s) {
			continue
		}
		n := clock.Span(orderLag)
		if p.stage == Ordered {
			load := m.Load
			if c.has(s, m.Key) {
				load = clock.Span(float64(load) * warmPart)
			}
			n += max(0, load-c.now.Sub(p.since))
			if p.num == 0 {
				n += orderLag
			}
		} else if p.stage != Ready {
			continue
		}
		if best == 0 || n < best {
			best = n
		}
	}
	if best > 0 {
		return best
	}
	rate := 0.0
	for _, v := range c.plan.Services {
		rate += v.Loads
	}
	n := m.Load + 2*orderLag
	if i := c.line[m.Key]; i > 0 && rate > 0 {
		n += clock.Span(float64(i-1) / rate * 1e9)
	}
	return n
}
