// Package localfleet runs a whole fleet on one machine. It starts every program as a process of its own, sends
// traffic, injects failures, and reports what callers, servers and operators observed. It also runs hollow fleets: the
// production cores in one process and in virtual time, to measure what each role costs at large sizes.
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

// Shape is the size of a fleet and the capacity of its parts.
type Shape struct {
	Name      string
	Routers   int
	Servers   int
	Zones     []string
	Room      int
	StoreRate int // total of the weight store, in size per second
	MaxPulls  int // concurrent pulls that the weight store allows for
}

// Shapes holds the shapes of the two current deployments, by name.
var Shapes = map[string]Shape{
	"corrib": {"corrib", 8, 9, []string{"za", "zb", "zc"}, 80, 60, 3},
	"padana": {"padana", 7, 9, []string{"za", "zb", "zc"}, 80, 60, 3},
}

// Process is one process of a fleet.
type Process struct {
	Name string
	Bin  string
	Args []string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// RecordRequests makes every router record its requests in a file in the fleet's folder; each start of a router begins
// a new recording.
func (f *Fleet) RecordRequests() {
	for n := range f.RouterByName {
		p := f.Processes[n]
		p.Args = append(p.Args, "--record", filepath.Join(f.Dir, n+".day"))
	}
}

// Fleet is a fleet of local processes.
type Fleet struct {
	Shape            Shape
	Dir              string
	BinDir           string
	Plan             []byte
	Processes        map[string]*Process
	StartOrder       []string
	Seeds            []string
	AdminAddrs       map[string]string // of core nodes
	RouterAddrs      []string          // that callers connect to
	RouterByName     map[string]string // router address by name
	ServerAddrs      map[string]string
	StoreAddr        string
	PlatformAddr     string // where the platform listens
	client           *http.Client
	mu               sync.Mutex // guards usedPorts
	usedPorts        map[int]bool
	Log              io.Writer
	Links            *Relays           // between all machines, if hasLinks
	IPs              map[string]string // of each machine
	hasLinks         bool
	platformLinkAddr string // where core nodes reach the platform
}

// FreePort returns a free loopback address with a port outside the kernel's ephemeral range.
func (f *Fleet) FreePort() string { return f.FreePortAt("127.0.0.1") }

// FreePortAt returns a free address of the given IP, with a port outside the kernel's ephemeral range.
func (f *Fleet) FreePortAt(ip string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		port := 12000 + rand.IntN(20000)
		if f.usedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		f.usedPorts[port] = true
		return fmt.Sprintf("%s:%d", ip, port)
	}
}

// machineIP returns the IP of a machine. In a fleet with links, each machine has a loopback IP of its own.
func (f *Fleet) machineIP(name string) string {
	if !f.hasLinks {
		return "127.0.0.1"
	}
	if f.IPs[name] == "" {
		f.IPs[name] = fmt.Sprintf("127.0.%d.%d", 1+len(f.IPs)/200, 2+len(f.IPs)%200)
	}
	return f.IPs[name]
}

// newAddrs allocates the address at which others reach a process of a machine, and the address at which the process
// listens. The two differ in a fleet with links.
func (f *Fleet) newAddrs(name string) (linkAddr, listenAddr string) {
	linkAddr = f.FreePortAt(f.machineIP(name))
	if !f.hasLinks {
		return linkAddr, linkAddr
	}
	return linkAddr, f.FreePortAt("127.0.0.1")
}

// openLink opens a relay in front of a process, in a fleet with links.
func (f *Fleet) openLink(linkAddr, listenAddr string) {
	if f.hasLinks {
		if err := f.Links.Open(linkAddr, listenAddr); err != nil {
			panic(err) // FreePortAt has just found the port free
		}
	}
}

// Cut partitions two machines. With oneWay set, it blocks only the direction from a to b.
func (f *Fleet) Cut(a, b string, oneWay bool) {
	f.Links.Cut(f.IPs[a], f.IPs[b])
	if !oneWay {
		f.Links.Cut(f.IPs[b], f.IPs[a])
	}
}

// Isolate partitions a machine from all others, except those whose name begins with one of the given prefixes.
func (f *Fleet) Isolate(name string, exceptPrefixes ...string) {
next:
	for other := range f.IPs {
		for _, prefix := range exceptPrefixes {
			if strings.HasPrefix(other, prefix) {
				continue next
			}
		}
		if name != other {
			f.Cut(name, other, false)
		}
	}
}

// New configures a fleet without starting any process.
func New(shape Shape, binDir, dir string, plan []byte) *Fleet {
	return newFleet(shape, binDir, dir, plan, false)
}

// NewLinked configures a fleet whose machines have IPs of their own and are connected by links that can be cut. It starts
// no process.
func NewLinked(shape Shape, binDir, dir string, plan []byte) *Fleet {
	return newFleet(shape, binDir, dir, plan, true)
}

