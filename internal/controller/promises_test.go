package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// bodiesOf returns the message bodies of type T among a step's outputs.
func bodiesOf[T any](out []any) (l []T) {
	for _, o := range out {
		if e, is := o.(protocol.Envelope); is {
			if body, is := e.Body.(T); is {
				l = append(l, body)
			}
		}
	}
	return l
}

// A promise that is made together with an accept is on disk before the voter answers. After a restart, the voter refuses
// ballots between the accepted and the promised one.
func TestPromiseIsOnDiskWithTheAccept(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m"), "a", "b", "c")
	node := c.follower()
	n := c.nodes[node]
	ballot := protocol.Ballot{N: n.register.highestNumber + 1, By: "z", Incarnation: 1}
	next := protocol.Ballot{N: ballot.N + 1, By: "z", Incarnation: 1}
	value := *n.register.known
	value.Epoch++
	c.step(node, from("z", protocol.Accept{Round: 1, Ballot: ballot, Value: value, Next: next}))
	c.reboot(node)
	n = c.nodes[node]
	require.Equal(t, ballot, n.acceptor.accepted)
	between := protocol.Ballot{N: next.N, By: "y", Incarnation: 1}
	promise := func(b protocol.Ballot) protocol.Promise {
		n.Step(c.at, from("y", protocol.Prepare{Round: 2, Ballot: b}))
		out := n.Step(c.at, protocol.Saved{Token: n.token})
		out = append(out, n.Step(c.at, from("y", protocol.Prepare{Round: 3, Ballot: b}))...)
		l := bodiesOf[protocol.Promise](out)
		require.NotEmpty(t, l)
		return l[0]
	}
	require.False(t, promise(between).OK)
	require.True(t, promise(protocol.Ballot{N: next.N + 1, By: "y", Incarnation: 1}).OK)
}

// A repeated accept gets the same answer as the first, although a later ballot is promised by then. Other accepts below
// that promise are refused.
func TestAcceptIsAnsweredAgain(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m"), "a", "b", "c")
	node := c.follower()
	n := c.nodes[node]
	ballot := protocol.Ballot{N: n.register.highestNumber + 1, By: "z", Incarnation: 1}
	next := protocol.Ballot{N: ballot.N + 1, By: "z", Incarnation: 1}
	accept := protocol.Accept{Round: 1, Ballot: ballot, Value: *n.register.known, Next: next}
	require.Empty(t, bodiesOf[protocol.Accepted](n.Step(c.at, from("z", accept))), "the disk has not confirmed the write")
	require.Empty(t, bodiesOf[protocol.Accepted](n.Step(c.at, from("z", accept))), "the write is still not confirmed")
	require.Len(t, bodiesOf[protocol.Accepted](n.Step(c.at, protocol.Saved{Token: n.token})), 1)
	again := bodiesOf[protocol.Accepted](n.Step(c.at, from("z", accept)))
	require.Len(t, again, 1)
	require.True(t, again[0].OK)
	accept.Ballot = protocol.Ballot{N: next.N, By: "y", Incarnation: 1}
	refused := bodiesOf[protocol.Accepted](n.Step(c.at, from("y", accept)))
	require.Len(t, refused, 1)
	require.False(t, refused[0].OK)
	require.Equal(t, next, refused[0].Promised)
}

