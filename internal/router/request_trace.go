package router

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
)

// Cause says what ended an attempt, in more detail than its End. It decides nothing.
type Cause string

// The causes that an attempt ends for.
const (
	CauseNone       Cause = ""
	CauseDial       Cause = "dial"        // no connection came up
	CauseNoTime     Cause = "no_time"     // the caller's time was over before it could be sent
	CauseNotAllowed Cause = "not_allowed" // lease, entry, zone or plan had gone at the point of sending
	CauseWrite      Cause = "write"       // the request was not written whole
	CauseHead       Cause = "head"        // no whole head of an answer came
	CauseForeign    Cause = "foreign"     // the answer names no request, or another one
	CauseUnsealed   Cause = "unsealed"    // a success without the server's mark
	CauseStatus     Cause = "status"      // a status that is not passed on
	CauseBody       Cause = "body"        // the body broke off
	CauseUnframed   Cause = "unframed"    // nothing but the close would end the body
	CauseEvents     Cause = "events"      // an event does not follow the one before
	CauseCaller     Cause = "caller"      // the caller left or takes nothing
)

// AttemptTrace is what became of one attempt.
type AttemptTrace struct {
	Server ident.Server `json:"server"`
	Life   ident.Inc    `json:"life,omitempty"`
	AtMs   int64        `json:"at_ms"` // since the request came
	TookMs int64        `json:"took_ms"`
	How    End          `json:"how"`
	Kind   failure.Kind `json:"kind,omitempty"`
	Status int          `json:"status,omitempty"`
	Cause  Cause        `json:"cause,omitempty"`
	Begun  bool         `json:"begun,omitempty"`
	Epoch  ident.Epoch  `json:"epoch"` // of the configuration that allowed it
}

// Ways in which a request ends.
const (
	EndedServed  = "served"      // by a server's whole answer
	EndedRefused = "refused"     // by an answer of the router's own
	EndedLeft    = "caller_left" // or its connection was broken off
)

// RequestTrace is what became of one request that was not served by its first attempt, or began to be later than its
// aim: which configuration and lease the router had, what it waited for there, which servers it was offered to, what each
// said, and what ended it.
type RequestTrace struct {
	ID       string         `json:"id"`
	Route    string         `json:"route,omitempty"`
	Key      ident.Key      `json:"key,omitempty"`
	Tenant   string         `json:"tenant,omitempty"`
	Gen      uint64         `json:"generation"`
	Epoch    ident.Epoch    `json:"epoch"`
	Plan     string         `json:"plan,omitempty"` // the version of the configuration in force at the end, as operators name it
	Leased   bool           `json:"leased"`
	Parted   bool           `json:"parted,omitempty"`
	Stopping bool           `json:"stopping,omitempty"`
	TookMs   int64          `json:"took_ms"`
	End      string         `json:"end"`
	Kind     failure.Kind   `json:"kind,omitempty"`
	Attempts []AttemptTrace `json:"attempts,omitempty"`

	AimMs   int64               `json:"aim_ms,omitempty"`
	FirstMs int64               `json:"first_ms,omitempty"` // until the first byte of an answer; zero if none came
	WaitsMs map[WaitCause]int64 `json:"waits_ms,omitempty"` // at this router
	Ahead   int                 `json:"ahead,omitempty"`    // tokens under way at the last attempt's server when it was launched
}

// late tells whether a request's answer began later than its aim.
func (r *request) late() bool {
	return r.class.Aim > 0 && r.firstByte != 0 && r.firstByte.Sub(r.came) > r.class.Aim
}

// trace tells the host what became of a request, unless its first attempt served it in time.
func (c *Core) trace(r *request, end string, kind failure.Kind) {
	if end == EndedServed && len(r.attempts) == 1 && !r.late() {
		return
	}
	t := RequestTrace{
		ID: r.Call.Call.ID, Route: r.Route, Key: r.key, Tenant: r.tenant, Gen: c.gen, Epoch: c.epoch, Plan: c.PlanName(),
		Leased: c.leased(), Parted: c.parted, Stopping: c.ending,
		TookMs: c.now.Sub(r.came).Milliseconds(), End: end, Kind: kind, AimMs: r.class.Aim.Milliseconds(), WaitsMs: r.waitsMs(),
	}
	if r.firstByte != 0 {
		t.FirstMs = r.firstByte.Sub(r.came).Milliseconds()
	}
	if n := len(r.attempts); n > 0 {
		t.Ahead = r.attempts[n-1].ahead
	}
	for _, a := range r.attempts {
		took := clock.Span(0)
		if a.ended != 0 {
			took = a.ended.Sub(a.at)
		}
		t.Attempts = append(t.Attempts, AttemptTrace{
			Server: a.Server, Life: a.Inc, AtMs: a.at.Sub(r.came).Milliseconds(), TookMs: took.Milliseconds(),
			How: a.How, Kind: a.Kind, Status: a.Status, Cause: a.Cause, Begun: a.Begun, Epoch: a.epoch,
		})
	}
	c.out = append(c.out, t)
}
