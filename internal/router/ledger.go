package router

import (
	"context"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// The ledger of a request: its attempts, how each ended, and the table that derives from them what comes
// next. What may have run is never sent again unless the request may be repeated.

// End is how a go ended.
type End string

// The ways a go ends.
const (
	Pending End = ""        // it has not
	Kept    End = "kept"    // the hold or the entry was gone when it was to be sent
	Unsent  End = "unsent"  // the server was not reached
	Dropped End = "dropped" // the server dropped it
	Lost    End = "lost"    // nothing is known of it
	Split   End = "split"   // its stream broke off
	Done    End = "done"
)

// Go is one try in a request's ledger.
type Go struct {
	Server ident.Server
	Inc    ident.Inc
	How    End
	Kind   failure.Kind
	Begun  bool

	at     clock.Tick // when it was launched
	weight int        // tokens that it still counts for at its server
	ahead  int        // and those that were under way there before it
}

// Stages of a request.
const (
	Waiting = "waiting"
	Going   = "going"
	Flowing = "flowing"
	Closed  = "closed"
)

type req struct {
	Call
	key   ident.Key
	class fleetplan.Class
	came  clock.Tick
	due   clock.Tick // it waits here until then
	end   clock.Tick // and its answer is over by then
	goes  []Go
	stage string
	owes  clock.Tick // since when its next go is a retry that is not paid for yet
	doubt bool       // the plan in force allows it not, but that plan may be old
	first bool       // its first arrival was counted
	route *fleetplan.Route
}

// again tells whether the request may run a second time.
func (r *req) again() bool {
	return r.Call.Call.Again || r.route != nil && (r.route.Mode == fleetplan.Idempotent || r.route.Resume)
}

// begun tells whether anything of its answer has come.
func (r *req) begun() bool {
	for _, g := range r.goes {
		if g.Begun {
			return true
		}
	}
	return false
}

// resumes tells whether its stream may be taken up at another server.
func (r *req) resumes() bool { return r.route != nil && r.route.Resume }

// ran tells whether any go so far may have run.
func (r *req) ran() bool {
	for _, g := range r.goes {
		if g.How == Lost || g.How == Split {
			return true
		}
	}
	return false
}

type tag struct{}

// The life of a request.
var stages = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) { return c.Value(tag{}).(*req).stage, nil },
		func(c context.Context, s stateless.State) error {
			c.Value(tag{}).(*req).stage = s.(string)
			return nil
		}, stateless.FiringImmediate)
	s.Configure(Waiting).Permit("launch", Going).Permit("close", Closed)
	s.Configure(Going).Permit("begin", Flowing).Permit("back", Waiting).Permit("close", Closed)
	s.Configure(Flowing).Permit("back", Waiting).Permit("close", Closed)
	s.Configure(Closed).Ignore("close")
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

func (r *req) fire(what string) bool {
	was := r.stage
	_ = stages.FireCtx(context.WithValue(context.Background(), tag{}, r), what)
	return r.stage != was
}

// move is what comes next for a request.
type move struct {
	again bool         // wait for another go
	pay   bool         // which comes out of the allowance, or there is none
	owe   bool         // which waits until the allowance bears it
	kind  failure.Kind // the answer, when there is no other go
}

// patience is how long a go after a failed dial waits for the allowance: at night there may be
// none, and no server has been bothered yet.
const patience = clock.Span(1e9)

// What follows each end of a go, for requests that may not and that may be repeated.
var moves = map[End][2]move{
	Pending: {{again: true}, {again: true}},
	Kept:    {{again: true}, {again: true}},
	Unsent:  {{again: true, owe: true}, {again: true, owe: true}},
	Dropped: {{again: true, pay: true}, {again: true, pay: true}},
	Lost:    {{kind: failure.Unclear}, {again: true, pay: true}},
	Split:   {{kind: failure.Cut}, {kind: failure.Cut}},
	Done:    {{}, {}},
}

// next derives the next move from the ledger alone.
func (r *req) next(most int) move {
	if len(r.goes) == 0 {
		return move{again: true}
	}
	g := r.goes[len(r.goes)-1]
	m := moves[g.How][b2i(r.again())]
	if g.How == Dropped && g.Kind == failure.Repeated {
		return move{kind: failure.Repeated} // another server would run it a second time
	}
	if g.Begun && g.How == Lost {
		m = moves[Split][0]
	}
	if g.How == Split && r.resumes() {
		m = move{again: true, pay: true}
	}
	if r.route != nil {
		most = r.route.Tries
	}
	sent := 0
	for _, g := range r.goes {
		if g.How != Kept && g.How != Unsent {
			sent++
		}
	}
	if m.again && sent >= most {
		if g.How == Dropped && g.Kind == failure.Mismatch {
			return move{kind: failure.Moved} // what was known of the server was old: it is asked anew at once
		}
		return move{kind: failure.NotReady}
	}
	return m
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
