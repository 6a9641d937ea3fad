// Package standin provides stand-ins for tests and load runs of tidedeck: model servers, the weight store, the platform and
// callers. They are small, but follow the protocol rules that real ones must follow, and they support fault injection.
package standin

import (
	"fmt"
	"hash/fnv"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// ServerOptions configure a stand-in model server.
type ServerOptions struct {
	ID    ident.Server
	Inc   ident.Incarnation
	Room  int
	Slots int
	Store string
	Step  clock.Span // between two decode steps of the batch
	Fill  int        // prompt bytes prefilled in one decode step
	Cache int        // capacity of the prefix cache, in prompt parts
	Pull  clock.Span // timeout of a load
	Whole clock.Span // time from accepting a connection to receiving the complete request, after which it is refused as late
}

// OrderIn is a received order; OrderOut answers it.
type OrderIn struct {
	Token uint64
	Order protocol.Order
}

// OrderOut answers an OrderIn.
type OrderOut struct {
	Token  uint64
	Report protocol.ServerReport
}

// WorkIn is a received request.
type WorkIn struct {
	Token uint64
	Work  protocol.ServerRequest
	Since clock.Instant // when its connection was accepted
}

// WorkQuit reports that the sender of a request has disconnected.
type WorkQuit struct{ Token uint64 }

// WorkDrop refuses a request that was not executed.
type WorkDrop struct {
	Token uint64
	Kind  failure.Kind
}

// Event is one event of a response stream.
type Event struct {
	Token  uint64       `json:"-"`
	N      int          `json:"n"`
	Go     string       `json:"go"`
	Server ident.Server `json:"server"`
	Text   string       `json:"text,omitempty"`
	Done   bool         `json:"done,omitempty"`
	Reused int          `json:"reused,omitempty"` // prompt bytes taken from the prefix cache
}

// heldModel is a model or adapter that the server is loading or has ready.
type heldModel struct {
	protocol.HeldKey
	since clock.Instant
}

// job is a request that waits or runs.
type job struct {
	WorkIn
	key     ident.Key
	prefill int // prompt bytes still to prefill
	cached  int // prompt bytes found in the prefix cache
	sent    int // events sent
}

// Server is a stand-in model server. It does no I/O: Step takes inputs and returns outputs.
type Server struct {
	options       ServerOptions
	now           clock.Instant
	out           []any
	term          ident.Term
	orders        uint64
	held          map[ident.Key]*heldModel
	jobs          []*job
	cache         map[string]clock.Instant
	executed      map[string]bool
	executedOrder []string
	pulls         map[uint64]ident.Key
	token         uint64
	nextStep      clock.Instant
	slowdown      int
	tally         ServerTally
}

// ServerTally holds counters of a server for checkers.
type ServerTally struct {
	Works, Dropped, Done, Quit    uint64
	PromptBytes, Reused           uint64
	Loads, Unloads, Stale, NoRoom uint64
	Twice                         uint64
	PeakCold                      int
	DropKinds                     map[failure.Kind]uint64
}

// NewServer creates a stand-in model server.
func NewServer(o ServerOptions) *Server {
	generic.SetDefault(&o.Step, 20e6)
	generic.SetDefault(&o.Fill, 4000)
	generic.SetDefault(&o.Cache, 64)
	generic.SetDefault(&o.Slots, 16)
	generic.SetDefault(&o.Pull, 120e9)
	generic.SetDefault(&o.Whole, 500e6)
	return &Server{options: o, held: map[ident.Key]*heldModel{}, cache: map[string]clock.Instant{}, executed: map[string]bool{}, pulls: map[uint64]ident.Key{},
		token: uint64(o.Inc), // distinguishes answers to an earlier incarnation's requests from those to this one's
		tally: ServerTally{DropKinds: map[failure.Kind]uint64{}}}
}

// Step processes one input and returns the outputs to carry out.
func (s *Server) Step(now clock.Instant, in any) []any {
	s.now, s.out = now, nil
	switch v := in.(type) {
	case OrderIn:
		s.out = append(s.out, OrderOut{v.Token, s.acceptOrder(v.Order)})
	case WorkIn:
		s.acceptWork(v)
	case WorkQuit:
		for i, j := range s.jobs {
			if j.Token == v.Token {
				s.jobs = append(s.jobs[:i:i], s.jobs[i+1:]...)
				s.tally.Quit++
				break
			}
		}
	case protocol.HTTPResult:
		s.finishPull(v)
	case protocol.TimerTick:
		if now >= s.nextStep {
			s.nextStep = now.Add(s.options.Step * clock.Span(1+s.slowdown))
			s.decodeStep()
		}
	}
	return s.out
}

// SetSlowdown makes every decode step take 1+n times as long.
func (s *Server) SetSlowdown(n int) { s.slowdown = n }

func (s *Server) used() int {
	n := 0
	for _, h := range s.held {
		n += h.Size
	}
	return n
}

func (s *Server) report(drop failure.Kind) protocol.ServerReport {
	r := protocol.ServerReport{Server: s.options.ID, Incarnation: s.options.Inc, Term: s.term, Num: s.orders, Room: s.options.Room, Slots: s.options.Slots, RefusedAs: drop, Held: []protocol.HeldKey{}}
	for _, k := range generic.SortedKeys(s.held) {
		h := s.held[k]
		x := h.HeldKey
		x.AgeMs = s.now.Sub(h.since).Milliseconds()
		for _, j := range s.jobs {
			if j.key == k || j.key.Base() == k {
				x.Active++
			}
		}
		r.Held = append(r.Held, x)
	}
	return r
}

// acceptOrder carries out an order only if it is newer than the last one, by term and number.
func (s *Server) acceptOrder(o protocol.Order) protocol.ServerReport {
	if o.Term < s.term || o.Term == s.term && o.Num <= s.orders {
		s.tally.Stale++
		return s.report(failure.StaleOrder)
	}
	s.term, s.orders = o.Term, o.Num
	if o.Op != "" && o.Incarnation != s.options.Inc {
		return s.report(failure.Mismatch)
	}
	switch o.Op {
	case "":
	case "load":
		if s.held[o.Key] != nil {
			break
		}
		if s.used()+o.Size > s.options.Room {
			s.tally.NoRoom++
			return s.report(failure.NoRoom)
		}
		s.tally.Loads++
		s.held[o.Key] = &heldModel{HeldKey: protocol.HeldKey{Key: o.Key, Size: o.Size, Stage: "loading"}, since: s.now}
		s.token++
		s.pulls[s.token] = o.Key
		s.out = append(s.out, protocol.HTTPRequest{Token: s.token, Addr: s.options.Store, Path: "/pull", Body: Pull{Server: s.options.ID, Key: o.Key, Size: o.Size}, Timeout: s.options.Pull})
	case "unload":
		for _, j := range s.jobs {
			if j.key == o.Key || j.key.Base() == o.Key {
				return s.report(failure.Busy)
			}
		}
		if s.held[o.Key] != nil {
			s.tally.Unloads++
			delete(s.held, o.Key)
		}
	default:
		return s.report(failure.Malformed)
	}
	return s.report(failure.None)
}

func (s *Server) finishPull(t protocol.HTTPResult) {
	k, ok := s.pulls[t.Token]
	delete(s.pulls, t.Token)
	h := s.held[k]
	if !ok || h == nil || h.Stage != "loading" {
		return
	}
	if !t.OK || t.Code != 200 {
		delete(s.held, k)
		return
	}
	h.Stage, h.since = "ready", s.now
}

func (s *Server) refuse(t uint64, k failure.Kind) {
	s.tally.Dropped++
	s.tally.DropKinds[k]++
	s.out = append(s.out, WorkDrop{t, k})
}

func (s *Server) acceptWork(v WorkIn) {
	// A request that took long to arrive was routed on old information and may no longer be meant for this server.
	if v.Since != 0 && s.now.Sub(v.Since) > s.options.Whole {
		s.refuse(v.Token, failure.Late)
		return
	}
	k := ident.NewKey(v.Work.Model, v.Work.Adapter)
	model, base := s.held[k], s.held[k.Base()]
	if v.Work.Incarnation != s.options.Inc || model == nil || base == nil || model.Stage != "ready" || base.Stage != "ready" {
		s.refuse(v.Token, failure.Mismatch)
		return
	}
	if len(s.jobs) >= 3*s.options.Slots {
		s.refuse(v.Token, failure.Busy)
		return
	}
	if s.executed[v.Work.ID] && v.Work.NotRepeatable {
		s.refuse(v.Token, failure.Repeated)
		return
	}
	if v.Work.NotRepeatable {
		s.executed[v.Work.ID] = true
		if s.executedOrder = append(s.executedOrder, v.Work.ID); len(s.executedOrder) > 100_000 {
			delete(s.executed, s.executedOrder[0])
			s.executedOrder = s.executedOrder[1:]
		}
	}
	s.tally.Works++
	j := &job{WorkIn: v, key: k, prefill: len(v.Work.Prompt)}
	path := string(k)
	for _, p := range v.Work.Parts {
		path += "|" + p
		hash := fnv.New64a()
		fmt.Fprint(hash, path)
		path = fmt.Sprintf("%x", hash.Sum64())
		if _, ok := s.cache[path]; ok {
			j.cached += len(p)
		} else {
			j.prefill += len(p)
		}
		s.cache[path] = s.now
	}
	for len(s.cache) > s.options.Cache {
		old := ""
		for p, t := range s.cache {
			if old == "" || t < s.cache[old] || t == s.cache[old] && p < old {
				old = p
			}
		}
		delete(s.cache, old)
	}
	s.tally.PromptBytes += uint64(j.prefill + j.cached)
	s.tally.Reused += uint64(j.cached)
	s.jobs = append(s.jobs, j)
	if s.now.Sub(model.since) < 1e9 {
		n := 0
		for _, x := range s.jobs {
			if x.key == k {
				n++
			}
		}
		s.tally.PeakCold = max(s.tally.PeakCold, n)
	}
}

// TokenText returns the text of event n of the response to a request. It depends on the request, so that every receiver can
// check that a response belongs to its request.
func TokenText(id, base, extra string, n int) string {
	hash := fnv.New32a()
	fmt.Fprint(hash, id, "|", base, "|", extra, "|", n)
	return fmt.Sprintf("w%08x", hash.Sum32())
}

// decodeStep runs one decode step: it prefills up to the limit and generates one token for every decoding request.
func (s *Server) decodeStep() {
	fill := s.options.Fill
	var left []*job
	for i, j := range s.jobs {
		if i >= s.options.Slots {
			left = append(left, j)
			continue
		}
		if j.prefill > 0 {
			n := min(fill, j.prefill)
			j.prefill -= n
			fill -= n
			if j.prefill > 0 {
				left = append(left, j)
				continue
			}
		}
		work := j.Work
		event := Event{Token: j.Token, N: j.sent, Go: work.AttemptID, Server: s.options.ID, Text: TokenText(work.ID, work.Model, work.Adapter, j.sent)}
		if j.sent == 0 {
			event.Reused = j.cached
		}
		if j.sent >= work.MaxTokens {
			event.Text, event.Done = "", true
			s.tally.Done++
		} else {
			left = append(left, j)
		}
		j.sent++
		s.out = append(s.out, event)
	}
	s.jobs = left
}

// Counts returns the counters.
func (s *Server) Counts() ServerTally { return s.tally }

// ReadyFor returns for how long the server has held a key ready, by its own clock.
func (s *Server) ReadyFor(k ident.Key) (clock.Span, bool) {
	h := s.held[k]
	if h == nil || h.Stage != "ready" {
		return 0, false
	}
	return s.now.Sub(h.since), true
}

// Held returns the models and adapters that the server holds, for checkers.
func (s *Server) Held() map[ident.Key]protocol.HeldKey {
	m := map[ident.Key]protocol.HeldKey{}
	for k, h := range s.held {
		m[k] = h.HeldKey
	}
	return m
}

// Active returns the number of requests that wait or run.
func (s *Server) Active() int { return len(s.jobs) }

// Used returns the size of all held models and adapters.
func (s *Server) Used() int { return s.used() }
