package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
)

// announceTo announces a reachable server to a core and reports whether that was acknowledged.
func announceTo(k *Core, id string, count uint64, keys int) bool {
	b := newAnnouncement(id, "live", count)
	b.Addr = id
	for n := range keys {
		b.ReadyKeys = append(b.ReadyKeys, ident.Key(fmt.Sprintf("%s-%d", id, n)))
	}
	k.onAnnounce(Announce{Token: 1, Beacon: b, Reachable: true})
	return k.enrolledServers[b.ID] != nil && k.enrolledServers[b.ID].Count == count
}

// Servers that nobody else knows of cannot take all of a core node's memory: new ones are refused beyond the limit, those that
// are known may still grow within bounds, and there is room again once silent ones have been removed.
func TestAnnouncedServersAreLimited(t *testing.T) {
	const servers = 10
	k := New(Options{Enrolled: true, RegistryBytes: servers * enrolledServerBytes, SilenceTimeout: 1e9})
	k.began, k.now = true, 1e9
	for n := range servers {
		require.True(t, announceTo(k, fmt.Sprint("s", n), 1, 0))
	}
	require.False(t, announceTo(k, "late", 1, 0))
	require.Equal(t, uint64(1), k.tally.BeaconsRefused)
	growth := servers * enrolledServerBytes / enrolledKeyBytes
	require.True(t, announceTo(k, "s0", 2, growth), "a server loads models")
	require.True(t, announceTo(k, "s0", 3, growth), "and goes on announcing them")
	require.False(t, announceTo(k, "s1", 2, growth))
	require.True(t, announceTo(k, "s1", 2, 0))
	k.now = k.now.Add(goneAfterSilences*k.o.SilenceTimeout + 1)
	k.expireServers()
	k.now = k.now.Add(goneEnrolmentRetention + 1)
	k.expireServers()
	require.True(t, announceTo(k, "late", 2, 0))
}

// A known server that leaves is heard even if nothing more of it can be recorded: it is not offered any more, and loses
// nothing by what is left out.
func TestKnownServersLeaveBeyondTheLimit(t *testing.T) {
	const servers = 2
	k := New(Options{Enrolled: true, RegistryBytes: servers * enrolledServerBytes, SilenceTimeout: 1e9})
	k.began, k.now = true, 1e9
	require.True(t, announceTo(k, "s0", 1, 0))
	leave := newAnnouncement("s0", "leaving", 2)
	leave.Addr = "s0"
	for n := range growthFactor * servers * enrolledServerBytes / enrolledKeyBytes {
		leave.ReadyKeys = append(leave.ReadyKeys, ident.Key(fmt.Sprint("k", n)))
	}
	k.onAnnounce(Announce{Token: 2, Beacon: leave})
	require.Equal(t, "leaving", k.enrolledServers["s0"].State)
	require.LessOrEqual(t, k.registryBytes(), growthFactor*k.o.RegistryBytes)
	require.Zero(t, k.tally.BeaconsRefused)

	unknown := newAnnouncement("s1", "leaving", 1)
	unknown.Addr, unknown.ReadyKeys = "s1", leave.ReadyKeys
	k.onAnnounce(Announce{Token: 3, Beacon: unknown})
	require.Nil(t, k.enrolledServers["s1"], "an unknown server is refused: it was never offered")
	require.Equal(t, uint64(1), k.tally.BeaconsRefused)
}

// Servers that nobody can reach take a part of the memory only, however many are announced: one that can be reached has room.
func TestUnreachableServersLeaveRoom(t *testing.T) {
	const servers = 10
	k := New(Options{Enrolled: true, RegistryBytes: servers * enrolledServerBytes, SilenceTimeout: 1e9})
	k.began, k.now = true, 1e9
	answerTo := func(id string, reachable bool) Announced {
		k.out = nil
		b := newAnnouncement(id, "live", 1)
		b.Addr = id
		k.onAnnounce(Announce{Token: 1, Beacon: b, Reachable: reachable})
		require.NotEmpty(t, k.out)
		answer, ok := k.out[len(k.out)-1].(Announced)
		require.True(t, ok)
		return answer
	}
	for n := range 3 * servers {
		require.Equal(t, n >= servers/reachableFraction, answerTo(fmt.Sprint("false", n), false).IfReachable)
	}
	require.Len(t, k.enrolledServers, servers/reachableFraction)
	require.True(t, answerTo("false0", false).OK, "a known server goes on announcing itself")
	for n := range servers - servers/reachableFraction {
		id := fmt.Sprint("true", n)
		require.True(t, answerTo(id, false).IfReachable)
		require.True(t, answerTo(id, true).OK)
	}
	require.Equal(t, Announced{Token: 1}, answerTo("late", true), "the limit holds for all of them together")
}
