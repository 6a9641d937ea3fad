package fleetplan

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// This file implements the tenants of a plan and their keys. A plan without tenants requires no keys; a plan with an
// empty list of tenants accepts none.

// keyDigest is the digest of a key. Keys are stored and compared only as digests, so that no key can be read from a
// memory dump or a printed value, and the time of a comparison does not depend on the key.
type keyDigest [sha256.Size]byte

// Credential is what a request presents to identify its caller: the digest of a key, or nothing that is valid as a
// key. Printing a Credential reveals nothing about the key.
type Credential struct {
	digest  keyDigest
	present bool
}

// String hides the digest of the key.
func (c Credential) String() string {
	if c.present {
		return "a key"
	}
	return "no key"
}

// GoString hides the digest of the key.
func (c Credential) GoString() string { return c.String() }

// NewCredential returns the credential for a key. An empty key yields an empty credential.
func NewCredential(key string) Credential {
	if key == "" {
		return Credential{}
	}
	return Credential{digest: sha256.Sum256([]byte(key)), present: true}
}

// BearerScheme is the HTTP authentication scheme for keys.
const BearerScheme = "Bearer"

// ReadBearer returns the credential of a request's Authorization lines: the single key of a single line with the
// scheme Bearer, which is matched case-insensitively (RFC 9110, section 11). More than one line, or more than one
// word after the scheme, yields no credential, since the caller and an upstream server could each take a different
// one for the key.
func ReadBearer(lines []string) Credential {
	if len(lines) != 1 {
		return Credential{}
	}
	scheme, key, found := strings.Cut(strings.Trim(lines[0], " \t"), " ")
	key = strings.TrimLeft(key, " ")
	if !found || !strings.EqualFold(scheme, BearerScheme) || strings.ContainsAny(key, " \t,") {
		return Credential{}
	}
	return NewCredential(key)
}

// Tenant is a party on whose behalf callers send requests.
type Tenant struct {
	Name       string
	Precedence int // the lowest precedence is served first
}

// Tenants holds a plan's tenants and their keys.
type Tenants struct {
	byName     map[string]Tenant
	keyHolders map[keyDigest]string // tenant name by key digest

	bands     map[int]int // by precedence: 1 plus the number of the plan's precedences that are served later; 0 is the band of requests without a tenant
	bandWidth int         // greater than any route's or kind's value
}

// NewTenants returns an empty set of tenants.
func NewTenants() *Tenants {
	return &Tenants{byName: map[string]Tenant{}, keyHolders: map[keyDigest]string{}}
}

// Limits for tenants.
const (
	maxKeyBytes   = 4096
	maxTenantKeys = 1000
	maxPrecedence = 1_000_000
)

// readTenants reads tenants by name, with the keys and the precedence of each. No fault contains a key.
func readTenants(p Cursor) *Tenants {
	t := NewTenants()
	p.EachKey(func(name string, n Cursor) {
		n.RejectUnknown("keys", "precedence")
		if !ValidTenantName(name) {
			n.Fault("a tenant's name must not contain control characters or have leading or trailing spaces")
		}
		t.Add(Tenant{Name: name, Precedence: n.Field("precedence").Int(0, maxPrecedence, 0)})
		n.Field("keys").EachItem(maxTenantKeys, func(n Cursor) {
			key := n.Text(true, maxKeyBytes)
			if key == "" {
				return
			}
			if other, ok := t.AddKey(name, key); !ok {
				n.Fault(SharedKeyFault(other))
			}
		})
	})
	return t
}

// SharedKeyFault returns the fault text for a key that another tenant has, without the key itself.
func SharedKeyFault(other string) string { return fmt.Sprintf("is also a key of tenant %q", other) }

// ValidTenantName reports whether a name can be sent to servers in a header.
func ValidTenantName(name string) bool {
	return name != "" && strings.Trim(name, " ") == name && !strings.ContainsFunc(name, unicode.IsControl)
}

// Add adds a tenant and reports whether the name was unused.
func (t *Tenants) Add(tenant Tenant) bool {
	if _, exists := t.byName[tenant.Name]; exists {
		return false
	}
	t.byName[tenant.Name] = tenant
	return true
}

// AddKey assigns a key to a tenant. If another tenant has the key, AddKey returns that tenant's name and changes
// nothing.
func (t *Tenants) AddKey(name, key string) (other string, ok bool) {
	digest := NewCredential(key).digest
	if holder, held := t.keyHolders[digest]; held && holder != name {
		return holder, false
	}
	t.keyHolders[digest] = name
	return "", true
}

// holder returns the tenant whose key a request presents.
func (t *Tenants) holder(c Credential) (Tenant, bool) {
	if !c.present {
		return Tenant{}, false
	}
	name, known := t.keyHolders[c.digest]
	return t.byName[name], known
}

// assignBands assigns each precedence a band of request values, so that a tenant's precedence outweighs the value of
// a route or a kind: every value in a band is higher than those in the bands served later. Requests without a tenant
// use the lowest band.
func (t *Tenants) assignBands(values []int) {
	t.bandWidth = 1
	for _, v := range values {
		t.bandWidth = max(t.bandWidth, v+1)
	}
	var precedences []int
	for _, tenant := range t.byName {
		precedences = append(precedences, tenant.Precedence)
	}
	slices.Sort(precedences)
	precedences = slices.Compact(precedences)
	t.bands = map[int]int{}
	for i, p := range precedences {
		t.bands[p] = len(precedences) - i
	}
}

// requestValue returns the value of a tenant's request, given the value of its route or kind.
func (t *Tenants) requestValue(tenant Tenant, known bool, value int) int {
	if !known {
		return value
	}
	return t.bands[tenant.Precedence]*t.bandWidth + value
}

// requestValues returns the values that requests may have, in all bands.
func (t *Tenants) requestValues(values []int) []int {
	all := slices.Clone(values)
	for _, band := range t.bands {
		for _, v := range values {
			all = append(all, band*t.bandWidth+v)
		}
	}
	return all
}

// SetTenants sets the plan's tenants. It must be called after the routes and kinds are set.
func (p *Plan) SetTenants(t *Tenants) {
	p.tenants = t
	t.assignBands(p.classValues())
}

// HasTenants reports whether the plan has tenants. If so, callers' keys are meant for the routers only.
func (p *Plan) HasTenants() bool { return p.tenants != nil }

// TenantOf returns the name of the tenant whose key a request presents, or an empty string if the plan has no tenants
// or the key is unknown.
func (p *Plan) TenantOf(c Credential) string {
	if p.tenants == nil {
		return ""
	}
	tenant, _ := p.tenants.holder(c)
	return tenant.Name
}

// classValues returns the values of the plan's kinds and routes.
func (p *Plan) classValues() (values []int) {
	for _, k := range p.Kinds {
		values = append(values, k.Value)
	}
	for _, routes := range p.Hosts {
		for _, r := range routes {
			values = append(values, r.Class.Value)
		}
	}
	return values
}

// authorize adds the tenant to a match and reports whether the route accepts the request.
func (p *Plan) authorize(m *Match, credential Credential, unkeyed bool) bool {
	if p.tenants == nil {
		return true
	}
	tenant, known := p.tenants.holder(credential)
	m.HasTenants, m.Tenant = true, tenant.Name
	m.Class.Value = p.tenants.requestValue(tenant, known, m.Class.Value)
	return known || unkeyed
}
