package fleetplan

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
)

// Limits for plans and requests: bytes of a plan and of a request body, wait in milliseconds, size of a model, and
// tokens of an answer.
const (
	MaxPlanBytes    = 4 << 20
	MaxBodyBytes    = 1 << 20
	MaxWaitMs       = 600_000
	maxModelSize    = 1_000_000
	maxAnswerTokens = 100_000
)

// Model is a base model or an adapter.
type Model struct {
	Key         ident.Key
	Size        int
	MinReplicas int        // minimum number of ready replicas
	MaxReplicas int        // maximum number of replicas
	LoadTime    clock.Span // load time at full rate; 0 if unknown
}

// Class is a class of requests: their value and their time limits.
type Class struct {
	Value         int
	MaxWait       clock.Span
	TargetLatency clock.Span // an answer that begins within this time has the highest value; 0 if unset
	TargetGap     clock.Span // likewise for the time between two events; 0 if unset
	GiveUpAfter   clock.Span // callers give up if an answer has not begun within this time; 0 if unset
}

// Service is the target of a route, with the keys that requests may use. A plain service has servers without models;
// the servers of any other service are identical.
type Service struct {
	Keys            map[ident.Key]bool
	Plain           bool
	Probe           string  // path of the health check
	MaxConnections  int     // connections that one server accepts, from all callers together
	MaxRunning      int     // concurrent requests of one server
	TokenCapacity   int     // token capacity shared by running requests and cached prompts
	WeightCapacity  int     // capacity for weights, in the unit of model sizes
	AdapterCapacity int     // number of adapters that one server can hold
	LoadRate        float64 // loads per second that the store supports, over all servers of the service
}

// Modes of a route: whether requests may be repeated, and how answers are delivered.
const (
	Once       = "once"       // runs at most once
	Idempotent = "idempotent" // may run again
	Continuous = "continuous" // runs at most once and answers with a stream of events
)

// Share is one service's share of a split route.
type Share struct {
	Service string
	Weight  int
}

// Route is an entry point for callers. A route with a host is selected by the host and the longest matching path
// prefix; any other route by its full path.
type Route struct {
	Service string
	Kinds   map[string]bool

	Name        string
	Host        string
	Prefix      string
	Mode        string
	Resume      bool // a stream may be resumed on another server
	Class       Class
	MaxAttempts int // servers to which one request may be sent
	Split       []Share

	// ModelOptional allows requests without a model; these may go to any server of a service with models.
	ModelOptional bool

	// Unkeyed allows requests without a tenant's key in a plan that has tenants.
	Unkeyed bool
}

// Plan is a validated fleet plan.
type Plan struct {
	Name            string
	ConcurrentLoads int // concurrent loads that the weight store supports
	Models          map[ident.Key]Model
	Kinds           map[string]Class
	Services        map[string]Service
	Routes          map[string]Route
	Hosts           HostRoutes
	IdleTimeout     clock.Span // idle timeout of callers' connections; 0 if unset
	MaxHeaderBytes  int        // maximum bytes of a request's header; 0 if unset
	MaxBodyBytes    int        // maximum bytes of a request's body; 0 if unset
	HeaderTimeout   clock.Span // timeout for reading a request's header; 0 if unset

	tenants *Tenants // nil if the plan has no tenants and requires no keys
	ranks   map[int]int
}

// Rank returns the rank of a value among those of the plan's classes; 0 is the highest. It is not safe for concurrent
// use.
func (p *Plan) Rank(value int) int {
	if p.ranks == nil {
		values := p.classValues()
		if p.tenants != nil {
			values = p.tenants.requestValues(values)
		}
		slices.Sort(values)
		slices.Reverse(values)
		p.ranks = map[int]int{}
		for i, value := range slices.Compact(values) {
			p.ranks[value] = i
		}
	}
	if n, ok := p.ranks[value]; ok {
		return n
	}
	return max(0, len(p.ranks)-1)
}

// Query contains the attributes of a request that determine its route and its tenant.
type Query struct {
	ID, Host, Path, Kind, Model, Adapter string

	Credential Credential
}

