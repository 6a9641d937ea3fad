package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"tidedeck/internal/localfleet"
)

// hollow runs a fleet of real cores in this one process, in virtual time, and prints what each role costs.
func runHollow(args []string) error {
	var s struct {
		Routers  int           `help:"Routers, each with its agent." default:"9"`
		Servers  int           `help:"Model servers." default:"13"`
		Models   int           `help:"Base models." default:"8"`
		Adapters int           `help:"Adapters, over all models." default:"0"`
		Cores    int           `help:"Core nodes; three of them are seeds." default:"3"`
		Services int           `help:"Services that models and servers belong to." default:"1"`
		Zones    int           `help:"Zones." default:"12"`
		Regions  int           `help:"Regions." default:"3"`
		Rate     float64       `help:"Requests a second at each router." default:"47"`
		Stay     time.Duration `help:"How long a request is under way." default:"6s"`
		Busy     float64       `help:"Part of the servers' time that requests take." default:"0.3"`
		Warm     time.Duration `help:"Virtual time from the plan in force until measuring begins." default:"4s"`
		For      time.Duration `help:"Virtual time that is measured." default:"10s"`
		Changes  int           `help:"Changes of one item in that time." default:"0"`
		Fails    int           `help:"Machines that fail in that time." default:"0"`
		Restarts int           `help:"Servers that restart as planned in that time." default:"0"`
		Zone     bool          `help:"A zone loses its power at a third of that time, and has it back at two thirds."`
		Apart    time.Duration `help:"A region is parted from the others for so long, from a third on."`
		Owner    bool          `help:"The duty's owner fails at a third."`
		Seed     uint64        `help:"Seed." default:"1"`
		Csv      string        `help:"File to which the figures are appended as CSV." type:"path"`
		Run      string        `help:"Name of the run, in the CSV." default:"run"`
		Heap     bool          `help:"Tell each role's memory too."`
		Course   bool          `help:"Print the state of service each second."`
	}
	k, err := kong.New(&s, kong.Name("localfleet hollow"), kong.Description("localfleet hollow runs a fleet of real cores in one process, in virtual time."))
	if err != nil {
		return err
	}
	if _, err := k.Parse(args); err != nil {
		return err
	}
	h := localfleet.NewHollow(localfleet.HollowOptions{Routers: s.Routers, Servers: s.Servers, Models: s.Models, Adapters: s.Adapters, CoreNodes: s.Cores, Services: s.Services,
		Zones: s.Zones, Regions: s.Regions, Rate: s.Rate, RequestTime: s.Stay, Utilization: s.Busy, WarmUp: s.Warm, Duration: s.For, Changes: s.Changes, Failures: s.Fails,
		Restarts: s.Restarts, ZoneFails: s.Zone, PartitionTime: s.Apart, OwnerFails: s.Owner, Seed: s.Seed})
	if err := h.Start(); err != nil {
		return err
	}
	at := time.Now()
	h.Measure()
	took := time.Since(at)
	var heap map[string]float64
	if s.Heap {
		heap = h.Heap()
	}
	h.Report(os.Stdout, heap, took)
	if s.Course {
		for i, m := range h.Samples() {
			if i%5 == 0 {
				fmt.Printf("%6.1fs  routers %d, with a hold %d; models with a floor and no replica %d; requests waiting %d\n", m.At.Seconds(), m.Routers, m.Leased, m.BelowFloor, m.Waiting)
			}
		}
	}
	if s.Csv == "" {
		return nil
	}
	f, err := os.OpenFile(s.Csv, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return err
	}
	return h.WriteCSV(f, s.Run, st.Size() == 0, heap)
}
