package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// What an input costs a core node's processor, so that a test's verdict does not hang on the machine that it runs on.
const (
	visitCost   = clock.Span(90)      // of each server, replica or link that is looked at
	messageCost = clock.Span(20_000)  // of taking a message off its connection and putting the answer on one
	renewalCost = clock.Span(120_000) // and of reading a renewal and writing a grant, beside that
)

// processor is the share of a core that a node has. What it has no time for yet waits.
type processor struct {
	share     float64
	node      string
	busyUntil clock.Tick
	queued    []any
}

// bound gives every node a share of a core.
func (c *cluster) bound(share float64) {
	c.processors = map[string]*processor{}
	for id := range c.nodes {
		c.processors[id] = &processor{share: share, node: id, busyUntil: c.at}
	}
}

// freeze has the processor stand still for a while.
func (p *processor) freeze(now clock.Tick, span clock.Span) { p.busyUntil = now.Add(span) }

// queue has an input wait for its turn. A timer that goes off while its last beat waits is lost.
func (p *processor) queue(in any) {
	if _, beat := in.(protocol.Beat); beat {
		for _, w := range p.queued {
			if _, beat := w.(protocol.Beat); beat {
				return
			}
		}
	}
	p.queued = append(p.queued, in)
}

// run takes in what there is time for until the next tick.
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

// costOf is what an input costs beside what is looked at.
func costOf(in any) clock.Span {
	e, ok := in.(protocol.Env)
	if !ok {
		return messageCost
	}
	if _, renews := e.Body.(protocol.Renew); renews {
		return messageCost + renewalCost
	}
	return messageCost
}
