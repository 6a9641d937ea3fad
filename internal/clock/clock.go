// Package clock defines instants and durations on a process's monotonic clock.
package clock

import "time"

// Instant is an instant on a process's monotonic clock (CLOCK_BOOTTIME), in nanoseconds. It is never a wall time, and
// instants of different machines are never compared.
type Tick int64

// Span is a duration.
type Span = time.Duration

// Add returns the instant s after t.
func (t Tick) Add(s Span) Tick { return t + Tick(s) }

// Sub returns the duration from u to t.
func (t Tick) Sub(u Tick) Span { return Span(t - u) }
