package controller

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/alexedwards/flow"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Settings of a core node.
type Settings struct {
	Settings string   `help:"File of settings, JSON; flags go before it." type:"path"`
	ID       string   `help:"This node's name." required:""`
	Zone     string   `help:"This node's zone." required:""`
	Listen   string   `help:"Where siblings reach this node, ip:port." required:""`
	Bind     string   `help:"Where it listens for siblings, if not at the address that they are told, ip:port."`
	Admin    string   `help:"Where operators reach this node over HTTP, ip:port." required:""`
	Seeds    []string `help:"Three seed addresses, ip:port." required:""`
	Data     string   `help:"Data folder." required:"" type:"path"`
	Platform string   `help:"The platform's address, ip:port." required:""`
	HoldMs   int      `help:"A router's hold, in ms." default:"2000"`
	DutyMs   int      `help:"The duty's hold, in ms." default:"1200"`
	LeadMs   int      `help:"What a maintenance window closes is drained so long before it, in ms." default:"60000"`
	SpareMs  int      `help:"A voter gone for so long is replaced by a spare, in ms." default:"6000"`
}

// Check names what is wrong with the settings.
func (s *Settings) Check() (f fleetplan.Faults) {
	f = append(f, host.Addr("listen", s.Listen)...)
	_, more := host.Bind(s.Bind, s.Listen)
	f = append(f, more...)
	f = append(f, host.Addr("admin", s.Admin)...)
	f = append(f, host.Addr("platform", s.Platform)...)
	f = append(f, host.Seeds(s.Seeds)...)
	for _, n := range []struct {
		path     string
		val, low int
		high     int
	}{{"hold-ms", s.HoldMs, 200, 60_000}, {"duty-ms", s.DutyMs, 200, 60_000}, {"spare-ms", s.SpareMs, 1000, 86_400_000}, {"lead-ms", s.LeadMs, 1, 86_400_000}} {
		if n.val < n.low || n.val > n.high {
			f = append(f, fleetplan.Fault{Path: n.path, Why: fmt.Sprintf("wants a whole number from %d to %d", n.low, n.high)})
		}
	}
	return f
}

type desk struct {
	mu   sync.Mutex // guards waits; taken after the host's
	next uint64
	wait map[uint64]chan Receipt
	c    *host.Process
}

func (d *desk) ask(a Admin) Receipt {
	ch := make(chan Receipt, 1)
	d.mu.Lock()
	d.next++
	a.Token = d.next
	d.wait[a.Token] = ch
	d.mu.Unlock()
	d.c.Step(a)
	select {
	case r := <-ch:
		return r
	case <-time.After(receiptLimit):
		d.mu.Lock()
		delete(d.wait, a.Token)
		d.mu.Unlock()
		return Receipt{Kind: failure.Unclear, Why: "no outcome in time"}
	}
}

const (
	receiptLimit  = mostChangeWait + time.Second // that a request waits for its receipt
	handoverLimit = 3 * time.Second              // that a stopping node waits for a spare to take its seat
	handoverPoll  = 50 * time.Millisecond        // between two looks whether it has
)

// stop has the core give back what it holds, and waits until a spare node, if there is one, has its seat.
func (d *desk) stop(core *Core) {
	d.c.Step(protocol.Stop{})
	handing := true
	for end := time.Now().Add(handoverLimit); handing && time.Now().Before(end); time.Sleep(handoverPoll) {
		d.c.With(func(clock.Tick) { handing = core.HandingOver() })
	}
	d.c.Flush(300 * time.Millisecond)
}

func (d *desk) act(o any) {
	a, ok := o.(Receipt)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ch := d.wait[a.Token]; ch != nil {
		ch <- a
		delete(d.wait, a.Token)
	}
}

