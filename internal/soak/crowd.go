package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// Clients that don't behave: what they send never becomes a complete request, so it has no claim on an answer.

// crowd is a set of connections to doors of one process whose clients don't behave. A client whose connection ends opens
// another one.
type crowd struct {
	clients sync.WaitGroup
	stop    context.CancelFunc
}

// misbehavior is what a client of a crowd does on one connection, until the connection fails or ctx ends.
type misbehavior func(ctx context.Context, c net.Conn, client int) error

// redialPause is how long a client of a crowd waits before it opens its next connection.
const redialPause = 20 * time.Millisecond

// startCrowd opens the crowd's connections, which are spread over the given addresses.
func startCrowd(addresses []string, size int, behave misbehavior) *crowd {
	ctx, stop := context.WithCancel(context.Background())
	c := &crowd{stop: stop}
	for client := range size {
		c.clients.Go(func() {
			for ctx.Err() == nil {
				runClient(ctx, addresses[client%len(addresses)], client, behave)
				sleep(ctx, redialPause)
			}
		})
	}
	return c
}

// runClient opens one connection and uses it until it fails or ctx ends.
func runClient(ctx context.Context, address string, client int, behave misbehavior) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = behave(ctx, conn, client)
}

// end closes the crowd's connections.
func (c *crowd) end() {
	c.stop()
	c.clients.Wait()
}

// crowdChunk is how much a client that sends without end writes at once, in bytes.
const crowdChunk = 32 << 10

// repeat sends a start and then the same text again and again.
func repeat(c net.Conn, start, text string) error {
	if _, err := io.WriteString(c, start); err != nil {
		return err
	}
	chunk := strings.Repeat(text, max(1, crowdChunk/len(text)))
	for {
		if _, err := io.WriteString(c, chunk); err != nil {
			return err
		}
	}
}

// waitForEnd reads from a connection until it ends.
func waitForEnd(c net.Conn) error {
	_, err := io.Copy(io.Discard, c)
	return err
}

// lineStart is the start of a request without its last line.
const lineStart = "GET " + pathPlain + "x HTTP/1.1\r\nHost: " + requestHost + "\r\n"

func endlessFirstLine(_ context.Context, c net.Conn, _ int) error {
	return repeat(c, "GET /", "a")
}

func endlessHeaderLine(_ context.Context, c net.Conn, _ int) error {
	return repeat(c, lineStart+"X-Filler: ", "a")
}

// endlessHeaderLines sends headers of different names without end.
func endlessHeaderLines(_ context.Context, c net.Conn, _ int) error {
	if _, err := io.WriteString(c, lineStart); err != nil {
		return err
	}
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", n, strings.Repeat("b", 100)); err != nil {
			return err
		}
	}
}

// shortLines returns lines of different names that have at most the given number of bytes together.
func shortLines(bytes int) string {
	var b strings.Builder
	for n := 0; ; n++ {
		line := fmt.Sprintf("%x:\r\n", n)
		if b.Len()+len(line) > bytes {
			return b.String()
		}
		b.WriteString(line)
	}
}

// Sizes of heads with many short lines, in bytes.
const (
	headBeyondLimits = 160 << 10
	headWithinLimits = 15 << 10 // the configuration allows 16 KiB
)

// shortHeaderLines sends many short headers, and never the end of the head.
func shortHeaderLines(_ context.Context, c net.Conn, _ int) error {
	if _, err := io.WriteString(c, lineStart+shortLines(headBeyondLimits)); err != nil {
		return err
	}
	return waitForEnd(c)
}

// shortHeaderLinesWithinLimits sends a head that stays within the limits, except that it never ends.
func shortHeaderLinesWithinLimits(_ context.Context, c net.Conn, _ int) error {
	if _, err := io.WriteString(c, lineStart+shortLines(headWithinLimits)); err != nil {
		return err
	}
	return waitForEnd(c)
}

func emptyLines(_ context.Context, c net.Conn, _ int) error {
	return repeat(c, "", "\r\n")
}

func silence(_ context.Context, c net.Conn, _ int) error { return waitForEnd(c) }

// bytePause is the pause between two bytes of a client that sends or reads a byte at a time.
const bytePause = 40 * time.Millisecond

