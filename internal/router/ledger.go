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

// The ledger of a request: its attempts, how each ended, and the table that derives from them what comes
// next. What may have run is never sent again unless the request may be repeated.

// End is how an attempt ended.
type End string

// The ways an attempt ends.
const (
	Pending End = ""        // it has not
	Kept    End = "kept"    // the lease or the entry was gone when it was to be sent
	Unsent  End = "unsent"  // the server was not reached
	Dropped End = "dropped" // the server declined it: it did not run and never will
	Lost    End = "lost"    // it may have run
	Split   End = "split"   // its stream broke off
	Done    End = "done"
)

// attemptRecord is one attempt in a request's ledger.
type attemptRecord struct {
	Server ident.Server
	Inc    ident.Inc
	How    End
	Kind   failure.Kind
	Begun  bool

	Status int         // of the server's answer; zero if none came
	epoch  ident.Epoch // of the configuration by which it was launched, or sent
	Cause  Cause       // for the trace
	at     clock.Tick  // when it was launched
	ended  clock.Tick  // and when it ended; zero while it is under way
	weight int         // tokens that it still counts for at its server
	ahead  int         // and those that were under way there before it
}

// Stages of a request.
const (
	Waiting = "waiting"
	Going   = "going"
	Flowing = "flowing"
	Closed  = "closed"
)

// request is a caller's request from its arrival to its last word.
type request struct {
	Call
	key       ident.Key
	class     fleetplan.Class
	came      clock.Tick
	due       clock.Tick // it waits here until then
	end       clock.Tick // and its answer is over by then
	attempts  []attemptRecord
	stage     string
	owes      clock.Tick // since when its next attempt is a retry that is not paid for yet
	uncertain bool       // the plan in force allows it not, but that plan may be old
	first     bool       // its first arrival was counted
	once      bool       // a route that it went under, or is under by now, lets it run once only
	route     *fleetplan.Route
	keyed     bool   // the plan that let it in has tenants: its caller's key is for the routers only
	tenant    string // whose it is by that plan; empty for nobody's

	waiting      WaitCause // what it waits for, since when, and what it waited for before
	waitingSince clock.Tick
	waits        map[WaitCause]clock.Span
	firstByte    clock.Tick // when its answer began to come; zero until then
}

// repeatable tells whether the request may run a second time.
func (r *request) repeatable() bool {
	return r.Call.Call.Again || !r.once && r.route != nil && repeats(r.route)
}

// repeats tells whether the requests of a route may run more than once.
func repeats(route *fleetplan.Route) bool {
	return route.Mode == fleetplan.Idempotent || route.Resume
}

// begun tells whether anything of its answer has come.
func (r *request) begun() bool {
	for _, attempt := range r.attempts {
		if attempt.Begun {
			return true
		}
	}
	return false
}

// resumes tells whether its stream may be taken up at another server.
func (r *request) resumes() bool { return r.route != nil && r.route.Resume && !r.once }

// mayHaveRun tells whether any attempt so far may have run.
func (r *request) mayHaveRun() bool {
	for _, attempt := range r.attempts {
		if attempt.How == Lost || attempt.How == Split {
			return true
		}
	}
	return false
}

// requestKey is the key of a context under which the state machine finds its request.
type requestKey struct{}

// The life of a request.
var stages = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) { return c.Value(requestKey{}).(*request).stage, nil },
		func(c context.Context, s stateless.State) error {
			c.Value(requestKey{}).(*request).stage = s.(string)
			return nil
		}, stateless.FiringImmediate)
	s.Configure(Waiting).Permit("launch", Going).Permit("close", Closed)
	s.Configure(Going).Permit("begin", Flowing).Permit("back", Waiting).Permit("close", Closed)
	s.Configure(Flowing).Permit("back", Waiting).Permit("close", Closed)
	s.Configure(Closed).Ignore("close")
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

func (r *request) fire(what string) bool {
	was := r.stage
	_ = stages.FireCtx(context.WithValue(context.Background(), requestKey{}, r), what)
	return r.stage != was
}

// transition is what comes next for a request.
type transition struct {
	again bool         // wait for another attempt
	pay   bool         // which comes out of the allowance, or there is none
	owe   bool         // which waits until the allowance bears it
	kind  failure.Kind // the answer, when there is no other attempt
}

// patience is how long an attempt after a failed dial waits for the allowance: at night there may be
// none, and no server has been bothered yet.
const patience = clock.Span(time.Second)

// What follows each end of an attempt, for requests that may not and that may be repeated.
var transitions = map[End][2]transition{
	Pending: {{again: true}, {again: true}},
	Kept:    {{again: true}, {again: true}},
	Unsent:  {{again: true, owe: true}, {again: true, owe: true}},
	Dropped: {{again: true, pay: true}, {again: true, pay: true}},
	Lost:    {{kind: failure.Unclear}, {again: true, pay: true}},
	Split:   {{kind: failure.Cut}, {kind: failure.Cut}},
	Done:    {{}, {}},
}

// next derives the next transition from the ledger alone.
func (r *request) next(most int) transition {
	if len(r.attempts) == 0 {
		return transition{again: true}
	}
	attempt := r.attempts[len(r.attempts)-1]
	m := transitions[attempt.How][generic.One(r.repeatable())]
	if attempt.How == Dropped && attempt.Kind == failure.Repeated {
		return transition{kind: failure.Repeated} // another server would run it a second time
	}
	if attempt.Begun && attempt.How == Lost {
		m = transitions[Split][0]
	}
	if attempt.How == Split && r.resumes() {
		m = transition{again: true, pay: true}
	}
	if r.route != nil {
		most = r.route.Tries
	}
	if m.again && r.sent() >= most {
		if attempt.How == Dropped && attempt.Kind == failure.Mismatch {
			return transition{kind: failure.Moved} // what was known of the server was old: it is asked anew at once
		}
		return transition{kind: failure.NotReady}
	}
	return m
}

// sent counts the attempts that reached a server, or may have.
func (r *request) sent() (n int) {
	for _, attempt := range r.attempts {
		if attempt.How != Kept && attempt.How != Unsent {
			n++
		}
	}
	return n
}
