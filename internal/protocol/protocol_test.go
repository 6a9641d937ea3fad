package protocol

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
)

// Each kind of message is unchanged by encoding and decoding.
func TestPack(t *testing.T) {
	self, peer, relay := Sibling{"a", "1"}, Sibling{"b", "2"}, Sibling{"c", "3"}
	for name, msgType := range kinds {
		body := reflect.New(msgType).Elem().Interface()
		raw, err := Pack(Env{From: self, To: peer, By: relay, Body: body})
		require.NoError(t, err, name)
		e, err := Unpack(raw)
		require.NoError(t, err, name)
		require.Equal(t, Env{From: self, To: peer, By: relay, Body: body}, e)
	}
	d := &Desired{Epoch: 3, Plan: []byte("{ }\n"), Voters: []Voter{{Sibling: self, Inc: 9}}}
	raw, err := Pack(Env{From: self, To: peer, Body: News{Items: []Item{{Num: 1, Desired: d}}}})
	require.NoError(t, err)
	e, err := Unpack(raw)
	require.NoError(t, err)
	require.Equal(t, d, e.Body.(News).Items[0].Desired)
}

// Kinds are exchanged between processes of different versions: each message keeps its kind when its Go type is renamed.
func TestKinds(t *testing.T) {
	messages := map[string]any{
		"Probe":        Probe{},
		"ProbeAck":     ProbeAck{},
		"ProbeFor":     ProbeFor{},
		"Prepare":      Prepare{},
		"Promise":      Promise{},
		"Accept":       Accept{},
		"Accepted":     Accepted{},
		"Query":        Query{},
		"State":        State{},
		"Release":      Release{},
		"Fetch":        Fetch{},
		"Value":        Value{},
		"Renew":        Renew{},
		"Grant":        Grant{},
		"NotOwner":     NotOwner{},
		"News":         News{},
		"Heard":        Heard{},
		"Want":         Want{},
		"Removal":      Removal{},
		"Hold":         Hold{},
		"Hello":        Hello{},
		"Keep":         Keep{},
		"Kept":         Kept{},
		"Taken":        Taken{},
		"Forward":      Forward{},
		"Forwarded":    Forwarded{},
		"Listing":      Listing{},
		"Look":         Look{},
		"Looked":       Looked{},
		"Beacons":      Beacons{},
		"BeaconsHeard": BeaconsHeard{},
		"RollCall":     RollCall{},
		"Roll":         Roll{},
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
	self, core, relay := Sibling{"agent", "1"}, Sibling{"controller", "2"}, Sibling{"sib", "3"}
	request := Env{From: self, To: core, Via: relay, Body: Renew{}}
	require.Equal(t, relay, request.Hop())
	relayed := request.Carry(relay)
	require.Equal(t, core, relayed.Hop())
	reply := relayed.Reply(core, Grant{})
	require.Equal(t, relay, reply.Hop())
	require.Equal(t, self, reply.To)
	require.Equal(t, self, reply.Carry(relay).Hop())
}

// An invalid name chosen by a client or server must not prevent the whole message from being sent.
func TestInvalidNamesDoNotPreventSending(t *testing.T) {
	bodies := []any{
		Want{Key: "llm|\xff\xfe"},
		Renew{Burden: map[ident.Key]Burden{"llm|\xff": {Wait: 1}, "llm|\xfe": {Wait: 1}, "llm|m": {Wait: 2}}},
		Beacons{List: []Beacon{{Listed: Listed{ID: "s\xff", State: "live"}}, {Listed: Listed{ID: "s", State: "live"}}}},
		News{Items: []Item{{Num: 1, Entry: &Entry{Key: "llm|\xff"}}, {Num: 2, Break: "llm|\xff"}}},
	}
	for _, body := range bodies {
		raw, err := Pack(Env{Body: body})
		require.NoError(t, err, "%T", body)
		e, err := Unpack(raw)
		require.NoError(t, err, "%T", body)
		require.IsType(t, body, e.Body)
	}
}
