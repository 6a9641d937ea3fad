// Package membership tracks which peers are alive. Each process probes a few others in turn, requests indirect
// probes through third parties when a probe is not answered, and suspects a member, which a live process refutes,
// before declaring it dead.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// States of a member.
const (
	Alive   = "alive"
	Suspect = "suspect"
	Dead    = "dead"
)

// Options configures a membership core.
type Options struct {
	Self             protocol.Member
	Seeds            []protocol.Peer
	Rand             *rand.Rand
	ProbeInterval    clock.Span // interval between probes
	ProbeTimeout     clock.Span // time to wait for an answer before indirect probes are requested
	SuspicionTimeout clock.Span // time for a suspect to refute the suspicion
	DeadRetention    clock.Span // how long a dead member is retained
	IndirectProbes   int
}

type member struct {
	protocol.Member
	since    clock.Instant
	state    string
	gossiped int // number of times that this state was gossiped
}

type probe struct {
	target       ident.Node
	sentAt       clock.Instant
	indirect     bool
	requester    protocol.Peer // set when probing on behalf of another process
	requesterSeq uint64        // sequence number of the requester's probe
}

// Core is the membership state of one process. It performs no I/O and is not safe for concurrent use.
type Core struct {
	o          Options
	members    map[ident.Node]*member
	pending    map[uint64]*probe
	seq        uint64
	nextProbe  clock.Instant
	probeOrder []ident.Node
	seedIndex  int
	now        clock.Instant
}

// New returns a membership core that knows only its seeds.
func New(o Options) *Core {
	generic.SetDefault(&o.ProbeInterval, 250e6)
	generic.SetDefault(&o.ProbeTimeout, 200e6)
	generic.SetDefault(&o.SuspicionTimeout, 800e6)
	generic.SetDefault(&o.DeadRetention, 60e9)
	generic.SetDefault(&o.IndirectProbes, 2)
	o.Self.Status = Alive
	return &Core{o: o, members: map[ident.Node]*member{}, pending: map[uint64]*probe{}}
}

type transition struct {
	member *member
	update protocol.Member
}

type transitionKey struct{}

// stateMachine defines the transitions of a member's state: an update applies only if its incarnation is high enough,
// and a higher incarnation always wins.
var stateMachine = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) {
			return c.Value(transitionKey{}).(*transition).member.state, nil
		},
		func(c context.Context, s stateless.State) error {
			c.Value(transitionKey{}).(*transition).member.state = s.(string)
			return nil
		}, stateless.FiringImmediate)
	newer := func(c context.Context, _ ...any) bool {
		t := c.Value(transitionKey{}).(*transition)
		return t.update.Incarnation > t.member.Incarnation
	}
	sameOrNewer := func(c context.Context, _ ...any) bool {
		t := c.Value(transitionKey{}).(*transition)
		return t.update.Incarnation >= t.member.Incarnation
	}
	s.Configure(Alive).Permit(Suspect, Suspect, sameOrNewer).Permit(Dead, Dead, sameOrNewer).Ignore(Alive)
	s.Configure(Suspect).Permit(Alive, Alive, newer).Permit(Dead, Dead, sameOrNewer).Ignore(Suspect)
	s.Configure(Dead).Permit(Alive, Alive, newer).Permit(Suspect, Suspect, newer).Ignore(Dead)
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

// maxIncarnation is greater than any incarnation that a process draws or raises its own to.
const maxIncarnation ident.Incarnation = 1 << 63

// valid reports whether a gossiped update can have been produced by a process.
func valid(update protocol.Member) bool {
	validState := update.Status == Alive || update.Status == Suspect || update.Status == Dead
	return validState && update.ID != "" && update.Addr != "" && update.Incarnation < maxIncarnation
}

