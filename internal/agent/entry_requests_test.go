package agent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// newLeasedHarness returns an agent whose leader has answered in this session.
func newLeasedHarness(t *testing.T) *harness {
	r := newHarness()
	renewal, _, ok := lastSent[protocol.Renew](r)
	require.True(t, ok)
	r.deliver(newPeer("a1"), protocol.Grant{Session: renewal.Session, Seq: renewal.Seq, Length: 100e9, Term: 1})
	r.sent = nil
	return r
}

func (r *harness) ask(key ident.Key) {
	r.deliver(newPeer("router"), protocol.EntryRequest{Session: r.Session(), Key: key, Waiting: 1})
}

// requestedKeys returns the keys of each request that was sent since the last call.
func (r *harness) requestedKeys() (messages [][]ident.Key) {
	for _, e := range r.sent {
		if b, ok := e.Body.(protocol.EntryRequest); ok {
			keys := []ident.Key{b.Key}
			for _, more := range b.More {
				keys = append(keys, more.Key)
			}
			messages = append(messages, keys)
		}
	}
	r.sent = nil
	return messages
}

func (r *harness) receiveEntries(keys ...ident.Key) {
	updates := protocol.Updates{Session: r.Session(), Term: 1, LateAck: true}
	for _, key := range keys {
		updates.Items = append(updates.Items, protocol.Update{Num: r.ackedNum + 1, Entry: &protocol.Entry{Key: key}})
	}
	r.deliver(newPeer("a1"), updates)
}

func TestEntryRequestsAreCollectedWhileOneIsUnanswered(t *testing.T) {
	r := newLeasedHarness(t)
	r.ask("a")
	require.Equal(t, [][]ident.Key{{"a"}}, r.requestedKeys(), "the first is sent at once")
	r.ask("b")
	r.ask("c")
	r.ask("b")
	r.ask("a")
	require.Empty(t, r.requestedKeys(), "further ones wait for its answer")
	r.receiveEntries("a")
	require.Equal(t, [][]ident.Key{{"b", "c"}}, r.requestedKeys())
	r.receiveEntries("c")
	r.ask("d")
	require.Empty(t, r.requestedKeys())
	r.receiveEntries("b")
	require.Equal(t, [][]ident.Key{{"d"}}, r.requestedKeys())
	r.receiveEntries("d")
	r.ask("a")
	require.Equal(t, [][]ident.Key{{"a"}}, r.requestedKeys(), "an entry that was received may be asked for again")
}

// Guards against an overload that sustains itself: entries that the leader is late with are not asked for at a steady rate.
func TestUnansweredEntryRequestsBackOff(t *testing.T) {
	r := newLeasedHarness(t)
	for i := range 100 {
		r.ask(ident.Key(fmt.Sprint("m", i)))
	}
	for range 100 { // the router repeats its requests
		r.advance(100e6)
		for i := range 100 {
			r.ask(ident.Key(fmt.Sprint("m", i)))
		}
	}
	messages := r.requestedKeys()
	require.LessOrEqual(t, len(messages), 6, "messages in 10 s")
	require.Contains(t, messages[len(messages)-1], ident.Key("m0"), "an entry that was not received is asked for again")
	require.LessOrEqual(t, len(messages[1]), maxKeysPerRequest)
}

// A change for which leases or orders wait is acknowledged at once, again if it comes again; others with the next renewal.
func TestOnlyAwaitedChangesAreAcknowledgedAtOnce(t *testing.T) {
	acks := func(r *harness) (nums []uint64) {
		for _, e := range r.sent {
			if b, ok := e.Body.(protocol.Ack); ok {
				nums = append(nums, b.Num)
			}
		}
		r.sent = nil
		return nums
	}
	r := newLeasedHarness(t)
	receive := func(lateAck bool, num uint64) {
		r.deliver(newPeer("a1"), protocol.Updates{Session: r.Session(), Term: 1, LateAck: lateAck, Items: []protocol.Update{{Num: num, Break: "m"}}})
		r.deliver(newPeer("router"), protocol.Ack{Session: r.Session(), Num: num})
	}
	receive(true, 1)
	require.Empty(t, acks(r))
	require.EqualValues(t, 1, r.renewal().AckedNum)
	receive(false, 2)
	require.Equal(t, []uint64{2}, acks(r))
	receive(true, 3)
	require.Empty(t, acks(r))
	r.deliver(newPeer("a1"), protocol.Updates{Session: r.Session(), Term: 1, Items: []protocol.Update{{Num: 2, Break: "m"}, {Num: 3}}})
	r.deliver(newPeer("router"), protocol.Ack{Session: r.Session(), Num: 3})
	require.Equal(t, []uint64{3}, acks(r), "the leader has not received the acknowledgement")
}
