package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// lastLease returns the last lease sent to the router.
func (r *harness) lastLease() protocol.RouterLease {
	h, _, _ := lastSent[protocol.RouterLease](r)
	return h
}

// A machine is considered partitioned only after every core node was queried and none in contact with a majority
// answered.
func TestCutOff(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(r *harness, n protocol.Renew) // a2's answer to each renewal
		parted bool
	}{
		{"no answer", func(*harness, protocol.Renew) {}, true},
		{"leader grants", func(r *harness, n protocol.Renew) {
			r.deliver(newPeer("a2"), protocol.Grant{Session: n.Session, Seq: n.Seq, Length: 1e9, Term: 1})
		}, false},
		{"leader withholds the lease until an acknowledgement", func(r *harness, n protocol.Renew) {
			r.deliver(newPeer("a2"), protocol.Grant{Session: n.Session, Seq: n.Seq, Term: 1})
		}, false},
		{"node in contact with a majority", func(r *harness, n protocol.Renew) {
			r.deliver(newPeer("a2"), protocol.NotOwner{Session: n.Session, Seq: n.Seq, Gen: 1, Epoch: 9, ConfigLease: 1e9})
		}, false},
		{"node in contact with a majority, newest configuration undetermined", func(r *harness, n protocol.Renew) {
			r.deliver(newPeer("a2"), protocol.NotOwner{Session: n.Session, Seq: n.Seq, Gen: 1, Epoch: 9, Majority: true})
		}, false},
		{"node without a majority", func(r *harness, n protocol.Renew) {
			r.deliver(newPeer("a2"), protocol.NotOwner{Session: n.Session, Seq: n.Seq, Gen: 1, Epoch: 9})
		}, true},
		{"leader without this session", func(r *harness, n protocol.Renew) {
			r.deliver(newPeer("a2"), protocol.NotOwner{Session: n.Session, SessionEnded: true})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness()
			r.advance(200e6)
			was := r.clock
			parted := false
			for r.clock < was.Add(4e9) {
				r.sent = nil
				r.advance(20e6)
				for _, e := range append([]protocol.Envelope{}, r.sent...) {
					if n, ok := e.Body.(protocol.Renew); ok && e.To.Addr == "a2" {
						c.answer(r, n)
					}
				}
				parted = parted || r.lastLease().Partitioned
				if r.clock < was.Add(partitionedAfter-250e6) {
					require.False(t, parted, "reported as partitioned too early")
				}
			}
			require.Equal(t, c.parted, parted)
		})
	}
}

// After a stall of its own process, an agent queries every core node again before it reports the machine as partitioned,
// because answers may still be unread.
func TestStallDiscardsQuery(t *testing.T) {
	r := newHarness()
	r.advance(20e6)
	r.deliver(newPeer("a1"), protocol.Grant{Session: r.Session(), Seq: r.seq, Length: 1400e6, Term: 1})
	r.advance(queryAllAfter + 500e6)
	require.NotZero(t, r.contact.lastQueryAll)
	r.clock = r.clock.Add(3e9) // the process stalls
	r.sent = nil
	r.advance(queryTimeout - 100e6)
	require.False(t, r.lastLease().Partitioned)
	r.advance(300e6)
	require.True(t, r.lastLease().Partitioned)
}

// A core node's confirmation of the configuration counts from the time of the request, and only for a router that has
// that configuration.
func TestConfigurationConfirmed(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer protocol.NotOwner
		counts bool
	}{
		{"node has the same configuration", protocol.NotOwner{Gen: 0, Epoch: 2, ConfigLease: 900e6}, true},
		{"node has an older configuration", protocol.NotOwner{Gen: 0, Epoch: 1, ConfigLease: 900e6}, true},
		{"node has a newer configuration", protocol.NotOwner{Gen: 0, Epoch: 3, ConfigLease: 900e6}, false},
		{"core was formed anew", protocol.NotOwner{Gen: 1, Epoch: 1, ConfigLease: 900e6}, false},
		{"node without a majority", protocol.NotOwner{Gen: 0, Epoch: 2}, false},
	} {
		r := newHarness()
		n, _, _ := lastSent[protocol.Renew](r)
		queried := r.clock
		r.clock = r.clock.Add(200e6)
		r.sent = nil
		c.answer.Session, c.answer.Seq, c.answer.Leaving = n.Session, n.Seq, nil
		r.deliver(newPeer("a2"), c.answer)
		if !c.counts {
			require.Zero(t, r.lastLease().ConfigLeaseEnd, c.name)
			continue
		}
		require.Equal(t, queried.Add(clock.Span(900e6)), r.lastLease().ConfigLeaseEnd, c.name)
		c.answer.Seq += 5
		c.answer.ConfigLease = 9e9
		r.deliver(newPeer("a2"), c.answer)
		require.Equal(t, queried.Add(clock.Span(900e6)), r.lastLease().ConfigLeaseEnd, "answer to a request that was never sent")
		r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 8, Epoch: 1})
		require.Zero(t, r.lastLease().ConfigLeaseEnd, "a restarted router has another configuration")
	}
}

