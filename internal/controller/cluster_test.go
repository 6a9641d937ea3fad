package controller

import (
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/agent"
	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/immutable"
	"tidedeck/internal/protocol"
)

// cluster is a core with the model servers enrolled with it and the routers connected to it, on a common
// simulated clock and without I/O.
type cluster struct {
	seeds         []protocol.Peer // seeds for nodes that start from now on
	t             testing.TB
	at            clock.Instant
	plans         map[string]*fleetplan.Plan
	nodes         map[string]*Core
	disks         map[string]map[string][]byte
	newNode       func(id string) *Core
	partitioned   map[string]bool // partitioned nodes and routers
	models        map[string]*modelServer
	routers       map[string]*router
	outputs       []any // outputs of nodes that are neither messages nor requests to servers
	httpRequests  []pendingRequest
	delay         clock.Span // of messages between nodes, which take half to two and a half times this
	inFlight      []inFlightMessage
	rng           *rand.Rand
	confirmations int // orders that only query whether an order is done
	sentOrders    []sentOrder
	loadStarts    []clock.Instant // start times of loads from the store
	token         uint64
	runConcurrent func(run func())             // runs the computations that a core offloads
	dropsMessage  func(protocol.Envelope) bool // selects messages between nodes that are lost
	processors    map[string]*processor        // processors of nodes whose CPU time is limited
	handedOut     immutable.Checker            // outputs of all nodes
}

// observedInterval is the interval between outputs of nodes that are checked for later modifications.
const observedInterval = 16

// tickLength is the time between two ticks of a cluster.
const tickLength = clock.Span(20e6)

// inFlightMessage is a message that has not arrived yet.
type inFlightMessage struct {
	at       clock.Instant
	from, to string
	protocol.Envelope
}

// pendingRequest is a request to a server that is not answered yet.
type pendingRequest struct {
	node    string
	at      clock.Instant // time of the answer
	request protocol.HTTPRequest
	result  *protocol.HTTPResult // nil if the server's state at that time is the answer
}

// sentOrder is an order as sent.
type sentOrder struct {
	at   clock.Instant
	node string
	addr string
	protocol.Order
	code int // the server's status code; zero if the order never arrived
}

func newCluster(t testing.TB, plan *fleetplan.Plan, ids ...string) *cluster {
	return newTunedCluster(t, plan, func(*Options) {}, ids...)
}

// newTunedCluster starts a cluster whose options are adjusted by a function.
func newTunedCluster(t testing.TB, plan *fleetplan.Plan, tune func(*Options), ids ...string) *cluster {
	c := newStoppedCluster(t, tune, ids...)
	v := protocol.Desired{Gen: 1, VoterSet: 1}
	if plan != nil {
		c.plans["1"] = plan
		v.Epoch, v.Plan = 1, []byte("1")
	}
	for _, id := range ids {
		v.Voters = append(v.Voters, voter(id, 5))
	}
	for _, id := range ids {
		c.disks[id] = map[string][]byte{keyIncarnation: []byte("5"), keyAccepted: marshal(storedAccept{protocol.Ballot{N: 1, By: "a"}, &v}), keyPromised: marshal(protocol.Ballot{N: 1, By: "a"})}
		c.reboot(id)
	}
	c.until(6e9, func() bool { return c.owner() != "" })
	require.NotEmpty(t, c.owner())
	return c
}

// newStoppedCluster returns a cluster with the given seeds and without running nodes.
func newStoppedCluster(t testing.TB, tune func(*Options), seeds ...string) *cluster {
	c := &cluster{
		handedOut: immutable.Checker{Every: observedInterval}, t: t, at: 1e9, plans: map[string]*fleetplan.Plan{}, nodes: map[string]*Core{}, disks: map[string]map[string][]byte{}, partitioned: map[string]bool{},
		models: map[string]*modelServer{}, routers: map[string]*router{}, rng: rand.New(rand.NewPCG(3, 4)),
		runConcurrent: func(run func()) { run() }, dropsMessage: func(protocol.Envelope) bool { return false },
	}
	for _, id := range seeds {
		c.seeds = append(c.seeds, protocol.Peer{Addr: id})
	}
	starts := uint64(0)
	c.newNode = func(id string) *Core {
		starts++
		o := Options{
			Self: protocol.Peer{ID: ident.Node(id), Addr: id}, Inc: ident.Incarnation(5 + starts), Seeds: c.seeds, Rand: rand.New(rand.NewPCG(starts-1, 2)),
			Enrolled: true, Unfenced: true, CoreExists: true,
			ParsePlan: func(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
				if p := c.plans[string(raw)]; p != nil {
					return p, nil
				}
				return nil, fleetplan.Faults{{Path: "$", Why: "is no plan"}}
			},
			MergePatch: func(_, patch []byte) ([]byte, fleetplan.Faults) { return patch, nil },
		}
		tune(&o)
		return New(o)
	}
	return c
}

