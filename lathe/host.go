package lathe

import (
	"io"
	"net/http"
	"os"
	"time"

	"tidedeck/awl"
	"tidedeck/chisel"
	"tidedeck/clamp"
	"tidedeck/dowel"
	"tidedeck/gauge"
)

// HostOptions of a router that runs under a hosting platform, its agent in the same process.
type HostOptions struct {
	ID        string
	Zone      string
	Ingress   string // where callers come in
	Readiness string // where the platform asks whether they may
	Post      string // where other nodes reach the agent
	Admin     string // where metrics are
	Seeds     []string
	Logs      io.Writer
	Dialect   Dialect
	Read      func([]byte) (*chisel.Plan, chisel.Faults)
	Grace     gauge.Span // to stop in
	Lame      gauge.Span // callers still come for so long after a router says that it stops
	Lend      float64    // arrivals beyond the first that the fleet is lent in each Window
	Window    gauge.Span
	Earn      float64 // and what each first arrival earns
}

const (
	nearLathe = "lathe"
	nearAwl   = "awl"
)

// Host runs a router and its agent under a hosting platform until it is told to stop.
func Host(h HostOptions) error {
	ring := clamp.NewRingWith(clamp.RingOptions{Name: h.ID, Out: os.Stderr, Lines: h.Logs})
	me := dowel.Sibling{ID: gauge.Node(h.ID), Addr: h.Post}
	core := New(Options{
		Me: dowel.Sibling{ID: nearLathe, Addr: nearLathe}, Inc: clamp.NewInc(), Awl: dowel.Sibling{Addr: nearAwl},
		Read: h.Read, Zone: gauge.Zone(h.Zone), Free: true, Guards: true, Hello: 100e6, Lend: h.Lend, Window: h.Window, Share: h.Earn,
	})
	agent := awl.New(awl.Options{
		Me: me, Zone: gauge.Zone(h.Zone), Inc: clamp.NewInc(), Life: gauge.Inc(clamp.Now()),
		Seeds: clamp.Siblings(h.Seeds), Rand: clamp.NewRand(), Brisk: true, Lathe: dowel.Sibling{ID: nearLathe, Addr: nearLathe},
	})
	var router, beside *clamp.Clamp
	limits := func() (most int64, wait time.Duration) {
		router.With(func(gauge.Tick) {
			if p := core.plan; p != nil {
				most, wait = int64(p.BodyMost), p.Idle
			}
		})
		return most, wait
	}
	relay := NewRelay(RelayOptions{Dialect: h.Dialect, Limits: limits, Conns: ConnOptions{Dialer: clamp.Dialer(h.Ingress, 400*time.Millisecond)}})
	router = clamp.New(clamp.Options{Core: core, Beat: 20 * time.Millisecond, Ring: ring, Else: relay.Act,
		Local: map[string]func(dowel.Env){nearAwl: func(e dowel.Env) { beside.Step(e) }}})
	beside = clamp.New(clamp.Options{Core: agent, Listen: []string{h.Post}, Told: h.Post, Beat: 25 * time.Millisecond, Dial: 200 * time.Millisecond, Ring: ring, Else: func(any) {},
		Local: map[string]func(dowel.Env){nearLathe: func(e dowel.Env) { router.Step(e) }}})
	relay.Use(Held(router, core))
	if err := beside.Run(); err != nil {
		return err
	}
	defer beside.Stop()
	if err := router.Run(); err != nil {
		return err
	}
	defer router.Stop()
	ready := func() (ok bool) {
		router.With(func(now gauge.Tick) {
			_, e, held := core.Rules(now)
			ok = e > 0 && (held || core.alone())
		})
		return ok
	}
	own := &http.Server{Addr: h.Admin, ReadHeaderTimeout: 10 * time.Second, Handler: metrics(router, core)}
	go func() { _ = own.ListenAndServe() }()
	defer own.Close()
	stop := clamp.Stopping()
	go func() {
		<-stop
		time.Sleep(h.Grace / 2)
		router.Step(dowel.Stop{})
	}()
	return ServeRelay(stop, RelayServe{Relay: relay, Ingress: h.Ingress, Readiness: h.Readiness, Ready: ready,
		Lame: h.Lame, Grace: h.Grace * 7 / 8})
}
