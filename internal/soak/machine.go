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

// Ports are alike on all machines.
const (
	portIngress   = 8144
	portReadiness = 8140
	portControl   = 8146
	portFirst     = 7660
	portLast      = 7675
	portMetrics   = 9464
	portServer    = 8080

	nodePorts    = 4    // of those between nodes that are used
	portReserved = 7650 // by which a run has its network to itself
	memoryMb     = 284
	firstNetwork = 40 // second byte of the first network's addresses; each has two
	lastNetwork  = 250
)

// role is what a machine runs.
type role string

const (
	routerRole     role = "router"
	controllerRole role = "controller"
)

// machine is one machine of the fleet with its one process. Others reach it at told, through links that can
// be cut; the process listens at bind.
type machine struct {
	name, zone string
	role       role
	told, bind string
	folder     string
	first      bool // the whole system starts for the first time

	mu       sync.Mutex // guards the rest
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process is gone
	expected bool          // its end was asked for
	peakKb   int
	starts   int
}

// fleet is every machine of one run, on addresses of its own.
type fleet struct {
	programs string
	folder   string
	network  int          // second byte of its addresses; the next one is its too
	reserved net.Listener // held while the run has its network
	links    *localfleet.Relays
	machines []*machine
	judge    *judge
	bounds   peer.Bounds
}

func newFleet(o Options, j *judge) (*fleet, error) {
	f := &fleet{programs: o.Programs, folder: o.Folder, links: localfleet.NewRelays(), judge: j, bounds: bounds}
	if err := f.reserve(); err != nil {
		return nil, err
	}
	for i := range o.Cores {
		f.add(fmt.Sprintf("core-%d", i+1), controllerRole, i)
	}
	for i := range o.Routers {
		f.add(fmt.Sprintf("edge-%d", i+1), routerRole, i)
	}
	return f, nil
}

// reserve finds a network of loopback addresses that no other run on this machine has.
func (f *fleet) reserve() error {
	for f.network = firstNetwork; f.network <= lastNetwork; f.network += 2 {
		l, err := net.Listen("tcp", at(fmt.Sprintf("127.%d.0.1", f.network), portReserved))
		if err == nil {
			f.reserved = l
			return nil
		}
	}
	return errors.New("no network of loopback addresses is free")
}

// address gives the told and the bound address of the machine at a place.
func (f *fleet) address(place int) (told, bind string) {
	return fmt.Sprintf("127.%d.1.%d", f.network, place+1), fmt.Sprintf("127.%d.1.%d", f.network+1, place+1)
}

func (f *fleet) add(name string, r role, place int) {
	told, bind := f.address(len(f.machines))
	f.machines = append(f.machines, &machine{
		name: name, role: r, zone: zones[place%len(zones)], told: told, bind: bind,
		folder: filepath.Join(f.folder, name), first: true,
	})
}

func (f *fleet) of(r role) (l []*machine) {
	for _, m := range f.machines {
		if m.role == r {
			l = append(l, m)
		}
	}
	return l
}

