package simulator

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
	"strings"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/history"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/internal/standin"
)

// Bounds that the checkers hold the fleet to.
const (
	maxPlanLag  = 2100e6
	boundGone  = 3100e6
	maxZoneLag  = 5000e6
	maxRecovery  = 12000e6
	maxRetryShare = 0.2
)

// mostBad is how many violations of one run are told.
const maxViolations = 50

// state is one desired state as operators know it.
type desiredState struct {
	epoch ident.Epoch
	raw   []byte
	plan  *fleetplan.Plan
	empty map[ident.Zone]bool
	isPlan   bool
	sentAt  clock.Tick
	confirmedAt  clock.Tick // zero while it is not known to be taken
	rejectedAt  clock.Tick // when it was surely not taken
	supersededAt  clock.Tick // when a newer one was told

	number, base ident.Epoch // that the operator gave it, and that it goes on
}

// Checker watches a world from outside and says what must never be seen.
type Checker struct {
	w       *World
	openCalls    map[router.Ref]*call
	calls   []*call
	Bad     []string
	states  []*desiredState
	runCounts   map[string]int
	lastRuns   map[string]runPlace
	launches    []launchRecord
	routerEpochs  map[string][2]uint64
	routerLives   map[string]int
	duties  map[ident.Duty]string
	gone    map[string]clock.Tick // servers that are leaving, gone or dark, since when
	unloadedAt  map[string]clock.Tick
	Seen    Seen
	healed  clock.Tick
	batch   hostedRecords
	disksLost   bool // all core disks were lost: what was confirmed may be gone
	disksLostAt clock.Tick
	history history.Recorder // what operators and readers saw
}

// Seen is what a run measured.
type Seen struct {
	Asked, Answered, Dropped, Unclear, Cut, Broken, Events int
	Firsts, Retries, Repeats                              int
	CallerRepeats, RefusedRepeats, RepeatedRuns                                  int     // asked again after a break; refused as repeated; ran again, where the server that had run it was gone or another was nearer by then
	WorstRetryShare                                                float64 // worst share of goes that were no first ones, in 10 s
	Admits                                                int     // changes of the voter set
	NeedlessDrops                                              int     // dropped though, as they were, a server had long held the key and had room
	RefusedLate                                                  uint64  // refused by servers as sent too late
	Kinds                                                 map[string]int
	PlanLag, GoneLag, ZoneLag                             clock.Span // worst
	Recovery                                                  clock.Span // from the healing to the first answer
	NoOwner                                               clock.Span // longest time without an owner
	PeakCold                                                  int
	Hits, Lookups, Unchanged, Breaks, Acks, Lapses, Unloads   uint64
	Prompt, Reused                                        uint64
	Pulls, Reigns, Moves, OddReports                             uint64
	Orders, OrdersRefused                                        int        // orders taken and turned away by servers that check no fence
	PeakStoreLoads                                                 int        // most loads from the store that began in 5 s
	Waited                                                  int        // requests that waited for more than 250 ms
	WaitTime                                               clock.Span // and for how long, in all
	Operations                                            int        // of operators and readers, in the history
	lastOwnerAt                                             clock.Tick
}

func newChecker(w *World) *Checker {
	return &Checker{w: w, openCalls: map[router.Ref]*call{}, runCounts: map[string]int{}, lastRuns: map[string]runPlace{}, routerEpochs: map[string][2]uint64{}, routerLives: map[string]int{},
		duties: map[ident.Duty]string{}, gone: map[string]clock.Tick{}, unloadedAt: map[string]clock.Tick{}, batch: newHostedRecords(),
		Seen: Seen{Kinds: map[string]int{}}}
}

func (k *Checker) bad(form string, a ...any) {
	s := fmt.Sprintf("%.3fs %s", float64(k.w.now)/1e9, fmt.Sprintf(form, a...))
	k.w.tracef("BAD %s", s)
	if len(k.Bad) < maxViolations {
		k.Bad = append(k.Bad, s)
	}
}

func (k *Checker) addCall(c *call) {
	k.calls = append(k.calls, c)
	k.Seen.Asked++
	if c.repeat {
		k.Seen.Repeats++
	}
}

