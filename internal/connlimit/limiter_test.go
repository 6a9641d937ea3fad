package connlimit

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testHead = 64 << 10

func testConfig(connections int) Config {
	header := http.Header{"Retry-After": {"1"}}
	return Config{Limits: Limits{Connections: connections, InputBytes: 100 << 10}, MaxHead: func() int { return testHead },
		HeadTooLong: Answer(http.StatusRequestHeaderFieldsTooLarge, http.Header{}, nil), Full: Answer(http.StatusServiceUnavailable, header, []byte("full"))}
}

// dial returns both ends of a connection that the limiter has accepted, or was asked to; nil if it was refused.
func dial(t *testing.T, l *Limiter) (client net.Conn, accepted *Conn) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, l.admit(server)
}

// isOpen reports whether the limiter still holds a connection.
func isOpen(l *Limiter, c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !c.gone
}

// A full limiter closes the connection with the least claim: newcomers first, then idle ones, each time the oldest.
func TestOldestWithoutARequestGoesFirst(t *testing.T) {
	l := New(testConfig(4))
	_, served := dial(t, l)
	_, first := dial(t, l)
	_, second := dial(t, l)
	_, inProgress := dial(t, l)
	inProgress.Claim()
	served.Claim()
	served.Release()
	for _, victim := range []*Conn{first, second} {
		_, next := dial(t, l)
		require.NotNil(t, next)
		require.False(t, isOpen(l, victim))
		require.True(t, isOpen(l, served))
		next.Claim()
	}
	_, last := dial(t, l)
	require.NotNil(t, last)
	require.False(t, isOpen(l, served), "idle connections go once there is no newcomer")
	require.True(t, isOpen(l, inProgress))
	require.Equal(t, Counts{Open: 4, Evicted: 3}, l.Counts())
}

// Connections with requests one after another leave places to newcomers, which would be closed before they are read from.
func TestNewcomersHaveTimeToSendARequest(t *testing.T) {
	const places = 2 * newcomerFraction
	l := New(testConfig(places))
	for range places {
		_, c := dial(t, l)
		c.Claim()
		c.Release()
	}
	var newcomers []*Conn
	for range places / newcomerFraction {
		_, c := dial(t, l)
		require.NotNil(t, c)
		newcomers = append(newcomers, c)
	}
	for _, c := range newcomers {
		require.True(t, isOpen(l, c), "an idle connection gives way")
	}
	_, next := dial(t, l)
	require.NotNil(t, next)
	require.True(t, isOpen(l, newcomers[1]))
	require.Equal(t, places, l.Counts().Open)
}

// If every other connection has a request in progress, newcomers are not closed as soon as they come: the next one is refused.
func TestNewcomersBesideRequestsInProgress(t *testing.T) {
	l := New(testConfig(newcomerFraction))
	for range newcomerFraction - 1 {
		_, c := dial(t, l)
		c.Claim()
	}
	_, young := dial(t, l)
	client, refused := dial(t, l)
	require.Nil(t, refused)
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, isOpen(l, young))
	young.acceptedAt = time.Now().Add(-2 * newcomerTime)
	_, next := dial(t, l)
	require.NotNil(t, next)
	require.False(t, isOpen(l, young))
}

// If every connection has a request in progress, another one is refused with an answer that says when to come back.
func TestRefusedWhenAllHaveRequests(t *testing.T) {
	l := New(testConfig(2))
	for range 2 {
		_, c := dial(t, l)
		c.Claim()
	}
	client, refused := dial(t, l)
	require.Nil(t, refused)
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "full", string(body))
	require.Equal(t, uint64(1), l.Counts().Refused)
}

// A client that has stopped reading its answer gives way if nobody else can.
func TestStalledAnswerGivesWay(t *testing.T) {
	l := New(testConfig(2))
	_, stalled := dial(t, l)
	_, working := dial(t, l)
	stalled.Claim()
	working.Claim()
	stalled.writingSince.Store(time.Now().Add(-2 * stalledAfter).UnixNano())
	working.writingSince.Store(time.Now().UnixNano())
	_, next := dial(t, l)
	require.NotNil(t, next)
	require.False(t, isOpen(l, stalled))
	require.True(t, isOpen(l, working))
}

// A head that exceeds its limit is answered as soon as that is known, whatever it consists of.
func TestHeadBeyondTheLimit(t *testing.T) {
	for name, text := range map[string]string{"one line": "a", "short lines": "a:\r\n", "empty lines": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			l := New(testConfig(2))
			client, c := dial(t, l)
			go func() {
				for {
					if _, err := io.WriteString(client, strings.Repeat(text, 100)); err != nil {
						return
					}
				}
			}()
			ended := make(chan int)
			go func() {
				total := 0
				for buffer := make([]byte, 4<<10); ; {
					n, err := c.Read(buffer)
					total += n
					if err != nil {
						ended <- total
						return
					}
				}
			}()
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
			require.LessOrEqual(t, <-ended, testHead+headSlack)
			require.Zero(t, l.input)
		})
	}
}

