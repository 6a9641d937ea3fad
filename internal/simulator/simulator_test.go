package simulator

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func fleetOptions(t *testing.T, name string, seed uint64) Options {
	t.Helper()
	raw, err := os.ReadFile("../../examples/" + name + ".json")
	require.NoError(t, err)
	return Options{Seed: seed, Routers: map[string]int{"corrib": 8, "padana": 7}[name], Servers: 9, Plan: raw}
}

// TestScenes runs every scene with one fixed seed and expects no violations. cmd/simulator runs other seeds.
func TestScenes(t *testing.T) {
	for i, s := range Scenes {
		if testing.Short() && i%5 != 0 {
			continue // the race detector runs every fifth scene only; the full test runs without it
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			w, seen := s.Run(fleetOptions(t, []string{"corrib", "padana"}[i%2], uint64(300+i)))
			require.Empty(t, w.Check.Violations, "replay: go run ./cmd/simulator --scene %s --fleet %s --seed %d --trace", s.Name, []string{"corrib", "padana"}[i%2], 300+i)
			require.NotZero(t, seen.Answered)
		})
	}
}

// TestSameSeedSameTrace checks that runs are deterministic: the same seed gives the same trace hash.
func TestSameSeedSameTrace(t *testing.T) {
	s, _ := FindScene("medley")
	a, _ := s.Run(fleetOptions(t, "corrib", 7))
	b, _ := s.Run(fleetOptions(t, "corrib", 7))
	c, _ := s.Run(fleetOptions(t, "corrib", 8))
	require.Equal(t, a.Hash(), b.Hash())
	require.NotEqual(t, a.Hash(), c.Hash())
}

// TestClocksPastTheMargin checks that the checkers detect the violations caused by clock rates that differ by far more
// than the tolerated margin. The scene "clocks" covers differences up to the margin.
func TestClocksPastTheMargin(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without the race detector")
	}
	s, _ := FindScene("moves-cut")
	for seed := uint64(1); seed <= 20; seed++ {
		o := fleetOptions(t, "corrib", seed)
		o.ClockRateSpread = 0.6
		if w, _ := s.Run(o); len(w.Check.Violations) > 0 {
			t.Log(seed, w.Check.Violations[0])
			return
		}
	}
	t.Fatal("no checker reported a violation")
}