// A leader uses the ballot that a majority promised with its last accept, so that a change takes one round. Each ballot
// proposes only one value, even if the voters have promised a later ballot meanwhile.
func TestPromiseIsUsedOnce(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	owner := c.owner()
	n := c.nodes[owner]
	put := func(name string) func() *Receipt {
		c.plans[name] = c.plans["1"]
		return c.admin(owner, Admin{Op: "put", Raw: []byte(name), Any: true, Change: name})
	}
	first := put("first")
	require.True(t, c.until(2e9, func() bool { return first() != nil }))
	require.NotNil(t, n.register.reserved)
	was := n.tally.RoundsPromised
	second := put("second")
	require.True(t, c.until(2e9, func() bool { return second() != nil }))
	require.Equal(t, was+1, n.tally.RoundsPromised, "no prepare was needed")

	// The other voters promise a later ballot to a rival.
	rival := protocol.Ballot{N: n.register.reserved.ballot.N + 5, By: "z", Incarnation: 1}
	for id := range c.nodes {
		if id != owner {
			c.nodes[id].acceptor.promised = rival
		}
	}
	ballots := map[protocol.Ballot]int{}
	third := put("third")
	require.True(t, c.until(4e9, func() bool {
		if o := n.register.active; o != nil {
			ballots[o.ballot]++
		}
		return third() != nil
	}))
	require.Equal(t, failure.None, third().Kind)
	fourth := put("fourth")
	require.True(t, c.until(4e9, func() bool { return fourth() != nil }))
	require.Equal(t, failure.None, fourth().Kind)
	require.Equal(t, ident.Epoch(5), n.Epoch(), "each change was committed once")
	for id, other := range c.nodes {
		require.Equal(t, "fourth", string(other.register.known.Plan), id)
	}
}

// forwardTo returns a message that forwards a change to a leader.
func forwardTo(n *Core, number uint64) protocol.ForwardChange {
	return protocol.ForwardChange{Number: number, Term: n.leadership.term, Op: "put", Raw: []byte("1"), AnyEpoch: true, ChangeID: fmt.Sprint("change-", number)}
}

// A forwarded change is accepted only under the term that it names, and duplicates of the message have no effect.
func TestForwardIsTakenOnceAndUnderItsTerm(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m"), "a", "b", "c")
	owner := c.owner()
	n := c.nodes[owner]
	forward := forwardTo(n, 1)
	forward.Term--
	refused := bodiesOf[protocol.ForwardReply](n.Step(c.at, from("z", forward)))
	require.Equal(t, []protocol.ForwardReply{{Number: 1, NotOwner: true}}, refused)
	forward = forwardTo(n, 2)
	forward.ChangeID = ""
	for range 3 {
		c.step(owner, from("z", forward))
		c.run(300e6)
	}
	require.EqualValues(t, 2, n.Epoch())
	other := c.nodes[c.follower()]
	require.Equal(t, []protocol.ForwardReply{{Number: 3, NotOwner: true}}, bodiesOf[protocol.ForwardReply](other.Step(c.at, from("z", forwardTo(n, 3)))))
	form := forwardTo(n, 4)
	form.Op = "form"
	require.True(t, bodiesOf[protocol.ForwardReply](n.Step(c.at, from("z", form)))[0].NotOwner, "only changes may be forwarded")
}

// handOver sends a change to a node that is not the leader, and drops the message that forwards it to the leader.
func handOver(t *testing.T, a Admin) (c *cluster, node string, answer func() *Receipt) {
	c = newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	node = c.follower()
	owner := c.owner()
	c.partitioned[owner] = true
	answer = c.admin(node, a)
	c.partitioned[owner] = false
	require.Len(t, c.nodes[node].forwards.pending, 1)
	return c, node, answer
}

// A forwarded change without an outcome is proposed by the node that received the operator's request.
func TestForwardWithoutAnOutcome(t *testing.T) {
	c, node, answer := handOver(t, Admin{Op: "put", Raw: []byte("1"), Any: true, Change: "x"})
	wait := c.nodes[node].forwardTimeout()
	require.LessOrEqual(t, wait, 4*c.nodes[node].o.ReadInterval)
	require.True(t, c.until(2*wait, func() bool { return answer() != nil }))
	require.Equal(t, failure.None, answer().Kind)
	require.EqualValues(t, 2, answer().Epoch)
	require.EqualValues(t, 1, c.nodes[node].tally.ForwardsUnanswered)
	c.run(1e9)
	require.Empty(t, c.nodes[node].forwards.pending)
}

// A change without an id gets one when it is forwarded. If its outcome is lost and the forwarding node proposes it too,
// the id marks the duplicate.
func TestForwardWithoutAnIDIsTakenOnce(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	node := c.follower()
	c.dropsMessage = func(e protocol.Envelope) bool {
		_, is := e.Body.(protocol.ForwardReply)
		return is
	}
	answer := c.admin(node, Admin{Op: "put", Raw: []byte("1"), Expect: 1})
	require.True(t, c.until(4e9, func() bool { return answer() != nil }))
	require.Equal(t, failure.None, answer().Kind, "the change was committed")
	require.EqualValues(t, 2, answer().Epoch)
	c.run(4e9)
	require.EqualValues(t, 2, c.nodes[node].Epoch())
}