// applyUpdate applies a gossiped update. Invalid updates are ignored, because they would never be removed again.
func (c *Core) applyUpdate(now clock.Instant, update protocol.Member) {
	if !valid(update) {
		return
	}
	if update.ID == c.o.Self.ID {
		if update.Status != Alive && update.Incarnation >= c.o.Self.Incarnation {
			c.o.Self.Incarnation = update.Incarnation + 1
		}
		return
	}
	known := c.members[update.ID]
	if known == nil {
		if update.Status == Dead {
			return
		}
		c.members[update.ID] = &member{Member: update, since: now, state: update.Status}
		return
	}
	oldState, oldInc := known.state, known.Incarnation
	_ = stateMachine.FireCtx(context.WithValue(context.Background(), transitionKey{}, &transition{known, update}), update.Status)
	if update.Incarnation > known.Incarnation {
		known.Incarnation, known.Addr, known.Zone, known.Role = update.Incarnation, update.Addr, update.Zone, update.Role
		if known.state == update.Status && oldState == update.Status {
			known.gossiped = 0
		}
	}
	if known.state != oldState || known.Incarnation != oldInc {
		known.Status, known.since, known.gossiped = known.state, now, 0
	}
}

// maxGossiped is the number of other members in a message.
const maxGossiped = 8

// gossip returns this process and the members whose states were gossiped least often.
func (c *Core) gossip() []protocol.Member {
	updates := []protocol.Member{c.o.Self}
	for _, m := range c.leastGossiped() {
		m.gossiped++
		update := m.Member
		update.Status = m.state
		updates = append(updates, update)
	}
	return updates
}

// leastGossiped returns up to maxGossiped members in the order in which they are gossiped.
func (c *Core) leastGossiped() []*member {
	first := make([]*member, 0, maxGossiped+1)
	for _, m := range c.members {
		if len(first) == maxGossiped && !m.gossipedBefore(first[maxGossiped-1]) {
			continue
		}
		at := sort.Search(len(first), func(i int) bool { return m.gossipedBefore(first[i]) })
		first = slices.Insert(first, at, m)
		first = first[:min(len(first), maxGossiped)]
	}
	return first
}

// gossipedBefore reports whether a member is gossiped before another one.
func (m *member) gossipedBefore(other *member) bool {
	if m.gossiped != other.gossiped {
		return m.gossiped < other.gossiped
	}
	return m.ID < other.ID
}

// SetSeeds replaces the seeds, because the initial seeds may all have stopped by the time they are needed again.
func (c *Core) SetSeeds(seeds []protocol.Peer) { c.o.Seeds = seeds }

func (c *Core) envelope(to protocol.Peer, message any) protocol.Envelope {
	return protocol.Envelope{From: c.o.Self.Peer, To: to, Body: message}
}

// Tick expires timers and returns the messages that are due.
func (c *Core) Tick(now clock.Instant) (out []protocol.Envelope) {
	c.now = now
	for _, seq := range generic.SortedKeys(c.pending) {
		p := c.pending[seq]
		switch age := now.Sub(p.sentAt); {
		case p.requester.ID != "" && age > 2*c.o.ProbeTimeout:
			delete(c.pending, seq)
		case p.requester.ID == "" && !p.indirect && age > c.o.ProbeTimeout:
			p.indirect = true
			m := c.members[p.target]
			for _, helper := range c.pickHelpers(c.o.IndirectProbes, p.target) {
				if m != nil {
					out = append(out, c.envelope(helper.Peer, protocol.IndirectProbe{Seq: seq, Target: m.Peer, Gossip: c.gossip()}))
				}
			}
		case p.requester.ID == "" && age > 3*c.o.ProbeTimeout:
			delete(c.pending, seq)
			if m := c.members[p.target]; m != nil && m.state == Alive {
				c.applyUpdate(now, protocol.Member{Peer: m.Peer, Incarnation: m.Incarnation, Status: Suspect})
			}
		}
	}
	for id, m := range c.members {
		if m.state == Suspect && now.Sub(m.since) > c.o.SuspicionTimeout {
			c.applyUpdate(now, protocol.Member{Peer: m.Peer, Incarnation: m.Incarnation, Status: Dead})
		}
		if m.state == Dead && now.Sub(m.since) > c.o.DeadRetention {
			delete(c.members, id)
		}
	}
	if now < c.nextProbe {
		return out
	}
	c.nextProbe = now.Add(c.o.ProbeInterval)
	if target := c.nextTarget(); target != nil {
		c.seq++
		c.pending[c.seq] = &probe{target: target.ID, sentAt: now}
		out = append(out, c.envelope(target.Peer, protocol.Probe{Seq: c.seq, Gossip: c.gossip()}))
	}
	// A seed that is not known to be alive is probed periodically, so that a partitioned group can merge again.
	if len(c.o.Seeds) > 0 {
		c.seedIndex++
		seed := c.o.Seeds[c.seedIndex%len(c.o.Seeds)]
		known := seed.Addr == c.o.Self.Addr
		for _, m := range c.members {
			known = known || m.Addr == seed.Addr && m.state == Alive
		}
		if !known {
			out = append(out, c.envelope(seed, protocol.Probe{Gossip: c.gossip()}))
		}
	}
	return out
}

