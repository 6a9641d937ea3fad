package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
)

// roundsRun describes a run of a core that receives changes at fixed intervals.
type roundsRun struct {
	delay, gap clock.Span
	spread     bool // changes arrive at all nodes but the leader in turn, otherwise at one of them
	down       int  // number of partitioned nodes
}

// outcome is the result of a run.
type outcome struct {
	noOwner, noFreshNode, length clock.Span // totals
	sent, taken                  int
	rounds                       uint64
	longest                      clock.Span // longest time until a change was confirmed
}

// slowRoundsLength is how long changes are sent, and slowRoundsRest how much longer the last ones may take.
const (
	slowRoundsLength = clock.Span(12e9)
	slowRoundsRest   = clock.Span(4e9)
)

func (x roundsRun) run(t *testing.T) outcome {
	c, others := newSlowCluster(t, x.delay)
	for _, id := range others[len(others)-x.down:] {
		c.partitioned[id] = true
	}
	others = others[:len(others)-x.down]
	if !x.spread {
		others = others[:1]
	}
	c.run(2e9)
	return c.changesAt(others, x.gap)
}

// changesAt sends changes at a fixed interval to the nodes in turn. It records for how long there is no leader
// and no node that knows the newest value.
func (c *cluster) changesAt(nodes []string, gap clock.Span) outcome {
	type change struct {
		at     clock.Instant
		answer func() *Receipt
		done   bool
	}
	var changes []*change
	var o outcome
	before := c.rounds()
	next, end := c.at, c.at.Add(slowRoundsLength)
	for c.at < end.Add(slowRoundsRest) {
		if c.at >= next && c.at < end {
			next = next.Add(gap)
			o.sent++
			plan := fmt.Sprint("plan-", o.sent)
			c.plans[plan] = c.plans["1"]
			changes = append(changes, &change{at: c.at, answer: c.admin(nodes[o.sent%len(nodes)], Admin{Op: "put", Raw: []byte(plan), Any: true, Change: plan})})
		}
		c.tick()
		for _, x := range changes {
			r := x.answer()
			if r == nil || x.done {
				continue
			}
			x.done = true
			if r.Kind == failure.None {
				o.taken++
				o.longest = max(o.longest, c.at.Sub(x.at))
			}
		}
		if c.at >= end {
			continue
		}
		o.length += stepLength
		if c.owner() == "" {
			o.noOwner += stepLength
		}
		if !c.anyoneKnowsNewest() {
			o.noFreshNode += stepLength
		}
	}
	o.rounds = c.rounds() - before
	return o
}

// stepLength is the time between two steps of the test cluster.
const stepLength = clock.Span(20e6)

func (c *cluster) anyoneKnowsNewest() bool {
	for id := range c.nodes {
		if !c.partitioned[id] && c.knowsNewest(id) {
			return true
		}
	}
	return false
}

// rounds returns the number of attempts that all nodes have begun.
func (c *cluster) rounds() (n uint64) {
	for _, node := range c.nodes {
		n += node.tally.Rounds
	}
	return n
}

// However slow the messages between core nodes, the core keeps its leader, some node knows the newest value, and
// changes are taken, with no fault but the partitioned nodes. Messages take half to two and a half times the
// delay.
func TestRegisterGoesOnAtAnySpeed(t *testing.T) {
	for _, delay := range []clock.Span{60e6, 100e6, 140e6} {
		for _, gap := range []clock.Span{100e6, 300e6, 1000e6, 3000e6} {
			for _, spread := range []bool{false, true} {
				for _, down := range []int{0, 2} {
					x := roundsRun{delay: delay, gap: gap, spread: spread, down: down}
					t.Run(fmt.Sprintf("%v/%v/spread=%v/down=%d", delay, gap, spread, down), func(t *testing.T) {
						o := x.run(t)
						t.Logf("%d of %d changes confirmed, the slowest after %v, %d attempts; no leader for %v, no node knew the newest value for %v of %v",
							o.taken, o.sent, o.longest, o.rounds, o.noOwner, o.noFreshNode, o.length)
						require.Zero(t, o.noOwner, "a leader that a majority renews must not lose its term because of slow messages")
						require.LessOrEqual(t, 20*o.noFreshNode, o.length, "no node knew the newest value for %v of %v", o.noFreshNode, o.length)
						require.GreaterOrEqual(t, 4*o.taken, 3*o.sent, "%d of %d changes were confirmed", o.taken, o.sent)
					})
				}
			}
		}
	}
}
