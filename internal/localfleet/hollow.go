package localfleet

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"tidedeck/internal/agent"
	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
)

// HollowOptions say how large a hollow fleet is and what happens to it while it is measured.
type HollowOptions struct {
	Routers  int
	Servers  int
	Models   int
	Adapters int
	Cores    int
	Services int
	Zones    int
	Regions  int
	Rate     float64    // requests a second at each router
	Stay     clock.Span // that a request is under way
	Part     float64    // of requests that name an adapter
	Busy     float64    // of the servers' time that all requests take
	Warm     clock.Span // from the plan in force everywhere until the measuring begins
	For      clock.Span // measured
	Changes  int        // of one item of the plan, spread over the measured time
	Fails    int        // machines, servers and routers by their numbers, likewise
	Restarts int        // planned, likewise
	ZoneLost bool       // a zone goes at a third of the measured time and is back at two thirds
	Apart    clock.Span // one region is parted from the others for so long, from a third on
	OwnerOut bool       // the duty's owner fails at a third
	Seed     uint64
}

// Defaults fills what was left out.
func (o HollowOptions) Defaults() HollowOptions {
	generic.SetDefault(&o.Routers, 9)
	generic.SetDefault(&o.Servers, 13)
	generic.SetDefault(&o.Models, 8)
	generic.SetDefault(&o.Cores, 3)
	generic.SetDefault(&o.Services, 1)
	generic.SetDefault(&o.Regions, 3)
	generic.SetDefault(&o.Zones, 3)
	generic.SetDefault(&o.Rate, 47)
	generic.SetDefault(&o.Stay, 6e9)
	generic.SetDefault(&o.Part, 0.4)
	generic.SetDefault(&o.Busy, 0.3)
	generic.SetDefault(&o.Warm, 4e9)
	generic.SetDefault(&o.For, 10e9)
	generic.SetDefault(&o.Seed, 1)
	return o
}

const (
	hollowStep   = clock.Span(20e6) // of virtual time
	hollowRing   = 128              // steps that a message may take
	hollowPeriod = clock.Span(1200e6)
	hollowSeeds  = 3
	hollowRoom   = 200_000
	hollowPlaces = 8
	hollowRare   = 0.0003 // of requests for adapters: those that name one that is mostly idle
	hollowActive = 10     // one adapter in so many is not
)

// threadTime tells the processor time of the thread that runs the fleet: neither other programs nor the
// collector's own threads are in it.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(t.Nano())
}

type stepper interface {
	Step(now clock.Tick, in any) []any
}

// Load is what one kind of input or message cost one role.
type Load struct {
	Steps   int           // inputs of this kind
	Step    time.Duration // processor time in the core
	Sent    int           // messages of this kind
	Out     int           // their bytes
	Got     int
	In      int
	Pack    time.Duration // writing and reading messages
	Biggest int
}

// LoadKey names what a Load is of.
type LoadKey struct{ Role, Kind string }

type hollowNode struct {
	role    string
	sib     protocol.Sibling
	zone    int
	up      bool
	life    int
	core    stepper
	beside  *hollowNode // a router's agent, an agent's router
	disk    map[string][]byte
	traffic *traffic
}

// traffic is the synthetic demand at one router.
type traffic struct {
	session protocol.Session
	known   map[ident.Key][]ident.Server
	marks   map[ident.Key]ident.Mark
	asked   map[ident.Key]clock.Tick
	stale   map[ident.Key]bool
	under   []under
	lines   map[ident.Key][]clock.Tick
	rand    *rand.Rand
}

type under struct {
	key    ident.Key
	server ident.Server
	end    clock.Tick
}

type hollowServer struct {
	id      ident.Server
	addr    string
	number  int
	zone    int
	service string
	start   int
	up      bool
	state   string
	count   uint64
	taken   uint64
	next    clock.Tick
	held    map[ident.Key]int // by size
	order   protocol.Order    // under way
	done    clock.Tick
	back    clock.Tick // it starts anew then
}

type mail struct {
	to   *hollowNode
	life int
	raw  []byte // of an envelope
	kind string
	in   any
	do   func()
}

