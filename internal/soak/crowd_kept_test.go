package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"

	"tidedeck/platform/peer"
)

// Clients that don't behave, whose complete requests name things that a process could keep after it has answered.

// longName returns a name of the given length that differs for each client and number.
func longName(client, number, bytes int) string {
	name := fmt.Sprintf("n%d-%d-", client, number)
	return name + strings.Repeat("n", max(0, bytes-len(name)))
}

// sendWithoutWaiting sends requests one after another and discards the answers.
func sendWithoutWaiting(c net.Conn, request func(number int) string) error {
	failed := make(chan error, 1)
	go func() { failed <- waitForEnd(c) }()
	for number := 0; ; number++ {
		if _, err := io.WriteString(c, request(number)); err != nil {
			return err
		}
		select {
		case err := <-failed:
			return err
		default:
		}
	}
}

// longNameBytes is the length of a name that leaves its request within the limits, in bytes.
const longNameBytes = 12 << 10

// requestsWithLongIDs sends requests whose path has no route and whose ID is as long as a head allows.
func requestsWithLongIDs(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string {
		return fmt.Sprintf("GET /none/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n\r\n", requestHost,
			peer.HeaderID, longName(client, number, longNameBytes), peer.HeaderRemaining)
	})
}

// tooLongNameBytes is the length of a name that makes a head longer than the configuration allows, in bytes.
const tooLongNameBytes = 60 << 10

// requestsWithTooLongIDs sends requests whose ID exceeds what a head may have.
func requestsWithTooLongIDs(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string {
		return fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n\r\n", pathPlain, requestHost,
			peer.HeaderID, longName(client, number, tooLongNameBytes), peer.HeaderRemaining)
	})
}

// requestsForUnknownModels sends requests that each name a model that does not exist, by a long name.
func requestsForUnknownModels(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string {
		return fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\n%s: m%d-%d\r\n%s: %s\r\n%s: 10,10\r\n%s: 4000\r\n\r\n", pathIdempotent, requestHost,
			peer.HeaderID, client, number, peer.HeaderModel, longName(client, number, longNameBytes), peer.HeaderTokens, peer.HeaderRemaining)
	})
}

// requestsForUnknownAdapters sends requests that each name an adapter that does not exist, of a model that does.
func requestsForUnknownAdapters(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string {
		return fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\n%s: a%d-%d\r\n%s: %s/%s\r\n%s: 10,10\r\n%s: 4000\r\n\r\n", pathIdempotent, requestHost,
			peer.HeaderID, client, number, peer.HeaderModel, modelName(0), longName(client, number, longNameBytes), peer.HeaderTokens, peer.HeaderRemaining)
	})
}

// requestsWithLongPrompts sends requests for a model whose prompts consist of many parts that nobody else has.
func requestsWithLongPrompts(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string {
		var parts strings.Builder
		for part := 0; parts.Len() < longNameBytes; part++ {
			fmt.Fprintf(&parts, "%d-%d-%d:10,", client, number, part)
		}
		return fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\n%s: p%d-%d\r\n%s: %s\r\n%s: 10,10\r\n%s: %s\r\n%s: 4000\r\n\r\n", pathIdempotent, requestHost,
			peer.HeaderID, client, number, peer.HeaderModel, modelName(0), peer.HeaderTokens, peer.HeaderPromptPrefix, strings.TrimSuffix(parts.String(), ","),
			peer.HeaderRemaining)
	})
}

// announcementOf returns a complete announcement of a server that does not exist.
func announcementOf(client, number, models int) string {
	a := peer.Announcement{Service: modelService, Address: fmt.Sprintf("127.%d.%d.%d:9", 200+client%50, number>>8%256, number%256), Zone: zones[0], Revision: "v1", Capacity: 1,
		Condition: peer.Steady, Phase: "combined", Calls: 1}
	for n := range models {
		a.Models = append(a.Models, peer.Model{Label: longName(client, n, 0)})
	}
	return announcementRequest(fmt.Sprintf("x%d-%d", client, number), a)
}

