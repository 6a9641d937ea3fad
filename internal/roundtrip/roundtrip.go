// Package roundtrip estimates from measured round trips how long an answer is worth waiting for, as TCP does
// (RFC 6298): a smoothed mean, and a smoothed deviation that is added four times.
package roundtrip

import "tidedeck/internal/clock"

// The gains of RFC 6298, as powers of two: a sample moves the mean by 1/8 and the deviation by 1/4 of the difference.
const (
	meanShift      = 3
	deviationShift = 2
	deviations     = 4 // that a timeout lies above the mean
)

// Estimator follows one kind of round trip. The zero value has no sample yet.
type Estimator struct {
	mean      clock.Span
	deviation clock.Span
}

// Observe takes in a measured round trip. One whose question was asked more than once must not be given: its answer may
// be to any of them.
func (e *Estimator) Observe(sample clock.Span) {
	sample = max(sample, 1)
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	difference := sample - e.mean
	e.mean += difference >> meanShift
	e.deviation += (difference.Abs() - e.deviation) >> deviationShift
}

// Known tells whether there was a sample.
func (e *Estimator) Known() bool { return e.mean != 0 }

// Mean gives the smoothed round trip; zero if there was no sample.
func (e *Estimator) Mean() clock.Span { return e.mean }

// Timeout gives how long an answer is worth waiting for; zero if there was no sample.
func (e *Estimator) Timeout() clock.Span { return e.mean + deviations*e.deviation }
