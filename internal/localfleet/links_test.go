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

// racing hands over two plans at once, each again under its id until an answer comes.
func (o *observer) racePlans(n int, expect uint64) (told [2]PlanReply, code [2]int) {
	var both sync.WaitGroup
	for i := range 2 {
		both.Add(1)
		go func() {
			defer both.Done()
			raw := []byte(string(o.Plan) + strings.Repeat(" ", 1+2*n+i))
			try := 0
			_ = Until(o.ctx, "an answer", func() bool { // whoever gets none asks elsewhere
				a, c, err := o.putPlanRecorded(fmt.Sprintf("controller-%d", 1+(n+i+try)%3), raw, expect, fmt.Sprintf("race-%d-%d", n, i))
				told[i], code[i] = a, c
				try++
				return err == nil && (c == 200 || c == 409)
			})
		}()
	}
	both.Wait()
	return told, code
}

// The core is split every way, one way too, while two operators race and every connection
// breaks off now and then; one of two wins each time, and what was told is what is read.
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
		go func() { // replies get lost on their way
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
		told, code := seen.racePlans(n, epoch)
		close(stop)
		breaks.Wait()
		r.Links.RestoreAll()
		won := -1
		for i := range 2 {
			if code[i] == 200 {
				require.Equal(t, -1, won, "both were told taken: %v", told)
				require.Equal(t, epoch+1, told[i].Epoch)
				won = i
			}
		}
		require.NotEqual(t, -1, won, "%v %v", told, code)
		epoch++
		want := string(r.Plan) + strings.Repeat(" ", 1+2*n+won)
		for i := 1; i <= 3; i++ {
			r.until("it is read back, to the byte", func() bool {
				raw, ok := seen.readPlanRecorded(fmt.Sprintf("controller-%d", i))
				require.True(t, !ok || raw == want, "controller-%d gives something else", i)
				return ok
			})
		}
		r.until("it rules everywhere", func() bool { return r.InForceAt(epoch, r.RouterAddrs...) })
	}
	stopReaders()
	seen.check()
	rep := r.calls(100, 50, 31, func() {})
	require.Equal(t, rep.Sent, rep.Receipts, "%v", rep.Kinds)
}

