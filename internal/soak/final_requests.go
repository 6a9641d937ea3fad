package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	finalRequestsTimeout = 60 * time.Second
	finalRequestCount    = 150 // successful requests in a row that are required after the last trouble
	// finalCallers send these requests at once, so that the check itself takes little of the time for recovery.
	finalCallers      = 10
	finalRetryPause   = 20 * time.Millisecond // after a request that was not served
	firstFinalCaller  = 9990                  // number of the first of these callers
	finalRandomStream = 500                   // first stream of the random numbers of these callers
)

// servedRow is a row of requests that were all served, whichever caller sent them.
type servedRow struct {
	mu     sync.Mutex
	begin  time.Time // when the first one could be sent
	end    time.Time // when the last one was served; zero before that
	served int
}

// add adds a request that was sent at the given time. A request that was not served begins another row, to which requests
// that had been sent before do not count.
func (r *servedRow) add(sentAt time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.end.IsZero():
	case !ok:
		r.served, r.begin = 0, time.Now()
	case !sentAt.Before(r.begin):
		if r.served++; r.served == finalRequestCount {
			r.end = time.Now()
		}
	}
}

func (r *servedRow) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.end.IsZero()
}

// checkFinalRequests sends requests after the troubles until finalRequestCount in a row are served, and returns that row.
// Routers must retry requests that may be repeated.
func (r *soakRun) checkFinalRequests(ctx context.Context) *servedRow {
	ctx, stop := context.WithTimeout(ctx, finalRequestsTimeout)
	defer stop()
	row := &servedRow{begin: time.Now()}
	var callers sync.WaitGroup
	for i := range finalCallers {
		callers.Go(func() {
			c := &caller{run: r, number: firstFinalCaller + i, fixedKeyOnly: true, random: rand.New(rand.NewPCG(r.options.Seed, uint64(finalRandomStream+i)))}
			defer c.closeConn()
			for ctx.Err() == nil && !row.isComplete() {
				sentAt := time.Now()
				c.sendOne()
				ok := c.lastWasServed()
				if row.add(sentAt, ok); !ok {
					sleep(ctx, finalRetryPause)
				}
			}
		})
	}
	callers.Wait()
	if !row.isComplete() {
		r.checker.violate("RECOVER", "condition not met: %d requests in a row are served", finalRequestCount)
		row.end = time.Now()
	}
	return row
}

// lastWasServed reports whether the request that the caller sent last was served.
func (c *caller) lastWasServed() bool {
	checker := c.run.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	q := checker.requests[fmt.Sprintf("c%d-%d-%d", c.run.options.Seed, c.number, c.sentCount)]
	return q != nil && q.result == served
}
