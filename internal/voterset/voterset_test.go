package voterset

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func voter(id, zone string, inc ident.Inc) protocol.Voter {
	return protocol.Voter{Sibling: protocol.Sibling{ID: ident.Node(id), Addr: "at-" + id}, Zone: ident.Zone(zone), Inc: inc}
}

func set(ids ...string) (l []protocol.Voter) {
	for _, id := range ids {
		l = append(l, voter(id, "z"+id, 1))
	}
	return l
}

// yes is what voters answered, each in its first life.
func yes(ids ...string) map[ident.Node]ident.Inc {
	m := map[ident.Node]ident.Inc{}
	for _, id := range ids {
		m[ident.Node(id)] = 1
	}
	return m
}

func TestMajority(t *testing.T) {
	for _, x := range []struct {
		name          string
		voters, prior []protocol.Voter
		yes           map[ident.Node]ident.Inc
		is            bool
	}{
		{"nobody votes", nil, nil, yes("a"), false},
		{"two of three", set("a", "b", "c"), nil, yes("a", "b"), true},
		{"one of three", set("a", "b", "c"), nil, yes("a"), false},
		{"half of four", set("a", "b", "c", "d"), nil, yes("a", "b"), false},
		{"others do not count", set("a", "b", "c"), nil, yes("a", "x", "y"), false},
		{"another life does not count", set("a", "b", "c"), nil, map[ident.Node]ident.Inc{"a": 1, "b": 2}, false},
		{"of both sets", set("a", "b", "d"), set("a", "b", "c"), yes("a", "b"), true},
		{"of the newer set only", set("a", "d", "e"), set("a", "b", "c"), yes("d", "e"), false},
		{"of the older set only", set("a", "d", "e"), set("a", "b", "c"), yes("b", "c"), false},
	} {
		require.Equal(t, x.is, Majority(protocol.Desired{Voters: x.voters, Prior: x.prior}, x.yes), x.name)
	}
}

func TestSameAndNames(t *testing.T) {
	require.True(t, Same(set("a", "b"), set("b", "a")))
	require.False(t, Same(set("a", "b"), set("a", "c")))
	require.False(t, Same(set("a"), set("a", "b")))
	require.False(t, Same(set("a"), []protocol.Voter{voter("a", "z", 2)}))
	require.True(t, Seats(set("a"), "a"))
	require.False(t, Names(set("a"), "a", 2))
	joint := protocol.Desired{Voters: set("a", "d"), Prior: set("a", "b")}
	require.True(t, In(joint, "b", 1))
	require.False(t, In(joint, "c", 1))
	require.Len(t, Addresses(joint), 3)
	require.Equal(t, 1, Changed(set("a", "b"), set("a", "c")))
	require.Equal(t, 1, Changed(set("a", "b"), set("a", "b", "c")))
	require.Equal(t, 2, Changed(set("a", "b", "c"), set("a")))
}

func TestNextSets(t *testing.T) {
	require.Equal(t, set("a", "c", "d"), Replace(set("a", "b", "d"), 1, set("c")[0]))
	require.Equal(t, set("a", "b", "c"), Add(set("a", "c"), set("b")[0]))
	voters := []protocol.Voter{voter("a", "z1", 1), voter("b", "z1", 1), voter("c", "z2", 1)}
	region := func(v protocol.Voter) string { return "r" }
	spares := []protocol.Voter{voter("d", "z1", 1), voter("e", "z3", 1)}
	require.Equal(t, spares[1], PickSpare(voters, 2, spares, region), "the zone with the fewest")
	require.Equal(t, []protocol.Voter{voters[1], voters[2], spares[1]}, Spread(voters, spares, Zone), "the loss of z1 would leave no majority")
	require.Nil(t, Spread(set("a", "b", "c"), spares, Zone))
	require.Equal(t, "voter set changes: [c] in, [b] out", Describe(set("a", "b"), set("a", "c")))
}
