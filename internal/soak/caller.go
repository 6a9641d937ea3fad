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

// loadBalancer stands in for the platform's load balancer. It probes the readiness of each router once a second;
// a router that fails two probes in a row gets no new connections until a probe succeeds.
type loadBalancer struct {
	fleet        *fleet
	mu           sync.Mutex // guards failedChecks
	failedChecks map[string]int
}

const (
	readinessInterval = time.Second
	maxFailedChecks   = 2
)

func (b *loadBalancer) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, m := range b.fleet.withRole(routerRole) {
			go func() {
				response, err := client.Get("http://" + hostPort(m.advertisedIP, portReadiness) + peer.PathReadiness)
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				if b.failedChecks[m.advertisedIP]++; ready {
					b.failedChecks[m.advertisedIP] = 0
				}
			}()
		}
		sleep(ctx, readinessInterval)
	}
}

// pickRouter picks a random ready router for a new connection. If fewer than half of the routers are ready, it picks
// from all of them.
func (b *loadBalancer) pickRouter(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, all []string
	for _, m := range b.fleet.withRole(routerRole) {
		all = append(all, m.advertisedIP)
		if b.failedChecks[m.advertisedIP] < maxFailedChecks {
			ready = append(ready, m.advertisedIP)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	return ready[random.IntN(len(ready))]
}

// caller sends one request at a time, each with a unique id, and checks every answer byte by byte.
type caller struct {
	run       *soakRun
	number    int
	random    *rand.Rand
	sentCount int

	fixedKeyOnly bool // requests carry fixedKey only

	conn           net.Conn
	reader         *bufio.Reader
	router         string
	requestsOnConn int
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader, c.requestsOnConn = nil, nil, 0
}

// meanRequestPause is the mean pause between two requests of a caller.
const meanRequestPause = 30 * time.Millisecond

func (c *caller) loop(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.sendOne()
		sleep(ctx, meanRequestPause/2+time.Duration(c.random.Int64N(int64(meanRequestPause))))
	}
}

// connect reuses the open connection or opens a new one.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	c.router = c.run.loadBalancer.pickRouter(c.random)
	conn, err := net.DialTimeout("tcp", hostPort(c.router, portIngress), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.requestsOnConn = conn, bufio.NewReader(conn), 0
	return nil
}

// request is one request and how the caller behaves while sending it.
type request struct {
	*requestRecord
	model        string
	claimsTenant bool // sends a tenant name header itself
	content      []byte
	slowBody     bool // sends the body in pieces
	abortAfter   time.Duration
	halfCloses   bool // closes the sending side right after the request
}

var modeByPath = map[string]string{
	pathIdempotent: peer.Idempotent, pathEffectful: peer.Effectful, pathResumable: peer.Continuous, pathStream: peer.Effectful,
	pathPlain: peer.Idempotent, pathMoving: peer.Effectful,
}

// Shares of requests with each kind of misbehaviour while callers misbehave, and sizes and times of requests.
const (
	abortShare         = 0.1
	halfCloseShare     = 0.05
	slowBodyShare      = 0.05
	longBodyShare      = 0.04
	newConnShare       = 0.15 // of requests that open a new connection
	longBodyBytes      = 200 << 10
	maxAbortDelay      = 150 * time.Millisecond
	answerSlack        = time.Second
	pathCount          = 6
	shortBodyBytes     = 64
	slowBodyPieces     = 4
	slowBodyPause      = 40 * time.Millisecond
	promptTokens       = 100
	answerTokens       = 8
	maxRequestsPerConn = 40
)

func (c *caller) randomRequest() request {
	paths := [pathCount]string{pathIdempotent, pathEffectful, pathResumable, pathStream, pathPlain, pathMoving}
	path := paths[c.random.IntN(len(paths))]
	c.sentCount++
	q := request{requestRecord: &requestRecord{id: fmt.Sprintf("c%d-%d-%d", c.run.options.Seed, c.number, c.sentCount), method: http.MethodPost, mode: modeByPath[path], path: path, key: fixedKey, timeout: requestTimeout}}
	if !c.fixedKeyOnly {
		q.key = randomKey(c.random)
		q.claimsTenant = c.random.Float64() < claimedTenantShare
	}
	q.target = path + strconv.Itoa(c.random.IntN(100)) + "?q=" + q.id
	if path != pathPlain && path != pathMoving {
		q.model = modelName(c.random.IntN(modelCount))
	}
	size := shortBodyBytes
	if c.random.Float64() < longBodyShare {
		size = longBodyBytes
	}
	q.content = []byte(strings.Repeat(q.id+";", size/len(q.id)+1))
	q.body = digest(q.content)
	if c.run.callersMisbehave.Load() {
		switch roll := c.random.Float64(); {
		case roll < abortShare:
			q.abortAfter = 1 + time.Duration(c.random.Int64N(int64(maxAbortDelay)))
		case roll < abortShare+halfCloseShare:
			q.halfCloses = true
		case roll < abortShare+halfCloseShare+slowBodyShare:
			q.slowBody = true
		}
	}
	return q
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// keepsConn reports whether the caller keeps using its connection until an answer says that the connection closes.
func (c *caller) keepsConn() bool { return c.number%keepConnEvery == 0 }

// keepConnEvery makes one in so many callers keep its connection.
const keepConnEvery = 3

func (c *caller) sendOne() {
	if !c.keepsConn() && (c.random.Float64() < newConnShare || c.requestsOnConn >= maxRequestsPerConn) {
		c.closeConn()
	}
	c.send(c.randomRequest())
}

// send sends a request and records its outcome.
func (c *caller) send(q request) {
	if err := c.connect(); err != nil {
		c.closeConn()
		sleep(context.Background(), 50*time.Millisecond)
		return
	}
	q.router, q.sentAt, q.reusedConn = c.router, time.Now(), c.requestsOnConn > 0
	c.requestsOnConn++
	c.run.checker.requestSent(q.requestRecord)
	if err := c.write(q); err != nil {
		c.run.checker.requestEnded(q.requestRecord, broken, 0, "write: "+err.Error())
		c.closeConn()
		return
	}
	if q.abortAfter > 0 {
		conn := c.conn
		stop := time.AfterFunc(q.abortAfter, func() { _ = conn.Close() })
		defer stop.Stop()
	}
	result, status, detail := c.read(q)
	if q.abortAfter > 0 || q.halfCloses {
		if result != served && result != refused && result != unauthorized {
			result = callerLeft
		}
	}
	c.run.checker.requestEnded(q.requestRecord, result, status, detail)
	if result != served && result != refused && result != failed && result != unauthorized || q.abortAfter > 0 || q.halfCloses {
		c.closeConn()
	}
}

func (c *caller) write(q request) error {
	_ = c.conn.SetDeadline(time.Now().Add(q.timeout + answerSlack))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", q.method, q.target, requestHost,
		peer.HeaderID, q.id, peer.HeaderRemaining, q.timeout.Milliseconds(), len(q.content))
	if q.model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: %s\r\n%s: %s:%d\r\n", peer.HeaderModel, q.model, peer.HeaderTokens, peer.Tokens(promptTokens, answerTokens),
			peer.HeaderPromptPrefix, q.body, promptTokens)
	}
	if q.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", peer.HeaderAuthorization, peer.Bearer(q.key))
	}
	if q.claimsTenant {
		fmt.Fprintf(&b, "%s: %s\r\n", peer.HeaderTenant, fixedTenant)
	}
	b.WriteString("\r\n")
	if !q.slowBody && !q.paced {
		b.Write(q.content)
		_, err := c.conn.Write(b.Bytes())
		if err == nil && q.halfCloses {
			err = c.conn.(*net.TCPConn).CloseWrite()
		}
		return err
	}
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return err
	}
	if q.paced {
		return c.writePaced(q)
	}
	piece := len(q.content)/slowBodyPieces + 1
	for unsent := q.content; len(unsent) > 0; {
		size := min(piece, len(unsent))
		if _, err := c.conn.Write(unsent[:size]); err != nil {
			return err
		}
		unsent = unsent[size:]
		time.Sleep(slowBodyPause)
	}
	return nil
}

