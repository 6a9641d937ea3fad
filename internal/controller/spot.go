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
	ReportedLoading   = "see loading"
	ReportedReady     = "see ready"
	ReportedAbsent    = "see none"
	Evict             = "evict"
	CallbacksReleased = "dropped"
	WorkEnded         = "idle"
)

// modelReplica is one key on one server.
type modelReplica struct {
	key           ident.Key
	size          int
	stage         string
	orderNum      uint64                      // count of the last order sent for the replica; zero if none was sent
	readySince    clock.Instant               // since when the replica is ready
	lastActive    clock.Instant               // when the replica last had work
	running       int                         // requests in progress, as last reported
	stageSince    clock.Instant               // since when the replica is in its stage
	unackedBreaks map[protocol.Session]uint64 // the change that each router must acknowledge before draining starts
	fromStore     bool                        // the load comes from the store

	orderedAt clock.Instant // when the order for the current stage was sent
}

// replicaContextKey is the context key of the replica that the state machine works on.
type replicaContextKey struct{}

// replicaMachine is the state machine of replicas, shared by all of them.
var replicaMachine = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) {
			return c.Value(replicaContextKey{}).(*modelReplica).stage, nil
		},
		func(c context.Context, s stateless.State) error {
			c.Value(replicaContextKey{}).(*modelReplica).stage = s.(string)
			return nil
		}, stateless.FiringImmediate)
	s.Configure(Ordered).Permit(ReportedReady, Ready).Permit(ReportedAbsent, Gone).Ignore(ReportedLoading)
	s.Configure(Ready).Permit(ReportedAbsent, Gone).Permit(ReportedLoading, Ordered).Permit(Evict, Breaking).Ignore(ReportedReady)
	s.Configure(Breaking).Permit(ReportedAbsent, Gone).Permit(CallbacksReleased, Draining).Ignore(ReportedReady)
	s.Configure(Draining).Permit(ReportedAbsent, Gone).Permit(WorkEnded, Unloading).Ignore(ReportedReady)
	s.Configure(Unloading).Permit(ReportedAbsent, Gone).Permit(ReportedReady, Draining)
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

// fire applies a trigger to a replica and reports whether the stage changed.
func (s *modelReplica) fire(what string, now clock.Instant) bool {
	was := s.stage
	_ = replicaMachine.FireCtx(context.WithValue(context.Background(), replicaContextKey{}, s), what)
	if s.stage != was {
		s.stageSince = now
		if s.stage == Ready {
			s.readySince = now
		}
	}
	return s.stage != was
}

// orderOps maps the stages that require an order to its operation.
var orderOps = map[string]string{Ordered: "load", Unloading: "unload"}

// placed reports whether a replica is ready or ordered.
func (p *modelReplica) placed() bool { return p.stage == Ordered || p.stage == Ready }

// leaving reports whether a replica is being evicted.
func (p *modelReplica) leaving() bool {
	return p.stage == Breaking || p.stage == Draining || p.stage == Unloading
}

// orderUnreported reports whether a report with the given order count cannot reflect the replica's last order
// yet.
func (p *modelReplica) orderUnreported(num uint64) bool {
	return p.orderNum > num || p.orderNum == 0 && orderOps[p.stage] != ""
}
