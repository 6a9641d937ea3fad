package simulator

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/internal/standin"
)

// orderRecord records the arrival of an order at a server.
type orderRecord struct {
	at   clock.Instant
	from string
}

// hostedRecords holds the checkers' records on announced servers.
type hostedRecords struct {
	leadersByTerm map[ident.Term]string
	highestTerm   map[string]ident.Term
	orders        map[string][]orderRecord
	arrivals      map[string][]launchRecord // by service
	checkedAt     clock.Instant
	reported      map[string]bool
}

func newHostedRecords() hostedRecords {
	return hostedRecords{leadersByTerm: map[ident.Term]string{}, highestTerm: map[string]ident.Term{}, orders: map[string][]orderRecord{}, arrivals: map[string][]launchRecord{}, reported: map[string]bool{}}
}

// checkHostedOrder checks an order on arrival at a server that does not check fencing numbers.
func (k *Checker) checkHostedOrder(p, s *proc, o protocol.Order, r standin.BatchAnswer) {
	w, records := k.world, &k.hosted
	w.tracef("%s: duty %d orders %s to %s %s (expects %d): %d", p.name, o.Term, s.name, o.Op, o.Key, o.Expected, r.Code)
	if r.OverCapacity {
		k.violationf("%s was ordered past its room or places by %s", s.name, o.Key)
	}
	if r.Code == 400 {
		k.violationf("%s got an invalid order: %s %s", s.name, o.Op, o.Key)
	}
	if r.Code == 202 {
		k.Stats.Orders++
		if o.Op == "unload" {
			k.Stats.Unloads++
			for _, holder := range w.Routers() {
				if holder.core.(*router.Core).RoutesTo(holder.localTime(w.now), o.Key, s.server, 0) {
					k.violationf("%s was ordered to unload %s while %s held a promise on it", s.name, o.Key, holder.name)
				}
			}
		}
	} else {
		k.Stats.OrdersRefused++
	}
	if leader, ok := records.leadersByTerm[o.Term]; ok && leader != p.name {
		k.violationf("two controllers, %s and %s, order under term %d", leader, p.name, o.Term)
	}
	records.leadersByTerm[o.Term] = p.name
	if t, ok := w.disruptions.thawedAt[p.machine]; ok && w.now.Sub(t) < w.options.Hosted.ThawAllowance || !w.linkStable(p.machine, s.machine, w.options.Hosted.ThawAllowance) {
		return // orders delayed by faults are not checked
	}
	if o.Term < records.highestTerm[s.name] {
		k.violationf("%s was given an order of duty %d after one of duty %d", s.name, o.Term, records.highestTerm[s.name])
	}
	records.highestTerm[s.name] = max(records.highestTerm[s.name], o.Term)
	orders := records.orders[s.name]
	otherBetween := false
	for i := len(orders) - 1; i >= 0 && w.now.Sub(orders[i].at) < w.options.Hosted.Tenure; i-- {
		if orders[i].from != p.name {
			otherBetween = true
		} else if otherBetween {
			k.violationf("%s was ordered by %s, by another and by %s again within %v", s.name, p.name, p.name, w.options.Hosted.Tenure)
			break
		}
	}
	records.orders[s.name] = append(orders, orderRecord{w.now, p.name})
}

// checkStoreRate checks that loads from the store begin no faster than its rate allows.
func (k *Checker) checkStoreRate() {
	hosted := k.world.hosted
	rate := 0.0
	for _, v := range hosted.plan.Services {
		rate += v.LoadRate
	}
	begun := 0
	for i := len(hosted.storeLoads) - 1; i >= 0 && k.world.now.Sub(hosted.storeLoads[i].at) <= 5e9; i-- {
		begun += boolToInt(hosted.storeLoads[i].coreWasStable)
	}
	k.Stats.PeakStoreLoads = max(k.Stats.PeakStoreLoads, begun)
	if float64(begun) > rate*5*1.1+3 {
		k.violationf("%d loads from the store began in 5 s, though it allows %.1f per second", begun, rate)
	}
}

// checkReached checks a request that reached the announced server that it is addressed to.
func (k *Checker) checkReached(f *attempt, s *proc) {
	w := k.world
	a := w.hosted.byProcess[s.name]
	if a != nil {
		k.hosted.arrivals[a.Service] = append(k.hosted.arrivals[a.Service], launchRecord{w.now, f.call != nil && f.call.sends == 1})
	}
	if a == nil || a.leaveAckedInTouchAt == 0 {
		return
	}
	lag := w.now.Sub(a.leaveAckedInTouchAt)
	if !w.inTouch(f.router) || !w.linkStable(f.router.machine, s.machine, w.options.Hosted.ContactTime) {
		return
	}
	k.Stats.GoneLag = max(k.Stats.GoneLag, lag)
	if lag > w.options.Hosted.Timing.Drain {
		k.violationf("%s got a request from %s %v after its leaving was acknowledged", s.name, f.router.name, lag)
	}
}

