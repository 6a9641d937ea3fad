package fleetplan

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/failure"
)

const tenantPlan = `{"name":"p","models":{"m":{"size":4}},"kinds":{"k":{"value":3},"low":{"value":1}},
"services":{"s":{"models":["m"]},"web":{"plain":true}},
"routes":{"/r":{"service":"s","kinds":["k","low"]},"/open":{"service":"s","kinds":["k"],"unkeyed":true},
"h":{"host":"h.example","prefix":"/","service":"web","value":9}},
"tenants":{"acme":{"keys":["k1","k2"],"precedence":1},"globex":{"keys":["k3"]}}}`

// Tenants of a plan in the native format apply to path routes and to host routes.
func TestPlanTenants(t *testing.T) {
	plan, faults := ReadPlan([]byte(tenantPlan))
	require.Empty(t, faults)
	require.True(t, plan.HasTenants())
	for _, c := range []struct {
		name, path, host, kind, key string
		tenant                      string
		why                         failure.Kind
	}{
		{"a key", "/r", "", "k", "k1", "acme", failure.None},
		{"second key of the tenant", "/r", "", "k", "k2", "acme", failure.None},
		{"key of another tenant", "/r", "", "k", "k3", "globex", failure.None},
		{"no key", "/r", "", "k", "", "", failure.NoKey},
		{"unknown key and unknown kind", "/r", "", "odd", "x", "", failure.NoKey},
		{"no key on an unkeyed route", "/open", "", "k", "", "", failure.None},
		{"key on an unkeyed route", "/open", "", "k", "k1", "acme", failure.None},
		{"by host", "/x", "h.example", "", "k1", "acme", failure.None},
		{"by host, without a key", "/x", "h.example", "", "", "", failure.NoKey},
	} {
		m, why := plan.Match(Query{ID: "1", Host: c.host, Path: c.path, Kind: c.kind, Model: "m", Credential: NewCredential(c.key)})
		require.Equal(t, c.why, why, c.name)
		require.Equal(t, c.tenant, m.Tenant, c.name)
		require.True(t, m.HasTenants, c.name)
	}
	untenanted, faults := ReadPlan([]byte(tenantPlan[:strings.Index(tenantPlan, ",\n\"tenants\"")] + "}"))
	require.Empty(t, faults)
	m, why := untenanted.Match(Query{ID: "1", Path: "/r", Kind: "k", Model: "m"})
	require.Equal(t, failure.None, why)
	require.False(t, m.HasTenants)
}

// Faults contain the path and no key.
func TestTenantFaults(t *testing.T) {
	for _, c := range []struct{ name, old, new, path string }{
		{"a shared key", `["k3"]`, `["k3","k1"]`, "$.tenants.globex.keys[1]"},
		{"key is not a string", `["k3"]`, `[3]`, "$.tenants.globex.keys[0]"},
		{"an unknown field", `"precedence":1`, `"rank":1`, "$.tenants.acme.rank"},
		{"name that is invalid in a header", `"globex"`, `"glo\u0007bex"`, "$.tenants.glo\abex"},
	} {
		_, f := ReadPlan([]byte(strings.Replace(tenantPlan, c.old, c.new, 1)))
		require.Len(t, f, 1, c.name)
		require.Equal(t, c.path, f[0].Path, c.name)
		require.NotContains(t, f.Error(), "k1")
	}
}

// A tenant's precedence outweighs the value of a route or a kind, and requests without a tenant come last.
func TestPrecedenceBeforeValue(t *testing.T) {
	q, f := ReadPlan([]byte(tenantPlan))
	require.Empty(t, f)
	var values, ranks []int
	for _, x := range []struct{ path, host, kind, key string }{
		{"/x", "h.example", "", "k3"}, {"/r", "", "k", "k3"}, {"/r", "", "low", "k3"}, {"/x", "h.example", "", "k1"}, {"/r", "", "k", "k1"}, {"/open", "", "k", ""},
	} {
		m, why := q.Match(Query{ID: "1", Host: x.host, Path: x.path, Kind: x.kind, Model: "m", Credential: NewCredential(x.key)})
		require.Equal(t, failure.None, why)
		values, ranks = append(values, m.Class.Value), append(ranks, q.Rank(m.Class.Value))
	}
	require.IsDecreasing(t, values)
	require.IsIncreasing(t, ranks)
}

// Printing a request reveals neither the key nor its digest, for any formatting verb.
func TestCredentialsAreNotPrinted(t *testing.T) {
	c := Request{ID: "1", Credential: NewCredential("secret-key")}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s"} {
		text := fmt.Sprintf(verb, c)
		require.NotContains(t, text, "secret")
		require.NotContains(t, text, fmt.Sprintf("%d", c.Credential.digest[0])+", ")
		require.Contains(t, text, "a key")
	}
}

// A single line with the scheme and one word yields the key. Any other input is handled without failure, and the same
// bytes always yield the same credential.
func FuzzReadBearer(f *testing.F) {
	for _, s := range []string{"Bearer k", "bearer  k ", "Basic k", "Bearer", "Bearer a b", "Bearer a,b", "\tBearer\tk", "", "Bearer \xff"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		c := ReadBearer([]string{line})
		require.Equal(t, c, ReadBearer([]string{line}))
		require.Equal(t, Credential{}, ReadBearer([]string{line, line}))
		words := strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '\t' })
		if c.present {
			require.Len(t, words, 2)
			require.Equal(t, NewCredential(words[1]), c)
		}
	})
}
