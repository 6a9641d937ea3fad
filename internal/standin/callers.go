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

// Request is one request of a stand-in caller.
type Ask struct {
	Route string
	Call  fleetplan.Call
}

// Workload generates random requests for the routes and models of a plan. Few keys are requested often, most of them rarely.
type Mix struct {
	Tenants    int // number of tenants with different shared prompt parts
	plan       *fleetplan.Plan
	templates  []Ask
	cumulative []float64
	rand       *rand.Rand
	idPrefix   string
	count      int
}

// NewWorkload creates a workload. The same seed gives the same requests.
func NewMix(p *fleetplan.Plan, seed uint64) *Mix {
	m := &Mix{plan: p, rand: rand.New(rand.NewPCG(seed, 17)), idPrefix: fmt.Sprintf("c%x", seed)}
	seen := map[ident.Key]int{}
	for _, r := range generic.SortedKeys(p.Routes) {
		for _, k := range generic.SortedKeys(p.Services[p.Routes[r].Service].Keys) {
			for _, c := range generic.SortedKeys(p.Routes[r].Kinds) {
				if _, ok := seen[k]; !ok {
					seen[k] = len(seen)
				}
				b, x, _ := strings.Cut(string(k), "+")
				m.templates = append(m.templates, Ask{r, fleetplan.Call{Base: b, Extra: x, Kind: c}})
			}
		}
	}
	all := 0.0
	for _, a := range m.templates {
		k := ident.KeyOf(a.Call.Base, a.Call.Extra)
		w := 1 / float64(1+seen[k])
		if p.Models[k].Floor > 0 {
			w *= 8 // models with a floor are the most requested ones
		}
		w /= float64(1 + p.Kinds[a.Call.Kind].Value)
		all += w
		m.cumulative = append(m.cumulative, all)
	}
	return m
}

// Next generates a request.
func (m *Mix) Next() Ask {
	f := m.rand.Float64() * m.cumulative[len(m.cumulative)-1]
	i := sort.SearchFloat64s(m.cumulative, f)
	return m.Of(m.templates[min(i, len(m.templates)-1)])
}

// NextRare generates a request for one of the least requested keys.
func (m *Mix) Rare() Ask {
	for range 50 {
		a := m.templates[m.rand.IntN(len(m.templates))]
		if m.plan.Models[ident.KeyOf(a.Call.Base, a.Call.Extra)].Floor == 0 {
			return m.Of(a)
		}
	}
	return m.Next()
}

// Fill generates a request with the route, model and kind of the given one.
func (m *Mix) Of(a Ask) Ask {
	m.count++
	a.Call.ID = fmt.Sprintf("%s-%d", m.idPrefix, m.count)
	t := m.rand.IntN(max(6, m.Tenants))
	a.Call.Parts = []string{strings.Repeat("system ", 60), strings.Repeat(fmt.Sprintf("tenant-%d ", t), 60)}
	a.Call.Prompt = strings.Repeat("line ", 4+m.rand.IntN(60))
	a.Call.Max = 4 + m.rand.IntN(28)
	a.Call.Again = m.rand.IntN(3) > 0
	return a
}

// Body returns the JSON body of the request.
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

// CallReport summarizes the results of a run of callers.
type CallReport struct {
	Sent, Receipts, Events int
	Kinds                  map[string]int
	Wrong                  []string // violations seen in responses
	Unreached, Reused      int
	First                  []time.Duration // times to the first event
	Repeats, Backs         int
	ByRouter               map[string]int
}

// CallOptions configure a run of callers.
type CallOptions struct {
	Routers []string
	Next    func() Ask
	Rate    float64 // requests per second
	Total   int
	Most    int  // maximum number of concurrent requests
	Again   bool // let some callers repeat a refused request after the time that the router names
}

