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
	ID        ident.Server
	Service   string
	Plain     bool // the server holds no models and accepts no orders
	Slots     int
	Room      int
	Places    int        // adapters that fit
	Step      clock.Span // interval between two decode steps of a nearly empty batch
	Fill      int        // prompt bytes prefilled in one decode step
	ReportLag clock.Span // age of reports
	Held      []ident.Key
	Disk      map[ident.Key]bool // models that were loaded in this incarnation or an earlier one
	Weight    func(ident.Key) int
	Load      func(k ident.Key, disk bool) clock.Span // duration of a load that begins now
}

// BatchOrder is a received order or, without an operation, a request for the report.
type BatchOrder struct {
	Token uint64
	Order protocol.Order
}

// BatchAnswer answers a BatchOrder. OverCapacity reports that the order exceeds the room or the places.
type BatchAnswer struct {
	Token        uint64
	Code         int
	OverCapacity bool
	Report       protocol.ServerReport
}

// LoadDone reports that a load has finished.
type LoadDone struct{ Key ident.Key }

// pastReport is a report with the time when it was made.
type pastReport struct {
	at     clock.Instant
	report protocol.ServerReport
}

// Batch is a stand-in batch server that announces itself. It does no I/O. It numbers the orders that it accepts and carries
// out one at a time.
type Batch struct {
	options  BatchOptions
	now      clock.Instant
	out      []any
	held     map[ident.Key]clock.Instant // time when the key became ready
	current  *protocol.Order             // order in progress
	ready    clock.Instant               // time when its load ends
	orders   uint64
	reports  []pastReport
	jobs     []*job
	nextStep clock.Instant
	tally    ServerTally
}

// NewBatch creates a stand-in batch server.
func NewBatch(o BatchOptions) *Batch {
	generic.SetDefault(&o.Step, 20e6)
	generic.SetDefault(&o.Fill, 4000)
	generic.SetDefault(&o.Slots, 16)
	generic.SetDefault(&o.ReportLag, 200e6)
	s := &Batch{options: o, held: map[ident.Key]clock.Instant{}, tally: ServerTally{DropKinds: map[failure.Kind]uint64{}}}
	for _, k := range o.Held {
		s.held[k] = 0
		s.options.Disk[k] = true
	}
	return s
}

// Step processes one input and returns the outputs to carry out.
func (s *Batch) Step(now clock.Instant, in any) []any {
	s.now, s.out = now, nil
	s.finishOrder()
	switch v := in.(type) {
	case BatchOrder:
		if v.Order.Op == "" {
			s.out = append(s.out, BatchAnswer{Token: v.Token, Code: http.StatusOK, Report: s.delayedReport()})
			break
		}
		code, over := s.acceptOrder(v.Order)
		s.out = append(s.out, BatchAnswer{Token: v.Token, Code: code, OverCapacity: over})
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
	case protocol.TimerTick:
		if now >= s.nextStep {
			n := clock.Span(min(len(s.jobs), s.options.Slots))
			s.nextStep = now.Add(s.options.Step + s.options.Step*n/clock.Span(s.options.Slots))
			s.decodeStep()
		}
	}
	s.finishOrder()
	s.recordReport()
	return s.out
}

