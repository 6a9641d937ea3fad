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
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Dialect is how a deployment's servers and operators speak to core nodes. It holds names and
// formats and decides nothing.
type Dialect struct {
	Servers  string // the path under which servers announce themselves by their ids
	Plan     string // the path of the plan
	Beacon   func(id string, raw []byte) (protocol.Beacon, error)
	Revision func(raw []byte) (uint64, error)
	Target   func(addr string) []byte
	Read     func([]byte) (*fleetplan.Plan, fleetplan.Faults)
	Merge    func(plan, patch []byte) ([]byte, fleetplan.Faults)
	Tell     func(context.Context, *http.Client, protocol.Ask) protocol.Told
}

// HostOptions of a core node that runs under a hosting platform.
type HostOptions struct {
	ID      string
	Zone    string
	Post    string                   // where other nodes reach this one
	Control string                   // where servers and operators reach it
	Admin   string                   // where the product's own operators' interface is
	Metrics string                   // and metrics a second time; nowhere if empty
	Bind    func(told string) string // where to listen for what others are told to reach at an address
	Regions map[ident.Zone]string    // of zones
	Seeds   []string
	Follow  func(step func(protocol.Reseed)) // tells of other seeds as they come; none if it is left out
	Data    string
	First   bool // the whole system starts for the first time
	Logs    io.Writer
	Dialect Dialect
	Timing  Timing
	Losses  int // core nodes that may be lost at once, with their disks
}

// dialWait is for a connection to another machine to come up: one that lost its power says nothing, and
// the next try must not wait long for it.
const dialWait = 200 * time.Millisecond

// Timing is what a deployment promises and asks for; holds and lapses follow from it.
type Timing struct {
	Apply   clock.Span // a confirmed plan is in force everywhere after so long
	Drain   clock.Span // a leaving server is sent nothing after so long
	CatchUp clock.Span // a new core node counts as there after so long
	Period  clock.Span // between two announcements of a server
	Tenure  clock.Span // two core nodes do not order a server by turns within so long
	Rate    clock.Span // the store's rate is kept in every while of this length
}

// Hold derives a router's hold: it must have run out, on the owner's clock too, before anything that
// it may not outlive.
func (t Timing) Hold() clock.Span {
	return max(200e6, min(2000e6, min(t.Apply, t.Drain)*7/10))
}

// Duty derives the duty's hold: short, so that a lost owner is soon replaced, and long enough for four
// rounds.
func (t Timing) Duty() clock.Span { return max(400e6, min(1200e6, t.Hold()*4/7)) }

// Spare derives how long a voter is gone before a spare node takes its place: a new node must be a
// voter, with the set before it left, by the time that it counts as there.
func (t Timing) Spare() clock.Span { return max(800e6, min(6000e6, t.CatchUp*3/10)) }

// Silence derives how long a server says nothing before it is asked whether it is there.
func (t Timing) Silence() clock.Span { return t.Period*2 + t.Period/4 }

func hosted(h HostOptions) Options {
	return Options{
		Me: protocol.Sibling{ID: ident.Node(h.ID), Addr: h.Post}, Zone: ident.Zone(h.Zone), Inc: host.NewInc(),
		Seeds: host.Siblings(h.Seeds), Rand: host.NewRand(), Wall: time.Now,
		Duty: h.Timing.Duty(), Round: h.Timing.Duty() / 4, Hold: h.Timing.Hold(), Spare: h.Timing.Spare(), Silence: h.Timing.Silence(), Rate: h.Timing.Rate, Tenure: h.Timing.Tenure,
		Read: h.Dialect.Read, Merge: h.Dialect.Merge, Enrolled: true, Unfenced: true, Warm: true, Voters: 2*h.Losses + 1, HandOver: true, Joined: !h.First, Regions: h.Regions,
	}
}

// Host runs a core node under a hosting platform until it is told to stop.
func Host(h HostOptions) error {
	ring := host.NewRingWith(host.RingOptions{Name: h.ID, Out: os.Stderr, Lines: h.Logs})
	plans := &fleetplan.Memo{Read: h.Dialect.Read}
	h.Dialect.Read = plans.Plan
	h.Dialect.Merge = (&fleetplan.MergeMemo{Merge: h.Dialect.Merge}).Apply
	core := New(hosted(h))
	d := &desk{wait: map[uint64]chan Receipt{}}
	a := &announcer{wait: map[uint64]chan bool{}, desk: d, o: h}
	d.c = host.New(host.Options{Core: core, Listen: []string{h.Bind(h.Post)}, Told: h.Post, Data: h.Data, Beat: 25 * time.Millisecond, Dial: dialWait, Ring: ring,
		Before: h.readAhead, Tell: h.Dialect.Tell, Else: func(o any) {
			d.act(o)
			a.act(o)
		}})
	if err := d.c.Run(); err != nil {
		return err
	}
	defer d.c.Stop()
	if h.Follow != nil {
		h.Follow(func(r protocol.Reseed) { d.c.Step(r) })
	}
	defer host.ServeBeside(ring, d.routes(core), h.Bind(h.Admin), h.Bind(h.Metrics))()
	err := host.Web(h.Bind(h.Control), a, ring, nil, 2*time.Second)
	d.stop(core)
	return err
}

