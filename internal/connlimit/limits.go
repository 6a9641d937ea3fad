// Package connlimit bounds what a process holds for the clients of a listener, all of them together: the connections that
// are open, and the memory for what they have sent of requests that are not complete.
//
// A client that has sent no complete request has no claim on an answer. When there is no room for one more, such a
// connection is closed first: one that never sent a complete request, then one that waits for its next request, each time
// the oldest. A connection whose request has been read whole keeps its place until the answer has ended, unless its client
// has stopped reading that answer. If no connection can make room, the new one is refused.
package connlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"tidedeck/internal/generic"
)

// Limits bound what a process holds for the connections of one listener. A zero value is no limit.
type Limits struct {
	Connections     int   // connections open at once
	ConnectionBytes int64 // memory for connections, with their buffers in the kernel
	InputBytes      int64 // memory for input beyond the allowance that each connection has
	Buffer          int   // size of a connection's receive buffer, and of its send buffer, in the kernel, in bytes
}

// Listen listens at a TCP address. The connections' buffers have the size that the limits name.
func (l Limits) Listen(ctx context.Context, config net.ListenConfig, addr string) (net.Listener, error) {
	if l.Buffer > 0 {
		config.Control = l.setBuffers
	}
	return config.Listen(ctx, "tcp", addr)
}

// setBuffers sets the buffer sizes of a listening socket, which its connections inherit. Without them the kernel lets each
// buffer grow to megabytes.
func (l Limits) setBuffers(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, l.Buffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, l.Buffer)
	})
}

// Sizes that the limits assume.
const (
	// inputAllowance is the memory for input that each connection may use, so that ordinary requests never depend on what
	// other clients hold, in bytes.
	inputAllowance = 16 << 10
	// bufferBytes is the size of each of a connection's buffers in the kernel, in bytes.
	bufferBytes = 32 << 10
	// idleBytes is the memory for a connection that waits for its next request: its goroutines, reader and writer, in bytes.
	// Its buffers in the kernel are empty, since the process reads what arrives.
	idleBytes = 24 << 10
	// activeBytes is the memory for a connection with a request, in bytes: its client may fill both buffers.
	activeBytes = idleBytes + inputAllowance + 2*bufferBytes
	// minConnections is the number of connections that each listener accepts however small the machine is.
	minConnections = 8
	// keptDescriptors is the number of descriptors that the platform keeps for files of its own.
	keptDescriptors = 200
)

// Machine is what one process may use. A zero value is replaced by a default.
type Machine struct {
	MemoryMB    int // 1,024
	Descriptors int // 4,096
}

// Share is the share of a machine that the connections of one listener may use.
type Share struct {
	Descriptors float64 // of the descriptors
	Memory      float64 // of the memory, for connections with their buffers in the kernel
	Input       float64 // of the memory, for input beyond the allowances
}

// Defaults of a machine that does not tell what it has.
const (
	defaultMemoryMB    = 1024
	defaultDescriptors = 4096
)

// withDefaults returns the machine with unset values replaced by their defaults.
func (m Machine) withDefaults() Machine {
	generic.SetDefault(&m.MemoryMB, defaultMemoryMB)
	generic.SetDefault(&m.Descriptors, defaultDescriptors)
	return m
}

// Bytes returns a share of the memory.
func (m Machine) Bytes(share float64) int64 {
	return int64(float64(int64(m.withDefaults().MemoryMB)<<20) * share)
}

// usableDescriptors returns the number of descriptors that the process may open.
func (m Machine) usableDescriptors() int {
	return max(m.Descriptors-keptDescriptors, m.Descriptors/2)
}

// idleShare is the share of a router's descriptors for idle connections to servers.
const idleShare = 0.08

// IdleConnections returns how many idle connections to servers a router may keep.
func (m Machine) IdleConnections() int {
	return max(minConnections, int(float64(m.withDefaults().usableDescriptors())*idleShare))
}

// Limits returns the limits that a share of the machine allows.
func (m Machine) Limits(s Share) Limits {
	m = m.withDefaults()
	return Limits{
		Connections:     max(minConnections, int(float64(m.usableDescriptors())*s.Descriptors)),
		ConnectionBytes: max(minConnections*activeBytes, m.Bytes(s.Memory)),
		InputBytes:      m.Bytes(s.Input),
		Buffer:          bufferBytes,
	}
}

// Shares of the listeners of a router. The rest of the descriptors is for its own connections, to servers and nodes; the rest
// of the memory is for the fleet's state, for complete requests and answers, and for what the garbage collector has not
// collected yet.
var (
	Clients   = Share{Descriptors: 0.35, Memory: 0.30, Input: 1. / 16}
	Readiness = Share{Descriptors: 0.04, Memory: 0.02, Input: 1. / 128}
)

// Shares of the listeners of a core node.
var (
	Control = Share{Descriptors: 0.30, Memory: 0.25, Input: 1. / 8}
)

// Shares of listeners that both have.
var (
	Nodes     = Share{Descriptors: 0.25, Memory: 0.10, Input: 1. / 10}
	Operators = Share{Descriptors: 0.04, Memory: 0.02, Input: 1. / 64}
)
