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

// largeFleetTimes sets the timing of a deployment of about sixty routers, whose bounds are wider than those of a
// small one.
func largeFleetTimes(o *Options) {
	timing := Timing{Apply: 2500e6, Drain: 2500e6, CatchUp: catchUp, Period: 1200e6, Tenure: 3000e6, Rate: 5e9}
	o.HandOver = true
	o.LeadershipLease, o.ReadInterval, o.RouterLease, o.ReplaceAfter = timing.LeadershipLease(), timing.LeadershipLease()/4, timing.RouterLease(), timing.ReplaceAfter()
}

// outage measures the longest continuous time for which a condition does not hold.
type outage struct {
	since, longest clock.Span
	step           clock.Span
}

func (a *outage) observe(holds bool) {
	if holds {
		a.since = 0
		return
	}
	a.since += a.step
	a.longest = max(a.longest, a.since)
}

// knowsNewest reports whether a node can confirm to a router that its configuration is the newest.
func (c *cluster) knowsNewest(id string) bool {
	n := c.nodes[id]
	return n.register.knownSince != 0 && c.at.Sub(n.register.knownSince) < n.o.RouterLease
}

// quickChanges submits a change at a fixed interval for a while, to the nodes in turn, each on whatever epoch is
// in force. It returns the longest times without a leader and without a node that knows the newest value, and
// the number of changes taken.
func (c *cluster) quickChanges(nodes []string, gap, length clock.Span) (noOwner, noFreshNode clock.Span, taken int) {
	leaderless, unknowing := outage{step: 20e6}, outage{step: 20e6}
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
		leaderless.observe(c.owner() != "")
		known := false
		for id := range c.nodes {
			known = known || c.knowsNewest(id)
		}
		unknowing.observe(known)
	}
	for _, o := range c.outputs {
		if r, is := o.(Receipt); is && r.Kind == "" {
			taken++
		}
	}
	return leaderless.longest, unknowing.longest, taken
}

// newSlowCluster starts five nodes with slow messages between them, and returns the IDs of all but the leader.
func newSlowCluster(t *testing.T, delay clock.Span) (c *cluster, others []string) {
	c = newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c", "d", "e")
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

// Under rapid changes and without any fault, the core keeps its leader and keeps knowing the newest value.
// Messages between core nodes take half to two and a half times the given delay, as they do where processes are
// busy reading a large configuration.
func TestRapidChangesKeepLeaderAndReads(t *testing.T) {
	for _, x := range []struct{ delay, gap clock.Span }{{20e6, 100e6}, {40e6, 100e6}, {40e6, 150e6}, {40e6, 300e6}, {60e6, 300e6}} {
		for _, spread := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/%v/spread=%v", x.delay, x.gap, spread), func(t *testing.T) {
				c, nodes := newSlowCluster(t, x.delay)
				if !spread {
					nodes = nodes[:1]
				}
				noOwner, noFreshNode, taken := c.quickChanges(nodes, x.gap, 12e9)
				t.Logf("no leader for %v, no node knew the newest value for %v, %d changes confirmed", noOwner, noFreshNode, taken)
				require.Zero(t, noOwner, "a leader that a majority renews must not lose its term because of new values")
				require.Zero(t, noFreshNode, "some node must know the newest value")
			})
		}
	}
}

// answerRead answers a node's newest majority read on behalf of a voter.
func (c *cluster) answerRead(to, voter string, change func(s *protocol.State)) {
	n := c.nodes[to]
	q := n.register.newestQuery()
	s := protocol.State{
		Round: q.round, Incarnation: 5, Accepted: n.register.knownBallot, Epoch: n.register.known.Epoch, VoterSet: n.register.known.VoterSet, Granted: q.claim, Term: q.term,
		Owner: protocol.Peer{ID: ident.Node(to), Addr: to}, LastGrantee: ident.Node(to), PriorGrantee: ident.Node(to),
	}
	change(&s)
	c.step(to, from(voter, s))
}

// beginRead begins a majority read at a partitioned node, so that a test can answer it.
func (c *cluster) beginRead(node string) *query {
	n := c.nodes[node]
	n.now, n.out = c.at, nil
	n.register.nextQuery = 0
	n.tickQueries()
	return n.register.newestQuery()
}

