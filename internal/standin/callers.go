package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Ask is one request of a stand-in caller.
type Ask struct {
	Route string
	Call  fleetplan.Call
}

// Mix draws requests from a plan: few keys are asked for often, most now and then.
type Mix struct {
	Tenants int // whose shared prompt parts differ
	plan    *fleetplan.Plan
	asks    []Ask
	sum     []float64
	rand    *rand.Rand
	tag     string
	n       int
}

// NewMix makes a mix. The same seed draws the same requests.
func NewMix(p *fleetplan.Plan, seed uint64) *Mix {
	m := &Mix{plan: p, rand: rand.New(rand.NewPCG(seed, 17)), tag: fmt.Sprintf("c%x", seed)}
	seen := map[ident.Key]int{}
	for _, r := range generic.SortedKeys(p.Routes) {
		for _, k := range generic.SortedKeys(p.Services[p.Routes[r].Service].Keys) {
			for _, c := range generic.SortedKeys(p.Routes[r].Kinds) {
				if _, ok := seen[k]; !ok {
					seen[k] = len(seen)
				}
				b, x, _ := strings.Cut(string(k), "+")
				m.asks = append(m.asks, Ask{r, fleetplan.Call{Base: b, Extra: x, Kind: c}})
			}
		}
	}
	all := 0.0
	for _, a := range m.asks {
		k := ident.KeyOf(a.Call.Base, a.Call.Extra)
		w := 1 / float64(1+seen[k])
		if p.Models[k].Floor > 0 {
			w *= 8 // what operators keep ready is what is asked for
		}
		w /= float64(1 + p.Kinds[a.Call.Kind].Value)
		all += w
		m.sum = append(m.sum, all)
	}
	return m
}

// Next draws a request.
func (m *Mix) Next() Ask {
	f := m.rand.Float64() * m.sum[len(m.sum)-1]
	i := sort.SearchFloat64s(m.sum, f)
	return m.Of(m.asks[min(i, len(m.asks)-1)])
}

// Rare draws a request for one of the keys that are asked for least.
func (m *Mix) Rare() Ask {
	for range 50 {
		a := m.asks[m.rand.IntN(len(m.asks))]
		if m.plan.Models[ident.KeyOf(a.Call.Base, a.Call.Extra)].Floor == 0 {
			return m.Of(a)
		}
	}
	return m.Next()
}

// Of fills in a request for the route and model of another.
func (m *Mix) Of(a Ask) Ask {
	m.n++
	a.Call.ID = fmt.Sprintf("%s-%d", m.tag, m.n)
	t := m.rand.IntN(max(6, m.Tenants))
	a.Call.Parts = []string{strings.Repeat("system ", 60), strings.Repeat(fmt.Sprintf("tenant-%d ", t), 60)}
	a.Call.Prompt = strings.Repeat("line ", 4+m.rand.IntN(60))
	a.Call.Max = 4 + m.rand.IntN(28)
	a.Call.Again = m.rand.IntN(3) > 0
	return a
}

// Body writes a request as callers send it.
func (a Ask) Body() []byte {
	c := a.Call
	m := map[string]any{"id": c.ID, "model": c.Base, "kind": c.Kind, "parts": c.Parts, "prompt": c.Prompt, "max_tokens": c.Max, "repeatable": c.Again}
	if c.Extra != "" {
		m["adapter"] = c.Extra
	}
	if c.Wait != 0 {
		m["horizon_ms"] = c.Wait.Milliseconds()
	}
	if c.Repeat {
		m["repeat"] = true
	}
	b, _ := json.Marshal(m)
	return b
}

// CallReport is what callers saw.
type CallReport struct {
	Sent, Receipts, Events int
	Kinds                  map[string]int
	Wrong                  []string // what must never be seen
	Unreached, Reused      int
	First                  []time.Duration // until the first event
	Repeats, Backs         int
	ByRouter               map[string]int
}

// CallOptions of a run of callers.
type CallOptions struct {
	Routers []string
	Next    func() Ask
	Rate    float64 // requests a second
	Total   int
	Most    int // under way at once
	Again   bool
}

