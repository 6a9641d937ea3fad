package treadle

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/gauge"
)

func fleet(t *testing.T, name string, seed uint64) Options {
	t.Helper()
	raw, err := os.ReadFile("../examples/" + name + ".json")
	require.NoError(t, err)
	return Options{Seed: seed, Routers: map[string]int{"corrib": 8, "padana": 7}[name], Servers: 9, Plan: raw}
}

// Every scene passes at fixed seeds. cmd/treadle runs more of them.
func TestScenes(t *testing.T) {
	for i, s := range Scenes {
		if testing.Short() && i%5 != 0 {
			continue // under the race detector a few scenes are enough; the others run without it
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			w, seen := s.Run(fleet(t, []string{"corrib", "padana"}[i%2], uint64(300+i)))
			require.Empty(t, w.Check.Bad, "replay: go run ./cmd/treadle --scene %s --fleet %s --seed %d --trace", s.Name, []string{"corrib", "padana"}[i%2], 300+i)
			require.NotZero(t, seen.Answered)
		})
	}
}

// The same seed gives the same trace, to the last step.
func TestSameSeedSameTrace(t *testing.T) {
	s, _ := Find("medley")
	a, _ := s.Run(fleet(t, "corrib", 7))
	b, _ := s.Run(fleet(t, "corrib", 7))
	c, _ := s.Run(fleet(t, "corrib", 8))
	require.Equal(t, a.Hash(), b.Hash())
	require.NotEqual(t, a.Hash(), c.Hash())
}

// Bites: each guard, broken, is seen by a checker; docs/failures.md names the lines.
var bites = []struct {
	guard string
	scene string
	sees  string
	set   func(o *Options)
}{
	{"wait for acknowledgements", "moves", "held a promise", func(o *Options) { o.Anvil.BreakWait = true }},
	{"wait out the owner before", "moves-owner", "held a promise", func(o *Options) { o.Anvil.BreakQuiet = true }},
	{"drop on a break", "moves", "held a promise", func(o *Options) { o.Lathe.BreakBreak = true }},
	{"drain before an unload", "unplan", "while work was under way", func(o *Options) { o.Anvil.BreakDrain = true }},
	{"check at the point of sending", "unplan", "after it was unloaded|which no plan allows", func(o *Options) { o.Lathe.BreakSend = true }},
	{"route under a hold only", "moves-cut", "routes under epoch|after it was unloaded|after it was leaving", func(o *Options) { o.Lathe.BreakHold = true }},
	{"keep within room", "moves", "past its room", func(o *Options) { o.Anvil.BreakRoom = true }},
	{"keep within the store's budget", "blackout", "outran the store", func(o *Options) { o.Anvil.BreakStore = true }},
	{"cap cold servers", "crowd", "flooded while cold", func(o *Options) { o.Lathe.NoRamp = true }},
	{"an emptied disk does not vote", "amnesia", "read gave epoch|told twice|slipped back|bytes that were not sent", func(o *Options) { o.Anvil.BreakVote = true }},
	{"sync before an answer", "power", "routes under epoch 1|read gave epoch|bytes that were not sent|slipped back", func(o *Options) { o.Anvil.BreakSync = true }},
	{"grant under a fresh read", "fence", "routes under epoch", func(o *Options) { o.Anvil.BreakFence = true }},
	{"grant after acknowledgement", "grow", "routes under epoch|held a promise", func(o *Options) { o.Anvil.BreakNews = true }},
	{"a majority for the duty", "core", "two own the duty|two controllers", func(o *Options) { o.Anvil.BreakDuty = true }},
	{"expect the epoch", "plans", "that expected epoch", func(o *Options) { o.Anvil.BreakEpoch = true }},
	{"redo no change", "core", "was reached by", func(o *Options) { o.Anvil.BreakAgain = true }},
	{"see servers go", "servers", "after it was leaving or gone", func(o *Options) { o.Anvil.BreakSee = true }},
	{"leave emptied zones", "zones", "in emptied zone", func(o *Options) { o.Anvil.BreakZone, o.Lathe.BreakEmpty = true, true }},
	{"repeat only what may be", "storm", "may not be repeated", func(o *Options) { o.Lathe.BreakRetry, o.Lathe.BreakSpend = true, true }},
	{"keep to the allowance", "flap", "to [0-9]* first goes", func(o *Options) { o.Lathe.BreakSpend, o.Lathe.Goes = true, 1000 }},
	{"one server's events", "storm", "came as number|two goes in one answer|after its end", func(o *Options) { o.Lathe.BreakSplice = true }},
	{"route only what is allowed", "plans", "which no plan allows", func(o *Options) { o.Lathe.BreakAllow = true }},
	{"turn away under a hold only", "grow", "was turned away", func(o *Options) { o.Lathe.BreakDoubt = true }},
	{"come back soon", "power", "service came back", func(o *Options) { o.Anvil.Duty = 20 * gauge.Span(1e9) }},
}

func TestBites(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without the race detector")
	}
	for _, b := range bites {
		t.Run(strings.ReplaceAll(b.guard, " ", "-"), func(t *testing.T) {
			t.Parallel()
			s, ok := Find(b.scene)
			require.True(t, ok)
			for seed := uint64(1); seed <= 12; seed++ {
				o := fleet(t, "corrib", seed)
				whole, _ := s.Run(o)
				require.Empty(t, whole.Check.Bad, "with the guard whole, seed %d", seed)
				b.set(&o)
				broken, _ := s.Run(o)
				for _, x := range broken.Check.Bad {
					if match(b.sees, x) {
						return
					}
				}
			}
			t.Fatalf("with this guard broken, no seed showed %q", b.sees)
		})
	}
}

func match(any, s string) bool {
	for _, p := range strings.Split(any, "|") {
		a, z, _ := strings.Cut(p, "[0-9]*")
		if i := strings.Index(s, a); i >= 0 && strings.Contains(s[i:], z) {
			return true
		}
	}
	return false
}
