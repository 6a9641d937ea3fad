package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/platform/peer"
)

// badServerCases are answers of servers that don't behave.
var badServerCases = []struct {
	name   string
	answer func(c net.Conn) error
	unread bool // the clients don't read the answers either
}{
	{name: "header lines without end", answer: func(c net.Conn) error {
		for n := 0; ; n++ {
			if _, err := fmt.Fprintf(c, "%s%x:\r\n", startOnce(n, "HTTP/1.1 200 OK\r\n"), n); err != nil {
				return err
			}
		}
	}},
	{name: "status line without end", answer: func(c net.Conn) error { return repeat(c, "HTTP/1.1 200 ", "a") }},
	{name: "interim answers without end", answer: func(c net.Conn) error {
		return repeat(c, "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	}},
	{name: "body without end", answer: endlessBody},
	{name: "body without end that nobody reads", answer: endlessBody, unread: true},
	{name: "chunk extension without end", answer: func(c net.Conn) error {
		return repeat(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e")
	}},
}

// endlessBody answers with a valid head and a body that does not end.
func endlessBody(c net.Conn) error {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return err
	}
	id := request.Header.Get(peer.HeaderID)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", peer.HeaderID, id, peer.HeaderSeal, sealOf(id, "bad"))
	return repeat(c, head, "400\r\n"+strings.Repeat("b", 0x400)+"\r\n")
}

// startOnce returns a text for the first number only.
func startOnce(n int, text string) string {
	if n == 0 {
		return text
	}
	return ""
}

// answerBadly replaces what a server answers to requests; it goes on announcing itself.
func (s *server) answerBadly(t *testing.T, answer func(c net.Conn) error) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.httpServer.Close()
	var listener net.Listener
	require.NoError(t, waitUntil(context.Background(), settleTimeout, "the server's address is free", func() (ok bool) {
		var err error
		listener, err = net.Listen("tcp", s.bind)
		return err == nil
	}))
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = answer(c)
			}()
		}
	}()
}

// Servers whose answers don't end take no router beyond its machine. The requests that they get come from a crowd of
// clients that behave.
func TestServersThatDoNotBehave(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range badServerCases {
		t.Run(c.name, func(t *testing.T) {
			r := startFleetForCrowd(t)
			for _, s := range r.servers {
				if s.service == plainService {
					s.answerBadly(t, c.answer)
				}
			}
			router := r.fleet.withRole(routerRole)[0]
			watch := watchUsage(router)
			behave := oneRequest
			if c.unread {
				behave = oneRequestUnread
			}
			crowd := startCrowd(addressesOf(router, []int{portIngress}), crowdSize, behave)
			time.Sleep(crowdLength)
			crowd.end()
			answered := otherServiceAnswers(r)
			requireWithinMachine(t, router, watch)
			require.NoError(t, answered, "a request to another service")
		})
	}
}

// oneRequest sends one request and reads its answer.
func oneRequest(_ context.Context, c net.Conn, client int) error {
	if _, err := io.WriteString(c, completeRequest(client, int(time.Now().UnixNano()))); err != nil {
		return err
	}
	return waitForEnd(c)
}

// oneRequestUnread sends one request and reads no answer.
func oneRequestUnread(ctx context.Context, c net.Conn, client int) error {
	_ = c.(*net.TCPConn).SetReadBuffer(smallWindow)
	if _, err := io.WriteString(c, completeRequest(client, int(time.Now().UnixNano()))); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// otherServiceAnswers waits until a request to a service whose servers behave is served.
func otherServiceAnswers(r *soakRun) error {
	number := 0
	return waitUntil(context.Background(), settleTimeout, "a request is served", func() bool {
		c := &caller{run: r, number: 690 + number, fixedKeyOnly: true, random: rand.New(rand.NewPCG(r.options.Seed, 690))}
		defer c.closeConn()
		number++
		q := c.plainRequest()
		q.path, q.target = pathIdempotent, pathIdempotent+"x?q="+q.id
		q.model = modelName(0)
		c.send(q)
		return q.result == served
	})
}