// RunCalls sends requests to the routers in turn, checks every response, and returns a report.
func Calls(ctx context.Context, o CallOptions) *CallReport {
	r := &CallReport{Kinds: map[string]int{}, ByRouter: map[string]int{}}
	var mu sync.Mutex // guards the report
	var pending sync.WaitGroup
	if o.Most == 0 {
		o.Most = 512
	}
	slot := make(chan struct{}, o.Most)
	client := Client()
	begin := time.Now()
	for i := 0; i < o.Total && ctx.Err() == nil; i++ {
		due := begin.Add(time.Duration(float64(i) / o.Rate * 1e9))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		a := o.Next()
		router := o.Routers[i%len(o.Routers)]
		slot <- struct{}{}
		pending.Add(1)
		go func() {
			defer pending.Done()
			defer func() { <-slot }()
			retryAfter := Call(client, router, a, r, &mu)
			if retryAfter > 0 && o.Again && a.Call.Again && i%10 == 0 {
				// One caller in ten repeats the request after the time that the router names, and marks it as a repeat.
				time.Sleep(retryAfter)
				a.Call.Repeat = true
				mu.Lock()
				r.Repeats++
				mu.Unlock()
				Call(client, router, a, r, &mu)
			}
		}()
	}
	pending.Wait()
	return r
}

// Client creates the HTTP client of a stand-in caller.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
}

// Outcome is the result of one request.
type Outcome struct {
	Kind     string        // empty for a complete response
	Back     time.Duration // time after which the router allows a repeat
	Events   int
	Reused   int
	First    time.Duration
	Duration time.Duration
	Wrong    string
}

// Call sends one request, checks the complete response, and adds the outcome to a report. If the request was dropped, it
// returns the time after which the router allows a repeat.
func Call(client *http.Client, router string, a Ask, r *CallReport, mu *sync.Mutex) time.Duration {
	o := One(client, router, a, true)
	mu.Lock()
	defer mu.Unlock()
	r.Sent++
	r.ByRouter[router]++
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

// SendOne sends one request and checks the complete response. With words set, it also checks that the text of every event is
// the one that a stand-in server sends for this request.
func One(client *http.Client, router string, a Ask, words bool) (o Outcome) {
	begin := time.Now()
	defer func() { o.Duration = time.Since(begin) }()
	request, err := http.NewRequest(http.MethodPost, "http://"+router+a.Route, bytes.NewReader(a.Body()))
	if err != nil {
		return Outcome{Kind: "unsent", Wrong: err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return Outcome{Kind: "router unreached"}
	}
	defer response.Body.Close()
	var problem struct {
		Kind    string `json:"kind"`
		Dropped bool   `json:"dropped"`
		BackMs  int64  `json:"retry_after_ms"`
	}
	if response.StatusCode != 200 {
		if json.NewDecoder(response.Body).Decode(&problem) != nil || problem.Kind == "" {
			return Outcome{Kind: "no kind", Wrong: fmt.Sprintf("status %d without a kind", response.StatusCode)}
		}
		return Outcome{Kind: problem.Kind, Back: time.Duration(problem.BackMs) * time.Millisecond}
	}
	in := bufio.NewReader(response.Body)
	server, run, failed := ident.Server(""), "", false
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			o.Kind = "router broke off"
			return o
		}
		line = strings.TrimSpace(line)
		if line == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failed {
			_ = json.Unmarshal([]byte(data), &problem)
			o.Kind = problem.Kind
			return o
		}
		var event Event
		if json.Unmarshal([]byte(data), &event) != nil {
			o.Kind, o.Wrong = "bad event", "event is not JSON"
			return o
		}
		if o.Events == 0 {
			server, run, o.Reused, o.First = event.Server, event.Go, event.Reused, time.Since(begin)
		}
		if why := CheckEvent(a, event, o.Events, server, run); why != "" && (words || event.N != o.Events || event.Go != run) {
			o.Kind, o.Wrong = "wrong event", why
			return o
		}
		o.Events++
		if event.Done {
			return o
		}
	}
}

// CheckEvent returns a description of the fault in the n-th event of a response, or an empty string.
func CheckEvent(a Ask, e Event, n int, server ident.Server, run string) string {
	c := a.Call
	switch {
	case e.N != n:
		return fmt.Sprintf("event %d came as number %d", e.N, n)
	case e.Server != server || e.Go != run:
		return "events of two goes in one answer"
	case e.Done && n != c.Max:
		return fmt.Sprintf("ended after %d of %d", n, c.Max)
	case !e.Done && e.Text != TokenText(c.ID, c.Base, c.Extra, n):
		return "an event that belongs to someone else"
	}
	return ""
}
