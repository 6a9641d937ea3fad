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

// patience is no bound on the system: it only ends a test that waits for what never comes.
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

// raiseLinked raises a fleet whose machines have links that can be cut.
func startLinkedFleet(t *testing.T, name string) testFleet { return startFleetWith(t, name, NewLinked) }

// noViolations fails a test if any process logged that an invariant was violated.
func noViolations(t *testing.T, folder string) {
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, log := range logs {
		raw, err := os.ReadFile(log)
		require.NoError(t, err)
		require.NotContains(t, string(raw), invariant.Sign, log)
	}
}

func startFleetWith(t *testing.T, name string, lay func(Shape, string, string, []byte) *Fleet) testFleet {
	t.Helper()
	raw, err := os.ReadFile("../../examples/" + name + ".json")
	require.NoError(t, err)
	// On a slow machine nothing may hang on how long a request waits.
	raw = regexp.MustCompile(`"wait_ms": \d+`).ReplaceAll(raw, []byte(`"wait_ms": 100000`))
	q, faults := fleetplan.ReadPlan(raw)
	require.Nil(t, faults)
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	f := lay(Shapes[name], bins, t.TempDir(), raw)
	t.Cleanup(f.Links.Close)
	t.Cleanup(func() { noViolations(t, f.Dir) }) // once all processes have ended
	for n := range f.ServerAddrs {
		f.Processes[n].Args = append(f.Processes[n].Args, "--whole-ms", "100000") // nor on how soon it is scheduled
	}
	t.Cleanup(f.KillAll)
	require.NoError(t, f.StartAll())
	r := testFleet{f, t, ctx, q}
	r.until("the core is ready", func() bool {
		return f.CoreNodeReady("controller-1") && f.CoreNodeReady("controller-2") && f.CoreNodeReady("controller-3")
	})
	e := r.putPlan("controller-2", raw, "0", "first")
	r.until("the plan rules everywhere", func() bool { return f.InForceAt(e, f.RouterAddrs...) })
	r.until("floors are loaded", f.FloorsMet)
	return r
}

func (r testFleet) until(what string, f func() bool) {
	r.t.Helper()
	require.NoError(r.t, Until(r.ctx, what, f))
}

// calls sends requests while a step goes on, and gives what callers saw.
func (r testFleet) calls(n int, rate float64, seed uint64, during func()) *standin.CallReport {
	var all sync.WaitGroup
	var rep *standin.CallReport
	all.Add(1)
	go func() {
		defer all.Done()
		m := standin.NewMix(r.parsedPlan, seed)
		rep = standin.Calls(r.ctx, standin.CallOptions{Routers: r.RouterAddrs, Next: m.Next, Rate: rate, Total: n})
	}()
	during()
	all.Wait()
	require.Empty(r.t, rep.Wrong, "no answer may be wrong")
	return rep
}

// put hands a plan over; under one id it may be asked until an answer comes.
func (r testFleet) putPlan(core string, raw []byte, expect, id string) (epoch uint64) {
	r.t.Helper()
	r.until("the plan is taken", func() bool {
		a, code, err := r.PutPlan(core, raw, expect, id)
		epoch = a.Epoch
		return err == nil && code == 200
	})
	return epoch
}

func (r testFleet) readPlan(core string) (string, bool) {
	var b []byte
	c, err := r.Do("GET", r.AdminAddrs[core]+"/plan", nil, nil, &b)
	return string(b), err == nil && c == 200
}

// A server, a router and the duty's owner are killed under traffic; the fleet goes on.
func TestKills(t *testing.T) {
	r := startFleet(t, "corrib")
	rep := r.calls(1200, 100, 5, func() {
		r.Kill("server-3")
		r.Kill("router-2")
		old := r.Owner()
		require.NotEmpty(t, old)
		r.Kill(old)
		r.until("another owns the duty", func() bool { o := r.Owner(); return o != "" && o != old })
		require.NoError(t, r.Start(old))
		require.NoError(t, r.Start("router-2"))
		require.NoError(t, r.Start("server-3"))
	})
	// What the dead router and server had under way is lost, and said to be; all else is answered.
	for _, k := range []string{"malformed", "no_route", "no_model", "no_kind", "no kind"} {
		require.Zero(t, rep.Kinds[k], k)
	}
	require.Greater(t, rep.Receipts, rep.Sent*2/3, "%v", rep.Kinds)
	r.until("floors are loaded again", r.FloorsMet)
	again := r.calls(200, 100, 6, func() {})
	require.Equal(t, again.Sent, again.Receipts, "%v", again.Kinds)
	r.until("the plan is read back", func() bool { raw, ok := r.readPlan("controller-1"); return ok && raw == string(r.Plan) })
}

