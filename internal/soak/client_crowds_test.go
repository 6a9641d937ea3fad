package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"tidedeck/platform/peer"
)

// The resources of a machine in these tests, lower than on any site so that a small crowd suffices. A process must stay
// within them whatever its clients send.
const (
	crowdMachineMb          = 128
	crowdMachineDescriptors = 400
	// keptDescriptors of a machine's descriptors are kept for other files: a process may open the rest.
	keptDescriptors = 200
)

// Size and duration of a crowd. The verdict depends on neither the machine's speed nor the number of requests served.
const (
	crowdSize   = 200
	crowdLength = 4 * time.Second
)

// crowdCase is a crowd at doors of one process.
type crowdCase struct {
	name   string
	role   role
	ports  []int
	behave misbehavior
	// completes marks a crowd that sends complete requests: an ordinary request may then be refused while it lasts.
	completes bool
}

var crowdCases = []crowdCase{
	{name: "first line without end", role: routerRole, ports: []int{portIngress}, behave: endlessFirstLine},
	{name: "header line without end", role: routerRole, ports: []int{portIngress}, behave: endlessHeaderLine},
	{name: "header lines without end", role: routerRole, ports: []int{portIngress}, behave: endlessHeaderLines},
	{name: "many short header lines", role: routerRole, ports: []int{portIngress}, behave: shortHeaderLines},
	{name: "many short header lines within the limits", role: routerRole, ports: []int{portIngress}, behave: shortHeaderLinesWithinLimits},
	{name: "empty lines before a request", role: routerRole, ports: []int{portIngress}, behave: emptyLines},
	{name: "empty lines after a request", role: routerRole, ports: []int{portIngress}, behave: emptyLinesAfterRequest},
	{name: "silence", role: routerRole, ports: []int{portIngress}, behave: silence},
	{name: "silence at all doors", role: routerRole, ports: routerDoors, behave: silence},
	{name: "heads a byte at a time", role: routerRole, ports: []int{portIngress}, behave: headByteByByte},
	{name: "unfinished bodies", role: routerRole, ports: []int{portIngress}, behave: unfinishedBody},
	{name: "chunks without end", role: routerRole, ports: []int{portIngress}, behave: endlessChunks},
	{name: "chunk extension without end", role: routerRole, ports: []int{portIngress}, behave: endlessChunkExtension},
	{name: "trailer without end", role: routerRole, ports: []int{portIngress}, behave: endlessTrailer},
	{name: "answers that nobody reads", role: routerRole, ports: []int{portIngress}, behave: unreadAnswers, completes: true},
	{name: "answers read a byte at a time", role: routerRole, ports: []int{portIngress}, behave: answerByteByByte, completes: true},
	{name: "slow requests", role: routerRole, ports: []int{portIngress}, behave: slowRequests, completes: true},
	{name: "first lines without end at all doors", role: routerRole, ports: routerDoors, behave: endlessFirstLine},
	{name: "unread pages of a router", role: routerRole, ports: []int{routerAdminPort, portMetrics}, behave: unreadPages("/metrics")},
	{name: "unfinished frames at a router", role: routerRole, ports: []int{routerNodePort}, behave: unfinishedFrame},
	{name: "unfinished messages at a router", role: routerRole, ports: []int{routerNodePort}, behave: unfinishedMessage},
	{name: "garbage at all doors of a router", role: routerRole, ports: routerDoors, behave: garbage},

	{name: "silence at all doors of a core node", role: controllerRole, ports: coreDoors, behave: silence},
	{name: "silence at the control port", role: controllerRole, ports: []int{portControl}, behave: silence},
	{name: "first lines without end at all doors of a core node", role: controllerRole, ports: coreDoors, behave: endlessFirstLine},
	{name: "header lines without end at the control port", role: controllerRole, ports: []int{portControl}, behave: endlessHeaderLines},
	{name: "many short header lines at the control port", role: controllerRole, ports: []int{portControl}, behave: shortHeaderLinesWithinLimits},
	{name: "unfinished configurations", role: controllerRole, ports: []int{portControl}, behave: unfinishedConfiguration},
	{name: "unfinished announcements", role: controllerRole, ports: []int{portControl}, behave: unfinishedAnnouncement},
	{name: "unread configurations", role: controllerRole, ports: []int{portControl}, behave: unreadPages(peer.PathConfiguration), completes: true},
	{name: "unread pages of a core node", role: controllerRole, ports: []int{coreAdminPort, portMetrics}, behave: unreadPages("/metrics")},
	{name: "unfinished frames at a core node", role: controllerRole, ports: []int{coreNodePort}, behave: unfinishedFrame},
	{name: "unfinished messages at a core node", role: controllerRole, ports: []int{coreNodePort}, behave: unfinishedMessage},
	{name: "garbage at all doors of a core node", role: controllerRole, ports: coreDoors, behave: garbage},

	{name: "requests with long IDs", role: routerRole, ports: []int{portIngress}, behave: requestsWithLongIDs, completes: true},
	{name: "requests with IDs beyond the limits", role: routerRole, ports: []int{portIngress}, behave: requestsWithTooLongIDs, completes: true},
	{name: "requests for unknown models", role: routerRole, ports: []int{portIngress}, behave: requestsForUnknownModels, completes: true},
	{name: "requests for unknown adapters", role: routerRole, ports: []int{portIngress}, behave: requestsForUnknownAdapters, completes: true},
	{name: "requests with long prompts", role: routerRole, ports: []int{portIngress}, behave: requestsWithLongPrompts, completes: true},
	{name: "announcements of unknown servers", role: controllerRole, ports: []int{portControl}, behave: announcements, completes: true},
	{name: "long announcements of unknown servers", role: controllerRole, ports: []int{portControl}, behave: longAnnouncements, completes: true},
	{name: "faulty configurations", role: controllerRole, ports: []int{portControl}, behave: faultyConfigurations, completes: true},
	{name: "configurations of too many adapters", role: controllerRole, ports: []int{portControl}, behave: configurationsWithAdapters(499_000), completes: true},
	{name: "configurations of many adapters", role: controllerRole, ports: []int{portControl}, behave: configurationsWithAdapters(49_000), completes: true},
	{name: "the dearest at each door of a router", role: routerRole, ports: routerDoors, behave: dearestAtRouter, completes: true},
	{name: "the dearest at each door of a core node", role: controllerRole, ports: coreDoors, behave: dearestAtCore, completes: true},
}

