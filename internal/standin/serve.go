package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
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

// ServerSettings are the settings of a stand-in model server.
type ServerSettings struct {
	ID     string `help:"Name of this server." required:""`
	Listen string `help:"Listen address for HTTP, ip:port." required:""`
	Store  string `help:"Address of the weight store, ip:port." required:""`
	Room   int    `help:"Capacity for weights." default:"80"`
	Slots  int    `help:"Requests decoded in one batch." default:"16"`
	StepMs int    `help:"Interval between two decode steps, in ms." default:"20"`
	Fill   int    `help:"Prompt bytes prefilled in one decode step." default:"4000"`
	Whole  int    `help:"Time from accepting a connection to receiving the complete request, in ms; later requests are refused." name:"whole-ms" default:"500"`
}

// Check validates the settings.
func (s *ServerSettings) Check() (f fleetplan.Faults) {
	f = append(f, host.CheckAddr("listen", s.Listen)...)
	f = append(f, host.CheckAddr("store", s.Store)...)
	for _, n := range []struct {
		path string
		val  int
	}{{"room", s.Room}, {"slots", s.Slots}, {"step-ms", s.StepMs}, {"fill", s.Fill}, {"whole-ms", s.Whole}} {
		if n.val < 1 || n.val > 1_000_000 {
			f = append(f, fleetplan.Fault{Path: n.path, Why: "must be an integer from 1 to 1000000"})
		}
	}
	return f
}

// requestTable connects HTTP requests with a core by tokens.
type requestTable struct {
	mu         sync.Mutex // guards pending, next and responsive; taken after the host's lock
	next       uint64
	pending    map[uint64]chan any
	process    *host.Process
	responsive chan struct{} // open while the server is set to be unresponsive, closed otherwise
}

// register registers a request and returns its token and the channel for its outputs, with a buffer of n.
func (h *requestTable) register(n int) (uint64, chan any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	ch := make(chan any, n)
	h.pending[h.next] = ch
	return h.next, ch
}

func (h *requestTable) unregister(t uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, t)
}

// dispatch passes an output of the core to the request that it belongs to.
func (h *requestTable) dispatch(output any) {
	token := uint64(0)
	switch v := output.(type) {
	case OrderOut:
		token = v.Token
	case WorkDrop:
		token = v.Token
	case Event:
		token = v.Token
	case PullOut:
		token = v.Token
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ch := h.pending[token]; ch != nil {
		select {
		case ch <- output:
		default: // disconnect a reader that is this far behind
			close(ch)
			delete(h.pending, token)
		}
	}
}

// whileResponsive holds requests while the server is set to be unresponsive.
func (h *requestTable) whileResponsive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		d := h.responsive
		h.mu.Unlock()
		select {
		case <-d:
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})
}

// replaceableCore is a core that can be replaced with a freshly started, empty one.
type replaceableCore struct{ server *Server }

// Step passes the input to the current core.
func (c *replaceableCore) Step(now clock.Instant, in any) []any { return c.server.Step(now, in) }

// ServerMain runs a stand-in model server until the process receives a stop signal.
func ServerMain(settings ServerSettings) error {
	ring := host.NewLog(settings.ID, os.Stderr)
	newCore := func() *Server {
		return NewServer(ServerOptions{ID: ident.Server(settings.ID), Inc: host.NewIncarnation(), Room: settings.Room, Slots: settings.Slots, Store: settings.Store,
			Step: clock.Span(settings.StepMs) * 1e6, Fill: settings.Fill, Whole: clock.Span(settings.Whole) * 1e6})
	}
	core := &replaceableCore{newCore()}
	requests := &requestTable{pending: map[uint64]chan any{}, responsive: make(chan struct{})}
	close(requests.responsive)
	requests.process = host.New(host.Options{Core: core, TickInterval: 5 * time.Millisecond, Log: ring, HandleOutput: requests.dispatch})
	if err := requests.process.Run(); err != nil {
		return err
	}
	defer requests.process.Stop()
	mux := flow.New()
	mux.Group(func(mux *flow.Mux) {
		mux.Use(requests.whileResponsive)
		mux.HandleFunc("/orders", func(w http.ResponseWriter, r *http.Request) {
			var o protocol.Order
			if !decodeBody(w, r, &o) {
				return
			}
			t, ch := requests.register(1)
			defer requests.unregister(t)
			requests.process.Step(OrderIn{t, o})
			host.WriteJSON(w, 200, (<-ch).(OrderOut).Report)
		}, http.MethodPost)
		mux.HandleFunc("/generate", requests.generate, http.MethodPost)
	})
	mux.HandleFunc("/count", func(w http.ResponseWriter, r *http.Request) {
		var t ServerTally
		var active, used int
		requests.process.Locked(func(clock.Instant) { t, active, used = core.server.Counts(), core.server.Active(), core.server.Used() })
		host.WriteJSON(w, 200, map[string]any{"tally": t, "active": active, "used": used, "room": settings.Room})
	}, http.MethodGet)
	mux.HandleFunc("/fault/:kind", func(w http.ResponseWriter, r *http.Request) {
		inject := injectors[r.PathValue("kind")]
		if inject == nil {
			host.WriteError(w, failure.Unknown, 0, nil)
			return
		}
		inject(requests, core, newCore)
		host.WriteJSON(w, 200, map[string]bool{"done": true})
	}, http.MethodPost)
	return host.ServeUntilSignal(settings.Listen, connlimit.Limits{}, mux, ring, host.StopHooks{}, 10*time.Minute)
}

