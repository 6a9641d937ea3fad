package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
)

// roundsRun is a core under changes at fixed intervals, and what became of it.
type roundsRun struct {
	delay, gap clock.Span
	spread     bool // changes come at all nodes but the owner by turns, else at one of them
	down       int  // nodes that answer nobody
}

// outcome is what a run showed.
type outcome struct {
	noOwner, noFreshNode, length clock.Span // sums, not longest
	sent, taken                  int
	rounds                       uint64
	longest                      clock.Span // of the changes that were taken
}

// slowRoundsLength is how long changes are sent for, and slowRoundsRest how long the last ones may still take.
const (
	slowRoundsLength = clock.Span(12e9)
	slowRoundsRest   = clock.Span(4e9)
)

func (x roundsRun) run(t *testing.T) outcome {
	c, others := newSlowCluster(t, x.delay)
	for _, id := range others[len(others)-x.down:] {
		c.parted[id] = true
	}
	others = others[:len(others)-x.down]
	if !x.spread {
		others = others[:1]
	}
	c.run(2e9)
	return c.changesAt(others, x.gap)
}

// changesAt sends a change each so often, to nodes by turns, and follows who owns the lease and who can vouch meanwhile.
func (c *cluster) changesAt(nodes []string, gap clock.Span) outcome {
	type order struct {
		at     clock.Tick
		answer func() *Receipt
		over   bool
	}
	var orders []*order
	var o outcome
	before := c.rounds()
	next, end := c.at, c.at.Add(slowRoundsLength)
	for c.at < end.Add(slowRoundsRest) {
		if c.at >= next && c.at < end {
			next = next.Add(gap)
			o.sent++
			plan := fmt.Sprint("plan-", o.sent)
			c.plans[plan] = c.plans["1"]
			orders = append(orders, &order{at: c.at, answer: c.admin(nodes[o.sent%len(nodes)], Admin{Op: "put", Raw: []byte(plan), Any: true, Change: plan})})
		}
		c.tick()
		for _, x := range orders {
			r := x.answer()
			if r == nil || x.over {
				continue
			}
			x.over = true
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

// beatGap is how far apart the harness's steps are.
const stepLength = clock.Span(20e6)

func (c *cluster) anyoneKnowsNewest() bool {
	for id := range c.nodes {
		if !c.parted[id] && c.knowsNewest(id) {
			return true
		}
	}
	return false
}

// rounds counts the attempts that all nodes have begun.
func (c *cluster) rounds() (n uint64) {
	for _, node := range c.nodes {
		n += node.tally.Rounds
	}
	return n
}

// However slow the rounds are, with no fault but the nodes that may be lost, the core keeps its owner, somebody can tell
// what is the newest, and changes are taken. Messages between core nodes take half to two and a half times the delay.
func TestRegisterGoesOnAtAnySpeed(t *testing.T) {
	for _, delay := range []clock.Span{60e6, 100e6, 140e6} {
		for _, gap := range []clock.Span{100e6, 300e6, 1000e6, 3000e6} {
			for _, spread := range []bool{false, true} {
				for _, down := range []int{0, 2} {
					x := roundsRun{delay: delay, gap: gap, spread: spread, down: down}
					t.Run(fmt.Sprintf("%v/%v/spread=%v/down=%d", delay, gap, spread, down), func(t *testing.T) {
						o := x.run(t)
						t.Logf("%d of %d changes taken, the longest after %v, %d attempts; no owner %v, nobody vouches %v of %v",
							o.taken, o.sent, o.longest, o.rounds, o.noOwner, o.noFreshNode, o.length)
						require.Zero(t, o.noOwner, "an owner that a majority keeps does not lose its term over slow rounds")
						require.LessOrEqual(t, 20*o.noFreshNode, o.length, "nobody could tell what is the newest for %v of %v", o.noFreshNode, o.length)
						require.GreaterOrEqual(t, 4*o.taken, 3*o.sent, "%d of %d changes were taken", o.taken, o.sent)
					})
				}
			}
		}
	}
}
