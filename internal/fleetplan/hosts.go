package fleetplan

import (
	"encoding/json"
	"fmt"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Limits for services and host routes.
const (
	maxServerCapacity = 1_000_000_000 // tokens, adapter slots, connections and weight capacity of one server
	maxAttempts       = 100
	maxSplit          = 100
	maxWeight         = 1_000_000
	maxLoadRate       = 1e6 // loads per second
)

var modes = map[string]bool{Once: true, Idempotent: true, Continuous: true}

// hostReader reads host routes and the services that they target.
type hostReader struct {
	plan         *Plan
	hostServices map[string]bool // services that host routes target, or that describe their servers
	pathServices map[string]bool // services that path routes target
}

func newHostReader(plan *Plan) *hostReader {
	return &hostReader{plan: plan, hostServices: map[string]bool{}, pathServices: map[string]bool{}}
}

// isHostRoute reports whether a route is selected by host.
func isHostRoute(n Cursor) bool { return n.Field("host").present || n.Field("prefix").present }

// Number reads a number within bounds; an absent value yields the default.
func (p Cursor) Number(low, high, def float64) float64 {
	if !p.present {
		return def
	}
	n, ok := p.value.(json.Number)
	if !ok {
		p.Fault("must be a number")
		return def
	}
	f, err := n.Float64()
	if err != nil || !(f >= low && f <= high) {
		p.Fault(fmt.Sprintf("must be a number from %v to %v", low, high))
		return def
	}
	return f
}

// durationMs reads a duration of at least one millisecond; an absent value yields the default.
func (p Cursor) durationMs(def int) clock.Span {
	return clock.Span(p.Int(1, MaxWaitMs, def)) * 1_000_000
}

// servers reads a service's description of its servers.
func (h *hostReader) servers(name string, n Cursor, s *Service) {
	for _, k := range []string{"plain", "probe", "connections", "slots", "tokens", "room", "places", "loads_per_s"} {
		h.hostServices[name] = h.hostServices[name] || n.Field(k).present
	}
	s.Plain = n.Field("plain").Bool(false)
	s.Probe = n.Field("probe").Text(n.Field("probe").present, 4096)
	if s.Probe != "" && s.Probe[0] != '/' {
		n.Field("probe").Fault("must begin with /")
	}
	s.MaxConnections = n.Field("connections").Int(1, maxServerCapacity, 0)
	s.MaxRunning = n.Field("slots").Int(1, maxServerCapacity, 0)
	s.TokenCapacity = n.Field("tokens").Int(1, maxServerCapacity, 0)
	s.WeightCapacity = n.Field("room").Int(1, maxServerCapacity, 0)
	s.AdapterCapacity = n.Field("places").Int(1, maxServerCapacity, 0)
	s.LoadRate = n.Field("loads_per_s").Number(0, maxLoadRate, 0)
	if !s.Plain {
		return
	}
	for _, k := range []string{"models", "adapters", "tokens", "room", "places", "loads_per_s"} {
		if n.Field(k).present {
			n.Field(k).Fault("not allowed for a plain service, which has no models")
		}
	}
}

// route reads a route selected by host and path prefix.
func (h *hostReader) route(name string, n Cursor) {
	n.RejectUnknown("host", "prefix", "service", "split", "mode", "resume", "tries", "value", "wait_ms", "aim_ms", "pause_ms", "quit_ms", "model_optional", "unkeyed")
	r := &Route{
		Name: name, Host: n.Field("host").Text(true, 255), Prefix: n.Field("prefix").Text(true, 4096), Mode: Once,
		Resume: n.Field("resume").Bool(false), MaxAttempts: n.Field("tries").Int(1, maxAttempts, 1),
		Class: Class{
			Value: n.Field("value").Int(0, 1_000_000, 1), MaxWait: n.Field("wait_ms").durationMs(10_000),
			TargetLatency: n.Field("aim_ms").durationMs(0), TargetGap: n.Field("pause_ms").durationMs(0), GiveUpAfter: n.Field("quit_ms").durationMs(0),
		},
		ModelOptional: n.Field("model_optional").Bool(false),
		Unkeyed:       n.Field("unkeyed").Bool(false),
	}
	if r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, ":/ ") {
		n.Field("host").Fault("must be a lower-case host name without a port")
	}
	if r.Prefix != "" && (r.Prefix[0] != '/' || !strings.HasSuffix(r.Prefix, "/")) {
		n.Field("prefix").Fault("must begin and end with /")
	}
	if m := n.Field("mode"); m.present {
		if r.Mode = m.Text(true, 128); r.Mode != "" && !modes[r.Mode] {
			m.Fault("must be once, idempotent or continuous")
		}
	}
	if r.Mode != Continuous {
		if r.Resume {
			n.Field("resume").Fault("only continuous routes can resume a stream")
		}
		if r.Class.TargetGap > 0 {
			n.Field("pause_ms").Fault("only continuous routes have a limit on pauses between events")
		}
	}
	h.target(n, r)
	routes := h.plan.Hosts[r.Host]
	if routes == nil {
		routes = map[string]*Route{}
		if h.plan.Hosts == nil {
			h.plan.Hosts = map[string]map[string]*Route{}
		}
		h.plan.Hosts[r.Host] = routes
	}
	if existing := routes[r.Prefix]; existing != nil && r.Prefix != "" {
		n.Field("prefix").Fault(fmt.Sprintf("route %q has the same host and prefix", existing.Name))
	}
	routes[r.Prefix] = r
}

