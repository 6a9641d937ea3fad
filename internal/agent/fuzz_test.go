package agent

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// FuzzStep delivers arbitrary envelopes, one per line, in the agent's current session. Everything that the agent
// sends can be encoded, and it still renews its lease.
func FuzzStep(f *testing.F) {
	me := protocol.Member{Sibling: newPeer("a9"), Role: "agent", Inc: 4, Life: "alive"}
	session := protocol.Session{Node: "agent", Router: 7, N: 1}
	var messages [][]byte
	for _, body := range []any{
		protocol.Grant{Session: session, Seq: 1, Len: 2e9, Duty: 1, Routers: 3},
		protocol.News{Session: session, Duty: 1, Items: []protocol.Item{{Num: 1, Desired: &protocol.Desired{Epoch: 1}}, {Num: 2, Break: "k"}}},
		protocol.Hello{Router: 7, Session: session, Burden: map[ident.Key]protocol.Burden{"k": {Came: 1, Load: 1}}},
		protocol.NotOwner{Session: session, Hint: newPeer("a2"), Cores: []protocol.Sibling{newPeer("a3")}},
		protocol.Probe{Seq: 1, News: []protocol.Member{me}},
		protocol.ProbeFor{Seq: 1, Target: newPeer("a9")},
		protocol.Keep{Round: 1},
	} {
		raw, err := protocol.Pack(protocol.Env{From: newPeer("a1"), To: newPeer("agent"), Body: body})
		require.NoError(f, err)
		f.Add(raw)
		messages = append(messages, raw)
	}
	f.Add(bytes.Join(messages, []byte("\n")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := newHarness()
		check := func() {
			for _, e := range r.sent {
				_, err := protocol.Pack(e)
				require.NoError(t, err)
			}
			r.sent = nil
		}
		for _, line := range bytes.SplitN(raw, []byte("\n"), 50) {
			e, err := protocol.Unpack(line)
			if err != nil {
				continue
			}
			e.To = newPeer("agent")
			r.collect(r.Step(r.clock, e))
			r.advance(clock.Span(100e6))
			check()
		}
		r.advance(clock.Span(3e9))
		_, _, requested := lastSent[protocol.Renew](r)
		require.True(t, requested)
		check()
	})
}
