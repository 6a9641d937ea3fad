package fleetplan

import "bytes"

// Memo parses plans and caches the most recent ones. Parsing a large plan takes a while; the caller that delivers a
// plan can parse it in advance, so that the core which applies it is not blocked.
type Memo struct {
	Read func([]byte) (*Plan, Faults)

	recent recent[parsedPlan]
}

// parsedPlan is a plan with the text that it was parsed from.
type parsedPlan struct {
	raw  []byte
	plan *Plan
}

// Memory that a parsed plan takes for each of its parts, in bytes.
const (
	modelBytes = 300
	routeBytes = 1000
)

// Plan returns the parsed plan. Plans are immutable after parsing, so callers may share them.
func (m *Memo) Plan(raw []byte) (*Plan, Faults) {
	if p, ok := m.recent.find(func(p parsedPlan) bool { return bytes.Equal(p.raw, raw) }); ok {
		return p.plan, nil
	}
	plan, faults := m.Read(raw)
	if faults != nil {
		return nil, faults
	}
	m.recent.add(parsedPlan{raw, plan}, len(raw)+modelBytes*len(plan.Models)+routeBytes*len(plan.Routes))
	return plan, nil
}
