package simulator

import (
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/history"
)

// historyCheckTimeout limits the wall-clock time for checking a run's history.
const historyCheckTimeout = 60 * time.Second

// historyKinds maps operators' requests to operations on the plan register.
var historyKinds = map[string]history.Kind{
	"put": history.Put, "patch": history.Patch, "get": history.Read,
	"empty": history.Touch, "refill": history.Touch, "windows": history.Touch,
}

// recordOperation records an operator's request in the history and returns a function that records its reply.
func (w *World) recordOperation(node string, a controller.Admin) func(controller.Receipt) {
	kind, ok := historyKinds[a.Op]
	if !ok {
		return func(controller.Receipt) {}
	}
	pending := w.Check.history.Invoke(history.Operation{Kind: kind, Node: node, Change: a.Change, ExpectedVersion: uint64(a.Expect), AnyVersion: a.Any,
		AssignedVersion: uint64(a.Number), Body: a.Raw, Invoke: int64(w.now)})
	return func(r controller.Receipt) {
		at := int64(w.now)
		switch {
		case r.Kind == failure.None && kind == history.Read:
			pending.Answered(at, uint64(r.Epoch), r.Plan)
		case r.Kind == failure.None:
			pending.Taken(at, uint64(r.Epoch))
		case r.Kind == failure.Conflict:
			pending.Conflict(at, uint64(r.Epoch))
		case r.Kind == failure.FaultyPlan || r.Kind == failure.Malformed || r.Kind == failure.Unknown:
			pending.Invalid(at)
		case r.Kind == failure.Unclear:
			pending.Unclear()
		default: // not ready or full: the request was not started
			pending.NoEffect()
		}
	}
}

// checkHistory checks that all that operators and readers observed is consistent with a single register.
func (k *Checker) checkHistory() {
	operations := k.history.Operations()
	if k.disksLost { // changes confirmed before the disks were lost may be missing
		operations = history.Prefix(operations, int64(k.disksLostAt))
	}
	result := history.Check(operations, mergePatch, historyCheckTimeout)
	k.Stats.Operations = result.Operations
	k.Violations = k.Violations[:min(len(k.Violations), maxViolations-1)] // leaves space for this check's result
	switch result.Verdict {
	case history.Violated:
		k.violationf("operators' history is not linearizable: %s", result.Reason)
	case history.Unknown:
		k.violationf("operators' history could not be checked: %s", result.Reason)
	}
}

// mergePatch applies a JSON merge patch as core nodes do.
func mergePatch(plan, patch []byte) ([]byte, bool) {
	merged, err := jsonpatch.MergePatch(plan, patch)
	return merged, err == nil
}

// markDisksLost records that all core disks are lost from now on.
func (k *Checker) markDisksLost() {
	if !k.disksLost {
		k.disksLost, k.disksLostAt = true, k.world.now
	}
}
