package agent

import (
	"net/http"
	"os"
	"time"

	"github.com/alexedwards/flow"

	"tidedeck/internal/clock"
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
	faults = append(faults, host.Addr("listen", s.Listen)...)
	_, more := host.Bind(s.Bind, s.Listen)
	faults = append(faults, more...)
	faults = append(faults, host.Near("near", s.Near)...)
	faults = append(faults, host.Near("router", s.Router)...)
	faults = append(faults, host.Addr("admin", s.Admin)...)
	faults = append(faults, host.Seeds(s.Seeds)...)
	if s.KeepMs < 50 || s.KeepMs > 10_000 {
		faults = append(faults, fleetplan.Fault{Path: "keep-ms", Why: "must be an integer from 50 to 10000"})
	}
	return faults
}

// Main runs an agent until it is signalled to stop.
func Main(s Settings) error {
	ring := host.NewRing(s.ID, os.Stderr)
	bind, _ := host.Bind(s.Bind, s.Listen)
	core := New(Options{
		Me: protocol.Sibling{ID: ident.Node(s.ID), Addr: s.Listen}, Zone: ident.Zone(s.Zone), Inc: host.NewInc(), Life: ident.Inc(host.Now()),
		Seeds: host.Siblings(s.Seeds), Rand: host.NewRand(), Keep: clock.Span(s.KeepMs) * 1e6,
		Router: protocol.Sibling{ID: "router", Addr: s.Router},
	})
	server := host.New(host.Options{Core: core, Listen: []string{bind, s.Near}, Told: s.Listen, Beat: 20 * time.Millisecond, Ring: ring, Else: func(any) {}})
	if err := server.Run(); err != nil {
		return err
	}
	defer server.Stop()
	mux := flow.New()
	host.Life(mux, "", func() (ok bool, _ map[string]any) {
		server.With(func(now clock.Tick) { ok = core.Held(now) })
		return ok, nil
	})
	mux.Handle("/metrics", host.Metrics(server.Times(), host.Tallies{Name: "agent", Get: func() (t any) {
		server.With(func(clock.Tick) { t = core.Counts() })
		return t
	}}), http.MethodGet)
	return host.Web(s.Admin, mux, ring, nil, 5*time.Second)
}
