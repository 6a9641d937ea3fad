package simulator

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"tidedeck/internal/invariant/strict"
	"tidedeck/internal/overlay"

	"github.com/stretchr/testify/require"
)

// edit is one change of a source file, made only for a build.
type edit struct{ file, old, replacement string }

// bite is a guard that is broken, the scene that must show it, and what a checker says then.
type bite struct {
	guard, scene, expect string
	edits                []edit
}

// Bites: each guard is broken from outside, by an edit of the sources at build time, and a
// checker must see it; docs/failures.md names the lines. An edit that no longer matches fails.
var bites = []bite{
	{"wait for acknowledgements", "moves-cut", "held a promise", []edit{{"internal/controller/evict.go", "if quiet && c.dropped(p.waits) {", "if quiet || true {"}}},
	{"wait out the owner before", "medley", "held a promise", []edit{{"internal/controller/evict.go", "quiet := c.now > c.duty.began.Add(c.pad(c.o.Hold))", "quiet := true"}}},
	{"drop on a break", "moves", "held a promise", []edit{{"internal/router/core.go", "c.tally.Breaks++\n\tdelete(c.entries, k)", "c.tally.Breaks++"}}},
	{"drain before an unload", "unplan", "while work was under way", []edit{{"internal/controller/evict.go", "s.ok > p.since && p.work == 0 && !c.adapted(s, p)", "true"}}},
	{"check at the point of sending", "unplan", "after it was unloaded|which no plan allows", []edit{{"internal/router/attempts.go", "if !c.stands(r, attempt) {", "if attempt == nil {"}}},
	{"route under a hold only", "moves-cut", "routes under epoch|after it was unloaded|after it was leaving", []edit{
		{"internal/router/core.go", "return c.now < c.until }", "return true }"},
		{"internal/router/queue.go", "if e == nil || !e.held {\n\t\t\tc.lookUp", "if e == nil {\n\t\t\tc.lookUp"},
		{"internal/router/core.go", "return e != nil && (e.held && c.leased() ||", "return e != nil && (c.leased() ||"}}},
	{"keep within room", "moves", "past its room", []edit{
		{"internal/controller/place.go", "if s.free() < m.Size {", "if false {"}, {"internal/controller/server.go", "over := s.room > 0 && s.used() > s.room", "over := false"}}},
	{"keep within the store's budget", "blackout", "outran the store", []edit{
		{"internal/controller/place.go", "if budget <= 0 {", "if false {"}, {"internal/controller/place.go", "s.loading() > 0 {", "false {"}}},
	{"cap cold servers", "crowd", "flooded while cold", []edit{{"internal/router/choice.go", "if b.work >= all || b.keys[r.key] >= cold {", "if all+cold < 0 {"}}},
	{"an emptied disk does not vote", "amnesia", "read gave epoch|told twice|slipped back|bytes that were not sent", []edit{{"internal/controller/acceptor.go", "c.vote.inc = c.o.Inc", "c.vote.inc = 1"}}},
	{"sync before an answer", "power", "routes under epoch 1|read gave epoch|bytes that were not sent|slipped back", []edit{
		{"internal/controller/core.go", "c.saves[c.token] = then", "then()\n\tc.saves[c.token] = func() {}"}}},
	{"grant under a fresh read", "fence", "routes under epoch", []edit{{"internal/controller/links.go", "old := c.now.Sub(c.knownSince())", "old := clock.Span(0)"}}},
	{"grant after acknowledgement", "grow", "routes under epoch|held a promise", []edit{{"internal/controller/links.go", "if since, owes := c.owedSince(l); owes {", "if since, owes := c.owedSince(l); owes && false {"}}},
	{"a majority for the duty", "core", "two own the duty|two controllers", []edit{
		{"internal/controller/duty.go", " || !d.free {", " {"}, {"internal/controller/reader.go", "q.claim && voterset.Majority(q.set, q.grant)", "q.claim"}}},
	{"no new owner beside a held duty", "core", "two own the duty|two controllers", []edit{{"internal/controller/acceptor.go", "|| !held && !quiet)", "|| !quiet)"}, {"internal/controller/duty.go", "inc) || !d.free {", "inc) {"}}},
	{"expect the epoch", "plans", "that expected epoch", []edit{{"internal/controller/changes.go", "if !a.Any && d.Epoch != a.Expect {", "if false {"}}},
	{"redo no change", "core", "was reached by", []edit{{"internal/controller/changes.go", "if x.ID == a.Change {\n\t\t\t\treturn d, failure.Repeated", "if x.ID == `no` {\n\t\t\t\treturn d, failure.Repeated"}, {"internal/controller/changes.go", "&& c.hasTaken(a.Change) {", "&& false {"}}},
	{"see servers go", "servers", "after it was leaving or gone", []edit{
		{"internal/controller/server.go", "return !s.dark && s.known && c.meant(s)", "return s.known && c.meant(s)"},
		{"internal/controller/server.go", `return s.State == "live" && !c.empty`, "return !c.empty"}}},
	{"leave emptied zones", "zones", "in emptied zone", []edit{
		{"internal/controller/server.go", `"live" && !c.empty[s.Zone] && !c.closed`, `"live" && !c.closed`},
		{"internal/router/core.go", "return c.empty[p.Zone] || !c.leased()", "return !c.leased()"}}},
	{"repeat only what may be", "storm", "may not be repeated", []edit{
		{"internal/router/ledger.go", "Lost:    {{kind: failure.Unclear}, {again: true, pay: true}}", "Lost:    {{again: true}, {again: true}}"},
		{"internal/router/allowance.go", "if sum < 1 {", "if sum < 0 {"}}},
	{"keep to the allowance", "flap", "to [0-9]* first goes", []edit{
		{"internal/router/allowance.go", "if sum < 1 {", "if sum < 0 {"}, {"internal/router/core.go", "generic.SetDefault(&o.Goes, 4)", "generic.SetDefault(&o.Goes, 1000)"}}},
	{"one server's events", "storm", "came as number|two goes in one answer|after its end", []edit{
		{"internal/router/ledger.go", "Split:   {{kind: failure.Cut}, {kind: failure.Cut}}", "Split:   {{again: true}, {again: true}}"}}},
	{"route only what is allowed", "plans", "which no plan allows", []edit{
		{"internal/router/admission.go", "case c.leased():\n\t\t\treturn why", "case why != failure.None && c.leased():"},
		{"internal/router/admission.go", "return why\n}\n\n// admit", "_ = why\n\treturn failure.None\n}\n\n// admit"}}},
	{"turn away under a hold only", "grow", "was turned away", []edit{{"internal/router/admission.go", "case c.leased():\n\t\t\treturn why", "case true:\n\t\t\treturn why"}}},
	{"refuse what was sent late", "lag", "after it was leaving or gone|in emptied zone|which no plan allows", []edit{{"internal/standin/server.go", "s.now.Sub(v.Since) > s.o.Whole", "s.now.Sub(v.Since) > 1e15"}}},
	{"one server for what runs once", "again", "may not be repeated", []edit{{"internal/router/choice.go", "if !r.repeatable() && !c.o.Free {\n\t\tif only", "if r == nil {\n\t\tif only"}}},
	{"routers give agents back the plan", "ruin-clocks", "the routers' plan did not come back", []edit{{"internal/router/core.go", "if b.Session.Agent != c.ses.Agent && c.last != nil {", "if false {"}}},
	{"agents' lives by the steady clock", "clocks", "proper requests were answered", []edit{{"internal/agent/core.go", "Agent: c.o.Life, Router", "Agent: c.o.Inc, Router"}}},
	{"know the last list", "platform", "service came back|proper requests were answered", []edit{{"internal/controller/duty.go", "c.onList(c.list.List) //", "//"}}},
	{"doubt a list without most servers", "platform", "proper requests were answered", []edit{{"internal/controller/list.go", "if 2*len(lost) <= there {", "if true {"}}},
	{"let go of what cannot be served", "blind", "kept the duty", []edit{{"internal/controller/list.go", "c.eye.since == 0 {\n\t\treturn\n\t}\n\tshould", "c.eye.since != 1 {\n\t\treturn\n\t}\n\tshould"}}},
	{"check every event", "mangled", "came as number|two goes in one answer|someone else|ended after", []edit{{"internal/router/serve.go", "return l.Go == v.Work.Go && l.Server == v.Server && l.N == n", "return true"}}},
	{"believe no report that contradicts itself", "odd", "past its room", []edit{
		{"internal/controller/fenced.go", "min(max(h.Size, c.sizeOf(h.Key)), mostSize), max(h.Active", "h.Size, max(h.Active"},
		{"internal/controller/fenced.go", "oddity(r); odd != s.odd", "``; odd != s.odd && oddity(r) != ``"}}},
	{"spread over zones", "return", "ready in 1 zones", []edit{{"internal/controller/moves.go", "if m.Floor < 2 || has.count < 2", "if m.Floor >= 0 || has.count < 2"}, {"internal/controller/place.go", "score += newZone", "score += 0"}}},
	{"even out", "return", "unevenly filled", []edit{{"internal/controller/moves.go", "if c.now.Sub(c.uneven) < c.o.Even {", "if c.uneven != 1 {"}}},
	{"sweep what reads do not mend", "sweep", "still has epoch", []edit{{"internal/controller/reader.go", "if c.now.Sub(r.unequal) > c.answerWait() {", "if false {"}}},
	{"a seat outlives a restart", "spare", "a seat was given away", []edit{{"internal/controller/voters.go", "if since == 0 || c.now.Sub(since) <= c.o.Spare {", "if since == 0 {"}}},
	{"hear agents before a core forms anew", "ruin", "plan did not come back", []edit{{"internal/controller/forming.go", "if c.now.Sub(r.blank) < c.o.Form {", "if c.now.Sub(r.blank) >= c.o.Form {"}}},
	{"come back soon", "power", "service came back", []edit{{"internal/controller/core.go", "generic.SetDefault(&o.Duty, 1200e6)", "generic.SetDefault(&o.Duty, 20e9)"}}},
}

