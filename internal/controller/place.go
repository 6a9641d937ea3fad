package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Stages of a spot, which is one key on one server.
const (
	Ordered   = "ordered"   // a load was sent or is about to be
	Ready     = "ready"     // loaded, and offered to routers
	Breaking  = "breaking"  // promises on it are being broken
	Draining  = "draining"  // every promise is gone; work under way ends
	Unloading = "unloading" // an unload was sent
	Gone      = "gone"
)

// What moves a spot.
const (
	SeeLoading = "see loading"
	SeeReady   = "see ready"
	SeeNone    = "see none"
	Evict      = "evict"
	Dropped    = "dropped"
	Idle       = "idle"
)

type spot struct {
	key   ident.Key
	size  int
	stage string
	num   uint64     // of the order last sent for it
	ready clock.Tick // since when it is ready
	busy  clock.Tick // when it last had work
	work  int
	since clock.Tick
	waits map[protocol.Session]uint64
	cold  bool // its load comes from the store
}

type tag struct{}

// The life of a spot. What a report shows counts only once it answers the last order.
var spots = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) { return c.Value(tag{}).(*spot).stage, nil },
		func(c context.Context, s stateless.State) error {
			c.Value(tag{}).(*spot).stage = s.(string)
			return nil
		}, stateless.FiringImmediate)
	s.Configure(Ordered).Permit(SeeReady, Ready).Permit(SeeNone, Gone).Ignore(SeeLoading)
	s.Configure(Ready).Permit(SeeNone, Gone).Permit(SeeLoading, Ordered).Permit(Evict, Breaking).Ignore(SeeReady)
	s.Configure(Breaking).Permit(SeeNone, Gone).Permit(Dropped, Draining).Ignore(SeeReady)
	s.Configure(Draining).Permit(SeeNone, Gone).Permit(Idle, Unloading).Ignore(SeeReady)
	s.Configure(Unloading).Permit(SeeNone, Gone).Permit(SeeReady, Draining)
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

func (s *spot) fire(what string, now clock.Tick) bool {
	was := s.stage
	_ = spots.FireCtx(context.WithValue(context.Background(), tag{}, s), what)
	if s.stage != was {
		s.since = now
		if s.stage == Ready {
			s.ready = now
		}
	}
	return s.stage != was
}

// server is the owner's view of one model server.
type server struct {
	protocol.Listed
	inc     ident.Inc
	room    int
	slots   int
	spots   map[ident.Key]*spot
	num     uint64
	asking  bool
	next    clock.Tick
	fails   int
	dark    bool
	known   bool       // it has reported in this reign
	ok      clock.Tick // when the last report that came was asked for
	first   clock.Tick
	odd     string     // what its report contradicts itself in; it is ordered to load nothing
	plain   bool       // it holds no models and takes no orders
	places  int        // for adapters; zero where they are not counted
	busy    bool       // it carries out an order
	alien   bool       // that is not of this reign: what it comes to is not known
	unsure  *spot      // the spot whose order got no answer
	asked   clock.Tick // when it was asked or ordered last
	ordered clock.Tick // when it was ordered last
}

func (s *server) used() int {
	n := 0
	for _, p := range s.spots {
		n += p.size
	}
	return n
}

func (s *server) loading() int {
	n := 0
	for _, p := range s.spots {
		if p.stage == Ordered {
			n++
		}
	}
	return n
}

// entry is what the routers are told of a key.
type entry struct {
	mark     ident.Mark
	never    bool // no server could hold it, even if it held nothing else
	replicas []replica
}

type replica struct {
	rep  protocol.Replica
	spot *spot
}

// need is what is asked of a key.
type need struct {
	at     clock.Tick // when a router asked for it last
	lookup clock.Tick // when a lookup told last of requests that no renewal had shown
	since  clock.Tick // since when somebody waits
	wait   int        // requests that wait, at all routers
	value  int        // the highest among them

	came float64 // requests since the last sum
	took float64 // seconds of a server's time that they take
	rate float64 // requests a second, of late
	slow float64 // and over a longer while
	load float64 // servers' worth of work, of late
	now  float64 // and just now
}

// wanted takes in how many requests wait for a key at one router, and the highest value among them.
func (c *Core) wanted(k ident.Key, wait, value int) {
	if c.plan == nil {
		return
	}
	if _, ok := c.plan.Models[k]; !ok {
		return
	}
	n := c.demand[k]
	if n == nil {
		n = &need{}
		c.demand[k] = n
	}
	n.report(c.now, wait, value, c.waitingAtRouters(k))
}

