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
	me := protocol.Member{Peer: newPeer("a9"), Role: "agent", Incarnation: 4, Status: "alive"}
	session := protocol.Session{Node: "agent", RouterIncarnation: 7, Num: 1}
	var messages [][]byte
	for _, body := range []any{
		protocol.Grant{Session: session, Seq: 1, Length: 2e9, Term: 1, Routers: 3},
		protocol.Updates{Session: session, Term: 1, Items: []protocol.Update{{Num: 1, Desired: &protocol.Desired{Epoch: 1}}, {Num: 2, Break: "k"}}},
		protocol.RouterReport{Incarnation: 7, Session: session, KeyLoads: map[ident.Key]protocol.KeyLoad{"k": {Arrived: 1, ServerSeconds: 1}}},
		protocol.NotOwner{Session: session, OwnerHint: newPeer("a2"), CoreNodes: []protocol.Peer{newPeer("a3")}},
		protocol.Probe{Seq: 1, Gossip: []protocol.Member{me}},
		protocol.IndirectProbe{Seq: 1, Target: newPeer("a9")},
		protocol.RecoveryQuery{Round: 1},
	} {
		raw, err := protocol.Pack(protocol.Envelope{From: newPeer("a1"), To: newPeer("agent"), Body: body})
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