// Operators.

// PutPlan hands a plan over and keeps the operator's books.
func (w *World) PutPlan(node string, raw []byte, expect ident.Epoch, any bool, then func(controller.Receipt)) {
	w.change(node, controller.Admin{Op: "put", Raw: raw, Expect: expect, Any: any, Change: fmt.Sprintf("put-%d", w.admin+1)}, then)
}

// Zone empties or refills a zone.
func (w *World) Zone(node, op string, z ident.Zone, then func(controller.Receipt)) {
	w.change(node, controller.Admin{Op: op, Zone: z, Any: true, Change: fmt.Sprintf("%s-%d", op, w.admin+1)}, then)
}

func (w *World) change(node string, a controller.Admin, then func(controller.Receipt)) {
	k := w.Check
	s := &desiredState{sentAt: w.now, raw: a.Raw, isPlan: a.Op == "put", empty: map[ident.Zone]bool{}, number: a.Number, base: a.Expect}
	if s.isPlan {
		s.plan, _ = w.parsePlan(a.Raw)
	}
	k.states = append(k.states, s)
	tries := 0
	var settle func(r controller.Receipt)
	settle = func(r controller.Receipt) {
		// A change whose outcome is not known is asked for again under its id, elsewhere.
		if r.Kind == failure.Unclear && tries < 4 {
			tries++
			w.After(200e6, func() { w.Admin(w.some("controller-"), a, settle) })
			return
		}
		if tries > 0 && r.Kind != failure.None {
			r.Kind = failure.Unclear // an earlier try may have been taken
		}
		w.tracef("operator: %s at %s: %q epoch %d", a.Op, node, r.Kind, r.Epoch)
		switch {
		case r.Kind == failure.None:
			s.epoch, s.confirmedAt = r.Epoch, w.now
			if a.Number != 0 && r.Epoch != a.Number {
				k.bad("a change of number %d was taken as %d", a.Number, r.Epoch)
			}
			if a.Number == 0 && !a.Any && r.Epoch != a.Expect+1 {
				k.bad("a change that expected epoch %d was taken as %d", a.Expect, r.Epoch)
			}
			for _, z := range r.Empty {
				s.empty[z] = true
			}
			for _, o := range k.states {
				if o == s || o.confirmedAt == 0 {
					continue
				}
				if o.epoch == s.epoch && !k.disksLost {
					k.bad("epoch %d was told twice", s.epoch)
				}
				// A plan is over once a newer plan is told, whichever was told first.
				switch {
				case o.epoch < s.epoch && s.isPlan && o.supersededAt == 0:
					o.supersededAt = w.now
				case o.epoch > s.epoch && o.isPlan && s.supersededAt == 0:
					s.supersededAt = w.now
				}
			}
		case r.Kind != failure.Unclear:
			s.rejectedAt = w.now
		}
		if then != nil {
			then(r)
		}
	}
	w.Admin(node, a, settle)
}

// Read reads the plan back and checks that it is the newest, to the byte.
func (w *World) Read(node string, then func(controller.Receipt)) {
	k, at := w.Check, w.now
	w.Admin(node, controller.Admin{Op: "get"}, func(r controller.Receipt) {
		if r.Kind == failure.None && !k.disksLost {
			want := k.newest(at)
			if want != nil && r.Epoch < want.epoch {
				k.bad("read gave epoch %d after %d was told as taken", r.Epoch, want.epoch)
			}
			// It must be the newest plan told up to that epoch, or one whose fate was never told.
			var last *desiredState
			fits := false
			for _, s := range k.states {
				if s.isPlan && s.confirmedAt != 0 && s.epoch <= r.Epoch && (last == nil || s.epoch > last.epoch) {
					last = s
				}
				if s.isPlan && s.confirmedAt == 0 && s.rejectedAt == 0 && bytes.Equal(s.raw, r.Plan) {
					fits = true
				}
			}
			if !fits && (last == nil && len(r.Plan) > 0 || last != nil && !bytes.Equal(last.raw, r.Plan)) {
				k.bad("read under epoch %d gave bytes that were not sent for it", r.Epoch)
			}
		}
		if then != nil {
			then(r)
		}
	})
}

