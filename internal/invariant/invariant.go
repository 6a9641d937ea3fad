// Package invariant provides runtime checks of the system's most important guarantees. A failed check is counted and
// logged by the process, and ends a test at once (package strict). It does not affect the program otherwise: an
// incorrect check must not take down a sound process.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Name identifies an invariant.
type Name string

// The invariants. docs/invariants.md describes each one and the guarantee that it checks.
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
	WorkConserved     Name = "work_conserved"
)

// Names lists all invariants.
var Names = []Name{
	RunsOnce, RefusedNeverRan, TriesBounded, TimeLeftShrinks, EndsInTime, AnswerIsServers, RefusalIsOurs, ConnectionMatches,
	EpochRises, BallotOneValue, BallotRises, ChosenRises, NumberOneValue, VotersChangeByOne, ReadIsNewest,
	OneOwner, OrdersUnderLease, WithinRoom, WithinRate, LeavingIsKnown, TenantHoldsKey, WorkConserved,
}

// Violation is a failed invariant with details of the observed state.
type Violation struct {
	Name   Name
	Detail string
}

// ViolationPrefix is part of the text of every violation.
const ViolationPrefix = "invariant violated: "

// Error returns the violation as text.
func (v Violation) Error() string { return fmt.Sprintf("%s%s: %s", ViolationPrefix, v.Name, v.Detail) }

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

// Observe sets the function that receives each violation, such as the process's logger or a test. The function may be
// called while the caller holds locks, and must not block.
func Observe(f func(Violation)) { observer.Store(&f) }

// ObserveByDefault sets the function that receives each violation, unless one is already set.
func ObserveByDefault(f func(Violation)) { observer.CompareAndSwap(nil, &f) }

// Check counts and reports a violation unless holds is true. The detail is computed only for a violation.
func Check(holds bool, name Name, detail func() string) {
	if holds {
		return
	}
	counts[name].Add(1)
	if f := observer.Load(); f != nil {
		(*f)(Violation{name, detail()})
	}
}

// Count returns the number of violations of an invariant in this process.
func Count(name Name) uint64 { return counts[name].Load() }

// collector exports the counts as metrics, including those that are zero.
type collector struct{ desc *prometheus.Desc }

// Collector returns a collector for a metric with one label value for each invariant.
func Collector() prometheus.Collector {
	return collector{prometheus.NewDesc("tidedeck_invariant_violations_total", "Number of invariant violations.", []string{"invariant"}, nil)}
}

// Describe sends the descriptor of the metric.
func (c collector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect sends the current counts.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	for _, name := range Names {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(Count(name)), string(name))
	}
}
