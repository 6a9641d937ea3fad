package immutable

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A map or a slice that is modified after it was handed out is found, however deep it lies and however late.
func TestModifiedOutputs(t *testing.T) {
	times := map[ident.Key]float64{"llm|m": 1}
	puts := map[string][]byte{"list": []byte("old")}
	for _, c := range []struct {
		name   string
		output any
		modify func()
		found  bool
	}{
		{"nothing", protocol.Envelope{Body: protocol.Renew{TokenTimes: times}}, func() {}, false},
		{"a map", protocol.Envelope{Body: protocol.Renew{TokenTimes: times}}, func() { times["llm|n"] = 2 }, true},
		{"a value of a map", protocol.Envelope{Body: protocol.Renew{TokenTimes: times}}, func() { times["llm|m"] = 3 }, true},
		{"bytes of a write", protocol.Save{Puts: puts}, func() { puts["list"][0] = 'O' }, true},
	} {
		var late, now Checker
		require.NoError(t, now.Observe("a", []any{c.output}))
		require.NoError(t, late.Observe("a", []any{c.output}))
		c.modify()
		if c.found {
			require.ErrorContains(t, now.Verify(), "a modified a value", c.name)
		} else {
			require.NoError(t, now.Verify(), c.name)
		}
		var err error
		for range maxPending {
			if e := late.Observe("a", []any{protocol.Save{}}); e != nil {
				err = e
			}
		}
		require.Equal(t, c.found, err != nil, c.name)
	}
}

// With an interval, every n-th output is compared.
func TestInterval(t *testing.T) {
	c := Checker{Every: 4}
	for range 8 {
		require.NoError(t, c.Observe("a", []any{protocol.Save{}}))
	}
	require.Len(t, c.pending, 2)
}