func (c *Core) nextTarget() *member {
	for tries := 0; tries < 2; tries++ {
		for len(c.probeOrder) > 0 {
			candidate := c.members[c.probeOrder[0]]
			c.probeOrder = c.probeOrder[1:]
			if candidate != nil && candidate.state != Dead {
				return candidate
			}
		}
		for id, candidate := range c.members {
			if candidate.state != Dead {
				c.probeOrder = append(c.probeOrder, id)
			}
		}
		sort.Slice(c.probeOrder, func(i, j int) bool { return c.probeOrder[i] < c.probeOrder[j] })
		c.o.Rand.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return nil
}

func (c *Core) pickHelpers(n int, excluded ident.Node) []protocol.Member {
	var candidates []protocol.Member
	for _, m := range c.Alive("") {
		if m.ID != excluded && m.ID != c.o.Self.ID {
			candidates = append(candidates, m)
		}
	}
	c.o.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// Receive processes a message. It returns false for messages that do not belong to the membership protocol.
func (c *Core) Receive(now clock.Instant, e protocol.Envelope) (out []protocol.Envelope, mine bool) {
	c.now = now
	apply := func(updates []protocol.Member) {
		for _, m := range updates {
			c.applyUpdate(now, m)
		}
	}
	switch b := e.Body.(type) {
	case protocol.Probe:
		apply(b.Gossip)
		updates := c.gossip()
		if m := c.members[e.From.ID]; m != nil && m.state != Alive {
			suspicion := m.Member // lets a live sender learn of the suspicion and refute it
			suspicion.Status = m.state
			updates = append(updates, suspicion)
		}
		return []protocol.Envelope{c.envelope(e.From, protocol.ProbeAck{Seq: b.Seq, Gossip: updates})}, true
	case protocol.IndirectProbe:
		apply(b.Gossip)
		if e.From.ID == "" {
			return nil, true // no requester to answer
		}
		c.seq++
		c.pending[c.seq] = &probe{target: b.Target.ID, sentAt: now, requester: e.From, requesterSeq: b.Seq}
		return []protocol.Envelope{c.envelope(b.Target, protocol.Probe{Seq: c.seq, Gossip: c.gossip()})}, true
	case protocol.ProbeAck:
		apply(b.Gossip)
		p := c.pending[b.Seq]
		if p == nil {
			return nil, true
		}
		delete(c.pending, b.Seq)
		if p.requester.ID != "" {
			return []protocol.Envelope{c.envelope(p.requester, protocol.ProbeAck{Seq: p.requesterSeq, Gossip: c.gossip()})}, true
		}
		return nil, true
	}
	return nil, false
}

// Alive lists the members of a role that are alive, including this process, sorted by ID. An empty role selects all.
func (c *Core) Alive(role string) []protocol.Member {
	var members []protocol.Member
	if role == "" || role == c.o.Self.Role {
		members = append(members, c.o.Self)
	}
	for _, m := range c.members {
		if m.state == Alive && (role == "" || m.Role == role) {
			members = append(members, m.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// CountAlive counts the members of a role that are alive, including this process.
func (c *Core) CountAlive(role string) int {
	n := 0
	if role == c.o.Self.Role {
		n++
	}
	for _, m := range c.members {
		if m.state == Alive && m.Role == role {
			n++
		}
	}
	return n
}

// Members lists every retained member with its state, sorted by ID.
func (c *Core) Members() []protocol.Member {
	members := []protocol.Member{c.o.Self}
	for _, m := range c.members {
		update := m.Member
		update.Status = m.state
		members = append(members, update)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// StateOf returns a member's state and the time of its last change. An unknown member has an empty state.
func (c *Core) StateOf(id ident.Node) (string, clock.Instant) {
	if id == c.o.Self.ID {
		return Alive, 0
	}
	if m := c.members[id]; m != nil {
		return m.state, m.since
	}
	return "", 0
}
