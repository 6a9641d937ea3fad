// Package gauge holds the small types that every tidedeck program measures with:
// ids, epochs, times, and the one closed list of error kinds.
package gauge

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Tick is a moment on a process's own steady clock (CLOCK_BOOTTIME), in nanoseconds.
// It is never a wall time and never compared between machines.
type Tick int64

// Span is a length of time.
type Span = time.Duration

// Add gives the moment a span after t.
func (t Tick) Add(s Span) Tick { return t + Tick(s) }

// Sub gives the span from u to t.
func (t Tick) Sub(u Tick) Span { return Span(t - u) }

// Or fills in what was left out.
func Or[T comparable](p *T, def T) {
	var none T
	if *p == none {
		*p = def
	}
}

// Keys lists a map's keys in order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Node names one process of the system.
type Node string

// Server names one model server.
type Server string

// Zone names a failure zone.
type Zone string

// Epoch numbers the desired states; it only rises.
type Epoch uint64

// Duty numbers the reigns of duty owners; it only rises.
type Duty uint64

// Inc is an incarnation: a number drawn anew by each life of a process or disk.
type Inc uint64

// Mark is a digest of an entry's content; equal marks mean that nothing changed.
type Mark uint64

// Key names what a placement places: a base model, or an adapter on its base.
type Key string

// KeyOf joins a base model and an optional adapter.
func KeyOf(base, adapter string) Key {
	if adapter == "" {
		return Key(base)
	}
	return Key(base + "+" + adapter)
}

// Base gives the key of the base model.
func (k Key) Base() Key {
	b, _, _ := strings.Cut(string(k), "+")
	return Key(b)
}

// In puts a key of a service's own models under the service, so that two services may each have a
// model of that name.
func (k Key) In(service string) Key { return Key(service + "|" + string(k)) }

// Service gives the service that a key is under, if it is under one.
func (k Key) Service() string {
	s, _, ok := strings.Cut(string(k), "|")
	if !ok {
		return ""
	}
	return s
}

// Name gives the key as its service calls it.
func (k Key) Name() Key {
	if _, n, ok := strings.Cut(string(k), "|"); ok {
		return Key(n)
	}
	return k
}

// Plain tells whether the key stands for a whole service, whose servers hold no models.
func (k Key) Plain() bool { return strings.HasSuffix(string(k), "|") }

// IsAdapter tells whether the key names an adapter.
func (k Key) IsAdapter() bool { return strings.Contains(string(k), "+") }

// Kind is one of the closed list of error kinds.
type Kind string

// The closed list of error kinds.
const (
	None      Kind = ""
	Malformed Kind = "malformed"
	Oversize  Kind = "oversize"
	NoRoute   Kind = "no_route"
	NoModel   Kind = "no_model"
	NoKind    Kind = "no_kind"
	PastDue   Kind = "past_due"
	Full      Kind = "full"
	Spent     Kind = "allowance_spent"
	Expired   Kind = "expired"
	NotReady  Kind = "not_ready"
	Unclear   Kind = "unclear"
	Cut       Kind = "cut"
	Conflict  Kind = "conflict"
	Faulty    Kind = "faulty_plan"
	Unknown   Kind = "unknown"
	Stale     Kind = "stale_order"
	Mismatch  Kind = "mismatch"
	Busy      Kind = "busy"
	NoRoom    Kind = "no_room"
	Repeated  Kind = "repeated"
	Late      Kind = "late"
	Moved     Kind = "moved"
)

// Receipt says how a kind is told to the caller.
type Receipt struct {
	Status  int  // HTTP status
	Dropped bool // the request provably never ran
	Back    Span // when to come back; zero where coming back is no use
}

// Receipts is the one table from kind to answer.
var Receipts = map[Kind]Receipt{
	Malformed: {400, true, 0},
	Oversize:  {413, true, 0},
	NoRoute:   {404, true, 0},
	NoModel:   {404, true, 0},
	NoKind:    {400, true, 0},
	PastDue:   {400, true, 0},
	Full:      {503, true, time.Second},
	Spent:     {503, true, 2 * time.Second},
	Expired:   {503, true, time.Second},
	NotReady:  {503, true, time.Second},
	Unclear:   {502, false, 0},
	Cut:       {502, false, 0},
	Conflict:  {409, true, 0},
	Faulty:    {422, true, 0},
	Unknown:   {404, true, 0},
	Stale:     {409, true, 0},
	Mismatch:  {409, true, 0},
	Busy:      {503, true, 500 * time.Millisecond},
	NoRoom:    {409, true, 0},
	Repeated:  {409, false, 0}, // it ran, or may have, when it was asked before
	Late:      {503, true, 500 * time.Millisecond},
	Moved:     {503, true, 20 * time.Millisecond}, // what was known of a server was old
}