// Match is the result of routing a request. A rejected request keeps the route that it matched, if any.
type Match struct {
	Key   ident.Key
	Class Class
	Route *Route // the matched host route; nil for path routes

	HasTenants bool   // the plan has tenants: the caller's key must not be forwarded
	Tenant     string // name of the tenant; empty if none
}

// Match routes a request according to the plan.
func (p *Plan) Match(query Query) (Match, failure.Kind) {
	if query.Host == "" {
		return p.matchPath(query)
	}
	r := p.FindRoute(query.Host, query.Path)
	if r == nil {
		return Match{}, failure.NoRoute
	}
	m := Match{Class: r.Class, Route: r}
	if !p.authorize(&m, query.Credential, r.Unkeyed) {
		return m, failure.NoKey
	}
	name := r.chooseService(query.ID)
	s := p.Services[name]
	if s.Plain || r.ModelOptional && query.Model == "" && query.Adapter == "" {
		m.Key = ident.ServiceKey(name)
		return m, failure.None
	}
	key := ident.NewKey(query.Model, query.Adapter).InService(name)
	if !s.Keys[key] {
		return m, failure.NoModel
	}
	m.Key = key
	return m, failure.None
}

// matchPath routes a request by its full path.
func (p *Plan) matchPath(query Query) (m Match, why failure.Kind) {
	r, ok := p.Routes[query.Path]
	if !ok {
		return Match{}, failure.NoRoute
	}
	m.Class = p.Kinds[query.Kind]
	if !p.authorize(&m, query.Credential, r.Unkeyed) {
		return m, failure.NoKey
	}
	m.Key, _, why = p.Allows(query.Path, query.Kind, query.Model, query.Adapter)
	return m, why
}

// FindRoute returns the route of a host with the longest prefix that matches the path.
func (p *Plan) FindRoute(host, path string) *Route { return p.Hosts.Find(host, path) }

// HostRoutes are the routes of a plan by host and prefix.
type HostRoutes map[string]map[string]*Route

// Same reports whether these are the routes of the same reading, so that they are certainly equal.
func (h HostRoutes) Same(other HostRoutes) bool { return isSameMap(h, other) }

// PlacesAlike reports whether the models and services of two plans come from the same reading, so that they are certainly equal.
func (p *Plan) PlacesAlike(other *Plan) bool {
	return other != nil && isSameMap(p.Models, other.Models) && isSameMap(p.Services, other.Services) && p.ConcurrentLoads == other.ConcurrentLoads
}

// isSameMap reports whether two values are one map.
func isSameMap(a, b any) bool { return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer() }

// Find returns the route of a host with the longest prefix that matches the path.
func (h HostRoutes) Find(host, path string) *Route {
	routes := h[host]
	if routes == nil {
		return nil
	}
	for i := len(path); i > 0; i-- {
		if path[i-1] != '/' {
			continue
		}
		if r := routes[path[:i]]; r != nil {
			return r
		}
	}
	return nil
}

// chooseService returns the service for a request. The choice is a hash of the request ID and the route's name, so it
// is the same each time.
func (r *Route) chooseService(id string) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	hasher := fnv.New64a()
	_, _ = hasher.Write([]byte(id))
	_, _ = hasher.Write([]byte(r.Name))
	hash := hasher.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	position := int(hash % uint64(max(1, sum)))
	for _, s := range r.Split {
		if position -= s.Weight; position < 0 {
			return s.Service
		}
	}
	return r.Service
}

