package agent

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// FuzzStep gives an agent any envelopes, one a line, in the session that it is in: what it sends can be
// written, and it still asks for its session's hold to go on.
func FuzzStep(f *testing.F) {
	me := protocol.Member{Sibling: core("a9"), Role: "agent", Inc: 4, Life: "alive"}
	session := protocol.Session{Node: "agent", Router: 7, N: 1}
	var talk [][]byte
	for _, body := range []any{
		protocol.Grant{Session: session, Seq: 1, Len: 2e9, Duty: 1, Routers: 3},
		protocol.News{Session: session, Duty: 1, Items: []protocol.Item{{Num: 1, Desired: &protocol.Desired{Epoch: 1}}, {Num: 2, Break: "k"}}},
		protocol.Hello{Router: 7, Session: session, Burden: map[ident.Key]protocol.Burden{"k": {Came: 1, Load: 1}}},
		protocol.NotOwner{Session: session, Hint: core("a2"), Cores: []protocol.Sibling{core("a3")}},
		protocol.Probe{Seq: 1, News: []protocol.Member{me}},
		protocol.ProbeFor{Seq: 1, Target: core("a9")},
		protocol.Keep{Round: 1},
	} {
		raw, err := protocol.Pack(protocol.Env{From: core("a1"), To: core("agent"), Body: body})
		require.NoError(f, err)
		f.Add(raw)
		talk = append(talk, raw)
	}
	f.Add(bytes.Join(talk, []byte("\n")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := set()
		check := func() {
			for _, e := range r.out {
				_, err := protocol.Pack(e)
				require.NoError(t, err)
			}
			r.out = nil
		}
		for _, line := range bytes.SplitN(raw, []byte("\n"), 50) {
			e, err := protocol.Unpack(line)
			if err != nil {
				continue
			}
			e.To = core("agent")
			r.keep(r.Step(r.at, e))
			r.pass(clock.Span(100e6))
			check()
		}
		r.pass(clock.Span(3e9))
		_, _, asked := last[protocol.Renew](r)
		require.True(t, asked)
		check()
	})
}
