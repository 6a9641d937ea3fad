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

type keyLoads = map[ident.Key]protocol.KeyLoad

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
		{"one report", []keyLoads{{"m": {Arrived: 3, ServerSeconds: 0.5}}}, keyLoads{"m": {Arrived: 3, ServerSeconds: 0.5}}, keyLoads{}},
		{"counts add up", []keyLoads{{"m": {Arrived: 3, ServerSeconds: 0.5}}, {"m": {Arrived: 4, ServerSeconds: 0.25}}}, keyLoads{"m": {Arrived: 7, ServerSeconds: 0.75}}, keyLoads{}},
		{"gauges are the latest", []keyLoads{{"m": {Waiting: 9, Running: 9, TopValue: 9}}, {"m": {Waiting: 1, Running: 2, TopValue: 3}}}, keyLoads{"m": {Waiting: 1, Running: 2, TopValue: 3}}, keyLoads{"m": {Waiting: 1, Running: 2, TopValue: 3}}},
		{"a key missing from a later report keeps its count", []keyLoads{{"m": {Arrived: 3, ServerSeconds: 0.5, Waiting: 2, Running: 1}}, {"n": {Arrived: 1}}}, keyLoads{"m": {Arrived: 3, ServerSeconds: 0.5}, "n": {Arrived: 1}}, keyLoads{}},
		{"an empty report keeps the counts", []keyLoads{{"m": {Arrived: 3, ServerSeconds: 0.5}}, {}, {}}, keyLoads{"m": {Arrived: 3, ServerSeconds: 0.5}}, keyLoads{}},
		{"gauges stay until the next report", []keyLoads{{"m": {Arrived: 3, ServerSeconds: 0.5, Waiting: 2, Running: 1, TopValue: 4}}}, keyLoads{"m": {Arrived: 3, ServerSeconds: 0.5, Waiting: 2, Running: 1, TopValue: 4}}, keyLoads{"m": {Waiting: 2, Running: 1, TopValue: 4}}},
	} {
		r := newHarness()
		r.advance(20e6)
		r.renewals()
		for _, b := range c.reports {
			r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 7, Session: r.Session(), Epoch: 2, KeyLoads: b})
		}
		for i, want := range []keyLoads{c.first, c.second} {
			var l []protocol.Renew
			for len(l) == 0 {
				r.advance(20e6)
				l = r.renewals()
			}
			require.Len(t, l, 1, c.name)
			r.deliver(newPeer("a1"), protocol.Grant{Session: l[0].Session, Seq: l[0].Seq, Length: 2e9, Term: 1})
			got := keyLoads{}
			for k, u := range l[0].KeyLoads {
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
				sent, copies = append(sent, n), append(copies, fmt.Sprint(n.KeyLoads))
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
					b[k] = protocol.KeyLoad{Arrived: n, ServerSeconds: float64(n) / 4, Waiting: rng.IntN(2), Running: rng.IntN(2)}
					came[k] += n
					load[k] += float64(n) / 4
				}
				r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 7, Session: r.Session(), Epoch: 2, KeyLoads: b})
			case 3:
				if len(sent) > 0 {
					n := sent[len(sent)-1]
					r.deliver(newPeer("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq, Length: 1e9, Term: 1})
				}
			case 4:
				if rng.IntN(10) == 0 {
					r.deliver(newPeer("a1"), protocol.NotOwner{Session: r.Session(), SessionEnded: true})
				}
			default:
				r.advance(clock.Span(rng.IntN(300)) * 1e6)
			}
			drain()
		}
		r.advance(5e9)
		drain()
		for i, n := range sent {
			require.Equal(t, copies[i], fmt.Sprint(n.KeyLoads), "seed %d: renewal %d changed after it was sent", seed, i)
			for k, u := range n.KeyLoads {
				came[k] -= u.Arrived
				load[k] -= u.ServerSeconds
			}
		}
		for _, k := range []ident.Key{"m", "n", "o"} {
			require.Zero(t, came[k], "seed %d: %s", seed, k)
			require.InDelta(t, 0, load[k], 1e-9, "seed %d: %s", seed, k)
		}
	}
}
