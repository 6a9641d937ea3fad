package router

import (
	"io"
	"os"
	"time"

	"tidedeck/internal/agent"
	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// HostOptions of a router that runs under a hosting platform, its agent in the same process.
type HostOptions struct {
	ID        string
	Zone      string
	Ingress   string                   // where callers come in
	Readiness string                   // where the platform asks whether they may
	Post      string                   // where other nodes reach the agent
	Admin     string                   // where metrics and traces are
	Metrics   string                   // and metrics a second time; nowhere if empty
	Bind      func(told string) string // where to listen for what others are told to reach at an address
	Seeds     []string
	Follow    func(step func(protocol.Reseed)) // tells of other seeds as they come; none if it is left out
	Logs      io.Writer
	Dialect   Dialect
	Read      func([]byte) (*fleetplan.Plan, fleetplan.Faults)
	Grace     clock.Span // to stop in
	Lame      clock.Span // callers still come for so long after a router says that it stops
	Lend      float64    // arrivals beyond the first that the fleet is lent in each Window
	LendAgain float64    // the same for lives that follow another, in the first Window of each
	Window    clock.Span
	First     bool    // the whole system starts for the first time
	Bodies    int64   // bytes of requests' bodies that are held at once; no bound if zero
	Fraction  float64 // of first arrivals at a service that further ones may come to in any Window

	plans *fleetplan.Memo
}

const (
	nearRouter = "router"
	nearAgent  = "agent"

	hostedHello = 100 * time.Millisecond // a router tells its load so often
	routerBeat  = 20 * time.Millisecond  // its core looks at what waits so often
	agentBeat   = 25 * time.Millisecond
	serverDial  = 400 * time.Millisecond // a server that takes longer to connect to is passed over
	agentDial   = 200 * time.Millisecond // a node without power must not hold up the link to the core
)

// turnAwayAfter is when a router that stops tells those who still wait to go elsewhere: at half of its grace, so that
// they have time for that. endAfter is when it cuts what is left, with an eighth in hand for its own end.
func turnAwayAfter(grace clock.Span) clock.Span { return grace / 2 }
func endAfter(grace clock.Span) clock.Span      { return grace * 7 / 8 }

// earnedPart is the part of the retry fraction that first arrivals earn. What they earned is kept for so long that all that may be
// spent in a window, from before it as well, is within the fraction.
const earnedPart = 0.8

// savedFor is how long what was earned may be spent.
func savedFor(window clock.Span) clock.Span {
	return clock.Span(float64(window) * (1/earnedPart - 1))
}

// cores makes the router and its agent, which share the process.
func (h HostOptions) cores() (*Core, *agent.Core) {
	h.Read = h.plans.Plan
	core := New(Options{
		Me: protocol.Sibling{ID: nearRouter, Addr: nearRouter}, Inc: host.NewInc(), Agent: protocol.Sibling{Addr: nearAgent},
		Read: h.Read, Zone: ident.Zone(h.Zone), Free: true, Guards: true, Hello: clock.Span(hostedHello), Lend: h.Lend, LendAgain: h.LendAgain, Window: h.Window, Share: h.Fraction * earnedPart, Save: savedFor(h.Window), Restarted: !h.First,
	})
	beside := agent.New(agent.Options{
		Me: protocol.Sibling{ID: ident.Node(h.ID), Addr: h.Post}, Zone: ident.Zone(h.Zone), Inc: host.NewInc(), Life: ident.Inc(host.Now()),
		Seeds: host.Siblings(h.Seeds), Rand: host.NewRand(), Brisk: true, Router: protocol.Sibling{ID: nearRouter, Addr: nearRouter},
	})
	return core, beside
}

// readAhead reads the plans that come for the router, so that requests need not wait meanwhile.
func (h HostOptions) readAhead(e protocol.Env) {
	news, ok := e.Body.(protocol.News)
	if !ok {
		return
	}
	for _, i := range news.Items {
		if i.Desired != nil && len(i.Desired.Plan) > 0 {
			_, _ = h.plans.Plan(i.Desired.Plan)
		}
	}
}

// headLimits gives what a plan allows heads to be; nothing is said without one.
func headLimits(p *fleetplan.Plan) HeadLimits {
	if p == nil {
		return HeadLimits{}
	}
	return HeadLimits{Bytes: p.HeadMost, Wait: p.HeadWait}
}

// Host runs a router and its agent under a hosting platform until it is told to stop.
func Host(h HostOptions) error {
	ring := host.NewRingWith(host.RingOptions{Name: h.ID, Out: os.Stderr, Lines: h.Logs})
	h.plans = &fleetplan.Memo{Read: h.Read}
	core, agent := h.cores()
	log := NewRequestLog(h.ID, ring, defaultRequestLog)
	var router, beside *host.Process
	inForce := func() (p *fleetplan.Plan) {
		router.With(func(clock.Tick) { p = core.plan })
		return p
	}
	limits := func() (most int64, wait time.Duration) {
		if p := inForce(); p != nil {
			most, wait = int64(p.BodyMost), p.Idle
		}
		return most, wait
	}
	heads := func() HeadLimits { return headLimits(inForce()) }
	resting := func() (told time.Duration) {
		if p := inForce(); p != nil {
			told = p.Idle
		}
		return told
	}
	relay := NewRelay(RelayOptions{Dialect: h.Dialect, Refused: log.Add, BodyBudget: h.Bodies, Limits: limits, Conns: ConnOptions{Dialer: host.Dialer(h.Ingress, serverDial)}})
	router = host.New(host.Options{Core: core, Beat: routerBeat, Ring: ring, Else: log.Tap(relay.Act),
		Local: map[string]func(protocol.Env){nearAgent: func(e protocol.Env) { beside.Step(e) }}})
	beside = host.New(host.Options{Core: agent, Listen: []string{h.Bind(h.Post)}, Told: h.Post, Beat: agentBeat, Dial: agentDial, Ring: ring, Else: func(any) {},
		Local: map[string]func(protocol.Env){nearRouter: func(e protocol.Env) {
			h.readAhead(e)
			router.Step(e)
		}}})
	relay.Use(Held(router, core))
	if err := beside.Run(); err != nil {
		return err
	}
	defer beside.Stop()
	if h.Follow != nil {
		h.Follow(func(r protocol.Reseed) { beside.Step(r) })
	}
	if err := router.Run(); err != nil {
		return err
	}
	defer router.Stop()
	ready := func() (ok bool) {
		router.With(func(now clock.Tick) {
			_, e, held := core.Rules(now)
			ok = e > 0 && (held || core.alone())
		})
		return ok
	}
	defer host.ServeBeside(ring, operatorRoutes(log, metrics(router, core, relay, log)), h.Bind(h.Admin), h.Bind(h.Metrics))()
	stop := host.Stopping()
	go func() {
		<-stop
		time.Sleep(turnAwayAfter(h.Grace))
		router.Step(protocol.Stop{})
	}()
	return ServeRelay(stop, RelayServe{Relay: relay, Ingress: h.Bind(h.Ingress), Readiness: h.Bind(h.Readiness), Ready: ready,
		Resting: resting, Heads: heads, Lame: h.Lame, Grace: endAfter(h.Grace)})
}
