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

// Player plays days on the bench, each in a copy of the sources of its side.
type Runner struct {
	Bench      string // path of the bench's program
	Repository string
	Folder     string // of copies, reports and logs; what is there already is not played again
	Journal    string // folder that the journal entries of the copies are gathered in, if one is said
	Jobs       int    // pairs at a time
	Reason     string
	Options    []string // further options of the bench's run
	Progress   io.Writer

	mu   sync.Mutex
	done int
}

// Play plays the days on both sides, the two of a pair beside each other. A day that could not be played on a side has no
// report there; the first such error is given beside the pairs.
func (p *Runner) Run(ctx context.Context, first, second Side, days []Day) ([]Pair, error) {
	pairs := make([]Pair, len(days))
	slots := make(chan int, p.Jobs)
	for i := range p.Jobs {
		slots <- i
	}
	var group sync.WaitGroup
	var failed error
	for i, day := range days {
		slot := <-slots
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { slots <- slot }()
			pair, err := p.runPair(ctx, first, second, day, slot)
			p.mu.Lock()
			defer p.mu.Unlock()
			pairs[i] = pair
			if err != nil && failed == nil {
				failed = err
			}
			p.done++
			fmt.Fprintf(p.Progress, "%d of %d pairs: %s%s\n", p.done, len(days), day, outcome(pair, err))
		}()
	}
	group.Wait()
	return pairs, failed
}

func outcome(pair Pair, err error) string {
	if err != nil {
		return ": " + err.Error()
	}
	return fmt.Sprintf(": %.3f, %.3f", pair.First.Worth, pair.Second.Worth)
}

// pair plays one day on both sides at the same time.
func (p *Runner) runPair(ctx context.Context, first, second Side, day Day, slot int) (Pair, error) {
	pair := Pair{Day: day}
	var errs [2]error
	var group sync.WaitGroup
	group.Add(2)
	go func() {
		defer group.Done()
		pair.First, errs[0] = p.runDay(ctx, first, day, slot)
	}()
	go func() {
		defer group.Done()
		pair.Second, errs[1] = p.runDay(ctx, second, day, slot)
	}()
	group.Wait()
	if errs[0] != nil {
		return pair, errs[0]
	}
	return pair, errs[1]
}

// one plays a day on one side, unless there is a report of it.
func (p *Runner) runDay(ctx context.Context, side Side, day Day, slot int) (*Report, error) {
	report := filepath.Join(p.Folder, "reports", side.Name, day.String()+".json")
	if r, err := ReadReport(report); err == nil {
		return r, nil
	}
	copyFolder := filepath.Join(p.Folder, "copies", fmt.Sprintf("%s-%d", side.Name, slot))
	if err := p.prepareCopy(ctx, side, copyFolder); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Dir(report), 0o755); err != nil {
		return nil, err
	}
	why := fmt.Sprintf("%s (%s, seed %d)", p.Reason, side.Name, day.Seed)
	arguments := append([]string{"run", day.Site, day.Name, "--seed", fmt.Sprint(day.Seed), "--report", report, "--why", why}, p.Options...)
	out, err := run(ctx, copyFolder, p.Bench, arguments...)
	if e := os.WriteFile(strings.TrimSuffix(report, ".json")+".txt", []byte(out), 0o644); e != nil {
		return nil, e
	}
	if e := p.collectJournal(copyFolder); e != nil {
		return nil, e
	}
	r, readErr := ReadReport(report)
	if readErr != nil && err != nil {
		return nil, errors.Wrapf(err, "%s on %s", day, side.Name)
	}
	return r, readErr // the bench's exit status also tells of broken rules, which the report has
}

// layOut makes a copy of the repository at a side's revision, with its edits.
func (p *Runner) prepareCopy(ctx context.Context, side Side, folder string) error {
	done := folder + ".whole"
	if _, err := os.Stat(done); err == nil {
		return nil
	}
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	if _, err := run(ctx, ".", "git", "clone", "-q", "--no-checkout", p.Repository, folder); err != nil {
		return err
	}
	if _, err := run(ctx, folder, "git", "checkout", "-q", side.Revision); err != nil {
		return err
	}
	for _, e := range side.Edits {
		if err := e.apply(folder); err != nil {
			return err
		}
	}
	return os.WriteFile(done, nil, 0o644)
}

// apply makes an edit below a folder. The passage must stand there once.
func (e Edit) apply(folder string) error {
	path := filepath.Join(folder, e.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := strings.Count(string(raw), e.Old); n != 1 {
		return errors.Errorf("%s: %q stands there %d times, wants once", e.File, e.Old, n)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(raw), e.Old, e.New, 1)), 0o644)
}

// gather copies journal entries that a copy has and the journal lacks.
func (p *Runner) collectJournal(folder string) error {
	if p.Journal == "" {
		return nil
	}
	entries, err := filepath.Glob(filepath.Join(folder, "journal", "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(p.Journal, filepath.Base(from))
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

// run runs a program in a folder and gives what it wrote.
func run(ctx context.Context, folder, program string, arguments ...string) (string, error) {
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = folder
	out, err := command.CombinedOutput()
	if err != nil {
		return string(out), errors.Wrapf(err, "%s %s: %.400s", filepath.Base(program), arguments[0], out)
	}
	return string(out), nil
}
