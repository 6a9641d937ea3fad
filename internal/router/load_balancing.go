package router

import (
	"hash/fnv"
	"math"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Choice of a replica for servers that do not report their load with their answers. The router estimates the load of a
// server from its own requests in flight, the recent total of all routers, and the observed times per token.

const (
	prefixReuseFraction = 0.6               // fraction of shared tokens that a server with a likely cached prefix need not process
	crossZoneTokens     = 250               // extra cost of a server in another zone, in tokens
	minJitterTokens     = 600               // minimum jitter of the load comparison, in tokens
	loadReportAge       = clock.Span(200e6) // typical age of the reports on other routers' load
	inflowSeconds       = 2.0               // time constant of the inflow average, in seconds
	maxOutputTokens     = 64                // limit of counted output tokens; servers generate them for many requests at a time
	flatCost            = 1                 // cost of a request without token counts
)

// cost returns the estimated cost of a request in tokens.
func (r *request) cost() int {
	if r.key.IsWholeService() {
		return flatCost
	}
	return max(flatCost, r.Call.Request.PromptTokens+min(r.Call.Request.MaxTokens, maxOutputTokens))
}

// maxTokens returns the maximum number of tokens, prompt and output, that a request may occupy at a server.
func (r *request) maxTokens() int { return r.Call.Request.PromptTokens + r.Call.Request.MaxTokens }

// sharedTokens returns the number of tokens in the shared parts of the prompt, which are all parts but the last.
func (r *request) sharedTokens() int {
	n := 0
	for i := 0; i+1 < len(r.Call.Request.PartTokens); i++ {
		n += r.Call.Request.PartTokens[i]
	}
	return n
}

// mixHash is the finalizer of MurmurHash3.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// homeHash returns the rendezvous hash of a prompt's shared parts and a server. The server with the highest value is
// likely to have the parts in its cache. The value is the same at every router.
func homeHash(r *request, server ident.Server) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(server))
	_, _ = h.Write([]byte(r.key))
	parts := r.Call.Request.Parts
	for i := 0; i+1 < len(parts); i++ {
		_, _ = h.Write([]byte(parts[i]))
	}
	return mixHash(h.Sum64())
}

// load returns the tokens in flight from all routers at a server, as far as known.
func (b *serverLoad) load() int { return b.tokens + b.otherTokens }

