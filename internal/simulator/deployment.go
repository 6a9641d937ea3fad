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

// Deployment is where a world's core nodes are, and how many of them may be lost at once.
type Deployment struct {
	Nodes   int
	Losses  int
	Regions int
	RegionDelay clock.Span // from one region to another, one way
	Zones   int
	ByZone  bool // those that are lost at once are all of one zone
}

// formingSeats is how many core nodes a core forms of; further ones join it.
const formingSeats = 3

// drawDeployment draws a deployment from a seed. Zones are spread over the regions, nodes over the zones.
func drawDeployment(seed uint64) *Deployment {
	draw := rand.New(rand.NewPCG(seed, 7))
	d := &Deployment{Nodes: []int{3, 5, 7}[draw.IntN(3)], Zones: 3, Regions: 1 + draw.IntN(3)}
	d.RegionDelay = clock.Span(5e6 + draw.Int64N(30e6))
	d.Losses = 1
	if d.Nodes >= 5 {
		d.Losses = 1 + draw.IntN(2)
	}
	d.ByZone = draw.IntN(3) == 0
	if d.ByZone {
		d.Losses = (d.Nodes + d.Zones - 1) / d.Zones
	}
	return d
}

// fiveVoters is a deployment that bears the loss of any two of its five core nodes.
func fiveVoters(seed uint64) *Deployment {
	d := drawDeployment(seed)
	d.Nodes, d.Losses, d.ByZone = 5, 2, false
	return d
}

func (d *Deployment) String() string {
	kind := "machines"
	if d.ByZone {
		kind = "machines of a zone"
	}
	return fmt.Sprintf("%d core nodes in %d regions, %v apart, %d %s may be lost", d.Nodes, d.Regions, d.RegionDelay, d.Losses, kind)
}

// seat is the place of one core node in a deployment; nodes in it follow one another.
type seat struct {
	node      string
	zone      ident.Zone
	lostUntil clock.Tick // until when it counts as lost
	replacing bool       // a new node is there for it, and the old one not stopped yet
}

// stillDown is the end of a loss that has not ended yet.
const stillDown = clock.Tick(math.MaxInt64)

// coreFleet is the core nodes of a world with a deployment.
type coreFleet struct {
	*Deployment
	seats   []*seat
	stopped []*seat        // stopped for good, which count as lost beside the seats
	nodesNamed   int            // nodes named so far
	region  map[string]int // of each machine
	changed clock.Tick     // when a core node last started, stopped or was cut off
	started map[string]clock.Tick
	removed map[string]clock.Tick // when nodes were gone for good
}

// controller sets the options of a core node as the hosted program does.
func (d *Deployment) setControllerOptions(o *controller.Options, timing controller.Timing) {
	o.Duty, o.Round, o.Tenure, o.Warm, o.Voters = timing.Duty(), timing.Duty()/4, timing.Tenure, true, 2*d.Losses+1
	o.Regions = map[ident.Zone]string{}
	for i := range d.Zones {
		o.Regions[zoneName(i)] = fmt.Sprintf("region-%d", d.regionOf(i))
	}
}

func zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("z%c", 'a'+i)) }

// regionOf tells in which region a zone is.
func (d *Deployment) regionOf(zone int) int { return zone % d.Regions }

// layCore lays out a deployment's core nodes.
func (w *World) addCoreNodes(d *Deployment) {
	w.core = &coreFleet{Deployment: d, region: map[string]int{}, started: map[string]clock.Tick{}, removed: map[string]clock.Tick{}}
	seeds := w.seeds()
	for i := range d.Nodes {
		w.core.seats = append(w.core.seats, &seat{zone: zoneName(i % d.Zones)})
		w.seatNode(w.core.seats[i], seeds)
	}
}

// seatNode adds a new core node, which is not started yet, in a seat.
func (w *World) seatNode(s *seat, seeds []protocol.Sibling) {
	f := w.core
	f.nodesNamed++
	s.node = fmt.Sprintf("controller-%d", f.nodesNamed)
	f.region[s.node] = f.regionOf(int(s.zone[len(s.zone)-1] - 'a'))
	w.addController(s.node, s.zone, seeds)
}

// distance is how much longer a message takes between machines of two regions.
func (w *World) regionDelay(a, b string) clock.Span {
	if w.core == nil || w.core.region[a] == w.core.region[b] {
		return 0
	}
	return w.core.RegionDelay
}

// remove forgets a process that is gone for good.
func (w *World) remove(name string) {
	w.Kill(name)
	w.core.removed[name] = w.now
	delete(w.procs, name)
	for i, n := range w.order {
		if n == name {
			w.order = append(w.order[:i:i], w.order[i+1:]...)
			break
		}
	}
}

// upSeeds are the addresses of the core nodes that are up.
func (w *World) upSeeds() (l []protocol.Sibling) {
	for _, p := range w.controllers() {
		l = append(l, protocol.Sibling{Addr: p.name})
	}
	return l
}

// someUp draws a core node that is up.
func (w *World) someUp() string {
	l := w.controllers()
	if len(l) == 0 {
		return w.some("controller-")
	}
	return l[w.rand.IntN(len(l))].name
}

// voterSets gives the voter set that a core node knows, and the one that it is leaving.
func (w *World) voterSets(p *proc) (voters, prior []protocol.Voter) {
	const token = 1 << 61
	for _, o := range p.core.Step(p.tick(w.now), controller.Admin{Op: "nodes", Token: token}) {
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

// coreStarted notes that a core node starts.
func (w *World) coreStarted(name string) {
	if w.core != nil && strings.HasPrefix(name, "controller-") {
		w.core.changed = w.now
		w.core.started[name] = w.now
	}
}

// coreStopped notes that a core node stops.
func (w *World) noteCoreStop(name string) {
	if w.core != nil && strings.HasPrefix(name, "controller-") {
		w.core.changed = w.now
	}
}