// A configuration that arrives after its session has ended is still delivered.
func TestLateConfiguration(t *testing.T) {
	r := newHarness()
	was := r.Session()
	r.advance(20e6)
	r.deliver(newPeer("a1"), protocol.NotOwner{Session: was, SessionEnded: true})
	require.NotEqual(t, was, r.Session())
	r.sent = nil
	d := &protocol.Desired{Epoch: 5}
	r.deliver(newPeer("a1"), protocol.Updates{Session: was, Term: 1, Items: []protocol.Update{{Num: 1, Break: "m"}, {Num: 2, Desired: d}}})
	n, e, ok := lastSent[protocol.Updates](r)
	require.True(t, ok)
	require.Equal(t, "router", e.To.Addr)
	require.Equal(t, protocol.Updates{Items: []protocol.Update{{Desired: d}}}, n, "no other update of that session is delivered")
}

// An agent forwards the router's requests only after a leader has answered in the current session. Otherwise the
// leader reports the session as unknown, and the next session starts with the same request, in a loop as fast as
// messages travel: one router started 772 sessions in half a second after its leader was killed.
func TestRequestsWaitForLeaderAnswer(t *testing.T) {
	r := newHarness()
	r.sent = nil
	forwarded := func() bool {
		r.deliver(newPeer("router"), protocol.EntryRequest{Session: r.Session(), Key: "m"})
		_, _, up := lastSent[protocol.EntryRequest](r)
		return up
	}
	require.False(t, forwarded())
	r.deliver(newPeer("a1"), protocol.Grant{Session: r.Session(), Seq: r.seq, Term: 1})
	require.True(t, forwarded(), "a leader that withholds the lease still has the session")
	r.deliver(newPeer("a1"), protocol.NotOwner{Session: r.Session(), SessionEnded: true})
	r.sent = nil
	require.False(t, forwarded(), "a new session")
}

// A partitioned machine keeps querying every core node at short intervals.
func TestCutOffKeepsQuerying(t *testing.T) {
	r := newHarness()
	r.advance(partitionedAfter + queryTimeout + 200e6)
	require.True(t, r.lastLease().Partitioned)
	swept := r.contact.lastQueryAll
	r.sent = nil
	r.advance(queryTimeout + 100e6)
	require.Greater(t, r.contact.lastQueryAll, swept)
	queried := map[string]bool{}
	for _, e := range r.sent {
		if _, is := e.Body.(protocol.Renew); is {
			queried[e.To.Addr] = true
		}
	}
	for _, node := range r.coreNodes() {
		require.True(t, queried[node.Addr], node.Addr)
	}
	n, _, _ := lastSent[protocol.Renew](r)
	r.deliver(newPeer("a2"), protocol.NotOwner{Session: n.Session, Seq: n.Seq, Majority: true})
	require.False(t, r.lastLease().Partitioned)
}

// A configuration that comes as a difference from another one than the agent has is not passed on: the router must not
// acknowledge it. The leader sends it whole when it sends it again.
func TestDeltaFromAnotherConfigurationIsNotPassedOn(t *testing.T) {
	first := &protocol.Desired{Gen: 1, Epoch: 3, Plan: []byte(`{"first": 1}`)}
	second := &protocol.Desired{Gen: 1, Epoch: 4, Plan: []byte(`{"first": 2}`)}
	delta, err := protocol.NewDesiredDelta(first, second)
	require.NoError(t, err)
	r := newLeasedHarness(t)
	update := protocol.Updates{Session: r.Session(), Term: 1, Items: []protocol.Update{{Num: 1, Break: "m"}, {Num: 2, Delta: delta}, {Num: 3, Break: "n"}}}
	r.deliver(newPeer("a1"), update)
	passed, _, _ := lastSent[protocol.Updates](r)
	require.Equal(t, update.Items[:1], passed.Items)
	r.advance(20e6)
	renewal, _, _ := lastSent[protocol.Renew](r)
	require.False(t, renewal.AppliesDeltas, "the next renewal asks for the whole")
	r.deliver(newPeer("a1"), protocol.Updates{Session: r.Session(), Term: 1, Items: []protocol.Update{{Num: 2, Desired: first}}})
	r.deliver(newPeer("a1"), update)
	passed, _, _ = lastSent[protocol.Updates](r)
	require.Len(t, passed.Items, 3)
	require.Equal(t, second, passed.Items[1].Desired)
	require.Nil(t, passed.Items[1].Delta)
	require.Equal(t, second, r.newestDesired)
	require.True(t, r.renewal().AppliesDeltas)
	third, err := protocol.NewDesiredDelta(first, &protocol.Desired{Gen: 1, Epoch: 5})
	require.NoError(t, err)
	require.Len(t, r.expandDeltas([]protocol.Update{{Num: 4, Delta: third}}), 1, "the router may still have the one before the newest")
}
