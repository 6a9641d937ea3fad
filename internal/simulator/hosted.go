package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/internal/standin"
)

// Hosted configures the mode in which servers announce themselves to the core and do not check fencing
// numbers.
type Hosted struct {
	Timing               controller.Timing
	BatchServers         int        // number of batch servers
	PlainServers         int        // number of servers of the plain service
	ContactTime          clock.Span // time without faults after which a machine counts as connected
	Tenure               clock.Span // within this time, no leader may order a server again after another leader has
	AddressReuse         clock.Span // time after which an address may be reused
	ThawAllowance        clock.Span // orders that arrive within this time after a fault ended are not checked
	ReportLag            clock.Span
	LateAnnouncementOdds float64 // probability that an announcement arrives a second time, late
	MaxAnnouncementDelay clock.Span
	OrderFaultOdds       float64 // probability that the answer to an order is lost or the order arrives late
	OrderLossOdds        float64 // probability that an order is lost
	RetryMargin          float64 // retries and repeats that the fleet may send within 10 s regardless of traffic
	PopularityShift      clock.Span
	NoModelShare         float64  // share of requests to servers with models that name no model
	Keys                 []string // credentials that callers use at random; if empty, they use none
}

// DefaultHosted returns the usual settings of a deployment.
func DefaultHosted() *Hosted {
	return &Hosted{
		Timing:       controller.Timing{Apply: 2000e6, Drain: 2000e6, CatchUp: 4000e6, Period: 1200e6, Rate: 5e9},
		BatchServers: 8, PlainServers: 4, ContactTime: 3000e6, Tenure: 3000e6, AddressReuse: 2000e6, ThawAllowance: 300e6, ReportLag: 200e6, RetryMargin: 58, MaxAnnouncementDelay: 3e9,
	}
}

// setControllerOptions sets the options of a core node.
func (h *Hosted) setControllerOptions(o *controller.Options, joined bool) {
	o.RouterLease, o.ReplaceAfter, o.SilenceTimeout, o.RateWindow, o.Tenure = h.Timing.RouterLease(), h.Timing.ReplaceAfter(), h.Timing.SilenceTimeout(), h.Timing.Rate, h.Tenure
	o.ParsePlan, o.Enrolled, o.Unfenced, o.CoreExists, o.FirstStart, o.Platform = (&fleetplan.Memo{Read: ReadHostedPlan}).Plan, true, true, joined, !joined, ""
}

// setRouterOptions sets the options of a router.
func (h *hosting) setRouterOptions(o *router.Options, z ident.Zone) {
	x := h.world.options.Hosted
	o.ReadPlan, o.Zone, o.StatelessServers, o.ServersEnforcePlacement, o.RetryMargin, o.RetryWindow, o.RetryFraction = ReadHostedPlan, z, true, true, x.RetryMargin*0.6, 10e9, 0.16
	o.RestartRetryMargin, o.RetryCreditTTL = x.RetryMargin*0.4, 2500e6
}

// parsePlan parses a plan in the format of the world's mode.
func (w *World) parsePlan(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
	if w.options.Hosted != nil {
		return ReadHostedPlan(raw)
	}
	return fleetplan.ReadPlan(raw)
}

// workCounter is implemented by all simulated servers.
type workCounter interface{ Counts() standin.ServerTally }

// machine runs servers of one service, one at a time. Its disk outlives them.
type machine struct {
	index       int
	name        string
	zone        ident.Zone
	service     string
	disk        map[ident.Key]bool
	addr        string
	incarnation int
	server      *announcedServer
}

// announcedServer is one incarnation of a server that announces itself.
type announcedServer struct {
	protocol.Announcement
	machine             *machine
	proc                *proc
	leavingSince        clock.Instant // when the server began to announce that it is leaving
	leaveAckedAt        clock.Instant // when a core node first acknowledged this
	leaveAckedInTouchAt clock.Instant // when a connected core node first acknowledged this
	leaveAckReceived    bool          // the server has received the acknowledgement
	ending              bool
	ended               bool
}