// An owner that is stopped loses the duty; when it goes on it orders nothing.
func TestFrozenOwner(t *testing.T) {
	r := startFleet(t, "padana")
	old := r.Owner()
	r.Signal(old, syscall.SIGSTOP)
	r.until("another owns the duty", func() bool { o := r.Owner(); return o != "" && o != old })
	rep := r.calls(300, 100, 8, func() { r.Signal(old, syscall.SIGCONT) })
	require.Equal(t, rep.Sent, rep.Receipts, "%v", rep.Kinds)
	// A router that is stopped past its hold comes back suspicious of all it had.
	r.Signal("router-1", syscall.SIGSTOP)
	require.EqualValues(t, 2, r.putPlan("controller-1", []byte(string(r.Plan)+"\n"), "1", "second"))
	var rest []string
	for n, x := range r.RouterByName {
		if n != "router-1" {
			rest = append(rest, x)
		}
	}
	r.until("the others rule by the new plan", func() bool { return r.InForceAt(2, rest...) })
	r.Signal("router-1", syscall.SIGCONT)
	r.until("the stopped router too", func() bool { return r.InForceAt(2, r.RouterAddrs...) })
}

// Routers are restarted one by one, as planned, while long answers are under way: none is cut.
func TestRollRouters(t *testing.T) {
	r := startFleet(t, "corrib")
	m := standin.NewMix(r.parsedPlan, 11)
	h := standin.Client()
	for i := 1; i <= r.Shape.Routers; i++ {
		n := fmt.Sprintf("router-%d", i)
		rep := &standin.CallReport{Kinds: map[string]int{}, ByRouter: map[string]int{}}
		var mu sync.Mutex
		var all sync.WaitGroup
		for range 6 {
			a := m.Next()
			a.Call.Max, a.Call.Again = 60, false
			all.Add(1)
			go func() { defer all.Done(); standin.Call(h, r.RouterByName[n], a, rep, &mu) }()
		}
		r.until("streams are under way", func() bool {
			return r.Metrics(r.RouterByName[n] + "/-/metrics")["tidedeck_router_firsts_total"] >= 6
		})
		require.NoError(t, r.Stop(n), "a planned stop ends well")
		all.Wait()
		require.Empty(t, rep.Wrong)
		require.Equal(t, 6, rep.Receipts, "%v", rep.Kinds)
		require.NoError(t, r.Start(n))
	}
	r.until("every router is back", func() bool { return r.InForceAt(1, r.RouterAddrs...) })
	// Core nodes, too: the owner gives the duty back as it stops.
	rep := r.calls(300, 60, 12, func() {
		for i := 1; i <= 3; i++ {
			n := fmt.Sprintf("controller-%d", i)
			require.NoError(t, r.Stop(n))
			r.until("somebody owns the duty", func() bool { return r.Owner() != "" })
			require.NoError(t, r.Start(n))
			r.until("the node is back", func() bool { return r.CoreNodeReady(n) })
		}
	})
	require.Equal(t, rep.Sent, rep.Receipts, "%v", rep.Kinds)
}

