package router

import (
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Time per token by base model. A router reports the shortest time that it has observed, and the leader returns the
// times observed by all routers together. Times differ between bases by a large factor, so the load of a server is
// counted in tokens of the slowest base.

const (
	defaultTokenTime  = 0.04e6 // ns per token before any time is known
	answerStartTokens = 150    // fixed time until an answer begins, in tokens
)

// tokenTimes holds the known times per token in nanoseconds.
type tokenTimes struct {
	observed map[ident.Key]float64 // shortest times since the last report, by base
	known    map[ident.Key]float64 // times of all routers from the leader, by base
	slowest  float64               // longest time of any base, from the leader
}

func newTokenTimes() tokenTimes {
	return tokenTimes{observed: map[ident.Key]float64{}, known: map[ident.Key]float64{}}
}

// update adopts the times reported by the leader.
func (t *tokenTimes) update(report *protocol.TokenTimes) {
	if report == nil {
		return
	}
	t.slowest = report.Slowest
	for base, ns := range report.ByBase {
		t.known[base] = ns
	}
}

// observe records a time per token.
func (t *tokenTimes) observe(base ident.Key, ns float64) {
	if shortest, ok := t.observed[base]; !ok || ns < shortest {
		t.observed[base] = ns
	}
}

// takeObserved returns the times observed since its last call and clears them.
func (t *tokenTimes) takeObserved() map[ident.Key]float64 {
	observed := t.observed
	t.observed = map[ident.Key]float64{}
	return observed
}

// observeKnown includes all known times in the next report.
func (t *tokenTimes) observeKnown() {
	for base, ns := range t.known {
		t.observe(base, ns)
	}
}

// of returns the time per token of a base, or the mean of the known times if the base is unknown.
func (t *tokenTimes) of(base ident.Key) float64 {
	if ns, ok := t.known[base]; ok {
		return ns
	}
	if len(t.known) == 0 {
		return defaultTokenTime
	}
	sum := 0.0
	for _, ns := range t.known {
		sum += ns
	}
	return sum / float64(len(t.known))
}

// relative returns the time per token of a base as a fraction of that of the slowest base.
func (t *tokenTimes) relative(base ident.Key) float64 {
	if t.slowest <= 0 {
		return 1
	}
	return min(1, t.of(base)/t.slowest)
}

// observeTokenTime records the time per token of an attempt, unless much other work was queued at its server.
func (c *Core) observeTokenTime(r *request, attempt *attemptRecord) {
	tokens := r.Call.Request.PromptTokens
	if r.key.IsWholeService() || tokens == 0 || attempt.tokensAhead > c.weightedCost(r)/2 {
		return
	}
	c.tokenTimes.observe(r.key.Base(), float64(c.now.Sub(attempt.launchedAt))/float64(tokens+answerStartTokens))
}

// serverSeconds returns the estimated server time for a request in seconds.
func (c *Core) serverSeconds(r *request) float64 {
	if r.key.IsWholeService() {
		return 0
	}
	return c.tokenTimes.of(r.key.Base()) * float64(r.cost()) / 1e9
}

// weightedCost returns the cost of a request in tokens of the slowest base.
func (c *Core) weightedCost(r *request) int {
	if r.key.IsWholeService() {
		return flatCost
	}
	return max(flatCost, int(float64(r.cost())*c.tokenTimes.relative(r.key.Base())))
}
