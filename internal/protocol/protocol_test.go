package protocol

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
)

// Each kind of message is unchanged by encoding and decoding.
func TestPack(t *testing.T) {
	self, peer, relay := Peer{"a", "1"}, Peer{"b", "2"}, Peer{"c", "3"}
	for name, msgType := range kinds {
		body := reflect.New(msgType).Elem().Interface()
		raw, err := Pack(Envelope{From: self, To: peer, RelayedBy: relay, Body: body})
		require.NoError(t, err, name)
		e, err := Unpack(raw)
		require.NoError(t, err, name)
		require.Equal(t, Envelope{From: self, To: peer, RelayedBy: relay, Body: body}, e)
	}
	d := &Desired{Epoch: 3, Plan: []byte("{ }\n"), Voters: []Voter{{Peer: self, Incarnation: 9}}}
	raw, err := Pack(Envelope{From: self, To: peer, Body: Updates{Items: []Update{{Num: 1, Desired: d}}}})
	require.NoError(t, err)
	e, err := Unpack(raw)
	require.NoError(t, err)
	require.Equal(t, d, e.Body.(Updates).Items[0].Desired)
}

// Kinds are exchanged between processes of different versions: each message keeps its kind when its Go type is renamed.
func TestKinds(t *testing.T) {
	messages := map[string]any{
		"Probe":        Probe{},
		"ProbeAck":     ProbeAck{},
		"ProbeFor":     IndirectProbe{},
		"Prepare":      Prepare{},
		"Promise":      Promise{},
		"Accept":       Accept{},
		"Accepted":     Accepted{},
		"Query":        Query{},
		"State":        State{},
		"Release":      Release{},
		"Fetch":        FetchValue{},
		"Value":        FetchedValue{},
		"Renew":        Renew{},
		"Grant":        Grant{},
		"NotOwner":     NotOwner{},
		"News":         Updates{},
		"Heard":        Ack{},
		"Want":         EntryRequest{},
		"Removal":      DroppedEntries{},
		"Hold":         RouterLease{},
		"Hello":        RouterReport{},
		"Keep":         RecoveryQuery{},
		"Kept":         RecoveryReply{},
		"Taken":        ValueChosen{},
		"Forward":      ForwardChange{},
		"Forwarded":    ForwardReply{},
		"Listing":      ServerList{},
		"Look":         ReachQuery{},
		"Looked":       ReachReply{},
		"Beacons":      Announcements{},
		"BeaconsHeard": AnnouncementsAck{},
		"RollCall":     RegistryQuery{},
		"Roll":         RegistryReply{},
	}
	require.Len(t, kinds, len(messages))
	for kind, message := range messages {
		require.Equal(t, kind, Kind(message))
		require.Equal(t, reflect.TypeOf(message), kinds[kind])
	}
	require.Equal(t, "int", Kind(1))
}

func TestUnpackInvalid(t *testing.T) {
	for _, raw := range []string{``, `{`, `{"k":"Nothing","b":{}}`, `{"k":"News","b":7}`, `[]`} {
		_, err := Unpack([]byte(raw))
		require.Error(t, err, raw)
	}
}

// A message sent through a relay reaches its recipient, and the reply returns through the same relay.
func TestRelay(t *testing.T) {
	self, core, relay := Peer{"agent", "1"}, Peer{"controller", "2"}, Peer{"sib", "3"}
	request := Envelope{From: self, To: core, Via: relay, Body: Renew{}}
	require.Equal(t, relay, request.NextHop())
	relayed := request.Relay(relay)
	require.Equal(t, core, relayed.NextHop())
	reply := relayed.Reply(core, Grant{})
	require.Equal(t, relay, reply.NextHop())
	require.Equal(t, self, reply.To)
	require.Equal(t, self, reply.Relay(relay).NextHop())
}

// An invalid name chosen by a client or server must not prevent the whole message from being sent.
func TestInvalidNamesDoNotPreventSending(t *testing.T) {
	bodies := []any{
		EntryRequest{Key: "llm|\xff\xfe"},
		Renew{KeyLoads: map[ident.Key]KeyLoad{"llm|\xff": {Waiting: 1}, "llm|\xfe": {Waiting: 1}, "llm|m": {Waiting: 2}}},
		Announcements{Announcements: []Announcement{{ListedServer: ListedServer{ID: "s\xff", State: "live"}}, {ListedServer: ListedServer{ID: "s", State: "live"}}}},
		Updates{Items: []Update{{Num: 1, Entry: &Entry{Key: "llm|\xff"}}, {Num: 2, Break: "llm|\xff"}}},
	}
	for _, body := range bodies {
		raw, err := Pack(Envelope{Body: body})
		require.NoError(t, err, "%T", body)
		e, err := Unpack(raw)
		require.NoError(t, err, "%T", body)
		require.IsType(t, body, e.Body)
	}
}
