package simulator

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

var editStep = flag.Int("edits", 0, "negate every n-th condition of the safety code and list the edits that no test detects")

var conditionPattern = regexp.MustCompile(`(?m)^(\t+(?:\} else )?if (?:[^;{}\n]*; )?)([^;{}\n]+)( \{)$`)

// TestEdits negates the conditions of the safety code one at a time, runs the package's tests and some scenes on each
// result, and prints the edits that nothing detects. It takes long, so it runs only with -edits.
func TestEdits(t *testing.T) {
	if *editStep == 0 {
		t.Skip("runs only with -edits N")
	}
	type candidate struct {
		file, line string
		at         int
		text       string
	}
	var candidates []candidate
	for _, f := range []string{"internal/controller/duty.go", "internal/controller/links.go", "internal/controller/register.go", "internal/controller/acceptor.go", "internal/controller/proposer.go", "internal/controller/reader.go", "internal/controller/forming.go", "internal/voterset/voterset.go", "internal/controller/voters.go",
		"internal/controller/place.go", "internal/controller/server.go", "internal/controller/spot.go", "internal/controller/entries.go", "internal/controller/plan.go", "internal/controller/fenced.go", "internal/controller/report.go", "internal/controller/evict.go", "internal/controller/clear_room.go",
		"internal/controller/list.go", "internal/controller/moves.go", "internal/router/core.go", "internal/router/ledger.go", "internal/router/admission.go", "internal/router/queue.go", "internal/router/allowance.go", "internal/router/choice.go", "internal/router/attempts.go", "internal/agent/core.go"} {
		b, err := os.ReadFile(filepath.Join("..", "..", f))
		require.NoError(t, err)
		s := string(b)
		for _, m := range conditionPattern.FindAllStringSubmatchIndex(s, -1) {
			candidates = append(candidates, candidate{f, s[m[4]:m[5]], 1 + strings.Count(s[:m[0]], "\n"), s[:m[4]] + "!(" + s[m[4]:m[5]] + ")" + s[m[5]:]})
		}
	}
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	var all sync.WaitGroup
	var mu sync.Mutex
	slot := make(chan struct{}, 6)
	seen, tested := map[string]int{}, 0
	for i := 0; i < len(candidates); i += *editStep {
		x := candidates[i]
		slot <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-slot }()
			dir, err := os.MkdirTemp("", "edit-")
			if err != nil {
				return
			}
			defer os.RemoveAll(dir)
			src, over, bin := filepath.Join(dir, "e.go"), filepath.Join(dir, "over.json"), filepath.Join(dir, "simulator")
			_ = os.WriteFile(src, []byte(x.text), 0o644)
			_ = os.WriteFile(over, []byte(fmt.Sprintf(`{"Replace":{%q:%q}}`, filepath.Join(root, x.file), src)), 0o644)
			by := ""
			if out, err := exec.Command("go", "build", "-overlay", over, "-o", bin, "tidedeck/cmd/simulator").CombinedOutput(); err != nil {
				by = "the compiler"
				_ = out
			} else if err := exec.Command("go", "test", "-overlay", over, "-count=1", "-timeout", "60s", "tidedeck/"+filepath.Dir(x.file)).Run(); err != nil {
				by = "a table"
			} else {
				for _, s := range []string{"medley", "core", "moves-owner", "servers-cut", "amnesia", "plans", "clocks", "blind", "lag", "shifts", "again", "platform", "fence", "crowd", "return", "exchange", "grow"} {
					if exec.Command("timeout", "100", bin, "--plans", "../../examples", "--scene", s, "--seed", "1").Run() != nil {
						by = "scene " + s
						break
					}
				}
			}
			mu.Lock()
			defer mu.Unlock()
			tested++
			if by == "" {
				t.Logf("not detected: %s:%d if !(%s)", x.file, x.at, x.line)
			}
			seen[strings.Fields(by + " nothing")[0]]++
		}()
	}
	all.Wait()
	t.Logf("%d of %d conditions tested, by what detected them: %v", tested, len(candidates), seen)
}
