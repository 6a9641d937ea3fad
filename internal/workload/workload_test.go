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

// reference recomputes the sums over all reports each time.
type reference map[protocol.Session]*referenceReport

type referenceReport struct {
	loads     map[ident.Key]protocol.KeyLoad
	lastHeard clock.Instant
}

const activeFor = clock.Span(20)

func (n reference) waiting(key ident.Key, now clock.Instant) (w Waiting) {
	for _, r := range n {
		if b := r.loads[key]; b.Waiting > 0 && now.Sub(r.lastHeard) <= activeFor {
			w.Requests += b.Waiting
			w.Value = max(w.Value, b.TopValue)
		}
	}
	return w
}

func (n reference) underWay(key ident.Key) (sum int) {
	for _, r := range n {
		sum += r.loads[key].Waiting + r.loads[key].Running
	}
	return sum
}

func (n reference) ofBase(base ident.Key) (s BaseSums) {
	for _, r := range n {
		for key, b := range r.loads {
			if key.Base() == base {
				s.Waiting += b.Waiting
				s.Running += b.Running
			}
		}
	}
	return s
}

var keys = []ident.Key{"llm|m", "llm|m+1", "llm|m+2", "llm|n", "llm|n+1", "llm|o"}

func randomReport(rng *rand.Rand) map[ident.Key]protocol.KeyLoad {
	loads := map[ident.Key]protocol.KeyLoad{}
	for _, key := range keys {
		if rng.IntN(2) == 0 {
			loads[key] = protocol.KeyLoad{Waiting: rng.IntN(3), Running: rng.IntN(3), TopValue: rng.IntN(4)}
		}
	}
	return loads
}

func TestSumsEqualThoseOfAllReports(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		index, expected := NewIndex(), reference{}
		for now := range clock.Instant(200) {
			session := protocol.Session{Node: ident.Node(fmt.Sprint(rng.IntN(9)))}
			switch rng.IntN(4) {
			case 0:
				index.Forget(session)
				delete(expected, session)
			case 1:
				index.MarkActive(session, now)
				if r := expected[session]; r != nil {
					r.lastHeard = now
				}
			default:
				loads := randomReport(rng)
				index.Report(session, loads, now)
				expected[session] = &referenceReport{loads: loads, lastHeard: now}
			}
			index.Expire(now.Add(-activeFor))
			for _, key := range keys {
				require.Equal(t, expected.waiting(key, now), index.Waiting(key), "seed %d, %s", seed, key)
				require.Equal(t, expected.underWay(key), index.Outstanding(key), "seed %d, %s", seed, key)
				require.Equal(t, expected.ofBase(key.Base()), index.OfBase(key.Base()), "seed %d, %s", seed, key)
			}
		}
		for session := range expected {
			index.Forget(session)
		}
		require.Empty(t, index.keys, "no sums remain after all sessions are removed")
		require.Empty(t, index.bases)
		require.Zero(t, index.active.Len())
	}
}
