package explorer

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// mostAge is the age past which nothing in a core depends on how old something is: no timer of a
// small core is longer, but for an operation's end, which is as long.
const mostAge clock.Span = 5e9

// fingerprinter writes a state in a canonical form: times are relative to now, ballots to the
// newest one known to be chosen, and rounds to the node's own.
type fingerprinter struct {
	digest *xxhash.Digest
	now    clock.Tick
	base   uint64
	buffer [8]byte
}

// Fingerprint digests all that decides how the run can go on, and the budget that is left.
func (w *World) Fingerprint() uint64 {
	f := &fingerprinter{digest: xxhash.New(), now: w.now, base: w.history.ballot.N}
	for _, n := range w.nodes {
		f.node(n)
	}
	f.flight(w)
	f.history(&w.history)
	f.budget(w.spent)
	return f.digest.Sum64()
}

func (f *fingerprinter) number(n uint64) {
	binary.LittleEndian.PutUint64(f.buffer[:], n)
	_, _ = f.digest.Write(f.buffer[:])
}

func (f *fingerprinter) text(s string) {
	f.number(uint64(len(s)))
	_, _ = f.digest.WriteString(s)
}

func (f *fingerprinter) flag(b bool) {
	if b {
		f.number(1)
	} else {
		f.number(0)
	}
}

// moment writes a time by its distance from now; the zero time stands for none.
func (f *fingerprinter) moment(t clock.Tick) {
	if t == 0 {
		f.number(0)
		return
	}
	f.number(uint64(1<<62 + int64(max(-mostAge, min(mostAge, f.now.Sub(t))))))
}

func (f *fingerprinter) ballot(b protocol.Ballot) {
	if b == (protocol.Ballot{}) {
		f.number(0)
		return
	}
	f.number(1<<62 + b.N - f.base)
	f.text(string(b.By))
	f.number(uint64(b.Life))
}

func (f *fingerprinter) voters(l []protocol.Voter) {
	f.number(uint64(len(l)))
	for _, v := range l {
		f.text(string(v.ID))
		f.number(uint64(v.Inc))
	}
}

func (f *fingerprinter) value(d *protocol.Desired) {
	f.flag(d != nil)
	if d == nil {
		return
	}
	f.number(uint64(d.Epoch))
	f.text(string(d.Plan))
	f.number(d.Shape)
	f.voters(d.Voters)
	f.voters(d.Prior)
	f.number(uint64(len(d.Done)))
	for _, x := range d.Done {
		f.text(x.ID)
		f.number(uint64(x.Epoch))
	}
}

func (f *fingerprinter) lives(m map[ident.Node]ident.Inc) {
	f.number(uint64(len(m)))
	for _, id := range generic.SortedKeys(m) {
		f.text(string(id))
		f.number(uint64(m[id]))
	}
}

// pending writes what waits for a stalled disk.
func (f *fingerprinter) pending(n *node) {
	f.flag(n.stalled)
	f.number(uint64(len(n.pending)))
	for _, s := range n.pending {
		for _, key := range generic.SortedKeys(s.Puts) {
			f.text(key)
			f.text(string(s.Puts[key]))
		}
	}
}

func (f *fingerprinter) node(n *node) {
	f.flag(n.up())
	f.flag(n.cut)
	f.flag(n.lost)
	f.pending(n)
	f.number(uint64(n.vote.Incarnation))
	f.ballot(n.vote.Ballot)
	f.value(n.vote.Value)
	if !n.up() {
		f.ballot(n.vote.Promised)
		f.number(uint64(n.vote.Duty))
		f.text(string(n.vote.Owner))
		return
	}
	s := n.core.Inspect()
	f.flag(s.Began)
	f.voter(s.Voter)
	f.register(s.Register)
	f.duty(s.Duty)
	f.number(uint64(len(s.Members)))
	for _, m := range s.Members {
		f.text(string(m.ID))
		f.text(m.Life)
	}
}

