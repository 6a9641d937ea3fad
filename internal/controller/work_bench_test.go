package controller

import (
	"fmt"
	"testing"

	"tidedeck/internal/protocol"
)

// benchmarkSizes are the fleet sizes in tenths of the large fleet.
var benchmarkSizes = []int{1, 3, 10, 30}

// benchmarkFleets runs a benchmark of the leader with fleets of growing size.
func benchmarkFleets(b *testing.B, measure func(b *testing.B, c *cluster, size fleetSize)) {
	for _, tenths := range benchmarkSizes {
		size := largeFleet.part(tenths, 10)
		b.Run(fmt.Sprintf("routers=%d", size.routers), func(b *testing.B) {
			c, models := newLargeFleet(b, size)
			setRequests(c, models[:size.models*2/3], size, 1)
			meanServed(c, size, 3e9)
			visits := c.leader().tally.Visits
			measure(b, c, size)
			b.ReportMetric(float64(c.leader().tally.Visits-visits)/float64(b.N), "visits/op")
		})
	}
}

func BenchmarkOwnerRenewal(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *cluster, _ fleetSize) {
		owner, r := c.leader(), c.routers["r0001"]
		for b.Loop() {
			r.seq++
			owner.Step(c.at, r.mail(protocol.Renew{Session: r.session, Seq: r.seq, Gen: 1, Epoch: 1, AckedNum: r.heard, KeyLoads: r.keyLoads}))
		}
	})
}

func BenchmarkOwnerAnnouncement(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *cluster, _ fleetSize) {
		owner, s := c.leader(), c.models["at-s0001"]
		for b.Loop() {
			s.ticks++
			owner.Step(c.at, Announce{Token: 1 << 40, Beacon: protocol.Announcement{ListedServer: s.ListedServer, Count: s.ticks}})
		}
	})
}

func BenchmarkOwnerBeat(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *cluster, _ fleetSize) {
		owner := c.leader()
		for b.Loop() {
			owner.Step(c.at, protocol.TimerTick{})
		}
	})
}

// BenchmarkOwnerLook measures one placement run just after the requested models have changed.
func BenchmarkOwnerLook(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *cluster, size fleetSize) {
		_, models := largePlan(size)
		setRequests(c, models[size.models/3:], size, 2)
		c.run(800e6)
		owner := c.leader()
		short := 0
		for b.Loop() {
			b.StopTimer()
			short = len(owner.families().lackingReplicas(owner.bases().keys))
			b.StartTimer()
			owner.runPlacement(0, 0)
		}
		b.ReportMetric(float64(short), "short")
	})
}
