package controller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// grownTimes are those of a deployment of some sixty routers, whose bounds are a little wider than a small one's.
func grownTimes(o *Options) {
	timing := Timing{Apply: 2500e6, Drain: 2500e6, CatchUp: catchUp, Period: 1200e6, Tenure: 3000e6, Rate: 5e9}
	o.HandOver = true
	o.Duty, o.Round, o.Hold, o.Spare = timing.Duty(), timing.Duty()/4, timing.Hold(), timing.Spare()
}

// absence follows for how long something is not so.
type outage struct {
	since, longest clock.Span
	step           clock.Span
}

func (a *outage) observe(there bool) {
	if there {
		a.since = 0
		return
	}
	a.since += a.step
	a.longest = max(a.longest, a.since)
}

// vouches tells whether a node can tell a router whether its configuration is the newest.
func (c *cluster) knowsNewest(id string) bool {
	n := c.nodes[id]
	return n.reg.heard != 0 && c.at.Sub(n.reg.heard) < n.o.Hold
}

// quickChanges puts a change at one of the nodes each so often, for a while, each on whatever is in force, and tells for
// how long there was no owner, and for how long no node could vouch.
func (c *cluster) quickChanges(nodes []string, gap, length clock.Span) (noOwner, noVouch clock.Span, taken int) {
	owner, vouch := outage{step: 20e6}, outage{step: 20e6}
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
		owner.observe(c.owner() != "")
		vouched := false
		for id := range c.nodes {
			vouched = vouched || c.knowsNewest(id)
		}
		vouch.observe(vouched)
	}
	for _, o := range c.out {
		if r, is := o.(Receipt); is && r.Kind == "" {
			taken++
		}
	}
	return owner.longest, vouch.longest, taken
}

// newSlowCluster lays five nodes out whose messages to each other take a while; it names those that do not own the lease.
func newSlowCluster(t *testing.T, delay clock.Span) (c *cluster, others []string) {
	c = newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c", "d", "e")
	c.run(2e9)
	c.delay = delay
	c.run(2e9)
	owner := c.owner()
	require.NotEmpty(t, owner)
	for _, id := range generic.SortedKeys(c.nodes) {
		if id != owner {
			others = append(others, id)
		}
	}
	return c, others
}

// Under changes in quick succession, with no fault at all, the core keeps its owner and goes on telling routers what is
// the newest. Messages between core nodes take half to two and a half times the delay that is named, as they do where
// processes stand still while they read a large configuration.
func TestQuickChangesDoNotSilenceTheCore(t *testing.T) {
	for _, x := range []struct{ delay, gap clock.Span }{{20e6, 100e6}, {40e6, 100e6}, {40e6, 150e6}, {40e6, 300e6}, {60e6, 300e6}} {
		for _, spread := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/%v/spread=%v", x.delay, x.gap, spread), func(t *testing.T) {
				c, nodes := newSlowCluster(t, x.delay)
				if !spread {
					nodes = nodes[:1]
				}
				noOwner, noVouch, taken := c.quickChanges(nodes, x.gap, 12e9)
				t.Logf("no owner for %v, nobody vouches for %v, %d changes taken", noOwner, noVouch, taken)
				require.Zero(t, noOwner, "an owner that a majority keeps does not lose its term over new values")
				require.Zero(t, noVouch, "some node can tell what is the newest")
			})
		}
	}
}

// state answers a node's newest majority read in the name of a voter.
func (c *cluster) answerRead(to, voter string, change func(s *protocol.State)) {
	n := c.nodes[to]
	q := n.reg.newestQuery()
	s := protocol.State{
		Round: q.round, Inc: 5, Accepted: n.reg.at, Epoch: n.reg.known.Epoch, Shape: n.reg.known.Shape, Granted: q.claim, Duty: q.num,
		Owner: protocol.Sibling{ID: ident.Node(to), Addr: to}, Last: ident.Node(to), Prior: ident.Node(to),
	}
	change(&s)
	c.step(to, from(voter, s))
}

// ask begins a majority read at a node that reaches nobody, so that a test can answer it.
func (c *cluster) beginRead(node string) *query {
	n := c.nodes[node]
	n.now, n.out = c.at, nil
	n.reg.next = 0
	n.beatQuery()
	return n.reg.newestQuery()
}

