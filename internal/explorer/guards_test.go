package explorer

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

// edit is a replacement in the controller's sources that applies only to one build.
type edit struct{ old, new string }

// brokenGuard is a safety condition of the controllers that edits disable, the scenario that must detect this, and the
// texts, separated by |, of which the reported violation must contain one.
type brokenGuard struct {
	guard, scenario, expects string
	edits                    []edit
}

// guardPackages are the packages that contain the guards.
var guardPackages = []string{"internal/controller", "internal/voterset"}

var brokenGuards = []brokenGuard{
	{"a majority accepts a change", "cut-owner", "durably holds", []edit{{"return n > len(voters)/2", "return n >= len(voters)/2"}}},
	{"expect the epoch", "cut-owner", "which expected epoch", []edit{{"if !a.Any && d.Epoch != a.Expect {", "if false {"}}},
	{"a read sees the newest ballot", "cut-owner", "a read at|without change", []edit{{"if q.top.Less(b.Accepted) {", "if false {"}}},
	{"apply no change twice", "race", "although it was taken", []edit{{"if x.ID == a.Change {\n\t\t\t\treturn d, failure.Repeated", "if x.ID == `no` {\n\t\t\t\treturn d, failure.Repeated"}, {"&& c.hasChosen(a.Change) {", "&& false {"}}},
	{"keep a promise", "race-orders", "is chosen with plan|was confirmed for|without", []edit{
		{"if b.Ballot.Less(c.acceptor.promised) {\n\t\tc.reply(e, protocol.Accepted{", "if false {\n\t\tc.reply(e, protocol.Accepted{"}}},
	{"an emptied disk does not vote", "replace-orders", "durably holds|would go on", []edit{{"c.acceptor.inc = c.o.Inc", "c.acceptor.inc = 1"}}},
	{"sync before an answer", "power", "durably holds|would go on", []edit{{"c.continuations[c.token] = then", "then()\n\tc.continuations[c.token] = func() {}"}}},
	{"admit a wiped voter again", "replace", "is not filled", []edit{{"s.state.Incarnation == v.Incarnation && s.sibling.Addr == v.Addr {", "s.sibling.Addr == v.Addr {"}}},
	{"leave a joint set", "replace-five", "joint voter set is not left", []edit{{"c.changeVoters(k, nil)", "_ = k"}}},
	{"continue with the newest accepted value", "returner", "without", []edit{{"if value != nil && o.highestAccepted.Less(b.Accepted) {", "if value != nil && o.value == nil {"}}},
	{"a restarted voter waits", "duty-restarts", "own the duty at once", []edit{
		{"recentStart := c.now.Sub(c.acceptor.started) < grantSpan", "recentStart := false"}}},
	{"no new leader during a granted lease", "duty-takeover", "own the duty at once", []edit{
		{"|| !held && !recentStart)", "|| !recentStart)"}, {"inc) || !d.vacant {", "inc) {"}}},
	{"a ballot names its proposer's incarnation", "stalled-proposer", "would go on without|durably holds|is chosen with plan|without change", []edit{
		{"By: c.o.Self.ID, Incarnation: c.o.Inc}", "By: c.o.Self.ID}"}}},
	{"a promise survives a restart", "promised", "would go on without|durably holds|is chosen with plan|without change", []edit{
		{"keyPromised: marshal(c.acceptor.promised), keyAccepted", "keyPromised: marshal(b.Ballot), keyAccepted"}}},
	{"a promise is used once", "promised-again", "would go on without|durably holds|is chosen with plan|without change", []edit{
		{"\tr.reserved = nil\n\tif p == nil || r.highestNumber > p.ballot.N || p.acceptedBallot.Less(r.knownBallot) {", "\tif p == nil {"}}},
	{"incarnations have separate round numbers", "late-answers", "without change", []edit{{"return uint64(life) << roundBits", "return 0 * uint64(life)"}}},
	{"a founder stays one", "first-start", "no core has formed", []edit{{"load(keyFounding, &c.acceptor.foundingSeeds)", "c.acceptor.foundingSeeds = foundingSeedsOf(c.o)"}}},
	{"a majority of the founders is enough", "first-start", "no core has formed", []edit{{"|| len(answering) <= len(set.voters)/2 {", "|| len(answering) < len(seeds) {"}}},
	{"an emptied node stays incomplete", "departed", "departure was acknowledged", []edit{{"= true, !isRecovering(s.Disk)", "= true, true"},
		{"c.requestDepartures(from, s.DeparturesDigest)", "_ = from"}, {"c.resendList(from)", "_ = from"}}},
	{"an emptied node is incomplete", "departed", "departure was acknowledged", []edit{{"c.departuresComplete = false //", "c.departuresComplete = true //"},
		{"c.requestDepartures(from, s.DeparturesDigest)", "_ = from"}, {"c.resendList(from)", "_ = from"}}},
	{"a majority for the leadership lease", "duty-restarts", "own the duty at once|was owned by", []edit{
		{"q.claim && voterset.Majority(q.set, q.grantors)", "q.claim"}, {"inc) || !d.vacant {", "inc) {"}}},
}

// maxGuardStates limits the search for each broken guard.
const maxGuardStates = 1500

// findSource returns the file of the guards' packages that contains a text. The text must occur exactly once.
func findSource(t *testing.T, root, old string) (source string) {
	t.Helper()
	var files []string
	for _, folder := range guardPackages {
		l, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		require.NoError(t, err)
		files = append(files, l...)
	}
	found := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		if n := strings.Count(string(text), old); n > 0 {
			source = file
			found += n
		}
	}
	require.Equal(t, 1, found, "the text %q of the edit must occur exactly once", old)
	return source
}

// buildBroken builds the explorer with edited sources.
func buildBroken(t *testing.T, edits []edit) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	directory := t.TempDir()
	var list []overlay.Edit
	for _, e := range edits {
		source, err := filepath.Rel(root, findSource(t, root, e.old))
		require.NoError(t, err)
		list = append(list, overlay.Edit{File: source, Old: e.old, New: e.new})
	}
	overlayFile, err := overlay.Write(root, directory, list)
	require.NoError(t, err)
	program := filepath.Join(directory, "explorer")
	out, err := exec.Command("go", "build", "-overlay", overlayFile, "-o", program, "tidedeck/cmd/explorer").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// TestBrokenGuards disables each guard by an edit of the real sources at build time and checks that the explorer
// reports a violation. TestScenarios checks that the unmodified sources pass the same scenarios.
func TestBrokenGuards(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without the race detector")
	}
	for _, g := range brokenGuards {
		t.Run(strings.ReplaceAll(g.guard, " ", "-"), func(t *testing.T) {
			program := buildBroken(t, g.edits)
			// The explorer exits with an error when it finds a violation.
			run := exec.Command(program, "--scenario", g.scenario, "--states", fmt.Sprint(maxGuardStates))
			run.Env = append(os.Environ(), strict.EnvVariable+"="+strict.EnvOff)
			out, _ := run.CombinedOutput()
			t.Logf("%s", out)
			_, violation, found := strings.Cut(string(out), "VIOLATION: ")
			require.True(t, found, "no violation was reported with this guard disabled")
			violation, _, _ = strings.Cut(violation, "\n")
			seen := false
			for _, s := range strings.Split(g.expects, "|") {
				seen = seen || strings.Contains(violation, s)
			}
			require.True(t, seen, violation)
		})
	}
}
