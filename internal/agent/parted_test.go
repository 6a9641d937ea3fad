package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// An agent reports its machine as partitioned only when no leader answers although one was contacted. A leader that
// answers without a grant is withholding the lease until this machine acknowledges.
func TestParted(t *testing.T) {
	r := newHarness()
	parted := func() (is bool) {
		for _, e := range r.sent {
			if h, ok := e.Body.(protocol.RouterLease); ok {
				is = h.Partitioned
			}
		}
		return is
	}
	grant := func() {
		r.deliver(newPeer("controller-1"), protocol.Grant{Session: r.Session(), Seq: r.seq, Length: 1400e6, Term: 1})
	}
	r.advance(20e6)
	grant()
	for range 100 { // updates but no grants: the lease expires
		r.advance(50e6)
		r.deliver(newPeer("controller-1"), protocol.Updates{Session: r.Session(), Term: 1})
		require.False(t, parted())
	}
	r.sent = nil
	for s := clock.Span(0); s < 800e6; s += 50e6 { // each step takes up to 60 ms
		require.False(t, parted(), "%v", s)
		r.advance(50e6)
	}
	for range 20 {
		r.advance(50e6)
	}
	require.True(t, parted(), "no leader answers")
	grant()
	require.False(t, parted())
}
