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

// advance runs one step of virtual time.
func (h *Hollow) advance() {
	i := int(int64(h.now)/int64(stepTime)) % ringSteps
	drain := func() {
		for j := 0; j < len(h.ring[i]); j++ { // a delivery may append events of the same step
			h.deliver(h.ring[i][j])
		}
		h.ring[i] = nil
	}
	drain()
	for _, s := range h.servers {
		h.stepServer(s)
	}
	for _, n := range h.nodes {
		if n.role == "router" || h.now%(5*clock.Instant(stepTime)) != 0 { // routers step every 20 ms, others every 25 ms on average
			h.step(n, "Beat", protocol.TimerTick{})
		}
	}
	drain()
	h.recordApplied()
	h.now = h.now.Add(stepTime)
}

// Owner returns the core node that holds the leadership, nil if none does.
func (h *Hollow) Owner() *controller.Core {
	for _, node := range h.nodes {
		if c, ok := node.core.(*controller.Core); ok && node.up {
			if _, owns := c.Owns(h.now); owns {
				return c
			}
		}
	}
	return nil
}

// InForce counts the live routers, those with a lease, and those that have at least an epoch in force.
func (h *Hollow) InForce(epoch ident.Epoch) (up, leased, inForce int) {
	for _, node := range h.nodes {
		c, ok := node.core.(*router.Core)
		if !ok || !node.up {
			continue
		}
		up++
		_, at, hasLease := c.InForce(h.now)
		if hasLease {
			leased++
		}
		if at >= epoch {
			inForce++
		}
	}
	return up, leased, inForce
}

// RequestChange submits an operator's request to a random live core node; then receives the reply.
func (h *Hollow) RequestChange(request controller.Admin, then func(controller.Receipt)) {
	node := h.nodes[h.rand.IntN(h.opts.CoreNodes)]
	for !node.up {
		node = h.nodes[h.rand.IntN(h.opts.CoreNodes)]
	}
	h.token++
	request.Token = h.token
	h.onReceipt[request.Token] = then
	cost := h.cost(h.roleOf(node), "Admin")
	cost.Received++
	cost.ReceivedBytes += len(request.Raw)
	h.schedule(1, event{to: node, starts: node.starts, kind: "Admin", input: request})
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
	remaining := h.pending[:0]
	for _, change := range h.pending {
		if up, _, inForce := h.InForce(change.epoch); inForce >= up {
			h.ApplyTimes = append(h.ApplyTimes, h.now.Sub(change.at))
			continue
		}
		remaining = append(remaining, change)
	}
	h.pending = remaining
}

// Start runs the fleet until the plan is in force at every router, then for the warm-up time. It returns an error if the
// plan is not in force after a minute of virtual time.
func (h *Hollow) Start() error {
	submitted := false
	for end := h.now.Add(60e9); ; h.advance() {
		if h.now > end {
			return fmt.Errorf("plan not in force everywhere after one minute: %v", h.LogCounts)
		}
		if h.epoch == 0 && !submitted && h.Owner() != nil {
			submitted = true
			h.RequestChange(controller.Admin{Op: "put", Raw: h.plan, Any: true, Change: "first"}, func(r controller.Receipt) {
				submitted = false
				if r.Kind == failure.None {
					h.epoch = r.Epoch
					return
				}
				h.LogCounts[fmt.Sprint("plan: ", r.Kind, r.Faults)]++
			})
		}
		if up, leased, inForce := h.InForce(max(1, h.epoch)); h.epoch > 0 && inForce == up && leased == up {
			break
		}
	}
	for end := h.now.Add(h.opts.WarmUp); h.now < end; {
		h.advance()
	}
	return nil
}

// Measure runs the fleet for the measured duration, with the configured changes and failures.
func (h *Hollow) Measure() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	h.Costs, h.LogCounts = map[CostKey]*Cost{}, map[string]int{}
	h.SyncedBytes, h.Syncs, h.Orders, h.TermStarts = 0, 0, 0, nil
	h.measuredFrom = h.now
	due := map[int][]func(){}
	steps := int(h.opts.Duration / stepTime)
	spread := func(n int, run func(i int)) {
		for i := range n {
			at := steps * (2*i + 1) / (2 * n)
			due[at] = append(due[at], func() { run(i) })
		}
	}
	spread(h.opts.Changes, h.patchPlan)
	spread(h.opts.Failures, h.failMachine)
	spread(h.opts.Restarts, h.restartServer)
	atThirds := func(n int, run func()) { due[steps*n/3] = append(due[steps*n/3], run) }
	if h.opts.ZoneFails {
		atThirds(1, func() { h.setZonePower(0, false) })
		atThirds(2, func() { h.setZonePower(0, true) })
	}
	if h.opts.OwnerFails {
		atThirds(1, h.failOwner)
	}
	if h.opts.PartitionTime > 0 {
		atThirds(1, func() {
			h.partitioned = func(a, b int) bool { return (h.region(a) == 0) != (h.region(b) == 0) }
		})
		n := steps/3 + int(h.opts.PartitionTime/stepTime)
		due[n] = append(due[n], func() { h.partitioned = func(int, int) bool { return false } })
	}
	for i := range steps {
		for _, run := range due[i] {
			run()
		}
		h.advance()
		if i%10 == 0 {
			h.samples = append(h.samples, h.sample())
		}
	}
}

func (h *Hollow) sample() ServiceSample {
	sample := ServiceSample{At: h.now.Sub(h.measuredFrom)}
	sample.Routers, sample.Leased, _ = h.InForce(0)
	ready := map[ident.Key]bool{}
	for _, s := range h.servers {
		if s.up && s.state == "live" {
			for key := range s.held {
				ready[key] = true
			}
		}
	}
	for i := range min(h.opts.Models, h.opts.Servers/2) {
		if !ready[h.keys[i][0]] {
			sample.BelowFloor++
		}
	}
	for _, node := range h.nodes {
		if node.traffic != nil && node.up {
			for _, queue := range node.traffic.waiting {
				sample.Waiting += len(queue)
			}
		}
	}
	return sample
}

func (h *Hollow) failServer(s *hollowServer) {
	if s.up {
		s.up, s.restartAt = false, 0
		h.undetected[s.id] = h.now
	}
}

func (h *Hollow) setNodePower(node *hollowNode, on bool) {
	if on && !node.up {
		h.startNode(node)
	}
	node.up = on
}

// failMachine fails one machine: in every eighth call a router with its agent, otherwise a server.
func (h *Hollow) failMachine(i int) {
	if i%8 == 7 {
		node := h.nodes[h.opts.CoreNodes+2*((i*37)%h.opts.Routers)]
		h.setNodePower(node, false)
		h.setNodePower(node.partner, false)
		return
	}
	h.failServer(h.servers[(i*101+3)%h.opts.Servers])
}

// restartServer stops a server gracefully and restarts it under a new id at the same address.
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
	for _, node := range h.nodes {
		if node.zone == zone {
			h.setNodePower(node, on)
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
	for _, node := range h.nodes {
		if node.role == "core" && h.roleOf(node) == "owner" {
			h.setNodePower(node, false)
			return
		}
	}
}
