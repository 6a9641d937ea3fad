package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// fault is how a server misbehaves at one request.
type fault string

// The faults of servers.
const (
	sound    fault = ""
	hang     fault = "hang"     // it runs and never answers
	reset    fault = "reset"    // it runs and breaks the connection off
	half     fault = "half"     // its answer breaks off in the middle
	twice    fault = "twice"    // a second answer follows the first
	foreign  fault = "foreign"  // an answer to another request comes first
	unsealed fault = "unsealed" // a success without its seal
	late     fault = "late"     // it answers after a long time
	early    fault = "early"    // it turns a request away before its body is in, and reads on
	failure  fault = "failure"  // a failure of its own
	unframed fault = "unframed" // the answer has no length and ends with the connection
)

var faults = []fault{hang, reset, half, twice, foreign, unsealed, late, early, failure, unframed}

// server is a stand-in model server, or a plain one, at one address. It lives several lives, each with an id.
type server struct {
	fleet   *fleet
	judge   *judge
	name    string
	service string
	address string // that it announces
	bind    string
	ip      string

	mu       sync.Mutex // guards the rest
	life     int
	id       string
	up       bool
	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc
	held     map[string]bool
	calls    uint64 // announcements
	orders   uint64
	busy     bool
	active   int
	leaving  bool
	rude     float64 // share of requests at which it misbehaves
	random   *rand.Rand
	stale    []staleBeat // announcements that are sent once more, late
}

// staleBeat is an announcement of some life.
type staleBeat struct {
	id   string
	body []byte
}

func newServer(f *fleet, place int, service string, seed uint64) *server {
	s := &server{fleet: f, judge: f.judge, name: fmt.Sprintf("%s-%d", service, place), service: service, random: rand.New(rand.NewPCG(seed, uint64(place)))}
	s.ip = fmt.Sprintf("127.%d.2.%d", f.network, place+1)
	s.address, s.bind = at(s.ip, portServer), at(fmt.Sprintf("127.%d.2.%d", f.network+1, place+1), portServer)
	return s
}

func (s *server) plain() bool { return s.service != modelService }

// begin starts a life at the server's address: with models of its own, or empty.
func (s *server) begin(models ...string) error {
	l, err := net.Listen("tcp", s.bind)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	s.id = fmt.Sprintf("%s-life%d-%d", s.name, s.life, s.random.Uint32())
	s.up, s.leaving, s.listener, s.held, s.calls, s.orders, s.busy, s.active = true, false, l, map[string]bool{}, 0, 0, false, 0
	for _, m := range models {
		s.held[m] = true
	}
	s.http = &http.Server{Handler: &life{server: s, id: s.id}, IdleTimeout: 3 * time.Second}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.judge.serverBegan(s.id, s.service)
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	go s.beat(ctx, s.id)
	return nil
}

// alive tells whether the server is in a life.
func (s *server) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// crash ends the life without a word; a dark one keeps its connections open and says nothing.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	s.stop()
	_ = s.http.Close()
}

// leave ends the life in order: with a notice and an end, or with an end only. The address is free afterwards.
func (s *server) leave(ctx context.Context, notice bool) {
	s.mu.Lock()
	id := s.id
	up := s.up && !s.leaving
	s.leaving = s.leaving || up
	s.mu.Unlock()
	if !up {
		return
	}
	var acked time.Time
	for tries := 0; acked.IsZero() && tries < 12 && ctx.Err() == nil; tries++ {
		if notice {
			acked = s.announce(id, peer.Leaving)
		} else {
			acked = s.end(id)
		}
	}
	if !acked.IsZero() {
		s.judge.leavingAcked(id, acked)
	}
	wait(ctx, drainSpan+s.pause(1500*time.Millisecond))
	if notice {
		s.end(id)
	}
	s.mu.Lock()
	s.up = false
	s.stop()
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
}

// pause draws a time up to most.
func (s *server) pause(most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(most)))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// beat announces a life until it ends.
func (s *server) beat(ctx context.Context, id string) {
	for ctx.Err() == nil {
		s.mu.Lock()
		condition := peer.Steady
		if s.leaving {
			condition = ""
		}
		s.mu.Unlock()
		if condition != "" {
			s.announce(id, condition)
		}
		wait(ctx, beatPeriod*9/10+s.pause(beatPeriod/5))
	}
}

// beatClient sends announcements from the server's own address, each on a connection of its own.
func (s *server) beatClient() *http.Client {
	dial := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.ip)}}
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial.DialContext}}
}

