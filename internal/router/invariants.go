package router

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
	"tidedeck/internal/invariant"
	"tidedeck/internal/protocol"
)

// The router's promises as checks that run in the code. Each looks at what is about to happen, not at the
// condition that was to prevent it.

// checkLaunch looks at an attempt that was just begun: its request runs once unless it may be repeated, on no
// more servers than its route allows, and with no more time than its caller gave it.
func (c *Core) checkLaunch(r *request, l Launch) {
	before := r.attempts[:len(r.attempts)-1]
	ran, reached := false, 0
	for _, a := range before {
		ran = ran || a.How == Lost || a.How == Split || a.How == Done
		if a.How != Kept && a.How != Unsent {
			reached++
		}
	}
	invariant.Check(!ran || r.repeatable() || r.resumes(), invariant.RunsOnce, func() string {
		return fmt.Sprintf("request %s is sent to %s after an attempt that may have run: %s", r.Call.Call.ID, l.Server, attemptsText(r))
	})
	most := c.o.Goes
	if r.route != nil {
		most = r.route.Tries
	}
	invariant.Check(reached < most || reached == 0, invariant.TriesBounded, func() string {
		return fmt.Sprintf("request %s goes to one more server than %d: %s", r.Call.Call.ID, most, attemptsText(r))
	})
	over := c.now.Add(l.Left)
	wait := r.Call.Call.Wait
	invariant.Check(wait <= 0 || over <= r.came.Add(wait), invariant.TimeLeftShrinks, func() string {
		return fmt.Sprintf("request %s came with %v, and %v later is given %v", r.Call.Call.ID, wait, c.now.Sub(r.came), l.Left)
	})
}

// checkTenant looks at a request that is about to be sent: its tenant holds its key by the configuration in force.
func (c *Core) checkTenant(r *request) {
	holder := c.plan.Holder(r.Call.Call.Credential)
	invariant.Check(r.keyed == c.plan.Keyed() && r.tenant == holder, invariant.TenantHoldsKey, func() string {
		return fmt.Sprintf("request %s is sent as one of tenant %q, keyed=%v; its key is %q's, keyed=%v", r.Call.Call.ID, r.tenant, r.keyed, holder, c.plan.Keyed())
	})
}

// checkRefusal looks at a final answer that says that the request never ran.
func (c *Core) checkRefusal(r *request, kind failure.Kind) {
	if !failure.Receipts[kind].Dropped {
		return
	}
	for _, a := range r.attempts {
		invariant.Check(a.How != Lost && a.How != Split && a.How != Done && a.How != Pending, invariant.RefusedNeverRan, func() string {
			return fmt.Sprintf("request %s is told %s: %s", r.Call.Call.ID, kind, attemptsText(r))
		})
	}
}

const (
	// overdueSlack is how long after its time a request may be open: its answer is still written then.
	overdueSlack = clock.Span(1e9)
	// pausedBeat is a time between two beats after which a process counts as having stood still.
	pausedBeat = clock.Span(300e6)
)

// checkOpen looks for requests that wait beyond their time, unless the process stood still of late.
func (c *Core) checkOpen() {
	if c.now.Sub(c.lastBeat) > pausedBeat {
		c.pausedAt = c.now
	}
	c.lastBeat = c.now
	if c.now.Sub(c.pausedAt) < overdueSlack {
		return
	}
	for _, queue := range c.queues {
		for _, r := range queue {
			invariant.Check(c.now <= r.due.Add(overdueSlack), invariant.EndsInTime, func() string {
				return fmt.Sprintf("request %s waits %v past its time", r.Call.Call.ID, c.now.Sub(r.due))
			})
		}
	}
}

// checkEpoch looks at a configuration that takes the place of another.
func (c *Core) checkEpoch(oldGen uint64, oldEpoch ident.Epoch, d *protocol.Desired) {
	invariant.Check(d.Gen > oldGen || d.Gen == oldGen && d.Epoch > oldEpoch, invariant.EpochRises, func() string {
		return fmt.Sprintf("configuration %d/%d follows %d/%d", d.Gen, d.Epoch, oldGen, oldEpoch)
	})
}

func attemptsText(r *request) (s string) {
	for _, a := range r.attempts {
		s += fmt.Sprintf("[%s %s %s begun=%v]", a.Server, a.How, a.Kind, a.Begun)
	}
	return s
}

// checkAnswer looks at the head of a server's answer that is about to be passed on.
func (x *exchange) checkAnswer(status int, head map[string][]string) {
	said := x.r.o.Dialect.Answer(status, head)
	invariant.Check(said.ID == x.facts.ID && (said.Sealed || status >= 300), invariant.AnswerIsServers, func() string {
		return fmt.Sprintf("request %s gets an answer %d to %q, sealed=%v", x.facts.ID, status, said.ID, said.Sealed)
	})
}

// checkOwnAnswer looks at the head of an answer of the router's own.
func (x *exchange) checkOwnAnswer(status int) {
	invariant.Check(!x.r.o.Dialect.Answer(status, x.w.Header()).Sealed, invariant.RefusalIsOurs, func() string {
		return fmt.Sprintf("request %s is told %d under a server's seal", x.facts.ID, status)
	})
}