// No crowd of clients ends a process, takes it beyond the memory and the descriptors of its machine, or keeps ordinary
// requests from being answered.
func TestClientCrowds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range crowdCases {
		t.Run(c.name, func(t *testing.T) {
			r := startFleetForCrowd(t)
			target := r.fleet.withRole(c.role)[0]
			watch := watchUsage(target)
			crowd := startCrowd(addressesOf(target, c.ports), crowdSize, c.behave)
			time.Sleep(crowdLength)
			answeredMeanwhile := ordinaryRequestsAnswered(r, target, c.completes)
			crowd.end()
			answeredAfterwards := ordinaryRequestsAnswered(r, target, false)
			requireWithinMachine(t, target, watch)
			for _, m := range r.fleet.machines {
				require.LessOrEqual(t, m.peakMemory(), crowdMachineMb<<10, "memory of %s in KB", m.name)
			}
			require.NoError(t, answeredMeanwhile, "while the crowd lasts")
			require.NoError(t, answeredAfterwards, "after the crowd")
		})
	}
}

// requireWithinMachine ends a watch and checks that the process still runs and stayed within its machine.
func requireWithinMachine(t *testing.T, target *machine, watch *usageWatch) {
	t.Helper()
	require.Equal(t, 1, target.starts, "starts of the process")
	require.NoError(t, syscall.Kill(watch.pid, 0), "the process lives")
	requireUsageWithinMachine(t, watch)
}

