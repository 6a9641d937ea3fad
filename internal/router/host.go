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

// HostOptions configures a router that runs on a hosting platform, with its agent in the same process.
type HostOptions struct {
	ID        string
	Zone      string
	Ingress   string                         // where clients connect
	Readiness string                         // where the platform checks readiness
	Post      string                         // where other nodes reach the agent
	Admin     string                         // where metrics and request traces are served
	Metrics   string                         // additional address for metrics; none if empty
	Bind      func(advertised string) string // returns the address to listen on for an advertised address
	Seeds     []string
	Follow    func(step func(protocol.Reseed)) // calls step with changed seeds as they arrive; no updates if nil
	Logs      io.Writer
	Dialect   Dialect
	Read      func([]byte) (*fleetplan.Plan, fleetplan.Faults)
	Grace     clock.Span // time in which the process has to stop
	Lame      clock.Span // how long after becoming unready the router still accepts clients
	Lend      float64    // retries that all routers together may make in each RetryWindow in addition to RetryFraction
	LendAgain float64    // the same for restarted routers, in the first RetryWindow after their start
	Window    clock.Span
	First     bool    // the whole system starts for the first time
	Bodies    int64   // maximum total size of the request bodies held at once, in bytes; unlimited if zero
	Fraction  float64 // retries allowed in any RetryWindow as a fraction of the first attempts at a service

	planCache *fleetplan.Memo
}

const (
	localRouter = "router"
	localAgent  = "agent"

	helloInterval      = 100 * time.Millisecond // interval of the router's load reports
	routerTickInterval = 20 * time.Millisecond  // interval at which the router's core examines waiting requests
	agentTickInterval  = 25 * time.Millisecond
	serverDialTimeout  = 400 * time.Millisecond // a server that takes longer to connect to is skipped
	agentDialTimeout   = 200 * time.Millisecond // a node without power must not delay the link to the controller
)

// rejectWaitingAfter returns when a stopping router rejects the requests that still wait for a server: after half
// of the grace period, so that their clients have time to go elsewhere. forceCloseAfter returns when the router
// closes the remaining connections, which leaves an eighth of the grace period for its own shutdown.
func rejectWaitingAfter(grace clock.Span) clock.Span { return grace / 2 }
func forceCloseAfter(grace clock.Span) clock.Span    { return grace * 7 / 8 }

// earnedShare is the part of the retry fraction that each first attempt adds to the retry allowance. The
// allowance is kept for allowanceLifetime, so that the retries in any window, including those saved up before it,
// stay within the retry fraction.
const earnedShare = 0.8

// allowanceLifetime returns how long an earned retry allowance may be spent.
func allowanceLifetime(window clock.Span) clock.Span {
	return clock.Span(float64(window) * (1/earnedShare - 1))
}

// newCores creates the cores of the router and of its agent, which share the process.
func (h HostOptions) cores() (*Core, *agent.Core) {
	h.Read = h.planCache.Plan
	core := New(Options{
		Me: protocol.Sibling{ID: localRouter, Addr: localRouter}, Inc: host.NewInc(), Agent: protocol.Sibling{Addr: localAgent},
		Read: h.Read, Zone: ident.Zone(h.Zone), Free: true, Guards: true, Hello: clock.Span(helloInterval), Lend: h.Lend, LendAgain: h.LendAgain, Window: h.Window, Share: h.Fraction * earnedShare, Save: allowanceLifetime(h.Window), Restarted: !h.First,
	})
	agentCore := agent.New(agent.Options{
		Me: protocol.Sibling{ID: ident.Node(h.ID), Addr: h.Post}, Zone: ident.Zone(h.Zone), Inc: host.NewInc(), Life: ident.Inc(host.Now()),
		Seeds: host.Siblings(h.Seeds), Rand: host.NewRand(), Brisk: true, Router: protocol.Sibling{ID: localRouter, Addr: localRouter},
	})
	return core, agentCore
}

