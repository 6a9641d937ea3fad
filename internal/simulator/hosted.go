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
	Contact   clock.Span // a machine without trouble for so long is in touch
	Tenure    clock.Span // owners may not take turns at a server within it
	Reuse     clock.Span // an address is used again after so long
	Thaw      clock.Span // orders that arrive so soon after trouble ended are not counted
	ReportLag clock.Span
	LateOdds  float64 // that an announcement comes again, late
	LateBy    clock.Span
	OrderLoss float64 // that the answer to an order gets lost, or an order comes late
	OrderGone float64 // that an order gets lost before it comes
	Lend      float64 // arrivals beyond the first that the fleet may come to in ten seconds, whatever is asked
	Shift     clock.Span
	Nameless  float64  // of the requests to servers with models, the part that names none
	Keys      []string // that callers show, by turns; none if it is empty
}

// HostedDefaults are what a deployment asks for as a rule.
func HostedDefaults() *Hosted {
	return &Hosted{
		Timing: controller.Timing{Apply: 2000e6, Drain: 2000e6, CatchUp: 4000e6, Period: 1200e6, Rate: 5e9},
		Batch:  8, Plain: 4, Contact: 3000e6, Tenure: 3000e6, Reuse: 2000e6, Thaw: 300e6, ReportLag: 200e6, Lend: 58, LateBy: 3e9,
	}
}

func (h *Hosted) controller(o *controller.Options, joined bool) {
	o.Hold, o.Spare, o.Silence, o.Rate, o.Tenure = h.Timing.Hold(), h.Timing.Spare(), h.Timing.Silence(), h.Timing.Rate, h.Tenure
	o.Read, o.Enrolled, o.Unfenced, o.Joined, o.Platform = (&fleetplan.Memo{Read: ReadSheet}).Plan, true, true, joined, ""
}

func (h *hosting) router(o *router.Options, z ident.Zone) {
	x := h.w.o.Hosted
	o.Read, o.Zone, o.Free, o.Guards, o.Lend, o.Window, o.Share = ReadSheet, z, true, true, x.Lend*0.6, 10e9, 0.16
	o.LendAgain, o.Save = x.Lend*0.4, 2500e6
}

func (w *World) read(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
	if w.o.Hosted != nil {
		return ReadSheet(raw)
	}
	return fleetplan.ReadPlan(raw)
}

type worker interface{ Counts() standin.ServerTally }

// machine is where servers of one service start, one after another; its disk stays.
type machine struct {
	n       int
	box     string
	zone    ident.Zone
	service string
	disk    map[ident.Key]bool
	addr    string
	life    int
	now     *announcing
}

// announcing is one life of a server that announces itself.
type announcing struct {
	protocol.Beacon
	on     *machine
	p      *proc
	said   clock.Tick // since when it says that it is leaving
	acked  clock.Tick // when that was first acknowledged
	sure   clock.Tick // when it was, by a core node in touch
	heard  bool       // and when it heard of it
	ending bool
	ended  bool
}

type loading struct {
	at      clock.Tick
	counted bool
}

// hosting is the platform side of a world of announced servers.
type hosting struct {
	w        *World
	plan     *fleetplan.Plan
	machines []*machine
	addrs    map[string]*proc
	of       map[string]*announcing // by process
	words    map[uint64]func(node *proc, ok bool)
	word     uint64
	loads    int // under way from the store
	began    []loading
	free     []string // addresses that may be used again
	used     int
}

func newHosting(w *World) *hosting {
	h := &hosting{w: w, plan: w.plan, addrs: map[string]*proc{}, of: map[string]*announcing{}, words: map[uint64]func(*proc, bool){}}
	zones := []ident.Zone{"za", "zb", "zc"}
	for i := range w.o.Hosted.Batch + w.o.Hosted.Plain {
		m := &machine{n: i, box: fmt.Sprintf("machine-%d", i+1), zone: zones[i%3], service: "chat", disk: map[ident.Key]bool{}}
		if i >= w.o.Hosted.Batch {
			m.service = "plain"
		}
		h.machines = append(h.machines, m)
		w.After(clock.Span(w.rand.Int64N(1e9)), func() { h.start(m, h.initial(m)) })
	}
	return h
}

// initial places the busiest models on many servers and each other one on one, as room permits.
func (h *hosting) initial(m *machine) (l []ident.Key) {
	v := h.plan.Services[m.service]
	if v.Plain {
		return nil
	}
	room := v.Room
	add := func(i int) {
		k := ident.Key(base(i)).In(m.service)
		if x, ok := h.plan.Models[k]; ok && x.Size <= room {
			room -= x.Size
			l = append(l, k)
		}
	}
	add(m.n % 2)
	for i := 2 + m.n; i < len(h.plan.Models); i += h.w.o.Hosted.Batch {
		add(i)
	}
	return l
}

