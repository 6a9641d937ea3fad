package controller

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/alexedwards/flow"

	"tidedeck/internal/clock"
	"tidedeck/internal/connlimit"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Settings configures a core node.
type Settings struct {
	Settings string   `help:"JSON file with settings; flags take precedence." type:"path"`
	ID       string   `help:"This node's name." required:""`
	Zone     string   `help:"This node's zone." required:""`
	Listen   string   `help:"Address of this node for siblings, ip:port." required:""`
	Bind     string   `help:"Address to listen on for siblings if different from the advertised one, ip:port."`
	Admin    string   `help:"Address for operators over HTTP, ip:port." required:""`
	Seeds    []string `help:"Three seed addresses, ip:port." required:""`
	Data     string   `help:"Data folder." required:"" type:"path"`
	Platform string   `help:"The platform's address, ip:port." required:""`
	HoldMs   int      `help:"Duration of a router's lease, in ms." default:"2000"`
	DutyMs   int      `help:"Duration of the leadership lease, in ms." default:"1200"`
	LeadMs   int      `help:"Time before a maintenance window at which draining starts, in ms." default:"60000"`
	SpareMs  int      `help:"Absence after which a voter is replaced by a spare, in ms." default:"6000"`
}

// Check lists the faults in the settings.
func (s *Settings) Check() (faults fleetplan.Faults) {
	faults = append(faults, host.CheckAddr("listen", s.Listen)...)
	_, more := host.ListenAddr(s.Bind, s.Listen)
	faults = append(faults, more...)
	faults = append(faults, host.CheckAddr("admin", s.Admin)...)
	faults = append(faults, host.CheckAddr("platform", s.Platform)...)
	faults = append(faults, host.CheckSeeds(s.Seeds)...)
	for _, setting := range []struct {
		path     string
		val, low int
		high     int
	}{{"hold-ms", s.HoldMs, 200, 60_000}, {"duty-ms", s.DutyMs, 200, 60_000}, {"spare-ms", s.SpareMs, 1000, 86_400_000}, {"lead-ms", s.LeadMs, 1, 86_400_000}} {
		if setting.val < setting.low || setting.val > setting.high {
			faults = append(faults, fleetplan.Fault{Path: setting.path, Why: fmt.Sprintf("wants a whole number from %d to %d", setting.low, setting.high)})
		}
	}
	return faults
}

// adminServer serves operators' requests over HTTP and matches the core's receipts to them.
type adminServer struct {
	calls   pendingCalls[Receipt]
	process *host.Process
}

// request passes an operator's request to the core and waits for its receipt.
func (s *adminServer) request(a Admin) Receipt {
	token, reply := s.calls.begin()
	a.Token = token
	s.process.Step(a)
	select {
	case r := <-reply:
		return r
	case <-time.After(receiptTimeout):
		s.calls.abandon(token)
		return Receipt{Kind: failure.Unclear, Why: "the core did not answer in time"}
	}
}

const (
	receiptTimeout       = maxChangeWait + time.Second // for the receipt of a request
	handoverTimeout      = 3 * time.Second             // for a spare to replace a stopping node as voter
	handoverPollInterval = 50 * time.Millisecond       // between two checks whether the spare has
)

// stop has the core release its leases, and waits until a spare node, if there is one, has replaced it as voter.
func (s *adminServer) stop(core *Core) {
	s.process.Step(protocol.Stop{})
	handing := true
	for end := time.Now().Add(handoverTimeout); handing && time.Now().Before(end); time.Sleep(handoverPollInterval) {
		s.process.Locked(func(clock.Instant) { handing = core.HandingOver() })
	}
	s.process.Flush(300 * time.Millisecond)
}

// handleOutput passes a receipt from the core to the waiting request.
func (s *adminServer) handleOutput(o any) {
	if receipt, ok := o.(Receipt); ok {
		s.calls.answer(receipt.Token, receipt)
	}
}

