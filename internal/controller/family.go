package controller

import (
	"math"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// A family is a base with all of its adapters: they share the base's replicas, so that replicas of the base
// are what the work of all of them asks for.

// family is a base with all of its adapters, as placement sees it.
type family struct {
	m     fleetplan.Model
	live  int
	load  float64
	rate  float64
	slow  float64
	wait  int
	work  int     // under way or waiting, at all routers
	line  int     // waiting, at all routers
	age   float64 // seconds that somebody has waited
	value int
	rank  int // of the value among those of the plan: 0 comes first
	want  int
	spare bool // nobody asks for it: it takes no room from what somebody may ask for
}

func (c *Core) families() map[ident.Key]*family {
	l := map[ident.Key]*family{}
	for k, m := range c.plan.Models {
		if !k.IsAdapter() {
			l[k] = &family{m: m}
		}
	}
	for k, n := range c.demand {
		f := l[k.Base()]
		if f == nil {
			continue
		}
		f.load += n.coming()
		f.slow += n.slow
		f.rate += n.rate
		if c.now.Sub(n.at) < freshSpan && n.wait > 0 {
			f.wait = max(f.wait, n.wait)
			f.value = max(f.value, n.value)
			f.age = math.Max(f.age, n.age(c.now))
		}
	}
	for _, x := range c.links {
		for k, u := range x.burden {
			if f := l[k.Base()]; f != nil {
				f.work += u.Work + u.Wait
				f.line += u.Wait
			}
		}
	}
	for _, s := range c.servers {
		if !c.stays(s) {
			continue
		}
		for k, p := range s.spots {
			if f := l[k]; f != nil && (p.stage == Ordered || p.stage == Ready) {
				f.live++
			}
		}
	}
	young := c.asked == 0 || c.now.Sub(c.asked) < firstSpan
	for _, f := range l {
		if young && f.live > 1 {
			// What is asked for is not known yet: how many replicas there are tells what was meant to be busy.
			f.load = math.Max(f.load, goodLoad*float64(f.live))
		}
		good := float64(max(1, c.plan.Services[f.m.Key.Service()].Slots)) * goodBatch
		f.want = min(max(f.m.Floor, int(math.Ceil(f.load/goodLoad)), int(float64(f.work)/good+0.5)), f.m.Most)
		f.wait, f.rank = max(f.wait, f.line), c.plan.Rank(f.value)
		if f.wait > 0 {
			f.want = max(f.want, 1)
		}
	}
	return l
}

// gain is what one more replica is worth: the requests that wait for it, and those that come while it
// is being loaded, as far as they could not be served well without.
func (f *family) gain() float64 {
	if f.spare {
		return 0.5
	}
	weight := 2 / float64(1+f.rank)
	if f.live == 0 {
		return (float64(f.wait)+f.age)*weight + 2*f.rate
	}
	part := func(bears float64) float64 {
		return math.Max(0, 1-float64(f.live)*bears/math.Max(f.load, 1e-9))
	}
	return f.rate * (part(goodLoad) + part(fullLoad))
}

// loadOf sums the work of what a server holds, as its replicas share it.
func (c *Core) loadOf(s *server, l map[ident.Key]*family) float64 {
	sum := 0.0
	for k, p := range s.spots {
		if f := l[k]; f != nil && (p.stage == Ready || p.stage == Ordered) {
			sum += f.load / float64(max(1, f.live))
		}
	}
	return sum
}
