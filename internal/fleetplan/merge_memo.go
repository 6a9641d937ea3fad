package fleetplan

import (
	"bytes"
	"sync"
)

// MergeMemo applies changes to plans and caches the most recent results. Applying a change to a large plan takes a
// while; the caller that delivers the change can apply it in advance, and a change that is proposed again is not
// applied again.
type MergeMemo struct {
	Merge func(plan, change []byte) ([]byte, Faults)

	mu      sync.Mutex // guards entries
	entries []mergeEntry
}

type mergeEntry struct {
	plan, change, result []byte
}

// Apply returns the plan that results from a change.
func (m *MergeMemo) Apply(plan, change []byte) ([]byte, Faults) {
	if result := m.find(plan, change); result != nil {
		return result, nil
	}
	result, faults := m.Merge(plan, change)
	if faults != nil {
		return nil, faults
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, mergeEntry{plan, change, result})
	if len(m.entries) > memoSize {
		m.entries = append([]mergeEntry{}, m.entries[1:]...)
	}
	return result, nil
}

func (m *MergeMemo) find(plan, change []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range m.entries {
		if bytes.Equal(entry.change, change) && bytes.Equal(entry.plan, plan) {
			return entry.result
		}
	}
	return nil
}
