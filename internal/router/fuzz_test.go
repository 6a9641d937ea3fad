package router

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/generic"
)

// fuzzServer gives the first attempt of each request the bytes that a round has for it, and any further
// attempt a clean answer.
type fuzzServer struct {
	*standIn
	mu            sync.Mutex
	method        string
	responses     map[string][]byte // by request
	attemptCounts map[string]int    // attempts of each request
}

func newFuzzServer(t testing.TB) *fuzzServer {
	f := &fuzzServer{}
	f.standIn = newStandIn(t, func(_ *standIn, _ int, c net.Conn, br *bufio.Reader) {
		for {
			q, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			b, stays := f.answer(q.Header.Get("X-Try"))
			if _, err := c.Write(b); err != nil || !stays {
				return
			}
		}
	})
	return f
}

func (f *fuzzServer) begin(method string, first, second []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.method, f.responses, f.attemptCounts = method, map[string][]byte{"1": first, "2": second}, map[string]int{}
}

// answer gives the bytes for an attempt, and whether the connection stays open behind them: it does
// where an answer to the request has an end of its own.
func (f *fuzzServer) answer(id string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attemptCounts[id]++; f.attemptCounts[id] > 1 {
		return cleanAnswer(id, f.method), true
	}
	for _, a := range parseResponses(f.responses[id], f.method) {
		if a.id == id {
			return f.responses[id], a.complete
		}
	}
	return f.responses[id], false
}

func (f *fuzzServer) attempts(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attemptCounts[id]
}

// cleanAnswer is what a server without trouble answers.
func cleanAnswer(id, method string) []byte {
	s := plain(id, "clean")
	if method == http.MethodHead {
		s = strings.TrimSuffix(s, "clean")
	}
	return []byte(s)
}

// told is an answer that stands in a server's bytes, read without the relay's code.
type serverResponse struct {
	id       string
	sealed   bool
	status   int
	body     []byte
	complete bool // its body came to its end before the bytes did
}

// answersIn reads the final answers to a method one after the other, as far as bytes are answers.
func parseResponses(b []byte, method string) (l []serverResponse) {
	br := bufio.NewReader(bytes.NewReader(b))
	for {
		a, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return l
		}
		if a.StatusCode < 200 {
			continue
		}
		v := serverResponse{id: a.Header.Get("X-Try"), sealed: a.Header.Get("X-Seal") != "", status: a.StatusCode}
		framed := a.ContentLength >= 0 || len(a.TransferEncoding) > 0 || a.Body == http.NoBody
		v.body, err = io.ReadAll(a.Body)
		v.complete = err == nil && framed
		if l = append(l, v); !v.complete {
			return l
		}
	}
}

// heardAnswer is what a client got: nothing, part of an answer or a whole one.
type clientResponse struct {
	head     *http.Response
	body     []byte
	complete bool
}

// checkAnswer holds what the client of a request got against what a server said to one of its attempts.
func checkAnswer(t *testing.T, got clientResponse, id, method string, said ...[]byte) {
	if got.head.Header.Get("X-Try") == "" {
		require.GreaterOrEqual(t, got.head.StatusCode, 400, "a success that no server gave")
		require.Empty(t, got.head.Header.Get("X-Seal"), "an answer of the router's own with a seal")
		if method != http.MethodHead && got.complete {
			require.Contains(t, string(got.body), `"kind"`)
		}
		return
	}
	require.Equal(t, id, got.head.Header.Get("X-Try"), "another's answer")
	var why []string
	for _, b := range said {
		fault := "no answer to the request"
		for _, a := range parseResponses(b, method) {
			if a.id == id {
				fault = a.mismatch(got)
				break
			}
		}
		if fault == "" {
			return
		}
		why = append(why, fault)
	}
	require.Fail(t, strings.Join(why, "; "))
}

// faultOf tells in what a client's answer is not this one of a server.
func (a serverResponse) mismatch(got clientResponse) string {
	switch {
	case a.status != got.head.StatusCode:
		return "another status"
	case a.status < 300 && !a.sealed:
		return "a success without a seal"
	case a.sealed != (got.head.Header.Get("X-Seal") != ""):
		return "another seal"
	case !bytes.HasPrefix(a.body, got.body):
		return "bytes that are not the answer's"
	case got.complete && (!a.complete || len(got.body) != len(a.body)):
		return "ended early and looks whole"
	}
	return ""
}

// Whatever a server sends on its connections, two requests one after the other each get their own answer
// or a failure: never another's, never a success without a seal, never more than one, and none
// that looks whole and is not. What may run once reaches servers once. The third input chooses the
// method and whether the requests may be repeated or taken up; seeds stand in testdata.
func FuzzServerAnswer(f *testing.F) {
	srv := newFuzzServer(f)
	s := &script{to: []string{srv.addr(), srv.addr()}, names: []string{"s0", "s1"}, left: time.Second}
	b := relayFor(f, s, RelayOptions{Slack: time.Millisecond})
	f.Fuzz(func(t *testing.T, first, second []byte, flags byte) {
		if len(first)+len(second) > 64<<10 {
			return // a long answer shows nothing that a short one doesn't
		}
		method, again, resume := http.MethodGet, flags&2 > 0, flags&4 > 0
		if flags&1 > 0 {
			method = http.MethodHead
		}
		s.begin(again, resume && !again)
		b.relay.conns.closeIdle(srv.addr())
		srv.begin(method, first, second)
		client := b.dial(t)
		defer client.Close()
		for i, said := range [][]byte{first, second} {
			id := strconv.Itoa(i + 1)
			client.send(method + " /a HTTP/1.1\r\nHost: h\r\nX-Try: " + id + "\r\n\r\n")
			got := client.readAny(method)
			s.settled(t)
			attempts := srv.attempts(id)
			if !again && !resume {
				require.LessOrEqual(t, attempts, 1+s.countDropped(), "sent again")
			}
			if got.head != nil && attempts > 1 {
				checkAnswer(t, got, id, method, said, cleanAnswer(id, method))
			} else if got.head != nil {
				checkAnswer(t, got, id, method, said)
			}
			if got.head == nil || !got.complete || got.head.Close {
				return
			}
		}
		require.NoError(t, client.Conn.(*net.TCPConn).CloseWrite())
		rest, _ := io.ReadAll(client.br)
		require.Empty(t, rest, "bytes behind the last answer")
	})
}

// hear reads what comes in answer to a request.
func (c *client) readAny(method string) (got clientResponse) {
	a, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return got
	}
	got.head = a
	got.body, err = io.ReadAll(a.Body)
	got.complete = err == nil
	return got
}

// begin forgets all that was.
func (s *script) begin(again, resume bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.again, s.resume, s.nextServer = again, resume, map[Ref]int{}
	s.calls, s.ends, s.begun, s.quits, s.receipts = nil, nil, nil, nil, nil
}

// declined counts the attempts that servers did not run.
func (s *script) countDropped() (n int) {
	for _, how := range s.hows() {
		n += generic.One(how == Dropped)
	}
	return n
}
