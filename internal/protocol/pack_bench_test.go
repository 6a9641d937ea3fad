package protocol

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
)

// largeRenewal returns a router's renewal with requests for the given numbers of models and servers.
func largeRenewal(models, servers int) Envelope {
	renewal := Renew{Session: Session{Node: "edge-sala-verona-35", AgentIncarnation: 1 << 50, RouterIncarnation: 1 << 51, Num: 3}, Seq: 1234, Gen: 1, Epoch: 20, AckedNum: 815,
		KeyLoads: map[ident.Key]KeyLoad{}, TokensInProgress: map[ident.Server]int{}, TokenTimes: map[ident.Key]float64{}}
	for i := range models {
		key := ident.Key(fmt.Sprintf("motore-ruoli|bada%02de49e+filo%02d0", i, i))
		renewal.KeyLoads[key] = KeyLoad{Waiting: i % 2, Running: 1, Arrived: 2, TopValue: 3, ServerSeconds: 0.0123456789}
		if i%4 == 0 {
			renewal.TokenTimes[key.Base()] = 51234.56789
		}
	}
	for i := range servers {
		renewal.TokensInProgress[ident.Server(fmt.Sprintf("i-b317bf%04x", i))] = 2300 + i
	}
	return Envelope{From: Peer{ID: "edge-sala-verona-35", Addr: "10.1.0.35:7100"}, To: Peer{ID: "loop-sala-brescia-1", Addr: "10.1.64.1:7100"}, Body: renewal}
}

// largeGrant returns the leader's answer to a router that uses the given number of servers.
func largeGrant(servers int) Envelope {
	grant := Grant{Session: Session{Node: "edge-sala-verona-35", AgentIncarnation: 1 << 50, RouterIncarnation: 1 << 51, Num: 3}, Seq: 1234, Length: 2_000_000_000, Term: 3, Routers: 295, TokensInProgress: map[ident.Server]int{}}
	for i := range servers {
		grant.TokensInProgress[ident.Server(fmt.Sprintf("i-b317bf%04x", i))] = 2300 + i
	}
	return Envelope{From: Peer{ID: "loop-sala-brescia-1", Addr: "10.1.64.1:7100"}, To: Peer{ID: "edge-sala-verona-35", Addr: "10.1.0.35:7100"}, Body: grant}
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
	entry, packed := Entry{Key: "motore-ruoli|bada37de49e+filo770", Digest: 1 << 60}, &SharedEncoding{}
	for i := range 6 {
		entry.Replicas = append(entry.Replicas, Replica{Server: ident.Server(fmt.Sprintf("i-b317bf%04x", i)), Addr: "10.3.64.40:8288", Zone: "sala-brescia", Slots: 96, ReadyFor: 1 << 40})
	}
	e := largeGrant(0)
	e.Body = Updates{Session: e.Body.(Grant).Session, Term: 3, Items: []Update{{Num: 815, Entry: &entry, Shared: packed}}}
	b.ReportAllocs()
	for b.Loop() {
		_, err := Pack(e)
		require.NoError(b, err)
	}
}
