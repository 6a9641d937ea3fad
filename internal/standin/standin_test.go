package standin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/protocol"
)

func sendOrder(s *Server, at clock.Instant, o protocol.Order) protocol.ServerReport {
	for _, x := range s.Step(at, OrderIn{Order: o}) {
		if r, ok := x.(OrderOut); ok {
			return r.Report
		}
	}
	panic("an order must always be answered")
}

// A server carries out only orders that are newer than the last one, name its incarnation and fit its room.
func TestOrders(t *testing.T) {
	s := NewServer(ServerOptions{ID: "s", Inc: 4, Room: 10})
	for _, c := range []struct {
		name string
		o    protocol.Order
		drop failure.Kind
		held int
	}{
		{"a request for the report", protocol.Order{Term: 2, Num: 1}, "", 0},
		{"a load", protocol.Order{Term: 2, Num: 2, Incarnation: 4, Op: "load", Key: "m", Size: 6}, "", 1},
		{"its repeat", protocol.Order{Term: 2, Num: 2, Incarnation: 4, Op: "load", Key: "n", Size: 1}, failure.StaleOrder, 1},
		{"an older number", protocol.Order{Term: 2, Num: 1, Incarnation: 4, Op: "unload", Key: "m"}, failure.StaleOrder, 1},
		{"an older term", protocol.Order{Term: 1, Num: 9, Incarnation: 4, Op: "unload", Key: "m"}, failure.StaleOrder, 1},
		{"another incarnation", protocol.Order{Term: 2, Num: 3, Incarnation: 3, Op: "unload", Key: "m"}, failure.Mismatch, 1},
		{"more than the room", protocol.Order{Term: 2, Num: 4, Incarnation: 4, Op: "load", Key: "n", Size: 5}, failure.NoRoom, 1},
		{"an unknown operation", protocol.Order{Term: 2, Num: 5, Incarnation: 4, Op: "polish", Key: "m"}, failure.Malformed, 1},
		{"a newer term", protocol.Order{Term: 3, Num: 1, Incarnation: 4, Op: "unload", Key: "m"}, "", 0},
		{"the previous term", protocol.Order{Term: 2, Num: 99, Incarnation: 4, Op: "load", Key: "m", Size: 6}, failure.StaleOrder, 0},
	} {
		r := sendOrder(s, 1e9, c.o)
		require.Equal(t, c.drop, r.RefusedAs, c.name)
		require.Len(t, r.Held, c.held, c.name)
	}
}

// A server executes requests for models that it has ready, if they name its incarnation, and a request that may not be
// repeated only once. A refused request has not been executed.
func TestWorks(t *testing.T) {
	s := NewServer(ServerOptions{ID: "s", Inc: 4, Room: 10, Slots: 1})
	sendOrder(s, 0, protocol.Order{Term: 1, Num: 1, Incarnation: 4, Op: "load", Key: "m", Size: 6})
	s.Step(0, protocol.HTTPResult{Token: 5, OK: true, Code: 200})
	sendOrder(s, 0, protocol.Order{Term: 1, Num: 2, Incarnation: 4, Op: "load", Key: "n", Size: 1})
	for i, c := range []struct {
		name string
		w    protocol.ServerRequest
		drop failure.Kind
	}{
		{"held", protocol.ServerRequest{ID: "1", Model: "m", Incarnation: 4, MaxTokens: 3, NotRepeatable: true}, ""},
		{"a repeat", protocol.ServerRequest{ID: "1", Model: "m", Incarnation: 4, MaxTokens: 3, NotRepeatable: true}, failure.Repeated},
		{"another incarnation", protocol.ServerRequest{ID: "2", Model: "m", Incarnation: 3, MaxTokens: 3}, failure.Mismatch},
		{"still loading", protocol.ServerRequest{ID: "3", Model: "n", Incarnation: 4, MaxTokens: 3}, failure.Mismatch},
		{"not held", protocol.ServerRequest{ID: "4", Model: "x", Incarnation: 4, MaxTokens: 3}, failure.Mismatch},
		{"an adapter that is not held", protocol.ServerRequest{ID: "5", Model: "m", Adapter: "a", Incarnation: 4, MaxTokens: 3}, failure.Mismatch},
		{"queued", protocol.ServerRequest{ID: "6", Model: "m", Incarnation: 4, MaxTokens: 3}, ""},
		{"queued as well", protocol.ServerRequest{ID: "7", Model: "m", Incarnation: 4, MaxTokens: 3}, ""},
		{"queue full", protocol.ServerRequest{ID: "8", Model: "m", Incarnation: 4, MaxTokens: 3}, failure.Busy},
	} {
		var drop failure.Kind
		for _, x := range s.Step(0, WorkIn{Token: uint64(i + 1), Work: c.w}) {
			if d, ok := x.(WorkDrop); ok {
				drop = d.Kind
			}
		}
		require.Equal(t, c.drop, drop, c.name)
	}
	require.EqualValues(t, 3, s.Counts().Works)
	require.Equal(t, failure.Busy, sendOrder(s, 0, protocol.Order{Term: 1, Num: 3, Incarnation: 4, Op: "unload", Key: "m"}).RefusedAs)
	n := map[uint64]int{}
	for at := clock.Instant(0); at < 1e9; at += 20e6 {
		for _, x := range s.Step(at, protocol.TimerTick{}) {
			if e, ok := x.(Event); ok {
				require.Equal(t, n[e.Token], e.N)
				n[e.Token]++
			}
		}
	}
	require.Equal(t, map[uint64]int{1: 4, 7: 4, 8: 4}, n)
	require.Empty(t, sendOrder(s, 0, protocol.Order{Term: 1, Num: 4, Incarnation: 4, Op: "unload", Key: "m"}).RefusedAs)
}

