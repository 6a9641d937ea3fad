package connlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures the limiter of one listener.
type Config struct {
	Limits
	MaxHead     func() int // maximum size of a request's head, in bytes; nil if the clients don't speak HTTP
	BodyCost    int64      // memory that the process keeps for each byte of input behind the head; 0 if it is accounted elsewhere
	HeadTooLong []byte     // answer to a client whose head is too long; the connection closes without one if empty
	Full        []byte     // answer to a client for which there is no room
}

// Limiter bounds the connections of one listener.
type Limiter struct {
	config  Config
	closing atomic.Int64 // connections closed to make room whose readers have not noticed

	mu      sync.Mutex // guards the rest, and the state of each connection
	open    int
	memory  int64                 // for connections
	input   int64                 // memory for input beyond the allowances
	waiting [priorities]list.List // connections that can be closed to make room, oldest first
	claimed map[*Conn]struct{}
	refused int // connections that are being refused
	counts  Counts
}

// Counts are the numbers of connections that a limiter has closed.
type Counts struct {
	Open    int    // connections open now
	Evicted uint64 // closed to make room for others
	Refused uint64 // refused because there was no room, or because of their head's size
}

// priority orders the connections that can be closed: the lowest goes first.
type priority int

const (
	newcomer   priority = iota // has sent no complete request
	idle                       // waits for its next request
	priorities                 // number of priorities
)

// New returns a limiter.
func New(c Config) *Limiter { return &Limiter{config: c, claimed: map[*Conn]struct{}{}} }

// Counts returns the current counts.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	counts.Open = l.open
	return counts
}

// Wrap limits the connections that a listener accepts.
func (l *Limiter) Wrap(listener net.Listener) net.Listener { return limitedListener{listener, l} }

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits for a connection for which there is room.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.limiter.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Accept waits for a connection at a listener for which there is room.
func (l *Limiter) Accept(listener net.Listener) (*Conn, error) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.admit(c); conn != nil {
			l.awaitClosing()
			return conn, nil
		}
	}
}

// Bounds on the wait for connections that were closed to make room. Each keeps its descriptor until the goroutine that reads
// from it has noticed.
const (
	closingFraction = 8 // one in so many places may be taken by such connections before the next one is accepted
	closingPolls    = 50
	closingInterval = time.Millisecond
)

// awaitClosing waits while too many connections are still being closed, so that they don't add up on a busy machine.
func (l *Limiter) awaitClosing() {
	for range closingPolls {
		if l.config.Connections == 0 || int(l.closing.Load()) <= l.config.Connections/closingFraction {
			return
		}
		time.Sleep(closingInterval)
	}
}

// admit makes room for a connection. It refuses the connection and returns nil if there is none.
func (l *Limiter) admit(c net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.hasRoom(1, activeBytes) {
		if !l.evictOldest(nil) {
			l.refuse(c)
			return nil
		}
	}
	conn := &Conn{Conn: c, limiter: l, acceptedAt: time.Now(), readingHead: l.config.MaxHead != nil}
	conn.position = l.waiting[newcomer].PushBack(conn)
	l.open++
	l.setMemory(conn, activeBytes)
	return conn
}

// hasRoom reports whether there is room for further connections that need the given memory.
func (l *Limiter) hasRoom(connections int, bytes int64) bool {
	return (l.config.Connections == 0 || l.open+connections <= l.config.Connections) &&
		(l.config.ConnectionBytes == 0 || l.memory+bytes <= l.config.ConnectionBytes)
}

// setMemory sets the memory for a connection.
func (l *Limiter) setMemory(c *Conn, bytes int64) {
	l.memory += bytes - c.memory
	c.memory = bytes
}

// activate notes that an idle connection has a request again, and reports whether there is room for what that needs.
func (l *Limiter) activate(c *Conn) bool {
	if c.memory == activeBytes {
		return true
	}
	l.setMemory(c, activeBytes)
	l.waiting[c.priority].MoveToBack(c.position)
	for !l.hasRoom(0, 0) {
		if !l.evictOldest(c) {
			return false
		}
	}
	return true
}

// evictOldest closes the connection with the least claim to its place, other than the one that asks for room, and reports
// whether there is one.
func (l *Limiter) evictOldest(asking *Conn) bool {
	victim := l.victim(asking)
	if victim == nil {
		return l.evictStalled()
	}
	l.evict(victim)
	return true
}

// victim returns the connection without a request in progress that has the least claim to its place, other than the one that
// asks for room, or nil if there is none.
func (l *Limiter) victim(asking *Conn) *Conn {
	oldestNewcomer, oldestIdle := l.oldest(newcomer, asking), l.oldest(idle, asking)
	switch {
	case oldestNewcomer != nil && l.waiting[newcomer].Len() > l.newcomerPlaces():
		return oldestNewcomer
	case oldestIdle != nil:
		return oldestIdle
	case oldestNewcomer != nil && time.Since(oldestNewcomer.acceptedAt) >= newcomerTime:
		return oldestNewcomer
	}
	return nil
}

