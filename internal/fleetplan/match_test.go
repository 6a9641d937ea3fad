package fleetplan

import (
	"fmt"
	"testing"

	"tidedeck/internal/failure"
	"tidedeck/internal/ident"

	"github.com/stretchr/testify/require"
)

// modelOptional allows requests without a model on a route.
func modelOptional(r *Route) *Route {
	r.ModelOptional = true
	return r
}

// hostPlan returns a plan with two hosts, the plain services "web" and "old", and "llm" with model m and its adapter
// a.
func hostPlan() *Plan {
	r := func(name, service string, split ...Share) *Route {
		return &Route{Name: name, Service: service, Split: split, Class: Class{Value: 7}}
	}
	return &Plan{
		Services: map[string]Service{"web": {Plain: true}, "old": {Plain: true}, "llm": {Keys: map[ident.Key]bool{"llm|m": true, "llm|m+a": true}}},
		Hosts: map[string]map[string]*Route{
			"h": {"/": r("root", "web"), "/v1/": r("v1", "llm"), "/v1/batch/": r("batch", "old"), "/any/": modelOptional(r("any", "llm"))},
			"i": {"/v1/": r("other", "web"), "/s/": r("split", "", Share{"web", 90}, Share{"old", 10}, Share{"llm", 0})},
		},
	}
}

// The longest matching path prefix selects the route of a host.
func TestFind(t *testing.T) {
	p := hostPlan()
	for _, c := range []struct{ host, path, route string }{
		{"h", "/", "root"}, {"h", "/x", "root"}, {"h", "/v1", "root"}, {"h", "/v1/", "v1"}, {"h", "/v1/x", "v1"}, {"h", "/v1/x/y/", "v1"},
		{"h", "/v1/batch", "v1"}, {"h", "/v1/batch/", "batch"}, {"h", "/v1/batch/7", "batch"}, {"h", "/v1/batches/7", "v1"}, {"h", "/v10/x", "root"},
		{"h", "/a/v1/x", "root"}, {"h", "x", ""}, {"h", "", ""},
		{"i", "/v1/x", "other"}, {"i", "/v2/x", ""}, {"i", "/", ""}, {"j", "/v1/x", ""}, {"H", "/v1/x", ""},
	} {
		got := ""
		if r := p.FindRoute(c.host, c.path); r != nil {
			got = r.Name
		}
		require.Equal(t, c.route, got, "%+v", c)
	}
}

// A request with a host is routed to the expected key, with the class of its route.
func TestMatchByHost(t *testing.T) {
	p := hostPlan()
	for _, c := range []struct {
		name string
		q    Query
		key  ident.Key
		why  failure.Kind
	}{
		{"plain service, no model", Query{Host: "h", Path: "/x"}, "web|", failure.None},
		{"plain service, with a model", Query{Host: "h", Path: "/x", Model: "m"}, "web|", failure.None},
		{"model", Query{Host: "h", Path: "/v1/x", Model: "m"}, "llm|m", failure.None},
		{"adapter", Query{Host: "h", Path: "/v1/x", Model: "m", Adapter: "a"}, "llm|m+a", failure.None},
		{"unknown model", Query{Host: "h", Path: "/v1/x", Model: "n"}, "", failure.NoModel},
		{"unknown adapter", Query{Host: "h", Path: "/v1/x", Model: "m", Adapter: "b"}, "", failure.NoModel},
		{"no model", Query{Host: "h", Path: "/v1/x"}, "", failure.NoModel},
		{"no model, model optional", Query{Host: "h", Path: "/any/x"}, "llm|", failure.None},
		{"model, model optional", Query{Host: "h", Path: "/any/x", Model: "m", Adapter: "a"}, "llm|m+a", failure.None},
		{"unknown model, model optional", Query{Host: "h", Path: "/any/x", Model: "n"}, "", failure.NoModel},
		{"adapter without a model, model optional", Query{Host: "h", Path: "/any/x", Adapter: "a"}, "", failure.NoModel},
		{"unknown host", Query{Host: "j", Path: "/v1/x", Model: "m"}, "", failure.NoRoute},
		{"unknown path", Query{Host: "i", Path: "/x"}, "", failure.NoRoute},
	} {
		m, why := p.Match(c.q)
		require.Equal(t, c.why, why, c.name)
		require.Equal(t, c.key, m.Key, c.name)
		if why == failure.None {
			require.Equal(t, 7, m.Class.Value, c.name)
			require.Equal(t, p.FindRoute(c.q.Host, c.q.Path), m.Route, c.name)
		}
	}
}

// A split is determined by the request ID: the choice is the same for an ID each time a plan is read, and the shares
// approach the weights over many IDs.
func TestSplit(t *testing.T) {
	const ids = 10_000
	for _, c := range []struct {
		name  string
		split []Share
	}{
		{"one", []Share{{"a", 1}}}, {"even", []Share{{"a", 1}, {"b", 1}}}, {"90 to 10", []Share{{"a", 90}, {"b", 10}}},
		{"99 to 1", []Share{{"a", 99}, {"b", 1}}}, {"three", []Share{{"a", 50}, {"b", 30}, {"c", 20}}},
		{"zero weights", []Share{{"a", 0}, {"b", 5}, {"c", 0}}},
	} {
		route, reread := &Route{Name: "r", Split: c.split}, &Route{Name: "r", Split: append([]Share{}, c.split...)}
		sum, counts := 0, map[string]int{}
		for _, s := range c.split {
			sum += s.Weight
		}
		for i := range ids {
			id := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			s := route.chooseService(id)
			require.Equal(t, s, route.chooseService(id), c.name)
			require.Equal(t, s, reread.chooseService(id), c.name)
			counts[s]++
		}
		for _, s := range c.split {
			require.InDelta(t, ids*s.Weight/sum, counts[s.Service], ids/50, "%s: %v", c.name, counts)
			if s.Weight == 0 {
				require.Zero(t, counts[s.Service], c.name)
			}
		}
	}
	// Two routes split the same IDs differently. Otherwise all requests that they share would go to the same service.
	a, b, same := &Route{Name: "a", Split: []Share{{"x", 1}, {"y", 1}}}, &Route{Name: "b", Split: []Share{{"x", 1}, {"y", 1}}}, 0
	for i := range ids {
		if id := fmt.Sprint(i); a.chooseService(id) == b.chooseService(id) {
			same++
		}
	}
	require.InDelta(t, ids/2, same, ids/50)
}