// A term continues if a majority renews it, even if all of its voters show a newer value; router leases still
// count from when this node last knew the newest value. A majority that has accepted another voter set does not
// renew the term.
func TestTermAndKnowledgeAreTwoFacts(t *testing.T) {
	newer := func(n *Core) protocol.Ballot {
		return protocol.Ballot{N: n.register.knownBallot.N + 10, By: "z", Incarnation: 1}
	}
	for _, x := range []struct {
		name   string
		answer func(n *Core, s *protocol.State)
		renews bool
		knows  bool
	}{
		{"nothing newer", func(*Core, *protocol.State) {}, true, true},
		{"a newer value", func(n *Core, s *protocol.State) { s.Accepted = newer(n) }, true, false},
		{"a newer voter set", func(n *Core, s *protocol.State) { s.Accepted, s.VoterSet = newer(n), s.VoterSet+1 }, false, false},
		{"no grant", func(n *Core, s *protocol.State) { s.Granted = false }, false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTunedCluster(t, nil, largeFleetTimes, "a", "b", "c")
			c.run(2e9)
			owner := c.owner()
			n := c.nodes[owner]
			c.partitioned[owner] = true
			c.run(300e6)
			q := c.beginRead(owner)
			was, heard := n.leadership.renewedAt, n.register.knownSince
			for _, id := range []string{"a", "b", "c"} {
				if id != owner {
					c.answerRead(owner, id, func(s *protocol.State) { x.answer(n, s) })
				}
			}
			require.Equal(t, x.renews, n.leadership.renewedAt == q.at, "the term")
			require.Equal(t, x.knows, n.register.knownSince == q.at, "knowledge of the newest value")
			if !x.renews {
				require.Equal(t, was, n.leadership.renewedAt)
			}
			if !x.knows {
				require.Equal(t, heard, n.register.knownSince)
			}
			require.True(t, n.hearsMajority())
			require.LessOrEqual(t, n.knownSince(), n.register.knownSince, "no router lease counts from later")
			require.LessOrEqual(t, n.knownSince(), n.leadership.renewedAt)
		})
	}
}

// A leader that keeps its term but does not know the newest value grants no router lease beyond the last time it
// did.
func TestNoLeaseBeyondWhatIsKnown(t *testing.T) {
	n, s := newReadyOwner(t)
	n.fromRouter(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 1, AckedNum: 1})
	n.takeGrants()
	n.register.knownSince = n.at.Add(-n.o.RouterLease / 2)
	n.leadership.renewedAt = n.at
	n.fromRouter(protocol.Renew{Session: s, Seq: 3, Gen: 1, Epoch: 1, AckedNum: 1})
	l := n.takeGrants()
	require.Len(t, l, 1)
	require.Equal(t, n.o.RouterLease/2, l[0].Length)
	n.register.knownSince = n.at.Add(-n.o.RouterLease)
	n.fromRouter(protocol.Renew{Session: s, Seq: 4, Gen: 1, Epoch: 1, AckedNum: 1})
	l = n.takeGrants()
	require.Len(t, l, 1)
	require.Zero(t, l[0].Length, "the grant has no length, but the answer is sent")
}

// newPartedNode starts a cluster in which one node other than the leader is partitioned, so that a test can
// answer its reads.
func newPartedNode(t *testing.T) (c *cluster, node string) {
	c = newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	node = c.follower()
	c.partitioned[node] = true
	c.run(300e6)
	return c, node
}

// A read that showed a newer value completes once a chosen value that is no older is known, even after later
// reads have begun. It proves nothing about what was chosen after it began.
func TestReadsEndByWhatIsLearnedLater(t *testing.T) {
	c, other := newPartedNode(t)
	n := c.nodes[other]
	heard := n.register.knownSince
	first := c.beginRead(other)
	top := protocol.Ballot{N: n.register.knownBallot.N + 10, By: "z", Incarnation: 1}
	for _, id := range []string{"a", "b", "c"} {
		if id != other {
			c.answerRead(other, id, func(s *protocol.State) { s.Accepted = top; top.N++ })
		}
	}
	require.True(t, first.answered)
	require.Equal(t, heard, n.register.knownSince)
	c.run(300e6)
	second := c.beginRead(other)
	require.NotEqual(t, first.round, second.round)
	value := *n.register.known
	value.Epoch++
	c.step(other, from("z", protocol.FetchedValue{Accepted: top, Value: &value}))
	require.Equal(t, heard, n.register.knownSince, "an accepted value is not known to be chosen")
	c.step(other, from("z", protocol.FetchedValue{Accepted: top, Value: &value, Chosen: true}))
	require.Equal(t, value.Epoch, n.Epoch())
	require.Equal(t, first.at, n.register.knownSince)
	require.False(t, second.completed)
}

