package agent

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func newPeer(id string) protocol.Sibling { return protocol.Sibling{ID: ident.Node(id), Addr: id} }

type harness struct {
	*Core
	clock clock.Tick
	sent  []protocol.Env
}

func newHarness() *harness {
	r := &harness{clock: 1e9}
	r.Core = New(Options{Me: newPeer("agent"), Inc: 3, Seeds: []protocol.Sibling{{Addr: "a1"}, {Addr: "a2"}, {Addr: "a3"}}, Router: newPeer("router"), Rand: rand.New(rand.NewPCG(1, 1))})
	r.deliver(newPeer("router"), protocol.Hello{Router: 7, Epoch: 2})
	return r
}

func (r *harness) deliver(from protocol.Sibling, body any) {
	r.collect(r.Step(r.clock, protocol.Env{From: from, To: newPeer("agent"), Body: body}))
}

// collect records the messages among the core's outputs; the other outputs are log entries.
func (r *harness) collect(out []any) {
	for _, o := range out {
		if _, line := o.(protocol.Note); !line {
			r.sent = append(r.sent, o.(protocol.Env))
		}
	}
}

func (r *harness) advance(s clock.Span) {
	for end := r.clock.Add(s); r.clock < end; r.clock = r.clock.Add(20e6) {
		r.collect(r.Step(r.clock, protocol.Beat{}))
	}
}

func lastSent[T any](r *harness) (v T, e protocol.Env, ok bool) {
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
	require.True(t, renewal.Fresh)
	sent := r.clock
	r.clock = r.clock.Add(700e6)
	r.deliver(newPeer("a1"), protocol.Grant{Session: renewal.Session, Seq: renewal.Seq, Len: 2e9, Duty: 1})
	hold, _, ok := lastSent[protocol.Hold](r)
	require.True(t, ok)
	require.Equal(t, sent.Add(2e9), hold.Until)
	r.deliver(newPeer("a1"), protocol.Grant{Session: renewal.Session, Seq: renewal.Seq + 50, Len: 9e9, Duty: 1})
	hold, _, _ = lastSent[protocol.Hold](r)
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
			r.deliver(newPeer("a1"), protocol.NotOwner{Session: s, Gone: true})
		}, true},
		{"message with a higher term", func(r *harness, s protocol.Session) { r.deliver(newPeer("a2"), protocol.News{Session: s, Duty: 2}) }, true},
		{"message with a lower term", func(r *harness, s protocol.Session) { r.deliver(newPeer("a2"), protocol.News{Session: s, Duty: 0}) }, false},
		{"the lease expired", func(r *harness, s protocol.Session) { r.advance(3e9) }, true},
		{"the router restarted", func(r *harness, s protocol.Session) { r.deliver(newPeer("router"), protocol.Hello{Router: 8}) }, true},
		{"repeated hello of the same router", func(r *harness, s protocol.Session) { r.deliver(newPeer("router"), protocol.Hello{Router: 7}) }, false},
		{"another session is unknown", func(r *harness, s protocol.Session) {
			s.N = 77
			r.deliver(newPeer("a1"), protocol.NotOwner{Session: s, Gone: true})
		}, false},
		{"answer of a node that is not the leader", func(r *harness, s protocol.Session) {
			r.deliver(newPeer("a3"), protocol.NotOwner{Session: s, Hint: newPeer("a1")})
		}, false},
	} {
		r := newHarness()
		n, _, _ := lastSent[protocol.Renew](r)
		r.deliver(newPeer("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq, Len: 2e9, Duty: 1})
		was := r.Session()
		c.do(r, was)
		require.Equal(t, c.new, r.Session() != was, c.name)
	}
}

// An agent without contact to the leader tries the other core nodes directly, then through peers.
func TestPathFailover(t *testing.T) {
	r := newHarness()
	for _, id := range []string{"a1", "a2", "a3"} {
		r.deliver(newPeer(id), protocol.Probe{News: []protocol.Member{{Sibling: newPeer(id), Role: "controller", Inc: 1, Life: "alive"}}})
	}
	r.deliver(newPeer("sib"), protocol.Probe{News: []protocol.Member{{Sibling: newPeer("sib"), Role: "agent", Inc: 1, Life: "alive"}}})
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
	r.deliver(newPeer("x"), protocol.Heard{})
	env := protocol.Env{From: newPeer("sib"), To: newPeer("a1"), Body: protocol.Renew{}}
	outputs := r.Step(r.clock, env)
	require.Len(t, outputs, 1)
	require.Equal(t, newPeer("a1"), outputs[0].(protocol.Env).Hop())
	require.Equal(t, newPeer("agent"), outputs[0].(protocol.Env).By)
	env.By = newPeer("other")
	require.Empty(t, r.Step(r.clock, env))
}

// The agent retains the newest desired state, for the recovery of a core that has lost all its disks.
func TestRetainsNewestDesired(t *testing.T) {
	r := newHarness()
	for i, d := range []protocol.Desired{{Gen: 1, Epoch: 4}, {Gen: 1, Epoch: 3}, {Gen: 2, Epoch: 1}} {
		r.deliver(newPeer("a1"), protocol.News{Session: r.Session(), Duty: 1, Items: []protocol.Item{{Num: uint64(i + 1), Desired: &d}}})
	}
	r.deliver(newPeer("a2"), protocol.Keep{Round: 9})
	k, e, ok := lastSent[protocol.Kept](r)
	require.True(t, ok)
	require.Equal(t, protocol.Kept{Round: 9, Value: &protocol.Desired{Gen: 2, Epoch: 1}}, k)
	require.Equal(t, newPeer("a2"), e.To)
}

// A hello without a start number does not come from this machine's router. The agent keeps serving its current
// router.
func TestHelloWithoutStartNumber(t *testing.T) {
	r := newHarness()
	before := r.Session()
	r.deliver(newPeer("router"), protocol.Hello{})
	require.Equal(t, before, r.Session())
	r.sent = nil
	r.advance(3e9)
	_, _, requested := lastSent[protocol.Renew](r)
	require.True(t, requested)
}