// announcementRequest returns the request by which a server announces itself.
func announcementRequest(id string, a peer.Announcement) string {
	raw, _ := json.Marshal(a)
	return fmt.Sprintf("PUT %s%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", peer.PathServers, id, len(raw), raw)
}

// announcements announces one server after another that does not exist.
func announcements(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string { return announcementOf(client, number, 0) })
}

// repeatedAnnouncements is the number of servers that do not exist that each client announces again and again: together they are
// more than a core node of a small machine has room for.
const repeatedAnnouncements = 60

// announceAgain announces the same servers, which do not exist, again and again, each at an address of its own.
func announceAgain(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string {
		server := number % repeatedAnnouncements
		a := peer.Announcement{Service: modelService, Address: fmt.Sprintf("127.255.%d.%d:9", client, server+1), Zone: zones[0], Revision: "v1", Capacity: 1,
			Condition: peer.Steady, Phase: "combined", Calls: uint64(number + 1)}
		return announcementRequest(fmt.Sprintf("r%d-%d", client, server), a)
	})
}

// modelsOfLongAnnouncement is the number of models of an announcement that is as long as a core node reads.
const modelsOfLongAnnouncement = 20_000

// longAnnouncements announces one server after another that does not exist, each with many models.
func longAnnouncements(_ context.Context, c net.Conn, client int) error {
	return sendWithoutWaiting(c, func(number int) string { return announcementOf(client, number, modelsOfLongAnnouncement) })
}

// faultyConfigurations sends complete changes that are as long as a core node reads, and no plan.
func faultyConfigurations(_ context.Context, c net.Conn, _ int) error {
	body := `{"revision":1,"routings":[` + strings.TrimSuffix(strings.Repeat("{},", sentBody/3), ",") + "]}"
	return sendWithoutWaiting(c, func(int) string {
		return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nIf-Match: 1\r\nContent-Length: %d\r\n\r\n%s", peer.PathConfiguration, len(body), body)
	})
}

// configurationsWithAdapters returns a client that sends complete changes that conflict with the configuration in force,
// each with a few words that stand for many adapters.
func configurationsWithAdapters(adapters int) misbehavior {
	return func(_ context.Context, c net.Conn, client int) error {
		return sendWithoutWaiting(c, func(number int) string {
			body := fmt.Sprintf(`{"revision":%d,"plants":[{"label":"p","runtime":{"bases":[{"label":"b","weightMb":1,"deltas":%d,"deltaMb":1}]}}],"routings":[]}`, client<<16+number+2, adapters)
			return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nIf-Match: 1\r\nContent-Length: %d\r\n\r\n%s", peer.PathConfiguration, len(body), body)
		})
	}
}

// atPort returns a client that does at each port one of the things given for it, by its number.
func atPort(kinds map[int][]misbehavior) misbehavior {
	return func(ctx context.Context, c net.Conn, client int) error {
		address, ok := c.RemoteAddr().(*net.TCPAddr)
		if !ok || len(kinds[address.Port]) == 0 {
			return waitForEnd(c)
		}
		here := kinds[address.Port]
		return here[client/len(kinds)%len(here)](ctx, c, client)
	}
}

// dearestAtRouter are the things that take most memory at each port of a router.
var dearestAtRouter = atPort(map[int][]misbehavior{
	portIngress:     {unfinishedBody, endlessHeaderLine, shortHeaderLines, requestsWithTooLongIDs},
	portReadiness:   {shortHeaderLines},
	routerNodePort:  {unfinishedMessage},
	routerAdminPort: {shortHeaderLines, unreadPages("/metrics")},
	portMetrics:     {unreadPages("/metrics"), endlessHeaderLine},
})

// dearestAtCore are the things that take most memory at each port of a core node.
var dearestAtCore = atPort(map[int][]misbehavior{
	portControl:   {longAnnouncements, unfinishedConfiguration, faultyConfigurations, configurationsWithAdapters(49_000)},
	coreNodePort:  {unfinishedMessage},
	coreAdminPort: {shortHeaderLines, unreadPages("/metrics")},
	portMetrics:   {unreadPages("/metrics"), endlessHeaderLine},
})
