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

// fault is a server's misbehaviour at one request.
type fault string

// Faults that servers inject.
const (
	noFault          fault = ""
	hang             fault = "hang"     // executes the request and does not answer
	reset            fault = "reset"    // executes the request and closes the connection
	truncatedAnswer  fault = "half"     // closes the connection in the middle of the answer
	duplicatedAnswer fault = "twice"    // sends the answer twice
	foreignAnswer    fault = "foreign"  // sends an answer to another request first
	unsealed         fault = "unsealed" // sends a success without the seal
	lateAnswer       fault = "late"     // answers after a long delay
	earlyRefusal     fault = "early"    // declines the request before its body has arrived, and keeps reading the body
	serverError      fault = "failure"  // answers with status 500
	unframed         fault = "unframed" // sends an answer without a length, which ends with the connection
)

var faults = []fault{hang, reset, truncatedAnswer, duplicatedAnswer, foreignAnswer, unsealed, lateAnswer, earlyRefusal, serverError, unframed}

// server is a simulated server, for models or plain, at one address. Each start creates an incarnation with its own id.
type server struct {
	fleet   *fleet
	checker *checker
	name    string
	service string
	address string // address in announcements
	bind    string
	ip      string

	mu                sync.Mutex // guards the rest
	incarnations      int
	id                string
	running           bool
	listener          net.Listener
	httpServer        *http.Server
	stop              context.CancelFunc
	loadedModels      map[string]bool
	announcements     uint64 // announcements sent by this incarnation
	orderCount        uint64
	loading           bool
	active            int
	leaving           bool
	faultShare        float64 // share of requests with an injected fault
	random            *rand.Rand
	sentAnnouncements []sentAnnouncement // recent announcements, for late repeats
}

// sentAnnouncement is an announcement that an incarnation has sent.
type sentAnnouncement struct {
	id   string
	body []byte
}

func newServer(f *fleet, index int, service string, seed uint64) *server {
	s := &server{fleet: f, checker: f.checker, name: fmt.Sprintf("%s-%d", service, index), service: service, random: rand.New(rand.NewPCG(seed, uint64(index)))}
	s.ip = fmt.Sprintf("127.%d.2.%d", f.network, index+1)
	s.address, s.bind = hostPort(s.ip, portServer), hostPort(fmt.Sprintf("127.%d.2.%d", f.network+1, index+1), portServer)
	return s
}

func (s *server) plain() bool { return s.service != modelService }

// start starts an incarnation at the server's address with the given models loaded.
func (s *server) start(models ...string) error {
	l, err := net.Listen("tcp", s.bind)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations++
	s.id = fmt.Sprintf("%s-life%d-%d", s.name, s.incarnations, s.random.Uint32())
	s.running, s.leaving, s.listener, s.loadedModels, s.announcements, s.orderCount, s.loading, s.active = true, false, l, map[string]bool{}, 0, 0, false, 0
	for _, m := range models {
		s.loadedModels[m] = true
	}
	s.httpServer = &http.Server{Handler: &incarnation{server: s, id: s.id}, IdleTimeout: 3 * time.Second}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.checker.serverStarted(s.id, s.service)
	go func(httpServer *http.Server) { _ = httpServer.Serve(l) }(s.httpServer)
	go s.announceLoop(ctx, s.id)
	return nil
}

// isRunning reports whether an incarnation of the server is running.
func (s *server) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// crash ends the incarnation without notice and closes its connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		return
	}
	s.running = false
	s.stop()
	_ = s.httpServer.Close()
}

