package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/connlimit"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Dialect defines the HTTP paths and formats that a deployment's servers and operators use with core nodes. It contains
// no logic of the core.
type Dialect struct {
	ServersPath   string // path prefix of servers' announcements; the server's id follows it
	PlanPath      string // path of the plan
	ReadBeacon    func(id string, raw []byte) (protocol.Announcement, error)
	ReadRevision  func(raw []byte) (uint64, error)
	AnnounceReply func(addr string) []byte
	ReadPlan      func([]byte) (*fleetplan.Plan, fleetplan.Faults)
	MergePatch    func(plan, patch []byte) ([]byte, fleetplan.Faults)
	Send          func(context.Context, *http.Client, protocol.HTTPRequest) protocol.HTTPResult
}

// HostOptions configures a core node that runs under a hosting platform.
type HostOptions struct {
	ID          string
	Zone        string
	PeerAddr    string                         // address for other nodes
	ControlAddr string                         // address for servers and operators
	AdminAddr   string                         // address of the product's own interface for operators
	MetricsAddr string                         // additional address for metrics; none if empty
	Machine     connlimit.Machine              // what the process may use
	Bind        func(advertised string) string // maps an advertised address to the one to listen on
	Regions     map[ident.Zone]string          // region of each zone
	Seeds       []string
	FollowSeeds func(step func(protocol.SeedsChanged)) // subscribes to changes of the seeds; optional
	Data        string
	FirstStart  bool // this is the first start of the whole system
	LogOutput   io.Writer
	Dialect     Dialect
	Timing      Timing
	Losses      int // number of core nodes that may be lost at once, including their disks
}

// dialTimeout bounds a connection attempt to another machine. A machine without power doesn't refuse a connection, and
// the next attempt must not be delayed for long.
const dialTimeout = 200 * time.Millisecond

// Timing holds a deployment's bounds on delays, from which the durations of leases and time-outs are derived.
type Timing struct {
	Apply   clock.Span // a confirmed plan is in force on every node within this time
	Drain   clock.Span // a leaving server gets no more requests after this time
	CatchUp clock.Span // a new core node counts as available after this time
	Period  clock.Span // interval between two announcements of a server
	Tenure  clock.Span // two core nodes don't alternate in sending orders to a server within this time
	Rate    clock.Span // the limit on the store's load rate holds in every window of this length
}

// RouterLease derives the duration of a router's lease. The lease must end, on the leader's clock too, within each
// bound that it must not exceed.
func (t Timing) RouterLease() clock.Span {
	return max(200e6, min(2000e6, min(t.Apply, t.Drain)*7/10))
}

// LeadershipLease derives the duration of the leadership lease: short enough to replace a lost leader quickly, and
// long enough for four rounds.
func (t Timing) LeadershipLease() clock.Span { return max(400e6, min(1200e6, t.RouterLease()*4/7)) }

// ReplaceAfter derives how long a voter is absent before a spare node replaces it. By the time that a new node counts as
// available, it must be a voter and the previous voter set must no longer be in force.
func (t Timing) ReplaceAfter() clock.Span { return max(800e6, min(6000e6, t.CatchUp*3/10)) }

// SilenceTimeout derives how long a server may be silent before it is polled.
func (t Timing) SilenceTimeout() clock.Span { return t.Period*2 + t.Period/4 }

// registryShare is the share of the memory for announced servers.
const registryShare = 1. / 8

// hostedOptions returns the options of a core that runs under a hosting platform.
func hostedOptions(h HostOptions) Options {
	return Options{
		Self: protocol.Peer{ID: ident.Node(h.ID), Addr: h.PeerAddr}, Zone: ident.Zone(h.Zone), Inc: host.NewIncarnation(),
		Seeds: host.SeedPeers(h.Seeds), Rand: host.NewRand(), WallClock: time.Now,
		LeadershipLease: h.Timing.LeadershipLease(), ReadInterval: h.Timing.LeadershipLease() / 4, RouterLease: h.Timing.RouterLease(), ReplaceAfter: h.Timing.ReplaceAfter(), SilenceTimeout: h.Timing.SilenceTimeout(), RateWindow: h.Timing.Rate, Tenure: h.Timing.Tenure,
		ParsePlan: h.Dialect.ReadPlan, MergePatch: h.Dialect.MergePatch, Enrolled: true, Unfenced: true, Preload: true, Voters: 2*h.Losses + 1, HandOver: true, CoreExists: !h.FirstStart, FirstStart: h.FirstStart, Regions: h.Regions,
		RegistryBytes: h.Machine.Bytes(registryShare),
	}
}

