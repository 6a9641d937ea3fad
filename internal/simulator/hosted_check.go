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
	at   clock.Tick
	from string
}

// hostedRecords holds the checkers' records on announced servers.
type hostedRecords struct {
	owners      map[ident.Duty]string
	highestTerm map[string]ident.Duty
	orders      map[string][]orderRecord
	arrivals    map[string][]launchRecord // by service
	checkedAt   clock.Tick
	reported    map[string]bool
}

func newHostedRecords() hostedRecords {
	return hostedRecords{owners: map[ident.Duty]string{}, highestTerm: map[string]ident.Duty{}, orders: map[string][]orderRecord{}, arrivals: map[string][]launchRecord{}, reported: map[string]bool{}}
}

// checkHostedOrder checks an order on arrival at a server that does not check fencing numbers.
func (k *Checker) checkHostedOrder(p, s *proc, o protocol.Order, r standin.BatchAnswer) {
	w, records := k.w, &k.batch
	w.tracef("%s: duty %d orders %s to %s %s (expects %d): %d", p.name, o.Duty, s.name, o.Op, o.Key, o.Expected, r.Code)
	if r.Over {
		k.bad("%s was ordered past its room or places by %s", s.name, o.Key)
	}
	if r.Code == 400 {
		k.bad("%s got an invalid order: %s %s", s.name, o.Op, o.Key)
	}
	if r.Code == 202 {
		k.Seen.Orders++
		if o.Op == "unload" {
			k.Seen.Unloads++
			for _, holder := range w.Routers() {
				if holder.core.(*router.Core).Promises(holder.tick(w.now), o.Key, s.server, 0) {
					k.bad("%s was ordered to unload %s while %s held a promise on it", s.name, o.Key, holder.name)
				}
			}
		}
	} else {
		k.Seen.OrdersRefused++
	}
	if leader, ok := records.owners[o.Duty]; ok && leader != p.name {
		k.bad("two controllers, %s and %s, order under term %d", leader, p.name, o.Duty)
	}
	records.owners[o.Duty] = p.name
	if t, ok := w.disruptions.thawedAt[p.box]; ok && w.now.Sub(t) < w.o.Hosted.ThawAllowance || !w.linkStable(p.box, s.box, w.o.Hosted.ThawAllowance) {
		return // orders delayed by faults are not checked
	}
	if o.Duty < records.highestTerm[s.name] {
		k.bad("%s was given an order of duty %d after one of duty %d", s.name, o.Duty, records.highestTerm[s.name])
	}
	records.highestTerm[s.name] = max(records.highestTerm[s.name], o.Duty)
	orders := records.orders[s.name]
	otherBetween := false
	for i := len(orders) - 1; i >= 0 && w.now.Sub(orders[i].at) < w.o.Hosted.Tenure; i-- {
		if orders[i].from != p.name {
			otherBetween = true
		} else if otherBetween {
			k.bad("%s was ordered by %s, by another and by %s again within %v", s.name, p.name, p.name, w.o.Hosted.Tenure)
			break
		}
	}
	records.orders[s.name] = append(orders, orderRecord{w.now, p.name})
}

// checkStoreRate checks that loads from the store begin no faster than its rate allows.
func (k *Checker) checkStoreRate() {
	hosted := k.w.host
	rate := 0.0
	for _, v := range hosted.plan.Services {
		rate += v.Loads
	}
	begun := 0
	for i := len(hosted.storeLoads) - 1; i >= 0 && k.w.now.Sub(hosted.storeLoads[i].at) <= 5e9; i-- {
		begun += b2i(hosted.storeLoads[i].coreWasStable)
	}
	k.Seen.PeakStoreLoads = max(k.Seen.PeakStoreLoads, begun)
	if float64(begun) > rate*5*1.1+3 {
		k.bad("%d loads from the store began in 5 s, though it allows %.1f per second", begun, rate)
	}
}

// checkReached checks a request that reached the announced server that it is addressed to.
func (k *Checker) checkReached(f *attempt, s *proc) {
	w := k.w
	a := w.host.byProcess[s.name]
	if a != nil {
		k.batch.arrivals[a.Service] = append(k.batch.arrivals[a.Service], launchRecord{w.now, f.call != nil && f.call.sends == 1})
	}
	if a == nil || a.leaveAckedInTouchAt == 0 {
		return
	}
	lag := w.now.Sub(a.leaveAckedInTouchAt)
	if !w.inTouch(f.router) || !w.linkStable(f.router.box, s.box, w.o.Hosted.ContactTime) {
		return
	}
	k.Seen.GoneLag = max(k.Seen.GoneLag, lag)
	if lag > w.o.Hosted.Timing.Drain {
		k.bad("%s got a request from %s %v after its leaving was acknowledged", s.name, f.router.name, lag)
	}
}

