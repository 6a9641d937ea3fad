package awl

import (
	"net/http"
	"os"
	"time"

	"github.com/alexedwards/flow"

	"tidedeck/chisel"
	"tidedeck/clamp"
	"tidedeck/dowel"
	"tidedeck/gauge"
)

// Settings of an agent.
type Settings struct {
	Settings string   `help:"File of settings, JSON; flags go before it." type:"path"`
	ID       string   `help:"This agent's name." required:""`
	Zone     string   `help:"This agent's zone." required:""`
	Listen   string   `help:"Where siblings reach this agent, ip:port." required:""`
	Bind     string   `help:"Where it listens for siblings, if not at the address that they are told, ip:port."`
	Near     string   `help:"Where the router reaches this agent, on loopback, ip:port." required:""`
	Lathe    string   `help:"The router's control address on loopback, ip:port." required:""`
	Admin    string   `help:"Where metrics and liveness are served over HTTP, ip:port." required:""`
	Seeds    []string `help:"Three seed addresses, ip:port." required:""`
	KeepMs   int      `help:"Between two renewals of the hold, in ms." default:"400"`
}

// Check names what is wrong with the settings.
func (s *Settings) Check() (f chisel.Faults) {
	f = append(f, clamp.Addr("listen", s.Listen)...)
	_, more := clamp.Bind(s.Bind, s.Listen)
	f = append(f, more...)
	f = append(f, clamp.Near("near", s.Near)...)
	f = append(f, clamp.Near("lathe", s.Lathe)...)
	f = append(f, clamp.Addr("admin", s.Admin)...)
	f = append(f, clamp.Seeds(s.Seeds)...)
	if s.KeepMs < 50 || s.KeepMs > 10_000 {
		f = append(f, chisel.Fault{Path: "keep-ms", Why: "wants a whole number from 50 to 10000"})
	}
	return f
}

// Main runs an agent until it is told to stop.
func Main(s Settings) error {
	ring := clamp.NewRing(s.ID, os.Stderr)
	at, _ := clamp.Bind(s.Bind, s.Listen)
	core := New(Options{
		Me: dowel.Sibling{ID: gauge.Node(s.ID), Addr: s.Listen}, Zone: gauge.Zone(s.Zone), Inc: clamp.NewInc(), Life: gauge.Inc(clamp.Now()),
		Seeds: clamp.Siblings(s.Seeds), Rand: clamp.NewRand(), Keep: gauge.Span(s.KeepMs) * 1e6,
		Lathe: dowel.Sibling{ID: "lathe", Addr: s.Lathe},
	})
	c := clamp.New(clamp.Options{Core: core, Listen: []string{at, s.Near}, Told: s.Listen, Beat: 20 * time.Millisecond, Ring: ring, Else: func(any) {}})
	if err := c.Run(); err != nil {
		return err
	}
	defer c.Stop()
	m := flow.New()
	clamp.Life(m, "", func() (ok bool, _ map[string]any) {
		c.With(func(now gauge.Tick) { ok = core.Held(now) })
		return ok, nil
	})
	m.Handle("/metrics", clamp.Metrics(clamp.Tallies{Name: "awl", Get: func() (t any) {
		c.With(func(gauge.Tick) { t = core.Counts() })
		return t
	}}), http.MethodGet)
	return clamp.Web(s.Admin, m, ring, nil, 5*time.Second)
}
