// Command replay replays recorded days against a fleet.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/host"
	"tidedeck/internal/replay"
)

func main() {
	var s struct {
		Settings string `help:"File of settings, JSON; flags go before it." type:"path"`
		Check    struct {
			File string `arg:"" help:"The record."`
		} `cmd:"" help:"Check a record, and tell every place that is damaged."`
		Replay struct {
			File    string   `arg:"" help:"The record."`
			Routers []string `help:"Routers to ask in turn, ip:port." required:""`
			Speed   float64  `help:"How many times as fast as it was recorded." default:"1"`
			Out     string   `help:"File for what was seen." required:"" type:"path"`
			Tag     string   `help:"Put before every request's id; another one for each run."`
			Sound   bool     `help:"Replay what is sound of a damaged record."`
		} `cmd:"" help:"Send a record's requests again."`
		Compare struct {
			First  string `arg:"" help:"A run's file."`
			Second string `arg:"" help:"Another run's file."`
		} `cmd:"" help:"Compare two runs."`
	}
	cmd := host.Parse(&s, "replay", "replay replays recorded days against a fleet.")
	fail := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, "replay:", err)
			os.Exit(1)
		}
	}
	read := func(path string) *replay.Day {
		f, err := os.Open(path)
		fail(err)
		defer f.Close()
		d := replay.Read(f)
		for _, p := range d.Bad {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, p)
		}
		if d.Lost > 0 {
			fmt.Fprintf(os.Stderr, "%s: the router lost %d lines\n", path, d.Lost)
		}
		return d
	}
	switch cmd {
	case "check <file>":
		d := read(s.Check.File)
		fmt.Printf("%d requests are sound, %d places are not\n", len(d.Lines), len(d.Bad))
		if len(d.Bad) > 0 {
			os.Exit(1)
		}
	case "replay <file>":
		for i, a := range s.Replay.Routers {
			for _, f := range host.Addr(fmt.Sprintf("routers[%d]", i), a) {
				fail(fmt.Errorf("%s: %s", f.Path, f.Why))
			}
		}
		if s.Replay.Speed <= 0 || s.Replay.Speed > 1000 {
			fail(fmt.Errorf("speed: wants more than 0 and at most 1000"))
		}
		d := read(s.Replay.File)
		if len(d.Bad) > 0 && !s.Replay.Sound {
			fail(fmt.Errorf("the record is damaged; --sound replays what is sound of it"))
		}
		if len(d.Lines) == 0 {
			fail(fmt.Errorf("there is nothing to replay"))
		}
		tag := s.Replay.Tag
		if tag == "" {
			tag = fmt.Sprintf("%x-", host.NewInc())
		}
		r := replay.Replay(d, s.Replay.Routers, s.Replay.Speed, tag)
		r.Record = s.Replay.File
		fail(r.Save(s.Replay.Out))
		kinds, _ := r.Sum()
		fmt.Printf("replayed %d: %v\n", len(r.Seen), kinds)
	case "compare <first> <second>":
		a, err := replay.Load(s.Compare.First)
		fail(err)
		b, err := replay.Load(s.Compare.Second)
		fail(err)
		replay.Compare(os.Stdout, a, b)
	}
}
