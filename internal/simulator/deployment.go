package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Deployment describes where a world's core nodes run and how many may fail at the same time.
type Deployment struct {
	Nodes       int
	Losses      int
	Regions     int
	RegionDelay clock.Span // extra one-way delay between regions
	Zones       int
	OneZone     bool // nodes that fail at the same time are all in one zone
}

// initialCoreNodes is the number of core nodes that form the initial core. Further nodes join later.
const initialCoreNodes = 3

// randomDeployment returns a random deployment. Zones are spread over the regions, and nodes over the zones.
func randomDeployment(seed uint64) *Deployment {
	draw := rand.New(rand.NewPCG(seed, 7))
	d := &Deployment{Nodes: []int{3, 5, 7}[draw.IntN(3)], Zones: 3, Regions: 1 + draw.IntN(3)}
	d.RegionDelay = clock.Span(5e6 + draw.Int64N(30e6))
	d.Losses = 1
	if d.Nodes >= 5 {
		d.Losses = 1 + draw.IntN(2)
	}
	d.OneZone = draw.IntN(3) == 0
	if d.OneZone {
		d.Losses = (d.Nodes + d.Zones - 1) / d.Zones
	}
	return d
}

// fiveNodeDeployment returns a deployment of five core nodes that tolerates the loss of any two.
func fiveNodeDeployment(seed uint64) *Deployment {
	d := randomDeployment(seed)
	d.Nodes, d.Losses, d.OneZone = 5, 2, false
	return d
}

func (d *Deployment) String() string {
	kind := "machines"
	if d.OneZone {
		kind = "machines of a zone"
	}
	return fmt.Sprintf("%d core nodes in %d regions, %v apart, %d %s may be lost", d.Nodes, d.Regions, d.RegionDelay, d.Losses, kind)
}

// seat is the position of a core node in a deployment. A replacement node takes over its predecessor's seat.
type seat struct {
	node      string
	zone      ident.Zone
	lostUntil clock.Instant // time until which the node counts as lost
	replacing bool          // the replacement has started, and the old node has not stopped yet
}

// noEnd marks a loss whose end is not known yet.
const noEnd = clock.Instant(math.MaxInt64)

// coreFleet holds the core nodes of a world with a deployment.
type coreFleet struct {
	*Deployment
	seats      []*seat
	stopped    []*seat        // nodes stopped for good, which count as lost in addition to the seats
	nodesNamed int            // number of node names used so far
	region     map[string]int // by machine name
	changedAt  clock.Instant  // when a core node last started, stopped or was disconnected
	startedAt  map[string]clock.Instant
	removedAt  map[string]clock.Instant // when nodes were removed for good
}

// setControllerOptions sets the options of a core node as the hosted program does.
func (d *Deployment) setControllerOptions(o *controller.Options, timing controller.Timing) {
	o.LeadershipLease, o.ReadInterval, o.Tenure, o.Preload, o.Voters = timing.LeadershipLease(), timing.LeadershipLease()/4, timing.Tenure, true, 2*d.Losses+1
	o.Regions = map[ident.Zone]string{}
	for i := range d.Zones {
		o.Regions[zoneName(i)] = fmt.Sprintf("region-%d", d.regionOf(i))
	}
}

func zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("z%c", 'a'+i)) }

// regionOf returns the region of a zone.
func (d *Deployment) regionOf(zone int) int { return zone % d.Regions }

// addCoreNodes creates a deployment's core nodes.
func (w *World) addCoreNodes(d *Deployment) {
	w.core = &coreFleet{Deployment: d, region: map[string]int{}, startedAt: map[string]clock.Instant{}, removedAt: map[string]clock.Instant{}}
	seeds := w.seeds()
	for i := range d.Nodes {
		w.core.seats = append(w.core.seats, &seat{zone: zoneName(i % d.Zones)})
		w.addNodeToSeat(w.core.seats[i], seeds)
	}
}

// addNodeToSeat adds a new core node to a seat without starting it.
func (w *World) addNodeToSeat(s *seat, seeds []protocol.Peer) {
	f := w.core
	f.nodesNamed++
	s.node = fmt.Sprintf("controller-%d", f.nodesNamed)
	f.region[s.node] = f.regionOf(int(s.zone[len(s.zone)-1] - 'a'))
	w.addController(s.node, s.zone, seeds)
}

// regionDelay returns the extra delay of a message between two machines.
func (w *World) regionDelay(a, b string) clock.Span {
	if w.core == nil || w.core.region[a] == w.core.region[b] {
		return 0
	}
	return w.core.RegionDelay
}

// removeProcess removes a process for good.
func (w *World) removeProcess(name string) {
	w.Kill(name)
	w.core.removedAt[name] = w.now
	delete(w.procs, name)
	for i, n := range w.procNames {
		if n == name {
			w.procNames = append(w.procNames[:i:i], w.procNames[i+1:]...)
			break
		}
	}
}

// runningSeeds returns the addresses of the running core nodes.
func (w *World) runningSeeds() (l []protocol.Peer) {
	for _, p := range w.controllers() {
		l = append(l, protocol.Peer{Addr: p.name})
	}
	return l
}

// randomRunningNode returns a random running core node, or any core node if none is running.
func (w *World) randomRunningNode() string {
	l := w.controllers()
	if len(l) == 0 {
		return w.randomNode("controller-")
	}
	return l[w.rand.IntN(len(l))].name
}

// voterSets returns the voter set that a core node knows, and the prior set during a joint configuration.
func (w *World) voterSets(p *proc) (voters, prior []protocol.Voter) {
	const token = 1 << 61
	for _, o := range p.core.Step(p.localTime(w.now), controller.Admin{Op: "nodes", Token: token}) {
		r, ok := o.(controller.Receipt)
		if !ok || r.Token != token {
			w.handleOutput(p, o)
			continue
		}
		voters, _ = r.View["voters"].([]protocol.Voter)
		prior, _ = r.View["prior"].([]protocol.Voter)
	}
	return voters, prior
}

// noteCoreStart records the start of a core node.
func (w *World) noteCoreStart(name string) {
	if w.core != nil && strings.HasPrefix(name, "controller-") {
		w.core.changedAt = w.now
		w.core.startedAt[name] = w.now
	}
}

// noteCoreStop records the stop of a core node.
func (w *World) noteCoreStop(name string) {
	if w.core != nil && strings.HasPrefix(name, "controller-") {
		w.core.changedAt = w.now
	}
}
