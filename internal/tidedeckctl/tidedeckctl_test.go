package tidedeckctl

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Exit codes distinguish commands that were applied, certainly not applied, and possibly applied.
func TestExitCodes(t *testing.T) {
	answer := func(code int, body string) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(code)
			fmt.Fprint(w, body)
		}))
		t.Cleanup(s.Close)
		return s
	}
	breaks := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(breaks.Close)
	taken, stale := answer(200, `{"epoch":7}`), answer(409, `{"kind":"conflict","why":"the epoch in force is 9"}`)
	faulty := answer(422, `{"kind":"faulty_plan","faults":[{"path":"$.x","why":"unknown key"}]}`)
	unready, unclear := answer(503, `{"kind":"not_ready"}`), answer(502, `{"kind":"unclear"}`)
	dead := httptest.NewServer(nil)
	dead.Close()
	for _, c := range []struct {
		name  string
		nodes []*httptest.Server
		code  int
		says  string
	}{
		{"accepted", []*httptest.Server{taken}, ExitOK, "accepted under epoch 7"},
		{"the next node accepts", []*httptest.Server{dead, unready, taken}, ExitOK, "accepted under epoch 7"},
		{"a stale epoch", []*httptest.Server{stale}, ExitRejected, "the epoch in force is 9"},
		{"a faulty plan", []*httptest.Server{faulty}, ExitRejected, "$.x: unknown key"},
		{"no node is reachable", []*httptest.Server{dead}, ExitRejected, "no core node answered"},
		{"the core reports an unclear outcome", []*httptest.Server{unclear}, ExitUnknown, "unclear"},
		{"the response was lost", []*httptest.Server{breaks}, ExitUnknown, "repeat the command"},
		{"the response was lost, another node accepts", []*httptest.Server{breaks, taken}, ExitOK, "accepted under epoch 7"},
	} {
		var l Line
		l.Wait = time.Minute
		for _, n := range c.nodes {
			l.Admin = append(l.Admin, strings.TrimPrefix(n.URL, "http://"))
		}
		l.Plan.Put.File, l.Plan.Put.Expect = "-", "6"
		var out, err bytes.Buffer
		require.Equal(t, c.code, l.Run("plan put <file>", strings.NewReader("{}"), &out, &err), c.name)
		require.Contains(t, out.String()+err.String(), c.says, c.name)
	}
}

func TestPlanCheck(t *testing.T) {
	var l Line
	l.Plan.Check.File = "-"
	var out, err bytes.Buffer
	require.Equal(t, ExitRejected, l.Run("plan check <file>", strings.NewReader(`{"name":1}`), &out, &err))
	require.Contains(t, err.String(), "$.name: must be a string")
}

// Every router is queried; an unreachable router does not hide the results of the others.
func TestRequests(t *testing.T) {
	router := func(body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			require.Equal(t, "/-/requests?id=a1&last=7", r.URL.String())
			fmt.Fprint(w, body)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	dead := httptest.NewServer(nil)
	dead.Close()
	down := strings.TrimPrefix(dead.URL, "http://")
	none, knows := router(`{"requests":[]}`), router(`{"requests":[{"id":"a1","end":"refused"}]}`)
	for _, c := range []struct {
		routers []string
		code    int
		says    string
	}{
		{[]string{none, down, knows}, ExitOK, `"end": "refused"`},
		{[]string{none}, ExitRejected, "[]"},
		{[]string{down}, ExitRejected, "no router answered"},
	} {
		var l Line
		l.Wait = time.Minute
		l.Requests.ID, l.Requests.Last, l.Requests.Router = "a1", 7, c.routers
		var out, err bytes.Buffer
		require.Equal(t, c.code, l.Run("requests <id>", nil, &out, &err))
		require.Contains(t, out.String()+err.String(), c.says)
	}
	var l Line
	var out, err bytes.Buffer
	require.Equal(t, ExitUsage, l.Run("status", nil, &out, &err))
	require.Contains(t, err.String(), "--admin is missing")
}
