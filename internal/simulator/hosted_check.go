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

// handed is one order as it reached a server.
type orderRecord struct {
	at   clock.Tick
	from string
}

// batchBooks is what the checkers keep of announced servers.
type hostedRecords struct {
	owners map[ident.Duty]string
	highestDuty   map[string]ident.Duty
	orders  map[string][]orderRecord
	arrivals  map[string][]launchRecord // by service
	checkedAt clock.Tick
	reported  map[string]bool
}

func newHostedRecords() hostedRecords {
	return hostedRecords{owners: map[ident.Duty]string{}, highestDuty: map[string]ident.Duty{}, orders: map[string][]orderRecord{}, arrivals: map[string][]launchRecord{}, reported: map[string]bool{}}
}

// orderedBatch looks at an order as it reached a server that checks no fence.
func (k *Checker) checkHostedOrder(p, s *proc, o protocol.Order, r standin.BatchAnswer) {
	w, b := k.w, &k.batch
	w.tracef("%s: duty %d tells %s to %s %s (expects %d): %d", p.name, o.Duty, s.name, o.Op, o.Key, o.Expected, r.Code)
	if r.Over {
		k.bad("%s was ordered past its room or places by %s", s.name, o.Key)
	}
	if r.Code == 400 {
		k.bad("%s was given an order that is none: %s %s", s.name, o.Op, o.Key)
	}
	if r.Code == 202 {
		k.Seen.Orders++
		if o.Op == "unload" {
			k.Seen.Unloads++
			for _, l := range w.Routers() {
				if l.core.(*router.Core).Promises(l.tick(w.now), o.Key, s.server, 0) {
					k.bad("%s was told to unload %s while %s held a promise on it", s.name, o.Key, l.name)
				}
			}
		}
	} else {
		k.Seen.OrdersRefused++
	}
	if was, ok := b.owners[o.Duty]; ok && was != p.name {
		k.bad("two controllers, %s and %s, order under duty %d", was, p.name, o.Duty)
	}
	b.owners[o.Duty] = p.name
	if t, ok := w.disruptions.thawedAt[p.box]; ok && w.now.Sub(t) < w.o.Hosted.ThawAllowance || !w.linkStable(p.box, s.box, w.o.Hosted.ThawAllowance) {
		return // what trouble held up is not counted
	}
	if o.Duty < b.highestDuty[s.name] {
		k.bad("%s was given an order of duty %d after one of %d", s.name, o.Duty, b.highestDuty[s.name])
	}
	b.highestDuty[s.name] = max(b.highestDuty[s.name], o.Duty)
	l := b.orders[s.name]
	other := false
	for i := len(l) - 1; i >= 0 && w.now.Sub(l[i].at) < w.o.Hosted.Tenure; i-- {
		if l[i].from != p.name {
			other = true
		} else if other {
			k.bad("%s was ordered by %s, by another and by %s again within %v", s.name, p.name, p.name, w.o.Hosted.Tenure)
			break
		}
	}
	b.orders[s.name] = append(l, orderRecord{w.now, p.name})
}

// ceiling holds the loads that began at the store against its rate.
func (k *Checker) checkStoreRate() {
	h := k.w.host
	rate := 0.0
	for _, v := range h.plan.Services {
		rate += v.Loads
	}
	n := 0
	for i := len(h.storeLoads) - 1; i >= 0 && k.w.now.Sub(h.storeLoads[i].at) <= 5e9; i-- {
		n += b2i(h.storeLoads[i].coreWasStable)
	}
	k.Seen.PeakStoreLoads = max(k.Seen.PeakStoreLoads, n)
	if float64(n) > rate*5*1.1+3 {
		k.bad("%d loads from the store began in 5 s, which bears %.1f a second", n, rate)
	}
}

// reached looks at a request as it reached an announced server that did not refuse it as not its.
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

// meant looks at whether a plan that may be in force at a router allows what it sends, and there.
func (k *Checker) checkAllowed(f *attempt, s *proc) {
	c, w := f.call, k.w
	touch := w.inTouch(f.router)
	a := w.host.byProcess[s.name]
	for _, st := range k.states {
		if !st.isPlan || st.rejectedAt != 0 || st.sentAt > w.now || st.plan == nil {
			continue
		}
		if touch && st.supersededAt != 0 && w.now.Sub(st.supersededAt) > w.o.Hosted.Timing.Apply+100e6 {
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

// lookHosted holds the owner's view against what servers were told, and routers in touch against
// what operators were told.
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
			continue // it sends nothing, by whatever it has
		}
		_, e, _ := r.Rules(p.tick(w.now))
		for _, s := range k.states {
			if s.confirmedAt != 0 && s.epoch > e && w.now.Sub(s.confirmedAt) > w.o.Hosted.Timing.Apply && !k.batch.reported[fmt.Sprint(p.name, s.epoch)] {
				k.batch.reported[fmt.Sprint(p.name, s.epoch)] = true
				k.bad("%s routes under epoch %d, %v after %d was told", p.name, e, w.now.Sub(s.confirmedAt), s.epoch)
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
			k.bad("%s said that it leaves and was not acknowledged", id)
		}
	}
}

func (k *Checker) checkServersView(p *proc, r controller.Receipt) {
	l, _ := r.View["servers"].([]map[string]any)
	for _, x := range l {
		id, _ := x["id"].(ident.Server)
		a := k.w.host.byProcess[string(id)]
		if a != nil && a.acked != 0 && (x["offered"] == true || a.proc.up && x["state"] == "live") && !k.batch.reported[p.name+string(id)] {
			k.batch.reported[p.name+string(id)] = true
			k.bad("%s was acknowledged as leaving, and owner %s takes it to stay", id, p.name)
		}
	}
}

// finishHosted holds what arrived beyond the first against what was asked, at each service by itself, and changes against each other.
func (k *Checker) checkHostedRun() {
	for _, service := range generic.SortedKeys(k.batch.arrivals) {
		k.checkRetryBudget(service, k.batch.arrivals[service])
	}
	on := map[ident.Epoch]string{}
	for _, s := range k.states {
		if s.number == 0 || s.confirmedAt == 0 {
			continue
		}
		if was, ok := on[s.base]; ok && was != string(s.raw) {
			k.bad("two changes that go on epoch %d were both taken", s.base)
		}
		on[s.base] = string(s.raw)
	}
}

// budget looks at the arrivals at one service.
func (k *Checker) checkRetryBudget(service string, l []launchRecord) {
	most := k.w.o.Hosted.RetryMargin
	a, more, base := 0, 0, 0
	for _, x := range l {
		if x.first {
			base++
		} else {
			more++
		}
		for ; x.at.Sub(l[a].at) > 10e9; a++ {
			if l[a].first {
				base--
			} else {
				more--
			}
		}
		k.Seen.WorstRetryShare = max(k.Seen.WorstRetryShare, float64(more)/float64(max(1, base)))
		if float64(more) > maxRetryShare*float64(base)+most {
			k.bad("%d arrivals beyond the first at %s in 10 s, to %d first ones (at %.1f s)", more, service, base, float64(x.at)/1e9)
			return
		}
	}
}
