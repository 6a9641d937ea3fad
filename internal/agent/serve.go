package agent

import (
	"net/http"
	"os"
	"time"

	"github.com/alexedwards/flow"

	"tidedeck/internal/clock"
	"tidedeck/internal/connlimit"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Settings are the command-line flags and the settings file of an agent.
type Settings struct {
	Settings string   `help:"Settings file (JSON); flags take precedence." type:"path"`
	ID       string   `help:"Name of this agent." required:""`
	Zone     string   `help:"Zone of this agent." required:""`
	Listen   string   `help:"Address at which peers reach this agent (ip:port)." required:""`
	Bind     string   `help:"Address to listen on for peers, if different from the advertised one (ip:port)."`
	Near     string   `help:"Loopback address at which the router reaches this agent (ip:port)." required:""`
	Router   string   `help:"Loopback control address of the router (ip:port)." required:""`
	Admin    string   `help:"HTTP address for metrics and liveness (ip:port)." required:""`
	Seeds    []string `help:"Three seed addresses (ip:port)." required:""`
	KeepMs   int      `help:"Interval between lease renewals, in ms." default:"400"`
}

// Check returns the faults found in the settings.
func (s *Settings) Check() (faults fleetplan.Faults) {
	faults = append(faults, host.CheckAddr("listen", s.Listen)...)
	_, more := host.ListenAddr(s.Bind, s.Listen)
	faults = append(faults, more...)
	faults = append(faults, host.CheckLoopbackAddr("near", s.Near)...)
	faults = append(faults, host.CheckLoopbackAddr("router", s.Router)...)
	faults = append(faults, host.CheckAddr("admin", s.Admin)...)
	faults = append(faults, host.CheckSeeds(s.Seeds)...)
	if s.KeepMs < 50 || s.KeepMs > 10_000 {
		faults = append(faults, fleetplan.Fault{Path: "keep-ms", Why: "must be an integer from 50 to 10000"})
	}
	return faults
}

// Main runs an agent until it is signalled to stop.
func Main(s Settings) error {
	ring := host.NewLog(s.ID, os.Stderr)
	bind, _ := host.ListenAddr(s.Bind, s.Listen)
	core := New(Options{
		Self: protocol.Peer{ID: ident.Node(s.ID), Addr: s.Listen}, Zone: ident.Zone(s.Zone), Inc: host.NewIncarnation(), Life: ident.Incarnation(host.Now()),
		Seeds: host.SeedPeers(s.Seeds), Rand: host.NewRand(), RenewInterval: clock.Span(s.KeepMs) * 1e6,
		Router: protocol.Peer{ID: "router", Addr: s.Router},
	})
	server := host.New(host.Options{Core: core, Listen: []string{bind, s.Near}, NodeLimits: connlimit.Machine{}.Limits(connlimit.Nodes), Advertised: s.Listen, TickInterval: 20 * time.Millisecond, Log: ring, HandleOutput: func(any) {}})
	if err := server.Run(); err != nil {
		return err
	}
	defer server.Stop()
	mux := flow.New()
	host.AddHealthEndpoints(mux, "", func() (ok bool, _ map[string]any) {
		server.Locked(func(now clock.Instant) { ok = core.HasLease(now) })
		return ok, nil
	})
	mux.Handle("/metrics", host.MetricsHandler(server.WorkTimes(), host.StructMetrics{Name: "agent", Read: func() (t any) {
		server.Locked(func(clock.Instant) { t = core.Counts() })
		return t
	}}), http.MethodGet)
	return host.ServeUntilSignal(s.Admin, connlimit.Machine{}.Limits(connlimit.Operators), mux, ring, host.StopHooks{}, 5*time.Second)
}