// oldest returns the oldest connection of a priority, other than the one that asks for room, or nil if there is none.
func (l *Limiter) oldest(p priority, asking *Conn) *Conn {
	for e := l.waiting[p].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c != asking {
			return c
		}
	}
	return nil
}

const (
	// newcomerFraction is the fraction of the places, one in so many, that newcomers may hold before they give way to each
	// other: connections with requests one after another would otherwise close every newcomer before it is read from.
	newcomerFraction = 8
	// newcomerTime is how long newcomers within that fraction have to send a request if nobody else can give way.
	newcomerTime = 100 * time.Millisecond
)

// newcomerPlaces returns how many newcomers idle connections give way to.
func (l *Limiter) newcomerPlaces() int {
	places := l.config.Connections
	if byMemory := int(l.config.ConnectionBytes / activeBytes); byMemory > 0 && (places == 0 || byMemory < places) {
		places = byMemory
	}
	return places / newcomerFraction
}

// stalledAfter is how long a client may leave an answer unread before its connection can be closed to make room.
const stalledAfter = 2 * time.Second

// evictStalled closes the connection whose client has left its answer unread for longest, if that is too long.
func (l *Limiter) evictStalled() bool {
	limit := time.Now().Add(-stalledAfter).UnixNano()
	var stalled *Conn
	for c := range l.claimed {
		if since := c.writingSince.Load(); since > 0 && since < limit {
			stalled, limit = c, since
		}
	}
	if stalled == nil {
		return false
	}
	l.evict(stalled)
	return true
}

// evict closes a connection at once, with what its buffers hold.
func (l *Limiter) evict(c *Conn) {
	l.counts.Evicted++
	l.forget(c)
	c.evicted = true
	l.closing.Add(1)
	c.ResetOnClose()
	_ = c.Conn.Close()
}

// forget takes a connection out of all accounts.
func (l *Limiter) forget(c *Conn) {
	if c.gone {
		return
	}
	c.gone = true
	l.unlist(c)
	l.setInput(c, 0)
	l.setMemory(c, 0)
	l.open--
}

// unlist takes a connection out of the list that it is in.
func (l *Limiter) unlist(c *Conn) {
	if c.position != nil {
		l.waiting[c.priority].Remove(c.position)
		c.position = nil
	}
	delete(l.claimed, c)
}

// setInput sets the memory for a connection's input.
func (l *Limiter) setInput(c *Conn, bytes int64) {
	l.input += max(0, bytes-inputAllowance) - max(0, c.input-inputAllowance)
	c.input = bytes
}

// charge adds to the memory for a connection's input and reports whether there is room. If there is none, the connections
// that hold most for incomplete requests are closed; the connection itself is refused if it holds most. A connection that
// is the only one with input beyond its allowance always has room.
func (l *Limiter) charge(c *Conn, bytes int64) bool {
	l.setInput(c, c.input+bytes)
	own := max(0, c.input-inputAllowance)
	for l.config.InputBytes > 0 && own > 0 && l.input > max(l.config.InputBytes, own) {
		largest := l.largestWaiting()
		if largest == nil || largest == c {
			return false
		}
		l.evict(largest)
	}
	return true
}

// largestWaiting returns the connection without a complete request that holds most memory for its input, or nil if none
// holds more than its allowance.
func (l *Limiter) largestWaiting() (largest *Conn) {
	most := int64(inputAllowance)
	for p := range l.waiting {
		for e := l.waiting[p].Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); c.input > most {
				largest, most = c, c.input
			}
		}
	}
	return largest
}

// Bounds on the refusal of connections for which there is no room.
const (
	refusalTimeout  = 250 * time.Millisecond // for the client to take its answer and to close
	refusalBytes    = 256 << 10              // of what the client still sends, in bytes; reading them lets it read its answer
	refusedFraction = 16                     // one in so many places is for refusals under way; further connections close unanswered
)

// refuse refuses a connection for which there is no room.
func (l *Limiter) refuse(c net.Conn) {
	l.counts.Refused++
	if len(l.config.Full) == 0 || l.refused > l.config.Connections/refusedFraction {
		reset(c)
		return
	}
	l.refused++
	go func() {
		writeRefusal(c, l.config.Full)
		_ = c.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.refused--
	}()
}

// reset closes a connection at once.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// writeRefusal writes an answer and gives the client some time to read it and to close the connection.
func writeRefusal(c net.Conn, answer []byte) {
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := c.Write(answer); err == nil {
		discardUntilClosed(c)
	}
}

// discardUntilClosed reads what a client still sends until it closes the connection or a bound is reached: closing a
// connection with unread bytes would discard the answer on its way.
func discardUntilClosed(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	buffer := make([]byte, 4<<10)
	for total := 0; total < refusalBytes; {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}
