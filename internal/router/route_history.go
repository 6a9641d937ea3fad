package router

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
)

// The routes that a request may have been sent under. They bind it beside the route in force when it is complete: its
// client may count on it that a request runs once, and learns of no configuration.

const (
	// requestTransit is how long a request may have been on its way before its first byte is read: in the network, which
	// may repeat it after a loss, or in a socket's buffer while this process was suspended.
	requestTransit = clock.Span(3e9)
	// routeMemory is how long replaced routes are kept: requestTransit, and a body that takes 5 s.
	routeMemory = requestTransit + clock.Span(5e9)
)

// replacedRoutes are the routes of a plan that is no longer in force.
type replacedRoutes struct {
	routes fleetplan.HostRoutes
	at     clock.Instant // time at which a newer plan replaced them
}

// routeHistory keeps the routes of recent plans.
type routeHistory struct {
	replaced    []replacedRoutes // oldest first
	forgottenAt clock.Instant    // time at which the newest routes that are no longer kept were replaced; zero if there are none
}

// add records the routes that are being replaced.
func (h *routeHistory) add(routes fleetplan.HostRoutes, now clock.Instant) {
	h.forget(now)
	h.replaced = append(h.replaced, replacedRoutes{routes, now})
}

// forget drops the routes that were replaced longer ago than routeMemory.
func (h *routeHistory) forget(now clock.Instant) {
	n := 0
	for n < len(h.replaced) && now.Sub(h.replaced[n].at) > routeMemory {
		h.forgottenAt = h.replaced[n].at
		n++
	}
	if n > 0 {
		h.replaced = append([]replacedRoutes(nil), h.replaced[n:]...) // releases the plans
	}
}

// bind binds a request by every route that was in force at some time since its client may have sent it. If some of them
// are no longer known, it is bound as strictly as any route could.
func (h *routeHistory) bind(r *request, firstByteAt clock.Instant) {
	if r.Call.Request.Host == "" {
		return // what a request without a host may do stands in the request itself
	}
	sentAt := firstByteAt.Add(-requestTransit)
	if h.forgottenAt != 0 && h.forgottenAt >= sentAt {
		r.bindStrictest()
	}
	for _, replaced := range h.replaced {
		if replaced.at >= sentAt {
			r.noteRoute(replaced.routes.Find(r.Call.Request.Host, r.Route))
		}
	}
}
