package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// Server is a stand-in for a model server that behaves soundly.
type Server struct {
	fleet   *Fleet
	ID      string
	ip      string
	Service string
	Slots   int
	Load    time.Duration // time that an order takes
	First   time.Duration // time to the first event
	Gap     time.Duration // time between events
	Events  int

	mu     sync.Mutex // guards the rest
	held   map[string]map[string]bool
	orders uint64
	beats  uint64
	busy   bool
	active int
	runs   []Run
	http   *http.Server
	stop   context.CancelFunc
}

// NewServer returns a server at the fleet's address with the given last byte, which holds the given models.
func (f *Fleet) NewServer(last int, service string, models ...string) *Server {
	s := &Server{fleet: f, ID: fmt.Sprintf("i-%s-%d", service, last), ip: f.ip(last), Service: service, Slots: 64, held: map[string]map[string]bool{},
		Load: 1500 * time.Millisecond, First: 70 * time.Millisecond, Gap: 25 * time.Millisecond, Events: 8}
	for _, m := range models {
		s.held[m] = map[string]bool{}
	}
	return s
}

// Start starts to serve and to announce.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", at(s.ip, portServer))
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 5 * time.Second}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { _ = s.http.Serve(l) }()
	go s.announce(ctx)
	return nil
}

// Stop ends the server.
func (s *Server) Stop() {
	s.stop()
	_ = s.http.Close()
}

// announce announces the server about every 1.2 s to one core machine after another until one acknowledges.
func (s *Server) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		s.mu.Lock()
		s.beats++
		raw, _ := json.Marshal(peer.Announcement{Service: s.Service, Address: at(s.ip, portServer), Zone: zones[int(s.ID[len(s.ID)-1])%len(zones)], Revision: "v1",
			Capacity: s.Slots, Condition: peer.Steady, Phase: "combined", Models: s.models(), Calls: s.beats})
		s.mu.Unlock()
		cores := s.fleet.WithRole("controller")
		for i, first := 0, rand.IntN(len(cores)); i < len(cores); i++ {
			request, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+cores[(first+i)%len(cores)].Control()+peer.PathServers+s.ID, bytes.NewReader(raw))
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				break
			}
		}
		time.Sleep(1100*time.Millisecond + time.Duration(rand.IntN(200))*time.Millisecond)
	}
}

// models lists what the server holds. The caller holds the lock.
func (s *Server) models() []peer.Model {
	l := []peer.Model{}
	for m, extra := range s.held {
		deltas := []string{}
		for d := range extra {
			deltas = append(deltas, d)
		}
		l = append(l, peer.Model{Label: m, Revision: 1, Deltas: deltas})
	}
	return l
}

// ServeHTTP answers reports, orders, probes and requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case peer.PathReport:
		s.mu.Lock()
		raw, _ := json.Marshal(peer.Report{Phase: "combined", Models: s.models(), Saturated: s.busy, Calls: s.orders, Active: s.active})
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	case peer.PathOrder:
		s.order(w, r)
	case peer.PathHealth:
		w.Header().Set(peer.HeaderServerID, s.ID)
	default:
		s.request(w, r)
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	o, err := peer.ReadOrder(raw)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get(peer.HeaderServer); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	extra, base := s.held[o.Base]
	has := base && (o.Delta == "" || extra[o.Delta])
	switch {
	case s.busy || o.Expected != nil && *o.Expected != s.orders:
		w.WriteHeader(http.StatusConflict)
	case has == (o.Operation == peer.Load):
		w.WriteHeader(http.StatusOK)
	case o.Delta != "" && !base:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		s.orders++
		s.busy = true
		wait := s.Load
		if o.Delta != "" || o.Operation == peer.Unload {
			wait = 10 * time.Millisecond
		}
		time.AfterFunc(wait, func() { s.done(o) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *Server) done(o peer.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	switch {
	case o.Operation == peer.Load && o.Delta == "":
		s.held[o.Base] = map[string]bool{}
	case o.Operation == peer.Load:
		if s.held[o.Base] != nil {
			s.held[o.Base][o.Delta] = true
		}
	case o.Delta == "":
		delete(s.held, o.Base)
	default:
		delete(s.held[o.Base], o.Delta)
	}
}

// admit takes a slot, or answers that the request was not run.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, id string) bool {
	model, extra, _ := strings.Cut(r.Header.Get(peer.HeaderModel), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	deltas, base := s.held[model]
	status := 0
	switch target := r.Header.Get(peer.HeaderServer); {
	case target != "" && target != s.ID, model != "" && (!base || extra != "" && !deltas[extra]):
		status = http.StatusMisdirectedRequest
	case s.active >= s.Slots:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		w.Header().Set(peer.HeaderNotExecuted, "1")
		w.WriteHeader(status)
		s.fleet.Record.Printf("%s declines %s with %d", s.ID, id, status)
		return false
	}
	s.active++
	s.runs = append(s.runs, Run{id, r.RemoteAddr, time.Now()})
	return true
}

// request runs a request and answers with a stream of events.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(peer.HeaderID)
	w.Header().Set(peer.HeaderID, id)
	if _, err := io.ReadAll(r.Body); err != nil || !s.admit(w, r, id) {
		return
	}
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	s.fleet.Record.Printf("%s runs %s, sent on by %s", s.ID, id, r.RemoteAddr)
	w.Header().Set(peer.HeaderSeal, "seal."+s.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	pause := s.First
	for n := range s.Events {
		select {
		case <-r.Context().Done():
			s.fleet.Record.Printf("%s: the run of %s is broken off after %d events", s.ID, id, n)
			return
		case <-time.After(pause):
		}
		_, _ = io.WriteString(w, peer.Event(uint64(n+1), id))
		_ = http.NewResponseController(w).Flush()
		pause = s.Gap
	}
	s.fleet.Record.Printf("%s has answered %s", s.ID, id)
}

// Leave ends the server as planned: it announces its end first, serves on for a time after the acknowledgement, and
// ends. It returns when the end was acknowledged.
func (s *Server) Leave(serveOn time.Duration) (acked time.Time, ok bool) {
	s.stop() // no further announcement
	time.Sleep(50 * time.Millisecond)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 12 {
		for _, core := range s.fleet.WithRole("controller") {
			request, _ := http.NewRequest(http.MethodDelete, "http://"+core.Control()+peer.PathServers+s.ID, nil)
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			s.fleet.Record.Printf("%s sends DELETE to %s: status %d", s.ID, core.Name, response.StatusCode)
			if response.StatusCode/100 == 2 {
				acked = time.Now()
				time.AfterFunc(serveOn, func() {
					s.fleet.Record.Printf("%s ends", s.ID)
					_ = s.http.Close()
				})
				return acked, true
			}
		}
	}
	return acked, false
}

// Runs returns when the server began to run requests, with the address that sent each on.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Run is the beginning of a run.
type Run struct {
	ID   string
	From string
	At   time.Time
}