func newFleet(shape Shape, binDir, dir string, plan []byte, hasLinks bool) *Fleet {
	f := &Fleet{hasLinks: hasLinks, Links: NewRelays(), IPs: map[string]string{}, Shape: shape, Dir: dir, BinDir: binDir, Plan: plan, Processes: map[string]*Process{}, AdminAddrs: map[string]string{}, RouterByName: map[string]string{},
		ServerAddrs: map[string]string{}, usedPorts: map[int]bool{}, client: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	zone := func(i int) string { return shape.Zones[i%len(shape.Zones)] }
	f.StoreAddr = f.FreePort()
	platformLink, platformListen := f.newAddrs("platform")
	f.PlatformAddr = platformListen
	f.platformLinkAddr = platformLink
	f.openLink(platformLink, platformListen)
	f.addProcess("store", "standin", "store", "--listen", f.StoreAddr, "--rate", fmt.Sprint(shape.StoreRate), "--bear", fmt.Sprint(shape.MaxPulls))
	var serverList []string
	for i := range shape.Servers {
		name := fmt.Sprintf("server-%d", i+1)
		linkAddr, addr := f.newAddrs(name)
		f.openLink(linkAddr, addr)
		f.ServerAddrs[name] = addr
		serverList = append(serverList, fmt.Sprintf("%s=%s=%s", name, linkAddr, zone(i)))
		// Servers of several generations: they differ in memory, slots and speed.
		generation := 3 + i%3
		f.addProcess(name, "standin", "server", "--id", name, "--listen", addr, "--store", f.StoreAddr, "--room", fmt.Sprint(shape.Room*generation/4), "--slots", fmt.Sprint(4*generation), "--step-ms", fmt.Sprint(80/generation))
	}
	f.addProcess("platform", "standin", "platform", "--listen", f.PlatformAddr, "--servers", strings.Join(serverList, ","))
	for range 3 {
		f.Seeds = append(f.Seeds, f.FreePortAt(f.machineIP(fmt.Sprintf("controller-%d", len(f.Seeds)+1))))
	}
	for i, addr := range f.Seeds {
		f.AddCoreNode(fmt.Sprintf("controller-%d", i+1), addr, zone(i))
	}
	for i := range shape.Routers {
		name := fmt.Sprint(i + 1)
		callers, control, local, admin := f.FreePortAt(f.machineIP("router-"+name)), f.FreePort(), f.FreePort(), f.FreePort()
		agentLink, agentListen := f.newAddrs("router-" + name)
		f.openLink(agentLink, agentListen)
		f.RouterAddrs = append(f.RouterAddrs, callers)
		f.RouterByName["router-"+name] = callers
		f.addProcess("agent-"+name, "agent", "--id", "agent-"+name, "--zone", zone(i), "--listen", agentLink, "--bind", agentListen, "--near", local, "--router", control, "--admin", admin, "--seeds", strings.Join(f.Seeds, ","))
		f.addProcess("router-"+name, "router", "--id", "router-"+name, "--listen", callers, "--control", control, "--agent", local)
	}
	return f
}

// AddCoreNode configures a core node.
func (f *Fleet) AddCoreNode(name, listen, zone string) {
	f.AdminAddrs[name] = f.FreePort()
	bind := listen
	if f.hasLinks {
		bind = f.FreePort()
		f.openLink(listen, bind)
	}
	f.addProcess(name, "controller", "--id", name, "--zone", zone, "--listen", listen, "--bind", bind, "--admin", f.AdminAddrs[name], "--seeds", strings.Join(f.Seeds, ","),
		"--data", filepath.Join(f.Dir, name), "--platform", f.platformLinkAddr)
}

func (f *Fleet) addProcess(name, bin string, args ...string) {
	f.Processes[name] = &Process{Name: name, Bin: bin, Args: args}
	f.StartOrder = append(f.StartOrder, name)
}

// Start starts one process.
func (f *Fleet) Start(name string) error {
	process := f.Processes[name]
	process.cmd = exec.Command(filepath.Join(f.BinDir, process.Bin), process.Args...)
	log, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer log.Close()
	process.cmd.Stdout, process.cmd.Stderr = log, log
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.cmd.Start(); err != nil {
		return errors.Wrap(err, name)
	}
	process.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		process.err = cmd.Wait()
		close(done)
	}(process.cmd, process.done)
	return nil
}

// StartAll starts every process.
func (f *Fleet) StartAll() error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return errors.Wrap(err, "create fleet folder")
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

// Kill kills a process and waits until it has exited.
func (f *Fleet) Kill(name string) {
	f.Signal(name, syscall.SIGKILL)
	f.Wait(name)
}

// Wait waits until a process has exited.
func (f *Fleet) Wait(name string) {
	if p := f.Processes[name]; p.done != nil {
		<-p.done
	}
}

