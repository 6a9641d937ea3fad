// Command experiment compares two revisions of the sources on the same days with the same seeds, and sums what requests
// were late or lost for.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"tidedeck/internal/experiment"
	"tidedeck/internal/host"
)

// Exit statuses, for scripts.
const (
	exitWorse = 1 // the second side broke a rule, or its score is lower beyond its interval
	exitError = 2
)

type settings struct {
	Settings string     `help:"File of settings, JSON; flags go before it." type:"path"`
	Compare  comparison `cmd:"" help:"Play days on two revisions, or settings, and compare them pair by pair."`
	Explain  struct {
		Logs []string `arg:"" help:"Files of log lines of routers." type:"existingfile"`
	} `cmd:"" help:"Sum what requests were late or lost for, by the traces in routers' log lines."`
}

type comparison struct {
	Bench      string   `help:"Path of the bench's program." required:"" type:"existingfile"`
	Repository string   `help:"Repository that revisions are taken from." default:"." type:"existingdir"`
	Folder     string   `help:"Folder for copies, reports and results; an experiment that was broken off goes on there." required:"" type:"path"`
	Journal    string   `help:"Folder that journal entries are gathered in." type:"existingdir"`
	Site       string   `help:"The site's file." required:"" type:"existingfile"`
	Days       []string `help:"Days of the site; all, if none is said."`
	Seeds      int      `help:"How many seeds." default:"8"`
	From       uint64   `help:"The first seed." default:"1"`
	First      string   `help:"Revision of the first side." required:""`
	Second     string   `help:"Revision of the second side; the first's, if none is said."`
	Edits      string   `help:"File of edits to the second side's sources: a JSON list of file, old and new." type:"existingfile"`
	Jobs       int      `help:"Pairs at a time; each takes two processors." default:"2"`
	Why        string   `help:"A line for the journal." required:""`
	NoCPU      bool     `help:"Charge no processor time: runs mostly repeat."`
}

func main() {
	var s settings
	command := host.Parse(&s, "experiment", "experiment compares revisions on the same days, and tells what requests were late or lost for.")
	if strings.HasPrefix(command, "explain") {
		if err := runExplain(s.Explain.Logs); err != nil {
			fmt.Fprintln(os.Stderr, "experiment:", err)
			os.Exit(exitError)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	worse, err := runCompare(ctx, s.Compare)
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(exitError)
	}
	if worse {
		os.Exit(exitWorse)
	}
}

func runExplain(logs []string) error {
	x := experiment.NewExplanation()
	for _, path := range logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		err = x.Read(f)
		f.Close()
		if err != nil {
			return errors.Wrap(err, path)
		}
	}
	return x.WriteText(os.Stdout)
}

func runCompare(ctx context.Context, s comparison) (worse bool, err error) {
	marks, err := experiment.ReadScales(s.Site)
	if err != nil {
		return false, err
	}
	if len(s.Days) == 0 {
		s.Days = marks.Names()
	}
	if !marks.HasAll(s.Days) {
		return false, errors.Errorf("the site's days are %s", strings.Join(marks.Names(), ", "))
	}
	first, second, err := s.sides()
	if err != nil {
		return false, err
	}
	var seeds []uint64
	for i := range s.Seeds {
		seeds = append(seeds, s.From+uint64(i))
	}
	player := experiment.Runner{Bench: s.Bench, Repository: s.Repository, Folder: s.Folder, Journal: s.Journal, Jobs: max(1, s.Jobs), Reason: s.Why, Progress: os.Stderr}
	if s.NoCPU {
		player.Options = append(player.Options, "--no-cpu")
	}
	pairs, playErr := player.Run(ctx, first, second, experiment.Days(s.Site, s.Days, seeds))
	table := experiment.Compare(first, second, marks, pairs)
	if err := table.WriteText(os.Stdout); err != nil {
		return false, err
	}
	if playErr != nil {
		return false, playErr
	}
	name := filepath.Join(s.Folder, first.Name+"-"+second.Name)
	if err := table.WriteJSON(name+".json", pairs); err != nil {
		return false, err
	}
	return table.Worse(), table.WritePlot(name+".png", pairs)
}

// sides names the two sides by their revisions, and by the file of edits.
func (s comparison) sides() (first, second experiment.Side, err error) {
	first = experiment.Side{Name: s.First, Revision: s.First}
	second = experiment.Side{Name: s.Second, Revision: s.Second}
	if s.Second == "" {
		second = first
	}
	if s.Edits == "" {
		return first, second, nil
	}
	raw, err := os.ReadFile(s.Edits)
	if err != nil {
		return first, second, err
	}
	if err := json.Unmarshal(raw, &second.Edits); err != nil {
		return first, second, errors.Wrap(err, s.Edits)
	}
	second.Name += "-" + strings.TrimSuffix(filepath.Base(s.Edits), filepath.Ext(s.Edits))
	return first, second, nil
}