// open lays the links before every port of a machine.
func (f *fleet) open(m *machine) error {
	ports := []int{portMetrics}
	if m.role == routerRole {
		ports = append(ports, portIngress, portReadiness)
	} else {
		ports = append(ports, portControl)
	}
	for i := range nodePorts {
		ports = append(ports, portFirst+i)
	}
	for _, port := range ports {
		if err := f.links.Open(at(m.told, port), at(m.bind, port)); err != nil {
			return errors.Wrapf(err, "link of %s", m.name)
		}
	}
	return nil
}

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// settings writes the file that a machine's process is started with.
func (f *fleet) settings(m *machine) (path string, err error) {
	s := peer.Settings{
		Node: m.name, Role: string(m.role), Class: "edge", IP: m.told, Zone: m.zone, Region: "r", Zones: map[string]string{},
		Bind: map[string]string{}, Ports: [2]int{portFirst, portLast}, First: m.first, PeerSource: "enrolled", EntryKind: "virtual_ip",
		PeriodMs: int(beatPeriod.Milliseconds()), Tolerance: peer.Tolerance{Machines: 1}, Bounds: f.bounds,
		Constraints: peer.Constraints{CPU: 1, Processors: 2, MemoryMb: memoryMb, Descriptors: 4096, Bandwidth: 1000},
	}
	for _, z := range zones {
		s.Zones[z] = "r"
	}
	for _, c := range f.of(controllerRole) {
		s.Seeds = append(s.Seeds, at(c.told, portControl))
	}
	s.Seeds = s.Seeds[:min(3, len(s.Seeds))]
	if m.role == routerRole {
		s.Serves = []string{peer.ServesCallers}
		s.Bind[peer.BindIngress], s.Bind[peer.BindReadiness] = at(m.told, portIngress), at(m.told, portReadiness)
	} else {
		s.Class, s.Counted, s.Constraints.DiskMb = "loop", true, 128
		s.Serves = []string{peer.ServesControl}
		s.Bind[peer.BindControl] = at(m.told, portControl)
		data := filepath.Join(m.folder, "data")
		s.Data = &data
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

// start starts a machine's process. Its log lines go on in one file over all its starts.
func (f *fleet) start(m *machine) error {
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return err
	}
	path, err := f.settings(m)
	if err != nil {
		return errors.Wrapf(err, "settings of %s", m.name)
	}
	return f.launch(m, path)
}

// launch starts a machine's process with a file of settings.
func (f *fleet) launch(m *machine, path string) error {
	log, err := os.OpenFile(m.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.programs, string(m.role)), "--hosted", "--log-lines", "--bind-ip", m.bind, "--metrics-port", strconv.Itoa(portMetrics))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), peer.Variable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, m.name)
	}
	m.cmd, m.ended, m.expected = cmd, make(chan struct{}), false
	m.starts++
	go f.await(m, cmd, m.ended)
	return nil
}

// await sees a process end, and holds an end against it that nobody asked for.
func (f *fleet) await(m *machine, cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	m.mu.Lock()
	expected := m.expected
	m.mu.Unlock()
	if !expected {
		f.judge.violate("OWN END", "%s ended by itself: %v", m.name, err)
	}
	close(ended)
}

func (m *machine) log() string { return filepath.Join(m.folder, "log") }

// signal sends a signal to the process, if there is one; ending says that it may end by it.
func (m *machine) signal(s syscall.Signal, ending bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.expected = m.expected || ending
	_ = m.cmd.Process.Signal(s)
}

// gone waits until the process has ended.
func (m *machine) gone() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL, true)
	m.gone()
}

// stop asks the process to stop, and ends it after the grace as the platform does. It tells whether it stopped
// by itself.
func (m *machine) stop(grace time.Duration) bool {
	m.signal(syscall.SIGTERM, true)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		m.kill()
		return false
	}
}

// wipe empties the machine's disk; its process is down.
func (m *machine) wipe() error {
	m.first = false
	return os.RemoveAll(filepath.Join(m.folder, "data"))
}

// peak gives the most memory that the process had, in kB, so far.
func (m *machine) peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.peakKb = max(m.peakKb, memoryOf(m.cmd.Process.Pid, "VmHWM"))
	}
	return m.peakKb
}

// memoryOf reads a line of a process's memory from the kernel, in kB; zero if the process is gone.
func memoryOf(process int, line string) (kb int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for text := range strings.Lines(string(raw)) {
		if n, _ := fmt.Sscanf(text, line+": %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// heedsHangup tells whether the process ignores the hang-up signal by now, or handles it.
func (m *machine) heedsHangup() bool {
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

// up starts all machines, in any order, within a moment.
func (f *fleet) up() error {
	for _, m := range f.machines {
		if err := f.open(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		m.first = false // a restart is no first start
	}
	return nil
}

// down ends every process at once.
func (f *fleet) down() {
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT, false)
		m.signal(syscall.SIGKILL, true)
	}
	for _, m := range f.machines {
		m.gone()
	}
	f.links.Close()
	_ = f.reserved.Close()
}

// part cuts two machines, or with oneWay only what goes from the first to the second, until mend is called.
func (f *fleet) part(a, b string, oneWay bool) (mend func()) {
	f.links.Cut(a, b)
	if !oneWay {
		f.links.Cut(b, a)
	}
	return func() {
		f.links.Mend(a, b)
		if !oneWay {
			f.links.Mend(b, a)
		}
	}
}