// storeLoad is a load from the model store.
type storeLoad struct {
	at            clock.Instant
	coreWasStable bool
}

// hosting simulates the platform in a world of announced servers.
type hosting struct {
	world                *World
	plan                 *fleetplan.Plan
	machines             []*machine
	addrs                map[string]*proc
	byProcess            map[string]*announcedServer // by process name
	pendingAnnouncements map[uint64]func(node *proc, ok bool)
	lastAnnouncement     uint64
	activeLoads          int // loads from the store in progress
	storeLoads           []storeLoad
	freeAddrs            []string // addresses that may be reused
	addrCount            int
}

func newHosting(w *World) *hosting {
	h := &hosting{world: w, plan: w.plan, addrs: map[string]*proc{}, byProcess: map[string]*announcedServer{}, pendingAnnouncements: map[uint64]func(*proc, bool){}}
	zones := []ident.Zone{"za", "zb", "zc"}
	for i := range w.options.Hosted.BatchServers + w.options.Hosted.PlainServers {
		m := &machine{index: i, name: fmt.Sprintf("machine-%d", i+1), zone: zones[i%3], service: "chat", disk: map[ident.Key]bool{}}
		if i >= w.options.Hosted.BatchServers {
			m.service = "plain"
		}
		h.machines = append(h.machines, m)
		w.After(clock.Span(w.rand.Int64N(1e9)), func() { h.startServer(m, h.initialModels(m)) })
	}
	return h
}

// initialModels returns the models that a machine's first server holds: one of the two busiest, and every other model
// on one server, as far as its memory permits.
func (h *hosting) initialModels(m *machine) (models []ident.Key) {
	service := h.plan.Services[m.service]
	if service.Plain {
		return nil
	}
	room := service.WeightCapacity
	add := func(i int) {
		k := ident.Key(baseName(i)).InService(m.service)
		if x, ok := h.plan.Models[k]; ok && x.Size <= room {
			room -= x.Size
			models = append(models, k)
		}
	}
	add(m.index % 2)
	for i := 2 + m.index; i < len(h.plan.Models); i += h.world.options.Hosted.BatchServers {
		add(i)
	}
	return models
}

// newAddress returns an address for a new server. Half of the time it reuses one if any is free.
func (h *hosting) newAddress() string {
	if n := len(h.freeAddrs); n > 0 && h.world.rand.IntN(2) == 0 {
		addr := h.freeAddrs[0]
		h.freeAddrs = h.freeAddrs[1:]
		return addr
	}
	h.addrCount++
	return fmt.Sprintf("address-%d", h.addrCount)
}

// startServer starts a new server with a new ID on a machine.
func (h *hosting) startServer(m *machine, held []ident.Key) {
	w := h.world
	m.incarnation++
	m.addr = h.newAddress()
	name := fmt.Sprintf("server-%d.%d", m.index+1, m.incarnation)
	service := h.plan.Services[m.service]
	offset, rate := w.randomClock()
	p := &proc{name: name, machine: m.name, zone: m.zone, tickInterval: 10e6, clockOffset: offset, clockRate: rate, server: ident.Server(name)}
	p.newCore = func() processCore {
		return standin.NewBatch(standin.BatchOptions{ID: p.server, Service: m.service, Plain: service.Plain, Slots: service.MaxRunning, Room: service.WeightCapacity, Places: service.AdapterCapacity,
			ReportLag: w.options.Hosted.ReportLag, Held: held, Disk: m.disk, Weight: func(k ident.Key) int { return h.plan.Models[k].Size }, Load: h.loadTime})
	}
	a := &announcedServer{Announcement: protocol.Announcement{ListedServer: protocol.ListedServer{ID: p.server, Addr: m.addr, Zone: m.zone, State: "live", Service: m.service, Slots: service.MaxRunning}}, machine: m, proc: p}
	m.server = a
	h.addrs[m.addr] = p
	h.byProcess[name] = a
	w.addProcess(p)
	w.Start(name)
	h.announcePeriodically(a)
}