// newest is the newest state told as taken by a moment.
func (k *Checker) newest(at clock.Tick) *desiredState {
	var n *desiredState
	for _, s := range k.states {
		if s.confirmedAt != 0 && s.confirmedAt <= at && (n == nil || s.epoch > n.epoch) {
			n = s
		}
	}
	return n
}

// denials are the kinds that say that the plan does not allow a request.
var denials = []failure.Kind{failure.NoRoute, failure.NoModel, failure.NoKind, failure.NoKey}

// ruling lists the states that may rule somewhere at this moment.
func (k *Checker) possiblyInForce() (l []*desiredState) {
	for _, s := range k.states {
		if s.isPlan && s.rejectedAt == 0 && s.sentAt <= k.w.now && (s.supersededAt == 0 || k.w.now.Sub(s.supersededAt) <= maxPlanLag) {
			l = append(l, s)
		}
	}
	return l
}

// dropped tells whether every plan of a name was surely not taken.
func (k *Checker) planRejected(name string) bool {
	for _, s := range k.states {
		if s.isPlan && s.plan.Name == name && s.rejectedAt == 0 {
			return false
		}
	}
	return name != ""
}

func (k *Checker) allows(s *desiredState, a standin.Ask) bool {
	_, why := s.plan.Match(a.Call.Query(a.Route))
	return why == failure.None
}

// look holds the routers and the core against what operators were told.
func (k *Checker) checkNow() {
	w := k.w
	for _, p := range w.Routers() {
		c := p.core.(*router.Core)
		gen, e, held := c.Rules(p.tick(w.now))
		was := k.routerEpochs[p.name]
		if k.routerLives[p.name] != p.life {
			k.routerLives[p.name], was = p.life, [2]uint64{}
		}
		if gen < was[0] || gen == was[0] && uint64(e) < was[1] {
			k.bad("%s slipped back from epoch %d to %d", p.name, was[1], e)
		}
		k.routerEpochs[p.name] = [2]uint64{gen, uint64(e)}
		if held && w.now >= p.frozenUntil && !k.disksLost {
			for _, s := range k.states {
				if s.confirmedAt != 0 && s.epoch > e {
					lag := w.now.Sub(s.confirmedAt)
					k.Seen.PlanLag = max(k.Seen.PlanLag, lag)
					if lag > maxPlanLag {
						k.bad("%s routes under epoch %d, %v after %d was told", p.name, e, lag, s.epoch)
					}
				}
			}
			if n := c.PlanName(); k.planRejected(n) {
				k.bad("%s rules by plan %q, which was dropped", p.name, n)
			}
		}
	}
	if w.host != nil {
		k.checkHosted()
	}
	var own []string
	for _, p := range w.controllers() {
		if _, ok := p.core.(*controller.Core).Owns(p.tick(w.now)); ok {
			own = append(own, p.name)
		}
	}
	if len(own) > 1 {
		k.bad("two own the duty: %v", own)
	}
	if len(own) == 1 {
		k.Seen.lastOwnerAt = w.now
	} else if k.Seen.lastOwnerAt != 0 {
		k.Seen.NoOwner = max(k.Seen.NoOwner, w.now.Sub(k.Seen.lastOwnerAt))
	}
}

