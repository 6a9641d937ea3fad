package router

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
	"tidedeck/internal/invariant"
	"tidedeck/internal/protocol"
)

// Runtime checks of the router's invariants. Each check examines the action that is about to happen, not the condition
// that should prevent a violation.

// checkAttempt checks the last attempt of a request, when it is launched and again when it is about to be sent: a request
// that may not be repeated runs at most once, and reaches no more servers than any of its routes allows.
func (c *Core) checkAttempt(r *request) {
	ran, reached := false, 0
	for _, a := range r.attempts {
		ran = ran || a.Outcome == Lost || a.Outcome == Split || a.Outcome == Done
		if a.mayHaveReachedServer() {
			reached++
		}
	}
	invariant.Check(!ran || r.repeatable() || r.resumable(), invariant.RunsOnce, func() string {
		return fmt.Sprintf("request %s attempted again after an attempt that may have run: %s", r.Call.Request.ID, formatAttempts(r))
	})
	limit := r.attemptLimit(c.o.MaxAttempts)
	invariant.Check(reached < limit || reached == 0, invariant.TriesBounded, func() string {
		return fmt.Sprintf("request %s attempted at more than %d servers: %s", r.Call.Request.ID, limit, formatAttempts(r))
	})
}

// checkTimeLeft checks that a launched request gets no more time than its caller specified.
func (c *Core) checkTimeLeft(r *request, l Launch) {
	deadline := c.now.Add(l.Remaining)
	wait := r.Call.Request.Horizon
	invariant.Check(wait <= 0 || deadline <= r.arrivedAt.Add(wait), invariant.TimeLeftShrinks, func() string {
		return fmt.Sprintf("request %s arrived with %v left and was launched %v later with %v left", r.Call.Request.ID, wait, c.now.Sub(r.arrivedAt), l.Remaining)
	})
}

// checkTenant checks that the tenant of a request about to be sent holds the request's key in the configuration in
// force.
func (c *Core) checkTenant(r *request) {
	holder := c.plan.TenantOf(r.Call.Request.Credential)
	invariant.Check(r.keyed == c.plan.HasTenants() && r.tenant == holder, invariant.TenantHoldsKey, func() string {
		return fmt.Sprintf("request %s sent for tenant %q (keyed=%v), but its key belongs to tenant %q (keyed=%v)", r.Call.Request.ID, r.tenant, r.keyed, holder, c.plan.HasTenants())
	})
}

// checkRefusal checks that a request whose final answer states that it never ran did not run.
func (c *Core) checkRefusal(r *request, kind failure.Kind) {
	if !failure.Responses[kind].NotExecuted {
		return
	}
	for _, a := range r.attempts {
		invariant.Check(a.Outcome != Lost && a.Outcome != Split && a.Outcome != Done && a.Outcome != Pending, invariant.RefusedNeverRan, func() string {
			return fmt.Sprintf("request %s refused with %s although it may have run: %s", r.Call.Request.ID, kind, formatAttempts(r))
		})
	}
}

const (
	// overdueTolerance is how long a request may stay open after its deadline, because its answer must still be written.
	overdueTolerance = clock.Span(1e9)
	// pauseThreshold is the time between two ticks above which the process counts as having been suspended.
	pauseThreshold = clock.Span(300e6)
)

// checkOverdue checks that no request waits past its deadline, unless the process was suspended recently.
func (c *Core) checkOverdue() {
	if c.now.Sub(c.lastBeat) > pauseThreshold {
		c.pausedAt = c.now
	}
	c.lastBeat = c.now
	if c.now.Sub(c.pausedAt) < overdueTolerance {
		return
	}
	for _, queue := range c.queues {
		for _, r := range queue {
			invariant.Check(c.now <= r.queueDeadline.Add(overdueTolerance), invariant.EndsInTime, func() string {
				return fmt.Sprintf("request %s waits %v past its deadline", r.Call.Request.ID, c.now.Sub(r.queueDeadline))
			})
		}
	}
}

// checkEpoch checks that a configuration is newer than the one that it replaces.
func (c *Core) checkEpoch(oldGen uint64, oldEpoch ident.Epoch, d *protocol.Desired) {
	invariant.Check(d.Gen > oldGen || d.Gen == oldGen && d.Epoch > oldEpoch, invariant.EpochRises, func() string {
		return fmt.Sprintf("configuration with generation %d and epoch %d replaces generation %d and epoch %d", d.Gen, d.Epoch, oldGen, oldEpoch)
	})
}

func formatAttempts(r *request) (s string) {
	for _, a := range r.attempts {
		s += fmt.Sprintf("[%s %s %s begun=%v]", a.Server, a.Outcome, a.Kind, a.Begun)
	}
	return s
}

// checkAnswer checks the head of a server's answer that is about to be forwarded.
func (x *exchange) checkAnswer(status int, head map[string][]string) {
	said := x.relay.options.Dialect.ReadResponse(status, head)
	invariant.Check(said.ID == x.facts.ID && (said.Sealed || status >= 300), invariant.AnswerIsServers, func() string {
		return fmt.Sprintf("request %s receives an answer with status %d to request %q, sealed=%v", x.facts.ID, status, said.ID, said.Sealed)
	})
}

// checkOwnAnswer checks that an answer of the router itself carries no server's seal.
func (x *exchange) checkOwnAnswer(status int) {
	invariant.Check(!x.relay.options.Dialect.ReadResponse(status, x.w.Header()).Sealed, invariant.RefusalIsOurs, func() string {
		return fmt.Sprintf("request %s receives the router's own status %d with a server's seal", x.facts.ID, status)
	})
}
