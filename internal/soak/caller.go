package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/platform/peer"
)

// front is the platform before the routers: it asks each whether it is ready, once a second, and a router that
// misses twice gets no new connections until it answers again.
type front struct {
	fleet *fleet
	mu    sync.Mutex // guards miss
	miss  map[string]int
}

const (
	readyPeriod = time.Second
	mostMisses  = 2
)

func (f *front) watch(ctx context.Context) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, m := range f.fleet.of(routerRole) {
			go func() {
				answer, err := client.Get("http://" + at(m.told, portReadiness) + peer.PathReadiness)
				ready := err == nil && answer.StatusCode == http.StatusOK
				if err == nil {
					_ = answer.Body.Close()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.miss[m.told]++; ready {
					f.miss[m.told] = 0
				}
			}()
		}
		wait(ctx, readyPeriod)
	}
}

// pick gives a router for a new connection: any of those that are in, or of all if fewer than half are.
func (f *front) pick(random *rand.Rand) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in, all []string
	for _, m := range f.fleet.of(routerRole) {
		all = append(all, m.told)
		if f.miss[m.told] < mostMisses {
			in = append(in, m.told)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	return in[random.IntN(len(in))]
}

// caller sends one request after another, each with an id of its own, and checks every answer to the byte.
type caller struct {
	run    *soakRun
	number int
	random *rand.Rand
	sent   int

	steady bool // it shows the key that stays only

	conn   net.Conn
	reader *bufio.Reader
	router string
	used   int
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader, c.used = nil, nil, 0
}

// rest is how long a caller waits between two requests.
const rest = 30 * time.Millisecond

func (c *caller) loop(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.one()
		wait(ctx, rest/2+time.Duration(c.random.Int64N(int64(rest))))
	}
}

// connect gives a connection: the one that there is, or a new one.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	c.router = c.run.front.pick(c.random)
	conn, err := net.DialTimeout("tcp", at(c.router, portIngress), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	return nil
}

// request is what is sent in one try.
type request struct {
	*try
	model      string
	ownName    bool // it gives a tenant's name of its own
	content    []byte
	slow       bool // its body comes in pieces
	leaves     time.Duration
	halfClosed bool // the caller ends its sending side at once
}

var modesOf = map[string]string{
	pathIdempotent: peer.Idempotent, pathEffectful: peer.Effectful, pathResumable: peer.Continuous, pathStream: peer.Effectful,
	pathPlain: peer.Idempotent, pathMoving: peer.Effectful,
}

// Shares of requests at which callers misbehave, while they do.
const (
	leavingShare    = 0.1
	halfCloseShare  = 0.05
	slowBodyShare   = 0.05
	longBodyShare   = 0.04
	freshShare      = 0.15 // of requests that go on a new connection
	longBody        = 200 << 10
	leavingLatest   = 150 * time.Millisecond
	answerPatience  = time.Second
	pathCount       = 6
	shortBodyBytes  = 64
	slowPieces      = 4
	slowPause       = 40 * time.Millisecond
	promptTokens    = 100
	answerTokens    = 8
	connectionLimit = 40 // requests on one connection
)

