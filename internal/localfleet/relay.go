package localfleet

import (
	"net"
	"sync"
	"time"
)

// Relays are the links of a fleet: whoever connects to a process goes through one, which knows
// both ends by their addresses and can hold back what goes one way, or both, or break it off.
type Relays struct {
	mu    sync.Mutex // guards all below
	cond  *sync.Cond
	cuts  map[[2]string]bool // from ip, to ip
	delay  time.Duration
	rates map[string]float64 // bytes that a machine's connections carry in a second, where that is little
	conns map[net.Conn]bool
	listeners  []net.Listener
	closed  bool
}

// NewRelays makes links that carry everything.
func NewRelays() *Relays {
	r := &Relays{cuts: map[[2]string]bool{}, rates: map[string]float64{}, conns: map[net.Conn]bool{}}
	r.cond = sync.NewCond(&r.mu)
	return r
}

// Open listens at one address and carries what comes to another.
func (r *Relays) Open(from, to string) error {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	there, _, _ := net.SplitHostPort(from)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.relay(c, there, to)
		}
	}()
	return nil
}

func (r *Relays) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *Relays) closeConn(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relays) relay(c net.Conn, there, to string) {
	here, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	r.track(c)
	defer r.closeConn(c)
	if !r.waitOpen(here, there) {
		return
	}
	// The process behind sees who it is that connects.
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(here)}}
	d, err := dialer.Dial("tcp", to)
	if err != nil {
		return
	}
	r.track(d)
	defer r.closeConn(d)
	var both sync.WaitGroup
	pump := func(a, b net.Conn, from, to string) {
		defer both.Done()
		defer func() { _, _ = a.Close(), b.Close() }()
		buf := make([]byte, 32<<10)
		for {
			n, err := a.Read(buf)
			if n > 0 {
				time.Sleep(r.transferTime(n, from, to))
				if !r.waitOpen(from, to) {
					return
				}
				if _, err := b.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	both.Add(2)
	go pump(c, d, here, there)
	go pump(d, c, there, here)
	both.Wait()
}

// pass waits while a way is cut; it tells whether the links are still up.
func (r *Relays) waitOpen(from, to string) bool {
	r.mu.Lock()
	slow := r.delay
	r.mu.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cuts[[2]string{from, to}] && !r.closed {
		r.cond.Wait()
	}
	return !r.closed
}

// Cut holds back all that goes one way.
func (r *Relays) Cut(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[[2]string{from, to}] = true
}

// Mend carries again what goes one way.
func (r *Relays) Mend(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cuts, [2]string{from, to})
	r.cond.Broadcast()
}

// BreakAt breaks off every connection from or to one address.
func (r *Relays) BreakAt(ip string) {
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

// Slow delays every part of what is carried.
func (r *Relays) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Narrow bounds what each connection from or to an address carries in a second, in bytes; zero takes the bound away.
func (r *Relays) Narrow(ip string, bytesPerSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytesPerSecond <= 0 {
		delete(r.rates, ip)
		return
	}
	r.rates[ip] = bytesPerSecond
}

// takes gives how long some bytes take from one address to another.
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

// Heal carries everything again.
func (r *Relays) RestoreAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts, r.delay = map[[2]string]bool{}, 0
	r.cond.Broadcast()
}

// Break breaks off every connection there is.
func (r *Relays) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close ends the links.
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
