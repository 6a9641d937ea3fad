package controller

import (
	"math"
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// A family is a base with all of its adapters: they share the base's replicas, so that replicas of the base
// are what the work of all of them asks for.

const (
	goodLoad = 0.4  // of a server's time that one key's replica should take
	fullLoad = 0.6  // past which another replica is worth a rarer key's only one
	batch    = 0.15 // of a server's slots that one key's requests should take

	// An owner whose routers have told it so shortly what they are asked for does not know all of it yet.
	firstSpan = 4e9

	rankWeight = 2.0  // of a waiting request of the highest value; of the next ones a half, a third, and so on
	rateWeight = 2.0  // of a request a second, as one more replica is weighed
	spareGain  = 0.5  // what a replica is worth that nobody asks for yet
	leastLoad  = 1e-9 // stands for no work at all
)

// family is a base with all of its adapters, as placement sees it.
type family struct {
	model    fleetplan.Model
	live     int     // replicas that are ready or ordered
	wanted   int     // replicas that it should have
	load     float64 // servers' worth of work, as forecast
	rate     float64 // requests a second, of late
	slow     float64 // and over a longer while
	waiting  int     // requests that wait, at all routers
	underWay int     // requests that wait or run, at all routers
	age      float64 // seconds that somebody has waited
	value    int     // the highest among those that wait
	rank     int     // of the value among those of the plan: 0 comes first
	spare    bool    // nobody asks for it: it takes no room from what somebody may ask for
}

// families are all bases of the plan, with their adapters.
type families map[ident.Key]*family

// planBases lists the bases of a plan in order. It is made once for each plan.
type planBases struct {
	plan *fleetplan.Plan
	keys []ident.Key
	load clock.Span // the mean time of a load from the store
}

// bases lists the bases of the plan in force.
func (c *Core) bases() *planBases {
	if c.planBases.plan == c.plan {
		return &c.planBases
	}
	b := planBases{plan: c.plan}
	sum := clock.Span(0)
	for key, m := range c.plan.Models {
		if !key.IsAdapter() {
			b.keys = append(b.keys, key)
			sum += m.Load
		}
	}
	slices.Sort(b.keys)
	if len(b.keys) > 0 {
		b.load = sum / clock.Span(len(b.keys))
	}
	c.planBases = b
	return &c.planBases
}

// families sums demand and replicas by base.
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
		c.visit(len(s.spots))
		if c.stays(s) {
			l.addReplicas(s)
		}
	}
	for base, f := range l {
		requests := c.workload.OfBase(base)
		f.underWay = requests.Waiting + requests.Running
		f.waiting, f.rank = max(f.waiting, requests.Waiting), c.plan.Rank(f.value)
		c.assess(f)
	}
	return l
}

// addDemand adds what is asked of one key to its family.
func (f *family) addDemand(n *need, now clock.Tick) {
	f.load += n.coming()
	f.slow += n.slow
	f.rate += n.rate
	if now.Sub(n.at) < freshSpan && n.wait > 0 {
		f.waiting = max(f.waiting, n.wait)
		f.value = max(f.value, n.value)
		f.age = math.Max(f.age, n.age(now))
	}
}

// addReplicas counts the bases that a server holds, or is to hold.
func (l families) addReplicas(s *server) {
	for key, p := range s.spots {
		if f := l[key]; f != nil && p.placed() {
			f.live++
		}
	}
}

// assess tells how many replicas a family should have.
func (c *Core) assess(f *family) {
	young := c.asked == 0 || c.now.Sub(c.asked) < firstSpan
	if young && f.live > 1 {
		// What is asked for is not known yet: how many replicas there are tells what was meant to be busy.
		f.load = math.Max(f.load, goodLoad*float64(f.live))
	}
	slots := float64(max(1, c.plan.Services[f.model.Key.Service()].Slots))
	byLoad := int(math.Ceil(f.load / goodLoad))
	byCrowd := int(float64(f.underWay)/(slots*batch) + 0.5)
	f.wanted = min(max(f.model.Floor, byLoad, byCrowd), f.model.Most)
	if f.waiting > 0 {
		f.wanted = max(f.wanted, 1)
	}
}

// gain is what one more replica is worth: the requests that wait for it, and those that come while it
// is being loaded, as far as they could not be served well without.
func (f *family) gain() float64 {
	if f.spare {
		return spareGain
	}
	if f.live == 0 {
		weight := rankWeight / float64(1+f.rank)
		return (float64(f.waiting)+f.age)*weight + rateWeight*f.rate
	}
	return f.rate * (f.unserved(goodLoad) + f.unserved(fullLoad))
}

// unserved is the part of a family's work that its replicas leave when each takes so much.
func (f *family) unserved(each float64) float64 {
	return math.Max(0, 1-float64(f.live)*each/math.Max(f.load, leastLoad))
}

// loadOf sums the work of what a server holds, as its replicas share it.
func (l families) loadOf(s *server) float64 {
	sum := 0.0
	for key, p := range s.spots {
		if f := l[key]; f != nil && p.placed() {
			sum += f.load / float64(max(1, f.live))
		}
	}
	return sum
}
