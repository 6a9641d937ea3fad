package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"tidedeck/internal/localfleet"
)

// runHollow runs a fleet of the production cores in this process and in virtual time, and prints the cost of each role.
func runHollow(args []string) error {
	var flags struct {
		Routers  int           `help:"Routers, each with its agent." default:"9"`
		Servers  int           `help:"Model servers." default:"13"`
		Models   int           `help:"Base models." default:"8"`
		Adapters int           `help:"Adapters, over all models." default:"0"`
		Cores    int           `help:"Core nodes; three of them are seeds." default:"3"`
		Services int           `help:"Services among which models and servers are divided." default:"1"`
		Zones    int           `help:"Zones." default:"12"`
		Regions  int           `help:"Regions." default:"3"`
		Rate     float64       `help:"Requests per second at each router." default:"47"`
		Stay     time.Duration `help:"Mean duration of a request." default:"6s"`
		Busy     float64       `help:"Fraction of the servers' time that requests take." default:"0.3"`
		Warm     time.Duration `help:"Virtual time from the plan being in force until the measurement begins." default:"4s"`
		For      time.Duration `help:"Virtual time of the measurement." default:"10s"`
		Changes  int           `help:"Changes of one item of the plan during the measurement." default:"0"`
		Fails    int           `help:"Machines that fail during the measurement." default:"0"`
		Restarts int           `help:"Planned restarts of servers during the measurement." default:"0"`
		Zone     bool          `help:"Fail a zone at one third of the measurement and restore it at two thirds."`
		Apart    time.Duration `help:"How long one region is partitioned from the others, from one third of the measurement on."`
		Owner    bool          `help:"Fail the leader at one third of the measurement."`
		Seed     uint64        `help:"Seed." default:"1"`
		Csv      string        `help:"File to append the figures to, as CSV." type:"path"`
		Run      string        `help:"Name of the run in the CSV." default:"run"`
		Heap     bool          `help:"Measure the heap of each role, too."`
		Course   bool          `help:"Print the state of the service for each second."`
	}
	parser, err := kong.New(&flags, kong.Name("localfleet hollow"), kong.Description("localfleet hollow runs a fleet of the production cores in one process and in virtual time."))
	if err != nil {
		return err
	}
	if _, err := parser.Parse(args); err != nil {
		return err
	}
	fleet := localfleet.NewHollow(localfleet.HollowOptions{Routers: flags.Routers, Servers: flags.Servers, Models: flags.Models, Adapters: flags.Adapters, CoreNodes: flags.Cores, Services: flags.Services,
		Zones: flags.Zones, Regions: flags.Regions, Rate: flags.Rate, RequestTime: flags.Stay, Utilization: flags.Busy, WarmUp: flags.Warm, Duration: flags.For, Changes: flags.Changes, Failures: flags.Fails,
		Restarts: flags.Restarts, ZoneFails: flags.Zone, PartitionTime: flags.Apart, OwnerFails: flags.Owner, Seed: flags.Seed})
	if err := fleet.Start(); err != nil {
		return err
	}
	startedAt := time.Now()
	fleet.Measure()
	elapsed := time.Since(startedAt)
	var heap map[string]float64
	if flags.Heap {
		heap = fleet.Heap()
	}
	fleet.Report(os.Stdout, heap, elapsed)
	if flags.Course {
		for i, sample := range fleet.Samples() {
			if i%5 == 0 {
				fmt.Printf("%6.1fs  routers %d, with a lease %d; models below their floor %d; requests waiting %d\n", sample.At.Seconds(), sample.Routers, sample.Leased, sample.BelowFloor, sample.Waiting)
			}
		}
	}
	if flags.Csv == "" {
		return nil
	}
	file, err := os.OpenFile(flags.Csv, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	return fleet.WriteCSV(file, flags.Run, info.Size() == 0, heap)
}
