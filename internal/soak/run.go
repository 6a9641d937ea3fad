package soak

import (
	"bufio"
	"context"
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

// soakRun is one run with its fleet, servers, callers and operators.
type soakRun struct {
	options          Options
	checker          *checker
	fleet            *fleet
	loadBalancer     *loadBalancer
	history          *changeHistory
	servers          []*server
	callersMisbehave atomic.Bool
	tuneFirst        func(*peer.Configuration) // adjusts the first configuration, if not nil
	maxChangePause   atomic.Int64              // longest pause between two changes of an operator, in ns
	extraRoutes      atomic.Int64              // unused routes added to new configurations
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Violations []string
	Requests   Tally
	Troubles   map[string]int
	Changes    int // acknowledged changes
	PeakMB     map[string]int
}

// Time limits for conditions that must hold eventually, generous enough for a slow machine.
const (
	startTimeout  = 60 * time.Second
	settleTimeout = 60 * time.Second
)

// Run executes one run. The error is that of the run itself; violations are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	only, err := troubleKindsByName(o.OnlyTroubles)
	if err != nil {
		return Report{}, err
	}
	c := newChecker(o)
	r, err := newRun(o, c)
	if err != nil {
		return Report{}, err
	}
	return r.execute(ctx, only)
}

// execute starts the fleet, injects troubles of the given kinds under load, and stops the fleet.
func (r *soakRun) execute(ctx context.Context, only []troubleKind) (Report, error) {
	defer r.fleet.killAll()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer r.crashServers()
	s := newScheduler(r)
	s.kinds = only
	if err := r.start(ctx, s.troubleFirstStart); err != nil {
		return Report{}, err
	}
	go r.watchMemory(ctx)
	r.runLoad(ctx, s)
	r.finish(ctx)
	return r.makeReport(s), nil
}

// crashServers crashes every server of the run.
func (r *soakRun) crashServers() {
	for _, s := range r.servers {
		s.crash()
	}
}

// makeReport runs the final checks and returns the report.
func (r *soakRun) makeReport(s *scheduler) Report {
	r.checker.checkAll()
	r.readInvariants()
	report := Report{Seed: r.options.Seed, Violations: r.checker.violations, Requests: r.checker.tally(), Troubles: s.counts, PeakMB: map[string]int{}}
	for _, m := range r.fleet.machines {
		report.PeakMB[m.name] = m.peakMemory() >> 10
	}
	report.Changes = r.history.acknowledgedCount()
	return report
}

func newRun(o Options, c *checker) (*soakRun, error) {
	f, err := newFleet(o, c)
	if err != nil {
		return nil, err
	}
	r := &soakRun{options: o, checker: c, fleet: f, history: &changeHistory{checker: c}, loadBalancer: &loadBalancer{fleet: f, failedChecks: map[string]int{}}}
	c.history = r.history
	r.maxChangePause.Store(int64(ordinaryChangePause))
	return r, nil
}

// start starts the fleet and the servers, sends the first configuration and waits until all routers are ready. A trouble, if
// not nil, runs meanwhile.
func (r *soakRun) start(ctx context.Context, trouble func(context.Context)) error {
	if err := r.fleet.startAll(); err != nil {
		return err
	}
	if trouble != nil {
		var running sync.WaitGroup
		running.Go(func() { trouble(ctx) })
		defer running.Wait()
	}
	index := 0
	for i := range r.options.Servers {
		s := newServer(r.fleet, index, modelService, r.options.Seed)
		index++
		if err := r.addServer(s, modelName(i%modelCount), modelName((i+1)%modelCount), modelName((i+2)%modelCount)); err != nil {
			return err
		}
	}
	for _, service := range []string{plainService, plainService, otherService, otherService, slowService} {
		s := newServer(r.fleet, index, service, r.options.Seed)
		index++
		if err := r.addServer(s); err != nil {
			return err
		}
	}
	go r.loadBalancer.pollReadiness(ctx)
	first := newOperator(r, 0)
	c := first.randomChange(0)
	r.history.recordSend(c)
	if err := waitUntil(ctx, startTimeout, "the first configuration is acknowledged", func() bool { return first.send(c, first.randomCore()) }); err != nil {
		return err
	}
	return waitUntil(ctx, startTimeout, "every router is ready", r.routersReady)
}

func (r *soakRun) addServer(s *server, models ...string) error {
	if err := r.fleet.links.Open(s.address, s.bind); err != nil {
		return errors.Wrap(err, "link of a server")
	}
	r.servers = append(r.servers, s)
	return s.start(models...)
}

