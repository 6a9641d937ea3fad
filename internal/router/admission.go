package router

import (
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Admission takes a request's route, class, deadline and tenant from the plan: on arrival, when the plan changes, and
// when the request waits again after an attempt. The plan is checked once more immediately before sending, so that no
// server runs a request that only an older plan allowed, or whose key has since been revoked or granted to another
// tenant.

// undecidedTimeout is how long a request without a matching plan waits for a plan that admits or rejects it.
const undecidedTimeout = clock.Span(5 * time.Second)

// allowed checks that the plan in force still assigns a request the same key and tenant. It returns the reason if not.
func (c *Core) allowed(r *request) failure.Kind {
	if c.plan == nil {
		return failure.None // no plan is known yet: the request waits and is not sent
	}
	m, why := c.plan.Match(r.Call.Request.Query(r.Route))
	if why == failure.None && (m.Key != r.key || m.HasTenants != r.keyed || m.Tenant != r.tenant) {
		return failure.Moved // the plan now routes the request elsewhere or assigns it to another tenant
	}
	return why
}

// admit takes a request's class and deadline from the plan. A router that has no plan, or no lease that confirms the
// plan as the newest, does not reject a request that the plan does not allow; the request waits for a newer plan and
// is not sent.
func (c *Core) admit(r *request) failure.Kind {
	r.class = fleetplan.Class{Value: 1, MaxWait: undecidedTimeout}
	r.uncertain = c.plan == nil
	if c.plan == nil && r.Call.Request.Host != "" {
		r.bindStrictest() // it was sent under a plan that this router does not know
	}
	if c.plan != nil {
		m, why := c.plan.Match(r.Call.Request.Query(r.Route))
		r.noteRoute(m.Route)
		switch {
		case why == failure.None:
			r.class, r.key, r.route, r.keyed, r.tenant = m.Class, m.Key, m.Route, m.HasTenants, m.Tenant
		case c.leased():
			return why
		default:
			r.uncertain = true // without a lease the plan may be outdated, and a newer one may allow the request
		}
	}
	r.queueDeadline = r.arrivedAt.Add(r.class.MaxWait)
	if wait := r.Call.Request.Horizon; wait > 0 && wait < r.class.MaxWait {
		r.queueDeadline = r.arrivedAt.Add(wait)
	}
	r.deadline = r.queueDeadline
	if quit := r.class.GiveUpAfter; quit > 0 && !r.hasBegun() {
		r.queueDeadline = min(r.queueDeadline, r.arrivedAt.Add(quit))
	}
	return failure.None
}

// noteRoutes applies the routes of the plan in force to what the requests that have been launched may still do: a plan
// may add a route whose requests run once while a request is at a server.
func (c *Core) noteRoutes() {
	if c.plan == nil {
		return
	}
	for _, r := range c.requests {
		// This also applies if the plan does not admit the request, because a later plan may admit it again.
		m, _ := c.plan.Match(r.Call.Request.Query(r.Route))
		r.noteRoute(m.Route)
	}
}

// readmitWaiting applies the plan in force to the waiting requests: to all of them, or only to those marked uncertain.
func (c *Core) readmitWaiting(all bool) {
	for _, k := range generic.SortedKeys(c.queues) {
		for _, r := range append([]*request{}, c.queues[k]...) {
			if !all && !r.uncertain {
				continue
			}
			c.remove(r)
			why := c.readmit(r)
			c.insert(r)
			if why != failure.None {
				c.finish(r, why, 0)
			}
		}
	}
}

// readmit takes a request's class and deadline from the plan again. It returns why the request ends immediately: the new
// deadline has already passed, or it may have run and a route permits no further run.
func (c *Core) readmit(r *request) failure.Kind {
	if why := c.admit(r); why != failure.None {
		return why
	}
	if why := r.barred(c.o.MaxAttempts); why != failure.None {
		return why
	}
	if c.now >= r.queueDeadline {
		return failure.Expired
	}
	return failure.None
}

func (c *Core) onCall(v Call) {
	c.tally.Calls++
	r := &request{Call: v, arrivedAt: c.now.Add(-v.Age), stage: Waiting, key: ident.NewKey(v.Request.Model, v.Request.Adapter)}
	c.requests[v.Ref] = r
	if c.graceEnded {
		c.finish(r, failure.Moved, 0)
		return
	}
	c.history.bind(r, c.now.Add(-max(v.Age, v.Arriving)))
	if why := c.admit(r); why != failure.None {
		c.finish(r, why, 0)
		return
	}
	if v.Request.Horizon < 0 {
		c.finish(r, failure.PastDue, 0)
		return
	}
	if v.Request.Repeat {
		c.tally.Repeats++
		if !c.spend(r.key.Service()) {
			c.finish(r, failure.AllowanceSpent, 0)
			return
		}
	}
	c.arrivals[r.key]++
	if c.o.StatelessServers {
		c.offeredLoad[r.key] += c.serverSeconds(r)
	}
	if e := c.entries[r.key]; e != nil && e.hasCallback && c.leased() && len(e.Replicas) > 0 && !c.o.AlwaysRevalidate {
		c.tally.Hits++
	}
	if c.o.AlwaysRevalidate && c.entries[r.key] != nil {
		c.entries[r.key].hasCallback = false
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
		r.setWaitCause("", c.now)
	} else if n := len(r.attempts); n > 0 && r.attempts[n-1].Outcome == Pending {
		c.releaseLoad(r, &r.attempts[n-1])
		r.attempts[n-1].Outcome, r.attempts[n-1].Cause, r.attempts[n-1].endedAt = Done, CauseCaller, c.now
	}
	c.trace(r, EndedCallerLeft, failure.None)
	r.fire("close")
	delete(c.requests, v.Ref)
	c.serveAll()
}
