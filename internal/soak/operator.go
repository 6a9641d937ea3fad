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

// change is a configuration change sent by an operator: a complete configuration or a patch of named items.
type change struct {
	method        string
	base          uint64
	revision      uint64
	raw           []byte
	invalid       bool
	movingService string    // service of the moving route
	keyHolder     string    // tenant that holds movingKey; empty for none
	sentAt        time.Time // time of the first attempt
	ackedAt       time.Time // time of the first acknowledgement; zero if none
	refusedAt     time.Time
	exact         bool // a read of this revision must return raw byte for byte
}

// same reports whether the system treats two changes as one: same method, base version and bytes.
func (c *change) same(o *change) bool {
	return c.method == o.method && c.base == o.base && bytes.Equal(c.raw, o.raw)
}

// changeHistory records the changes and reads of operators with their answers, and checks them against the guarantees.
type changeHistory struct {
	checker *checker

	mu      sync.Mutex // guards the rest
	changes []*change
	newest  uint64 // newest acknowledged version
}

// recordSend records a change that is about to be sent.
func (h *changeHistory) recordSend(c *change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.sentAt = time.Now()
	h.changes = append(h.changes, c)
}

// recordAck records that a change was acknowledged.
func (h *changeHistory) recordAck(c *change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.invalid {
		h.checker.violate("CONFIG", "invalid configuration %d was acknowledged", c.revision)
	}
	if !c.refusedAt.IsZero() {
		h.checker.violate("CONFIG", "%d on %d was acknowledged after it had been refused", c.revision, c.base)
	}
	if c.ackedAt.IsZero() {
		c.ackedAt = time.Now()
	}
	h.newest = max(h.newest, c.revision)
	for _, o := range h.changes {
		if o != c && !o.ackedAt.IsZero() && o.base == c.base && !o.same(c) {
			h.checker.violate("CONFIG", "%d and %d were both acknowledged on %d", o.revision, c.revision, c.base)
		}
	}
}

// recordRefusal records that a change was refused, usually because another version was in force.
func (h *changeHistory) recordRefusal(c *change, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !c.ackedAt.IsZero() {
		h.checker.violate("CONFIG", "%d on %d was refused after it had been acknowledged: %s", c.revision, c.base, reason)
	}
	if c.refusedAt.IsZero() {
		c.refusedAt = time.Now()
	}
}

