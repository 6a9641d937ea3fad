package rig

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tidedeck/platform/peer"
)

// Host is the host of every route.
const Host = "calls.example"

// Call is one try of a client.
type Call struct {
	ID     string
	Path   string
	Model  string
	Tokens int
	Wait   time.Duration
}

// Ends of a call, as the client sees them.
const (
	Served  = "served"  // a whole success
	Refused = "refused" // 429, 503, 408 or 421
	Failed  = "failed"  // any other answer
	Cut     = "cut"     // the connection ended without a whole answer
)

// Client sends calls to one router over kept connections.
type Client struct {
	record *Record
	http   *http.Client
	base   string
}

// NewClient returns a client of a router.
func (m *Machine) NewClient() *Client {
	dial := &net.Dialer{Timeout: time.Second}
	return &Client{record: m.fleet.Record, base: "http://" + m.Ingress(), http: &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// Send sends a call and reads its answer.
func (c *Client) Send(call Call) (end string) {
	ctx, stop := context.WithTimeout(context.Background(), call.Wait)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+call.Path, strings.NewReader("prompt of "+call.ID))
	if err != nil {
		return Failed
	}
	request.Host, request.GetBody = Host, nil
	request.Header.Set(peer.HeaderID, call.ID)
	if call.Model != "" {
		request.Header.Set(peer.HeaderModel, call.Model)
		request.Header.Set(peer.HeaderTokens, peer.Tokens(call.Tokens, 24))
		request.Header.Set(peer.HeaderPromptPrefix, fmt.Sprintf("5c1e07a2:568,%x:%d", rand.Uint32(), call.Tokens-568))
	}
	request.Header.Set("Tidedeck-Remaining-Ms", fmt.Sprint(call.Wait.Milliseconds()))
	c.record.Printf("client sends %s to %s%s", call.ID, c.base, call.Path)
	response, err := c.http.Do(request)
	if err != nil {
		c.record.Printf("client gets no answer to %s: %v", call.ID, err)
		return Cut
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.record.Printf("client gets %d to %s, %d bytes, seal %q, %v", response.StatusCode, call.ID, len(body), response.Header.Get(peer.HeaderSeal), err)
	switch {
	case err != nil:
		return Cut
	case response.StatusCode/100 == 2:
		return Served
	case response.StatusCode == 429, response.StatusCode == 503, response.StatusCode == 408, response.StatusCode == 421:
		return Refused
	}
	return Failed
}

// Counts is how many calls ended in which way.
type Counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *Counts) add(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[end]++
}

// String lists the counts.
func (c *Counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.n)
}

// Traffic sends calls at a steady rate over all routers until the context ends.
func (f *Fleet) Traffic(ctx context.Context, perSecond float64, next func(n int64) Call) *Counts {
	counts := &Counts{}
	var clients []*Client
	for _, m := range f.WithRole("router") {
		clients = append(clients, m.NewClient())
	}
	var n atomic.Int64
	go func() {
		for ctx.Err() == nil {
			call := next(n.Add(1))
			go func() { counts.add(clients[rand.IntN(len(clients))].Send(call)) }()
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}()
	return counts
}

// Of returns how many calls ended in one way.
func (c *Counts) Of(end string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[end]
}