// A node that has accepted a ballot learns its value as soon as it hears that the ballot was chosen, without a
// fetch. A node that has not accepted it fetches the value from the sender.
func TestChosenValuesAreLearnedAtOnce(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	other := c.follower()
	n := c.nodes[other]
	ballot := protocol.Ballot{N: n.register.highestNumber + 1, By: "z", Incarnation: 1}
	value := *n.register.known
	value.Epoch += 3
	fetches := func(out []any) (l []protocol.FetchValue) {
		for _, o := range out {
			if e, is := o.(protocol.Envelope); is {
				if f, is := e.Body.(protocol.FetchValue); is {
					l = append(l, f)
				}
			}
		}
		return l
	}
	out := n.Step(c.at, from("z", protocol.ValueChosen{Epoch: value.Epoch, Ballot: ballot}))
	require.Equal(t, []protocol.FetchValue{{Ballot: ballot}}, fetches(out))
	require.Empty(t, fetches(n.Step(c.at, from("y", protocol.ValueChosen{Epoch: value.Epoch, Ballot: ballot}))), "a fetch is already outstanding")
	next := protocol.Ballot{N: ballot.N + 1, By: "z", Incarnation: 1}
	n.Step(c.at, from("z", protocol.Accept{Round: 1, Ballot: next, Value: value}))
	require.NotEqual(t, value.Epoch, n.Epoch())
	require.Empty(t, fetches(n.Step(c.at, from("z", protocol.ValueChosen{Epoch: value.Epoch, Ballot: next}))))
	require.Equal(t, value.Epoch, n.Epoch())
}

// A read of an older voter set than the one now known proves nothing: a value chosen since by a majority of the
// newer set need not show among the old set's answers.
func TestReadsOfAnOldVoterSetTellNothing(t *testing.T) {
	c, other := newPartedNode(t)
	n := c.nodes[other]
	heard := n.register.knownSince
	q := c.beginRead(other)
	top := protocol.Ballot{N: n.register.knownBallot.N + 10, By: "z", Incarnation: 1}
	for _, id := range []string{"a", "b", "c"} {
		if id != other {
			c.answerRead(other, id, func(s *protocol.State) { s.Accepted, s.VoterSet = top, s.VoterSet+1 })
		}
	}
	require.True(t, q.answered)
	value := *n.register.known
	value.PriorVoters = value.Voters
	value.VoterSet++
	c.step(other, from("z", protocol.FetchedValue{Accepted: top, Value: &value, Chosen: true}))
	require.Equal(t, value.VoterSet, n.register.known.VoterSet)
	require.Equal(t, heard, n.register.knownSince)
	require.False(t, q.completed)
}

// A value that a minority has accepted, and whose proposer has failed, is decided by a full read even if answers
// take longer than the read interval. It is chosen or excluded for good, depending on whether the majority that
// answers first has it.
func TestUnsettledValuesAreDecidedUnderSlowAnswers(t *testing.T) {
	chosen, excluded := 0, 0
	for seed := range uint64(12) {
		c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
		c.rng = rand.New(rand.NewPCG(seed, 4))
		c.run(2e9)
		other := c.follower()
		top := protocol.Ballot{N: c.nodes[other].register.highestNumber + 1, By: "z", Incarnation: 1}
		value := *c.nodes[other].register.known
		value.Epoch++
		c.step(other, from("z", protocol.Accept{Round: 1, Ballot: top, Value: value}))
		c.delay = 250e6 // a query and its answer take twice that and more
		epochs := map[ident.Epoch]bool{}
		require.True(t, c.until(8e9, func() bool {
			clear(epochs)
			for _, n := range c.nodes {
				epochs[n.Epoch()] = true
				if n.register.knownBallot.Less(top) {
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
	require.NotZero(t, chosen, "some majority had the value")
	require.NotZero(t, excluded, "some majority lacked the value")
}

// A node that is cut off logs that no majority answers, and never that reads do not complete although a majority
// answers.
func TestCutOffNodeDoesNotReportStalledReads(t *testing.T) {
	for _, delay := range []clock.Span{0, 2e6, 20e6, 60e6, 100e6} {
		for offset := range clock.Span(13) {
			c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
			c.delay = delay
			c.run(3e9 + offset*20e6)
			node := c.follower()
			c.outputs = nil
			c.partitioned[node] = true
			c.run(4e9)
			reports := 0
			for _, o := range c.outputs {
				if report, is := o.(protocol.ErrorReport); is {
					require.NotContains(t, report.Text, "majority reads do not complete", "delay %v, offset %v", delay, offset)
					if strings.Contains(report.Text, "no majority of the core answers") {
						reports++
					}
				}
			}
			require.NotZero(t, reports)
		}
	}
}