// newestAcknowledged returns the newest version acknowledged so far. A read that starts now must not return an older one.
func (h *changeHistory) newestAcknowledged() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// checkRead checks the answer of a node to a read. floor is the newest version acknowledged before the read.
func (h *changeHistory) checkRead(node string, floor uint64, raw []byte) (revision uint64) {
	var c peer.Configuration
	if err := json.Unmarshal(raw, &c); err != nil {
		h.checker.violate("CONFIG", "%s answered a read with a malformed configuration: %v", node, err)
		return 0
	}
	if c.Revision < floor {
		h.checker.violate("CONFIG", "%s returned version %d after %d had been acknowledged", node, c.Revision, floor)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	known := false
	for _, o := range h.changes {
		if o.revision != c.Revision {
			continue
		}
		known = known || o.refusedAt.IsZero() && !o.invalid && (!o.exact || bytes.Equal(o.raw, raw))
	}
	if !known {
		h.checker.violate("CONFIG", "%s returned version %d, which differs from every change sent or was refused", node, c.Revision)
	}
	return c.Revision
}

// mayBeInForce reports whether a request may be handled by a configuration whose moving route uses the service. Such a
// configuration may have been accepted before the request was handled, and is not superseded by a change that was
// acknowledged more than applyLimit before the request was sent.
func (h *changeHistory) mayBeInForce(service string, sent, handled time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := h.oldestInForceLocked(sent)
	for _, c := range h.changes {
		if c.movingService == service && c.revision >= oldest && c.mayBeInForce(handled) {
			return true
		}
	}
	return false
}

// oldestInForceLocked returns the oldest version that may still handle a request sent at a time.
func (h *changeHistory) oldestInForceLocked(sent time.Time) (oldest uint64) {
	for _, c := range h.changes {
		if !c.ackedAt.IsZero() && sent.Sub(c.ackedAt) > applyLimit+timeSlack {
			oldest = max(oldest, c.revision)
		}
	}
	return oldest
}

// mayBeInForce reports whether a change may be in force at a time, newer changes disregarded.
func (c *change) mayBeInForce(at time.Time) bool {
	return !c.invalid && c.refusedAt.IsZero() && c.sentAt.Before(at)
}

// operator sends changes, repeats each until it gets a clear answer, and reads the configuration.
type operator struct {
	run          *soakRun
	number       int
	random       *rand.Rand
	client       *http.Client
	acknowledged []*change // changes that may be sent once more
}

func newOperator(r *soakRun, number int) *operator {
	return &operator{run: r, number: number, random: rand.New(rand.NewPCG(r.options.Seed, 900+uint64(number))),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// newConfiguration returns a complete configuration. Configurations differ in the service of the moving route, the holder
// of movingKey, the note and the number of routes that no caller uses.
func newConfiguration(revision uint64, movingService, holder string, extraRoutes int, note string) peer.Configuration {
	route := func(path, mode, service string, pinned, resumes bool) peer.Route {
		return peer.Route{Label: "r" + path, Host: requestHost, Prefix: path, Mode: mode, HorizonMs: int(requestTimeout.Milliseconds()), SetpointMs: 800,
			Service: service, Tries: 3, Pinned: pinned, Continue: resumes, EventGapMs: 400, Unkeyed: !needsKey(path)}
	}
	c := peer.Configuration{
		Revision: revision, Note: note, Tenants: tenantsOf(holder),
		Routes: []peer.Route{
			route(pathIdempotent, peer.Idempotent, modelService, true, false), route(pathEffectful, peer.Effectful, modelService, true, false),
			route(pathResumable, peer.Continuous, modelService, true, true), route(pathStream, peer.Continuous, modelService, true, false),
			route(pathPlain, peer.Idempotent, plainService, false, false), route(pathMoving, peer.Effectful, movingService, false, false),
			slowRoute(),
		},
		Limits: peer.Limits{HeadBytes: 16384, BodyBytes: 4 << 20, HeadMs: 3000, IdleMs: 15000},
	}
	for i := range extraRoutes {
		c.Routes = append(c.Routes, route(fmt.Sprintf("/x%d/", i), peer.Idempotent, plainService, false, false))
	}
	runtime := &peer.Runtime{Capacity: modelServerSlots, CacheTokens: 100_000, TokenBytes: 131072, Bandwidth: 130000, Increment: 2, WeightMb: serverMb, Deltas: 8, LoadsPerS: 3}
	for i := range modelCount {
		runtime.Models = append(runtime.Models, peer.ModelClass{Label: modelName(i), WeightMb: modelMb, LoadingS: loadDuration.Seconds(), DeltaMb: 40})
	}
	for _, s := range []string{modelService, plainService, otherService, slowService} {
		service := peer.Service{Label: s, Probe: peer.PathHealth, Connections: 400, Protocol: "h1"}
		if s == modelService {
			service.Runtime = runtime
		}
		c.Services = append(c.Services, service)
	}
	return c
}

// randomCore picks a core node.
func (o *operator) randomCore() *machine {
	cores := o.run.fleet.withRole(controllerRole)
	return cores[o.random.IntN(len(cores))]
}

// randomChange creates a random change based on a version.
func (o *operator) randomChange(base uint64) *change {
	revision := base + 1 + uint64(o.random.IntN(3))
	moving := []string{plainService, otherService}[o.random.IntN(2)]
	c := &change{method: http.MethodPut, base: base, revision: revision, movingService: moving, keyHolder: randomHolder(o.random), exact: true}
	extra := o.random.IntN(4)
	if count := int(o.run.extraRoutes.Load()); count > 0 {
		extra += count
	}
	whole := newConfiguration(revision, moving, c.keyHolder, extra, fmt.Sprintf("operator %d, %d", o.number, o.random.Uint32()))
	if base == 0 && o.run.tuneFirst != nil {
		o.run.tuneFirst(&whole)
	}
	switch roll := o.random.Float64(); {
	case roll < invalidShare && base > 0:
		c.invalid = true
		if o.random.IntN(2) == 0 {
			addDuplicateKey(whole.Tenants)
		} else {
			whole.Routes[0].Service = "no-such-service"
		}
	case roll < invalidShare+patchShare && base > 0:
		c.method, c.exact = http.MethodPatch, false
		var items peer.Change
		items.Revision = revision
		items.Apply.Tenants = whole.Tenants[1:]
		if c.invalid = o.random.Float64() < invalidShare; c.invalid {
			addDuplicateKey(items.Apply.Tenants)
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

// Shares of an operator's changes.
const (
	invalidShare  = 0.08
	patchShare    = 0.3
	repeatShare   = 0.15 // after a change: an acknowledged change is sent once more
	readShare     = 0.5  // after a change: the configuration is read
	changeTimeout = 12 * time.Second
)

// send sends a change to a node once. It reports whether the answer was clear: acknowledged or refused.
func (o *operator) send(c *change, to *machine) (clear bool) {
	request, err := http.NewRequest(c.method, "http://"+hostPort(to.advertisedIP, portControl)+peer.PathConfiguration, bytes.NewReader(c.raw))
	if err != nil {
		return false
	}
	request.Header.Set("If-Match", strconv.FormatUint(c.base, 10))
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	if err != nil {
		return false
	}
	switch {
	case response.StatusCode == http.StatusOK:
		o.run.history.recordAck(c)
		o.run.checker.tracef("operator %d: %s %d on %d acknowledged by %s", o.number, c.method, c.revision, c.base, to.name)
		return true
	case response.StatusCode == http.StatusPreconditionFailed:
		o.run.history.recordRefusal(c, string(body))
		return true
	case response.StatusCode/100 == 4 && response.StatusCode != http.StatusRequestTimeout && response.StatusCode != http.StatusTooManyRequests:
		// A revision that is not above the one in force is refused as invalid. The version in force then differs from the base
		// as well.
		o.run.history.recordRefusal(c, string(body))
		return true
	}
	return false
}

// sendUntilAnswered sends a change to random core nodes until the answer is clear or changeTimeout has passed.
func (o *operator) sendUntilAnswered(ctx context.Context, c *change) {
	o.run.history.recordSend(c)
	for end := time.Now().Add(changeTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		if o.send(c, o.randomCore()) {
			if !c.ackedAt.IsZero() {
				o.acknowledged = append(o.acknowledged, c)
			}
			return
		}
		sleep(ctx, 50*time.Millisecond+time.Duration(o.random.Int64N(int64(150*time.Millisecond))))
	}
}

// readConfiguration reads the configuration from a node; zero if the node returns none.
func (o *operator) readConfiguration(m *machine) (revision uint64) {
	floor := o.run.history.newestAcknowledged()
	response, err := o.client.Get("http://" + hostPort(m.advertisedIP, portControl) + peer.PathConfiguration)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		if err == nil && response.StatusCode == http.StatusNotFound && floor > 0 {
			o.run.checker.violate("CONFIG", "%s returned no configuration after %d had been acknowledged", m.name, floor)
		}
		return 0
	}
	return o.run.history.checkRead(m.name, floor, raw)
}

// loop sends changes and reads the configuration until ctx is done.
func (o *operator) loop(ctx context.Context) {
	for ctx.Err() == nil {
		base := o.readConfiguration(o.randomCore())
		if base == 0 {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		o.sendUntilAnswered(ctx, o.randomChange(base))
		if o.random.Float64() < repeatShare && len(o.acknowledged) > 0 {
			o.send(o.acknowledged[max(0, len(o.acknowledged)-1-o.random.IntN(5))], o.randomCore())
		}
		if o.random.Float64() < readShare {
			o.readConfiguration(o.randomCore())
		}
		sleep(ctx, time.Duration(o.random.Int64N(int64(o.run.maxChangePause.Load()))))
	}
}

// acknowledgedCount counts the changes acknowledged so far.
func (h *changeHistory) acknowledgedCount() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.changes {
		if !c.ackedAt.IsZero() {
			n++
		}
	}
	return n
}
