package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// change is one order of an operator: a whole configuration, or a change of named items.
type change struct {
	method    string
	base      uint64
	revision  uint64
	raw       []byte
	invalid   bool
	moving    string    // the service that the moving route leads to under it
	holder    string    // whose the moving key is under it; empty for nobody's
	sent      time.Time // first
	acked     time.Time // first; zero if never
	refused   time.Time
	wholeSize bool // what is read back under its number is raw, to the byte
}

// same tells whether two changes are one to the system: the same order on the same version, byte for byte.
func (c *change) same(o *change) bool {
	return c.method == o.method && c.base == o.base && bytes.Equal(c.raw, o.raw)
}

// ledger is the history of all that operators sent and were told, held against the promises as it grows.
type ledger struct {
	judge *judge

	mu      sync.Mutex // guards the rest
	changes []*change
	newest  uint64 // acknowledged
}

// begin notes a change that is about to be sent.
func (l *ledger) begin(c *change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sent = time.Now()
	l.changes = append(l.changes, c)
}

// ack notes that a change was acknowledged.
func (l *ledger) ack(c *change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.invalid {
		l.judge.violate("CONFIG", "invalid configuration %d was acknowledged", c.revision)
	}
	if !c.refused.IsZero() {
		l.judge.violate("CONFIG", "%d on %d was refused, and is acknowledged", c.revision, c.base)
	}
	if c.acked.IsZero() {
		c.acked = time.Now()
	}
	l.newest = max(l.newest, c.revision)
	for _, o := range l.changes {
		if o != c && !o.acked.IsZero() && o.base == c.base && !o.same(c) {
			l.judge.violate("CONFIG", "%d and %d were both acknowledged on %d", o.revision, c.revision, c.base)
		}
	}
}

// refuse notes that another version was said to be in place.
func (l *ledger) refuse(c *change, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.acked.IsZero() {
		l.judge.violate("CONFIG", "%d on %d was acknowledged, and its repeat is refused: %s", c.revision, c.base, why)
	}
	if c.refused.IsZero() {
		c.refused = time.Now()
	}
}

