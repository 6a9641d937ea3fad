package history

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// appendMerge is a MergeFunc for these tests: it appends the patch and rejects an empty one.
func appendMerge(plan, patch []byte) ([]byte, bool) {
	return append(append([]byte{}, plan...), patch...), len(patch) > 0
}

func put(change string, expect uint64, plan string, from, to int64) Operation {
	return Operation{Kind: Put, Node: "n", Change: change, ExpectedVersion: expect, Body: []byte(plan), Invoke: from, Return: to}
}

func taken(o Operation, version uint64) Operation {
	o.Outcome, o.Version = Taken, version
	return o
}

func withOutcome(o Operation, outcome Outcome) Operation {
	o.Outcome = outcome
	return o
}

func conflicting(o Operation, version uint64) Operation {
	o.Outcome, o.Version = Conflict, version
	return o
}

func unclear(o Operation) Operation {
	o.Outcome, o.Return = Unclear, neverReturned
	return o
}

func read(version uint64, plan string, from, to int64) Operation {
	return Operation{Kind: Read, Node: "n", Outcome: Answered, Version: version, Plan: DigestOf([]byte(plan)), Invoke: from, Return: to}
}

func numbered(o Operation, number uint64) Operation {
	o.AssignedVersion = number
	return o
}

func patch(o Operation) Operation {
	o.Kind = Patch
	return o
}

func anyVersion(o Operation) Operation {
	o.AnyVersion = true
	return o
}

// TestCheck checks the verdict on each history and the reason given for each violation.
func TestCheck(t *testing.T) {
	first := taken(put("a", 0, "one", 0, 10), 1)
	for _, c := range []struct {
		name    string
		history []Operation
		why     string // empty if the history is linearizable
	}{
		{"empty", nil, ""},
		{"sequential changes and reads", []Operation{first, read(1, "one", 11, 12), taken(put("b", 1, "two", 13, 14), 2), read(2, "two", 15, 16)}, ""},
		{"one of two concurrent changes", []Operation{first, taken(put("b", 1, "two", 11, 20), 2), conflicting(put("c", 1, "three", 11, 20), 2)}, ""},
		{"versions assigned by the clients", []Operation{first, taken(numbered(put("b", 1, "two", 11, 12), 7), 7), read(7, "two", 13, 14), withOutcome(numbered(put("c", 7, "x", 15, 16), 7), Invalid)}, ""},
		{"a repeat of a confirmed change", []Operation{first, taken(put("b", 1, "two", 11, 12), 2), taken(put("a", 0, "one", 13, 14), 1), read(2, "two", 15, 16)}, ""},
		{"a patch is merged into the plan", []Operation{first, taken(patch(put("b", 1, "-more", 11, 12)), 2), read(2, "one-more", 13, 14)}, ""},
		{"an unclear change that took effect later", []Operation{first, unclear(put("b", 1, "two", 11, 12)), read(1, "one", 20, 21), read(2, "two", 22, 23)}, ""},
		{"an unclear change that never took effect", []Operation{first, unclear(put("b", 1, "two", 11, 12)), taken(put("c", 1, "three", 20, 21), 2), read(2, "three", 22, 23)}, ""},
		{"an unclear change whose repeat is confirmed", []Operation{first, unclear(put("b", 1, "two", 11, 12)), taken(put("c", 2, "three", 20, 21), 3), taken(put("b", 1, "two", 22, 23), 2)}, ""},
		{"a read during a change", []Operation{first, taken(put("b", 1, "two", 11, 20), 2), read(1, "one", 12, 19)}, ""},
		{"a touch keeps the plan", []Operation{first, taken(anyVersion(Operation{Kind: Touch, Change: "z", Invoke: 11, Return: 12}), 2), read(2, "one", 13, 14)}, ""},
		{"a read that returns no version", []Operation{first, {Kind: Read, Outcome: Answered, VersionUnknown: true, Plan: DigestOf([]byte("one")), Invoke: 11, Return: 12}}, ""},

		{"double confirmation under one number", []Operation{first, taken(put("b", 1, "two", 11, 20), 2), taken(put("c", 1, "three", 11, 20), 2)}, "confirmed in addition to another"},
		{"a stale read", []Operation{first, taken(put("b", 1, "two", 11, 12), 2), read(1, "one", 13, 14)}, "a stale read of version 1"},
		{"a read older than the previous one", []Operation{first, unclear(put("b", 1, "two", 11, 12)), read(2, "two", 13, 14), read(1, "one", 15, 16)}, "a stale read of version 1"},
		{"other bytes", []Operation{first, read(1, "uno", 11, 12)}, "of a plan that was not in force"},
		{"a repeat that is refused", []Operation{first, taken(put("b", 1, "two", 11, 12), 2), withOutcome(put("a", 0, "one", 13, 14), Conflict)}, "its repeat refused"},
		{"a repeat that is called invalid", []Operation{first, withOutcome(put("a", 0, "one", 13, 14), Invalid)}, "its repeat refused"},
		{"a repeat under another version", []Operation{first, taken(put("a", 0, "one", 13, 14), 2)}, "confirmed as version 1 and again as 2"},
		{"a repeat that is applied again", []Operation{first, taken(anyVersion(put("b", 0, "two", 11, 12)), 2), taken(anyVersion(put("b", 0, "two", 13, 14)), 3)}, "confirmed as version 2 and again as 3"},
		{"a lost update", []Operation{first, taken(put("b", 1, "two", 11, 12), 2), taken(put("c", 1, "three", 13, 14), 2)}, "confirmed in addition to another"},
		{"a confirmed change that was lost", []Operation{first, read(0, "", 11, 12)}, "a stale read of version 0"},
		{"refused without cause", []Operation{first, conflicting(put("b", 1, "two", 11, 12), 1)}, "refused as conflicting"},
		{"refused by an old version", []Operation{first, taken(put("b", 1, "two", 11, 12), 2), conflicting(put("c", 3, "x", 13, 14), 1)}, "which is not in force"},
		{"a patch of another plan", []Operation{first, taken(patch(put("b", 1, "-more", 11, 12)), 2), read(2, "-more", 13, 14)}, "of a plan that was not in force"},
		{"a refused change that a read returns", []Operation{first, read(2, "two", 20, 21)}, "of a plan that was not in force"},
		{"a version below the previous one", []Operation{taken(numbered(put("a", 0, "one", 0, 1), 5), 5), taken(numbered(put("b", 5, "two", 2, 3), 4), 4)}, "out of order"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Check(c.history, appendMerge, time.Minute)
			if c.why == "" {
				require.Equal(t, Linearizable, r.Verdict, r.Reason)
				return
			}
			require.Equal(t, Violated, r.Verdict)
			require.Contains(t, r.Reason, c.why)
		})
	}
}

