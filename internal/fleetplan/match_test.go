package fleetplan

import (
	"fmt"
	"testing"

	"tidedeck/internal/failure"
	"tidedeck/internal/ident"

	"github.com/stretchr/testify/require"
)

// optional lets requests of a route name no model.
func optional(r *Route) *Route {
	r.ModelOptional = true
	return r
}

// hostPlan has two hosts, a plain service "web" and "llm", which holds m and its adapter a.
func hostPlan() *Plan {
	r := func(name, service string, split ...Share) *Route {
		return &Route{Name: name, Service: service, Split: split, Class: Class{Value: 7}}
	}
	return &Plan{
		Services: map[string]Service{"web": {Plain: true}, "old": {Plain: true}, "llm": {Keys: map[ident.Key]bool{"llm|m": true, "llm|m+a": true}}},
		Hosts: map[string]map[string]*Route{
			"h": {"/": r("root", "web"), "/v1/": r("v1", "llm"), "/v1/batch/": r("batch", "old"), "/any/": optional(r("any", "llm"))},
			"i": {"/v1/": r("other", "web"), "/s/": r("split", "", Share{"web", 90}, Share{"old", 10}, Share{"llm", 0})},
		},
	}
}

// The route of a host is the one with the longest prefix that begins the path.
func TestFind(t *testing.T) {
	p := hostPlan()
	for _, c := range []struct{ host, path, route string }{
		{"h", "/", "root"}, {"h", "/x", "root"}, {"h", "/v1", "root"}, {"h", "/v1/", "v1"}, {"h", "/v1/x", "v1"}, {"h", "/v1/x/y/", "v1"},
		{"h", "/v1/batch", "v1"}, {"h", "/v1/batch/", "batch"}, {"h", "/v1/batch/7", "batch"}, {"h", "/v1/batches/7", "v1"}, {"h", "/v10/x", "root"},
		{"h", "/a/v1/x", "root"}, {"h", "x", ""}, {"h", "", ""},
		{"i", "/v1/x", "other"}, {"i", "/v2/x", ""}, {"i", "/", ""}, {"j", "/v1/x", ""}, {"H", "/v1/x", ""},
	} {
		got := ""
		if r := p.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		require.Equal(t, c.route, got, "%+v", c)
	}
}

// What a request with a host may go to, and under which terms.
func TestMatchByHost(t *testing.T) {
	p := hostPlan()
	for _, c := range []struct {
		name string
		q    Query
		key  ident.Key
		why  failure.Kind
	}{
		{"a plain service takes what names no model", Query{Host: "h", Path: "/x"}, "web|", failure.None},
		{"and what names one", Query{Host: "h", Path: "/x", Base: "m"}, "web|", failure.None},
		{"a model", Query{Host: "h", Path: "/v1/x", Base: "m"}, "llm|m", failure.None},
		{"its adapter", Query{Host: "h", Path: "/v1/x", Base: "m", Extra: "a"}, "llm|m+a", failure.None},
		{"no such model", Query{Host: "h", Path: "/v1/x", Base: "n"}, "", failure.NoModel},
		{"no such adapter", Query{Host: "h", Path: "/v1/x", Base: "m", Extra: "b"}, "", failure.NoModel},
		{"no model named", Query{Host: "h", Path: "/v1/x"}, "", failure.NoModel},
		{"no model named, where none need be", Query{Host: "h", Path: "/any/x"}, "llm|", failure.None},
		{"a model, likewise", Query{Host: "h", Path: "/any/x", Base: "m", Extra: "a"}, "llm|m+a", failure.None},
		{"no such model, likewise", Query{Host: "h", Path: "/any/x", Base: "n"}, "", failure.NoModel},
		{"an adapter of no model, likewise", Query{Host: "h", Path: "/any/x", Extra: "a"}, "", failure.NoModel},
		{"no such host", Query{Host: "j", Path: "/v1/x", Base: "m"}, "", failure.NoRoute},
		{"no such path", Query{Host: "i", Path: "/x"}, "", failure.NoRoute},
	} {
		m, why := p.Match(c.q)
		require.Equal(t, c.why, why, c.name)
		require.Equal(t, c.key, m.Key, c.name)
		if why == failure.None {
			require.Equal(t, 7, m.Class.Value, c.name)
			require.Equal(t, p.Find(c.q.Host, c.q.Path), m.Route, c.name)
		}
	}
}

// A split is by the id of the request: it is the same for an id at every reading of the plan, and
// near its weights over many ids.
func TestSplit(t *testing.T) {
	const ids = 10_000
	for _, c := range []struct {
		name  string
		split []Share
	}{
		{"one", []Share{{"a", 1}}}, {"even", []Share{{"a", 1}, {"b", 1}}}, {"90 to 10", []Share{{"a", 90}, {"b", 10}}},
		{"99 to 1", []Share{{"a", 99}, {"b", 1}}}, {"three", []Share{{"a", 50}, {"b", 30}, {"c", 20}}},
		{"nothing for one", []Share{{"a", 0}, {"b", 5}, {"c", 0}}},
	} {
		one, two := &Route{Name: "r", Split: c.split}, &Route{Name: "r", Split: append([]Share{}, c.split...)}
		sum, got := 0, map[string]int{}
		for _, s := range c.split {
			sum += s.Weight
		}
		for i := range ids {
			id := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			s := one.choose(id)
			require.Equal(t, s, one.choose(id), c.name)
			require.Equal(t, s, two.choose(id), c.name)
			got[s]++
		}
		for _, s := range c.split {
			require.InDelta(t, ids*s.Weight/sum, got[s.Service], ids/50, "%s: %v", c.name, got)
			if s.Weight == 0 {
				require.Zero(t, got[s.Service], c.name)
			}
		}
	}
	// Two routes do not split the same ids the same way, or all that they share would meet one service.
	a, b, same := &Route{Name: "a", Split: []Share{{"x", 1}, {"y", 1}}}, &Route{Name: "b", Split: []Share{{"x", 1}, {"y", 1}}}, 0
	for i := range ids {
		if id := fmt.Sprint(i); a.choose(id) == b.choose(id) {
			same++
		}
	}
	require.InDelta(t, ids/2, same, ids/50)
}
