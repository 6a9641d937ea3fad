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
func (h *Hollow) advance() {
	i := int(int64(h.now)/int64(stepTime)) % ringSteps
	drain := func() {
		for j := 0; j < len(h.ring[i]); j++ { // what is delivered at once joins the end
			h.deliver(h.ring[i][j])
		}
		h.ring[i] = nil
	}
	drain()
	for _, s := range h.servers {
		h.stepServer(s)
	}
	for _, n := range h.nodes {
		if n.role == "router" || h.now%(5*clock.Tick(stepTime)) != 0 { // a router's beat is 20 ms, the others' 25
			h.step(n, "Beat", protocol.Beat{})
		}
	}
	drain()
	h.recordApplied()
	h.now = h.now.Add(stepTime)
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
func (h *Hollow) RequestChange(a controller.Admin, then func(controller.Receipt)) {
	n := h.nodes[h.rand.IntN(h.opts.CoreNodes)]
	for !n.up {
		n = h.nodes[h.rand.IntN(h.opts.CoreNodes)]
	}
	h.token++
	a.Token = h.token
	h.onReceipt[a.Token] = then
	l := h.cost(h.roleOf(n), "Admin")
	l.Received++
	l.ReceivedBytes += len(a.Raw)
	h.schedule(1, event{to: n, starts: n.starts, kind: "Admin", input: a})
}

func (h *Hollow) patchPlan(n int) {
	var raw []byte
	if h.opts.Adapters > 0 {
		raw = fmt.Appendf(nil, `{"adapters":{"adapter-%04d":{"size":%d}}}`, n%h.opts.Adapters, 401+n)
	} else {
		raw = fmt.Appendf(nil, `{"models":{"model-%03d":{"load_ms":%d}}}`, n%h.opts.Models, 2001+n)
	}
	h.RequestChange(controller.Admin{Op: "patch", Raw: raw, Any: true, Change: fmt.Sprint("change-", n)}, func(r controller.Receipt) {
		if r.Kind != failure.None {
			h.LogCounts["change: "+string(r.Kind)]++
			return
		}
		h.epoch = max(h.epoch, r.Epoch)
		h.pending = append(h.pending, &pendingChange{r.Epoch, h.now})
	})
}

func (h *Hollow) recordApplied() {
	left := h.pending[:0]
	for _, p := range h.pending {
		if up, _, ruled := h.InForce(p.epoch); ruled >= up {
			h.ApplyTimes = append(h.ApplyTimes, h.now.Sub(p.at))
			continue
		}
		left = append(left, p)
	}
	h.pending = left
}

// Up turns the fleet until a plan is in force at every router, then for the warm time. It fails when
// that never comes about.
func (h *Hollow) Start() error {
	asked := false
	for end := h.now.Add(60e9); ; h.advance() {
		if h.now > end {
			return fmt.Errorf("no plan in force after a minute: %v", h.LogCounts)
		}
		if h.epoch == 0 && !asked && h.Owner() != nil {
			asked = true
			h.RequestChange(controller.Admin{Op: "put", Raw: h.plan, Any: true, Change: "first"}, func(r controller.Receipt) {
				asked = false
				if r.Kind == failure.None {
					h.epoch = r.Epoch
					return
				}
				h.LogCounts[fmt.Sprint("plan: ", r.Kind, r.Faults)]++
			})
		}
		if up, held, ruled := h.InForce(max(1, h.epoch)); h.epoch > 0 && ruled == up && held == up {
			break
		}
	}
	for end := h.now.Add(h.opts.WarmUp); h.now < end; {
		h.advance()
	}
	return nil
}

// Measure turns the fleet for the measured time, with the churn that was asked for.
func (h *Hollow) Measure() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	h.Costs, h.LogCounts = map[CostKey]*Cost{}, map[string]int{}
	h.SyncedBytes, h.Syncs, h.Orders, h.TermStarts = 0, 0, 0, nil
	h.measuredFrom = h.now
	due := map[int][]func(){}
	steps := int(h.opts.Duration / stepTime)
	spread := func(n int, do func(i int)) {
		for i := range n {
			at := steps * (2*i + 1) / (2 * n)
			due[at] = append(due[at], func() { do(i) })
		}
	}
	spread(h.opts.Changes, h.patchPlan)
	spread(h.opts.Failures, h.failMachine)
	spread(h.opts.Restarts, h.restartServer)
	third := func(n int, do func()) { due[steps*n/3] = append(due[steps*n/3], do) }
	if h.opts.ZoneFails {
		third(1, func() { h.setZonePower(0, false) })
		third(2, func() { h.setZonePower(0, true) })
	}
	if h.opts.OwnerFails {
		third(1, h.failOwner)
	}
	if h.opts.PartitionTime > 0 {
		third(1, func() {
			h.partitioned = func(a, b int) bool { return (h.region(a) == 0) != (h.region(b) == 0) }
		})
		n := steps/3 + int(h.opts.PartitionTime/stepTime)
		due[n] = append(due[n], func() { h.partitioned = func(int, int) bool { return false } })
	}
	for i := range steps {
		for _, f := range due[i] {
			f()
		}
		h.advance()
		if i%10 == 0 {
			h.samples = append(h.samples, h.sample())
		}
	}
}

