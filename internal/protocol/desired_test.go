package protocol

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// A desired state comes back as it was, also from what earlier versions wrote, and a large plan is
// small on its way; an item that goes to many is the same bytes for each.
func TestDesiredTravels(t *testing.T) {
	d := Desired{Gen: 3, Epoch: 7, Plan: bytes.Repeat([]byte(`{"label":"route","host":"a.example"},`), 3000), Done: []Change{{ID: "x", Epoch: 7}}}
	raw, err := json.Marshal(d)
	require.NoError(t, err)
	require.Less(t, len(raw), len(d.Plan)/10)
	var got Desired
	require.NoError(t, json.Unmarshal(raw, &got))
	require.Equal(t, d, got)
	old, err := json.Marshal(plainDesired(d))
	require.NoError(t, err)
	got = Desired{}
	require.NoError(t, json.Unmarshal(old, &got))
	require.Equal(t, d, got)
	require.Error(t, json.Unmarshal([]byte(`{"z":"AAAA"}`), &got))

	share := &Packed{}
	one, err := Pack(Env{Body: News{Items: []Item{{Num: 1, Desired: &d, Packed: share}}}})
	require.NoError(t, err)
	two, err := Pack(Env{Body: News{Items: []Item{{Num: 1, Desired: &d, Packed: share}}}})
	require.NoError(t, err)
	require.Equal(t, one, two)
	e, err := Unpack(one)
	require.NoError(t, err)
	require.Equal(t, d, *e.Body.(News).Items[0].Desired)
	two, err = Pack(Env{Body: News{Items: []Item{{Num: 4, Break: "k"}, {Num: 5}}}})
	require.NoError(t, err)
	e, err = Unpack(two)
	require.NoError(t, err)
	require.Equal(t, []Item{{Num: 4, Break: "k"}, {Num: 5}}, e.Body.(News).Items)
}
