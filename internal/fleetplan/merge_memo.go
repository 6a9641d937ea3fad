package fleetplan

import "bytes"

// MergeMemo applies changes to plans and caches the most recent results. Applying a change to a large plan takes a
// while; the caller that delivers the change can apply it in advance, and a change that is proposed again is not
// applied again.
type MergeMemo struct {
	Merge func(plan, change []byte) ([]byte, Faults)

	recent recent[mergedPlan]
}

// mergedPlan is the result of a change to a plan.
type mergedPlan struct {
	plan, change, result []byte
}

// Apply returns the plan that results from a change.
func (m *MergeMemo) Apply(plan, change []byte) ([]byte, Faults) {
	matches := func(p mergedPlan) bool { return bytes.Equal(p.change, change) && bytes.Equal(p.plan, plan) }
	if p, ok := m.recent.find(matches); ok {
		return p.result, nil
	}
	result, faults := m.Merge(plan, change)
	if faults != nil {
		return nil, faults
	}
	m.recent.add(mergedPlan{plan, change, result}, len(plan)+len(change)+len(result))
	return result, nil
}