// Hollow is a fleet of real cores in one process, in virtual time: no sockets, no callers, and model
// servers that only beat, report and take orders.
type Hollow struct {
	o       HollowOptions
	now     clock.Tick
	ring    [hollowRing][]mail
	nodes   []*hollowNode
	at      map[string]*hollowNode
	servers []*hollowServer
	doors   map[string]*hollowServer
	keys    [][]ident.Key // of each model its own key and its adapters'
	sizes   map[ident.Key]int
	rand    *rand.Rand
	parted  func(a, b int) bool // zones
	token   uint64
	admins  map[uint64]func(controller.Receipt)
	leaves  map[uint64]func(ok bool)
	plan    []byte
	epoch   ident.Epoch

	Loads   map[LoadKey]*Load
	Written int // bytes that core nodes synced
	Syncs   int
	Notes   map[string]int
	Orders  int
	Applied []clock.Span // from a change's answer to the last live router
	Missed  []clock.Span // from a server's failure until the owner knew
	Reigns  []clock.Tick
	marks   []Mark
	begun   clock.Tick
	pending []*inForce
	failing map[ident.Server]clock.Tick
}

type inForce struct {
	epoch ident.Epoch
	at    clock.Tick
}

// Mark is the state of a hollow fleet's service at one moment.
type Mark struct {
	At      clock.Span
	Routers int // up
	Held    int // of them, those with a hold
	Bare    int // models with a floor and no ready replica at a live server
	Waiting int // requests without a server
}

// NewHollow lays out a hollow fleet and starts it.
func NewHollow(o HollowOptions) *Hollow {
	h := &Hollow{o: o.Defaults(), now: 1e9, at: map[string]*hollowNode{}, doors: map[string]*hollowServer{}, sizes: map[ident.Key]int{},
		admins: map[uint64]func(controller.Receipt){}, leaves: map[uint64]func(bool){}, Loads: map[LoadKey]*Load{}, Notes: map[string]int{},
		parted: func(int, int) bool { return false }, failing: map[ident.Server]clock.Tick{}}
	h.rand = rand.New(rand.NewPCG(h.o.Seed, 7))
	h.plan = h.makePlan("first")
	for i := range h.o.Cores {
		h.add(&hollowNode{role: "core", sib: protocol.Sibling{ID: ident.Node(fmt.Sprintf("loop-%02d", i)), Addr: fmt.Sprintf("10.1.0.%d:7000", i+1)}, zone: i * max(1, h.o.Zones/h.o.Regions) % h.o.Zones, disk: map[string][]byte{}})
	}
	for i := range h.o.Routers {
		a := &hollowNode{role: "agent", sib: protocol.Sibling{ID: ident.Node(fmt.Sprintf("edge-%04d", i)), Addr: fmt.Sprintf("10.2.%d.%d:7002", i/250, i%250+1)}, zone: i % h.o.Zones}
		l := &hollowNode{role: "router", sib: protocol.Sibling{ID: "router", Addr: "router"}, zone: a.zone, beside: a}
		a.beside = l
		h.add(a)
		h.nodes = append(h.nodes, l)
		h.startNode(l)
	}
	for i := range h.o.Servers {
		s := &hollowServer{number: i, zone: i % h.o.Zones, service: fmt.Sprintf("engines-%d", i%h.o.Services), addr: fmt.Sprintf("10.3.%d.%d:9000", i/250, i%250+1)}
		h.servers = append(h.servers, s)
		h.doors[s.addr] = s
		h.startServer(s)
		s.next = h.now.Add(clock.Span(h.rand.Int64N(int64(hollowPeriod))))
	}
	h.fillServers()
	return h
}

func (h *Hollow) add(n *hollowNode) {
	h.nodes = append(h.nodes, n)
	h.at[n.sib.Addr] = n
	h.startNode(n)
}

func (h *Hollow) chance(n *hollowNode) *rand.Rand {
	sum := uint64(n.life)
	for _, b := range string(n.sib.ID) + n.role {
		sum = sum*131 + uint64(b)
	}
	return rand.New(rand.NewPCG(h.o.Seed, sum))
}

func (h *Hollow) zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%02d", i)) }

func (h *Hollow) region(zone int) int { return zone * h.o.Regions / h.o.Zones }

