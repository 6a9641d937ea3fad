package soak

import (
	"context"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// processUsage is the most that a process held of its machine's resources at any time.
type processUsage struct {
	MemoryKb    int // resident memory
	UnreadKb    int // bytes that have arrived at the process's sockets and are not read yet
	Descriptors int // open file descriptors
}

// usageInterval is the interval between two samples of a process's usage.
const usageInterval = 25 * time.Millisecond

// usageWatch samples the usage of a machine's process until it is stopped.
type usageWatch struct {
	machine *machine
	pid     int
	stop    context.CancelFunc
	stopped sync.WaitGroup
	most    processUsage
}

func watchUsage(m *machine) *usageWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &usageWatch{machine: m, pid: m.pid(), stop: stop}
	w.stopped.Go(func() {
		for ctx.Err() == nil {
			w.sample()
			sleep(ctx, usageInterval)
		}
	})
	return w
}

func (w *usageWatch) sample() {
	w.most.UnreadKb = max(w.most.UnreadKb, unreadBytes(w.machine.bindIP, w.machine.advertisedIP)>>10)
	w.most.Descriptors = max(w.most.Descriptors, openDescriptors(w.pid))
}

// end stops the watch and returns the most that the process held.
func (w *usageWatch) end() processUsage {
	w.stop()
	w.stopped.Wait()
	w.most.MemoryKb = memoryOf(w.pid, "VmHWM")
	return w.most
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// openDescriptors returns the number of file descriptors that a process has open.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// Fields of a line of /proc/net/tcp.
const (
	tcpLocalField  = 1
	tcpRemoteField = 2
	tcpStateField  = 3
	tcpQueuesField = 4
	tcpStateListen = "0A"
)

// unreadBytes returns how many bytes have arrived at a process's sockets and are not read yet: those of the address at which
// it listens, and those of connections that it opens from another address. The links of the fleet open connections from
// there too, to addresses of the network of listening ones, which are not counted.
func unreadBytes(listening, opening string) (total int) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	network := listening[:strings.IndexByte(listening[len("127."):], '.')+len("127..")]
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) <= tcpQueuesField || fields[tcpStateField] == tcpStateListen {
			continue
		}
		local, remote := socketIP(fields[tcpLocalField]), socketIP(fields[tcpRemoteField])
		if local != listening && (local != opening || strings.HasPrefix(remote, network) || !isEphemeral(fields[tcpLocalField])) {
			continue
		}
		_, received, _ := strings.Cut(fields[tcpQueuesField], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			total += int(n)
		}
	}
	return total
}

// socketIP returns the IP of an address as /proc/net/tcp writes it, or an empty string if there is none.
func socketIP(field string) string {
	bytes, err := hex.DecodeString(strings.SplitN(field, ":", 2)[0])
	if err != nil || len(bytes) != net.IPv4len {
		return ""
	}
	return net.IPv4(bytes[3], bytes[2], bytes[1], bytes[0]).String()
}

// firstEphemeralPort is the first of the ports that the kernel gives to connections that a process opens.
const firstEphemeralPort = 32768

// isEphemeral reports whether the port of an address in /proc/net/tcp was given by the kernel.
func isEphemeral(field string) bool {
	_, port, _ := strings.Cut(field, ":")
	n, err := strconv.ParseInt(port, 16, 64)
	return err == nil && n >= firstEphemeralPort
}

// The sampled figures must be those of the kernel: a check that always reads zero would pass every bound.
func TestUsageIsMeasured(t *testing.T) {
	const ip, sent = "127.0.0.77", 30_000
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	defer listener.Close()
	before := openDescriptors(os.Getpid())
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	_, err = client.Write(make([]byte, sent))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(ip, ip) == sent }, time.Minute, time.Millisecond)
	require.GreaterOrEqual(t, openDescriptors(os.Getpid()), before+2)
	require.Positive(t, memoryOf(os.Getpid(), "VmHWM"))
}