func (f *fingerprinter) voter(v controller.VoterSnapshot) {
	f.ballot(v.Promised)
	f.ballot(v.Reserved)
	f.ballot(v.Accepted)
	f.value(v.Value)
	f.moment(v.Started)
	f.number(uint64(v.Duty))
	f.number(uint64(v.DurableDuty))
	f.text(string(v.Owner))
	f.moment(v.GrantUntil)
	f.moment(v.Asked)
}

func (f *fingerprinter) register(r controller.RegisterSnapshot) {
	f.value(r.Known)
	f.ballot(r.KnownBallot)
	f.value(r.Hint)
	f.number(r.HighestBallot - f.base)
	f.flag(r.Operation != nil)
	if r.Operation != nil {
		f.operation(*r.Operation)
	}
	f.number(uint64(len(r.Queued)))
	for _, o := range r.Queued {
		f.operation(o)
	}
	f.number(uint64(len(r.Queries)))
	newest := 0
	for i := range r.Queries {
		f.query(&r.Queries[i])
		if r.Queries[i].Round <= r.LastRead {
			newest = i
		}
	}
	f.number(uint64(newest)) // of those that a majority has answered
	f.ballot(r.WantedBallot)
	f.moment(r.Wanted)
	f.moment(r.NextQuery)
	f.moment(r.LastMajority)
	f.moment(r.LastAnswer)
	f.number(uint64(len(r.Reads)))
	for _, at := range r.Reads {
		f.moment(at)
	}
	for _, s := range r.Siblings {
		f.sibling(s)
	}
	for _, id := range generic.SortedKeys(r.Absent) {
		f.text(string(id))
		f.moment(r.Absent[id])
	}
	f.number(uint64(r.UnclearReads))
	f.ballot(r.UnclearBallot)
	f.moment(r.Unclear)
	f.moment(r.Unequal)
	f.ballot(r.Promised)
	f.ballot(r.PromisedAt)
	f.number(uint64(len(r.Forwards)))
	for _, p := range r.Forwards {
		f.forward(p)
	}
}

func (f *fingerprinter) forward(p controller.ForwardSnapshot) {
	f.text(p.Change)
	f.text(string(p.Owner))
	f.moment(p.Due)
	f.flag(p.Unsettled)
	f.flag(p.Proposed)
	f.flag(p.Answered)
	f.number(uint64(p.Outcome))
}

func (f *fingerprinter) operation(o controller.OperationSnapshot) {
	f.text(o.Phase)
	f.ballot(o.Ballot)
	f.value(&o.Set)
	f.ballot(o.Best)
	f.value(o.Value)
	f.value(&o.Next)
	f.text(o.Kind)
	f.lives(o.Answered)
	f.moment(o.Sent)
	f.moment(o.Wake)
	f.moment(o.End)
	f.flag(o.Unclear)
	f.number(uint64(min(o.Fails, 4)))
	f.number(uint64(o.Resent))
	f.ballot(o.Base)
}

func (f *fingerprinter) query(q *controller.QuerySnapshot) {
	f.moment(q.At)
	f.flag(q.Claim)
	f.number(uint64(q.Number))
	f.value(&q.Set)
	f.lives(q.Answered)
	f.lives(q.Granted)
	f.ballot(q.Top)
	f.number(q.Shape)
	f.flag(q.Fetching)
	f.flag(q.Read)
	f.flag(q.Ended)
	f.flag(q.Won)
	f.number(uint64(q.Duty))
	f.text(string(q.Owner))
}

func (f *fingerprinter) sibling(s controller.SiblingSnapshot) {
	f.text(string(s.ID))
	f.moment(s.At)
	f.number(uint64(s.State.Inc))
	f.ballot(s.State.Accepted)
	f.number(uint64(s.State.Duty))
	f.text(string(s.State.Last))
	f.flag(s.State.Shy)
	f.flag(s.State.Blank)
}

