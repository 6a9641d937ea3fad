package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tidedeck/platform/peer"
)

// Sizes of the case of answers without a length.
const (
	unframedEvents  = 8 // the mean of triage-std
	unframedGap     = 25 * time.Millisecond
	unframedClients = 10
	unframedRounds  = 36
	unframedOneIn   = 34 // x of garble is 0.03 of the answers
	unframedWait    = 10 * time.Second
)

const requestHost = "ficu95.example"

func plainConfiguration() peer.Configuration {
	return peer.Configuration{
		Revision: 3,
		Routes: []peer.Route{{Label: "r-1", Host: requestHost, Prefix: "/s/", Mode: peer.Continuous, HorizonMs: 10000, SetpointMs: 1000, Service: "web", Tries: 1, EventGapMs: 400},
			{Label: "r-2", Host: requestHost, Prefix: "/k/", Mode: peer.Idempotent, HorizonMs: 10000, SetpointMs: 300, Service: "web", Tries: 1}},
		Services: []peer.Service{{Label: "web", Probe: peer.PathHealth, Connections: 110, Protocol: "h1"}},
		Limits:   peer.Limits{HeadBytes: 16384, BodyBytes: 4 << 20, HeadMs: 3000, IdleMs: 15000},
	}
}

// runUnframed sends streams on kept connections through a calm fleet, and counts those whose connection the router closes
// without a complete answer although their server ended the answer whole and in order.
func runUnframed(r *record, trouble bool) (bool, error) {
	f, err := newFleet(3, 1)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.putConfiguration(plainConfiguration(), 0, 30*time.Second); err != nil {
		return false, err
	}
	oneIn := 0
	if trouble {
		oneIn = unframedOneIn
	}
	for i := range 2 {
		s := &server{fleet: f, id: fmt.Sprintf("i-%d", i+1), service: "web", address: hostPort(fmt.Sprintf("127.%d.2.%d", f.network, i+1), portServer), zone: zoneOf(i),
			capacity: 64, events: unframedEvents, gap: unframedGap, record: r}
		if i == 0 {
			s.unframed = oneIn // share of garble is 0.5 of the servers
		}
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := f.waitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // every machine is in touch from now on
	var cut, whole atomic.Int64
	var clients sync.WaitGroup
	for n := range unframedClients {
		clients.Go(func() {
			for i := range unframedRounds {
				if sendStream(r, f.routers[0].ip, fmt.Sprintf("q%d-%d", n, i)) {
					whole.Add(1)
				} else {
					cut.Add(1)
				}
			}
		})
	}
	clients.Wait()
	r.add("%d streams were answered whole, %d connections ended without a complete answer", whole.Load(), cut.Load())
	return cut.Load() <= 3, nil
}

// sendStream sends a short request and then, on the same kept connection, one for a stream. It reports whether a complete
// answer to the second came.
func sendStream(r *record, ip, id string) bool {
	c, err := dialRouter(ip)
	if err != nil {
		r.add("%s: no connection: %v", id, err)
		return false
	}
	defer c.conn.Close()
	if err := c.writeHeadTo("/k/x", "k"+id, 0, unframedWait); err != nil {
		r.add("%s: %v", id, err)
		return false
	}
	if first := c.read(unframedWait); first.status != http.StatusOK {
		r.add("k%s: status %d (%v)", id, first.status, first.err)
		return false
	}
	r.add("%s sent on a connection that was kept", id)
	if err := c.writeHeadTo("/s/x", id, 0, unframedWait); err != nil {
		r.add("%s: %v", id, err)
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(unframedWait))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		r.add("%s: the connection ended without an answer: %v", id, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.add("%s: status %d, then the connection ended after %d bytes of the answer: %v", id, response.StatusCode, len(body), err)
		return false
	}
	r.add("%s: status %d, %d bytes, whole=%v", id, response.StatusCode, len(body), wholeStream(string(body), id, unframedEvents))
	return true
}