// leave ends the incarnation in an orderly way: it announces the departure and then the end, or the end only. The
// address is free afterwards.
func (s *server) leave(ctx context.Context, notice bool) {
	s.mu.Lock()
	id := s.id
	leaves := s.running && !s.leaving
	s.leaving = s.leaving || leaves
	s.mu.Unlock()
	if !leaves {
		return
	}
	var ackedAt time.Time
	for attempts := 0; ackedAt.IsZero() && attempts < 12 && ctx.Err() == nil; attempts++ {
		if notice {
			ackedAt = s.announce(id, peer.Leaving)
		} else {
			ackedAt = s.announceEnd(id)
		}
	}
	if !ackedAt.IsZero() {
		s.checker.leaveAcknowledged(id, ackedAt)
	}
	sleep(ctx, drainCutoff+s.randomPause(1500*time.Millisecond))
	if notice {
		s.announceEnd(id)
	}
	s.mu.Lock()
	s.running = false
	s.stop()
	httpServer := s.httpServer
	s.mu.Unlock()
	_ = httpServer.Close()
}

// randomPause draws a duration below limit.
func (s *server) randomPause(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// announceLoop announces an incarnation until it ends or leaves.
func (s *server) announceLoop(ctx context.Context, id string) {
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
		sleep(ctx, announceInterval*9/10+s.randomPause(announceInterval/5))
	}
}

// announceClient returns a client that sends each announcement from the server's address on a new connection.
func (s *server) announceClient() *http.Client {
	dial := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.ip)}}
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial.DialContext}}
}

// announce sends an announcement to one core node after another until one acknowledges it. It returns the time of the
// acknowledgement, or zero if there was none.
func (s *server) announce(id, condition string) (ackedAt time.Time) {
	s.mu.Lock()
	if s.id != id {
		s.mu.Unlock()
		return ackedAt
	}
	s.announcements++
	a := peer.Announcement{Service: s.service, Address: s.address, Zone: zones[0], Revision: "v1", Capacity: s.capacity(), Condition: condition,
		Phase: "combined", Models: s.models(), Calls: s.announcements}
	s.mu.Unlock()
	raw, _ := json.Marshal(a)
	s.mu.Lock()
	if condition == peer.Steady {
		s.sentAnnouncements = append(s.sentAnnouncements, sentAnnouncement{id, raw})
		s.sentAnnouncements = s.sentAnnouncements[max(0, len(s.sentAnnouncements)-8):]
	}
	s.mu.Unlock()
	return s.sendToCore(http.MethodPut, id, raw)
}

// resendAnnouncement sends an earlier announcement again, which is seconds old and may come from an incarnation that has
// ended.
func (s *server) resendAnnouncement() {
	s.mu.Lock()
	if len(s.sentAnnouncements) == 0 {
		s.mu.Unlock()
		return
	}
	b := s.sentAnnouncements[s.random.IntN(len(s.sentAnnouncements))]
	s.mu.Unlock()
	s.sendToCore(http.MethodPut, b.id, b.body)
}

// announceEnd announces that the incarnation has ended.
func (s *server) announceEnd(id string) time.Time { return s.sendToCore(http.MethodDelete, id, nil) }

func (s *server) sendToCore(method, id string, raw []byte) (ackedAt time.Time) {
	cores := s.fleet.withRole(controllerRole)
	s.mu.Lock()
	first := s.random.IntN(len(cores))
	s.mu.Unlock()
	client := s.announceClient()
	for i := range cores {
		m := cores[(first+i)%len(cores)]
		request, err := http.NewRequest(method, "http://"+hostPort(m.advertisedIP, portControl)+peer.PathServers+id, bytes.NewReader(raw))
		if err != nil {
			return ackedAt
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return time.Now()
		}
	}
	return ackedAt
}

func (s *server) capacity() int {
	if s.plain() {
		return plainServerSlots
	}
	return modelServerSlots
}

// models lists the loaded models. The caller holds the lock.
func (s *server) models() []peer.Model {
	l := []peer.Model{}
	for m := range s.loadedModels {
		l = append(l, peer.Model{Label: m, Revision: 1, Deltas: []string{}})
	}
	return l
}

// incarnation handles the requests to one incarnation of a server.
type incarnation struct {
	*server
	id string
}

// ServeHTTP handles orders, report and health queries, and callers' requests.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case peer.PathOrder:
		i.handleOrder(w, r)
	case peer.PathReport:
		i.handleReport(w)
	case peer.PathHealth:
		w.Header().Set(peer.HeaderServerID, i.id)
		w.WriteHeader(http.StatusOK)
	default:
		i.handleRequest(w, r)
	}
}

