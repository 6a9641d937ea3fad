package router

import (
	"io"
	"os"
	"time"

	"tidedeck/internal/agent"
	"tidedeck/internal/clock"
	"tidedeck/internal/connlimit"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// HostOptions configures a router that runs on a hosting platform, with its agent in the same process.
type HostOptions struct {
	ID                 string
	Zone               string
	IngressAddr        string                         // where clients connect
	ReadinessAddr      string                         // where the platform checks readiness
	AgentAddr          string                         // where other nodes reach the agent
	AdminAddr          string                         // where metrics and request traces are served
	MetricsAddr        string                         // additional address for metrics; none if empty
	Bind               func(advertised string) string // returns the address to listen on for an advertised address
	Seeds              []string
	FollowSeeds        func(step func(protocol.SeedsChanged)) // calls step with changed seeds as they arrive; no updates if nil
	LogOutput          io.Writer
	Dialect            Dialect
	ReadPlan           func([]byte) (*fleetplan.Plan, fleetplan.Faults)
	Grace              clock.Span // time in which the process has to stop
	LameDuck           clock.Span // how long after becoming unready the router still accepts clients
	RetryMargin        float64    // retries that all routers together may make in each RetryWindow in addition to RetryFraction
	RestartRetryMargin float64    // the same for restarted routers, in the first RetryWindow after their start
	RetryWindow        clock.Span
	FirstStart         bool // the whole system starts for the first time
	Machine            connlimit.Machine
	BodyBudget         int64   // maximum total size of the request bodies held at once, in bytes; unlimited if zero
	RetryFraction      float64 // retries allowed in any RetryWindow as a fraction of the first attempts at a service

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
func (h HostOptions) newCores() (*Core, *agent.Core) {
	h.ReadPlan = h.planCache.Plan
	core := New(Options{
		Self: protocol.Peer{ID: localRouter, Addr: localRouter}, Inc: host.NewIncarnation(), Agent: protocol.Peer{Addr: localAgent},
		ReadPlan: h.ReadPlan, Zone: ident.Zone(h.Zone), StatelessServers: true, ServersEnforcePlacement: true, HelloInterval: clock.Span(helloInterval), RetryMargin: h.RetryMargin, RestartRetryMargin: h.RestartRetryMargin, RetryWindow: h.RetryWindow, RetryFraction: h.RetryFraction * earnedShare, RetryCreditTTL: allowanceLifetime(h.RetryWindow), Restarted: !h.FirstStart,
	})
	agentCore := agent.New(agent.Options{
		Self: protocol.Peer{ID: ident.Node(h.ID), Addr: h.AgentAddr}, Zone: ident.Zone(h.Zone), Inc: host.NewIncarnation(), Life: ident.Incarnation(host.Now()),
		Seeds: host.SeedPeers(h.Seeds), Rand: host.NewRand(), FastRenewal: true, Router: protocol.Peer{ID: localRouter, Addr: localRouter},
	})
	return core, agentCore
}

// parsePlansAhead parses the plans addressed to the router before its core gets them, so that requests do not wait
// for the parser.
func (h HostOptions) parsePlansAhead(env protocol.Envelope) {
	updates, ok := env.Body.(protocol.Updates)
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
	return HeadLimits{Bytes: p.MaxHeaderBytes, Timeout: p.HeaderTimeout}
}

// RunHosted runs a router and its agent on a hosting platform until the process receives a stop signal.
func RunHosted(h HostOptions) error {
	ring := host.NewLogWith(host.LogOptions{Name: h.ID, DumpTo: os.Stderr, JSONLines: h.LogOutput})
	h.planCache = &fleetplan.Memo{Read: h.ReadPlan}
	core, agentCore := h.newCores()
	requestLog := NewRequestLog(h.ID, ring, defaultRequestLogSize)
	var routerProcess, agentProcess *host.Process
	currentPlan := func() (p *fleetplan.Plan) {
		routerProcess.Locked(func(clock.Instant) { p = core.plan })
		return p
	}
	bodyLimits := func() (size int64, wait time.Duration) {
		if p := currentPlan(); p != nil {
			size, wait = int64(p.MaxBodyBytes), p.IdleTimeout
		}
		return size, wait
	}
	headLimits := func() HeadLimits { return planHeadLimits(currentPlan()) }
	idleTimeout := func() (timeout time.Duration) {
		if p := currentPlan(); p != nil {
			timeout = p.IdleTimeout
		}
		return timeout
	}
	relay := NewRelay(RelayOptions{Dialect: h.Dialect, OnRefusal: requestLog.Add, BodyBudget: h.BodyBudget, BodyLimits: bodyLimits, Conns: ConnOptions{Dialer: host.Dialer(h.IngressAddr, serverDialTimeout), MaxIdle: h.Machine.IdleConnections()}})
	routerProcess = host.New(host.Options{Core: core, TickInterval: routerTickInterval, Log: ring, HandleOutput: requestLog.Intercept(relay.Deliver),
		LocalCores: map[string]func(protocol.Envelope){localAgent: func(env protocol.Envelope) { agentProcess.Step(env) }}})
	agentProcess = host.New(host.Options{Core: agentCore, Listen: []string{h.Bind(h.AgentAddr)}, NodeLimits: h.Machine.Limits(connlimit.Nodes), Advertised: h.AgentAddr, TickInterval: agentTickInterval, DialTimeout: agentDialTimeout, Log: ring, HandleOutput: func(any) {},
		LocalCores: map[string]func(protocol.Envelope){localRouter: func(env protocol.Envelope) {
			h.parsePlansAhead(env)
			routerProcess.Step(env)
		}}})
	relay.SetDecider(NewHostedDecider(routerProcess, core))
	if err := agentProcess.Run(); err != nil {
		return err
	}
	defer agentProcess.Stop()
	if h.FollowSeeds != nil {
		h.FollowSeeds(func(r protocol.SeedsChanged) { agentProcess.Step(r) })
	}
	if err := routerProcess.Run(); err != nil {
		return err
	}
	defer routerProcess.Stop()
	ready := func() (ok bool) {
		routerProcess.Locked(func(now clock.Instant) {
			_, epoch, held := core.InForce(now)
			ok = epoch > 0 && (held || core.routesUnleased())
		})
		return ok
	}
	defer host.ServeOperators(ring, h.Machine.Limits(connlimit.Operators), operatorRoutes(requestLog, metrics(routerProcess, core, relay, requestLog)), h.Bind(h.AdminAddr), h.Bind(h.MetricsAddr))()
	stop := host.StopSignal()
	go func() {
		<-stop
		time.Sleep(rejectWaitingAfter(h.Grace))
		routerProcess.Step(protocol.Stop{})
	}()
	return ServeRelay(stop, RelayServer{Relay: relay, Ingress: h.Bind(h.IngressAddr), Readiness: h.Bind(h.ReadinessAddr), Ready: ready,
		PlanIdleTimeout: idleTimeout, PlanHeadLimits: headLimits, LameDuck: h.LameDuck, Grace: forceCloseAfter(h.Grace), Machine: h.Machine})
}
