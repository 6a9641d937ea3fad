package connlimit

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Memory that a request's head costs while it is read and while its request is in progress.
const (
	headByteCost = 3   // bytes for each byte: a line is copied as it grows
	headLineCost = 300 // bytes for each line: its entries in the headers of the request and of the request to the server
)

// headSlack is how far a head may exceed its maximum before the connection is refused, in bytes: the bytes that were read
// may include those of a body or of further requests. A head within the slack is left to the server.
const headSlack = 4 << 10

// Conn is a connection that a Limiter has accepted.
type Conn struct {
	net.Conn
	limiter      *Limiter
	acceptedAt   time.Time
	writingSince atomic.Int64 // when the write in progress began, in ns since 1970; 0 if there is none

	// Guarded by the limiter's lock.
	gone        bool
	evicted     bool // closed to make room, and its owner has not noticed
	priority    priority
	position    *list.Element // in the limiter's list, nil if a complete request is in progress
	memory      int64         // for the connection itself
	input       int64         // memory for input
	readingHead bool
	headBytes   int
	trusted     bool // input is no longer accounted
}

// Read reads from the client and accounts for what it has read. If that exceeds a limit, the client is refused.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	switch c.account(b[:n]) {
	case headTooLong:
		c.refuse(c.limiter.config.HeadTooLong)
		return 0, io.EOF
	case noRoom:
		c.refuse(c.limiter.config.Full)
		return 0, io.EOF
	}
	return n, err
}

// verdict is the outcome of accounting for input.
type verdict int

const (
	accepted verdict = iota
	headTooLong
	noRoom
)

// account accounts for bytes that were read.
func (c *Conn) account(b []byte) verdict {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.position == nil: // a complete request is in progress
		return accepted
	case c.trusted:
		l.waiting[c.priority].MoveToBack(c.position)
		return accepted
	}
	if !l.activate(c) {
		return noRoom
	}
	cost := int64(len(b)) * l.config.BodyCost
	if c.readingHead {
		c.headBytes += len(b)
		if c.headBytes > headSlack && c.headBytes > l.maxHead()+headSlack {
			return headTooLong
		}
		if c.gone { // closed while the limit was looked up
			return accepted
		}
		cost = int64(len(b))*headByteCost + int64(bytes.Count(b, []byte{'\n'}))*headLineCost
	}
	if cost > 0 && !l.charge(c, cost) {
		return noRoom
	}
	return accepted
}

// maxHead returns the maximum size of a head, in bytes. The lock is released meanwhile, since the limit may come from a
// configuration behind another lock.
func (l *Limiter) maxHead() int {
	l.mu.Unlock()
	defer l.mu.Lock()
	return l.config.MaxHead()
}

// refuse answers the client and gives up the connection's place. The connection then only waits for its client to close.
func (c *Conn) refuse(answer []byte) {
	l := c.limiter
	l.mu.Lock()
	l.counts.Refused++
	l.setInput(c, 0)
	c.trusted = true // what follows is discarded
	l.mu.Unlock()
	if len(answer) == 0 {
		c.ResetOnClose()
		return
	}
	writeRefusal(c.Conn, answer)
}

// Write writes to the client.
func (c *Conn) Write(b []byte) (int, error) {
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *Conn) Close() error {
	l := c.limiter
	l.mu.Lock()
	l.forget(c)
	if c.evicted {
		c.evicted = false
		l.closing.Add(-1)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// ResetOnClose makes the connection end with a reset, which discards what it has not delivered.
func (c *Conn) ResetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// HeadComplete notes that the head of a request has been read.
func (c *Conn) HeadComplete() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.readingHead = false
}

// Claim notes that a request has been read whole: the connection keeps its place until Release.
func (c *Conn) Claim() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gone {
		return
	}
	l.unlist(c)
	l.claimed[c] = struct{}{}
}

// Trust notes that the client has identified itself as a node of the fleet: its input is no longer accounted. Newcomers are
// closed before it to make room, and then the nodes that were silent for longest, which connect again.
func (c *Conn) Trust() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.trusted = true
	l.setIdle(c)
}

// Release notes that the answer to a request has ended and that the connection waits for the next one.
func (c *Conn) Release() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readingHead, c.headBytes = l.config.MaxHead != nil, 0
	if _, ok := l.claimed[c]; ok {
		l.setIdle(c)
		return
	}
	if !c.gone {
		l.setInput(c, 0)
	}
}

// setIdle notes that a connection is idle.
func (l *Limiter) setIdle(c *Conn) {
	if c.gone {
		return
	}
	l.unlist(c)
	l.setInput(c, 0)
	l.setMemory(c, idleBytes)
	c.priority = idle
	c.position = l.waiting[idle].PushBack(c)
}
