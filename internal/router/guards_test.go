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
	{"a router behind on updates is not partitioned", "core.go", "(c.partitioned || c.now < c.currentUntil)", "true", "TestGuards"},
	{"no request to a leaving server without a lease", "core.go", "|| !c.leased() && c.leaving[p.Server]", "", "TestGuards"},
	{"a response must carry the request's ID", "relay_attempt.go", `if info.ID == x.facts.ID && info.ID != "" {`, `if info.ID != "" {`, "TestSurplusResponses"},
	{"a response must carry the request's ID, fuzzed", "relay_attempt.go", `if info.ID == x.facts.ID && info.ID != "" {`, `if info.ID != "" {`, "FuzzServerAnswer"},
	{"no reuse of a connection after a surplus response", "relay_attempt.go", "c.idleTimeout = 0 //", "_ = c.idleTimeout //", "TestSurplusResponses"},
	{"data on an idle connection closes it", "conn_pool.go", "time.Now().Before(c.idleDeadline) && c.reusable()", "time.Now().Before(c.idleDeadline)", "TestSurplusResponses"},
	{"data after a response closes the connection", "conn_pool.go", "c.idleTimeout <= 0 || c.reader.Buffered() > 0 ||", "c.idleTimeout <= 0 ||", "TestSurplusResponses"},
	{"a connection is reused for one server start only", "relay_attempt.go", "endpoint{v.Server, v.Addr}", "endpoint{addr: v.Addr}", "TestKeptForOneServer"},
	{"an unused connection keeps its idle deadline", "conn_pool.go", "if c.answered || c.idleDeadline.IsZero() {", "if true {", "TestUnusedKeepsItsTime"},
	{"an attempt is unsent only if no byte was written", "relay_attempt.go", "if sent == 0 && ctx.Err() == nil {", "if _ = sent; ctx.Err() == nil {", "TestReusedConnBreaks"},
	{"permission to send is checked immediately before sending", "relay_attempt.go", "if !r.decider.MaySend(v.Ref, v.N) {", "if r == nil {", "TestRelayNotSent"},
	{"no retry of a request that may have run", "ledger.go", "Lost:    {{kind: failure.Unclear}, ", "Lost:    {{again: true}, ", "TestLedger|TestTries|TestLedgerAloneEndsALostRequest"},
	{"no retry under an added route", "core.go", "\tc.noteRoutes()\n", "", "TestRepeatOnlyUnderBothRoutes|TestRepeatOnlyUnderEveryRouteMeanwhile"},
	{"a waiting retry ends under an added route that runs once", "route_bounds.go", "case r.mayHaveRun() && !r.repeatable():", "case false:", "TestWaitingRetryEndsUnderAnAddedRouteThatRunsOnce"},
	{"a waiting stream ends under an added route that may not be resumed", "route_bounds.go", "case r.hasBegun() && !r.resumable():", "case false:", "TestWaitingRetryEndsUnderAnAddedRouteThatRunsOnce"},
	{"a retry is looked at again once its connection is there", "attempts.go", "r.barred(c.o.MaxAttempts) != failure.None || ", "", "TestRetryNotSentUnderARouteAddedWhileItConnects"},
	{"no retry under a route added while the request waited", "admission.go", "\t\tr.noteRoute(m.Route)\n\t\tswitch", "\t\tswitch", "TestRunsOnceAlsoUnderARouteAddedWhileItWaits"},
	{"no retry under a route that came while the body arrived", "admission.go", "\tc.history.bind(r, c.now.Add(-max(v.Age, v.Arriving)))\n", "", "TestRunsOnceUnderARouteReplacedWhileItsBodyArrived|TestBodyThatArrivesAcrossARouteChangeRunsOnce"},
	{"routes that are forgotten bind as strictly as any", "route_history.go", "h.forgottenAt != 0 && h.forgottenAt >= sentAt", "false", "TestRunsOnceUnderARouteReplacedWhileItsBodyArrived"},
	{"a route replaced long ago binds no request", "route_history.go", "if replaced.at >= sentAt {", "if true {", "TestRouteReplacedLongAgoBindsNoRequest"},
	{"a request sent before the first plan is known runs once", "admission.go", "if c.plan == nil && r.Call.Request.Host != \"\" {", "if false {", "TestRunsOnceIfSentBeforeTheFirstPlanIsKnown"},
	{"a request counts as sent from its first byte on", "relay_exchange.go", "x.firstByte = g.firstByte()", "_ = g", "TestHeadThatArrivesInPiecesCountsFromItsFirstByte"},
	{"a pipelined request is as old as its first byte", "relay_serve.go", "observedHead{firstByteAt: g.nextByteAt}", "observedHead{}", "TestFirstByteOfAPipelinedRequest"},
	{"a stream is resumed only if every route permits it", "route_bounds.go", "\tif !route.Resume {", "\tif false {", "TestStreamIsResumedOnlyUnderEveryRoute"},
	{"no retry under an added route, under drawn changes", "core.go", "\tc.noteRoutes()\n", "", "TestDrawnRouteChanges"},
	{"no retry under a route that came while the body arrived, under drawn changes", "admission.go", "\tc.history.bind(r, c.now.Add(-max(v.Age, v.Arriving)))\n", "", "TestDrawnRouteChanges"},
	{"a retry is looked at again once its connection is there, under drawn changes", "attempts.go", "r.barred(c.o.MaxAttempts) != failure.None || ", "", "TestDrawnRouteChanges"},
	{"a waiting retry ends under an added route that runs once, under drawn changes", "route_bounds.go", "case r.mayHaveRun() && !r.repeatable():", "case false:", "TestDrawnRouteChanges"},
	{"a request that waits or connects is limited by an added route, under drawn changes", "route_bounds.go", "case r.sent() >= r.attemptLimit(limit):", "case false:", "TestDrawnRouteChanges"},
	{"the strictest route limits the number of attempts, under drawn changes", "route_bounds.go", "if b.maxAttempts == 0 || route.MaxAttempts < b.maxAttempts {", "if true {", "TestDrawnRouteChanges"},
	{"a stream is resumed only if every route permits it, under drawn changes", "route_bounds.go", "\tif !route.Resume {", "\tif false {", "TestDrawnRouteChanges"},
	{"no refusal of a request that may have run", "queue.go", "if failure.Responses[k].NotExecuted && r.mayHaveRun() {", "if false {", "TestNoDropAfterLost"},
	{"a rejection needs the not-executed header", "relay_answer.go", "case !success && promisesNotRun(resp.StatusCode):", "case false:", "TestRelayEnds"},
	{"a successful response needs a seal", "relay_answer.go", "case success && !info.Sealed:", "case false:", "TestRelayEnds"},
	{"a successful response needs a seal, fuzzed", "relay_answer.go", "case success && !info.Sealed:", "case false:", "FuzzServerAnswer"},
	{"a response delimited by connection close is invalid", "relay_answer.go", "case closeDelimited(resp):", "case false:", "TestDoubtfulAnswers"},
	{"a response delimited by connection close is invalid, fuzzed", "relay_answer.go", "case closeDelimited(resp):", "case false:", "FuzzServerAnswer"},
	{"no surplus response is read after HEAD", "relay_attempt.go", " || x.req.Method == http.MethodHead {", " {", "TestDoubtfulAnswers"},
	{"a response is HTTP/1", "conn_pool.go", "if resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode > maxStatusCode {", "if false {", "TestDoubtfulAnswers"},
	{"a client that disconnects gets no end of response", "relay_exchange.go", "\t\t\tx.dropConnection()\n\t\tcase decision", "\t\t\treturn\n\t\tcase decision", "TestHalfClosedClientWaits"},
	{"an HTTP/1.0 client sees a broken response", "relay_reply.go", "g.ResetOnClose()", "_ = g", "TestOldClientSeesTheBreak"},
	{"only whole events of a resumable stream are forwarded", "relay_answer.go", "if v.Resume {\n\t\tforward", "if false {\n\t\tforward", "TestRelayStreamBreaks"},
	{"a resumed stream continues after its last event", "relay_events.go", "case x.hasLastEvent && id != x.lastEvent+1:", "case false:", "TestRelayStreamBreaks"},
	{"a resumed stream skips forwarded events", "relay_events.go", "case x.hasLastEvent && id <= x.lastEvent:", "case false:", "TestRelayStreamBreaks"},
	{"a stream resumes only after a numbered event", "relay_exchange.go", "x.wholeEvents && v.Resume && !x.unnumberedTail", "x.wholeEvents && v.Resume", "TestNoSpliceBehindUnnumbered"},
	{"a response ends at its deadline", "relay_attempt.go", "deadline.Add(r.options.Slack)", "deadline.Add(time.Hour)", "TestEndsAtItsTime"},
	{"a dial ends at its deadline", "conn_pool.go", "if !deadline.IsZero() {", "if false {", "TestEndsAtItsTime"},
	{"the horizon counts from arrival", "admission.go", "arrivedAt: c.now.Add(-v.Age)", "arrivedAt: c.now", "TestHorizonFromArrival"},
	{"each service has its own retry allowance", "allowance.go", "\tb := c.retryBudgets[service]\n", "\tservice = \"\"\n\tb := c.retryBudgets[service]\n", "TestRetriesStayWithinEachServicesBudget"},
	{"saved retry credit counts toward the retry fraction", "host.go", "RetryCreditTTL: allowanceLifetime(h.RetryWindow),", "", "TestRetriesStayWithinEachServicesBudget"},
	{"a deadline shortened by a newer plan takes effect immediately", "admission.go", "if c.now >= r.queueDeadline {\n\t\treturn failure.Expired", "if false {\n\t\treturn failure.Expired", "TestTimeThatIsOverByANewerPlan"},
	{"the tenant is checked immediately before sending", "admission.go", " || m.HasTenants != r.keyed || m.Tenant != r.tenant)", ")", "TestKeysThatChangeUnderWay"},
	{"the tenant is checked before sending, under random changes", "admission.go", " || m.HasTenants != r.keyed || m.Tenant != r.tenant)", ")", "TestKeysUnderDrawnChanges"},
	{"only a router with a lease rejects a key as unknown", "admission.go", "\t\tcase c.leased():\n", "\t\tcase true:\n", "TestKeysThatChangeUnderWay"},
	{"only a router with a lease rejects a key as unknown, under random changes", "admission.go", "\t\tcase c.leased():\n", "\t\tcase true:\n", "TestKeysUnderDrawnChanges"},
	{"a plan that no longer admits a request still limits it to one run", "admission.go", "m, _ := c.plan.Match(r.Call.Request.Query(r.Route))\n", "m, why := c.plan.Match(r.Call.Request.Query(r.Route))\n\t\tif why != failure.None {\n\t\t\tcontinue\n\t\t}\n", "TestRunsOnceAcrossAPlanWithoutItsKey|TestRepeatOnlyUnderEveryRouteThatDeniedItMeanwhile"},
	{"the number of attempts is limited", "ledger.go", "if m.again && r.sent() >= r.attemptLimit(limit) {", "if m.again && r.sent() >= 1000 {", "TestLedgerAloneEndsTheLastAttempt"},
	{"a request that waits or connects is limited by an added route", "route_bounds.go", "case r.sent() >= r.attemptLimit(limit):", "case false:", "TestAttemptsWithinEveryRouteOfTheRequest"},
	{"the strictest route limits the number of attempts", "route_bounds.go", "if b.maxAttempts == 0 || route.MaxAttempts < b.maxAttempts {", "if true {", "TestAttemptsWithinEveryRouteOfTheRequest"},
	{"a request that is too late is told so behind another", "queue.go", "\t\t\ti++ // no replica may", "\t\t\treturn // no replica may", "TestTooLateIsToldBehindAnother"},
	{"a request is passed over if no server is left for it", "queue.go", "\t\t\tc.holdBackMemory(e, r)\n\t\t\ti++", "\t\t\treturn", "TestTriedRequestHoldsUpNoOther"},
	{"memory is held back only at servers that the request may use", "load_balancing.go", "c.isOpen(e, p, load) && !r.alreadyTried(p) && !c.hasMemory(r, load)", "true", "TestLargeRequestHoldsBackOnlyItsServers"},
	{"memory is held back for a large request", "load_balancing.go", "load.heldBackIn = c.passes", "_ = load", "TestLargeRequestHoldsBackOnlyItsServers"},
	{"no memory is held back for a request that fits nowhere", "load_balancing.go", " && r.maxTokens() <= c.plan.Services[r.key.Service()].TokenCapacity", "", "TestRequestLargerThanServersHoldsUpNoOther"},
	{"an uncertain request is passed over", "queue.go", "\t\t\tc.passOver(r, WaitPlan)\n\t\t\ti++\n\t\t\tcontinue", "\t\t\treturn", "TestUncertainRequestHoldsUpNoOther"},
	{"each server gets at most one attempt", "load_balancing.go", " || r.alreadyTried(p) {", " {", "TestNotTwiceToOneServer"},
	{"a request earns retry credit once", "attempts.go", "case first && r.firstCounted:", "case false:", "TestEarnsOnce"},
	{"a request body has one kind of framing", "relay_serve.go", "if h.hasTransferEncoding && (h.hasLength || !req.ProtoAtLeast(1, 1)) {", "if false {", "TestRelaySmuggling"},
	{"the retry margin survives restarts", "allowance.go", "if !c.o.Restarted || age > c.o.RetryWindow {", "if true {", "TestMarginOutlivesRestarts"},
	{"routers that go keep their share of the margin for a window", "allowance.go", "most = max(most, earlier.routers)", "_ = earlier", "TestMarginOfRoutersThatGo"},
	{"shutdown rejects waiting requests", "stop.go", "\tc.stopping = true\n\tc.rejectWaiting()", "\tc.stopping = true", "TestStopTurnsAway"},
	{"the end of the grace period answers requests at servers", "relay_serve.go", "o.Relay.decider.Step(GraceEnded{})", "", "TestStopAnswersRequestsStillAtServers"},
	{"a request at a server may have run when the grace period ends", "stop.go", "case attempt.maySend:", "case false:", "TestGraceEndAnswersByWhatMayHaveRun"},
	{"nothing is launched after the grace period", "admission.go", "if c.graceEnded {", "if false {", "TestGraceEndAnswersByWhatMayHaveRun"},
	{"requests that arrive during shutdown are rejected", "relay_exchange.go", "if !x.relay.rejectNew.Load() {", "if true {", "TestLateRequestAtAStop"},
	{"requests that arrive during shutdown are rejected before their body", "relay_exchange.go", "if x.refuseDuringStop() {", "if false {", "TestStopRefusesRequestWhoseBodyOutlivesItsAcceptance"},
	{"a stop is looked at again once the body is complete", "relay_exchange.go", " || x.refuseDuringStop() {", " {", "TestStopRefusesRequestWhoseBodyOutlivesItsAcceptance"},
	{"request bodies have a memory budget", "body_budget.go", "if b.used.Add(n) <= b.limit || b.limit == 0 {", "if b.used.Add(n); true {", "TestBodyBudget"},
	{"the plan sets the idle timeout of clients", "relay_serve.go", "t = time.Now().Add(g.limits().idleTimeout)", "_ = g", "TestRestedClient"},
	{"the end of a stream has its own write timeout", "relay_exchange.go", "x.armDeadline() //", "_ = x //", "TestWriteBoundCountsWritesOnly"},
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
			run.Env = append(os.Environ(), strict.EnvVariable+"="+strict.EnvOff)
			out, err := run.CombinedOutput()
			require.Error(t, err, "with this guard broken, %s passes", b.test)
			require.Contains(t, string(out), "--- FAIL: ", "%s", out)
		})
	}
}
