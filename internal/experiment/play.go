package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// Runner runs days on the bench, each in a copy of the sources of its side.
type Runner struct {
	Bench      string // path of the bench program
	Repository string
	Folder     string // for copies, reports and logs; days with a report here are not run again
	Journal    string // folder to collect the journal entries of the copies in, if set
	Jobs       int    // concurrent pairs
	Reason     string
	Options    []string // additional options of the bench's run command
	Progress   io.Writer

	mu   sync.Mutex
	done int
}

// Run runs the days on both sides, the two sides of a pair concurrently. A day that fails on a side has no report there.
// Run returns the first such error along with the pairs.
func (r *Runner) Run(ctx context.Context, first, second Side, days []Day) ([]Pair, error) {
	pairs := make([]Pair, len(days))
	slots := make(chan int, r.Jobs)
	for i := range r.Jobs {
		slots <- i
	}
	var group sync.WaitGroup
	var firstErr error
	for i, day := range days {
		slot := <-slots
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { slots <- slot }()
			pair, err := r.runPair(ctx, first, second, day, slot)
			r.mu.Lock()
			defer r.mu.Unlock()
			pairs[i] = pair
			if err != nil && firstErr == nil {
				firstErr = err
			}
			r.done++
			fmt.Fprintf(r.Progress, "%d of %d pairs: %s%s\n", r.done, len(days), day, outcome(pair, err))
		}()
	}
	group.Wait()
	return pairs, firstErr
}

func outcome(pair Pair, err error) string {
	if err != nil {
		return ": " + err.Error()
	}
	return fmt.Sprintf(": %.3f, %.3f", pair.First.Worth, pair.Second.Worth)
}

// runPair runs one day on both sides concurrently.
func (r *Runner) runPair(ctx context.Context, first, second Side, day Day, slot int) (Pair, error) {
	pair := Pair{Day: day}
	var errs [2]error
	var group sync.WaitGroup
	group.Add(2)
	go func() {
		defer group.Done()
		pair.First, errs[0] = r.runDay(ctx, first, day, slot)
	}()
	go func() {
		defer group.Done()
		pair.Second, errs[1] = r.runDay(ctx, second, day, slot)
	}()
	group.Wait()
	if errs[0] != nil {
		return pair, errs[0]
	}
	return pair, errs[1]
}

// runDay runs a day on one side, unless its report exists already.
func (r *Runner) runDay(ctx context.Context, side Side, day Day, slot int) (*Report, error) {
	path := filepath.Join(r.Folder, "reports", side.Name, day.String()+".json")
	if parsed, err := ReadReport(path); err == nil {
		return parsed, nil
	}
	copyFolder := filepath.Join(r.Folder, "copies", fmt.Sprintf("%s-%d", side.Name, slot))
	if err := r.prepareCopy(ctx, side, copyFolder); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	why := fmt.Sprintf("%s (%s, seed %d)", r.Reason, side.Name, day.Seed)
	arguments := append([]string{"run", day.Site, day.Name, "--seed", fmt.Sprint(day.Seed), "--report", path, "--why", why}, r.Options...)
	output, err := run(ctx, copyFolder, r.Bench, arguments...)
	if writeErr := os.WriteFile(strings.TrimSuffix(path, ".json")+".txt", []byte(output), 0o644); writeErr != nil {
		return nil, writeErr
	}
	if collectErr := r.collectJournal(copyFolder); collectErr != nil {
		return nil, collectErr
	}
	parsed, readErr := ReadReport(path)
	if readErr != nil && err != nil {
		return nil, errors.Wrapf(err, "%s on %s", day, side.Name)
	}
	return parsed, readErr // the bench also exits non-zero for broken rules, which the report lists
}

// prepareCopy clones the repository at a side's revision and applies the side's edits.
func (r *Runner) prepareCopy(ctx context.Context, side Side, folder string) error {
	marker := folder + ".whole"
	if _, err := os.Stat(marker); err == nil {
		return nil
	}
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	if _, err := run(ctx, ".", "git", "clone", "-q", "--no-checkout", r.Repository, folder); err != nil {
		return err
	}
	if _, err := run(ctx, folder, "git", "checkout", "-q", side.Revision); err != nil {
		return err
	}
	for _, edit := range side.Edits {
		if err := edit.apply(folder); err != nil {
			return err
		}
	}
	return os.WriteFile(marker, nil, 0o644)
}

// apply applies an edit below a folder. The old passage must occur exactly once.
func (e Edit) apply(folder string) error {
	path := filepath.Join(folder, e.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if occurrences := strings.Count(string(raw), e.Old); occurrences != 1 {
		return errors.Errorf("%s: %q occurs %d times, must occur once", e.File, e.Old, occurrences)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(raw), e.Old, e.New, 1)), 0o644)
}

// collectJournal copies the journal entries that are missing in the journal folder from a copy.
func (r *Runner) collectJournal(folder string) error {
	if r.Journal == "" {
		return nil
	}
	entries, err := filepath.Glob(filepath.Join(folder, "journal", "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(r.Journal, filepath.Base(from))
		if _, err := os.Stat(to); err == nil {
			continue
		}
		raw, err := os.ReadFile(from)
		if err != nil {
			return err
		}
		if err := os.WriteFile(to, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// run runs a program in a folder and returns its combined output.
func run(ctx context.Context, folder, program string, arguments ...string) (string, error) {
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = folder
	output, err := command.CombinedOutput()
	if err != nil {
		return string(output), errors.Wrapf(err, "%s %s: %.400s", filepath.Base(program), arguments[0], output)
	}
	return string(output), nil
}
