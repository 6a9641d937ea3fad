package localfleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/invariant"
	"tidedeck/internal/standin"
)

// testTimeout ends a test whose condition is never met. It is no requirement on the system's speed.
const testTimeout = 120 * time.Second

var bins string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "tidedeck-bin-")
	if err == nil {
		var out []byte
		out, err = exec.Command("go", "build", "-o", dir+"/", "tidedeck/cmd/...").CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s\n", out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bins = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

type testFleet struct {
	*Fleet
	t          *testing.T
	ctx        context.Context
	parsedPlan *fleetplan.Plan
}

func startFleet(t *testing.T, name string) testFleet { return startFleetWith(t, name, New) }

// startLinkedFleet starts a fleet whose machines have links that can be cut.
func startLinkedFleet(t *testing.T, name string) testFleet { return startFleetWith(t, name, NewLinked) }

// noViolations fails the test if any process has logged an invariant violation.
func noViolations(t *testing.T, folder string) {
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, log := range logs {
		raw, err := os.ReadFile(log)
		require.NoError(t, err)
		require.NotContains(t, string(raw), invariant.ViolationPrefix, log)
	}
}

// printedLogBytes is how much of the end of each log is printed, in bytes.
const printedLogBytes = 2 << 10

// printLogs prints the end of each process's log if the test has failed.
func printLogs(t *testing.T, folder string) {
	if !t.Failed() {
		return
	}
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	require.NoError(t, err)
	for _, log := range logs {
		raw, err := os.ReadFile(log)
		require.NoError(t, err)
		t.Logf("end of %s:\n%s", filepath.Base(log), raw[max(0, len(raw)-printedLogBytes):])
	}
}

func startFleetWith(t *testing.T, name string, newFleet func(Shape, string, string, []byte) *Fleet) testFleet {
	t.Helper()
	raw, err := os.ReadFile("../../examples/" + name + ".json")
	require.NoError(t, err)
	// On a slow machine no result may depend on the time limit of waiting requests.
	raw = regexp.MustCompile(`"wait_ms": \d+`).ReplaceAll(raw, []byte(`"wait_ms": 100000`))
	parsed, faults := fleetplan.ReadPlan(raw)
	require.Nil(t, faults)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f := newFleet(Shapes[name], bins, t.TempDir(), raw)
	t.Cleanup(f.Links.Close)
	t.Cleanup(func() { noViolations(t, f.Dir) }) // runs after all processes have exited
	t.Cleanup(func() { printLogs(t, f.Dir) })
	for n := range f.ServerAddrs {
		f.Processes[n].Args = append(f.Processes[n].Args, "--whole-ms", "100000") // nor on how soon a process is scheduled
	}
	t.Cleanup(f.KillAll)
	require.NoError(t, f.StartAll())
	fleet := testFleet{f, t, ctx, parsed}
	fleet.until("core nodes ready", func() bool {
		return f.CoreNodeReady("controller-1") && f.CoreNodeReady("controller-2") && f.CoreNodeReady("controller-3")
	})
	epoch := fleet.putPlan("controller-2", raw, "0", "first")
	fleet.until("plan in force at every router", func() bool { return f.InForceAt(epoch, f.RouterAddrs...) })
	fleet.until("floors met", f.FloorsMet)
	return fleet
}

func (r testFleet) until(what string, holds func() bool) {
	r.t.Helper()
	require.NoError(r.t, WaitUntil(r.ctx, what, holds))
}

// calls sends requests while during runs, and returns what the callers saw.
func (r testFleet) calls(total int, rate float64, seed uint64, during func()) *standin.CallReport {
	var group sync.WaitGroup
	var report *standin.CallReport
	group.Add(1)
	go func() {
		defer group.Done()
		mix := standin.NewWorkload(r.parsedPlan, seed)
		report = standin.RunCalls(r.ctx, standin.CallOptions{Routers: r.RouterAddrs, Next: mix.Next, Rate: rate, Total: total})
	}()
	during()
	group.Wait()
	require.Empty(r.t, report.Wrong, "wrong answers")
	return report
}

// putPlan submits a plan and retries under the same change id until it is accepted.
func (r testFleet) putPlan(core string, raw []byte, expect, id string) (epoch uint64) {
	r.t.Helper()
	r.until("plan accepted", func() bool {
		reply, code, err := r.PutPlan(core, raw, expect, id)
		epoch = reply.Epoch
		return err == nil && code == 200
	})
	return epoch
}

func (r testFleet) readPlan(core string) (string, bool) {
	var raw []byte
	code, err := r.Do("GET", r.AdminAddrs[core]+"/plan", nil, nil, &raw)
	return string(raw), err == nil && code == 200
}

// The fleet keeps serving when a server, a router and the leader are killed under traffic.
func TestKills(t *testing.T) {
	r := startFleet(t, "corrib")
	report := r.calls(1200, 100, 5, func() {
		r.Kill("server-3")
		r.Kill("router-2")
		old := r.Owner()
		require.NotEmpty(t, old)
		r.Kill(old)
		r.until("another core node is the leader", func() bool { o := r.Owner(); return o != "" && o != old })
		require.NoError(t, r.Start(old))
		require.NoError(t, r.Start("router-2"))
		require.NoError(t, r.Start("server-3"))
	})
	// Active requests of the killed router and server are lost and reported as such; no request is rejected as invalid.
	for _, kind := range []string{"malformed", "no_route", "no_model", "no_kind", "no kind"} {
		require.Zero(t, report.Kinds[kind], kind)
	}
	require.Greater(t, report.Answers, report.Sent*2/3, "%v", report.Kinds)
	r.until("floors met again", r.FloorsMet)
	again := r.calls(200, 100, 6, func() {})
	require.Equal(t, again.Sent, again.Answers, "%v", again.Kinds)
	r.until("plan is read back", func() bool { raw, ok := r.readPlan("controller-1"); return ok && raw == string(r.Plan) })
}

// A leader that is suspended is replaced, and issues no orders when it resumes.
func TestFrozenOwner(t *testing.T) {
	r := startFleet(t, "padana")
	old := r.Owner()
	r.Signal(old, syscall.SIGSTOP)
	r.until("another core node is the leader", func() bool { o := r.Owner(); return o != "" && o != old })
	report := r.calls(300, 100, 8, func() { r.Signal(old, syscall.SIGCONT) })
	require.Equal(t, report.Sent, report.Answers, "%v", report.Kinds)
	// A router that is suspended past the end of its lease suspects all its entries when it resumes, and applies the plan
	// that changed meanwhile.
	r.Signal("router-1", syscall.SIGSTOP)
	require.EqualValues(t, 2, r.putPlan("controller-1", []byte(string(r.Plan)+"\n"), "1", "second"))
	var others []string
	for name, addr := range r.RouterByName {
		if name != "router-1" {
			others = append(others, addr)
		}
	}
	r.until("new plan in force at the others", func() bool { return r.InForceAt(2, others...) })
	r.Signal("router-1", syscall.SIGCONT)
	r.until("new plan in force at the suspended router", func() bool { return r.InForceAt(2, r.RouterAddrs...) })
}

// A rolling restart of the routers during long answers, and then of the core nodes under traffic, fails no request.
func TestRollRouters(t *testing.T) {
	r := startFleet(t, "corrib")
	mix := standin.NewWorkload(r.parsedPlan, 11)
	client := standin.Client()
	for i := 1; i <= r.Shape.Routers; i++ {
		name := fmt.Sprintf("router-%d", i)
		report := &standin.CallReport{Kinds: map[string]int{}, ByRouter: map[string]int{}}
		var mu sync.Mutex
		var group sync.WaitGroup
		for range 6 {
			ask := mix.Next()
			ask.Call.MaxTokens, ask.Call.Repeatable = 60, false
			group.Add(1)
			go func() { defer group.Done(); standin.Call(client, r.RouterByName[name], ask, report, &mu) }()
		}
		r.until("streams active", func() bool {
			return r.Metrics(r.RouterByName[name] + "/-/metrics")["tidedeck_router_firsts_total"] >= 6
		})
		require.NoError(t, r.Stop(name), "graceful stop")
		group.Wait()
		require.Empty(t, report.Wrong)
		require.Equal(t, 6, report.Answers, "%v", report.Kinds)
		require.NoError(t, r.Start(name))
	}
	r.until("every router is ready again", func() bool { return r.InForceAt(1, r.RouterAddrs...) })
	// Core nodes: a leader releases the leadership when it stops.
	report := r.calls(300, 60, 12, func() {
		for i := 1; i <= 3; i++ {
			name := fmt.Sprintf("controller-%d", i)
			require.NoError(t, r.Stop(name))
			r.until("some core node is the leader", func() bool { return r.Owner() != "" })
			require.NoError(t, r.Start(name))
			r.until("core node is ready again", func() bool { return r.CoreNodeReady(name) })
		}
	})
	require.Equal(t, report.Sent, report.Answers, "%v", report.Kinds)
}

// An acknowledged plan survives when all processes are killed at once and restarted.
func TestAllDownAndBack(t *testing.T) {
	r := startFleet(t, "padana")
	plan := []byte(string(r.Plan) + "  \n")
	epoch := r.putPlan("controller-3", plan, "1", "last")
	r.KillAll()
	// As after a power failure, the journal of every core node ends in an incomplete record.
	for name := range r.AdminAddrs {
		logs, err := filepath.Glob(filepath.Join(r.Dir, name, "state", "*.log"))
		require.NoError(t, err)
		require.NotEmpty(t, logs)
		file, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = file.Write([]byte{1, 2, 3, 4, 200, 1, 1, 9, 9, 9, 9, 9, 9})
		require.NoError(t, err)
		require.NoError(t, file.Close())
	}
	require.NoError(t, r.StartAll())
	r.until("core node ready", func() bool { return r.CoreNodeReady("controller-1") })
	r.until("plan is read back", func() bool {
		raw, ok := r.readPlan("controller-1")
		require.True(t, !ok || raw == string(plan), "plan differs from the acknowledged one")
		return ok
	})
	r.until("plan in force at every router", func() bool { return r.InForceAt(epoch, r.RouterAddrs...) })
	damaged, err := filepath.Glob(filepath.Join(r.Dir, "controller-*", "*.damaged-*"))
	require.NoError(t, err)
	require.Empty(t, damaged, "a torn tail must not be reported as damage")
	report := r.calls(100, 50, 3, func() {})
	require.Equal(t, report.Sent, report.Answers, "%v", report.Kinds)
}

// damagedBytes is how much of a journal is damaged, in bytes.
const damagedBytes = 64

func damageJournalBeginning(t *testing.T, folder string) {
	damageJournal(t, folder, func(raw []byte) []byte { return raw[:min(len(raw), damagedBytes)] })
}

func damageJournalEnd(t *testing.T, folder string) {
	damageJournal(t, folder, func(raw []byte) []byte { return raw[max(0, len(raw)-damagedBytes):] })
}

// damageJournal damages a part of the journal of a core node's state store.
func damageJournal(t *testing.T, folder string, part func(raw []byte) []byte) {
	t.Helper()
	journals, err := filepath.Glob(filepath.Join(folder, "state", "*.log"))
	require.NoError(t, err)
	require.Len(t, journals, 1)
	raw, err := os.ReadFile(journals[0])
	require.NoError(t, err)
	damaged := part(raw)
	require.NotEmpty(t, damaged)
	for i := range damaged {
		damaged[i] ^= 0x5a
	}
	require.NoError(t, os.WriteFile(journals[0], raw, 0o644))
}

// A core node whose data folder was emptied or damaged is readmitted as a new voter, and then counts for a majority.
func TestEmptiedCore(t *testing.T) {
	r := startFleet(t, "padana")
	incarnation := func(id string) (inc uint64) {
		var v struct {
			View struct {
				Voters []struct {
					ID  string `json:"id"`
					Inc uint64 `json:"inc"`
				} `json:"voters"`
				Prior []any `json:"prior"`
			} `json:"view"`
		}
		if _, err := r.Get(r.AdminAddrs["controller-2"]+"/nodes", &v); err != nil || len(v.View.Prior) > 0 {
			return 0
		}
		for _, voter := range v.View.Voters {
			if voter.ID == id {
				inc = voter.Inc
			}
		}
		return inc
	}
	for _, c := range []struct {
		name   string
		end    func(name string)
		damage func(t *testing.T, folder string)
	}{
		{"folder emptied", r.Kill, func(t *testing.T, folder string) { require.NoError(t, os.RemoveAll(folder)) }},
		{"journal damaged at its beginning", r.Kill, damageJournalBeginning},
		// What was written last is confirmed for sure only after a planned stop: losing it is no damage otherwise.
		{"journal damaged at its end", func(name string) { require.NoError(t, r.Stop(name)) }, damageJournalEnd},
	} {
		before := incarnation("controller-3")
		require.NotZero(t, before)
		c.end("controller-3")
		c.damage(t, filepath.Join(r.Dir, "controller-3"))
		require.NoError(t, r.Start("controller-3"))
		r.until(c.name+": controller-3 is readmitted", func() bool { after := incarnation("controller-3"); return after != 0 && after != before })
	}
	r.Kill("controller-1") // controller-3 is now needed for a majority
	r.until("majority with controller-3 serves", func() bool { raw, _ := r.readPlan("controller-2"); return raw == string(r.Plan) })
}

// Injected server faults: one server stops answering, one restarts empty, one is withdrawn with notice, one is slow. The
// unreachable and the withdrawn server are not offered until they are back, and most requests are still served.
func TestServerFaults(t *testing.T) {
	r := startFleet(t, "padana")
	offered := func(id string) (offered, known bool) {
		v, ok := r.ReadServers()
		for _, s := range v.View.Servers {
			if s.ID == id {
				offered = s.Offered
			}
		}
		return offered, ok
	}
	fault := func(id, kind string) {
		c, err := r.Do("POST", r.ServerAddrs[id]+"/fault/"+kind, nil, nil, nil)
		require.NoError(t, err)
		require.Equal(t, 200, c)
	}
	setState := func(id, state string) {
		c, err := r.Do("POST", r.PlatformAddr+"/servers/"+id+"/"+state, nil, nil, nil)
		require.NoError(t, err)
		require.Equal(t, 200, c)
	}
	until := func(id string, want bool) {
		r.until(fmt.Sprintf("%s is offered: %v", id, want), func() bool { offered, ok := offered(id); return ok && offered == want })
	}
	report := r.calls(400, 40, 21, func() {
		fault("server-1", "dark")
		until("server-1", false)
		fault("server-1", "light")
		until("server-1", true)
		fault("server-2", "empty")
		setState("server-3", "leaving")
		until("server-3", false)
		setState("server-3", "live")
		until("server-3", true)
		fault("server-4", "slow")
		fault("server-4", "fast")
	})
	require.Greater(t, report.Answers, report.Sent*9/10, "%v", report.Kinds)
	r.until("floors met", r.FloorsMet)
	var store standin.StoreTally
	_, err := r.Get(r.StoreAddr+"/count", &store)
	require.NoError(t, err)
	require.Zero(t, store.Over, "pulls exceeded the store's budget")
	// Draining a zone withdraws its servers, refilling it offers them again.
	for _, c := range []struct {
		op   string
		want bool
	}{{"empty", false}, {"refill", true}} {
		r.until("zone changed", func() bool {
			code, err := r.Do("POST", r.AdminAddrs["controller-1"]+"/zones/zb/"+c.op, map[string]string{"X-Expect-Epoch": "any", "X-Change-Id": c.op}, nil, nil)
			return err == nil && code == 200
		})
		until("server-2", c.want)
		until("server-1", true)
	}
}
