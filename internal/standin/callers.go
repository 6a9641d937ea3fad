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
type Request struct {
	Route string
	Call  fleetplan.Request
}

// Workload generates random requests for the routes and models of a plan. Few keys are requested often, most of them rarely.
type Workload struct {
	Tenants    int // number of tenants with different shared prompt parts
	plan       *fleetplan.Plan
	templates  []Request
	cumulative []float64
	rand       *rand.Rand
	idPrefix   string
	count      int
}

// NewWorkload creates a workload. The same seed gives the same requests.
func NewWorkload(plan *fleetplan.Plan, seed uint64) *Workload {
	mix := &Workload{plan: plan, rand: rand.New(rand.NewPCG(seed, 17)), idPrefix: fmt.Sprintf("c%x", seed)}
	seen := map[ident.Key]int{}
	for _, route := range generic.SortedKeys(plan.Routes) {
		for _, key := range generic.SortedKeys(plan.Services[plan.Routes[route].Service].Keys) {
			for _, kind := range generic.SortedKeys(plan.Routes[route].Kinds) {
				if _, ok := seen[key]; !ok {
					seen[key] = len(seen)
				}
				base, extra, _ := strings.Cut(string(key), "+")
				mix.templates = append(mix.templates, Request{route, fleetplan.Request{Model: base, Adapter: extra, Kind: kind}})
			}
		}
	}
	total := 0.0
	for _, template := range mix.templates {
		key := ident.NewKey(template.Call.Model, template.Call.Adapter)
		weight := 1 / float64(1+seen[key])
		if plan.Models[key].MinReplicas > 0 {
			weight *= 8 // models with a floor are the most requested ones
		}
		weight /= float64(1 + plan.Kinds[template.Call.Kind].Value)
		total += weight
		mix.cumulative = append(mix.cumulative, total)
	}
	return mix
}

// Next generates a request.
func (m *Workload) Next() Request {
	f := m.rand.Float64() * m.cumulative[len(m.cumulative)-1]
	i := sort.SearchFloat64s(m.cumulative, f)
	return m.Fill(m.templates[min(i, len(m.templates)-1)])
}

// NextRare generates a request for one of the least requested keys.
func (m *Workload) NextRare() Request {
	for range 50 {
		a := m.templates[m.rand.IntN(len(m.templates))]
		if m.plan.Models[ident.NewKey(a.Call.Model, a.Call.Adapter)].MinReplicas == 0 {
			return m.Fill(a)
		}
	}
	return m.Next()
}

// Fill generates a request with the route, model and kind of the given one.
func (m *Workload) Fill(a Request) Request {
	m.count++
	a.Call.ID = fmt.Sprintf("%s-%d", m.idPrefix, m.count)
	t := m.rand.IntN(max(6, m.Tenants))
	a.Call.Parts = []string{strings.Repeat("system ", 60), strings.Repeat(fmt.Sprintf("tenant-%d ", t), 60)}
	a.Call.Prompt = strings.Repeat("line ", 4+m.rand.IntN(60))
	a.Call.MaxTokens = 4 + m.rand.IntN(28)
	a.Call.Repeatable = m.rand.IntN(3) > 0
	return a
}

// Body returns the JSON body of the request.
func (a Request) Body() []byte {
	call := a.Call
	body := map[string]any{"id": call.ID, "model": call.Model, "kind": call.Kind, "parts": call.Parts, "prompt": call.Prompt, "max_tokens": call.MaxTokens, "repeatable": call.Repeatable}
	if call.Adapter != "" {
		body["adapter"] = call.Adapter
	}
	if call.Horizon != 0 {
		body["horizon_ms"] = call.Horizon.Milliseconds()
	}
	if call.Repeat {
		body["repeat"] = true
	}
	raw, _ := json.Marshal(body)
	return raw
}

// CallReport summarizes the results of a run of callers.
type CallReport struct {
	Sent, Answers, Events int
	Kinds                 map[string]int
	Wrong                 []string // violations seen in responses
	Unreached, Reused     int
	First                 []time.Duration // times to the first event
	Repeats, RetryHints   int
	ByRouter              map[string]int
}

// CallOptions configure a run of callers.
type CallOptions struct {
	Routers       []string
	Next          func() Request
	Rate          float64 // requests per second
	Total         int
	MaxConcurrent int  // maximum number of concurrent requests
	RepeatDropped bool // let some callers repeat a refused request after the time that the router names
}

