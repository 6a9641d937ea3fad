package membership

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Updates that no process can have produced are neither applied nor gossiped.
func TestInvalidUpdatesIgnored(t *testing.T) {
	good := protocol.Member{Peer: newPeer("x"), Role: "agent", Incarnation: 6, Status: Alive}
	for name, corrupt := range map[string]func(*protocol.Member){
		"unknown state":            func(m *protocol.Member) { m.Status = "asleep" },
		"empty state":              func(m *protocol.Member) { m.Status = "" },
		"no id":                    func(m *protocol.Member) { m.ID = "" },
		"no address":               func(m *protocol.Member) { m.Addr = "" },
		"incarnation out of range": func(m *protocol.Member) { m.Incarnation = math.MaxUint64 },
	} {
		c := newCore("me")
		update := good
		corrupt(&update)
		c.applyUpdate(0, update)
		require.Len(t, c.Members(), 1, name)
		c.applyUpdate(0, good)
		c.applyUpdate(0, update)
		require.Len(t, c.Members(), 2, name)
		state, _ := c.StateOf("x")
		require.Equal(t, Alive, state, name)
	}
	// A report of this process's own death with the highest possible incarnation must not leave it without a higher
	// one for the refutation.
	c := newCore("me")
	c.applyUpdate(0, protocol.Member{Peer: newPeer("me"), Incarnation: math.MaxUint64, Status: Dead})
	require.EqualValues(t, 5, c.Members()[0].Incarnation)
}

// A request for an indirect probe without a requester is not recorded as one of this process's own probes.
func TestIndirectProbeWithoutRequester(t *testing.T) {
	c := newCore("me")
	c.applyUpdate(0, protocol.Member{Peer: newPeer("x"), Role: "agent", Incarnation: 1, Status: Alive})
	out, mine := c.Receive(0, protocol.Envelope{Body: protocol.IndirectProbe{Seq: 1, Target: newPeer("x")}})
	require.True(t, mine)
	require.Empty(t, out)
	require.Empty(t, c.pending)
}

// FuzzTake delivers any sequence of messages. The core stays alive in its own view, retains only valid members, and
// forgets all of them once no member answers any more.
func FuzzTake(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 1, 2, 1, 2, 2, 1, 2, 3, 3, 0, 1, 1})
	f.Add([]byte{0, 4, 3, 6, 1, 0, 2, 6, 2, 4, 4, 4, 0, 5, 0, 1})
	ids := []string{"me", "x", "y", "z", ""}
	states := []string{Alive, Suspect, Dead, "asleep", ""}
	numbers := []uint64{0, 1, 5, 6, 7, 1 << 62, math.MaxUint64}
	f.Fuzz(func(t *testing.T, script []byte) {
		c := newCore("me", "s")
		now := clock.Instant(0)
		own := c.Members()[0].Incarnation
		for len(script) >= 4 && len(script) < 4000 {
			kind, id, state, number := script[0], ids[int(script[1])%len(ids)], states[int(script[2])%len(states)], numbers[int(script[3])%len(numbers)]
			script = script[4:]
			news := []protocol.Member{{Peer: newPeer(id), Role: "agent", Incarnation: ident.Incarnation(number), Status: state}}
			from := newPeer(ids[int(kind/4)%len(ids)])
			body := []any{
				protocol.Probe{Seq: number, Gossip: news},
				protocol.ProbeAck{Seq: number, Gossip: news},
				protocol.IndirectProbe{Seq: number, Target: newPeer(id), Gossip: news},
				protocol.Grant{},
			}[kind%4]
			_, mine := c.Receive(now, protocol.Envelope{From: from, To: newPeer("me"), Body: body})
			require.Equal(t, kind%4 != 3, mine)
			now = now.Add(clock.Span(kind) * 1e6)
			c.Tick(now)
			all := c.Members()
			for _, m := range all {
				require.Contains(t, []string{Alive, Suspect, Dead}, m.Status)
				require.NotEmpty(t, m.ID)
				require.NotEmpty(t, m.Addr)
				if m.ID == "me" {
					require.Equal(t, Alive, m.Status)
					require.GreaterOrEqual(t, m.Incarnation, own)
					own = m.Incarnation
				}
			}
			require.LessOrEqual(t, len(all), len(ids))
		}
		for end := now.Add(80e9); now < end; now = now.Add(100e6) {
			c.Tick(now)
		}
		require.Len(t, c.Members(), 1, "a member that never answers is forgotten")
		require.LessOrEqual(t, len(c.pending), 8, "unanswered probes are forgotten")
	})
}
