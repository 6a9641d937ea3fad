package simulator

import (
	"encoding/json"
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// planSheet is the JSON format of plans for announced servers in the simulator's scenes.
type planSheet struct {
	Name     string                 `json:"name"`
	Services map[string]planService `json:"services"`
	Routes   []planRoute            `json:"routes"`
	Tenants  []planTenant           `json:"tenants,omitempty"` // absent if requests need no credential
}

// planTenant is a tenant and its keys.
type planTenant struct {
	Name       string   `json:"name"`
	Keys       []string `json:"keys"`
	Precedence int      `json:"precedence"`
}

type planService struct {
	Plain    bool    `json:"plain,omitempty"`
	Slots    int     `json:"slots"`
	Room     int     `json:"room,omitempty"`
	Places   int     `json:"places,omitempty"`
	Loads    float64 `json:"loads,omitempty"`
	Bases    int     `json:"bases,omitempty"`
	Adapters int     `json:"adapters,omitempty"`
	LoadMs   int     `json:"load_ms,omitempty"`
}

type planRoute struct {
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Mode    string `json:"mode"`
	Value   int    `json:"value"`
	WaitMs  int    `json:"wait_ms"`
	Tries   int    `json:"tries"`

	ModelOptional bool `json:"model_optional,omitempty"`
	Unkeyed       bool `json:"unkeyed,omitempty"`
}

const adapterSize = 1

// baseName returns the name of a service's n-th base model.
func baseName(n int) string { return fmt.Sprintf("m%02d", n) }

// baseSize returns the size of a service's n-th base model. Every third model is large.
func baseSize(n int) int { return 10 + 10*boolToInt(n%3 == 0) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ReadHostedPlan parses a plan for announced servers.
func ReadHostedPlan(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
	var s planSheet
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fleetplan.Faults{{Path: "$", Why: err.Error()}}
	}
	p := &fleetplan.Plan{Name: s.Name, ConcurrentLoads: 1000, Models: map[ident.Key]fleetplan.Model{}, Kinds: map[string]fleetplan.Class{},
		Services: map[string]fleetplan.Service{}, Routes: map[string]fleetplan.Route{}, Hosts: map[string]map[string]*fleetplan.Route{}}
	for _, n := range generic.SortedKeys(s.Services) {
		v := s.Services[n]
		x := fleetplan.Service{Keys: map[ident.Key]bool{}, Plain: v.Plain, MaxRunning: v.Slots, WeightCapacity: v.Room, AdapterCapacity: v.Places, LoadRate: v.Loads}
		for i := range v.Bases {
			k := ident.Key(baseName(i)).InService(n)
			x.Keys[k] = true
			p.Models[k] = fleetplan.Model{Key: k, Size: baseSize(i), MaxReplicas: 1000, LoadTime: clock.Span(v.LoadMs) * 1e6}
			for a := range v.Adapters {
				e := ident.NewKey(baseName(i), fmt.Sprintf("a%d", a+1)).InService(n)
				x.Keys[e] = true
				p.Models[e] = fleetplan.Model{Key: e, Size: adapterSize, MaxReplicas: 1000}
			}
		}
		p.Services[n] = x
	}
	for i, r := range s.Routes {
		if _, ok := p.Services[r.Service]; !ok {
			return nil, fleetplan.Faults{{Path: fmt.Sprintf("routes[%d]", i), Why: "unknown service " + r.Service}}
		}
		if p.Hosts[r.Host] == nil {
			p.Hosts[r.Host] = map[string]*fleetplan.Route{}
		}
		p.Hosts[r.Host][r.Prefix] = &fleetplan.Route{Service: r.Service, Name: r.Host + r.Prefix, Host: r.Host, Prefix: r.Prefix, Mode: r.Mode, MaxAttempts: r.Tries,
			ModelOptional: r.ModelOptional, Unkeyed: r.Unkeyed, Class: fleetplan.Class{Value: r.Value, MaxWait: clock.Span(r.WaitMs) * 1e6}}
	}
	if s.Tenants != nil {
		return p, s.applyTenants(p)
	}
	return p, nil
}

// applyTenants sets the tenants of a plan.
func (s planSheet) applyTenants(p *fleetplan.Plan) fleetplan.Faults {
	t := fleetplan.NewTenants()
	for i, tenant := range s.Tenants {
		t.Add(fleetplan.Tenant{Name: tenant.Name, Precedence: tenant.Precedence})
		for _, key := range tenant.Keys {
			if other, ok := t.AddKey(tenant.Name, key); !ok {
				return fleetplan.Faults{{Path: fmt.Sprintf("tenants[%d]", i), Why: fleetplan.SharedKeyFault(other)}}
			}
		}
	}
	p.SetTenants(t)
	return nil
}

// hostedPlan returns the initial plan of scenes with announced servers.
func hostedPlan() []byte { return planWithStoreRate(1) }

// planWithStoreRate returns the initial plan with a store that admits the given number of loads per second.
func planWithStoreRate(loads float64) []byte { return encodePlan(firstPlan(loads)) }

// planWithOptionalModel returns the initial plan with additional routes for requests that name no model.
func planWithOptionalModel() []byte {
	s := firstPlan(1)
	for _, r := range s.Routes {
		if r.Service == "chat" {
			r.Prefix, r.ModelOptional = "/any"+r.Prefix, true
			s.Routes = append(s.Routes, r)
		}
	}
	return encodePlan(s)
}

func firstPlan(loads float64) planSheet {
	return planSheet{Name: "first",
		Services: map[string]planService{
			"chat":  {Slots: 16, Room: 60, Places: 3, Loads: loads, Bases: 18, Adapters: 2, LoadMs: 1500},
			"plain": {Plain: true, Slots: 8},
		},
		Routes: []planRoute{
			{Host: "a.example", Prefix: "/flow/", Service: "chat", Mode: fleetplan.Continuous, Value: 990, WaitMs: 8000, Tries: 3},
			{Host: "a.example", Prefix: "/idem/", Service: "chat", Mode: fleetplan.Idempotent, Value: 980, WaitMs: 8000, Tries: 3},
			{Host: "a.example", Prefix: "/once/", Service: "chat", Mode: fleetplan.Once, Value: 980, WaitMs: 8000, Tries: 2},
			{Host: "a.example", Prefix: "/plain/idem/", Service: "plain", Mode: fleetplan.Idempotent, Value: 990, WaitMs: 3000, Tries: 3},
			{Host: "a.example", Prefix: "/plain/once/", Service: "plain", Mode: fleetplan.Once, Value: 990, WaitMs: 3000, Tries: 2},
		}}
}

func encodePlan(s planSheet) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}
