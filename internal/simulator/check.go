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

// Limits that the checkers enforce.
const (
	maxPlanLag    = 2100e6
	boundGone     = 3100e6
	maxZoneLag    = 5000e6
	maxRecovery   = 12000e6
	maxRetryShare = 0.2
)

// maxViolations limits how many violations a run reports.
const maxViolations = 50

// desiredState is a requested change of the desired state, as known to the operator who sent it.
type desiredState struct {
	epoch        ident.Epoch
	raw          []byte
	plan         *fleetplan.Plan
	empty        map[ident.Zone]bool
	isPlan       bool
	sentAt       clock.Tick
	confirmedAt  clock.Tick // when it was confirmed; zero before that
	rejectedAt   clock.Tick // when it was definitively rejected; zero before that
	supersededAt clock.Tick // when a newer plan was confirmed; zero before that

	number, base ident.Epoch // epoch number chosen by the operator, and the epoch that the change builds on
}

// Checker observes a world from outside and records violations of the system's guarantees.
type Checker struct {
	w                  *World
	openCalls          map[router.Ref]*call
	calls              []*call
	Bad                []string
	states             []*desiredState
	runCounts          map[string]int
	lastRuns           map[string]runPlace
	launches           []launchRecord
	routerEpochs       map[string][2]uint64
	routerIncarnations map[string]int
	termLeaders        map[ident.Duty]string
	gone               map[string]clock.Tick // when servers began to leave, stopped or became unreachable
	unloadedAt         map[string]clock.Tick
	Seen               Seen
	healed             clock.Tick
	batch              hostedRecords
	disksLost          bool // all core disks were lost, and confirmed changes possibly with them
	disksLostAt        clock.Tick
	history            history.Recorder // operations of operators and readers
}

// Seen holds the measurements of a run.
type Seen struct {
	Asked, Answered, Dropped, Unclear, Cut, Broken, Events int
	FirstAttempts, Retries, Repeats                        int
	// Callers' repeats of interrupted requests; repeats that routers refused as such; and repeats that ran again,
	// because the first server was gone or the router's known replicas had changed.
	CallerRepeats, RefusedRepeats, RepeatedRuns             int
	WorstRetryShare                                         float64 // highest share of retries and repeats in 10 s
	Admits                                                  int     // changes of the voter set
	NeedlessRejections                                      int     // rejected although a server could have served them
	RefusedLate                                             uint64  // refused by servers because they were sent too late
	Kinds                                                   map[string]int
	PlanLag, GoneLag, ZoneLag                               clock.Span // longest delays observed
	Recovery                                                clock.Span // from the end of the outage to the first answer
	LeaderlessTime                                          clock.Span // longest time without a leader
	PeakCold                                                int
	Hits, Lookups, Unchanged, Breaks, Acks, Lapses, Unloads uint64
	Prompt, Reused                                          uint64
	Pulls, LeaderTerms, Moves, ContradictoryReports         uint64
	Orders, OrdersRefused                                   int        // orders to servers that do not check fencing numbers
	PeakStoreLoads                                          int        // most loads from the store begun in 5 s
	Waited                                                  int        // requests that waited for more than 250 ms
	WaitTime                                                clock.Span // total waiting time of these requests
	Operations                                              int        // operations of operators and readers in the history
	lastLeaderAt                                            clock.Tick
}

func newChecker(w *World) *Checker {
	return &Checker{w: w, openCalls: map[router.Ref]*call{}, runCounts: map[string]int{}, lastRuns: map[string]runPlace{}, routerEpochs: map[string][2]uint64{}, routerIncarnations: map[string]int{},
		termLeaders: map[ident.Duty]string{}, gone: map[string]clock.Tick{}, unloadedAt: map[string]clock.Tick{}, batch: newHostedRecords(),
		Seen: Seen{Kinds: map[string]int{}}}
}

// violationf records a violation.
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

// PutPlan submits a plan and tracks its outcome.
func (w *World) PutPlan(node string, raw []byte, expect ident.Epoch, any bool, then func(controller.Receipt)) {
	w.change(node, controller.Admin{Op: "put", Raw: raw, Expect: expect, Any: any, Change: fmt.Sprintf("put-%d", w.admin+1)}, then)
}

// Zone submits a change that empties or refills a zone.
func (w *World) Zone(node, op string, z ident.Zone, then func(controller.Receipt)) {
	w.change(node, controller.Admin{Op: op, Zone: z, Any: true, Change: fmt.Sprintf("%s-%d", op, w.admin+1)}, then)
}

