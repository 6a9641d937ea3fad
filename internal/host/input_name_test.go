package host

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/protocol"
)

// Logs and metrics name the inputs of cores; a renamed Go type must not change these names.
func TestInputNames(t *testing.T) {
	names := map[string]any{
		"protocol.Beat":     protocol.TimerTick{},
		"protocol.Start":    protocol.Start{},
		"protocol.Stop":     protocol.Stop{},
		"protocol.Saved":    protocol.Saved{},
		"protocol.Computed": protocol.Computed{},
		"protocol.Told":     protocol.HTTPResult{},
		"protocol.Reseed":   protocol.SeedsChanged{},
		"Renew":             protocol.Envelope{Body: protocol.Renew{}},
		"host.unnamedInput": unnamedInput{},
	}
	for name, in := range names {
		require.Equal(t, name, inputName(in))
	}
}

type unnamedInput struct{}