// Main runs a core node until the process receives a signal to stop.
func Main(s Settings) error {
	ring := host.NewLog(s.ID, os.Stderr)
	listen, _ := host.ListenAddr(s.Bind, s.Listen)
	core := New(Options{
		Self: protocol.Peer{ID: ident.Node(s.ID), Addr: s.Listen}, Zone: ident.Zone(s.Zone), Inc: host.NewIncarnation(),
		Seeds: host.SeedPeers(s.Seeds), Platform: s.Platform, Rand: host.NewRand(),
		RouterLease: clock.Span(s.HoldMs) * 1e6, LeadershipLease: clock.Span(s.DutyMs) * 1e6, ReplaceAfter: clock.Span(s.SpareMs) * 1e6,
		DrainLead: clock.Span(s.LeadMs) * 1e6, WallClock: time.Now,
	})
	admin := &adminServer{}
	admin.process = host.New(host.Options{Core: core, Listen: []string{listen}, NodeLimits: connlimit.Machine{}.Limits(connlimit.Nodes), Advertised: s.Listen, DataDir: s.Data, TickInterval: 20 * time.Millisecond, Log: ring, HandleOutput: admin.handleOutput})
	if err := admin.process.Run(); err != nil {
		return err
	}
	defer admin.process.Stop()
	err := host.ServeUntilSignal(s.Admin, connlimit.Machine{}.Limits(connlimit.Control), admin.routes(core), ring, host.StopHooks{}, 10*time.Second)
	admin.stop(core)
	return err
}

// routes returns the HTTP handler for operators.
func (s *adminServer) routes(core *Core) http.Handler {
	mux := flow.New()
	writeReceipt := func(w http.ResponseWriter, a Receipt) {
		if a.Kind == failure.None {
			host.WriteJSON(w, http.StatusOK, a)
			return
		}
		response := failure.Responses[a.Kind]
		if response.RetryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(int64((response.RetryAfter+time.Second-1)/time.Second)))
		}
		host.WriteJSON(w, response.Status, a)
	}
	change := func(op string, body bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			a := Admin{Op: op, Zone: ident.Zone(r.PathValue("zone")), Change: r.Header.Get("X-Change-Id")}
			if body {
				b, ok := host.ReadBody(w, r, fleetplan.MaxPlanBytes)
				if !ok {
					return
				}
				a.Raw = b
			}
			if a.Zone != "" && len(a.Zone) > 128 || len(a.Change) > 128 {
				host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "X-Change-Id", Why: "a name has at most 128 bytes"}})
				return
			}
			switch expected := r.Header.Get("X-Expect-Epoch"); expected {
			case "":
				host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "X-Expect-Epoch", Why: "is missing: wants the epoch that the change is based on, or any"}})
				return
			case "any":
				a.Any = true
			default:
				n, err := strconv.ParseUint(expected, 10, 64)
				if err != nil {
					host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "X-Expect-Epoch", Why: "wants a whole number, or any"}})
					return
				}
				a.Expect = ident.Epoch(n)
			}
			writeReceipt(w, s.request(a))
		}
	}
	mux.HandleFunc("/plan", change("put", true), http.MethodPut)
	mux.HandleFunc("/plan", change("patch", true), http.MethodPatch)
	mux.HandleFunc("/zones/:zone/empty", change("empty", false), http.MethodPost)
	mux.HandleFunc("/zones/:zone/refill", change("refill", false), http.MethodPost)
	mux.HandleFunc("/windows", change("windows", true), http.MethodPut)
	mux.HandleFunc("/plan", func(w http.ResponseWriter, r *http.Request) {
		a := s.request(Admin{Op: "get"})
		if a.Kind != failure.None || len(a.Plan) == 0 {
			if a.Kind == failure.None {
				a.Kind, a.Why = failure.Unknown, "there is no plan yet"
			}
			writeReceipt(w, a)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Epoch", fmt.Sprint(a.Epoch))
		_, _ = w.Write(a.Plan)
	}, http.MethodGet)
	for _, op := range []string{"nodes", "servers", "holds", "status"} {
		mux.HandleFunc("/"+op, func(w http.ResponseWriter, r *http.Request) { writeReceipt(w, s.request(Admin{Op: op})) }, http.MethodGet)
	}
	mux.HandleFunc("/core/replace/:old/:new", func(w http.ResponseWriter, r *http.Request) {
		writeReceipt(w, s.request(Admin{Op: "replace", Old: ident.Node(r.PathValue("old")), New: ident.Node(r.PathValue("new"))}))
	}, http.MethodPost)
	mux.HandleFunc("/core/form", func(w http.ResponseWriter, r *http.Request) { writeReceipt(w, s.request(Admin{Op: "form"})) }, http.MethodPost)
	host.AddHealthEndpoints(mux, "", func() (ok bool, _ map[string]any) {
		s.process.Locked(func(clock.Instant) { ok = core.Ready() })
		return ok, nil
	})
	mux.Handle("/metrics", host.MetricsHandler(s.process.WorkTimes(), host.StructMetrics{Name: "controller", Read: func() (tally any) {
		s.process.Locked(func(clock.Instant) { tally = core.Counts() })
		return tally
	}}), http.MethodGet)
	return mux
}
