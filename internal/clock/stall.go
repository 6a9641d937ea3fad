package clock

// StallDetector detects that a process was stopped or starved of processor time: its timer fires much later than it
// should.
type StallDetector struct {
	MinGap   Span // shortest gap between two timer ticks that counts as a stall
	previous Instant
}

// Observe records a timer tick. It returns the time since the previous tick if that is a stall, and zero otherwise.
func (s *StallDetector) Observe(now Instant) Span {
	gap := now.Sub(s.previous)
	first := s.previous == 0
	s.previous = now
	if first || gap < s.MinGap {
		return 0
	}
	return gap
}
