package protocol

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// routePlan returns a plan with a number of routes and one limit.
func routePlan(routes, limit int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"revision": %d, "routes": [`, limit)
	for i := range routes {
		fmt.Fprintf(&b, `{"label": "route%d", "host": "site%d.example", "prefix": "/path%d/", "service": "llm", "attempts": 3}, `, i*7919, i*104729%1000, i*1299709%10000)
	}
	fmt.Fprintf(&b, `], "limits": {"idle_ms": %d}}`, limit)
	return []byte(b.String())
}

func TestDeltaMakesTheSameState(t *testing.T) {
	base := &Desired{Gen: 3, Epoch: 7, Plan: routePlan(2000, 1), Voters: []Voter{{Peer: Peer{ID: "a"}, Incarnation: 5}}, AppliedChanges: []Change{{ID: "x", Epoch: 7}}}
	for _, x := range []struct {
		name     string
		next     Desired
		mostSize int
	}{
		{"a limit", Desired{Gen: 3, Epoch: 8, Plan: routePlan(2000, 2)}, 300},
		{"more routes", Desired{Gen: 3, Epoch: 8, Plan: routePlan(2100, 2)}, 4000},
		{"no plan", Desired{Gen: 4, Epoch: 0}, 300},
		{"the same", *base, 300},
		{"everything else", Desired{Gen: 5, Epoch: 8, Plan: []byte("{}"), EmptiedZones: nil, Windows: []byte("[]"), VoterSet: 2}, 300},
	} {
		t.Run(x.name, func(t *testing.T) {
			delta, err := NewDesiredDelta(base, &x.next)
			require.NoError(t, err)
			require.Less(t, len(delta.Data), x.mostSize)
			got, err := delta.Apply(base)
			require.NoError(t, err)
			require.Equal(t, x.next, *got)
		})
	}
}

func TestDeltaRefusesAnotherBase(t *testing.T) {
	base := &Desired{Gen: 3, Epoch: 7, Plan: routePlan(100, 1)}
	delta, err := NewDesiredDelta(base, &Desired{Gen: 3, Epoch: 8, Plan: routePlan(100, 2)})
	require.NoError(t, err)
	for _, other := range []*Desired{nil, {Gen: 3, Epoch: 6, Plan: base.Plan}, {Gen: 2, Epoch: 7, Plan: base.Plan}, {Gen: 3, Epoch: 7, Plan: routePlan(99, 1)}, {Gen: 3, Epoch: 7}} {
		_, err := delta.Apply(other)
		require.Error(t, err)
	}
}

// A state that is sent as a delta keeps its number, and the delta is the same for all receivers with that base.
func TestUpdateCarriesADelta(t *testing.T) {
	base := &Desired{Gen: 3, Epoch: 7, Plan: routePlan(500, 1)}
	next := &Desired{Gen: 3, Epoch: 8, Plan: routePlan(500, 2)}
	shared := &SharedEncoding{}
	for _, num := range []uint64{4, 9} {
		packed, err := Pack(Envelope{Body: Updates{Items: []Update{{Num: num, Desired: next, Base: base, Shared: shared}}}})
		require.NoError(t, err)
		require.Less(t, len(packed), 500)
		unpacked, err := Unpack(packed)
		require.NoError(t, err)
		item := unpacked.Body.(Updates).Items[0]
		require.Equal(t, num, item.Num)
		require.Nil(t, item.Desired)
		got, err := item.Delta.Apply(base)
		require.NoError(t, err)
		require.Equal(t, next, got)
	}
}

// Guards against routers that acknowledge a configuration that they have not received: an agent that relays a message for another
// one reads and writes it, and must lose nothing.
func TestRelayedUpdatesAreTheSame(t *testing.T) {
	base := &Desired{Gen: 3, Epoch: 7, Plan: routePlan(20, 1)}
	next := &Desired{Gen: 3, Epoch: 8, Plan: routePlan(20, 2)}
	sent := Envelope{From: Peer{ID: "a", Addr: "a"}, To: Peer{ID: "r", Addr: "r"}, Body: Updates{Session: Session{Node: "r", Num: 2}, Term: 5, LateAck: true, Items: []Update{
		{Num: 1, Desired: next, Base: base, Shared: &SharedEncoding{}}, {Num: 2, Desired: next}, {Num: 3, Break: "m"},
		{Num: 4, Entry: &Entry{Key: "m", Digest: 1, Replicas: []Replica{{Server: "s"}}}}, {Num: 5},
	}}}
	packed, err := Pack(sent)
	require.NoError(t, err)
	received, err := Unpack(packed)
	require.NoError(t, err)
	require.NotNil(t, received.Body.(Updates).Items[0].Delta)
	relayed, err := Pack(received)
	require.NoError(t, err)
	again, err := Unpack(relayed)
	require.NoError(t, err)
	require.Equal(t, received, again)
}

func FuzzDelta(f *testing.F) {
	base := &Desired{Gen: 3, Epoch: 7, Plan: routePlan(5, 1)}
	delta, err := NewDesiredDelta(base, &Desired{Gen: 3, Epoch: 8, Plan: routePlan(6, 2)})
	require.NoError(f, err)
	f.Add(delta.Data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := (&DesiredDelta{BaseGen: 3, BaseEpoch: 7, Data: data}).Apply(base)
		require.Equal(t, err == nil, got != nil)
	})
}
