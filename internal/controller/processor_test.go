package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// Processor cost of an input to a core node. A cost model keeps the tests' results independent of the machine.
const (
	visitCost   = clock.Span(90)      // of each server, replica or link examined
	messageCost = clock.Span(20_000)  // of receiving a message and sending its answer
	renewalCost = clock.Span(120_000) // in addition, of decoding a renewal with a router's load and encoding a grant
	leaseCost   = clock.Span(20_000)  // the same for a renewal without the load
)

// processor models a node's share of one CPU core. Inputs for which it has no time yet wait in a queue.
type processor struct {
	share     float64
	node      string
	busyUntil clock.Instant
	queued    []any
}

// limitProcessors gives every node the same share of a CPU core.
func (c *cluster) limitProcessors(share float64) {
	c.processors = map[string]*processor{}
	for id := range c.nodes {
		c.processors[id] = &processor{share: share, node: id, busyUntil: c.at}
	}
}

// freeze stops the processor for a while.
func (p *processor) freeze(now clock.Instant, span clock.Span) { p.busyUntil = now.Add(span) }

// queue appends an input. As with a real timer, a tick is lost if the previous one is still queued.
func (p *processor) queue(in any) {
	if _, beat := in.(protocol.TimerTick); beat {
		for _, w := range p.queued {
			if _, beat := w.(protocol.TimerTick); beat {
				return
			}
		}
	}
	p.queued = append(p.queued, in)
}

// run processes as many queued inputs as fit before the next tick.
func (p *processor) run(c *cluster) {
	p.busyUntil = max(p.busyUntil, c.at)
	for len(p.queued) > 0 && p.busyUntil < c.at.Add(tickLength) {
		in := p.queued[0]
		p.queued = p.queued[1:]
		before := c.nodes[p.node].tally.Visits
		c.stepNow(p.node, in)
		cost := costOf(in) + clock.Span(c.nodes[p.node].tally.Visits-before)*visitCost
		p.busyUntil = p.busyUntil.Add(clock.Span(float64(cost) / p.share))
	}
}

// costOf returns the cost of an input apart from what it examines.
func costOf(in any) clock.Span {
	e, ok := in.(protocol.Envelope)
	if !ok {
		return messageCost
	}
	if renewal, renews := e.Body.(protocol.Renew); renews && renewal.LoadUnchanged {
		return messageCost + leaseCost
	} else if renews {
		return messageCost + renewalCost
	}
	return messageCost
}
