package router

import (
	"fmt"
	"hash/fnv"
	"math"
	"sort"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Choice of a replica for servers that report their load and remember the IDs of the requests that they ran.

// server returns the load record of a server and creates it if necessary.
func (c *Core) server(id ident.Server) *serverLoad {
	load := c.servers[id]
	if load == nil {
		load = &serverLoad{inFlightByKey: map[ident.Key]int{}}
		c.servers[id] = load
	}
	return load
}

// concurrencyLimits returns how many requests this router may have in flight at a replica: its share of the server's
// capacity for all keys together, and the limit for the entry's key, which grows over the ramp time while the replica
// is cold.
func (c *Core) concurrencyLimits(e *cacheEntry, p *protocol.Replica) (limit, coldLimit int) {
	n := math.Ceil(2 * float64(p.Slots) / float64(max(1, c.routers)))
	limit = max(1, int(n))
	age := p.ReadyFor + c.now.Sub(e.receivedAt)
	if age >= c.o.Ramp {
		return limit, limit
	}
	return limit, max(1, int(n*float64(age)/float64(c.o.Ramp)))
}

// rendezvousHash returns the rendezvous hash of a request and a server, which is the same at every router. With
// byParts set, it covers the leading shared parts of the prompt, up to maxParts of them if that is not zero; otherwise
// it covers the request ID.
func rendezvousHash(r *request, server ident.Server, byParts bool, maxParts int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, server, "|", r.key.Base())
	if byParts = byParts && len(r.Call.Request.Parts) > 0; !byParts {
		fmt.Fprint(h, "|", r.Call.Request.ID)
	}
	for i, part := range r.Call.Request.Parts {
		if byParts && (maxParts == 0 || i < maxParts) {
			fmt.Fprint(h, "|", part)
		}
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// pinnedReplica returns the replica for a request that may not be repeated. The request ID selects the same replica at
// every router, so a server that ran the request recognizes a repetition. Apart from excluded replicas, a replica is
// skipped only after two attempts of this request failed to reach it.
func (c *Core) pinnedReplica(e *cacheEntry, r *request) *protocol.Replica {
	var best *protocol.Replica
	bestHash := uint64(0)
	for i := range e.Replicas {
		p := &e.Replicas[i]
		unreached := 0
		for _, attempt := range r.attempts {
			if attempt.Server == p.Server && attempt.Outcome == Unsent {
				unreached++
			}
		}
		if c.excluded(p) || unreached >= 2 {
			continue
		}
		if hash := rendezvousHash(r, p.Server, false, 0); best == nil || hash > bestHash {
			best, bestHash = p, hash
		}
	}
	return best
}

// maxLoadFactor is the ratio to the mean load of all candidates up to which a replica, apart from one extra request,
// still receives the requests whose shared parts hash to it.
const maxLoadFactor = 1.25

// chooseReplica selects a replica by rendezvous hash over the prompt's shared parts, among the replicas whose load is
// within maxLoadFactor of the mean. If there is none, it selects the least loaded replica.
func (c *Core) chooseReplica(e *cacheEntry, r *request) *protocol.Replica {
	if c.o.StatelessServers {
		return c.leastLoaded(e, r)
	}
	var only *protocol.Replica
	if !r.repeatable() && !c.o.StatelessServers {
		if only = c.pinnedReplica(e, r); only == nil {
			return nil
		}
	}
	candidates, maxLoad := c.available(e, only)
	if len(candidates) == 0 {
		return nil
	}
	byParts := len(r.Call.Request.Parts) > 0 && !c.o.NoAffinity
	hash := func(p *protocol.Replica) uint64 { return rendezvousHash(r, p.Server, byParts, c.o.AffinityParts) }
	withinBound := func(p *protocol.Replica) bool { return c.relativeLoad(p) <= maxLoad+1/float64(max(1, p.Slots)) }
	sort.SliceStable(candidates, func(i, j int) bool {
		p, q := candidates[i], candidates[j]
		if byParts {
			if pWithin, qWithin := withinBound(p), withinBound(q); pWithin != qWithin {
				return pWithin
			} else if pWithin {
				return hash(p) > hash(q)
			}
		}
		if pLoad, qLoad := c.relativeLoad(p), c.relativeLoad(q); pLoad != qLoad {
			return pLoad < qLoad
		}
		return hash(p) > hash(q)
	})
	return candidates[0]
}

// hasOpenReplica reports whether any replica of an entry may receive another request for its key.
func (c *Core) hasOpenReplica(e *cacheEntry) bool {
	isOpen := c.isAvailable
	if c.o.StatelessServers {
		isOpen = c.isOpen
	}
	for i := range e.Replicas {
		p := &e.Replicas[i]
		if isOpen(e, p, c.server(p.Server)) {
			return true
		}
	}
	return false
}

// isAvailable reports whether a replica may receive another request of this router for the entry's key.
func (c *Core) isAvailable(e *cacheEntry, p *protocol.Replica, load *serverLoad) bool {
	if c.excluded(p) || c.now < load.avoidUntil {
		return false
	}
	limit, coldLimit := c.concurrencyLimits(e, p)
	return load.inFlight < limit && load.inFlightByKey[e.Key] < coldLimit
}

// relativeLoad returns this router's requests in flight at a replica, divided by the server's slots.
func (c *Core) relativeLoad(p *protocol.Replica) float64 {
	return float64(c.server(p.Server).inFlight) / float64(max(1, p.Slots))
}

// available returns the replicas that may receive another request of this router, limited to the replica only if it is
// not nil, and the highest relative load at which a candidate keeps its affinity.
func (c *Core) available(e *cacheEntry, only *protocol.Replica) (candidates []*protocol.Replica, maxLoad float64) {
	work, slots := 0, 0
	for i := range e.Replicas {
		p := &e.Replicas[i]
		b := c.server(p.Server)
		if only != nil && only != p {
			continue
		}
		if !c.isAvailable(e, p, b) {
			continue
		}
		work += b.inFlight
		slots += max(1, p.Slots)
		candidates = append(candidates, p)
	}
	return candidates, maxLoadFactor * float64(work) / float64(max(1, slots))
}