func (h *Hollow) startNode(n *hollowNode) {
	n.up = true
	n.life++
	inc := ident.Inc(1e12 + uint64(h.now)/1e6*1e3 + uint64(len(h.nodes)))
	var seeds []protocol.Sibling
	for i := range min(hollowSeeds, h.o.Cores) {
		seeds = append(seeds, protocol.Sibling{Addr: fmt.Sprintf("10.1.0.%d:7000", i+1)})
	}
	switch n.role {
	case "core":
		n.core = controller.New(controller.Options{Me: n.sib, Zone: h.zoneName(n.zone), Inc: inc, Seeds: seeds, Rand: h.chance(n),
			Duty: 800e6, Round: 200e6, Hold: 1400e6, Spare: 1200e6, Silence: hollowPeriod*3 + hollowPeriod/4, Rate: 5e9,
			Enrolled: true, Unfenced: true, Warm: true})
		disk := map[string][]byte{}
		for k, b := range n.disk {
			disk[k] = b
		}
		h.post(1, mail{to: n, life: n.life, kind: "Start", in: protocol.Start{Disk: disk}})
	case "agent":
		n.core = agent.New(agent.Options{Me: n.sib, Zone: h.zoneName(n.zone), Inc: inc, Life: inc, Seeds: seeds, Rand: h.chance(n),
			Router: protocol.Sibling{ID: "router", Addr: "router"}})
	case "router":
		n.core = router.New(router.Options{Me: n.sib, Inc: inc, Agent: protocol.Sibling{Addr: "agent"}, Zone: h.zoneName(n.zone), Free: true, Guards: true, Lend: 10})
		n.traffic = &traffic{known: map[ident.Key][]ident.Server{}, marks: map[ident.Key]ident.Mark{}, asked: map[ident.Key]clock.Tick{},
			stale: map[ident.Key]bool{}, lines: map[ident.Key][]clock.Tick{}, rand: h.chance(n)}
	}
}

func (h *Hollow) post(steps int, m mail) {
	i := int(int64(h.now)/int64(hollowStep)) + steps
	h.ring[i%hollowRing] = append(h.ring[i%hollowRing], m)
}

func (h *Hollow) load(role, kind string) *Load {
	k := LoadKey{role, kind}
	l := h.Loads[k]
	if l == nil {
		l = &Load{}
		h.Loads[k] = l
	}
	return l
}

func (h *Hollow) roleOf(n *hollowNode) string {
	if c, ok := n.core.(*controller.Core); ok {
		if _, owns := c.Owns(h.now); owns {
			return "owner"
		}
	}
	return n.role
}

// steps tells how long a message takes: one step within a region, two between regions.
func (h *Hollow) steps(a, b int) int {
	if h.region(a) == h.region(b) {
		return 1
	}
	return 2
}

func (h *Hollow) step(n *hollowNode, kind string, in any) {
	if !n.up {
		return
	}
	role := h.roleOf(n)
	at := threadTime()
	out := n.core.Step(h.now, in)
	l := h.load(role, kind)
	l.Step += threadTime() - at
	l.Steps++
	for _, o := range out {
		h.act(n, role, o)
	}
}

func (h *Hollow) act(n *hollowNode, role string, o any) {
	switch v := o.(type) {
	case protocol.Env:
		h.send(n, role, v)
	case protocol.Save:
		for k, b := range v.Puts {
			n.disk[k] = b
			h.Written += len(b)
		}
		h.Syncs++
		h.post(1, mail{to: n, life: n.life, kind: "Saved", in: protocol.Saved{Token: v.Token}})
	case protocol.Compute:
		at := threadTime()
		v.Run()
		h.load(role, "Compute").Step += threadTime() - at
		h.post(1, mail{to: n, life: n.life, kind: "Computed", in: protocol.Computed{Token: v.Token}})
	case protocol.Ask:
		h.ask(n, role, v)
	case protocol.Note:
		if server, dark := takenForDark(v); dark {
			h.sawDark(server)
			return
		}
		h.note(n, v.Text)
	case protocol.Oops:
		h.note(n, v.Text)
	case controller.Receipt:
		if f := h.admins[v.Token]; f != nil {
			delete(h.admins, v.Token)
			f(v)
		}
	case controller.Announced:
		if f := h.leaves[v.Token]; f != nil {
			delete(h.leaves, v.Token)
			f(v.OK)
		}
	}
}

// takenForDark tells whether a log line says that a server is taken for dark, and which.
func takenForDark(line protocol.Note) (server ident.Server, dark bool) {
	if line.Text != "server does not answer" && line.Text != "server is silent and does not answer" {
		return "", false
	}
	for _, f := range line.Fields {
		if id, ok := f.Value.(ident.Server); ok && f.Name == "server" {
			server = id
		}
	}
	return server, server != ""
}

// sawDark notes how long after its failure a server was taken for dark.
func (h *Hollow) sawDark(server ident.Server) {
	at, failed := h.failing[server]
	if !failed {
		h.Notes["a live server is taken for dark"]++
		return
	}
	h.Missed = append(h.Missed, h.now.Sub(at))
	delete(h.failing, server)
}

