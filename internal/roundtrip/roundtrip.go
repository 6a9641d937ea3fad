// Package roundtrip estimates a response timeout from measured round trips in the manner of TCP (RFC 6298): a
// smoothed mean plus four times the smoothed deviation.
package roundtrip

import "tidedeck/internal/clock"

// Gains of RFC 6298 as powers of two: a sample moves the mean by 1/8 and the deviation by 1/4 of the difference.
const (
	meanShift      = 3
	deviationShift = 2
	deviations     = 4 // number of deviations that the timeout lies above the mean
)

// Estimator tracks one kind of round trip. The zero value has no samples.
type Estimator struct {
	mean      clock.Span
	deviation clock.Span
}

// Observe adds a measured round trip. Do not pass a sample whose request was sent more than once, because its answer
// may belong to any of the transmissions.
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

// Known reports whether there are any samples.
func (e *Estimator) Known() bool { return e.mean != 0 }

// Mean returns the smoothed round-trip time, or zero without samples.
func (e *Estimator) Mean() clock.Span { return e.mean }

// Timeout returns the response timeout, or zero without samples.
func (e *Estimator) Timeout() clock.Span { return e.mean + deviations*e.deviation }
