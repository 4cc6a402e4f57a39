package director

import "time"

const (
	// Answers that wait for slow clients may use the memory limit divided by queuedMemoryDivisor, see unreadLimits, but at least
	// the size of the largest object; and bodies of requests in flight may use the limit divided by bodyMemoryDivisor. Together
	// they leave most of the memory for everything else.
	queuedMemoryDivisor = 10
	bodyMemoryDivisor   = 8
	// inputMemoryDivisor is likewise for large messages of which only a part has arrived.
	inputMemoryDivisor = 16
	// stalledTimeout is the time for which a client must have read nothing before it no longer counts as one that reads.
	stalledTimeout = 2 * time.Second
	// memoryStallTimeout is the time for which a client must have read nothing before it may be closed because memory is short. The
	// kernel of a client that reads slowly announces room in steps of up to 128 KB, and seems to take nothing in between.
	memoryStallTimeout = 5 * time.Second
)

// unreadLimits bound the output that clients have not read yet, in bytes of all clients together. A client that reads slowly is
// never closed to keep them: its calls are rejected and, as a last resort, its answers are replaced by failures. Each limit
// leaves room for output that is more urgent.
type unreadLimits struct {
	queued  int // with answers to clients that have more unread than an equal share of this limit
	shared  int // with answers to clients that have less
	answers int // with answers to clients that have nothing unread, see clientConn.ownUnread; they may read as fast as they are answered
	all     int // with replies that carry no object
}

// newUnreadLimits derives the limits from the lowest one.
func newUnreadLimits(queued int) unreadLimits {
	half := queued / 2
	return unreadLimits{queued: queued, shared: queued + half, answers: queued + 2*half, all: queued + 3*half}
}

// unreadUsage sums up the clients that have unread output.
type unreadUsage struct {
	clients  int
	bytes    int // unread
	expected int // of the answers to their requests in flight
}

// admits reports whether a client that has unread output may send one more request. own is the client's unread output and its
// expected answers in bytes, including the one to the new request, which takes size bytes. While all clients together expect
// more than there is room for, each may use an equal share.
func (l unreadLimits) admits(own, size int, usage unreadUsage) bool {
	return usage.bytes+usage.expected+size <= l.queued || own <= l.queued/max(1, usage.clients)
}

// fits reports whether an answer of size bytes may be written to a client that has ownUnread bytes of unread output.
func (l unreadLimits) fits(size, ownUnread int, usage unreadUsage) bool {
	limit := l.queued
	switch {
	case ownUnread == 0:
		limit = l.answers
	case ownUnread+size <= l.queued/max(1, usage.clients):
		limit = l.shared
	}
	return usage.bytes+size <= limit
}

// unreadLimits returns the limits in force.
func (f *frontend) unreadLimits() unreadLimits { return newUnreadLimits(f.maxQueuedBytes) }

// unreadUsage returns the current usage. It looks at each client, so it is called only if there may be a shortage.
func (f *frontend) unreadUsage() (usage unreadUsage) {
	for c := range f.clients {
		unread := c.conn.Queued()
		if unread == 0 {
			continue
		}
		usage.clients++
		usage.bytes += unread
		usage.expected += len(c.inFlight) * c.largestAnswer
	}
	return usage
}

// admits reports whether there will be room for the answer to one more request of a client.
func (f *frontend) admits(c *clientConn) bool {
	if c.conn.Queued() == 0 {
		return true
	}
	own := c.conn.Queued() + (len(c.inFlight)+1)*c.largestAnswer
	if f.unreadLimits().admits(own, c.largestAnswer, f.unreadUsage()) {
		return true
	}
	f.memoryShort = true
	return false
}

// hasRoom reports whether an answer of size bytes may be written to a client.
func (f *frontend) hasRoom(c *clientConn, size int) bool {
	limits := f.unreadLimits()
	if f.loop.Queued()+size <= limits.queued { // this counts the output to caches as well
		return true
	}
	if limits.fits(size, c.ownUnread(), f.unreadUsage()) {
		return true
	}
	f.memoryShort = true
	return false
}

// ownUnread returns the unread output of a client by which its next answer is admitted. What only the kernel still holds counts if it is
// more than may be in transit: otherwise clients that read nothing would use the room that is left for those that read at once, each with
// the first answer that the kernel does not accept.
func (c *clientConn) ownUnread() int {
	if queued := c.conn.Queued(); queued > 0 {
		return queued
	}
	if undelivered := c.conn.Undelivered(); undelivered > inTransitBytes {
		return undelivered
	}
	return 0
}

// closeStalled closes clients that do not read, those with the most unread output first, if memory is short. Once half of the
// limit is free, memory is no longer short.
func (f *frontend) closeStalled(now time.Duration) {
	for f.memoryShort {
		f.memoryShort = f.unreadUsage().bytes > f.maxQueuedBytes/2
		if !f.memoryShort {
			return
		}
		worst := f.worstClient(func(c *clientConn) int {
			if c.delivery.stalledFor(now) < memoryStallTimeout {
				return 0
			}
			return c.conn.Queued()
		})
		if worst == nil {
			return
		}
		worst.closeStuck(stuckMemory)
	}
}

// limitReplies bounds the memory of replies without an object, which are written however much is unread: while the limit is
// exceeded, it closes the client that has caused the most of them. Answers with an object cannot exceed the limit.
func (f *frontend) limitReplies() {
	limit := f.unreadLimits().all
	for f.loop.Queued() > limit && f.unreadUsage().bytes > limit {
		worst := f.worstClient(func(c *clientConn) int { return min(c.replyBytes, c.conn.Queued()) })
		if worst == nil {
			return
		}
		worst.closeStuck(stuckFlood)
	}
}

// worstClient returns the client with the highest badness, or nil if that of all clients is 0.
func (f *frontend) worstClient(badness func(*clientConn) int) (worst *clientConn) {
	highest := 0
	for c := range f.clients {
		if b := badness(c); b > highest {
			worst, highest = c, b
		}
	}
	return worst
}
