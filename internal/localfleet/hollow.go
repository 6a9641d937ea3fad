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

// HollowOptions set the size of a hollow fleet, its load, and the changes and failures during the measurement.
type HollowOptions struct {
	Routers       int
	Servers       int
	Models        int
	Adapters      int
	CoreNodes     int
	Services      int
	Zones         int
	Regions       int
	Rate          float64    // requests per second at each router
	RequestTime   clock.Span // mean duration of a request
	AdapterShare  float64    // fraction of requests that name an adapter
	Utilization   float64    // fraction of the servers' time that all requests take
	WarmUp        clock.Span // from the plan being in force everywhere until the measurement begins
	Duration      clock.Span // of the measurement
	Changes       int        // of one item of the plan, spread over the measurement
	Failures      int        // of machines (servers and routers in proportion), likewise
	Restarts      int        // planned restarts of servers, likewise
	ZoneFails     bool       // a zone fails at one third of the measurement and recovers at two thirds
	PartitionTime clock.Span // how long one region is partitioned from the others, from one third on
	OwnerFails    bool       // the leader fails at one third
	Seed          uint64
}

// WithDefaults returns the options with defaults for the fields that are zero.
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
	ringSteps         = 128              // bounds the steps between scheduling and delivery
	announcePeriod    = clock.Span(1200e6)
	seedNodes         = 3
	serverRoom        = 200_000
	serverPlaces      = 8
	idleAdapterShare  = 0.0003 // fraction of adapter requests that name an idle adapter
	adaptersPerActive = 10     // one in this many adapters is active, the others are mostly idle
)

// threadCPUTime returns the processor time of the calling thread, which runs the fleet. This excludes other programs and
// the garbage collector's own threads.
func threadCPUTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // always supported on Linux
	}
	return time.Duration(t.Nano())
}

type stepper interface {
	Step(now clock.Instant, in any) []any
}

// Cost is the cost of one kind of input or message to one role.
type Cost struct {
	Inputs        int
	StepTime      time.Duration // processor time in the core
	Sent          int           // messages
	SentBytes     int
	Received      int
	ReceivedBytes int
	CodecTime     time.Duration // encoding and decoding messages
	MaxBytes      int           // of one message
}

// CostKey identifies a Cost by its role and its kind of input or message.
type CostKey struct{ Role, Kind string }

type hollowNode struct {
	role    string
	sibling protocol.Peer
	zone    int
	up      bool
	starts  int // invalidates events of earlier starts
	core    stepper
	partner *hollowNode // the agent of a router, the router of an agent
	disk    map[string][]byte
	traffic *traffic
}

// traffic is the synthetic demand at one router.
type traffic struct {
	session  protocol.Session
	replicas map[ident.Key][]ident.Server
	marks    map[ident.Key]ident.Digest
	wantedAt map[ident.Key]clock.Instant
	stale    map[ident.Key]bool
	active   []activeRequest
	waiting  map[ident.Key][]clock.Instant
	rand     *rand.Rand
}

// activeRequest is a request being processed at a server.
type activeRequest struct {
	key    ident.Key
	server ident.Server
	end    clock.Instant
}

// hollowServer is a model server that announces itself, reports its state and executes orders.
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
	nextAnnounce   clock.Instant
	held           map[ident.Key]int // size by key
	order          protocol.Order    // in progress until orderDoneAt
	orderDoneAt    clock.Instant
	restartAt      clock.Instant // zero if the server stays down
}

// event is the delivery of an input or a packed message to a node, or a function to run.
type event struct {
	to     *hollowNode
	starts int
	raw    []byte // packed envelope
	kind   string
	input  any
	run    func()
}

