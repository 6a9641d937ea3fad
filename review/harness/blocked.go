package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// Sizes and times of the case of a request that no server is left for.
const (
	blockedWarm    = 40                      // requests served at each router before an answer is lost: x is 0.03 of the requests
	blockedProbes  = 20                      // requests on each of the two routes at each router in the calm time
	blockedPause   = 500 * time.Millisecond  // between them
	blockedHorizon = 20 * time.Second        // of the first route to the desk, as of allerta-ruolo
	blockedShort   = 1500 * time.Millisecond // of the route that was added later, as of ack-receipt
	blockedWork    = 20 * time.Millisecond
)

func blockedConfiguration(revision uint64, added bool) peer.Configuration {
	service := func(name string) peer.Service {
		return peer.Service{Label: name, Probe: peer.PathHealth, Connections: 110, Protocol: "h1"}
	}
	route := func(label, prefix, service string, precedence int, horizon time.Duration) peer.Route {
		return peer.Route{Label: label, Host: requestHost, Prefix: prefix, Mode: peer.Idempotent, HorizonMs: int(horizon.Milliseconds()), SetpointMs: 300, Service: service, Tries: 2, Precedence: precedence}
	}
	c := peer.Configuration{
		Revision: revision,
		Routes:   []peer.Route{route("r-first", "/first/", "other", 0, blockedShort), route("r-long", "/long/", deskService, 0, blockedHorizon)},
		Services: []peer.Service{service("other"), service(deskService)},
		Limits:   peer.Limits{HeadBytes: 16384, BodyBytes: 4 << 20, HeadMs: 3000, IdleMs: 15000},
	}
	if added {
		c.Routes = append(c.Routes, route("r-added", "/added/", deskService, 1, blockedShort))
	}
	return c
}

// call sends one request on a connection of its own and returns how it ended.
func call(ip, path, id string, wait time.Duration) answer {
	c, err := dialRouter(ip)
	if err != nil {
		return answer{endedAt: time.Now(), err: err}
	}
	defer c.conn.Close()
	if err := c.writeHeadTo(path+"x", id, 0, wait); err != nil {
		return answer{endedAt: time.Now(), err: err}
	}
	return c.read(wait + time.Second)
}

// runBlocked loses one answer at each router (with VARIANT=full, the server turns one request away instead), waits until times are calm again, and compares how often requests on a route
// that was added later are served with requests on a first route.
func runBlocked(r *record, trouble bool) (bool, error) {
	f, err := newFleet(3, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	desks := []*desk{{id: "i-1", service: deskService}, {id: "i-2", service: "other"}}
	for i, d := range desks {
		d.fleet, d.record, d.capacity, d.queue, d.work = f, r, queuedCapacity, queuedQueue, blockedWork
		d.address, d.zone = hostPort(fmt.Sprintf("127.%d.2.%d", f.network, i+1), portServer), zoneOf(i)
		affected := func(id string) bool { return trouble && strings.HasPrefix(id, "lost") }
		if os.Getenv("VARIANT") == "full" {
			d.full = affected
		} else {
			d.lose = affected
		}
		if err := d.start(); err != nil {
			return false, err
		}
		defer d.stop()
	}
	if err := f.putConfiguration(blockedConfiguration(3, false), 0, 30*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(30 * time.Second); err != nil {
		return false, err
	}
	if err := f.putConfiguration(blockedConfiguration(5, true), 3, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for i, m := range f.routers {
		for n := range blockedWarm {
			if a := call(m.ip, "/long/", fmt.Sprintf("warm%d-%d", i, n), blockedHorizon); a.status != http.StatusOK {
				return false, fmt.Errorf("warm-up request ended with %d %v", a.status, a.err)
			}
		}
	}
	return blockedOutcome(r, f), nil
}

// blockedOutcome sends the request whose answer may be lost and then, once times are calm, those that are counted.
func blockedOutcome(r *record, f *fleet) bool {
	var all sync.WaitGroup
	defer all.Wait()
	for i, m := range f.routers {
		all.Go(func() {
			id := fmt.Sprintf("lost%d", i)
			r.add("%s sent to %s", id, m.name)
			a := call(m.ip, "/long/", id, blockedHorizon)
			r.add("%s: status %d %q (%v)", id, a.status, a.body, a.err)
		})
	}
	time.Sleep(4 * time.Second) // longer than contactMs
	r.add("times are calm")
	var mu sync.Mutex
	served := map[string]int{}
	var probes sync.WaitGroup
	for n := range blockedProbes {
		for i, m := range f.routers {
			for _, path := range []string{"/first/", "/added/"} {
				probes.Go(func() {
					id := fmt.Sprintf("%s%d-%d", strings.Trim(path, "/"), i, n)
					a := call(m.ip, path, id, blockedShort)
					r.add("%s: status %d %q (%v)", id, a.status, a.body, a.err)
					if a.status == http.StatusOK {
						mu.Lock()
						served[path]++
						mu.Unlock()
					}
				})
			}
		}
		time.Sleep(blockedPause)
	}
	probes.Wait()
	r.add("served on the first route: %d of %d; on the route added later: %d of %d", served["/first/"], 2*blockedProbes, served["/added/"], 2*blockedProbes)
	return 4*served["/added/"] >= served["/first/"]
}
