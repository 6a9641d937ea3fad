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

// maxAge is the age beyond which the behavior of a controller core no longer depends on the exact age of an event. No
// timer of the explored clusters is longer, and the deadline of an operation is as long.
const maxAge clock.Span = 5e9

// fingerprinter hashes a state in a canonical form: times are relative to the current time, ballots to
// the newest ballot known to be chosen, and rounds to the current round of the node.
type fingerprinter struct {
	digest     *xxhash.Digest
	now        clock.Instant
	baseBallot uint64
	buffer     [8]byte
}

// Fingerprint hashes everything that determines how the run can continue, including the used budget.
func (c *Cluster) Fingerprint() uint64 {
	f := &fingerprinter{digest: xxhash.New(), now: c.now, baseBallot: c.history.inForceBallot.N}
	for _, n := range c.nodes {
		f.node(n)
	}
	f.inFlight(c)
	f.history(&c.history)
	f.budget(c.used)
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

// timestamp hashes a time as its distance from the current time. The zero time means that the time is not set.
func (f *fingerprinter) timestamp(t clock.Instant) {
	if t == 0 {
		f.number(0)
		return
	}
	f.number(uint64(1<<62 + int64(max(-maxAge, min(maxAge, f.now.Sub(t))))))
}

func (f *fingerprinter) ballot(b protocol.Ballot) {
	if b == (protocol.Ballot{}) {
		f.number(0)
		return
	}
	f.number(1<<62 + b.N - f.baseBallot)
	f.text(string(b.By))
	f.number(uint64(b.Incarnation))
}

func (f *fingerprinter) voters(list []protocol.Voter) {
	f.number(uint64(len(list)))
	for _, v := range list {
		f.text(string(v.ID))
		f.number(uint64(v.Incarnation))
	}
}

func (f *fingerprinter) value(d *protocol.Desired) {
	f.flag(d != nil)
	if d == nil {
		return
	}
	f.number(uint64(d.Epoch))
	f.text(string(d.Plan))
	f.number(d.VoterSet)
	f.voters(d.Voters)
	f.voters(d.PriorVoters)
	f.number(uint64(len(d.AppliedChanges)))
	for _, x := range d.AppliedChanges {
		f.text(x.ID)
		f.number(uint64(x.Epoch))
	}
}

func (f *fingerprinter) incarnations(m map[ident.Node]ident.Incarnation) {
	f.number(uint64(len(m)))
	for _, id := range generic.SortedKeys(m) {
		f.text(string(id))
		f.number(uint64(m[id]))
	}
}

// pendingWrites hashes the writes that wait for a stalled disk.
func (f *fingerprinter) pendingWrites(n *node) {
	f.flag(n.stalled)
	f.number(uint64(len(n.pendingWrites)))
	for _, s := range n.pendingWrites {
		for _, key := range generic.SortedKeys(s.Puts) {
			f.text(key)
			f.text(string(s.Puts[key]))
		}
	}
}

func (f *fingerprinter) node(n *node) {
	f.flag(n.up())
	f.flag(n.isolated)
	f.flag(n.lost)
	f.pendingWrites(n)
	f.number(uint64(n.vote.Incarnation))
	f.ballot(n.vote.Ballot)
	f.value(n.vote.Value)
	for _, key := range controller.RegistryKeys {
		f.text(string(n.disk[key]))
	}
	if !n.up() {
		f.ballot(n.vote.Promised)
		f.number(uint64(n.vote.Term))
		f.text(string(n.vote.Owner))
		return
	}
	s := n.core.Inspect()
	f.flag(s.Began)
	f.voter(s.Voter)
	f.register(s.Register)
	f.leadership(s.Leadership)
	f.registry(s.Registry)
	f.number(uint64(len(s.Members)))
	for _, m := range s.Members {
		f.text(string(m.ID))
		f.text(m.Status)
	}
}

func (f *fingerprinter) voter(v controller.VoterSnapshot) {
	f.ballot(v.Promised)
	f.ballot(v.Reserved)
	f.ballot(v.Accepted)
	f.value(v.Value)
	f.timestamp(v.Started)
	f.number(uint64(v.Term))
	f.number(uint64(v.DurableTerm))
	f.text(string(v.Owner))
	f.timestamp(v.GrantUntil)
	f.timestamp(v.ProposerHeardAt)
}

func (f *fingerprinter) register(r controller.RegisterSnapshot) {
	f.value(r.Known)
	f.ballot(r.KnownBallot)
	f.value(r.Hint)
	f.number(r.HighestBallot - f.baseBallot)
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
	f.number(uint64(newest)) // index of the newest read that a majority has answered
	f.ballot(r.WantedBallot)
	f.timestamp(r.Wanted)
	f.timestamp(r.NextQuery)
	f.timestamp(r.LastMajority)
	f.timestamp(r.LastAnswer)
	f.number(uint64(len(r.Reads)))
	for _, at := range r.Reads {
		f.timestamp(at)
	}
	for _, s := range r.Peers {
		f.peer(s)
	}
	for _, id := range generic.SortedKeys(r.Absent) {
		f.text(string(id))
		f.timestamp(r.Absent[id])
	}
	f.number(uint64(r.UnsettledReads))
	f.ballot(r.UnsettledBallot)
	f.timestamp(r.UnsettledSince)
	f.timestamp(r.StaleSince)
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
	f.timestamp(p.Due)
	f.flag(p.Unsettled)
	f.flag(p.Proposed)
	f.flag(p.Answered)
	f.number(uint64(p.Outcome))
}

func (f *fingerprinter) operation(o controller.OperationSnapshot) {
	f.text(o.Phase)
	f.ballot(o.Ballot)
	f.value(&o.Set)
	f.ballot(o.HighestAccepted)
	f.value(o.Value)
	f.value(&o.Next)
	f.text(o.Kind)
	f.incarnations(o.Answered)
	f.timestamp(o.SentAt)
	f.timestamp(o.RetryAt)
	f.timestamp(o.Deadline)
	f.flag(o.Uncertain)
	f.number(uint64(min(o.Failures, 4)))
	f.number(uint64(o.Resent))
	f.ballot(o.BaseBallot)
}

func (f *fingerprinter) query(q *controller.QuerySnapshot) {
	f.timestamp(q.At)
	f.flag(q.Claim)
	f.number(uint64(q.Term))
	f.value(&q.Set)
	f.incarnations(q.Answered)
	f.incarnations(q.Granted)
	f.ballot(q.Top)
	f.number(q.VoterSet)
	f.flag(q.Fetching)
	f.flag(q.Read)
	f.flag(q.Completed)
	f.flag(q.Won)
	f.number(uint64(q.HighestTerm))
	f.text(string(q.Owner))
}

func (f *fingerprinter) peer(s controller.PeerSnapshot) {
	f.text(string(s.ID))
	f.timestamp(s.At)
	f.number(uint64(s.State.Incarnation))
	f.ballot(s.State.Accepted)
	f.number(uint64(s.State.Term))
	f.text(string(s.State.LastGrantee))
	f.flag(s.State.Declining)
	f.flag(s.State.Blank)
	f.flag(s.State.Founder)
}

func (f *fingerprinter) registry(r controller.RegistrySnapshot) {
	f.flag(r.DeparturesComplete)
	f.servers(r.Servers)
	f.servers(r.Listed)
	for _, ids := range [][]ident.Node{r.Merged, r.Received} {
		f.number(uint64(len(ids)))
		for _, id := range ids {
			f.text(string(id))
		}
	}
}

func (f *fingerprinter) servers(servers []protocol.ListedServer) {
	f.number(uint64(len(servers)))
	for _, s := range servers {
		f.text(string(s.ID))
		f.text(s.State)
	}
}

func (f *fingerprinter) leadership(d controller.LeadershipSnapshot) {
	f.flag(d.Held)
	f.number(uint64(d.Term))
	f.timestamp(d.Renewed)
	f.number(uint64(d.HighestTerm))
	f.text(string(d.Owner))
	f.flag(d.Vacant)
	f.timestamp(d.DeclineUntil)
	f.text(string(d.Successor))
	f.timestamp(d.ReleasedAt)
}

// inFlight hashes the messages in flight. With delivery by message, any of them may arrive first, so their order is
// ignored; with delivery by node, they arrive in the order of sending, which is kept.
func (f *fingerprinter) inFlight(c *Cluster) {
	var texts []string
	for _, m := range c.inFlight {
		if !c.isIgnored(m) {
			texts = append(texts, f.envelope(c, m.env))
		}
	}
	if c.scenario.Granularity == ByMessage {
		sort.Strings(texts)
	}
	f.number(uint64(len(texts)))
	for _, s := range texts {
		f.text(s)
	}
}

// envelope formats a message. The round number is replaced by whether the sender of the request that the message
// carries or answers is still in that round.
func (f *fingerprinter) envelope(c *Cluster, e protocol.Envelope) string {
	return envelopeText(f.relative(c, e))
}

// relative returns a message with its ballots relative to the base ballot and its round normalized.
func (f *fingerprinter) relative(c *Cluster, e protocol.Envelope) protocol.Envelope {
	shift := func(b protocol.Ballot) protocol.Ballot {
		if b != (protocol.Ballot{}) {
			b.N += 1<<32 - f.baseBallot
		}
		return b
	}
	operation := func(id ident.Node, round uint64) uint64 {
		if n := c.node(id); n.up() {
			if _, current, proposing := n.core.Proposing(); proposing && current == round {
				return 1
			}
		}
		return 0
	}
	query := func(id ident.Node, round uint64) uint64 {
		if n := c.node(id); n.up() {
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
	case protocol.FetchValue:
		b.Round, b.Ballot = query(e.From.ID, b.Round), shift(b.Ballot)
		e.Body = b
	case protocol.FetchedValue:
		b.Round, b.Accepted = query(e.To.ID, b.Round), shift(b.Accepted)
		e.Body = b
	case protocol.ValueChosen:
		b.Ballot = shift(b.Ballot)
		e.Body = b
	case protocol.ForwardChange:
		b.Number = 0 // the change id identifies the message
		e.Body = b
	case protocol.ForwardReply:
		b.Number, b.Chosen = 0, shift(b.Chosen)
		e.Body = b
	}
	return e
}

func (f *fingerprinter) history(h *history) {
	for _, q := range h.requests {
		f.text(string(q.node))
		f.text(q.change)
		f.number(uint64(q.outcome))
		f.number(uint64(len(q.confirmedBefore)))
	}
	for _, change := range h.confirmedOrder {
		f.text(change)
		f.number(uint64(h.confirmed[change]))
	}
	f.value(h.inForce)
}

func (f *fingerprinter) budget(b Budget) {
	for _, n := range []int{b.Drops, b.Duplicates, b.Interrupts, b.Crashes, b.Wipes, b.Losses, b.Cuts, b.Stalls, b.Gets, b.Ticks, b.Passes, b.Departures} {
		f.number(uint64(n))
	}
}
