package localfleet

import (
	"net"
	"sync"
	"time"
)

// Relays are the links of a fleet. Every connection to a process passes through a TCP relay, which identifies both ends
// by their IPs and can block either direction, delay or throttle the data, or close the connection.
type Relays struct {
	mu        sync.Mutex // guards the fields below
	cond      *sync.Cond
	cuts      map[[2]string]bool // source and destination IP
	delay     time.Duration
	rates     map[string]float64 // bytes per second of each connection of an IP, where limited
	conns     map[net.Conn]bool
	listeners []net.Listener
	closed    bool
}

// NewRelays returns links without restrictions.
func NewRelays() *Relays {
	r := &Relays{cuts: map[[2]string]bool{}, rates: map[string]float64{}, conns: map[net.Conn]bool{}}
	r.cond = sync.NewCond(&r.mu)
	return r
}

// Open listens at one address and relays its connections to another.
func (r *Relays) Open(from, to string) error {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, listener)
	r.mu.Unlock()
	toIP, _, _ := net.SplitHostPort(from)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.relay(conn, toIP, to)
		}
	}()
	return nil
}

func (r *Relays) track(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
}

func (r *Relays) closeConn(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

func (r *Relays) relay(client net.Conn, toIP, to string) {
	fromIP, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	r.track(client)
	defer r.closeConn(client)
	if !r.waitOpen(fromIP, toIP) {
		return
	}
	// The target process sees the IP of the connecting machine.
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fromIP)}}
	server, err := dialer.Dial("tcp", to)
	if err != nil {
		return
	}
	r.track(server)
	defer r.closeConn(server)
	var group sync.WaitGroup
	forward := func(src, dst net.Conn, from, to string) {
		defer group.Done()
		defer func() { _, _ = src.Close(), dst.Close() }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				time.Sleep(r.transferTime(n, from, to))
				if !r.waitOpen(from, to) {
					return
				}
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	group.Add(2)
	go forward(client, server, fromIP, toIP)
	go forward(server, client, toIP, fromIP)
	group.Wait()
}

// waitOpen applies the delay, waits while a direction is cut, and reports whether the links are still open.
func (r *Relays) waitOpen(from, to string) bool {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cuts[[2]string{from, to}] && !r.closed {
		r.cond.Wait()
	}
	return !r.closed
}

// Cut blocks one direction. Data is held until Restore or RestoreAll.
func (r *Relays) Cut(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[[2]string{from, to}] = true
}

// Restore unblocks one direction.
func (r *Relays) Restore(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cuts, [2]string{from, to})
	r.cond.Broadcast()
}

// CloseConnsAt closes every connection from or to an IP.
func (r *Relays) CloseConnsAt(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, a := range []net.Addr{c.LocalAddr(), c.RemoteAddr()} {
			if host, _, _ := net.SplitHostPort(a.String()); host == ip {
				_ = c.Close()
			}
		}
	}
}

// SetDelay delays each relayed chunk of data.
func (r *Relays) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// LimitRate limits each connection from or to an IP to a number of bytes per second. Zero removes the limit.
func (r *Relays) LimitRate(ip string, bytesPerSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytesPerSecond <= 0 {
		delete(r.rates, ip)
		return
	}
	r.rates[ip] = bytesPerSecond
}

// transferTime returns how long n bytes take between two IPs under the rate limits.
func (r *Relays) transferTime(n int, from, to string) (span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ip := range []string{from, to} {
		if rate := r.rates[ip]; rate > 0 {
			span += time.Duration(float64(n) / rate * float64(time.Second))
		}
	}
	return span
}

// RestoreAll unblocks all directions and removes the delay. Rate limits stay.
func (r *Relays) RestoreAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts, r.delay = map[[2]string]bool{}, 0
	r.cond.Broadcast()
}

// CloseConns closes every connection.
func (r *Relays) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close closes the listeners and all connections, and releases waiting relays.
func (r *Relays) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for c := range r.conns {
		_ = c.Close()
	}
	r.cond.Broadcast()
}
