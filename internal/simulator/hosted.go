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

// Hosted is the mode in which servers announce themselves to the core and check no fence.
type Hosted struct {
	Timing    controller.Timing
	Batch     int        // batch servers
	Plain     int        // servers of the plain service
	ContactTime   clock.Span // a machine without trouble for so long is in touch
	Tenure    clock.Span // owners may not take turns at a server within it
	Reuse     clock.Span // an address is used again after so long
	ThawAllowance      clock.Span // orders that arrive so soon after trouble ended are not counted
	ReportLag clock.Span
	LateOdds  float64 // that an announcement comes again, late
	MaxAnnouncementDelay    clock.Span
	OrderLoss float64 // that the answer to an order gets lost, or an order comes late
	OrderGone float64 // that an order gets lost before it comes
	RetryMargin      float64 // arrivals beyond the first that the fleet may come to in ten seconds, whatever is asked
	Shift     clock.Span
	Nameless  float64  // of the requests to servers with models, the part that names none
	Keys      []string // that callers show, by turns; none if it is empty
}

// HostedDefaults are what a deployment asks for as a rule.
func HostedDefaults() *Hosted {
	return &Hosted{
		Timing: controller.Timing{Apply: 2000e6, Drain: 2000e6, CatchUp: 4000e6, Period: 1200e6, Rate: 5e9},
		Batch:  8, Plain: 4, ContactTime: 3000e6, Tenure: 3000e6, Reuse: 2000e6, ThawAllowance: 300e6, ReportLag: 200e6, RetryMargin: 58, MaxAnnouncementDelay: 3e9,
	}
}

func (h *Hosted) setControllerOptions(o *controller.Options, joined bool) {
	o.Hold, o.Spare, o.Silence, o.Rate, o.Tenure = h.Timing.Hold(), h.Timing.Spare(), h.Timing.Silence(), h.Timing.Rate, h.Tenure
	o.Read, o.Enrolled, o.Unfenced, o.Joined, o.Platform = (&fleetplan.Memo{Read: ReadHostedPlan}).Plan, true, true, joined, ""
}

func (h *hosting) setRouterOptions(o *router.Options, z ident.Zone) {
	x := h.w.o.Hosted
	o.Read, o.Zone, o.Free, o.Guards, o.Lend, o.Window, o.Share = ReadHostedPlan, z, true, true, x.RetryMargin*0.6, 10e9, 0.16
	o.LendAgain, o.Save = x.RetryMargin*0.4, 2500e6
}

func (w *World) parsePlan(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
	if w.o.Hosted != nil {
		return ReadHostedPlan(raw)
	}
	return fleetplan.ReadPlan(raw)
}

type workCounter interface{ Counts() standin.ServerTally }

// machine is where servers of one service start, one after another; its disk stays.
type machine struct {
	index       int
	box     string
	zone    ident.Zone
	service string
	disk    map[ident.Key]bool
	addr    string
	life    int
	now     *announcedServer
}

// announcing is one life of a server that announces itself.
type announcedServer struct {
	protocol.Beacon
	on     *machine
	proc      *proc
	leavingSince   clock.Tick // since when it says that it is leaving
	acked  clock.Tick // when that was first acknowledged
	leaveAckedInTouchAt   clock.Tick // when it was, by a core node in touch
	leaveAckReceived  bool       // and when it heard of it
	ending bool
	ended  bool
}

type storeLoad struct {
	at      clock.Tick
	coreWasStable bool
}

// hosting is the platform side of a world of announced servers.
type hosting struct {
	w        *World
	plan     *fleetplan.Plan
	machines []*machine
	addrs    map[string]*proc
	byProcess       map[string]*announcedServer // by process
	pendingAnnouncements    map[uint64]func(node *proc, ok bool)
	lastAnnouncement     uint64
	activeLoads    int // under way from the store
	storeLoads    []storeLoad
	freeAddrs     []string // addresses that may be used again
	addrCount     int
}

