package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// Sizes and times of the case of a request whose mode changes while it waits.
const (
	modeWarm  = 5                      // requests of each of as many clients as there are slots, so that one lost answer stays below x = 0.03 of a server's requests
	modeBusy  = 2 * 3 * queuedCapacity // requests with which a router takes a plain service of two servers for full
	modeWork  = time.Second
	modeWait  = 20 * time.Second
	modeID    = "waits"
	modePath  = "/e/b/x"
	modePause = 150 * time.Millisecond
)

// addedRoute is the configuration with one more route, whose longer prefix takes some of the requests of the first.
func addedRoute() peer.Configuration {
	c := deskConfiguration()
	c.Revision = 5
	c.Routes = append(c.Routes, peer.Route{Label: "r-2", Host: requestHost, Prefix: "/e/b/", Mode: peer.Idempotent, HorizonMs: 20000, SetpointMs: 1000, Service: deskService, Tries: 2})
	return c
}

// runMode sends an effectful request that has to wait at its router, adds a route that takes such requests as idempotent,
// and loses the request's first answer. It checks whether the request ran more than once. With ONLY=route or ONLY=answer,
// just one of the two happens.
func runMode(r *record, trouble bool) (bool, error) {
	adds := trouble && os.Getenv("ONLY") != "answer"
	loses := trouble && os.Getenv("ONLY") != "route"
	var mu sync.Mutex
	lost := false
	lose := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		first := loses && id == modeID && !lost
		lost = lost || first
		return first
	}
	d := &desk{capacity: queuedCapacity, queue: queuedQueue, work: modeWork, lose: lose}
	f, err := startDesk(r, d)
	if err != nil {
		return false, err
	}
	defer f.close()
	defer d.stop()
	second := &desk{fleet: f, id: "i-2", service: deskService, address: hostPort(fmt.Sprintf("127.%d.2.2", f.network), portServer), zone: zoneOf(1),
		capacity: queuedCapacity, queue: queuedQueue, work: modeWork, lose: lose, record: r}
	if err := second.start(); err != nil {
		return false, err
	}
	defer second.stop()
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	for place := range 2 * queuedCapacity {
		clients.Go(func() {
			for n := range modeWarm {
				call(f.routers[0].ip, "/e/", fmt.Sprintf("warm%d-%d", place, n), modeWait)
			}
		})
	}
	clients.Wait()
	for n := range modeBusy {
		clients.Go(func() { call(f.routers[0].ip, "/e/", fmt.Sprintf("busy%d", n), modeWait) })
	}
	time.Sleep(modePause)
	var a answer
	clients.Go(func() {
		r.add("%s sent, on a route whose requests run once", modeID)
		a = call(f.routers[0].ip, modePath[:len(modePath)-1], modeID, modeWait)
	})
	time.Sleep(modePause)
	if adds {
		r.add("configuration 5 sent, which adds a route for it whose requests may be repeated")
		if err := f.putConfiguration(addedRoute(), 3, 5*time.Second); err != nil {
			return false, err
		}
		r.add("configuration 5 acknowledged")
	}
	clients.Wait()
	r.add("servers ran %d and %d requests", d.total(), second.total())
	runs := d.state(modeID).runs + second.state(modeID).runs
	r.add("%s: status %d %q (%v); it ran %d times", modeID, a.status, a.body, a.err, runs)
	if runs == 0 || !loses && a.status != http.StatusOK {
		return false, fmt.Errorf("the request did not run: %d %v", a.status, a.err)
	}
	return runs <= 1, nil
}
