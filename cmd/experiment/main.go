// Command experiment compares two revisions of the sources on the same days with the same seeds, and sums why requests
// were late or lost.
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

// Exit statuses.
const (
	exitWorse = 1 // the second side broke a rule, or its score is lower by more than the confidence interval
	exitError = 2
)

type settings struct {
	Settings string     `help:"JSON file of settings. Flags take precedence." type:"path"`
	Compare  comparison `cmd:"" help:"Run days on two revisions, or on one with edits, and compare them pair by pair."`
	Explain  struct {
		Logs []string `arg:"" help:"Log files of routers." type:"existingfile"`
	} `cmd:"" help:"Sum why requests were late or lost, from the traces in the routers' logs."`
}

type comparison struct {
	Bench      string   `help:"Path of the bench program." required:"" type:"existingfile"`
	Repository string   `help:"Repository of the revisions." default:"." type:"existingdir"`
	Folder     string   `help:"Folder for copies, reports and results. An interrupted experiment resumes there." required:"" type:"path"`
	Journal    string   `help:"Folder to collect journal entries in." type:"existingdir"`
	Site       string   `help:"File of the site." required:"" type:"existingfile"`
	Days       []string `help:"Days of the site. Default: all."`
	Seeds      int      `help:"Number of seeds." default:"8"`
	From       uint64   `help:"First seed." default:"1"`
	First      string   `help:"Revision of the first side." required:""`
	Second     string   `help:"Revision of the second side. Default: that of the first."`
	Edits      string   `help:"File of edits to the second side's sources: a JSON list of objects with file, old and new." type:"existingfile"`
	Jobs       int      `help:"Concurrent pairs. Each uses two processors." default:"2"`
	Why        string   `help:"Reason for the experiment, for the journal." required:""`
	NoCPU      bool     `help:"Charge no processor time, which makes runs mostly reproducible."`
}

func main() {
	var flags settings
	command := host.Parse(&flags, "experiment", "experiment compares revisions on the same days, and sums why requests were late or lost.")
	if strings.HasPrefix(command, "explain") {
		if err := runExplain(flags.Explain.Logs); err != nil {
			fmt.Fprintln(os.Stderr, "experiment:", err)
			os.Exit(exitError)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	worse, err := runCompare(ctx, flags.Compare)
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(exitError)
	}
	if worse {
		os.Exit(exitWorse)
	}
}

func runExplain(paths []string) error {
	explanation := experiment.NewExplanation()
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = explanation.Read(file)
		file.Close()
		if err != nil {
			return errors.Wrap(err, path)
		}
	}
	return explanation.WriteText(os.Stdout)
}

func runCompare(ctx context.Context, c comparison) (worse bool, err error) {
	scales, err := experiment.ReadScales(c.Site)
	if err != nil {
		return false, err
	}
	if len(c.Days) == 0 {
		c.Days = scales.Names()
	}
	if !scales.HasAll(c.Days) {
		return false, errors.Errorf("unknown day: the days of the site are %s", strings.Join(scales.Names(), ", "))
	}
	first, second, err := c.sides()
	if err != nil {
		return false, err
	}
	var seeds []uint64
	for i := range c.Seeds {
		seeds = append(seeds, c.From+uint64(i))
	}
	runner := experiment.Runner{Bench: c.Bench, Repository: c.Repository, Folder: c.Folder, Journal: c.Journal, Jobs: max(1, c.Jobs), Reason: c.Why, Progress: os.Stderr}
	if c.NoCPU {
		runner.Options = append(runner.Options, "--no-cpu")
	}
	pairs, runErr := runner.Run(ctx, first, second, experiment.Days(c.Site, c.Days, seeds))
	table := experiment.Compare(first, second, scales, pairs)
	if err := table.WriteText(os.Stdout); err != nil {
		return false, err
	}
	if runErr != nil {
		return false, runErr
	}
	path := filepath.Join(c.Folder, first.Name+"-"+second.Name)
	if err := table.WriteJSON(path+".json", pairs); err != nil {
		return false, err
	}
	return table.Worse(), table.WritePlot(path+".png", pairs)
}

// sides returns the two sides, named after their revisions and the file of edits.
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
