package simulator

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
)

// Narrow bounds what machines can do in a second: what their links carry, and how long a router's process is busy with
// a configuration. Without it a message takes the same time whatever its size, and a process none at all.
type Narrow struct {
	RouterLink float64    // bytes that a router's link carries in a second, each way
	CoreLink   float64    // and a core node's
	Reading    clock.Span // that a router's process is busy with each configuration it takes in
}

// smallMessage is what a message without a configuration counts for on a link, with its headers.
const smallMessage = 400

// carried gives how long a message waits for the links between two machines, and takes its turn on them.
func (w *World) carried(from, to *proc, e protocol.Env) clock.Span {
	n := w.o.Narrow
	if n == nil {
		return 0
	}
	size := w.sizeOf(e)
	done := w.occupy("from "+from.box, w.now, size/n.rate(from))
	done = w.occupy("to "+to.box, done, size/n.rate(to))
	return done.Sub(w.now)
}

func (n *Narrow) rate(p *proc) float64 {
	if isCore(p.box) {
		return n.CoreLink
	}
	return n.RouterLink
}

// occupy takes a turn of so many seconds on a link, after those that came before.
func (w *World) occupy(link string, from clock.Tick, seconds float64) clock.Tick {
	end := max(from, w.links[link]).Add(clock.Span(seconds * 1e9))
	w.links[link] = end
	return end
}

// sizeOf gives the bytes of a message. Only what carries a configuration is large.
func (w *World) sizeOf(e protocol.Env) float64 {
	news, ok := e.Body.(protocol.News)
	if !ok {
		return smallMessage
	}
	size := float64(smallMessage)
	for _, i := range news.Items {
		if i.Desired != nil {
			packed, err := i.MarshalJSON()
			if err != nil {
				panic(err) // only our own plain types come here
			}
			size += float64(len(packed))
		}
	}
	return size
}

// keepBusy keeps a router's process, which its agent shares, busy with the configurations that a message brought.
func (w *World) keepBusy(p *proc) {
	n := w.o.Narrow
	if n == nil {
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
				other.busy = max(w.now, other.busy).Add(n.Reading)
			}
		}
	}
}
