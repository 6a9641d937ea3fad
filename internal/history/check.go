package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// MergeFunc applies a patch to a plan. It returns false if the patch is not applicable.
type MergeFunc func(plan, patch []byte) ([]byte, bool)

// Verdict is the outcome of a check.
type Verdict int

// The verdicts.
const (
	Linearizable Verdict = iota
	Violated
	Unknown // the check timed out without a result
)

// Result is the result of a check.
type Result struct {
	Verdict    Verdict
	Operations int
	Reason     string // reason for a verdict other than Linearizable
}

// maxListed is the maximum number of operations listed with a violation.
const maxListed = 4

// Check determines whether a history is linearizable. It gives up after the given wall-clock time.
func Check(operations []Operation, merge MergeFunc, timeout time.Duration) Result {
	result := Result{Operations: len(operations)}
	operations = reduce(operations)
	input := make([]porcupine.Operation, len(operations))
	for i, o := range operations {
		input[i] = porcupine.Operation{ClientId: i, Input: o, Call: o.Invoke, Return: o.Return}
	}
	model := newRegister(merge)
	switch porcupine.CheckOperationsTimeout(model.porcupine(), input, timeout) {
	case porcupine.Ok:
		return result
	case porcupine.Unknown:
		result.Verdict, result.Reason = Unknown, fmt.Sprintf("%d operations could not be checked within %v", len(operations), timeout)
		return result
	}
	result.Verdict = Violated
	result.Reason = explain(model, input, timeout)
	return result
}

// explain describes the first operation that fits no linearization, based on the longest partial linearization found.
func explain(model *register, input []porcupine.Operation, timeout time.Duration) string {
	_, info := porcupine.CheckOperationsVerbose(model.porcupine(), input, timeout)
	var longest []int
	for _, partition := range info.PartialLinearizations() {
		for _, order := range partition {
			if len(order) > len(longest) {
				longest = order
			}
		}
	}
	current := initial()
	placed := map[int]bool{}
	last := ""
	for _, i := range longest {
		placed[i] = true
		op := input[i].Input.(Operation)
		_, current = model.step(current, op)
		last = op.String()
	}
	var unplaced []Operation
	for i, o := range input {
		if !placed[i] {
			unplaced = append(unplaced, o.Input.(Operation))
		}
	}
	if len(unplaced) == 0 {
		return "no order fits" // the verbose check timed out
	}
	sort.Slice(unplaced, func(i, j int) bool { return unplaced[i].Return < unplaced[j].Return })
	why := fmt.Sprintf("%s; no order fits beyond %d of %d operations (version %d in force, after %s)", model.explainMismatch(current, unplaced[0]), len(longest), len(input), current.version, last)
	for _, o := range unplaced[:min(maxListed, len(unplaced))] {
		why += "; " + o.String()
	}
	return why
}
