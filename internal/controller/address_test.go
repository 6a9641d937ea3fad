package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Guards against orders that reach the wrong server. In simulator scenes narrow-owner (padana, seed 50) and
// keys-troubles (corrib, seed 17), a server was ordered to unload a model while routers held callbacks on its
// replica, and a server without models was ordered to load one.
//
// A server crashes silently and another one starts at its address. The next leader knows the crashed server from
// its predecessor's list, requests a report from that address, gets the report of the other server and sends
// orders based on it. The cause was that an address was taken for an identity: entries of the last list were added
// without a check of who has the address now, and requests and orders did not name the server.

// setLastList makes a server known to a node only from the previous leader's list.
func (c *cluster) setLastList(node string, l protocol.ListedServer) {
	k := c.nodes[node]
	k.removeEnrolled(l.ID)
	k.list = ServerList{Duty: k.leadership.highestTerm, List: []protocol.ListedServer{l}}
}

// takeOver partitions leaders until the given node is the leader.
func (c *cluster) takeOver(t *testing.T, next string) {
	for _, id := range []string{"a", "b", "c"} {
		if id != next && c.owner() == id {
			c.partitioned[id] = true
		}
	}
	require.True(t, c.until(9e9, func() bool { return c.owner() == next }))
}

// newListedCluster returns a cluster whose leader is not b, so that b can take over.
func newListedCluster(t *testing.T, keys ...ident.Key) *cluster {
	c := newTunedCluster(t, withFloor(modelPlan(12, keys...), 1, keys...), func(*Options) {}, "a", "b", "c")
	c.run(1e9)
	require.NotEqual(t, "b", c.owner())
	return c
}

// A server of the last list whose address now belongs to an enrolled server is removed.
func TestCrashedServerFromTheList(t *testing.T) {
	c := newListedCluster(t, "llm|m")
	m := c.serve("new", "llm|m")
	c.run(2e9)
	old := m.ListedServer
	old.ID = "old"
	c.setLastList("b", old)
	c.takeOver(t, "b")
	require.Nil(t, c.leader().servers["old"])
	c.run(5e9)
	require.Nil(t, c.leader().servers["old"])
	require.NotNil(t, c.leader().servers["new"])
}

// If a server from the last list has lost its address to one that is not yet known, that one carries out no
// order meant for the first, and the first answer reveals the mismatch.
func TestOrderAtAnAddressOfAnother(t *testing.T) {
	c := newListedCluster(t, "llm|m", "llm|n")
	m := c.serve("new", "llm|m")
	m.unannounced = true
	old := m.ListedServer
	old.ID = "old"
	c.setLastList("b", old)
	c.takeOver(t, "b")
	c.run(10e9)
	require.Zero(t, m.count, "an order for one server must not be carried out by another")
	require.Equal(t, "gone", c.leader().servers["old"].State)
	refused := 0
	for _, o := range c.sentOrders {
		if o.node == "b" {
			require.Equal(t, statusWrongServer, o.code)
			refused++
		}
	}
	require.LessOrEqual(t, refused, 1)
}

// A server known only from the list is probed at once, and counts as unreachable after two missing answers.
func TestServersFromTheListAreAskedAtOnce(t *testing.T) {
	c := newListedCluster(t, "llm|m")
	gone := newAnnouncement("old", "live", 1).ListedServer
	gone.Service = "llm"
	c.setLastList("b", gone)
	c.takeOver(t, "b")
	require.True(t, c.leader().servers["old"].silent(c.leader()), "the start of a term must not count as an announcement of the server")
	require.True(t, c.until(3*c.leader().o.ServerTimeout+1e9, func() bool { return c.leader().servers["old"].unreachable }))
}

// An answer that names another server, or that says that the intended server is not there, proves nothing about
// the intended server's health.
func TestAnswerOfAnother(t *testing.T) {
	for _, x := range []struct {
		name   string
		result protocol.HTTPResult
		state  string
	}{
		{"of the intended server", protocol.HTTPResult{OK: true, Code: 200, Server: "s"}, "live"},
		{"an answer without a server name", protocol.HTTPResult{OK: true, Code: 200}, "live"},
		{"unhealthy, its own", protocol.HTTPResult{OK: true, Code: 503, Server: "s"}, "live"},
		{"of another server", protocol.HTTPResult{OK: true, Code: 200, Server: "other"}, "gone"},
		{"unhealthy, of another server", protocol.HTTPResult{OK: true, Code: 503, Server: "other"}, "gone"},
		{"misdirected", protocol.HTTPResult{OK: true, Code: 421}, "gone"},
		{"misdirected, with another server's name", protocol.HTTPResult{OK: true, Code: 421, Server: "other"}, "gone"},
		{"misdirected, but with its own name", protocol.HTTPResult{OK: true, Code: 421, Server: "s"}, "live"},
	} {
		c := newCluster(t, modelPlan(12, "llm|m"), "a")
		k := c.leader()
		b := newAnnouncement("s", "live", 1)
		b.Service = "web"
		v := k.plan.Services["llm"]
		v.Plain, v.Keys = true, map[ident.Key]bool{"web|": true}
		k.plan.Services["web"] = v
		c.announce("a", b)
		s := k.servers["s"]
		require.True(t, s.plain, x.name)
		k.out = nil
		k.checkAlive(s)
		require.Len(t, k.out, 1)
		a := k.out[0].(protocol.HTTPRequest)
		require.Equal(t, ident.Server("s"), a.Server)
		x.result.Token = a.Token
		c.step("a", x.result)
		require.Equal(t, x.state, k.servers["s"].State, x.name)
		require.Equal(t, x.state == "live", k.open(k.servers["s"]), x.name)
	}
}
