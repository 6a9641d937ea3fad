// Package soak runs the hosted programs as real processes with real sockets on one machine, under overlapping failures
// drawn from a seed: kills, stops, freezes, reloads, network cuts, lost answers, lost disks, and misbehaving callers,
// servers and operators. It checks the observations of callers, servers and operators against the guarantees of the
// system, and reports invariant violations from the log of each process.
package soak

import (
	"time"

	"tidedeck/platform/peer"
)

// Options configures one run.
type Options struct {
	Programs        string // folder of the built programs
	Folder          string // for data, settings and logs
	Seed            uint64
	Cores           int
	Routers         int
	Servers         int           // model servers; each of the two plain services has two more servers
	Callers         int           // each sends one request at a time
	TroubleDuration time.Duration // how long troubles are injected
	SafetyOnly      bool          // skips time bounds, which a slow machine may miss
	Crowds          bool          // crowds of clients that don't behave connect meanwhile
	UncheckedMemory bool          // skips the check of each process's memory, for instrumented programs
	Trace           func(string)  // receives a line for each event
	OnlyTroubles    []string      // names of the kinds of trouble to inject; all if empty
	OnMemorySample  func(MemorySample)
}

// Zones of a fleet.
var zones = []string{"za", "zb", "zc"}

// Bounds of the deployment: those of small sites.
const (
	announceInterval = 1200 * time.Millisecond
	contactLimit     = 3 * time.Second
	acknowledgeLimit = 4 * time.Second
	convergenceLimit = 4 * time.Second
	drainCutoff      = 2 * time.Second
	stopGrace        = 8 * time.Second
	applyLimit       = 2 * time.Second
	recoveryLimit    = 12 * time.Second
	unfreezeLimit    = 300 * time.Millisecond
)

var deploymentBounds = peer.Bounds{
	"peerDelayS": 3, "reuseDelayS": 2, "contactMs": contactLimit.Milliseconds(), "acknowledgeMs": acknowledgeLimit.Milliseconds(), "convergenceS": convergenceLimit.Seconds(),
	"drainCutoffMs": drainCutoff.Milliseconds(), "toleranceS": stopGrace.Seconds(), "lossSlackMs": 200, "applyMs": applyLimit.Milliseconds(), "reversionMs": 250,
	"stretchMs": 5000, "retryFraction": 0.2, "retryWindowS": 10, "retryMargin": 58, "recoveryS": recoveryLimit.Seconds(), "transitMs": 120,
	"backoffS": 0, "fenceChecked": false, "tenureMs": 3000, "unfreezeMs": unfreezeLimit.Milliseconds(), "peakWindowS": 5, "peakExcess": 1.1,
}

// Services and routes that callers use. Every configuration contains them.
const (
	modelService = "llm"
	plainService = "web"
	otherService = "web2"
	requestHost  = "soak.example"

	pathIdempotent = "/i/"
	pathEffectful  = "/e/"
	pathResumable  = "/s/"
	pathStream     = "/c/"
	pathPlain      = "/w/"
	pathMoving     = "/m/" // its service differs between configurations
	pathSlow       = "/l/" // effectful; its requests take seconds

	slowService        = "slow" // has one server
	slowRequestTimeout = 12 * time.Second

	modelCount       = 6
	modelMb          = 10_000
	serverMb         = 40_000
	modelServerSlots = 16
	plainServerSlots = 8
	loadDuration     = 200 * time.Millisecond
	requestTimeout   = 4 * time.Second
)