// reboot restarts nodes at the same moment from their disks.
func (c *cluster) reboot(ids ...string) {
	for _, id := range ids {
		c.nodes[id] = c.newNode(id)
	}
	for _, id := range ids {
		c.step(id, protocol.Start{Disk: maps.Clone(c.disks[id])})
	}
}

// owner returns the ID of the leader, or an empty string.
func (c *cluster) owner() string {
	for _, id := range generic.SortedKeys(c.nodes) {
		if c.nodes[id].holdsLease() && !c.partitioned[id] {
			return id
		}
	}
	return ""
}

// leader returns the leader, or nil.
func (c *cluster) leader() *Core { return c.nodes[c.owner()] }

// follower returns the ID of a reachable node that is not the leader.
func (c *cluster) follower() string {
	for _, id := range generic.SortedKeys(c.nodes) {
		if id != c.owner() && !c.partitioned[id] {
			return id
		}
	}
	return ""
}

func (c *cluster) step(id string, in any) {
	if p := c.processors[id]; p != nil {
		p.queue(in)
		return
	}
	c.stepNow(id, in)
}

// stepNow delivers an input to a node, and the resulting messages to their recipients.
func (c *cluster) stepNow(id string, in any) {
	type output struct {
		id string
		o  any
	}
	var pending []output
	put := func(to string, in any) {
		if p := c.processors[to]; p != nil && to != id {
			p.queue(in)
			return
		}
		id := to
		outputs := c.nodes[id].Step(c.at, in)
		require.NoError(c.t, c.handedOut.Observe(id, outputs))
		for _, o := range outputs {
			pending = append(pending, output{id, o})
		}
	}
	put(id, in)
	for len(pending) > 0 {
		x := pending[0]
		pending = pending[1:]
		switch v := x.o.(type) {
		case protocol.Envelope:
			to := v.NextHop().Addr
			switch {
			case to != x.id && (c.partitioned[x.id] || c.partitioned[to] || c.dropsMessage(v)):
			case c.nodes[to] != nil && to != x.id && c.delay > 0:
				c.inFlight = append(c.inFlight, inFlightMessage{c.at.Add(c.delay/2 + clock.Span(c.rng.Int64N(int64(2*c.delay)))), x.id, to, v})
			case c.nodes[to] != nil:
				put(to, v)
			case c.routers[to] != nil:
				for _, e := range c.routers[to].take(v) {
					if next := e.NextHop().Addr; c.nodes[next] != nil {
						put(next, e)
					} else {
						c.routers[to].sendAll([]protocol.Envelope{e})
					}
				}
			}
		case protocol.Save:
			maps.Copy(c.disks[x.id], v.Puts)
			put(x.id, protocol.Saved{Token: v.Token})
		case protocol.Compute:
			c.runConcurrent(v.Run)
			put(x.id, protocol.Computed{Token: v.Token})
		case protocol.HTTPRequest:
			c.send(x.id, v)
		default:
			c.outputs = append(c.outputs, x.o)
		}
	}
}

