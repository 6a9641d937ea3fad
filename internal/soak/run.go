package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/invariant"
	"tidedeck/internal/localfleet"
	"tidedeck/platform/peer"
)

// soakRun is one run: a fleet, its servers, callers and operators.
type soakRun struct {
	options     Options
	judge       *judge
	fleet       *fleet
	front       *front
	ledger      *ledger
	servers     []*server
	callersRude atomic.Bool
	first       func(*peer.Configuration) // tunes the first configuration; nothing if nil
	pace        atomic.Int64              // most time between two orders of an operator, in ns
	routes      atomic.Int64              // that configurations have beside those that callers use, where many are wanted
}

// Report is what a run came to.
type Report struct {
	Seed       uint64
	Violations []string
	Requests   Tally
	Troubles   map[string]int
	Changes    int // acknowledged
	PeakMb     map[string]int
}

// Waits for what must come about in the end, however slow the machine is.
const (
	startWait  = 60 * time.Second
	settleWait = 60 * time.Second
	loadWait   = 60 * time.Second
	tailCalls  = 150 // of the calm time at the end
)

// Run plays one run. The error is one of the run itself; broken promises are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	only, err := kindsNamed(o.Only)
	if err != nil {
		return Report{}, err
	}
	j := newJudge(o)
	r, err := newRun(o, j)
	if err != nil {
		return Report{}, err
	}
	return r.play(ctx, only)
}

// play brings the run's fleet up, has troubles of some kinds play, and takes all down again.
func (r *soakRun) play(ctx context.Context, only []kind) (Report, error) {
	defer r.fleet.down()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer r.crashServers()
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	go r.watchMemory(ctx)
	t := newTroubles(r)
	t.kinds = only
	r.busy(ctx, t)
	r.end(ctx)
	return r.report(t), nil
}

// crashServers ends every server of the run.
func (r *soakRun) crashServers() {
	for _, s := range r.servers {
		s.crash()
	}
}

// report sums the run up once it is over.
func (r *soakRun) report(t *troubles) Report {
	r.judge.finish()
	r.readInvariants()
	report := Report{Seed: r.options.Seed, Violations: r.judge.violations, Requests: r.judge.tally(), Troubles: t.counts, PeakMb: map[string]int{}}
	for _, m := range r.fleet.machines {
		report.PeakMb[m.name] = m.peak() >> 10
	}
	report.Changes = r.ledger.acknowledged()
	return report
}

func newRun(o Options, j *judge) (*soakRun, error) {
	f, err := newFleet(o, j)
	if err != nil {
		return nil, err
	}
	r := &soakRun{options: o, judge: j, fleet: f, ledger: &ledger{judge: j}, front: &front{fleet: f, miss: map[string]int{}}}
	j.ledger = r.ledger
	r.pace.Store(int64(ordinaryPace))
	return r, nil
}

// start brings up the fleet, the servers and the first configuration.
func (r *soakRun) start(ctx context.Context) error {
	if err := r.fleet.up(); err != nil {
		return err
	}
	place := 0
	for i := range r.options.Servers {
		s := newServer(r.fleet, place, modelService, r.options.Seed)
		place++
		if err := r.add(s, modelName(i%modelCount), modelName((i+1)%modelCount), modelName((i+2)%modelCount)); err != nil {
			return err
		}
	}
	for _, service := range []string{plainService, plainService, otherService, otherService} {
		s := newServer(r.fleet, place, service, r.options.Seed)
		place++
		if err := r.add(s); err != nil {
			return err
		}
	}
	go r.front.watch(ctx)
	first := newOperator(r, 0)
	c := first.draw(0)
	r.ledger.begin(c)
	if err := until(ctx, startWait, "the first configuration is taken", func() bool { return first.send(c, first.node()) }); err != nil {
		return err
	}
	return until(ctx, startWait, "every router is ready", r.ready)
}

func (r *soakRun) add(s *server, models ...string) error {
	if err := r.fleet.links.Open(s.address, s.bind); err != nil {
		return errors.Wrap(err, "link of a server")
	}
	r.servers = append(r.servers, s)
	return s.begin(models...)
}

