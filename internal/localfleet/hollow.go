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
	Routers       int
	Servers       int
	Models        int
	Adapters      int
	CoreNodes     int
	Services      int
	Zones         int
	Regions       int
	Rate          float64    // requests a second at each router
	RequestTime   clock.Span // that a request is under way
	AdapterShare  float64    // of requests that name an adapter
	Utilization   float64    // of the servers' time that all requests take
	WarmUp        clock.Span // from the plan in force everywhere until the measuring begins
	Duration      clock.Span // measured
	Changes       int        // of one item of the plan, spread over the measured time
	Failures      int        // machines, servers and routers by their numbers, likewise
	Restarts      int        // planned, likewise
	ZoneFails     bool       // a zone goes at a third of the measured time and is back at two thirds
	PartitionTime clock.Span // one region is parted from the others for so long, from a third on
	OwnerFails    bool       // the duty's owner fails at a third
	Seed          uint64
}

// Defaults fills what was left out.
func (o HollowOptions) WithDefaults() HollowOptions {
	generic.SetDefault(&o.Routers, 9)
	generic.SetDefault(&o.Servers, 13)
	generic.SetDefault(&o.Models, 8)
	generic.SetDefault(&o.CoreNodes, 3)
	generic.SetDefault(&o.Services, 1)
	generic.SetDefault(&o.Regions, 3)
	generic.SetDefault(&o.Zones, 3)
	generic.SetDefault(&o.Rate, 47)
	generic.SetDefault(&o.RequestTime, 6e9)
	generic.SetDefault(&o.AdapterShare, 0.4)
	generic.SetDefault(&o.Utilization, 0.3)
	generic.SetDefault(&o.WarmUp, 4e9)
	generic.SetDefault(&o.Duration, 10e9)
	generic.SetDefault(&o.Seed, 1)
	return o
}

const (
	stepTime          = clock.Span(20e6) // of virtual time
	ringSteps         = 128              // steps that a message may take
	announcePeriod    = clock.Span(1200e6)
	seedNodes         = 3
	serverRoom        = 200_000
	serverPlaces      = 8
	idleAdapterShare  = 0.0003 // of requests for adapters: those that name one that is mostly idle
	adaptersPerActive = 10     // one adapter in so many is not
)