// parsePlansAhead parses the plans addressed to the router before its core gets them, so that requests do not wait
// for the parser.
func (h HostOptions) parsePlansAhead(env protocol.Env) {
	updates, ok := env.Body.(protocol.News)
	if !ok {
		return
	}
	for _, item := range updates.Items {
		if item.Desired != nil && len(item.Desired.Plan) > 0 {
			_, _ = h.planCache.Plan(item.Desired.Plan)
		}
	}
}

// planHeadLimits returns the limits on request heads that a plan sets, or no limits without a plan.
func planHeadLimits(p *fleetplan.Plan) HeadLimits {
	if p == nil {
		return HeadLimits{}
	}
	return HeadLimits{Bytes: p.HeadMost, Timeout: p.HeadWait}
}

// RunHosted runs a router and its agent on a hosting platform until the process receives a stop signal.
func Host(h HostOptions) error {
	ring := host.NewRingWith(host.RingOptions{Name: h.ID, Out: os.Stderr, Lines: h.Logs})
	h.planCache = &fleetplan.Memo{Read: h.Read}
	core, agentCore := h.cores()
	requestLog := NewRequestLog(h.ID, ring, defaultRequestLogSize)
	var routerProcess, agentProcess *host.Process
	currentPlan := func() (p *fleetplan.Plan) {
		routerProcess.With(func(clock.Tick) { p = core.plan })
		return p
	}
	bodyLimits := func() (size int64, wait time.Duration) {
		if p := currentPlan(); p != nil {
			size, wait = int64(p.BodyMost), p.Idle
		}
		return size, wait
	}
	headLimits := func() HeadLimits { return planHeadLimits(currentPlan()) }
	idleTimeout := func() (timeout time.Duration) {
		if p := currentPlan(); p != nil {
			timeout = p.Idle
		}
		return timeout
	}
	relay := NewRelay(RelayOptions{Dialect: h.Dialect, OnRefusal: requestLog.Add, BodyBudget: h.Bodies, BodyLimits: bodyLimits, Conns: ConnOptions{Dialer: host.Dialer(h.Ingress, serverDialTimeout)}})
	routerProcess = host.New(host.Options{Core: core, Beat: routerTickInterval, Ring: ring, Else: requestLog.Intercept(relay.Act),
		Local: map[string]func(protocol.Env){localAgent: func(env protocol.Env) { agentProcess.Step(env) }}})
	agentProcess = host.New(host.Options{Core: agentCore, Listen: []string{h.Bind(h.Post)}, Told: h.Post, Beat: agentTickInterval, Dial: agentDialTimeout, Ring: ring, Else: func(any) {},
		Local: map[string]func(protocol.Env){localRouter: func(env protocol.Env) {
			h.parsePlansAhead(env)
			routerProcess.Step(env)
		}}})
	relay.Use(NewHostedDecider(routerProcess, core))
	if err := agentProcess.Run(); err != nil {
		return err
	}
	defer agentProcess.Stop()
	if h.Follow != nil {
		h.Follow(func(r protocol.Reseed) { agentProcess.Step(r) })
	}
	if err := routerProcess.Run(); err != nil {
		return err
	}
	defer routerProcess.Stop()
	ready := func() (ok bool) {
		routerProcess.With(func(now clock.Tick) {
			_, epoch, held := core.Rules(now)
			ok = epoch > 0 && (held || core.alone())
		})
		return ok
	}
	defer host.ServeBeside(ring, operatorRoutes(requestLog, metrics(routerProcess, core, relay, requestLog)), h.Bind(h.Admin), h.Bind(h.Metrics))()
	stop := host.Stopping()
	go func() {
		<-stop
		time.Sleep(rejectWaitingAfter(h.Grace))
		routerProcess.Step(protocol.Stop{})
	}()
	return ServeRelay(stop, RelayServe{Relay: relay, Ingress: h.Bind(h.Ingress), Readiness: h.Bind(h.Readiness), Ready: ready,
		Resting: idleTimeout, PlanHeadLimits: headLimits, Lame: h.Lame, Grace: forceCloseAfter(h.Grace)})
}