// A term goes on if a majority grants it again, though all of them show a newer value; leases count from when this node
// last knew what is the newest all the same. A majority that has accepted another voter set renews nothing.
func TestTermAndKnowledgeAreTwoFacts(t *testing.T) {
	newer := func(n *Core) protocol.Ballot { return protocol.Ballot{N: n.reg.at.N + 10, By: "z", Life: 1} }
	for _, x := range []struct {
		name   string
		answer func(n *Core, s *protocol.State)
		renews bool
		knows  bool
	}{
		{"nothing newer", func(*Core, *protocol.State) {}, true, true},
		{"a newer value", func(n *Core, s *protocol.State) { s.Accepted = newer(n) }, true, false},
		{"a newer voter set", func(n *Core, s *protocol.State) { s.Accepted, s.Shape = newer(n), s.Shape+1 }, false, false},
		{"no grant", func(n *Core, s *protocol.State) { s.Granted = false }, false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTunedCluster(t, nil, grownTimes, "a", "b", "c")
			c.run(2e9)
			owner := c.owner()
			n := c.nodes[owner]
			c.parted[owner] = true
			c.run(300e6)
			q := c.beginRead(owner)
			was, heard := n.duty.asked, n.reg.heard
			for _, id := range []string{"a", "b", "c"} {
				if id != owner {
					c.answerRead(owner, id, func(s *protocol.State) { x.answer(n, s) })
				}
			}
			require.Equal(t, x.renews, n.duty.asked == q.at, "the term")
			require.Equal(t, x.knows, n.reg.heard == q.at, "what is the newest")
			if !x.renews {
				require.Equal(t, was, n.duty.asked)
			}
			if !x.knows {
				require.Equal(t, heard, n.reg.heard)
			}
			require.True(t, n.hearsMajority())
			require.LessOrEqual(t, n.knownSince(), n.reg.heard, "no lease counts from later")
			require.LessOrEqual(t, n.knownSince(), n.duty.asked)
		})
	}
}

// An owner that holds its term and does not know what is the newest gives no lease past the last time that it did.
func TestNoLeaseBeyondWhatIsKnown(t *testing.T) {
	n, s := ready(t)
	n.mail(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 1, Heard: 1})
	n.granted()
	n.reg.heard = n.at.Add(-n.o.Hold / 2)
	n.duty.asked = n.at
	n.mail(protocol.Renew{Session: s, Seq: 3, Gen: 1, Epoch: 1, Heard: 1})
	l := n.granted()
	require.Len(t, l, 1)
	require.Equal(t, n.o.Hold/2, l[0].Len)
	n.reg.heard = n.at.Add(-n.o.Hold)
	n.mail(protocol.Renew{Session: s, Seq: 4, Gen: 1, Epoch: 1, Heard: 1})
	l = n.granted()
	require.Len(t, l, 1)
	require.Zero(t, l[0].Len, "it says that it waits")
}

// newPartedNode lays a cluster out of which one node other than the owner reaches nobody, so that a test can answer it.
func newPartedNode(t *testing.T) (c *cluster, node string) {
	c = newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c")
	c.run(2e9)
	node = c.other()
	c.parted[node] = true
	c.run(300e6)
	return c, node
}

// A read that showed a newer value ends once a chosen value that is no older is known, whatever reads have begun since;
// it tells nothing about what was chosen after it began.
func TestReadsEndByWhatIsLearnedLater(t *testing.T) {
	c, other := newPartedNode(t)
	n := c.nodes[other]
	heard := n.reg.heard
	first := c.beginRead(other)
	top := protocol.Ballot{N: n.reg.at.N + 10, By: "z", Life: 1}
	for _, id := range []string{"a", "b", "c"} {
		if id != other {
			c.answerRead(other, id, func(s *protocol.State) { s.Accepted = top; top.N++ })
		}
	}
	require.True(t, first.read)
	require.Equal(t, heard, n.reg.heard)
	c.run(300e6)
	second := c.beginRead(other)
	require.NotEqual(t, first.round, second.round)
	value := *n.reg.known
	value.Epoch++
	c.step(other, from("z", protocol.Value{Accepted: top, Value: &value}))
	require.Equal(t, heard, n.reg.heard, "that it was accepted somewhere tells nothing")
	c.step(other, from("z", protocol.Value{Accepted: top, Value: &value, Chosen: true}))
	require.Equal(t, value.Epoch, n.Epoch())
	require.Equal(t, first.at, n.reg.heard)
	require.False(t, second.ended)
}

