// Package workload sums what routers report of the requests that they are asked for, by model and by base. Reports come in
// one session at a time; a sum is read without looking at any session. It does no I/O and reads no clock.
package workload

import (
	"container/list"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Waiting is how many requests wait for a key at all sessions that are not silent, and the highest value among them.
type Waiting struct {
	Requests int
	Value    int
}

// Sums counts the requests of a base and its adapters at all sessions.
type Sums struct {
	Waiting int
	Running int
}

// Index keeps the sums of the newest report of each session. It is not safe for use by two at once.
type Index struct {
	reports map[protocol.Session]*report
	keys    map[ident.Key]*keySums
	bases   map[ident.Key]Sums
	heard   *list.List // reports of sessions that are not silent, that heard longest ago first
}

// report is what a session said last.
type report struct {
	burdens map[ident.Key]protocol.Burden
	heard   clock.Tick
	place   *list.Element // among those that are not silent; nil if the session is: its waiting requests are not counted
}

// keySums counts the requests of one key.
type keySums struct {
	underWay int // that wait or run
	waiting  int // of sessions that are not silent
	values   []valueCount
	sessions int // that name the key
}

// valueCount counts the sessions whose waiting requests have a highest value.
type valueCount struct{ value, sessions int }

// NewIndex makes an index without reports.
func NewIndex() *Index {
	return &Index{reports: map[protocol.Session]*report{}, keys: map[ident.Key]*keySums{}, bases: map[ident.Key]Sums{}, heard: list.New()}
}

// Report takes a session's newest report in place of the one before. The caller does not change the map afterwards.
func (x *Index) Report(session protocol.Session, burdens map[ident.Key]protocol.Burden, now clock.Tick) {
	x.Forget(session)
	if len(burdens) == 0 {
		return
	}
	r := &report{burdens: burdens, heard: now}
	r.place = x.heard.PushBack(r)
	x.reports[session] = r
	for key, b := range burdens {
		x.addKey(key, b)
		x.addBase(key.Base(), b.Wait, b.Work)
	}
}

// Heard notes that a session is not silent, whatever it says.
func (x *Index) Heard(session protocol.Session, now clock.Tick) {
	r := x.reports[session]
	if r == nil {
		return
	}
	r.heard = now
	if r.place != nil {
		x.heard.MoveToBack(r.place)
		return
	}
	r.place = x.heard.PushBack(r)
	for key, b := range r.burdens {
		x.keys[key].wait(b)
	}
}

// Expire takes sessions for silent that were last heard before a moment: their waiting requests are counted no longer, until
// they are heard again.
func (x *Index) Expire(before clock.Tick) {
	for first := x.heard.Front(); first != nil && first.Value.(*report).heard < before; first = x.heard.Front() {
		r := first.Value.(*report)
		x.heard.Remove(first)
		r.place = nil
		for key, b := range r.burdens {
			x.keys[key].stopWaiting(b)
		}
	}
}

// Forget takes out all that a session has reported.
func (x *Index) Forget(session protocol.Session) {
	r := x.reports[session]
	if r == nil {
		return
	}
	delete(x.reports, session)
	if r.place != nil {
		x.heard.Remove(r.place)
	}
	for key, b := range r.burdens {
		x.removeKey(key, b, r.place == nil)
		x.addBase(key.Base(), -b.Wait, -b.Work)
	}
}

// Waiting tells how many requests wait for a key.
func (x *Index) Waiting(key ident.Key) Waiting {
	sums := x.keys[key]
	if sums == nil {
		return Waiting{}
	}
	return Waiting{Requests: sums.waiting, Value: sums.highest()}
}

// UnderWay counts the requests for a key that wait or run.
func (x *Index) UnderWay(key ident.Key) int {
	if sums := x.keys[key]; sums != nil {
		return sums.underWay
	}
	return 0
}

// OfBase counts the requests for a base and its adapters.
func (x *Index) OfBase(base ident.Key) Sums { return x.bases[base] }

func (x *Index) addKey(key ident.Key, b protocol.Burden) {
	sums := x.keys[key]
	if sums == nil {
		sums = &keySums{}
		x.keys[key] = sums
	}
	sums.sessions++
	sums.underWay += b.Wait + b.Work
	sums.wait(b)
}

func (x *Index) removeKey(key ident.Key, b protocol.Burden, silent bool) {
	sums := x.keys[key]
	if sums.sessions--; sums.sessions == 0 {
		delete(x.keys, key)
		return
	}
	sums.underWay -= b.Wait + b.Work
	if !silent {
		sums.stopWaiting(b)
	}
}

func (x *Index) addBase(base ident.Key, waiting, running int) {
	sums := x.bases[base]
	sums.Waiting += waiting
	sums.Running += running
	if sums == (Sums{}) {
		delete(x.bases, base)
		return
	}
	x.bases[base] = sums
}

// wait counts the waiting requests of a report.
func (s *keySums) wait(b protocol.Burden) {
	if b.Wait <= 0 {
		return
	}
	s.waiting += b.Wait
	for i := range s.values {
		if s.values[i].value == b.Top {
			s.values[i].sessions++
			return
		}
	}
	s.values = append(s.values, valueCount{value: b.Top, sessions: 1})
}

// stopWaiting takes the waiting requests of a report out again.
func (s *keySums) stopWaiting(b protocol.Burden) {
	if b.Wait <= 0 {
		return
	}
	s.waiting -= b.Wait
	for i := range s.values {
		if s.values[i].value != b.Top {
			continue
		}
		if s.values[i].sessions--; s.values[i].sessions == 0 {
			s.values[i] = s.values[len(s.values)-1]
			s.values = s.values[:len(s.values)-1]
		}
		return
	}
}

// highest is the highest value among the waiting requests.
func (s *keySums) highest() int {
	highest := 0
	for _, v := range s.values {
		highest = max(highest, v.value)
	}
	return highest
}
