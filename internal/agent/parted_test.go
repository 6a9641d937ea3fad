package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// An agent says that it is parted only when no owner is heard, though one was asked: an owner that is
// heard and grants nothing waits for this machine.
func TestParted(t *testing.T) {
	r := set()
	parted := func() (is bool) {
		for _, e := range r.out {
			if h, ok := e.Body.(protocol.Hold); ok {
				is = h.Parted
			}
		}
		return is
	}
	grant := func() {
		r.give(core("controller-1"), protocol.Grant{Session: r.Session(), Seq: r.seq, Len: 1400e6, Duty: 1})
	}
	r.pass(20e6)
	grant()
	for range 100 { // news, but no grant: its hold runs out
		r.pass(50e6)
		r.give(core("controller-1"), protocol.News{Session: r.Session(), Duty: 1})
		require.False(t, parted())
	}
	r.out = nil
	for s := clock.Span(0); s < 800e6; s += 50e6 { // a pass is up to 60 ms
		require.False(t, parted(), "%v", s)
		r.pass(50e6)
	}
	for range 20 {
		r.pass(50e6)
	}
	require.True(t, parted(), "nobody is heard")
	grant()
	require.False(t, parted())
}
