package router

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// The ledger of a request records its attempts and how each one ended. A table derives the next step from it. A
// request that may have run is never sent again unless it may be repeated.

// Outcome is the outcome of an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	Pending Outcome = ""        // the attempt has not ended
	Kept    Outcome = "kept"    // not sent: the final check before sending failed
	Unsent  Outcome = "unsent"  // the server was not reached
	Dropped Outcome = "dropped" // the server rejected the request, which did not run and never will
	Lost    Outcome = "lost"    // the request may have run
	Split   Outcome = "split"   // the answer was interrupted after it had begun
	Done    Outcome = "done"    // the answer is complete
)

// attemptRecord is one attempt in a request's ledger.
type attemptRecord struct {
	Server  ident.Server
	Inc     ident.Incarnation
	Outcome Outcome
	Kind    failure.Kind
	Begun   bool
	maySend bool // MaySend has permitted the attempt, so a part of it may have reached the server

	Status      int           // HTTP status of the server's answer; zero if there was none
	epoch       ident.Epoch   // epoch of the configuration under which the attempt was launched or, later, sent
	Cause       Cause         // recorded in the trace
	launchedAt  clock.Instant // time of the launch
	endedAt     clock.Instant // time of the end; zero while the attempt is in flight
	cost        int           // tokens that the attempt still contributes to its server's load
	tokensAhead int           // tokens in flight at the server before the launch
}

// mayHaveReachedServer reports whether an attempt has ended and may have reached its server.
func (a *attemptRecord) mayHaveReachedServer() bool {
	return a.Outcome != Pending && a.Outcome != Kept && a.Outcome != Unsent
}

// The stages of a request.
const (
	Waiting    = "waiting"
	Attempting = "going"
	Streaming  = "flowing"
	Closed     = "closed"
)

// request is the state of a caller's request from its arrival to the end of its answer.
type request struct {
	Call
	routeBounds
	key           ident.Key
	class         fleetplan.Class
	arrivedAt     clock.Instant
	queueDeadline clock.Instant // latest time at which the request may still wait for an attempt
	deadline      clock.Instant // latest time at which its answer may end
	attempts      []attemptRecord
	stage         string
	unpaidSince   clock.Instant // time since which a retry waits for the retry budget; zero if none does
	uncertain     bool          // the plan in force does not allow the request, but may be outdated
	firstCounted  bool          // the first arrival has been counted
	route         *fleetplan.Route
	keyed         bool   // the admitting plan has tenants, so the caller's key must not reach servers
	tenant        string // tenant according to that plan; empty if none

	waitCause    WaitCause // current cause of waiting; waitTimes holds the time spent on earlier causes
	waitingSince clock.Instant
	waitTimes    map[WaitCause]clock.Span
	firstByte    clock.Instant // time of the first byte of an answer; zero before that
}

// hasBegun reports whether any part of an answer has arrived.
func (r *request) hasBegun() bool {
	for _, attempt := range r.attempts {
		if attempt.Begun {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether the request may have run in any attempt so far.
func (r *request) mayHaveRun() bool {
	for _, attempt := range r.attempts {
		if attempt.Outcome == Lost || attempt.Outcome == Split {
			return true
		}
	}
	return false
}

// requestContextKey is the context key under which the state machine finds its request.
type requestContextKey struct{}

// requestStates is the state machine for the stages of a request.
var requestStates = func() *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return ctx.Value(requestContextKey{}).(*request).stage, nil
		},
		func(ctx context.Context, state stateless.State) error {
			ctx.Value(requestContextKey{}).(*request).stage = state.(string)
			return nil
		}, stateless.FiringImmediate)
	machine.Configure(Waiting).Permit("launch", Attempting).Permit("close", Closed)
	machine.Configure(Attempting).Permit("begin", Streaming).Permit("back", Waiting).Permit("close", Closed)
	machine.Configure(Streaming).Permit("back", Waiting).Permit("close", Closed)
	machine.Configure(Closed).Ignore("close")
	machine.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return machine
}()

// fire applies a trigger to the request's stage and reports whether the stage changed.
func (r *request) fire(trigger string) bool {
	before := r.stage
	_ = requestStates.FireCtx(context.WithValue(context.Background(), requestContextKey{}, r), trigger)
	return r.stage != before
}

// transition is the next step for a request.
type transition struct {
	again    bool         // the request waits for another attempt
	pay      bool         // the attempt requires retry budget and is not made without it
	payLater bool         // the attempt waits until the retry budget suffices
	kind     failure.Kind // answer to the caller if there is no further attempt
}

// retryFundingTimeout is how long an attempt after a failed dial waits for the retry budget. After that the attempt is
// made without payment: when traffic is low there may be no credit, and the failed dial caused no load at a server.
const retryFundingTimeout = clock.Span(time.Second)

// transitions maps the outcome of an attempt to the next step, first for non-repeatable and then for repeatable
// requests.
var transitions = map[Outcome][2]transition{
	Pending: {{again: true}, {again: true}},
	Kept:    {{again: true}, {again: true}},
	Unsent:  {{again: true, payLater: true}, {again: true, payLater: true}},
	Dropped: {{again: true, pay: true}, {again: true, pay: true}},
	Lost:    {{kind: failure.Unclear}, {again: true, pay: true}},
	Split:   {{kind: failure.Cut}, {kind: failure.Cut}},
	Done:    {{}, {}},
}

// nextStep derives the next step from the ledger alone.
func (r *request) nextStep(limit int) transition {
	if len(r.attempts) == 0 {
		return transition{again: true}
	}
	attempt := r.attempts[len(r.attempts)-1]
	m := transitions[attempt.Outcome][generic.BoolToInt(r.repeatable())]
	if attempt.Outcome == Dropped && attempt.Kind == failure.Repeated {
		return transition{kind: failure.Repeated} // another server would run the request a second time
	}
	if attempt.Begun && attempt.Outcome == Lost {
		m = transitions[Split][0]
	}
	if attempt.Outcome == Split && r.resumable() {
		m = transition{again: true, pay: true}
	}
	if m.again && r.sent() >= r.attemptLimit(limit) {
		if attempt.Outcome == Dropped && attempt.Kind == failure.Mismatch {
			return transition{kind: failure.Moved} // the entry was outdated; the caller may repeat the request immediately
		}
		return transition{kind: failure.NotReady}
	}
	return m
}

// sent returns the number of ended attempts that reached a server or may have.
func (r *request) sent() (n int) {
	for i := range r.attempts {
		if r.attempts[i].mayHaveReachedServer() {
			n++
		}
	}
	return n
}
