package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// Merge applies a patch to a plan; it fails where the patch does not fit.
type Merge func(plan, patch []byte) ([]byte, bool)

// Verdict is what a check came to.
type Verdict int

// The verdicts.
const (
	Linearizable Verdict = iota
	Violated
	Unknown // the check ran out of time: nothing is shown
)

// Result of a check.
type Result struct {
	Verdict    Verdict
	Operations int
	Why        string // of a verdict that is not Linearizable
}

// mostListed is how many operations around a violation are told.
const mostListed = 4

// Check tells whether a history is linearizable, within a time on the wall clock.
func Check(operations []Operation, merge Merge, within time.Duration) Result {
	result := Result{Operations: len(operations)}
	operations = reduce(operations)
	input := make([]porcupine.Operation, len(operations))
	for i, o := range operations {
		input[i] = porcupine.Operation{ClientId: i, Input: o, Call: o.Invoke, Return: o.Return}
	}
	model := newRegister(merge)
	switch porcupine.CheckOperationsTimeout(model.porcupine(), input, within) {
	case porcupine.Ok:
		return result
	case porcupine.Unknown:
		result.Verdict, result.Why = Unknown, fmt.Sprintf("%d operations could not be checked within %v", len(operations), within)
		return result
	}
	result.Verdict = Violated
	result.Why = explain(model, input, within)
	return result
}

// explain tells which operation fits no order, after the longest order that was found.
func explain(model *register, input []porcupine.Operation, within time.Duration) string {
	_, info := porcupine.CheckOperationsVerbose(model.porcupine(), input, within)
	var longest []int
	for _, partition := range info.PartialLinearizations() {
		for _, order := range partition {
			if len(order) > len(longest) {
				longest = order
			}
		}
	}
	at := initial()
	placed := map[int]bool{}
	last := ""
	for _, i := range longest {
		placed[i] = true
		op := input[i].Input.(Operation)
		_, at = model.step(at, op)
		last = op.String()
	}
	var left []Operation
	for i, o := range input {
		if !placed[i] {
			left = append(left, o.Input.(Operation))
		}
	}
	if len(left) == 0 {
		return "no order fits" // the verbose check ran out of time
	}
	sort.Slice(left, func(i, j int) bool { return left[i].Return < left[j].Return })
	why := fmt.Sprintf("%s; no order fits beyond %d of %d operations (version %d in force, after %s)", model.fault(at, left[0]), len(longest), len(input), at.version, last)
	for _, o := range left[:min(mostListed, len(left))] {
		why += "; " + o.String()
	}
	return why
}
