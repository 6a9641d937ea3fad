package fleetplan

import (
	"bytes"
	"sync"
)

// MergeMemo applies changes to plans, and remembers those that it applied last. A change to a large plan takes a while: it
// can be applied ahead, by whoever brings it, and one that goes through its rounds again is not applied again.
type MergeMemo struct {
	Merge func(plan, change []byte) ([]byte, Faults)

	mu   sync.Mutex // guards the rest
	list []merged
}

type merged struct {
	plan, change, result []byte
}

// Apply gives the plan that a change turns another into.
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
	m.list = append(m.list, merged{plan, change, result})
	if len(m.list) > memoSize {
		m.list = append([]merged{}, m.list[1:]...)
	}
	return result, nil
}

func (m *MergeMemo) find(plan, change []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.list {
		if bytes.Equal(r.change, change) && bytes.Equal(r.plan, plan) {
			return r.result
		}
	}
	return nil
}
