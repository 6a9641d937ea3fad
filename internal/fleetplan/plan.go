package fleetplan

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
)

// Bounds of what a plan may say.
const (
	MostPlan   = 4 << 20
	MostBody   = 1 << 20
	MostWait   = 600_000
	MostSize   = 1_000_000
	MostTokens = 100_000
)

// Model is a base model or an adapter.
type Model struct {
	Key   ident.Key
	Size  int
	Floor int        // replicas kept ready at all times
	Most  int        // replicas at the most
	Load  clock.Span // how long a load takes at full speed, if that is known
}

// Class is a kind of request: its worth and how long it may wait.
type Class struct {
	Value int
	Wait  clock.Span
	Aim   clock.Span // an answer that begins within it is worth the most, if that is said
	Pause clock.Span // between two events, likewise
	Quit  clock.Span // callers give up when an answer has not begun by then, if that is said
}

// Service is what a route leads to: the keys that may be asked of it, by name. A plain service has
// servers without models; the others' servers are all of one make.
type Service struct {
	Keys   map[ident.Key]bool
	Plain  bool
	Probe  string  // the path at which a server tells whether it is well
	Conns  int     // connections that one server takes from all callers together
	Slots  int     // requests that one server runs at once
	Tokens int     // that its running requests and kept prompts share
	Room   int     // for weights, in the unit of sizes
	Places int     // for adapters
	Loads  float64 // a second, over all its servers, that the store bears
}

// Modes of a route: what may be repeated, and how answers come.
const (
	Once       = "once"       // runs at most once
	Idempotent = "idempotent" // may run again
	Continuous = "continuous" // runs at most once and answers with a stream of events
)

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Route is a path that callers use. Routes with a host are found by it and the longest prefix of
// the path; the others by the whole path.
type Route struct {
	Service string
	Kinds   map[string]bool

	Name   string
	Host   string
	Prefix string
	Mode   string
	Resume bool // a stream may be taken up at another server
	Class  Class
	Tries  int // servers that one request may be sent to
	Split  []Share

	// ModelOptional says that a request which names no model is for any server of a service with models.
	ModelOptional bool

	// Unkeyed says that requests need no tenant's key, where the plan has tenants.
	Unkeyed bool
}

// Plan is a checked fleet plan.
type Plan struct {
	Name     string
	Loads    int // loads that the weight store bears at once
	Models   map[ident.Key]Model
	Kinds    map[string]Class
	Services map[string]Service
	Routes   map[string]Route
	Hosts    map[string]map[string]*Route // by host and prefix
	Idle     clock.Span                   // a caller's connection may be idle for so long, if that is said
	HeadMost int                          // bytes of a request's head, likewise
	BodyMost int                          // bytes of its body
	HeadWait clock.Span                   // for its head

	tenants *Tenants // nil where nobody wants a key
	ranks   map[int]int
}

// Rank gives a value's place among those of the plan's classes: 0 is the highest. It is not safe for use
// by two at once.
func (q *Plan) Rank(value int) int {
	if q.ranks == nil {
		l := q.values()
		if q.tenants != nil {
			l = q.tenants.values(l)
		}
		slices.Sort(l)
		slices.Reverse(l)
		q.ranks = map[int]int{}
		for i, v := range slices.Compact(l) {
			q.ranks[v] = i
		}
	}
	if n, ok := q.ranks[value]; ok {
		return n
	}
	return max(0, len(q.ranks)-1)
}

// Query is what of a request decides where it may go, and whose it is.
type Query struct {
	ID, Host, Path, Kind, Base, Extra string

	Credential Credential
}

// Match is where a request may go, and under which terms. A request that may not go still has the route that it was found
// under, if it has one.
type Match struct {
	Key   ident.Key
	Class Class
	Route *Route // of those found by host; nil for the others

	Keyed  bool   // the plan has tenants: what the caller shows as a key goes no further
	Tenant string // whose request it is; empty for nobody's
}

// Match finds what a plan allows a request.
func (q *Plan) Match(x Query) (Match, failure.Kind) {
	if x.Host == "" {
		return q.matchPath(x)
	}
	r := q.Find(x.Host, x.Path)
	if r == nil {
		return Match{}, failure.NoRoute
	}
	m := Match{Class: r.Class, Route: r}
	if !q.admits(&m, x.Credential, r.Unkeyed) {
		return m, failure.NoKey
	}
	name := r.choose(x.ID)
	s := q.Services[name]
	if s.Plain || r.ModelOptional && x.Base == "" && x.Extra == "" {
		m.Key = ident.ServiceKey(name)
		return m, failure.None
	}
	k := ident.KeyOf(x.Base, x.Extra).In(name)
	if !s.Keys[k] {
		return m, failure.NoModel
	}
	m.Key = k
	return m, failure.None
}