// send delivers a request to its server, which answers a little later.
func (c *cluster) send(node string, v protocol.HTTPRequest) {
	o := v.Body.(protocol.Order)
	k := c.nodes[node]
	require.Equal(c.t, k.leadership.expiresAt(k), v.NotAfter, "no request outlives the lease")
	require.Greater(c.t, v.NotAfter, c.at)
	require.NotEmpty(c.t, v.Server, "every request names its server")
	m := c.models[v.Addr]
	a := pendingRequest{node: node, at: c.at.Add(v.Timeout), request: v, result: &protocol.HTTPResult{Token: v.Token}}
	if m != nil && !m.unresponsive && !c.partitioned[node] {
		a.at = c.at.Add(20e6)
		a.result = nil
	}
	if o.Op != "" {
		x := sentOrder{at: c.at, node: node, addr: v.Addr, Order: o}
		if a.result == nil {
			taken, heard := true, true
			if m.lost != nil {
				taken, heard = m.lost(o)
			}
			switch {
			case v.Server != m.ID:
				x.code = statusWrongServer
			case taken:
				x.code = m.take(o)
			}
			a.result = &protocol.HTTPResult{Token: v.Token, OK: true, Code: x.code}
			if !taken || !heard {
				a.at, a.result = c.at.Add(v.Timeout), &protocol.HTTPResult{Token: v.Token}
			}
		}
		if o.QueriesCompletion {
			require.True(c.t, x.code != 202 || m.whileBusy == 202, "a query about an order must not start the order again")
			c.confirmations++
		} else {
			c.sentOrders = append(c.sentOrders, x)
		}
	}
	c.httpRequests = append(c.httpRequests, a)
}

func (c *cluster) tick() {
	c.at = c.at.Add(tickLength)
	messages := c.inFlight
	c.inFlight = nil
	for _, e := range messages {
		switch {
		case e.at > c.at:
			c.inFlight = append(c.inFlight, e)
		case !c.partitioned[e.from] && !c.partitioned[e.to]:
			c.step(e.to, e.Envelope)
		}
	}
	for _, id := range generic.SortedKeys(c.models) {
		c.models[id].advance()
	}
	for _, id := range generic.SortedKeys(c.nodes) {
		c.step(id, protocol.TimerTick{})
	}
	for _, id := range generic.SortedKeys(c.routers) {
		c.routers[id].advance()
	}
	for _, id := range generic.SortedKeys(c.processors) {
		c.processors[id].run(c)
	}
	requests := c.httpRequests
	c.httpRequests = nil
	for _, a := range requests {
		if a.at > c.at {
			c.httpRequests = append(c.httpRequests, a)
			continue
		}
		if a.result == nil {
			a.result = &protocol.HTTPResult{Token: a.request.Token, OK: true, Code: 200, Body: marshal(c.models[a.request.Addr].report())}
		}
		if !c.partitioned[a.node] {
			c.step(a.node, *a.result)
		}
	}
}

func (c *cluster) run(s clock.Span) { c.until(s, func() bool { return false }) }

// until advances time until a condition holds or the span has passed, and reports whether the condition holds.
func (c *cluster) until(s clock.Span, condition func() bool) bool {
	for end := c.at.Add(s); c.at < end; c.tick() {
		if condition() {
			return true
		}
	}
	return condition()
}

// announce delivers an announcement of a server to a node. It returns whether the node answered at once and, if
// so, whether it acknowledged the announcement.
func (c *cluster) announce(node string, b protocol.Announcement) (ok, answered bool) {
	c.token++
	c.step(node, Announce{Token: c.token, Beacon: b})
	return c.answer(c.token)
}

func (c *cluster) answer(token uint64) (ok, answered bool) {
	for _, o := range c.outputs {
		if a, is := o.(Announced); is && a.Token == token {
			require.False(c.t, answered, "answered twice")
			ok, answered = a.OK, true
		}
	}
	return ok, answered
}

func (c *cluster) admin(node string, a Admin) func() *Receipt {
	c.token++
	a.Token = c.token
	c.step(node, a)
	return func() *Receipt {
		for _, o := range c.outputs {
			if r, is := o.(Receipt); is && r.Token == a.Token {
				return &r
			}
		}
		return nil
	}
}

func newAnnouncement(id, state string, count uint64) protocol.Announcement {
	return protocol.Announcement{ListedServer: protocol.ListedServer{ID: ident.Server(id), Addr: "at-" + id, Zone: "z", State: state, Service: "llm", Slots: 8}, Count: count}
}