// ReadPlan parses and validates a plan. With any fault it returns no plan.
func ReadPlan(raw []byte) (*Plan, Faults) {
	if len(raw) > MaxPlanBytes {
		return nil, Faults{{"$", fmt.Sprintf("plan exceeds %d bytes", MaxPlanBytes)}}
	}
	p, faults := ParseJSON(raw)
	if len(*faults) > 0 && !p.present {
		return nil, *faults
	}
	plan := &Plan{Models: map[ident.Key]Model{}, Kinds: map[string]Class{}, Services: map[string]Service{}, Routes: map[string]Route{}}
	p.RejectUnknown("name", "store", "models", "adapters", "kinds", "services", "routes", "tenants")
	plan.Name = p.Field("name").Text(true, 128)
	plan.ConcurrentLoads = p.Field("store").RejectUnknown("loads").Field("loads").Int(1, 1000, 2)
	for _, s := range []string{"models", "kinds", "services", "routes"} {
		if !p.Field(s).present {
			p.Field(s).Fault("is required")
		}
	}
	p.Field("models").EachKey(func(k string, n Cursor) {
		if strings.Contains(k, "+") {
			n.Fault("a model's name must not contain +")
			return
		}
		n.RejectUnknown("size", "floor", "most", "load_ms")
		m := readModel(n, ident.Key(k))
		m.LoadTime = n.Field("load_ms").durationMs(0)
		plan.Models[m.Key] = m
	})
	names := map[string]ident.Key{}
	p.Field("adapters").EachKey(func(k string, n Cursor) {
		n.RejectUnknown("base", "size", "floor", "most")
		base := n.Field("base").Text(true, 128)
		if base == "" {
			return
		}
		if _, ok := plan.Models[ident.Key(base)]; !ok {
			n.Field("base").Fault(fmt.Sprintf("no model named %q", base))
			return
		}
		key := ident.NewKey(base, k)
		names[k] = key
		plan.Models[key] = readModel(n, key)
	})
	p.Field("kinds").EachKey(func(k string, n Cursor) {
		n.RejectUnknown("value", "wait_ms")
		plan.Kinds[k] = Class{
			Value:   n.Field("value").Int(0, 1_000_000, 1),
			MaxWait: clock.Span(n.Field("wait_ms").Int(1, MaxWaitMs, 10_000)) * 1_000_000,
		}
	})
	hosts := newHostReader(plan)
	p.Field("services").EachKey(func(k string, n Cursor) {
		n.RejectUnknown("models", "adapters", "plain", "probe", "connections", "slots", "tokens", "room", "places", "loads_per_s")
		s := Service{Keys: map[ident.Key]bool{}}
		hosts.servers(k, n, &s)
		n.Field("models").EachItem(100_000, func(n Cursor) {
			if m := ident.Key(n.Text(true, 128)); m != "" {
				if _, ok := plan.Models[m]; !ok || m.IsAdapter() {
					n.Fault(fmt.Sprintf("no model named %q", m))
				}
				s.Keys[m] = true
			}
		})
		n.Field("adapters").EachItem(100_000, func(n Cursor) {
			if a := n.Text(true, 128); a != "" {
				key, ok := names[a]
				if !ok {
					n.Fault(fmt.Sprintf("no adapter named %q", a))
				}
				s.Keys[key] = true
			}
		})
		if len(s.Keys) == 0 && !s.Plain {
			n.Fault("a service must list at least one model or adapter")
		}
		plan.Services[k] = s
	})
	p.Field("routes").EachKey(func(k string, n Cursor) {
		if isHostRoute(n) {
			hosts.route(k, n)
			return
		}
		plan.Routes[k] = hosts.pathRoute(k, n)
	})
	hosts.qualifyModels(p.Field("services"))
	if n := p.Field("tenants"); n.present {
		plan.SetTenants(readTenants(n))
	}
	if len(*faults) > 0 {
		return nil, *faults
	}
	return plan, nil
}

// pathRoute reads a route that is selected by its full path.
func (h *hostReader) pathRoute(path string, n Cursor) Route {
	n.RejectUnknown("service", "kinds", "unkeyed")
	if !strings.HasPrefix(path, "/") {
		n.Fault("a route must begin with /")
	}
	r := Route{Service: n.Field("service").Text(true, 128), Kinds: map[string]bool{}, Unkeyed: n.Field("unkeyed").Bool(false)}
	if _, ok := h.plan.Services[r.Service]; !ok && r.Service != "" {
		n.Field("service").Fault(fmt.Sprintf("no service named %q", r.Service))
	}
	n.Field("kinds").EachItem(1000, func(n Cursor) {
		if kind := n.Text(true, 128); kind != "" {
			if _, ok := h.plan.Kinds[kind]; !ok {
				n.Fault(fmt.Sprintf("no kind named %q", kind))
			}
			r.Kinds[kind] = true
		}
	})
	if len(r.Kinds) == 0 {
		n.Field("kinds").Fault("a route must list at least one kind")
	}
	h.pathServices[r.Service] = true
	return r
}

