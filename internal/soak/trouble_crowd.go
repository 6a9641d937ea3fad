package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Ports between nodes by their use, as offsets from the first one.
const (
	routerNodePort  = firstPeerPort + 2
	routerAdminPort = firstPeerPort + 3
	coreNodePort    = firstPeerPort
	coreAdminPort   = firstPeerPort + 1
)

var (
	routerDoors = []int{portIngress, portReadiness, routerNodePort, routerAdminPort, portMetrics}
	coreDoors   = []int{portControl, coreNodePort, coreAdminPort, portMetrics}
)

// addressesOf returns the addresses of ports of a machine's process.
func addressesOf(m *machine, ports []int) (addresses []string) {
	for _, port := range ports {
		addresses = append(addresses, hostPort(m.bindIP, port))
	}
	return addresses
}

// Crowds of clients that don't behave, beside the other troubles of a run.
const (
	crowdShare         = 0.5 // share of rounds with a crowd
	crowdTroubleSize   = 60
	minCrowdTrouble    = 500 * time.Millisecond
	maxCrowdTrouble    = 6 * time.Second
	crowdTroubleSource = 69 // of the random numbers that draw crowds: other troubles of a seed are the same with and without
)

// crowdMisbehaviors are those that are drawn for any listener.
var crowdMisbehaviors = []misbehavior{
	endlessFirstLine, endlessHeaderLine, endlessHeaderLines, shortHeaderLines, shortHeaderLinesWithinLimits, emptyLines, silence, headByteByByte,
	unfinishedBody, endlessChunks, endlessChunkExtension, endlessTrailer, unfinishedConfiguration, unfinishedAnnouncement, unfinishedFrame,
	unfinishedMessage, garbage,
}

// crowds draws crowds for the machines of a run.
type crowds struct {
	run    *soakRun
	random *rand.Rand
}

func newCrowds(r *soakRun) *crowds {
	return &crowds{run: r, random: rand.New(rand.NewPCG(r.options.Seed, crowdTroubleSource))}
}

// begin begins a crowd at all listeners of a drawn machine, in a share of the rounds. The machine may be stopped, killed or
// frozen meanwhile. The returned function runs until the crowd has ended.
func (c *crowds) begin() (run func(ctx context.Context), ok bool) {
	if !c.run.options.Crowds || c.random.Float64() >= crowdShare {
		return nil, false
	}
	target := c.run.fleet.machines[c.random.IntN(len(c.run.fleet.machines))]
	kind := c.random.IntN(len(crowdMisbehaviors))
	duration := minCrowdTrouble + time.Duration(c.random.Int64N(int64(maxCrowdTrouble-minCrowdTrouble)))
	ports := coreDoors
	if target.role == routerRole {
		ports = routerDoors
	}
	return func(ctx context.Context) {
		defer c.run.checker.beginTrouble("crowd", target.advertisedIP, false)()
		crowd := startCrowd(addressesOf(target, ports), crowdTroubleSize, crowdMisbehaviors[kind])
		defer crowd.end()
		sleep(ctx, duration)
	}, true
}
