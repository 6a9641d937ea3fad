package controller

import (
	"context"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A modelReplica is one key on one server, from the decision to load it until a report shows that the key is
// gone. A report is considered only if it is from after the last order for the replica.

// Stages of a replica.
const (
	Ordered   = "ordered"   // a load was ordered or is about to be
	Ready     = "ready"     // loaded, and listed in the entry for routers
	Breaking  = "breaking"  // its callbacks are being broken
	Draining  = "draining"  // no router holds a callback; running requests end
	Unloading = "unloading" // an unload was ordered
	Gone      = "gone"
)

// Triggers of stage changes.
const (
	SeeLoading = "see loading"
	SeeReady   = "see ready"
	SeeNone    = "see none"
	Evict      = "evict"
	Dropped    = "dropped"
	Idle       = "idle"
)

// modelReplica is one key on one server.
type spot struct {
	key   ident.Key
	size  int
	stage string
	num   uint64                      // count of the last order sent for the replica; zero if none was sent
	ready clock.Tick                  // since when the replica is ready
	busy  clock.Tick                  // when the replica last had work
	work  int                         // requests in progress, as last reported
	since clock.Tick                  // since when the replica is in its stage
	waits map[protocol.Session]uint64 // the change that each router must acknowledge before draining starts
	cold  bool                        // the load comes from the store

	ordered clock.Tick // when the order for the current stage was sent
}

// replicaContextKey is the context key of the replica that the state machine works on.
type tag struct{}

// replicaMachine is the state machine of replicas, shared by all of them.
var spots = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) { return c.Value(tag{}).(*spot).stage, nil },
		func(c context.Context, s stateless.State) error {
			c.Value(tag{}).(*spot).stage = s.(string)
			return nil
		}, stateless.FiringImmediate)
	s.Configure(Ordered).Permit(SeeReady, Ready).Permit(SeeNone, Gone).Ignore(SeeLoading)
	s.Configure(Ready).Permit(SeeNone, Gone).Permit(SeeLoading, Ordered).Permit(Evict, Breaking).Ignore(SeeReady)
	s.Configure(Breaking).Permit(SeeNone, Gone).Permit(Dropped, Draining).Ignore(SeeReady)
	s.Configure(Draining).Permit(SeeNone, Gone).Permit(Idle, Unloading).Ignore(SeeReady)
	s.Configure(Unloading).Permit(SeeNone, Gone).Permit(SeeReady, Draining)
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

// fire applies a trigger to a replica and reports whether the stage changed.
func (s *spot) fire(what string, now clock.Tick) bool {
	was := s.stage
	_ = spots.FireCtx(context.WithValue(context.Background(), tag{}, s), what)
	if s.stage != was {
		s.since = now
		if s.stage == Ready {
			s.ready = now
		}
	}
	return s.stage != was
}

// orderOps maps the stages that require an order to its operation.
var verbs = map[string]string{Ordered: "load", Unloading: "unload"}

// placed reports whether a replica is ready or ordered.
func (p *spot) placed() bool { return p.stage == Ordered || p.stage == Ready }

// leaving reports whether a replica is being evicted.
func (p *spot) leaves() bool {
	return p.stage == Breaking || p.stage == Draining || p.stage == Unloading
}

// orderUnreported reports whether a report with the given order count cannot reflect the replica's last order
// yet.
func (p *spot) unsent(num uint64) bool { return p.num > num || p.num == 0 && verbs[p.stage] != "" }