// requireUsageWithinMachine ends a watch and checks that the process stayed within its machine.
func requireUsageWithinMachine(t *testing.T, watch *usageWatch) {
	t.Helper()
	most := watch.end()
	t.Logf("most held: %+v", most)
	require.LessOrEqual(t, most.MemoryKb+most.UnreadKb, crowdMachineMb<<10, "memory in KB, with bytes that have arrived")
	require.LessOrEqual(t, most.Descriptors, crowdMachineDescriptors-keptDescriptors, "open descriptors")
}

// startFleetForCrowd starts a small fleet on small machines.
func startFleetForCrowd(t *testing.T) *soakRun {
	t.Helper()
	r := startFleet(t, Options{Seed: 69, Cores: 3, Routers: 1, Servers: 1}, func(r *soakRun) {
		r.fleet.limits.MemoryMb, r.fleet.limits.Descriptors = crowdMachineMb, crowdMachineDescriptors
	})
	for _, m := range r.fleet.machines {
		limit := unix.Rlimit{Cur: crowdMachineDescriptors, Max: crowdMachineDescriptors}
		require.NoError(t, unix.Prlimit(m.pid(), unix.RLIMIT_NOFILE, &limit, nil))
	}
	return r
}

// ordinaryRequestsAnswered waits until an ordinary request through the router is served, and an operator reads the
// configuration if the crowd is at a core node. With mayRefuse, a complete refusal counts as an answer.
func ordinaryRequestsAnswered(r *soakRun, target *machine, mayRefuse bool) error {
	random := rand.New(rand.NewPCG(r.options.Seed, 69))
	err := waitUntil(context.Background(), settleTimeout, "an ordinary request is answered", func() bool {
		c := &caller{run: r, number: int(random.Uint32()), fixedKeyOnly: true, random: random}
		defer c.closeConn()
		q := c.plainRequest()
		c.send(q)
		return q.result == served || mayRefuse && q.result == refused
	})
	if err != nil || target.role != controllerRole {
		return err
	}
	return waitUntil(context.Background(), settleTimeout, "an operator's read is answered", func() bool { return readsConfiguration(target, mayRefuse) })
}

// plainRequest returns a request to a plain service.
func (c *caller) plainRequest() request {
	c.sentCount++
	id := "o" + strconv.Itoa(c.number) + "-" + strconv.Itoa(c.sentCount)
	q := request{requestRecord: &requestRecord{id: id, method: http.MethodPost, mode: peer.Idempotent, path: pathPlain, key: fixedKey, timeout: requestTimeout, target: pathPlain + "x?q=" + id}}
	q.content = []byte(id)
	q.body = digest(q.content)
	return q
}

// operatorTimeout is how long an operator waits for one answer.
const operatorTimeout = 10 * time.Second

// readsConfiguration reports whether a core node answers an operator's read.
func readsConfiguration(m *machine, mayRefuse bool) bool {
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + hostPort(m.bindIP, portControl) + peer.PathConfiguration)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK || mayRefuse && response.StatusCode == http.StatusServiceUnavailable
}

// A process with a crowd at its doors stops when it is told to, starts again under the crowd, and serves.
func TestRestartUnderACrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range []crowdCase{
		{name: "router", role: routerRole, ports: routerDoors, behave: headByteByByte},
		{name: "router with endless lines", role: routerRole, ports: routerDoors, behave: endlessHeaderLines},
		{name: "core node", role: controllerRole, ports: coreDoors, behave: headByteByByte},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startFleetForCrowd(t)
			target := r.fleet.withRole(c.role)[0]
			crowd := startCrowd(addressesOf(target, c.ports), crowdSize, c.behave)
			defer crowd.end()
			time.Sleep(crowdLength)
			target.signal(syscall.SIGTERM, true)
			require.NoError(t, waitUntil(context.Background(), settleTimeout, "the process stops", func() bool { return !target.isRunning() }))
			require.NoError(t, r.fleet.start(target))
			watch := watchUsage(target)
			answeredMeanwhile := ordinaryRequestsAnswered(r, target, false)
			crowd.end()
			requireUsageWithinMachine(t, watch)
			require.NoError(t, answeredMeanwhile, "while the crowd lasts")
			require.NoError(t, ordinaryRequestsAnswered(r, target, false), "after the crowd")
		})
	}
}