// read reads the answer and checks that it comes from one server and belongs to this request.
func (c *caller) read(q request) (outcome, int, string) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return broken, 0, "head: " + err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if response.Close {
		defer c.closeConn()
	}
	if err != nil {
		if mismatch := c.checkEvents(q, response, body, false); mismatch != nil {
			c.run.checker.violate("MIXED", "%s: %v", q.id, mismatch)
		}
		return broken, response.StatusCode, "body: " + err.Error()
	}
	switch {
	case response.StatusCode/100 == 2:
		if mismatch := c.checkSuccess(q, response, body); mismatch != nil {
			c.run.checker.violate("MIXED", "%s: %v", q.id, mismatch)
		}
		return served, response.StatusCode, response.Header.Get(peer.HeaderSeal)
	case response.StatusCode == http.StatusRequestTimeout, response.StatusCode == http.StatusMisdirectedRequest,
		response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return refused, response.StatusCode, string(body)
	case response.StatusCode == http.StatusUnauthorized:
		return unauthorized, response.StatusCode, string(body)
	case response.StatusCode/100 == 4 || response.StatusCode/100 == 3:
		c.run.checker.violate("DENIED", "%s for %s got status %d: %s", q.id, q.target, response.StatusCode, body)
	}
	return failed, response.StatusCode, string(body)
}

// checkSuccess compares a complete success with the answer that the server named in its seal would give.
func (c *caller) checkSuccess(q request, response *http.Response, body []byte) error {
	if id := response.Header.Get(peer.HeaderID); id != q.id {
		return errors.Errorf("answer belongs to request %q", id)
	}
	seal, okSeal := strings.CutPrefix(response.Header.Get(peer.HeaderSeal), "seal.")
	server, okServer := strings.CutSuffix(seal, "."+q.id)
	if !okSeal || !okServer {
		return errors.Errorf("unexpected seal %q", response.Header.Get(peer.HeaderSeal))
	}
	if q.path == pathResumable || q.path == pathStream {
		return c.checkEvents(q, response, body, true)
	}
	if string(body) != answerText(q.id, server) {
		return errors.Errorf("unexpected body %q", body)
	}
	return nil
}

// checkEvents checks that the events of a stream are consecutive, and that a complete stream contains all of them.
func (c *caller) checkEvents(q request, response *http.Response, body []byte, complete bool) error {
	if response.StatusCode != http.StatusOK || q.path != pathResumable && q.path != pathStream {
		return nil
	}
	events := strings.SplitAfter(string(body), "\n\n")
	last := uint64(0)
	for _, event := range events {
		want := peer.Event(last+1, eventText(q.id, last+1))
		switch {
		case event == "":
		case event == want:
			last++
		case !complete && strings.HasPrefix(want, event) || !complete && last == eventCount:
		default:
			return errors.Errorf("unexpected event %d: %q", last+1, event)
		}
	}
	if complete && last != eventCount {
		return errors.Errorf("stream ended after event %d of %d", last, eventCount)
	}
	return nil
}
