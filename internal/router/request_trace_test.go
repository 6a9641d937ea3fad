package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
)

// The trace of a failed request, found by its ID, contains the configuration, the lease, the servers and their
// responses.
func TestTraceOfAFailedRequest(t *testing.T) {
	b := newHostedRouter(t, Options{})
	b.deliverEntry("web|", "s1", "s2")
	ref, l, _ := b.callPath("/once/x", fleetplan.Request{ID: "a1"})
	require.True(t, b.MaySend(b.at, ref, l.N))
	b.setCredits(5)
	out := b.Step(b.at.Add(30e6), Ended{Ref: ref, N: l.N, Outcome: Dropped, Kind: failure.Busy, Status: 503, Cause: CauseNone})
	second, ok := findOutput[Launch](append(out, b.wait(time.Second)...))
	require.True(t, ok)
	require.True(t, b.MaySend(b.at, ref, second.N))
	out = b.Step(b.at.Add(50e6), Ended{Ref: ref, N: second.N, Outcome: Lost, Cause: CauseHead})
	_, refused := findOutput[Refusal](out)
	require.True(t, refused)
	trace, ok := findOutput[RequestTrace](out)
	require.True(t, ok)
	require.Equal(t, EndedRefused, trace.End)
	require.Equal(t, failure.Unclear, trace.Kind)
	require.True(t, trace.Leased)
	require.NotZero(t, trace.Epoch)
	require.Len(t, trace.Attempts, 2)
	require.Equal(t, 503, trace.Attempts[0].Status)
	require.Equal(t, failure.Busy, trace.Attempts[0].Kind)
	require.EqualValues(t, 30, trace.Attempts[0].TookMs)
	require.Equal(t, Lost, trace.Attempts[1].How)
	require.Equal(t, CauseHead, trace.Attempts[1].Cause)
}

// A trace contains the configuration under which each attempt was sent, and the one in force at the end.
func TestTraceNamesConfigurations(t *testing.T) {
	first, second := hostPlan(nil), hostPlan(nil)
	first.Name, second.Name = "55", "66"
	b := newHostedRouter(t, Options{}, first, second)
	b.deliverEntry("web|", "s1", "s2")
	ref, l, _ := b.callPath("/once/x", fleetplan.Request{ID: "a1"})
	require.True(t, b.MaySend(b.at, ref, l.N))
	b.deliverPlan(1)
	trace, ok := findOutput[RequestTrace](b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: Lost, Cause: CauseHead}))
	require.True(t, ok)
	require.Equal(t, "66", trace.Plan)
	require.EqualValues(t, 2, trace.Epoch)
	require.EqualValues(t, 1, trace.Attempts[0].Epoch)
}

// A request served by its first attempt leaves no trace; one whose client disconnects does.
func TestTraceOnlyUnusualRequests(t *testing.T) {
	b := newHostedRouter(t, Options{})
	b.deliverEntry("web|", "s1", "s2")
	ref, l, _ := b.callPath("/again/x", fleetplan.Request{})
	require.True(t, b.MaySend(b.at, ref, l.N))
	_, traced := findOutput[RequestTrace](b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: Done}))
	require.False(t, traced)
	ref, _, _ = b.callPath("/again/x", fleetplan.Request{})
	trace, traced := findOutput[RequestTrace](b.Step(b.at, Quit{ref}))
	require.True(t, traced)
	require.Equal(t, EndedCallerLeft, trace.End)
	require.Equal(t, CauseCaller, trace.Attempts[0].Cause)
}

