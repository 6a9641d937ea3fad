package localfleet

import (
	"fmt"
	"runtime"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
)

// turn moves the fleet by one step of virtual time.
func (h *Hollow) turn() {
	i := int(int64(h.now)/int64(hollowStep)) % hollowRing
	drain := func() {
		for j := 0; j < len(h.ring[i]); j++ { // what is delivered at once joins the end
			h.deliver(h.ring[i][j])
		}
		h.ring[i] = nil
	}
	drain()
	for _, s := range h.servers {
		h.beatServer(s)
	}
	for _, n := range h.nodes {
		if n.role == "router" || h.now%(5*clock.Tick(hollowStep)) != 0 { // a router's beat is 20 ms, the others' 25
			h.step(n, "Beat", protocol.Beat{})
		}
	}
	drain()
	h.settleChanges()
	h.now = h.now.Add(hollowStep)
}

// Owner finds the core node that owns the duty.
func (h *Hollow) Owner() *controller.Core {
	for _, n := range h.nodes {
		if c, ok := n.core.(*controller.Core); ok && n.up {
			if _, owns := c.Owns(h.now); owns {
				return c
			}
		}
	}
	return nil
}

// InForce counts the live routers that have an epoch in force and a hold.
func (h *Hollow) InForce(e ident.Epoch) (up, held, ruled int) {
	for _, n := range h.nodes {
		c, ok := n.core.(*router.Core)
		if !ok || !n.up {
			continue
		}
		up++
		_, at, holds := c.Rules(h.now)
		if holds {
			held++
		}
		if at >= e {
			ruled++
		}
	}
	return up, held, ruled
}

// Admin asks a live core node for a change as an operator would.
func (h *Hollow) Admin(a controller.Admin, then func(controller.Receipt)) {
	n := h.nodes[h.rand.IntN(h.o.Cores)]
	for !n.up {
		n = h.nodes[h.rand.IntN(h.o.Cores)]
	}
	h.token++
	a.Token = h.token
	h.admins[a.Token] = then
	l := h.load(h.roleOf(n), "Admin")
	l.Got++
	l.In += len(a.Raw)
	h.post(1, mail{to: n, life: n.life, kind: "Admin", in: a})
}

func (h *Hollow) change(n int) {
	var raw []byte
	if h.o.Adapters > 0 {
		raw = fmt.Appendf(nil, `{"adapters":{"adapter-%04d":{"size":%d}}}`, n%h.o.Adapters, 401+n)
	} else {
		raw = fmt.Appendf(nil, `{"models":{"model-%03d":{"load_ms":%d}}}`, n%h.o.Models, 2001+n)
	}
	h.Admin(controller.Admin{Op: "patch", Raw: raw, Any: true, Change: fmt.Sprint("change-", n)}, func(r controller.Receipt) {
		if r.Kind != failure.None {
			h.Notes["change: "+string(r.Kind)]++
			return
		}
		h.epoch = max(h.epoch, r.Epoch)
		h.pending = append(h.pending, &inForce{r.Epoch, h.now})
	})
}

func (h *Hollow) settleChanges() {
	left := h.pending[:0]
	for _, p := range h.pending {
		if up, _, ruled := h.InForce(p.epoch); ruled >= up {
			h.Applied = append(h.Applied, h.now.Sub(p.at))
			continue
		}
		left = append(left, p)
	}
	h.pending = left
}

// Up turns the fleet until a plan is in force at every router, then for the warm time. It fails when
// that never comes about.
func (h *Hollow) Up() error {
	asked := false
	for end := h.now.Add(60e9); ; h.turn() {
		if h.now > end {
			return fmt.Errorf("no plan in force after a minute: %v", h.Notes)
		}
		if h.epoch == 0 && !asked && h.Owner() != nil {
			asked = true
			h.Admin(controller.Admin{Op: "put", Raw: h.plan, Any: true, Change: "first"}, func(r controller.Receipt) {
				asked = false
				if r.Kind == failure.None {
					h.epoch = r.Epoch
					return
				}
				h.Notes[fmt.Sprint("plan: ", r.Kind, r.Faults)]++
			})
		}
		if up, held, ruled := h.InForce(max(1, h.epoch)); h.epoch > 0 && ruled == up && held == up {
			break
		}
	}
	for end := h.now.Add(h.o.Warm); h.now < end; {
		h.turn()
	}
	return nil
}