// matchPath finds what a plan allows a request that is found by its whole path.
func (q *Plan) matchPath(x Query) (m Match, why failure.Kind) {
	r, ok := q.Routes[x.Path]
	if !ok {
		return Match{}, failure.NoRoute
	}
	m.Class = q.Kinds[x.Kind]
	if !q.admits(&m, x.Credential, r.Unkeyed) {
		return m, failure.NoKey
	}
	m.Key, _, why = q.Allows(x.Path, x.Kind, x.Base, x.Extra)
	return m, why
}

// Find gives the route of a host with the longest prefix that begins the path.
func (q *Plan) Find(host, path string) *Route {
	l := q.Hosts[host]
	if l == nil {
		return nil
	}
	for i := len(path); i > 0; i-- {
		if path[i-1] != '/' {
			continue
		}
		if r := l[path[:i]]; r != nil {
			return r
		}
	}
	return nil
}

// choose gives the service that a request goes to: by its id, so that the choice lasts.
func (r *Route) choose(id string) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte(r.Name))
	n := h.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	at := int(n % uint64(max(1, sum)))
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Service
}

// ReadPlan reads and checks a plan in full; with any fault there is no plan.
func ReadPlan(raw []byte) (*Plan, Faults) {
	if len(raw) > MostPlan {
		return nil, Faults{{"$", fmt.Sprintf("a plan has at most %d bytes", MostPlan)}}
	}
	p, all := Open(raw)
	if len(*all) > 0 && !p.has {
		return nil, *all
	}
	q := &Plan{Models: map[ident.Key]Model{}, Kinds: map[string]Class{}, Services: map[string]Service{}, Routes: map[string]Route{}}
	p.Only("name", "store", "models", "adapters", "kinds", "services", "routes", "tenants")
	q.Name = p.At("name").Text(true, 128)
	q.Loads = p.At("store").Only("loads").At("loads").Int(1, 1000, 2)
	for _, s := range []string{"models", "kinds", "services", "routes"} {
		if !p.At(s).has {
			p.At(s).Fault("is missing")
		}
	}
	p.At("models").Keys(func(k string, n Pen) {
		if strings.Contains(k, "+") {
			n.Fault("a model's name has no +")
			return
		}
		n.Only("size", "floor", "most", "load_ms")
		m := sizes(n, ident.Key(k))
		m.Load = n.At("load_ms").ms(0)
		q.Models[m.Key] = m
	})
	names := map[string]ident.Key{}
	p.At("adapters").Keys(func(k string, n Pen) {
		n.Only("base", "size", "floor", "most")
		b := n.At("base").Text(true, 128)
		if b == "" {
			return
		}
		if _, ok := q.Models[ident.Key(b)]; !ok {
			n.At("base").Fault(fmt.Sprintf("no model is called %q", b))
			return
		}
		key := ident.KeyOf(b, k)
		names[k] = key
		q.Models[key] = sizes(n, key)
	})
	p.At("kinds").Keys(func(k string, n Pen) {
		n.Only("value", "wait_ms")
		q.Kinds[k] = Class{
			Value: n.At("value").Int(0, 1_000_000, 1),
			Wait:  clock.Span(n.At("wait_ms").Int(1, MostWait, 10_000)) * 1_000_000,
		}
	})
	h := newHosts(q)
	p.At("services").Keys(func(k string, n Pen) {
		n.Only("models", "adapters", "plain", "probe", "connections", "slots", "tokens", "room", "places", "loads_per_s")
		s := Service{Keys: map[ident.Key]bool{}}
		h.servers(k, n, &s)
		n.At("models").List(100_000, func(n Pen) {
			if m := ident.Key(n.Text(true, 128)); m != "" {
				if _, ok := q.Models[m]; !ok || m.IsAdapter() {
					n.Fault(fmt.Sprintf("no model is called %q", m))
				}
				s.Keys[m] = true
			}
		})
		n.At("adapters").List(100_000, func(n Pen) {
			if a := n.Text(true, 128); a != "" {
				key, ok := names[a]
				if !ok {
					n.Fault(fmt.Sprintf("no adapter is called %q", a))
				}
				s.Keys[key] = true
			}
		})
		if len(s.Keys) == 0 && !s.Plain {
			n.Fault("a service names at least one model or adapter")
		}
		q.Services[k] = s
	})
	p.At("routes").Keys(func(k string, n Pen) {
		if byHost(n) {
			h.route(k, n)
			return
		}
		q.Routes[k] = h.pathRoute(k, n)
	})
	h.settle(p.At("services"))
	if n := p.At("tenants"); n.has {
		q.SetTenants(readTenants(n))
	}
	if len(*all) > 0 {
		return nil, *all
	}
	return q, nil
}