// loadTime returns how long a load takes, and records loads from the store, which slow each other down.
func (h *hosting) loadTime(k ident.Key, disk bool) clock.Span {
	if k.IsAdapter() {
		return 20e6
	}
	d := h.plan.Models[k].LoadTime
	if disk {
		return d / 4
	}
	h.storeLoads = append(h.storeLoads, storeLoad{h.world.now, h.world.coreStable()})
	h.activeLoads++
	h.world.Check.checkStoreRate()
	if h.activeLoads > 3 {
		d = d * clock.Span(h.activeLoads) / 3
	}
	h.world.After(d, func() { h.activeLoads-- })
	return d
}

func (h *hosting) noteLoaded(p *proc, v standin.LoadDone) {
	h.world.tracef("%s: %s is loaded", p.name, v.Key)
}

// announcePeriodically announces a server at intervals until it ends.
func (h *hosting) announcePeriodically(a *announcedServer) {
	w := h.world
	if !a.proc.up || a.ended {
		return
	}
	if a.State == "live" {
		h.announce(a, 3, func(bool) {})
	} else if !a.ending {
		h.announce(a, 2, func(ok bool) { h.noteLeaveAck(a, ok) })
	}
	w.After(w.options.Hosted.Timing.Period*9/10+clock.Span(w.rand.Int64N(int64(w.options.Hosted.Timing.Period/5))), func() { h.announcePeriodically(a) })
}

// announce sends a server's announcement to random core nodes, one at a time, until one acknowledges it or all attempts
// are used.
func (h *hosting) announce(a *announcedServer, tries int, then func(ok bool)) {
	w := h.world
	if !a.proc.up {
		return
	}
	a.Count++
	b := a.Announcement
	if v, ok := a.proc.core.(*standin.Batch); ok {
		b.ReadyKeys = v.Keys()
	}
	var nodes []string
	for _, n := range w.procNames {
		if strings.HasPrefix(n, "controller-") {
			nodes = append(nodes, n)
		}
	}
	to := w.procs[nodes[w.rand.IntN(len(nodes))]]
	done := false
	finish := func(ok bool) {
		if done {
			return
		}
		done = true
		if !ok && tries > 1 {
			h.announce(a, tries-1, then)
			return
		}
		then(ok)
	}
	w.After(1e9, func() { finish(false) })
	h.sendAnnouncement(a, to, b, finish)
	if w.rand.Float64() < w.options.Hosted.LateAnnouncementOdds {
		late := w.procs[nodes[w.rand.IntN(len(nodes))]]
		w.After(clock.Span(w.rand.Int64N(int64(w.options.Hosted.MaxAnnouncementDelay))), func() { h.sendAnnouncement(a, late, b, func(bool) {}) })
	}
}

// sendAnnouncement sends an announcement to one core node.
func (h *hosting) sendAnnouncement(a *announcedServer, to *proc, b protocol.Announcement, finish func(ok bool)) {
	w := h.world
	h.lastAnnouncement++
	token := h.lastAnnouncement
	h.pendingAnnouncements[token] = func(node *proc, ok bool) {
		if ok && b.State != "live" {
			if a.leaveAckedAt == 0 {
				a.leaveAckedAt = w.now
			}
			if a.leaveAckedInTouchAt == 0 && w.inTouch(node) {
				a.leaveAckedInTouchAt = w.now
			}
			w.tracef("%s: %s is acknowledged as %s (in touch: %v)", node.name, a.ID, b.State, a.leaveAckedInTouchAt != 0)
		}
		if w.cuts[[2]string{to.machine, a.machine.name}] {
			return
		}
		w.After(w.delay(), func() { finish(ok) })
	}
	if w.cuts[[2]string{a.machine.name, to.machine}] || w.rand.Float64() < w.options.LossOdds {
		return
	}
	w.After(w.delay(), func() {
		if !to.up {
			w.After(w.delay(), func() { finish(false) })
			return
		}
		w.step(to, to.incarnation, controller.Announce{Token: token, Beacon: b})
	})
}