// A node that has accepted a ballot learns its value as soon as it hears that it was chosen, without asking for it; one
// that has not fetches it from whoever said so.
func TestChosenValuesAreLearnedAtOnce(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c")
	c.run(2e9)
	other := c.other()
	n := c.nodes[other]
	ballot := protocol.Ballot{N: n.reg.top + 1, By: "z", Life: 1}
	value := *n.reg.known
	value.Epoch += 3
	fetches := func(out []any) (l []protocol.Fetch) {
		for _, o := range out {
			if e, is := o.(protocol.Env); is {
				if f, is := e.Body.(protocol.Fetch); is {
					l = append(l, f)
				}
			}
		}
		return l
	}
	out := n.Step(c.at, from("z", protocol.Taken{Epoch: value.Epoch, Ballot: ballot}))
	require.Equal(t, []protocol.Fetch{{Ballot: ballot}}, fetches(out))
	require.Empty(t, fetches(n.Step(c.at, from("y", protocol.Taken{Epoch: value.Epoch, Ballot: ballot}))), "it is on its way")
	next := protocol.Ballot{N: ballot.N + 1, By: "z", Life: 1}
	n.Step(c.at, from("z", protocol.Accept{Round: 1, Ballot: next, Value: value}))
	require.NotEqual(t, value.Epoch, n.Epoch())
	require.Empty(t, fetches(n.Step(c.at, from("z", protocol.Taken{Epoch: value.Epoch, Ballot: next}))))
	require.Equal(t, value.Epoch, n.Epoch())
}

// A read that asked an older voter set than the one that is known by now tells nothing: what a majority of the newer set
// has chosen since need not show among the old one's answers.
func TestReadsOfAnOldVoterSetTellNothing(t *testing.T) {
	c, other := newPartedNode(t)
	n := c.nodes[other]
	heard := n.reg.heard
	q := c.beginRead(other)
	top := protocol.Ballot{N: n.reg.at.N + 10, By: "z", Life: 1}
	for _, id := range []string{"a", "b", "c"} {
		if id != other {
			c.answerRead(other, id, func(s *protocol.State) { s.Accepted, s.Shape = top, s.Shape+1 })
		}
	}
	require.True(t, q.read)
	value := *n.reg.known
	value.Prior = value.Voters
	value.Shape++
	c.step(other, from("z", protocol.Value{Accepted: top, Value: &value, Chosen: true}))
	require.Equal(t, value.Shape, n.reg.known.Shape)
	require.Equal(t, heard, n.reg.heard)
	require.False(t, q.ended)
}

// A value that a minority has accepted, and whose proposer is gone, is settled by a full round also where answers take longer
// than the time to the next read: it is chosen, or excluded for good, as the majority that answers first has it or not.
func TestUnclearValuesAreMendedWhereAnswersAreSlow(t *testing.T) {
	chosen, excluded := 0, 0
	for seed := range uint64(12) {
		c := newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c")
		c.rng = rand.New(rand.NewPCG(seed, 4))
		c.run(2e9)
		other := c.other()
		top := protocol.Ballot{N: c.nodes[other].reg.top + 1, By: "z", Life: 1}
		value := *c.nodes[other].reg.known
		value.Epoch++
		c.step(other, from("z", protocol.Accept{Round: 1, Ballot: top, Value: value}))
		c.delay = 250e6 // and each answer takes twice that and more
		epochs := map[ident.Epoch]bool{}
		require.True(t, c.until(8e9, func() bool {
			clear(epochs)
			for _, n := range c.nodes {
				epochs[n.Epoch()] = true
				if n.reg.at.Less(top) {
					return false
				}
			}
			return true
		}), "seed %d", seed)
		require.Len(t, epochs, 1, "seed %d", seed)
		if epochs[value.Epoch] {
			chosen++
		} else {
			excluded++
		}
	}
	require.NotZero(t, chosen, "a majority that has it finds it")
	require.NotZero(t, excluded, "a majority that lacks it excludes it")
}

// A node that is being cut off says that no majority answers, and never that a majority answers without its reads ending.
func TestCutNodeDoesNotSayThatItsReadsStarve(t *testing.T) {
	for _, delay := range []clock.Span{0, 2e6, 20e6, 60e6, 100e6} {
		for offset := range clock.Span(13) {
			c := newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c")
			c.delay = delay
			c.run(3e9 + offset*20e6)
			node := c.other()
			c.out = nil
			c.parted[node] = true
			c.run(4e9)
			told := 0
			for _, o := range c.out {
				if oops, is := o.(protocol.Oops); is {
					require.NotContains(t, oops.Text, "majority reads do not complete", "delay %v, offset %v", delay, offset)
					if strings.Contains(oops.Text, "no majority of the core answers") {
						told++
					}
				}
			}
			require.NotZero(t, told)
		}
	}
}