// RunCalls sends requests to the routers in turn, checks every response, and returns a report.
func RunCalls(ctx context.Context, options CallOptions) *CallReport {
	report := &CallReport{Kinds: map[string]int{}, ByRouter: map[string]int{}}
	var mu sync.Mutex // guards the report
	var pending sync.WaitGroup
	if options.MaxConcurrent == 0 {
		options.MaxConcurrent = 512
	}
	slot := make(chan struct{}, options.MaxConcurrent)
	client := Client()
	begin := time.Now()
	for i := 0; i < options.Total && ctx.Err() == nil; i++ {
		due := begin.Add(time.Duration(float64(i) / options.Rate * 1e9))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		request := options.Next()
		router := options.Routers[i%len(options.Routers)]
		slot <- struct{}{}
		pending.Add(1)
		go func() {
			defer pending.Done()
			defer func() { <-slot }()
			retryAfter := Call(client, router, request, report, &mu)
			if retryAfter > 0 && options.RepeatDropped && request.Call.Repeatable && i%10 == 0 {
				// One caller in ten repeats the request after the time that the router names, and marks it as a repeat.
				time.Sleep(retryAfter)
				request.Call.Repeat = true
				mu.Lock()
				report.Repeats++
				mu.Unlock()
				Call(client, router, request, report, &mu)
			}
		}()
	}
	pending.Wait()
	return report
}

// Client creates the HTTP client of a stand-in caller.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
}

// Outcome is the result of one request.
type Outcome struct {
	Kind       string        // empty for a complete response
	RetryAfter time.Duration // time after which the router allows a repeat
	Events     int
	Reused     int
	First      time.Duration
	Duration   time.Duration
	Wrong      string
}

// Call sends one request, checks the complete response, and adds the outcome to a report. If the request was rejected, it
// returns the time after which the router allows a repeat.
func Call(client *http.Client, router string, request Request, report *CallReport, mu *sync.Mutex) time.Duration {
	outcome := SendOne(client, router, request, true)
	mu.Lock()
	defer mu.Unlock()
	report.Sent++
	report.ByRouter[router]++
	report.Events += outcome.Events
	report.Reused += outcome.Reused
	if outcome.First > 0 {
		report.First = append(report.First, outcome.First)
	}
	if outcome.Wrong != "" {
		report.Wrong = append(report.Wrong, request.Call.ID+": "+outcome.Wrong)
	}
	if outcome.Kind == "" {
		report.Answers++
	} else {
		report.Kinds[outcome.Kind]++
	}
	if outcome.RetryAfter > 0 {
		report.RetryHints++
	}
	return outcome.RetryAfter
}

// SendOne sends one request and checks the complete response. With words set, it also checks that the text of every event is
// the one that a stand-in server sends for this request.
func SendOne(client *http.Client, router string, request Request, words bool) (outcome Outcome) {
	begin := time.Now()
	defer func() { outcome.Duration = time.Since(begin) }()
	httpRequest, err := http.NewRequest(http.MethodPost, "http://"+router+request.Route, bytes.NewReader(request.Body()))
	if err != nil {
		return Outcome{Kind: "unsent", Wrong: err.Error()}
	}
	response, err := client.Do(httpRequest)
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
		return Outcome{Kind: problem.Kind, RetryAfter: time.Duration(problem.BackMs) * time.Millisecond}
	}
	in := bufio.NewReader(response.Body)
	server, run, failed := ident.Server(""), "", false
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			outcome.Kind = "router broke off"
			return outcome
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
			outcome.Kind = problem.Kind
			return outcome
		}
		var event Event
		if json.Unmarshal([]byte(data), &event) != nil {
			outcome.Kind, outcome.Wrong = "bad event", "event is not JSON"
			return outcome
		}
		if outcome.Events == 0 {
			server, run, outcome.Reused, outcome.First = event.Server, event.Go, event.Reused, time.Since(begin)
		}
		if why := CheckEvent(request, event, outcome.Events, server, run); why != "" && (words || event.N != outcome.Events || event.Go != run) {
			outcome.Kind, outcome.Wrong = "wrong event", why
			return outcome
		}
		outcome.Events++
		if event.Done {
			return outcome
		}
	}
}

// CheckEvent returns a description of the fault in the n-th event of a response, or an empty string.
func CheckEvent(request Request, event Event, n int, server ident.Server, run string) string {
	call := request.Call
	switch {
	case event.N != n:
		return fmt.Sprintf("event %d came as number %d", event.N, n)
	case event.Server != server || event.Go != run:
		return "events of two goes in one answer"
	case event.Done && n != call.MaxTokens:
		return fmt.Sprintf("ended after %d of %d", n, call.MaxTokens)
	case !event.Done && event.Text != TokenText(call.ID, call.Model, call.Adapter, n):
		return "an event that belongs to someone else"
	}
	return ""
}
