package protocol

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
)

// largeRenewal returns a router's renewal with requests for the given numbers of models and servers.
func largeRenewal(models, servers int) Env {
	renewal := Renew{Session: Session{Node: "edge-sala-verona-35", Agent: 1 << 50, Router: 1 << 51, N: 3}, Seq: 1234, Gen: 1, Epoch: 20, Heard: 815,
		Burden: map[ident.Key]Burden{}, Seats: map[ident.Server]int{}, Paces: map[ident.Key]float64{}}
	for i := range models {
		key := ident.Key(fmt.Sprintf("motore-ruoli|bada%02de49e+filo%02d0", i, i))
		renewal.Burden[key] = Burden{Wait: i % 2, Work: 1, Came: 2, Top: 3, Load: 0.0123456789}
		if i%4 == 0 {
			renewal.Paces[key.Base()] = 51234.56789
		}
	}
	for i := range servers {
		renewal.Seats[ident.Server(fmt.Sprintf("i-b317bf%04x", i))] = 2300 + i
	}
	return Env{From: Sibling{ID: "edge-sala-verona-35", Addr: "10.1.0.35:7100"}, To: Sibling{ID: "loop-sala-brescia-1", Addr: "10.1.64.1:7100"}, Body: renewal}
}

// largeGrant returns the leader's answer to a router that uses the given number of servers.
func largeGrant(servers int) Env {
	grant := Grant{Session: Session{Node: "edge-sala-verona-35", Agent: 1 << 50, Router: 1 << 51, N: 3}, Seq: 1234, Len: 2_000_000_000, Duty: 3, Routers: 295, Seats: map[ident.Server]int{}}
	for i := range servers {
		grant.Seats[ident.Server(fmt.Sprintf("i-b317bf%04x", i))] = 2300 + i
	}
	return Env{From: Sibling{ID: "loop-sala-brescia-1", Addr: "10.1.64.1:7100"}, To: Sibling{ID: "edge-sala-verona-35", Addr: "10.1.0.35:7100"}, Body: grant}
}

func BenchmarkReadRenewal(b *testing.B) {
	raw, err := Pack(largeRenewal(20, 20))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := Unpack(raw)
		require.NoError(b, err)
	}
}

func BenchmarkWriteGrant(b *testing.B) {
	e := largeGrant(100)
	b.ReportAllocs()
	for b.Loop() {
		_, err := Pack(e)
		require.NoError(b, err)
	}
}

// BenchmarkWriteNews encodes an enlarged entry for one of many routers.
func BenchmarkWriteNews(b *testing.B) {
	entry, packed := Entry{Key: "motore-ruoli|bada37de49e+filo770", Mark: 1 << 60}, &Packed{}
	for i := range 6 {
		entry.Replicas = append(entry.Replicas, Replica{Server: ident.Server(fmt.Sprintf("i-b317bf%04x", i)), Addr: "10.3.64.40:8288", Zone: "sala-brescia", Slots: 96, Warm: 1 << 40})
	}
	e := largeGrant(0)
	e.Body = News{Session: e.Body.(Grant).Session, Duty: 3, Items: []Item{{Num: 815, Entry: &entry, Packed: packed}}}
	b.ReportAllocs()
	for b.Loop() {
		_, err := Pack(e)
		require.NoError(b, err)
	}
}
