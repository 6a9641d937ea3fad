package fleetplan

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"tidedeck/internal/failure"

	"github.com/stretchr/testify/require"
)

const validPlan = `{"name":"p","store":{"loads":2},"models":{"m":{"size":4,"floor":1,"most":2},"n":{"size":3}},
"adapters":{"a":{"base":"m","size":1}},"kinds":{"k":{"value":3,"wait_ms":500}},
"services":{"s":{"models":["m"],"adapters":["a"]}},"routes":{"/r":{"service":"s","kinds":["k"]}}}`

// Every fault of a plan is reported with its path, and a plan with any fault is rejected.
func TestPlanFaults(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		paths          []string
	}{
		{"valid", "", "", nil},
		{"not JSON", `{"name"`, `{"name`, []string{"$"}},
		{"truncated", `}}}`, `}`, []string{"$"}},
		{"data after the end", `"kinds":["k"]}}}`, `"kinds":["k"]}}} {}`, []string{"$"}},
		{"unknown key", `"name":"p"`, `"name":"p","nam":1`, []string{"$.nam"}},
		{"duplicate key", `"n":{"size":3}`, `"n":{"size":3},"n":{"size":4}`, []string{"$.models.n"}},
		{"nested duplicate key", `"size":4`, `"size":4,"size":4`, []string{"$.models.m.size"}},
		{"wrong type", `"size":4`, `"size":"4"`, []string{"$.models.m.size"}},
		{"a fraction", `"size":4`, `"size":4.5`, []string{"$.models.m.size"}},
		{"out of range", `"size":4`, `"size":0`, []string{"$.models.m.size"}},
		{"integer overflow", `"size":4`, `"size":99999999999999999999`, []string{"$.models.m.size"}},
		{"huge exponent", `"size":4`, `"size":1e999`, []string{"$.models.m.size"}},
		{"size missing", `"n":{"size":3}`, `"n":{}`, []string{"$.models.n.size"}},
		{"maximum below floor", `"most":2`, `"most":0`, []string{"$.models.m.most"}},
		{"unknown base", `"base":"m"`, `"base":"x"`, []string{"$.adapters.a.base", "$.services.s.adapters[0]"}},
		{"unknown model", `"models":["m"]`, `"models":["m","x"]`, []string{"$.services.s.models[1]"}},
		{"unknown service", `"service":"s"`, `"service":"x"`, []string{"$.routes./r.service"}},
		{"unknown kind", `"kinds":["k"]`, `"kinds":["k","x"]`, []string{"$.routes./r.kinds[1]"}},
		{"route without slash", `"/r"`, `"r"`, []string{"$.routes.r"}},
		{"list in place of an object", `"store":{"loads":2}`, `"store":[]`, []string{"$.store"}},
		{"string in place of a list", `"models":["m"]`, `"models":"m"`, []string{"$.services.s.models"}},
		{"null", `"name":"p"`, `"name":null`, []string{"$.name"}},
		{"plus in a name", `"n":{"size":3}`, `"n+x":{"size":3}`, []string{"$.models.n+x"}},
		{"several faults", `"name":"p","store":{"loads":2}`, `"name":7,"store":{"loads":-1}`, []string{"$.name", "$.store.loads"}},
		{"not UTF-8", `"name":"p"`, "\"name\":\"\xff\"", []string{"$"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw := strings.Replace(validPlan, c.old, c.new, 1)
			plan, faults := ReadPlan([]byte(raw))
			var paths []string
			for _, fault := range faults {
				paths = append(paths, fault.Path)
				require.NotEmpty(t, fault.Why)
			}
			require.Equal(t, c.paths, paths)
			require.Equal(t, c.paths == nil, plan != nil)
		})
	}
	_, faults := ReadPlan([]byte(strings.Repeat("[", 100_000)))
	require.NotEmpty(t, faults, "deep nesting is rejected without recursion to full depth")
	_, faults = ReadPlan(make([]byte, MaxPlanBytes+1))
	require.Len(t, faults, 1)
}

// A plan allows exactly the listed combinations of route, kind, model and adapter.
func TestAllows(t *testing.T) {
	p, f := ReadPlan([]byte(validPlan))
	require.Nil(t, f)
	for _, c := range []struct {
		route, kind, base, extra string
		why                      failure.Kind
	}{
		{"/r", "k", "m", "", failure.None},
		{"/r", "k", "m", "a", failure.None},
		{"/r", "k", "n", "", failure.NoModel},
		{"/r", "k", "n", "a", failure.NoModel},
		{"/r", "x", "m", "", failure.NoKind},
		{"/x", "k", "m", "", failure.NoRoute},
		{"/r", "k", "m+a", "", failure.NoModel}, // a key is not a model's name
		{"/r", "k", "", "", failure.NoModel},
	} {
		_, _, why := p.Allows(c.route, c.kind, c.base, c.extra)
		require.Equal(t, c.why, why, fmt.Sprint(c))
	}
}

func TestReadCall(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		path      string
	}{
		{"valid", `{"id":"1","model":"m","kind":"k"}`, ""},
		{"all keys", `{"id":"1","model":"m","adapter":"a","kind":"k","parts":["x"],"prompt":"p","max_tokens":3,"horizon_ms":20,"repeatable":true,"repeat":false}`, ""},
		{"past horizon", `{"id":"1","model":"m","kind":"k","horizon_ms":-5}`, ""},
		{"not an object", `[]`, "$"},
		{"empty", ``, "$"},
		{"no id", `{"model":"m","kind":"k"}`, "$.id"},
		{"unknown key", `{"id":"1","model":"m","kind":"k","stream":true}`, "$.stream"},
		{"horizon too far", `{"id":"1","model":"m","kind":"k","horizon_ms":600001}`, "$.horizon_ms"},
		{"tokens overflow", `{"id":"1","model":"m","kind":"k","max_tokens":1e30}`, "$.max_tokens"},
		{"part is not a string", `{"id":"1","model":"m","kind":"k","parts":[1]}`, "$.parts[0]"},
		{"boolean is not a boolean", `{"id":"1","model":"m","kind":"k","repeatable":"yes"}`, "$.repeatable"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, f := ReadRequest([]byte(c.raw))
			if c.path == "" {
				require.Nil(t, f, "a valid call yields nil faults, not an empty list")
				return
			}
			require.NotEmpty(t, f)
			require.Equal(t, c.path, f[0].Path)
		})
	}
}

// The examples have the sizes of the two current deployments.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		name             string
		models, adapters int
	}{{"corrib", 28, 34}, {"padana", 27, 28}} {
		raw, err := os.ReadFile("../../examples/" + c.name + ".json")
		require.NoError(t, err)
		p, f := ReadPlan(raw)
		require.Nil(t, f)
		n := 0
		for k := range p.Models {
			if k.IsAdapter() {
				n++
			}
		}
		require.Equal(t, c.adapters, n)
		require.Equal(t, c.models, len(p.Models)-n)
	}
}

// A document takes memory in proportion to its values and faults, so both are limited.
func TestLimitsOfADocument(t *testing.T) {
	list := func(items int) []byte {
		return []byte("[" + strings.TrimSuffix(strings.Repeat("{},", items), ",") + "]")
	}
	_, faults := ParseJSON(list(maxValues - 1))
	require.Empty(t, *faults)
	_, faults = ParseJSON(list(maxValues))
	require.Contains(t, faults.Error(), fmt.Sprintf("more than %d values", maxValues))
	p, faults := ParseJSON(list(2 * maxFaults))
	p.EachItem(3*maxFaults, func(item Cursor) { item.Field("name").Text(true, 1) })
	require.Len(t, *faults, maxFaults)
}
