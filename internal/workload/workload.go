// Package workload sums the load reports of the routers by model and by base. Each report replaces the previous one
// of its session, and reading a sum does not iterate over sessions. The package performs no I/O and reads no clock.
package workload

import (
	"container/list"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Waiting is the number of requests that wait for a key in all active sessions, and the highest value among them.
type Waiting struct {
	Requests int
	Value    int
}

// BaseSums counts the requests for a base and its adapters in all sessions.
type BaseSums struct {
	Waiting int
	Running int
}

// Index maintains the sums over the newest report of each session. It is not safe for concurrent use.
type Index struct {
	reports map[protocol.Session]*report
	keys    map[ident.Key]*keySums
	bases   map[ident.Key]BaseSums
	active  *list.List // reports of active sessions, least recently heard first
}

// report is the newest report of a session.
type report struct {
	loads     map[ident.Key]protocol.KeyLoad
	lastHeard clock.Instant
	element   *list.Element // position in Index.active; nil if the session is inactive and its waiting requests are not counted
}

// keySums holds the sums for one key.
type keySums struct {
	outstanding int // waiting and running requests
	waiting     int // waiting requests of active sessions
	values      []valueCount
	sessions    int // sessions that report the key
}

// valueCount counts the sessions whose waiting requests have the given highest value.
type valueCount struct{ value, sessions int }

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{reports: map[protocol.Session]*report{}, keys: map[ident.Key]*keySums{}, bases: map[ident.Key]BaseSums{}, active: list.New()}
}

// Report replaces a session's report. The caller must not modify the map afterwards.
func (x *Index) Report(session protocol.Session, loads map[ident.Key]protocol.KeyLoad, now clock.Instant) {
	x.Forget(session)
	if len(loads) == 0 {
		return
	}
	r := &report{loads: loads, lastHeard: now}
	r.element = x.active.PushBack(r)
	x.reports[session] = r
	for key, b := range loads {
		x.addKey(key, b)
		x.addBase(key.Base(), b.Waiting, b.Running)
	}
}

// MarkActive marks a session as active without changing its report.
func (x *Index) MarkActive(session protocol.Session, now clock.Instant) {
	r := x.reports[session]
	if r == nil {
		return
	}
	r.lastHeard = now
	if r.element != nil {
		x.active.MoveToBack(r.element)
		return
	}
	r.element = x.active.PushBack(r)
	for key, b := range r.loads {
		x.keys[key].addWaiting(b)
	}
}

// Expire marks sessions last heard before the given time as inactive. Their waiting requests are not counted until
// they are heard again.
func (x *Index) Expire(before clock.Instant) {
	for oldest := x.active.Front(); oldest != nil && oldest.Value.(*report).lastHeard < before; oldest = x.active.Front() {
		r := oldest.Value.(*report)
		x.active.Remove(oldest)
		r.element = nil
		for key, b := range r.loads {
			x.keys[key].removeWaiting(b)
		}
	}
}

// Forget removes a session's report.
func (x *Index) Forget(session protocol.Session) {
	r := x.reports[session]
	if r == nil {
		return
	}
	delete(x.reports, session)
	if r.element != nil {
		x.active.Remove(r.element)
	}
	for key, b := range r.loads {
		x.removeKey(key, b, r.element == nil)
		x.addBase(key.Base(), -b.Waiting, -b.Running)
	}
}

// Waiting returns the requests that wait for a key.
func (x *Index) Waiting(key ident.Key) Waiting {
	sums := x.keys[key]
	if sums == nil {
		return Waiting{}
	}
	return Waiting{Requests: sums.waiting, Value: sums.highest()}
}

// Outstanding returns the number of waiting and running requests for a key.
func (x *Index) Outstanding(key ident.Key) int {
	if sums := x.keys[key]; sums != nil {
		return sums.outstanding
	}
	return 0
}

// OfBase returns the sums for a base and its adapters.
func (x *Index) OfBase(base ident.Key) BaseSums { return x.bases[base] }

func (x *Index) addKey(key ident.Key, b protocol.KeyLoad) {
	sums := x.keys[key]
	if sums == nil {
		sums = &keySums{}
		x.keys[key] = sums
	}
	sums.sessions++
	sums.outstanding += b.Waiting + b.Running
	sums.addWaiting(b)
}

func (x *Index) removeKey(key ident.Key, b protocol.KeyLoad, inactive bool) {
	sums := x.keys[key]
	if sums.sessions--; sums.sessions == 0 {
		delete(x.keys, key)
		return
	}
	sums.outstanding -= b.Waiting + b.Running
	if !inactive {
		sums.removeWaiting(b)
	}
}

func (x *Index) addBase(base ident.Key, waiting, running int) {
	sums := x.bases[base]
	sums.Waiting += waiting
	sums.Running += running
	if sums == (BaseSums{}) {
		delete(x.bases, base)
		return
	}
	x.bases[base] = sums
}

// addWaiting adds the waiting requests of a report.
func (s *keySums) addWaiting(b protocol.KeyLoad) {
	if b.Waiting <= 0 {
		return
	}
	s.waiting += b.Waiting
	for i := range s.values {
		if s.values[i].value == b.TopValue {
			s.values[i].sessions++
			return
		}
	}
	s.values = append(s.values, valueCount{value: b.TopValue, sessions: 1})
}

// removeWaiting subtracts the waiting requests of a report.
func (s *keySums) removeWaiting(b protocol.KeyLoad) {
	if b.Waiting <= 0 {
		return
	}
	s.waiting -= b.Waiting
	for i := range s.values {
		if s.values[i].value != b.TopValue {
			continue
		}
		if s.values[i].sessions--; s.values[i].sessions == 0 {
			s.values[i] = s.values[len(s.values)-1]
			s.values = s.values[:len(s.values)-1]
		}
		return
	}
}

// highest returns the highest value among the waiting requests.
func (s *keySums) highest() int {
	highest := 0
	for _, v := range s.values {
		highest = max(highest, v.value)
	}
	return highest
}
