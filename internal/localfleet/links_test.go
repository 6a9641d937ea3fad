package localfleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/standin"
)

// racePlans submits two plans concurrently. Each is retried under its change id at other core nodes until it is accepted
// or conflicts.
func (o *observer) racePlans(n int, expect uint64) (replies [2]PlanReply, codes [2]int) {
	var group sync.WaitGroup
	for i := range 2 {
		group.Add(1)
		go func() {
			defer group.Done()
			raw := []byte(string(o.Plan) + strings.Repeat(" ", 1+2*n+i))
			attempt := 0
			_ = WaitUntil(o.ctx, "an answer", func() bool { // a retry goes to the next core node
				reply, code, err := o.putPlanRecorded(fmt.Sprintf("controller-%d", 1+(n+i+attempt)%3), raw, expect, fmt.Sprintf("race-%d-%d", n, i))
				replies[i], codes[i] = reply, code
				attempt++
				return err == nil && (code == 200 || code == 409)
			})
		}()
	}
	group.Wait()
	return replies, codes
}

// Two operators race while core nodes are partitioned in several ways, also in one direction only, and connections are
// closed repeatedly. Exactly one operator wins each time, and all core nodes return the plan that was acknowledged.
func TestSplits(t *testing.T) {
	r := startLinkedFleet(t, "padana")
	seen := r.startObserver()
	stopReaders := seen.startReaders("controller-1", "controller-2", "controller-3")
	epoch := uint64(1)
	for n, cut := range []func(){
		func() { r.Cut("controller-1", "controller-2", true) },
		func() { r.Isolate("controller-3") },
		func() { r.Isolate(r.Owner(), "router-", "server-", "platform") },
		func() { r.Links.SetDelay(5 * time.Millisecond) },
		func() { r.Cut("controller-2", "controller-1", false) },
	} {
		cut()
		stop := make(chan struct{})
		var breaks sync.WaitGroup
		breaks.Add(1)
		go func() { // replies are lost in transit
			defer breaks.Done()
			for range 4 {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
					r.Links.CloseConns()
				}
			}
		}()
		replies, codes := seen.racePlans(n, epoch)
		close(stop)
		breaks.Wait()
		r.Links.RestoreAll()
		won := -1
		for i := range 2 {
			if codes[i] == 200 {
				require.Equal(t, -1, won, "both plans were accepted: %v", replies)
				require.Equal(t, epoch+1, replies[i].Epoch)
				won = i
			}
		}
		require.NotEqual(t, -1, won, "%v %v", replies, codes)
		epoch++
		want := string(r.Plan) + strings.Repeat(" ", 1+2*n+won)
		for i := 1; i <= 3; i++ {
			r.until("plan is read back unchanged", func() bool {
				raw, ok := seen.readPlanRecorded(fmt.Sprintf("controller-%d", i))
				require.True(t, !ok || raw == want, "controller-%d returns another plan", i)
				return ok
			})
		}
		r.until("plan in force at every router", func() bool { return r.InForceAt(epoch, r.RouterAddrs...) })
	}
	stopReaders()
	seen.check()
	report := r.calls(100, 50, 31, func() {})
	require.Equal(t, report.Sent, report.Answers, "%v", report.Kinds)
}

