// Command 2 lets a server leave while a core machine is down, empties the disk of a second one, and then loses the third.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"tidedeck/review/rig"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	drainCutoff = 2 * time.Second // drainCutoffMs
	contact     = 3 * time.Second // contactMs
	convergence = 4 * time.Second // convergenceS
	margin      = 300 * time.Millisecond
	serveOn     = 18 * time.Second       // how long the server serves on after its leaving was acknowledged
	back        = 500 * time.Millisecond // the platform starts an ended process again
	stillDown   = time.Second            // how long the first machine stays down after the leaving was acknowledged
	secondKill  = 80 * time.Millisecond  // after the emptied machine's process listens for the second time
	models      = 8
)

func main() { os.Exit(run()) }

func run() int {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return cannotRun
	}
	defer os.RemoveAll(folder)
	record, err := rig.NewRecord(filepath.Join("review", "2", "record.txt"))
	if err != nil {
		return cannotRun
	}
	fleet, err := rig.NewFleet(rig.Options{Cores: 3, Routers: 3, Processors: 1, Folder: folder, Programs: "target", Record: record})
	if err != nil {
		return cannotRun
	}
	defer fleet.StopAll()
	var servers []*rig.Server
	for i := range 4 {
		servers = append(servers, fleet.NewServer(100+i, rig.ModelService, rig.ModelName(2*i), rig.ModelName(2*i+1), rig.ModelName((2*i+2)%models)))
		if servers[i].Start() != nil {
			return cannotRun
		}
		defer servers[i].Stop()
	}
	if fleet.StartAll() != nil || !begin(fleet) {
		return cannotRun
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	counts := fleet.Traffic(ctx, 40, func(n int64) rig.Call {
		return rig.Call{ID: fmt.Sprintf("c%d", n), Path: rig.StreamPath + "x", Model: rig.ModelName(rand.IntN(models)), Tokens: 2368, Wait: 4 * time.Second}
	})
	time.Sleep(3 * time.Second)
	acked, calm, ok := play(fleet, servers[1])
	if !ok {
		return cannotRun
	}
	time.Sleep(time.Until(acked.Add(serveOn)))
	stop()
	return judge(servers[1], record, acked, calm, counts)
}

// begin sends the first configuration and waits until all routers are ready.
func begin(fleet *rig.Fleet) bool {
	cores := fleet.WithRole("controller")
	return rig.WaitFor(20*time.Second, func() bool { return cores[rand.IntN(len(cores))].Put(0, rig.Configuration(3, models, 0)) == 200 }) &&
		rig.WaitFor(20*time.Second, fleet.Ready)
}

// play has the server leave amid the troubles. It returns when the leaving was acknowledged, and the time from which on
// every machine is in touch.
func play(fleet *rig.Fleet, leaver *rig.Server) (acked, calm time.Time, ok bool) {
	cores := fleet.WithRole("controller")
	trouble := os.Getenv("TROUBLE") != "0"
	if trouble {
		cores[0].Kill()
	}
	time.Sleep(contact + margin) // the core is settled again, without the first machine
	if acked, ok = leaver.Leave(serveOn); !ok || !trouble {
		return acked, acked, ok
	}
	time.Sleep(stillDown)
	cores[0].Restart()
	time.Sleep(convergence + margin)
	cores[2].Kill()
	cores[2].Wipe()
	time.Sleep(back)
	cores[2].Restart()
	if !rig.WaitFor(10*time.Second, cores[2].Listens) {
		return acked, calm, false
	}
	time.Sleep(secondKill)
	cores[2].Kill()
	time.Sleep(back)
	cores[2].Restart()
	time.Sleep(convergence + margin)
	cores[1].Kill() // and never comes back
	return acked, time.Now().Add(contact), true
}

// judge applies the rule to the requests that reached the server.
func judge(leaver *rig.Server, record *rig.Record, acked, calm time.Time, counts *rig.Counts) int {
	late, inTouch := 0, 0
	for _, r := range leaver.Runs() {
		if r.At.After(acked.Add(drainCutoff)) {
			late++
			if r.At.After(calm) {
				inTouch++
			}
		}
	}
	text := fmt.Sprintf("requests that reached %s more than drainCutoffMs after its leaving was acknowledged: %d, of these by machines in touch: %d; calls %s", leaver.ID, late, inTouch, counts)
	record.Printf("%s", text)
	fmt.Println(text)
	if inTouch > 0 {
		return broken
	}
	return held
}