func (i *incarnation) handleReport(w http.ResponseWriter) {
	i.mu.Lock()
	raw, _ := json.Marshal(peer.Report{Phase: "combined", Models: i.models(), Saturated: i.loading, Calls: i.orderCount, Active: i.active})
	i.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

func (i *incarnation) handleOrder(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o, err := peer.ReadOrder(raw)
	if err != nil || i.plain() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get(peer.HeaderServer); target != "" && target != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.checker.checkOrder(i.id, hostOf(r.RemoteAddr), o)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.loading || o.Expected != nil && *o.Expected != i.orderCount:
		w.WriteHeader(http.StatusConflict)
	case i.loadedModels[o.Base] == (o.Operation == peer.Load):
		w.WriteHeader(http.StatusOK)
	default:
		i.orderCount++
		i.loading = true
		if o.Operation == peer.Load && (len(i.loadedModels)+1)*modelMb > serverMb {
			i.checker.violate("LIMIT", "%s was ordered to load %s in addition to %d models", i.id, o.Base, len(i.loadedModels))
		}
		time.AfterFunc(loadDuration, func() { i.finishOrder(o) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (i *incarnation) finishOrder(o peer.Order) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.server.id != i.id {
		return
	}
	i.loading = false
	if o.Operation == peer.Load {
		i.loadedModels[o.Base] = true
	} else {
		delete(i.loadedModels, o.Base)
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// decline answers that a request was not executed.
func decline(w http.ResponseWriter, id string, status int) {
	w.Header().Set(peer.HeaderID, id)
	w.Header().Set(peer.HeaderNotExecuted, "1")
	w.WriteHeader(status)
}

// admit reports whether the request can be executed. If not, admit has answered the request.
func (i *incarnation) admit(w http.ResponseWriter, r *http.Request, id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	model, _, _ := strings.Cut(r.Header.Get(peer.HeaderModel), "/")
	switch {
	case id == "":
		decline(w, id, http.StatusBadRequest)
	case r.Header.Get(peer.HeaderServer) != i.id && r.Header.Get(peer.HeaderServer) != "",
		!i.plain() && !i.loadedModels[model]:
		w.Header().Set(peer.HeaderID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case i.active >= i.capacity()+4:
		decline(w, id, http.StatusServiceUnavailable)
	default:
		i.active++
		return true
	}
	return false
}

func (i *incarnation) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(peer.HeaderID)
	i.checker.requestArrived(id, i.id, hostOf(r.RemoteAddr))
	f := i.randomFault()
	if f == earlyRefusal && r.ContentLength > minEarlyRefusalBody {
		_ = http.NewResponseController(w).EnableFullDuplex()
		decline(w, id, http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		sleep(r.Context(), 100*time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !i.admit(w, r, id) {
		return
	}
	defer func() {
		i.mu.Lock()
		i.active--
		i.mu.Unlock()
	}()
	if keys := r.Header.Values(peer.HeaderAuthorization); len(keys) > 0 {
		i.checker.violate("UNASKED", "%s at %s contains %d key headers", id, i.id, len(keys))
	}
	i.checker.requestExecuted(execution{id: id, tenant: strings.Join(r.Header.Values(peer.HeaderTenant), " and "), server: i.id, service: i.service, router: hostOf(r.RemoteAddr), startedAt: time.Now(),
		method: r.Method, target: r.RequestURI, body: digest(body), remainingMs: peer.RemainingMs(r.Header), fault: f})
	if strings.HasPrefix(r.URL.Path, pathResumable) || strings.HasPrefix(r.URL.Path, pathStream) {
		i.answerStream(w, r, id, f)
		return
	}
	i.answerWhole(w, r, id, f)
}

// minEarlyRefusalBody is the shortest body for which a server may answer before the body has arrived.
const minEarlyRefusalBody = 32 << 10

func (i *incarnation) randomFault() fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.random.Float64() >= i.faultShare {
		return noFault
	}
	return faults[i.random.IntN(len(faults))]
}

// randomWorkTime draws how long a server works on a request for a path.
func (i *incarnation) randomWorkTime(path string) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if strings.HasPrefix(path, pathSlow) {
		return time.Duration(i.random.Int64N(int64(slowWorkLimit)))
	}
	return time.Duration(5+i.random.IntN(35)) * time.Millisecond
}

// answerText returns the body of a server's answer to a request.
func answerText(id, server string) string { return fmt.Sprintf("answer to %s by %s", id, server) }

// sealOf returns a server's seal on its answer to a request.
func sealOf(id, server string) string { return "seal." + server + "." + id }

func (i *incarnation) setSealHeaders(w http.ResponseWriter, id string) {
	w.Header().Set(peer.HeaderID, id)
	w.Header().Set(peer.HeaderSeal, sealOf(id, i.id))
}

// answerWhole answers a request that is not for a stream.
func (i *incarnation) answerWhole(w http.ResponseWriter, r *http.Request, id string, f fault) {
	sleep(r.Context(), i.randomWorkTime(r.URL.Path))
	text := answerText(id, i.id)
	switch f {
	case hang:
		sleep(r.Context(), 6*time.Second)
		panic(http.ErrAbortHandler)
	case reset:
		panic(http.ErrAbortHandler)
	case lateAnswer:
		sleep(r.Context(), 1500*time.Millisecond)
	case serverError:
		i.setSealHeaders(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, text)
		return
	case unsealed:
		w.Header().Set(peer.HeaderID, id)
		_, _ = io.WriteString(w, text)
		return
	case truncatedAnswer, duplicatedAnswer, foreignAnswer, unframed:
		i.answerRaw(w, id, text, f)
		return
	}
	i.setSealHeaders(w, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// answerRaw writes an answer directly to the connection, as a faulty server may do.
func (i *incarnation) answerRaw(w http.ResponseWriter, id, text string, f fault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", peer.HeaderID, id, peer.HeaderSeal, sealOf(id, i.id))
	}
	framed := func(id, text string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(id), len(text), text)
	}
	switch f {
	case truncatedAnswer:
		_, _ = io.WriteString(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(id), len(text)+7, text[:len(text)/2]))
	case duplicatedAnswer:
		_, _ = io.WriteString(conn, framed(id, text)+framed(id, text))
		time.Sleep(50 * time.Millisecond)
	case foreignAnswer:
		other := "other" + id
		_, _ = io.WriteString(conn, framed(other, answerText(other, i.id))+framed(id, text))
		time.Sleep(50 * time.Millisecond)
	case unframed:
		_, _ = io.WriteString(conn, head(id)+"Connection: close\r\n\r\n"+text)
	}
}

// Number and interval of the events of a stream.
const (
	eventCount = 8
	eventGap   = 12 * time.Millisecond
)

// eventText returns the content of an event. Every server sends the same content, so that a stream can be resumed at
// another server.
func eventText(id string, n uint64) string { return fmt.Sprintf("piece %d of %s", n, id) }

// answerStream sends the events that follow the last one that the caller has seen.
func (i *incarnation) answerStream(w http.ResponseWriter, r *http.Request, id string, f fault) {
	seen, _ := strconv.ParseUint(r.Header.Get(peer.HeaderLastEvent), 10, 64)
	if strings.HasPrefix(r.URL.Path, pathStream) {
		seen = 0
	}
	if f == reset {
		panic(http.ErrAbortHandler)
	}
	i.setSealHeaders(w, id)
	if f == unsealed {
		w.Header().Del(peer.HeaderSeal)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := seen + 1; n <= eventCount; n++ {
		text := peer.Event(n, eventText(id, n))
		if slices.Contains([]fault{truncatedAnswer, hang, foreignAnswer}, f) && n == eventCount/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flush.Flush()
			if f == hang {
				sleep(r.Context(), 5*time.Second)
			}
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		_ = flush.Flush()
		sleep(r.Context(), eventGap)
		if r.Context().Err() != nil {
			return
		}
	}
}
