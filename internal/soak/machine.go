package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/localfleet"
	"tidedeck/platform/peer"
)

// Ports are the same on all machines.
const (
	portIngress   = 8144
	portReadiness = 8140
	portControl   = 8146
	firstPeerPort = 7660
	lastPeerPort  = 7675
	portMetrics   = 9464
	portServer    = 8080

	usedPeerPorts   = 4    // ports between nodes that are used
	networkLockPort = 7650 // a listener on this port reserves a network for one run
	memoryMb        = 284
	firstNetwork    = 40 // second byte of the addresses of the first network; each network takes two values
	lastNetwork     = 250
)

// role is the program that a machine runs.
type role string

const (
	routerRole     role = "router"
	controllerRole role = "controller"
)

// machine is one simulated machine of the fleet, which runs one process. Other machines reach it at advertisedIP, through
// links that can be cut; the process listens at bindIP.
type machine struct {
	name, zone           string
	role                 role
	advertisedIP, bindIP string
	folder               string
	firstBoot            bool // the deployment starts for the first time

	mu           sync.Mutex // guards the rest
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	exitExpected bool          // the soak caused or requested the exit
	peakKb       int
	starts       int
}

// fleet is the set of machines of one run. Each run has its own network of loopback addresses.
type fleet struct {
	programs string
	folder   string
	network  int          // second byte of the advertised addresses; bound addresses have the next value
	reserved net.Listener // open while the run uses its network
	links    *localfleet.Relays
	machines []*machine
	checker  *checker
	bounds   peer.Bounds
	limits   peer.Constraints // resources of each machine
}

// machineLimits are the resources of a machine, like those of small sites.
var machineLimits = peer.Constraints{CPU: 1, Processors: 2, MemoryMb: memoryMb, Descriptors: 4096, Bandwidth: 1000}

func newFleet(o Options, c *checker) (*fleet, error) {
	f := &fleet{programs: o.Programs, folder: o.Folder, links: localfleet.NewRelays(), checker: c, bounds: deploymentBounds, limits: machineLimits}
	if err := f.reserve(); err != nil {
		return nil, err
	}
	for i := range o.Cores {
		f.addMachine(fmt.Sprintf("core-%d", i+1), controllerRole, i)
	}
	for i := range o.Routers {
		f.addMachine(fmt.Sprintf("edge-%d", i+1), routerRole, i)
	}
	return f, nil
}

// reserve reserves a network of loopback addresses that no other run on this machine uses.
func (f *fleet) reserve() error {
	for f.network = firstNetwork; f.network <= lastNetwork; f.network += 2 {
		l, err := net.Listen("tcp", hostPort(fmt.Sprintf("127.%d.0.1", f.network), networkLockPort))
		if err == nil {
			f.reserved = l
			return nil
		}
	}
	return errors.New("no network of loopback addresses is free")
}

// addresses returns the advertised and the bound address of the machine with the given index.
func (f *fleet) addresses(index int) (advertised, bound string) {
	return fmt.Sprintf("127.%d.1.%d", f.network, index+1), fmt.Sprintf("127.%d.1.%d", f.network+1, index+1)
}

func (f *fleet) addMachine(name string, r role, index int) {
	advertised, bound := f.addresses(len(f.machines))
	f.machines = append(f.machines, &machine{
		name: name, role: r, zone: zones[index%len(zones)], advertisedIP: advertised, bindIP: bound,
		folder: filepath.Join(f.folder, name), firstBoot: true,
	})
}

func (f *fleet) withRole(r role) (l []*machine) {
	for _, m := range f.machines {
		if m.role == r {
			l = append(l, m)
		}
	}
	return l
}