// checkAllowed checks that a plan that may be in force at a router allows the request at this server.
func (k *Checker) checkAllowed(f *attempt, s *proc) {
	c, w := f.call, k.world
	inTouch := w.inTouch(f.router)
	a := w.hosted.byProcess[s.name]
	for _, st := range k.states {
		if !st.isPlan || st.rejectedAt != 0 || st.sentAt > w.now || st.plan == nil {
			continue
		}
		if inTouch && st.supersededAt != 0 && w.now.Sub(st.supersededAt) > w.options.Hosted.Timing.Apply+100e6 {
			continue
		}
		m, why := st.plan.Match(c.ask.Call.Query(c.ask.Route))
		if why == failure.None && (a == nil || m.Key.Service() == a.Service) && m.Tenant == f.launch.Work.Tenant && m.HasTenants == f.launch.Keyed {
			return
		}
	}
	k.violationf("%s sent %s %s of tenant %q (keyed: %v) to %s, which ran it, though no plan allows it", f.router.name, c.ask.Route,
		ident.NewKey(f.launch.Work.Model, f.launch.Work.Adapter), f.launch.Work.Tenant, f.launch.Keyed, s.name)
}

// checkHosted compares the leader's view with the acknowledgements to servers, and the epochs of connected routers with
// the replies to operators.
func (k *Checker) checkHosted() {
	w := k.world
	if w.now.Sub(k.hosted.checkedAt) < 50e6 {
		return
	}
	k.hosted.checkedAt = w.now
	for _, p := range w.Routers() {
		if w.now < p.frozenUntil || !w.inTouch(p) {
			continue
		}
		r := p.core.(*router.Core)
		if !r.CanRoute(p.localTime(w.now)) {
			continue // does not route, so its epoch does not matter
		}
		_, e, _ := r.InForce(p.localTime(w.now))
		for _, s := range k.states {
			if s.confirmedAt != 0 && s.epoch > e && w.now.Sub(s.confirmedAt) > w.options.Hosted.Timing.Apply && !k.hosted.reported[fmt.Sprint(p.name, s.epoch)] {
				k.hosted.reported[fmt.Sprint(p.name, s.epoch)] = true
				k.violationf("%s routes under epoch %d, %v after epoch %d was confirmed", p.name, e, w.now.Sub(s.confirmedAt), s.epoch)
			}
		}
	}
	for _, p := range w.controllers() {
		c := p.core.(*controller.Core)
		if _, ok := c.Owns(p.localTime(w.now)); !ok || w.now < p.frozenUntil {
			continue
		}
		for _, o := range c.Step(p.localTime(w.now), controller.Admin{Op: "servers", Token: 1 << 60}) {
			r, ok := o.(controller.Receipt)
			if !ok || r.Token != 1<<60 {
				w.handleOutput(p, o)
				continue
			}
			k.checkServersView(p, r)
		}
	}
	for _, id := range generic.SortedKeys(w.hosted.byProcess) {
		a := w.hosted.byProcess[id]
		if a.leavingSince != 0 && a.leaveAckedAt == 0 && a.proc.up && w.now.Sub(a.leavingSince) > 4e9 && w.now.Sub(w.disruptions.coreAt) > 4e9+w.options.Hosted.ContactTime && w.coreStable() && !k.hosted.reported[id] {
			k.hosted.reported[id] = true
			k.violationf("%s announced that it leaves and was not acknowledged", id)
		}
	}
}

// checkServersView checks that a leader does not consider servers live that were acknowledged as leaving.
func (k *Checker) checkServersView(p *proc, r controller.Receipt) {
	l, _ := r.View["servers"].([]map[string]any)
	for _, x := range l {
		id, _ := x["id"].(ident.Server)
		a := k.world.hosted.byProcess[string(id)]
		if a != nil && a.leaveAckedAt != 0 && (x["offered"] == true || a.proc.up && x["state"] == "live") && !k.hosted.reported[p.name+string(id)] {
			k.hosted.reported[p.name+string(id)] = true
			k.violationf("%s was acknowledged as leaving, but leader %s considers it live", id, p.name)
		}
	}
}

// checkHostedRun checks each service's retries against its first attempts, and that no two changes on the same epoch
// were both accepted.
func (k *Checker) checkHostedRun() {
	for _, service := range generic.SortedKeys(k.hosted.arrivals) {
		k.checkRetryBudget(service, k.hosted.arrivals[service])
	}
	byBase := map[ident.Epoch]string{}
	for _, s := range k.states {
		if s.number == 0 || s.confirmedAt == 0 {
			continue
		}
		if other, ok := byBase[s.base]; ok && other != string(s.raw) {
			k.violationf("two changes based on epoch %d were both accepted", s.base)
		}
		byBase[s.base] = string(s.raw)
	}
}

// checkRetryBudget checks the arrivals at one service: within any 10 s, retries and repeats may not exceed a fifth of
// the first attempts plus the retry margin.
func (k *Checker) checkRetryBudget(service string, arrivals []launchRecord) {
	margin := k.world.options.Hosted.RetryMargin
	start, retries, firsts := 0, 0, 0
	for _, x := range arrivals {
		if x.first {
			firsts++
		} else {
			retries++
		}
		for ; x.at.Sub(arrivals[start].at) > 10e9; start++ {
			if arrivals[start].first {
				firsts--
			} else {
				retries--
			}
		}
		k.Stats.WorstRetryShare = max(k.Stats.WorstRetryShare, float64(retries)/float64(max(1, firsts)))
		if float64(retries) > maxRetryShare*float64(firsts)+margin {
			k.violationf("%d retries and repeats at %s in 10 s, to %d first attempts (at %.1f s)", retries, service, firsts, float64(x.at)/1e9)
			return
		}
	}
}
