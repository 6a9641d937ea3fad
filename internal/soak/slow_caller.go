package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"tidedeck/platform/peer"
)

// Slow requests outlast a planned stop: they work for seconds at their server, and the bodies of some of them take seconds
// to arrive.

const (
	slowWorkLimit   = 10 * time.Second // longest work on a slow request
	pacedBodyLimit  = 6 * time.Second  // longest time for the body of a paced request
	pacedBodyShare  = 0.5
	pacedBodyPieces = 30
)

// slowRoute is the route of slow requests.
func slowRoute() peer.Route {
	return peer.Route{Label: "r" + pathSlow, Host: requestHost, Prefix: pathSlow, Mode: peer.Effectful, HorizonMs: int(slowRequestTimeout.Milliseconds()), SetpointMs: 800,
		Service: slowService, Tries: 1, EventGapMs: 400, Unkeyed: true}
}

// loopSlow sends one slow request after another.
func (c *caller) loopSlow(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.sendSlow()
		sleep(ctx, meanRequestPause)
	}
}

func (c *caller) sendSlow() {
	c.sentCount++
	id := fmt.Sprintf("s%d-%d-%d", c.run.options.Seed, c.number, c.sentCount)
	q := request{requestRecord: &requestRecord{id: id, method: http.MethodPost, mode: peer.Effectful, path: pathSlow, key: fixedKey, timeout: slowRequestTimeout,
		target: pathSlow + "x?q=" + id, paced: c.random.Float64() < pacedBodyShare}}
	q.content = []byte(strings.Repeat(id+";", pacedBodyPieces))
	q.body = digest(q.content)
	c.send(q)
}

// writePaced writes a body in pieces over a drawn time.
func (c *caller) writePaced(q request) error {
	pause := time.Duration(c.random.Int64N(int64(pacedBodyLimit / pacedBodyPieces)))
	piece := len(q.content) / pacedBodyPieces
	for n := range pacedBodyPieces {
		if n > 0 {
			time.Sleep(pause)
		}
		if _, err := c.conn.Write(q.content[n*piece : (n+1)*piece]); err != nil {
			return err
		}
	}
	c.run.checker.requestComplete(q.requestRecord)
	return nil
}