// Hollow is a fleet of the production cores in one process and in virtual time. It has no sockets and no callers, and
// its model servers only announce themselves, report and execute orders.
type Hollow struct {
	opts         HollowOptions
	now          clock.Instant
	ring         [ringSteps][]event
	nodes        []*hollowNode
	nodeByAddr   map[string]*hollowNode
	servers      []*hollowServer
	serverByAddr map[string]*hollowServer
	keys         [][]ident.Key // by model: its own key, then those of its adapters
	sizes        map[ident.Key]int
	rand         *rand.Rand
	partitioned  func(a, b int) bool // by zone
	token        uint64
	onReceipt    map[uint64]func(controller.Receipt)
	onAnnounced  map[uint64]func(ok bool)
	plan         []byte
	epoch        ident.Epoch

	Costs          map[CostKey]*Cost
	SyncedBytes    int // bytes that core nodes synced to disk
	Syncs          int
	LogCounts      map[string]int
	Orders         int
	ApplyTimes     []clock.Span // from the reply to a change until in force at the last live router
	DetectionTimes []clock.Span // from a server's failure until the leader detected it
	TermStarts     []clock.Instant
	samples        []ServiceSample
	measuredFrom   clock.Instant
	pending        []*pendingChange
	undetected     map[ident.Server]clock.Instant
}

// pendingChange is an accepted change that is not yet in force at every live router.
type pendingChange struct {
	epoch ident.Epoch
	at    clock.Instant
}

// ServiceSample is the state of a hollow fleet's service at one moment.
type ServiceSample struct {
	At         clock.Span
	Routers    int // up
	Leased     int // of them, those with a lease
	BelowFloor int // models with a floor and no ready replica at a live server
	Waiting    int // requests waiting for a replica
}

// NewHollow creates a hollow fleet and starts its nodes and servers.
func NewHollow(options HollowOptions) *Hollow {
	h := &Hollow{opts: options.WithDefaults(), now: 1e9, nodeByAddr: map[string]*hollowNode{}, serverByAddr: map[string]*hollowServer{}, sizes: map[ident.Key]int{},
		onReceipt: map[uint64]func(controller.Receipt){}, onAnnounced: map[uint64]func(bool){}, Costs: map[CostKey]*Cost{}, LogCounts: map[string]int{},
		partitioned: func(int, int) bool { return false }, undetected: map[ident.Server]clock.Instant{}}
	h.rand = rand.New(rand.NewPCG(h.opts.Seed, 7))
	h.plan = h.makePlan("first")
	for i := range h.opts.CoreNodes {
		h.addNode(&hollowNode{role: "core", sibling: protocol.Peer{ID: ident.Node(fmt.Sprintf("loop-%02d", i)), Addr: fmt.Sprintf("10.1.0.%d:7000", i+1)}, zone: i * max(1, h.opts.Zones/h.opts.Regions) % h.opts.Zones, disk: map[string][]byte{}})
	}
	for i := range h.opts.Routers {
		agentNode := &hollowNode{role: "agent", sibling: protocol.Peer{ID: ident.Node(fmt.Sprintf("edge-%04d", i)), Addr: fmt.Sprintf("10.2.%d.%d:7002", i/250, i%250+1)}, zone: i % h.opts.Zones}
		routerNode := &hollowNode{role: "router", sibling: protocol.Peer{ID: "router", Addr: "router"}, zone: agentNode.zone, partner: agentNode}
		agentNode.partner = routerNode
		h.addNode(agentNode)
		h.nodes = append(h.nodes, routerNode)
		h.startNode(routerNode)
	}
	for i := range h.opts.Servers {
		server := &hollowServer{number: i, zone: i % h.opts.Zones, service: fmt.Sprintf("engines-%d", i%h.opts.Services), addr: fmt.Sprintf("10.3.%d.%d:9000", i/250, i%250+1)}
		h.servers = append(h.servers, server)
		h.serverByAddr[server.addr] = server
		h.startServer(server)
		server.nextAnnounce = h.now.Add(clock.Span(h.rand.Int64N(int64(announcePeriod))))
	}
	h.fillServers()
	return h
}

func (h *Hollow) addNode(node *hollowNode) {
	h.nodes = append(h.nodes, node)
	h.nodeByAddr[node.sibling.Addr] = node
	h.startNode(node)
}

