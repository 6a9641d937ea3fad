package agent

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/immutable"
	"tidedeck/internal/protocol"
)

func newPeer(id string) protocol.Peer { return protocol.Peer{ID: ident.Node(id), Addr: id} }

type harness struct {
	*Core
	clock     clock.Instant
	sent      []protocol.Envelope
	handedOut immutable.Checker
}

func newHarness() *harness {
	r := &harness{clock: 1e9}
	r.Core = New(Options{Self: newPeer("agent"), Inc: 3, Seeds: []protocol.Peer{{Addr: "a1"}, {Addr: "a2"}, {Addr: "a3"}}, Router: newPeer("router"), Rand: rand.New(rand.NewPCG(1, 1))})
	r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 7, Epoch: 2})
	return r
}

func (r *harness) deliver(from protocol.Peer, body any) {
	r.collect(r.Step(r.clock, protocol.Envelope{From: from, To: newPeer("agent"), Body: body}))
}

// collect records the messages among the core's outputs; the other outputs are log entries.
func (r *harness) collect(out []any) {
	if err := r.handedOut.Observe("the agent", out); err != nil {
		panic(err)
	}
	for _, o := range out {
		if _, line := o.(protocol.LogLine); !line {
			r.sent = append(r.sent, o.(protocol.Envelope))
		}
	}
}

func (r *harness) advance(s clock.Span) {
	for end := r.clock.Add(s); r.clock < end; r.clock = r.clock.Add(20e6) {
		r.collect(r.Step(r.clock, protocol.TimerTick{}))
	}
}

func lastSent[T any](r *harness) (v T, e protocol.Envelope, ok bool) {
	for _, x := range r.sent {
		if b, is := x.Body.(T); is {
			v, e, ok = b, x, true
		}
	}
	return v, e, ok
}

// A lease counts from the time at which its renewal was sent, not from the arrival of the grant.
func TestLeaseCountsFromSending(t *testing.T) {
	r := newHarness()
	renewal, _, ok := lastSent[protocol.Renew](r)
	require.True(t, ok)
	require.True(t, renewal.NewSession)
	sent := r.clock
	r.clock = r.clock.Add(700e6)
	r.deliver(newPeer("a1"), protocol.Grant{Session: renewal.Session, Seq: renewal.Seq, Length: 2e9, Term: 1})
	hold, _, ok := lastSent[protocol.RouterLease](r)
	require.True(t, ok)
	require.Equal(t, sent.Add(2e9), hold.Until)
	r.deliver(newPeer("a1"), protocol.Grant{Session: renewal.Session, Seq: renewal.Seq + 50, Length: 9e9, Term: 1})
	hold, _, _ = lastSent[protocol.RouterLease](r)
	require.Equal(t, sent.Add(2e9), hold.Until, "a grant for a renewal that was never sent has no effect")
}

// Any break of the link to the leader starts a new session, in which the router has to revalidate its state.
func TestSessions(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *harness, s protocol.Session)
		new  bool
	}{
		{"the leader reports the session as unknown", func(r *harness, s protocol.Session) {
			r.deliver(newPeer("a1"), protocol.NotOwner{Session: s, SessionEnded: true})
		}, true},
		{"message with a higher term", func(r *harness, s protocol.Session) { r.deliver(newPeer("a2"), protocol.Updates{Session: s, Term: 2}) }, true},
		{"message with a lower term", func(r *harness, s protocol.Session) { r.deliver(newPeer("a2"), protocol.Updates{Session: s, Term: 0}) }, false},
		{"the lease expired", func(r *harness, s protocol.Session) { r.advance(3e9) }, true},
		{"the router restarted", func(r *harness, s protocol.Session) {
			r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 8})
		}, true},
		{"repeated hello of the same router", func(r *harness, s protocol.Session) {
			r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 7})
		}, false},
		{"another session is unknown", func(r *harness, s protocol.Session) {
			s.Num = 77
			r.deliver(newPeer("a1"), protocol.NotOwner{Session: s, SessionEnded: true})
		}, false},
		{"answer of a node that is not the leader", func(r *harness, s protocol.Session) {
			r.deliver(newPeer("a3"), protocol.NotOwner{Session: s, OwnerHint: newPeer("a1")})
		}, false},
	} {
		r := newHarness()
		n, _, _ := lastSent[protocol.Renew](r)
		r.deliver(newPeer("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq, Length: 2e9, Term: 1})
		was := r.Session()
		c.do(r, was)
		require.Equal(t, c.new, r.Session() != was, c.name)
	}
}

// An agent without contact to the leader tries the other core nodes directly, then through peers.
func TestPathFailover(t *testing.T) {
	r := newHarness()
	for _, id := range []string{"a1", "a2", "a3"} {
		r.deliver(newPeer(id), protocol.Probe{Gossip: []protocol.Member{{Peer: newPeer(id), Role: "controller", Incarnation: 1, Status: "alive"}}})
	}
	r.deliver(newPeer("sib"), protocol.Probe{Gossip: []protocol.Member{{Peer: newPeer("sib"), Role: "agent", Incarnation: 1, Status: "alive"}}})
	r.sent = nil
	r.advance(6e9)
	direct, relayed := map[string]bool{}, map[string]bool{}
	for _, e := range r.sent {
		if _, ok := e.Body.(protocol.Renew); ok {
			if e.Via.ID == "sib" {
				relayed[e.To.Addr] = true
			} else {
				direct[e.To.Addr] = true
			}
		}
	}
	require.Len(t, direct, 3)
	require.NotEmpty(t, relayed)
	// The agent relays a peer's message once.
	r.sent = nil
	r.deliver(newPeer("x"), protocol.Ack{})
	env := protocol.Envelope{From: newPeer("sib"), To: newPeer("a1"), Body: protocol.Renew{}}
	outputs := r.Step(r.clock, env)
	require.Len(t, outputs, 1)
	require.Equal(t, newPeer("a1"), outputs[0].(protocol.Envelope).NextHop())
	require.Equal(t, newPeer("agent"), outputs[0].(protocol.Envelope).RelayedBy)
	env.RelayedBy = newPeer("other")
	require.Empty(t, r.Step(r.clock, env))
}

// The agent retains the newest desired state, for the recovery of a core that has lost all its disks.
func TestRetainsNewestDesired(t *testing.T) {
	r := newHarness()
	for i, d := range []protocol.Desired{{Gen: 1, Epoch: 4}, {Gen: 1, Epoch: 3}, {Gen: 2, Epoch: 1}} {
		r.deliver(newPeer("a1"), protocol.Updates{Session: r.Session(), Term: 1, Items: []protocol.Update{{Num: uint64(i + 1), Desired: &d}}})
	}
	r.deliver(newPeer("a2"), protocol.RecoveryQuery{Round: 9})
	k, e, ok := lastSent[protocol.RecoveryReply](r)
	require.True(t, ok)
	require.Equal(t, protocol.RecoveryReply{Round: 9, Value: &protocol.Desired{Gen: 2, Epoch: 1}}, k)
	require.Equal(t, newPeer("a2"), e.To)
}

// A hello without a start number does not come from this machine's router. The agent keeps serving its current
// router.
func TestHelloWithoutStartNumber(t *testing.T) {
	r := newHarness()
	before := r.Session()
	r.deliver(newPeer("router"), protocol.RouterReport{})
	require.Equal(t, before, r.Session())
	r.sent = nil
	r.advance(3e9)
	_, _, requested := lastSent[protocol.Renew](r)
	require.True(t, requested)
}
