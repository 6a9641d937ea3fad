package fleetplan

import (
	"encoding/json"
	"fmt"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Bounds of what a plan says of servers and of routes by host.
const (
	mostServer = 1_000_000_000 // tokens, places, connections and room of one server
	mostTries  = 100
	mostSplit  = 100
	mostWeight = 1_000_000
	mostRate   = 1e6 // loads a second
)

var modes = map[string]bool{Once: true, Idempotent: true, Continuous: true}

// hosts reads what a plan says of routes by host, and of the services that they lead to.
type hosts struct {
	q     *Plan
	named map[string]bool // services that routes by host lead to, or whose servers are described
	paths map[string]bool // services that routes by path lead to
}

func newHosts(q *Plan) *hosts {
	return &hosts{q: q, named: map[string]bool{}, paths: map[string]bool{}}
}

// byHost tells whether a route is found by its host.
func byHost(n Pen) bool { return n.At("host").has || n.At("prefix").has }

// Number reads a number within bounds, whole or not; absent gives the default.
func (p Pen) Number(low, high, def float64) float64 {
	if !p.has {
		return def
	}
	n, ok := p.val.(json.Number)
	if !ok {
		p.Fault("wants a number")
		return def
	}
	f, err := n.Float64()
	if err != nil || !(f >= low && f <= high) {
		p.Fault(fmt.Sprintf("wants a number from %v to %v", low, high))
		return def
	}
	return f
}

// ms reads a time of at least one millisecond; absent gives the default.
func (p Pen) ms(def int) clock.Span { return clock.Span(p.Int(1, MostWait, def)) * 1_000_000 }

// servers reads what a service says of its servers.
func (h *hosts) servers(name string, n Pen, s *Service) {
	for _, k := range []string{"plain", "probe", "connections", "slots", "tokens", "room", "places", "loads_per_s"} {
		h.named[name] = h.named[name] || n.At(k).has
	}
	s.Plain = n.At("plain").Bool(false)
	s.Probe = n.At("probe").Text(n.At("probe").has, 4096)
	if s.Probe != "" && s.Probe[0] != '/' {
		n.At("probe").Fault("wants to begin with /")
	}
	s.Conns = n.At("connections").Int(1, mostServer, 0)
	s.Slots = n.At("slots").Int(1, mostServer, 0)
	s.Tokens = n.At("tokens").Int(1, mostServer, 0)
	s.Room = n.At("room").Int(1, mostServer, 0)
	s.Places = n.At("places").Int(1, mostServer, 0)
	s.Loads = n.At("loads_per_s").Number(0, mostRate, 0)
	if !s.Plain {
		return
	}
	for _, k := range []string{"models", "adapters", "tokens", "room", "places", "loads_per_s"} {
		if n.At(k).has {
			n.At(k).Fault("a plain service holds no models")
		}
	}
}

// route reads a route by host and prefix.
func (h *hosts) route(name string, n Pen) {
	n.Only("host", "prefix", "service", "split", "mode", "resume", "tries", "value", "wait_ms", "aim_ms", "pause_ms", "quit_ms", "model_optional", "unkeyed")
	r := &Route{
		Name: name, Host: n.At("host").Text(true, 255), Prefix: n.At("prefix").Text(true, 4096), Mode: Once,
		Resume: n.At("resume").Bool(false), Tries: n.At("tries").Int(1, mostTries, 1),
		Class: Class{
			Value: n.At("value").Int(0, 1_000_000, 1), Wait: n.At("wait_ms").ms(10_000),
			Aim: n.At("aim_ms").ms(0), Pause: n.At("pause_ms").ms(0), Quit: n.At("quit_ms").ms(0),
		},
		ModelOptional: n.At("model_optional").Bool(false),
		Unkeyed:       n.At("unkeyed").Bool(false),
	}
	if r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, ":/ ") {
		n.At("host").Fault("wants a host's name in small letters, without a port")
	}
	if r.Prefix != "" && (r.Prefix[0] != '/' || !strings.HasSuffix(r.Prefix, "/")) {
		n.At("prefix").Fault("wants to begin and end with /")
	}
	if m := n.At("mode"); m.has {
		if r.Mode = m.Text(true, 128); r.Mode != "" && !modes[r.Mode] {
			m.Fault("wants once, idempotent or continuous")
		}
	}
	if r.Mode != Continuous {
		if r.Resume {
			n.At("resume").Fault("only a continuous route's answers are taken up")
		}
		if r.Class.Pause > 0 {
			n.At("pause_ms").Fault("only a continuous route's answers have pauses")
		}
	}
	h.target(n, r)
	l := h.q.Hosts[r.Host]
	if l == nil {
		l = map[string]*Route{}
		if h.q.Hosts == nil {
			h.q.Hosts = map[string]map[string]*Route{}
		}
		h.q.Hosts[r.Host] = l
	}
	if o := l[r.Prefix]; o != nil && r.Prefix != "" {
		n.At("prefix").Fault(fmt.Sprintf("%q has this host and prefix too", o.Name))
	}
	l[r.Prefix] = r
}

