// Package localfleet holds a whole fleet on one machine: it starts every program as a process of its
// own, sends traffic, makes parts fail, and reports what callers, servers and operators saw.
package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/fleetplan"
)

// Shape is the size of a fleet.
type Shape struct {
	Name    string
	Routers int
	Servers int
	Zones   []string
	Room    int
	StoreRate    int // of the weight store
	MaxPulls    int
}

// Shapes of today's two deployments.
var Shapes = map[string]Shape{
	"corrib": {"corrib", 8, 9, []string{"za", "zb", "zc"}, 80, 60, 3},
	"padana": {"padana", 7, 9, []string{"za", "zb", "zc"}, 80, 60, 3},
}

// Proc is one process of a fleet.
type Process struct {
	Name string
	Bin  string
	Args []string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Record makes every router record its day into the fleet's folder, each start anew.
func (f *Fleet) RecordRequests() {
	for n := range f.RouterByName {
		p := f.Processes[n]
		p.Args = append(p.Args, "--record", filepath.Join(f.Dir, n+".day"))
	}
}

// Fleet is a running fleet.
type Fleet struct {
	Shape   Shape
	Dir     string
	BinDir    string
	Plan    []byte
	Processes   map[string]*Process
	StartOrder   []string
	Seeds   []string
	AdminAddrs  map[string]string // of core nodes
	RouterAddrs []string          // where callers go
	RouterByName   map[string]string // router address by name
	ServerAddrs map[string]string
	StoreAddr   string
	PlatformAddr    string // the platform
	client    *http.Client
	mu      sync.Mutex // guards used
	usedPorts    map[int]bool
	Log     io.Writer
	Links   *Relays           // between all machines, if the fleet has links of its own
	IPs     map[string]string // of each machine
	hasLinks  bool
	platformLinkAddr    string // where core nodes reach the platform
}

// Port finds a free port outside the range that the kernel gives out by itself.
func (f *Fleet) FreePort() string { return f.FreePortAt("127.0.0.1") }

// PortAt finds one at an address.
func (f *Fleet) FreePortAt(ip string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		p := 12000 + rand.IntN(20000)
		if f.usedPorts[p] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			continue
		}
		_ = l.Close()
		f.usedPorts[p] = true
		return fmt.Sprintf("%s:%d", ip, p)
	}
}

// machine gives a machine its address: one of its own on loopback, where the fleet has links.
func (f *Fleet) machineIP(name string) string {
	if !f.hasLinks {
		return "127.0.0.1"
	}
	if f.IPs[name] == "" {
		f.IPs[name] = fmt.Sprintf("127.0.%d.%d", 1+len(f.IPs)/200, 2+len(f.IPs)%200)
	}
	return f.IPs[name]
}

// ends gives where others reach a process of a machine, and where it listens itself.
func (f *Fleet) newAddrs(name string) (told, at string) {
	told = f.FreePortAt(f.machineIP(name))
	if !f.hasLinks {
		return told, told
	}
	return told, f.FreePortAt("127.0.0.1")
}

// link puts a relay before a process, which listens at an address of its own.
func (f *Fleet) openLink(told, at string) {
	if f.hasLinks {
		if err := f.Links.Open(told, at); err != nil {
			panic(err) // the port was free a moment ago
		}
	}
}

// Cut parts two machines, or with one way only what goes from the first to the second.
func (f *Fleet) Cut(a, b string, oneWay bool) {
	f.Links.Cut(f.IPs[a], f.IPs[b])
	if !oneWay {
		f.Links.Cut(f.IPs[b], f.IPs[a])
	}
}

// Part parts a machine from all others but some.
func (f *Fleet) Isolate(a string, but ...string) {
next:
	for b := range f.IPs {
		for _, x := range but {
			if strings.HasPrefix(b, x) {
				continue next
			}
		}
		if a != b {
			f.Cut(a, b, false)
		}
	}
}

// New lays out a fleet; nothing runs yet.
func New(s Shape, bins, dir string, plan []byte) *Fleet { return newFleet(s, bins, dir, plan, false) }

// NewLinked lays out a fleet whose machines have addresses and links of their own.
func NewLinked(s Shape, bins, dir string, plan []byte) *Fleet { return newFleet(s, bins, dir, plan, true) }

