// Package clock holds moments and lengths of time on a process's steady clock.
package clock

import "time"

// Tick is a moment on a process's own steady clock (CLOCK_BOOTTIME), in nanoseconds.
// It is never a wall time and never compared between machines.
type Tick int64

// Span is a length of time.
type Span = time.Duration

// Add gives the moment a span after t.
func (t Tick) Add(s Span) Tick { return t + Tick(s) }

// Sub gives the span from u to t.
func (t Tick) Sub(u Tick) Span { return Span(t - u) }