func (h *Hollow) newRand(node *hollowNode) *rand.Rand {
	sum := uint64(node.starts)
	for _, char := range string(node.sibling.ID) + node.role {
		sum = sum*131 + uint64(char)
	}
	return rand.New(rand.NewPCG(h.opts.Seed, sum))
}

func (h *Hollow) zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%02d", i)) }

func (h *Hollow) region(zone int) int { return zone * h.opts.Regions / h.opts.Zones }

func (h *Hollow) startNode(node *hollowNode) {
	node.up = true
	node.starts++
	inc := ident.Incarnation(1e12 + uint64(h.now)/1e6*1e3 + uint64(len(h.nodes)))
	var seeds []protocol.Peer
	for i := range min(seedNodes, h.opts.CoreNodes) {
		seeds = append(seeds, protocol.Peer{Addr: fmt.Sprintf("10.1.0.%d:7000", i+1)})
	}
	switch node.role {
	case "core":
		node.core = controller.New(controller.Options{Self: node.sibling, Zone: h.zoneName(node.zone), Inc: inc, Seeds: seeds, Rand: h.newRand(node),
			LeadershipLease: 800e6, ReadInterval: 200e6, RouterLease: 1400e6, ReplaceAfter: 1200e6, SilenceTimeout: announcePeriod*3 + announcePeriod/4, RateWindow: 5e9,
			Enrolled: true, Unfenced: true, Preload: true})
		disk := map[string][]byte{}
		for key, value := range node.disk {
			disk[key] = value
		}
		h.schedule(1, event{to: node, starts: node.starts, kind: "Start", input: protocol.Start{Disk: disk}})
	case "agent":
		node.core = agent.New(agent.Options{Self: node.sibling, Zone: h.zoneName(node.zone), Inc: inc, Life: inc, Seeds: seeds, Rand: h.newRand(node),
			Router: protocol.Peer{ID: "router", Addr: "router"}})
	case "router":
		node.core = router.New(router.Options{Self: node.sibling, Inc: inc, Agent: protocol.Peer{Addr: "agent"}, Zone: h.zoneName(node.zone), StatelessServers: true, ServersEnforcePlacement: true, RetryMargin: 10})
		node.traffic = &traffic{replicas: map[ident.Key][]ident.Server{}, marks: map[ident.Key]ident.Digest{}, wantedAt: map[ident.Key]clock.Instant{},
			stale: map[ident.Key]bool{}, waiting: map[ident.Key][]clock.Instant{}, rand: h.newRand(node)}
	}
}

func (h *Hollow) schedule(steps int, e event) {
	step := int(int64(h.now)/int64(stepTime)) + steps
	h.ring[step%ringSteps] = append(h.ring[step%ringSteps], e)
}

func (h *Hollow) cost(role, kind string) *Cost {
	key := CostKey{role, kind}
	cost := h.Costs[key]
	if cost == nil {
		cost = &Cost{}
		h.Costs[key] = cost
	}
	return cost
}

func (h *Hollow) roleOf(node *hollowNode) string {
	if c, ok := node.core.(*controller.Core); ok {
		if _, owns := c.Owns(h.now); owns {
			return "owner"
		}
	}
	return node.role
}

// latencySteps returns the latency of a message between two zones: one step within a region, two between regions.
func (h *Hollow) latencySteps(a, b int) int {
	if h.region(a) == h.region(b) {
		return 1
	}
	return 2
}

func (h *Hollow) step(node *hollowNode, kind string, input any) {
	if !node.up {
		return
	}
	role := h.roleOf(node)
	startedAt := threadCPUTime()
	outputs := node.core.Step(h.now, input)
	cost := h.cost(role, kind)
	cost.StepTime += threadCPUTime() - startedAt
	cost.Inputs++
	for _, output := range outputs {
		h.handleOutput(node, role, output)
	}
}

