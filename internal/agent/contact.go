package agent

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// A router without contact to a leader may be partitioned from the core, and may then continue with its last
// configuration. It must not infer this from its own delay, a slow leader, or the absence of a leader, so the agent
// queries every core node before it reports the machine as partitioned.

const (
	// queryAllAfter is the time without an answer from the core after which every core node is queried at once.
	queryAllAfter = clock.Span(600e6)
	// partitionedAfter is the time without an answer from the core after which this machine is considered partitioned,
	// provided that every core node was queried.
	partitionedAfter = clock.Span(1300e6)
	// queryTimeout is how long a core node has to answer such a query.
	queryTimeout = clock.Span(600e6)
)

// coreContact tracks whether the core is reachable, independent of the current leader. Only answers from a core node
// in contact with a majority count; a node without a majority is partitioned itself.
type coreContact struct {
	lastAnswer     clock.Instant // when such a node last answered
	awaitingAnswer bool          // a renewal was sent since lastAnswer
	lastQueryAll   clock.Instant // when every core node was last queried at once, since lastAnswer
	partitioned    bool
	// inconclusive counts the answers since lastAnswer of nodes that could not determine the newest configuration.
	inconclusive int
}

func (k *coreContact) noteAnswer(now clock.Instant) {
	k.lastAnswer, k.awaitingAnswer, k.lastQueryAll, k.inconclusive = now, false, 0, 0
}

func (k *coreContact) noteRequest(now clock.Instant) {
	k.awaitingAnswer = true
	if k.lastAnswer == 0 {
		k.lastAnswer = now // measure from the first request
	}
}

// discardQuery discards a query whose answers may still be unread.
func (k *coreContact) discardQuery() { k.lastQueryAll = 0 }

// queryDue reports whether every core node should be queried now. A partitioned machine queries twice as often,
// because it has to learn that the core accepts changes again well before such changes take effect.
func (k *coreContact) queryDue(now clock.Instant) bool {
	interval := 2 * queryTimeout
	if k.partitioned {
		interval = queryTimeout
	}
	return k.awaitingAnswer && now.Sub(k.lastAnswer) > queryAllAfter && (k.lastQueryAll == 0 || now.Sub(k.lastQueryAll) > interval)
}

// timedOut reports whether every core node was queried and had time to answer, and none did.
func (k *coreContact) timedOut(now clock.Instant) bool {
	return k.lastQueryAll != 0 && now.Sub(k.lastQueryAll) > queryTimeout && now.Sub(k.lastAnswer) > partitionedAfter
}

// noteCoreAnswer records an answer from a core node.
func (c *Core) noteCoreAnswer() {
	c.contact.noteAnswer(c.now)
	if c.contact.partitioned {
		c.setPartitioned(false)
	}
}

// checkContact queries every core node after a period without answers, and marks this machine as partitioned after a
// longer one.
func (c *Core) checkContact() {
	if c.contact.queryDue(c.now) && (c.hasConfiguration() || c.now.Sub(c.contact.lastQueryAll) > maxHoldOffTimeouts*c.o.AnswerTimeout) {
		c.queryAllCoreNodes()
	}
	if !c.contact.partitioned && c.contact.timedOut(c.now) {
		c.setPartitioned(true)
	}
}

// hasConfiguration reports whether the router has any configuration. Without one it sends nothing to servers, so that it is in no
// hurry to learn whether it is partitioned: a system that starts for the first time has no core for some time.
func (c *Core) hasConfiguration() bool { return c.gen != 0 || c.epoch != 0 }

func (c *Core) setPartitioned(parted bool) {
	c.contact.partitioned = parted
	c.logEvent("contact with the core changed", protocol.Field{Name: "parted", Value: parted}, protocol.Field{Name: "way", Value: c.path.to.Addr}, protocol.Field{Name: "via", Value: c.path.via.ID},
		protocol.Field{Name: "epoch", Value: c.epoch}, protocol.Field{Name: "unvouched_answers", Value: c.contact.inconclusive}, protocol.Field{Name: "silent_ms", Value: c.now.Sub(c.contact.lastAnswer).Milliseconds()})
	c.sendLease()
}

// queryAllCoreNodes sends a renewal to every core node at once.
func (c *Core) queryAllCoreNodes() {
	c.contact.lastQueryAll = c.now
	c.tally.Sweeps++
	// Arrivals and token times are reported once, in a regular renewal, and are still added to until then.
	query := withoutLoad(c.renewal())
	for _, node := range c.coreNodes() {
		c.send(protocol.Envelope{From: c.o.Self, To: node, Body: query})
	}
}
