// Command replay sends recorded requests to a fleet again.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/host"
	"tidedeck/internal/replay"
)

func main() {
	var flags struct {
		Settings string `help:"Settings file in JSON; flags take precedence over it." type:"path"`
		Check    struct {
			File string `arg:"" help:"The recording."`
		} `cmd:"" help:"Check a recording and list all damage."`
		Replay struct {
			File    string   `arg:"" help:"The recording."`
			Routers []string `help:"Routers that receive the requests in turn, ip:port." required:""`
			Speed   float64  `help:"Speed as a multiple of the recorded one." default:"1"`
			Out     string   `help:"File for the results." required:"" type:"path"`
			Tag     string   `help:"Prefix for every request's id; generated for each run by default."`
			Sound   bool     `help:"Replay the intact requests of a damaged recording."`
		} `cmd:"" help:"Send the requests of a recording again."`
		Compare struct {
			First  string `arg:"" help:"A run's file."`
			Second string `arg:"" help:"Another run's file."`
		} `cmd:"" help:"Compare two runs."`
	}
	cmd := host.Parse(&flags, "replay", "replay sends recorded requests to a fleet again.")
	fail := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, "replay:", err)
			os.Exit(1)
		}
	}
	read := func(path string) *replay.Recording {
		file, err := os.Open(path)
		fail(err)
		defer file.Close()
		recording := replay.Read(file)
		for _, damage := range recording.Faults {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, damage)
		}
		if recording.Dropped > 0 {
			fmt.Fprintf(os.Stderr, "%s: the router dropped %d lines\n", path, recording.Dropped)
		}
		return recording
	}
	switch cmd {
	case "check <file>":
		recording := read(flags.Check.File)
		fmt.Printf("%d intact requests, %d damaged places\n", len(recording.Requests), len(recording.Faults))
		if len(recording.Faults) > 0 {
			os.Exit(1)
		}
	case "replay <file>":
		for i, a := range flags.Replay.Routers {
			for _, fault := range host.CheckAddr(fmt.Sprintf("routers[%d]", i), a) {
				fail(fmt.Errorf("%s: %s", fault.Path, fault.Why))
			}
		}
		if flags.Replay.Speed <= 0 || flags.Replay.Speed > 1000 {
			fail(fmt.Errorf("speed: must be greater than 0 and at most 1000"))
		}
		recording := read(flags.Replay.File)
		if len(recording.Faults) > 0 && !flags.Replay.Sound {
			fail(fmt.Errorf("the recording is damaged; --sound replays its intact requests"))
		}
		if len(recording.Requests) == 0 {
			fail(fmt.Errorf("the recording has no requests"))
		}
		tag := flags.Replay.Tag
		if tag == "" {
			tag = fmt.Sprintf("%x-", host.NewIncarnation())
		}
		run := replay.Replay(recording, flags.Replay.Routers, flags.Replay.Speed, tag)
		run.Record = flags.Replay.File
		fail(run.Save(flags.Replay.Out))
		kinds, _ := run.Summarize()
		fmt.Printf("replayed %d: %v\n", len(run.Results), kinds)
	case "compare <first> <second>":
		a, err := replay.Load(flags.Compare.First)
		fail(err)
		b, err := replay.Load(flags.Compare.Second)
		fail(err)
		replay.Compare(os.Stdout, a, b)
	}
}