// address gives a server that starts an address, now and then one that another had.
func (h *hosting) address() string {
	if n := len(h.free); n > 0 && h.w.rand.IntN(2) == 0 {
		a := h.free[0]
		h.free = h.free[1:]
		return a
	}
	h.used++
	return fmt.Sprintf("address-%d", h.used)
}

// start begins a new life of a server on a machine, with an id of its own.
func (h *hosting) start(m *machine, held []ident.Key) {
	w := h.w
	m.life++
	m.addr = h.address()
	name := fmt.Sprintf("server-%d.%d", m.n+1, m.life)
	v := h.plan.Services[m.service]
	skew, rate := w.clock()
	p := &proc{name: name, box: m.box, zone: m.zone, beat: 10e6, skew: skew, rate: rate, server: ident.Server(name)}
	p.made = func() core {
		return standin.NewBatch(standin.BatchOptions{ID: p.server, Service: m.service, Plain: v.Plain, Slots: v.Slots, Room: v.Room, Places: v.Places,
			Lag: w.o.Hosted.ReportLag, Held: held, Disk: m.disk, Weight: func(k ident.Key) int { return h.plan.Models[k].Size }, Load: h.load})
	}
	a := &announcing{Beacon: protocol.Beacon{Listed: protocol.Listed{ID: p.server, Addr: m.addr, Zone: m.zone, State: "live", Service: m.service, Slots: v.Slots}}, on: m, p: p}
	m.now = a
	h.addrs[m.addr] = p
	h.of[name] = a
	w.add(p)
	w.Start(name)
	h.beat(a)
}

// load tells how long a load takes; those from the store are counted.
func (h *hosting) load(k ident.Key, disk bool) clock.Span {
	if k.IsAdapter() {
		return 20e6
	}
	d := h.plan.Models[k].Load
	if disk {
		return d / 4
	}
	h.began = append(h.began, loading{h.w.now, h.w.settled()})
	h.loads++
	h.w.Check.ceiling()
	if h.loads > 3 {
		d = d * clock.Span(h.loads) / 3
	}
	h.w.After(d, func() { h.loads-- })
	return d
}

func (h *hosting) loaded(p *proc, v standin.LoadDone) { h.w.tracef("%s: %s is loaded", p.name, v.Key) }

// beat announces a server every while.
func (h *hosting) beat(a *announcing) {
	w := h.w
	if !a.p.up || a.ended {
		return
	}
	if a.State == "live" {
		h.announce(a, 3, func(bool) {})
	} else if !a.ending {
		h.announce(a, 2, func(ok bool) { h.farewell(a, ok) })
	}
	w.After(w.o.Hosted.Timing.Period*9/10+clock.Span(w.rand.Int64N(int64(w.o.Hosted.Timing.Period/5))), func() { h.beat(a) })
}

