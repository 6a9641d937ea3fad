package controller

import (
	"context"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A spot is one key at one server, from the order to load it until a report shows that it is gone.
// What a report shows of it counts only once the report answers the last order for it.

// Stages of a spot.
const (
	Ordered   = "ordered"   // a load was sent or is about to be
	Ready     = "ready"     // loaded, and offered to routers
	Breaking  = "breaking"  // promises on it are being broken
	Draining  = "draining"  // every promise is gone; work under way ends
	Unloading = "unloading" // an unload was sent
	Gone      = "gone"
)

// What moves a spot.
const (
	SeeLoading = "see loading"
	SeeReady   = "see ready"
	SeeNone    = "see none"
	Evict      = "evict"
	Dropped    = "dropped"
	Idle       = "idle"
)

// spot is one key at one server.
type spot struct {
	key   ident.Key
	size  int
	stage string
	num   uint64                      // of the order last sent for it; zero if none was
	ready clock.Tick                  // since when it is ready
	busy  clock.Tick                  // when it last had work
	work  int                         // requests under way, as last reported
	since clock.Tick                  // when it came to its stage
	waits map[protocol.Session]uint64 // the change that each router must acknowledge before the spot drains
	cold  bool                        // its load comes from the store

	ordered clock.Tick // when the order that brings its stage about was sent
}

// tag is the key under which a context carries the spot that the state machine works on.
type tag struct{}

// spots is the life of a spot: one machine for all of them.
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

// fire moves a spot on by a trigger, and tells whether its stage changed.
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

// verbs names the order that brings a spot's stage about.
var verbs = map[string]string{Ordered: "load", Unloading: "unload"}

// placed tells that a spot is a replica, or is to be one.
func (p *spot) placed() bool { return p.stage == Ordered || p.stage == Ready }

// leaves tells that a spot is on its way out.
func (p *spot) leaves() bool {
	return p.stage == Breaking || p.stage == Draining || p.stage == Unloading
}

// unsent tells that a report can say nothing of a spot's order yet.
func (p *spot) unsent(num uint64) bool { return p.num > num || p.num == 0 && verbs[p.stage] != "" }