// ordered looks at an order as the server took it.
func (k *Checker) checkOrder(s *proc, o protocol.Order, from string, r protocol.Report, was map[ident.Key]protocol.Held) {
	if o.Op != "" {
		k.w.tracef("%s: duty %d/%d tells %s to %s %s (%d): %q", from, o.Duty, o.Num, s.name, o.Op, o.Key, o.Size, r.Drop)
	}
	if r.Drop == failure.Stale {
		return
	}
	if d, ok := k.duties[o.Duty]; ok && d != from {
		k.bad("two controllers, %s and %s, order under duty %d", d, from, o.Duty)
	}
	k.duties[o.Duty] = from
	if r.Drop == failure.NoRoom {
		k.bad("%s was ordered past its room", s.name)
	}
	at := s.name + "|" + string(o.Key)
	_, had := was[o.Key]
	switch {
	case o.Op == "unload" && r.Drop == failure.Busy:
		for id, f := range k.w.attempts {
			key := ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra)
			if id.server == s.name && id.life == s.life && (key == o.Key || key.Base() == o.Key) && !f.closed && k.w.now.Sub(f.arrivedAt) > 1e9 {
				k.bad("%s was told to unload %s while work was under way", s.name, o.Key)
				break
			}
		}
	case o.Op == "unload" && r.Drop == failure.None && had:
		k.unloadedAt[at] = k.w.now
		k.Seen.Unloads++
		for _, p := range k.w.Routers() {
			if p.core.(*router.Core).Promises(p.tick(k.w.now), o.Key, s.server, r.Inc) {
				k.bad("%s was told to unload %s while %s held a promise on it", s.name, o.Key, p.name)
			}
		}
	case o.Op == "load" && r.Drop == failure.None:
		delete(k.unloadedAt, at)
	}
}

// place is where a request ran, and where its router's entry then said that the key was.
type runPlace struct {
	server string
	life   int
	knownReplicas  string
}

// tried is one go as it was begun.
type launchRecord struct {
	at    clock.Tick
	first bool
}

// launched looks at a go as it is begun: its connection counts, if it comes about or not.
func (k *Checker) countLaunch(c *call) {
	if c == nil {
		return
	}
	if !c.heldBack {
		c.launches++
		k.launches = append(k.launches, launchRecord{k.w.now, c.launches == 1 && !c.repeat})
	}
	c.heldBack = false
}

// windows holds goes that are no first ones against the first ones that earned them: in no 10 s
// may they pass a fifth of the first goes of these and of the 5 s before. Where hardly anything is
// asked, one or two are no crowd.
func (k *Checker) checkRetryWindows() {
	a, b, more, base, plain := 0, 0, 0, 0, 0
	for i, x := range k.launches {
		if x.first {
			base++
			plain++
		} else {
			more++
		}
		for ; x.at.Sub(k.launches[a].at) > 10e9; a++ {
			if k.launches[a].first {
				plain--
			} else {
				more--
			}
		}
		for ; x.at.Sub(k.launches[b].at) > 15e9; b++ {
			if k.launches[b].first {
				base--
			}
		}
		if more > 3 && float64(more) > maxRetryShare*float64(base) {
			k.bad("%d retries in 10 s, to %d first goes in 15 s (at %.1f s)", more, base, float64(x.at)/1e9)
			return
		}
		if plain >= 50 && i > 0 {
			k.Seen.WorstRetryShare = max(k.Seen.WorstRetryShare, float64(more)/float64(plain))
		}
	}
}

// sent looks at a go at the moment of sending.
func (k *Checker) checkSent(f *attempt, s *proc) {
	c, w := f.call, k.w
	if c == nil {
		k.bad("a go for no request")
		return
	}
	c.sends++
	if c.sends == 1 {
		c.firstSentAt = w.now
		k.Seen.Firsts++
	} else {
		k.Seen.Retries++
	}
	key := ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra)
	if t, ok := k.unloadedAt[s.name+"|"+string(key)]; ok && f.launch.Work.Inc != 0 && t <= w.now && w.host == nil && s.core.(*standin.Server).Holds()[key].Key == "" {
		k.bad("%s sent %s to %s after it was unloaded", c.router, key, s.name)
	}
	k.checkArrival(f, s)
}

// arrived looks at a go as it is sent, and again as its server takes it in.
func (k *Checker) checkArrival(f *attempt, s *proc) {
	c, w := f.call, k.w
	if t, ok := k.gone[s.name]; ok {
		lag := w.now.Sub(t)
		k.Seen.GoneLag = max(k.Seen.GoneLag, lag)
		if lag > boundGone {
			k.bad("%s got new work from %s, %v after it was leaving or gone", s.name, c.router, lag)
		}
	}
	if k.disksLost {
		return
	}
	if w.host != nil {
		return // it is held against what the server makes of it
	}
	if since := k.emptySince(s.zone); since != 0 {
		lag := w.now.Sub(since)
		k.Seen.ZoneLag = max(k.Seen.ZoneLag, lag)
		if lag > maxZoneLag {
			k.bad("%s in emptied zone %s got new work, %v after", s.name, s.zone, lag)
		}
	}
	ok := false
	for _, st := range k.possiblyInForce() {
		ok = ok || k.allows(st, c.ask)
	}
	if !ok {
		k.bad("%s sent %s %s, which no plan allows", c.router, c.ask.Route, ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra))
	}
}