// A refusal is reported only if it also holds for the forwarded copy, which may still arrive at a later version.
func TestRefusalBesideACopyUnderWay(t *testing.T) {
	for _, x := range []struct {
		name    string
		change  Admin
		outcome failure.Kind
	}{
		{"based on an older version", Admin{Op: "put", Raw: []byte("1"), Expect: 0, Change: "x"}, failure.Conflict},
		{"based on a version that may still be chosen", Admin{Op: "put", Raw: []byte("1"), Expect: 2, Change: "x"}, failure.Unclear},
		{"its number is too low for good", Admin{Op: "put", Raw: []byte("1"), Any: true, Number: 1, Change: "x"}, failure.FaultyPlan},
		{"malformed, based on the current version", Admin{Op: "patch", Raw: []byte(`{"bad": 1}`), Expect: 1, Change: "x"}, failure.FaultyPlan},
		{"malformed, based on any version", Admin{Op: "patch", Raw: []byte(`{"bad": 1}`), Any: true, Change: "x"}, failure.Unclear},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, _, answer := handOver(t, x.change)
			require.True(t, c.until(6e9, func() bool { return answer() != nil }))
			require.Equal(t, x.outcome, answer().Kind)
		})
	}
}

// No step of a core parses a plan or merges a patch: both are done beside the core beforehand.
func TestNoPlanIsReadInAStep(t *testing.T) {
	ahead := map[string]bool{} // plans that were parsed beside the core
	inStep, late := true, 0
	tune := func(o *Options) {
		largeFleetTimes(o)
		read := o.ParsePlan
		o.ParsePlan = func(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
			if inStep && !ahead[string(raw)] {
				late++
			}
			ahead[string(raw)] = true
			return read(raw)
		}
		o.MergePatch = func(plan, patch []byte) ([]byte, fleetplan.Faults) {
			if inStep {
				late++
			}
			return append(append([]byte{}, plan...), patch...), nil
		}
	}
	c := newTunedCluster(t, modelPlan(8, "llm|m"), tune, "a", "b", "c")
	c.delay = 20e6
	c.runConcurrent = func(run func()) {
		inStep = false
		run()
		inStep = true
	}
	late = 0 // a node parses the plan on its disk when it starts
	grown := "1"
	for range 400 {
		grown += "{}"
		c.plans[grown] = c.plans["1"]
	}
	nodes := generic.SortedKeys(c.nodes)
	taken := 0
	for i := range 90 {
		answer := c.admin(nodes[i%3], Admin{Op: "patch", Raw: []byte("{}"), Any: true, Change: fmt.Sprint("change-", i)})
		if i%5 == 0 {
			c.until(4e9, func() bool { return answer() != nil })
		} else {
			c.run(40e6)
		}
		if r := answer(); r != nil && r.Kind == failure.None {
			taken++
		}
	}
	require.Greater(t, taken, 18)
	require.Zero(t, late)
}