func (f *fingerprinter) duty(d controller.DutySnapshot) {
	f.flag(d.Mine)
	f.number(uint64(d.Number))
	f.moment(d.Renewed)
	f.number(uint64(d.Highest))
	f.text(string(d.Owner))
	f.flag(d.Free)
	f.moment(d.ShyTill)
	f.text(string(d.Next))
	f.moment(d.Left)
}

// flight writes the messages under way without their order, as any may arrive first, but in the
// order of sending where they arrive in that order.
func (f *fingerprinter) flight(w *World) {
	var l []string
	for _, m := range w.flight {
		if !w.inert(m) {
			l = append(l, f.envelope(w, m.env))
		}
	}
	if w.scenario.Grain == ByMessage {
		sort.Strings(l)
	}
	f.number(uint64(len(l)))
	for _, s := range l {
		f.text(s)
	}
}

// envelope writes a message with the number of its round replaced by whether its sender, or the
// asker that it answers, is still in that round.
func (f *fingerprinter) envelope(w *World, e protocol.Env) string {
	return envelopeText(f.relative(w, e))
}

func (f *fingerprinter) relative(w *World, e protocol.Env) protocol.Env {
	shift := func(b protocol.Ballot) protocol.Ballot {
		if b != (protocol.Ballot{}) {
			b.N += 1<<32 - f.base
		}
		return b
	}
	operation := func(id ident.Node, round uint64) uint64 {
		if n := w.node(id); n.up() {
			if _, current, under := n.core.Proposing(); under && current == round {
				return 1
			}
		}
		return 0
	}
	query := func(id ident.Node, round uint64) uint64 {
		if n := w.node(id); n.up() {
			return uint64(n.core.ReadIndex(round))
		}
		return 0
	}
	switch b := e.Body.(type) {
	case protocol.Prepare:
		b.Round, b.Ballot, b.Known = operation(e.From.ID, b.Round), shift(b.Ballot), shift(b.Known)
		e.Body = b
	case protocol.Promise:
		b.Round, b.Promised, b.Accepted = operation(e.To.ID, b.Round), shift(b.Promised), shift(b.Accepted)
		e.Body = b
	case protocol.Accept:
		b.Round, b.Ballot, b.Next, b.Chosen = operation(e.From.ID, b.Round), shift(b.Ballot), shift(b.Next), shift(b.Chosen)
		e.Body = b
	case protocol.Accepted:
		b.Round, b.Promised = operation(e.To.ID, b.Round), shift(b.Promised)
		e.Body = b
	case protocol.Query:
		b.Round = query(e.From.ID, b.Round)
		e.Body = b
	case protocol.State:
		b.Round, b.Accepted, b.Chosen = query(e.To.ID, b.Round), shift(b.Accepted), shift(b.Chosen)
		e.Body = b
	case protocol.Fetch:
		b.Round, b.Ballot = query(e.From.ID, b.Round), shift(b.Ballot)
		e.Body = b
	case protocol.Value:
		b.Round, b.Accepted = query(e.To.ID, b.Round), shift(b.Accepted)
		e.Body = b
	case protocol.Taken:
		b.Ballot = shift(b.Ballot)
		e.Body = b
	case protocol.Forward:
		b.Number = 0 // the change's own id tells it apart
		e.Body = b
	case protocol.Forwarded:
		b.Number, b.Chosen = 0, shift(b.Chosen)
		e.Body = b
	}
	return e
}

func (f *fingerprinter) history(h *history) {
	for _, q := range h.requests {
		f.text(string(q.at))
		f.text(q.change)
		f.number(uint64(q.outcome))
		f.number(uint64(len(q.before)))
	}
	for _, change := range h.order {
		f.text(change)
		f.number(uint64(h.confirmed[change]))
	}
	f.value(h.inForce)
}

func (f *fingerprinter) budget(b Budget) {
	for _, n := range []int{b.Drops, b.Duplicates, b.Interrupts, b.Crashes, b.Wipes, b.Losses, b.Cuts, b.Stalls, b.Gets, b.Ticks, b.Passes} {
		f.number(uint64(n))
	}
}