func (h *Hollow) sample() ServiceSample {
	m := ServiceSample{At: h.now.Sub(h.measuredFrom)}
	m.Routers, m.Leased, _ = h.InForce(0)
	ready := map[ident.Key]bool{}
	for _, s := range h.servers {
		if s.up && s.state == "live" {
			for k := range s.held {
				ready[k] = true
			}
		}
	}
	for i := range min(h.opts.Models, h.opts.Servers/2) {
		if !ready[h.keys[i][0]] {
			m.BelowFloor++
		}
	}
	for _, n := range h.nodes {
		if n.traffic != nil && n.up {
			for _, l := range n.traffic.waiting {
				m.Waiting += len(l)
			}
		}
	}
	return m
}

func (h *Hollow) failServer(s *hollowServer) {
	if s.up {
		s.up, s.restartAt = false, 0
		h.undetected[s.id] = h.now
	}
}

func (h *Hollow) setNodePower(n *hollowNode, on bool) {
	if on && !n.up {
		h.startNode(n)
	}
	n.up = on
}

// failMachine takes the power from a server, and from a router for each of eight servers, as their numbers go.
func (h *Hollow) failMachine(i int) {
	if i%8 == 7 {
		n := h.nodes[h.opts.CoreNodes+2*((i*37)%h.opts.Routers)]
		h.setNodePower(n, false)
		h.setNodePower(n.partner, false)
		return
	}
	h.failServer(h.servers[(i*101+3)%h.opts.Servers])
}

// restartServer stops a server as planned, and starts it anew under another id at the same address.
func (h *Hollow) restartServer(i int) {
	s := h.servers[(i*211+7)%h.opts.Servers]
	if !s.up || s.state != "live" {
		return
	}
	s.state = "leaving"
	h.announce(s, func(ok bool) {
		h.schedule(100, event{run: func() {
			s.state = "gone"
			h.announce(s, nil)
			s.up, s.restartAt = false, h.now.Add(5e9)
		}})
	})
}

func (h *Hollow) setZonePower(zone int, on bool) {
	for _, n := range h.nodes {
		if n.zone == zone {
			h.setNodePower(n, on)
		}
	}
	for _, s := range h.servers {
		switch {
		case s.zone != zone:
		case on:
			s.restartAt = h.now
		default:
			h.failServer(s)
		}
	}
}

func (h *Hollow) failOwner() {
	for _, n := range h.nodes {
		if n.role == "core" && h.roleOf(n) == "owner" {
			h.setNodePower(n, false)
			return
		}
	}
}
