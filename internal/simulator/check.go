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
	maxGoneLag    = 3100e6
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
	sentAt       clock.Instant
	confirmedAt  clock.Instant // when it was confirmed; zero before that
	rejectedAt   clock.Instant // when it was definitively rejected; zero before that
	supersededAt clock.Instant // when a newer plan was confirmed; zero before that

	number, base ident.Epoch // epoch number chosen by the operator, and the epoch that the change builds on
}

// Checker observes a world from outside and records violations of the system's guarantees.
type Checker struct {
	world              *World
	openCalls          map[router.Ref]*call
	calls              []*call
	Violations         []string
	states             []*desiredState
	runCounts          map[string]int
	lastRuns           map[string]runPlace
	launches           []launchRecord
	routerEpochs       map[string][2]uint64
	routerIncarnations map[string]int
	termLeaders        map[ident.Term]string
	unavailableSince   map[string]clock.Instant // when servers began to leave, stopped or became unreachable
	unloadedAt         map[string]clock.Instant
	Stats              Stats
	healedAt           clock.Instant
	hosted             hostedRecords
	disksLost          bool // all core disks were lost, and confirmed changes possibly with them
	disksLostAt        clock.Instant
	history            history.Recorder // operations of operators and readers
}

// Stats holds the measurements of a run.
type Stats struct {
	Requests, Answered, Dropped, Unclear, Cut, Broken, Events int
	FirstAttempts, Retries, Repeats                           int
	// Callers' repeats of interrupted requests; repeats that routers refused as such; and repeats that ran again,
	// because the first server was gone or the router's known replicas had changed.
	CallerRepeats, RefusedRepeats, RepeatedRuns             int
	WorstRetryShare                                         float64 // highest share of retries and repeats in 10 s
	VoterChanges                                            int     // changes of the voter set
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
	lastLeaderAt                                            clock.Instant
}

func newChecker(w *World) *Checker {
	return &Checker{world: w, openCalls: map[router.Ref]*call{}, runCounts: map[string]int{}, lastRuns: map[string]runPlace{}, routerEpochs: map[string][2]uint64{}, routerIncarnations: map[string]int{},
		termLeaders: map[ident.Term]string{}, unavailableSince: map[string]clock.Instant{}, unloadedAt: map[string]clock.Instant{}, hosted: newHostedRecords(),
		Stats: Stats{Kinds: map[string]int{}}}
}

// violationf records a violation.
func (k *Checker) violationf(form string, a ...any) {
	s := fmt.Sprintf("%.3fs %s", float64(k.world.now)/1e9, fmt.Sprintf(form, a...))
	k.world.tracef("BAD %s", s)
	if len(k.Violations) < maxViolations {
		k.Violations = append(k.Violations, s)
	}
}

func (k *Checker) addCall(c *call) {
	k.calls = append(k.calls, c)
	k.Stats.Requests++
	if c.repeat {
		k.Stats.Repeats++
	}
}

// PutPlan submits a plan and tracks its outcome.
func (w *World) PutPlan(node string, raw []byte, expect ident.Epoch, any bool, then func(controller.Receipt)) {
	w.submitChange(node, controller.Admin{Op: "put", Raw: raw, Expect: expect, Any: any, Change: fmt.Sprintf("put-%d", w.lastAdmin+1)}, then)
}

// ChangeZone submits a change that empties or refills a zone.
func (w *World) ChangeZone(node, op string, z ident.Zone, then func(controller.Receipt)) {
	w.submitChange(node, controller.Admin{Op: op, Zone: z, Any: true, Change: fmt.Sprintf("%s-%d", op, w.lastAdmin+1)}, then)
}