// waiting counts requests that wait for a key, and has the highest value among them.
type waiting struct{ requests, value int }

// waitingAtRouters sums what the last renewals of all routers say of a key, but for those that have been
// silent for long.
func (c *Core) waitingAtRouters(k ident.Key) (sum waiting) {
	for _, l := range c.links {
		if u := l.burden[k]; u.Wait > 0 && c.now.Sub(l.last) <= freshSpan {
			sum.requests += u.Wait
			sum.value = max(sum.value, u.Top)
		}
	}
	return sum
}

// report takes in one router's report beside what the renewals of all come to. A lookup tells of a request
// before its router's next renewal does, so that until then no other router's renewal takes it back.
func (n *need) report(now clock.Tick, wait, value int, renewed waiting) {
	stale := now.Sub(n.at) > freshSpan
	switch {
	case wait > renewed.requests:
		n.lookup, n.wait, n.value = now, wait, max(value, renewed.value)
	case renewed.requests > 0 || now.Sub(n.lookup) > renewalSpan:
		n.wait, n.value = renewed.requests, renewed.value
	}
	if n.wait == 0 || stale {
		n.since = 0
	}
	if n.wait > 0 && n.since == 0 {
		n.since = now
	}
	n.at = now
}

// planned takes the newest desired state into force at this node.
func (c *Core) planned() {
	c.plan, c.empty, c.windows, c.shutAt = nil, map[ident.Zone]bool{}, nil, 0
	k := c.reg.known
	if k == nil {
		return
	}
	for _, z := range k.Empty {
		c.empty[z] = true
	}
	c.windows, _ = readWindows(k.Windows)
	if len(k.Plan) > 0 {
		c.plan, _ = c.parse(k.Plan)
	}
	if c.duty.mine {
		for _, id := range generic.SortedKeys(c.servers) {
			c.adopt(c.servers[id])
		}
		c.touchAll()
	}
}

// parse reads a plan, unless it is the one that was read last: large ones take a while.
func (c *Core) parse(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
	if c.lastPlan == nil || !bytes.Equal(raw, c.lastRaw) {
		p, f := c.o.Read(raw)
		if f != nil {
			return nil, f
		}
		c.lastRaw, c.lastPlan = raw, p
	}
	return c.lastPlan, nil
}

// settled tells whether the owner knows enough of the servers to answer for them.
func (c *Core) settled() bool {
	if !c.rules() || c.listed == 0 {
		return false
	}
	if !c.rolled() {
		return false
	}
	if c.now.Sub(c.duty.began) > c.o.Wait+c.o.Poll {
		return true
	}
	for _, s := range c.servers {
		if !s.known && s.State == "live" {
			return false
		}
	}
	return true
}

// open tells whether a server may be offered new work.
func (c *Core) open(s *server) bool {
	return !s.dark && s.known && c.meant(s) && c.rolled()
}

// meant tells whether platform and operators mean a server to work, whether it answers or not.
func (c *Core) meant(s *server) bool {
	return s.State == "live" && !c.empty[s.Zone] && !c.closed(s.Zone, s.ID)
}

func (c *Core) entryOf(k ident.Key) *entry {
	if e := c.entries[k]; e != nil {
		return e
	}
	e := &entry{}
	c.entries[k] = e
	c.fill(k, e)
	return e
}

func (c *Core) fill(k ident.Key, e *entry) {
	e.replicas = nil
	h := fnv.New64a()
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		p := s.spots[k]
		if p == nil || p.stage != Ready || !c.open(s) {
			continue
		}
		r := protocol.Replica{Server: s.ID, Addr: s.Addr, Zone: s.Zone, Inc: s.inc, Slots: s.slots}
		e.replicas = append(e.replicas, replica{r, p})
		fmt.Fprintf(h, "%s|%s|%d|%d;", r.Server, r.Addr, r.Inc, r.Slots)
	}
	e.never = len(e.replicas) == 0 && c.plan != nil && c.settled() && !c.fits(k)
	if e.never {
		fmt.Fprint(h, "never")
	}
	e.mark = ident.Mark(h.Sum64())
}

// fits tells whether some server that is offered has the room for a key at all.
func (c *Core) fits(k ident.Key) bool {
	if k.Plain() {
		return c.plan.Services[k.Service()].Plain // its servers may come at any moment
	}
	m, ok := c.plan.Models[k]
	if !ok {
		return false
	}
	size := m.Size
	if k.IsAdapter() {
		size += c.plan.Models[k.Base()].Size
	}
	for _, s := range c.servers {
		// One that is dark, or has not reported yet, may be back at once.
		if c.meant(s) && (s.room >= size || !s.known) {
			return true
		}
	}
	return false
}