// threadTime tells the processor time of the thread that runs the fleet: neither other programs nor the
// collector's own threads are in it.
func threadCPUTime() time.Duration {
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
type Cost struct {
	Inputs        int           // inputs of this kind
	StepTime      time.Duration // processor time in the core
	Sent          int           // messages of this kind
	SentBytes     int           // their bytes
	Received      int
	ReceivedBytes int
	CodecTime     time.Duration // writing and reading messages
	MaxBytes      int
}

// LoadKey names what a Load is of.
type CostKey struct{ Role, Kind string }

type hollowNode struct {
	role    string
	sibling protocol.Sibling
	zone    int
	up      bool
	starts  int
	core    stepper
	partner *hollowNode // a router's agent, an agent's router
	disk    map[string][]byte
	traffic *traffic
}

// traffic is the synthetic demand at one router.
type traffic struct {
	session  protocol.Session
	replicas map[ident.Key][]ident.Server
	marks    map[ident.Key]ident.Mark
	wantedAt map[ident.Key]clock.Tick
	stale    map[ident.Key]bool
	active   []activeRequest
	waiting  map[ident.Key][]clock.Tick
	rand     *rand.Rand
}

type activeRequest struct {
	key    ident.Key
	server ident.Server
	end    clock.Tick
}

type hollowServer struct {
	id             ident.Server
	addr           string
	number         int
	zone           int
	service        string
	starts         int
	up             bool
	state          string
	announcements  uint64
	ordersAccepted uint64
	nextAnnounce   clock.Tick
	held           map[ident.Key]int // by size
	order          protocol.Order    // under way
	orderDoneAt    clock.Tick
	restartAt      clock.Tick // it starts anew then
}

type event struct {
	to     *hollowNode
	starts int
	raw    []byte // of an envelope
	kind   string
	input  any
	run    func()
}

// Hollow is a fleet of real cores in one process, in virtual time: no sockets, no callers, and model
// servers that only beat, report and take orders.
type Hollow struct {
	opts         HollowOptions
	now          clock.Tick
	ring         [ringSteps][]event
	nodes        []*hollowNode
	nodeByAddr   map[string]*hollowNode
	servers      []*hollowServer
	serverByAddr map[string]*hollowServer
	keys         [][]ident.Key // of each model its own key and its adapters'
	sizes        map[ident.Key]int
	rand         *rand.Rand
	partitioned  func(a, b int) bool // zones
	token        uint64
	onReceipt    map[uint64]func(controller.Receipt)
	onAnnounced  map[uint64]func(ok bool)
	plan         []byte
	epoch        ident.Epoch

	Costs          map[CostKey]*Cost
	SyncedBytes    int // bytes that core nodes synced
	Syncs          int
	LogCounts      map[string]int
	Orders         int
	ApplyTimes     []clock.Span // from a change's answer to the last live router
	DetectionTimes []clock.Span // from a server's failure until the owner knew
	TermStarts     []clock.Tick
	samples        []ServiceSample
	measuredFrom   clock.Tick
	pending        []*pendingChange
	undetected     map[ident.Server]clock.Tick
}

type pendingChange struct {
	epoch ident.Epoch
	at    clock.Tick
}

// Mark is the state of a hollow fleet's service at one moment.
type ServiceSample struct {
	At         clock.Span
	Routers    int // up
	Leased     int // of them, those with a hold
	BelowFloor int // models with a floor and no ready replica at a live server
	Waiting    int // requests without a server
}

// NewHollow lays out a hollow fleet and starts it.
func NewHollow(o HollowOptions) *Hollow {
	h := &Hollow{opts: o.WithDefaults(), now: 1e9, nodeByAddr: map[string]*hollowNode{}, serverByAddr: map[string]*hollowServer{}, sizes: map[ident.Key]int{},
		onReceipt: map[uint64]func(controller.Receipt){}, onAnnounced: map[uint64]func(bool){}, Costs: map[CostKey]*Cost{}, LogCounts: map[string]int{},
		partitioned: func(int, int) bool { return false }, undetected: map[ident.Server]clock.Tick{}}
	h.rand = rand.New(rand.NewPCG(h.opts.Seed, 7))
	h.plan = h.makePlan("first")
	for i := range h.opts.CoreNodes {
		h.addNode(&hollowNode{role: "core", sibling: protocol.Sibling{ID: ident.Node(fmt.Sprintf("loop-%02d", i)), Addr: fmt.Sprintf("10.1.0.%d:7000", i+1)}, zone: i * max(1, h.opts.Zones/h.opts.Regions) % h.opts.Zones, disk: map[string][]byte{}})
	}
	for i := range h.opts.Routers {
		a := &hollowNode{role: "agent", sibling: protocol.Sibling{ID: ident.Node(fmt.Sprintf("edge-%04d", i)), Addr: fmt.Sprintf("10.2.%d.%d:7002", i/250, i%250+1)}, zone: i % h.opts.Zones}
		l := &hollowNode{role: "router", sibling: protocol.Sibling{ID: "router", Addr: "router"}, zone: a.zone, partner: a}
		a.partner = l
		h.addNode(a)
		h.nodes = append(h.nodes, l)
		h.startNode(l)
	}
	for i := range h.opts.Servers {
		s := &hollowServer{number: i, zone: i % h.opts.Zones, service: fmt.Sprintf("engines-%d", i%h.opts.Services), addr: fmt.Sprintf("10.3.%d.%d:9000", i/250, i%250+1)}
		h.servers = append(h.servers, s)
		h.serverByAddr[s.addr] = s
		h.startServer(s)
		s.nextAnnounce = h.now.Add(clock.Span(h.rand.Int64N(int64(announcePeriod))))
	}
	h.fillServers()
	return h
}

func (h *Hollow) addNode(n *hollowNode) {
	h.nodes = append(h.nodes, n)
	h.nodeByAddr[n.sibling.Addr] = n
	h.startNode(n)
}

func (h *Hollow) newRand(n *hollowNode) *rand.Rand {
	sum := uint64(n.starts)
	for _, b := range string(n.sibling.ID) + n.role {
		sum = sum*131 + uint64(b)
	}
	return rand.New(rand.NewPCG(h.opts.Seed, sum))
}

func (h *Hollow) zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%02d", i)) }

func (h *Hollow) region(zone int) int { return zone * h.opts.Regions / h.opts.Zones }

func (h *Hollow) startNode(n *hollowNode) {
	n.up = true
	n.starts++
	inc := ident.Inc(1e12 + uint64(h.now)/1e6*1e3 + uint64(len(h.nodes)))
	var seeds []protocol.Sibling
	for i := range min(seedNodes, h.opts.CoreNodes) {
		seeds = append(seeds, protocol.Sibling{Addr: fmt.Sprintf("10.1.0.%d:7000", i+1)})
	}
	switch n.role {
	case "core":
		n.core = controller.New(controller.Options{Me: n.sibling, Zone: h.zoneName(n.zone), Inc: inc, Seeds: seeds, Rand: h.newRand(n),
			Duty: 800e6, Round: 200e6, Hold: 1400e6, Spare: 1200e6, Silence: announcePeriod*3 + announcePeriod/4, Rate: 5e9,
			Enrolled: true, Unfenced: true, Warm: true})
		disk := map[string][]byte{}
		for k, b := range n.disk {
			disk[k] = b
		}
		h.schedule(1, event{to: n, starts: n.starts, kind: "Start", input: protocol.Start{Disk: disk}})
	case "agent":
		n.core = agent.New(agent.Options{Me: n.sibling, Zone: h.zoneName(n.zone), Inc: inc, Life: inc, Seeds: seeds, Rand: h.newRand(n),
			Router: protocol.Sibling{ID: "router", Addr: "router"}})
	case "router":
		n.core = router.New(router.Options{Me: n.sibling, Inc: inc, Agent: protocol.Sibling{Addr: "agent"}, Zone: h.zoneName(n.zone), Free: true, Guards: true, Lend: 10})
		n.traffic = &traffic{replicas: map[ident.Key][]ident.Server{}, marks: map[ident.Key]ident.Mark{}, wantedAt: map[ident.Key]clock.Tick{},
			stale: map[ident.Key]bool{}, waiting: map[ident.Key][]clock.Tick{}, rand: h.newRand(n)}
	}
}

func (h *Hollow) schedule(steps int, m event) {
	i := int(int64(h.now)/int64(stepTime)) + steps
	h.ring[i%ringSteps] = append(h.ring[i%ringSteps], m)
}

func (h *Hollow) cost(role, kind string) *Cost {
	k := CostKey{role, kind}
	l := h.Costs[k]
	if l == nil {
		l = &Cost{}
		h.Costs[k] = l
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
func (h *Hollow) latencySteps(a, b int) int {
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
	at := threadCPUTime()
	out := n.core.Step(h.now, in)
	l := h.cost(role, kind)
	l.StepTime += threadCPUTime() - at
	l.Inputs++
	for _, o := range out {
		h.handleOutput(n, role, o)
	}
}

func (h *Hollow) handleOutput(n *hollowNode, role string, o any) {
	switch v := o.(type) {
	case protocol.Env:
		h.send(n, role, v)
	case protocol.Save:
		for k, b := range v.Puts {
			n.disk[k] = b
			h.SyncedBytes += len(b)
		}
		h.Syncs++
		h.schedule(1, event{to: n, starts: n.starts, kind: "Saved", input: protocol.Saved{Token: v.Token}})
	case protocol.Compute:
		at := threadCPUTime()
		v.Run()
		h.cost(role, "Compute").StepTime += threadCPUTime() - at
		h.schedule(1, event{to: n, starts: n.starts, kind: "Computed", input: protocol.Computed{Token: v.Token}})
	case protocol.Ask:
		h.askServer(n, role, v)
	case protocol.Note:
		if server, dark := unreachableServer(v); dark {
			h.recordDetection(server)
			return
		}
		h.countLog(n, v.Text)
	case protocol.Oops:
		h.countLog(n, v.Text)
	case controller.Receipt:
		if f := h.onReceipt[v.Token]; f != nil {
			delete(h.onReceipt, v.Token)
			f(v)
		}
	case controller.Announced:
		if f := h.onAnnounced[v.Token]; f != nil {
			delete(h.onAnnounced, v.Token)
			f(v.OK)
		}
	}
}

// takenForDark tells whether a log line says that a server is taken for dark, and which.
func unreachableServer(line protocol.Note) (server ident.Server, dark bool) {
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
func (h *Hollow) recordDetection(server ident.Server) {
	at, failed := h.undetected[server]
	if !failed {
		h.LogCounts["a live server is taken for dark"]++
		return
	}
	h.DetectionTimes = append(h.DetectionTimes, h.now.Sub(at))
	delete(h.undetected, server)
}

func (h *Hollow) countLog(n *hollowNode, s string) {
	w := strings.Fields(s)
	if strings.HasPrefix(s, "duty") && strings.HasSuffix(s, "begins") {
		h.TermStarts = append(h.TermStarts, h.now)
	}
	for i, x := range w { // numbers and names make no kind of their own
		if strings.ContainsAny(x, "0123456789") {
			w[i] = "#"
		}
	}
	h.LogCounts[strings.Join(w, " ")]++
}

func (h *Hollow) send(n *hollowNode, role string, e protocol.Env) {
	kind := protocol.Kind(e.Body)
	if b := n.partner; b != nil && (e.To.Addr == "router" || e.To.Addr == "agent") {
		e.Body = h.exchangeLocal(n, e.Body)
		h.cost(role, kind).Sent++
		h.schedule(0, event{to: b, starts: b.starts, kind: kind, input: e})
		return
	}
	at := threadCPUTime()
	raw, err := protocol.Pack(e)
	if err != nil {
		panic(err) // only our own types come here
	}
	l := h.cost(role, kind)
	l.CodecTime += threadCPUTime() - at
	l.Sent++
	l.SentBytes += len(raw)
	l.MaxBytes = max(l.MaxBytes, len(raw))
	to := h.nodeByAddr[e.Hop().Addr]
	if to == nil || h.partitioned(n.zone, to.zone) {
		return
	}
	h.schedule(h.latencySteps(n.zone, to.zone), event{to: to, starts: to.starts, kind: kind, raw: raw})
}

func (h *Hollow) deliver(m event) {
	if m.run != nil {
		m.run()
		return
	}
	if !m.to.up || m.to.starts != m.starts {
		return
	}
	if m.raw == nil {
		h.step(m.to, m.kind, m.input)
		return
	}
	at := threadCPUTime()
	e, err := protocol.Unpack(m.raw)
	if err != nil {
		panic(err) // it was packed a moment ago
	}
	l := h.cost(h.roleOf(m.to), m.kind)
	l.CodecTime += threadCPUTime() - at
	l.Received++
	l.ReceivedBytes += len(m.raw)
	h.step(m.to, m.kind, e)
}

// ask is a question to a model server, over HTTP in a real fleet: its bytes here are the bodies'.
func (h *Hollow) askServer(n *hollowNode, role string, a protocol.Ask) {
	q := a.Body.(protocol.Order)
	kind := "report"
	if q.Op != "" {
		kind = "order"
		h.Orders++
	}
	l := h.cost(role, "ask "+kind)
	l.Sent++
	raw, _ := json.Marshal(q)
	l.SentBytes += len(raw)
	s := h.serverByAddr[a.Addr]
	d := h.latencySteps(n.zone, s.zone)
	if !s.up || s.state == "gone" || h.partitioned(n.zone, s.zone) {
		h.schedule(int(a.Wait/stepTime), event{to: n, starts: n.starts, kind: "Told", input: protocol.Told{Token: a.Token}})
		return
	}
	h.schedule(d, event{run: func() {
		t := s.handleOrder(h, q)
		t.Token = a.Token
		l.Received++
		l.ReceivedBytes += len(t.Body)
		h.schedule(d, event{to: n, starts: n.starts, kind: "Told", input: t})
	}})
}

func (s *hollowServer) handleOrder(h *Hollow, q protocol.Order) protocol.Told {
	if q.Op == "" {
		r := protocol.Report{Server: s.id, Num: s.ordersAccepted, Room: serverRoom, Slots: 64, Busy: s.orderDoneAt != 0}
		for _, k := range generic.SortedKeys(s.held) {
			r.Held = append(r.Held, protocol.Held{Key: k, Size: s.held[k], Stage: "ready"})
		}
		raw, _ := json.Marshal(r)
		return protocol.Told{OK: true, Code: 200, Body: raw}
	}
	if q.Expected != s.ordersAccepted || s.orderDoneAt != 0 {
		return protocol.Told{OK: true, Code: 409}
	}
	if _, has := s.held[q.Key]; has == (q.Op == "load") {
		return protocol.Told{OK: true, Code: 200}
	}
	s.ordersAccepted++
	s.order = q
	took := clock.Span(2000e6)
	if q.Key.IsAdapter() || q.Op == "unload" {
		took = 200e6
	}
	s.orderDoneAt = h.now.Add(took)
	return protocol.Told{OK: true, Code: 202}
}

func (h *Hollow) startServer(s *hollowServer) {
	s.starts++
	s.id = ident.Server(fmt.Sprintf("server-%04d-%d", s.number, s.starts))
	s.up, s.state, s.announcements, s.ordersAccepted, s.orderDoneAt, s.restartAt = true, "live", 0, 0, 0, 0
	s.held = map[ident.Key]int{}
	s.nextAnnounce = h.now
}

func (h *Hollow) stepServer(s *hollowServer) {
	if !s.up {
		if s.restartAt != 0 && h.now >= s.restartAt {
			h.startServer(s)
		}
		return
	}
	if s.orderDoneAt != 0 && h.now >= s.orderDoneAt {
		s.orderDoneAt = 0
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
	if h.now >= s.nextAnnounce {
		s.nextAnnounce = h.now.Add(announcePeriod)
		h.announce(s, nil)
	}
}

// announce sends a server's word to any core node that it reaches.
func (h *Hollow) announce(s *hollowServer, then func(bool)) {
	s.announcements++
	b := protocol.Beacon{Listed: protocol.Listed{ID: s.id, Addr: s.addr, Zone: h.zoneName(s.zone), State: s.state, Service: s.service, Slots: 64}, Count: s.announcements, Held: generic.SortedKeys(s.held)}
	raw, _ := json.Marshal(b)
	n := h.nodes[h.rand.IntN(h.opts.CoreNodes)]
	if !n.up || h.partitioned(n.zone, s.zone) {
		s.nextAnnounce = h.now.Add(200e6) // it tries another
		return
	}
	h.token++
	if then != nil {
		h.onAnnounced[h.token] = then
	}
	l := h.cost(h.roleOf(n), "Announce")
	l.Received++
	l.ReceivedBytes += len(raw)
	h.schedule(h.latencySteps(s.zone, n.zone), event{to: n, starts: n.starts, kind: "Announce", input: controller.Announce{Token: h.token, Beacon: b}})
}

func (h *Hollow) makePlan(name string) []byte {
	type m map[string]any
	models, adapters, services := m{}, m{}, m{}
	names := make([][]string, h.opts.Services)
	extra := make([][]string, h.opts.Services)
	h.keys = nil
	for i := range h.opts.Models {
		n, g := fmt.Sprintf("model-%03d", i), i%h.opts.Services
		floor := 0
		if i < h.opts.Servers/2 {
			floor = 1
		}
		models[n] = m{"size": 60_000 + 1000*(i%20), "floor": floor, "load_ms": 2000}
		k := ident.Key(n).In(fmt.Sprintf("engines-%d", g))
		h.keys = append(h.keys, []ident.Key{k})
		h.sizes[k] = 60_000 + 1000*(i%20)
		names[g] = append(names[g], n)
	}
	for i := range h.opts.Adapters {
		n, b := fmt.Sprintf("adapter-%04d", i), i%h.opts.Models
		base := fmt.Sprintf("model-%03d", b)
		adapters[n] = m{"base": base, "size": 400}
		k := ident.KeyOf(base, n).In(fmt.Sprintf("engines-%d", b%h.opts.Services))
		h.keys[b] = append(h.keys[b], k)
		h.sizes[k] = 400
		extra[b%h.opts.Services] = append(extra[b%h.opts.Services], n)
	}
	routes := m{}
	for g := range h.opts.Services {
		services[fmt.Sprintf("engines-%d", g)] = m{"models": names[g], "adapters": extra[g], "slots": 64, "tokens": 150_000, "room": serverRoom, "places": serverPlaces,
			"loads_per_s": 0.002 * float64(h.opts.Servers) / float64(h.opts.Services)}
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
	next, turns := make([]float64, h.opts.Models), make([]int, h.opts.Models)
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
			for range min(activeAdapters(l), serverPlaces/2) {
				k := l[1+turns[best]%activeAdapters(l)]
				turns[best]++
				s.held[k] = h.sizes[k]
			}
		}
	}
}

// active counts the adapters of a model that are asked for all the time.
func activeAdapters(l []ident.Key) int {
	return (len(l) - 1 + adaptersPerActive - 1) / adaptersPerActive
}

func (h *Hollow) pickKey(r *rand.Rand) ident.Key {
	// By the inverse of a harmonic-like distribution: the first models and adapters get most.
	pick := func(n int) int {
		return min(n-1, int(math.Pow(float64(n)+1, r.Float64()))-1)
	}
	l := h.keys[pick(len(h.keys))]
	switch {
	case len(l) == 1 || r.Float64() >= h.opts.AdapterShare:
		return l[0]
	case r.Float64() < idleAdapterShare:
		return l[1+r.IntN(len(l)-1)]
	default:
		return l[1+pick(activeAdapters(l))]
	}
}

// near passes what a router and its agent tell each other, and puts the synthetic demand in.
func (h *Hollow) exchangeLocal(n *hollowNode, body any) any {
	switch b := body.(type) {
	case protocol.Hello:
		b.Burden, b.Seats = h.demand(n)
		return b
	case protocol.Removal:
		for _, d := range b.Drops {
			delete(n.traffic.replicas, d.Key)
		}
	case protocol.Hold:
		if t := n.partner.traffic; b.Session != t.session {
			t.session = b.Session
			for k := range t.replicas {
				t.stale[k] = true
			}
			t.wantedAt = map[ident.Key]clock.Tick{}
		}
	case protocol.News:
		t := n.partner.traffic
		for _, i := range b.Items {
			if i.Break != "" {
				delete(t.replicas, i.Break)
			}
			if e := i.Entry; e != nil {
				delete(t.wantedAt, e.Key)
				delete(t.stale, e.Key)
				if !e.Same {
					t.replicas[e.Key] = nil
					for _, r := range e.Replicas {
						t.replicas[e.Key] = append(t.replicas[e.Key], r.Server)
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
	each := h.opts.Utilization * float64(h.opts.Servers) / (h.opts.Rate * float64(h.opts.Routers))
	left := t.active[:0]
	for _, u := range t.active {
		if u.end > h.now {
			left = append(left, u)
		}
	}
	t.active = left
	if h.epoch > 0 {
		mean := h.opts.Rate * 0.2
		k := 0
		for p, l := t.rand.Float64(), math.Exp(-mean); p > l; p *= t.rand.Float64() {
			k++
		}
		for range k {
			key := h.pickKey(t.rand)
			u := b[key]
			u.Came++
			u.Load += each
			b[key] = u
			t.waiting[key] = append(t.waiting[key], h.now)
		}
	}
	for _, k := range generic.SortedKeys(t.waiting) {
		l := t.waiting[k]
		if on := t.replicas[k]; len(on) > 0 && !t.stale[k] {
			for range l {
				stay := clock.Span(float64(h.opts.RequestTime) * (0.5 + t.rand.Float64()))
				t.active = append(t.active, activeRequest{k, on[t.rand.IntN(len(on))], h.now.Add(stay)})
			}
			delete(t.waiting, k)
			continue
		}
		for len(l) > 0 && h.now.Sub(l[0]) > 4e9 {
			l = l[1:]
		}
		if t.waiting[k] = l; len(l) == 0 {
			delete(t.waiting, k)
			continue
		}
		u := b[k]
		u.Wait, u.Top = len(l), 1000
		b[k] = u
		if at, ok := t.wantedAt[k]; (!ok || h.now.Sub(at) > 400e6) && t.session.N > 0 {
			t.wantedAt[k] = h.now
			w := protocol.Want{Session: t.session, Key: k, Waiting: len(l), Value: 1000}
			if t.stale[k] {
				w.Mark = t.marks[k]
			}
			h.cost("router", "Want").Sent++
			h.schedule(0, event{to: n.partner, starts: n.partner.starts, kind: "Want", input: protocol.Env{From: n.sibling, To: n.partner.sibling, Body: w}})
		}
	}
	seats := map[ident.Server]int{}
	for _, u := range t.active {
		x := b[u.key]
		x.Work++
		b[u.key] = x
		seats[u.server] += 150
	}
	return b, seats
}