// A router is cut off from all of the core, with its promises: it stops routing; meanwhile a
// plan takes its only route's model away and the model is unloaded. Then it comes back.
func TestCutOffRouter(t *testing.T) {
	r := startLinkedFleet(t, "corrib")
	r.Isolate("router-1", "server-")
	r.until("it knows that it is cut off", func() bool { return r.EpochAt(r.RouterByName["router-1"]) == 0 })
	e := r.putPlan("controller-1", []byte(string(r.Plan)+"\n"), "1", "without-it")
	var rest []string
	for n, a := range r.RouterByName {
		if n != "router-1" {
			rest = append(rest, a)
		}
	}
	r.until("the others rule by it", func() bool { return r.InForceAt(e, rest...) })
	sends := func() float64 {
		return r.Metrics(r.RouterByName["router-1"] + "/-/metrics")["tidedeck_router_firsts_total"]
	}
	was := sends()
	// What comes to it is held, and goes out only once its link is back.
	m := standin.NewMix(r.parsedPlan, 33)
	h := standin.Client()
	rep := &standin.CallReport{Kinds: map[string]int{}, ByRouter: map[string]int{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	for range 5 {
		a := m.Next()
		all.Add(1)
		go func() { defer all.Done(); standin.Call(h, r.RouterByName["router-1"], a, rep, &mu) }()
	}
	r.until("they wait there", func() bool {
		return r.Metrics(r.RouterByName["router-1"] + "/-/metrics")["tidedeck_router_waiting"] == 5
	})
	require.Equal(t, was, sends(), "nothing is sent without a hold")
	r.Links.RestoreAll()
	r.until("it rules by the new plan", func() bool { return r.InForceAt(e, r.RouterByName["router-1"]) })
	all.Wait()
	require.Empty(t, rep.Wrong)
	require.Equal(t, 5, rep.Receipts, "%v", rep.Kinds)
}

// A whole zone is lost, the owner's, and comes back; the platform is silent meanwhile.
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
	var left []string
	for name, a := range r.RouterByName {
		if int(name[len(name)-1]-'0'-1)%3 != (n-1)%3 {
			left = append(left, a)
		}
	}
	for _, x := range lost {
		r.Kill(x)
	}
	r.until("another owns the duty", func() bool { o := r.Owner(); return o != "" && o != old })
	r.until("it knows the servers, though the platform is silent", func() bool {
		v, ok := r.ReadServers()
		here := 0
		for _, s := range v.View.Servers {
			if s.Offered {
				here++
			}
		}
		return ok && here >= 6
	})
	m := standin.NewMix(r.parsedPlan, 35)
	rep := standin.Calls(r.ctx, standin.CallOptions{Routers: left, Next: m.Next, Rate: 40, Total: 120})
	require.Empty(t, rep.Wrong)
	require.Greater(t, rep.Receipts, rep.Sent*9/10, "%v", rep.Kinds)
	r.Signal("platform", syscall.SIGCONT)
	for _, x := range lost {
		require.NoError(t, r.Start(x))
	}
	r.until("all is back", func() bool { return r.InForceAt(1, r.RouterAddrs...) && r.FloorsMet() })
}

// The owner reaches core and routers, but neither servers nor platform: another takes the duty.
func TestBlindOwner(t *testing.T) {
	r := startLinkedFleet(t, "padana")
	old := r.Owner()
	r.Isolate(old, "controller-", "router-")
	r.until("another owns the duty", func() bool { o := r.Owner(); return o != "" && o != old })
	rep := r.calls(100, 50, 37, func() {})
	require.Equal(t, rep.Sent, rep.Receipts, "%v", rep.Kinds)
	r.Links.RestoreAll()
}

// Crowds ask for rare models at once while the store is slow; loads keep within its budget.
func TestCrowds(t *testing.T) {
	r := startFleet(t, "corrib")
	m := standin.NewMix(r.parsedPlan, 39)
	a := []standin.Ask{m.Rare(), m.Rare(), m.Rare(), m.Rare()}
	i := 0
	rep := standin.Calls(r.ctx, standin.CallOptions{Routers: r.RouterAddrs, Rate: 200, Total: 400, Next: func() standin.Ask { i++; return m.Of(a[i%4]) }})
	require.Empty(t, rep.Wrong)
	require.Greater(t, rep.Receipts, rep.Sent/2, "%v", rep.Kinds)
	var st standin.StoreTally
	_, err := r.Get(r.StoreAddr+"/count", &st)
	require.NoError(t, err)
	require.Zero(t, st.Over)
	for n, addr := range r.ServerAddrs {
		var c struct{ Tally standin.ServerTally }
		_, err := r.Get(addr+"/count", &c)
		require.NoError(t, err)
		require.Zero(t, c.Tally.NoRoom, n)
	}
}

// A fleet of binaries built with the race detector lives through kills, a planned stop, a plan
// change, an emptied zone and traffic; none of them saw a race.
func TestRaceDetector(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-race", "-o", dir+"/", "tidedeck/cmd/...").CombinedOutput()
	require.NoError(t, err, "%s", out)
	r := startFleetWith(t, "padana", func(s Shape, _, d string, plan []byte) *Fleet { return New(s, dir, d, plan) })
	rep := r.calls(200, 40, 41, func() {
		old := r.Owner()
		r.Kill(old)
		r.until("another owns the duty", func() bool { o := r.Owner(); return o != "" && o != old })
		require.NoError(t, r.Start(old))
		r.Kill("agent-1")
		require.NoError(t, r.Start("agent-1"))
		r.until("the zone is emptied", func() bool {
			c, err := r.Do("POST", r.AdminAddrs["controller-1"]+"/zones/zb/empty", map[string]string{"X-Expect-Epoch": "any", "X-Change-Id": "e"}, nil, nil)
			return err == nil && c == 200
		})
		r.until("the zone is refilled", func() bool {
			c, err := r.Do("POST", r.AdminAddrs["controller-2"]+"/zones/zb/refill", map[string]string{"X-Expect-Epoch": "any", "X-Change-Id": "f"}, nil, nil)
			return err == nil && c == 200
		})
	})
	require.Greater(t, rep.Receipts, rep.Sent/2, "%v", rep.Kinds)
	r.until("a node is ready", func() bool {
		return r.CoreNodeReady("controller-1") && r.CoreNodeReady("controller-2") && r.CoreNodeReady("controller-3")
	})
	for _, n := range r.StartOrder {
		_ = r.Stop(n) // an exit says how it went, and so does its log
	}
	logs, err := filepath.Glob(filepath.Join(r.Dir, "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, l := range logs {
		b, err := os.ReadFile(l)
		require.NoError(t, err)
		require.NotContains(t, string(b), "DATA RACE", l)
	}
}

// Servers, agents and core nodes are rolled as planned under long streams, while plans change:
// nothing is cut, nothing is unclear, nobody is turned away.
func TestRolls(t *testing.T) {
	r := startFleet(t, "padana")
	m := standin.NewMix(r.parsedPlan, 43)
	next := func() standin.Ask {
		a := m.Next()
		a.Call.Max += 60
		return a
	}
	var all sync.WaitGroup
	var rep *standin.CallReport
	all.Add(1)
	go func() {
		defer all.Done()
		rep = standin.Calls(r.ctx, standin.CallOptions{Routers: r.RouterAddrs, Next: next, Rate: 20, Total: 400})
	}()
	mark := func(s, state string) {
		c, err := r.Do("POST", r.PlatformAddr+"/servers/"+s+"/"+state, nil, nil, nil)
		require.NoError(t, err)
		require.Equal(t, 200, c)
	}
	offered := func(id string, want bool) func() bool {
		return func() bool {
			v, ok := r.ReadServers()
			for _, s := range v.View.Servers {
				if s.ID == id {
					return ok && s.Offered == want
				}
			}
			return false
		}
	}
	for i := 1; i <= 3; i++ {
		s, a, n := fmt.Sprintf("server-%d", i), fmt.Sprintf("agent-%d", i), fmt.Sprintf("controller-%d", i)
		mark(s, "leaving")
		r.until(s+" is offered no more", offered(s, false))
		e := r.putPlan(fmt.Sprintf("controller-%d", 1+i%3), []byte(string(r.Plan)+strings.Repeat("\n", i)), "any", fmt.Sprint("roll-", i))
		r.until("the plan rules everywhere", func() bool { return r.InForceAt(e, r.RouterAddrs...) })
		r.until(s+" has nothing under way", func() bool {
			var c struct{ Active int }
			_, err := r.Get(r.ServerAddrs[s]+"/count", &c)
			return err == nil && c.Active == 0
		})
		require.NoError(t, r.Stop(s))
		require.NoError(t, r.Start(s))
		mark(s, "live")
		r.until(s+" is offered again", offered(s, true))
		require.NoError(t, r.Stop(a))
		require.NoError(t, r.Start(a))
		r.until("its router is back", func() bool { return r.InForceAt(e, r.RouterByName[fmt.Sprintf("router-%d", i)]) })
		require.NoError(t, r.Stop(n))
		r.until("somebody owns the duty", func() bool { return r.Owner() != "" })
		require.NoError(t, r.Start(n))
		r.until("the node is back", func() bool { return r.CoreNodeReady(n) })
	}
	all.Wait()
	require.Empty(t, rep.Wrong)
	require.Equal(t, rep.Sent, rep.Receipts, "%v", rep.Kinds)
}

// Callers leave halfway or never read while links to servers break: everybody else gets only
// what is their own, and nothing of the rude ones stays under way.
func TestRudeCallers(t *testing.T) {
	r := startLinkedFleet(t, "corrib")
	m := standin.NewMix(r.parsedPlan, 47)
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
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
		a := m.Next()
		a.Call.ID, a.Call.Max = fmt.Sprint("rude-", i), 400
		c, err := net.Dial("tcp", r.RouterAddrs[i%len(r.RouterAddrs)])
		require.NoError(t, err)
		b := a.Body()
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: r\r\nContent-Length: %d\r\n\r\n%s", a.Route, len(b), b)
		require.NoError(t, err)
		if i%4 == 0 {
			defer c.Close() // it never reads
			continue
		}
		all.Add(1)
		go func() { // it leaves after the first word, whatever that is
			defer all.Done()
			_, _ = c.Read(make([]byte, 200))
			_ = c.Close()
		}()
	}
	rep := r.calls(300, 60, 49, func() {})
	t.Log(rep.Receipts, rep.Kinds)
	close(stop)
	all.Wait()
	for k := range rep.Kinds {
		require.Contains(t, []string{"cut", "unclear", "allowance_spent", "expired"}, k, "%v", rep.Kinds)
	}
	require.NotZero(t, rep.Receipts, "%v", rep.Kinds)
	require.NotZero(t, rep.Kinds["cut"], "links broke under streams: %v", rep.Kinds)
	r.until("nothing is under way", func() bool {
		for _, a := range r.ServerAddrs {
			var c struct{ Active int }
			if _, err := r.Get(a+"/count", &c); err != nil || c.Active > 0 {
				return false
			}
		}
		return true
	})
}