func readModel(n Cursor, k ident.Key) Model {
	m := Model{Key: k, Size: n.Field("size").Int(1, maxModelSize, 1), MinReplicas: n.Field("floor").Int(0, 1000, 0), MaxReplicas: n.Field("most").Int(1, 1000, 1000)}
	if !n.Field("size").present {
		n.Field("size").Fault("is required")
	}
	if m.MaxReplicas < m.MinReplicas {
		n.Field("most").Fault("is less than floor")
	}
	return m
}

// Allows returns the key that a request may use and the class of its kind.
func (p *Plan) Allows(route, kind, base, extra string) (ident.Key, Class, failure.Kind) {
	r, ok := p.Routes[route]
	if !ok {
		return "", Class{}, failure.NoRoute
	}
	key := ident.NewKey(base, extra)
	if strings.Contains(base, "+") || !p.Services[r.Service].Keys[key] {
		return "", Class{}, failure.NoModel
	}
	if !r.Kinds[kind] {
		return "", Class{}, failure.NoKind
	}
	return key, p.Kinds[kind], failure.None
}

// Request is a caller's request.
type Request struct {
	ID           string
	Model        string
	Adapter      string
	Kind         string
	Parts        []string
	Prompt       string
	MaxTokens    int
	Horizon      clock.Span // remaining time to wait; 0 selects the limit of the request's kind
	Repeatable   bool       // running the request twice is harmless
	Repeat       bool       // the request repeats an earlier one
	Host         string     // host that the request was sent to, for host routes
	PromptTokens int        // number of prompt tokens, if known
	PartTokens   []int      // number of tokens of each part, if known
	LastEvent    uint64     // resumes a stream after the event with this number

	Credential Credential // the key that the caller presented
}

// Query returns the attributes of the call that determine its route.
func (r Request) Query(path string) Query {
	return Query{ID: r.ID, Host: r.Host, Path: path, Kind: r.Kind, Model: r.Model, Adapter: r.Adapter, Credential: r.Credential}
}

// ReadRequest parses and validates a caller's request.
func ReadRequest(raw []byte) (Request, Faults) {
	p, faults := ParseJSON(raw)
	if len(*faults) > 0 && !p.present {
		return Request{}, *faults
	}
	p.RejectUnknown("id", "model", "adapter", "kind", "parts", "prompt", "max_tokens", "horizon_ms", "repeatable", "repeat")
	call := Request{
		ID:         p.Field("id").Text(true, 128),
		Model:      p.Field("model").Text(true, 128),
		Adapter:    p.Field("adapter").Text(false, 128),
		Kind:       p.Field("kind").Text(true, 128),
		Prompt:     p.Field("prompt").Text(false, MaxBodyBytes),
		MaxTokens:  p.Field("max_tokens").Int(1, maxAnswerTokens, 64),
		Horizon:    clock.Span(p.Field("horizon_ms").Int(-MaxWaitMs, MaxWaitMs, 0)) * 1_000_000,
		Repeatable: p.Field("repeatable").Bool(false),
		Repeat:     p.Field("repeat").Bool(false),
	}
	if p.Field("horizon_ms").present && call.Horizon <= 0 {
		call.Horizon = -1
	}
	p.Field("parts").EachItem(64, func(n Cursor) { call.Parts = append(call.Parts, n.Text(true, MaxBodyBytes)) })
	if p.value != nil {
		if _, ok := p.value.(map[string]any); !ok {
			p.Fault("must be an object")
		}
	}
	if len(*faults) > 0 {
		return Request{}, *faults
	}
	return call, nil
}
