package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// fleetSize is how large a fleet of a test is.
type fleetSize struct {
	routers, servers, models, requestedPerRouter, heldPerServer int
}

// largeFleet is a fleet of hundreds of routers before hundreds of servers that are full.
var largeFleet = fleetSize{routers: 295, servers: 240, models: 449, requestedPerRouter: 20, heldPerServer: 3}

// parts gives the fleet of a part of the size.
func (s fleetSize) part(n, of int) fleetSize {
	return fleetSize{routers: s.routers * n / of, servers: s.servers * n / of, models: s.models * n / of, requestedPerRouter: s.requestedPerRouter, heldPerServer: s.heldPerServer}
}

const (
	modelSize            = 4
	storeLoadsPerSecond  = 71.0 // a second
	storeConcurrentLoads = 109
	requestLoad          = 0.002 // seconds of a server's time
	requestsPerRenewal   = 1     // that a router is asked for of a model between two renewals
)

// largePlan is a plan of so many models, of which a server has room for some.
func largePlan(size fleetSize) (*fleetplan.Plan, []ident.Key) {
	var models []ident.Key
	for i := range size.models {
		models = append(models, ident.Key(fmt.Sprintf("llm|m%04d", i)))
	}
	p := modelPlan(modelSize*size.heldPerServer, models...)
	service := p.Services["llm"]
	service.Loads, service.Slots = storeLoadsPerSecond, 96
	p.Services["llm"] = service
	p.Loads = storeConcurrentLoads
	return p, models
}

// newLargeFleet begins three core nodes, full servers and routers that are asked for models that some server has.
func newLargeFleet(t testing.TB, size fleetSize) (*cluster, []ident.Key) {
	plan, models := largePlan(size)
	c := newTunedCluster(t, plan, func(*Options) {}, "a", "b", "c")
	for i := range size.servers {
		m := c.serve(fmt.Sprintf("s%04d", i))
		for j := range size.heldPerServer {
			key := models[(i*size.heldPerServer+j)%size.models]
			m.holds[key], m.had[key] = true, true
		}
		m.snap()
	}
	for i := range size.routers {
		c.route(fmt.Sprintf("r%04d", i))
	}
	return c, models
}

// askAll has every router be asked for some of the models between two places of the list, those before more often.
func setRequests(c *cluster, models []ident.Key, size fleetSize, seed uint64) {
	dice := rand.New(rand.NewPCG(seed, 1))
	for i := range size.routers {
		r := c.routers[fmt.Sprintf("r%04d", i)]
		clear(r.burden)
		for len(r.burden) < size.requestedPerRouter {
			key := models[int(dice.Float64()*dice.Float64()*float64(len(models)))]
			r.burden[key] = protocol.Burden{}
		}
	}
}

// serveRequests has routers report what waits and what is under way, and gives the part of what they are asked for that they may send.
func reportRequests(c *cluster, size fleetSize) float64 {
	sent, all := 0, 0
	for i := range size.routers {
		r := c.routers[fmt.Sprintf("r%04d", i)]
		for key := range r.burden {
			all++
			u := protocol.Burden{Came: requestsPerRenewal, Load: requestLoad, Top: 1}
			if c.at < r.until && len(r.entries[key]) > 0 {
				sent++
				u.Work = 1
			} else {
				u.Wait = 1
			}
			r.burden[key] = u
		}
	}
	return float64(sent) / float64(all)
}

// servedOver lets time go by and gives the mean part of the requests that routers may send.
func meanServed(c *cluster, size fleetSize, span clock.Span) float64 {
	const look = clock.Span(100e6)
	sum, looks := 0.0, 0
	for end := c.at.Add(span); c.at < end; {
		c.run(look)
		sum += reportRequests(c, size)
		looks++
	}
	return sum / float64(looks)
}

// skipWhenShort leaves fleets of hundreds to the run of the check that has no race detector.
func skipWhenShort(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a fleet of hundreds of routers")
	}
}

// ownerShare is the part of a core that a core node of a large deployment has.
const ownerCPUShare = 0.512

// newServingFleet begins a large fleet with bounded core nodes that serves what it is asked for, and gives what has that shift and
// the part that was served before.
func newServingFleet(t *testing.T, seed uint64) (c *cluster, shift func(), before float64) {
	size := largeFleet
	c, models := newLargeFleet(t, size)
	setRequests(c, models[:size.models*2/3], size, seed)
	meanServed(c, size, 8e9)
	c.bound(ownerCPUShare)
	before = meanServed(c, size, 2e9)
	require.Greater(t, before, 0.95, "the fleet serves what it is asked for")
	return c, func() { setRequests(c, models[size.models/3:], size, seed+100) }, before
}

// A shift of what is asked for, while servers are full, must be over once the models have been loaded.
func TestModelShiftDoesNotLeaveTheOwnerOverloaded(t *testing.T) {
	skipWhenShort(t)
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c, shift, before := newServingFleet(t, seed)
			owner := c.owner()
			shift()
			meanServed(c, largeFleet, 8e9)
			after := meanServed(c, largeFleet, 2e9)
			require.GreaterOrEqual(t, after, 0.95*before, "what is served after the shift is what was served before it")
			require.Equal(t, owner, c.owner(), "the owner keeps its term")
			require.Zero(t, c.lead().tally.Lapses, "no router's lease runs out")
		})
	}
}

// recoverySpan is within what the fleet serves again after an owner was lost: the users' bound.
const recoveryBound = clock.Span(15e9)

// An owner that stands still just as what is asked for shifts: its successor serves every router that lost its lease.
func TestFleetServesAgainAfterTheOwnerFrozeDuringAModelShift(t *testing.T) {
	skipWhenShort(t)
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c, shift, before := newServingFleet(t, seed)
			shift()
			c.processors[c.owner()].freeze(c.at, 5e9)
			meanServed(c, largeFleet, recoveryBound)
			require.GreaterOrEqual(t, meanServed(c, largeFleet, 2e9), 0.95*before)
		})
	}
}

// visitsOf tells how much the owner looks at for an input.
func countVisits(c *cluster, in any) int {
	owner := c.lead()
	before := owner.tally.Visits
	c.step(c.owner(), in)
	return int(owner.tally.Visits - before)
}

// What a message costs the owner goes by what it says, not by how large the fleet is.
func TestOwnersWorkForAMessageDoesNotGrowWithTheFleet(t *testing.T) {
	skipWhenShort(t)
	type work struct{ renewal, beacon int }
	measure := func(size fleetSize) work {
		c, models := newLargeFleet(t, size)
		setRequests(c, models[:size.models/2], size, 1)
		meanServed(c, size, 5e9)
		r := c.routers["r0001"]
		r.seq++
		for key := range r.burden {
			r.burden[key] = protocol.Burden{Wait: 1, Came: 1}
		}
		renewal := protocol.Renew{Session: r.ses, Seq: r.seq, Gen: 1, Epoch: 1, Heard: r.heard, Burden: r.burden}
		s := c.models["at-s0001"]
		s.beats++
		return work{
			renewal: countVisits(c, r.mail(renewal)),
			beacon:  countVisits(c, Announce{Token: 1 << 32, Beacon: protocol.Beacon{Listed: s.Listed, Count: s.beats}}),
		}
	}
	small, large := measure(largeFleet.part(1, 10)), measure(largeFleet)
	require.LessOrEqual(t, large.renewal, small.renewal+largeFleet.requestedPerRouter, "a renewal: %v, %v", small, large)
	require.LessOrEqual(t, large.beacon, small.beacon, "an announcement: %v, %v", small, large)
}
