package simulator

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/standin"
)

// A plan for announced servers is rejected if a route names an unknown service or the JSON is malformed.
func TestReadHostedPlan(t *testing.T) {
	p, f := ReadHostedPlan(hostedPlan())
	require.Nil(t, f)
	require.NotNil(t, p.FindRoute("a.example", "/plain/once/x"))
	_, f = ReadHostedPlan([]byte(`{"services":{},"routes":[{"host":"a","prefix":"/","service":"none"}]}`))
	require.Len(t, f, 1)
	_, f = ReadHostedPlan([]byte(`{`))
	require.Len(t, f, 1)
}

// The checker detects each forbidden sequence of orders to one server: two controllers under the same term, a lower
// term after a higher one, and a controller that orders again within the tenure after another one did.
func TestOrderChecks(t *testing.T) {
	o := Options{Seed: 1}
	hostedOptions(nil)(&o)
	for _, c := range []struct {
		sees   string
		orders [][2]int // controller number and term of each order, one per second
	}{
		{"", [][2]int{{1, 1}, {1, 1}, {2, 2}, {3, 3}}},
		{"two controllers", [][2]int{{1, 1}, {2, 1}}},
		{"of duty 1 after one of duty 2", [][2]int{{2, 2}, {1, 1}}},
		{"by another and by controller-1 again", [][2]int{{1, 1}, {2, 2}, {1, 3}}},
	} {
		w := New(o)
		w.Run(6e9)
		require.Empty(t, w.Check.Violations)
		s := w.procs["server-1.1"]
		for i, x := range c.orders {
			w.now = atSecond(10 + float64(i))
			w.Check.checkHostedOrder(w.procs["controller-"+string(rune('0'+x[0]))], s, protocol.Order{Op: "load", Term: ident.Term(x[1])}, standin.BatchAnswer{Code: 409})
		}
		if c.sees == "" {
			require.Empty(t, w.Check.Violations)
			continue
		}
		require.NotEmpty(t, w.Check.Violations, c.sees)
		require.Contains(t, strings.Join(w.Check.Violations, " "), c.sees)
	}
}

func init() { guardCases = append(guardCases, hostedGuardCases...) }

// hostedGuardCases are the guard cases with servers that announce themselves and do not check fencing numbers.
var hostedGuardCases = []guardCase{
	{"announced: order only under a valid leadership lease", "announced-split", "of duty|ordered by", []edit{
		{"internal/controller/duty.go", "if c.leadership.held && c.now > c.leadership.expiresAt(c).Add(renewableLeases*c.o.LeadershipLease) {", "if false {"},
		{"internal/controller/duty.go", "return c.leadership.held && c.now <= c.leadership.expiresAt(c) }", "return c.leadership.held }"},
		{"internal/controller/links.go", "old := c.now.Sub(c.knownSince())", "old := clock.Span(0)"}}},
	{"announced: keep within room", "announced-shift", "past its room", []edit{
		{"internal/controller/look.go", "if p.free >= f.model.Size {", "if true {"},
		{"internal/controller/server.go", "over := s.room > 0 && s.used() > s.room", "over := false"}}},
	{"announced: keep within places", "announced-shift", "past its room", []edit{
		{"internal/controller/adapters.go", "if !noPlace && missing <= 0 {", "if true {"},
		{"internal/controller/weigh.go", "crowd := s.places > 0 && s.adapters() > s.places", "crowd := false"},
		{"internal/controller/server.go", " && (s.places == 0 || s.adapters() <= s.places)", ""}}},
	{"announced: keep within the store's rate", "announced-store", "loads from the store began", []edit{
		{"internal/controller/weigh.go", "return min(atOnce, toBegin)", "return max(100, atOnce, toBegin)"}}},
	{"announced: offer no leaving server", "announced-leave", "after its leaving was acknowledged|considers it live", []edit{
		{"internal/controller/server.go", `return s.State == "live" && !c.empty`, "return !c.empty"}}},
	{"announced: a departure is known", "announced-minority", "considers it live", []edit{{"internal/controller/enrol.go", "if !departure.ownerKnows || value == nil || !voterset.Majority(*value, departure.knownBy) {", "if value == nil {"}}},
	{"announced: detect late announcements", "announced-late", "considers it live|after its leaving", []edit{
		{"internal/controller/enrol.go", `if b.Count <= e.Count || e.State == "gone" && !e.presumedGone {`, `if e.State == "gone" && !e.presumedGone {`},
		{"internal/controller/enrol.go", "if stateRank[b.State] < stateRank[e.State] {", "if false {"}}},
	{"announced: break before an unload", "announced-shift", "held a promise", []edit{{"internal/controller/evict.go", "if quiet && c.allAcked(p.unackedBreaks) {", "if quiet || true {"}}},
	{"announced: repeat only repeatable requests", "announced-reuse", "may not be repeated", []edit{
		{"internal/router/ledger.go", "Lost:    {{kind: failure.Unclear}, {again: true, pay: true}}", "Lost:    {{again: true}, {again: true}}"}, {"internal/router/route_bounds.go", "case r.mayHaveRun() && !r.repeatable():", "case false:"}}},
	{"announced: reject only requests that did not run", "announced-reuse", "but had run|and ran", []edit{
		{"internal/router/ledger.go", "Lost:    {{kind: failure.Unclear}, {again: true, pay: true}}", "Lost:    {{kind: failure.NotReady}, {again: true, pay: true}}"},
		{"internal/router/queue.go", "if failure.Responses[k].NotExecuted && r.mayHaveRun() {", "if r == nil {"}}},
	{"announced: send a plan again", "announced-plans", "routes under epoch", []edit{{"internal/controller/link_send.go", "l.sentNum = l.ackedNum\n", "_ = l.ackedNum\n"}, {"internal/controller/links.go", "if since, owes := c.unackedSince(l); owes {", "if since, owes := c.unackedSince(l); owes && false {"}}},
	{"announced: expect the number", "announced-plans", "two changes based on|confirmed twice", []edit{{"internal/controller/changes.go", "if !a.Any && d.Epoch != a.Expect {", "if false {"}}},
	{"announced: keep the number", "announced-plans", "a change of number", []edit{{"internal/controller/changes.go", "if next.Epoch++; a.Number != 0 {", "if next.Epoch++; false {"}}},
	{"announced: sync before an answer", "announced-all", "routes under epoch|read gave epoch|bytes that were not sent|slipped back", []edit{
		{"internal/controller/core.go", "c.continuations[c.token] = then", "then()\n\tc.continuations[c.token] = func() {}"}}},
}
