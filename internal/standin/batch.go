package standin

import (
	"net/http"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// BatchOptions configure a stand-in batch server that announces itself and does not check fencing tokens.
type BatchOptions struct {
	ID      ident.Server
	Service string
	Plain   bool // the server holds no models and accepts no orders
	Slots   int
	Room    int
	Places  int        // adapters that fit
	Step    clock.Span // interval between two decode steps of a nearly empty batch
	Fill    int        // prompt bytes prefilled in one decode step
	Lag     clock.Span // age of reports
	Held    []ident.Key
	Disk    map[ident.Key]bool // models that were loaded in this incarnation or an earlier one
	Weight  func(ident.Key) int
	Load    func(k ident.Key, disk bool) clock.Span // duration of a load that begins now
}

// BatchOrder is a received order or, without an operation, a request for the report.
type BatchOrder struct {
	Token uint64
	Order protocol.Order
}

// BatchAnswer answers a BatchOrder. Over reports that the order exceeds the room or the places.
type BatchAnswer struct {
	Token  uint64
	Code   int
	Over   bool
	Report protocol.Report
}

// LoadDone reports that a load has finished.
type LoadDone struct{ Key ident.Key }

// reported is a report with the time when it was made.
type reported struct {
	at clock.Tick
	r  protocol.Report
}

// Batch is a stand-in batch server that announces itself. It does no I/O. It numbers the orders that it accepts and carries
// out one at a time.
type Batch struct {
	o     BatchOptions
	now   clock.Tick
	out   []any
	held  map[ident.Key]clock.Tick // time when the key became ready
	op    *protocol.Order          // order in progress
	ready clock.Tick               // time when its load ends
	num   uint64
	past  []reported
	jobs  []*job
	next  clock.Tick
	tally ServerTally
}

// NewBatch creates a stand-in batch server.
func NewBatch(o BatchOptions) *Batch {
	generic.SetDefault(&o.Step, 20e6)
	generic.SetDefault(&o.Fill, 4000)
	generic.SetDefault(&o.Slots, 16)
	generic.SetDefault(&o.Lag, 200e6)
	s := &Batch{o: o, held: map[ident.Key]clock.Tick{}, tally: ServerTally{DropKinds: map[failure.Kind]uint64{}}}
	for _, k := range o.Held {
		s.held[k] = 0
		s.o.Disk[k] = true
	}
	return s
}

// Step processes one input and returns the outputs to carry out.
func (s *Batch) Step(now clock.Tick, in any) []any {
	s.now, s.out = now, nil
	s.settle()
	switch v := in.(type) {
	case BatchOrder:
		if v.Order.Op == "" {
			s.out = append(s.out, BatchAnswer{Token: v.Token, Code: http.StatusOK, Report: s.late()})
			break
		}
		code, over := s.order(v.Order)
		s.out = append(s.out, BatchAnswer{Token: v.Token, Code: code, Over: over})
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
	case protocol.Beat:
		if now >= s.next {
			n := clock.Span(min(len(s.jobs), s.o.Slots))
			s.next = now.Add(s.o.Step + s.o.Step*n/clock.Span(s.o.Slots))
			s.batch()
		}
	}
	s.settle()
	s.keep()
	return s.out
}

// settle finishes the order in progress once its conditions are met.
func (s *Batch) settle() {
	if s.op == nil || s.now < s.ready {
		return
	}
	k := s.op.Key
	if s.op.Op == "load" {
		s.held[k], s.o.Disk[k] = s.now, true
		s.op = nil
		s.out = append(s.out, LoadDone{k})
		return
	}
	var left []*job
	runs := false
	for i, j := range s.jobs {
		switch {
		case j.key != k && (k.IsAdapter() || j.key.Base() != k):
			left = append(left, j)
		case i < s.o.Slots || j.n > 0:
			runs = true
			left = append(left, j)
		default:
			s.drop(j.Token, failure.Busy) // not started
		}
	}
	s.jobs = left
	if runs {
		return // an unload waits for the running requests of its model
	}
	for x := range s.held {
		if x == k || !k.IsAdapter() && x.Base() == k {
			delete(s.held, x)
		}
	}
	s.tally.Unloads++
	s.op = nil
}

func (s *Batch) used() (room, places int) {
	for k := range s.held {
		room += s.o.Weight(k)
		if k.IsAdapter() {
			places++
		}
	}
	return room, places
}

func (s *Batch) order(o protocol.Order) (code int, over bool) {
	_, has := s.held[o.Key]
	_, base := s.held[o.Key.Base()]
	switch {
	case s.o.Plain || o.Owner == "" || o.Duty == 0 || o.Key.Service() != s.o.Service || o.Op != "load" && o.Op != "unload":
		return http.StatusBadRequest, false
	case o.Expected != s.num || s.op != nil:
		s.tally.Stale++
		return http.StatusConflict, false
	case o.Op == "load" && has || o.Op == "unload" && !has:
		return http.StatusOK, false
	case o.Op == "load" && o.Key.IsAdapter() && !base:
		return http.StatusBadRequest, false
	}
	room, places := s.used()
	s.num++
	s.op, s.ready = &o, s.now
	if o.Op == "load" {
		over = room+s.o.Weight(o.Key) > s.o.Room || o.Key.IsAdapter() && s.o.Places > 0 && places >= s.o.Places
		s.tally.Loads++
		s.ready = s.now.Add(s.o.Load(o.Key, s.o.Disk[o.Key]))
	}
	return http.StatusAccepted, over
}

func (s *Batch) report() protocol.Report {
	r := protocol.Report{Server: s.o.ID, Num: s.num, Busy: s.op != nil, Held: []protocol.Held{}}
	for _, k := range generic.SortedKeys(s.held) {
		r.Held = append(r.Held, protocol.Held{Key: k, Stage: "ready"})
	}
	return r
}

// keep records the current report and discards records that are older than the lag requires.
func (s *Batch) keep() {
	s.past = append(s.past, reported{s.now, s.report()})
	for len(s.past) > 1 && s.now.Sub(s.past[1].at) >= s.o.Lag {
		s.past = s.past[1:]
	}
}

// late returns the report as it was one lag ago.
func (s *Batch) late() protocol.Report {
	r := s.report()
	if len(s.past) > 0 {
		r = s.past[0].r
	}
	for _, x := range s.past {
		if s.now.Sub(x.at) >= s.o.Lag {
			r = x.r
		}
	}
	return r
}

func (s *Batch) drop(t uint64, k failure.Kind) {
	s.tally.Dropped++
	s.tally.DropKinds[k]++
	s.out = append(s.out, WorkDrop{t, k})
}

func (s *Batch) work(v WorkIn) {
	k := ident.KeyOf(v.Work.Base, v.Work.Extra).In(s.o.Service)
	if s.o.Plain || v.Work.Base == "" {
		k = ident.ServiceKey(s.o.Service) // the request needs no model
	} else if _, ok := s.held[k]; !ok {
		s.drop(v.Token, failure.Mismatch)
		return
	}
	unloading := s.op != nil && s.op.Op == "unload" && (s.op.Key == k || s.op.Key == k.Base())
	if unloading || len(s.jobs) >= s.o.Slots+max(2, s.o.Slots/4) {
		s.drop(v.Token, failure.Busy)
		return
	}
	s.tally.Works++
	n := len(v.Work.Prompt)
	for _, p := range v.Work.Parts {
		n += len(p)
	}
	s.tally.PromptBytes += uint64(n)
	s.jobs = append(s.jobs, &job{WorkIn: v, key: k, fill: n})
}

// batch runs one decode step: it prefills up to the limit and generates one token for every decoding request.
func (s *Batch) batch() {
	fill := s.o.Fill
	var left []*job
	for i, j := range s.jobs {
		if i >= s.o.Slots {
			left = append(left, j)
			continue
		}
		if n := min(fill, j.fill); j.fill > 0 {
			j.fill -= n
			fill -= n
			if j.fill > 0 {
				left = append(left, j)
				continue
			}
		}
		work := j.Work
		event := Event{Token: j.Token, N: j.n, Go: work.Go, Server: s.o.ID, Text: Word(work.ID, work.Base, work.Extra, j.n)}
		if j.n >= work.Max {
			event.Text, event.Done = "", true
			s.tally.Done++
		} else {
			left = append(left, j)
		}
		j.n++
		s.out = append(s.out, event)
	}
	s.jobs = left
}

// Counts returns the counters.
func (s *Batch) Counts() ServerTally { return s.tally }

// Keys returns the models and adapters that the server holds ready.
func (s *Batch) Keys() []ident.Key { return generic.SortedKeys(s.held) }

// Active returns the number of requests that wait or run.
func (s *Batch) Active() int { return len(s.jobs) }