// headByteByByte sends a head slowly.
func headByteByByte(ctx context.Context, c net.Conn, _ int) error {
	for _, b := range []byte(lineStart + strings.Repeat("X-Filler: slow\r\n", 1000)) {
		if _, err := c.Write([]byte{b}); err != nil {
			return err
		}
		sleep(ctx, bytePause)
	}
	return nil
}

// Sizes of bodies that never end, in bytes.
const (
	announcedBody = 4<<20 - 1
	sentBody      = 3 << 20
)

// unfinishedBody sends a request whose body stays incomplete.
func unfinishedBody(_ context.Context, c net.Conn, client int) error {
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: u%d\r\n%s: 60000\r\nContent-Length: %d\r\n\r\n",
		pathPlain, requestHost, peer.HeaderID, client, peer.HeaderRemaining, announcedBody)
	if _, err := io.WriteString(c, head+strings.Repeat("u", sentBody)); err != nil {
		return err
	}
	return waitForEnd(c)
}

// chunkedStart is the start of a request whose body comes in chunks.
const chunkedStart = "POST " + pathPlain + "x HTTP/1.1\r\nHost: " + requestHost + "\r\n" + peer.HeaderID + ": chunked\r\n" +
	peer.HeaderRemaining + ": 60000\r\nTransfer-Encoding: chunked\r\n\r\n"

func endlessChunks(_ context.Context, c net.Conn, _ int) error {
	return repeat(c, chunkedStart, "400\r\n"+strings.Repeat("c", 0x400)+"\r\n")
}

func endlessChunkExtension(_ context.Context, c net.Conn, _ int) error {
	return repeat(c, chunkedStart+"1;", "e")
}

func endlessTrailer(_ context.Context, c net.Conn, _ int) error {
	return repeat(c, chunkedStart+"0\r\n", "X-Trailer: t\r\n")
}

// unfinishedConfiguration sends an operator's change whose body stays incomplete.
func unfinishedConfiguration(_ context.Context, c net.Conn, _ int) error {
	head := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nIf-Match: 1\r\nContent-Length: %d\r\n\r\n", peer.PathConfiguration, announcedBody)
	if _, err := io.WriteString(c, head+strings.Repeat(" ", sentBody)); err != nil {
		return err
	}
	return waitForEnd(c)
}

// unfinishedAnnouncement sends a server's announcement whose body stays incomplete.
func unfinishedAnnouncement(_ context.Context, c net.Conn, client int) error {
	head := fmt.Sprintf("PUT %sx%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", peer.PathServers, client, announcedBody)
	if _, err := io.WriteString(c, head+strings.Repeat(" ", sentBody)); err != nil {
		return err
	}
	return waitForEnd(c)
}

// Parts of the protocol between nodes (drpc): a frame starts with its kind, the numbers of stream and message, and its
// length.
const (
	frameInvoke      = 1<<1 | 1
	frameMessage     = 2<<1 | 1
	unfinishedLength = 15 << 20 // of a message that stays incomplete, in bytes
	nodeRPC          = "/tidedeck/post"
)

// frameStart returns the start of a frame whose data has the given length.
func frameStart(kind byte, message uint64, length int) string {
	b := binary.AppendUvarint([]byte{kind, 1}, message)
	return string(binary.AppendUvarint(b, uint64(length)))
}

// unfinishedFrame sends a frame between nodes that stays incomplete, on a connection without a stream.
func unfinishedFrame(_ context.Context, c net.Conn, _ int) error {
	if _, err := io.WriteString(c, frameStart(frameInvoke, 1, unfinishedLength)+strings.Repeat("f", unfinishedLength-1)); err != nil {
		return err
	}
	return waitForEnd(c)
}

// unfinishedMessage opens a stream between nodes and sends a message that stays incomplete.
func unfinishedMessage(_ context.Context, c net.Conn, _ int) error {
	start := frameStart(frameInvoke, 1, len(nodeRPC)) + nodeRPC + frameStart(frameMessage, 2, unfinishedLength)
	if _, err := io.WriteString(c, start+strings.Repeat("f", unfinishedLength-1)); err != nil {
		return err
	}
	return waitForEnd(c)
}

func garbage(_ context.Context, c net.Conn, _ int) error { return repeat(c, "", "\xff\xfe\x80\x81") }