// read makes a connection read the given bytes and returns the error.
func read(client net.Conn, c *Conn, text string) error {
	go func() { _, _ = io.WriteString(client, text) }()
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

// When heads need more memory than there is, the one that needs most goes. One alone always has room, and ordinary heads
// never need any of it.
func TestLargestHeadGivesWay(t *testing.T) {
	l := New(testConfig(10))
	short := strings.Repeat("a:\r\n", 100) // counts for some 30 KB
	aloneClient, alone := dial(t, l)
	for range 8 {
		require.NoError(t, read(aloneClient, alone, short), "a request that has all room for itself")
	}
	client, small := dial(t, l)
	require.NoError(t, read(client, small, strings.Repeat("Name: value\r\n", 10)))
	require.True(t, isOpen(l, alone), "an ordinary head needs no room")
	client, second := dial(t, l)
	require.NoError(t, read(client, second, short))
	require.False(t, isOpen(l, alone), "the largest gives way")
	require.True(t, isOpen(l, second))
	require.True(t, isOpen(l, small))
}

// The connection that asks for room is refused itself if it needs most, or if all others have complete requests.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	l := New(testConfig(10))
	client, holder := dial(t, l)
	for range 4 {
		require.NoError(t, read(client, holder, strings.Repeat("a:\r\n", 100)))
	}
	holder.Claim()
	client, next := dial(t, l)
	go func() { _, _ = io.Copy(io.Discard, client) }()
	require.Error(t, read(client, next, strings.Repeat("a:\r\n", 100)))
	require.True(t, isOpen(l, holder), "a complete request keeps its place")
	holder.Release()
	require.Zero(t, l.input)
}

// The input of a node that has identified itself is no longer accounted.
func TestTrustedInputIsNotAccounted(t *testing.T) {
	l := New(Config{Limits: Limits{Connections: 2, InputBytes: 1 << 10}, BodyCost: 3})
	client, node := dial(t, l)
	require.NoError(t, read(client, node, strings.Repeat("x", 20<<10)))
	require.Positive(t, l.input)
	node.Trust()
	require.Zero(t, l.input)
	require.NoError(t, read(client, node, strings.Repeat("x", 200<<10)))
	require.Zero(t, l.input)
	for range 3 {
		_, _ = dial(t, l)
	}
	require.True(t, isOpen(l, node), "newcomers give way first")
}

// Whatever happens to connections, the accounts agree with what is open and the limits hold.
func TestAccountsAgree(t *testing.T) {
	const connections, steps = 6, 4000
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 69))
		l := New(Config{Limits: Limits{Connections: connections, ConnectionBytes: connections * activeBytes * 2 / 3, InputBytes: 80 << 10},
			MaxHead: func() int { return testHead }, BodyCost: 2})
		var all []*Conn
		for range steps {
			if len(all) == 0 || random.IntN(4) == 0 {
				client, server := net.Pipe()
				if c := l.admit(server); c != nil {
					all = append(all, c)
				}
				defer client.Close()
			} else {
				randomStep(random, all[random.IntN(len(all))])
			}
			all = checkAccounts(t, l, all)
		}
	}
}

// randomStep does one of the things that happen to a connection.
func randomStep(random *rand.Rand, c *Conn) {
	switch random.IntN(6) {
	case 0:
		c.Claim()
	case 1:
		c.Release()
	case 2:
		c.HeadComplete()
	case 3:
		_ = c.Close()
	default:
		if c.account(make([]byte, random.IntN(20<<10))) != accepted {
			_ = c.Close()
		}
	}
}

// checkAccounts compares the accounts with the connections that are open, and returns those.
func checkAccounts(t *testing.T, l *Limiter, all []*Conn) (open []*Conn) {
	t.Helper()
	input, memory, largest, listed := int64(0), int64(0), int64(0), 0
	for _, c := range all {
		if c.gone {
			continue
		}
		open = append(open, c)
		beyond := max(0, c.input-inputAllowance)
		input, memory, largest = input+beyond, memory+c.memory, max(largest, beyond)
	}
	for p := range l.waiting {
		listed += l.waiting[p].Len()
	}
	require.Equal(t, len(open), l.open)
	require.Equal(t, len(open), listed+len(l.claimed))
	require.Equal(t, input, l.input)
	require.Equal(t, memory, l.memory)
	require.LessOrEqual(t, l.memory, l.config.ConnectionBytes)
	require.LessOrEqual(t, l.open, l.config.Connections)
	require.LessOrEqual(t, l.input, max(l.config.InputBytes, largest))
	return open
}

// The listeners of one process together leave it enough of its machine, on every size that is in use and below.
func TestSharesLeaveRoom(t *testing.T) {
	for _, m := range []Machine{{MemoryMB: 128, Descriptors: 400}, {MemoryMB: 160, Descriptors: 4100}, {MemoryMB: 184, Descriptors: 4100}, {MemoryMB: 284, Descriptors: 4100}, {}} {
		for _, process := range [][]Share{{Clients, Readiness, Nodes, Operators, Operators}, {Control, Nodes, Operators, Operators}} {
			connections, memory := 0, int64(0)
			for _, share := range process {
				l := m.Limits(share)
				connections += l.Connections
				memory += l.ConnectionBytes + l.InputBytes
			}
			with := m
			if with == (Machine{}) {
				with = Machine{MemoryMB: defaultMemoryMB, Descriptors: defaultDescriptors}
			}
			require.LessOrEqual(t, connections, (with.Descriptors-keptDescriptors)*8/10, m)
			require.LessOrEqual(t, memory, int64(with.MemoryMB)<<20*8/10, m)
		}
	}
}

// A connection that is closed while the limit on its head is looked up leaves nothing in the accounts.
func TestClosedWhileItsHeadIsChecked(t *testing.T) {
	var c *Conn
	config := testConfig(2)
	config.MaxHead = func() int {
		_ = c.Close()
		return testHead
	}
	l := New(config)
	_, c = dial(t, l)
	require.Equal(t, accepted, c.account([]byte(strings.Repeat("a:\r\n", 2*headSlack/4))))
	require.Zero(t, l.input)
	require.Zero(t, l.memory)
}
