package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

type keyLoads = map[ident.Key]protocol.Burden

// renewals returns the renewals sent since the last call.
func (r *harness) renewals() (l []protocol.Renew) {
	for _, e := range r.sent {
		if b, ok := e.Body.(protocol.Renew); ok {
			l = append(l, b)
		}
	}
	r.sent = nil
	return l
}

// A renewal sums the counts of the router's reports and carries the latest gauges.
func TestRenewalCarriesCounts(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []keyLoads
		first   keyLoads // in the renewal after the reports
		second  keyLoads // in the next renewal, without a report in between
	}{
		{"nothing", nil, keyLoads{}, keyLoads{}},
		{"one report", []keyLoads{{"m": {Came: 3, Load: 0.5}}}, keyLoads{"m": {Came: 3, Load: 0.5}}, keyLoads{}},
		{"counts add up", []keyLoads{{"m": {Came: 3, Load: 0.5}}, {"m": {Came: 4, Load: 0.25}}}, keyLoads{"m": {Came: 7, Load: 0.75}}, keyLoads{}},
		{"gauges are the latest", []keyLoads{{"m": {Wait: 9, Work: 9, Top: 9}}, {"m": {Wait: 1, Work: 2, Top: 3}}}, keyLoads{"m": {Wait: 1, Work: 2, Top: 3}}, keyLoads{"m": {Wait: 1, Work: 2, Top: 3}}},
		{"a key missing from a later report keeps its count", []keyLoads{{"m": {Came: 3, Load: 0.5, Wait: 2, Work: 1}}, {"n": {Came: 1}}}, keyLoads{"m": {Came: 3, Load: 0.5}, "n": {Came: 1}}, keyLoads{}},
		{"an empty report keeps the counts", []keyLoads{{"m": {Came: 3, Load: 0.5}}, {}, {}}, keyLoads{"m": {Came: 3, Load: 0.5}}, keyLoads{}},
		{"gauges stay until the next report", []keyLoads{{"m": {Came: 3, Load: 0.5, Wait: 2, Work: 1, Top: 4}}}, keyLoads{"m": {Came: 3, Load: 0.5, Wait: 2, Work: 1, Top: 4}}, keyLoads{"m": {Wait: 2, Work: 1, Top: 4}}},
	} {
		r := newHarness()
		r.advance(20e6)
		r.renewals()
		for _, b := range c.reports {
			r.deliver(newPeer("router"), protocol.Hello{Router: 7, Session: r.Session(), Epoch: 2, Burden: b})
		}
		for i, want := range []keyLoads{c.first, c.second} {
			var l []protocol.Renew
			for len(l) == 0 {
				r.advance(20e6)
				l = r.renewals()
			}
			require.Len(t, l, 1, c.name)
			got := keyLoads{}
			for k, u := range l[0].Burden {
				got[k] = u
			}
			require.Equal(t, want, got, "%s: renewal %d", c.name, i+1)
		}
	}
}

// For any order of reports, renewals, grants and new sessions, the arrivals in the renewals sum to those that the
// router reported, and a renewal does not change after it was sent.
func TestCountsAddUp(t *testing.T) {
	for seed := range uint64(20) {
		r, rng := newHarness(), rand.New(rand.NewPCG(seed, 1))
		came, load := map[ident.Key]int{}, map[ident.Key]float64{}
		var sent []protocol.Renew
		var copies []string
		drain := func() {
			for _, n := range r.renewals() {
				sent, copies = append(sent, n), append(copies, fmt.Sprint(n.Burden))
			}
		}
		drain()
		for range 400 {
			switch rng.IntN(8) {
			case 0, 1, 2:
				b := keyLoads{}
				for _, k := range []ident.Key{"m", "n", "o"} {
					if rng.IntN(2) == 0 {
						continue
					}
					n := rng.IntN(4)
					b[k] = protocol.Burden{Came: n, Load: float64(n) / 4, Wait: rng.IntN(2), Work: rng.IntN(2)}
					came[k] += n
					load[k] += float64(n) / 4
				}
				r.deliver(newPeer("router"), protocol.Hello{Router: 7, Session: r.Session(), Epoch: 2, Burden: b})
			case 3:
				if len(sent) > 0 {
					n := sent[len(sent)-1]
					r.deliver(newPeer("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq, Len: 1e9, Duty: 1})
				}
			case 4:
				if rng.IntN(10) == 0 {
					r.deliver(newPeer("a1"), protocol.NotOwner{Session: r.Session(), Gone: true})
				}
			default:
				r.advance(clock.Span(rng.IntN(300)) * 1e6)
			}
			drain()
		}
		r.advance(5e9)
		drain()
		for i, n := range sent {
			require.Equal(t, copies[i], fmt.Sprint(n.Burden), "seed %d: renewal %d changed after it was sent", seed, i)
			for k, u := range n.Burden {
				came[k] -= u.Came
				load[k] -= u.Load
			}
		}
		for _, k := range []ident.Key{"m", "n", "o"} {
			require.Zero(t, came[k], "seed %d: %s", seed, k)
			require.InDelta(t, 0, load[k], 1e-9, "seed %d: %s", seed, k)
		}
	}
}
