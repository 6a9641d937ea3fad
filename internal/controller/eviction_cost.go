package controller

import (
	"cmp"
	"slices"
)

// Selection of the replicas to evict from a server: those whose loss costs least, measured by the requests
// that suffer until the replica could be loaded again.

const (
	lastReplicaCost           = 0.2  // fixed cost of evicting the only replica
	lastReplicaRecentWeight   = 2.0  // per recent request per second, for each second until the replica could be back
	lastReplicaLongTermWeight = 4.0  // per long-term request per second; steady demand is likely to return
	maxRateForPrefetch        = 0.05 // requests per second; a prefetch may evict bases up to this rate if the server has them on disk
)

// The cost of evicting one of several replicas depends on the load that remains for each of the others.
var (
	overloadedCost  = removalCost{1, 2}      // above overloadThreshold
	aboveTargetCost = removalCost{0.3, 0.5}  // above targetLoad
	belowTargetCost = removalCost{0.05, 0.1} // at most targetLoad
)

// removalCost is the cost of one replica less: a fixed part, and a part for each request per second.
type removalCost struct{ fixed, perRate float64 }

func (m removalCost) forRate(rate float64) float64 { return m.fixed + m.perRate*rate }

// eviction is a set of replicas to evict from a server, and its cost.
type eviction struct {
	replicas []*modelReplica
	cost     float64
}

// planEviction finds the cheapest evictions that free the given room on a server for a family. It returns
// false if all candidates together don't free enough.
func (c *Core) planEviction(s *server, f *family, l families, size int) (eviction, bool) {
	var out eviction
	for _, candidate := range c.evictionCandidates(s, f, l) {
		if size <= 0 {
			break
		}
		out.replicas = append(out.replicas, candidate.replica)
		out.cost += candidate.cost
		size -= candidate.size
	}
	return out, size <= 0
}

// evictionCandidate is a replica that may be evicted, the cost of doing so, and the room that it frees
// together with its adapters.
type evictionCandidate struct {
	replica *modelReplica
	cost    float64
	size    int
}

// evictionCandidates lists the bases that may be evicted from a server for a family, lowest cost per size
// first.
func (c *Core) evictionCandidates(s *server, f *family, l families) []evictionCandidate {
	c.countVisits(len(s.replicas))
	var all []evictionCandidate
	for key, p := range s.replicas {
		if key.IsAdapter() || key == f.model.Key.Base() || !c.mayRemove(p) {
			continue
		}
		switch other := l[key]; {
		case other == nil:
			all = append(all, evictionCandidate{p, 0, s.sizeWithAdapters(p)}) // not in the plan
		case c.canSpare(s, other, f):
			all = append(all, evictionCandidate{p, other.costOfRemoval(), s.sizeWithAdapters(p)})
		}
	}
	slices.SortFunc(all, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.cost*float64(b.replica.size), b.cost*float64(a.replica.size)), cmp.Compare(a.replica.key, b.replica.key))
	})
	return all
}

// mayRemove reports whether a replica has been ready for at least freshness and is not part of a move.
func (c *Core) mayRemove(p *modelReplica) bool {
	return p.stage == Ready && c.now.Sub(p.readySince) >= freshness && c.moves[p.key] == nil
}

// canSpare reports whether a family can lose a replica on a server in favour of another family.
func (c *Core) canSpare(s *server, f, requester *family) bool {
	if f.live <= f.model.MinReplicas || f.waiting > 0 && f.live <= f.wanted {
		return false
	}
	if requester.prefetch { // a prefetch may evict only rarely requested models that the server has on its own disk
		return f.live <= 1 && f.longTermRate <= maxRateForPrefetch && c.mayHaveOnDisk(s, f.model.Key)
	}
	return true
}

// costOfRemoval is the cost of one replica less: the requests that suffer until it could be loaded again.
func (f *family) costOfRemoval() float64 {
	if f.live <= 1 {
		return lastReplicaCost + (lastReplicaRecentWeight*f.rate+lastReplicaLongTermWeight*f.longTermRate)*f.model.LoadTime.Seconds()
	}
	switch left := f.load / float64(f.live-1); {
	case left > overloadThreshold:
		return overloadedCost.forRate(f.rate)
	case left > targetLoad:
		return aboveTargetCost.forRate(f.rate)
	default:
		return belowTargetCost.forRate(f.rate)
	}
}

// sizeWithAdapters returns the room taken by a base and the adapters that are evicted with it.
func (s *server) sizeWithAdapters(base *modelReplica) int {
	sum := base.size
	for key, p := range s.replicas {
		if key != base.key && key.Base() == base.key {
			sum += p.size
		}
	}
	return sum
}

// evictAll starts the eviction of replicas from a server and updates the replica counts of their families.
func (l *placementPass) evictAll(s *server, out []*modelReplica) {
	for _, p := range out {
		l.core.evict(s, p)
		if f := l.families[p.key]; f != nil {
			f.live--
		}
		l.invalidateHolders(p.key, s)
	}
}
