package fleetplan

import (
	"bytes"
	"sync"
)

// memoSize is how many plans a Memo remembers: the one in force, and those that are on their way.
const memoSize = 4

// Memo reads plans, and remembers those that it read last. A large plan takes a while to read: it can be read ahead, by
// whoever brings it, so that the core that is to act by it does not stand still.
type Memo struct {
	Read func([]byte) (*Plan, Faults)

	mu   sync.Mutex // guards the rest
	list []remembered
}

type remembered struct {
	raw  []byte
	plan *Plan
}

// Plan gives what bytes come to. Plans are not changed once they are read, so that all may share one.
func (m *Memo) Plan(raw []byte) (*Plan, Faults) {
	if p := m.find(raw); p != nil {
		return p, nil
	}
	p, faults := m.Read(raw)
	if faults != nil {
		return nil, faults
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, remembered{raw, p})
	if len(m.list) > memoSize {
		m.list = append([]remembered{}, m.list[1:]...)
	}
	return p, nil
}

func (m *Memo) find(raw []byte) *Plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.list {
		if bytes.Equal(r.raw, raw) {
			return r.plan
		}
	}
	return nil
}