// touch makes a key's entry anew and, if it changed, breaks every callback on it at once.
func (c *Core) touch(k ident.Key) {
	e := c.entries[k]
	if e == nil {
		return
	}
	was, old := e.mark, e.replicas
	c.fill(k, e)
	switch {
	case e.mark == was:
	case c.o.Unfenced && !e.never && covers(e.replicas, old):
		c.extendAll(k, e)
	default:
		c.breakAll(k)
	}
}

// covers tells whether one list of replicas has all that another has: then the other is not wrong, only
// short.
func covers(l, old []replica) bool {
	if len(l) == 0 {
		return false
	}
	has := map[ident.Server]protocol.Replica{}
	for _, r := range l {
		has[r.rep.Server] = r.rep
	}
	for _, r := range old {
		if has[r.rep.Server] != r.rep {
			return false
		}
	}
	return true
}

func (c *Core) touchAll() {
	for _, k := range generic.SortedKeys(c.entries) {
		c.touch(k)
	}
}

func (c *Core) touchOn(s *server) {
	for _, k := range generic.SortedKeys(s.spots) {
		c.touch(k)
	}
}

func (c *Core) beatPlace() {
	if !c.rules() {
		return
	}
	c.watchWindows()
	c.beatList()
	c.beatEye()
	for _, id := range generic.SortedKeys(c.servers) {
		c.beatServer(c.servers[id])
	}
	if c.plan != nil && c.settled() {
		c.placeAll()
	}
	if c.now.Sub(c.swept) > 500e6 {
		c.swept = c.now
		c.touchAll()
	}
	c.sumDemand()
	for k, n := range c.demand {
		if c.now.Sub(n.at) > 60e9 {
			delete(c.demand, k)
		}
	}
}

func (c *Core) beatList() {
	if c.o.Enrolled {
		if c.now.Sub(c.listed) > 300e6 {
			c.listed = c.now
			c.tellList()
		}
		return
	}
	if c.listing || c.o.Platform == "" || c.listed != 0 && c.now.Sub(c.listed) < 300e6 {
		return
	}
	c.listing = true
	num := c.duty.num
	c.ask(c.o.Platform, "/servers", nil, c.o.Wait, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != num {
			return
		}
		c.listing = false
		var l []protocol.Listed
		if !t.OK || t.Code != 200 || json.Unmarshal(t.Body, &l) != nil || !sound(l) {
			if c.listed != 0 || len(c.servers) > 0 {
				c.listed = c.now // the last list stands while the platform is silent
			}
			return
		}
		c.listed, c.seenAt = c.now, c.now
		c.onList(c.believe(l))
		c.tellList()
	})
}

func (c *Core) onList(l []protocol.Listed) {
	seen := map[ident.Server]bool{}
	for _, x := range l {
		seen[x.ID] = true
		s := c.servers[x.ID]
		if s == nil {
			c.servers[x.ID] = &server{Listed: x, spots: map[ident.Key]*spot{}, first: c.now}
			continue
		}
		if s.Listed != x {
			if s.Addr != x.Addr {
				s.known = false
			}
			s.Listed = x
			c.touchOn(s)
		}
	}
	for _, id := range generic.SortedKeys(c.servers) {
		if s := c.servers[id]; !seen[id] && s.State != "gone" {
			s.State = "gone"
			c.touchOn(s)
		}
	}
}

// verbs names the order that brings a spot's stage about.
var verbs = map[string]string{Ordered: "load", Unloading: "unload"}

// due finds a spot whose order has not been sent: what is ordered follows from the spots
// alone, so no order outlives the reason for it.
func (s *server) due() *spot {
	if !s.known || s.dark {
		return nil
	}
	var next *spot
	over := s.room > 0 && s.used() > s.room
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if p.num != 0 || verbs[p.stage] == "" {
			continue
		}
		if p.stage == Ordered && (over || p.key.IsAdapter() && (!s.based(p.key) || s.places > 0 && s.adapters() > s.places)) {
			continue // what makes way for it is not gone yet, or its base is not there
		}
		if next == nil || p.stage == Unloading && next.stage != Unloading {
			next = p
		}
	}
	return next
}