func newFleet(s Shape, bins, dir string, plan []byte, linked bool) *Fleet {
	f := &Fleet{hasLinks: linked, Links: NewRelays(), IPs: map[string]string{}, Shape: s, Dir: dir, BinDir: bins, Plan: plan, Processes: map[string]*Process{}, AdminAddrs: map[string]string{}, RouterByName: map[string]string{},
		ServerAddrs: map[string]string{}, usedPorts: map[int]bool{}, client: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	zone := func(i int) string { return s.Zones[i%len(s.Zones)] }
	f.StoreAddr = f.FreePort()
	home, homeAt := f.newAddrs("platform")
	f.PlatformAddr = homeAt
	f.platformLinkAddr = home
	f.openLink(home, homeAt)
	f.addProcess("store", "standin", "store", "--listen", f.StoreAddr, "--rate", fmt.Sprint(s.StoreRate), "--bear", fmt.Sprint(s.MaxPulls))
	var list []string
	for i := range s.Servers {
		n := fmt.Sprintf("server-%d", i+1)
		told, a := f.newAddrs(n)
		f.openLink(told, a)
		f.ServerAddrs[n] = a
		list = append(list, fmt.Sprintf("%s=%s=%s", n, told, zone(i)))
		// Old and new servers differ in room, slots and speed.
		part := 3 + i%3
		f.addProcess(n, "standin", "server", "--id", n, "--listen", a, "--store", f.StoreAddr, "--room", fmt.Sprint(s.Room*part/4), "--slots", fmt.Sprint(4*part), "--step-ms", fmt.Sprint(80/part))
	}
	f.addProcess("platform", "standin", "platform", "--listen", f.PlatformAddr, "--servers", strings.Join(list, ","))
	for range 3 {
		f.Seeds = append(f.Seeds, f.FreePortAt(f.machineIP(fmt.Sprintf("controller-%d", len(f.Seeds)+1))))
	}
	for i, a := range f.Seeds {
		f.AddCoreNode(fmt.Sprintf("controller-%d", i+1), a, zone(i))
	}
	for i := range s.Routers {
		n := fmt.Sprint(i + 1)
		call, ctl, near, adm := f.FreePortAt(f.machineIP("router-"+n)), f.FreePort(), f.FreePort(), f.FreePort()
		link, at := f.newAddrs("router-" + n)
		f.openLink(link, at)
		f.RouterAddrs = append(f.RouterAddrs, call)
		f.RouterByName["router-"+n] = call
		f.addProcess("agent-"+n, "agent", "--id", "agent-"+n, "--zone", zone(i), "--listen", link, "--bind", at, "--near", near, "--router", ctl, "--admin", adm, "--seeds", strings.Join(f.Seeds, ","))
		f.addProcess("router-"+n, "router", "--id", "router-"+n, "--listen", call, "--control", ctl, "--agent", near)
	}
	return f
}

// AddCore lays out a core node.
func (f *Fleet) AddCoreNode(name, listen, zone string) {
	f.AdminAddrs[name] = f.FreePort()
	at := listen
	if f.hasLinks {
		at = f.FreePort()
		f.openLink(listen, at)
	}
	f.addProcess(name, "controller", "--id", name, "--zone", zone, "--listen", listen, "--bind", at, "--admin", f.AdminAddrs[name], "--seeds", strings.Join(f.Seeds, ","),
		"--data", filepath.Join(f.Dir, name), "--platform", f.platformLinkAddr)
}

func (f *Fleet) addProcess(name, bin string, args ...string) {
	f.Processes[name] = &Process{Name: name, Bin: bin, Args: args}
	f.StartOrder = append(f.StartOrder, name)
}

// Start starts one process.
func (f *Fleet) Start(name string) error {
	p := f.Processes[name]
	p.cmd = exec.Command(filepath.Join(f.BinDir, p.Bin), p.Args...)
	log, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, name)
	}
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		p.err = c.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// Up starts every process.
func (f *Fleet) StartAll() error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return errors.Wrap(err, "folder")
	}
	for _, n := range f.StartOrder {
		if err := f.Start(n); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to a process.
func (f *Fleet) Signal(name string, s syscall.Signal) {
	if p := f.Processes[name]; p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends a process at once and waits until it is gone.
func (f *Fleet) Kill(name string) {
	f.Signal(name, syscall.SIGKILL)
	f.Wait(name)
}

// Wait waits until a process is gone.
func (f *Fleet) Wait(name string) {
	if p := f.Processes[name]; p.done != nil {
		<-p.done
	}
}

// Stop asks a process to stop and waits until it has.
func (f *Fleet) Stop(name string) error {
	f.Signal(name, syscall.SIGTERM)
	f.Wait(name)
	return f.Processes[name].err
}

// Down ends every process.
func (f *Fleet) KillAll() {
	for _, n := range f.StartOrder {
		f.Signal(n, syscall.SIGCONT)
		f.Signal(n, syscall.SIGKILL)
	}
	for _, n := range f.StartOrder {
		f.Wait(n)
	}
}

// Get reads a JSON answer and tells its status.
func (f *Fleet) Get(url string, v any) (int, error) { return f.Do(http.MethodGet, url, nil, nil, v) }

// Do sends a request and reads a JSON answer.
func (f *Fleet) Do(how, url string, head map[string]string, body []byte, v any) (int, error) {
	q, err := http.NewRequest(how, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	for k, x := range head {
		q.Header.Set(k, x)
	}
	w, err := f.client.Do(q)
	if err != nil {
		return 0, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return w.StatusCode, err
	}
	if v == nil {
		return w.StatusCode, nil
	}
	if p, ok := v.(*[]byte); ok {
		*p = b
		return w.StatusCode, nil
	}
	return w.StatusCode, json.Unmarshal(b, v)
}

// Until asks again and again until it holds, or the context ends.
func Until(ctx context.Context, what string, f func() bool) error {
	for !f() {
		select {
		case <-ctx.Done():
			return errors.Errorf("never came about: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// CoreReady tells whether a core node is ready.
func (f *Fleet) CoreNodeReady(name string) bool {
	c, err := f.Get(f.AdminAddrs[name]+"/ready", nil)
	return err == nil && c == 200
}

// Taken is an operator's answer.
type PlanReply struct {
	Kind   string           `json:"kind"`
	Why    string           `json:"why"`
	Epoch  uint64           `json:"epoch"`
	Faults fleetplan.Faults `json:"faults"`
}

// Put hands over a plan at a core node.
func (f *Fleet) PutPlan(core string, plan []byte, expect, id string) (PlanReply, int, error) {
	var t PlanReply
	c, err := f.Do(http.MethodPut, f.AdminAddrs[core]+"/plan", map[string]string{"X-Expect-Epoch": expect, "X-Change-Id": id}, plan, &t)
	return t, c, err
}

// EpochAt tells the epoch that a router has in force, zero while it is not ready.
func (f *Fleet) EpochAt(router string) uint64 {
	var v struct {
		Ready bool   `json:"ready"`
		Epoch uint64 `json:"epoch"`
	}
	if _, err := f.Get(router+"/-/ready", &v); err != nil || !v.Ready {
		return 0
	}
	return v.Epoch
}

// Ruled tells whether every router named is ready under at least an epoch.
func (f *Fleet) InForceAt(epoch uint64, routers ...string) bool {
	for _, r := range routers {
		if f.EpochAt(r) < epoch {
			return false
		}
	}
	return true
}

// Owner finds the core node that owns the duty, if any.
func (f *Fleet) Owner() string {
	for n, a := range f.AdminAddrs {
		var v struct {
			View struct {
				Owns bool `json:"owns"`
			} `json:"view"`
		}
		if _, err := f.Get(a+"/status", &v); err == nil && v.View.Owns {
			return n
		}
	}
	return ""
}

// ServersView is what the duty's owner tells of the servers.
type ServersView struct {
	View struct {
		Duty    uint64 `json:"duty"`
		Servers []struct {
			ID      string `json:"id"`
			Zone    string `json:"zone"`
			State   string `json:"state"`
			Dark    bool   `json:"dark"`
			Known   bool   `json:"known"`
			Offered bool   `json:"offered"`
			Room    int    `json:"room"`
			Used    int    `json:"used"`
			Holds   []struct {
				Key    string `json:"key"`
				Stage  string `json:"stage"`
				Active int    `json:"active"`
			} `json:"holds"`
		} `json:"servers"`
	} `json:"view"`
}

// Placed reads the servers from the duty's owner.
func (f *Fleet) ReadServers() (v ServersView, ok bool) {
	o := f.Owner()
	if o == "" {
		return v, false
	}
	c, err := f.Get(f.AdminAddrs[o]+"/servers", &v)
	return v, err == nil && c == 200
}

// Floors tells whether every key has its floor of ready replicas.
func (f *Fleet) FloorsMet() bool {
	p, _ := fleetplan.ReadPlan(f.Plan)
	v, ok := f.ReadServers()
	if !ok || p == nil {
		return false
	}
	n := map[string]int{}
	for _, s := range v.View.Servers {
		for _, h := range s.Holds {
			if h.Stage == "ready" && s.Offered {
				n[h.Key]++
			}
		}
	}
	for k, m := range p.Models {
		if n[string(k)] < m.Floor {
			return false
		}
	}
	return true
}

// Metrics reads the counters of a router or core node.
func (f *Fleet) Metrics(url string) map[string]float64 {
	var b []byte
	if _, err := f.Do(http.MethodGet, url, nil, nil, &b); err != nil {
		return nil
	}
	m := map[string]float64{}
	for _, l := range strings.Split(string(b), "\n") {
		var v float64
		i := strings.LastIndex(l, " ")
		if i < 0 || strings.HasPrefix(l, "#") {
			continue
		}
		if _, err := fmt.Sscan(l[i+1:], &v); err == nil {
			m[l[:i]] = v
		}
	}
	return m
}
