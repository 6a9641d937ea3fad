// Package standin holds the stand-ins that tidedeck is tried on: model servers, the weight
// store, the platform and callers. They are small, but they keep the rules that real ones
// must keep towards the system, and they can be made to fail.
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

// ServerOptions of a stand-in model server.
type ServerOptions struct {
	ID    ident.Server
	Inc   ident.Inc
	Room  int
	Slots int
	Store string
	Step  clock.Span // between two decode steps of the batch
	Fill  int        // bytes that a step can prefill
	Cache int        // shared prompt parts kept
	Pull  clock.Span // for a load, at the most
	Whole clock.Span // a request that is not wholly in so long after its connection was accepted is late
}

// OrderIn is an order that came in; OrderOut answers it.
type OrderIn struct {
	Token uint64
	Order protocol.Order
}

// OrderOut answers an OrderIn.
type OrderOut struct {
	Token  uint64
	Report protocol.Report
}

// WorkIn is a request that came in.
type WorkIn struct {
	Token uint64
	Work  protocol.Work
	Since clock.Tick // when its connection was accepted
}

// WorkQuit says that whoever sent a request is gone.
type WorkQuit struct{ Token uint64 }

// WorkDrop drops a request that never ran.
type WorkDrop struct {
	Token uint64
	Kind  failure.Kind
}

// Event is one event of an answer's stream.
type Event struct {
	Token  uint64       `json:"-"`
	N      int          `json:"n"`
	Go     string       `json:"go"`
	Server ident.Server `json:"server"`
	Text   string       `json:"text,omitempty"`
	Done   bool         `json:"done,omitempty"`
	Reused int          `json:"reused,omitempty"` // prompt bytes found in the cache
}

type held struct {
	protocol.Held
	since clock.Tick
}

type job struct {
	WorkIn
	key  ident.Key
	fill int // bytes still to prefill
	hit  int
	n    int
}

// Server is a stand-in model server without I/O.
type Server struct {
	o     ServerOptions
	now   clock.Tick
	out   []any
	duty  ident.Duty
	num   uint64
	held  map[ident.Key]*held
	jobs  []*job
	cache map[string]clock.Tick
	ran   map[string]bool
	ranIn []string
	pulls map[uint64]ident.Key
	token uint64
	next  clock.Tick
	slow  int
	tally ServerTally
}

// ServerTally counts what a server saw; its checkers read it.
type ServerTally struct {
	Works, Dropped, Done, Quit    uint64
	PromptBytes, Reused           uint64
	Loads, Unloads, Stale, NoRoom uint64
	Twice                         uint64
	PeakCold                      int
	DropKinds                     map[failure.Kind]uint64
}

// NewServer makes a stand-in model server.
func NewServer(o ServerOptions) *Server {
	generic.SetDefault(&o.Step, 20e6)
	generic.SetDefault(&o.Fill, 4000)
	generic.SetDefault(&o.Cache, 64)
	generic.SetDefault(&o.Slots, 16)
	generic.SetDefault(&o.Pull, 120e9)
	generic.SetDefault(&o.Whole, 500e6)
	return &Server{o: o, held: map[ident.Key]*held{}, cache: map[string]clock.Tick{}, ran: map[string]bool{}, pulls: map[uint64]ident.Key{},
		token: uint64(o.Inc), // no answer to an earlier life's question is taken for one of this life's
		tally: ServerTally{DropKinds: map[failure.Kind]uint64{}}}
}

// Step takes one input and gives what is to be done.
func (s *Server) Step(now clock.Tick, in any) []any {
	s.now, s.out = now, nil
	switch v := in.(type) {
	case OrderIn:
		s.out = append(s.out, OrderOut{v.Token, s.order(v.Order)})
	case WorkIn:
		s.work(v)
	case WorkQuit:
		for i, j := range s.jobs {
			if j.Token == v.Token {
				s.jobs = append(s.jobs[:i:i], s.jobs[i+1:]...)
				s.tally.Quit++
				break
			}
		}
	case protocol.Told:
		s.pulled(v)
	case protocol.Beat:
		if now >= s.next {
			s.next = now.Add(s.o.Step * clock.Span(1+s.slow))
			s.batch()
		}
	}
	return s.out
}

// Slow makes every decode step take n times longer.
func (s *Server) Slow(n int) { s.slow = n }

func (s *Server) used() int {
	n := 0
	for _, h := range s.held {
		n += h.Size
	}
	return n
}