// pathRoute reads a route that is found by its whole path.
func (h *hosts) pathRoute(path string, n Pen) Route {
	n.Only("service", "kinds", "unkeyed")
	if !strings.HasPrefix(path, "/") {
		n.Fault("a route begins with /")
	}
	r := Route{Service: n.At("service").Text(true, 128), Kinds: map[string]bool{}, Unkeyed: n.At("unkeyed").Bool(false)}
	if _, ok := h.q.Services[r.Service]; !ok && r.Service != "" {
		n.At("service").Fault(fmt.Sprintf("no service is called %q", r.Service))
	}
	n.At("kinds").List(1000, func(n Pen) {
		if c := n.Text(true, 128); c != "" {
			if _, ok := h.q.Kinds[c]; !ok {
				n.Fault(fmt.Sprintf("no kind is called %q", c))
			}
			r.Kinds[c] = true
		}
	})
	if len(r.Kinds) == 0 {
		n.At("kinds").Fault("a route names at least one kind")
	}
	h.paths[r.Service] = true
	return r
}

func sizes(n Pen, k ident.Key) Model {
	m := Model{Key: k, Size: n.At("size").Int(1, MostSize, 1), Floor: n.At("floor").Int(0, 1000, 0), Most: n.At("most").Int(1, 1000, 1000)}
	if !n.At("size").has {
		n.At("size").Fault("is missing")
	}
	if m.Most < m.Floor {
		n.At("most").Fault("is below floor")
	}
	return m
}

// Allows finds what a request may use: the key, and the class of its kind.
func (q *Plan) Allows(route, kind, base, extra string) (ident.Key, Class, failure.Kind) {
	r, ok := q.Routes[route]
	if !ok {
		return "", Class{}, failure.NoRoute
	}
	key := ident.KeyOf(base, extra)
	if strings.Contains(base, "+") || !q.Services[r.Service].Keys[key] {
		return "", Class{}, failure.NoModel
	}
	if !r.Kinds[kind] {
		return "", Class{}, failure.NoKind
	}
	return key, q.Kinds[kind], failure.None
}

// Call is a caller's request.
type Call struct {
	ID     string
	Base   string
	Extra  string
	Kind   string
	Parts  []string
	Prompt string
	Max    int
	Wait   clock.Span // how long from now it may wait; zero leaves it to its kind
	Again  bool       // it may be repeated: running it twice does no harm
	Repeat bool       // it is itself a repeat of an earlier request
	Host   string     // that it was sent to, where routes go by hosts
	Tokens int        // of its prompt, if that is known
	Sizes  []int      // tokens of each of its parts, likewise
	Seen   uint64     // it takes up a stream after the event of this number

	Credential Credential // what it shows of its caller
}

// Query gives what of the call decides where it may go.
func (c Call) Query(path string) Query {
	return Query{ID: c.ID, Host: c.Host, Path: path, Kind: c.Kind, Base: c.Base, Extra: c.Extra, Credential: c.Credential}
}

// ReadCall reads and checks a caller's request.
func ReadCall(raw []byte) (Call, Faults) {
	p, all := Open(raw)
	if len(*all) > 0 && !p.has {
		return Call{}, *all
	}
	p.Only("id", "model", "adapter", "kind", "parts", "prompt", "max_tokens", "horizon_ms", "repeatable", "repeat")
	c := Call{
		ID:     p.At("id").Text(true, 128),
		Base:   p.At("model").Text(true, 128),
		Extra:  p.At("adapter").Text(false, 128),
		Kind:   p.At("kind").Text(true, 128),
		Prompt: p.At("prompt").Text(false, MostBody),
		Max:    p.At("max_tokens").Int(1, MostTokens, 64),
		Wait:   clock.Span(p.At("horizon_ms").Int(-MostWait, MostWait, 0)) * 1_000_000,
		Again:  p.At("repeatable").Bool(false),
		Repeat: p.At("repeat").Bool(false),
	}
	if p.At("horizon_ms").has && c.Wait <= 0 {
		c.Wait = -1
	}
	p.At("parts").List(64, func(n Pen) { c.Parts = append(c.Parts, n.Text(true, MostBody)) })
	if p.val != nil {
		if _, ok := p.val.(map[string]any); !ok {
			p.Fault("wants a table")
		}
	}
	if len(*all) > 0 {
		return Call{}, *all
	}
	return c, nil
}