func (h *Hollow) handleOutput(node *hollowNode, role string, output any) {
	switch v := output.(type) {
	case protocol.Envelope:
		h.send(node, role, v)
	case protocol.Save:
		for key, value := range v.Puts {
			node.disk[key] = value
			h.SyncedBytes += len(value)
		}
		h.Syncs++
		h.schedule(1, event{to: node, starts: node.starts, kind: "Saved", input: protocol.Saved{Token: v.Token}})
	case protocol.Compute:
		startedAt := threadCPUTime()
		v.Run()
		h.cost(role, "Compute").StepTime += threadCPUTime() - startedAt
		h.schedule(1, event{to: node, starts: node.starts, kind: "Computed", input: protocol.Computed{Token: v.Token}})
	case protocol.HTTPRequest:
		h.askServer(node, role, v)
	case protocol.LogLine:
		if server, ok := unreachableServer(v); ok {
			h.recordDetection(server)
			return
		}
		h.countLog(node, v.Text)
	case protocol.ErrorReport:
		h.countLog(node, v.Text)
	case controller.Receipt:
		if then := h.onReceipt[v.Token]; then != nil {
			delete(h.onReceipt, v.Token)
			then(v)
		}
	case controller.Announced:
		if then := h.onAnnounced[v.Token]; then != nil {
			delete(h.onAnnounced, v.Token)
			then(v.OK)
		}
	}
}

// unreachableServer reports whether a log line says that a server does not answer, and returns the server.
func unreachableServer(line protocol.LogLine) (server ident.Server, ok bool) {
	if line.Text != "server does not answer" && line.Text != "server is silent and does not answer" {
		return "", false
	}
	for _, field := range line.Fields {
		if id, ok := field.Value.(ident.Server); ok && field.Name == "server" {
			server = id
		}
	}
	return server, server != ""
}

// recordDetection records how long after its failure a server was found unreachable.
func (h *Hollow) recordDetection(server ident.Server) {
	failedAt, failed := h.undetected[server]
	if !failed {
		h.LogCounts["live server reported unreachable"]++
		return
	}
	h.DetectionTimes = append(h.DetectionTimes, h.now.Sub(failedAt))
	delete(h.undetected, server)
}

func (h *Hollow) countLog(node *hollowNode, text string) {
	words := strings.Fields(text)
	if strings.HasPrefix(text, "duty") && strings.HasSuffix(text, "begins") {
		h.TermStarts = append(h.TermStarts, h.now)
	}
	for i, word := range words { // lines that differ only in numbers and names count as one
		if strings.ContainsAny(word, "0123456789") {
			words[i] = "#"
		}
	}
	h.LogCounts[strings.Join(words, " ")]++
}

func (h *Hollow) send(node *hollowNode, role string, env protocol.Envelope) {
	kind := protocol.Kind(env.Body)
	if partner := node.partner; partner != nil && (env.To.Addr == "router" || env.To.Addr == "agent") {
		env.Body = h.exchangeLocal(node, env.Body)
		h.cost(role, kind).Sent++
		h.schedule(0, event{to: partner, starts: partner.starts, kind: kind, input: env})
		return
	}
	startedAt := threadCPUTime()
	raw, err := protocol.Pack(env)
	if err != nil {
		panic(err) // the cores send only types that Pack supports
	}
	cost := h.cost(role, kind)
	cost.CodecTime += threadCPUTime() - startedAt
	cost.Sent++
	cost.SentBytes += len(raw)
	cost.MaxBytes = max(cost.MaxBytes, len(raw))
	to := h.nodeByAddr[env.NextHop().Addr]
	if to == nil || h.partitioned(node.zone, to.zone) {
		return
	}
	h.schedule(h.latencySteps(node.zone, to.zone), event{to: to, starts: to.starts, kind: kind, raw: raw})
}

func (h *Hollow) deliver(e event) {
	if e.run != nil {
		e.run()
		return
	}
	if !e.to.up || e.to.starts != e.starts {
		return
	}
	if e.raw == nil {
		h.step(e.to, e.kind, e.input)
		return
	}
	startedAt := threadCPUTime()
	env, err := protocol.Unpack(e.raw)
	if err != nil {
		panic(err) // packed by send
	}
	cost := h.cost(h.roleOf(e.to), e.kind)
	cost.CodecTime += threadCPUTime() - startedAt
	cost.Received++
	cost.ReceivedBytes += len(e.raw)
	h.step(e.to, e.kind, env)
}