func newHosting(w *World) *hosting {
	h := &hosting{w: w, plan: w.plan, addrs: map[string]*proc{}, byProcess: map[string]*announcedServer{}, pendingAnnouncements: map[uint64]func(*proc, bool){}}
	zones := []ident.Zone{"za", "zb", "zc"}
	for i := range w.o.Hosted.Batch + w.o.Hosted.Plain {
		m := &machine{index: i, box: fmt.Sprintf("machine-%d", i+1), zone: zones[i%3], service: "chat", disk: map[ident.Key]bool{}}
		if i >= w.o.Hosted.Batch {
			m.service = "plain"
		}
		h.machines = append(h.machines, m)
		w.After(clock.Span(w.rand.Int64N(1e9)), func() { h.startServer(m, h.initialModels(m)) })
	}
	return h
}

// initial places the busiest models on many servers and each other one on one, as room permits.
func (h *hosting) initialModels(m *machine) (l []ident.Key) {
	v := h.plan.Services[m.service]
	if v.Plain {
		return nil
	}
	room := v.Room
	add := func(i int) {
		k := ident.Key(baseName(i)).In(m.service)
		if x, ok := h.plan.Models[k]; ok && x.Size <= room {
			room -= x.Size
			l = append(l, k)
		}
	}
	add(m.index % 2)
	for i := 2 + m.index; i < len(h.plan.Models); i += h.w.o.Hosted.Batch {
		add(i)
	}
	return l
}

// address gives a server that starts an address, now and then one that another had.
func (h *hosting) newAddress() string {
	if n := len(h.freeAddrs); n > 0 && h.w.rand.IntN(2) == 0 {
		a := h.freeAddrs[0]
		h.freeAddrs = h.freeAddrs[1:]
		return a
	}
	h.addrCount++
	return fmt.Sprintf("address-%d", h.addrCount)
}

// start begins a new life of a server on a machine, with an id of its own.
func (h *hosting) startServer(m *machine, held []ident.Key) {
	w := h.w
	m.life++
	m.addr = h.newAddress()
	name := fmt.Sprintf("server-%d.%d", m.index+1, m.life)
	v := h.plan.Services[m.service]
	skew, rate := w.randomClock()
	p := &proc{name: name, box: m.box, zone: m.zone, tickInterval: 10e6, clockOffset: skew, clockRate: rate, server: ident.Server(name)}
	p.newCore = func() processCore {
		return standin.NewBatch(standin.BatchOptions{ID: p.server, Service: m.service, Plain: v.Plain, Slots: v.Slots, Room: v.Room, Places: v.Places,
			Lag: w.o.Hosted.ReportLag, Held: held, Disk: m.disk, Weight: func(k ident.Key) int { return h.plan.Models[k].Size }, Load: h.loadTime})
	}
	a := &announcedServer{Beacon: protocol.Beacon{Listed: protocol.Listed{ID: p.server, Addr: m.addr, Zone: m.zone, State: "live", Service: m.service, Slots: v.Slots}}, on: m, proc: p}
	m.now = a
	h.addrs[m.addr] = p
	h.byProcess[name] = a
	w.addProcess(p)
	w.Start(name)
	h.announcePeriodically(a)
}

// load tells how long a load takes; those from the store are counted.
func (h *hosting) loadTime(k ident.Key, disk bool) clock.Span {
	if k.IsAdapter() {
		return 20e6
	}
	d := h.plan.Models[k].Load
	if disk {
		return d / 4
	}
	h.storeLoads = append(h.storeLoads, storeLoad{h.w.now, h.w.coreStable()})
	h.activeLoads++
	h.w.Check.checkStoreRate()
	if h.activeLoads > 3 {
		d = d * clock.Span(h.activeLoads) / 3
	}
	h.w.After(d, func() { h.activeLoads-- })
	return d
}

func (h *hosting) noteLoaded(p *proc, v standin.LoadDone) { h.w.tracef("%s: %s is loaded", p.name, v.Key) }

// beat announces a server every while.
func (h *hosting) announcePeriodically(a *announcedServer) {
	w := h.w
	if !a.proc.up || a.ended {
		return
	}
	if a.State == "live" {
		h.announce(a, 3, func(bool) {})
	} else if !a.ending {
		h.announce(a, 2, func(ok bool) { h.noteLeaveAck(a, ok) })
	}
	w.After(w.o.Hosted.Timing.Period*9/10+clock.Span(w.rand.Int64N(int64(w.o.Hosted.Timing.Period/5))), func() { h.announcePeriodically(a) })
}

