package agent

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// A router that hears no owner may be cut off from the core, and may then go on by what it knew. It must not take for
// that that it is late itself, that the owner is, or that there is none: it asks every core node before it says so.

const (
	// sweepAfter is a silence of the core after which every core node is asked at once.
	sweepAfter = clock.Span(600e6)
	// partedAfter is a silence of the core after which this machine counts as cut off, if it has asked them all.
	partedAfter = clock.Span(1300e6)
	// answerWait is how long a core node has to answer such a question.
	answerWait = clock.Span(600e6)
)

// contact is what is known of whether the core can be reached, whoever owns the duty. Only the word of a core node that
// hears a majority counts: another is cut off itself.
type contact struct {
	heard  clock.Tick // when such a node last answered
	waits  bool       // a renewal was sent since then
	swept  clock.Tick // when every core node was last asked at once, since then
	parted bool
	// unvouched counts, since such a node last answered, the answers of nodes that could not tell what is the newest.
	unvouched int
}

func (k *contact) hear(now clock.Tick) { k.heard, k.waits, k.swept, k.unvouched = now, false, 0, 0 }

func (k *contact) asked(now clock.Tick) {
	k.waits = true
	if k.heard == 0 {
		k.heard = now // silence begins with the first question
	}
}

// doubt forgets a question whose answers may wait to be read.
func (k *contact) doubt() { k.swept = 0 }

// due tells whether every core node should be asked now. A machine that counts as cut off asks twice as often: once the
// core can take changes again it must hear of it long before they have to be in force.
func (k *contact) due(now clock.Tick) bool {
	again := 2 * answerWait
	if k.parted {
		again = answerWait
	}
	return k.waits && now.Sub(k.heard) > sweepAfter && (k.swept == 0 || now.Sub(k.swept) > again)
}

// silent tells whether every core node was asked, had time to answer, and none did.
func (k *contact) silent(now clock.Tick) bool {
	return k.swept != 0 && now.Sub(k.swept) > answerWait && now.Sub(k.heard) > partedAfter
}

// hearCore notes that a core node is heard.
func (c *Core) hearCore() {
	c.contact.hear(c.now)
	if c.contact.parted {
		c.setParted(false)
	}
}

// watchContact asks every core node after a while of silence, and finds this machine cut off after a longer one.
func (c *Core) watchContact() {
	if c.contact.due(c.now) {
		c.sweep()
	}
	if !c.contact.parted && c.contact.silent(c.now) {
		c.setParted(true)
	}
}

func (c *Core) setParted(parted bool) {
	c.contact.parted = parted
	c.note("cut off from the core", protocol.Field{Name: "parted", Value: parted}, protocol.Field{Name: "way", Value: c.way.to.Addr}, protocol.Field{Name: "via", Value: c.way.via.ID},
		protocol.Field{Name: "epoch", Value: c.epoch}, protocol.Field{Name: "unvouched_answers", Value: c.contact.unvouched}, protocol.Field{Name: "silent_ms", Value: c.now.Sub(c.contact.heard).Milliseconds()})
	c.tell()
}

// sweep asks every core node at once.
func (c *Core) sweep() {
	c.contact.swept = c.now
	c.tally.Sweeps++
	question := c.renewal()
	question.Burden = underWay(c.burden) // what came is told once, in a renewal
	for _, to := range c.coreNodes() {
		c.post(protocol.Env{From: c.o.Me, To: to, Body: question})
	}
}
