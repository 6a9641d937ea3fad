package explorer

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
	"tidedeck/internal/immutable"
	"tidedeck/internal/protocol"
)

// firstChange is the change confirmed under epoch 1 in every cluster before exploration begins.
const firstChange = "first"

// Bounds of the scripted setup of the initial state, in ticks.
const (
	formTicks  = 40
	electTicks = 12
	quietTicks = 3 // after the election, so that every node learns which node is the leader
)

// InitialState is the state of a scenario from which each run starts.
type InitialState struct {
	scenario Scenario
	nodes    []node
}

// NewInitialState forms the scenario's cluster from empty disks, confirms a first change, and keeps the disks.
func NewInitialState(s Scenario) (*InitialState, error) {
	c := newCluster(s)
	for _, id := range slices.Concat(s.Voters, s.Spares) {
		c.nodes = append(c.nodes, &node{id: id, disk: map[string][]byte{}})
	}
	if s.FirstStart {
		return c.keepNodes(), nil
	}
	c.deliverImmediately = true
	for _, n := range c.nodes {
		c.boot(n)
		c.drain()
	}
	if !c.waitFor(formTicks, func() bool { return c.leader() != nil }) {
		return nil, errors.Errorf("%s: the cluster does not form within %d ticks", s.Name, formTicks)
	}
	c.sendChange(c.leader(), firstChange, 0, 1, false)
	c.drain()
	if c.history.confirmed[firstChange] != 1 {
		return nil, errors.Errorf("%s: the first change is not confirmed", s.Name)
	}
	c.advance(quietTicks)
	if c.history.violation != "" {
		return nil, errors.Errorf("%s: violation while the cluster forms: %s", s.Name, c.history.violation)
	}
	return c.keepNodes(), nil
}

// keepNodes returns the state of the nodes as an initial state.
func (c *Cluster) keepNodes() *InitialState {
	start := &InitialState{scenario: c.scenario}
	for _, n := range c.nodes {
		start.nodes = append(start.nodes, node{id: n.id, disk: n.disk, vote: n.vote, incarnation: n.incarnation})
	}
	return start
}

// observedInterval is the interval between outputs of nodes that are checked for later modifications. Every output would
// double the time of a search.
const observedInterval = 16

func newCluster(s Scenario) *Cluster {
	return &Cluster{scenario: s, now: 1e9, history: newHistory(), handedOut: immutable.Checker{Every: observedInterval}}
}

// NewCluster starts the cluster from its disks, waits for a leader, and executes the scenario's setup.
func (s *InitialState) NewCluster(trace func(string)) (*Cluster, error) {
	c := newCluster(s.scenario)
	c.options.joined, c.deliverImmediately = !s.scenario.FirstStart, true
	if !s.scenario.FirstStart {
		c.history.confirmed[firstChange], c.history.confirmedOrder = 1, []string{firstChange}
	}
	for _, n := range s.nodes {
		n.disk = maps.Clone(n.disk)
		c.nodes = append(c.nodes, &n)
	}
	for _, n := range c.nodes {
		c.boot(n)
		c.drain()
	}
	if err := s.elect(c); err != nil {
		return nil, err
	}
	c.options.joined, c.deliverImmediately = true, false
	c.trace = trace
	for _, a := range s.scenario.Setup {
		if err := c.Apply(a); err != nil {
			return nil, errors.Wrap(err, "setup")
		}
	}
	c.logf("setup complete")
	c.used = Budget{}
	return c, nil
}

// elect waits for a leader, and has the scenario's server announce itself. A first start has neither.
func (s *InitialState) elect(c *Cluster) error {
	if s.scenario.FirstStart {
		return nil
	}
	if !c.waitFor(electTicks, func() bool { return c.leader() != nil }) {
		return errors.Errorf("%s: no leader within %d ticks", s.scenario.Name, electTicks)
	}
	if len(s.scenario.DepartNodes) > 0 {
		c.enqueue(c.leader(), c.announcement("live"))
		c.drain()
	}
	c.advance(quietTicks)
	return nil
}

// leaver is the server of scenarios in which one leaves.
const leaver ident.Server = "leaver"

// announcement returns an announcement of the scenario's server.
func (c *Cluster) announcement(state string) controller.Announce {
	c.announced++
	b := protocol.Announcement{ListedServer: protocol.ListedServer{ID: leaver, Addr: "at-leaver", Zone: "zone-a", State: state, Slots: 1}, Count: c.announced}
	return controller.Announce{Token: c.announced, Beacon: b}
}

// waitFor advances the clock until a condition is met, by at most the given ticks. It reports whether it was met.
func (c *Cluster) waitFor(ticks int, condition func() bool) bool {
	for range ticks {
		if condition() {
			return true
		}
		c.advance(1)
	}
	return condition()
}

// owner returns the node that holds the leadership lease, or nil.
func (c *Cluster) leader() *node {
	for _, n := range c.nodes {
		if !n.up() {
			continue
		}
		if _, owns := n.core.Owns(c.now); owns {
			return n
		}
	}
	return nil
}

// Replay executes a run from the initial state. It stops at the first violation.
func (s *InitialState) Replay(run []Action, trace func(string)) (*Cluster, error) {
	c, err := s.NewCluster(trace)
	if err != nil {
		return nil, err
	}
	for _, a := range run {
		if c.Violation() != "" {
			return c, nil
		}
		if err := c.Apply(a); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Violation describes the first violation of the run so far, or is empty.
func (c *Cluster) Violation() string { return c.history.violation }

// ConfirmedEpoch returns the highest epoch confirmed to an operator.
func (c *Cluster) ConfirmedEpoch() ident.Epoch { return c.history.highestEpoch() }
