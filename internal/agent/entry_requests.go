package agent

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Requests for placement entries. A single request is sent at once. Those that come while it is not answered are collected
// and sent together, so that a router has no more than one message of this kind under way, however many entries it lacks and
// however late the leader answers.

const (
	// maxKeysPerRequest limits the number of entries that one message asks for.
	maxKeysPerRequest = 64
	// entryTimeout is the time after which entries are asked for again. It doubles with each time in a row, up to
	// maxEntryDoublings times.
	entryTimeout      = clock.Span(400e6)
	maxEntryDoublings = 3
)

// entryRequests are the entries that the router asked for in this session.
type entryRequests struct {
	requests    map[ident.Key]protocol.EntryRequest // by key, as last asked for
	queued      []ident.Key                         // not sent yet, oldest first
	outstanding []ident.Key                         // sent with the last message and not received yet
	sentAt      clock.Instant
	timeouts    int // in a row
}

// reset forgets all requests.
func (q *entryRequests) reset() { *q = entryRequests{requests: map[ident.Key]protocol.EntryRequest{}} }

// add records a request of the router. One that it repeats only replaces the earlier one.
func (q *entryRequests) add(request protocol.EntryRequest) {
	if _, known := q.requests[request.Key]; !known {
		q.queued = append(q.queued, request.Key)
	}
	q.requests[request.Key] = request
}

// noteReceived records the entries that the leader sent.
func (q *entryRequests) noteReceived(items []protocol.Update) {
	for _, item := range items {
		if item.Entry != nil {
			delete(q.requests, item.Entry.Key)
		}
	}
	q.outstanding = q.stillRequested(q.outstanding)
	q.queued = q.stillRequested(q.queued)
	if len(q.outstanding) == 0 {
		q.timeouts = 0
	}
}

// stillRequested returns the keys whose entries have not been received.
func (q *entryRequests) stillRequested(keys []ident.Key) (missing []ident.Key) {
	for _, key := range keys {
		if _, ok := q.requests[key]; ok {
			missing = append(missing, key)
		}
	}
	return missing
}

// next returns the message that is due, if any.
func (q *entryRequests) next(now clock.Instant) (message protocol.EntryRequest, due bool) {
	if len(q.outstanding) > 0 {
		if now.Sub(q.sentAt) < entryTimeout<<q.timeouts {
			return message, false
		}
		q.timeouts = min(q.timeouts+1, maxEntryDoublings)
	}
	keys := append(q.outstanding, q.queued...)
	if len(keys) == 0 {
		return message, false
	}
	n := min(len(keys), maxKeysPerRequest)
	q.outstanding, q.queued, q.sentAt = keys[:n:n], keys[n:], now
	message = q.requests[keys[0]]
	for _, key := range keys[1:n] {
		r := q.requests[key]
		message.More = append(message.More, protocol.RequestedEntry{Key: r.Key, Digest: r.Digest, Waiting: r.Waiting, Value: r.Value})
	}
	return message, true
}

// sendEntryRequests sends the message that is due. Before a leader has answered in this session, it does not know the session. It
// would reject the request as belonging to an unknown session, and the next session would start with the same request.
func (c *Core) sendEntryRequests() {
	if c.fresh {
		return
	}
	if message, due := c.entryRequests.next(c.now); due {
		message.Session = c.session
		c.sendToCore(message)
	}
}