// based tells whether the base of an adapter is ready.
func (s *server) based(k ident.Key) bool {
	b := s.spots[k.Base()]
	return b != nil && b.stage == Ready
}

// unsent tells that a report can say nothing of a spot's order yet.
func (p *spot) unsent(num uint64) bool { return p.num > num || p.num == 0 && verbs[p.stage] != "" }

// beatServer keeps one question under way at a time: an order, or only for the report.
func (c *Core) beatServer(s *server) {
	for _, k := range generic.SortedKeys(s.spots) {
		if p := s.spots[k]; p != nil { // one spot's end may end another
			c.beatSpot(s, p)
		}
	}
	if s.State == "gone" && (s.fails > 0 || c.o.Enrolled) {
		for _, k := range generic.SortedKeys(s.spots) {
			s.spots[k].fire(SeeNone, c.now)
			delete(s.spots, k)
			c.touch(k)
		}
		if c.now.Sub(max(s.ok, s.first)) > 10e9 {
			delete(c.servers, s.ID)
		}
		return
	}
	if c.o.Unfenced {
		c.steer(s)
		return
	}
	p := s.due()
	if s.asking || p == nil && c.now < s.next {
		return
	}
	s.num++
	q := protocol.Order{Duty: c.duty.num, Num: s.num, Inc: s.inc}
	if p != nil {
		q.Op, q.Key, q.Size, p.num = verbs[p.stage], p.key, p.size, s.num
		if p.stage == Ordered {
			c.tally.Loads++
		} else {
			c.tally.Unloads++
		}
	}
	if q.Op == "" {
		q.Inc = 0
	}
	s.asking = true
	at, num := c.now, c.duty.num
	c.ask(s.Addr, "/orders", q, c.o.Wait, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != num || c.servers[s.ID] != s {
			return
		}
		s.asking = false
		s.next = c.now.Add(c.o.Poll)
		var r protocol.Report
		if !t.OK || json.Unmarshal(t.Body, &r) != nil || r.Server != s.ID {
			s.fails++
			// A question cut short at once is asked once more; one that waited in vain is not.
			if c.now.Sub(at) >= c.o.Wait || s.fails > 1 {
				if !s.dark && s.known {
					s.dark = true
					c.note(fmt.Sprintf("server %s is dark", s.ID))
					c.touchOn(s)
				}
			} else {
				s.next = c.now
			}
			return
		}
		c.onReport(s, r, at)
	})
}

func (c *Core) onReport(s *server, r protocol.Report, at clock.Tick) {
	if r.Drop == failure.Stale {
		c.tally.Fences++
		if r.Duty > c.duty.num {
			c.duty.top = max(c.duty.top, r.Duty)
			c.lose("a server obeys a higher duty")
			return
		}
		s.num = max(s.num, r.Num)
		return
	}
	s.fails, s.ok = 0, at
	changed := s.dark || !s.known
	s.dark, s.known = false, true
	room, slots := min(max(r.Room, 0), mostSize), min(max(r.Slots, 1), mostSize)
	if r.Inc != s.inc || room != s.room || slots != s.slots {
		if r.Inc != s.inc {
			for _, k := range generic.SortedKeys(s.spots) {
				s.spots[k].fire(SeeNone, c.now)
				delete(s.spots, k)
				c.touch(k)
			}
		}
		s.inc, s.room, s.slots = r.Inc, room, slots
		changed = true
	}
	if odd := oddity(r); odd != s.odd {
		if s.odd = odd; odd != "" {
			c.tally.Odd++
			c.oops(fmt.Sprintf("server %s reports what cannot be: %s", s.ID, odd))
		}
	}
	held := map[ident.Key]protocol.Held{}
	for _, h := range r.Held {
		h.Size, h.Active, h.AgeMs = min(max(h.Size, c.sizeOf(h.Key)), mostSize), max(h.Active, 0), max(h.AgeMs, 0)
		held[h.Key] = h
		p := s.spots[h.Key]
		if p == nil {
			p = &spot{key: h.Key, size: h.Size, stage: Ordered, since: c.now, num: r.Num}
			s.spots[h.Key] = p
		}
		if p.unsent(r.Num) {
			continue
		}
		p.size, p.work = h.Size, h.Active
		if h.Active > 0 {
			p.busy = c.now
		}
		was := p.stage
		if h.Stage == "ready" {
			if p.fire(SeeReady, c.now) {
				if was == Ordered {
					p.ready = c.now - clock.Tick(h.AgeMs)*1e6
				}
				c.touch(h.Key)
			}
		} else if p.fire(SeeLoading, c.now) {
			c.touch(h.Key)
		}
	}
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if _, ok := held[k]; ok || p.unsent(r.Num) {
			continue
		}
		p.fire(SeeNone, c.now)
		delete(s.spots, k)
		c.touch(k)
	}
	if changed {
		c.touchOn(s)
	}
}

