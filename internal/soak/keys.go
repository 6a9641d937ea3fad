package soak

import (
	"math/rand/v2"
	"time"

	"tidedeck/platform/peer"
)

// Callers show keys of tenants. One key is a tenant's at all times; one is moved between two tenants and taken away by the
// configuration; one is nobody's. The route of the plain service wants no key.

const (
	steadyKey  = "soak-key-that-stays"
	movingKey  = "soak-key-that-moves"
	nobodysKey = "soak-key-of-nobody"

	steadyTenant = "stays"
)

var secretKeys = []string{steadyKey, movingKey, nobodysKey}

var movingTenants = []string{"left", "right"}

// Shares of requests by the key that callers show; the rest show the one that stays.
const (
	movingKeyShare  = 0.15
	nobodysKeyShare = 0.03
	noKeyShare      = 0.02
	ownNameShare    = 0.05 // of requests in which a caller gives a tenant's name of its own
)

// drawKey draws the key that a request shows; none is the empty one.
func drawKey(random *rand.Rand) string {
	switch dice := random.Float64(); {
	case dice < movingKeyShare:
		return movingKey
	case dice < movingKeyShare+nobodysKeyShare:
		return nobodysKey
	case dice < movingKeyShare+nobodysKeyShare+noKeyShare:
		return ""
	}
	return steadyKey
}

// wantsKey tells whether a path's requests need a tenant's key.
func wantsKey(path string) bool { return path != pathPlain }

// drawHolder draws whose the moving key is: one of two tenants, or nobody.
func drawHolder(random *rand.Rand) string {
	return append(movingTenants, "")[random.IntN(len(movingTenants)+1)]
}

// tenantsOf lists the tenants of a configuration under which the moving key is one's, or nobody's.
func tenantsOf(holder string) []peer.Tenant {
	l := []peer.Tenant{{Label: steadyTenant, Keys: []string{steadyKey}}}
	for i, name := range movingTenants {
		keys := []string{"soak-spare-key-" + name}
		if name == holder {
			keys = append(keys, movingKey)
		}
		l = append(l, peer.Tenant{Label: name, Keys: keys, Precedence: i})
	}
	return l
}

// sharedKey makes tenants invalid: two of them have one key.
func sharedKey(l []peer.Tenant) {
	l[len(l)-1].Keys = append(l[len(l)-1].Keys, steadyKey)
}

// holders tells whose a key may be when a request is handled: by any configuration that may have been taken by then, and, where
// times are bounded, that none which was acknowledged too long ago has followed.
func (l *ledger) holders(key string, sent, handled time.Time, bounded bool) map[string]bool {
	switch key {
	case steadyKey:
		return map[string]bool{steadyTenant: true}
	case movingKey:
	default:
		return map[string]bool{"": true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	least := uint64(0)
	if bounded {
		least = l.leastLocked(sent)
	}
	may := map[string]bool{}
	for _, c := range l.changes {
		if c.revision >= least && c.mayRule(handled) {
			may[c.holder] = true
		}
	}
	return may
}

// judgeKeys holds one request against whose it was, and whether it was to run at all.
func (j *judge) judgeKeys(t *try, bounded bool) {
	keyed := wantsKey(t.path)
	for _, r := range j.runs[t.id] {
		holders := j.ledger.holders(t.key, t.sent, r.at, bounded)
		switch {
		case r.tenant == "" && keyed:
			j.violateLocked("ROUTE", "%s of %s ran at %s for no tenant", t.id, t.target, r.server)
		case !holders[r.tenant]:
			j.violateLocked("UNASKED", "%s with the key %q ran at %s for %q, and may be one of %v", t.id, t.key, r.server, r.tenant, holders)
		}
	}
	if t.result != denied {
		return
	}
	if n := len(j.runs[t.id]); n > 0 {
		j.violateLocked("REFUSED", "%s was told that its key is unknown, and ran %d times", t.id, n)
	}
	if !keyed || !j.ledger.holders(t.key, t.sent, t.over, bounded)[""] {
		j.violateLocked("DENIED", "%s with the key %q for %s was told that it has none: %s", t.id, t.key, t.target, t.detail)
	}
}
