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

// Every scene passes at fixed seeds. cmd/simulator runs more of them.
func TestScenes(t *testing.T) {
	for i, s := range Scenes {
		if testing.Short() && i%5 != 0 {
			continue // under the race detector a few scenes are enough; the others run without it
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			w, seen := s.Run(fleetOptions(t, []string{"corrib", "padana"}[i%2], uint64(300+i)))
			require.Empty(t, w.Check.Bad, "replay: go run ./cmd/simulator --scene %s --fleet %s --seed %d --trace", s.Name, []string{"corrib", "padana"}[i%2], 300+i)
			require.NotZero(t, seen.Answered)
		})
	}
}

// The same seed gives the same trace, to the last step.
func TestSameSeedSameTrace(t *testing.T) {
	s, _ := Find("medley")
	a, _ := s.Run(fleetOptions(t, "corrib", 7))
	b, _ := s.Run(fleetOptions(t, "corrib", 7))
	c, _ := s.Run(fleetOptions(t, "corrib", 8))
	require.Equal(t, a.Hash(), b.Hash())
	require.NotEqual(t, a.Hash(), c.Hash())
}

// Steady clocks whose rates differ by far more than the margin break the promise that rests on it,
// and a checker sees it; scene clocks differs up to the margin.
func TestClocksPastTheMargin(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without the race detector")
	}
	s, _ := Find("moves-cut")
	for seed := uint64(1); seed <= 20; seed++ {
		o := fleetOptions(t, "corrib", seed)
		o.Rates = 0.6
		if w, _ := s.Run(o); len(w.Check.Bad) > 0 {
			t.Log(seed, w.Check.Bad[0])
			return
		}
	}
	t.Fatal("nothing was seen")
}
