package workload

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// naive sums the reports of all sessions anew each time.
type naive map[protocol.Session]*lastReport

type lastReport struct {
	burdens map[ident.Key]protocol.Burden
	heard   clock.Tick
}

const freshFor = clock.Span(20)

func (n naive) waiting(key ident.Key, now clock.Tick) (w Waiting) {
	for _, r := range n {
		if b := r.burdens[key]; b.Wait > 0 && now.Sub(r.heard) <= freshFor {
			w.Requests += b.Wait
			w.Value = max(w.Value, b.Top)
		}
	}
	return w
}

func (n naive) underWay(key ident.Key) (sum int) {
	for _, r := range n {
		sum += r.burdens[key].Wait + r.burdens[key].Work
	}
	return sum
}

func (n naive) ofBase(base ident.Key) (s Sums) {
	for _, r := range n {
		for key, b := range r.burdens {
			if key.Base() == base {
				s.Waiting += b.Wait
				s.Running += b.Work
			}
		}
	}
	return s
}

var keys = []ident.Key{"llm|m", "llm|m+1", "llm|m+2", "llm|n", "llm|n+1", "llm|o"}

func drawReport(dice *rand.Rand) map[ident.Key]protocol.Burden {
	burdens := map[ident.Key]protocol.Burden{}
	for _, key := range keys {
		if dice.IntN(2) == 0 {
			burdens[key] = protocol.Burden{Wait: dice.IntN(3), Work: dice.IntN(3), Top: dice.IntN(4)}
		}
	}
	return burdens
}

func TestSumsEqualThoseOfAllReports(t *testing.T) {
	for seed := range uint64(100) {
		dice := rand.New(rand.NewPCG(seed, 1))
		x, all := NewIndex(), naive{}
		for now := range clock.Tick(200) {
			session := protocol.Session{Node: ident.Node(fmt.Sprint(dice.IntN(9)))}
			switch dice.IntN(4) {
			case 0:
				x.Forget(session)
				delete(all, session)
			case 1:
				x.Heard(session, now)
				if r := all[session]; r != nil {
					r.heard = now
				}
			default:
				burdens := drawReport(dice)
				x.Report(session, burdens, now)
				all[session] = &lastReport{burdens: burdens, heard: now}
			}
			x.Expire(now.Add(-freshFor))
			for _, key := range keys {
				require.Equal(t, all.waiting(key, now), x.Waiting(key), "seed %d, %s", seed, key)
				require.Equal(t, all.underWay(key), x.UnderWay(key), "seed %d, %s", seed, key)
				require.Equal(t, all.ofBase(key.Base()), x.OfBase(key.Base()), "seed %d, %s", seed, key)
			}
		}
		for session := range all {
			x.Forget(session)
		}
		require.Empty(t, x.keys, "nothing is kept of sessions that are gone")
		require.Empty(t, x.bases)
		require.Zero(t, x.heard.Len())
	}
}