func (c *caller) draw() request {
	paths := [pathCount]string{pathIdempotent, pathEffectful, pathResumable, pathStream, pathPlain, pathMoving}
	path := paths[c.random.IntN(len(paths))]
	c.sent++
	q := request{try: &try{id: fmt.Sprintf("c%d-%d-%d", c.run.options.Seed, c.number, c.sent), method: http.MethodPost, mode: modesOf[path], path: path, key: steadyKey}}
	if !c.steady {
		q.key = drawKey(c.random)
		q.ownName = c.random.Float64() < ownNameShare
	}
	q.target = path + strconv.Itoa(c.random.IntN(100)) + "?q=" + q.id
	if path != pathPlain && path != pathMoving {
		q.model = modelName(c.random.IntN(modelCount))
	}
	size := shortBodyBytes
	if c.random.Float64() < longBodyShare {
		size = longBody
	}
	q.content = []byte(strings.Repeat(q.id+";", size/len(q.id)+1))
	q.body = digest(q.content)
	if c.run.callersRude.Load() {
		switch dice := c.random.Float64(); {
		case dice < leavingShare:
			q.leaves = 1 + time.Duration(c.random.Int64N(int64(leavingLatest)))
		case dice < leavingShare+halfCloseShare:
			q.halfClosed = true
		case dice < leavingShare+halfCloseShare+slowBodyShare:
			q.slow = true
		}
	}
	return q
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// clings tells whether a caller uses its connection until it ends, whatever is said on it but that it closes.
func (c *caller) clings() bool { return c.number%clingingEvery == 0 }

// clingingEvery is how many callers there are to one that clings to its connection.
const clingingEvery = 3

func (c *caller) one() {
	if !c.clings() && (c.random.Float64() < freshShare || c.used >= connectionLimit) {
		c.hangUp()
	}
	q := c.draw()
	if err := c.connect(); err != nil {
		c.hangUp()
		wait(context.Background(), 50*time.Millisecond)
		return
	}
	q.router, q.sent, q.reused = c.router, time.Now(), c.used > 0
	c.used++
	c.run.judge.asked(q.try)
	if err := c.write(q); err != nil {
		c.run.judge.ended(q.try, broken, 0, "write: "+err.Error())
		c.hangUp()
		return
	}
	if q.leaves > 0 {
		conn := c.conn
		stop := time.AfterFunc(q.leaves, func() { _ = conn.Close() })
		defer stop.Stop()
	}
	result, status, detail := c.read(q)
	if q.leaves > 0 || q.halfClosed {
		if result != served && result != refused && result != denied {
			result = left
		}
	}
	c.run.judge.ended(q.try, result, status, detail)
	if result != served && result != refused && result != failed && result != denied || q.leaves > 0 || q.halfClosed {
		c.hangUp()
	}
}

func (c *caller) write(q request) error {
	_ = c.conn.SetDeadline(time.Now().Add(horizonSpan + answerPatience))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", q.method, q.target, callersHost,
		peer.HeaderID, q.id, peer.HeaderLeft, horizonSpan.Milliseconds(), len(q.content))
	if q.model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: %s\r\n%s: %s:%d\r\n", peer.HeaderModel, q.model, peer.HeaderTokens, peer.Tokens(promptTokens, answerTokens),
			peer.HeaderParts, q.body, promptTokens)
	}
	if q.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", peer.HeaderKey, peer.Bearer(q.key))
	}
	if q.ownName {
		fmt.Fprintf(&b, "%s: %s\r\n", peer.HeaderTenant, steadyTenant)
	}
	b.WriteString("\r\n")
	if !q.slow {
		b.Write(q.content)
		_, err := c.conn.Write(b.Bytes())
		if err == nil && q.halfClosed {
			err = c.conn.(*net.TCPConn).CloseWrite()
		}
		return err
	}
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return err
	}
	piece := len(q.content)/slowPieces + 1
	for rest := q.content; len(rest) > 0; {
		n := min(piece, len(rest))
		if _, err := c.conn.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(slowPause)
	}
	return nil
}

// read takes the answer and checks that it is wholly a server's own, and to this request.
func (c *caller) read(q request) (outcome, int, string) {
	a, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return broken, 0, "head: " + err.Error()
	}
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	if a.Close {
		defer c.hangUp()
	}
	if err != nil {
		if wrong := c.checkPieces(q, a, body, false); wrong != nil {
			c.run.judge.violate("MIXED", "%s: %v", q.id, wrong)
		}
		return broken, a.StatusCode, "body: " + err.Error()
	}
	switch {
	case a.StatusCode/100 == 2:
		if wrong := c.check(q, a, body); wrong != nil {
			c.run.judge.violate("MIXED", "%s: %v", q.id, wrong)
		}
		return served, a.StatusCode, a.Header.Get(peer.HeaderSeal)
	case a.StatusCode == http.StatusRequestTimeout, a.StatusCode == http.StatusMisdirectedRequest,
		a.StatusCode == http.StatusTooManyRequests, a.StatusCode == http.StatusServiceUnavailable:
		return refused, a.StatusCode, string(body)
	case a.StatusCode == http.StatusUnauthorized:
		return denied, a.StatusCode, string(body)
	case a.StatusCode/100 == 4 || a.StatusCode/100 == 3:
		c.run.judge.violate("DENIED", "%s for %s was told %d: %s", q.id, q.target, a.StatusCode, body)
	}
	return failed, a.StatusCode, string(body)
}

// check holds a whole success against what the server that sealed it would say.
func (c *caller) check(q request, a *http.Response, body []byte) error {
	if id := a.Header.Get(peer.HeaderID); id != q.id {
		return errors.Errorf("the answer is to %q", id)
	}
	seal, ok := strings.CutPrefix(a.Header.Get(peer.HeaderSeal), "seal.")
	server, ok2 := strings.CutSuffix(seal, "."+q.id)
	if !ok || !ok2 {
		return errors.Errorf("the seal is %q", a.Header.Get(peer.HeaderSeal))
	}
	if q.path == pathResumable || q.path == pathStream {
		return c.checkPieces(q, a, body, true)
	}
	if string(body) != answerText(q.id, server) {
		return errors.Errorf("the body is %q", body)
	}
	return nil
}

// checkPieces looks at the events of a stream: they follow each other, and a whole stream has all of them.
func (c *caller) checkPieces(q request, a *http.Response, body []byte, whole bool) error {
	if a.StatusCode != http.StatusOK || q.path != pathResumable && q.path != pathStream {
		return nil
	}
	events := strings.SplitAfter(string(body), "\n\n")
	n := uint64(0)
	for _, event := range events {
		want := peer.Event(n+1, eventText(q.id, n+1))
		switch {
		case event == "":
		case event == want:
			n++
		case !whole && strings.HasPrefix(want, event) || !whole && n == eventCount:
		default:
			return errors.Errorf("event %d is %q", n+1, event)
		}
	}
	if whole && n != eventCount {
		return errors.Errorf("the stream ends after event %d of %d", n, eventCount)
	}
	return nil
}
