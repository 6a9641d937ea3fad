package router

import (
	"fmt"
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/protocol"
)

// The life cycle of an attempt in the core: launch, final check before sending, first byte of the answer, and end.

// launch starts an attempt at a replica.
func (c *Core) launch(r *request, p *protocol.Replica) {
	c.remove(r)
	r.setWaitCause("", c.now)
	r.fire("launch")
	load := c.server(p.Server)
	r.attempts = append(r.attempts, attemptRecord{Server: p.Server, Inc: p.Incarnation, epoch: c.epoch, launchedAt: c.now, cost: c.weightedCost(r), tokensAhead: load.load()})
	n := len(r.attempts)
	load.inFlight++
	load.tokens += c.weightedCost(r)
	load.reservedTokens += r.maxTokens()
	c.recordInflow(r)
	load.inFlightByKey[r.key]++
	c.inFlight[r.key]++
	call := r.Call.Request
	l := Launch{Ref: r.Ref, N: n, Server: p.Server, Addr: p.Addr, Work: protocol.ServerRequest{
		AttemptID: fmt.Sprintf("%s-%d-%d-%d", c.o.Self.ID, c.o.Inc, r.Ref, n), ID: call.ID, Model: call.Model, Adapter: call.Adapter,
		Incarnation: p.Incarnation, Parts: call.Parts, Prompt: call.Prompt, MaxTokens: call.MaxTokens, NotRepeatable: !call.Repeatable, Tenant: r.tenant,
	}, Keyed: r.keyed, Remaining: r.deadline.Sub(c.now), Rank: c.plan.Rank(r.class.Value), Repeatable: r.repeatable(), Resume: r.resumable()}
	c.checkAttempt(r)
	c.checkTimeLeft(r, l)
	c.out = append(c.out, l)
}

// MaySend reports whether an attempt may be sent. It is called immediately before sending and checks that every plan
// since the launch permits the attempt, that the entry is still usable, and that the entry still names the server.
func (c *Core) MaySend(now clock.Instant, ref Ref, n int) bool {
	c.now = now
	r := c.requests[ref]
	if r == nil || r.stage != Attempting || n != len(r.attempts) {
		return false
	}
	attempt := &r.attempts[n-1]
	if r.barred(c.o.MaxAttempts) != failure.None || !c.stillAllowed(r, attempt) {
		c.tally.SendsHeld++
		return false
	}
	attempt.epoch, attempt.maySend = c.epoch, true
	c.checkTenant(r)
	c.checkAttempt(r)
	c.countSend(r)
	if !c.leased() {
		c.tally.SentUnleased++
	}
	return true
}

// countSend counts an attempt that is about to be sent as a retry or as the first arrival of its request. The first
// arrival earns retry credit once.
func (c *Core) countSend(r *request) {
	first := r.sent() == 0
	switch {
	case first && r.firstCounted: // counted before, but no server was reached
	case first:
		r.firstCounted = true
		c.tally.Firsts++
		if !r.Call.Request.Repeat {
			c.earn(r.key.Service())
		}
	default:
		c.tally.Retries++
	}
}

// stillAllowed reports whether the current entry, zone and plan still allow an attempt to be sent.
func (c *Core) stillAllowed(r *request, attempt *attemptRecord) bool {
	e := c.entries[r.key]
	if !c.usable(e) || c.plan == nil || c.allowed(r) != failure.None {
		return false
	}
	for i := range e.Replicas {
		p := &e.Replicas[i]
		if p.Server == attempt.Server && p.Incarnation == attempt.Inc && !c.excluded(p) {
			return true
		}
	}
	return false
}

func (c *Core) onBegun(v Begun) {
	r := c.requests[v.Ref]
	if r == nil || v.N != len(r.attempts) || !r.fire("begin") {
		return
	}
	attempt := &r.attempts[v.N-1]
	attempt.Begun = true
	if r.firstByte == 0 {
		r.firstByte = c.now
	}
	load := c.server(attempt.Server)
	load.failures = 0
	if c.o.StatelessServers && !r.key.IsWholeService() {
		c.observeTokenTime(r, attempt)
		left := min(attempt.cost, r.Call.Request.MaxTokens, maxOutputTokens) // the prompt has been processed; only the output remains
		load.tokens -= attempt.cost - left
		attempt.cost = left
	}
}

// releaseLoad subtracts an attempt from the load of its server.
func (c *Core) releaseLoad(r *request, attempt *attemptRecord) *serverLoad {
	load := c.server(attempt.Server)
	load.inFlight--
	load.tokens -= attempt.cost
	load.reservedTokens -= r.maxTokens()
	if load.inFlightByKey[r.key]--; load.inFlightByKey[r.key] <= 0 {
		delete(load.inFlightByKey, r.key)
	}
	if c.inFlight[r.key]--; c.inFlight[r.key] <= 0 {
		delete(c.inFlight, r.key)
	}
	return load
}

func (c *Core) onEnded(v Ended) {
	r := c.requests[v.Ref]
	if r == nil || v.N != len(r.attempts) || r.attempts[v.N-1].Outcome != Pending {
		return
	}
	attempt := &r.attempts[v.N-1]
	attempt.Outcome, attempt.Kind, attempt.Status, attempt.Cause, attempt.endedAt = v.Outcome, v.Kind, v.Status, v.Cause, c.now
	if attempt.Begun && v.Outcome == Lost {
		attempt.Outcome = Split
	}
	load := c.releaseLoad(r, attempt)
	c.recordOutcome(r, attempt, load)
	step := r.nextStep(c.o.MaxAttempts)
	switch {
	case step.again && c.now >= r.queueDeadline:
		c.finish(r, failure.Expired, 0)
	case step.again && step.pay && !c.spend(r.key.Service()):
		c.finish(r, failure.AllowanceSpent, 0)
	case step.again:
		r.fire("back")
		if step.payLater {
			r.unpaidSince = c.now
		}
		if why := c.readmit(r); why != failure.None { // the plan may have changed since the launch
			c.insert(r)
			c.finish(r, why, 0)
			break
		}
		c.enqueue(r)
	default:
		c.finish(r, step.kind, 0)
	}
	c.serveAll()
}

// After a failed attempt a server is avoided for 100 ms, which is longer than a full server takes to finish a request.
// The time doubles with each consecutive failure, up to 1.6 s.
const (
	avoidStep      = clock.Span(50 * time.Millisecond)
	avoidDoublings = 5
)

// recordOutcome updates the server's load record, the entry and the counters after an attempt has ended.
func (c *Core) recordOutcome(r *request, attempt *attemptRecord, load *serverLoad) {
	backOff := func() {
		load.failures++
		load.avoidUntil = c.now.Add(avoidStep << min(load.failures, avoidDoublings))
	}
	switch attempt.Outcome {
	case Unsent:
		c.tally.Unsent++
		backOff()
	case Dropped:
		c.tally.Declined++
		backOff()
		if attempt.Kind != failure.Busy {
			if e := c.entries[r.key]; e != nil {
				e.hasCallback = false // the entry may be wrong, so it is revalidated before further use
			}
		}
	case Lost:
		c.tally.Lost++
		backOff()
	case Split:
		c.tally.Cuts++
	case Done:
		load.failures = 0
	}
}