// submitChange submits an operator's change, repeats it while its outcome is unknown, and checks the outcome.
func (w *World) change(node string, a controller.Admin, then func(controller.Receipt)) {
	k := w.Check
	s := &desiredState{sentAt: w.now, raw: a.Raw, isPlan: a.Op == "put", empty: map[ident.Zone]bool{}, number: a.Number, base: a.Expect}
	if s.isPlan {
		s.plan, _ = w.parsePlan(a.Raw)
	}
	k.states = append(k.states, s)
	repeats := 0
	var onReceipt func(r controller.Receipt)
	onReceipt = func(r controller.Receipt) {
		// A change with an unknown outcome is repeated under the same ID at another node.
		if r.Kind == failure.Unclear && repeats < 4 {
			repeats++
			w.After(200e6, func() { w.Admin(w.some("controller-"), a, onReceipt) })
			return
		}
		if repeats > 0 && r.Kind != failure.None {
			r.Kind = failure.Unclear // an earlier attempt may have been accepted
		}
		w.tracef("operator: %s at %s: %q epoch %d", a.Op, node, r.Kind, r.Epoch)
		switch {
		case r.Kind == failure.None:
			s.epoch, s.confirmedAt = r.Epoch, w.now
			if a.Number != 0 && r.Epoch != a.Number {
				k.bad("a change of number %d was applied as epoch %d", a.Number, r.Epoch)
			}
			if a.Number == 0 && !a.Any && r.Epoch != a.Expect+1 {
				k.bad("a change that expected epoch %d was applied as epoch %d", a.Expect, r.Epoch)
			}
			for _, zone := range r.Empty {
				s.empty[zone] = true
			}
			for _, other := range k.states {
				if other == s || other.confirmedAt == 0 {
					continue
				}
				if other.epoch == s.epoch && !k.disksLost {
					k.bad("epoch %d was confirmed twice", s.epoch)
				}
				// A plan is superseded once a newer plan is confirmed, in whichever order the confirmations arrive.
				switch {
				case other.epoch < s.epoch && s.isPlan && other.supersededAt == 0:
					other.supersededAt = w.now
				case other.epoch > s.epoch && other.isPlan && s.supersededAt == 0:
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
	w.Admin(node, a, onReceipt)
}

// Read reads the plan and checks that it is byte for byte the newest confirmed one.
func (w *World) Read(node string, then func(controller.Receipt)) {
	k, readAt := w.Check, w.now
	w.Admin(node, controller.Admin{Op: "get"}, func(r controller.Receipt) {
		if r.Kind == failure.None && !k.disksLost {
			confirmed := k.newest(readAt)
			if confirmed != nil && r.Epoch < confirmed.epoch {
				k.bad("read gave epoch %d after epoch %d was confirmed", r.Epoch, confirmed.epoch)
			}
			// The plan must be the newest one confirmed up to that epoch, or one whose outcome is unknown.
			var last *desiredState
			matches := false
			for _, s := range k.states {
				if s.isPlan && s.confirmedAt != 0 && s.epoch <= r.Epoch && (last == nil || s.epoch > last.epoch) {
					last = s
				}
				if s.isPlan && s.confirmedAt == 0 && s.rejectedAt == 0 && bytes.Equal(s.raw, r.Plan) {
					matches = true
				}
			}
			if !matches && (last == nil && len(r.Plan) > 0 || last != nil && !bytes.Equal(last.raw, r.Plan)) {
				k.bad("read under epoch %d gave bytes that were not sent for it", r.Epoch)
			}
		}
		if then != nil {
			then(r)
		}
	})
}

// latestConfirmed returns the newest change confirmed by the given time, or nil.
func (k *Checker) newest(at clock.Tick) *desiredState {
	var n *desiredState
	for _, s := range k.states {
		if s.confirmedAt != 0 && s.confirmedAt <= at && (n == nil || s.epoch > n.epoch) {
			n = s
		}
	}
	return n
}

// denialKinds are the failure kinds of requests that the plan does not allow.
var denials = []failure.Kind{failure.NoRoute, failure.NoModel, failure.NoKind, failure.NoKey}

// possiblyInForce returns the plans that may be in force at some router now.
func (k *Checker) possiblyInForce() (l []*desiredState) {
	for _, s := range k.states {
		if s.isPlan && s.rejectedAt == 0 && s.sentAt <= k.w.now && (s.supersededAt == 0 || k.w.now.Sub(s.supersededAt) <= maxPlanLag) {
			l = append(l, s)
		}
	}
	return l
}

// planRejected reports whether all plans of a name were definitively rejected.
func (k *Checker) planRejected(name string) bool {
	for _, s := range k.states {
		if s.isPlan && s.plan.Name == name && s.rejectedAt == 0 {
			return false
		}
	}
	return name != ""
}

// allows reports whether a plan allows a request.
func (k *Checker) allows(s *desiredState, a standin.Ask) bool {
	_, why := s.plan.Match(a.Call.Query(a.Route))
	return why == failure.None
}

// checkNow compares the routers' epochs and plans with the replies to operators, and checks that the core has at
// most one leader.
func (k *Checker) checkNow() {
	w := k.w
	for _, p := range w.Routers() {
		core := p.core.(*router.Core)
		gen, epoch, held := core.Rules(p.tick(w.now))
		previous := k.routerEpochs[p.name]
		if k.routerIncarnations[p.name] != p.life {
			k.routerIncarnations[p.name], previous = p.life, [2]uint64{}
		}
		if gen < previous[0] || gen == previous[0] && uint64(epoch) < previous[1] {
			k.bad("%s slipped back from epoch %d to %d", p.name, previous[1], epoch)
		}
		k.routerEpochs[p.name] = [2]uint64{gen, uint64(epoch)}
		if held && w.now >= p.frozenUntil && !k.disksLost {
			for _, s := range k.states {
				if s.confirmedAt != 0 && s.epoch > epoch {
					lag := w.now.Sub(s.confirmedAt)
					k.Seen.PlanLag = max(k.Seen.PlanLag, lag)
					if lag > maxPlanLag {
						k.bad("%s routes under epoch %d, %v after epoch %d was confirmed", p.name, epoch, lag, s.epoch)
					}
				}
			}
			if name := core.PlanName(); k.planRejected(name) {
				k.bad("%s applies plan %q, which was rejected", p.name, name)
			}
		}
	}
	if w.host != nil {
		k.checkHosted()
	}
	var leaders []string
	for _, p := range w.controllers() {
		if _, ok := p.core.(*controller.Core).Owns(p.tick(w.now)); ok {
			leaders = append(leaders, p.name)
		}
	}
	if len(leaders) > 1 {
		k.bad("two own the duty: %v", leaders)
	}
	if len(leaders) == 1 {
		k.Seen.lastLeaderAt = w.now
	} else if k.Seen.lastLeaderAt != 0 {
		k.Seen.LeaderlessTime = max(k.Seen.LeaderlessTime, w.now.Sub(k.Seen.lastLeaderAt))
	}
}

// checkOrder checks an order and the server's reply to it.
func (k *Checker) checkOrder(s *proc, o protocol.Order, from string, r protocol.Report, heldBefore map[ident.Key]protocol.Held) {
	if o.Op != "" {
		k.w.tracef("%s: duty %d/%d orders %s to %s %s (%d): %q", from, o.Duty, o.Num, s.name, o.Op, o.Key, o.Size, r.Drop)
	}
	if r.Drop == failure.Stale {
		return
	}
	if d, ok := k.termLeaders[o.Duty]; ok && d != from {
		k.bad("two controllers, %s and %s, order under term %d", d, from, o.Duty)
	}
	k.termLeaders[o.Duty] = from
	if r.Drop == failure.NoRoom {
		k.bad("%s was ordered past its room", s.name)
	}
	loadKey := s.name + "|" + string(o.Key)
	_, wasHeld := heldBefore[o.Key]
	switch {
	case o.Op == "unload" && r.Drop == failure.Busy:
		for id, f := range k.w.attempts {
			key := ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra)
			if id.server == s.name && id.incarnation == s.life && (key == o.Key || key.Base() == o.Key) && !f.closed && k.w.now.Sub(f.arrivedAt) > 1e9 {
				k.bad("%s was ordered to unload %s while work was under way", s.name, o.Key)
				break
			}
		}
	case o.Op == "unload" && r.Drop == failure.None && wasHeld:
		k.unloadedAt[loadKey] = k.w.now
		k.Seen.Unloads++
		for _, p := range k.w.Routers() {
			if p.core.(*router.Core).Promises(p.tick(k.w.now), o.Key, s.server, r.Inc) {
				k.bad("%s was ordered to unload %s while %s held a promise on it", s.name, o.Key, p.name)
			}
		}
	case o.Op == "load" && r.Drop == failure.None:
		delete(k.unloadedAt, loadKey)
	}
}

// runPlace records where a request ran and the replicas that its router knew of at that time.
type runPlace struct {
	server        string
	incarnation   int
	knownReplicas string
}

// launchRecord is one started attempt.
type launchRecord struct {
	at    clock.Tick
	first bool
}

// countLaunch counts an attempt when it starts, whether or not its connection succeeds.
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

// checkRetryWindows compares retries with the first attempts that earn their allowance: in any 10 s window,
// retries may not exceed a fifth of the first attempts of the window and the 5 s before. Up to three
// retries are always allowed, so that low traffic causes no violation.
func (k *Checker) checkRetryWindows() {
	start10s, start15s, retries, firsts15s, firsts10s := 0, 0, 0, 0, 0
	for i, x := range k.launches {
		if x.first {
			firsts15s++
			firsts10s++
		} else {
			retries++
		}
		for ; x.at.Sub(k.launches[start10s].at) > 10e9; start10s++ {
			if k.launches[start10s].first {
				firsts10s--
			} else {
				retries--
			}
		}
		for ; x.at.Sub(k.launches[start15s].at) > 15e9; start15s++ {
			if k.launches[start15s].first {
				firsts15s--
			}
		}
		if retries > 3 && float64(retries) > maxRetryShare*float64(firsts15s) {
			k.bad("%d retries in 10 s, to %d first attempts in 15 s (at %.1f s)", retries, firsts15s, float64(x.at)/1e9)
			return
		}
		if firsts10s >= 50 && i > 0 {
			k.Seen.WorstRetryShare = max(k.Seen.WorstRetryShare, float64(retries)/float64(firsts10s))
		}
	}
}

// checkSent checks an attempt when its router sends it.
func (k *Checker) checkSent(f *attempt, s *proc) {
	c, w := f.call, k.w
	if c == nil {
		k.bad("an attempt without a request")
		return
	}
	c.sends++
	if c.sends == 1 {
		c.firstSentAt = w.now
		k.Seen.FirstAttempts++
	} else {
		k.Seen.Retries++
	}
	key := ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra)
	if t, ok := k.unloadedAt[s.name+"|"+string(key)]; ok && f.launch.Work.Inc != 0 && t <= w.now && w.host == nil && s.core.(*standin.Server).Holds()[key].Key == "" {
		k.bad("%s sent %s to %s after it was unloaded", c.router, key, s.name)
	}
	k.checkArrival(f, s)
}

// checkArrival checks an attempt when it is sent, and again when its server accepts it.
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
		return // hosted servers refuse requests meant for others, so only requests that ran are checked
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

// emptySince returns the time since which a zone is certainly emptied, or zero if it may not be. A change
// with an unknown outcome may have refilled the zone.
func (k *Checker) emptySince(z ident.Zone) clock.Tick {
	var confirmed []*desiredState
	latest := k.newest(k.w.now)
	for _, s := range k.states {
		if s.confirmedAt != 0 {
			confirmed = append(confirmed, s)
		} else if s.rejectedAt == 0 && !s.isPlan {
			return 0
		}
	}
	if latest == nil || !latest.empty[z] {
		return 0
	}
	sort.Slice(confirmed, func(i, j int) bool { return confirmed[i].epoch > confirmed[j].epoch })
	since := latest.confirmedAt
	for _, s := range confirmed {
		if !s.empty[z] {
			break
		}
		since = s.confirmedAt
	}
	return since
}

// checkRun checks an attempt that a server has accepted to run.
func (k *Checker) checkRun(f *attempt, s *proc) {
	id := f.launch.Work.ID
	k.runCounts[id]++
	lastRun := k.lastRuns[id]
	known := fmt.Sprint(f.router.core.(*router.Core).Places(ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra)))
	k.lastRuns[id] = runPlace{s.name, s.life, known}
	f.call.runs++
	if k.w.host != nil {
		k.checkAllowed(f, s)
		if k.runCounts[id] > 1 && !isRepeatable(f.call.ask) {
			k.bad("%s may not be repeated and ran %d times, at %v and %s", id, k.runCounts[id], lastRun, s.name)
		}
	} else if f.launch.Work.Once && k.runCounts[id] > 1 {
		if !f.call.callerRepeat || lastRun.server == s.name && lastRun.incarnation == s.life || lastRun.knownReplicas == known && f.call.unreached[lastRun.server] < 2 {
			k.bad("%s may not be repeated and ran %d times, at %v and %s", id, k.runCounts[id], lastRun, s.name)
		}
		k.Seen.RepeatedRuns++
	}
	k.checkArrival(f, s)
	if c := f.call; c.finished && failure.Receipts[failure.Kind(c.outcome)].Dropped {
		k.bad("%s was rejected as %s and ran", id, c.outcome)
	}
}

// checkReceipt checks a router's final answer to a request that failed.
func (k *Checker) checkReceipt(routerName string, r router.Receipt) {
	c := k.openCalls[r.Ref]
	if c == nil || c.finished {
		k.bad("%s answered twice", routerName)
		return
	}
	c.finished, c.outcome = true, string(r.Kind)
	switch r.Kind {
	case failure.Repeated:
		k.Seen.RefusedRepeats++
	case failure.Unclear, failure.Cut:
		k.maybeRepeat(c)
	}
	k.w.tracef("%s: %s ends with %s", routerName, c.ask.Call.ID, r.Kind)
	receipt := failure.Receipts[r.Kind]
	if receipt.Dropped && c.runs > 0 {
		k.bad("%s was rejected as %s but had run", c.ask.Call.ID, r.Kind)
	}
	if slices.Contains(denials, r.Kind) && !k.disksLost {
		allowedByAll := true
		for _, s := range k.possiblyInForce() {
			allowedByAll = allowedByAll && k.allows(s, c.ask)
		}
		if allowedByAll {
			k.bad("%s is allowed but was turned away as %s", c.ask.Call.ID, r.Kind)
		}
	}
	if (r.Kind == failure.Expired || r.Kind == failure.Full || r.Kind == failure.NotReady) && k.couldBeServed(routerName, c) {
		k.Seen.NeedlessRejections++
	}
	if receipt.Dropped && r.Back == 0 && receipt.Status == 503 {
		k.bad("a rejected request got no Retry-After time")
	}
	if r.Back > 0 && c.ask.Call.Again && !c.repeat && k.w.rand.IntN(8) == 0 {
		next := c.ask
		next.Call.ID += "-r"
		next.Call.Repeat = true
		k.w.After(r.Back, func() { k.w.Ask(next, true) })
	}
}

// checkEvent checks one event of an answer.
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

// finishCall records a complete answer.
func (k *Checker) finishCall(f *attempt) {
	f.call.finished = true
	k.Seen.Answered++
	if k.healed != 0 && k.Seen.Recovery == 0 && k.w.now >= k.healed {
		k.Seen.Recovery = k.w.now.Sub(k.healed) + 1
	}
}

// routerStopped ends the open requests of a router that stopped.
func (k *Checker) routerStopped(name string) {
	for _, c := range k.calls {
		if c.router == name && !c.finished {
			c.finished, c.outcome = true, "router broke off"
			k.maybeRepeat(c)
		}
	}
}

// maybeRepeat lets some callers repeat an interrupted request once under the same ID, at any router, although the
// request may have run. About half of them mark the request as a repeat.
func (k *Checker) maybeRepeat(c *call) {
	if c.ask.Call.Again || c.callerRepeat || k.w.Again == 0 || k.w.rand.Float64() >= k.w.Again {
		return
	}
	next := c.ask
	next.Call.Repeat = k.w.rand.IntN(2) == 0
	k.Seen.CallerRepeats++
	k.w.After(clock.Span(k.w.rand.Int64N(800e6)), func() { k.w.Ask(next, next.Call.Repeat); k.calls[len(k.calls)-1].callerRepeat = true })
}

// couldBeServed reports whether a rejected request could have been served: its router has a valid lease, and
// a reachable healthy server has held the model for more than 6 s and has at least half of its slots free.
func (k *Checker) couldBeServed(routerName string, c *call) bool {
	w := k.w
	p := w.procs[routerName]
	if _, _, held := p.core.(*router.Core).Rules(p.tick(w.now)); !held || w.now < p.frozenUntil {
		return false
	}
	key := ident.KeyOf(c.ask.Call.Base, c.ask.Call.Extra)
	for _, n := range w.order {
		s := w.procs[n]
		server, ok := s.core.(*standin.Server)
		if !ok || !s.up || w.now < s.frozenUntil || k.emptySince(s.zone) != 0 || w.cuts[[2]string{p.box, s.box}] || w.cuts[[2]string{s.box, p.box}] {
			continue
		}
		if _, gone := k.gone[n]; gone {
			continue
		}
		if age, ok := server.Since(key); ok && age > 6e9 && server.Active() < w.o.Slots/2 {
			return true
		}
	}
	return false
}

// Fault records that a server is leaving, stopped or unreachable from now on.
func (k *Checker) Fault(server string) { k.gone[server] = k.w.now }

// Mend records that a server is available again.
func (k *Checker) Mend(server string) { delete(k.gone, server) }

// Finish checks the conditions on the run as a whole and returns its measurements.
func (k *Checker) Finish() Seen {
	s := &k.Seen
	for _, c := range k.calls {
		if d := c.firstSentAt.Sub(c.askedAt); c.firstSentAt != 0 && d > 250e6 {
			s.Waited++
			s.WaitTime += d
		}
		switch {
		case !c.finished && k.w.now.Sub(c.askedAt) > 45e9:
			k.bad("%s got no final answer within 45 s", c.ask.Call.ID)
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
	if n := float64(s.Retries); k.w.host == nil && n > maxRetryShare*float64(s.FirstAttempts) {
		k.bad("%d retries to %d first attempts", s.Retries, s.FirstAttempts)
	}
	// Callers' repeats count against the same allowance, since routers admit only a limited number.
	admittedRepeats := 0
	for _, c := range k.calls {
		if c.repeat && c.outcome != string(failure.Spent) && c.sends > 0 {
			admittedRepeats++
		}
	}
	if n := float64(s.Retries + admittedRepeats); k.w.host == nil && n > maxRetryShare*float64(s.FirstAttempts) {
		k.bad("%d retries and repeats to %d first attempts", s.Retries+admittedRepeats, s.FirstAttempts)
	}
	if k.w.host != nil {
		k.checkHostedRun()
	} else {
		k.checkRetryWindows()
	}
	// Requests may be rejected only for lack of available servers or capacity.
	if float64(s.NeedlessRejections) > 0.01*float64(s.Asked) && !k.disksLost {
		k.bad("%d of %d requests were rejected although a server could have served them", s.NeedlessRejections, s.Asked)
	}
	k.checkHistory()
	// Each epoch is one change. More epochs than changes mean that a change was applied twice.
	maxEpoch := ident.Epoch(0)
	for _, x := range k.states {
		if x.rejectedAt == 0 {
			maxEpoch = max(maxEpoch+1, x.number)
		}
	}
	if n := k.newest(k.w.now); n != nil && !k.disksLost && n.epoch > maxEpoch {
		k.bad("epoch %d was reached by %d changes", n.epoch, maxEpoch)
	}
	storeCounts := k.w.store.Counts()
	s.Pulls = storeCounts.Pulls
	if storeCounts.Over > 0 {
		k.bad("loads exceeded the store's budget by %d pulls", storeCounts.Over)
	}
	k.addProcessCounts()
	if k.healed != 0 && (s.Recovery == 0 || s.Recovery > maxRecovery) {
		k.bad("service came back %v after the outage", s.Recovery)
	}
	return *s
}

// addProcessCounts adds the processes' own counters to the measurements and checks their limits.
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
				k.bad("%s uses more memory than it has", n)
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
			s.LeaderTerms += t.Reigns
			s.ContradictoryReports += t.Odd
		}
	}
}

// String formats the measurements as one line.
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
		s.Asked, s.Answered, s.Dropped, s.Unclear, s.Cut, s.Broken, s.FirstAttempts, s.Retries, s.Repeats, s.PlanLag, s.GoneLag, s.ZoneLag, s.Recovery, s.LeaderlessTime,
		s.Hits, s.Lookups, s.Breaks, s.Acks, s.Lapses, s.Unloads, s.PeakCold, s.LeaderTerms, s.WorstRetryShare, s.RefusedLate, s.CallerRepeats, s.RefusedRepeats, s.RepeatedRuns, s.Moves, s.Waited, s.WaitTime.Round(1e8), s.Pulls, s.NeedlessRejections, s.Operations, strings.Join(l, ", "))
}