// injectors maps the kinds of injected faults to their effects.
var injectors = map[string]func(h *requestTable, c *replaceableCore, newCore func() *Server){
	"crash": func(*requestTable, *replaceableCore, func() *Server) { os.Exit(1) },
	"dark": func(h *requestTable, _ *replaceableCore, _ func() *Server) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.responsive = make(chan struct{})
	},
	"light": func(h *requestTable, _ *replaceableCore, _ func() *Server) {
		h.mu.Lock()
		defer h.mu.Unlock()
		select {
		case <-h.responsive:
		default:
			close(h.responsive)
		}
	},
	"empty": func(h *requestTable, c *replaceableCore, newCore func() *Server) {
		h.process.Locked(func(clock.Instant) { c.server = newCore() })
		h.process.AbortRequests()
		h.mu.Lock()
		defer h.mu.Unlock()
		for t, ch := range h.pending {
			close(ch)
			delete(h.pending, t)
		}
	},
	"slow": func(h *requestTable, c *replaceableCore, _ func() *Server) {
		h.process.Locked(func(clock.Instant) { c.server.SetSlowdown(9) })
	},
	"fast": func(h *requestTable, c *replaceableCore, _ func() *Server) {
		h.process.Locked(func(clock.Instant) { c.server.SetSlowdown(0) })
	},
}

// decodeBody decodes the JSON body of a request. It sends an error response and returns false if the body is malformed.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	b, ok := host.ReadBody(w, r, 8<<20)
	if !ok {
		return false
	}
	if err := json.Unmarshal(b, v); err != nil {
		host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "$", Why: err.Error()}})
		return false
	}
	return true
}

// generate streams the events of a request.
func (h *requestTable) generate(w http.ResponseWriter, r *http.Request) {
	var work protocol.ServerRequest
	accepted := host.ConnAcceptedAt(r)
	if !decodeBody(w, r, &work) {
		return
	}
	token, outputs := h.register(1024)
	defer h.unregister(token)
	h.process.Step(WorkIn{token, work, accepted})
	flusher, _ := w.(http.Flusher)
	started := false
	for {
		select {
		case <-r.Context().Done():
			h.process.Step(WorkQuit{token})
			return
		case o, ok := <-outputs:
			if !ok {
				panic(http.ErrAbortHandler) // the incarnation that executed the request has ended
			}
			switch v := o.(type) {
			case WorkDrop:
				host.WriteError(w, v.Kind, 0, nil)
				return
			case Event:
				if !started {
					started = true
					w.Header().Set("Content-Type", "text/event-stream")
				}
				b, _ := json.Marshal(v)
				if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
					h.process.Step(WorkQuit{token})
					return
				}
				if flusher != nil {
					flusher.Flush()
				}
				if v.Done {
					return
				}
			}
		}
	}
}

// StoreSettings are the settings of a stand-in weight store.
type StoreSettings struct {
	Listen string `help:"Listen address for HTTP, ip:port." required:""`
	Rate   int    `help:"Size transferred per second, shared by all pulls." default:"60"`
	Bear   int    `help:"Maximum number of concurrent pulls." default:"3"`
}

