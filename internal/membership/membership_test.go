package membership

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func sib(s string) protocol.Sibling { return protocol.Sibling{ID: ident.Node(s), Addr: s} }

func born(id string, seeds ...string) *Core {
	o := Options{Me: protocol.Member{Sibling: sib(id), Role: "agent", Inc: 5}, Rand: rand.New(rand.NewPCG(1, uint64(len(id))))}
	for _, s := range seeds {
		o.Seeds = append(o.Seeds, protocol.Sibling{Addr: s})
	}
	return New(o)
}

// The life of a member: what is heard of it moves it only as its incarnation allows.
func TestLife(t *testing.T) {
	line := func(life string, inc ident.Inc) protocol.Member {
		return protocol.Member{Sibling: sib("x"), Inc: inc, Life: life}
	}
	for _, c := range []struct {
		was  string
		hear string
		inc  ident.Inc // 5 is the known one
		now  string
	}{
		{Alive, Suspect, 5, Suspect}, {Alive, Suspect, 4, Alive}, {Alive, Dead, 5, Dead}, {Alive, Dead, 4, Alive}, {Alive, Alive, 6, Alive},
		{Suspect, Alive, 5, Suspect}, {Suspect, Alive, 6, Alive}, {Suspect, Dead, 5, Dead}, {Suspect, Dead, 4, Suspect}, {Suspect, Suspect, 5, Suspect},
		{Dead, Alive, 5, Dead}, {Dead, Alive, 6, Alive}, {Dead, Suspect, 5, Dead}, {Dead, Suspect, 6, Suspect}, {Dead, Dead, 7, Dead},
	} {
		m := born("me")
		m.hear(0, line(Alive, 5))
		m.hear(0, line(c.was, 5))
		m.hear(0, line(c.hear, c.inc))
		l, _ := m.Life("x")
		require.Equal(t, c.now, l, "%+v", c)
	}
	m := born("me")
	m.hear(0, line(Dead, 5))
	require.Len(t, m.All(), 1, "a stranger that is dead is not worth remembering")
}

// net turns a few cores by hand; down ones hear nothing.
type net struct {
	cores map[string]*Core
	down  map[string]bool
	now   clock.Tick
}

func (n *net) turn(s clock.Span) {
	for end := n.now.Add(s); n.now < end; n.now = n.now.Add(10e6) {
		var q []protocol.Env
		for _, id := range []string{"a", "b", "c", "d"} {
			if !n.down[id] {
				q = append(q, n.cores[id].Beat(n.now)...)
			}
		}
		for len(q) > 0 {
			e := q[0]
			q = q[1:]
			if to := n.cores[e.To.Addr]; to != nil && !n.down[e.To.Addr] {
				l, _ := to.Take(n.now, e)
				q = append(q, l...)
			}
		}
	}
}

// Processes find each other from one seed, miss a dead one, and take it back when it lives.
func TestFindMissAndRefute(t *testing.T) {
	n := &net{cores: map[string]*Core{}, down: map[string]bool{}}
	for _, id := range []string{"a", "b", "c", "d"} {
		n.cores[id] = born(id, "a")
	}
	n.turn(5e9)
	for id, c := range n.cores {
		require.Len(t, c.Alive(""), 4, id)
	}
	n.down["d"] = true
	n.turn(6e9)
	for _, id := range []string{"a", "b", "c"} {
		l, _ := n.cores[id].Life("d")
		require.Equal(t, Dead, l, id)
	}
	n.down["d"] = false // the same life goes on: it must refute its death by a higher incarnation
	n.turn(6e9)
	for _, id := range []string{"a", "b", "c"} {
		l, _ := n.cores[id].Life("d")
		require.Equal(t, Alive, l, id)
	}
}

// A process that only one other cannot reach is vouched for by third parties.
func TestSecondOpinion(t *testing.T) {
	a := born("a")
	a.hear(0, protocol.Member{Sibling: sib("x"), Role: "agent", Inc: 1, Life: Alive})
	a.hear(0, protocol.Member{Sibling: sib("y"), Role: "agent", Inc: 1, Life: Alive})
	var asked, helped int
	for now := clock.Tick(0); now < 3e9; now += 10e6 {
		for _, e := range a.Beat(now) {
			switch b := e.Body.(type) {
			case protocol.Probe:
				asked++
				if e.To.ID == "y" { // y answers, x is unreached
					a.Take(now, protocol.Env{From: sib("y"), Body: protocol.ProbeAck{Seq: b.Seq}})
				}
			case protocol.ProbeFor:
				helped++
				require.EqualValues(t, "x", b.Target.ID)
				a.Take(now, protocol.Env{From: sib("y"), Body: protocol.ProbeAck{Seq: b.Seq}})
			}
		}
	}
	l, _ := a.Life("x")
	require.Equal(t, Alive, l)
	require.Positive(t, helped)
	require.Greater(t, asked, helped)
}
