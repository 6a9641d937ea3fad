package agent

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func core(id string) protocol.Sibling { return protocol.Sibling{ID: ident.Node(id), Addr: id} }

type rig struct {
	*Core
	at  clock.Tick
	out []protocol.Env
}

func set() *rig {
	r := &rig{at: 1e9}
	r.Core = New(Options{Me: core("agent"), Inc: 3, Seeds: []protocol.Sibling{{Addr: "a1"}, {Addr: "a2"}, {Addr: "a3"}}, Router: core("router"), Rand: rand.New(rand.NewPCG(1, 1))})
	r.give(core("router"), protocol.Hello{Router: 7, Epoch: 2})
	return r
}

func (r *rig) give(from protocol.Sibling, body any) {
	r.keep(r.Step(r.at, protocol.Env{From: from, To: core("agent"), Body: body}))
}

// keep remembers the messages among what the core gives out, which beside them has log lines only.
func (r *rig) keep(out []any) {
	for _, o := range out {
		if _, line := o.(protocol.Note); !line {
			r.out = append(r.out, o.(protocol.Env))
		}
	}
}

func (r *rig) pass(s clock.Span) {
	for end := r.at.Add(s); r.at < end; r.at = r.at.Add(20e6) {
		r.keep(r.Step(r.at, protocol.Beat{}))
	}
}

func last[T any](r *rig) (v T, e protocol.Env, ok bool) {
	for _, x := range r.out {
		if b, is := x.Body.(T); is {
			v, e, ok = b, x, true
		}
	}
	return v, e, ok
}

// A hold counts from when the renewal was sent, not from when its grant came.
func TestHoldCountsFromSending(t *testing.T) {
	r := set()
	n, _, ok := last[protocol.Renew](r)
	require.True(t, ok)
	require.True(t, n.Fresh)
	sent := r.at
	r.at = r.at.Add(700e6)
	r.give(core("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq, Len: 2e9, Duty: 1})
	h, _, ok := last[protocol.Hold](r)
	require.True(t, ok)
	require.Equal(t, sent.Add(2e9), h.Until)
	r.give(core("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq + 50, Len: 9e9, Duty: 1})
	h, _, _ = last[protocol.Hold](r)
	require.Equal(t, sent.Add(2e9), h.Until, "a grant for what was never asked is nothing")
}

// Whatever parts the link begins a new session, under which everything is suspect.
func TestSessions(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *rig, s protocol.Session)
		new  bool
	}{
		{"the owner says that it is gone", func(r *rig, s protocol.Session) { r.give(core("a1"), protocol.NotOwner{Session: s, Gone: true}) }, true},
		{"a higher duty speaks", func(r *rig, s protocol.Session) { r.give(core("a2"), protocol.News{Session: s, Duty: 2}) }, true},
		{"a lower duty speaks", func(r *rig, s protocol.Session) { r.give(core("a2"), protocol.News{Session: s, Duty: 0}) }, false},
		{"the hold ran out", func(r *rig, s protocol.Session) { r.pass(3e9) }, true},
		{"the router restarted", func(r *rig, s protocol.Session) { r.give(core("router"), protocol.Hello{Router: 8}) }, true},
		{"the router says hello", func(r *rig, s protocol.Session) { r.give(core("router"), protocol.Hello{Router: 7}) }, false},
		{"another session is gone", func(r *rig, s protocol.Session) {
			s.N = 77
			r.give(core("a1"), protocol.NotOwner{Session: s, Gone: true})
		}, false},
		{"a node is not the owner", func(r *rig, s protocol.Session) { r.give(core("a3"), protocol.NotOwner{Session: s, Hint: core("a1")}) }, false},
	} {
		r := set()
		n, _, _ := last[protocol.Renew](r)
		r.give(core("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq, Len: 2e9, Duty: 1})
		was := r.Session()
		c.do(r, was)
		require.Equal(t, c.new, r.Session() != was, c.name)
	}
}

// A router that is cut off from the owner tries the other core nodes, then siblings.
func TestOtherWays(t *testing.T) {
	r := set()
	for _, id := range []string{"a1", "a2", "a3"} {
		r.give(core(id), protocol.Probe{News: []protocol.Member{{Sibling: core(id), Role: "controller", Inc: 1, Life: "alive"}}})
	}
	r.give(core("sib"), protocol.Probe{News: []protocol.Member{{Sibling: core("sib"), Role: "agent", Inc: 1, Life: "alive"}}})
	r.out = nil
	r.pass(6e9)
	straight, through := map[string]bool{}, map[string]bool{}
	for _, e := range r.out {
		if _, ok := e.Body.(protocol.Renew); ok {
			if e.Via.ID == "sib" {
				through[e.To.Addr] = true
			} else {
				straight[e.To.Addr] = true
			}
		}
	}
	require.Len(t, straight, 3)
	require.NotEmpty(t, through)
	// And it carries what a sibling sends through it, once.
	r.out = nil
	r.give(core("x"), protocol.Heard{})
	env := protocol.Env{From: core("sib"), To: core("a1"), Body: protocol.Renew{}}
	l := r.Step(r.at, env)
	require.Len(t, l, 1)
	require.Equal(t, core("a1"), l[0].(protocol.Env).Hop())
	require.Equal(t, core("agent"), l[0].(protocol.Env).By)
	env.By = core("other")
	require.Empty(t, r.Step(r.at, env))
}

// The newest desired state that passed is kept, for a core that has lost all its disks.
func TestKeeps(t *testing.T) {
	r := set()
	for i, d := range []protocol.Desired{{Gen: 1, Epoch: 4}, {Gen: 1, Epoch: 3}, {Gen: 2, Epoch: 1}} {
		r.give(core("a1"), protocol.News{Session: r.Session(), Duty: 1, Items: []protocol.Item{{Num: uint64(i + 1), Desired: &d}}})
	}
	r.give(core("a2"), protocol.Keep{Round: 9})
	k, e, ok := last[protocol.Kept](r)
	require.True(t, ok)
	require.Equal(t, protocol.Kept{Round: 9, Value: &protocol.Desired{Gen: 2, Epoch: 1}}, k)
	require.Equal(t, core("a2"), e.To)
}

// A word of a router that has no incarnation is not one of this machine's router: the agent goes on for
// the one that it serves.
func TestHelloOfNoRouter(t *testing.T) {
	r := set()
	before := r.Session()
	r.give(core("router"), protocol.Hello{})
	require.Equal(t, before, r.Session())
	r.out = nil
	r.pass(3e9)
	_, _, asked := last[protocol.Renew](r)
	require.True(t, asked)
}
