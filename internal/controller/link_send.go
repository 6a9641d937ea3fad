package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// Sending of changes to routers. Broken callbacks and configurations are sent at once and acknowledged at once, since leases
// and orders wait for them. Entries that only gained replicas are collected for a short time, and entries are acknowledged
// with the next renewal.

const (
	// minResendDelay is the time after which changes are sent again that are not acknowledged. For a configuration,
	// resendDelayPerByte is added for each byte: a router with a tenth of a CPU core and 10 Mbit/s needs about that long
	// to process it.
	minResendDelay     = clock.Span(200e6)
	resendDelayPerByte = clock.Span(1500)
	// lateAckResendDelay is the same for changes that are acknowledged with the next renewal.
	lateAckResendDelay = clock.Span(1500e6)
	// extensionDelay is how long an entry that only gained replicas waits for others. A load takes several times as long.
	extensionDelay = clock.Span(150e6)
	// maxItemsPerMessage limits the number of changes in one message.
	maxItemsPerMessage = 128
)

// needsPromptAck reports whether leases or orders wait for the acknowledgement of a change.
func (i change) needsPromptAck() bool { return i.Break != "" || i.Desired != nil }

// resendDelay returns how long to wait for the acknowledgement of a change before sending it again. It grows with the size of
// the data, as repeats of a large plan would otherwise displace all other traffic.
func (i change) resendDelay() clock.Span {
	switch {
	case i.Desired != nil:
		return minResendDelay + clock.Span(len(i.Desired.Plan))*resendDelayPerByte
	case i.needsPromptAck():
		return minResendDelay
	}
	return lateAckResendDelay
}

// overdue reports whether a change was sent and not acknowledged in time. Those behind a configuration wait as long as it does.
func (l *link) overdue(now clock.Instant) bool {
	delay := clock.Span(0)
	for _, i := range l.unacked {
		if i.Num > l.sentNum {
			return false
		}
		if delay = max(delay, i.resendDelay()); now.Sub(i.sentAt) > delay {
			return true
		}
	}
	return false
}

// resendUnacked sends all unacknowledged changes again, configurations whole.
func (c *Core) resendUnacked(l *link) {
	c.replaceStaleDesired(l)
	l.sendWhole(c.newest, c.newestBytes)
	l.sentNum = l.ackedNum
	c.linkSet.unsent[l] = true
}

// queueItem queues a change that is sent with the current input.
func (c *Core) queueItem(l *link, i protocol.Update) uint64 {
	c.linkSet.unsent[l] = true
	return c.appendItem(l, i)
}

// queueDeferred queues a change that is sent with the next one that is not deferred, and after extensionDelay at the latest.
func (c *Core) queueDeferred(l *link, i protocol.Update) uint64 {
	c.linkSet.deferUntil(l, c.now.Add(extensionDelay))
	l.dropUnsentEntry(i.Entry)
	return c.appendItem(l, i)
}

// dropUnsentEntry removes an earlier form of an entry from the changes that have not been sent: only its number is sent.
func (l *link) dropUnsentEntry(newer *protocol.Entry) {
	for i := len(l.unacked) - 1; i >= 0 && l.unacked[i].Num > l.sentNum; i-- {
		if older := l.unacked[i].Entry; older != nil && older.Key == newer.Key {
			l.unacked[i].Entry, l.unacked[i].Shared = nil, nil
		}
	}
}

// appendItem numbers a change and adds it to those that the router has to acknowledge.
func (c *Core) appendItem(l *link, i protocol.Update) uint64 {
	l.lastNum++
	i.Num = l.lastNum
	l.unacked = append(l.unacked, change{Update: i, createdAt: c.now})
	return l.lastNum
}

// flush sends the changes that have not been sent yet on each link.
func (c *Core) flush() {
	if !c.holdsLease() {
		return
	}
	for _, l := range c.linkSet.takeUnsent() {
		c.countVisits(1)
		if l.sentNum >= l.lastNum || len(l.unacked) == 0 {
			continue
		}
		n := protocol.Updates{Session: l.session, Term: c.leadership.term, LateAck: true}
		for x := range l.unacked {
			if i := &l.unacked[x]; i.Num > l.sentNum && len(n.Items) < maxItemsPerMessage {
				i.sentAt = c.now
				n.Items = append(n.Items, i.Update)
				n.LateAck = n.LateAck && !i.needsPromptAck()
			}
		}
		l.sentNum, l.sentAt = n.Items[len(n.Items)-1].Num, c.now
		c.reply(l.replyTo, n)
		if l.sentNum < l.lastNum {
			c.linkSet.unsent[l] = true // the rest follows with the next input
		}
	}
}
