package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// server is a sound stand-in for a server of a plain service: it announces itself, answers probes, and answers each
// request with a stream of events.
type server struct {
	fleet    *fleet
	id       string
	service  string
	address  string
	zone     string
	capacity int
	unframed int // one stream in so many has no length and ends with its connection; none if zero
	events   int
	gap      time.Duration
	record   *record

	mu        sync.Mutex // guards the rest
	calls     uint64
	httpEnd   *http.Server
	stopped   chan struct{}
	nextPlace int
	streams   int
}

// start listens and begins to announce the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.stopped = make(chan struct{})
	s.httpEnd = &http.Server{Handler: s}
	go func() { _ = s.httpEnd.Serve(l) }()
	go s.announceLoop()
	return nil
}

// stop ends the server.
func (s *server) stop() {
	close(s.stopped)
	_ = s.httpEnd.Close()
}

func (s *server) announceLoop() {
	for {
		s.announce(peer.Steady)
		select {
		case <-s.stopped:
			return
		case <-time.After(announceInterval):
		}
	}
}

// announce sends the server's state to one core machine after another until one acknowledges it.
func (s *server) announce(condition string) bool {
	s.mu.Lock()
	s.calls++
	a := peer.Announcement{Service: s.service, Address: s.address, Zone: s.zone, Revision: "v1", Capacity: s.capacity, Condition: condition, Calls: s.calls}
	first := s.nextPlace
	s.mu.Unlock()
	raw, _ := json.Marshal(a)
	client := http.Client{Timeout: time.Second}
	for i := range s.fleet.controllers {
		place := (first + i) % len(s.fleet.controllers)
		request, err := http.NewRequest(http.MethodPut, "http://"+hostPort(s.fleet.controllers[place].ip, portControl)+peer.PathServers+s.id, bytes.NewReader(raw))
		if err != nil {
			return false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			s.mu.Lock()
			s.nextPlace = place
			s.mu.Unlock()
			return true
		}
	}
	return false
}

// endsWithConnection reports whether the next stream is to end with its connection.
func (s *server) endsWithConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	return s.unframed > 0 && s.streams%s.unframed == 0
}

// ServeHTTP answers probes and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == peer.PathHealth {
		w.Header().Set(peer.HeaderServerID, s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(peer.HeaderID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if target := r.Header.Get(peer.HeaderServer); target != "" && target != s.id {
		w.Header().Set(peer.HeaderID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.record.add("%s runs %s", s.id, id)
	if !strings.HasPrefix(r.URL.Path, "/s/") {
		w.Header().Set(peer.HeaderID, id)
		w.Header().Set(peer.HeaderSeal, "seal."+s.id+"."+id)
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	if s.endsWithConnection() {
		s.answerUnframed(w, id)
		return
	}
	w.Header().Set(peer.HeaderID, id)
	w.Header().Set(peer.HeaderSeal, "seal."+s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := 1; n <= s.events; n++ {
		if _, err := io.WriteString(w, eventText(id, n)); err != nil || flush.Flush() != nil {
			s.record.add("%s: connection of %s broke after %d events", s.id, id, n-1)
			return
		}
		time.Sleep(s.gap)
	}
	s.record.add("%s ended %s whole", s.id, id)
}

// answerUnframed answers with HTTP/1.1 and no length: the answer ends when the server closes its sending side in
// order, after every event.
func (s *server) answerUnframed(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", peer.HeaderID, id, peer.HeaderSeal, s.id, id)
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for n := 1; n <= s.events; n++ {
		if _, err := io.WriteString(conn, eventText(id, n)); err != nil {
			s.record.add("%s: connection of %s broke after %d events", s.id, id, n-1)
			return
		}
		time.Sleep(s.gap)
	}
	s.record.add("%s ended %s whole", s.id, id)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // an orderly end, not a reset
		_ = tcp.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, tcp)
	}
}

func eventText(id string, n int) string {
	return peer.Event(uint64(n), fmt.Sprintf("piece %d of %s", n, id))
}

// wholeStream reports whether a body has every event of a request's stream, each once and in order.
func wholeStream(body, id string, events int) bool {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(eventText(id, n))
	}
	return body == b.String()
}
