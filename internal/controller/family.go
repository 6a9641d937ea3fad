package controller

import (
	"math"
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// A family is a base model with all of its adapters. Adapters are served by the replicas of their base, so the
// number of base replicas follows from the work of the whole family.

const (
	targetLoad        = 0.4  // target share of a server's time for one replica
	overloadThreshold = 0.6  // load above which another replica may displace the only replica of a less used key
	targetSlotShare   = 0.15 // target share of a server's slots for the requests of one family

	// For this time after the first reports of routers, a new leader does not know the full demand yet.
	demandWarmup = 4e9

	priorityWeight = 2.0  // of a waiting request of the highest value; of rank r: divided by 1+r
	rateWeight     = 2.0  // weight of one request per second in the gain of another replica
	prefetchGain   = 0.5  // gain of a replica that is loaded ahead of demand
	minLoad        = 1e-9 // avoids a division by zero
)

// family is a base model with all of its adapters, as used by placement.
type family struct {
	model        fleetplan.Model
	live         int     // replicas that are ready or ordered
	wanted       int     // replicas that the family should have
	load         float64 // forecast work, in servers
	rate         float64 // requests per second, recent average
	longTermRate float64 // requests per second, long-term average
	waiting      int     // waiting requests at all routers
	underWay     int     // waiting and running requests at all routers
	age          float64 // seconds for which requests have waited
	value        int     // highest value among the waiting requests
	rank         int     // position of the value among those of the plan; 0 is the highest
	prefetch     bool    // loaded ahead of demand; may not displace models that are in use
}

// families maps each base of the plan to its family.
type families map[ident.Key]*family

// planBases lists the bases of a plan in order. The list is computed once per plan.
type planBases struct {
	plan     *fleetplan.Plan
	keys     []ident.Key
	meanLoad clock.Span // mean load time from the store
}

// bases returns the bases of the current plan.
func (c *Core) bases() *planBases {
	if c.planBases.plan == c.plan {
		return &c.planBases
	}
	b := planBases{plan: c.plan}
	sum := clock.Span(0)
	for key, m := range c.plan.Models {
		if !key.IsAdapter() {
			b.keys = append(b.keys, key)
			sum += m.LoadTime
		}
	}
	slices.Sort(b.keys)
	if len(b.keys) > 0 {
		b.meanLoad = sum / clock.Span(len(b.keys))
	}
	c.planBases = b
	return &c.planBases
}

// families sums up demand and replicas by base.
func (c *Core) families() families {
	keys := c.bases().keys
	all, l := make([]family, len(keys)), make(families, len(keys))
	for i, key := range keys {
		all[i].model = c.plan.Models[key]
		l[key] = &all[i]
	}
	for key, n := range c.demand {
		if f := l[key.Base()]; f != nil {
			f.addDemand(n, c.now)
		}
	}
	for _, s := range c.servers {
		c.countVisits(len(s.replicas))
		if c.staysInService(s) {
			l.addReplicas(s)
		}
	}
	for base, f := range l {
		requests := c.workload.OfBase(base)
		f.underWay = requests.Waiting + requests.Running
		f.waiting, f.rank = max(f.waiting, requests.Waiting), c.plan.Rank(f.value)
		c.setWanted(f)
	}
	return l
}

// addDemand adds the demand for one key to its family.
func (f *family) addDemand(n *keyDemand, now clock.Instant) {
	f.load += n.forecastLoad()
	f.longTermRate += n.longTermRate
	f.rate += n.rate
	if now.Sub(n.reportedAt) < freshness && n.waiting > 0 {
		f.waiting = max(f.waiting, n.waiting)
		f.value = max(f.value, n.value)
		f.age = math.Max(f.age, n.waitAge(now))
	}
}

// addReplicas counts the bases that a server holds or is ordered to load.
func (l families) addReplicas(s *server) {
	for key, p := range s.replicas {
		if f := l[key]; f != nil && p.placed() {
			f.live++
		}
	}
}

// setWanted computes how many replicas a family should have.
func (c *Core) setWanted(f *family) {
	warmingUp := c.demandSince == 0 || c.now.Sub(c.demandSince) < demandWarmup
	if warmingUp && f.live > 1 {
		// The demand is not fully known yet. The existing replicas indicate which families were busy.
		f.load = math.Max(f.load, targetLoad*float64(f.live))
	}
	slots := float64(max(1, c.plan.Services[f.model.Key.Service()].MaxRunning))
	byLoad := int(math.Ceil(f.load / targetLoad))
	byRequests := int(float64(f.underWay)/(slots*targetSlotShare) + 0.5)
	f.wanted = min(max(f.model.MinReplicas, byLoad, byRequests), f.model.MaxReplicas)
	if f.waiting > 0 {
		f.wanted = max(f.wanted, 1)
	}
}

// gain is the benefit of one more replica: the requests that wait for it, and those that arrive while it
// loads, as far as the existing replicas cannot serve them well.
func (f *family) gain() float64 {
	if f.prefetch {
		return prefetchGain
	}
	if f.live == 0 {
		weight := priorityWeight / float64(1+f.rank)
		return (float64(f.waiting)+f.age)*weight + rateWeight*f.rate
	}
	return f.rate * (f.unserved(targetLoad) + f.unserved(overloadThreshold))
}

// unserved returns the share of the load that remains when each replica takes the given load.
func (f *family) unserved(each float64) float64 {
	return math.Max(0, 1-float64(f.live)*each/math.Max(f.load, minLoad))
}

// loadOf sums the load on a server, where a family's load is divided evenly among its replicas.
func (l families) loadOf(s *server) float64 {
	sum := 0.0
	for key, p := range s.replicas {
		if f := l[key]; f != nil && p.placed() {
			sum += f.load / float64(max(1, f.live))
		}
	}
	return sum
}
