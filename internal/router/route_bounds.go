package router

import (
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
)

// What the routes of a request permit: how often it may run, whether its stream may be resumed, and at how many servers. A request is bound by every route
// that it had since it was sent, and a bound is never taken back.

// routeBounds are the strictest bounds of all routes that a request had.
type routeBounds struct {
	runsOnce    bool // one of them permits only one run
	noResume    bool // one of them does not permit another server to resume a stream
	maxAttempts int  // fewest attempts that one of them permits; zero if there was none
}

// noteRoute binds a request by one of its routes, or by none.
func (b *routeBounds) noteRoute(route *fleetplan.Route) {
	if route == nil {
		return
	}
	if !allowsRepeats(route) {
		b.runsOnce = true
	}
	if !route.Resume {
		b.noResume = true
	}
	if b.maxAttempts == 0 || route.MaxAttempts < b.maxAttempts {
		b.maxAttempts = route.MaxAttempts
	}
}

// bindStrictest binds a request whose routes are not all known.
func (b *routeBounds) bindStrictest() { b.runsOnce, b.noResume, b.maxAttempts = true, true, 1 }

// attemptLimit returns how many servers the request may be sent to; without a route that says so, limit.
func (b *routeBounds) attemptLimit(limit int) int {
	if b.maxAttempts > 0 {
		return b.maxAttempts
	}
	return limit
}

// allowsRepeats reports whether the requests of a route may run more than once.
func allowsRepeats(route *fleetplan.Route) bool {
	return route.Mode == fleetplan.Idempotent || route.Resume
}

// repeatable reports whether the request may run more than once.
func (r *request) repeatable() bool {
	return r.Call.Request.Repeatable || !r.runsOnce && r.route != nil && allowsRepeats(r.route)
}

// resumable reports whether another server may resume the stream of the request.
func (r *request) resumable() bool { return r.route != nil && r.route.Resume && !r.noResume }

// barred returns why no further attempt of the request may be sent: it may have run, and one of its routes permits no
// further run, or it was sent to as many servers as one of its routes permits, or, without a route, limit.
func (r *request) barred(limit int) failure.Kind {
	switch {
	case r.hasBegun() && !r.resumable():
		return failure.Cut
	case r.mayHaveRun() && !r.repeatable():
		return failure.Unclear
	case r.sent() >= r.attemptLimit(limit):
		return failure.NotReady
	}
	return failure.None
}