// Every process is killed at once and started again: what was confirmed is there.
func TestAllDownAndBack(t *testing.T) {
	r := startFleet(t, "padana")
	b := []byte(string(r.Plan) + "  \n")
	e := r.putPlan("controller-3", b, "1", "last")
	r.KillAll()
	// The power went as well: every core disk has a journal that ends in half a record.
	for n := range r.AdminAddrs {
		l, err := filepath.Glob(filepath.Join(r.Dir, n, "state", "*.log"))
		require.NoError(t, err)
		require.NotEmpty(t, l)
		f, err := os.OpenFile(l[len(l)-1], os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = f.Write([]byte{1, 2, 3, 4, 200, 1, 1, 9, 9, 9, 9, 9, 9})
		require.NoError(t, err)
		require.NoError(t, f.Close())
	}
	require.NoError(t, r.StartAll())
	r.until("the core is ready", func() bool { return r.CoreNodeReady("controller-1") })
	r.until("the plan is read back", func() bool {
		raw, ok := r.readPlan("controller-1")
		require.True(t, !ok || raw == string(b), "to the byte")
		return ok
	})
	r.until("the plan rules everywhere", func() bool { return r.InForceAt(e, r.RouterAddrs...) })
	side, err := filepath.Glob(filepath.Join(r.Dir, "controller-*", "*.damaged-*"))
	require.NoError(t, err)
	require.Empty(t, side, "a torn tail is no damage")
	rep := r.calls(100, 50, 3, func() {})
	require.Equal(t, rep.Sent, rep.Receipts, "%v", rep.Kinds)
}

// A core node whose data folder was emptied is admitted anew and may then be relied on;
// one whose folder is damaged likewise.
func TestEmptiedCore(t *testing.T) {
	r := startFleet(t, "padana")
	seat := func(id string) (inc uint64) {
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
		for _, x := range v.View.Voters {
			if x.ID == id {
				inc = x.Inc
			}
		}
		return inc
	}
	for i, harm := range []func(dir string){
		func(dir string) { require.NoError(t, os.RemoveAll(dir)) },
		func(dir string) {
			l, err := filepath.Glob(filepath.Join(dir, "state", "*.log"))
			require.NoError(t, err)
			require.NotEmpty(t, l)
			b, err := os.ReadFile(l[0])
			require.NoError(t, err)
			for j := range min(len(b), 64) {
				b[len(b)-1-j] ^= 0x5a
			}
			require.NoError(t, os.WriteFile(l[0], b, 0o644))
		},
	} {
		was := seat("controller-3")
		require.NotZero(t, was)
		r.Kill("controller-3")
		harm(filepath.Join(r.Dir, "controller-3"))
		require.NoError(t, r.Start("controller-3"))
		r.until(fmt.Sprintf("the emptied node is admitted, %d", i), func() bool { n := seat("controller-3"); return n != 0 && n != was })
	}
	r.Kill("controller-1") // now the emptied node is needed for a majority
	r.until("a majority with the emptied node serves", func() bool { raw, _ := r.readPlan("controller-2"); return raw == string(r.Plan) })
}

// Servers are made to fail on demand: one goes dark, one restarts empty, one is withdrawn with
// notice, one is slow; each is seen, offered no more, and offered again when it is back.
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
	mark := func(id, state string) {
		c, err := r.Do("POST", r.PlatformAddr+"/servers/"+id+"/"+state, nil, nil, nil)
		require.NoError(t, err)
		require.Equal(t, 200, c)
	}
	until := func(id string, want bool) {
		r.until(fmt.Sprintf("%s is offered: %v", id, want), func() bool { o, ok := offered(id); return ok && o == want })
	}
	rep := r.calls(400, 40, 21, func() {
		fault("server-1", "dark")
		until("server-1", false)
		fault("server-1", "light")
		until("server-1", true)
		fault("server-2", "empty")
		mark("server-3", "leaving")
		until("server-3", false)
		mark("server-3", "live")
		until("server-3", true)
		fault("server-4", "slow")
		fault("server-4", "fast")
	})
	require.Greater(t, rep.Receipts, rep.Sent*9/10, "%v", rep.Kinds)
	r.until("floors are loaded", r.FloorsMet)
	var st standin.StoreTally
	_, err := r.Get(r.StoreAddr+"/count", &st)
	require.NoError(t, err)
	require.Zero(t, st.Over, "loads never outran the store")
	// Emptying a zone takes its servers out, refilling brings them back.
	for _, c := range []struct {
		op   string
		want bool
	}{{"empty", false}, {"refill", true}} {
		r.until("the zone is changed", func() bool {
			code, err := r.Do("POST", r.AdminAddrs["controller-1"]+"/zones/zb/"+c.op, map[string]string{"X-Expect-Epoch": "any", "X-Change-Id": c.op}, nil, nil)
			return err == nil && code == 200
		})
		until("server-2", c.want)
		until("server-1", true)
	}
}
