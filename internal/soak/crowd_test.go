package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"tidedeck/platform/peer"
)

// Clients that don't behave, whose requests are complete.

// emptyLinesAfterRequest sends a complete request first.
func emptyLinesAfterRequest(_ context.Context, c net.Conn, client int) error {
	go func() { _ = waitForEnd(c) }()
	return repeat(c, completeRequest(client, 0), "\r\n")
}

// completeRequest returns a request with a small body that is answered.
func completeRequest(client, number int) string {
	const body = "hello"
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: w%d-%d\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n%s",
		pathPlain, requestHost, peer.HeaderID, client, number, peer.HeaderRemaining, len(body), body)
}

// unreadAnswers sends complete requests without end and reads no answer.
func unreadAnswers(_ context.Context, c net.Conn, client int) error {
	for n := 0; ; n++ {
		if _, err := io.WriteString(c, completeRequest(client, n)); err != nil {
			return err
		}
	}
}

// unreadPages returns a client that asks for a page without end and reads no answer.
func unreadPages(path string) misbehavior {
	return func(_ context.Context, c net.Conn, _ int) error {
		return repeat(c, "", "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	}
}

// smallWindow is the receive buffer of a client that reads slowly, in bytes.
const smallWindow = 2 << 10

// answerByteByByte asks for streams and reads their answers slowly.
func answerByteByByte(ctx context.Context, c net.Conn, client int) error {
	_ = c.(*net.TCPConn).SetReadBuffer(smallWindow)
	for n := range 200 {
		if _, err := io.WriteString(c, completeRequest(client, n)); err != nil {
			return err
		}
	}
	for one := make([]byte, 1); ; sleep(ctx, bytePause) {
		if _, err := c.Read(one); err != nil {
			return err
		}
	}
}

// slowRequests sends complete requests to a service that takes seconds for each, and waits for the answers.
func slowRequests(_ context.Context, c net.Conn, client int) error {
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: s%d-%d\r\n%s: 12000\r\nContent-Length: 0\r\n\r\n", pathSlow, requestHost, peer.HeaderID,
		client, time.Now().UnixNano(), peer.HeaderRemaining)
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	return waitForEnd(c)
}
