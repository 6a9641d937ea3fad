package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
)

// grownTimes are those of a deployment of some sixty routers, whose bounds are a little wider than a small one's.
func grownTimes(o *Options) {
	timing := Timing{Apply: 2500e6, Drain: 2500e6, CatchUp: catchUp, Period: 1200e6, Tenure: 3000e6, Rate: 5e9}
	o.HandOver = true
	o.Duty, o.Round, o.Hold, o.Spare = timing.Duty(), timing.Duty()/4, timing.Hold(), timing.Spare()
}

// absence follows for how long something is not so.
type absence struct {
	since, longest clock.Span
	step           clock.Span
}

func (a *absence) see(there bool) {
	if there {
		a.since = 0
		return
	}
	a.since += a.step
	a.longest = max(a.longest, a.since)
}

// vouches tells whether a node can tell a router whether its configuration is the newest.
func (c *cluster) vouches(id string) bool {
	n := c.nodes[id]
	return n.reg.heard != 0 && c.at.Sub(n.reg.heard) < n.o.Hold
}

// quickChanges puts a change at one of the nodes each so often, for a while, each on whatever is in force, and tells for
// how long there was no owner, and for how long no node could vouch.
func (c *cluster) quickChanges(nodes []string, gap, length clock.Span) (noOwner, noVouch clock.Span, taken int) {
	owner, vouch := absence{step: 20e6}, absence{step: 20e6}
	next := c.at
	sent := 0
	for end := c.at.Add(length); c.at < end; c.tick() {
		if c.at >= next {
			next = next.Add(gap)
			sent++
			plan := fmt.Sprint("plan-", sent)
			c.plans[plan] = c.plans["1"]
			c.admin(nodes[sent%len(nodes)], Admin{Op: "put", Raw: []byte(plan), Any: true, Change: plan})
		}
		owner.see(c.owner() != "")
		vouched := false
		for id := range c.nodes {
			vouched = vouched || c.vouches(id)
		}
		vouch.see(vouched)
	}
	for _, o := range c.out {
		if r, is := o.(Receipt); is && r.Kind == "" {
			taken++
		}
	}
	return owner.longest, vouch.longest, taken
}

// Under changes in quick succession, with no fault at all, the core keeps its owner and goes on telling routers what is
// the newest. Messages between core nodes take half to two and a half times the delay that is named, as they do where
// processes stand still while they read a large configuration.
func TestQuickChangesDoNotSilenceTheCore(t *testing.T) {
	for _, x := range []struct{ delay, gap clock.Span }{{20e6, 100e6}, {40e6, 100e6}, {40e6, 150e6}, {40e6, 300e6}, {60e6, 300e6}} {
		for _, spread := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/%v/spread=%v", x.delay, x.gap, spread), func(t *testing.T) {
				c := newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c", "d", "e")
				c.run(2e9)
				c.delay = x.delay
				c.run(2e9)
				owner := c.owner()
				require.NotEmpty(t, owner)
				var nodes []string
				for _, id := range generic.SortedKeys(c.nodes) {
					if id != owner && (spread || len(nodes) == 0) {
						nodes = append(nodes, id)
					}
				}
				noOwner, noVouch, taken := c.quickChanges(nodes, x.gap, 12e9)
				t.Logf("no owner for %v, nobody vouches for %v, %d changes taken", noOwner, noVouch, taken)
				require.Zero(t, noOwner, "an owner that a majority keeps does not lose its term over new values")
				require.Zero(t, noVouch, "some node can tell what is the newest")
			})
		}
	}
}