func (h *Hollow) note(n *hollowNode, s string) {
	w := strings.Fields(s)
	if strings.HasPrefix(s, "duty") && strings.HasSuffix(s, "begins") {
		h.Reigns = append(h.Reigns, h.now)
	}
	for i, x := range w { // numbers and names make no kind of their own
		if strings.ContainsAny(x, "0123456789") {
			w[i] = "#"
		}
	}
	h.Notes[strings.Join(w, " ")]++
}

func (h *Hollow) send(n *hollowNode, role string, e protocol.Env) {
	kind := protocol.Kind(e.Body)
	if b := n.beside; b != nil && (e.To.Addr == "router" || e.To.Addr == "agent") {
		e.Body = h.near(n, e.Body)
		h.load(role, kind).Sent++
		h.post(0, mail{to: b, life: b.life, kind: kind, in: e})
		return
	}
	at := threadTime()
	raw, err := protocol.Pack(e)
	if err != nil {
		panic(err) // only our own types come here
	}
	l := h.load(role, kind)
	l.Pack += threadTime() - at
	l.Sent++
	l.Out += len(raw)
	l.Biggest = max(l.Biggest, len(raw))
	to := h.at[e.Hop().Addr]
	if to == nil || h.parted(n.zone, to.zone) {
		return
	}
	h.post(h.steps(n.zone, to.zone), mail{to: to, life: to.life, kind: kind, raw: raw})
}

func (h *Hollow) deliver(m mail) {
	if m.do != nil {
		m.do()
		return
	}
	if !m.to.up || m.to.life != m.life {
		return
	}
	if m.raw == nil {
		h.step(m.to, m.kind, m.in)
		return
	}
	at := threadTime()
	e, err := protocol.Unpack(m.raw)
	if err != nil {
		panic(err) // it was packed a moment ago
	}
	l := h.load(h.roleOf(m.to), m.kind)
	l.Pack += threadTime() - at
	l.Got++
	l.In += len(m.raw)
	h.step(m.to, m.kind, e)
}

// ask is a question to a model server, over HTTP in a real fleet: its bytes here are the bodies'.
func (h *Hollow) ask(n *hollowNode, role string, a protocol.Ask) {
	q := a.Body.(protocol.Order)
	kind := "report"
	if q.Op != "" {
		kind = "order"
		h.Orders++
	}
	l := h.load(role, "ask "+kind)
	l.Sent++
	raw, _ := json.Marshal(q)
	l.Out += len(raw)
	s := h.doors[a.Addr]
	d := h.steps(n.zone, s.zone)
	if !s.up || s.state == "gone" || h.parted(n.zone, s.zone) {
		h.post(int(a.Wait/hollowStep), mail{to: n, life: n.life, kind: "Told", in: protocol.Told{Token: a.Token}})
		return
	}
	h.post(d, mail{do: func() {
		t := s.answer(h, q)
		t.Token = a.Token
		l.Got++
		l.In += len(t.Body)
		h.post(d, mail{to: n, life: n.life, kind: "Told", in: t})
	}})
}

func (s *hollowServer) answer(h *Hollow, q protocol.Order) protocol.Told {
	if q.Op == "" {
		r := protocol.Report{Server: s.id, Num: s.taken, Room: hollowRoom, Slots: 64, Busy: s.done != 0}
		for _, k := range generic.SortedKeys(s.held) {
			r.Held = append(r.Held, protocol.Held{Key: k, Size: s.held[k], Stage: "ready"})
		}
		raw, _ := json.Marshal(r)
		return protocol.Told{OK: true, Code: 200, Body: raw}
	}
	if q.Expected != s.taken || s.done != 0 {
		return protocol.Told{OK: true, Code: 409}
	}
	if _, has := s.held[q.Key]; has == (q.Op == "load") {
		return protocol.Told{OK: true, Code: 200}
	}
	s.taken++
	s.order = q
	took := clock.Span(2000e6)
	if q.Key.IsAdapter() || q.Op == "unload" {
		took = 200e6
	}
	s.done = h.now.Add(took)
	return protocol.Told{OK: true, Code: 202}
}

func (h *Hollow) startServer(s *hollowServer) {
	s.start++
	s.id = ident.Server(fmt.Sprintf("server-%04d-%d", s.number, s.start))
	s.up, s.state, s.count, s.taken, s.done, s.back = true, "live", 0, 0, 0, 0
	s.held = map[ident.Key]int{}
	s.next = h.now
}

