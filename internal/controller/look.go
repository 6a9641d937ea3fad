package controller

import (
	"slices"

	"tidedeck/internal/ident"
)

// look is one look at placement: the families as they are asked for, and the servers as places for one more replica. What is
// known of a place holds until a replica comes or goes there, or a family that it holds becomes more or fewer.
type look struct {
	core      *Core
	families  families
	byService map[string][]*place // in the order of the servers' names
	byServer  map[ident.Server]*place
}

// place is a server that may load one more base.
type place struct {
	server         *server
	stale          bool
	free           int
	pending        int
	load           float64     // servers' worth of work
	evictable      []candidate // what may leave it, the cheapest for its size first
	evictableKnown bool        // may is known
}

// newLook begins a look.
func (c *Core) newLook() *look {
	l := &look{core: c, families: c.families(), byService: map[string][]*place{}, byServer: map[ident.Server]*place{}}
	for _, s := range c.fleet.ordered {
		if !c.acceptsLoads(s) {
			continue
		}
		p := &place{server: s, stale: true}
		l.byService[s.Service] = append(l.byService[s.Service], p)
		l.byServer[s.ID] = p
	}
	return l
}

// loads tells whether a server may be ordered to load anything at all.
func (c *Core) acceptsLoads(s *server) bool { return c.stays(s) && s.odd == "" && !s.plain && !s.alien }

// refresh finds anew what a place has, if that may have changed.
func (l *look) refresh(p *place) {
	if !p.stale {
		return
	}
	l.core.visit(len(p.server.spots))
	p.stale, p.evictableKnown = false, false
	p.free, p.pending, p.load = p.server.free(), p.server.pending(), l.families.loadOf(p.server)
}

// changed notes that a family has become more or fewer at a server: what is known of all that hold it is out of date.
func (l *look) changed(key ident.Key, at *server) {
	l.outdate(at)
	for _, s := range l.core.holding(key) {
		l.outdate(s)
	}
}

func (l *look) outdate(s *server) {
	if p := l.byServer[s.ID]; p != nil {
		p.stale = true
	}
}

// placesFor lists where a family may be loaded: with the store, at any server of its service, and else only from a server's
// own disk.
func (l *look) placesFor(f *family, store bool) []*place {
	if store {
		return l.byService[f.model.Key.Service()]
	}
	var onDisk []*place
	for _, s := range l.core.serversWithOnDisk(f.model.Key) {
		if p := l.byServer[s.ID]; p != nil && s.Service == f.model.Key.Service() {
			onDisk = append(onDisk, p)
		}
	}
	return onDisk
}

// way is what must leave a place before a replica can be loaded there: the first so many of what may.
type way struct {
	leaves int
	cost   float64
}

// wayFor finds what must leave a place for one more replica of a family, if it can be loaded there at all and is worth it.
func (l *look) wayFor(p *place, f *family) (way, bool) {
	if p.server.room < f.model.Size || p.server.spots[f.model.Key] != nil {
		return way{}, false
	}
	l.refresh(p)
	if p.free >= f.model.Size {
		return way{}, true
	}
	if p.pending > 0 {
		return way{}, false // what is under way there comes first
	}
	if !p.evictableKnown || f.spare {
		p.evictable, p.evictableKnown = l.core.candidates(p.server, f, l.families), !f.spare
	}
	missing, w := f.model.Size-p.free, way{}
	for _, may := range p.evictable {
		if missing <= 0 {
			break
		}
		w.leaves++
		w.cost += may.cost
		missing -= may.size
	}
	return w, missing <= 0 && w.cost <= f.gain()
}

// leave begins to take what must leave off a place.
func (l *look) leave(p *place, w way) {
	for _, may := range slices.Clone(p.evictable[:w.leaves]) {
		l.core.evict(p.server, may.spot)
		if other := l.families[may.spot.key]; other != nil {
			other.live--
		}
		l.changed(may.spot.key, p.server)
	}
}