// Stop terminates a process gracefully, waits until it has exited, and returns its exit error.
func (f *Fleet) Stop(name string) error {
	f.Signal(name, syscall.SIGTERM)
	f.Wait(name)
	return f.Processes[name].err
}

// KillAll kills every process and waits until all have exited.
func (f *Fleet) KillAll() {
	for _, n := range f.StartOrder {
		f.Signal(n, syscall.SIGCONT)
		f.Signal(n, syscall.SIGKILL)
	}
	for _, n := range f.StartOrder {
		f.Wait(n)
	}
}

// Get requests a URL, decodes the JSON response into v and returns the status code.
func (f *Fleet) Get(url string, v any) (int, error) { return f.Do(http.MethodGet, url, nil, nil, v) }

// Do sends a request, decodes the JSON response into v and returns the status code. If v is a *[]byte, it receives the
// raw response instead; if v is nil, the response is discarded.
func (f *Fleet) Do(method, url string, headers map[string]string, body []byte, v any) (int, error) {
	request, err := http.NewRequest(method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	if v == nil {
		return response.StatusCode, nil
	}
	if target, ok := v.(*[]byte); ok {
		*target = raw
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(raw, v)
}

// WaitUntil polls a condition until it holds, and returns an error when the context ends first.
func WaitUntil(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Errorf("condition not met: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// CoreNodeReady reports whether a core node is ready.
func (f *Fleet) CoreNodeReady(name string) bool {
	code, err := f.Get(f.AdminAddrs[name]+"/ready", nil)
	return err == nil && code == 200
}

// PlanReply is a core node's reply to an operator who submits a plan.
type PlanReply struct {
	Kind   string           `json:"kind"`
	Why    string           `json:"why"`
	Epoch  uint64           `json:"epoch"`
	Faults fleetplan.Faults `json:"faults"`
}

// PutPlan submits a plan to a core node. A retry with the same change id is idempotent.
func (f *Fleet) PutPlan(core string, plan []byte, expect, id string) (PlanReply, int, error) {
	var reply PlanReply
	code, err := f.Do(http.MethodPut, f.AdminAddrs[core]+"/plan", map[string]string{"X-Expect-Epoch": expect, "X-Change-Id": id}, plan, &reply)
	return reply, code, err
}

// EpochAt returns the epoch in force at a router, zero while the router is not ready.
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

// InForceAt reports whether each of the routers is ready with at least the given epoch in force.
func (f *Fleet) InForceAt(epoch uint64, routers ...string) bool {
	for _, r := range routers {
		if f.EpochAt(r) < epoch {
			return false
		}
	}
	return true
}

// Owner returns the name of the core node that holds the leadership, or an empty string.
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

// ServersView is the leader's view of the servers.
type ServersView struct {
	View struct {
		Term    uint64 `json:"duty"`
		Servers []struct {
			ID       string `json:"id"`
			Zone     string `json:"zone"`
			State    string `json:"state"`
			Dark     bool   `json:"dark"`
			Known    bool   `json:"known"`
			Offered  bool   `json:"offered"`
			Room     int    `json:"room"`
			Used     int    `json:"used"`
			Replicas []struct {
				Key    string `json:"key"`
				Stage  string `json:"stage"`
				Active int    `json:"active"`
			} `json:"holds"`
		} `json:"servers"`
	} `json:"view"`
}

// ReadServers reads the leader's view of the servers. It reports false without a leader or a successful response.
func (f *Fleet) ReadServers() (v ServersView, ok bool) {
	owner := f.Owner()
	if owner == "" {
		return v, false
	}
	code, err := f.Get(f.AdminAddrs[owner]+"/servers", &v)
	return v, err == nil && code == 200
}

// FloorsMet reports whether every model has at least its floor of ready replicas at offered servers.
func (f *Fleet) FloorsMet() bool {
	plan, _ := fleetplan.ReadPlan(f.Plan)
	v, ok := f.ReadServers()
	if !ok || plan == nil {
		return false
	}
	ready := map[string]int{}
	for _, s := range v.View.Servers {
		for _, replica := range s.Replicas {
			if replica.Stage == "ready" && s.Offered {
				ready[replica.Key]++
			}
		}
	}
	for name, model := range plan.Models {
		if ready[string(name)] < model.MinReplicas {
			return false
		}
	}
	return true
}

// Metrics reads the metrics of a router or core node, nil if the request fails.
func (f *Fleet) Metrics(url string) map[string]float64 {
	var raw []byte
	if _, err := f.Do(http.MethodGet, url, nil, nil, &raw); err != nil {
		return nil
	}
	values := map[string]float64{}
	for _, line := range strings.Split(string(raw), "\n") {
		var value float64
		space := strings.LastIndex(line, " ")
		if space < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if _, err := fmt.Sscan(line[space+1:], &value); err == nil {
			values[line[:space]] = value
		}
	}
	return values
}