// announce says a server's word to one core node after another until one acknowledges it.
func (h *hosting) announce(a *announcedServer, tries int, then func(ok bool)) {
	w := h.w
	if !a.proc.up {
		return
	}
	a.Count++
	b := a.Beacon
	if v, ok := a.proc.core.(*standin.Batch); ok {
		b.Held = v.Keys()
	}
	var nodes []string
	for _, n := range w.order {
		if strings.HasPrefix(n, "controller-") {
			nodes = append(nodes, n)
		}
	}
	to := w.procs[nodes[w.rand.IntN(len(nodes))]]
	done := false
	end := func(ok bool) {
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
	w.After(1e9, func() { end(false) })
	h.sendAnnouncement(a, to, b, end)
	if w.rand.Float64() < w.o.Hosted.LateOdds {
		late := w.procs[nodes[w.rand.IntN(len(nodes))]]
		w.After(clock.Span(w.rand.Int64N(int64(w.o.Hosted.MaxAnnouncementDelay))), func() { h.sendAnnouncement(a, late, b, func(bool) {}) })
	}
}

func (h *hosting) sendAnnouncement(a *announcedServer, to *proc, b protocol.Beacon, end func(ok bool)) {
	w := h.w
	h.lastAnnouncement++
	token := h.lastAnnouncement
	h.pendingAnnouncements[token] = func(node *proc, ok bool) {
		if ok && b.State != "live" {
			if a.acked == 0 {
				a.acked = w.now
			}
			if a.leaveAckedInTouchAt == 0 && w.inTouch(node) {
				a.leaveAckedInTouchAt = w.now
			}
			w.tracef("%s: %s is acknowledged as %s (in touch: %v)", node.name, a.ID, b.State, a.leaveAckedInTouchAt != 0)
		}
		if w.cuts[[2]string{to.box, a.on.box}] {
			return
		}
		w.After(w.delay(), func() { end(ok) })
	}
	if w.cuts[[2]string{a.on.box, to.box}] || w.rand.Float64() < w.o.Loss {
		return
	}
	w.After(w.delay(), func() {
		if !to.up {
			w.After(w.delay(), func() { end(false) })
			return
		}
		w.step(to, to.life, controller.Announce{Token: token, Beacon: b})
	})
}

func (h *hosting) announcementAnswered(p *proc, v controller.Announced) {
	if f := h.pendingAnnouncements[v.Token]; f != nil {
		delete(h.pendingAnnouncements, v.Token)
		f(p, v.OK)
	}
}

// leave makes a server say that it is leaving; with a span left it is gone after that, whatever it runs.
func (h *hosting) leave(m *machine, left clock.Span, again clock.Span) {
	w, a := h.w, m.now
	if a == nil || !a.proc.up || a.State != "live" {
		return
	}
	a.State, a.Left, a.leavingSince = "leaving", left, w.now
	w.tracef("%s leaves (%v left)", a.ID, left)
	if left > 0 {
		w.After(left, func() { h.endServer(a, again) })
	}
	w.After(6e9, func() { // it ends all the same
		if !a.ending {
			h.endServer(a, again)
		}
	})
	a.on.now = a
	h.announce(a, 5, func(ok bool) { h.noteLeaveAck(a, ok) })
	var look func()
	look = func() { // it goes on for a while after it heard the acknowledgement
		if a.ended || left > 0 {
			return
		}
		if !a.leaveAckReceived {
			w.After(20e6, look)
			return
		}
		w.After(w.o.Hosted.Timing.Drain+300e6, func() {
			if a.ended {
				return
			}
			a.ending = true
			a.State = "gone"
			h.announce(a, 2, func(bool) {})
			w.After(300e6, func() { h.endServer(a, again) })
		})
	}
	look()
}

func (h *hosting) noteLeaveAck(a *announcedServer, ok bool) {
	if ok {
		a.leaveAckReceived = true
	}
}

// end ends a server; another one starts on its machine after a while, empty and under a new id.
func (h *hosting) endServer(a *announcedServer, again clock.Span) {
	if a.ended {
		return
	}
	a.ending, a.ended = true, true
	w := h.w
	w.Kill(a.proc.name)
	addr := a.Addr
	w.After(w.o.Hosted.Reuse, func() { h.freeAddrs = append(h.freeAddrs, addr) })
	if again > 0 {
		w.After(again, func() { h.startServer(a.on, nil) })
	}
}

// crash ends a server without a word.
func (h *hosting) crash(m *machine, again clock.Span) {
	if m.now != nil && m.now.proc.up && !m.now.ended {
		h.w.tracef("%s crashes", m.now.ID)
		h.endServer(m.now, again)
	}
}

// ask carries an order, or a question, to a server.
func (h *hosting) deliverAsk(p *proc, a protocol.Ask, tell func(ok bool, code int, b []byte)) {
	w := h.w
	o, ok := a.Body.(protocol.Order)
	if !ok || a.Path != "/orders" {
		return
	}
	at := w.now
	s := w.procAt(a.Addr)
	if s == nil || w.cuts[[2]string{p.box, s.box}] {
		return
	}
	lost := 0
	if o.Op != "" && w.rand.Float64() < w.o.Hosted.OrderLoss {
		lost = 2 + w.rand.IntN(2)
	}
	if o.Op != "" && w.rand.Float64() < w.o.Hosted.OrderGone {
		lost = 1
	}
	if lost == 1 {
		return
	}
	d := w.delay()
	if lost == 3 {
		d += clock.Span(100e6 + w.rand.Int64N(450e6)) // it comes late
	}
	w.After(d, func() {
		s := w.procAt(a.Addr)
		if s == nil || !s.up {
			w.After(w.delay(), func() { tell(false, 0, nil) })
			return
		}
		if w.now.Sub(at) > a.Wait {
			return // its connection was closed
		}
		v := s.core.(*standin.Batch)
		if a.Server != s.server && o.Op != "" { // reports are given whoever is asked for one
			w.After(w.delay(), func() { tell(true, http.StatusMisdirectedRequest, nil) })
			return
		}
		for _, x := range v.Step(s.tick(w.now), standin.BatchOrder{Order: o}) {
			r, ok := x.(standin.BatchAnswer)
			if !ok {
				w.handleOutput(s, x)
				continue
			}
			if o.Op != "" {
				w.Check.checkHostedOrder(p, s, o, r)
			}
			if lost == 2 || w.cuts[[2]string{s.box, p.box}] {
				continue
			}
			b, _ := json.Marshal(r.Report)
			if r.Code != http.StatusOK || o.Op != "" {
				b = nil
			}
			w.After(w.delay(), func() { tell(true, r.Code, b) })
		}
	})
}

// at finds what listens at an address.
func (w *World) procAt(addr string) *proc {
	if w.host != nil {
		if p := w.host.addrs[addr]; p != nil {
			return p
		}
	}
	return w.procs[addr]
}

// again tells whether a request of these scenes may run more than once.
func isRepeatable(a standin.Ask) bool { return strings.Contains(a.Route, "/idem/") }

// mix draws the requests of a scene.
func (w *World) mix() func() standin.Ask {
	if w.host == nil {
		m := standin.NewMix(w.plan, w.o.Seed)
		m.Tenants = w.o.Tenants
		return m.Next
	}
	n := 0
	return func() standin.Ask {
		n++
		at := 0
		if s := w.o.Hosted.Shift; s > 0 {
			at = int(clock.Span(w.now) / s) // which models are asked for moves
		}
		a := standin.Ask{Route: []string{"/flow/x", "/idem/x", "/once/x", "/plain/idem/x", "/plain/once/x"}[w.rand.IntN(5)]}
		c := &a.Call
		c.ID, c.Host, c.Max = fmt.Sprintf("r-%d", n), "a.example", 4+w.rand.IntN(28)
		if keys := w.o.Hosted.Keys; len(keys) > 0 {
			c.Credential = fleetplan.NewCredential(keys[w.rand.IntN(len(keys))])
		}
		if strings.HasPrefix(a.Route, "/plain/") {
			c.Max = 1 + w.rand.IntN(4)
			return a
		}
		if s := w.o.Hosted.Nameless; s > 0 && w.rand.Float64() < s {
			a.Route = strings.Replace(a.Route, "/", "/any/", 1)
			c.Max = 1 + w.rand.IntN(4)
			return a
		}
		v := w.plan.Services["chat"]
		bases := 0
		for k := range v.Keys {
			bases += b2i(!k.IsAdapter())
		}
		i := min(w.rand.IntN(bases), w.rand.IntN(bases), w.rand.IntN(bases))
		c.Base = baseName((i + 5*at) % bases)
		if w.rand.IntN(4) == 0 {
			c.Extra = fmt.Sprintf("a%d", 1+w.rand.IntN(2))
		}
		c.Parts = []string{strings.Repeat("system ", 60), strings.Repeat(fmt.Sprint("session-", w.rand.IntN(40)), 20)}
		c.Sizes = []int{len(c.Parts[0]) / 4, len(c.Parts[1]) / 4}
		c.Tokens = c.Sizes[0] + c.Sizes[1]
		return a
	}
}

// PutNumber hands a plan over that goes on another, under a number that the operator gives.
func (w *World) PutNumber(node string, raw []byte, on, number ident.Epoch, then func(controller.Receipt)) {
	w.change(node, controller.Admin{Op: "put", Raw: raw, Expect: on, Number: number, Change: fmt.Sprintf("put-%d-%d-%d", on, number, w.admin+1)}, then)
}

// harm is when machines and links between them were last in trouble.
type disruptions struct {
	machines  map[string]clock.Tick
	links map[[2]string]clock.Tick
	coreAt clock.Tick
	thawedAt map[string]clock.Tick // when machines were thawed, or will be
}

func newDisruptions() disruptions {
	return disruptions{machines: map[string]clock.Tick{}, thawedAt: map[string]clock.Tick{}, links: map[[2]string]clock.Tick{}}
}

func isCore(box string) bool { return strings.HasPrefix(box, "controller-") }

// upset notes trouble on a machine.
func (w *World) noteTrouble(box string) { w.noteTroubleAt(box, w.now) }

// thaws notes that a machine is frozen until a moment.
func (w *World) noteFreeze(box string, at clock.Tick) {
	w.disruptions.thawedAt[box] = at
	w.noteTroubleAt(box, at)
}

func (w *World) noteTroubleAt(box string, at clock.Tick) {
	w.disruptions.machines[box] = max(w.disruptions.machines[box], at)
	if isCore(box) {
		w.disruptions.coreAt = max(w.disruptions.coreAt, at)
	}
}

// parted notes trouble on a link.
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

// settled tells whether the core was without trouble for a while.
func (w *World) coreStable() bool {
	if w.o.Hosted == nil || w.now.Sub(w.disruptions.coreAt) < w.o.Hosted.ContactTime {
		return false
	}
	up := w.controllers()
	all := 0
	for _, n := range w.order {
		all += b2i(strings.HasPrefix(n, "controller-"))
	}
	if 2*len(up) <= all {
		return false
	}
	for c := range w.cuts {
		if isCore(c[0]) && isCore(c[1]) {
			return false
		}
	}
	return true
}

// inTouch tells whether a process's machine was without trouble for a while, and the core with it.
func (w *World) inTouch(p *proc) bool {
	if !p.up || w.now.Sub(w.disruptions.machines[p.box]) < w.o.Hosted.ContactTime || !w.coreStable() {
		return false
	}
	for c := range w.cuts {
		if c[0] == p.box && isCore(c[1]) || c[1] == p.box && isCore(c[0]) {
			return false
		}
	}
	return true
}

// linked tells whether the link between two machines was without trouble for a span.
func (w *World) linkStable(a, b string, s clock.Span) bool {
	if w.cuts[[2]string{a, b}] || w.cuts[[2]string{b, a}] {
		return false
	}
	t, ok := w.disruptions.links[[2]string{a, b}]
	return !ok || w.now.Sub(t) >= s
}

// live lists the machines whose servers are up and say that they stay.
func (h *hosting) liveMachines() (l []*machine) {
	for _, m := range h.machines {
		if m.now != nil && m.now.proc.up && m.now.State == "live" {
			l = append(l, m)
		}
	}
	return l
}

func (h *hosting) some() *machine {
	if l := h.liveMachines(); len(l) > 0 {
		return l[h.w.rand.IntN(len(l))]
	}
	return h.machines[0]
}