// modelServer is a server that holds models, executes one order at a time, counts the orders accepted, and
// reports its state with a lag.
type modelServer struct {
	c *cluster
	protocol.ListedServer
	unannounced  bool // sends no announcements
	unresponsive bool // answers no requests
	lag          clock.Span
	slow         clock.Span // least duration of every order
	count        uint64     // number of accepted orders
	ticks        uint64
	next         clock.Instant
	holds        map[ident.Key]bool
	onDisk       map[ident.Key]bool
	current      protocol.Order
	until        clock.Instant
	reports      []pastReport
	lost         func(protocol.Order) (taken, heard bool) // whether an order arrives, and whether its answer does
	whileBusy    int                                      // status code for a repeat of the order in progress; 409 if 0
	diskPart     float64                                  // load time from the server's own disk, as a fraction of that from the store; 1 if 0
	strict       bool                                     // also check that refused orders would fit
}

// pastReport is a server's state at a time in the past.
type pastReport struct {
	at clock.Instant
	r  protocol.ServerReport
}

// serve starts a model server that holds some keys.
func (c *cluster) serve(id string, holds ...ident.Key) *modelServer {
	m := &modelServer{c: c, ListedServer: newAnnouncement(id, "live", 0).ListedServer, lag: 300e6, holds: map[ident.Key]bool{}, onDisk: map[ident.Key]bool{}}
	for _, k := range holds {
		m.holds[k], m.onDisk[k] = true, true
	}
	m.snapshot()
	c.models[m.Addr] = m
	return m
}

// plan returns the newest plan that any node knows.
func (c *cluster) plan() *fleetplan.Plan {
	var k *Core
	for _, id := range generic.SortedKeys(c.nodes) {
		if n := c.nodes[id]; n.plan != nil && (k == nil || n.Epoch() > k.Epoch()) {
			k = n
		}
	}
	return k.plan
}

// snapshot records the server's current state for later reports.
func (m *modelServer) snapshot() {
	r := protocol.ServerReport{Num: m.count, Busy: m.current.Op != ""}
	for _, k := range generic.SortedKeys(m.holds) {
		r.Held = append(r.Held, protocol.HeldKey{Key: k, Stage: "ready"})
	}
	m.reports = append(m.reports, pastReport{m.c.at, r})
}

func (m *modelServer) report() protocol.ServerReport {
	r := m.reports[0].r
	for _, x := range m.reports {
		if m.c.at.Sub(x.at) >= m.lag {
			r = x.r
		}
	}
	return r
}

// advance finishes the order in progress if it is due, and sends an announcement if one is due.
func (m *modelServer) advance() {
	if m.current.Op != "" && m.c.at >= m.until {
		k := m.current.Key
		if m.current.Op == "load" {
			m.holds[k], m.onDisk[k] = true, true
		} else {
			for _, x := range generic.SortedKeys(m.holds) {
				if x == k || x.Base() == k {
					delete(m.holds, x)
				}
			}
		}
		m.current = protocol.Order{}
	}
	m.snapshot()
	if len(m.reports) > 100 {
		m.reports = m.reports[50:]
	}
	if !m.unannounced && m.c.at >= m.next {
		m.ticks++
		m.next = m.c.at.Add(1000e6)
		ids := generic.SortedKeys(m.c.nodes)
		if id := ids[int(m.ticks)%len(ids)]; !m.c.partitioned[id] {
			m.c.announce(id, protocol.Announcement{ListedServer: m.ListedServer, Count: m.ticks})
		}
	}
}

// checkLimits fails the test if an order exceeds the server's room or adapter slots.
func (m *modelServer) checkLimits(o protocol.Order) {
	v, size, adapters := m.c.plan().Services["llm"], m.c.plan().Models[o.Key].Size, 0
	if o.Key.IsAdapter() {
		adapters++
	}
	add := func(k ident.Key) {
		size += m.c.plan().Models[k].Size
		if k.IsAdapter() {
			adapters++
		}
	}
	for k := range m.holds {
		if k != o.Key {
			add(k)
		}
	}
	if m.current.Op == "load" && m.current.Key != o.Key {
		add(m.current.Key)
	}
	require.LessOrEqual(m.c.t, size, v.WeightCapacity, "%s is ordered to load %s beside %v and %v", m.ID, o.Key, generic.SortedKeys(m.holds), m.current)
	if v.AdapterCapacity > 0 {
		require.LessOrEqual(m.c.t, adapters, v.AdapterCapacity, "%s is ordered to load %s beside %v", m.ID, o.Key, generic.SortedKeys(m.holds))
	}
}

