// Package membership tells which siblings are alive: probes to a few others in turn, second
// opinions through third parties, and suspicion, which a live process refutes, before removal.
package membership

import (
	"context"
	"math/rand/v2"
	"sort"

	"github.com/qmuntal/stateless"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Stages of a member's life.
const (
	Alive   = "alive"
	Suspect = "suspect"
	Dead    = "dead"
)

// Options of a membership core.
type Options struct {
	Me      protocol.Member
	Seeds   []protocol.Sibling
	Rand    *rand.Rand
	Every   clock.Span // between two probes
	Wait    clock.Span // for an answer before second opinions are asked
	Grace   clock.Span // a suspect's time to refute
	Forget  clock.Span // how long a dead member is remembered
	Helpers int
}

type mate struct {
	protocol.Member
	since clock.Tick
	life  string
	told  int // times this line was gossiped
}

type probe struct {
	to     ident.Node
	at     clock.Tick
	helped bool
	asker  protocol.Sibling // set when probing on another's behalf
	seq    uint64           // the asker's number
}

// Core is the membership of one process. It does no I/O and keeps no lock.
type Core struct {
	o     Options
	mates map[ident.Node]*mate
	out   map[uint64]*probe
	seq   uint64
	next  clock.Tick
	ring  []ident.Node
	seed  int
	now   clock.Tick
}

// New makes a membership core that knows only its seeds.
func New(o Options) *Core {
	generic.SetDefault(&o.Every, 250e6)
	generic.SetDefault(&o.Wait, 200e6)
	generic.SetDefault(&o.Grace, 800e6)
	generic.SetDefault(&o.Forget, 60e9)
	generic.SetDefault(&o.Helpers, 2)
	o.Me.Life = Alive
	return &Core{o: o, mates: map[ident.Node]*mate{}, out: map[uint64]*probe{}}
}

type turn struct {
	m    *mate
	line protocol.Member
}

type tag struct{}

// The life of a member: what is heard moves it, and a higher incarnation always wins.
var life = func() *stateless.StateMachine {
	s := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) { return c.Value(tag{}).(*turn).m.life, nil },
		func(c context.Context, s stateless.State) error {
			c.Value(tag{}).(*turn).m.life = s.(string)
			return nil
		}, stateless.FiringImmediate)
	newer := func(c context.Context, _ ...any) bool {
		t := c.Value(tag{}).(*turn)
		return t.line.Inc > t.m.Inc
	}
	even := func(c context.Context, _ ...any) bool {
		t := c.Value(tag{}).(*turn)
		return t.line.Inc >= t.m.Inc
	}
	s.Configure(Alive).Permit(Suspect, Suspect, even).Permit(Dead, Dead, even).Ignore(Alive)
	s.Configure(Suspect).Permit(Alive, Alive, newer).Permit(Dead, Dead, even).Ignore(Suspect)
	s.Configure(Dead).Permit(Alive, Alive, newer).Permit(Suspect, Suspect, newer).Ignore(Dead)
	s.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return s
}()

// maxIncarnation is above all that a process draws or raises its own to.
const maxIncarnation ident.Inc = 1 << 63

// valid tells whether a line of gossip is one that a process can have written.
func valid(l protocol.Member) bool {
	known := l.Life == Alive || l.Life == Suspect || l.Life == Dead
	return known && l.ID != "" && l.Addr != "" && l.Inc < maxIncarnation
}

// hear takes in a line of gossip. One that makes no sense would never be forgotten, and is left out.
func (c *Core) hear(now clock.Tick, l protocol.Member) {
	if !valid(l) {
		return
	}
	if l.ID == c.o.Me.ID {
		if l.Life != Alive && l.Inc >= c.o.Me.Inc {
			c.o.Me.Inc = l.Inc + 1
		}
		return
	}
	m := c.mates[l.ID]
	if m == nil {
		if l.Life == Dead {
			return
		}
		c.mates[l.ID] = &mate{Member: l, since: now, life: l.Life}
		return
	}
	was, inc := m.life, m.Inc
	_ = life.FireCtx(context.WithValue(context.Background(), tag{}, &turn{m, l}), l.Life)
	if l.Inc > m.Inc {
		m.Inc, m.Addr, m.Zone, m.Role = l.Inc, l.Addr, l.Zone, l.Role
		if m.life == l.Life && was == l.Life {
			m.told = 0
		}
	}
	if m.life != was || m.Inc != inc {
		m.Life, m.since, m.told = m.life, now, 0
	}
}

func (c *Core) gossip() []protocol.Member {
	l := make([]*mate, 0, len(c.mates))
	for _, m := range c.mates {
		l = append(l, m)
	}
	sort.Slice(l, func(i, j int) bool {
		if l[i].told != l[j].told {
			return l[i].told < l[j].told
		}
		return l[i].ID < l[j].ID
	})
	n := []protocol.Member{c.o.Me}
	for i := 0; i < len(l) && i < 8; i++ {
		l[i].told++
		b := l[i].Member
		b.Life = l[i].life
		n = append(n, b)
	}
	return n
}

// Reseed replaces the seeds: those of the start may all be gone by the time that they are needed again.
func (c *Core) Reseed(seeds []protocol.Sibling) { c.o.Seeds = seeds }

func (c *Core) mail(to protocol.Sibling, body any) protocol.Env {
	return protocol.Env{From: c.o.Me.Sibling, To: to, Body: body}
}