// target reads where a route by host leads: to one service, or to several by weight.
func (h *hosts) target(n Pen, r *Route) {
	one, split := n.At("service"), n.At("split")
	if one.has == split.has {
		one.Fault("wants either one service or a split")
		return
	}
	if one.has {
		r.Service = h.service(one)
		return
	}
	sum, seen := 0, map[string]bool{}
	split.List(mostSplit, func(n Pen) {
		n.Only("service", "weight")
		s := Share{Service: h.service(n.At("service")), Weight: n.At("weight").Int(0, mostWeight, 0)}
		if !n.At("weight").has {
			n.At("weight").Fault("is missing")
		}
		if seen[s.Service] && s.Service != "" {
			n.At("service").Fault(fmt.Sprintf("%q is there twice", s.Service))
		}
		seen[s.Service] = true
		sum += s.Weight
		r.Split = append(r.Split, s)
	})
	if sum <= 0 {
		split.Fault("the weights add up to 0")
	}
}

func (h *hosts) service(n Pen) string {
	s := n.Text(true, 128)
	if _, ok := h.q.Services[s]; !ok && s != "" {
		n.Fault(fmt.Sprintf("no service is called %q", s))
	}
	h.named[s] = true
	return s
}

// settle puts the models of services that are found by host under their service, since their servers
// are their own. A model that only such services name stands only there.
func (h *hosts) settle(services Pen) {
	paths, under := map[ident.Key]bool{}, map[ident.Key]bool{}
	for _, name := range generic.SortedKeys(h.q.Services) {
		s, n := h.q.Services[name], services.At(name)
		if !h.named[name] {
			for k := range s.Keys {
				paths[k] = true
			}
			continue
		}
		if h.paths[name] {
			n.Fault("a service that is found by host, or says what its servers are, has no routes by path")
		}
		if strings.ContainsAny(name, "|+") {
			n.Fault("the name of a service that is found by host has neither | nor +")
		}
		keys := map[ident.Key]bool{}
		if s.Plain {
			keys[ident.ServiceKey(name)] = true
		} else {
			for _, k := range []string{"room", "loads_per_s"} {
				if !n.At(k).has {
					n.At(k).Fault("is missing: nothing could be loaded")
				}
			}
		}
		for _, k := range generic.SortedKeys(s.Keys) {
			m, ok := h.q.Models[k]
			if !ok {
				continue // told already
			}
			if strings.Contains(string(k), "|") {
				n.Fault(fmt.Sprintf("%q: a name in a service that is found by host has no |", k))
			}
			if !s.Keys[k.Base()] {
				n.At("adapters").Fault(fmt.Sprintf("%q is not among the service's models", k.Base()))
			}
			under[k] = true
			m.Key = k.In(name)
			h.q.Models[m.Key], keys[m.Key] = m, true
		}
		s.Keys = keys
		h.q.Services[name] = s
	}
	for k := range under {
		if !paths[k] {
			delete(h.q.Models, k)
		}
	}
}