// floor is the newest version that was acknowledged before now: no read that begins now may show an older one.
func (l *ledger) floor() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// read holds what a node answered against what was known when it was asked.
func (l *ledger) read(node string, floor uint64, raw []byte) (revision uint64) {
	var c peer.Configuration
	if err := json.Unmarshal(raw, &c); err != nil {
		l.judge.violate("CONFIG", "%s answers a read with what is no configuration: %v", node, err)
		return 0
	}
	if c.Revision < floor {
		l.judge.violate("CONFIG", "%s shows version %d, and %d had been acknowledged", node, c.Revision, floor)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := false
	for _, o := range l.changes {
		if o.revision != c.Revision {
			continue
		}
		known = known || o.refused.IsZero() && !o.invalid && (!o.wholeSize || bytes.Equal(o.raw, raw))
	}
	if !known {
		l.judge.violate("CONFIG", "%s shows version %d, which was not sent so, or was refused", node, c.Revision)
	}
	return c.Revision
}

// mayBeInForce tells whether a request that was sent at a time, and handled at another, may be handled by a configuration
// under which the moving route leads to a service: one that may have been taken by then, and that no change which was
// acknowledged longer ago than changes may take to be in force has followed.
func (l *ledger) mayBeInForce(service string, sent, handled time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := l.leastLocked(sent)
	for _, c := range l.changes {
		if c.moving == service && c.revision >= least && c.mayRule(handled) {
			return true
		}
	}
	return false
}

// leastLocked is the oldest version that may still handle a request that is sent at a time.
func (l *ledger) leastLocked(sent time.Time) (least uint64) {
	for _, c := range l.changes {
		if !c.acked.IsZero() && sent.Sub(c.acked) > applySpan+timeSlack {
			least = max(least, c.revision)
		}
	}
	return least
}

// mayRule tells whether a change may be in force at a time, but for newer ones.
func (c *change) mayRule(at time.Time) bool {
	return !c.invalid && c.refused.IsZero() && c.sent.Before(at)
}

// operator sends changes, again and again until they are answered, and reads back.
type operator struct {
	run    *soakRun
	number int
	random *rand.Rand
	client *http.Client
	taken  []*change // acknowledged, for repeats
}

func newOperator(r *soakRun, number int) *operator {
	return &operator{run: r, number: number, random: rand.New(rand.NewPCG(r.options.Seed, 900+uint64(number))),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// configuration makes a whole configuration; what differs between them is the moving route, whose the moving key is, time-outs
// and routes that nobody uses.
func configuration(revision uint64, moving, holder string, extra int, note string) peer.Configuration {
	route := func(path, mode, service string, pinned, resumes bool) peer.Route {
		return peer.Route{Label: "r" + path, Host: callersHost, Prefix: path, Mode: mode, HorizonMs: int(horizonSpan.Milliseconds()), SetpointMs: 800,
			Service: service, Tries: 3, Pinned: pinned, Continue: resumes, PauseMs: 400, Unkeyed: !wantsKey(path)}
	}
	c := peer.Configuration{
		Revision: revision, Note: note, Tenants: tenantsOf(holder),
		Routes: []peer.Route{
			route(pathIdempotent, peer.Idempotent, modelService, true, false), route(pathEffectful, peer.Effectful, modelService, true, false),
			route(pathResumable, peer.Continuous, modelService, true, true), route(pathStream, peer.Continuous, modelService, true, false),
			route(pathPlain, peer.Idempotent, plainService, false, false), route(pathMoving, peer.Effectful, moving, false, false),
		},
		Limits: peer.Limits{HeadBytes: 16384, BodyBytes: 4 << 20, HeadMs: 3000, IdleMs: 15000},
	}
	for i := range extra {
		c.Routes = append(c.Routes, route(fmt.Sprintf("/x%d/", i), peer.Idempotent, plainService, false, false))
	}
	runtime := &peer.Runtime{Capacity: slotsOfModel, CacheTokens: 100_000, TokenBytes: 131072, Bandwidth: 130000, Increment: 2, WeightMb: serverMb, Deltas: 8, LoadsPerS: 3}
	for i := range modelCount {
		runtime.Models = append(runtime.Models, peer.ModelClass{Label: modelName(i), WeightMb: modelMb, LoadingS: loadSpan.Seconds(), DeltaMb: 40})
	}
	for _, s := range []string{modelService, plainService, otherService} {
		service := peer.Service{Label: s, Probe: peer.PathHealth, Connections: 400, Protocol: "h1"}
		if s == modelService {
			service.Runtime = runtime
		}
		c.Services = append(c.Services, service)
	}
	return c
}

// node picks a core node's address.
func (o *operator) node() *machine {
	cores := o.run.fleet.of(controllerRole)
	return cores[o.random.IntN(len(cores))]
}

// draw makes a change on a version.
func (o *operator) draw(base uint64) *change {
	revision := base + 1 + uint64(o.random.IntN(3))
	moving := []string{plainService, otherService}[o.random.IntN(2)]
	c := &change{method: http.MethodPut, base: base, revision: revision, moving: moving, holder: drawHolder(o.random), wholeSize: true}
	extra := o.random.IntN(4)
	if many := int(o.run.routes.Load()); many > 0 {
		extra += many
	}
	whole := configuration(revision, moving, c.holder, extra, fmt.Sprintf("operator %d, %d", o.number, o.random.Uint32()))
	if base == 0 && o.run.first != nil {
		o.run.first(&whole)
	}
	switch dice := o.random.Float64(); {
	case dice < invalidShare && base > 0:
		c.invalid = true
		if o.random.IntN(2) == 0 {
			sharedKey(whole.Tenants)
		} else {
			whole.Routes[0].Service = "no-such-service"
		}
	case dice < invalidShare+patchShare && base > 0:
		c.method, c.wholeSize = http.MethodPatch, false
		var items peer.Change
		items.Revision = revision
		items.Apply.Tenants = whole.Tenants[1:]
		if c.invalid = o.random.Float64() < invalidShare; c.invalid {
			sharedKey(items.Apply.Tenants)
		}
		for _, r := range whole.Routes {
			if r.Prefix == pathMoving {
				items.Apply.Routes = []peer.Route{r}
			}
		}
		c.raw, _ = json.Marshal(items)
		return c
	}
	c.raw, _ = json.Marshal(whole)
	return c
}

// Shares of an operator's orders.
const (
	invalidShare = 0.08
	patchShare   = 0.3
	repeatShare  = 0.15 // after an order: an earlier one, acknowledged before, comes again
	readShare    = 0.5  // after an order: the configuration is read
	orderWait    = 12 * time.Second
)

// send sends a change to a node, once. It tells whether the answer was clear.
func (o *operator) send(c *change, to *machine) (clear bool) {
	q, err := http.NewRequest(c.method, "http://"+at(to.told, portControl)+peer.PathConfiguration, bytes.NewReader(c.raw))
	if err != nil {
		return false
	}
	q.Header.Set("If-Match", strconv.FormatUint(c.base, 10))
	q.Header.Set("Content-Type", "application/json")
	answer, err := o.client.Do(q)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, 64<<10))
	if err != nil {
		return false
	}
	switch {
	case answer.StatusCode == http.StatusOK:
		o.run.ledger.ack(c)
		o.run.judge.note("operator %d: %s %d on %d taken at %s", o.number, c.method, c.revision, c.base, to.name)
		return true
	case answer.StatusCode == http.StatusPreconditionFailed:
		o.run.ledger.refuse(c, string(body))
		return true
	case answer.StatusCode/100 == 4 && answer.StatusCode != http.StatusRequestTimeout && answer.StatusCode != http.StatusTooManyRequests:
		// A number that is not above the one in place is refused as invalid; then the version differs as well.
		o.run.ledger.refuse(c, string(body))
		return true
	}
	return false
}

// settle sends a change until it is answered, at one node after another, or for as long as operators do.
func (o *operator) settle(ctx context.Context, c *change) {
	o.run.ledger.begin(c)
	for end := time.Now().Add(orderWait); time.Now().Before(end) && ctx.Err() == nil; {
		if o.send(c, o.node()) {
			if !c.acked.IsZero() {
				o.taken = append(o.taken, c)
			}
			return
		}
		wait(ctx, 50*time.Millisecond+time.Duration(o.random.Int64N(int64(150*time.Millisecond))))
	}
}

// readBack reads the configuration at a node; zero if it gives none.
func (o *operator) readBack(m *machine) (revision uint64) {
	floor := o.run.ledger.floor()
	answer, err := o.client.Get("http://" + at(m.told, portControl) + peer.PathConfiguration)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		if err == nil && answer.StatusCode == http.StatusNotFound && floor > 0 {
			o.run.judge.violate("CONFIG", "%s knows no configuration, and %d had been acknowledged", m.name, floor)
		}
		return 0
	}
	return o.run.ledger.read(m.name, floor, raw)
}

// loop makes changes until the run's troubles are over.
func (o *operator) loop(ctx context.Context) {
	for ctx.Err() == nil {
		base := o.readBack(o.node())
		if base == 0 {
			wait(ctx, 100*time.Millisecond)
			continue
		}
		o.settle(ctx, o.draw(base))
		if o.random.Float64() < repeatShare && len(o.taken) > 0 {
			o.send(o.taken[max(0, len(o.taken)-1-o.random.IntN(5))], o.node())
		}
		if o.random.Float64() < readShare {
			o.readBack(o.node())
		}
		wait(ctx, time.Duration(o.random.Int64N(int64(o.run.pace.Load()))))
	}
}

// acknowledged counts the changes that were acknowledged so far.
func (l *ledger) acknowledged() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.changes {
		if !c.acked.IsZero() {
			n++
		}
	}
	return n
}