func (h *hosting) announcementAnswered(p *proc, v controller.Announced) {
	if f := h.pendingAnnouncements[v.Token]; f != nil {
		delete(h.pendingAnnouncements, v.Token)
		f(p, v.OK)
	}
}

// startLeaving makes a server announce that it is leaving. If remaining is positive, the server ends after that time
// even if it still runs requests.
func (h *hosting) startLeaving(m *machine, remaining clock.Span, restartAfter clock.Span) {
	w, a := h.world, m.server
	if a == nil || !a.proc.up || a.State != "live" {
		return
	}
	a.State, a.TimeLeft, a.leavingSince = "leaving", remaining, w.now
	w.tracef("%s leaves (%v left)", a.ID, remaining)
	if remaining > 0 {
		w.After(remaining, func() { h.endServer(a, restartAfter) })
	}
	w.After(6e9, func() { // end even without an acknowledgement
		if !a.ending {
			h.endServer(a, restartAfter)
		}
	})
	a.machine.server = a
	h.announce(a, 5, func(ok bool) { h.noteLeaveAck(a, ok) })
	var waitForAck func()
	waitForAck = func() { // keep serving for a while after the acknowledgement
		if a.ended || remaining > 0 {
			return
		}
		if !a.leaveAckReceived {
			w.After(20e6, waitForAck)
			return
		}
		w.After(w.options.Hosted.Timing.Drain+300e6, func() {
			if a.ended {
				return
			}
			a.ending = true
			a.State = "gone"
			h.announce(a, 2, func(bool) {})
			w.After(300e6, func() { h.endServer(a, restartAfter) })
		})
	}
	waitForAck()
}

func (h *hosting) noteLeaveAck(a *announcedServer, ok bool) {
	if ok {
		a.leaveAckReceived = true
	}
}

// endServer ends a server. If restartAfter is positive, a server without models and with a new ID starts on its machine after
// that time.
func (h *hosting) endServer(a *announcedServer, restartAfter clock.Span) {
	if a.ended {
		return
	}
	a.ending, a.ended = true, true
	w := h.world
	w.Kill(a.proc.name)
	addr := a.Addr
	w.After(w.options.Hosted.AddressReuse, func() { h.freeAddrs = append(h.freeAddrs, addr) })
	if restartAfter > 0 {
		w.After(restartAfter, func() { h.startServer(a.machine, nil) })
	}
}

// crashServer ends a server without an announcement.
func (h *hosting) crashServer(m *machine, restartAfter clock.Span) {
	if m.server != nil && m.server.proc.up && !m.server.ended {
		h.world.tracef("%s crashes", m.server.ID)
		h.endServer(m.server, restartAfter)
	}
}

// deliverAsk delivers an order or a request for a report to a server.
func (h *hosting) deliverAsk(p *proc, a protocol.HTTPRequest, reply func(ok bool, code int, b []byte)) {
	w := h.world
	o, ok := a.Body.(protocol.Order)
	if !ok || a.Path != "/orders" {
		return
	}
	sentAt := w.now
	s := w.procAt(a.Addr)
	if s == nil || w.cuts[[2]string{p.machine, s.machine}] {
		return
	}
	lost := 0
	if o.Op != "" && w.rand.Float64() < w.options.Hosted.OrderFaultOdds {
		lost = 2 + w.rand.IntN(2)
	}
	if o.Op != "" && w.rand.Float64() < w.options.Hosted.OrderLossOdds {
		lost = 1
	}
	if lost == 1 {
		return
	}
	delay := w.delay()
	if lost == 3 {
		delay += clock.Span(100e6 + w.rand.Int64N(450e6)) // the order arrives late
	}
	w.After(delay, func() {
		s := w.procAt(a.Addr)
		if s == nil || !s.up {
			w.After(w.delay(), func() { reply(false, 0, nil) })
			return
		}
		if w.now.Sub(sentAt) > a.Timeout {
			return // the sender has closed the connection
		}
		v := s.core.(*standin.Batch)
		if a.Server != s.server && o.Op != "" { // servers answer requests for a report even if addressed to another server
			w.After(w.delay(), func() { reply(true, http.StatusMisdirectedRequest, nil) })
			return
		}
		for _, x := range v.Step(s.localTime(w.now), standin.BatchOrder{Order: o}) {
			r, ok := x.(standin.BatchAnswer)
			if !ok {
				w.handleOutput(s, x)
				continue
			}
			if o.Op != "" {
				w.Check.checkHostedOrder(p, s, o, r)
			}
			if lost == 2 || w.cuts[[2]string{s.machine, p.machine}] {
				continue
			}
			b, _ := json.Marshal(r.Report)
			if r.Code != http.StatusOK || o.Op != "" {
				b = nil
			}
			w.After(w.delay(), func() { reply(true, r.Code, b) })
		}
	})
}