func (s *Server) report(drop failure.Kind) protocol.Report {
	r := protocol.Report{Server: s.o.ID, Inc: s.o.Inc, Duty: s.duty, Num: s.num, Room: s.o.Room, Slots: s.o.Slots, Drop: drop, Held: []protocol.Held{}}
	for _, k := range generic.SortedKeys(s.held) {
		h := s.held[k]
		x := h.Held
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

// order obeys only orders that are newer than the last one, by duty and number.
func (s *Server) order(o protocol.Order) protocol.Report {
	if o.Duty < s.duty || o.Duty == s.duty && o.Num <= s.num {
		s.tally.Stale++
		return s.report(failure.Stale)
	}
	s.duty, s.num = o.Duty, o.Num
	if o.Op != "" && o.Inc != s.o.Inc {
		return s.report(failure.Mismatch)
	}
	switch o.Op {
	case "":
	case "load":
		if s.held[o.Key] != nil {
			break
		}
		if s.used()+o.Size > s.o.Room {
			s.tally.NoRoom++
			return s.report(failure.NoRoom)
		}
		s.tally.Loads++
		s.held[o.Key] = &held{Held: protocol.Held{Key: o.Key, Size: o.Size, Stage: "loading"}, since: s.now}
		s.token++
		s.pulls[s.token] = o.Key
		s.out = append(s.out, protocol.Ask{Token: s.token, Addr: s.o.Store, Path: "/pull", Body: Pull{Server: s.o.ID, Key: o.Key, Size: o.Size}, Wait: s.o.Pull})
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

func (s *Server) pulled(t protocol.Told) {
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

func (s *Server) drop(t uint64, k failure.Kind) {
	s.tally.Dropped++
	s.tally.DropKinds[k]++
	s.out = append(s.out, WorkDrop{t, k})
}

func (s *Server) work(v WorkIn) {
	// What was sent long after its sender last looked may no longer be meant for this server.
	if v.Since != 0 && s.now.Sub(v.Since) > s.o.Whole {
		s.drop(v.Token, failure.Late)
		return
	}
	k := ident.KeyOf(v.Work.Base, v.Work.Extra)
	h, b := s.held[k], s.held[k.Base()]
	if v.Work.Inc != s.o.Inc || h == nil || b == nil || h.Stage != "ready" || b.Stage != "ready" {
		s.drop(v.Token, failure.Mismatch)
		return
	}
	if len(s.jobs) >= 3*s.o.Slots {
		s.drop(v.Token, failure.Busy)
		return
	}
	if s.ran[v.Work.ID] && v.Work.Once {
		s.drop(v.Token, failure.Repeated)
		return
	}
	if v.Work.Once {
		s.ran[v.Work.ID] = true
		if s.ranIn = append(s.ranIn, v.Work.ID); len(s.ranIn) > 100_000 {
			delete(s.ran, s.ranIn[0])
			s.ranIn = s.ranIn[1:]
		}
	}
	s.tally.Works++
	j := &job{WorkIn: v, key: k, fill: len(v.Work.Prompt)}
	path := string(k)
	for _, p := range v.Work.Parts {
		path += "|" + p
		h := fnv.New64a()
		fmt.Fprint(h, path)
		path = fmt.Sprintf("%x", h.Sum64())
		if _, ok := s.cache[path]; ok {
			j.hit += len(p)
		} else {
			j.fill += len(p)
		}
		s.cache[path] = s.now
	}
	for len(s.cache) > s.o.Cache {
		old := ""
		for p, t := range s.cache {
			if old == "" || t < s.cache[old] || t == s.cache[old] && p < old {
				old = p
			}
		}
		delete(s.cache, old)
	}
	s.tally.PromptBytes += uint64(j.fill + j.hit)
	s.tally.Reused += uint64(j.hit)
	s.jobs = append(s.jobs, j)
	if s.now.Sub(h.since) < 1e9 {
		n := 0
		for _, x := range s.jobs {
			if x.key == k {
				n++
			}
		}
		s.tally.PeakCold = max(s.tally.PeakCold, n)
	}
}

// Word is the text that a server answers with at place n: anyone can check that an answer
// is this request's own.
func Word(id, base, extra string, n int) string {
	h := fnv.New32a()
	fmt.Fprint(h, id, "|", base, "|", extra, "|", n)
	return fmt.Sprintf("w%08x", h.Sum32())
}

// batch is one step of the server: some prefill, and one token for all that are decoding.
func (s *Server) batch() {
	fill := s.o.Fill
	var left []*job
	for i, j := range s.jobs {
		if i >= s.o.Slots {
			left = append(left, j)
			continue
		}
		if j.fill > 0 {
			n := min(fill, j.fill)
			j.fill -= n
			fill -= n
			if j.fill > 0 {
				left = append(left, j)
				continue
			}
		}
		w := j.Work
		e := Event{Token: j.Token, N: j.n, Go: w.Go, Server: s.o.ID, Text: Word(w.ID, w.Base, w.Extra, j.n)}
		if j.n == 0 {
			e.Reused = j.hit
		}
		if j.n >= w.Max {
			e.Text, e.Done = "", true
			s.tally.Done++
		} else {
			left = append(left, j)
		}
		j.n++
		s.out = append(s.out, e)
	}
	s.jobs = left
}

// Counts gives the tally so far.
func (s *Server) Counts() ServerTally { return s.tally }

// Since tells for how long the server has held a key ready, on its own clock.
func (s *Server) Since(k ident.Key) (clock.Span, bool) {
	h := s.held[k]
	if h == nil || h.Stage != "ready" {
		return 0, false
	}
	return s.now.Sub(h.since), true
}

// Holds lists what the server holds, for checkers.
func (s *Server) Holds() map[ident.Key]protocol.Held {
	m := map[ident.Key]protocol.Held{}
	for k, h := range s.held {
		m[k] = h.Held
	}
	return m
}

// Active tells how many requests are under way.
func (s *Server) Active() int { return len(s.jobs) }

// Used tells how much room is taken.
func (s *Server) Used() int { return s.used() }