func (r *soakRun) routersReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range r.fleet.withRole(routerRole) {
		response, err := client.Get("http://" + hostPort(m.advertisedIP, portReadiness) + peer.PathReadiness)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// runLoad runs callers, operators and troubles concurrently until the troubles are over.
func (r *soakRun) runLoad(ctx context.Context, s *scheduler) {
	ctx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range r.options.Callers {
		c := &caller{run: r, number: i, random: rand.New(rand.NewPCG(r.options.Seed, 1000+uint64(i)))}
		group.Go(func() { c.loop(ctx) })
	}
	if !r.options.SafetyOnly { // what becomes of slow requests is a matter of time bounds
		for i := range slowCallerCount {
			c := &caller{run: r, number: r.options.Callers + i, random: rand.New(rand.NewPCG(r.options.Seed, 2000+uint64(i)))}
			group.Go(func() { c.loopSlow(ctx) })
		}
	}
	for i := range operatorCount {
		o := newOperator(r, i+1)
		group.Go(func() { o.loop(ctx) })
	}
	sleep(ctx, time.Second)
	s.runTroubles(ctx)
	stop()
	group.Wait()
}

const (
	operatorCount   = 3
	slowCallerCount = 4
)

// finish waits for recovery, checks acknowledged changes and final requests, and stops the fleet in an orderly way.
func (r *soakRun) finish(ctx context.Context) {
	c := r.checker
	endOfTroubles := time.Now()
	c.tracef("troubles are over")
	if err := waitUntil(ctx, settleTimeout, "every router is ready", r.routersReady); err != nil {
		c.violate("RECOVER", "%v", err)
		return
	}
	last := newOperator(r, 9)
	r.readAllCores(ctx, last)
	r.checkOneMoreChange(ctx, last)
	row := r.checkFinalRequests(ctx)
	if took := row.begin.Sub(endOfTroubles); !r.options.SafetyOnly && took > recoveryLimit+contactLimit { // the reads take contactLimit
		c.violate("RECOVER", "recovery took %v after the last trouble", took)
	}
	if took := row.end.Sub(endOfTroubles); !r.options.SafetyOnly && took > recoveryLimit+recoveryCheckSlack {
		c.violate("RECOVER", "%d requests in a row were served only %v after the last trouble", finalRequestCount, took)
	}
	r.readAllCores(ctx, last)
	r.checkExposedKeys()
	r.stopAll()
}

// checkExposedKeys searches the metrics and request lists of routers and core nodes for tenant keys.
func (r *soakRun) checkExposedKeys() {
	client := &http.Client{Timeout: acknowledgeLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range r.fleet.machines {
		for _, path := range []string{"/metrics", "/-/requests?last=1000"} {
			response, err := client.Get("http://" + hostPort(m.advertisedIP, portMetrics) + path)
			if err != nil {
				continue // the node may not serve this path
			}
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			for _, key := range secretKeys {
				if strings.Contains(string(text), key) {
					r.checker.violate("UNASKED", "%s exposes a key at %s", m.name, path)
				}
			}
		}
	}
}

// recoveryCheckSlack is the time that the recovery checks themselves take.
const recoveryCheckSlack = 6 * time.Second

// readAllCores reads the configuration from every core node until each returns it, and then repeatedly for contactLimit.
// Each read must return the newest acknowledged version.
func (r *soakRun) readAllCores(ctx context.Context, o *operator) {
	for _, m := range r.fleet.withRole(controllerRole) {
		if err := waitUntil(ctx, settleTimeout, m.name+" returns the configuration", func() bool { return o.readConfiguration(m) > 0 }); err != nil {
			r.checker.violate("CONFIG", "%v", err)
		}
	}
	for end := time.Now().Add(contactLimit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, readPause) {
		for _, m := range r.fleet.withRole(controllerRole) {
			if o.readConfiguration(m) == 0 && !r.options.SafetyOnly {
				r.checker.violate("CONFIG", "%s did not answer a read after the troubles", m.name)
			}
		}
	}
}

// readPause is the pause between two rounds of reads.
const readPause = 100 * time.Millisecond

// checkOneMoreChange checks that one more change is acknowledged.
func (r *soakRun) checkOneMoreChange(ctx context.Context, o *operator) {
	err := waitUntil(ctx, settleTimeout, "a change is acknowledged", func() bool {
		base := o.readConfiguration(o.randomCore())
		if base == 0 {
			return false
		}
		c := o.randomChange(base)
		if c.invalid {
			return false
		}
		o.sendUntilAnswered(ctx, c)
		return !c.ackedAt.IsZero()
	})
	if err != nil {
		r.checker.violate("RECOVER", "%v", err)
	}
}

// stopAll stops every machine in an orderly way.
func (r *soakRun) stopAll() {
	var group sync.WaitGroup
	for _, m := range r.fleet.machines {
		group.Go(func() {
			if !m.stop(2*stopGrace) && !r.options.SafetyOnly {
				r.checker.violate("LOST", "%s did not stop within its grace period", m.name)
			}
		})
	}
	group.Wait()
}

// readInvariants searches the log of every machine, over all starts of its process, for violated invariants.
func (r *soakRun) readInvariants() {
	for _, m := range r.fleet.machines {
		for _, line := range faultLines(m.logPath()) {
			r.checker.violate("INVARIANT", "%s: %s", m.name, line)
		}
	}
}

// maxLogLine is the buffer size for log lines.
const maxLogLine = 1 << 20

// faultLines returns the lines of a log that report a violated invariant, a panic or a data race, or contain a key.
func faultLines(path string) (found []string) {
	f, err := os.Open(path)
	if err != nil {
		return []string{err.Error()}
	}
	defer f.Close()
	lines := bufio.NewReaderSize(f, maxLogLine)
	for {
		line, err := lines.ReadString('\n')
		for _, sign := range append([]string{invariant.ViolationPrefix, "panic:", "fatal error:", "WARNING: DATA RACE"}, secretKeys...) {
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

// waitUntil polls a condition until it holds or the time limit has passed.
func waitUntil(ctx context.Context, limit time.Duration, condition string, holds func() bool) error {
	bounded, stop := context.WithTimeout(ctx, limit)
	defer stop()
	return localfleet.WaitUntil(bounded, condition, holds)
}
