// Package invariant states the promises that matter most as checks which run in the code. A check that does
// not hold is counted, logged by the process, and ends a test at once (package strict). It changes nothing of
// what the program does: a wrong check must not take a sound process down.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Name names an invariant.
type Name string

// The invariants. What each says, and which promise it stands for, is in docs/invariants.md.
const (
	RunsOnce          Name = "request_runs_once"
	RefusedNeverRan   Name = "refused_never_ran"
	TriesBounded      Name = "tries_bounded"
	TimeLeftShrinks   Name = "time_left_shrinks"
	EndsInTime        Name = "request_ends_in_time"
	AnswerIsServers   Name = "answer_is_the_servers"
	RefusalIsOurs     Name = "refusal_bears_no_seal"
	ConnectionMatches Name = "connection_matches_server"
	EpochRises        Name = "router_epoch_rises"
	BallotOneValue    Name = "ballot_has_one_value"
	BallotRises       Name = "ballot_rises"
	ChosenRises       Name = "chosen_epoch_rises"
	NumberOneValue    Name = "number_has_one_value"
	VotersChangeByOne Name = "voters_change_by_one"
	ReadIsNewest      Name = "read_is_newest"
	OneOwner          Name = "one_owner_of_a_term"
	OrdersUnderLease  Name = "orders_under_lease"
	WithinRoom        Name = "orders_within_room"
	WithinRate        Name = "loads_within_rate"
	LeavingIsKnown    Name = "leaving_is_known"
	TenantHoldsKey    Name = "tenant_holds_key"
)

// Names lists all invariants.
var Names = []Name{
	RunsOnce, RefusedNeverRan, TriesBounded, TimeLeftShrinks, EndsInTime, AnswerIsServers, RefusalIsOurs, ConnectionMatches,
	EpochRises, BallotOneValue, BallotRises, ChosenRises, NumberOneValue, VotersChangeByOne, ReadIsNewest,
	OneOwner, OrdersUnderLease, WithinRoom, WithinRate, LeavingIsKnown, TenantHoldsKey,
}

// Violation is an invariant that did not hold, and what was seen.
type Violation struct {
	Name   Name
	Detail string
}

// Sign is in the text of every violation.
const Sign = "invariant violated: "

// Error tells the violation as text.
func (v Violation) Error() string { return fmt.Sprintf("%s%s: %s", Sign, v.Name, v.Detail) }

var (
	counts   = newCounts()
	observer atomic.Pointer[func(Violation)]
)

func newCounts() map[Name]*atomic.Uint64 {
	m := make(map[Name]*atomic.Uint64, len(Names))
	for _, name := range Names {
		m[name] = &atomic.Uint64{}
	}
	return m
}

// Observe sets who hears of each violation: the process's log, or a test. It may be called under locks of
// the caller's and must not wait.
func Observe(f func(Violation)) { observer.Store(&f) }

// ObserveByDefault sets who hears of each violation if nobody does yet.
func ObserveByDefault(f func(Violation)) { observer.CompareAndSwap(nil, &f) }

// Check counts and reports a violation unless holds is true. The detail is put together only then.
func Check(holds bool, name Name, detail func() string) {
	if holds {
		return
	}
	counts[name].Add(1)
	if f := observer.Load(); f != nil {
		(*f)(Violation{name, detail()})
	}
}

// Count tells how often an invariant did not hold in this process.
func Count(name Name) uint64 { return counts[name].Load() }

// collector shows the counts as metrics, those of zero too.
type collector struct{ desc *prometheus.Desc }

// Collector gives the counts as a metric with a label for each invariant.
func Collector() prometheus.Collector {
	return collector{prometheus.NewDesc("tidedeck_invariant_violations_total", "Checks of promises that did not hold.", []string{"invariant"}, nil)}
}

// Describe tells of the one metric.
func (c collector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect reads the counts.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	for _, name := range Names {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(Count(name)), string(name))
	}
}
