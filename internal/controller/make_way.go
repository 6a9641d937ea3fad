package controller

import (
	"cmp"
	"slices"
)

// What makes way at a server: the replicas that are cheapest to let go, by the requests that will miss
// them until they could be back.

const (
	lastCost     = 0.2  // of letting the only replica go, whatever comes
	lastLateRate = 2.0  // of a request a second of late, for each second until the only replica is back
	lastSlowRate = 4.0  // and over a longer while: what has been asked for steadily will be again
	spareRate    = 0.05 // requests a second up to which a model from a server's own disk may make way for a spare one
)

// A further replica costs by the work that is left for each of the others.
var (
	missedFully  = missCost{1, 2}      // they are full
	missedPartly = missCost{0.3, 0.5}  // they take more than they should
	missedHardly = missCost{0.05, 0.1} // they do well
)

// missCost is what a replica less costs: a part whatever comes, and one for each request a second.
type missCost struct{ fixed, byRate float64 }

func (m missCost) at(rate float64) float64 { return m.fixed + m.byRate*rate }

// eviction is what must leave a server, and what that costs.
type eviction struct {
	spots []*spot
	cost  float64
}

// makeWay finds what is cheapest to let go of a server for a family, until so much room is free. It finds
// nothing where that does not suffice.
func (c *Core) makeWay(s *server, f *family, l families, size int) (eviction, bool) {
	var out eviction
	for _, candidate := range c.candidates(s, f, l) {
		if size <= 0 {
			break
		}
		out.spots = append(out.spots, candidate.spot)
		out.cost += candidate.cost
		size -= candidate.size
	}
	return out, size <= 0
}

// candidate is a replica that may leave, what that costs, and how much room it leaves with its adapters.
type candidate struct {
	spot *spot
	cost float64
	size int
}

// candidates lists the bases that may leave a server for a family, the cheapest for their size first.
func (c *Core) candidates(s *server, f *family, l families) []candidate {
	c.visit(len(s.spots))
	var all []candidate
	for key, p := range s.spots {
		if key.IsAdapter() || key == f.model.Key.Base() || !c.mayLeave(p) {
			continue
		}
		switch other := l[key]; {
		case other == nil:
			all = append(all, candidate{p, 0, s.sizeWithAdapters(p)}) // the plan does not name it
		case c.canSpare(s, other, f):
			all = append(all, candidate{p, other.miss(), s.sizeWithAdapters(p)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost*float64(b.spot.size), b.cost*float64(a.spot.size)), cmp.Compare(a.spot.key, b.spot.key))
	})
	return all
}

// mayLeave tells whether a replica has been ready for a while and is not being moved.
func (c *Core) mayLeave(p *spot) bool {
	return p.stage == Ready && c.now.Sub(p.ready) >= freshSpan && c.shifts[p.key] == nil
}

// canSpare tells whether a family can do with a replica less, at a server, for another family.
func (c *Core) canSpare(s *server, g, other *family) bool {
	if g.live <= g.model.Floor || g.waiting > 0 && g.live <= g.wanted {
		return false
	}
	if other.spare { // it takes no room but from what is hardly asked for, and comes back from the disk
		return g.live <= 1 && g.slow <= spareRate && c.has(s, g.model.Key)
	}
	return true
}

// miss is what one replica less of a family costs: the requests that suffer before it could be back.
func (f *family) miss() float64 {
	if f.live <= 1 {
		return lastCost + (lastLateRate*f.rate+lastSlowRate*f.slow)*f.model.Load.Seconds()
	}
	switch left := f.load / float64(f.live-1); {
	case left > fullLoad:
		return missedFully.at(f.rate)
	case left > goodLoad:
		return missedPartly.at(f.rate)
	default:
		return missedHardly.at(f.rate)
	}
}

// sizeWithAdapters tells how much room a base takes with the adapters that leave with it.
func (s *server) sizeWithAdapters(base *spot) int {
	sum := base.size
	for key, p := range s.spots {
		if key != base.key && key.Base() == base.key {
			sum += p.size
		}
	}
	return sum
}

// evictAll begins to take replicas off a server, and counts them out of their families.
func (l *look) evictAll(s *server, out []*spot) {
	for _, p := range out {
		l.core.evict(s, p)
		if g := l.families[p.key]; g != nil {
			g.live--
		}
		l.changed(p.key, s)
	}
}