// leastLoaded selects the replica that is expected to answer a request first.
func (c *Core) leastLoaded(e *cacheEntry, r *request) *protocol.Replica {
	var best, home *protocol.Replica
	bestCost, topHash := math.Inf(1), uint64(0)
	gain := float64(r.sharedTokens()) * prefixReuseFraction * c.tokenTimes.relative(r.key.Base())
	if gain > 0 {
		for i := range e.Replicas {
			if hash := homeHash(r, e.Replicas[i].Server); home == nil || hash > topHash {
				home, topHash = &e.Replicas[i], hash
			}
		}
	}
	plain := c.isPlain(r)
	jitter := c.jitter(r, len(e.Replicas))
	for i := range e.Replicas {
		p := &e.Replicas[i]
		load := c.server(p.Server)
		if !c.isOpen(e, p, load) || r.alreadyTried(p) {
			continue
		}
		if !c.hasMemory(r, load) {
			continue
		}
		cost := float64(load.load())
		if plain {
			cost /= float64(max(1, p.Slots))
		} else if p == home {
			cost -= gain
		}
		if c.o.Zone != "" && p.Zone != c.o.Zone {
			if plain {
				cost += 0.1
			} else {
				cost += crossZoneTokens
			}
		}
		c.randState = mixHash(c.randState + 0x9e3779b97f4a7c15)
		cost += float64(c.randState%1000) / 1000 * jitter
		if cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// isPlain reports whether a request is for a service whose servers hold no models. A request without a model may also
// be for a service with models; its cost is then counted in tokens like that of the other requests there.
func (c *Core) isPlain(r *request) bool {
	return r.key.IsWholeService() && c.plan.Services[r.key.Service()].Plain
}

// jitter returns the range of the random amount that is added to the cost of each replica, so that routers with the
// same data do not all choose the same replica. It is the number of tokens that all other routers may have sent to one
// replica since their last reports.
func (c *Core) jitter(r *request, replicas int) float64 {
	if c.isPlain(r) {
		return 0.3
	}
	flow := c.inflows[r.key.Base()]
	if flow == nil {
		return minJitterTokens
	}
	others := flow.rate * float64(c.routers-1) * loadReportAge.Seconds()
	return max(minJitterTokens, others/float64(max(1, replicas)))
}

// inflow is a moving average of the tokens per second that this router sends to the replicas of a base.
type inflow struct {
	at   clock.Instant
	rate float64
}

// recordInflow adds a request to the inflow of its base.
func (c *Core) recordInflow(r *request) {
	if r.key.IsWholeService() {
		return
	}
	flow := c.inflows[r.key.Base()]
	if flow == nil {
		flow = &inflow{at: c.now}
		c.inflows[r.key.Base()] = flow
	}
	flow.rate = flow.rate*math.Exp(-c.now.Sub(flow.at).Seconds()/inflowSeconds) + float64(c.weightedCost(r))/inflowSeconds
	flow.at = c.now
}

// alreadyTried reports whether an earlier attempt of a request was sent, or tried to connect, to the server of a
// replica.
func (r *request) alreadyTried(p *protocol.Replica) bool {
	for _, attempt := range r.attempts {
		if attempt.Server == p.Server && attempt.Outcome != Kept {
			return true
		}
	}
	return false
}

// plainLoadFactor is the number of requests per slot, from all routers, that a server without models is given.
const plainLoadFactor = 3

// isOpen reports whether a replica can take a request for its entry in this pass, if that request has not tried its
// server and needs no more memory than is free.
func (c *Core) isOpen(e *cacheEntry, p *protocol.Replica, load *serverLoad) bool {
	return load.heldBackIn != c.passes && c.hasSlot(e, p, load)
}

// hasSlot reports whether a replica has a free slot, and its server may be used.
func (c *Core) hasSlot(e *cacheEntry, p *protocol.Replica, load *serverLoad) bool {
	if c.excluded(p) || c.now < load.avoidUntil {
		return false
	}
	if c.plan.Services[e.Key.Service()].Plain {
		return load.load() < plainLoadFactor*max(1, p.Slots)
	}
	return load.inFlight < p.Slots
}

// hasMemory reports whether a server has enough token memory for a request. A request larger than the memory is
// permitted at an idle server.
func (c *Core) hasMemory(r *request, load *serverLoad) bool {
	service := c.plan.Services[r.key.Service()]
	taken := max(load.reservedTokens, load.load())
	return service.Plain || service.TokenCapacity == 0 || taken == 0 || taken+r.maxTokens() <= service.TokenCapacity
}

// holdBackMemory keeps the memory of the servers that a request could use, but for its size, from the requests behind
// it for the rest of the pass. Otherwise smaller requests would take each part of the memory as it becomes free. Not
// held back is memory for requests that may not be repeated, and for one larger than any server: it may wait for an idle
// server until its deadline.
func (c *Core) holdBackMemory(e *cacheEntry, r *request) {
	if !c.mayHoldBackMemory(r) {
		return
	}
	for i := range e.Replicas {
		p := &e.Replicas[i]
		load := c.server(p.Server)
		if c.isOpen(e, p, load) && !r.alreadyTried(p) && !c.hasMemory(r, load) {
			load.heldBackIn = c.passes
		}
	}
}

// mayHoldBackMemory reports whether a request that lacks memory at a server keeps it from the requests behind it.
func (c *Core) mayHoldBackMemory(r *request) bool {
	return c.o.StatelessServers && r.repeatable() && r.maxTokens() <= c.plan.Services[r.key.Service()].TokenCapacity
}

// onFleetLoad updates the load of other routers from the totals of all routers in tokens.
func (c *Core) onFleetLoad(totals map[ident.Server]int) {
	for server, load := range c.servers {
		load.otherTokens = max(0, totals[server]-load.reportedTokens)
	}
	for server, tokens := range totals {
		if c.servers[server] == nil && tokens > 0 {
			c.server(server).otherTokens = tokens
		}
	}
}

// reportLoad returns this router's tokens in flight by server and records them as reported.
func (c *Core) reportLoad() map[ident.Server]int {
	report := map[ident.Server]int{}
	for server, load := range c.servers {
		if load.reportedTokens = load.tokens; load.tokens > 0 {
			report[server] = load.tokens
		}
	}
	return report
}
