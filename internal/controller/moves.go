package controller

import (
	"fmt"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Moves balance the room used on servers and spread keys with a floor over zones. A key is loaded on the new
// server before it is evicted from the old one.

// replicaMove is a move in progress: the key is loaded on one server before it is evicted from the other.
type replicaMove struct{ from, to ident.Server }

// losingReplicas reports whether a recently used key is held only by servers that will not stay available.
// Such a key is loaded elsewhere before the next request.
func (c *Core) losingReplicas(k ident.Key) bool {
	for _, s := range c.holdersOf(k) {
		if p := s.replicas[k]; p != nil && s.known && !c.staysInService(s) && p.lastActive != 0 && c.now.Sub(p.lastActive) < c.o.MoveRecency {
			return true
		}
	}
	return false
}

// advanceMoves completes moves. When the new replica has been ready for MinResidence, the old one is evicted.
// A move ends without an eviction if its source or target is no longer available.
func (c *Core) advanceMoves() {
	for _, k := range generic.SortedKeys(c.moves) {
		m := c.moves[k]
		var source, target *modelReplica
		s, t := c.servers[m.from], c.servers[m.to]
		if s != nil {
			source = s.replicas[k]
		}
		if t != nil {
			target = t.replicas[k]
		}
		switch {
		case source == nil || target == nil || source.stage != Ready || !c.staysInService(t):
			delete(c.moves, k)
		case target.stage == Ready && c.now.Sub(target.readySince) > c.o.MinResidence:
			delete(c.moves, k) // the new replica has been ready long enough
			c.tally.Evened++
			c.evict(s, source)
		}
	}
}

// rebalance starts at most one move: if the servers have been unevenly filled for some time, or if all
// replicas of a key with a floor are in one zone. With steady load, neither occurs.
func (c *Core) rebalance() {
	if len(c.moves) > 0 || c.now.Sub(c.lastMoveAt) < c.o.RebalanceInterval {
		return
	}
	if k, from, to := c.findZoneMove(); from != nil {
		c.startMove(k, from, to)
		return
	}
	full, free := c.fullestAndEmptiest()
	if full == nil || fillRatio(full)-fillRatio(free) <= c.o.MinImbalance {
		c.imbalancedSince = 0
		return
	}
	if c.imbalancedSince == 0 {
		c.imbalancedSince = c.now
	}
	if c.now.Sub(c.imbalancedSince) < c.o.RebalanceInterval {
		return
	}
	// Choose the busiest replica that fits on the other server and is not so large that the move reverses the
	// imbalance.
	var best *modelReplica
	for _, k := range generic.SortedKeys(full.replicas) {
		p := full.replicas[k]
		if !c.movable(full, p, free) || float64(p.size)/float64(full.room)+float64(p.size)/float64(free.room) > fillRatio(full)-fillRatio(free) {
			continue
		}
		if best == nil || p.running > best.running || p.running == best.running && p.size > best.size {
			best = p
		}
	}
	if best != nil {
		c.startMove(best.key, full, free)
	}
}

func (c *Core) startMove(k ident.Key, from, to *server) {
	c.moves[k], c.lastMoveAt, c.imbalancedSince = &replicaMove{from.ID, to.ID}, c.now, 0
	c.putReplica(to, &modelReplica{key: k, size: c.sizeOf(k), stage: Ordered, stageSince: c.now})
	c.tally.Moves++
	c.logEvent(fmt.Sprintf("%s moves from %s to %s", k, from.ID, to.ID))
}

// fillRatio returns the share of a server's room that is used.
func fillRatio(s *server) float64 { return float64(s.used()) / float64(max(1, s.room)) }

// fullestAndEmptiest returns the fullest and the emptiest of the servers that stay available.
func (c *Core) fullestAndEmptiest() (full, free *server) {
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.staysInService(s) || s.contradiction != "" || s.room <= 0 {
			continue
		}
		if full == nil || fillRatio(s) > fillRatio(full) {
			full = s
		}
		if free == nil || fillRatio(s) < fillRatio(free) {
			free = s
		}
	}
	if full == free {
		return nil, nil
	}
	return full, free
}

// movable reports whether a replica may move between two servers: it carries no adapters, the target has room,
// and the key stays in at least as many zones as before.
func (c *Core) movable(s *server, p *modelReplica, to *server) bool {
	m, ok := c.plan.Models[p.key]
	if !ok || p.stage != Ready || c.hasAdapters(s, p) || c.now.Sub(p.readySince) < 2*c.o.MinResidence || !c.mayHold(to, p.key) || to.loading() > 0 || to.room-to.used() < m.Size {
		return false
	}
	has := c.replicasOf(p.key)
	if has.count >= m.MaxReplicas {
		return false // the key would have more replicas than allowed during the move
	}
	return len(has.zones) == 1 || s.Zone == to.Zone || !has.zones[to.Zone]
}

// findZoneMove finds a key with a floor of at least two whose replicas are all in one zone, and a server in
// another zone with room for it.
func (c *Core) findZoneMove() (ident.Key, *server, *server) {
	for _, k := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[k]
		has := c.replicasOf(k)
		if m.MinReplicas < 2 || has.count < 2 || len(has.zones) > 1 {
			continue
		}
		for _, id := range generic.SortedKeys(c.servers) {
			s := c.servers[id]
			p := s.replicas[k]
			if p == nil {
				continue
			}
			for _, to := range generic.SortedKeys(c.servers) {
				if t := c.servers[to]; t.Zone != s.Zone && c.movable(s, p, t) {
					return k, s, t
				}
			}
		}
	}
	return "", nil, nil
}