// emptied tells since when a zone is surely empty; zero if it may not be. A change whose
// fate was never told may have refilled it.
func (k *Checker) emptySince(z ident.Zone) clock.Tick {
	var l []*desiredState
	n := k.newest(k.w.now)
	for _, s := range k.states {
		if s.confirmedAt != 0 {
			l = append(l, s)
		} else if s.rejectedAt == 0 && !s.isPlan {
			return 0
		}
	}
	if n == nil || !n.empty[z] {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i].epoch > l[j].epoch })
	since := n.confirmedAt
	for _, s := range l {
		if !s.empty[z] {
			break
		}
		since = s.confirmedAt
	}
	return since
}

// ran looks at a go that a server took in.
func (k *Checker) checkRun(f *attempt, s *proc) {
	id := f.launch.Work.ID
	k.runCounts[id]++
	was := k.lastRuns[id]
	known := fmt.Sprint(f.router.core.(*router.Core).Places(ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra)))
	k.lastRuns[id] = runPlace{s.name, s.life, known}
	f.call.runs++
	if k.w.host != nil {
		k.checkAllowed(f, s)
		if k.runCounts[id] > 1 && !isRepeatable(f.call.ask) {
			k.bad("%s may not be repeated and ran %d times, at %v and %s", id, k.runCounts[id], was, s.name)
		}
	} else if f.launch.Work.Once && k.runCounts[id] > 1 {
		if !f.call.callerRepeat || was.server == s.name && was.life == s.life || was.knownReplicas == known && f.call.unreached[was.server] < 2 {
			k.bad("%s may not be repeated and ran %d times, at %v and %s", id, k.runCounts[id], was, s.name)
		}
		k.Seen.RepeatedRuns++
	}
	k.checkArrival(f, s)
	if c := f.call; c.finished && failure.Receipts[failure.Kind(c.outcome)].Dropped {
		k.bad("%s was dropped as %s and ran", id, c.outcome)
	}
}

func (k *Checker) checkReceipt(who string, r router.Receipt) {
	c := k.openCalls[r.Ref]
	if c == nil || c.finished {
		k.bad("%s answered twice", who)
		return
	}
	c.finished, c.outcome = true, string(r.Kind)
	switch r.Kind {
	case failure.Repeated:
		k.Seen.RefusedRepeats++
	case failure.Unclear, failure.Cut:
		k.maybeRepeat(c)
	}
	k.w.tracef("%s: %s is told %s", who, c.ask.Call.ID, r.Kind)
	a := failure.Receipts[r.Kind]
	if a.Dropped && c.runs > 0 {
		k.bad("%s was dropped as %s but had run", c.ask.Call.ID, r.Kind)
	}
	if slices.Contains(denials, r.Kind) && !k.disksLost {
		all := true
		for _, s := range k.possiblyInForce() {
			all = all && k.allows(s, c.ask)
		}
		if all {
			k.bad("%s is allowed and was turned away as %s", c.ask.Call.ID, r.Kind)
		}
	}
	if (r.Kind == failure.Expired || r.Kind == failure.Full || r.Kind == failure.NotReady) && k.couldBeServed(who, c) {
		k.Seen.NeedlessDrops++
	}
	if a.Dropped && r.Back == 0 && a.Status == 503 {
		k.bad("a drop did not say when to come back")
	}
	if r.Back > 0 && c.ask.Call.Again && !c.repeat && k.w.rand.IntN(8) == 0 {
		n := c.ask
		n.Call.ID += "-r"
		n.Call.Repeat = true
		k.w.After(r.Back, func() { k.w.Ask(n, true) })
	}
}