// Check validates the settings.
func (s *StoreSettings) Check() fleetplan.Faults { return host.CheckAddr("listen", s.Listen) }

// StoreMain runs a weight store until the process receives a stop signal.
func StoreMain(settings StoreSettings) error {
	ring := host.NewLog("store", os.Stderr)
	core := NewStore(float64(settings.Rate), settings.Bear)
	requests := &requestTable{pending: map[uint64]chan any{}}
	requests.process = host.New(host.Options{Core: core, TickInterval: 10 * time.Millisecond, Log: ring, HandleOutput: requests.dispatch})
	if err := requests.process.Run(); err != nil {
		return err
	}
	defer requests.process.Stop()
	mux := flow.New()
	mux.HandleFunc("/pull", func(w http.ResponseWriter, r *http.Request) {
		var p Pull
		if !decodeBody(w, r, &p) {
			return
		}
		t, ch := requests.register(1)
		defer requests.unregister(t)
		requests.process.Step(PullIn{t, p})
		select {
		case <-ch:
			host.WriteJSON(w, 200, map[string]bool{"done": true})
		case <-r.Context().Done():
			requests.process.Step(PullQuit{t})
		}
	}, http.MethodPost)
	mux.HandleFunc("/count", func(w http.ResponseWriter, r *http.Request) {
		var t StoreTally
		requests.process.Locked(func(clock.Instant) { t = core.Counts() })
		host.WriteJSON(w, 200, t)
	}, http.MethodGet)
	return host.ServeUntilSignal(settings.Listen, connlimit.Limits{}, mux, ring, host.StopHooks{}, 10*time.Second)
}

// PlatformSettings are the settings of a stand-in platform.
type PlatformSettings struct {
	Listen  string   `help:"Listen address for HTTP, ip:port." required:""`
	Servers []string `help:"Servers to list, id=ip:port=zone."`
}

// Check validates the settings.
func (s *PlatformSettings) Check() (f fleetplan.Faults) {
	f = host.CheckAddr("listen", s.Listen)
	for i, x := range s.Servers {
		if _, ok := parseListed(x); !ok {
			f = append(f, fleetplan.Fault{Path: fmt.Sprintf("servers[%d]", i), Why: "must have the form id=ip:port=zone"})
		}
	}
	return f
}

// parseListed parses a server of the form id=ip:port=zone.
func parseListed(s string) (protocol.ListedServer, bool) {
	var fields [3]string
	index := 0
	for _, r := range s {
		if r == '=' && index < 2 {
			index++
			continue
		}
		fields[index] += string(r)
	}
	server := protocol.ListedServer{ID: ident.Server(fields[0]), Addr: fields[1], Zone: ident.Zone(fields[2]), State: "live"}
	return server, fields[0] != "" && fields[2] != "" && host.CheckAddr("", fields[1]) == nil
}

// PlatformMain runs a platform until the process receives a stop signal.
func PlatformMain(settings PlatformSettings) error {
	ring := host.NewLog("platform", os.Stderr)
	platform := NewPlatform()
	for _, entry := range settings.Servers {
		server, _ := parseListed(entry)
		platform.Set(server)
	}
	var mu sync.Mutex
	mux := flow.New()
	mux.HandleFunc("/servers", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		servers := platform.List()
		mu.Unlock()
		host.WriteJSON(w, 200, servers)
	}, http.MethodGet)
	mux.HandleFunc("/servers", func(w http.ResponseWriter, r *http.Request) {
		var server protocol.ListedServer
		if !decodeBody(w, r, &server) {
			return
		}
		mu.Lock()
		platform.Set(server)
		mu.Unlock()
		host.WriteJSON(w, 200, server)
	}, http.MethodPost)
	mux.HandleFunc("/servers/:id/:state", func(w http.ResponseWriter, r *http.Request) {
		state := r.PathValue("state")
		mu.Lock()
		ok := map[string]bool{"live": true, "leaving": true, "gone": true}[state] && platform.Mark(ident.Server(r.PathValue("id")), state)
		mu.Unlock()
		if !ok {
			host.WriteError(w, failure.Unknown, 0, nil)
			return
		}
		host.WriteJSON(w, 200, map[string]string{"state": state})
	}, http.MethodPost)
	return host.ServeUntilSignal(settings.Listen, connlimit.Limits{}, mux, ring, host.StopHooks{}, 5*time.Second)
}