// Calls sends requests to routers in turn, checks every answer, and reports.
func Calls(ctx context.Context, o CallOptions) *CallReport {
	r := &CallReport{Kinds: map[string]int{}, ByRouter: map[string]int{}}
	var mu sync.Mutex // guards the report
	var all sync.WaitGroup
	if o.Most == 0 {
		o.Most = 512
	}
	slot := make(chan struct{}, o.Most)
	h := Client()
	begin := time.Now()
	for i := 0; i < o.Total && ctx.Err() == nil; i++ {
		due := begin.Add(time.Duration(float64(i) / o.Rate * 1e9))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		a := o.Next()
		to := o.Routers[i%len(o.Routers)]
		slot <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-slot }()
			back := Call(h, to, a, r, &mu)
			if back > 0 && o.Again && a.Call.Again && i%10 == 0 {
				// One caller in ten comes back when told to, and says that it does.
				time.Sleep(back)
				a.Call.Repeat = true
				mu.Lock()
				r.Repeats++
				mu.Unlock()
				Call(h, to, a, r, &mu)
			}
		}()
	}
	all.Wait()
	return r
}

// Client makes the HTTP client of a stand-in caller.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
}

// Outcome is what became of one request.
type Outcome struct {
	Kind   string // empty for an answer
	Back   time.Duration
	Events int
	Reused int
	First  time.Duration
	Took   time.Duration
	Wrong  string
}

// Call sends one request, checks its answer to the end, and adds it to a report. It tells
// when to come back, if the request was dropped.
func Call(h *http.Client, to string, a Ask, r *CallReport, mu *sync.Mutex) time.Duration {
	o := One(h, to, a, true)
	mu.Lock()
	defer mu.Unlock()
	r.Sent++
	r.ByRouter[to]++
	r.Events += o.Events
	r.Reused += o.Reused
	if o.First > 0 {
		r.First = append(r.First, o.First)
	}
	if o.Wrong != "" {
		r.Wrong = append(r.Wrong, a.Call.ID+": "+o.Wrong)
	}
	if o.Kind == "" {
		r.Receipts++
	} else {
		r.Kinds[o.Kind]++
	}
	if o.Back > 0 {
		r.Backs++
	}
	return o.Back
}

// One sends one request and checks its answer to the end; with words, also that every
// event is what a stand-in server says to this very request.
func One(h *http.Client, to string, a Ask, words bool) (o Outcome) {
	at := time.Now()
	defer func() { o.Took = time.Since(at) }()
	q, err := http.NewRequest(http.MethodPost, "http://"+to+a.Route, bytes.NewReader(a.Body()))
	if err != nil {
		return Outcome{Kind: "unsent", Wrong: err.Error()}
	}
	w, err := h.Do(q)
	if err != nil {
		return Outcome{Kind: "router unreached"}
	}
	defer w.Body.Close()
	var p struct {
		Kind    string `json:"kind"`
		Dropped bool   `json:"dropped"`
		BackMs  int64  `json:"retry_after_ms"`
	}
	if w.StatusCode != 200 {
		if json.NewDecoder(w.Body).Decode(&p) != nil || p.Kind == "" {
			return Outcome{Kind: "no kind", Wrong: fmt.Sprintf("status %d without a kind", w.StatusCode)}
		}
		return Outcome{Kind: p.Kind, Back: time.Duration(p.BackMs) * time.Millisecond}
	}
	in := bufio.NewReader(w.Body)
	server, run, bad := ident.Server(""), "", false
	for {
		l, err := in.ReadString('\n')
		if err != nil {
			o.Kind = "router broke off"
			return o
		}
		l = strings.TrimSpace(l)
		if l == "event: error" {
			bad = true
			continue
		}
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		if bad {
			_ = json.Unmarshal([]byte(d), &p)
			o.Kind = p.Kind
			return o
		}
		var e Event
		if json.Unmarshal([]byte(d), &e) != nil {
			o.Kind, o.Wrong = "bad event", "an event that is not JSON"
			return o
		}
		if o.Events == 0 {
			server, run, o.Reused, o.First = e.Server, e.Go, e.Reused, time.Since(at)
		}
		if why := CheckEvent(a, e, o.Events, server, run); why != "" && (words || e.N != o.Events || e.Go != run) {
			o.Kind, o.Wrong = "wrong event", why
			return o
		}
		o.Events++
		if e.Done {
			return o
		}
	}
}

// CheckEvent tells what is wrong with the n-th event of an answer, if anything.
func CheckEvent(a Ask, e Event, n int, server ident.Server, run string) string {
	c := a.Call
	switch {
	case e.N != n:
		return fmt.Sprintf("event %d came as number %d", e.N, n)
	case e.Server != server || e.Go != run:
		return "events of two goes in one answer"
	case e.Done && n != c.Max:
		return fmt.Sprintf("ended after %d of %d", n, c.Max)
	case !e.Done && e.Text != Word(c.ID, c.Base, c.Extra, n):
		return "an event that belongs to someone else"
	}
	return ""
}
