package router

import (
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// How long servers take for a token, by base. A router tells the shortest time that it has seen, and hears from the owner
// what all routers have seen together. Bases differ by a large factor, so that tokens are weighed by it: what is under
// way at a server counts in tokens of the slowest base.

const (
	firstPace = 0.04e6 // ns for a token, before anything is known
	paceBase  = 150    // tokens' worth of time that any answer takes to begin
)

// paces is what a router knows of how long a token takes.
type paces struct {
	seen    map[ident.Key]float64 // the shortest times since they were last told, by base
	known   map[ident.Key]float64 // of all routers, as the owner has told
	slowest float64               // likewise, of any base
}

func newPaces() paces { return paces{seen: map[ident.Key]float64{}, known: map[ident.Key]float64{}} }

// hear takes in what the owner tells.
func (p *paces) hear(told *protocol.Paces) {
	if told == nil {
		return
	}
	p.slowest = told.Slowest
	for base, ns := range told.Bases {
		p.known[base] = ns
	}
}

// see notes how long a token took.
func (p *paces) see(base ident.Key, ns float64) {
	if was, ok := p.seen[base]; !ok || ns < was {
		p.seen[base] = ns
	}
}

// tell gives what was seen since this was last asked for.
func (p *paces) tell() map[ident.Key]float64 {
	told := p.seen
	p.seen = map[ident.Key]float64{}
	return told
}

// tellAll has what is known told once more.
func (p *paces) tellAll() {
	for base, ns := range p.known {
		p.see(base, ns)
	}
}

// of gives a base's pace, or the mean of those known.
func (p *paces) of(base ident.Key) float64 {
	if ns, ok := p.known[base]; ok {
		return ns
	}
	if len(p.known) == 0 {
		return firstPace
	}
	sum := 0.0
	for _, ns := range p.known {
		sum += ns
	}
	return sum / float64(len(p.known))
}

// relative gives a base's pace as a part of the slowest one's.
func (p *paces) relative(base ident.Key) float64 {
	if p.slowest <= 0 {
		return 1
	}
	return min(1, p.of(base)/p.slowest)
}

// pace notes how long a token took, at a server that had little else to do.
func (c *Core) pace(r *request, g *attemptRecord) {
	tokens := r.Call.Call.Tokens
	if r.key.Plain() || tokens == 0 || g.ahead > c.effort(r)/2 {
		return
	}
	c.paces.see(r.key.Base(), float64(c.now.Sub(g.at))/float64(tokens+paceBase))
}

// loadOf tells how many seconds of a server's time a request takes.
func (c *Core) loadOf(r *request) float64 {
	if r.key.Plain() {
		return 0
	}
	return c.paces.of(r.key.Base()) * float64(r.weight()) / 1e9
}

// effort is what a request asks of a server, in tokens of the slowest base.
func (c *Core) effort(r *request) int {
	if r.key.Plain() {
		return flatWeight
	}
	return max(flatWeight, int(float64(r.weight())*c.paces.relative(r.key.Base())))
}