// evict begins to take a key off a server: first every router drops its promise.
func (c *Core) evict(s *server, p *spot) {
	if c.o.Unfenced && !p.key.IsAdapter() {
		for _, k := range generic.SortedKeys(s.spots) {
			if k != p.key && k.Base() == p.key {
				c.evict(s, s.spots[k]) // they go with their base
			}
		}
	}
	if !p.fire(Evict, c.now) {
		return
	}
	c.touch(p.key)
	p.waits = c.promised(p.key)
}

func (c *Core) beatSpot(s *server, p *spot) {
	quiet := c.now > c.duty.began.Add(c.pad(c.o.Hold))
	switch p.stage {
	case Breaking:
		// Promises that the owner before gave are unknown here: they must have run out first.
		if quiet && c.dropped(p.waits) {
			p.fire(Dropped, c.now)
		}
	case Draining:
		// Only a report asked for after the last promise was gone shows that no work is left.
		if c.o.Unfenced {
			if c.free(s, p) && !c.undone(s, p) && (c.now.Sub(p.since) > drainSpan || !c.worked(p.key)) {
				p.fire(Idle, c.now)
				p.num = 0
				c.tally.Drained++
			}
		} else if s.ok > p.since && p.work == 0 && !c.adapted(s, p) {
			p.fire(Idle, c.now)
			p.num = 0
			c.tally.Drained++
		}
	}
}

// adapted tells whether a base still carries adapters that must go first.
func (c *Core) adapted(s *server, p *spot) bool {
	for k := range s.spots {
		if k != p.key && k.Base() == p.key {
			return true
		}
	}
	return false
}

// wish is a key that wants one more replica.
type wish struct {
	m     fleetplan.Model
	live  int
	bare  bool
	value int
}

// placeAll places what is wished for, the most urgent first, within room and the store's budget.
func (c *Core) placeAll() {
	budget, rate := c.budget()
	for _, s := range c.servers {
		for _, k := range generic.SortedKeys(s.spots) {
			p := s.spots[k]
			if s.dark && p.stage == Ordered && p.num == 0 {
				delete(s.spots, k) // it cannot be sent now; another server may take it
			} else if p.stage == Ordered && (!s.dark || c.now.Sub(p.since) < 60e9) {
				budget-- // a dark server may still be loading, for a while
			}
		}
		if !s.known && !s.dark && s.State == "live" && c.now.Sub(s.first) < 10e9 {
			budget-- // what it may be loading is not known yet
		}
	}
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		for _, k := range generic.SortedKeys(s.spots) {
			if _, ok := c.plan.Models[k]; !ok && !k.Plain() && s.spots[k].stage == Ready && s.known && !s.dark {
				c.evict(s, s.spots[k])
			}
		}
	}
	budget = min(budget, rate)
	if c.o.Unfenced {
		c.weighAll(rate)
		return
	}
	c.beatShifts()
	wishes := c.wishes()
	for _, w := range wishes {
		if budget <= 0 {
			return
		}
		if c.place(w) {
			budget--
		}
	}
	if len(wishes) == 0 && budget > 0 {
		c.even()
	} else {
		c.uneven = 0
	}
}

func (c *Core) live(k ident.Key) (n int, slots int, zones map[ident.Zone]bool) {
	zones = map[ident.Zone]bool{}
	for _, s := range c.servers {
		if p := s.spots[k]; p != nil && (p.stage == Ordered || p.stage == Ready) && c.stays(s) {
			n++
			slots += s.slots
			zones[s.Zone] = true
		}
	}
	return n, slots, zones
}

// wants tells how many replicas a key should have.
func (c *Core) wantsOf(m fleetplan.Model) (need, live, value int) {
	live, slots, _ := c.live(m.Key)
	need = m.Floor
	d := c.demand[m.Key]
	if d != nil && c.now.Sub(d.at) < 3e9 {
		value = d.value
		need = max(need, 1)
		b := 0
		for _, l := range c.links {
			u := l.burden[m.Key]
			b += u.Wait + u.Work
		}
		if live > 0 && 4*b > 3*slots {
			need = max(need, live+1)
		}
	}
	if c.shifts[m.Key] != nil {
		need = max(need, live) // both are kept until the new one can do without the old
	} else if need == 0 && live == 0 && c.parting(m.Key) {
		need = 1
	}
	return min(need, m.Most), live, value
}

