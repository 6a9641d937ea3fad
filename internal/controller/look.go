package controller

import (
	"slices"

	"tidedeck/internal/ident"
)

// placementPass is the state of one placement pass: the replica counts and demand of the families, and the servers as
// targets for one more replica. Cached facts about a target hold until a replica is added or removed there, or
// the replica count of a family that it holds changes.
type placementPass struct {
	core      *Core
	families  families
	byService map[string][]*loadTarget // ordered by server ID
	byServer  map[ident.Server]*loadTarget
}

// loadTarget is a server that may load one more base model.
type loadTarget struct {
	server         *server
	stale          bool
	free           int
	pending        int
	load           float64             // work, in units of one server's capacity
	evictable      []evictionCandidate // replicas that may be evicted, the cheapest for its size first
	evictableKnown bool                // evictable is up to date
}

// newPlacementPass begins a placement pass.
func (c *Core) newPlacementPass() *placementPass {
	l := &placementPass{core: c, families: c.families(), byService: map[string][]*loadTarget{}, byServer: map[ident.Server]*loadTarget{}}
	for _, s := range c.serverIndex.sorted {
		if !c.acceptsLoads(s) {
			continue
		}
		p := &loadTarget{server: s, stale: true}
		l.byService[s.Service] = append(l.byService[s.Service], p)
		l.byServer[s.ID] = p
	}
	return l
}

// acceptsLoads reports whether a server may be ordered to load anything.
func (c *Core) acceptsLoads(s *server) bool {
	return c.staysInService(s) && s.contradiction == "" && !s.plain && !s.foreignOrder
}

// refresh recomputes the cached facts about a target if they are out of date.
func (l *placementPass) refresh(p *loadTarget) {
	if !p.stale {
		return
	}
	l.core.countVisits(len(p.server.replicas))
	p.stale, p.evictableKnown = false, false
	p.free, p.pending, p.load = p.server.free(), p.server.pending(), l.families.loadOf(p.server)
}

// invalidateHolders records that the replica count of a family changed at a server, which makes the cached facts about
// every holder of the family out of date.
func (l *placementPass) invalidateHolders(key ident.Key, at *server) {
	l.invalidate(at)
	for _, s := range l.core.holdersOf(key) {
		l.invalidate(s)
	}
}

// invalidate marks the cached facts about a server as out of date.
func (l *placementPass) invalidate(s *server) {
	if p := l.byServer[s.ID]; p != nil {
		p.stale = true
	}
}

// targetsFor returns the targets where a family may be loaded: with the store, any server of its service,
// otherwise only servers that have it on their own disk.
func (l *placementPass) targetsFor(f *family, store bool) []*loadTarget {
	if store {
		return l.byService[f.model.Key.Service()]
	}
	var onDisk []*loadTarget
	for _, s := range l.core.serversWithOnDisk(f.model.Key) {
		if p := l.byServer[s.ID]; p != nil && s.Service == f.model.Key.Service() {
			onDisk = append(onDisk, p)
		}
	}
	return onDisk
}

// evictionPlan is the set of evictions needed before a replica can be loaded at a target: the first so many of the
// evictable ones.
type evictionPlan struct {
	count int
	cost  float64
}

// planEvictions returns the evictions that one more replica of a family needs at a target, and whether the replica can
// be loaded there and is worth these evictions.
func (l *placementPass) planEvictions(p *loadTarget, f *family) (evictionPlan, bool) {
	if p.server.room < f.model.Size || p.server.replicas[f.model.Key] != nil {
		return evictionPlan{}, false
	}
	l.refresh(p)
	if p.free >= f.model.Size {
		return evictionPlan{}, true
	}
	if p.pending > 0 {
		return evictionPlan{}, false // pending loads and unloads there come first
	}
	if !p.evictableKnown || f.prefetch {
		p.evictable, p.evictableKnown = l.core.evictionCandidates(p.server, f, l.families), !f.prefetch
	}
	missing, w := f.model.Size-p.free, evictionPlan{}
	for _, victim := range p.evictable {
		if missing <= 0 {
			break
		}
		w.count++
		w.cost += victim.cost
		missing -= victim.size
	}
	return w, missing <= 0 && w.cost <= f.gain()
}

// beginEvictions begins the evictions at a target.
func (l *placementPass) beginEvictions(p *loadTarget, w evictionPlan) {
	for _, victim := range slices.Clone(p.evictable[:w.count]) {
		l.core.evict(p.server, victim.replica)
		if other := l.families[victim.replica.key]; other != nil {
			other.live--
		}
		l.invalidateHolders(victim.replica.key, p.server)
	}
}
