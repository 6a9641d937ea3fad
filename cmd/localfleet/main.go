// Command localfleet runs a whole tidedeck fleet on one machine and reports the results.
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
	var flags struct {
		Fleet string  `arg:"" enum:"corrib,padana" help:"Fleet to run: corrib or padana."`
		Plan  string  `help:"Plan to submit. Default: the example plan of the fleet." type:"path"`
		Calls int     `help:"Number of requests to send." default:"2000"`
		Rate  float64 `help:"Requests per second." default:"120"`
		Seed  uint64  `help:"Seed of the generated requests." default:"1"`
		Dir   string  `help:"Folder for data and logs. Default: a temporary folder." type:"path"`
		Day   bool    `help:"Let every router record its requests in NAME.day in the folder."`
		Keep  bool    `help:"Keep the fleet running after the report until interrupted."`
	}
	kong.Parse(&flags, kong.Name("localfleet"), kong.Description("localfleet runs a whole tidedeck fleet on one machine and reports the results."))
	if err := run(flags.Fleet, flags.Plan, flags.Dir, flags.Calls, flags.Rate, flags.Seed, flags.Keep, flags.Day); err != nil {
		fmt.Fprintln(os.Stderr, "localfleet:", err)
		os.Exit(1)
	}
}

func run(fleet, plan, dir string, total int, rate float64, seed uint64, keep, recordRequests bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	executable, err := os.Executable()
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
	parsedPlan, faults := fleetplan.ReadPlan(raw)
	if faults != nil {
		return faults
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "tidedeck-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	localFleet := localfleet.New(localfleet.Shapes[fleet], filepath.Dir(executable), dir, raw)
	if recordRequests {
		localFleet.RecordRequests()
	}
	if err := localFleet.StartAll(); err != nil {
		return err
	}
	defer localFleet.KillAll()
	startCtx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	startedAt := time.Now()
	progress := func(message string) { fmt.Printf("%6.2fs  %s\n", time.Since(startedAt).Seconds(), message) }
	progress("all processes started")
	if err := localfleet.WaitUntil(startCtx, "core nodes ready", func() bool {
		return localFleet.CoreNodeReady("controller-1") && localFleet.CoreNodeReady("controller-2") && localFleet.CoreNodeReady("controller-3")
	}); err != nil {
		return err
	}
	progress("core formed")
	var reply localfleet.PlanReply
	if err := localfleet.WaitUntil(startCtx, "plan accepted", func() bool {
		var code int
		reply, code, err = localFleet.PutPlan("controller-2", raw, "0", "first") // retries with the same change id are idempotent
		return err == nil && code == 200
	}); err != nil {
		return fmt.Errorf("%w: %s %s %v", err, reply.Kind, reply.Why, reply.Faults)
	}
	progress(fmt.Sprintf("plan accepted under epoch %d", reply.Epoch))
	if err := localfleet.WaitUntil(startCtx, "plan in force at every router", func() bool { return localFleet.InForceAt(reply.Epoch, localFleet.RouterAddrs...) }); err != nil {
		return err
	}
	progress("plan in force at every router")
	if err := localfleet.WaitUntil(startCtx, "replica floors met", localFleet.FloorsMet); err != nil {
		return err
	}
	progress("replica floors met")
	mix := standin.NewWorkload(parsedPlan, seed)
	report := standin.RunCalls(ctx, standin.CallOptions{Routers: localFleet.RouterAddrs, Next: mix.Next, Rate: rate, Total: total, RepeatDropped: true})
	progress("all requests done")
	localFleet.Report(os.Stdout, report)
	for name := range localFleet.RouterByName {
		if recordRequests {
			_ = localFleet.Stop(name) // a graceful stop writes the last line of the recording
		}
	}
	if keep {
		fmt.Printf("\ncallers: %v\noperators: %v\ninterrupt to stop\n", localFleet.RouterAddrs, localFleet.AdminAddrs)
		<-ctx.Done()
	}
	if len(report.Wrong) > 0 {
		return fmt.Errorf("%d wrong answers", len(report.Wrong))
	}
	return nil
}