// An outcome of a change from a node's earlier incarnation must not match a change that its present incarnation has
// forwarded, and the leader must treat the change of the present incarnation as new.
func TestForwardsOfAnEarlierLife(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	node, owner := c.follower(), c.owner()
	for _, plan := range []string{"early", "late"} {
		c.plans[plan] = c.plans["1"]
	}
	c.dropsMessage = func(e protocol.Envelope) bool {
		_, is := e.Body.(protocol.ForwardReply)
		return is
	}
	c.admin(node, Admin{Op: "put", Raw: []byte("early"), Any: true, Change: "early"})
	c.run(20e6)
	var early protocol.ForwardReply
	for number := range c.nodes[node].forwards.pending {
		early = protocol.ForwardReply{Number: number, Epoch: c.nodes[owner].Epoch()}
	}
	require.NotZero(t, early.Number)
	c.reboot(node)
	require.True(t, c.until(3e9, func() bool { _, other := c.nodes[node].remoteProposer(); return other }))
	c.dropsMessage = func(protocol.Envelope) bool { return false }
	c.delay = 100e6
	handed := c.nodes[owner].tally.ForwardsTaken
	c.nodes[node].token = early.Number - 1 // a counter that restarts in each incarnation would reach the same number
	answer := c.admin(node, Admin{Op: "put", Raw: []byte("late"), Any: true, Change: "late"})
	require.Len(t, c.nodes[node].forwards.pending, 1)
	c.step(node, protocol.Envelope{From: protocol.Peer{ID: ident.Node(owner), Addr: owner}, To: protocol.Peer{ID: ident.Node(node), Addr: node}, Body: early})
	require.Nil(t, answer(), "the outcome is not known yet")
	require.True(t, c.until(4e9, func() bool { return answer() != nil }))
	require.Equal(t, failure.None, answer().Kind)
	require.EqualValues(t, 3, answer().Epoch)
	require.Equal(t, handed+1, c.nodes[owner].tally.ForwardsTaken, "the leader accepted it")
}

// If the forwarding node has proposed a change as well, it passes on the leader's refusal only if that holds for its own
// copy too.
func TestRefusalBesideACopyOfOnesOwn(t *testing.T) {
	for _, x := range []struct {
		expect  ident.Epoch
		outcome failure.Kind
	}{{0, failure.Conflict}, {5, failure.Unclear}} {
		c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
		c.run(2e9)
		node, owner := c.follower(), c.owner()
		c.delay = 60e6
		answer := c.admin(node, Admin{Op: "put", Raw: []byte("1"), Expect: x.expect, Change: "x"})
		n := c.nodes[node]
		require.Len(t, n.forwards.pending, 1)
		for number, p := range n.forwards.pending {
			n.now = c.at
			n.proposeChange(p)
			require.True(t, p.proposed)
			c.step(node, protocol.Envelope{From: protocol.Peer{ID: ident.Node(owner), Addr: owner}, To: protocol.Peer{ID: ident.Node(node), Addr: node},
				Body: protocol.ForwardReply{Number: number, Kind: failure.Conflict, Epoch: 1}})
		}
		require.NotNil(t, answer())
		require.Equal(t, x.outcome, answer().Kind, "expect %d", x.expect)
	}
}

// A forwarding node acknowledges a change only once it knows the new version itself, so that no read that it serves
// afterwards returns an older version, whenever the read began.
func TestOutcomeIsToldOnceItIsKnown(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	node := c.follower()
	n := c.nodes[node]
	blind := true
	c.dropsMessage = func(e protocol.Envelope) bool {
		switch e.Body.(type) {
		case protocol.Accept, protocol.ValueChosen, protocol.FetchedValue, protocol.State:
			return blind && string(e.To.ID) == node
		}
		return false
	}
	answer := c.admin(node, Admin{Op: "put", Raw: []byte("1"), Any: true, Change: "x"})
	c.run(200e6)
	require.EqualValues(t, 2, c.leader().Epoch(), "the change is committed")
	require.EqualValues(t, 1, n.Epoch())
	require.Nil(t, answer(), "the node does not know the new version yet")
	blind = false
	require.True(t, c.until(2e9, func() bool { return answer() != nil }))
	require.Equal(t, failure.None, answer().Kind)
	require.EqualValues(t, 2, n.Epoch())
}

// If the forwarding node never learns the committed version, it reports the change as unclear.
func TestOutcomeThatIsNeverKnownIsUnclear(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	node := c.follower()
	c.dropsMessage = func(e protocol.Envelope) bool {
		switch e.Body.(type) {
		case protocol.ForwardReply, protocol.ForwardChange:
			return false
		}
		return string(e.To.ID) == node
	}
	answer := c.admin(node, Admin{Op: "put", Raw: []byte("1"), Any: true, Change: "x"})
	require.True(t, c.until(12e9, func() bool { return answer() != nil }))
	require.Equal(t, failure.Unclear, answer().Kind)
}