// procAt returns the process that listens at an address, or nil.
func (w *World) procAt(addr string) *proc {
	if w.hosted != nil {
		if p := w.hosted.addrs[addr]; p != nil {
			return p
		}
	}
	return w.procs[addr]
}

// isRepeatable reports whether a request may run more than once.
func isRepeatable(a standin.Request) bool { return strings.Contains(a.Route, "/idem/") }

// requestSource returns a generator of random requests.
func (w *World) requestSource() func() standin.Request {
	if w.hosted == nil {
		m := standin.NewWorkload(w.plan, w.options.Seed)
		m.Tenants = w.options.Tenants
		return m.Next
	}
	n := 0
	return func() standin.Request {
		n++
		at := 0
		if s := w.options.Hosted.PopularityShift; s > 0 {
			at = int(clock.Span(w.now) / s) // the popular models change over time
		}
		a := standin.Request{Route: []string{"/flow/x", "/idem/x", "/once/x", "/plain/idem/x", "/plain/once/x"}[w.rand.IntN(5)]}
		c := &a.Call
		c.ID, c.Host, c.MaxTokens = fmt.Sprintf("r-%d", n), "a.example", 4+w.rand.IntN(28)
		if keys := w.options.Hosted.Keys; len(keys) > 0 {
			c.Credential = fleetplan.NewCredential(keys[w.rand.IntN(len(keys))])
		}
		if strings.HasPrefix(a.Route, "/plain/") {
			c.MaxTokens = 1 + w.rand.IntN(4)
			return a
		}
		if s := w.options.Hosted.NoModelShare; s > 0 && w.rand.Float64() < s {
			a.Route = strings.Replace(a.Route, "/", "/any/", 1)
			c.MaxTokens = 1 + w.rand.IntN(4)
			return a
		}
		v := w.plan.Services["chat"]
		bases := 0
		for k := range v.Keys {
			bases += boolToInt(!k.IsAdapter())
		}
		i := min(w.rand.IntN(bases), w.rand.IntN(bases), w.rand.IntN(bases))
		c.Model = baseName((i + 5*at) % bases)
		if w.rand.IntN(4) == 0 {
			c.Adapter = fmt.Sprintf("a%d", 1+w.rand.IntN(2))
		}
		c.Parts = []string{strings.Repeat("system ", 60), strings.Repeat(fmt.Sprint("session-", w.rand.IntN(40)), 20)}
		c.PartTokens = []int{len(c.Parts[0]) / 4, len(c.Parts[1]) / 4}
		c.PromptTokens = c.PartTokens[0] + c.PartTokens[1]
		return a
	}
}

// PutNumbered submits a plan that builds on epoch on, under an epoch number chosen by the operator.
func (w *World) PutNumbered(node string, raw []byte, on, number ident.Epoch, then func(controller.Receipt)) {
	w.submitChange(node, controller.Admin{Op: "put", Raw: raw, Expect: on, Number: number, Change: fmt.Sprintf("put-%d-%d-%d", on, number, w.lastAdmin+1)}, then)
}