func (h *Hollow) beatServer(s *hollowServer) {
	if !s.up {
		if s.back != 0 && h.now >= s.back {
			h.startServer(s)
		}
		return
	}
	if s.done != 0 && h.now >= s.done {
		s.done = 0
		if s.order.Op == "load" {
			s.held[s.order.Key] = s.order.Size
		} else {
			delete(s.held, s.order.Key)
			for k := range s.held {
				if k.Base() == s.order.Key {
					delete(s.held, k)
				}
			}
		}
	}
	if h.now >= s.next {
		s.next = h.now.Add(hollowPeriod)
		h.announce(s, nil)
	}
}

// announce sends a server's word to any core node that it reaches.
func (h *Hollow) announce(s *hollowServer, then func(bool)) {
	s.count++
	b := protocol.Beacon{Listed: protocol.Listed{ID: s.id, Addr: s.addr, Zone: h.zoneName(s.zone), State: s.state, Service: s.service, Slots: 64}, Count: s.count, Held: generic.SortedKeys(s.held)}
	raw, _ := json.Marshal(b)
	n := h.nodes[h.rand.IntN(h.o.Cores)]
	if !n.up || h.parted(n.zone, s.zone) {
		s.next = h.now.Add(200e6) // it tries another
		return
	}
	h.token++
	if then != nil {
		h.leaves[h.token] = then
	}
	l := h.load(h.roleOf(n), "Announce")
	l.Got++
	l.In += len(raw)
	h.post(h.steps(s.zone, n.zone), mail{to: n, life: n.life, kind: "Announce", in: controller.Announce{Token: h.token, Beacon: b}})
}

func (h *Hollow) makePlan(name string) []byte {
	type m map[string]any
	models, adapters, services := m{}, m{}, m{}
	names := make([][]string, h.o.Services)
	extra := make([][]string, h.o.Services)
	h.keys = nil
	for i := range h.o.Models {
		n, g := fmt.Sprintf("model-%03d", i), i%h.o.Services
		floor := 0
		if i < h.o.Servers/2 {
			floor = 1
		}
		models[n] = m{"size": 60_000 + 1000*(i%20), "floor": floor, "load_ms": 2000}
		k := ident.Key(n).In(fmt.Sprintf("engines-%d", g))
		h.keys = append(h.keys, []ident.Key{k})
		h.sizes[k] = 60_000 + 1000*(i%20)
		names[g] = append(names[g], n)
	}
	for i := range h.o.Adapters {
		n, b := fmt.Sprintf("adapter-%04d", i), i%h.o.Models
		base := fmt.Sprintf("model-%03d", b)
		adapters[n] = m{"base": base, "size": 400}
		k := ident.KeyOf(base, n).In(fmt.Sprintf("engines-%d", b%h.o.Services))
		h.keys[b] = append(h.keys[b], k)
		h.sizes[k] = 400
		extra[b%h.o.Services] = append(extra[b%h.o.Services], n)
	}
	routes := m{}
	for g := range h.o.Services {
		services[fmt.Sprintf("engines-%d", g)] = m{"models": names[g], "adapters": extra[g], "slots": 64, "tokens": 150_000, "room": hollowRoom, "places": hollowPlaces,
			"loads_per_s": 0.002 * float64(h.o.Servers) / float64(h.o.Services)}
		routes[fmt.Sprintf("route-%d", g)] = m{"host": fmt.Sprintf("notes-%d.example", g), "prefix": "/", "service": fmt.Sprintf("engines-%d", g), "mode": "continuous",
			"resume": true, "tries": 2, "value": 1000 - g, "wait_ms": 4000}
	}
	raw, err := json.Marshal(m{"name": name, "store": m{"loads": 4}, "models": models, "adapters": adapters, "kinds": m{}, "services": services, "routes": routes})
	if err != nil {
		panic(err) // plain tables only
	}
	return raw
}

// fillServers gives each server the models that a fleet in use would hold: popular ones often.
func (h *Hollow) fillServers() {
	weight := func(i int) float64 { return 1 / math.Pow(float64(i+1), 1.1) }
	next, turns := make([]float64, h.o.Models), make([]int, h.o.Models)
	for _, s := range h.servers {
		for range 2 {
			best := -1
			for i := range h.keys {
				k := h.keys[i][0]
				if _, has := s.held[k]; has || k.Service() != s.service {
					continue
				}
				if best < 0 || next[i] < next[best] || next[i] == next[best] && i < best {
					best = i
				}
			}
			if best < 0 {
				break
			}
			next[best] += 1 / weight(best)
			l := h.keys[best]
			s.held[l[0]] = h.sizes[l[0]]
			for range min(active(l), hollowPlaces/2) {
				k := l[1+turns[best]%active(l)]
				turns[best]++
				s.held[k] = h.sizes[k]
			}
		}
	}
}