// take handles an order and returns the status code.
func (m *modelServer) take(o protocol.Order) int {
	if o.Op == "load" && m.strict {
		m.checkLimits(o)
	}
	if m.current.Op != "" && m.whileBusy != 0 && o.Op == m.current.Op && o.Key == m.current.Key && o.Expected == m.count {
		return m.whileBusy
	}
	if m.current.Op != "" || o.Expected != m.count {
		return 409
	}
	took := clock.Span(60e6)
	switch {
	case m.holds[o.Key] == (o.Op == "load"):
		return 200
	case o.Op == "load" && o.Key.IsAdapter() && !m.holds[o.Key.Base()]:
		return 421
	case o.Op == "load":
		m.checkLimits(o)
		if !o.Key.IsAdapter() {
			took = m.c.plan().Models[o.Key].LoadTime
			if m.onDisk[o.Key] && m.diskPart > 0 {
				took = clock.Span(float64(took) * m.diskPart)
			}
			if !m.onDisk[o.Key] {
				m.c.loadStarts = append(m.c.loadStarts, m.c.at)
			}
		}
	default:
		for _, id := range generic.SortedKeys(m.c.routers) {
			r := m.c.routers[id]
			for _, k := range generic.SortedKeys(r.entries) {
				if k == o.Key || k.Base() == o.Key {
					require.False(m.c.t, r.sends(k, m.ID), "%s is ordered to unload %s while %s may send to %s there", m.ID, o.Key, id, k)
				}
			}
		}
	}
	m.count++
	m.current, m.until = o, m.c.at.Add(max(took, m.slow))
	m.snapshot()
	return 202
}

// router models a router's session and the entries it may send by.
type router struct {
	c             *cluster
	id            string
	session       protocol.Session
	seq           uint64
	heard         uint64
	fresh         bool
	sent          map[uint64]clock.Instant
	until         clock.Instant
	next          clock.Instant
	entries       map[ident.Key][]protocol.Replica
	asked         map[ident.Key]clock.Instant
	keyLoads      map[ident.Key]protocol.KeyLoad // reported with every renewal
	withholdAcks  bool                           // acknowledges no changes
	grants        []protocol.Grant
	agent         *agent.Core // renews the lease; nil if the router renews by itself
	reportAt      clock.Instant
	configuration *protocol.Desired // the newest one received

	inbox             []delayedMessage // messages of the agent that the router has not handled
	busyUntil         clock.Instant    // until when the router handles earlier ones
	configurationTime clock.Span       // time that a router takes for a configuration
}

func (c *cluster) route(id string) *router {
	r := &router{c: c, id: id, keyLoads: map[ident.Key]protocol.KeyLoad{}, session: protocol.Session{Node: ident.Node(id), AgentIncarnation: 1, RouterIncarnation: 1}}
	r.resetSession()
	c.routers[id] = r
	return r
}

// resetSession begins a new session without lease or entries.
func (r *router) resetSession() {
	r.session.Num++
	r.until, r.heard, r.fresh, r.next = 0, 0, true, r.c.at
	r.sent, r.entries, r.asked = map[uint64]clock.Instant{}, map[ident.Key][]protocol.Replica{}, map[ident.Key]clock.Instant{}
}

func (r *router) mail(body any) protocol.Envelope {
	to := r.c.owner()
	return protocol.Envelope{From: protocol.Peer{ID: ident.Node(r.id), Addr: r.id}, To: protocol.Peer{ID: ident.Node(to), Addr: to}, Body: body}
}

