package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Guards against a data race that ended routers ("concurrent map iteration and map write"): after it had queried every
// core node, the agent went on writing to the map of token times in that message.
func TestNoWriteToWhatWasSent(t *testing.T) {
	r := newHarness()
	for i := range 200 { // no core node answers meanwhile
		r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 7, Epoch: 2, TokenTimes: map[ident.Key]float64{"llm|m": float64(1000 - i)}})
		r.advance(20e6)
	}
	require.NotZero(t, r.tally.Sweeps)
	require.NoError(t, r.handedOut.Verify())
}
