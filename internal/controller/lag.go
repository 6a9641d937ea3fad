package controller

import "tidedeck/internal/clock"

// A node that has more to do than its processor can handle learns it from its timer: ticks come late, or are skipped. It
// then gives up work in an order: looks at placement first. Leases, acknowledgements and answers go on.

const (
	lagSmoothing = 8 // weight of the earlier gaps in the smoothed gap between ticks, to one of the newest
	// maxCountedGap bounds a single gap, in shortest ones: a process that was suspended is not behind for long.
	maxCountedGap = 8
	behindFactor  = 1.25 // the smoothed gap, relative to the shortest one, from which the node counts as behind
)

// tickLag measures how late ticks come.
type tickLag struct {
	lastTick clock.Instant
	shortest clock.Span // shortest gap between two ticks so far
	smoothed clock.Span
}

// observe records a tick.
func (l *tickLag) observe(now clock.Instant) {
	gap := now.Sub(l.lastTick)
	first := l.lastTick == 0
	l.lastTick = now
	switch {
	case first || gap <= 0:
		return
	case l.shortest == 0:
		l.shortest, l.smoothed = gap, gap
		return
	}
	l.smoothed += (min(gap, maxCountedGap*l.shortest) - l.smoothed) / lagSmoothing
	// A tick that follows a late one comes early; only the smoothed gap tells the interval of the timer.
	l.shortest = min(l.shortest, l.smoothed)
}

// isBehind reports whether ticks come late.
func (l *tickLag) isBehind() bool {
	return float64(l.smoothed) > behindFactor*float64(l.shortest)
}
