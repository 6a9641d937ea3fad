package simulator

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
)

// Narrow bounds what machines can do in a second: what their links carry, and how long a process is busy with a
// configuration. Without it a message takes the same time whatever its size, and a process none at all.
type Narrow struct {
	RouterBandwidth float64    // bytes that a router's link carries in a second, each way
	CoreBandwidth   float64    // and a core node's
	RouterParseTime clock.Span // that a router's process is busy with each configuration it takes in

	CoreParseTime clock.Span // that a core node's process is busy with each message that carries a configuration
}

// smallMessage is what a message without a configuration counts for on a link, with its headers.
const baseMessageSize = 400

// carried gives how long a message waits for the links between two machines, and takes its turn on them.
func (w *World) carried(from, to *proc, e protocol.Env) clock.Span {
	n := w.o.Narrow
	if n == nil {
		return 0
	}
	size := w.messageSize(e)
	done := w.reserveLink("from "+from.box, w.now, size/n.bandwidth(from))
	done = w.reserveLink("to "+to.box, done, size/n.bandwidth(to))
	return done.Sub(w.now)
}

func (n *Narrow) bandwidth(p *proc) float64 {
	if isCore(p.box) {
		return n.CoreBandwidth
	}
	return n.RouterBandwidth
}

// occupy takes a turn of so many seconds on a link, after those that came before.
func (w *World) reserveLink(link string, from clock.Tick, seconds float64) clock.Tick {
	end := max(from, w.links[link]).Add(clock.Span(seconds * 1e9))
	w.links[link] = end
	return end
}

// sizeOf gives the bytes of a message. Only what carries a configuration is large.
func (w *World) messageSize(e protocol.Env) float64 {
	size := float64(baseMessageSize)
	if news, ok := e.Body.(protocol.News); ok {
		for _, i := range news.Items {
			if i.Desired != nil {
				packed, err := i.MarshalJSON()
				if err != nil {
					panic(err) // only our own plain types come here
				}
				size += float64(len(packed))
			}
		}
	}
	if value := configurationIn(e.Body); value != nil {
		size += float64(len(value.Plan))
	}
	return size
}

// carriedValue gives the configuration that a message between core nodes carries, if it does.
func configurationIn(body any) *protocol.Desired {
	switch b := body.(type) {
	case protocol.Accept:
		return &b.Value
	case protocol.Promise:
		return b.Value
	case protocol.Value:
		return b.Value
	}
	return nil
}

// keepBusy keeps a process busy with the configurations that a message brought. A router's agent shares its process.
func (w *World) keepBusy(p *proc, in any) {
	n := w.o.Narrow
	if n == nil {
		return
	}
	if e, ok := in.(protocol.Env); ok && isCore(p.box) {
		if value := configurationIn(e.Body); value != nil && len(value.Plan) > 0 {
			p.busy = max(w.now, p.busy).Add(n.CoreParseTime)
		}
		return
	}
	core, ok := p.core.(*router.Core)
	if !ok {
		return
	}
	if plans := core.Counts().Plans; plans != p.plans {
		p.plans = plans
		for _, other := range w.procs {
			if other.box == p.box {
				other.busy = max(w.now, other.busy).Add(n.RouterParseTime)
			}
		}
	}
}
