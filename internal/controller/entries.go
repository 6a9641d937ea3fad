package controller

import (
	"fmt"
	"hash/fnv"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// An entry is the list of replicas of a key to which routers may send requests. A router that received an
// entry holds a callback for it. When an entry changes, its callbacks are broken before any other action that
// depends on the change.

// entry is the routing information of a key.
type entry struct {
	digest      ident.Digest
	unplaceable bool // no server could hold the key even if it were empty
	replicas    []entryReplica
}

// entryReplica is one server in an entry: its form in messages, and the state of the replica on it.
type entryReplica struct {
	wire  protocol.Replica
	state *modelReplica
}

// entryOf returns the entry of a key and creates it on first use.
func (c *Core) entryOf(k ident.Key) *entry {
	if e := c.entries[k]; e != nil {
		return e
	}
	e := &entry{}
	c.entries[k] = e
	c.buildEntry(k, e)
	return e
}

// buildEntry computes an entry from what the servers hold. Equal replica lists give equal digests.
func (c *Core) buildEntry(k ident.Key, e *entry) {
	e.replicas = nil
	h := fnv.New64a()
	for _, s := range c.holdersOf(k) {
		c.countVisits(1)
		p := s.spotFor(k)
		if p == nil || p.stage != Ready || !c.open(s) {
			continue
		}
		r := protocol.Replica{Server: s.ID, Addr: s.Addr, Zone: s.Zone, Incarnation: s.life, Slots: s.slots}
		e.replicas = append(e.replicas, entryReplica{r, p})
		fmt.Fprintf(h, "%s|%s|%d|%d;", r.Server, r.Addr, r.Incarnation, r.Slots)
	}
	e.unplaceable = len(e.replicas) == 0 && c.plan != nil && c.serversKnown() && !c.fitsSomewhere(k)
	if e.unplaceable {
		fmt.Fprint(h, "never")
	}
	e.digest = ident.Digest(h.Sum64())
}

// fitsSomewhere reports whether the total room of any available server suffices for a key.
func (c *Core) fitsSomewhere(k ident.Key) bool {
	if k.IsWholeService() {
		_, planned := c.plan.Services[k.Service()]
		return planned // servers of a planned service may appear at any time
	}
	m, ok := c.plan.Models[k]
	if !ok {
		return false
	}
	size := m.Size
	if k.IsAdapter() {
		size += c.plan.Models[k.Base()].Size
	}
	for _, s := range c.servers {
		// A server that does not answer or has not reported yet may return at any time.
		if c.inService(s) && (s.room >= size || !s.known) {
			return true
		}
	}
	return false
}

// refreshEntry recomputes the entry of a key. If the entry changed, every callback on it is broken or, where
// the change only adds replicas, extended at once.
func (c *Core) refreshEntry(k ident.Key) {
	e := c.entries[k]
	if e == nil {
		return
	}
	was, old := e.digest, e.replicas
	c.buildEntry(k, e)
	switch {
	case e.digest == was:
	case c.o.Unfenced && !e.unplaceable && containsAll(e.replicas, old):
		c.extendCallbacks(k, e, len(old) > 0)
	default:
		c.breakCallbacks(k, e)
	}
}

// containsAll reports whether a list of replicas contains all replicas of another list. The other list is then
// incomplete but contains no wrong replica.
func containsAll(list, old []entryReplica) bool {
	if len(list) == 0 {
		return false
	}
	has := map[ident.Server]protocol.Replica{}
	for _, r := range list {
		has[r.wire.Server] = r.wire
	}
	for _, r := range old {
		if has[r.wire.Server] != r.wire {
			return false
		}
	}
	return true
}

// refreshAllEntries recomputes every entry.
func (c *Core) refreshAllEntries() {
	for _, k := range generic.SortedKeys(c.entries) {
		c.refreshEntry(k)
	}
}

// refreshEntriesOf recomputes the entries of all keys that a server holds, and of its service.
func (c *Core) refreshEntriesOf(s *server) {
	if s.self != nil {
		c.refreshEntry(s.self.key)
	}
	for _, k := range generic.SortedKeys(s.replicas) {
		c.refreshEntry(k)
	}
}
