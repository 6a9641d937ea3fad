package controller

import (
	"math/rand/v2"
	"slices"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/agent"
	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Routers whose leases are renewed by real agents, so that what an agent does while the core is behind is part of a test.

const (
	agentReportInterval = clock.Span(100e6) // interval of a router's reports to its agent
	entryRetryInterval  = clock.Span(400e6) // time between two requests of a router for one entry
)

// attachAgent has an agent renew the lease of a router.
func (r *router) attachAgent() {
	self := protocol.Peer{ID: ident.Node(r.id), Addr: r.id}
	r.agent = agent.New(agent.Options{
		Self: self, Zone: "z", Inc: 1, Life: 1, Seeds: r.c.seeds, Router: protocol.Peer{Addr: localRouter},
		Rand: rand.New(rand.NewPCG(uint64(len(r.c.routers)), 9)), FastRenewal: true,
	})
}

// localRouter is the address at which an agent reaches its router.
const localRouter = "local-router"

// advanceAgent runs the router's timers and its agent's.
func (r *router) advanceAgent() {
	r.sendAll(r.takeInbox())
	if r.c.at >= r.reportAt {
		r.reportAt = r.c.at.Add(agentReportInterval)
		report := protocol.RouterReport{Incarnation: 1, Session: r.session, KeyLoads: copyOf(r.keyLoads)}
		if r.configuration != nil {
			report.Gen, report.Epoch = r.configuration.Gen, r.configuration.Epoch
		}
		r.sendAll(r.toAgent(report))
	}
	for _, key := range generic.SortedKeys(r.keyLoads) {
		if _, ok := r.entries[key]; !ok && r.c.at.Sub(r.asked[key]) > entryRetryInterval && r.session.Num > 0 {
			r.asked[key] = r.c.at
			r.sendAll(r.toAgent(protocol.EntryRequest{Session: r.session, Key: key, Waiting: r.keyLoads[key].Waiting, Value: 1}))
		}
	}
	r.sendAll(r.deliverLocally(r.agent.Step(r.c.at, protocol.TimerTick{})))
}

func copyOf(loads map[ident.Key]protocol.KeyLoad) map[ident.Key]protocol.KeyLoad {
	copied := make(map[ident.Key]protocol.KeyLoad, len(loads))
	for key, load := range loads {
		copied[key] = load
	}
	return copied
}

// sendAll passes the agent's messages to their recipients.
func (r *router) sendAll(messages []protocol.Envelope) {
	for _, e := range messages {
		if r.c.partitioned[r.id] {
			continue
		}
		switch to := e.NextHop().Addr; {
		case r.c.nodes[to] != nil:
			r.c.step(to, e)
		case r.c.routers[to] != nil && r.c.routers[to].agent != nil:
			r.c.routers[to].sendAll(r.c.routers[to].stepAgent(e))
		}
	}
}

// toAgent passes a message of the router to its agent and returns the messages for core nodes.
func (r *router) toAgent(body any) []protocol.Envelope {
	return r.deliverLocally(r.agent.Step(r.c.at, protocol.Envelope{From: protocol.Peer{Addr: localRouter}, Body: body}))
}

// stepAgent passes a core node's message to the agent and returns the messages for core nodes.
func (r *router) stepAgent(e protocol.Envelope) []protocol.Envelope {
	if updates, ok := e.Body.(protocol.Updates); ok && slices.ContainsFunc(updates.Items, func(i protocol.Update) bool { return i.Desired != nil }) {
		packed, err := protocol.Pack(e)
		require.NoError(r.c.t, err)
		received, err := protocol.Unpack(packed)
		require.NoError(r.c.t, err)
		e.Body = received.Body // configurations as they arrive, not as the leader has them
	}
	return r.deliverLocally(r.agent.Step(r.c.at, e))
}

// deliverLocally handles the agent's messages to its router and returns the others. A router takes the messages in their order,
// and some time for a configuration.
func (r *router) deliverLocally(outputs []any) (others []protocol.Envelope) {
	for _, o := range outputs {
		e, ok := o.(protocol.Envelope)
		switch {
		case !ok:
		case e.To.Addr != localRouter:
			others = append(others, e)
		default:
			r.busyUntil = max(r.busyUntil, r.c.at)
			if updates, ok := e.Body.(protocol.Updates); ok && slices.ContainsFunc(updates.Items, func(i protocol.Update) bool { return i.Desired != nil }) {
				r.busyUntil = r.busyUntil.Add(r.configurationTime)
			}
			r.inbox = append(r.inbox, delayedMessage{r.busyUntil, e.Body})
		}
	}
	return append(others, r.takeInbox()...)
}

// delayedMessage is a message that a router handles at a time.
type delayedMessage struct {
	at   clock.Instant
	body any
}

// takeInbox handles the messages that are due.
func (r *router) takeInbox() (answers []protocol.Envelope) {
	for len(r.inbox) > 0 && r.inbox[0].at <= r.c.at {
		body := r.inbox[0].body
		r.inbox = r.inbox[1:]
		answers = append(answers, r.receive(body)...)
	}
	return answers
}

// receive handles a message of the agent.
func (r *router) receive(body any) []protocol.Envelope {
	switch b := body.(type) {
	case protocol.RouterLease:
		if b.Session != r.session {
			r.session, r.heard, r.until = b.Session, 0, 0
			r.entries, r.asked = map[ident.Key][]protocol.Replica{}, map[ident.Key]clock.Instant{}
		}
		r.until = max(r.until, b.Until)
	case protocol.Updates:
		if b.Session != r.session || r.withholdAcks {
			return nil
		}
		r.applyUpdates(b.Items)
		return r.toAgent(protocol.Ack{Session: r.session, Num: r.heard})
	}
	return nil
}