// isRunning reports whether the machine's process has not exited.
func (m *machine) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// A configuration comes into force while a crowd is at the doors of the router and of a core node.
func TestConfigurationUnderACrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	r := startFleetForCrowd(t)
	router, core := r.fleet.withRole(routerRole)[0], r.fleet.withRole(controllerRole)[0]
	routerWatch, coreWatch := watchUsage(router), watchUsage(core)
	crowds := []*crowd{
		startCrowd(addressesOf(router, routerDoors), crowdSize, endlessHeaderLines),
		startCrowd(addressesOf(core, coreDoors), crowdSize, endlessHeaderLines),
	}
	o := newOperator(r, 1)
	for range 3 {
		base := uint64(0)
		require.NoError(t, waitUntil(context.Background(), settleTimeout, "the configuration is read", func() bool {
			base = o.readConfiguration(o.randomCore())
			return base > 0
		}))
		change := o.randomChange(base)
		r.history.recordSend(change)
		o.sendUntilAnswered(context.Background(), change)
	}
	answeredMeanwhile := ordinaryRequestsAnswered(r, core, false)
	for _, c := range crowds {
		c.end()
	}
	requireWithinMachine(t, router, routerWatch)
	requireWithinMachine(t, core, coreWatch)
	require.NoError(t, answeredMeanwhile, "while the crowds last")
	require.NotZero(t, r.history.acknowledgedCount())
}

// A single request inside the limits is served in calm, also on the smallest machine: its head has as many lines as the
// limit on its size allows.
func TestLargestHeadInCalm(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	r := startFleetForCrowd(t)
	router := r.fleet.withRole(routerRole)[0]
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+hostPort(router.bindIP, portIngress)+pathPlain+"x", nil)
	require.NoError(t, err)
	request.Host = requestHost
	request.Header.Set(peer.HeaderID, "largest")
	request.Header.Set(peer.HeaderRemaining, "4000")
	for n, bytes := 0, 0; bytes < headWithinLimits; n++ {
		name := "X" + strconv.FormatInt(int64(n), 36)
		request.Header[name] = []string{""}
		bytes += len(name) + len(": \r\n")
	}
	require.NoError(t, waitUntil(context.Background(), settleTimeout, "the request is served", func() bool {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}))
}

// joinTimeout ends a test in which a server never joins. It is no requirement on the system's speed.
const joinTimeout = 5 * time.Minute

// A server that exists joins although clients announce more servers that do not exist than there is room for.
func TestServersJoinBesideFalseAnnouncements(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	r := startFleetForCrowd(t)
	var crowds []*crowd
	var watches []*usageWatch
	for _, core := range r.fleet.withRole(controllerRole) {
		watches = append(watches, watchUsage(core))
		crowds = append(crowds, startCrowd(addressesOf(core, []int{portControl}), crowdSize, announceAgain))
	}
	time.Sleep(crowdLength)
	joining := newServer(r.fleet, len(r.servers), plainService, r.options.Seed)
	require.NoError(t, r.addServer(joining))
	joined := waitUntil(context.Background(), joinTimeout, "a core node acknowledges the server", func() bool {
		return !joining.announce(joining.id, peer.Steady).IsZero()
	})
	for _, crowd := range crowds {
		crowd.end()
	}
	for _, watch := range watches {
		requireUsageWithinMachine(t, watch)
	}
	require.NoError(t, joined, "while the crowd lasts")
	require.NoError(t, ordinaryRequestsAnswered(r, r.fleet.withRole(routerRole)[0], false), "after the crowd")
}
