package router

import (
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Admission: a request's route, class and horizon come from the plan, and so does whose request it is, when it arrives, when
// the plan changes and when it waits again after an attempt. Right before it is sent the plan is asked once more, so that no
// server runs what an older plan allowed, under a key that is taken away or another tenant's by then.

// undecidedWait is how long a request that no known plan decides about waits for one that does.
const undecidedWait = clock.Span(5 * time.Second)

// allowed tells whether the plan in force still sends a request where it is going.
func (c *Core) allowed(r *request) failure.Kind {
	if c.plan == nil {
		return failure.None // no plan is known yet: it waits, but is sent nowhere
	}
	m, why := c.plan.Match(r.Call.Call.Query(r.Route))
	if why == failure.None && (m.Key != r.key || m.Keyed != r.keyed || m.Tenant != r.tenant) {
		return failure.Moved // the plan sends it elsewhere now, or has it as somebody else's
	}
	return why
}

// admit takes a request's class and horizon from the plan. While no plan is known that surely
// rules, a request may wait a while for one, but is sent nowhere and turned away by none.
func (c *Core) admit(r *request) failure.Kind {
	r.class = fleetplan.Class{Value: 1, Wait: undecidedWait}
	r.uncertain = c.plan == nil
	if c.plan != nil {
		m, why := c.plan.Match(r.Call.Call.Query(r.Route))
		switch {
		case why == failure.None:
			r.class, r.key, r.route, r.keyed, r.tenant = m.Class, m.Key, m.Route, m.Keyed, m.Tenant
			r.once = r.mayHaveRun() && (r.once || m.Route != nil && !repeats(m.Route))
		case c.leased():
			return why
		default:
			r.uncertain = true // without a lease the plan may be old: a newer one may allow it
		}
	}
	r.due = r.came.Add(r.class.Wait)
	if w := r.Call.Call.Wait; w > 0 && w < r.class.Wait {
		r.due = r.came.Add(w)
	}
	r.end = r.due
	if q := r.class.Quit; q > 0 && !r.begun() {
		r.due = min(r.due, r.came.Add(q))
	}
	return failure.None
}

// restrict keeps a request that may have run from running again if the plan in force has it under a route
// whose requests run once: routes may be added while it is under way.
func (c *Core) restrict(r *request) {
	if c.plan == nil {
		return
	}
	// Also by a plan that lets it in no more: a later one may let it in again.
	if m, _ := c.plan.Match(r.Call.Call.Query(r.Route)); m.Route != nil && !repeats(m.Route) {
		r.once = true
	}
}

// resolve looks anew at every request that waits, under the plan now in force.
func (c *Core) resolve(all bool) {
	for _, k := range generic.SortedKeys(c.queues) {
		for _, r := range append([]*request{}, c.queues[k]...) {
			if !all && !r.uncertain {
				continue
			}
			c.remove(r)
			why := c.admitAgain(r)
			c.insert(r)
			if why != failure.None {
				c.finish(r, why, 0)
			}
		}
	}
}

// admitAgain takes a request's class and horizon from the plan anew. Its time may be over by them: a request that is given up on
// is told so at once.
func (c *Core) admitAgain(r *request) failure.Kind {
	if why := c.admit(r); why != failure.None {
		return why
	}
	if c.now >= r.due {
		return failure.Expired
	}
	return failure.None
}

func (c *Core) onCall(v Call) {
	c.tally.Calls++
	r := &request{Call: v, came: c.now.Add(-v.Age), stage: Waiting, key: ident.KeyOf(v.Call.Base, v.Call.Extra)}
	c.requests[v.Ref] = r
	if why := c.admit(r); why != failure.None {
		c.finish(r, why, 0)
		return
	}
	if v.Call.Wait < 0 {
		c.finish(r, failure.PastDue, 0)
		return
	}
	if v.Call.Repeat {
		c.tally.Repeats++
		if !c.pay(r.key.Service()) {
			c.finish(r, failure.Spent, 0)
			return
		}
	}
	c.came[r.key]++
	if c.o.Free {
		c.loads[r.key] += c.loadOf(r)
	}
	if e := c.entries[r.key]; e != nil && e.held && c.leased() && len(e.Replicas) > 0 && !c.o.Check {
		c.tally.Hits++
	}
	if c.o.Check && c.entries[r.key] != nil {
		c.entries[r.key].held = false
	}
	if !c.enqueue(r) {
		return
	}
	c.serve(r.key)
	if r.stage == Waiting {
		c.tally.Waited++
	}
}

func (c *Core) onQuit(v Quit) {
	r := c.requests[v.Ref]
	if r == nil {
		return
	}
	c.tally.Quit++
	if r.stage == Waiting {
		c.remove(r)
		r.waitsFor("", c.now)
	} else if n := len(r.attempts); n > 0 && r.attempts[n-1].How == Pending {
		c.release(r, &r.attempts[n-1])
		r.attempts[n-1].How, r.attempts[n-1].Cause, r.attempts[n-1].ended = Done, CauseCaller, c.now
	}
	c.trace(r, EndedLeft, failure.None)
	r.fire("close")
	delete(c.requests, v.Ref)
	c.serveAll()
}