// broken builds the simulator with a guard broken.
func buildWithEdits(t *testing.T, edits []edit) string {
	t.Helper()
	dir := t.TempDir()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	var list []overlay.Edit
	for _, e := range edits {
		list = append(list, overlay.Edit{File: e.file, Old: e.old, New: e.replacement})
	}
	name, err := overlay.Write(root, dir, list)
	require.NoError(t, err)
	bin := filepath.Join(dir, "simulator")
	out, err := exec.Command("go", "build", "-overlay", name, "-o", bin, "tidedeck/cmd/simulator").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return bin
}

// biteSeeds is how many seeds are tried until a broken guard shows: some show at one in thirteen, and which ones it are changes with
// every decision that comes a beat sooner or later.
const maxGuardSeeds = 40

func TestBites(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without the race detector")
	}
	for _, b := range bites {
		t.Run(strings.ReplaceAll(b.guard, " ", "-"), func(t *testing.T) {
			t.Parallel()
			s, ok := Find(b.scene)
			require.True(t, ok)
			bin := buildWithEdits(t, b.edits)
			for seed := uint64(1); seed <= maxGuardSeeds; seed++ {
				// It exits with an error where a checker saw something.
				run := exec.Command(bin, "--plans", "../../examples", "--scene", b.scene, "--seed", fmt.Sprint(seed))
				run.Env = append(os.Environ(), strict.Variable+"="+strict.Off)
				out, _ := run.CombinedOutput()
				require.Contains(t, string(out), " failed", "it ran to its end: %s", out)
				for _, x := range strings.Split(string(out), "\n") {
					if strings.HasPrefix(x, "   BAD ") && matchesAny(b.expect, x) {
						whole, _ := s.Run(fleetOptions(t, "corrib", seed))
						require.Empty(t, whole.Check.Bad, "with the guard whole, seed %d", seed)
						return
					}
				}
			}
			t.Fatalf("with this guard broken, no seed showed %q", b.expect)
		})
	}
}

func matchesAny(any, s string) bool {
	for _, p := range strings.Split(any, "|") {
		a, z, _ := strings.Cut(p, "[0-9]*")
		if i := strings.Index(s, a); i >= 0 && strings.Contains(s[i:], z) {
			return true
		}
	}
	return false
}
