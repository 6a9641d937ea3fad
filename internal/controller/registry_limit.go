package controller

import (
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A core node keeps every server that announces itself, and nothing tells a server that exists from one that does not until
// it is silent. So the memory for all of them together is limited, and a part of it is for servers that can be reached.

// Memory that an announced server takes at a core node, in bytes.
const (
	enrolledServerBytes = 2 << 10 // its record, its state at the leader and what is sent to other nodes
	enrolledKeyBytes    = 384     // each model and adapter that it holds
)

const (
	// growthFactor is by how much known servers may exceed the limit at which new ones are refused: they need more as they load.
	growthFactor = 2
	// reachableFraction is the fraction of the limit, one in so many, beyond which a new server has to be reachable.
	reachableFraction = 2
)

// room tells whether there is memory for an announcement.
type room int

const (
	noRoom room = iota
	roomIfReachable
	hasRoom
)

// limitAnnouncement returns what can be recorded of an announcement, of a server that is known or of a new one (nil), and
// whether there is room for it. A known server that leaves is always heard: what it holds matters no more.
func (c *Core) limitAnnouncement(known *enrolled, a Announce) (protocol.Announcement, room) {
	b := a.Beacon
	if b.State == "gone" || c.o.RegistryBytes == 0 {
		return b, hasRoom
	}
	if known != nil {
		added := int64(known.newKeys(b.ReadyKeys) * enrolledKeyBytes)
		switch {
		case added == 0 || c.registryBytes()+added <= growthFactor*c.o.RegistryBytes:
			return b, hasRoom
		case b.State == "live":
			return b, noRoom
		}
		b.ReadyKeys = known.ReadyKeys
		return b, hasRoom
	}
	switch needed := c.registryBytes() + int64(enrolledServerBytes+len(b.ReadyKeys)*enrolledKeyBytes); {
	case needed > c.o.RegistryBytes:
		return b, noRoom
	case a.Reachable || needed <= c.o.RegistryBytes/reachableFraction:
		return b, hasRoom
	}
	return b, roomIfReachable
}

// registryBytes returns the memory that the announced servers take.
func (c *Core) registryBytes() int64 {
	keys := 0
	for _, e := range c.enrolledServers {
		keys += e.keys()
	}
	return int64(len(c.enrolledServers))*enrolledServerBytes + int64(keys)*enrolledKeyBytes
}

// keys returns how many models and adapters are recorded for a server.
func (e *enrolled) keys() int { return max(len(e.onDisk), len(e.ReadyKeys)) }

// newKeys returns how many of the models and adapters are not recorded for a server.
func (e *enrolled) newKeys(keys []ident.Key) (added int) {
	for _, key := range keys {
		if _, known := e.onDisk[key]; !known {
			added++
		}
	}
	return added
}
