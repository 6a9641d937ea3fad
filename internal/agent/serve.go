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

// Settings of an agent.
type Settings struct {
	Settings string   `help:"File of settings, JSON; flags go before it." type:"path"`
	ID       string   `help:"This agent's name." required:""`
	Zone     string   `help:"This agent's zone." required:""`
	Listen   string   `help:"Where siblings reach this agent, ip:port." required:""`
	Bind     string   `help:"Where it listens for siblings, if not at the address that they are told, ip:port."`
	Near     string   `help:"Where the router reaches this agent, on loopback, ip:port." required:""`
	Router   string   `help:"The router's control address on loopback, ip:port." required:""`
	Admin    string   `help:"Where metrics and liveness are served over HTTP, ip:port." required:""`
	Seeds    []string `help:"Three seed addresses, ip:port." required:""`
	KeepMs   int      `help:"Between two renewals of the hold, in ms." default:"400"`
}

// Check names what is wrong with the settings.
func (s *Settings) Check() (f fleetplan.Faults) {
	f = append(f, host.Addr("listen", s.Listen)...)
	_, more := host.Bind(s.Bind, s.Listen)
	f = append(f, more...)
	f = append(f, host.Near("near", s.Near)...)
	f = append(f, host.Near("router", s.Router)...)
	f = append(f, host.Addr("admin", s.Admin)...)
	f = append(f, host.Seeds(s.Seeds)...)
	if s.KeepMs < 50 || s.KeepMs > 10_000 {
		f = append(f, fleetplan.Fault{Path: "keep-ms", Why: "wants a whole number from 50 to 10000"})
	}
	return f
}

// Main runs an agent until it is told to stop.
func Main(s Settings) error {
	ring := host.NewRing(s.ID, os.Stderr)
	at, _ := host.Bind(s.Bind, s.Listen)
	core := New(Options{
		Me: protocol.Sibling{ID: ident.Node(s.ID), Addr: s.Listen}, Zone: ident.Zone(s.Zone), Inc: host.NewInc(), Life: ident.Inc(host.Now()),
		Seeds: host.Siblings(s.Seeds), Rand: host.NewRand(), Keep: clock.Span(s.KeepMs) * 1e6,
		Router: protocol.Sibling{ID: "router", Addr: s.Router},
	})
	c := host.New(host.Options{Core: core, Listen: []string{at, s.Near}, Told: s.Listen, Beat: 20 * time.Millisecond, Ring: ring, Else: func(any) {}})
	if err := c.Run(); err != nil {
		return err
	}
	defer c.Stop()
	m := flow.New()
	host.Life(m, "", func() (ok bool, _ map[string]any) {
		c.With(func(now clock.Tick) { ok = core.Held(now) })
		return ok, nil
	})
	m.Handle("/metrics", host.Metrics(c.Times(), host.Tallies{Name: "agent", Get: func() (t any) {
		c.With(func(clock.Tick) { t = core.Counts() })
		return t
	}}), http.MethodGet)
	return host.Web(s.Admin, m, ring, nil, 5*time.Second)
}
