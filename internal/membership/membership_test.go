package membership

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func newPeer(s string) protocol.Peer { return protocol.Peer{ID: ident.Node(s), Addr: s} }

func newCore(id string, seeds ...string) *Core {
	o := Options{Self: protocol.Member{Peer: newPeer(id), Role: "agent", Incarnation: 5}, Rand: rand.New(rand.NewPCG(1, uint64(len(id))))}
	for _, s := range seeds {
		o.Seeds = append(o.Seeds, protocol.Peer{Addr: s})
	}
	return New(o)
}

// An update changes a member's state only as its incarnation allows.
func TestLife(t *testing.T) {
	update := func(life string, inc ident.Incarnation) protocol.Member {
		return protocol.Member{Peer: newPeer("x"), Incarnation: inc, Status: life}
	}
	for _, c := range []struct {
		was  string
		hear string
		inc  ident.Incarnation // the known incarnation is 5
		now  string
	}{
		{Alive, Suspect, 5, Suspect}, {Alive, Suspect, 4, Alive}, {Alive, Dead, 5, Dead}, {Alive, Dead, 4, Alive}, {Alive, Alive, 6, Alive},
		{Suspect, Alive, 5, Suspect}, {Suspect, Alive, 6, Alive}, {Suspect, Dead, 5, Dead}, {Suspect, Dead, 4, Suspect}, {Suspect, Suspect, 5, Suspect},
		{Dead, Alive, 5, Dead}, {Dead, Alive, 6, Alive}, {Dead, Suspect, 5, Dead}, {Dead, Suspect, 6, Suspect}, {Dead, Dead, 7, Dead},
	} {
		m := newCore("me")
		m.applyUpdate(0, update(Alive, 5))
		m.applyUpdate(0, update(c.was, 5))
		m.applyUpdate(0, update(c.hear, c.inc))
		state, _ := m.StateOf("x")
		require.Equal(t, c.now, state, "%+v", c)
	}
	m := newCore("me")
	m.applyUpdate(0, update(Dead, 5))
	require.Len(t, m.Members(), 1, "an unknown member that is dead is not retained")
}

// network drives several cores by hand; cores in down receive nothing.
type network struct {
	cores map[string]*Core
	down  map[string]bool
	now   clock.Instant
}

func (n *network) run(s clock.Span) {
	for end := n.now.Add(s); n.now < end; n.now = n.now.Add(10e6) {
		var queue []protocol.Envelope
		for _, id := range []string{"a", "b", "c", "d"} {
			if !n.down[id] {
				queue = append(queue, n.cores[id].Tick(n.now)...)
			}
		}
		for len(queue) > 0 {
			envelope := queue[0]
			queue = queue[1:]
			if to := n.cores[envelope.To.Addr]; to != nil && !n.down[envelope.To.Addr] {
				replies, _ := to.Receive(n.now, envelope)
				queue = append(queue, replies...)
			}
		}
	}
}

// Processes discover each other through one seed, detect a dead one, and accept it again when it is alive.
func TestDiscoverDetectRefute(t *testing.T) {
	n := &network{cores: map[string]*Core{}, down: map[string]bool{}}
	for _, id := range []string{"a", "b", "c", "d"} {
		n.cores[id] = newCore(id, "a")
	}
	n.run(5e9)
	for id, c := range n.cores {
		require.Len(t, c.Alive(""), 4, id)
	}
	n.down["d"] = true
	n.run(6e9)
	for _, id := range []string{"a", "b", "c"} {
		state, _ := n.cores[id].StateOf("d")
		require.Equal(t, Dead, state, id)
	}
	n.down["d"] = false // the same incarnation is still running: the process must refute its death with a higher one
	n.run(6e9)
	for _, id := range []string{"a", "b", "c"} {
		state, _ := n.cores[id].StateOf("d")
		require.Equal(t, Alive, state, id)
	}
}

// Indirect probes keep a process alive that only one other process cannot reach.
func TestIndirectProbes(t *testing.T) {
	a := newCore("a")
	a.applyUpdate(0, protocol.Member{Peer: newPeer("x"), Role: "agent", Incarnation: 1, Status: Alive})
	a.applyUpdate(0, protocol.Member{Peer: newPeer("y"), Role: "agent", Incarnation: 1, Status: Alive})
	var probes, indirect int
	for now := clock.Instant(0); now < 3e9; now += 10e6 {
		for _, e := range a.Tick(now) {
			switch b := e.Body.(type) {
			case protocol.Probe:
				probes++
				if e.To.ID == "y" { // y answers, x is unreachable
					a.Receive(now, protocol.Envelope{From: newPeer("y"), Body: protocol.ProbeAck{Seq: b.Seq}})
				}
			case protocol.IndirectProbe:
				indirect++
				require.EqualValues(t, "x", b.Target.ID)
				a.Receive(now, protocol.Envelope{From: newPeer("y"), Body: protocol.ProbeAck{Seq: b.Seq}})
			}
		}
	}
	state, _ := a.StateOf("x")
	require.Equal(t, Alive, state)
	require.Positive(t, indirect)
	require.Greater(t, probes, indirect)
}
