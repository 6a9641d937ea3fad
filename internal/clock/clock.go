// Package clock defines instants and durations on a process's monotonic clock.
package clock

import "time"

// Instant is an instant on a process's monotonic clock (CLOCK_BOOTTIME), in nanoseconds. It is never a wall time, and
// instants of different machines are never compared.
type Instant int64

// Span is a duration.
type Span = time.Duration

// Add returns the instant s after t.
func (t Instant) Add(s Span) Instant { return t + Instant(s) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) Span { return Span(t - u) }
