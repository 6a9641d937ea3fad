// Command localfleet runs a whole tidedeck fleet on one machine and reports what was seen.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/localfleet"
	"tidedeck/internal/standin"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "hollow" {
		if err := runHollow(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "localfleet:", err)
			os.Exit(1)
		}
		return
	}
	var s struct {
		Fleet string  `arg:"" enum:"corrib,padana" help:"Which fleet: corrib or padana."`
		Plan  string  `help:"Plan to hand over; the fleet's example plan if none is named." type:"path"`
		Calls int     `help:"Requests to send." default:"2000"`
		Rate  float64 `help:"Requests a second." default:"120"`
		Seed  uint64  `help:"Seed of the callers." default:"1"`
		Dir   string  `help:"Folder for data and logs; a temporary one if none is named." type:"path"`
		Day   bool    `help:"Let every router record its day, as NAME.day in the folder."`
		Keep  bool    `help:"Leave the fleet running after the report, until interrupted."`
	}
	kong.Parse(&s, kong.Name("localfleet"), kong.Description("localfleet runs a whole tidedeck fleet on one machine and reports what was seen."))
	if err := run(s.Fleet, s.Plan, s.Dir, s.Calls, s.Rate, s.Seed, s.Keep, s.Day); err != nil {
		fmt.Fprintln(os.Stderr, "localfleet:", err)
		os.Exit(1)
	}
}

func run(fleet, plan, dir string, calls int, rate float64, seed uint64, keep, day bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	me, err := os.Executable()
	if err != nil {
		return err
	}
	if plan == "" {
		plan = filepath.Join("examples", fleet+".json")
	}
	raw, err := os.ReadFile(plan)
	if err != nil {
		return err
	}
	q, faults := fleetplan.ReadPlan(raw)
	if faults != nil {
		return faults
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "tidedeck-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	f := localfleet.New(localfleet.Shapes[fleet], filepath.Dir(me), dir, raw)
	if day {
		f.RecordRequests()
	}
	if err := f.StartAll(); err != nil {
		return err
	}
	defer f.KillAll()
	wait, quit := context.WithTimeout(ctx, 60*time.Second)
	defer quit()
	at := time.Now()
	say := func(what string) { fmt.Printf("%6.2fs  %s\n", time.Since(at).Seconds(), what) }
	say("every process is started")
	if err := localfleet.Until(wait, "a core", func() bool {
		return f.CoreNodeReady("controller-1") && f.CoreNodeReady("controller-2") && f.CoreNodeReady("controller-3")
	}); err != nil {
		return err
	}
	say("the core has formed")
	var t localfleet.PlanReply
	if err := localfleet.Until(wait, "the plan is taken", func() bool {
		var code int
		t, code, err = f.PutPlan("controller-2", raw, "0", "first") // under one id, asking again is safe
		return err == nil && code == 200
	}); err != nil {
		return fmt.Errorf("%w: %s %s %v", err, t.Kind, t.Why, t.Faults)
	}
	say(fmt.Sprintf("the plan is taken under epoch %d", t.Epoch))
	if err := localfleet.Until(wait, "the plan everywhere", func() bool { return f.InForceAt(t.Epoch, f.RouterAddrs...) }); err != nil {
		return err
	}
	say("it rules at every router")
	if err := localfleet.Until(wait, "floors", f.FloorsMet); err != nil {
		return err
	}
	say("every floor is loaded")
	mix := standin.NewMix(q, seed)
	r := standin.Calls(ctx, standin.CallOptions{Routers: f.RouterAddrs, Next: mix.Next, Rate: rate, Total: calls, Again: true})
	say("the callers are done")
	f.Report(os.Stdout, r)
	for n := range f.RouterByName {
		if day {
			_ = f.Stop(n) // a day's last line is written at a planned stop
		}
	}
	if keep {
		fmt.Printf("\ncallers: %v\noperators: %v\ninterrupt to end\n", f.RouterAddrs, f.AdminAddrs)
		<-ctx.Done()
	}
	if len(r.Wrong) > 0 {
		return fmt.Errorf("%d wrong answers", len(r.Wrong))
	}
	return nil
}