// announce sends an announcement to one node after another; it tells when it was acknowledged, if it was.
func (s *server) announce(id, condition string) (acked time.Time) {
	s.mu.Lock()
	if s.id != id {
		s.mu.Unlock()
		return acked
	}
	s.calls++
	a := peer.Announcement{Service: s.service, Address: s.address, Zone: zones[0], Revision: "v1", Capacity: s.capacity(), Condition: condition,
		Phase: "combined", Models: s.models(), Calls: s.calls}
	s.mu.Unlock()
	raw, _ := json.Marshal(a)
	s.mu.Lock()
	if condition == peer.Steady {
		s.stale = append(s.stale, staleBeat{id, raw})
		s.stale = s.stale[max(0, len(s.stale)-8):]
	}
	s.mu.Unlock()
	return s.call(http.MethodPut, id, raw)
}

// repeat sends an earlier announcement once more: it comes seconds late, perhaps from a life that is over.
func (s *server) repeat() {
	s.mu.Lock()
	if len(s.stale) == 0 {
		s.mu.Unlock()
		return
	}
	b := s.stale[s.random.IntN(len(s.stale))]
	s.mu.Unlock()
	s.call(http.MethodPut, b.id, b.body)
}

// end announces that the life is over.
func (s *server) end(id string) time.Time { return s.call(http.MethodDelete, id, nil) }

func (s *server) call(method, id string, raw []byte) (acked time.Time) {
	cores := s.fleet.of(controllerRole)
	s.mu.Lock()
	first := s.random.IntN(len(cores))
	s.mu.Unlock()
	client := s.beatClient()
	for i := range cores {
		m := cores[(first+i)%len(cores)]
		q, err := http.NewRequest(method, "http://"+at(m.told, portControl)+peer.PathServers+id, bytes.NewReader(raw))
		if err != nil {
			return acked
		}
		answer, err := client.Do(q)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, 4<<10))
		_ = answer.Body.Close()
		if answer.StatusCode/100 == 2 {
			return time.Now()
		}
	}
	return acked
}

func (s *server) capacity() int {
	if s.plain() {
		return slotsOfPlain
	}
	return slotsOfModel
}

// models lists what the server holds; its lock is held.
func (s *server) models() []peer.Model {
	l := []peer.Model{}
	for m := range s.held {
		l = append(l, peer.Model{Label: m, Revision: 1, Deltas: []string{}})
	}
	return l
}

// life serves one life of a server.
type life struct {
	*server
	id string
}

// ServeHTTP takes orders, questions and requests.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case peer.PathOrder:
		l.order(w, r)
	case peer.PathReport:
		l.report(w)
	case peer.PathHealth:
		w.Header().Set(peer.HeaderServerID, l.id)
		w.WriteHeader(http.StatusOK)
	default:
		l.request(w, r)
	}
}