// The log keeps the newest traces, finds one by its ID, and counts all of them.
func TestRequestLog(t *testing.T) {
	l := NewRequestLog("r1", nil, 3)
	for i := range 5 {
		l.Add(RequestTrace{ID: fmt.Sprint(i), End: EndedRefused, Kind: failure.Unclear})
	}
	list := func(query string) (found []LoggedRequest) {
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest("GET", "/-/requests"+query, nil))
		require.Equal(t, 200, w.Code)
		var body struct{ Requests []LoggedRequest }
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
		return body.Requests
	}
	all := list("")
	require.Len(t, all, 3)
	require.Equal(t, "4", all[0].ID)
	require.Equal(t, "2", all[2].ID)
	require.Len(t, list("?last=1"), 1)
	require.Empty(t, list("?id=0"))
	one := list("?id=3")
	require.Len(t, one, 1)
	require.Equal(t, "r1", one[0].Router)
	require.EqualValues(t, 5, l.Counts()[failure.Kind(EndedRefused)])
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest("GET", "/-/requests?last=0", nil))
	require.Equal(t, 400, w.Code)
}

// A repeated attempt is given the time that the client has left, not the initial time.
func TestTimeLeftOnARepeat(t *testing.T) {
	b := newHostedRouter(t, Options{})
	b.deliverEntry("web|", "s1", "s2")
	ref, first, _ := b.callPath("/again/x", fleetplan.Request{Horizon: 3e9})
	require.True(t, b.MaySend(b.at, ref, first.N))
	b.setCredits(5)
	b.at = b.at.Add(1e9)
	second, ok := findOutput[Launch](b.Step(b.at, Ended{Ref: ref, N: first.N, Outcome: Lost}))
	require.True(t, ok)
	require.LessOrEqual(t, second.Remaining, first.Remaining-clock.Span(1e9))
}

// A request that no configuration covers is answered within its time.
func TestWaitsNoLongerThanItsTime(t *testing.T) {
	b := &testRouter{Core: New(Options{StatelessServers: true}), at: 1e9}
	_, refused := findOutput[Refusal](b.Step(b.at, Call{Ref: 1, Route: "/again/x", Request: fleetplan.Request{ID: "1", Host: "h", Horizon: 2e9}}))
	require.False(t, refused, "the request waits")
	_, refused = findOutput[Refusal](b.wait(6 * time.Second))
	require.True(t, refused)
}

// The relay reports the server's status to the core, and the cause for which an attempt counts as lost.
func TestAttemptEndCauses(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		status       int
		cause        Cause
	}{
		{"closed at once", "", 0, CauseHead},
		{"response to another request", sealedResponse("2", "x"), 0, CauseHead}, // skipped as surplus, and no other response follows
		{"no ID", "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 1\r\n\r\nx", 0, CauseForeign},
		{"no seal", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nContent-Length: 1\r\n\r\nx", 200, CauseUnsealed},
		{"too short", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nx", 200, CauseBody},
		{"503 without proof", "HTTP/1.1 503 No\r\nX-Try: 1\r\nContent-Length: 0\r\n\r\n", 503, CauseStatus},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedDecider{addrs: []string{newFixedServer(t, c.answer, true).addr()}}
			cl := newRelayFixture(t, s, RelayOptions{}).dial(t)
			cl.send(get("1"))
			a, _, err := cl.answer("GET")
			require.NoError(t, err)
			require.Equal(t, 502, a.StatusCode)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Equal(t, c.status, s.ends[0].Status)
			require.Equal(t, c.cause, s.ends[0].Cause)
		})
	}
}

// Clients choose what their requests name, and the log keeps thousands of requests: only the beginning of a name is kept, and
// the request is still found by the whole of it.
func TestLoggedNamesAreShort(t *testing.T) {
	var lines bytes.Buffer
	l := NewRequestLog("r1", host.NewLogWith(host.LogOptions{Name: "r1", JSONLines: &lines}), 3)
	id := strings.Repeat("i", 60<<10)
	l.Add(RequestTrace{ID: id, Key: ident.Key(strings.Repeat("k", 60<<10)), End: EndedRefused})
	found := l.find(id, 1)
	require.Len(t, found, 1)
	require.Len(t, found[0].ID, maxLoggedBytes)
	require.Len(t, string(found[0].Key), maxLoggedBytes)
	require.NotEmpty(t, lines.String())
	require.Less(t, lines.Len(), 4*maxLoggedBytes)
}
