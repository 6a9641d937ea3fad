package protocol

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
)

// examples returns envelopes that contain each part with a custom encoding.
func examples() []Envelope {
	self, peer, relay := Peer{"a", "1"}, Peer{"b", "2"}, Peer{"c", "3"}
	session := Session{Node: "a", AgentIncarnation: 1, RouterIncarnation: 2, Num: 3}
	desired := &Desired{Gen: 2, Epoch: 3, Plan: []byte("{ }\n"), Voters: []Voter{{Peer: self, Incarnation: 9}}}
	member := Member{Peer: peer, Role: "agent", Zone: "z", Incarnation: 7, Status: "alive"}
	var all []Envelope
	for _, body := range []any{
		Probe{Seq: 1, Gossip: []Member{member}},
		IndirectProbe{Seq: 2, Target: peer, Gossip: []Member{member}},
		Accept{Round: 1, Ballot: Ballot{N: 1, By: "a"}, Value: *desired},
		FetchedValue{Round: 1, Value: desired},
		Updates{Session: session, Items: []Update{{Num: 1, Desired: desired}, {Num: 2, Break: "k"}, {Num: 3, Entry: &Entry{Key: "k", Replicas: []Replica{{Server: "s"}}}}}},
		Renew{Session: session, KeyLoads: map[ident.Key]KeyLoad{"k": {Arrived: 1, ServerSeconds: 0.5}}},
		Announcements{Announcements: []Announcement{{ListedServer: ListedServer{ID: "s", Addr: "4", State: "live"}, ReadyKeys: []ident.Key{"k"}}}},
	} {
		all = append(all, Envelope{From: self, To: peer, RelayedBy: relay, Body: body})
	}
	return all
}

// FuzzUnpack decodes arbitrary envelopes: whatever can be decoded can be encoded, and decodes to the same value
// again.
func FuzzUnpack(f *testing.F) {
	for _, e := range examples() {
		raw, err := Pack(e)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := Unpack(raw)
		if err != nil {
			return
		}
		first, err := Pack(e)
		require.NoError(t, err)
		again, err := Unpack(first)
		require.NoError(t, err)
		second, err := Pack(again)
		require.NoError(t, err)
		require.Len(t, second, len(first))
		last, err := Unpack(second)
		require.NoError(t, err)
		require.Equal(t, again, last) // map members are written in arbitrary order
	})
}

// FuzzDesired decodes desired states both from arbitrary compressed content and from arbitrary bytes.
func FuzzDesired(f *testing.F) {
	for _, raw := range []string{`{"gen":1,"epoch":2,"plan":"e30=","voters":[{"id":"a"}]}`, `{}`, `null`, `{"z":"AAAA"}`, `[`} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, sent := range [][]byte{raw, compressDesired(t, raw, nil)} {
			var d Desired
			if json.Unmarshal(sent, &d) != nil {
				continue
			}
			first, err := json.Marshal(d)
			require.NoError(t, err)
			var again Desired
			require.NoError(t, json.Unmarshal(first, &again))
			second, err := json.Marshal(again)
			require.NoError(t, err)
			require.Equal(t, string(first), string(second))
		}
	})
}

// compressDesired compresses bytes as in the encoding of a desired state, followed by other bytes.
func compressDesired(t testing.TB, raw, after []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(raw)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	encoded, err := json.Marshal(compressedDesired{append(b.Bytes(), after...)})
	require.NoError(t, err)
	return encoded
}

// Decoding a desired state fails if the decompressed size exceeds the limit, if the compressed content is truncated
// or is itself compressed, or if data follows it.
func TestDesiredInvalid(t *testing.T) {
	state := `{"gen":1,"epoch":2,"plan":"e30="}`
	for name, c := range map[string]struct {
		raw, after string
		good       bool
	}{
		"plain":              {raw: state, good: true},
		"at the bound":       {raw: state + strings.Repeat(" ", maxDesiredSize-len(state)), good: true},
		"over the bound":     {raw: state + strings.Repeat(" ", maxDesiredSize-len(state)+1)},
		"far over the bound": {raw: state + strings.Repeat(" ", 2*maxDesiredSize)},
		"followed by bytes":  {raw: state, after: "xyz"},
		"packed twice":       {raw: string(compressDesired(t, []byte(state), nil))},
		"cut short":          {raw: state[:20]},
		"null":               {raw: "null"},
		"empty":              {raw: ""},
	} {
		var d Desired
		err := json.Unmarshal(compressDesired(t, []byte(c.raw), []byte(c.after)), &d)
		require.Equal(t, c.good, err == nil, "%s: %v", name, err)
		require.Equal(t, c.good, d.Gen == 1, name)
	}
}

// Decoding a highly compressed desired state of excessive size uses little memory.
func TestDecompressionBombUsesLittleMemory(t *testing.T) {
	sent := compressDesired(t, bytes.Repeat([]byte(" "), 8*maxDesiredSize), nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var d Desired
	require.Error(t, json.Unmarshal(sent, &d))
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes sent, %d allocated", len(sent), allocated)
	require.Less(t, allocated, uint64(6*maxDesiredSize))
}