func (l *life) report(w http.ResponseWriter) {
	l.mu.Lock()
	raw, _ := json.Marshal(peer.Report{Phase: "combined", Models: l.models(), Saturated: l.busy, Calls: l.orders, Active: l.active})
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

func (l *life) order(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o, err := peer.ReadOrder(raw)
	if err != nil || l.plain() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get(peer.HeaderServer); target != "" && target != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.judge.ordered(l.id, hostOf(r.RemoteAddr), o)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.busy || o.Expected != nil && *o.Expected != l.orders:
		w.WriteHeader(http.StatusConflict)
	case l.held[o.Base] == (o.Operation == peer.Load):
		w.WriteHeader(http.StatusOK)
	default:
		l.orders++
		l.busy = true
		if o.Operation == peer.Load && (len(l.held)+1)*modelMb > serverMb {
			l.judge.violate("LIMIT", "%s is ordered to load %s beside %d models", l.id, o.Base, len(l.held))
		}
		time.AfterFunc(loadSpan, func() { l.done(o) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (l *life) done(o peer.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server.id != l.id {
		return
	}
	l.busy = false
	if o.Operation == peer.Load {
		l.held[o.Base] = true
	} else {
		delete(l.held, o.Base)
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// decline answers that a request did not run.
func decline(w http.ResponseWriter, id string, status int) {
	w.Header().Set(peer.HeaderID, id)
	w.Header().Set(peer.HeaderNotRun, "1")
	w.WriteHeader(status)
}

// admit tells whether a request can run here; else it was answered.
func (l *life) admit(w http.ResponseWriter, r *http.Request, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	model, _, _ := strings.Cut(r.Header.Get(peer.HeaderModel), "/")
	switch {
	case id == "":
		decline(w, id, http.StatusBadRequest)
	case r.Header.Get(peer.HeaderServer) != l.id && r.Header.Get(peer.HeaderServer) != "",
		!l.plain() && !l.held[model]:
		w.Header().Set(peer.HeaderID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case l.active >= l.capacity()+4:
		decline(w, id, http.StatusServiceUnavailable)
	default:
		l.active++
		return true
	}
	return false
}

func (l *life) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(peer.HeaderID)
	l.judge.reached(id, l.id, hostOf(r.RemoteAddr))
	f := l.draw()
	if f == early && r.ContentLength > earlyBody {
		_ = http.NewResponseController(w).EnableFullDuplex()
		decline(w, id, http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		wait(r.Context(), 100*time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !l.admit(w, r, id) {
		return
	}
	defer func() {
		l.mu.Lock()
		l.active--
		l.mu.Unlock()
	}()
	if shown := r.Header.Values(peer.HeaderKey); len(shown) > 0 {
		l.judge.violate("UNASKED", "%s at %s was shown %d lines with a key", id, l.id, len(shown))
	}
	l.judge.ran(run{id: id, tenant: strings.Join(r.Header.Values(peer.HeaderTenant), " and "), server: l.id, service: l.service, from: hostOf(r.RemoteAddr), at: time.Now(),
		method: r.Method, target: r.RequestURI, body: digest(body), left: peer.LeftMs(r.Header), fault: f})
	if strings.HasPrefix(r.URL.Path, pathResumable) || strings.HasPrefix(r.URL.Path, pathStream) {
		l.stream(w, r, id, f)
		return
	}
	l.whole(w, r, id, f)
}

// earlyBody is the least length of a body at which a server may answer before it is in.
const earlyBody = 32 << 10

func (l *life) draw() fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() >= l.rude {
		return sound
	}
	return faults[l.random.IntN(len(faults))]
}

func (l *life) work() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(5+l.random.IntN(35)) * time.Millisecond
}

// answerText is the body of the answer of a server to a request.
func answerText(id, server string) string { return fmt.Sprintf("answer to %s by %s", id, server) }

// sealOf is a server's seal on an answer.
func sealOf(id, server string) string { return "seal." + server + "." + id }

func (l *life) sealed(w http.ResponseWriter, id string) {
	w.Header().Set(peer.HeaderID, id)
	w.Header().Set(peer.HeaderSeal, sealOf(id, l.id))
}

// whole answers a request that wants no stream.
func (l *life) whole(w http.ResponseWriter, r *http.Request, id string, f fault) {
	wait(r.Context(), l.work())
	text := answerText(id, l.id)
	switch f {
	case hang:
		wait(r.Context(), 6*time.Second)
		panic(http.ErrAbortHandler)
	case reset:
		panic(http.ErrAbortHandler)
	case late:
		wait(r.Context(), 1500*time.Millisecond)
	case failure:
		l.sealed(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, text)
		return
	case unsealed:
		w.Header().Set(peer.HeaderID, id)
		_, _ = io.WriteString(w, text)
		return
	case half, twice, foreign, unframed:
		l.raw(w, id, text, f)
		return
	}
	l.sealed(w, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// raw writes an answer past the library, as a broken server would.
func (l *life) raw(w http.ResponseWriter, id, text string, f fault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", peer.HeaderID, id, peer.HeaderSeal, sealOf(id, l.id))
	}
	framed := func(id, text string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(id), len(text), text)
	}
	switch f {
	case half:
		_, _ = io.WriteString(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(id), len(text)+7, text[:len(text)/2]))
	case twice:
		_, _ = io.WriteString(conn, framed(id, text)+framed(id, text))
		time.Sleep(50 * time.Millisecond)
	case foreign:
		other := "other" + id
		_, _ = io.WriteString(conn, framed(other, answerText(other, l.id))+framed(id, text))
		time.Sleep(50 * time.Millisecond)
	case unframed:
		_, _ = io.WriteString(conn, head(id)+"Connection: close\r\n\r\n"+text)
	}
}

// The events of a stream.
const (
	eventCount = 8
	eventGap   = 12 * time.Millisecond
)

// eventText is the content of an event: the same at every server, so that a stream may be taken up elsewhere.
func eventText(id string, n uint64) string { return fmt.Sprintf("piece %d of %s", n, id) }

// stream answers a request with events, behind the last that the caller has seen.
func (l *life) stream(w http.ResponseWriter, r *http.Request, id string, f fault) {
	seen, _ := strconv.ParseUint(r.Header.Get(peer.HeaderSeen), 10, 64)
	if strings.HasPrefix(r.URL.Path, pathStream) {
		seen = 0
	}
	if f == reset {
		panic(http.ErrAbortHandler)
	}
	l.sealed(w, id)
	if f == unsealed {
		w.Header().Del(peer.HeaderSeal)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := seen + 1; n <= eventCount; n++ {
		text := peer.Event(n, eventText(id, n))
		if slices.Contains([]fault{half, hang, foreign}, f) && n == eventCount/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flush.Flush()
			if f == hang {
				wait(r.Context(), 5*time.Second)
			}
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		_ = flush.Flush()
		wait(r.Context(), eventGap)
		if r.Context().Err() != nil {
			return
		}
	}
}