func (r *soakRun) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range r.fleet.of(routerRole) {
		answer, err := client.Get("http://" + at(m.told, portReadiness) + peer.PathReadiness)
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// busy runs callers, operators and troubles beside each other until the troubles are over.
func (r *soakRun) busy(ctx context.Context, t *troubles) {
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i := range r.options.Callers {
		c := &caller{run: r, number: i, random: rand.New(rand.NewPCG(r.options.Seed, 1000+uint64(i)))}
		all.Go(func() { c.loop(ctx) })
	}
	for i := range operatorCount {
		o := newOperator(r, i+1)
		all.Go(func() { o.loop(ctx) })
	}
	wait(ctx, time.Second)
	t.play(ctx)
	stop()
	all.Wait()
}

const operatorCount = 3

// end waits until all is well again, looks at what was acknowledged, and stops the fleet in order.
func (r *soakRun) end(ctx context.Context) {
	j := r.judge
	healed := time.Now()
	j.note("troubles are over")
	if err := until(ctx, settleWait, "every router is ready", r.ready); err != nil {
		j.violate("RECOVER", "%v", err)
		return
	}
	last := newOperator(r, 9)
	r.readEverywhere(ctx, last)
	r.changeAgain(ctx, last)
	r.tail(ctx)
	if took := time.Since(healed); !r.options.Safety && took > recoverySpan+settleSlack {
		j.violate("RECOVER", "all was well again %v after the troubles", took)
	}
	r.readEverywhere(ctx, last)
	r.readFigures()
	r.stopAll()
}

// readFigures looks for keys in what routers and core nodes show of themselves.
func (r *soakRun) readFigures() {
	client := &http.Client{Timeout: ackSpan, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range r.fleet.machines {
		for _, path := range []string{"/metrics", "/-/requests?last=1000"} {
			answer, err := client.Get("http://" + at(m.told, portMetrics) + path)
			if err != nil {
				continue // it may show nothing of the kind
			}
			text, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			for _, key := range secretKeys {
				if strings.Contains(string(text), key) {
					r.judge.violate("UNASKED", "%s shows a key at %s", m.name, path)
				}
			}
		}
	}
}

// settleSlack is what looking at it costs.
const settleSlack = 6 * time.Second

// readEverywhere reads the configuration at every core node until each gives it, and then again and again for a while;
// each must show the newest.
func (r *soakRun) readEverywhere(ctx context.Context, o *operator) {
	for _, m := range r.fleet.of(controllerRole) {
		if err := until(ctx, settleWait, m.name+" shows the configuration", func() bool { return o.readBack(m) > 0 }); err != nil {
			r.judge.violate("CONFIG", "%v", err)
		}
	}
	for end := time.Now().Add(contactSpan); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, readPause) {
		for _, m := range r.fleet.of(controllerRole) {
			if o.readBack(m) == 0 && !r.options.Safety {
				r.judge.violate("CONFIG", "%s answers no read in a calm time", m.name)
			}
		}
	}
}

// readPause is the time between two reads of every core node.
const readPause = 100 * time.Millisecond

// changeAgain wants one more change taken.
func (r *soakRun) changeAgain(ctx context.Context, o *operator) {
	err := until(ctx, settleWait, "a change is taken", func() bool {
		base := o.readBack(o.node())
		if base == 0 {
			return false
		}
		c := o.draw(base)
		if c.invalid {
			return false
		}
		o.settle(ctx, c)
		return !c.acked.IsZero()
	})
	if err != nil {
		r.judge.violate("RECOVER", "%v", err)
	}
}

// tail sends requests in calm times until so many in a row are served; what may be asked again must be.
func (r *soakRun) tail(ctx context.Context) {
	c := &caller{run: r, number: 9999, steady: true, random: rand.New(rand.NewPCG(r.options.Seed, 5))}
	defer c.hangUp()
	row := 0
	err := until(ctx, loadWait, fmt.Sprintf("%d requests in a row are served", tailCalls), func() bool {
		c.one()
		r.judge.mu.Lock()
		t := r.judge.tries[fmt.Sprintf("c%d-%d-%d", r.options.Seed, c.number, c.sent)]
		ok := t != nil && t.result == served
		r.judge.mu.Unlock()
		if row++; !ok {
			row = 0
		}
		return row >= tailCalls
	})
	if err != nil {
		r.judge.violate("RECOVER", "%v", err)
	}
}

// stopAll stops every machine as planned.
func (r *soakRun) stopAll() {
	var all sync.WaitGroup
	for _, m := range r.fleet.machines {
		all.Go(func() {
			if !m.stop(2*graceSpan) && !r.options.Safety {
				r.judge.violate("LOST", "%s does not stop", m.name)
			}
		})
	}
	all.Wait()
}

// readInvariants looks for violated invariants in every process's log, over all of its starts.
func (r *soakRun) readInvariants() {
	for _, m := range r.fleet.machines {
		for _, line := range suspicious(m.log()) {
			r.judge.violate("INVARIANT", "%s: %s", m.name, line)
		}
	}
}

// mostLine bounds a line of a log.
const mostLine = 1 << 20

// suspicious gives the lines of a log that tell of a violated invariant, a panic or a data race, or tell a key.
func suspicious(path string) (found []string) {
	f, err := os.Open(path)
	if err != nil {
		return []string{err.Error()}
	}
	defer f.Close()
	lines := bufio.NewReaderSize(f, mostLine)
	for {
		line, err := lines.ReadString('\n')
		for _, sign := range append([]string{invariant.Sign, "panic:", "fatal error:", "WARNING: DATA RACE"}, secretKeys...) {
			if strings.Contains(line, sign) {
				found = append(found, strings.TrimSpace(line))
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				found = append(found, err.Error())
			}
			return found
		}
	}
}

// until asks again and again until something holds, for a while at the most.
func until(ctx context.Context, most time.Duration, what string, holds func() bool) error {
	bounded, stop := context.WithTimeout(ctx, most)
	defer stop()
	return localfleet.Until(bounded, what, holds)
}