// Host runs a core node under a hosting platform until the process receives a signal to stop.
func Host(h HostOptions) error {
	ring := host.NewLogWith(host.LogOptions{Name: h.ID, DumpTo: os.Stderr, JSONLines: h.LogOutput})
	plans := &fleetplan.Memo{Read: h.Dialect.ReadPlan}
	h.Dialect.ReadPlan = plans.Plan
	h.Dialect.MergePatch = (&fleetplan.MergeMemo{Merge: h.Dialect.MergePatch}).Apply
	core := New(hostedOptions(h))
	admin := &adminServer{}
	handler := &controlHandler{admin: admin, options: h, dialling: make(chan struct{}, maxReachabilityChecks)}
	admin.process = host.New(host.Options{Core: core, Listen: []string{h.Bind(h.PeerAddr)}, NodeLimits: h.Machine.Limits(connlimit.Nodes), Advertised: h.PeerAddr, DataDir: h.Data, TickInterval: 25 * time.Millisecond, DialTimeout: dialTimeout, Log: ring,
		OnMessage: h.preparsePlan, SendRequest: h.Dialect.Send, HandleOutput: func(o any) {
			admin.handleOutput(o)
			handler.handleOutput(o)
		}})
	if err := admin.process.Run(); err != nil {
		return err
	}
	defer admin.process.Stop()
	if h.FollowSeeds != nil {
		h.FollowSeeds(func(r protocol.SeedsChanged) { admin.process.Step(r) })
	}
	defer host.ServeOperators(ring, h.Machine.Limits(connlimit.Operators), admin.routes(core), h.Bind(h.AdminAddr), h.Bind(h.MetricsAddr))()
	err := host.ServeUntilSignal(h.Bind(h.ControlAddr), h.Machine.Limits(connlimit.Control), handler, ring, host.StopHooks{}, 2*time.Second)
	admin.stop(core)
	return err
}

// preparsePlan parses a plan in another node's message in advance, so that parsing doesn't block a step of the core.
func (h HostOptions) preparsePlan(e protocol.Envelope) {
	switch b := e.Body.(type) {
	case protocol.Accept:
		h.parsePlan(b.Value.Plan)
	case protocol.FetchedValue:
		if b.Value != nil {
			h.parsePlan(b.Value.Plan)
		}
	case protocol.ForwardChange:
		if b.Op == "put" {
			h.parsePlan(b.Raw)
		}
	}
}

// parsePlan parses a plan to fill the cache of parsed plans.
func (h HostOptions) parsePlan(raw []byte) {
	if len(raw) > 0 {
		_, _ = h.Dialect.ReadPlan(raw)
	}
}

// controlHandler serves HTTP requests of servers and of the platform's operators.
type controlHandler struct {
	calls    pendingCalls[Announced]
	admin    *adminServer
	options  HostOptions
	reading  sync.Mutex    // held while a body is read into values, which take a multiple of its memory
	dialling chan struct{} // has an element for each connection to a new server that is being established
}

// Bounds on looking whether a new server can be reached.
const (
	maxReachabilityChecks = 8 // at once
	reachabilityTimeout   = 300 * time.Millisecond
)

