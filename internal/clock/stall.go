package clock

// Stall notices that a process stood still, or ran too late to be of use: its timer comes much later than it should.
type Stall struct {
	Least Span // a gap between two beats that is worth telling of
	last  Tick
}

// Beat takes one beat of the timer. It gives the gap since the beat before, if that is a stall, and zero if not.
func (s *Stall) Beat(now Tick) Span {
	gap := now.Sub(s.last)
	first := s.last == 0
	s.last = now
	if first || gap < s.Least {
		return 0
	}
	return gap
}