// announce says a server's word to one core node after another until one acknowledges it.
func (h *hosting) announce(a *announcing, tries int, then func(ok bool)) {
	w := h.w
	if !a.p.up {
		return
	}
	a.Count++
	b := a.Beacon
	if v, ok := a.p.core.(*standin.Batch); ok {
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
	h.tell(a, to, b, end)
	if w.rand.Float64() < w.o.Hosted.LateOdds {
		late := w.procs[nodes[w.rand.IntN(len(nodes))]]
		w.After(clock.Span(w.rand.Int64N(int64(w.o.Hosted.LateBy))), func() { h.tell(a, late, b, func(bool) {}) })
	}
}

func (h *hosting) tell(a *announcing, to *proc, b protocol.Beacon, end func(ok bool)) {
	w := h.w
	h.word++
	token := h.word
	h.words[token] = func(node *proc, ok bool) {
		if ok && b.State != "live" {
			if a.acked == 0 {
				a.acked = w.now
			}
			if a.sure == 0 && w.inTouch(node) {
				a.sure = w.now
			}
			w.tracef("%s: %s is acknowledged as %s (in touch: %v)", node.name, a.ID, b.State, a.sure != 0)
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

func (h *hosting) announced(p *proc, v controller.Announced) {
	if f := h.words[v.Token]; f != nil {
		delete(h.words, v.Token)
		f(p, v.OK)
	}
}

// leave makes a server say that it is leaving; with a span left it is gone after that, whatever it runs.
func (h *hosting) leave(m *machine, left clock.Span, again clock.Span) {
	w, a := h.w, m.now
	if a == nil || !a.p.up || a.State != "live" {
		return
	}
	a.State, a.Left, a.said = "leaving", left, w.now
	w.tracef("%s leaves (%v left)", a.ID, left)
	if left > 0 {
		w.After(left, func() { h.end(a, again) })
	}
	w.After(6e9, func() { // it ends all the same
		if !a.ending {
			h.end(a, again)
		}
	})
	a.on.now = a
	h.announce(a, 5, func(ok bool) { h.farewell(a, ok) })
	var look func()
	look = func() { // it goes on for a while after it heard the acknowledgement
		if a.ended || left > 0 {
			return
		}
		if !a.heard {
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
			w.After(300e6, func() { h.end(a, again) })
		})
	}
	look()
}

func (h *hosting) farewell(a *announcing, ok bool) {
	if ok {
		a.heard = true
	}
}

// end ends a server; another one starts on its machine after a while, empty and under a new id.
func (h *hosting) end(a *announcing, again clock.Span) {
	if a.ended {
		return
	}
	a.ending, a.ended = true, true
	w := h.w
	w.Kill(a.p.name)
	addr := a.Addr
	w.After(w.o.Hosted.Reuse, func() { h.free = append(h.free, addr) })
	if again > 0 {
		w.After(again, func() { h.start(a.on, nil) })
	}
}

// crash ends a server without a word.
func (h *hosting) crash(m *machine, again clock.Span) {
	if m.now != nil && m.now.p.up && !m.now.ended {
		h.w.tracef("%s crashes", m.now.ID)
		h.end(m.now, again)
	}
}

// ask carries an order, or a question, to a server.
func (h *hosting) ask(p *proc, a protocol.Ask, tell func(ok bool, code int, b []byte)) {
	w := h.w
	o, ok := a.Body.(protocol.Order)
	if !ok || a.Path != "/orders" {
		return
	}
	at := w.now
	s := w.at(a.Addr)
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
		s := w.at(a.Addr)
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
				w.act(s, x)
				continue
			}
			if o.Op != "" {
				w.Check.orderedBatch(p, s, o, r)
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
func (w *World) at(addr string) *proc {
	if w.host != nil {
		if p := w.host.addrs[addr]; p != nil {
			return p
		}
	}
	return w.procs[addr]
}

// again tells whether a request of these scenes may run more than once.
func again(a standin.Ask) bool { return strings.Contains(a.Route, "/idem/") }

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
		c.Base = base((i + 5*at) % bases)
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
type harm struct {
	box  map[string]clock.Tick
	pair map[[2]string]clock.Tick
	core clock.Tick
	thaw map[string]clock.Tick // when machines were thawed, or will be
}

func newHarm() harm {
	return harm{box: map[string]clock.Tick{}, thaw: map[string]clock.Tick{}, pair: map[[2]string]clock.Tick{}}
}

func isCore(box string) bool { return strings.HasPrefix(box, "controller-") }

// upset notes trouble on a machine.
func (w *World) upset(box string) { w.trouble(box, w.now) }

// thaws notes that a machine is frozen until a moment.
func (w *World) thaws(box string, at clock.Tick) {
	w.harm.thaw[box] = at
	w.trouble(box, at)
}

func (w *World) trouble(box string, at clock.Tick) {
	w.harm.box[box] = max(w.harm.box[box], at)
	if isCore(box) {
		w.harm.core = max(w.harm.core, at)
	}
}

// parted notes trouble on a link.
func (w *World) parted(a, b string) {
	w.harm.pair[[2]string{a, b}], w.harm.pair[[2]string{b, a}] = w.now, w.now
	if isCore(a) {
		w.harm.box[b] = max(w.harm.box[b], w.now)
	}
	if isCore(b) {
		w.harm.box[a] = max(w.harm.box[a], w.now)
	}
	if isCore(a) && isCore(b) {
		w.harm.core = max(w.harm.core, w.now)
	}
}

// settled tells whether the core was without trouble for a while.
func (w *World) settled() bool {
	if w.o.Hosted == nil || w.now.Sub(w.harm.core) < w.o.Hosted.Contact {
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
	if !p.up || w.now.Sub(w.harm.box[p.box]) < w.o.Hosted.Contact || !w.settled() {
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
func (w *World) linked(a, b string, s clock.Span) bool {
	if w.cuts[[2]string{a, b}] || w.cuts[[2]string{b, a}] {
		return false
	}
	t, ok := w.harm.pair[[2]string{a, b}]
	return !ok || w.now.Sub(t) >= s
}

// live lists the machines whose servers are up and say that they stay.
func (h *hosting) live() (l []*machine) {
	for _, m := range h.machines {
		if m.now != nil && m.now.p.up && m.now.State == "live" {
			l = append(l, m)
		}
	}
	return l
}

func (h *hosting) some() *machine {
	if l := h.live(); len(l) > 0 {
		return l[h.w.rand.IntN(len(l))]
	}
	return h.machines[0]
}