// active counts the adapters of a model that are asked for all the time.
func active(l []ident.Key) int { return (len(l) - 1 + hollowActive - 1) / hollowActive }

func (h *Hollow) draw(r *rand.Rand) ident.Key {
	// By the inverse of a harmonic-like distribution: the first models and adapters get most.
	pick := func(n int) int {
		return min(n-1, int(math.Pow(float64(n)+1, r.Float64()))-1)
	}
	l := h.keys[pick(len(h.keys))]
	switch {
	case len(l) == 1 || r.Float64() >= h.o.Part:
		return l[0]
	case r.Float64() < hollowRare:
		return l[1+r.IntN(len(l)-1)]
	default:
		return l[1+pick(active(l))]
	}
}

// near passes what a router and its agent tell each other, and puts the synthetic demand in.
func (h *Hollow) near(n *hollowNode, body any) any {
	switch b := body.(type) {
	case protocol.Hello:
		b.Burden, b.Seats = h.demand(n)
		return b
	case protocol.Removal:
		for _, d := range b.Drops {
			delete(n.traffic.known, d.Key)
		}
	case protocol.Hold:
		if t := n.beside.traffic; b.Session != t.session {
			t.session = b.Session
			for k := range t.known {
				t.stale[k] = true
			}
			t.asked = map[ident.Key]clock.Tick{}
		}
	case protocol.News:
		t := n.beside.traffic
		for _, i := range b.Items {
			if i.Break != "" {
				delete(t.known, i.Break)
			}
			if e := i.Entry; e != nil {
				delete(t.asked, e.Key)
				delete(t.stale, e.Key)
				if !e.Same {
					t.known[e.Key] = nil
					for _, r := range e.Replicas {
						t.known[e.Key] = append(t.known[e.Key], r.Server)
					}
					t.marks[e.Key] = e.Mark
				}
			}
		}
	}
	return body
}

func (h *Hollow) demand(n *hollowNode) (map[ident.Key]protocol.Burden, map[ident.Server]int) {
	t := n.traffic
	b := map[ident.Key]protocol.Burden{}
	each := h.o.Busy * float64(h.o.Servers) / (h.o.Rate * float64(h.o.Routers))
	left := t.under[:0]
	for _, u := range t.under {
		if u.end > h.now {
			left = append(left, u)
		}
	}
	t.under = left
	if h.epoch > 0 {
		mean := h.o.Rate * 0.2
		k := 0
		for p, l := t.rand.Float64(), math.Exp(-mean); p > l; p *= t.rand.Float64() {
			k++
		}
		for range k {
			key := h.draw(t.rand)
			u := b[key]
			u.Came++
			u.Load += each
			b[key] = u
			t.lines[key] = append(t.lines[key], h.now)
		}
	}
	for _, k := range generic.SortedKeys(t.lines) {
		l := t.lines[k]
		if on := t.known[k]; len(on) > 0 && !t.stale[k] {
			for range l {
				stay := clock.Span(float64(h.o.Stay) * (0.5 + t.rand.Float64()))
				t.under = append(t.under, under{k, on[t.rand.IntN(len(on))], h.now.Add(stay)})
			}
			delete(t.lines, k)
			continue
		}
		for len(l) > 0 && h.now.Sub(l[0]) > 4e9 {
			l = l[1:]
		}
		if t.lines[k] = l; len(l) == 0 {
			delete(t.lines, k)
			continue
		}
		u := b[k]
		u.Wait, u.Top = len(l), 1000
		b[k] = u
		if at, ok := t.asked[k]; (!ok || h.now.Sub(at) > 400e6) && t.session.N > 0 {
			t.asked[k] = h.now
			w := protocol.Want{Session: t.session, Key: k, Waiting: len(l), Value: 1000}
			if t.stale[k] {
				w.Mark = t.marks[k]
			}
			h.load("router", "Want").Sent++
			h.post(0, mail{to: n.beside, life: n.beside.life, kind: "Want", in: protocol.Env{From: n.sib, To: n.beside.sib, Body: w}})
		}
	}
	seats := map[ident.Server]int{}
	for _, u := range t.under {
		x := b[u.key]
		x.Work++
		b[u.key] = x
		seats[u.server] += 150
	}
	return b, seats
}
