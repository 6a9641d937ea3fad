package protocol

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// A desired state is unchanged by encoding and decoding, including the plain encoding of earlier versions. A large
// plan is compressed well, and an item sent to many routers has the same bytes for each.
func TestDesiredEncoding(t *testing.T) {
	desired := Desired{Gen: 3, Epoch: 7, Plan: bytes.Repeat([]byte(`{"label":"route","host":"a.example"},`), 3000), AppliedChanges: []Change{{ID: "x", Epoch: 7}}}
	raw, err := json.Marshal(desired)
	require.NoError(t, err)
	require.Less(t, len(raw), len(desired.Plan)/10)
	var got Desired
	require.NoError(t, json.Unmarshal(raw, &got))
	require.Equal(t, desired, got)
	plain, err := json.Marshal(plainDesired(desired))
	require.NoError(t, err)
	got = Desired{}
	require.NoError(t, json.Unmarshal(plain, &got))
	require.Equal(t, desired, got)
	require.Error(t, json.Unmarshal([]byte(`{"z":"AAAA"}`), &got))

	shared := &SharedEncoding{}
	first, err := Pack(Envelope{Body: Updates{Items: []Update{{Num: 1, Desired: &desired, Shared: shared}}}})
	require.NoError(t, err)
	second, err := Pack(Envelope{Body: Updates{Items: []Update{{Num: 1, Desired: &desired, Shared: shared}}}})
	require.NoError(t, err)
	require.Equal(t, first, second)
	e, err := Unpack(first)
	require.NoError(t, err)
	require.Equal(t, desired, *e.Body.(Updates).Items[0].Desired)
	second, err = Pack(Envelope{Body: Updates{Items: []Update{{Num: 4, Break: "k"}, {Num: 5}}}})
	require.NoError(t, err)
	e, err = Unpack(second)
	require.NoError(t, err)
	require.Equal(t, []Update{{Num: 4, Break: "k"}, {Num: 5}}, e.Body.(Updates).Items)
}
