package controller

import (
	"bytes"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// register is the proposer's and reader's part.
type register struct {
	known     *protocol.Desired // newest value known to be chosen
	at        protocol.Ballot
	hint      *protocol.Desired // a voter set to try, from a value perhaps not chosen
	round     uint64            // of the last question
	first     uint64            // and before the first of this life
	top       uint64            // highest ballot number seen anywhere
	op        *op
	queue     []*op
	reads     []reader
	query     *query
	next      clock.Tick
	heard     clock.Tick // when the last majority read was asked for that ended
	answered  clock.Tick // when the last majority read was asked for that a majority answered
	lives     map[ident.Node]sight
	blank     clock.Tick // since when every seed is seen blank
	kept      *protocol.Desired
	force     bool
	unequal   int
	odd       int
	reshaping bool                      // a change of the voter set is under way
	inTouch   bool                      // a majority was heard lately, as the log was told last
	absent    map[ident.Node]clock.Tick // voters that do not answer, and since when
}

type sight struct {
	at    clock.Tick
	state protocol.State
	sib   protocol.Sibling
}

// lifeBits is how many numbers each life of a node has for its questions.
const lifeBits = 20

// firstNumber gives the number before a life's first question. Lives have numbers of their own, so that a late
// answer to a question of the life before is never taken for one to a question of this life.
func firstNumber(life ident.Inc) uint64 { return uint64(life) << lifeBits }

func (r *register) init(life ident.Inc) {
	r.first = firstNumber(life)
	r.round = r.first
	r.lives = map[ident.Node]sight{}
	r.absent = map[ident.Node]clock.Tick{}
}

// learn takes in a value that is known to be chosen.
func (c *Core) learn(b protocol.Ballot, v protocol.Desired) {
	r := &c.reg
	if r.known != nil && b.Less(r.at) {
		return
	}
	c.checkChosen(r.known, r.at, b, v)
	r.at = b
	old := r.known
	r.known = &v
	if r.hint != nil && r.hint.Shape <= v.Shape {
		r.hint = &v
	}
	if old == nil || old.Epoch != v.Epoch || old.Gen != v.Gen || !bytes.Equal(old.Plan, v.Plan) {
		c.planned()
		if c.duty.mine {
			c.pushAll()
		} else if o := c.duty.who; o.ID != "" && o.ID != c.o.Me.ID {
			c.send(o, protocol.Taken{Epoch: v.Epoch})
		}
	}
}

func (c *Core) onTaken(e protocol.Env) {
	if e.Body.(protocol.Taken).Epoch > c.Epoch() && c.reg.op == nil {
		c.reg.next = c.now // the next read finds it
		c.beatQuery()
	}
}

func (c *Core) beatRegister() {
	r := &c.reg
	if o := r.op; o != nil {
		switch {
		case c.now > o.end:
			r.op = nil
			k := o.givenUp()
			r.queue = append(o.joined, r.queue...) // each has its own time
			o.done(protocol.Desired{}, k)
		case o.phase != "wait" && c.now.Sub(o.sent) > 700e6:
			c.again(o)
		}
	}
	for len(r.queue) > 0 && c.now > r.queue[0].end {
		o := r.queue[0]
		r.queue = r.queue[1:]
		o.done(protocol.Desired{}, o.givenUp())
	}
	c.stir()
	c.dropReads()
	c.beatQuery()
	c.beatForm()
	c.beatVoters()
}
