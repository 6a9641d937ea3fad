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
	zone       ident.Zone
	server     ident.Server
	start      time.Time
	duration   time.Duration
	recurrence *rrule.Set
	starts     []time.Time // starts of the occurrences around computedAt
	computedAt time.Time
}

const (
	maxWindows        = 1000
	maxWindowDuration = 31 * 24 * time.Hour
)

// decodeCalendar reads one calendar. The library panics on some truncated lines; an operator's file must not crash the
// process.
func decodeCalendar(d *ical.Decoder) (cal *ical.Calendar, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			cal, err = nil, errors.Errorf("truncated line: %v", fault)
		}
	}()
	return d.Decode()
}

// readWindows parses an iCalendar file. Each event names its target in LOCATION, as "zone NAME" or "server NAME". If
// there are faults, it returns no windows.
func readWindows(raw []byte) (windows []*window, faults fleetplan.Faults) {
	if len(raw) == 0 {
		return nil, nil
	}
	decoder := ical.NewDecoder(bytes.NewReader(raw))
	for calendars := 0; ; calendars++ {
		cal, err := decodeCalendar(decoder)
		if errors.Is(err, io.EOF) {
			if calendars != bytes.Count(bytes.ToUpper(raw), []byte("BEGIN:VCALENDAR")) {
				return nil, fleetplan.Faults{{Path: "$", Why: "malformed iCalendar: the file is truncated"}}
			}
			break
		}
		if err != nil {
			return nil, fleetplan.Faults{{Path: "$", Why: "malformed iCalendar: " + err.Error()}}
		}
		for _, event := range cal.Events() {
			path := fmt.Sprintf("$.events[%d]", len(windows)+len(faults))
			if status, _ := event.Status(); status == ical.EventCancelled {
				continue
			}
			w, err := readWindow(event)
			if err != nil {
				faults = append(faults, fleetplan.Fault{Path: path, Why: err.Error()})
				continue
			}
			windows = append(windows, w)
		}
	}
	if len(windows) > maxWindows {
		faults = append(faults, fleetplan.Fault{Path: "$", Why: fmt.Sprintf("has %d events, at most %d are allowed", len(windows), maxWindows)})
	}
	if len(windows) == 0 && len(faults) == 0 {
		faults = append(faults, fleetplan.Fault{Path: "$", Why: "has no events; send an empty file to remove all windows"})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return windows, nil
}

// readWindow parses one event.
func readWindow(e ical.Event) (w *window, err error) {
	w = &window{}
	location, err := e.Props.Text(ical.PropLocation)
	if err != nil {
		return w, errors.Wrap(err, "LOCATION")
	}
	kind, name, ok := strings.Cut(strings.TrimSpace(location), " ")
	switch {
	case ok && kind == "zone":
		w.zone = ident.Zone(strings.TrimSpace(name))
	case ok && kind == "server":
		w.server = ident.Server(strings.TrimSpace(name))
	default:
		return w, errors.Errorf(`LOCATION wants "zone NAME" or "server NAME", has %q`, location)
	}
	if w.start, err = e.DateTimeStart(time.UTC); err != nil {
		return w, errors.Wrap(err, "DTSTART")
	}
	end, err := e.DateTimeEnd(time.UTC)
	if err != nil {
		return w, errors.Wrap(err, "DTEND")
	}
	if w.duration = end.Sub(w.start); w.duration <= 0 || w.duration > maxWindowDuration {
		return w, errors.Errorf("lasts %v: wants a positive duration of at most 31 days", w.duration)
	}
	if rule, err := e.Props.RecurrenceRule(); err != nil {
		return w, errors.Wrap(err, "RRULE")
	} else if rule != nil && rule.Freq > rrule.DAILY {
		return w, errors.New("RRULE: recurs more often than daily")
	}
	if w.recurrence, err = e.RecurrenceSet(time.UTC); err != nil {
		return w, errors.Wrap(err, "RRULE")
	}
	return w, nil
}

// openAt reports whether the window is open at a wall time, if each occurrence starts earlier by lead.
func (w *window) openAt(now time.Time, lead time.Duration) bool {
	if age := now.Sub(w.computedAt); w.computedAt.IsZero() || age < 0 || age > 12*time.Hour {
		w.computedAt, w.starts = now, []time.Time{w.start}
		if w.recurrence != nil {
			w.starts = w.recurrence.Between(now.Add(-w.duration), now.Add(13*time.Hour+2*lead), true)
		}
	}
	for _, start := range w.starts {
		if !now.Before(start.Add(-lead)) && now.Before(start.Add(w.duration)) {
			return true
		}
	}
	return false
}

// updateWindows updates the sets of closed zones and servers. Only this function depends on wall time. A clock that
// jumps closes servers to new requests too early or too late, and has no other effect.
func (c *Core) updateWindows() {
	if c.o.WallClock == nil || c.now < c.nextWindowUpdate {
		return
	}
	c.nextWindowUpdate = c.now.Add(1e9)
	now := c.o.WallClock()
	zones, servers := map[ident.Zone]bool{}, map[ident.Server]bool{}
	c.closingZones, c.closingServers = map[ident.Zone]bool{}, map[ident.Server]bool{}
	for _, w := range c.windows {
		if !w.openAt(now, c.o.DrainLead) {
			// Twice the lead before the window, models that have no other replica are loaded elsewhere.
			if w.openAt(now, 2*c.o.DrainLead) && w.zone != "" {
				c.closingZones[w.zone] = true
			} else if w.openAt(now, 2*c.o.DrainLead) {
				c.closingServers[w.server] = true
			}
			continue
		}
		if w.zone != "" {
			zones[w.zone] = true
		} else {
			servers[w.server] = true
		}
	}
	unchanged := len(zones) == len(c.closedZones) && len(servers) == len(c.closedServers)
	for z := range zones {
		unchanged = unchanged && c.closedZones[z]
	}
	for s := range servers {
		unchanged = unchanged && c.closedServers[s]
	}
	if !unchanged {
		c.closedZones, c.closedServers = zones, servers
		c.logEvent(fmt.Sprintf("maintenance windows: %d zones and %d servers closed to new requests", len(zones), len(servers)))
		c.refreshAllEntries()
	}
}

// closed reports whether a maintenance window is open for a server or its zone.
func (c *Core) closed(z ident.Zone, s ident.Server) bool {
	return c.closedZones[z] || c.closedServers[s]
}

func (c *Core) putWindows(a Admin) {
	if _, faults := readWindows(a.Raw); faults != nil {
		c.answer(a, Receipt{Kind: failure.FaultyPlan, Faults: faults})
		return
	}
	c.change(a, func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) {
		d.Windows = a.Raw
		return failure.None, nil
	})
}
