package controller

import (
	"slices"

	"tidedeck/internal/protocol"
)

// maxDeltaBases is how many earlier configurations the leader keeps in order to send the newest one as a difference.
const maxDeltaBases = 4

// configurationDeltas holds the configurations that routers may still have, and the differences of the newest one from them.
type configurationDeltas struct {
	bases     []*protocol.Desired                            // oldest first
	encodings map[*protocol.Desired]*protocol.SharedEncoding // of the newest configuration, by base
}

// replace records that a configuration is no longer the newest one.
func (d *configurationDeltas) replace(earlier *protocol.Desired) {
	d.encodings = map[*protocol.Desired]*protocol.SharedEncoding{}
	if earlier == nil || len(earlier.Plan) == 0 {
		return
	}
	d.bases = append(d.bases, earlier)
	d.bases = slices.Clone(d.bases[max(0, len(d.bases)-maxDeltaBases):])
}

// baseFor returns the configuration that a router has, if the newest one may be sent to it as a difference.
func (d *configurationDeltas) baseFor(l *link) *protocol.Desired {
	if !l.appliesDeltas {
		return nil
	}
	for _, base := range d.bases {
		if base.Gen == l.gen && base.Epoch == l.epoch {
			return base
		}
	}
	return nil
}

// encodingFrom returns the encoding of the difference from a base, which all routers with that base share.
func (d *configurationDeltas) encodingFrom(base *protocol.Desired) *protocol.SharedEncoding {
	if d.encodings[base] == nil {
		d.encodings[base] = &protocol.SharedEncoding{}
	}
	return d.encodings[base]
}

// sendWhole has the configurations among the unacknowledged changes of a link sent whole.
func (l *link) sendWhole(newest *protocol.Desired, encoding *protocol.SharedEncoding) {
	for i := range l.unacked {
		if l.unacked[i].Base == nil {
			continue
		}
		l.unacked[i].Base, l.unacked[i].Shared = nil, nil
		if l.unacked[i].Desired == newest {
			l.unacked[i].Shared = encoding
		}
	}
}

// awaitsDelta reports whether a configuration that was sent as a difference is not acknowledged.
func (l *link) awaitsDelta() bool {
	return slices.ContainsFunc(l.unacked, func(i change) bool { return i.Desired != nil && i.Base != nil })
}
