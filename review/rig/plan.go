package rig

import (
	"fmt"

	"tidedeck/platform/peer"
)

// Names of the two services and of their routes.
const (
	ModelService = "llm"
	PlainService = "desk"
	StreamPath   = "/triage/"
	PlainPath    = "/ack/"
)

// ModelName returns the name of a model.
func ModelName(i int) string { return fmt.Sprintf("base-%02d", i) }

// Configuration returns a configuration with the given number of models, in the manner of corrib-intake.
func Configuration(revision uint64, models, adapters int) peer.Configuration {
	runtime := &peer.Runtime{Capacity: 64, CacheTokens: 151381, TokenBytes: 131072, Bandwidth: 130000, Increment: 3, WeightMb: 200000, Deltas: 8, LoadsPerS: 2.6}
	for i := range models {
		class := peer.ModelClass{Label: ModelName(i), WeightMb: 34300, LoadingS: 1.5, DeltaMb: 40}
		if i < 4 {
			class.Deltas = adapters / 4
		}
		runtime.Models = append(runtime.Models, class)
	}
	return peer.Configuration{
		Revision: revision,
		Routes: []peer.Route{
			{Label: "r-triage", Host: Host, Prefix: StreamPath, Mode: peer.Continuous, HorizonMs: 4000, SetpointMs: 600, Precedence: 1, Service: ModelService, Tries: 1, Pinned: true, EventGapMs: 400},
			{Label: "r-ack", Host: Host, Prefix: PlainPath, Mode: peer.Idempotent, HorizonMs: 1500, SetpointMs: 150, Precedence: 2, Service: PlainService, Tries: 2},
		},
		Services: []peer.Service{
			{Label: ModelService, Probe: peer.PathHealth, Connections: 370, Protocol: "h1", Runtime: runtime},
			{Label: PlainService, Probe: peer.PathHealth, Connections: 110, Protocol: "h1"},
		},
		Limits: peer.Limits{HeadBytes: 16384, BodyBytes: 4 << 20, HeadMs: 3000, IdleMs: 15000},
	}
}