// A router that is cut off from the core stops sending once its lease has expired and holds its requests, while a new plan
// comes into force at the other routers. After it reconnects it applies the new plan and sends the held requests.
func TestCutOffRouter(t *testing.T) {
	r := startLinkedFleet(t, "corrib")
	r.Isolate("router-1", "server-")
	r.until("router-1 detects the partition", func() bool { return r.EpochAt(r.RouterByName["router-1"]) == 0 })
	epoch := r.putPlan("controller-1", []byte(string(r.Plan)+"\n"), "1", "without-it")
	var others []string
	for name, addr := range r.RouterByName {
		if name != "router-1" {
			others = append(others, addr)
		}
	}
	r.until("new plan in force at the others", func() bool { return r.InForceAt(epoch, others...) })
	sends := func() float64 {
		return r.Metrics(r.RouterByName["router-1"] + "/-/metrics")["tidedeck_router_firsts_total"]
	}
	before := sends()
	// New requests are held and sent only after it reconnects.
	mix := standin.NewWorkload(r.parsedPlan, 33)
	client := standin.Client()
	report := &standin.CallReport{Kinds: map[string]int{}, ByRouter: map[string]int{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	for range 5 {
		ask := mix.Next()
		group.Add(1)
		go func() { defer group.Done(); standin.Call(client, r.RouterByName["router-1"], ask, report, &mu) }()
	}
	r.until("requests are held", func() bool {
		return r.Metrics(r.RouterByName["router-1"] + "/-/metrics")["tidedeck_router_waiting"] == 5
	})
	require.Equal(t, before, sends(), "nothing is sent without a lease")
	r.Links.RestoreAll()
	r.until("new plan in force at router-1", func() bool { return r.InForceAt(epoch, r.RouterByName["router-1"]) })
	group.Wait()
	require.Empty(t, report.Wrong)
	require.Equal(t, 5, report.Answers, "%v", report.Kinds)
}

// The leader's zone fails and recovers while the platform does not answer.
func TestZoneAndPlatform(t *testing.T) {
	r := startLinkedFleet(t, "padana")
	old := r.Owner()
	n := int(old[len(old)-1] - '0')
	var lost []string
	for i := 1; i <= 9; i++ {
		for _, p := range []string{"controller", "server", "router", "agent"} {
			name := fmt.Sprintf("%s-%d", p, i)
			if r.Processes[name] != nil && (i-1)%3 == (n-1)%3 && (p != "controller" || i <= 3) {
				lost = append(lost, name)
			}
		}
	}
	r.Signal("platform", syscall.SIGSTOP)
	var remaining []string
	for name, addr := range r.RouterByName {
		if int(name[len(name)-1]-'0'-1)%3 != (n-1)%3 {
			remaining = append(remaining, addr)
		}
	}
	for _, name := range lost {
		r.Kill(name)
	}
	r.until("another core node is the leader", func() bool { o := r.Owner(); return o != "" && o != old })
	r.until("leader knows the servers without the platform", func() bool {
		v, ok := r.ReadServers()
		offered := 0
		for _, s := range v.View.Servers {
			if s.Offered {
				offered++
			}
		}
		return ok && offered >= 6
	})
	mix := standin.NewWorkload(r.parsedPlan, 35)
	report := standin.RunCalls(r.ctx, standin.CallOptions{Routers: remaining, Next: mix.Next, Rate: 40, Total: 120})
	require.Empty(t, report.Wrong)
	require.Greater(t, report.Answers, report.Sent*9/10, "%v", report.Kinds)
	r.Signal("platform", syscall.SIGCONT)
	for _, name := range lost {
		require.NoError(t, r.Start(name))
	}
	r.until("fleet has recovered", func() bool { return r.InForceAt(1, r.RouterAddrs...) && r.FloorsMet() })
}

// A leader that reaches core nodes and routers, but neither servers nor platform, is replaced.
func TestBlindOwner(t *testing.T) {
	r := startLinkedFleet(t, "padana")
	old := r.Owner()
	r.Isolate(old, "controller-", "router-")
	r.until("another core node is the leader", func() bool { o := r.Owner(); return o != "" && o != old })
	report := r.calls(100, 50, 37, func() {})
	require.Equal(t, report.Sent, report.Answers, "%v", report.Kinds)
	r.Links.RestoreAll()
}

// Many concurrent requests for rare models do not make loads exceed the weight store's budget or the servers' memory.
func TestCrowds(t *testing.T) {
	r := startFleet(t, "corrib")
	mix := standin.NewWorkload(r.parsedPlan, 39)
	rare := []standin.Request{mix.NextRare(), mix.NextRare(), mix.NextRare(), mix.NextRare()}
	i := 0
	report := standin.RunCalls(r.ctx, standin.CallOptions{Routers: r.RouterAddrs, Rate: 200, Total: 400, Next: func() standin.Request { i++; return mix.Fill(rare[i%4]) }})
	require.Empty(t, report.Wrong)
	require.Greater(t, report.Answers, report.Sent/2, "%v", report.Kinds)
	var store standin.StoreTally
	_, err := r.Get(r.StoreAddr+"/count", &store)
	require.NoError(t, err)
	require.Zero(t, store.Over)
	for n, addr := range r.ServerAddrs {
		var c struct{ Tally standin.ServerTally }
		_, err := r.Get(addr+"/count", &c)
		require.NoError(t, err)
		require.Zero(t, c.Tally.NoRoom, n)
	}
}

// A fleet of binaries built with the race detector reports no race under traffic, kills, restarts, the draining of a zone
// and graceful stops.
func TestRaceDetector(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-race", "-o", dir+"/", "tidedeck/cmd/...").CombinedOutput()
	require.NoError(t, err, "%s", out)
	r := startFleetWith(t, "padana", func(s Shape, _, d string, plan []byte) *Fleet { return New(s, dir, d, plan) })
	report := r.calls(200, 40, 41, func() {
		old := r.Owner()
		r.Kill(old)
		r.until("another core node is the leader", func() bool { o := r.Owner(); return o != "" && o != old })
		require.NoError(t, r.Start(old))
		r.Kill("agent-1")
		require.NoError(t, r.Start("agent-1"))
		r.until("zone drained", func() bool {
			c, err := r.Do("POST", r.AdminAddrs["controller-1"]+"/zones/zb/empty", map[string]string{"X-Expect-Epoch": "any", "X-Change-Id": "e"}, nil, nil)
			return err == nil && c == 200
		})
		r.until("zone refilled", func() bool {
			c, err := r.Do("POST", r.AdminAddrs["controller-2"]+"/zones/zb/refill", map[string]string{"X-Expect-Epoch": "any", "X-Change-Id": "f"}, nil, nil)
			return err == nil && c == 200
		})
	})
	require.Greater(t, report.Answers, report.Sent/2, "%v", report.Kinds)
	r.until("all core nodes ready", func() bool {
		return r.CoreNodeReady("controller-1") && r.CoreNodeReady("controller-2") && r.CoreNodeReady("controller-3")
	})
	for _, n := range r.StartOrder {
		_ = r.Stop(n) // races are checked in the logs
	}
	logs, err := filepath.Glob(filepath.Join(r.Dir, "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, log := range logs {
		raw, err := os.ReadFile(log)
		require.NoError(t, err)
		require.NotContains(t, string(raw), "DATA RACE", log)
	}
}

// Rolling restarts of servers, agents and core nodes under long streams and plan changes do not fail or reject any
// request.
func TestRolls(t *testing.T) {
	r := startFleet(t, "padana")
	mix := standin.NewWorkload(r.parsedPlan, 43)
	next := func() standin.Request {
		ask := mix.Next()
		ask.Call.MaxTokens += 60
		return ask
	}
	var group sync.WaitGroup
	var report *standin.CallReport
	group.Add(1)
	go func() {
		defer group.Done()
		report = standin.RunCalls(r.ctx, standin.CallOptions{Routers: r.RouterAddrs, Next: next, Rate: 20, Total: 400})
	}()
	setState := func(server, state string) {
		c, err := r.Do("POST", r.PlatformAddr+"/servers/"+server+"/"+state, nil, nil, nil)
		require.NoError(t, err)
		require.Equal(t, 200, c)
	}
	offered := func(id string, want bool) func() bool {
		return func() bool {
			v, ok := r.ReadServers()
			for _, server := range v.View.Servers {
				if server.ID == id {
					return ok && server.Offered == want
				}
			}
			return false
		}
	}
	for i := 1; i <= 3; i++ {
		server, agent, core := fmt.Sprintf("server-%d", i), fmt.Sprintf("agent-%d", i), fmt.Sprintf("controller-%d", i)
		setState(server, "leaving")
		r.until(server+" is not offered", offered(server, false))
		epoch := r.putPlan(fmt.Sprintf("controller-%d", 1+i%3), []byte(string(r.Plan)+strings.Repeat("\n", i)), "any", fmt.Sprint("roll-", i))
		r.until("plan in force at every router", func() bool { return r.InForceAt(epoch, r.RouterAddrs...) })
		r.until(server+" has no active requests", func() bool {
			var c struct{ Active int }
			_, err := r.Get(r.ServerAddrs[server]+"/count", &c)
			return err == nil && c.Active == 0
		})
		require.NoError(t, r.Stop(server))
		require.NoError(t, r.Start(server))
		setState(server, "live")
		r.until(server+" is offered again", offered(server, true))
		require.NoError(t, r.Stop(agent))
		require.NoError(t, r.Start(agent))
		r.until("router is ready again", func() bool { return r.InForceAt(epoch, r.RouterByName[fmt.Sprintf("router-%d", i)]) })
		require.NoError(t, r.Stop(core))
		r.until("some core node is the leader", func() bool { return r.Owner() != "" })
		require.NoError(t, r.Start(core))
		r.until("core node is ready again", func() bool { return r.CoreNodeReady(core) })
	}
	group.Wait()
	require.Empty(t, report.Wrong)
	require.Equal(t, report.Sent, report.Answers, "%v", report.Kinds)
}

// Callers disconnect early or never read their response while connections to servers break. Other callers receive correct
// answers, and no request of the disconnected callers remains active at a server.
func TestRudeCallers(t *testing.T) {
	r := startLinkedFleet(t, "corrib")
	mix := standin.NewWorkload(r.parsedPlan, 47)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
				r.Links.CloseConns()
			}
		}
	}()
	for i := range 40 {
		ask := mix.Next()
		ask.Call.ID, ask.Call.MaxTokens = fmt.Sprint("rude-", i), 400
		conn, err := net.Dial("tcp", r.RouterAddrs[i%len(r.RouterAddrs)])
		require.NoError(t, err)
		body := ask.Body()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: r\r\nContent-Length: %d\r\n\r\n%s", ask.Route, len(body), body)
		require.NoError(t, err)
		if i%4 == 0 {
			defer conn.Close() // never reads
			continue
		}
		group.Add(1)
		go func() { // disconnects after the first bytes of the response
			defer group.Done()
			_, _ = conn.Read(make([]byte, 200))
			_ = conn.Close()
		}()
	}
	report := r.calls(300, 60, 49, func() {})
	t.Log(report.Answers, report.Kinds)
	close(stop)
	group.Wait()
	for kind := range report.Kinds {
		require.Contains(t, []string{"cut", "unclear", "allowance_spent", "expired"}, kind, "%v", report.Kinds)
	}
	require.NotZero(t, report.Answers, "%v", report.Kinds)
	require.NotZero(t, report.Kinds["cut"], "connections were closed during streams: %v", report.Kinds)
	r.until("no active requests", func() bool {
		for _, addr := range r.ServerAddrs {
			var count struct{ Active int }
			if _, err := r.Get(addr+"/count", &count); err != nil || count.Active > 0 {
				return false
			}
		}
		return true
	})
}