// target reads the target of a host route: one service, or several with weights.
func (h *hostReader) target(n Cursor, r *Route) {
	service, split := n.Field("service"), n.Field("split")
	if service.present == split.present {
		service.Fault("must have either a service or a split")
		return
	}
	if service.present {
		r.Service = h.service(service)
		return
	}
	sum, seen := 0, map[string]bool{}
	split.EachItem(maxSplit, func(n Cursor) {
		n.RejectUnknown("service", "weight")
		s := Share{Service: h.service(n.Field("service")), Weight: n.Field("weight").Int(0, maxWeight, 0)}
		if !n.Field("weight").present {
			n.Field("weight").Fault("is required")
		}
		if seen[s.Service] && s.Service != "" {
			n.Field("service").Fault(fmt.Sprintf("service %q is listed twice", s.Service))
		}
		seen[s.Service] = true
		sum += s.Weight
		r.Split = append(r.Split, s)
	})
	if sum <= 0 {
		split.Fault("the weights sum to 0")
	}
}

func (h *hostReader) service(n Cursor) string {
	name := n.Text(true, 128)
	if _, ok := h.plan.Services[name]; !ok && name != "" {
		n.Fault(fmt.Sprintf("no service named %q", name))
	}
	h.hostServices[name] = true
	return name
}

// qualifyModels adds the service name to the model keys of host-routed services, because each of these services has
// its own servers. A model that only such services list is kept only under their names.
func (h *hostReader) qualifyModels(services Cursor) {
	pathKeys, qualified := map[ident.Key]bool{}, map[ident.Key]bool{}
	for _, name := range generic.SortedKeys(h.plan.Services) {
		s, n := h.plan.Services[name], services.Field(name)
		if !h.hostServices[name] {
			for k := range s.Keys {
				pathKeys[k] = true
			}
			continue
		}
		if h.pathServices[name] {
			n.Fault("a service that host routes target, or that describes its servers, cannot have path routes")
		}
		if strings.ContainsAny(name, "|+") {
			n.Fault("the name of a host-routed service must not contain | or +")
		}
		keys := map[ident.Key]bool{}
		if s.Plain {
			keys[ident.ServiceKey(name)] = true
		} else {
			for _, k := range []string{"room", "loads_per_s"} {
				if !n.Field(k).present {
					n.Field(k).Fault("is required: without it, no model could be loaded")
				}
			}
		}
		for _, k := range generic.SortedKeys(s.Keys) {
			model, ok := h.plan.Models[k]
			if !ok {
				continue // already reported
			}
			if strings.Contains(string(k), "|") {
				n.Fault(fmt.Sprintf("%q: model names of a host-routed service must not contain |", k))
			}
			if !s.Keys[k.Base()] {
				n.Field("adapters").Fault(fmt.Sprintf("%q is not one of the service's models", k.Base()))
			}
			qualified[k] = true
			model.Key = k.InService(name)
			h.plan.Models[model.Key], keys[model.Key] = model, true
		}
		s.Keys = keys
		h.plan.Services[name] = s
	}
	for k := range qualified {
		if !pathKeys[k] {
			delete(h.plan.Models, k)
		}
	}
}