// disruptions records the latest faults of machines and of the links between them.
type disruptions struct {
	machines map[string]clock.Instant
	links    map[[2]string]clock.Instant
	coreAt   clock.Instant
	thawedAt map[string]clock.Instant // when frozen machines resume, or resumed
}

func newDisruptions() disruptions {
	return disruptions{machines: map[string]clock.Instant{}, thawedAt: map[string]clock.Instant{}, links: map[[2]string]clock.Instant{}}
}

// isCore reports whether a machine runs a core node.
func isCore(box string) bool { return strings.HasPrefix(box, "controller-") }

// noteTrouble records a fault of a machine now.
func (w *World) noteTrouble(box string) { w.noteTroubleAt(box, w.now) }

// noteFreeze records that a machine is frozen until the given time.
func (w *World) noteFreeze(box string, at clock.Instant) {
	w.disruptions.thawedAt[box] = at
	w.noteTroubleAt(box, at)
}

// noteTroubleAt records a fault of a machine that lasts until the given time.
func (w *World) noteTroubleAt(box string, at clock.Instant) {
	w.disruptions.machines[box] = max(w.disruptions.machines[box], at)
	if isCore(box) {
		w.disruptions.coreAt = max(w.disruptions.coreAt, at)
	}
}

// noteLinkTrouble records a fault of a link now.
func (w *World) noteLinkTrouble(a, b string) {
	w.disruptions.links[[2]string{a, b}], w.disruptions.links[[2]string{b, a}] = w.now, w.now
	if isCore(a) {
		w.disruptions.machines[b] = max(w.disruptions.machines[b], w.now)
	}
	if isCore(b) {
		w.disruptions.machines[a] = max(w.disruptions.machines[a], w.now)
	}
	if isCore(a) && isCore(b) {
		w.disruptions.coreAt = max(w.disruptions.coreAt, w.now)
	}
}

// coreStable reports whether a majority of the core is running and the core has been without faults for the contact
// time.
func (w *World) coreStable() bool {
	if w.options.Hosted == nil || w.now.Sub(w.disruptions.coreAt) < w.options.Hosted.ContactTime {
		return false
	}
	up := w.controllers()
	total := 0
	for _, n := range w.procNames {
		total += boolToInt(strings.HasPrefix(n, "controller-"))
	}
	if 2*len(up) <= total {
		return false
	}
	for c := range w.cuts {
		if isCore(c[0]) && isCore(c[1]) {
			return false
		}
	}
	return true
}

// inTouch reports whether both the core and a process's machine and links to the core have been without faults for
// the contact time.
func (w *World) inTouch(p *proc) bool {
	if !p.up || w.now.Sub(w.disruptions.machines[p.machine]) < w.options.Hosted.ContactTime || !w.coreStable() {
		return false
	}
	for c := range w.cuts {
		if c[0] == p.machine && isCore(c[1]) || c[1] == p.machine && isCore(c[0]) {
			return false
		}
	}
	return true
}

// linkStable reports whether the link between two machines has been without faults for the given time.
func (w *World) linkStable(a, b string, s clock.Span) bool {
	if w.cuts[[2]string{a, b}] || w.cuts[[2]string{b, a}] {
		return false
	}
	t, ok := w.disruptions.links[[2]string{a, b}]
	return !ok || w.now.Sub(t) >= s
}

// liveMachines returns the machines whose servers are running and not leaving.
func (h *hosting) liveMachines() (l []*machine) {
	for _, m := range h.machines {
		if m.server != nil && m.server.proc.up && m.server.State == "live" {
			l = append(l, m)
		}
	}
	return l
}

// randomMachine returns a random machine with a live server, or the first machine if there is none.
func (h *hosting) randomMachine() *machine {
	if l := h.liveMachines(); len(l) > 0 {
		return l[h.world.rand.IntN(len(l))]
	}
	return h.machines[0]
}