// TestCheckOutOfTime checks that a check that times out reports an unknown verdict.
func TestCheckOutOfTime(t *testing.T) {
	var l []Operation
	for i := range 24 { // unclear changes that may take effect in any order
		l = append(l, unclear(anyVersion(put(fmt.Sprint(i), 0, fmt.Sprint(i), 0, 0))))
	}
	l = append(l, read(9, "never written", 1, 2))
	r := Check(l, appendMerge, 50*time.Millisecond)
	require.Equal(t, Unknown, r.Verdict)
	require.Contains(t, r.Reason, "could not be checked")
}

// TestCheckStorm checks that a history with many repeats and unclear attempts is checked within the time limit. Without
// reduce, each unclear attempt would double the number of orders to try.
func TestCheckStorm(t *testing.T) {
	var l []Operation
	for i := range uint64(500) {
		at := int64(i) * 10
		l = append(l, unclear(put(fmt.Sprint(i), i, fmt.Sprint(i), at, 0)))
		l = append(l, taken(put(fmt.Sprint(i), i, fmt.Sprint(i), at+2, at+8), i+1))
		l = append(l, conflicting(put(fmt.Sprint(i, "x"), i, "x", at+1, at+9), i+1))
	}
	require.Equal(t, Linearizable, Check(l, appendMerge, time.Minute).Verdict)
	l = append(l, read(499, "498", 5001, 5002))
	r := Check(l, appendMerge, time.Minute)
	require.Equal(t, Violated, r.Verdict)
	require.Contains(t, r.Reason, "a stale read of version 499")
}

// TestReduce checks that an unclear attempt is merged with the confirmed one, or removed if another change replaced the
// version that it expects.
func TestReduce(t *testing.T) {
	l := reduce([]Operation{
		unclear(put("a", 0, "one", 1, 0)), taken(put("a", 0, "one", 5, 9), 1), taken(put("a", 0, "one", 6, 12), 1),
		unclear(put("b", 0, "two", 2, 0)), unclear(put("c", 1, "three", 3, 0)),
	})
	require.Len(t, l, 3)
	require.Equal(t, int64(1), l[0].Invoke)
	require.Equal(t, int64(6), l[1].Invoke)
	require.Equal(t, "c", l[2].Change)
}

func TestRecorder(t *testing.T) {
	r := &Recorder{}
	a := r.Invoke(put("a", 0, "one", 1, 0))
	a.Taken(5, 1)
	a.Unclear() // a later outcome is ignored
	r.Invoke(put("b", 1, "two", 6, 0)).NoEffect()
	r.Invoke(put("c", 1, "three", 7, 0)).Conflict(9, 1)
	r.Invoke(put("d", 1, "four", 7, 0)).Invalid(9)
	r.Invoke(put("e", 1, "five", 8, 0))
	r.Invoke(Operation{Kind: Read, Node: "n", Invoke: 9})
	r.Invoke(Operation{Kind: Read, Node: "n", Invoke: 9}).Answered(12, 1, []byte("one"))
	r.Invoke(Operation{Kind: Read, Node: "n", Invoke: 9}).AnsweredBytes(13, []byte("one"))
	l := r.Operations()
	require.Len(t, l, 6)
	require.Equal(t, Taken, l[0].Outcome)
	require.Equal(t, Unclear, l[3].Outcome)
	require.True(t, l[5].VersionUnknown)
	require.Contains(t, l[3].String(), "unclear")
	require.True(t, strings.Contains(l[4].String(), "version 1"))

	l = Prefix(l, 9)
	require.Len(t, l, 4)
	require.Equal(t, Unclear, l[1].Outcome, "the answer arrived later")
}