func (k *Checker) checkEvent(f *attempt, e standin.Event) {
	c := f.call
	if c.finished {
		k.bad("%s got an event after its end", c.ask.Call.ID)
		return
	}
	if c.eventCount == 0 {
		c.server, c.runID = e.Server, e.Go
	}
	if why := standin.CheckEvent(c.ask, e, c.eventCount, c.server, c.runID); why != "" {
		k.bad("%s: %s", c.ask.Call.ID, why)
	}
	c.eventCount++
	k.Seen.Events++
}

func (k *Checker) finishCall(f *attempt) {
	f.call.finished = true
	k.Seen.Answered++
	if k.healed != 0 && k.Seen.Recovery == 0 && k.w.now >= k.healed {
		k.Seen.Recovery = k.w.now.Sub(k.healed) + 1
	}
}

func (k *Checker) routerStopped(name string) {
	for _, c := range k.calls {
		if c.router == name && !c.finished {
			c.finished, c.outcome = true, "router broke off"
			k.maybeRepeat(c)
		}
	}
}

// again lets a caller whose request broke ask once more under the same id, at any router,
// though it may have run: some say that they do, some do not.
func (k *Checker) maybeRepeat(c *call) {
	if c.ask.Call.Again || c.callerRepeat || k.w.Again == 0 || k.w.rand.Float64() >= k.w.Again {
		return
	}
	n := c.ask
	n.Call.Repeat = k.w.rand.IntN(2) == 0
	k.Seen.CallerRepeats++
	k.w.After(clock.Span(k.w.rand.Int64N(800e6)), func() { k.w.Ask(n, n.Call.Repeat); k.calls[len(k.calls)-1].callerRepeat = true })
}

// needless tells whether a request is dropped that could have been served just then: its router
// holds its link, and a healthy server that it reaches has held the key for long and has room.
func (k *Checker) couldBeServed(who string, c *call) bool {
	w := k.w
	p := w.procs[who]
	if _, _, held := p.core.(*router.Core).Rules(p.tick(w.now)); !held || w.now < p.frozenUntil {
		return false
	}
	key := ident.KeyOf(c.ask.Call.Base, c.ask.Call.Extra)
	for _, n := range w.order {
		s := w.procs[n]
		v, ok := s.core.(*standin.Server)
		if !ok || !s.up || w.now < s.frozenUntil || k.emptySince(s.zone) != 0 || w.cuts[[2]string{p.box, s.box}] || w.cuts[[2]string{s.box, p.box}] {
			continue
		}
		if _, gone := k.gone[n]; gone {
			continue
		}
		if age, ok := v.Since(key); ok && age > 6e9 && v.Active() < w.o.Slots/2 {
			return true
		}
	}
	return false
}

// Fault notes that a server is leaving, gone or dark from now on.
func (k *Checker) Fault(server string) { k.gone[server] = k.w.now }

// Mend notes that it is back.
func (k *Checker) Mend(server string) { delete(k.gone, server) }