// Beat sends what is due.
func (c *Core) Beat(now clock.Tick) (out []protocol.Env) {
	c.now = now
	for _, s := range generic.SortedKeys(c.out) {
		p := c.out[s]
		switch age := now.Sub(p.at); {
		case p.asker.ID != "" && age > 2*c.o.Wait:
			delete(c.out, s)
		case p.asker.ID == "" && !p.helped && age > c.o.Wait:
			p.helped = true
			m := c.mates[p.to]
			for _, h := range c.pick(c.o.Helpers, p.to) {
				if m != nil {
					out = append(out, c.mail(h.Sibling, protocol.ProbeFor{Seq: s, Target: m.Sibling, News: c.gossip()}))
				}
			}
		case p.asker.ID == "" && age > 3*c.o.Wait:
			delete(c.out, s)
			if m := c.mates[p.to]; m != nil && m.life == Alive {
				c.hear(now, protocol.Member{Sibling: m.Sibling, Inc: m.Inc, Life: Suspect})
			}
		}
	}
	for id, m := range c.mates {
		if m.life == Suspect && now.Sub(m.since) > c.o.Grace {
			c.hear(now, protocol.Member{Sibling: m.Sibling, Inc: m.Inc, Life: Dead})
		}
		if m.life == Dead && now.Sub(m.since) > c.o.Forget {
			delete(c.mates, id)
		}
	}
	if now < c.next {
		return out
	}
	c.next = now.Add(c.o.Every)
	if t := c.turn(); t != nil {
		c.seq++
		c.out[c.seq] = &probe{to: t.ID, at: now}
		out = append(out, c.mail(t.Sibling, protocol.Probe{Seq: c.seq, News: c.gossip()}))
	}
	// A seed that is not known alive is asked now and then, so that parted halves meet again.
	if len(c.o.Seeds) > 0 {
		c.seed++
		s := c.o.Seeds[c.seed%len(c.o.Seeds)]
		known := s.Addr == c.o.Me.Addr
		for _, m := range c.mates {
			known = known || m.Addr == s.Addr && m.life == Alive
		}
		if !known {
			out = append(out, c.mail(s, protocol.Probe{News: c.gossip()}))
		}
	}
	return out
}

func (c *Core) turn() *mate {
	for tries := 0; tries < 2; tries++ {
		for len(c.ring) > 0 {
			m := c.mates[c.ring[0]]
			c.ring = c.ring[1:]
			if m != nil && m.life != Dead {
				return m
			}
		}
		for id, m := range c.mates {
			if m.life != Dead {
				c.ring = append(c.ring, id)
			}
		}
		sort.Slice(c.ring, func(i, j int) bool { return c.ring[i] < c.ring[j] })
		c.o.Rand.Shuffle(len(c.ring), func(i, j int) { c.ring[i], c.ring[j] = c.ring[j], c.ring[i] })
	}
	return nil
}

func (c *Core) pick(n int, not ident.Node) []protocol.Member {
	var l []protocol.Member
	for _, m := range c.Alive("") {
		if m.ID != not && m.ID != c.o.Me.ID {
			l = append(l, m)
		}
	}
	c.o.Rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(n, len(l))]
}

// Take hears a message; it answers false for messages that are not membership's.
func (c *Core) Take(now clock.Tick, e protocol.Env) (out []protocol.Env, mine bool) {
	c.now = now
	hear := func(l []protocol.Member) {
		for _, m := range l {
			c.hear(now, m)
		}
	}
	switch b := e.Body.(type) {
	case protocol.Probe:
		hear(b.News)
		n := c.gossip()
		if m := c.mates[e.From.ID]; m != nil && m.life != Alive {
			l := m.Member // so that a live sender learns of the suspicion and refutes it
			l.Life = m.life
			n = append(n, l)
		}
		return []protocol.Env{c.mail(e.From, protocol.ProbeAck{Seq: b.Seq, News: n})}, true
	case protocol.ProbeFor:
		hear(b.News)
		if e.From.ID == "" {
			return nil, true // nobody to tell
		}
		c.seq++
		c.out[c.seq] = &probe{to: b.Target.ID, at: now, asker: e.From, seq: b.Seq}
		return []protocol.Env{c.mail(b.Target, protocol.Probe{Seq: c.seq, News: c.gossip()})}, true
	case protocol.ProbeAck:
		hear(b.News)
		p := c.out[b.Seq]
		if p == nil {
			return nil, true
		}
		delete(c.out, b.Seq)
		if p.asker.ID != "" {
			return []protocol.Env{c.mail(p.asker, protocol.ProbeAck{Seq: p.seq, News: c.gossip()})}, true
		}
		return nil, true
	}
	return nil, false
}

// Alive lists the members of a role that are not known dead, this process among them, by id.
func (c *Core) Alive(role string) []protocol.Member {
	var l []protocol.Member
	if role == "" || role == c.o.Me.Role {
		l = append(l, c.o.Me)
	}
	for _, m := range c.mates {
		if m.life == Alive && (role == "" || m.Role == role) {
			l = append(l, m.Member)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	return l
}

// CountAlive counts the members of a role that are alive.
func (c *Core) CountAlive(role string) int {
	n := 0
	if role == c.o.Me.Role {
		n++
	}
	for _, m := range c.mates {
		if m.life == Alive && m.Role == role {
			n++
		}
	}
	return n
}

// All lists every member that is remembered, with its stage of life.
func (c *Core) All() []protocol.Member {
	l := []protocol.Member{c.o.Me}
	for _, m := range c.mates {
		b := m.Member
		b.Life = m.life
		l = append(l, b)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	return l
}

// Life tells a member's stage and since when; unknown members have none.
func (c *Core) Life(id ident.Node) (string, clock.Tick) {
	if id == c.o.Me.ID {
		return Alive, 0
	}
	if m := c.mates[id]; m != nil {
		return m.life, m.since
	}
	return "", 0
}