// askServer sends a request to a model server. A real fleet uses HTTP; the bytes counted here are those of the bodies.
func (h *Hollow) askServer(node *hollowNode, role string, ask protocol.HTTPRequest) {
	order := ask.Body.(protocol.Order)
	kind := "report"
	if order.Op != "" {
		kind = "order"
		h.Orders++
	}
	cost := h.cost(role, "ask "+kind)
	cost.Sent++
	raw, _ := json.Marshal(order)
	cost.SentBytes += len(raw)
	server := h.serverByAddr[ask.Addr]
	latency := h.latencySteps(node.zone, server.zone)
	if !server.up || server.state == "gone" || h.partitioned(node.zone, server.zone) {
		h.schedule(int(ask.Timeout/stepTime), event{to: node, starts: node.starts, kind: "Told", input: protocol.HTTPResult{Token: ask.Token}})
		return
	}
	h.schedule(latency, event{run: func() {
		told := server.handleOrder(h, order)
		told.Token = ask.Token
		cost.Received++
		cost.ReceivedBytes += len(told.Body)
		h.schedule(latency, event{to: node, starts: node.starts, kind: "Told", input: told})
	}})
}

func (s *hollowServer) handleOrder(h *Hollow, order protocol.Order) protocol.HTTPResult {
	if order.Op == "" {
		report := protocol.ServerReport{Server: s.id, Num: s.ordersAccepted, Room: serverRoom, Slots: 64, Busy: s.orderDoneAt != 0}
		for _, key := range generic.SortedKeys(s.held) {
			report.Held = append(report.Held, protocol.HeldKey{Key: key, Size: s.held[key], Stage: "ready"})
		}
		raw, _ := json.Marshal(report)
		return protocol.HTTPResult{OK: true, Code: 200, Body: raw}
	}
	if order.Expected != s.ordersAccepted || s.orderDoneAt != 0 {
		return protocol.HTTPResult{OK: true, Code: 409}
	}
	if _, held := s.held[order.Key]; held == (order.Op == "load") {
		return protocol.HTTPResult{OK: true, Code: 200}
	}
	s.ordersAccepted++
	s.order = order
	duration := clock.Span(2000e6)
	if order.Key.IsAdapter() || order.Op == "unload" {
		duration = 200e6
	}
	s.orderDoneAt = h.now.Add(duration)
	return protocol.HTTPResult{OK: true, Code: 202}
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

// announce sends a server's announcement to a random core node. If the node cannot be reached, the server retries soon.
func (h *Hollow) announce(s *hollowServer, then func(bool)) {
	s.announcements++
	beacon := protocol.Announcement{ListedServer: protocol.ListedServer{ID: s.id, Addr: s.addr, Zone: h.zoneName(s.zone), State: s.state, Service: s.service, Slots: 64}, Count: s.announcements, ReadyKeys: generic.SortedKeys(s.held)}
	raw, _ := json.Marshal(beacon)
	node := h.nodes[h.rand.IntN(h.opts.CoreNodes)]
	if !node.up || h.partitioned(node.zone, s.zone) {
		s.nextAnnounce = h.now.Add(200e6)
		return
	}
	h.token++
	if then != nil {
		h.onAnnounced[h.token] = then
	}
	cost := h.cost(h.roleOf(node), "Announce")
	cost.Received++
	cost.ReceivedBytes += len(raw)
	h.schedule(h.latencySteps(s.zone, node.zone), event{to: node, starts: node.starts, kind: "Announce", input: controller.Announce{Token: h.token, Beacon: beacon}})
}

// makePlan returns a plan with the configured models, adapters, services and routes, and fills keys and sizes.
func (h *Hollow) makePlan(name string) []byte {
	type object map[string]any
	models, adapters, services := object{}, object{}, object{}
	modelNames := make([][]string, h.opts.Services)
	adapterNames := make([][]string, h.opts.Services)
	h.keys = nil
	for i := range h.opts.Models {
		model, group := fmt.Sprintf("model-%03d", i), i%h.opts.Services
		floor := 0
		if i < h.opts.Servers/2 {
			floor = 1
		}
		models[model] = object{"size": 60_000 + 1000*(i%20), "floor": floor, "load_ms": 2000}
		key := ident.Key(model).InService(fmt.Sprintf("engines-%d", group))
		h.keys = append(h.keys, []ident.Key{key})
		h.sizes[key] = 60_000 + 1000*(i%20)
		modelNames[group] = append(modelNames[group], model)
	}
	for i := range h.opts.Adapters {
		adapter, m := fmt.Sprintf("adapter-%04d", i), i%h.opts.Models
		base := fmt.Sprintf("model-%03d", m)
		adapters[adapter] = object{"base": base, "size": 400}
		key := ident.NewKey(base, adapter).InService(fmt.Sprintf("engines-%d", m%h.opts.Services))
		h.keys[m] = append(h.keys[m], key)
		h.sizes[key] = 400
		adapterNames[m%h.opts.Services] = append(adapterNames[m%h.opts.Services], adapter)
	}
	routes := object{}
	for group := range h.opts.Services {
		services[fmt.Sprintf("engines-%d", group)] = object{"models": modelNames[group], "adapters": adapterNames[group], "slots": 64, "tokens": 150_000, "room": serverRoom, "places": serverPlaces,
			"loads_per_s": 0.002 * float64(h.opts.Servers) / float64(h.opts.Services)}
		routes[fmt.Sprintf("route-%d", group)] = object{"host": fmt.Sprintf("notes-%d.example", group), "prefix": "/", "service": fmt.Sprintf("engines-%d", group), "mode": "continuous",
			"resume": true, "tries": 2, "value": 1000 - group, "wait_ms": 4000}
	}
	raw, err := json.Marshal(object{"name": name, "store": object{"loads": 4}, "models": models, "adapters": adapters, "kinds": object{}, "services": services, "routes": routes})
	if err != nil {
		panic(err) // maps, slices and scalars always marshal
	}
	return raw
}

// fillServers assigns models and adapters to the servers as in a fleet in use: popular models have more replicas.
func (h *Hollow) fillServers() {
	weight := func(i int) float64 { return 1 / math.Pow(float64(i+1), 1.1) }
	next, turns := make([]float64, h.opts.Models), make([]int, h.opts.Models)
	for _, s := range h.servers {
		for range 2 {
			best := -1
			for i := range h.keys {
				key := h.keys[i][0]
				if _, held := s.held[key]; held || key.Service() != s.service {
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
			keys := h.keys[best]
			s.held[keys[0]] = h.sizes[keys[0]]
			for range min(activeAdapters(keys), serverPlaces/2) {
				key := keys[1+turns[best]%activeAdapters(keys)]
				turns[best]++
				s.held[key] = h.sizes[key]
			}
		}
	}
}

// activeAdapters returns how many of a model's adapters receive regular requests; keys are those of the model.
func activeAdapters(keys []ident.Key) int {
	return (len(keys) - 1 + adaptersPerActive - 1) / adaptersPerActive
}

// pickKey draws the key of a request.
func (h *Hollow) pickKey(random *rand.Rand) ident.Key {
	// Inverse transform of a distribution close to 1/x: the first models and adapters receive most requests.
	pick := func(n int) int {
		return min(n-1, int(math.Pow(float64(n)+1, random.Float64()))-1)
	}
	keys := h.keys[pick(len(h.keys))]
	switch {
	case len(keys) == 1 || random.Float64() >= h.opts.AdapterShare:
		return keys[0]
	case random.Float64() < idleAdapterShare:
		return keys[1+random.IntN(len(keys)-1)]
	default:
		return keys[1+pick(activeAdapters(keys))]
	}
}

// exchangeLocal processes a message between a router and its agent: it adds the synthetic demand and updates the
// router's view of the replicas.
func (h *Hollow) exchangeLocal(node *hollowNode, body any) any {
	switch message := body.(type) {
	case protocol.RouterReport:
		message.KeyLoads, message.TokensInProgress = h.demand(node)
		return message
	case protocol.DroppedEntries:
		for _, drop := range message.Drops {
			delete(node.traffic.replicas, drop.Key)
		}
	case protocol.RouterLease:
		if traffic := node.partner.traffic; message.Session != traffic.session {
			traffic.session = message.Session
			for key := range traffic.replicas {
				traffic.stale[key] = true
			}
			traffic.wantedAt = map[ident.Key]clock.Instant{}
		}
	case protocol.Updates:
		traffic := node.partner.traffic
		for _, item := range message.Items {
			if item.Break != "" {
				delete(traffic.replicas, item.Break)
			}
			if entry := item.Entry; entry != nil {
				delete(traffic.wantedAt, entry.Key)
				delete(traffic.stale, entry.Key)
				if !entry.Unchanged {
					traffic.replicas[entry.Key] = nil
					for _, replica := range entry.Replicas {
						traffic.replicas[entry.Key] = append(traffic.replicas[entry.Key], replica.Server)
					}
					traffic.marks[entry.Key] = entry.Digest
				}
			}
		}
	}
	return body
}

// demand advances the synthetic requests at a router by one interval, and returns the demand by key and the load in
// tokens by server.
func (h *Hollow) demand(node *hollowNode) (map[ident.Key]protocol.KeyLoad, map[ident.Server]int) {
	traffic := node.traffic
	burdens := map[ident.Key]protocol.KeyLoad{}
	loadPerRequest := h.opts.Utilization * float64(h.opts.Servers) / (h.opts.Rate * float64(h.opts.Routers))
	active := traffic.active[:0]
	for _, request := range traffic.active {
		if request.end > h.now {
			active = append(active, request)
		}
	}
	traffic.active = active
	if h.epoch > 0 {
		mean := h.opts.Rate * 0.2
		arrivals := 0
		for product, limit := traffic.rand.Float64(), math.Exp(-mean); product > limit; product *= traffic.rand.Float64() {
			arrivals++
		}
		for range arrivals {
			key := h.pickKey(traffic.rand)
			burden := burdens[key]
			burden.Arrived++
			burden.ServerSeconds += loadPerRequest
			burdens[key] = burden
			traffic.waiting[key] = append(traffic.waiting[key], h.now)
		}
	}
	for _, key := range generic.SortedKeys(traffic.waiting) {
		waiting := traffic.waiting[key]
		if servers := traffic.replicas[key]; len(servers) > 0 && !traffic.stale[key] {
			for range waiting {
				duration := clock.Span(float64(h.opts.RequestTime) * (0.5 + traffic.rand.Float64()))
				traffic.active = append(traffic.active, activeRequest{key, servers[traffic.rand.IntN(len(servers))], h.now.Add(duration)})
			}
			delete(traffic.waiting, key)
			continue
		}
		for len(waiting) > 0 && h.now.Sub(waiting[0]) > 4e9 {
			waiting = waiting[1:]
		}
		if traffic.waiting[key] = waiting; len(waiting) == 0 {
			delete(traffic.waiting, key)
			continue
		}
		burden := burdens[key]
		burden.Waiting, burden.TopValue = len(waiting), 1000
		burdens[key] = burden
		if wantedAt, ok := traffic.wantedAt[key]; (!ok || h.now.Sub(wantedAt) > 400e6) && traffic.session.Num > 0 {
			traffic.wantedAt[key] = h.now
			want := protocol.EntryRequest{Session: traffic.session, Key: key, Waiting: len(waiting), Value: 1000}
			if traffic.stale[key] {
				want.Digest = traffic.marks[key]
			}
			h.cost("router", "Want").Sent++
			h.schedule(0, event{to: node.partner, starts: node.partner.starts, kind: "Want", input: protocol.Envelope{From: node.sibling, To: node.partner.sibling, Body: want}})
		}
	}
	seats := map[ident.Server]int{}
	for _, request := range traffic.active {
		burden := burdens[request.key]
		burden.Running++
		burdens[request.key] = burden
		seats[request.server] += 150
	}
	return burdens, seats
}