// Finish draws up what a run saw, and the lines that hold for a run as a whole.
func (k *Checker) Finish() Seen {
	s := &k.Seen
	for _, c := range k.calls {
		if d := c.firstSentAt.Sub(c.askedAt); c.firstSentAt != 0 && d > 250e6 {
			s.Waited++
			s.WaitTime += d
		}
		switch {
		case !c.finished && k.w.now.Sub(c.askedAt) > 45e9:
			k.bad("%s never got its final answer", c.ask.Call.ID)
		case c.finished && c.outcome != "":
			s.Kinds[c.outcome]++
			switch {
			case c.outcome == string(failure.Unclear):
				s.Unclear++
			case c.outcome == string(failure.Cut):
				s.Cut++
			case failure.Receipts[failure.Kind(c.outcome)].Dropped:
				s.Dropped++
			default:
				s.Broken++
			}
		}
	}
	if n := float64(s.Retries); k.w.host == nil && n > maxRetryShare*float64(s.Firsts) {
		k.bad("%d retries to %d first goes", s.Retries, s.Firsts)
	}
	// What callers themselves repeat comes out of the same allowance: routers let in only so many.
	in := 0
	for _, c := range k.calls {
		if c.repeat && c.outcome != string(failure.Spent) && c.sends > 0 {
			in++
		}
	}
	if n := float64(s.Retries + in); k.w.host == nil && n > maxRetryShare*float64(s.Firsts) {
		k.bad("%d retries and repeats to %d first goes", s.Retries+in, s.Firsts)
	}
	if k.w.host != nil {
		k.checkHostedRun()
	} else {
		k.checkRetryWindows()
	}
	// What is dropped must follow from the servers and the room that a scene leaves.
	if float64(s.NeedlessDrops) > 0.01*float64(s.Asked) && !k.disksLost {
		k.bad("%d of %d requests were dropped though a server could have served them", s.NeedlessDrops, s.Asked)
	}
	k.checkHistory()
	// Every epoch is one change: more epochs than changes means that one was redone.
	most := ident.Epoch(0)
	for _, x := range k.states {
		if x.rejectedAt == 0 {
			most = max(most+1, x.number)
		}
	}
	if n := k.newest(k.w.now); n != nil && !k.disksLost && n.epoch > most {
		k.bad("epoch %d was reached by %d changes", n.epoch, most)
	}
	st := k.w.store.Counts()
	s.Pulls = st.Pulls
	if st.Over > 0 {
		k.bad("loads outran the store: %d pulls beyond its budget", st.Over)
	}
	k.addProcessCounts()
	if k.healed != 0 && (s.Recovery == 0 || s.Recovery > maxRecovery) {
		k.bad("service came back %v after the outage", s.Recovery)
	}
	return *s
}

// sumCounts adds up what the processes counted themselves.
func (k *Checker) addProcessCounts() {
	s := &k.Seen
	for _, n := range k.w.order {
		switch c := k.w.procs[n].core.(type) {
		case *standin.Server:
			t := c.Counts()
			s.PeakCold = max(s.PeakCold, t.PeakCold)
			s.Prompt += t.PromptBytes
			s.RefusedLate += t.DropKinds[failure.Late]
			s.Reused += t.Reused
			if t.PeakCold > k.w.o.Slots {
				k.bad("%s was flooded while cold: %d at once on %d slots", n, t.PeakCold, k.w.o.Slots)
			}
			if c.Used() > k.w.room(n) {
				k.bad("%s holds more than its room", n)
			}
		case *router.Core:
			t := c.Counts()
			s.Hits += t.Hits
			s.Lookups += t.Lookups
			s.Unchanged += t.Sames
		case *controller.Core:
			t := c.Counts()
			s.Breaks += t.Breaks
			s.Acks += t.Acks
			s.Lapses += t.Lapses
			s.Reigns += t.Reigns
			s.OddReports += t.Odd
		}
	}
}

// String gives the seen figures in a line.
func (s Seen) String() string {
	var l []string
	for k := range s.Kinds {
		l = append(l, k)
	}
	sort.Strings(l)
	for i, k := range l {
		l[i] = fmt.Sprintf("%s %d", k, s.Kinds[k])
	}
	return fmt.Sprintf("asked %d answered %d dropped %d unclear %d cut %d broke %d | firsts %d retries %d repeats %d | plan %v gone %v zone %v back %v no-owner %v | hits %d lookups %d breaks %d acks %d lapses %d unloads %d cold %d reigns %d | window %.3f late %d again %d/%d/%d | moves %d held %d for %v pulls %d needless %d operations %d [%s]",
		s.Asked, s.Answered, s.Dropped, s.Unclear, s.Cut, s.Broken, s.Firsts, s.Retries, s.Repeats, s.PlanLag, s.GoneLag, s.ZoneLag, s.Recovery, s.NoOwner,
		s.Hits, s.Lookups, s.Breaks, s.Acks, s.Lapses, s.Unloads, s.PeakCold, s.Reigns, s.WorstRetryShare, s.RefusedLate, s.CallerRepeats, s.RefusedRepeats, s.RepeatedRuns, s.Moves, s.Waited, s.WaitTime.Round(1e8), s.Pulls, s.NeedlessDrops, s.Operations, strings.Join(l, ", "))
}