// finishOrder finishes the order in progress once its conditions are met.
func (s *Batch) finishOrder() {
	if s.current == nil || s.now < s.ready {
		return
	}
	k := s.current.Key
	if s.current.Op == "load" {
		s.held[k], s.options.Disk[k] = s.now, true
		s.current = nil
		s.out = append(s.out, LoadDone{k})
		return
	}
	var left []*job
	runs := false
	for i, j := range s.jobs {
		switch {
		case j.key != k && (k.IsAdapter() || j.key.Base() != k):
			left = append(left, j)
		case i < s.options.Slots || j.sent > 0:
			runs = true
			left = append(left, j)
		default:
			s.refuse(j.Token, failure.Busy) // not started
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
	s.current = nil
}

func (s *Batch) used() (room, places int) {
	for k := range s.held {
		room += s.options.Weight(k)
		if k.IsAdapter() {
			places++
		}
	}
	return room, places
}

func (s *Batch) acceptOrder(o protocol.Order) (code int, over bool) {
	_, has := s.held[o.Key]
	_, base := s.held[o.Key.Base()]
	switch {
	case s.options.Plain || o.Owner == "" || o.Term == 0 || o.Key.Service() != s.options.Service || o.Op != "load" && o.Op != "unload":
		return http.StatusBadRequest, false
	case o.Expected != s.orders || s.current != nil:
		s.tally.Stale++
		return http.StatusConflict, false
	case o.Op == "load" && has || o.Op == "unload" && !has:
		return http.StatusOK, false
	case o.Op == "load" && o.Key.IsAdapter() && !base:
		return http.StatusBadRequest, false
	}
	room, places := s.used()
	s.orders++
	s.current, s.ready = &o, s.now
	if o.Op == "load" {
		over = room+s.options.Weight(o.Key) > s.options.Room || o.Key.IsAdapter() && s.options.Places > 0 && places >= s.options.Places
		s.tally.Loads++
		s.ready = s.now.Add(s.options.Load(o.Key, s.options.Disk[o.Key]))
	}
	return http.StatusAccepted, over
}

func (s *Batch) report() protocol.ServerReport {
	r := protocol.ServerReport{Server: s.options.ID, Num: s.orders, Busy: s.current != nil, Held: []protocol.HeldKey{}}
	for _, k := range generic.SortedKeys(s.held) {
		r.Held = append(r.Held, protocol.HeldKey{Key: k, Stage: "ready"})
	}
	return r
}

// recordReport records the current report and discards records that are older than the lag requires.
func (s *Batch) recordReport() {
	s.reports = append(s.reports, pastReport{s.now, s.report()})
	for len(s.reports) > 1 && s.now.Sub(s.reports[1].at) >= s.options.ReportLag {
		s.reports = s.reports[1:]
	}
}

// delayedReport returns the report as it was one lag ago.
func (s *Batch) delayedReport() protocol.ServerReport {
	r := s.report()
	if len(s.reports) > 0 {
		r = s.reports[0].report
	}
	for _, x := range s.reports {
		if s.now.Sub(x.at) >= s.options.ReportLag {
			r = x.report
		}
	}
	return r
}

func (s *Batch) refuse(t uint64, k failure.Kind) {
	s.tally.Dropped++
	s.tally.DropKinds[k]++
	s.out = append(s.out, WorkDrop{t, k})
}

func (s *Batch) acceptWork(v WorkIn) {
	k := ident.NewKey(v.Work.Model, v.Work.Adapter).InService(s.options.Service)
	if s.options.Plain || v.Work.Model == "" {
		k = ident.ServiceKey(s.options.Service) // the request needs no model
	} else if _, ok := s.held[k]; !ok {
		s.refuse(v.Token, failure.Mismatch)
		return
	}
	unloading := s.current != nil && s.current.Op == "unload" && (s.current.Key == k || s.current.Key == k.Base())
	if unloading || len(s.jobs) >= s.options.Slots+max(2, s.options.Slots/4) {
		s.refuse(v.Token, failure.Busy)
		return
	}
	s.tally.Works++
	n := len(v.Work.Prompt)
	for _, p := range v.Work.Parts {
		n += len(p)
	}
	s.tally.PromptBytes += uint64(n)
	s.jobs = append(s.jobs, &job{WorkIn: v, key: k, prefill: n})
}

// decodeStep runs one decode step: it prefills up to the limit and generates one token for every decoding request.
func (s *Batch) decodeStep() {
	fill := s.options.Fill
	var left []*job
	for i, j := range s.jobs {
		if i >= s.options.Slots {
			left = append(left, j)
			continue
		}
		if n := min(fill, j.prefill); j.prefill > 0 {
			j.prefill -= n
			fill -= n
			if j.prefill > 0 {
				left = append(left, j)
				continue
			}
		}
		work := j.Work
		event := Event{Token: j.Token, N: j.sent, Go: work.AttemptID, Server: s.options.ID, Text: TokenText(work.ID, work.Model, work.Adapter, j.sent)}
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
func (s *Batch) Counts() ServerTally { return s.tally }

// Keys returns the models and adapters that the server holds ready.
func (s *Batch) Keys() []ident.Key { return generic.SortedKeys(s.held) }

// Active returns the number of requests that wait or run.
func (s *Batch) Active() int { return len(s.jobs) }