// submitChange submits an operator's change, repeats it while its outcome is unknown, and checks the outcome.
func (w *World) submitChange(node string, a controller.Admin, then func(controller.Receipt)) {
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
			w.After(200e6, func() { w.Admin(w.randomNode("controller-"), a, onReceipt) })
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
				k.violationf("a change of number %d was applied as epoch %d", a.Number, r.Epoch)
			}
			if a.Number == 0 && !a.Any && r.Epoch != a.Expect+1 {
				k.violationf("a change that expected epoch %d was applied as epoch %d", a.Expect, r.Epoch)
			}
			for _, zone := range r.Empty {
				s.empty[zone] = true
			}
			for _, other := range k.states {
				if other == s || other.confirmedAt == 0 {
					continue
				}
				if other.epoch == s.epoch && !k.disksLost {
					k.violationf("epoch %d was confirmed twice", s.epoch)
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

// ReadPlan reads the plan and checks that it is byte for byte the newest confirmed one.
func (w *World) ReadPlan(node string, then func(controller.Receipt)) {
	k, readAt := w.Check, w.now
	w.Admin(node, controller.Admin{Op: "get"}, func(r controller.Receipt) {
		if r.Kind == failure.None && !k.disksLost {
			confirmed := k.latestConfirmed(readAt)
			if confirmed != nil && r.Epoch < confirmed.epoch {
				k.violationf("read gave epoch %d after epoch %d was confirmed", r.Epoch, confirmed.epoch)
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
				k.violationf("read under epoch %d gave bytes that were not sent for it", r.Epoch)
			}
		}
		if then != nil {
			then(r)
		}
	})
}

// latestConfirmed returns the newest change confirmed by the given time, or nil.
func (k *Checker) latestConfirmed(at clock.Instant) *desiredState {
	var n *desiredState
	for _, s := range k.states {
		if s.confirmedAt != 0 && s.confirmedAt <= at && (n == nil || s.epoch > n.epoch) {
			n = s
		}
	}
	return n
}

// denialKinds are the failure kinds of requests that the plan does not allow.
var denialKinds = []failure.Kind{failure.NoRoute, failure.NoModel, failure.NoKind, failure.NoKey}

// possiblyInForce returns the plans that may be in force at some router now.
func (k *Checker) possiblyInForce() (l []*desiredState) {
	for _, s := range k.states {
		if s.isPlan && s.rejectedAt == 0 && s.sentAt <= k.world.now && (s.supersededAt == 0 || k.world.now.Sub(s.supersededAt) <= maxPlanLag) {
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
func (k *Checker) allows(s *desiredState, a standin.Request) bool {
	_, why := s.plan.Match(a.Call.Query(a.Route))
	return why == failure.None
}

// checkNow compares the routers' epochs and plans with the replies to operators, and checks that the core has at
// most one leader.
func (k *Checker) checkNow() {
	w := k.world
	for _, p := range w.Routers() {
		core := p.core.(*router.Core)
		gen, epoch, held := core.InForce(p.localTime(w.now))
		previous := k.routerEpochs[p.name]
		if k.routerIncarnations[p.name] != p.incarnation {
			k.routerIncarnations[p.name], previous = p.incarnation, [2]uint64{}
		}
		if gen < previous[0] || gen == previous[0] && uint64(epoch) < previous[1] {
			k.violationf("%s slipped back from epoch %d to %d", p.name, previous[1], epoch)
		}
		k.routerEpochs[p.name] = [2]uint64{gen, uint64(epoch)}
		if held && w.now >= p.frozenUntil && !k.disksLost {
			for _, s := range k.states {
				if s.confirmedAt != 0 && s.epoch > epoch {
					lag := w.now.Sub(s.confirmedAt)
					k.Stats.PlanLag = max(k.Stats.PlanLag, lag)
					if lag > maxPlanLag {
						k.violationf("%s routes under epoch %d, %v after epoch %d was confirmed", p.name, epoch, lag, s.epoch)
					}
				}
			}
			if name := core.PlanName(); k.planRejected(name) {
				k.violationf("%s applies plan %q, which was rejected", p.name, name)
			}
		}
	}
	if w.hosted != nil {
		k.checkHosted()
	}
	var leaders []string
	for _, p := range w.controllers() {
		if _, ok := p.core.(*controller.Core).Owns(p.localTime(w.now)); ok {
			leaders = append(leaders, p.name)
		}
	}
	if len(leaders) > 1 {
		k.violationf("two own the duty: %v", leaders)
	}
	if len(leaders) == 1 {
		k.Stats.lastLeaderAt = w.now
	} else if k.Stats.lastLeaderAt != 0 {
		k.Stats.LeaderlessTime = max(k.Stats.LeaderlessTime, w.now.Sub(k.Stats.lastLeaderAt))
	}
}

// checkOrder checks an order and the server's reply to it.
func (k *Checker) checkOrder(s *proc, o protocol.Order, from string, r protocol.ServerReport, heldBefore map[ident.Key]protocol.HeldKey) {
	if o.Op != "" {
		k.world.tracef("%s: duty %d/%d orders %s to %s %s (%d): %q", from, o.Term, o.Num, s.name, o.Op, o.Key, o.Size, r.RefusedAs)
	}
	if r.RefusedAs == failure.StaleOrder {
		return
	}
	if d, ok := k.termLeaders[o.Term]; ok && d != from {
		k.violationf("two controllers, %s and %s, order under term %d", d, from, o.Term)
	}
	k.termLeaders[o.Term] = from
	if r.RefusedAs == failure.NoRoom {
		k.violationf("%s was ordered past its room", s.name)
	}
	loadKey := s.name + "|" + string(o.Key)
	_, wasHeld := heldBefore[o.Key]
	switch {
	case o.Op == "unload" && r.RefusedAs == failure.Busy:
		for id, f := range k.world.attempts {
			key := ident.NewKey(f.launch.Work.Model, f.launch.Work.Adapter)
			if id.server == s.name && id.incarnation == s.incarnation && (key == o.Key || key.Base() == o.Key) && !f.closed && k.world.now.Sub(f.arrivedAt) > 1e9 {
				k.violationf("%s was ordered to unload %s while work was under way", s.name, o.Key)
				break
			}
		}
	case o.Op == "unload" && r.RefusedAs == failure.None && wasHeld:
		k.unloadedAt[loadKey] = k.world.now
		k.Stats.Unloads++
		for _, p := range k.world.Routers() {
			if p.core.(*router.Core).RoutesTo(p.localTime(k.world.now), o.Key, s.server, r.Incarnation) {
				k.violationf("%s was ordered to unload %s while %s held a promise on it", s.name, o.Key, p.name)
			}
		}
	case o.Op == "load" && r.RefusedAs == failure.None:
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
	at    clock.Instant
	first bool
}

// countLaunch counts an attempt when it starts, whether or not its connection succeeds.
func (k *Checker) countLaunch(c *call) {
	if c == nil {
		return
	}
	if !c.heldBack {
		c.launches++
		k.launches = append(k.launches, launchRecord{k.world.now, c.launches == 1 && !c.repeat})
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
			k.violationf("%d retries in 10 s, to %d first attempts in 15 s (at %.1f s)", retries, firsts15s, float64(x.at)/1e9)
			return
		}
		if firsts10s >= 50 && i > 0 {
			k.Stats.WorstRetryShare = max(k.Stats.WorstRetryShare, float64(retries)/float64(firsts10s))
		}
	}
}

// checkSent checks an attempt when its router sends it.
func (k *Checker) checkSent(f *attempt, s *proc) {
	c, w := f.call, k.world
	if c == nil {
		k.violationf("an attempt without a request")
		return
	}
	c.sends++
	if c.sends == 1 {
		c.firstSentAt = w.now
		k.Stats.FirstAttempts++
	} else {
		k.Stats.Retries++
	}
	key := ident.NewKey(f.launch.Work.Model, f.launch.Work.Adapter)
	if t, ok := k.unloadedAt[s.name+"|"+string(key)]; ok && f.launch.Work.Incarnation != 0 && t <= w.now && w.hosted == nil && s.core.(*standin.Server).Held()[key].Key == "" {
		k.violationf("%s sent %s to %s after it was unloaded", c.router, key, s.name)
	}
	k.checkArrival(f, s)
}

// checkArrival checks an attempt when it is sent, and again when its server accepts it.
func (k *Checker) checkArrival(f *attempt, s *proc) {
	c, w := f.call, k.world
	if t, ok := k.unavailableSince[s.name]; ok {
		lag := w.now.Sub(t)
		k.Stats.GoneLag = max(k.Stats.GoneLag, lag)
		if lag > maxGoneLag {
			k.violationf("%s got new work from %s, %v after it was leaving or gone", s.name, c.router, lag)
		}
	}
	if k.disksLost {
		return
	}
	if w.hosted != nil {
		return // hosted servers refuse requests meant for others, so only requests that ran are checked
	}
	if since := k.emptySince(s.zone); since != 0 {
		lag := w.now.Sub(since)
		k.Stats.ZoneLag = max(k.Stats.ZoneLag, lag)
		if lag > maxZoneLag {
			k.violationf("%s in emptied zone %s got new work, %v after", s.name, s.zone, lag)
		}
	}
	ok := false
	for _, st := range k.possiblyInForce() {
		ok = ok || k.allows(st, c.ask)
	}
	if !ok {
		k.violationf("%s sent %s %s, which no plan allows", c.router, c.ask.Route, ident.NewKey(f.launch.Work.Model, f.launch.Work.Adapter))
	}
}

// emptySince returns the time since which a zone is certainly emptied, or zero if it may not be. A change
// with an unknown outcome may have refilled the zone.
func (k *Checker) emptySince(z ident.Zone) clock.Instant {
	var confirmed []*desiredState
	latest := k.latestConfirmed(k.world.now)
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
	known := fmt.Sprint(f.router.core.(*router.Core).ReplicasOf(ident.NewKey(f.launch.Work.Model, f.launch.Work.Adapter)))
	k.lastRuns[id] = runPlace{s.name, s.incarnation, known}
	f.call.runs++
	if k.world.hosted != nil {
		k.checkAllowed(f, s)
		if k.runCounts[id] > 1 && !isRepeatable(f.call.ask) {
			k.violationf("%s may not be repeated and ran %d times, at %v and %s", id, k.runCounts[id], lastRun, s.name)
		}
	} else if f.launch.Work.NotRepeatable && k.runCounts[id] > 1 {
		if !f.call.callerRepeat || lastRun.server == s.name && lastRun.incarnation == s.incarnation || lastRun.knownReplicas == known && f.call.unreached[lastRun.server] < 2 {
			k.violationf("%s may not be repeated and ran %d times, at %v and %s", id, k.runCounts[id], lastRun, s.name)
		}
		k.Stats.RepeatedRuns++
	}
	k.checkArrival(f, s)
	if c := f.call; c.finished && failure.Responses[failure.Kind(c.outcome)].NotExecuted {
		k.violationf("%s was rejected as %s and ran", id, c.outcome)
	}
}

// checkReceipt checks a router's final answer to a request that failed.
func (k *Checker) checkReceipt(routerName string, r router.Refusal) {
	c := k.openCalls[r.Ref]
	if c == nil || c.finished {
		k.violationf("%s answered twice", routerName)
		return
	}
	c.finished, c.outcome = true, string(r.Kind)
	switch r.Kind {
	case failure.Repeated:
		k.Stats.RefusedRepeats++
	case failure.Unclear, failure.Cut:
		k.maybeRepeat(c)
	}
	k.world.tracef("%s: %s ends with %s", routerName, c.ask.Call.ID, r.Kind)
	receipt := failure.Responses[r.Kind]
	if receipt.NotExecuted && c.runs > 0 {
		k.violationf("%s was rejected as %s but had run", c.ask.Call.ID, r.Kind)
	}
	if slices.Contains(denialKinds, r.Kind) && !k.disksLost {
		allowedByAll := true
		for _, s := range k.possiblyInForce() {
			allowedByAll = allowedByAll && k.allows(s, c.ask)
		}
		if allowedByAll {
			k.violationf("%s is allowed but was turned away as %s", c.ask.Call.ID, r.Kind)
		}
	}
	if (r.Kind == failure.Expired || r.Kind == failure.Full || r.Kind == failure.NotReady) && k.couldBeServed(routerName, c) {
		k.Stats.NeedlessRejections++
	}
	if receipt.NotExecuted && r.RetryAfter == 0 && receipt.Status == 503 {
		k.violationf("a rejected request got no Retry-After time")
	}
	if r.RetryAfter > 0 && c.ask.Call.Repeatable && !c.repeat && k.world.rand.IntN(8) == 0 {
		next := c.ask
		next.Call.ID += "-r"
		next.Call.Repeat = true
		k.world.After(r.RetryAfter, func() { k.world.Ask(next, true) })
	}
}

// checkEvent checks one event of an answer.
func (k *Checker) checkEvent(f *attempt, e standin.Event) {
	c := f.call
	if c.finished {
		k.violationf("%s got an event after its end", c.ask.Call.ID)
		return
	}
	if c.eventCount == 0 {
		c.server, c.runID = e.Server, e.Go
	}
	if why := standin.CheckEvent(c.ask, e, c.eventCount, c.server, c.runID); why != "" {
		k.violationf("%s: %s", c.ask.Call.ID, why)
	}
	c.eventCount++
	k.Stats.Events++
}

// finishCall records a complete answer.
func (k *Checker) finishCall(f *attempt) {
	f.call.finished = true
	k.Stats.Answered++
	if k.healedAt != 0 && k.Stats.Recovery == 0 && k.world.now >= k.healedAt {
		k.Stats.Recovery = k.world.now.Sub(k.healedAt) + 1
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
	if c.ask.Call.Repeatable || c.callerRepeat || k.world.CallerRepeatOdds == 0 || k.world.rand.Float64() >= k.world.CallerRepeatOdds {
		return
	}
	next := c.ask
	next.Call.Repeat = k.world.rand.IntN(2) == 0
	k.Stats.CallerRepeats++
	k.world.After(clock.Span(k.world.rand.Int64N(800e6)), func() { k.world.Ask(next, next.Call.Repeat); k.calls[len(k.calls)-1].callerRepeat = true })
}

// couldBeServed reports whether a rejected request could have been served: its router has a valid lease, and
// a reachable healthy server has held the model for more than 6 s and has at least half of its slots free.
func (k *Checker) couldBeServed(routerName string, c *call) bool {
	w := k.world
	p := w.procs[routerName]
	if _, _, held := p.core.(*router.Core).InForce(p.localTime(w.now)); !held || w.now < p.frozenUntil {
		return false
	}
	key := ident.NewKey(c.ask.Call.Model, c.ask.Call.Adapter)
	for _, n := range w.procNames {
		s := w.procs[n]
		server, ok := s.core.(*standin.Server)
		if !ok || !s.up || w.now < s.frozenUntil || k.emptySince(s.zone) != 0 || w.cuts[[2]string{p.machine, s.machine}] || w.cuts[[2]string{s.machine, p.machine}] {
			continue
		}
		if _, gone := k.unavailableSince[n]; gone {
			continue
		}
		if age, ok := server.ReadyFor(key); ok && age > 6e9 && server.Active() < w.options.Slots/2 {
			return true
		}
	}
	return false
}

// MarkUnavailable records that a server is leaving, stopped or unreachable from now on.
func (k *Checker) MarkUnavailable(server string) { k.unavailableSince[server] = k.world.now }

// MarkAvailable records that a server is available again.
func (k *Checker) MarkAvailable(server string) { delete(k.unavailableSince, server) }

// Finish checks the conditions on the run as a whole and returns its measurements.
func (k *Checker) Finish() Stats {
	s := &k.Stats
	for _, c := range k.calls {
		if d := c.firstSentAt.Sub(c.askedAt); c.firstSentAt != 0 && d > 250e6 {
			s.Waited++
			s.WaitTime += d
		}
		switch {
		case !c.finished && k.world.now.Sub(c.askedAt) > 45e9:
			k.violationf("%s got no final answer within 45 s", c.ask.Call.ID)
		case c.finished && c.outcome != "":
			s.Kinds[c.outcome]++
			switch {
			case c.outcome == string(failure.Unclear):
				s.Unclear++
			case c.outcome == string(failure.Cut):
				s.Cut++
			case failure.Responses[failure.Kind(c.outcome)].NotExecuted:
				s.Dropped++
			default:
				s.Broken++
			}
		}
	}
	if n := float64(s.Retries); k.world.hosted == nil && n > maxRetryShare*float64(s.FirstAttempts) {
		k.violationf("%d retries to %d first attempts", s.Retries, s.FirstAttempts)
	}
	// Callers' repeats count against the same allowance, since routers admit only a limited number.
	admittedRepeats := 0
	for _, c := range k.calls {
		if c.repeat && c.outcome != string(failure.AllowanceSpent) && c.sends > 0 {
			admittedRepeats++
		}
	}
	if n := float64(s.Retries + admittedRepeats); k.world.hosted == nil && n > maxRetryShare*float64(s.FirstAttempts) {
		k.violationf("%d retries and repeats to %d first attempts", s.Retries+admittedRepeats, s.FirstAttempts)
	}
	if k.world.hosted != nil {
		k.checkHostedRun()
	} else {
		k.checkRetryWindows()
	}
	// Requests may be rejected only for lack of available servers or capacity.
	if float64(s.NeedlessRejections) > 0.01*float64(s.Requests) && !k.disksLost {
		k.violationf("%d of %d requests were rejected although a server could have served them", s.NeedlessRejections, s.Requests)
	}
	k.checkHistory()
	// Each epoch is one change. More epochs than changes mean that a change was applied twice.
	maxEpoch := ident.Epoch(0)
	for _, x := range k.states {
		if x.rejectedAt == 0 {
			maxEpoch = max(maxEpoch+1, x.number)
		}
	}
	if n := k.latestConfirmed(k.world.now); n != nil && !k.disksLost && n.epoch > maxEpoch {
		k.violationf("epoch %d was reached by %d changes", n.epoch, maxEpoch)
	}
	storeCounts := k.world.store.Counts()
	s.Pulls = storeCounts.Pulls
	if storeCounts.Over > 0 {
		k.violationf("loads exceeded the store's budget by %d pulls", storeCounts.Over)
	}
	k.addProcessCounts()
	if k.healedAt != 0 && (s.Recovery == 0 || s.Recovery > maxRecovery) {
		k.violationf("service came back %v after the outage", s.Recovery)
	}
	return *s
}

// addProcessCounts adds the processes' own counters to the measurements and checks their limits.
func (k *Checker) addProcessCounts() {
	s := &k.Stats
	for _, n := range k.world.procNames {
		switch c := k.world.procs[n].core.(type) {
		case *standin.Server:
			t := c.Counts()
			s.PeakCold = max(s.PeakCold, t.PeakCold)
			s.Prompt += t.PromptBytes
			s.RefusedLate += t.DropKinds[failure.Late]
			s.Reused += t.Reused
			if t.PeakCold > k.world.options.Slots {
				k.violationf("%s was flooded while cold: %d at once on %d slots", n, t.PeakCold, k.world.options.Slots)
			}
			if c.Used() > k.world.room(n) {
				k.violationf("%s uses more memory than it has", n)
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
func (s Stats) String() string {
	var l []string
	for k := range s.Kinds {
		l = append(l, k)
	}
	sort.Strings(l)
	for i, k := range l {
		l[i] = fmt.Sprintf("%s %d", k, s.Kinds[k])
	}
	return fmt.Sprintf("asked %d answered %d dropped %d unclear %d cut %d broke %d | firsts %d retries %d repeats %d | plan %v gone %v zone %v back %v no-owner %v | hits %d lookups %d breaks %d acks %d lapses %d unloads %d cold %d reigns %d | window %.3f late %d again %d/%d/%d | moves %d held %d for %v pulls %d needless %d operations %d [%s]",
		s.Requests, s.Answered, s.Dropped, s.Unclear, s.Cut, s.Broken, s.FirstAttempts, s.Retries, s.Repeats, s.PlanLag, s.GoneLag, s.ZoneLag, s.Recovery, s.LeaderlessTime,
		s.Hits, s.Lookups, s.Breaks, s.Acks, s.Lapses, s.Unloads, s.PeakCold, s.LeaderTerms, s.WorstRetryShare, s.RefusedLate, s.CallerRepeats, s.RefusedRepeats, s.RepeatedRuns, s.Moves, s.Waited, s.WaitTime.Round(1e8), s.Pulls, s.NeedlessRejections, s.Operations, strings.Join(l, ", "))
}