// Measure turns the fleet for the measured time, with the churn that was asked for.
func (h *Hollow) Measure() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	h.Loads, h.Notes = map[LoadKey]*Load{}, map[string]int{}
	h.Written, h.Syncs, h.Orders, h.Reigns = 0, 0, 0, nil
	h.begun = h.now
	due := map[int][]func(){}
	steps := int(h.o.For / hollowStep)
	spread := func(n int, do func(i int)) {
		for i := range n {
			at := steps * (2*i + 1) / (2 * n)
			due[at] = append(due[at], func() { do(i) })
		}
	}
	spread(h.o.Changes, h.change)
	spread(h.o.Fails, h.failMachine)
	spread(h.o.Restarts, h.restartServer)
	third := func(n int, do func()) { due[steps*n/3] = append(due[steps*n/3], do) }
	if h.o.ZoneLost {
		third(1, func() { h.powerZone(0, false) })
		third(2, func() { h.powerZone(0, true) })
	}
	if h.o.OwnerOut {
		third(1, h.failOwner)
	}
	if h.o.Apart > 0 {
		third(1, func() {
			h.parted = func(a, b int) bool { return (h.region(a) == 0) != (h.region(b) == 0) }
		})
		n := steps/3 + int(h.o.Apart/hollowStep)
		due[n] = append(due[n], func() { h.parted = func(int, int) bool { return false } })
	}
	for i := range steps {
		for _, f := range due[i] {
			f()
		}
		h.turn()
		if i%10 == 0 {
			h.marks = append(h.marks, h.mark())
		}
	}
}

func (h *Hollow) mark() Mark {
	m := Mark{At: h.now.Sub(h.begun)}
	m.Routers, m.Held, _ = h.InForce(0)
	ready := map[ident.Key]bool{}
	for _, s := range h.servers {
		if s.up && s.state == "live" {
			for k := range s.held {
				ready[k] = true
			}
		}
	}
	for i := range min(h.o.Models, h.o.Servers/2) {
		if !ready[h.keys[i][0]] {
			m.Bare++
		}
	}
	for _, n := range h.nodes {
		if n.traffic != nil && n.up {
			for _, l := range n.traffic.lines {
				m.Waiting += len(l)
			}
		}
	}
	return m
}

func (h *Hollow) failServer(s *hollowServer) {
	if s.up {
		s.up, s.back = false, 0
		h.failing[s.id] = h.now
	}
}

func (h *Hollow) powerNode(n *hollowNode, on bool) {
	if on && !n.up {
		h.startNode(n)
	}
	n.up = on
}

// failMachine takes the power from a server, and from a router for each of eight servers, as their numbers go.
func (h *Hollow) failMachine(i int) {
	if i%8 == 7 {
		n := h.nodes[h.o.Cores+2*((i*37)%h.o.Routers)]
		h.powerNode(n, false)
		h.powerNode(n.beside, false)
		return
	}
	h.failServer(h.servers[(i*101+3)%h.o.Servers])
}

// restartServer stops a server as planned, and starts it anew under another id at the same address.
func (h *Hollow) restartServer(i int) {
	s := h.servers[(i*211+7)%h.o.Servers]
	if !s.up || s.state != "live" {
		return
	}
	s.state = "leaving"
	h.announce(s, func(ok bool) {
		h.post(100, mail{do: func() {
			s.state = "gone"
			h.announce(s, nil)
			s.up, s.back = false, h.now.Add(5e9)
		}})
	})
}

func (h *Hollow) powerZone(zone int, on bool) {
	for _, n := range h.nodes {
		if n.zone == zone {
			h.powerNode(n, on)
		}
	}
	for _, s := range h.servers {
		switch {
		case s.zone != zone:
		case on:
			s.back = h.now
		default:
			h.failServer(s)
		}
	}
}

func (h *Hollow) failOwner() {
	for _, n := range h.nodes {
		if n.role == "core" && h.roleOf(n) == "owner" {
			h.powerNode(n, false)
			return
		}
	}
}
