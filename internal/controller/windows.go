package controller

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	ical "github.com/emersion/go-ical"
	"github.com/go-faster/errors"
	"github.com/teambition/rrule-go"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// window is a maintenance window of a server or of a whole zone.
type window struct {
	zone   ident.Zone
	server ident.Server
	from   time.Time
	long   time.Duration
	again  *rrule.Set
	times  []time.Time // when it begins, drawn for a while around drawn
	drawn  time.Time
}

const (
	mostWindows = 1000
	mostLong    = 31 * 24 * time.Hour
)

// decodeCalendar reads one calendar. The library panics on some lines that end too soon; an operator's file
// must not end the process.
func decodeCalendar(d *ical.Decoder) (cal *ical.Calendar, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			cal, err = nil, errors.Errorf("a line ends too soon: %v", fault)
		}
	}()
	return d.Decode()
}

// readWindows reads an iCalendar file: each event names its target in LOCATION, as
// "zone NAME" or "server NAME". With any fault there are no windows.
func readWindows(raw []byte) (l []*window, f fleetplan.Faults) {
	if len(raw) == 0 {
		return nil, nil
	}
	d := ical.NewDecoder(bytes.NewReader(raw))
	for n := 0; ; n++ {
		cal, err := decodeCalendar(d)
		if errors.Is(err, io.EOF) {
			if n != bytes.Count(bytes.ToUpper(raw), []byte("BEGIN:VCALENDAR")) {
				return nil, fleetplan.Faults{{Path: "$", Why: "malformed iCalendar: it is cut short"}}
			}
			break
		}
		if err != nil {
			return nil, fleetplan.Faults{{Path: "$", Why: "malformed iCalendar: " + err.Error()}}
		}
		for _, e := range cal.Events() {
			path := fmt.Sprintf("$.events[%d]", len(l)+len(f))
			if st, _ := e.Status(); st == ical.EventCancelled {
				continue
			}
			w, err := readWindow(e)
			if err != nil {
				f = append(f, fleetplan.Fault{Path: path, Why: err.Error()})
				continue
			}
			l = append(l, w)
		}
	}
	if len(l) > mostWindows {
		f = append(f, fleetplan.Fault{Path: "$", Why: fmt.Sprintf("has %d events, at most %d are allowed", len(l), mostWindows)})
	}
	if len(l) == 0 && len(f) == 0 {
		f = append(f, fleetplan.Fault{Path: "$", Why: "has no events; an empty file takes all windows back"})
	}
	if len(f) > 0 {
		return nil, f
	}
	return l, nil
}

func readWindow(e ical.Event) (w *window, err error) {
	w = &window{}
	at, err := e.Props.Text(ical.PropLocation)
	if err != nil {
		return w, errors.Wrap(err, "LOCATION")
	}
	what, name, ok := strings.Cut(strings.TrimSpace(at), " ")
	switch {
	case ok && what == "zone":
		w.zone = ident.Zone(strings.TrimSpace(name))
	case ok && what == "server":
		w.server = ident.Server(strings.TrimSpace(name))
	default:
		return w, errors.Errorf(`LOCATION wants "zone NAME" or "server NAME", has %q`, at)
	}
	if w.from, err = e.DateTimeStart(time.UTC); err != nil {
		return w, errors.Wrap(err, "DTSTART")
	}
	end, err := e.DateTimeEnd(time.UTC)
	if err != nil {
		return w, errors.Wrap(err, "DTEND")
	}
	if w.long = end.Sub(w.from); w.long <= 0 || w.long > mostLong {
		return w, errors.Errorf("lasts %v: wants more than nothing and at most 31 days", w.long)
	}
	if r, err := e.Props.RecurrenceRule(); err != nil {
		return w, errors.Wrap(err, "RRULE")
	} else if r != nil && r.Freq > rrule.DAILY {
		return w, errors.New("RRULE: comes more often than daily")
	}
	if w.again, err = e.RecurrenceSet(time.UTC); err != nil {
		return w, errors.Wrap(err, "RRULE")
	}
	return w, nil
}

// runs tells whether the window, begun early by the lead, is open at a wall time.
func (w *window) runs(now time.Time, lead time.Duration) bool {
	if d := now.Sub(w.drawn); w.drawn.IsZero() || d < 0 || d > 12*time.Hour {
		w.drawn, w.times = now, []time.Time{w.from}
		if w.again != nil {
			w.times = w.again.Between(now.Add(-w.long), now.Add(13*time.Hour+2*lead), true)
		}
	}
	for _, t := range w.times {
		if !now.Before(t.Add(-lead)) && now.Before(t.Add(w.long)) {
			return true
		}
	}
	return false
}

// watchWindows opens and closes windows. It is the one place where wall time counts: a
// clock that jumps closes servers to new work early or late, and nothing else.
func (c *Core) watchWindows() {
	if c.o.Wall == nil || c.now < c.shutAt {
		return
	}
	c.shutAt = c.now.Add(1e9)
	now := c.o.Wall()
	zones, servers := map[ident.Zone]bool{}, map[ident.Server]bool{}
	c.soonZ, c.soonS = map[ident.Zone]bool{}, map[ident.Server]bool{}
	for _, w := range c.windows {
		if !w.runs(now, c.o.Lead) {
			// As long again before it closes, what is only there is loaded elsewhere.
			if w.runs(now, 2*c.o.Lead) && w.zone != "" {
				c.soonZ[w.zone] = true
			} else if w.runs(now, 2*c.o.Lead) {
				c.soonS[w.server] = true
			}
			continue
		}
		if w.zone != "" {
			zones[w.zone] = true
		} else {
			servers[w.server] = true
		}
	}
	same := len(zones) == len(c.shutZ) && len(servers) == len(c.shutS)
	for z := range zones {
		same = same && c.shutZ[z]
	}
	for s := range servers {
		same = same && c.shutS[s]
	}
	if !same {
		c.shutZ, c.shutS = zones, servers
		c.note(fmt.Sprintf("maintenance: %d zones and %d servers are closed to new work", len(zones), len(servers)))
		c.touchAll()
	}
}

func (c *Core) closed(z ident.Zone, s ident.Server) bool { return c.shutZ[z] || c.shutS[s] }

func (c *Core) putWindows(a Admin) {
	if _, f := readWindows(a.Raw); f != nil {
		c.answer(a, Receipt{Kind: failure.Faulty, Faults: f})
		return
	}
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		d.Windows = a.Raw
		return failure.None, nil
	})
}
