package voterset

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func voter(id, zone string, inc ident.Incarnation) protocol.Voter {
	return protocol.Voter{Peer: protocol.Peer{ID: ident.Node(id), Addr: "at-" + id}, Zone: ident.Zone(zone), Incarnation: inc}
}

func voterSet(ids ...string) (l []protocol.Voter) {
	for _, id := range ids {
		l = append(l, voter(id, "z"+id, 1))
	}
	return l
}

// answers returns positive answers of the given voters, each with incarnation 1.
func answers(ids ...string) map[ident.Node]ident.Incarnation {
	m := map[ident.Node]ident.Incarnation{}
	for _, id := range ids {
		m[ident.Node(id)] = 1
	}
	return m
}

func TestMajority(t *testing.T) {
	for _, x := range []struct {
		name          string
		voters, prior []protocol.Voter
		yes           map[ident.Node]ident.Incarnation
		is            bool
	}{
		{"no voters", nil, nil, answers("a"), false},
		{"two of three", voterSet("a", "b", "c"), nil, answers("a", "b"), true},
		{"one of three", voterSet("a", "b", "c"), nil, answers("a"), false},
		{"half of four", voterSet("a", "b", "c", "d"), nil, answers("a", "b"), false},
		{"non-voters do not count", voterSet("a", "b", "c"), nil, answers("a", "x", "y"), false},
		{"another incarnation does not count", voterSet("a", "b", "c"), nil, map[ident.Node]ident.Incarnation{"a": 1, "b": 2}, false},
		{"majority of both sets", voterSet("a", "b", "d"), voterSet("a", "b", "c"), answers("a", "b"), true},
		{"majority of the newer set only", voterSet("a", "d", "e"), voterSet("a", "b", "c"), answers("d", "e"), false},
		{"majority of the older set only", voterSet("a", "d", "e"), voterSet("a", "b", "c"), answers("b", "c"), false},
	} {
		require.Equal(t, x.is, Majority(protocol.Desired{Voters: x.voters, PriorVoters: x.prior}, x.yes), x.name)
	}
}

func TestSameAndNames(t *testing.T) {
	require.True(t, Equal(voterSet("a", "b"), voterSet("b", "a")))
	require.False(t, Equal(voterSet("a", "b"), voterSet("a", "c")))
	require.False(t, Equal(voterSet("a"), voterSet("a", "b")))
	require.False(t, Equal(voterSet("a"), []protocol.Voter{voter("a", "z", 2)}))
	require.True(t, ContainsNode(voterSet("a"), "a"))
	require.False(t, Contains(voterSet("a"), "a", 2))
	joint := protocol.Desired{Voters: voterSet("a", "d"), PriorVoters: voterSet("a", "b")}
	require.True(t, IsVoter(joint, "b", 1))
	require.False(t, IsVoter(joint, "c", 1))
	require.Len(t, Peers(joint), 3)
	require.Equal(t, 1, CountChanged(voterSet("a", "b"), voterSet("a", "c")))
	require.Equal(t, 1, CountChanged(voterSet("a", "b"), voterSet("a", "b", "c")))
	require.Equal(t, 2, CountChanged(voterSet("a", "b", "c"), voterSet("a")))
}

func TestNextSets(t *testing.T) {
	require.Equal(t, voterSet("a", "c", "d"), Replace(voterSet("a", "b", "d"), 1, voterSet("c")[0]))
	require.Equal(t, voterSet("a", "b", "c"), Add(voterSet("a", "c"), voterSet("b")[0]))
	voters := []protocol.Voter{voter("a", "z1", 1), voter("b", "z1", 1), voter("c", "z2", 1)}
	region := func(v protocol.Voter) string { return "r" }
	spares := []protocol.Voter{voter("d", "z1", 1), voter("e", "z3", 1)}
	require.Equal(t, spares[1], PickSpare(voters, 2, spares, region), "the zone with the fewest voters")
	require.Equal(t, []protocol.Voter{voters[1], voters[2], spares[1]}, Spread(voters, spares, Zone), "the loss of z1 would leave no majority")
	require.Nil(t, Spread(voterSet("a", "b", "c"), spares, Zone))
	require.Equal(t, "voter set changes: [c] in, [b] out", Describe(voterSet("a", "b"), voterSet("a", "c")))
}