// checkAllowed checks that a plan that may be in force at a router allows the request at this server.
func (k *Checker) checkAllowed(f *attempt, s *proc) {
	c, w := f.call, k.w
	inTouch := w.inTouch(f.router)
	a := w.host.byProcess[s.name]
	for _, st := range k.states {
		if !st.isPlan || st.rejectedAt != 0 || st.sentAt > w.now || st.plan == nil {
			continue
		}
		if inTouch && st.supersededAt != 0 && w.now.Sub(st.supersededAt) > w.o.Hosted.Timing.Apply+100e6 {
			continue
		}
		m, why := st.plan.Match(c.ask.Call.Query(c.ask.Route))
		if why == failure.None && (a == nil || m.Key.Service() == a.Service) && m.Tenant == f.launch.Work.Tenant && m.Keyed == f.launch.Keyed {
			return
		}
	}
	k.bad("%s sent %s %s of tenant %q (keyed: %v) to %s, which ran it, though no plan allows it", f.router.name, c.ask.Route,
		ident.KeyOf(f.launch.Work.Base, f.launch.Work.Extra), f.launch.Work.Tenant, f.launch.Keyed, s.name)
}

// checkHosted compares the leader's view with the acknowledgements to servers, and the epochs of connected routers with
// the replies to operators.
func (k *Checker) checkHosted() {
	w := k.w
	if w.now.Sub(k.batch.checkedAt) < 50e6 {
		return
	}
	k.batch.checkedAt = w.now
	for _, p := range w.Routers() {
		if w.now < p.frozenUntil || !w.inTouch(p) {
			continue
		}
		r := p.core.(*router.Core)
		if !r.Routes(p.tick(w.now)) {
			continue // does not route, so its epoch does not matter
		}
		_, e, _ := r.Rules(p.tick(w.now))
		for _, s := range k.states {
			if s.confirmedAt != 0 && s.epoch > e && w.now.Sub(s.confirmedAt) > w.o.Hosted.Timing.Apply && !k.batch.reported[fmt.Sprint(p.name, s.epoch)] {
				k.batch.reported[fmt.Sprint(p.name, s.epoch)] = true
				k.bad("%s routes under epoch %d, %v after epoch %d was confirmed", p.name, e, w.now.Sub(s.confirmedAt), s.epoch)
			}
		}
	}
	for _, p := range w.controllers() {
		c := p.core.(*controller.Core)
		if _, ok := c.Owns(p.tick(w.now)); !ok || w.now < p.frozenUntil {
			continue
		}
		for _, o := range c.Step(p.tick(w.now), controller.Admin{Op: "servers", Token: 1 << 60}) {
			r, ok := o.(controller.Receipt)
			if !ok || r.Token != 1<<60 {
				w.handleOutput(p, o)
				continue
			}
			k.checkServersView(p, r)
		}
	}
	for _, id := range generic.SortedKeys(w.host.byProcess) {
		a := w.host.byProcess[id]
		if a.leavingSince != 0 && a.acked == 0 && a.proc.up && w.now.Sub(a.leavingSince) > 4e9 && w.now.Sub(w.disruptions.coreAt) > 4e9+w.o.Hosted.ContactTime && w.coreStable() && !k.batch.reported[id] {
			k.batch.reported[id] = true
			k.bad("%s announced that it leaves and was not acknowledged", id)
		}
	}
}

// checkServersView checks that a leader does not consider servers live that were acknowledged as leaving.
func (k *Checker) checkServersView(p *proc, r controller.Receipt) {
	l, _ := r.View["servers"].([]map[string]any)
	for _, x := range l {
		id, _ := x["id"].(ident.Server)
		a := k.w.host.byProcess[string(id)]
		if a != nil && a.acked != 0 && (x["offered"] == true || a.proc.up && x["state"] == "live") && !k.batch.reported[p.name+string(id)] {
			k.batch.reported[p.name+string(id)] = true
			k.bad("%s was acknowledged as leaving, but leader %s considers it live", id, p.name)
		}
	}
}

// checkHostedRun checks each service's retries against its first attempts, and that no two changes on the same epoch
// were both accepted.
func (k *Checker) checkHostedRun() {
	for _, service := range generic.SortedKeys(k.batch.arrivals) {
		k.checkRetryBudget(service, k.batch.arrivals[service])
	}
	byBase := map[ident.Epoch]string{}
	for _, s := range k.states {
		if s.number == 0 || s.confirmedAt == 0 {
			continue
		}
		if other, ok := byBase[s.base]; ok && other != string(s.raw) {
			k.bad("two changes based on epoch %d were both accepted", s.base)
		}
		byBase[s.base] = string(s.raw)
	}
}

// checkRetryBudget checks the arrivals at one service: within any 10 s, retries and repeats may not exceed a fifth of
// the first attempts plus the retry margin.
func (k *Checker) checkRetryBudget(service string, arrivals []launchRecord) {
	margin := k.w.o.Hosted.RetryMargin
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
		k.Seen.WorstRetryShare = max(k.Seen.WorstRetryShare, float64(retries)/float64(max(1, firsts)))
		if float64(retries) > maxRetryShare*float64(firsts)+margin {
			k.bad("%d retries and repeats at %s in 10 s, to %d first attempts (at %.1f s)", retries, service, firsts, float64(x.at)/1e9)
			return
		}
	}
}
