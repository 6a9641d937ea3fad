package simulator

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
)

// ResourceLimits limits the bandwidth of links between machines and the speed at which processes parse configurations. Without
// limits, transmission takes the same time for every message size, and processing takes no time.
type ResourceLimits struct {
	RouterBandwidth float64    // bandwidth of a router's link in bytes per second, in each direction
	CoreBandwidth   float64    // bandwidth of a core node's link, likewise
	RouterParseTime clock.Span // processing time of a router per configuration applied

	CoreParseTime clock.Span // processing time of a core node per message that carries a configuration
}

// baseMessageSize is the assumed size in bytes of a message without a configuration, including headers.
const baseMessageSize = 400

// transmissionDelay reserves time on the links between two machines for a message, and returns the resulting
// transmission delay.
func (w *World) transmissionDelay(from, to *proc, e protocol.Envelope) clock.Span {
	n := w.options.Narrow
	if n == nil {
		return 0
	}
	size := w.messageSize(e)
	end := w.reserveLink("from "+from.machine, w.now, size/n.bandwidth(from))
	end = w.reserveLink("to "+to.machine, end, size/n.bandwidth(to))
	return end.Sub(w.now)
}

// bandwidth returns the bandwidth of a process's machine in bytes per second.
func (n *ResourceLimits) bandwidth(p *proc) float64 {
	if isCore(p.machine) {
		return n.CoreBandwidth
	}
	return n.RouterBandwidth
}

// reserveLink reserves a number of seconds on a link, after all earlier reservations, and returns their end.
func (w *World) reserveLink(link string, earliest clock.Instant, seconds float64) clock.Instant {
	end := max(earliest, w.linkBusyUntil[link]).Add(clock.Span(seconds * 1e9))
	w.linkBusyUntil[link] = end
	return end
}

// messageSize returns the size of a message in bytes: the base size and the size of any configurations in it.
func (w *World) messageSize(e protocol.Envelope) float64 {
	size := float64(baseMessageSize)
	if news, ok := e.Body.(protocol.Updates); ok {
		for _, i := range news.Items {
			if i.Desired != nil {
				encoded, err := i.MarshalJSON()
				if err != nil {
					panic(err) // items hold only types of this module that always encode
				}
				size += float64(len(encoded))
			}
		}
	}
	if value := configurationIn(e.Body); value != nil {
		size += float64(len(value.Plan))
	}
	return size
}

// configurationIn returns the configuration that a message between core nodes carries, or nil.
func configurationIn(body any) *protocol.Desired {
	switch b := body.(type) {
	case protocol.Accept:
		return &b.Value
	case protocol.Promise:
		return b.Value
	case protocol.FetchedValue:
		return b.Value
	}
	return nil
}

// chargeParseTime marks a process as busy for the time that it takes to parse the configurations in an input. A
// router and its agent share one process.
func (w *World) chargeParseTime(p *proc, in any) {
	n := w.options.Narrow
	if n == nil {
		return
	}
	if e, ok := in.(protocol.Envelope); ok && isCore(p.machine) {
		if value := configurationIn(e.Body); value != nil && len(value.Plan) > 0 {
			p.busyUntil = max(w.now, p.busyUntil).Add(n.CoreParseTime)
		}
		return
	}
	core, ok := p.core.(*router.Core)
	if !ok {
		return
	}
	if plans := core.Counts().Plans; plans != p.plansApplied {
		p.plansApplied = plans
		for _, other := range w.procs {
			if other.machine == p.machine {
				other.busyUntil = max(w.now, other.busyUntil).Add(n.RouterParseTime)
			}
		}
	}
}
