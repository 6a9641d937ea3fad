package protocol

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
)

// Every message that is known comes out as it went in.
func TestPack(t *testing.T) {
	me, you, by := Sibling{"a", "1"}, Sibling{"b", "2"}, Sibling{"c", "3"}
	for name, typ := range kinds {
		b := reflect.New(typ).Elem().Interface()
		raw, err := Pack(Env{From: me, To: you, By: by, Body: b})
		require.NoError(t, err, name)
		e, err := Unpack(raw)
		require.NoError(t, err, name)
		require.Equal(t, Env{From: me, To: you, By: by, Body: b}, e)
	}
	d := &Desired{Epoch: 3, Plan: []byte("{ }\n"), Voters: []Voter{{Sibling: me, Inc: 9}}}
	raw, err := Pack(Env{From: me, To: you, Body: News{Items: []Item{{Num: 1, Desired: d}}}})
	require.NoError(t, err)
	e, err := Unpack(raw)
	require.NoError(t, err)
	require.Equal(t, d, e.Body.(News).Items[0].Desired)
}

func TestUnpackBad(t *testing.T) {
	for _, s := range []string{``, `{`, `{"k":"Nothing","b":{}}`, `{"k":"News","b":7}`, `[]`} {
		_, err := Unpack([]byte(s))
		require.Error(t, err, s)
	}
}

// A message through a sibling reaches its end, and its answer comes back the same way.
func TestRelay(t *testing.T) {
	me, core, sib := Sibling{"agent", "1"}, Sibling{"controller", "2"}, Sibling{"sib", "3"}
	out := Env{From: me, To: core, Via: sib, Body: Renew{}}
	require.Equal(t, sib, out.Hop())
	on := out.Carry(sib)
	require.Equal(t, core, on.Hop())
	back := on.Reply(core, Grant{})
	require.Equal(t, sib, back.Hop())
	require.Equal(t, me, back.To)
	require.Equal(t, me, back.Carry(sib).Hop())
}

// A name that a caller or a server made up must not keep a whole message from being sent.
func TestNamesThatAreNoTextDoNotSpoilAMessage(t *testing.T) {
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