// advance renews the lease and requests missing entries as they are due.
func (r *router) advance() {
	if r.agent != nil {
		r.advanceAgent()
		return
	}
	if r.until != 0 && r.c.at > r.until {
		r.resetSession()
	}
	if r.c.owner() == "" || r.c.partitioned[r.id] {
		return
	}
	if r.c.at >= r.next {
		r.next = r.c.at.Add(400e6)
		r.seq++
		r.sent[r.seq] = r.c.at
		k := r.c.leader().register.known
		b := map[ident.Key]protocol.KeyLoad{}
		for k, u := range r.keyLoads {
			b[k] = u
		}
		r.c.step(r.c.owner(), r.mail(protocol.Renew{Session: r.session, Seq: r.seq, NewSession: r.fresh, Gen: k.Gen, Epoch: k.Epoch, AckedNum: r.heard, KeyLoads: b}))
	}
	if r.fresh || r.c.owner() == "" {
		return
	}
	for _, k := range generic.SortedKeys(r.keyLoads) {
		if _, ok := r.entries[k]; !ok && r.c.at.Sub(r.asked[k]) > 400e6 {
			r.asked[k] = r.c.at
			r.c.step(r.c.owner(), r.mail(protocol.EntryRequest{Session: r.session, Key: k, Waiting: r.keyLoads[k].Waiting, Value: 1}))
		}
	}
}

func (r *router) take(e protocol.Envelope) []protocol.Envelope {
	if r.agent != nil {
		return r.stepAgent(e)
	}
	switch b := e.Body.(type) {
	case protocol.Grant:
		if b.Session == r.session {
			r.fresh = false
			r.grants = append(r.grants, b)
			r.until = max(r.until, r.sent[b.Seq].Add(b.Length))
		}
	case protocol.NotOwner:
		if b.Session == r.session && b.SessionEnded {
			r.resetSession()
		}
	case protocol.Updates:
		if b.Session != r.session || r.withholdAcks {
			return nil
		}
		r.applyUpdates(b.Items)
		return []protocol.Envelope{r.mail(protocol.Ack{Session: r.session, Num: r.heard})}
	}
	return nil
}

// applyUpdates applies the updates that follow the last one.
func (r *router) applyUpdates(items []protocol.Update) {
	for _, i := range items {
		if i.Num != r.heard+1 {
			continue
		}
		r.heard = i.Num
		if i.Desired != nil {
			r.configuration = i.Desired
		}
		if i.Entry != nil {
			r.entries[i.Entry.Key] = i.Entry.Replicas
		}
		delete(r.entries, i.Break)
	}
}

// sends reports whether the router may send requests for a key to a server.
func (r *router) sends(k ident.Key, s ident.Server) bool {
	if r.c.at >= r.until {
		return false
	}
	for _, p := range r.entries[k] {
		if p.Server == s {
			return true
		}
	}
	return false
}

// ask reports waiting requests for one key, and none for any other.
func (r *router) ask(k ident.Key) {
	clear(r.keyLoads)
	r.keyLoads[k] = protocol.KeyLoad{Waiting: 3, Arrived: 3, ServerSeconds: 0.1}
}

// modelPlan returns a plan with the service "llm", whose servers hold models of size 4 and adapters of size 1 in
// the given room, and the plain service "web".
func modelPlan(room int, models ...ident.Key) *fleetplan.Plan {
	p := &fleetplan.Plan{ConcurrentLoads: 2, Models: map[ident.Key]fleetplan.Model{}, Services: map[string]fleetplan.Service{
		"llm": {Keys: map[ident.Key]bool{}, MaxRunning: 8, TokenCapacity: 10_000, WeightCapacity: room, AdapterCapacity: 3, LoadRate: 2}, "web": {Plain: true, MaxRunning: 3},
	}}
	for _, k := range models {
		m := fleetplan.Model{Key: k, Size: 4, MaxReplicas: 9, LoadTime: 1000e6}
		if k.IsAdapter() {
			m.Size, m.LoadTime = 1, 0
		}
		p.Models[k] = m
		p.Services["llm"].Keys[k] = true
	}
	return p
}

func (c *cluster) orders(op string) (l []sentOrder) {
	for _, o := range c.sentOrders {
		if op == "" || o.Op == op {
			l = append(l, o)
		}
	}
	return l
}
