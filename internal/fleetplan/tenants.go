package fleetplan

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// The tenants of a plan and their keys. A plan without tenants wants no keys; one with an empty list of them knows none.

// keyDigest stands for a key. Keys are kept and compared as digests only, so that none can be read from memory that is
// looked at or printed, and how long a comparison takes tells nothing of a key.
type keyDigest [sha256.Size]byte

// Credential is what a request shows of its caller: a key, known by its digest, or nothing that can be one. Printing one
// tells nothing of the key.
type Credential struct {
	digest keyDigest
	shown  bool
}

// String hides the key's digest.
func (c Credential) String() string {
	if c.shown {
		return "a key"
	}
	return "no key"
}

// GoString hides it likewise.
func (c Credential) GoString() string { return c.String() }

// NewCredential is what a request with this key shows. An empty key is none.
func NewCredential(key string) Credential {
	if key == "" {
		return Credential{}
	}
	return Credential{digest: sha256.Sum256([]byte(key)), shown: true}
}

// BearerScheme is the scheme of HTTP authentication under which callers show keys.
const BearerScheme = "Bearer"

// ReadBearer gives what the Authorization lines of a request show: the one key of the one line with the scheme Bearer, in
// letters of any case (RFC 9110, section 11). More than one line, or more than one word behind the scheme, shows nothing,
// since the caller and a server behind could each take another for the key.
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

// Tenant is somebody on whose behalf callers send requests.
type Tenant struct {
	Name       string
	Precedence int // whose requests come first: the lowest
}

// Tenants are a plan's tenants and their keys.
type Tenants struct {
	named map[string]Tenant
	keys  map[keyDigest]string // whose key it is

	bands map[int]int // by precedence: how many of the plan's other precedences come after it, and requests of nobody
	step  int         // more than any route's or kind's value
}

// NewTenants makes an empty list of tenants.
func NewTenants() *Tenants {
	return &Tenants{named: map[string]Tenant{}, keys: map[keyDigest]string{}}
}

// Bounds of what a plan says of tenants.
const (
	mostKeyBytes   = 4096
	mostTenantKeys = 1000
	mostPrecedence = 1_000_000
)

// readTenants reads tenants by name, with the keys and the precedence of each. No fault tells a key.
func readTenants(p Pen) *Tenants {
	t := NewTenants()
	p.Keys(func(name string, n Pen) {
		n.Only("keys", "precedence")
		if !ValidTenantName(name) {
			n.Fault("a tenant's name has no control characters, and no spaces around it")
		}
		t.Add(Tenant{Name: name, Precedence: n.At("precedence").Int(0, mostPrecedence, 0)})
		n.At("keys").List(mostTenantKeys, func(n Pen) {
			key := n.Text(true, mostKeyBytes)
			if key == "" {
				return
			}
			if other, ok := t.Grant(name, key); !ok {
				n.Fault(SharedKey(other))
			}
		})
	})
	return t
}

// SharedKey says that a key is another tenant's, without telling it.
func SharedKey(other string) string { return fmt.Sprintf("is a key of tenant %q too", other) }

// ValidTenantName tells whether servers can be told a name in a header.
func ValidTenantName(name string) bool {
	return name != "" && strings.Trim(name, " ") == name && !strings.ContainsFunc(name, unicode.IsControl)
}

// Add adds a tenant; it tells whether nobody had that name.
func (t *Tenants) Add(tenant Tenant) bool {
	if _, taken := t.named[tenant.Name]; taken {
		return false
	}
	t.named[tenant.Name] = tenant
	return true
}

// Grant makes a key a tenant's; another tenant's key stays the other's, whose name is given.
func (t *Tenants) Grant(name, key string) (other string, ok bool) {
	digest := NewCredential(key).digest
	if holder, held := t.keys[digest]; held && holder != name {
		return holder, false
	}
	t.keys[digest] = name
	return "", true
}

// holder gives whose key a request shows.
func (t *Tenants) holder(c Credential) (Tenant, bool) {
	if !c.shown {
		return Tenant{}, false
	}
	name, known := t.keys[c.digest]
	return t.named[name], known
}

// rank lays out the values of requests so that a tenant's precedence comes before the value of a route or a kind: the values
// of each precedence are a band of their own, above those of all that come after it. Requests of no tenant are the lowest band.
func (t *Tenants) rank(values []int) {
	t.step = 1
	for _, v := range values {
		t.step = max(t.step, v+1)
	}
	var precedences []int
	for _, tenant := range t.named {
		precedences = append(precedences, tenant.Precedence)
	}
	slices.Sort(precedences)
	precedences = slices.Compact(precedences)
	t.bands = map[int]int{}
	for i, p := range precedences {
		t.bands[p] = len(precedences) - i
	}
}

// value is what a request of a tenant is worth whose route or kind has a value.
func (t *Tenants) value(tenant Tenant, known bool, value int) int {
	if !known {
		return value
	}
	return t.bands[tenant.Precedence]*t.step + value
}

// values lists what requests may be worth, for all bands.
func (t *Tenants) values(values []int) []int {
	all := slices.Clone(values)
	for _, band := range t.bands {
		for _, v := range values {
			all = append(all, band*t.step+v)
		}
	}
	return all
}

// SetTenants gives the plan its tenants, once its routes and kinds are there.
func (q *Plan) SetTenants(t *Tenants) {
	q.tenants = t
	t.rank(q.values())
}

// Keyed tells whether the plan has tenants, so that what callers show as keys concerns the routers only.
func (q *Plan) Keyed() bool { return q.tenants != nil }

// Holder tells the name of the tenant whose key a request shows; none where the plan has no tenants, or the key is nobody's.
func (q *Plan) Holder(c Credential) string {
	if q.tenants == nil {
		return ""
	}
	tenant, _ := q.tenants.holder(c)
	return tenant.Name
}

// values lists the values of the plan's kinds and routes.
func (q *Plan) values() (l []int) {
	for _, k := range q.Kinds {
		l = append(l, k.Value)
	}
	for _, h := range q.Hosts {
		for _, r := range h {
			l = append(l, r.Class.Value)
		}
	}
	return l
}

// admits completes a match with whose request it is, and tells whether the route lets it in.
func (q *Plan) admits(m *Match, c Credential, unkeyed bool) bool {
	if q.tenants == nil {
		return true
	}
	tenant, known := q.tenants.holder(c)
	m.Keyed, m.Tenant = true, tenant.Name
	m.Class.Value = q.tenants.value(tenant, known, m.Class.Value)
	return known || unkeyed
}
