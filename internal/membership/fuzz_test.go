package membership

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// What no process says of a member is not taken in, and is not passed on.
func TestNonsenseIsNotHeard(t *testing.T) {
	good := protocol.Member{Sibling: sib("x"), Role: "agent", Inc: 6, Life: Alive}
	for name, spoil := range map[string]func(*protocol.Member){
		"no such stage of life":     func(m *protocol.Member) { m.Life = "asleep" },
		"no stage of life":          func(m *protocol.Member) { m.Life = "" },
		"no id":                     func(m *protocol.Member) { m.ID = "" },
		"no address":                func(m *protocol.Member) { m.Addr = "" },
		"an incarnation out of all": func(m *protocol.Member) { m.Inc = math.MaxUint64 },
	} {
		c := born("me")
		line := good
		spoil(&line)
		c.hear(0, line)
		require.Len(t, c.All(), 1, name)
		c.hear(0, good)
		c.hear(0, line)
		require.Len(t, c.All(), 2, name)
		stage, _ := c.Life("x")
		require.Equal(t, Alive, stage, name)
	}
	// Word of this process's own death with the highest of numbers leaves it one that it can still raise.
	c := born("me")
	c.hear(0, protocol.Member{Sibling: sib("me"), Inc: math.MaxUint64, Life: Dead})
	require.EqualValues(t, 5, c.All()[0].Inc)
}

// A question for a second opinion that names nobody is not taken for one of this process's own.
func TestOpinionForNobody(t *testing.T) {
	c := born("me")
	c.hear(0, protocol.Member{Sibling: sib("x"), Role: "agent", Inc: 1, Life: Alive})
	out, mine := c.Take(0, protocol.Env{Body: protocol.ProbeFor{Seq: 1, Target: sib("x")}})
	require.True(t, mine)
	require.Empty(t, out)
	require.Empty(t, c.out)
}

// FuzzTake gives a core any sequence of messages: it stays alive to itself, keeps only members that make
// sense, and forgets all of them once nobody answers any more.
func FuzzTake(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 1, 2, 1, 2, 2, 1, 2, 3, 3, 0, 1, 1})
	f.Add([]byte{0, 4, 3, 6, 1, 0, 2, 6, 2, 4, 4, 4, 0, 5, 0, 1})
	ids := []string{"me", "x", "y", "z", ""}
	stages := []string{Alive, Suspect, Dead, "asleep", ""}
	numbers := []uint64{0, 1, 5, 6, 7, 1 << 62, math.MaxUint64}
	f.Fuzz(func(t *testing.T, script []byte) {
		c := born("me", "s")
		now := clock.Tick(0)
		own := c.All()[0].Inc
		for len(script) >= 4 && len(script) < 4000 {
			kind, id, stage, number := script[0], ids[int(script[1])%len(ids)], stages[int(script[2])%len(stages)], numbers[int(script[3])%len(numbers)]
			script = script[4:]
			news := []protocol.Member{{Sibling: sib(id), Role: "agent", Inc: ident.Inc(number), Life: stage}}
			from := sib(ids[int(kind/4)%len(ids)])
			body := []any{
				protocol.Probe{Seq: number, News: news},
				protocol.ProbeAck{Seq: number, News: news},
				protocol.ProbeFor{Seq: number, Target: sib(id), News: news},
				protocol.Grant{},
			}[kind%4]
			_, mine := c.Take(now, protocol.Env{From: from, To: sib("me"), Body: body})
			require.Equal(t, kind%4 != 3, mine)
			now = now.Add(clock.Span(kind) * 1e6)
			c.Beat(now)
			all := c.All()
			for _, m := range all {
				require.Contains(t, []string{Alive, Suspect, Dead}, m.Life)
				require.NotEmpty(t, m.ID)
				require.NotEmpty(t, m.Addr)
				if m.ID == "me" {
					require.Equal(t, Alive, m.Life)
					require.GreaterOrEqual(t, m.Inc, own)
					own = m.Inc
				}
			}
			require.LessOrEqual(t, len(all), len(ids))
		}
		for end := now.Add(80e9); now < end; now = now.Add(100e6) {
			c.Beat(now)
		}
		require.Len(t, c.All(), 1, "who never answers is forgotten")
		require.LessOrEqual(t, len(c.out), 8, "questions are forgotten")
	})
}
