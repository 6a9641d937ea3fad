package soak

import (
	"math/rand/v2"
	"time"

	"tidedeck/platform/peer"
)

// Callers authenticate with tenant keys. fixedKey always belongs to fixedTenant. Configurations assign movingKey to one of
// two tenants or to none. unknownKey belongs to no tenant. The route of the plain service needs no key.

const (
	fixedKey   = "soak-key-that-stays"
	movingKey  = "soak-key-that-moves"
	unknownKey = "soak-key-of-nobody"

	fixedTenant = "stays"
)

var secretKeys = []string{fixedKey, movingKey, unknownKey}

var movingTenants = []string{"left", "right"}

// Shares of requests by the key that they carry; the other requests carry fixedKey.
const (
	movingKeyShare     = 0.15
	unknownKeyShare    = 0.03
	noKeyShare         = 0.02
	claimedTenantShare = 0.05 // of requests with a tenant name header set by the caller
)

// randomKey draws the key of a request; the empty string stands for no key.
func randomKey(random *rand.Rand) string {
	switch roll := random.Float64(); {
	case roll < movingKeyShare:
		return movingKey
	case roll < movingKeyShare+unknownKeyShare:
		return unknownKey
	case roll < movingKeyShare+unknownKeyShare+noKeyShare:
		return ""
	}
	return fixedKey
}

// needsKey reports whether requests for a path need a tenant key.
func needsKey(path string) bool { return path != pathPlain && path != pathSlow }

// randomHolder draws the tenant that holds movingKey; the empty string stands for none.
func randomHolder(random *rand.Rand) string {
	return append(movingTenants, "")[random.IntN(len(movingTenants)+1)]
}

// tenantsOf lists the tenants of a configuration in which holder, if not empty, holds movingKey.
func tenantsOf(holder string) []peer.Tenant {
	l := []peer.Tenant{{Label: fixedTenant, Keys: []string{fixedKey}}}
	for i, name := range movingTenants {
		keys := []string{"soak-spare-key-" + name}
		if name == holder {
			keys = append(keys, movingKey)
		}
		l = append(l, peer.Tenant{Label: name, Keys: keys, Precedence: i})
	}
	return l
}

// addDuplicateKey makes a list of tenants invalid by giving two of them the same key.
func addDuplicateKey(l []peer.Tenant) {
	l[len(l)-1].Keys = append(l[len(l)-1].Keys, fixedKey)
}

// possibleHolders returns the tenants that may hold a key when a request is handled, with the empty string for none. It
// considers every configuration that may be in force at that time. If bounded is set, configurations that were superseded
// by one acknowledged more than applyLimit before the request was sent are excluded.
func (h *changeHistory) possibleHolders(key string, sent, handled time.Time, bounded bool) map[string]bool {
	switch key {
	case fixedKey:
		return map[string]bool{fixedTenant: true}
	case movingKey:
	default:
		return map[string]bool{"": true}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := uint64(0)
	if bounded {
		oldest = h.oldestInForceLocked(sent)
	}
	possible := map[string]bool{}
	for _, c := range h.changes {
		if c.revision >= oldest && c.mayBeInForce(handled) {
			possible[c.keyHolder] = true
		}
	}
	return possible
}

// checkKeys checks that a request was executed only if its key allows that, and for the tenant that holds the key.
func (c *checker) checkKeys(q *requestRecord, bounded bool) {
	keyNeeded := needsKey(q.path)
	for _, e := range c.executions[q.id] {
		holders := c.history.possibleHolders(q.key, q.sentAt, e.startedAt, bounded)
		switch {
		case e.tenant == "" && keyNeeded:
			c.violateLocked("ROUTE", "%s of %s was executed at %s for no tenant", q.id, q.target, e.server)
		case !holders[e.tenant]:
			c.violateLocked("UNASKED", "%s with key %q was executed at %s for tenant %q, possible tenants %v", q.id, q.key, e.server, e.tenant, holders)
		}
	}
	if q.result != unauthorized {
		return
	}
	if n := len(c.executions[q.id]); n > 0 {
		c.violateLocked("REFUSED", "%s was refused for an unknown key but executed %d times", q.id, n)
	}
	if !keyNeeded || !c.history.possibleHolders(q.key, q.sentAt, q.endedAt, bounded)[""] {
		c.violateLocked("DENIED", "%s with key %q for %s was refused for a missing or unknown key: %s", q.id, q.key, q.target, q.detail)
	}
}