// reachable reports whether a connection to a server can be established.
func (h *controlHandler) reachable(ctx context.Context, addr string) bool {
	select {
	case h.dialling <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-h.dialling }()
	conn, err := host.Dialer(h.options.PeerAddr, reachabilityTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// readInTurn reads one body at a time into values.
func (h *controlHandler) readInTurn(read func()) {
	h.reading.Lock()
	defer h.reading.Unlock()
	read()
}

// handleOutput passes the core's answer to an announcement to the waiting request.
func (h *controlHandler) handleOutput(o any) {
	if answer, ok := o.(Announced); ok {
		h.calls.answer(answer.Token, answer)
	}
}

// ServeHTTP handles servers' announcements, and operators' reads and changes of the plan.
func (h *controlHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, h.options.Dialect.ServersPath); ok {
		h.serveAnnouncement(w, r, id)
		return
	}
	if r.URL.Path != h.options.Dialect.PlanPath {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
		h.servePlan(w)
	case http.MethodPut:
		h.serveChange(w, r, "put")
	case http.MethodPatch:
		h.serveChange(w, r, "patch")
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// maxAnnouncementBytes is the size of an announcement: room for thousands of models and adapters.
const maxAnnouncementBytes = 1 << 20

// serveAnnouncement handles an announcement of a server: PUT for its state, DELETE if it is gone.
func (h *controlHandler) serveAnnouncement(w http.ResponseWriter, r *http.Request, id string) {
	b := protocol.Announcement{ListedServer: protocol.ListedServer{ID: ident.Server(id), State: "gone"}}
	switch r.Method {
	case http.MethodPut:
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		if err != nil {
			return
		}
		h.readInTurn(func() { b, err = h.options.Dialect.ReadBeacon(id, raw) })
		if err != nil {
			host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "$", Why: err.Error()}})
			return
		}
	case http.MethodDelete:
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	answer := h.announce(r.Context(), Announce{Beacon: b})
	if answer.IfReachable && h.reachable(r.Context(), b.Addr) {
		answer = h.announce(r.Context(), Announce{Beacon: b, Reachable: true})
	}
	if r.Context().Err() != nil {
		return
	}
	if !answer.OK {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(h.options.Dialect.AnnounceReply(""))
}

// announce passes an announcement to the core and waits for its answer. The answer is not OK if ctx ends before.
func (h *controlHandler) announce(ctx context.Context, a Announce) Announced {
	token, reply := h.calls.begin()
	a.Token = token
	h.admin.process.Step(a)
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		h.calls.abandon(token)
		return Announced{}
	}
}

// servePlan returns the newest plan.
func (h *controlHandler) servePlan(w http.ResponseWriter) {
	receipt := h.admin.request(Admin{Op: "get"})
	switch {
	case receipt.Kind != failure.None:
		host.WriteError(w, failure.NotReady, 0, nil)
	case len(receipt.Plan) == 0:
		host.WriteError(w, failure.Unknown, 0, nil)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("ETag", fmt.Sprint(receipt.Epoch))
		_, _ = w.Write(receipt.Plan)
	}
}

// serveChange handles an operator's change. The change id is a digest of the request, so that every node recognizes a
// repeat.
func (h *controlHandler) serveChange(w http.ResponseWriter, r *http.Request, op string) {
	raw, ok := host.ReadBody(w, r, 2*fleetplan.MaxPlanBytes)
	if !ok {
		return
	}
	var revision uint64
	var err error
	h.readInTurn(func() {
		if revision, err = h.options.Dialect.ReadRevision(raw); err == nil && op == "put" {
			h.options.parsePlan(raw) // only fills the cache: the core rejects a plan with faults
		}
	})
	if err != nil {
		host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "$", Why: err.Error()}})
		return
	}
	base, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil {
		host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "If-Match", Why: "wants the revision of the plan that the change is based on"}})
		return
	}
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%s %d\n", op, base)
	_, _ = digest.Write(raw)
	receipt := h.admin.request(Admin{Op: op, Raw: raw, Expect: ident.Epoch(base), Number: ident.Epoch(revision), Change: hex.EncodeToString(digest.Sum(nil)[:12])})
	switch receipt.Kind {
	case failure.None:
		host.WriteJSON(w, http.StatusOK, receipt)
	case failure.Conflict:
		host.WriteJSON(w, http.StatusPreconditionFailed, receipt)
	case failure.FaultyPlan, failure.Malformed, failure.Unknown:
		host.WriteJSON(w, http.StatusBadRequest, receipt)
	default:
		host.WriteJSON(w, http.StatusServiceUnavailable, receipt)
	}
}