// All pulls share the store's bandwidth, and pulls beyond the maximum number are counted.
func TestStore(t *testing.T) {
	s := NewStore(10, 1)
	s.Step(0, PullIn{1, Pull{Size: 10}})
	s.Step(0, PullIn{2, Pull{Size: 10}})
	done := map[uint64]clock.Instant{}
	for at := clock.Instant(0); at < 4e9; at += 10e6 {
		for _, x := range s.Step(at, protocol.TimerTick{}) {
			done[x.(PullOut).Token] = at
		}
	}
	require.InDelta(t, 2e9, float64(done[1]), 3e7)
	require.InDelta(t, 2e9, float64(done[2]), 3e7)
	require.EqualValues(t, 1, s.Counts().Over)
	require.Equal(t, 2, s.Counts().Peak)
}

// CheckEvent detects every kind of wrong event.
func TestCheckEvent(t *testing.T) {
	a := Request{}
	a.Call.ID, a.Call.Model, a.Call.MaxTokens = "1", "m", 2
	ok := Event{N: 1, Go: "g", Server: "s", Text: TokenText("1", "m", "", 1)}
	require.Empty(t, CheckEvent(a, ok, 1, "s", "g"))
	for name, change := range map[string]func(e *Event){
		"skips":           func(e *Event) { e.N = 2 },
		"repeats":         func(e *Event) { e.N = 0 },
		"another's":       func(e *Event) { e.Text = TokenText("2", "m", "", 1) },
		"another model":   func(e *Event) { e.Text = TokenText("1", "n", "", 1) },
		"another server":  func(e *Event) { e.Server = "t" },
		"another attempt": func(e *Event) { e.Go = "h" },
		"ends early":      func(e *Event) { e.Done = true },
	} {
		e := ok
		change(&e)
		require.NotEmpty(t, CheckEvent(a, e, 1, "s", "g"), name)
	}
}

// A request that is not completely received soon after its connection was accepted is refused as late and not executed, since
// the sender may have chosen the server on old information.
func TestLate(t *testing.T) {
	for _, c := range []struct {
		since, now clock.Instant
		ran        bool
	}{{1e9, 1e9, true}, {1e9, 1.5e9, true}, {1e9, 1.5e9 + 1, false}, {1e9, 9e9, false}, {0, 9e9, true}} {
		s := NewServer(ServerOptions{ID: "s", Inc: 4, Room: 9, Store: "store"})
		s.held["m"] = &heldModel{HeldKey: protocol.HeldKey{Key: "m", Size: 1, Stage: "ready"}}
		out := s.Step(c.now, WorkIn{Token: 1, Since: c.since, Work: protocol.ServerRequest{ID: "1", Model: "m", Incarnation: 4, MaxTokens: 3}})
		if c.ran {
			require.Empty(t, out, "%+v", c)
			require.EqualValues(t, 1, s.Counts().Works)
			continue
		}
		require.Equal(t, []any{WorkDrop{1, failure.Late}}, out, "%+v", c)
		require.Zero(t, s.Counts().Works)
	}
}