// readAhead reads a plan that another node sends, so that the core need not stand still when it is to act by it.
func (h HostOptions) readAhead(e protocol.Env) {
	switch b := e.Body.(type) {
	case protocol.Accept:
		h.readPlan(b.Value.Plan)
	case protocol.Value:
		if b.Value != nil {
			h.readPlan(b.Value.Plan)
		}
	case protocol.Forward:
		if b.Op == "put" {
			h.readPlan(b.Raw)
		}
	}
}

// readPlan reads a plan, so that the memory of plans has it.
func (h HostOptions) readPlan(raw []byte) {
	if len(raw) > 0 {
		_, _ = h.Dialect.Read(raw)
	}
}

// announcer is the door through which servers and the platform's operators come in.
type announcer struct {
	mu   sync.Mutex // guards wait and next; taken after the host's
	next uint64
	wait map[uint64]chan bool
	desk *desk
	o    HostOptions
}

func (a *announcer) act(o any) {
	v, ok := o.(Announced)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch := a.wait[v.Token]; ch != nil {
		ch <- v.OK
		delete(a.wait, v.Token)
	}
}

// ServeHTTP takes announcements of servers, and operators' changes.
func (a *announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, a.o.Dialect.Servers); ok {
		a.server(w, r, id)
		return
	}
	if r.URL.Path != a.o.Dialect.Plan {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
		a.read(w)
	case http.MethodPut:
		a.change(w, r, "put")
	case http.MethodPatch:
		a.change(w, r, "patch")
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (a *announcer) server(w http.ResponseWriter, r *http.Request, id string) {
	b := protocol.Beacon{Listed: protocol.Listed{ID: ident.Server(id), State: "gone"}}
	switch r.Method {
	case http.MethodPut:
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
		if err != nil {
			return
		}
		if b, err = a.o.Dialect.Beacon(id, raw); err != nil {
			host.Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "$", Why: err.Error()}})
			return
		}
	case http.MethodDelete:
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	ch := make(chan bool, 1)
	a.mu.Lock()
	a.next++
	token := a.next
	a.wait[token] = ch
	a.mu.Unlock()
	a.desk.c.Step(Announce{Token: token, Beacon: b})
	ok := false
	select {
	case ok = <-ch:
	case <-r.Context().Done():
		a.mu.Lock()
		delete(a.wait, token)
		a.mu.Unlock()
		return
	}
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(a.o.Dialect.Target(""))
}

func (a *announcer) read(w http.ResponseWriter) {
	v := a.desk.ask(Admin{Op: "get"})
	switch {
	case v.Kind != failure.None:
		host.Error(w, failure.NotReady, 0, nil)
	case len(v.Plan) == 0:
		host.Error(w, failure.Unknown, 0, nil)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("ETag", fmt.Sprint(v.Epoch))
		_, _ = w.Write(v.Plan)
	}
}

// change takes an operator's change. Its id is a digest of what was sent, so that a repeat of it is
// known, at whatever node it comes.
func (a *announcer) change(w http.ResponseWriter, r *http.Request, op string) {
	raw, ok := host.Body(w, r, 2*fleetplan.MostPlan)
	if !ok {
		return
	}
	n, err := a.o.Dialect.Revision(raw)
	if err != nil {
		host.Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "$", Why: err.Error()}})
		return
	}
	on, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil {
		host.Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "If-Match", Why: "wants the number of the plan that the change goes on"}})
		return
	}
	if op == "put" {
		a.o.readPlan(raw) // the core refuses what cannot be read
	}
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %d\n", op, on)
	_, _ = h.Write(raw)
	v := a.desk.ask(Admin{Op: op, Raw: raw, Expect: ident.Epoch(on), Number: ident.Epoch(n), Change: hex.EncodeToString(h.Sum(nil)[:12])})
	switch v.Kind {
	case failure.None:
		host.JSON(w, http.StatusOK, v)
	case failure.Conflict:
		host.JSON(w, http.StatusPreconditionFailed, v)
	case failure.Faulty, failure.Malformed, failure.Unknown:
		host.JSON(w, http.StatusBadRequest, v)
	default:
		host.JSON(w, http.StatusServiceUnavailable, v)
	}
}