// Main runs a core node until it is told to stop.
func Main(s Settings) error {
	ring := host.NewRing(s.ID, os.Stderr)
	at, _ := host.Bind(s.Bind, s.Listen)
	core := New(Options{
		Me: protocol.Sibling{ID: ident.Node(s.ID), Addr: s.Listen}, Zone: ident.Zone(s.Zone), Inc: host.NewInc(),
		Seeds: host.Siblings(s.Seeds), Platform: s.Platform, Rand: host.NewRand(),
		Hold: clock.Span(s.HoldMs) * 1e6, Duty: clock.Span(s.DutyMs) * 1e6, Spare: clock.Span(s.SpareMs) * 1e6,
		Lead: clock.Span(s.LeadMs) * 1e6, Wall: time.Now,
	})
	d := &desk{wait: map[uint64]chan Receipt{}}
	d.c = host.New(host.Options{Core: core, Listen: []string{at}, Told: s.Listen, Data: s.Data, Beat: 20 * time.Millisecond, Ring: ring, Else: d.act})
	if err := d.c.Run(); err != nil {
		return err
	}
	defer d.c.Stop()
	err := host.Web(s.Admin, d.routes(core), ring, nil, 10*time.Second)
	d.stop(core)
	return err
}

func (d *desk) routes(core *Core) http.Handler {
	m := flow.New()
	show := func(w http.ResponseWriter, a Receipt) {
		if a.Kind == failure.None {
			host.JSON(w, http.StatusOK, a)
			return
		}
		t := failure.Receipts[a.Kind]
		if t.Back > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(int64((t.Back+time.Second-1)/time.Second)))
		}
		host.JSON(w, t.Status, a)
	}
	change := func(op string, body bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			a := Admin{Op: op, Zone: ident.Zone(r.PathValue("zone")), Change: r.Header.Get("X-Change-Id")}
			if body {
				b, ok := host.Body(w, r, fleetplan.MostPlan)
				if !ok {
					return
				}
				a.Raw = b
			}
			if a.Zone != "" && len(a.Zone) > 128 || len(a.Change) > 128 {
				host.Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "X-Change-Id", Why: "a name has at most 128 bytes"}})
				return
			}
			switch e := r.Header.Get("X-Expect-Epoch"); e {
			case "":
				host.Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "X-Expect-Epoch", Why: "is missing: the epoch that the change goes on, or any"}})
				return
			case "any":
				a.Any = true
			default:
				n, err := strconv.ParseUint(e, 10, 64)
				if err != nil {
					host.Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "X-Expect-Epoch", Why: "wants a whole number, or any"}})
					return
				}
				a.Expect = ident.Epoch(n)
			}
			show(w, d.ask(a))
		}
	}
	m.HandleFunc("/plan", change("put", true), http.MethodPut)
	m.HandleFunc("/plan", change("patch", true), http.MethodPatch)
	m.HandleFunc("/zones/:zone/empty", change("empty", false), http.MethodPost)
	m.HandleFunc("/zones/:zone/refill", change("refill", false), http.MethodPost)
	m.HandleFunc("/windows", change("windows", true), http.MethodPut)
	m.HandleFunc("/plan", func(w http.ResponseWriter, r *http.Request) {
		a := d.ask(Admin{Op: "get"})
		if a.Kind != failure.None || len(a.Plan) == 0 {
			if a.Kind == failure.None {
				a.Kind, a.Why = failure.Unknown, "there is no plan yet"
			}
			show(w, a)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Epoch", fmt.Sprint(a.Epoch))
		_, _ = w.Write(a.Plan)
	}, http.MethodGet)
	for _, op := range []string{"nodes", "servers", "holds", "status"} {
		m.HandleFunc("/"+op, func(w http.ResponseWriter, r *http.Request) { show(w, d.ask(Admin{Op: op})) }, http.MethodGet)
	}
	m.HandleFunc("/core/replace/:old/:new", func(w http.ResponseWriter, r *http.Request) {
		show(w, d.ask(Admin{Op: "replace", Old: ident.Node(r.PathValue("old")), New: ident.Node(r.PathValue("new"))}))
	}, http.MethodPost)
	m.HandleFunc("/core/form", func(w http.ResponseWriter, r *http.Request) { show(w, d.ask(Admin{Op: "form"})) }, http.MethodPost)
	host.Life(m, "", func() (ok bool, _ map[string]any) {
		d.c.With(func(clock.Tick) { ok = core.Ready() })
		return ok, nil
	})
	m.Handle("/metrics", host.Metrics(d.c.Times(), host.Tallies{Name: "controller", Get: func() (t any) {
		d.c.With(func(clock.Tick) { t = core.Counts() })
		return t
	}}), http.MethodGet)
	return m
}
