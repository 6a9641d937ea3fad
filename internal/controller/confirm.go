package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/protocol"
)

// A server's report is already outdated when it arrives. To learn sooner whether an order is complete, the leader sends
// the order again with the count that the order led to. The server answers that it already holds that state, or that an
// order is in progress. It executes the repeat only if the first order had no effect; the count differs from then on,
// and the next report shows that.

const (
	unloadEstimate       = clock.Span(20e6) // duration of loading an adapter, or of an unload without active requests
	confirmDelay         = clock.Span(5e6)  // added to the expected end of an order before the first confirmation request
	firstConfirmInterval = clock.Span(25e6) // between the first two confirmation requests; doubles after each request
	maxConfirmInterval   = clock.Span(200e6)
	maxConfirms          = 10 // confirmation requests before the leader polls for a report instead

	initialDiskLoadFraction = 0.25 // load time from a server's own disk as a fraction of that from the store, before any was measured
	diskLoadDecay           = 0.9  // factor on the fraction if a load had already ended by the first confirmation request
	diskLoadWeight          = 0.5  // weight of the latest measurement in the moving average
)

// canConfirm reports whether a server executes an order that the leader may send again to confirm it.
func (s *server) canConfirm() bool {
	return s.executing != nil && s.unanswered == nil && s.known && s.confirmsSent < maxConfirms && orderOps[s.executing.stage] != ""
}

// confirm asks a server whether the order in progress is complete.
func (c *Core) confirm(s *server) {
	p := s.executing
	order := c.orderFor(s, p)
	order.QueriesCompletion = true
	s.polling, s.lastContact = true, c.now
	s.confirmsSent++
	c.tally.Confirms++
	duty := c.leadership.term
	c.askServer(s, ordersPath, order, func(t protocol.HTTPResult) {
		if c.leadership.held && c.leadership.term == duty && c.servers[s.ID] == s {
			c.onConfirmed(s, p, t)
		}
	})
}

// onConfirmed handles a server's answer to a confirmation request.
func (c *Core) onConfirmed(s *server, p *modelReplica, t protocol.HTTPResult) {
	s.polling = false
	if s.executing != p {
		return // a report arrived first
	}
	switch {
	case t.OK && c.answeredByOther(s, t):
		s.executing = nil
	case t.OK && t.Code == statusAlreadyHeld:
		c.completeOrder(s, p)
	case t.OK && (t.Code == statusConflict || t.Code == statusAccepted): // a server may answer either code for an order in progress
		s.nextPoll = c.now.Add(min(maxConfirmInterval, firstConfirmInterval<<(s.confirmsSent-1)))
	case t.OK && t.Code == statusHigherTerm:
		c.tally.OrdersRefused++
		c.endTerm("a server has accepted a higher term")
	default: // the next report shows the outcome
		s.executing, s.nextPoll = nil, c.now
	}
}

// completeOrder records that a server has completed an order. Reports requested before this point are older than that.
func (c *Core) completeOrder(s *server, p *modelReplica) {
	c.learnDiskLoad(s, p)
	s.executing, s.busy, s.foreignOrder = nil, false, false
	s.lastConfirmed, s.failures, s.nextPoll = c.now, 0, c.now.Add(idlePollInterval)
	c.noteAnswer(s)
	if p.stage == Ordered {
		if e := c.enrolledServers[s.ID]; e != nil {
			c.noteOnDisk(e, p.key, true)
		}
		c.markReady(s, p)
	} else {
		for _, key := range generic.SortedKeys(s.replicas) {
			if key == p.key || !p.key.IsAdapter() && key.Base() == p.key {
				c.forgetReplica(s, key)
			}
		}
	}
	c.driveServer(s) // sends orders that waited for this one
}

// expectedDuration returns the delay from sending an order to the first confirmation request.
func (c *Core) expectedDuration(s *server, p *modelReplica) clock.Span {
	span := unloadEstimate
	if p.stage == Ordered && !p.key.IsAdapter() {
		span = c.loadDuration(s, c.plan.Models[p.key])
	}
	return span + confirmDelay
}

// loadDuration returns how long a server takes to load a base model. A load from the server's own disk takes a learned
// fraction of the time from the store.
func (c *Core) loadDuration(s *server, m fleetplan.Model) clock.Span {
	if c.mayHaveOnDisk(s, m.Key) {
		return clock.Span(float64(m.LoadTime) * c.diskPart)
	}
	return m.LoadTime
}

// learnDiskLoad updates the estimate of load times from servers' own disks after a load has ended.
func (c *Core) learnDiskLoad(s *server, p *modelReplica) {
	full := c.plan.Models[p.key].LoadTime
	if p.stage != Ordered || p.key.IsAdapter() || p.fromStore || full <= 0 || s.executing != p {
		return
	}
	if s.confirmsSent <= 1 {
		c.diskPart *= diskLoadDecay // the load had ended by the first request, so the measured time is only an upper bound
		return
	}
	seen := c.now.Sub(p.orderedAt).Seconds() / full.Seconds()
	c.diskPart += (seen - c.diskPart) * diskLoadWeight
}