// openLinks opens a link in front of every port of a machine.
func (f *fleet) openLinks(m *machine) error {
	ports := []int{portMetrics}
	if m.role == routerRole {
		ports = append(ports, portIngress, portReadiness)
	} else {
		ports = append(ports, portControl)
	}
	for i := range usedPeerPorts {
		ports = append(ports, firstPeerPort+i)
	}
	for _, port := range ports {
		if err := f.links.Open(hostPort(m.advertisedIP, port), hostPort(m.bindIP, port)); err != nil {
			return errors.Wrapf(err, "link of %s", m.name)
		}
	}
	return nil
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// writeSettings writes the settings file of a machine's process.
func (f *fleet) writeSettings(m *machine) (path string, err error) {
	s := peer.Settings{
		Node: m.name, Role: string(m.role), Class: "edge", IP: m.advertisedIP, Zone: m.zone, Region: "r", Zones: map[string]string{},
		Bind: map[string]string{}, Ports: [2]int{firstPeerPort, lastPeerPort}, FirstStart: m.firstBoot, PeerSource: "enrolled", EntryKind: "virtual_ip",
		PeriodMs: int(announceInterval.Milliseconds()), Tolerance: peer.Tolerance{Machines: 1}, Bounds: f.bounds,
		Constraints: f.limits,
	}
	for _, z := range zones {
		s.Zones[z] = "r"
	}
	for _, c := range f.withRole(controllerRole) {
		s.Seeds = append(s.Seeds, hostPort(c.advertisedIP, portControl))
	}
	s.Seeds = s.Seeds[:min(3, len(s.Seeds))]
	if m.role == routerRole {
		s.Serves = []string{peer.ServesCallers}
		s.Bind[peer.BindIngress], s.Bind[peer.BindReadiness] = hostPort(m.advertisedIP, portIngress), hostPort(m.advertisedIP, portReadiness)
	} else {
		s.Class, s.QuorumMember, s.Constraints.DiskMb = "loop", true, 128
		s.Serves = []string{peer.ServesControl}
		s.Bind[peer.BindControl] = hostPort(m.advertisedIP, portControl)
		data := filepath.Join(m.folder, "data")
		s.StateDir = &data
		if err := os.MkdirAll(data, 0o755); err != nil {
			return "", err
		}
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	path = filepath.Join(m.folder, "settings.json")
	return path, os.WriteFile(path, raw, 0o644)
}

// start starts a machine's process. Log lines of all its starts are appended to one file.
func (f *fleet) start(m *machine) error {
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return err
	}
	path, err := f.writeSettings(m)
	if err != nil {
		return errors.Wrapf(err, "settings of %s", m.name)
	}
	return f.launch(m, path)
}

// launch starts a machine's process with a settings file.
func (f *fleet) launch(m *machine, path string) error {
	log, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.programs, string(m.role)), "--hosted", "--log-lines", "--bind-ip", m.bindIP, "--metrics-port", strconv.Itoa(portMetrics))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), peer.SettingsVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, m.name)
	}
	m.cmd, m.exited, m.exitExpected = cmd, make(chan struct{}), false
	m.starts++
	go f.watchExit(m, cmd, m.exited)
	return nil
}

// watchExit waits for a process to exit and reports a violation if the soak did not cause the exit.
func (f *fleet) watchExit(m *machine, cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	m.mu.Lock()
	expected := m.exitExpected
	m.mu.Unlock()
	if !expected {
		f.checker.violate("OWN END", "%s exited unexpectedly: %v", m.name, err)
	}
	close(exited)
}

func (m *machine) logPath() string { return filepath.Join(m.folder, "log") }

// signal sends a signal to the process, if it was started. mayExit marks a signal that may end the process.
func (m *machine) signal(s syscall.Signal, mayExit bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.exitExpected = m.exitExpected || mayExit
	_ = m.cmd.Process.Signal(s)
}

// waitExit waits until the process has exited.
func (m *machine) waitExit() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// kill kills the process and waits for its exit.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL, true)
	m.waitExit()
}

// stop sends SIGTERM and, like the platform, kills the process if it is still running after the grace period. It reports
// whether the process exited within the period.
func (m *machine) stop(grace time.Duration) bool {
	m.signal(syscall.SIGTERM, true)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(grace):
		m.kill()
		return false
	}
}

// wipe deletes the machine's data. The process must not be running.
func (m *machine) wipe() error {
	m.firstBoot = false
	return os.RemoveAll(filepath.Join(m.folder, "data"))
}

// peakMemory returns the peak memory of the machine's processes so far, in kB.
func (m *machine) peakMemory() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.peakKb = max(m.peakKb, memoryOf(m.cmd.Process.Pid, "VmHWM"))
	}
	return m.peakKb
}

// memoryOf reads a memory figure in kB from /proc/PID/status; zero if the process has exited.
func memoryOf(pid int, field string) (kb int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if n, _ := fmt.Sscanf(line, field+": %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// handlesHangup reports whether the process already ignores or handles SIGHUP.
func (m *machine) handlesHangup() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(raw)) {
		var mask uint64
		for _, name := range []string{"SigIgn", "SigCgt"} {
			if n, _ := fmt.Sscanf(line, name+": %x", &mask); n == 1 && mask&(1<<(syscall.SIGHUP-1)) != 0 {
				return true
			}
		}
	}
	return false
}

// startAll opens the links of all machines and starts their processes without waiting for any to be ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.openLinks(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		m.firstBoot = false // a restart is not a first start
	}
	return nil
}

// killAll kills every process and releases the network.
func (f *fleet) killAll() {
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT, false)
		m.signal(syscall.SIGKILL, true)
	}
	for _, m := range f.machines {
		m.waitExit()
	}
	f.links.Close()
	_ = f.reserved.Close()
}

// cutLink cuts the link between two machines until mend is called. With oneWay, only traffic from a to b is cut.
func (f *fleet) cutLink(a, b string, oneWay bool) (mend func()) {
	f.links.Cut(a, b)
	if !oneWay {
		f.links.Cut(b, a)
	}
	return func() {
		f.links.Restore(a, b)
		if !oneWay {
			f.links.Restore(b, a)
		}
	}
}