func (c *Core) wishes() []wish {
	var l []wish
	for _, k := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[k]
		need, live, value := c.wantsOf(m)
		if live < need {
			l = append(l, wish{m, live, live == 0, value})
		}
	}
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.bare != b.bare {
			return a.bare
		}
		if a.value != b.value {
			return a.value > b.value
		}
		return !a.m.Key.IsAdapter() && b.m.Key.IsAdapter()
	})
	return l
}

// place orders one load for a wish, or makes room for it; it tells whether a load was ordered.
func (c *Core) place(w wish) bool {
	k := w.m.Key
	if k.IsAdapter() {
		if n, _, _ := c.live(k.Base()); n == 0 {
			base := c.plan.Models[k.Base()]
			return c.place(wish{m: base, bare: true, value: w.value})
		}
	}
	_, _, zones := c.live(k)
	var best *server
	score := 0
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, k) || s.loading() > 0 {
			continue
		}
		free := s.room - s.used()
		if free < w.m.Size {
			continue
		}
		n := 1000 * (free + 1) / (s.room + 1) // the emptiest for its size
		if !zones[s.Zone] {
			n += 1_000_000
		}
		if best == nil || n > score {
			best, score = s, n
		}
	}
	if best == nil {
		c.clearRoom(w)
		return false
	}
	best.spots[k] = &spot{key: k, size: w.m.Size, stage: Ordered, since: c.now}
	return true
}

func (c *Core) mayHold(s *server, k ident.Key) bool {
	if !c.stays(s) || s.spots[k] != nil || s.odd != "" {
		return false
	}
	if s.plain || s.alien || s.Service != k.Service() {
		return false
	}
	if k.IsAdapter() {
		b := s.spots[k.Base()]
		return b != nil && b.stage == Ready && (s.places == 0 || s.adapters() < s.places)
	}
	return true
}

// adapters counts the places for adapters that are taken or promised.
func (s *server) adapters() int {
	n := 0
	for k := range s.spots {
		if k.IsAdapter() {
			n++
		}
	}
	return n
}

// clearRoom evicts what is least missed on the server where that suffices with least.
func (c *Core) clearRoom(w wish) {
	if !w.bare {
		return // a further replica is not worth another key's only one
	}
	var best []*spot
	var on *server
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, w.m.Key) {
			continue
		}
		free := s.room - s.used()
		for _, p := range s.spots {
			if p.stage == Breaking || p.stage == Draining || p.stage == Unloading {
				free += p.size
			}
		}
		if free >= w.m.Size {
			return // room is on its way here already
		}
		l := c.idle(s, w)
		n := 0
		for n < len(l) && free < w.m.Size {
			free += l[n].size
			n++
		}
		if free >= w.m.Size && (on == nil || n < len(best)) {
			best, on = l[:n], s
		}
	}
	for _, p := range best {
		c.evict(on, p)
	}
}

// idle lists what may be evicted from a server, least missed first: adapters before bases.
func (c *Core) idle(s *server, w wish) []*spot {
	var l []*spot
	free := map[ident.Key]bool{}
	may := func(p *spot) bool {
		m := c.plan.Models[p.key]
		need, live, value := c.wantsOf(m)
		if p.key == w.m.Key.Base() || p.stage != Ready || c.now.Sub(p.ready) < c.o.Rest || p.work > 0 || c.now.Sub(p.busy) < c.o.Lull {
			return false
		}
		if live > need {
			return true
		}
		// Even a key that is asked for gives way to one that is worth more and has no replica.
		return live > m.Floor && value < w.value
	}
	keys := generic.SortedKeys(s.spots)
	for _, k := range keys {
		if p := s.spots[k]; k.IsAdapter() && may(p) {
			free[k] = true
			l = append(l, p)
		}
	}
	for _, k := range keys {
		p := s.spots[k]
		if k.IsAdapter() || !may(p) {
			continue
		}
		bare := true
		for _, a := range keys {
			if a.IsAdapter() && a.Base() == k && !free[a] {
				bare = false
			}
		}
		if bare {
			l = append(l, p)
		}
	}
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].key.IsAdapter() != l[j].key.IsAdapter() {
			return l[i].key.IsAdapter()
		}
		return l[i].busy < l[j].busy
	})
	return l
}
