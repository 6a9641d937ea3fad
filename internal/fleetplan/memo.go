package fleetplan

import (
	"bytes"
	"sync"
)

// memoSize is the number of plans that a Memo retains: the current one and those being distributed.
const memoSize = 4

// Memo parses plans and caches the most recent ones. Parsing a large plan takes a while; the caller that delivers a
// plan can parse it in advance, so that the core which applies it is not blocked.
type Memo struct {
	Read func([]byte) (*Plan, Faults)

	mu      sync.Mutex // guards entries
	entries []memoEntry
}

type memoEntry struct {
	raw  []byte
	plan *Plan
}

// Plan returns the parsed plan. Plans are immutable after parsing, so callers may share them.
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
	m.entries = append(m.entries, memoEntry{raw, p})
	if len(m.entries) > memoSize {
		m.entries = append([]memoEntry{}, m.entries[1:]...)
	}
	return p, nil
}

func (m *Memo) find(raw []byte) *Plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range m.entries {
		if bytes.Equal(entry.raw, raw) {
			return entry.plan
		}
	}
	return nil
}
