// Package soak runs the hosted programs as real processes on one machine, with real sockets, while troubles
// drawn from a seed overlap: kills, stops, freezes, reloads, cuts, lost answers, lost disks, and callers, servers
// and operators that misbehave. What callers, servers and operators see is held against the promises; the
// invariants that run in the code are read from each process.
package soak

import (
	"time"

	"tidedeck/platform/peer"
)

// Options of one run.
type Options struct {
	Programs string // folder with the built programs
	Folder   string // for data, settings and logs
	Seed     uint64
	Cores    int
	Routers  int
	Servers  int           // that hold models; there are two plain ones besides for each of two services
	Callers  int           // each with one request at a time
	Length   time.Duration // of the troubles
	Safety   bool          // only what holds however slow the machine is; bounds on time are left out
	Trace    func(string)  // hears of each trouble
	Only     []string      // kinds of trouble that come, by their names; all if none is named
	Memory   func(MemorySample)
}

// zones of a fleet.
var zones = []string{"za", "zb", "zc"}

// The deployment's bounds: those of the small sites.
const (
	beatPeriod   = 1200 * time.Millisecond
	contactSpan  = 3 * time.Second
	ackSpan      = 4 * time.Second
	catchUpSpan  = 4 * time.Second
	drainSpan    = 2 * time.Second
	graceSpan    = 8 * time.Second
	applySpan    = 2 * time.Second
	recoverySpan = 12 * time.Second
	thawSpan     = 300 * time.Millisecond
)

var bounds = peer.Bounds{
	"peerDelayS": 3, "reuseDelayS": 2, "contactMs": contactSpan.Milliseconds(), "acknowledgeMs": ackSpan.Milliseconds(), "convergenceS": catchUpSpan.Seconds(),
	"drainCutoffMs": drainSpan.Milliseconds(), "toleranceS": graceSpan.Seconds(), "lossSlackMs": 200, "applyMs": applySpan.Milliseconds(), "reversionMs": 250,
	"stretchMs": 5000, "retryFraction": 0.2, "retryWindowS": 10, "retryMargin": 58, "recoveryS": recoverySpan.Seconds(), "transitMs": 120,
	"backoffS": 0, "fenceChecked": false, "tenureMs": 3000, "unfreezeMs": thawSpan.Milliseconds(), "peakWindowS": 5, "peakExcess": 1.1,
}

// The services and routes that callers use; every configuration has them.
const (
	modelService = "llm"
	plainService = "web"
	otherService = "web2"
	callersHost  = "soak.example"

	pathIdempotent = "/i/"
	pathEffectful  = "/e/"
	pathResumable  = "/s/"
	pathStream     = "/c/"
	pathPlain      = "/w/"
	pathMoving     = "/m/" // its service changes with the configuration

	modelCount   = 6
	modelMb      = 10_000
	serverMb     = 40_000
	slotsOfModel = 16
	slotsOfPlain = 8
	loadSpan     = 200 * time.Millisecond
	horizonSpan  = 4 * time.Second
)
