package router

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/invariant/strict"
	"tidedeck/internal/overlay"
)

// removableGuard is an edit of the sources that removes one guard, and the test that must fail on the edited sources.
type removableGuard struct {
	guard, file, old, new, test string
}

var guards = []removableGuard{
	{"a router that is late is not cut off", "core.go", "(c.parted || c.now < c.currentUntil)", "true", "TestGuards"},
	{"without a lease nothing is sent to a server that leaves", "core.go", "|| !c.leased() && c.leaving[p.Server]", "", "TestGuards"},
	{"an answer counts under the request's own id", "relay_attempt.go", `if info.ID == x.facts.ID && info.ID != "" {`, `if info.ID != "" {`, "TestSurplusResponses"},
	{"the same, seen by the fuzz target", "relay_attempt.go", `if info.ID == x.facts.ID && info.ID != "" {`, `if info.ID != "" {`, "FuzzServerAnswer"},
	{"a connection is not kept behind a surplus answer", "relay_attempt.go", "c.idleTimeout = 0 //", "_ = c.idleTimeout //", "TestSurplusResponses"},
	{"what comes while idle ends a connection", "conn_pool.go", "time.Now().Before(c.until) && c.reusable()", "time.Now().Before(c.until)", "TestSurplusResponses"},
	{"what stands behind an answer ends a connection", "conn_pool.go", "c.idleTimeout <= 0 || c.reader.Buffered() > 0 ||", "c.idleTimeout <= 0 ||", "TestSurplusResponses"},
	{"a kept connection is for one start of a server", "relay_attempt.go", "endpoint{v.Server, v.Addr}", "endpoint{addr: v.Addr}", "TestKeptForOneServer"},
	{"an unused connection keeps its time", "conn_pool.go", "if c.answered || c.until.IsZero() {", "if true {", "TestUnusedKeepsItsTime"},
	{"only what no byte left of is not sent", "relay_attempt.go", "if sent == 0 && ctx.Err() == nil {", "if _ = sent; ctx.Err() == nil {", "TestReusedConnBreaks"},
	{"a send is asked for at the last moment", "relay_attempt.go", "if !r.decider.MaySend(v.Ref, v.N) {", "if r == nil {", "TestRelayNotSent"},
	{"what may have run is not sent again", "ledger.go", "Lost:    {{kind: failure.Unclear}, ", "Lost:    {{again: true}, ", "TestLedger|TestTries"},
	{"nor under a route that was added", "attempts.go", "\t\tc.markRunsOnce(r)", "\t\t_ = r", "TestRepeatOnlyUnderBothRoutes"},
	{"no refusal of what may have run", "queue.go", "if failure.Receipts[k].Dropped && r.mayHaveRun() {", "if false {", "TestNoDropAfterLost"},
	{"a server's status is no decline without its mark", "relay_answer.go", "case !success && promisesNotRun(resp.StatusCode):", "case false:", "TestRelayEnds"},
	{"a success has a seal", "relay_answer.go", "case success && !info.Sealed:", "case false:", "TestRelayEnds"},
	{"the same, seen by the fuzz target", "relay_answer.go", "case success && !info.Sealed:", "case false:", "FuzzServerAnswer"},
	{"an answer that only the close ends is none", "relay_answer.go", "case closeDelimited(resp):", "case false:", "TestDoubtfulAnswers"},
	{"the same, seen by the fuzz target", "relay_answer.go", "case closeDelimited(resp):", "case false:", "FuzzServerAnswer"},
	{"no surplus answer is read off for HEAD", "relay_attempt.go", " || x.req.Method == http.MethodHead {", " {", "TestDoubtfulAnswers"},
	{"an answer is one of HTTP/1", "conn_pool.go", "if resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode > maxStatusCode {", "if false {", "TestDoubtfulAnswers"},
	{"who leaves gets no end of an answer", "relay_exchange.go", "\t\t\tx.dropConnection()\n\t\tcase decision", "\t\t\treturn\n\t\tcase decision", "TestHalfClosedClientWaits"},
	{"a break shows to HTTP/1.0", "relay_reply.go", "g.resetOnClose()", "_ = g", "TestOldClientSeesTheBreak"},
	{"what is passed on of a resumable stream is whole events", "relay_answer.go", "if v.Resume {\n\t\tforward", "if false {\n\t\tforward", "TestRelayStreamBreaks"},
	{"a stream goes on right behind its last event", "relay_events.go", "case x.hasLastEvent && id != x.lastEvent+1:", "case false:", "TestRelayStreamBreaks"},
	{"and skips what was passed on", "relay_events.go", "case x.hasLastEvent && id <= x.lastEvent:", "case false:", "TestRelayStreamBreaks"},
	{"and only behind a numbered one", "relay_exchange.go", "x.wholeEvents && v.Resume && !x.unnumberedTail", "x.wholeEvents && v.Resume", "TestNoSpliceBehindUnnumbered"},
	{"an answer is over at its time", "relay_attempt.go", "deadline.Add(r.o.Slack)", "deadline.Add(time.Hour)", "TestEndsAtItsTime"},
	{"a dial is over at its time", "conn_pool.go", "if !deadline.IsZero() {", "if false {", "TestEndsAtItsTime"},
	{"the horizon counts from arrival", "admission.go", "came: c.now.Add(-v.Age)", "came: c.now", "TestHorizonFromArrival"},
	{"each service has its own allowance", "allowance.go", "\tb := c.retryBudgets[service]\n", "\tservice = \"\"\n\tb := c.retryBudgets[service]\n", "TestRetriesStayWithinEachServicesBudget"},
	{"what is saved counts within the fraction", "host.go", "Save: allowanceLifetime(h.Window),", "", "TestRetriesStayWithinEachServicesBudget"},
	{"a time that is over by a newer plan is over at once", "admission.go", "if c.now >= r.queueDeadline {\n\t\treturn failure.Expired", "if false {\n\t\treturn failure.Expired", "TestTimeThatIsOverByANewerPlan"},
	{"whose a request is, is asked at the last moment", "admission.go", " || m.Keyed != r.keyed || m.Tenant != r.tenant)", ")", "TestKeysThatChangeUnderWay"},
	{"the same, under drawn changes", "admission.go", " || m.Keyed != r.keyed || m.Tenant != r.tenant)", ")", "TestKeysUnderDrawnChanges"},
	{"only who is sure says that a key is unknown", "admission.go", "\t\tcase c.leased():\n", "\t\tcase true:\n", "TestKeysThatChangeUnderWay"},
	{"the same, seen under drawn changes", "admission.go", "\t\tcase c.leased():\n", "\t\tcase true:\n", "TestKeysUnderDrawnChanges"},
	{"a plan that lets a request in no more still says that it runs once", "admission.go", "m, _ := c.plan.Match(r.Call.Call.Query(r.Route)); m.Route", "m, why := c.plan.Match(r.Call.Call.Query(r.Route)); why == failure.None && m.Route", "TestRunsOnceAcrossAPlanWithoutItsKey"},
	{"a try goes to so many servers", "ledger.go", "if m.again && r.sent() >= most {", "if m.again && r.sent() >= 1000 {", "TestTries"},
	{"and to each once", "load_balancing.go", " || r.alreadyTried(p) {", " {", "TestNotTwiceToOneServer"},
	{"a request earns once", "attempts.go", "case first && r.firstCounted:", "case false:", "TestEarnsOnce"},
	{"a body ends in one way", "relay_serve.go", "if h.hasTransferEncoding && (h.hasLength || !req.ProtoAtLeast(1, 1)) {", "if false {", "TestRelaySmuggling"},
	{"the margin outlives restarts", "allowance.go", "if !c.o.Restarted || age > c.o.Window {", "if true {", "TestMarginOutlivesRestarts"},
	{"a stop tells who waits", "core.go", "\t\tc.ending = true\n\t\tc.rejectWaiting()", "\t\tc.ending = true", "TestStopTurnsAway"},
	{"what comes late in a stop is told so", "relay_exchange.go", "if r.rejectNew.Load() {", "if false {", "TestLateRequestAtAStop"},
	{"bodies have a budget", "body_budget.go", "if b.used.Add(n) <= b.limit || b.limit == 0 {", "if b.used.Add(n); true {", "TestBodyBudget"},
	{"clients may rest by the plan", "relay_serve.go", "t = time.Now().Add(g.limits().idleTimeout)", "_ = g", "TestRestedClient"},
	{"the end of a stream has its own bound", "relay_exchange.go", "x.armDeadline() //", "_ = x //", "TestWriteBoundCountsWritesOnly"},
}

// Each guard is removed by an overlay for one build, and the named test must fail on that build. An edit whose old
// text no longer matches the source is an error.
func TestGuardsOfTheRouter(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the tests once for each guard")
	}
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	for _, b := range guards {
		t.Run(strings.ReplaceAll(b.guard, " ", "-"), func(t *testing.T) {
			t.Parallel()
			name, err := overlay.Write(root, t.TempDir(), []overlay.Edit{{File: "internal/router/" + b.file, Old: b.old, New: b.new}})
			require.NoError(t, err)
			run := exec.Command("go", "test", "-vet=off", "-short", "-count=1", "-overlay", name, "-run", fmt.Sprintf("^(%s)$", b.test), ".")
			run.Env = append(os.Environ(), strict.Variable+"="+strict.Off)
			out, err := run.CombinedOutput()
			require.Error(t, err, "with this guard broken, %s passes", b.test)
			require.Contains(t, string(out), "--- FAIL: ", "%s", out)
		})
	}
}
