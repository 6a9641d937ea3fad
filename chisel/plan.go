package chisel

import (
	"fmt"
	"strings"

	"tidedeck/gauge"
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
	Key   gauge.Key
	Size  int
	Floor int // replicas kept ready at all times
	Most  int // replicas at the most
}

// Class is a kind of request: its worth and how long it may wait.
type Class struct {
	Value int
	Wait  gauge.Span
}

// Service is what a route leads to: the keys that may be asked of it, by name.
type Service struct {
	Keys map[gauge.Key]bool
}

// Route is a path that callers use.
type Route struct {
	Service string
	Kinds   map[string]bool
}

// Plan is a checked fleet plan.
type Plan struct {
	Name     string
	Loads    int // loads that the weight store bears at once
	Models   map[gauge.Key]Model
	Kinds    map[string]Class
	Services map[string]Service
	Routes   map[string]Route
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
	q := &Plan{Models: map[gauge.Key]Model{}, Kinds: map[string]Class{}, Services: map[string]Service{}, Routes: map[string]Route{}}
	p.Only("name", "store", "models", "adapters", "kinds", "services", "routes")
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
		n.Only("size", "floor", "most")
		q.Models[gauge.Key(k)] = sizes(n, gauge.Key(k))
	})
	names := map[string]gauge.Key{}
	p.At("adapters").Keys(func(k string, n Pen) {
		n.Only("base", "size", "floor", "most")
		b := n.At("base").Text(true, 128)
		if b == "" {
			return
		}
		if _, ok := q.Models[gauge.Key(b)]; !ok {
			n.At("base").Fault(fmt.Sprintf("no model is called %q", b))
			return
		}
		key := gauge.KeyOf(b, k)
		names[k] = key
		q.Models[key] = sizes(n, key)
	})
	p.At("kinds").Keys(func(k string, n Pen) {
		n.Only("value", "wait_ms")
		q.Kinds[k] = Class{
			Value: n.At("value").Int(0, 1_000_000, 1),
			Wait:  gauge.Span(n.At("wait_ms").Int(1, MostWait, 10_000)) * 1_000_000,
		}
	})
	p.At("services").Keys(func(k string, n Pen) {
		n.Only("models", "adapters")
		s := Service{Keys: map[gauge.Key]bool{}}
		n.At("models").List(100_000, func(n Pen) {
			if m := gauge.Key(n.Text(true, 128)); m != "" {
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
		if len(s.Keys) == 0 {
			n.Fault("a service names at least one model or adapter")
		}
		q.Services[k] = s
	})
	p.At("routes").Keys(func(k string, n Pen) {
		n.Only("service", "kinds")
		if !strings.HasPrefix(k, "/") {
			n.Fault("a route begins with /")
		}
		r := Route{Service: n.At("service").Text(true, 128), Kinds: map[string]bool{}}
		if _, ok := q.Services[r.Service]; !ok && r.Service != "" {
			n.At("service").Fault(fmt.Sprintf("no service is called %q", r.Service))
		}
		n.At("kinds").List(1000, func(n Pen) {
			if c := n.Text(true, 128); c != "" {
				if _, ok := q.Kinds[c]; !ok {
					n.Fault(fmt.Sprintf("no kind is called %q", c))
				}
				r.Kinds[c] = true
			}
		})
		if len(r.Kinds) == 0 {
			n.At("kinds").Fault("a route names at least one kind")
		}
		q.Routes[k] = r
	})
	if len(*all) > 0 {
		return nil, *all
	}
	return q, nil
}

func sizes(n Pen, k gauge.Key) Model {
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
func (q *Plan) Allows(route, kind, base, extra string) (gauge.Key, Class, gauge.Kind) {
	r, ok := q.Routes[route]
	if !ok {
		return "", Class{}, gauge.NoRoute
	}
	key := gauge.KeyOf(base, extra)
	if strings.Contains(base, "+") || !q.Services[r.Service].Keys[key] {
		return "", Class{}, gauge.NoModel
	}
	if !r.Kinds[kind] {
		return "", Class{}, gauge.NoKind
	}
	return key, q.Kinds[kind], gauge.None
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
	Wait   gauge.Span // how long from now it may wait; zero leaves it to its kind
	Again  bool       // it may be repeated: running it twice does no harm
	Repeat bool       // it is itself a repeat of an earlier request
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
		Wait:   gauge.Span(p.At("horizon_ms").Int(-MostWait, MostWait, 0)) * 1_000_000,
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
