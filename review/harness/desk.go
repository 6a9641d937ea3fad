package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// freeDelay is how long a place stays taken after the connection of its request has closed.
const freeDelay = 200 * time.Millisecond

// runState is what a desk did with a request, as far as it got.
type runState struct {
	arrived, began, ended time.Time
	dropped               bool // the connection closed first
	runs                  int  // how often the desk began to work on it
}

// desk is a sound stand-in for a server of a plain service. It works on capacity requests at once, keeps a few more in a
// queue, and drops a request when its connection closes.
type desk struct {
	fleet    *fleet
	id       string
	service  string
	address  string
	zone     string
	capacity int
	queue    int
	work     time.Duration
	record   *record
	lose     func(id string) bool // whether the answer to a request is lost by a reset after it ran; none if nil
	full     func(id string) bool // whether a request is turned away as if every place were taken; none if nil

	mu      sync.Mutex // guards the rest
	calls   uint64
	waiting int
	states  map[string]*runState
	places  chan struct{}
	server  *http.Server
	stopped chan struct{}
}

// start listens and begins to announce the desk.
func (d *desk) start() error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.states, d.places, d.stopped = map[string]*runState{}, make(chan struct{}, d.capacity), make(chan struct{})
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	go func() {
		for {
			d.announce()
			select {
			case <-d.stopped:
				return
			case <-time.After(announceInterval):
			}
		}
	}()
	return nil
}

// stop ends the desk.
func (d *desk) stop() {
	close(d.stopped)
	_ = d.server.Close()
}

// announce sends the desk's state to one core machine after another until one acknowledges it.
func (d *desk) announce() {
	d.mu.Lock()
	d.calls++
	a := peer.Announcement{Service: d.service, Address: d.address, Zone: d.zone, Revision: "v1", Capacity: d.capacity, Condition: peer.Steady, Calls: d.calls}
	d.mu.Unlock()
	raw, _ := json.Marshal(a)
	client := http.Client{Timeout: time.Second}
	for _, m := range d.fleet.controllers {
		request, err := http.NewRequest(http.MethodPut, "http://"+hostPort(m.ip, portControl)+peer.PathServers+d.id, bytes.NewReader(raw))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return
		}
	}
}

// state returns a copy of what the desk did with a request.
func (d *desk) state(id string) runState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.states[id]; s != nil {
		return *s
	}
	return runState{}
}

// total returns how many requests the desk has begun to work on.
func (d *desk) total() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.states {
		n += s.runs
	}
	return n
}

func (d *desk) change(id string, change func(s *runState)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.states[id] == nil {
		d.states[id] = &runState{}
	}
	change(d.states[id])
}

// enterQueue reports whether there is a place in the queue, and takes it.
func (d *desk) enterQueue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting >= d.capacity+d.queue {
		return false
	}
	d.waiting++
	return true
}

func (d *desk) leaveQueue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting--
}

// ServeHTTP answers probes and requests.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == peer.PathHealth {
		w.Header().Set(peer.HeaderServerID, d.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(peer.HeaderID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(peer.HeaderID, id)
	if target := r.Header.Get(peer.HeaderServer); target != "" && target != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	turnedAway := d.full != nil && d.full(id)
	if turnedAway || !d.enterQueue() {
		d.record.add("%s turns %s away as full", d.id, id)
		w.Header().Set(peer.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer d.leaveQueue()
	d.change(id, func(s *runState) { s.arrived = time.Now() })
	d.record.add("%s takes %s (%d bytes), %s ms left", d.id, id, len(body), r.Header.Get(peer.HeaderRemaining))
	if !d.runs(r, id) {
		d.change(id, func(s *runState) { s.dropped = true })
		return
	}
	if d.lose != nil && d.lose(id) {
		d.record.add("%s loses the answer to %s", d.id, id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(peer.HeaderSeal, "seal."+d.id+"."+id)
	_, _ = io.WriteString(w, "done "+id)
	d.record.add("%s answers %s", d.id, id)
}

// runs works on a request once there is a place, and reports whether the work ended before the connection closed.
func (d *desk) runs(r *http.Request, id string) bool {
	select {
	case d.places <- struct{}{}:
	case <-r.Context().Done():
		d.record.add("%s: the connection of %s closed while it waited in the queue; it never ran", d.id, id)
		return false
	}
	defer func() {
		if r.Context().Err() != nil {
			time.Sleep(freeDelay)
		}
		<-d.places
	}()
	d.change(id, func(s *runState) {
		s.began = time.Now()
		s.runs++
	})
	d.record.add("%s begins to work on %s", d.id, id)
	select {
	case <-time.After(d.work):
	case <-r.Context().Done():
		d.record.add("%s: the connection of %s closed while it ran", d.id, id)
		return false
	}
	d.change(id, func(s *runState) { s.ended = time.Now() })
	return true
}
