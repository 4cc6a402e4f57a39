package routing

import (
	"context"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// host is one line of the list, with its links and the attempts that wait for one.
type host struct {
	Member
	director *Director
	told     time.Duration // when its present state was told
	links    []*link
	waiting  []*attempt
	awake    bool // its waiting attempts are looked at when the round is over
}

// born names the very process that serves as the host, as far as the list tells its birth.
func (h *host) born() string {
	if h.StartedAt <= 0 {
		return h.Name
	}
	return h.Name + "@" + strconv.FormatInt(h.StartedAt.Milliseconds(), 10)
}

// UpdateHosts takes in a list, or what has changed of one.
func (d *Director) UpdateHosts(version int64, whole bool, members []Member) {
	now := d.toldAt()
	d.Counts.Lists++
	inService := map[string]string{} // by name, the addresses
	for name, h := range d.byName {
		if h.Readiness == decision.Ready {
			inService[name] = h.Address
		}
	}
	members, odd := follow(version, d.version, whole, members, inService)
	for _, o := range odd {
		slog.Log(context.Background(), o.level, o.event, append([]any{"version", version}, o.more...)...)
	}
	if whole || version > d.version {
		d.version = version
	}
	t := decision.EndpointUpdate{Kind: decision.UpdateDelta, Version: version}
	if whole {
		t.Kind = decision.UpdateSnapshot
		listed := map[string]bool{}
		for _, m := range members {
			listed[m.Name] = true
		}
		for name, h := range d.byName {
			if !listed[name] {
				h.moveTo(decision.Gone, now)
			}
		}
	}
	for _, m := range members {
		h := d.byName[m.Name]
		if h == nil {
			m.Host = d.number(m.Name)
			h = &host{Member: m, director: d, told: now}
			d.byName[m.Name], d.hosts[m.Host] = h, h
		}
		m.Host = h.Host
		if h.Address != m.Address || h.StartedAt != m.StartedAt {
			h.retire(m.StartedAt, h.Address != m.Address)
		}
		h.moveTo(m.Readiness, now)
		h.Member = m
		t.Endpoints = append(t.Endpoints, m.Endpoint)
	}
	d.feed(t)
}

// number gives a host its number for the module. All directors must place objects on the same caches, so it comes
// from the name alone: the number in hex that ends it, as in s-00c41f7a, or else a hash. The first keeps the
// placement what it is on the simulator's wire, which calls the same host by that number.
func (d *Director) number(name string) decision.HostID {
	if _, digits, found := strings.Cut(name, "-"); found && len(digits) == 8 {
		if n, err := strconv.ParseUint(digits, 16, 32); err == nil && d.hosts[decision.HostID(n)] == nil {
			return decision.HostID(n)
		}
	}
	for salt := 0; ; salt++ {
		sum := fnv.New32a()
		sum.Write([]byte(name))
		if salt > 0 {
			sum.Write([]byte(strconv.Itoa(salt)))
		}
		id := decision.HostID(sum.Sum32())
		other := d.hosts[id]
		if other == nil {
			return id
		}
		slog.Warn("host.number_shared", "host", name, "other", other.Name, "number", id)
	}
}

func (h *host) moveTo(r decision.Readiness, now time.Duration) {
	if h.Readiness != r {
		h.Readiness, h.told = r, now
	}
}

// unfit tells whether nothing new may go to the host. The last part of the grace is left for the way to it.
func (h *host) unfit(now, grace time.Duration) bool {
	return h.Readiness != decision.Ready && now >= h.told+grace/2
}

// retire keeps new attempts off the links to a process that is no more: all of them after a change of address, else
// those that are older than the new process. The list comes late, so that younger links lead to the new one already.
func (h *host) retire(started time.Duration, moved bool) {
	for _, l := range slices.Clone(h.links) {
		if moved || l.dialedAt < started {
			l.retired = true
			l.closeIfIdle()
		}
	}
}

// link is one connection of the pool.
type link struct {
	host      *host
	conn      Link
	up        bool
	retired   bool
	closed    bool
	dialedAt  time.Duration
	idleSince time.Duration
	quiet     time.Duration       // since when it owes an answer and has sent nothing; 0: it is not quiet
	open      map[string]*attempt // by request id
	partial   *attempt            // of which the system has not taken all yet
	pings     map[string]*attempt // by tag: attempts that wait until the other end has read the undo of their forerunner
	pong      transport.Timer
	heard     time.Duration // when it last answered anything
	check     transport.Timer
}

// pick is the link with the fewest attempts among those that can take one of this request.
func (h *host) pick(q *request) (best *link) {
	for _, l := range h.links {
		if l.up && !l.retired && !l.silent() && len(l.open) < h.director.limits.Streams && l.conn.Drained() &&
			!slices.Contains(q.spoiled, l) && (best == nil || len(l.open) < len(best.open)) {
			best = l
		}
	}
	return best
}

// silent tells whether the machine behind the link may have vanished, which gives no sign. What is sent into such a
// link is lost until its time is over, while a new connection that does not come up proves soon that nothing ran.
func (l *link) silent() bool {
	return l.quiet > 0 && l.host.director.loop.Now()-l.quiet >= l.host.director.limits.SilentAfter
}

// dialMore opens links until those that are coming up can take all that wait.
func (h *host) dialMore() {
	d := h.director
	coming, usable := 0, 0
	for _, l := range h.links {
		if !l.up {
			coming++
		}
		if !l.retired && !l.silent() {
			usable++
		}
	}
	for coming*d.limits.Streams < len(h.waiting) && usable < d.limits.LinksPerHost {
		if !d.roomForLink() {
			slog.Warn("link.no_room", "host", h.Name, "links", d.links)
			h.refuseWaiting()
			return
		}
		now := d.loop.Now()
		l := &link{host: h, dialedAt: now, idleSince: now, open: map[string]*attempt{}, pings: map[string]*attempt{}}
		l.pong.Fire, l.check.Fire = l.dead, l.probe
		conn, err := d.dialer.Dial(h.Address, d.limits.DialTimeout, l)
		if err != nil {
			slog.Warn("link.not_dialled", "host", h.Name, "addr", h.Address, "err", err)
			h.refuseWaiting()
			return
		}
		d.Counts.Dials++
		l.conn = conn
		h.links = append(h.links, l)
		d.links++
		coming, usable = coming+1, usable+1
	}
}

// roomForLink tells whether one more link may be opened. Where the links' part of the descriptors is used up, the one that has
// been idle for longest makes room.
func (d *Director) roomForLink() bool {
	if d.limits.Links == 0 || d.links < d.limits.Links {
		return true
	}
	var idlest *link
	for _, h := range d.hosts {
		for _, l := range h.links {
			if l.up && len(l.open)+len(l.pings) == 0 && (idlest == nil || l.idleSince < idlest.idleSince) {
				idlest = l
			}
		}
	}
	if idlest == nil {
		return false
	}
	idlest.drop()
	return true
}

// refuseWaiting ends the attempts that wait when no link is left that could take them: none has run.
func (h *host) refuseWaiting() {
	if slices.ContainsFunc(h.links, func(l *link) bool { return !l.retired && !l.silent() }) {
		return
	}
	for _, a := range slices.Clone(h.waiting) {
		h.director.Counts.NoCon++
		h.director.end(a, &Reply{Status: decision.ConnectFailed})
	}
}

// wake has what waits looked at when the round is over.
func (h *host) wake() {
	if len(h.waiting) == 0 || h.awake {
		return
	}
	h.awake = true
	h.director.woken = append(h.director.woken, h)
	h.director.sendLater()
}

// sendWaiting sends what waits, in order, as far as links have room.
func (h *host) sendWaiting() {
	for _, a := range slices.Clone(h.waiting) {
		if a.ended {
			continue
		}
		if l := h.pick(a.req); l != nil {
			h.waiting = slices.DeleteFunc(h.waiting, func(w *attempt) bool { return w == a })
			h.director.send(a, l)
		}
	}
	if len(h.waiting) > 0 {
		h.dialMore()
	}
}

// closeIdle closes links before the other end does, for what is sent into a closing one is lost.
func (h *host) closeIdle(now time.Duration) {
	for _, l := range slices.Clone(h.links) {
		if l.up && len(l.open) == 0 && len(l.pings) == 0 &&
			(l.retired || l.silent() || h.Readiness == decision.Gone || now-l.idleSince >= h.director.limits.IdleAfter) {
			l.drop()
		}
	}
}

func (l *link) closeIfIdle() {
	if len(l.open)+len(l.pings) == 0 {
		l.drop()
	}
}

func (l *link) drop() {
	l.conn.Close()
	l.pings = nil
	l.remove()
}

func (l *link) remove() {
	l.pong.Stop()
	l.check.Stop()
	if slices.Contains(l.host.links, l) {
		l.host.director.links--
	}
	l.host.links = slices.DeleteFunc(l.host.links, func(o *link) bool { return o == l })
}

// Up implements LinkEvents.
func (l *link) Up() {
	l.up = true
	l.host.wake()
}

// Flushed implements LinkEvents.
func (l *link) Flushed() {
	if a := l.partial; a != nil {
		a.whole, l.partial = true, nil
		d := l.host.director
		d.loop.Set(&a.timer, d.patience(a, d.loop.Now())) // an attempt's time starts when it has come whole to the cache
	}
	l.host.wake()
}

// Reply implements LinkEvents.
func (l *link) Reply(id []byte, r *Reply) {
	d := l.host.director
	l.quiet = 0
	l.heard = d.loop.Now()
	a := l.open[string(id)]
	if a == nil {
		d.Counts.LateReplies++
		return
	}
	delete(l.open, a.req.ID)
	l.idleSince = d.loop.Now()
	d.count(r.Status)
	d.end(a, r)
	l.host.wake()
	if l.retired {
		l.closeIfIdle()
	}
}

// probe pings a link that owes answers and has sent nothing for a while. One that hangs is found out before its attempts
// are overdue, so that they go on in time and nobody takes their lateness for the cache's.
func (l *link) probe() {
	d := l.host.director
	now := d.loop.Now()
	if len(l.open) == 0 {
		return
	}
	if len(l.pings) == 0 && now-l.heard >= d.limits.KeepaliveAfter {
		l.ping(nil)
	}
	d.loop.Set(&l.check, max(l.heard, now)+d.limits.KeepaliveAfter)
}

// ping has an attempt, if there is one, wait until the other end has read what was sent before. A link that does not
// even answer a ping is of no further use to anyone on it.
func (l *link) ping(a *attempt) {
	d := l.host.director
	d.pings++
	tag := "p" + strconv.FormatInt(d.pings, 36) // no request's id, which is of hex digits alone
	l.pings[tag] = a
	if l.closed {
		return
	}
	l.conn.Ping(tag)
	if !l.pong.Active() {
		d.loop.Set(&l.pong, d.loop.Now()+d.limits.KeepaliveTimeout)
	}
}

// Pong implements LinkEvents.
func (l *link) Pong(tag []byte) {
	a, known := l.pings[string(tag)]
	if !known {
		return
	}
	l.heard = l.host.director.loop.Now()
	l.pong.Stop()
	delete(l.pings, string(tag))
	if len(l.pings) > 0 {
		d := l.host.director
		d.loop.Set(&l.pong, d.loop.Now()+d.limits.KeepaliveTimeout)
	}
	if a != nil {
		l.host.director.cleared(a)
	}
}

// dead gives up a link that is open and silent.
func (l *link) dead() {
	l.host.director.Counts.LinksDead++
	slog.Warn("link.no_pong", "host", l.host.Name, "attempts", len(l.open))
	l.conn.Close()
	l.lost()
}

// Down implements LinkEvents.
func (l *link) Down(err error) {
	d := l.host.director
	if !l.up {
		slog.Warn("link.not_up", "host", l.host.Name, "addr", l.host.Address, "err", err)
	} else if len(l.open) > 0 {
		d.Counts.LinksLost++
		slog.Warn("link.lost", "host", l.host.Name, "attempts", len(l.open), "err", err)
	}
	l.lost()
}

// lost takes a link that is no more out of the pool. What was on it ends when the other end has had the time to notice:
// two connections are read in any order, and what goes on elsewhere at once might be out twice.
func (l *link) lost() {
	l.remove()
	l.closed = true
	d := l.host.director
	if d.limits.Settle == 0 || len(l.open)+len(l.pings) == 0 {
		l.settled()
		return
	}
	l.pong.Fire = l.settled
	d.loop.Set(&l.pong, d.loop.Now()+d.limits.Settle)
}

// settled ends everything on a lost link: what had come whole may have run, what had not never ran.
func (l *link) settled() {
	d := l.host.director
	open := make([]*attempt, 0, len(l.open))
	for _, a := range l.open {
		open = append(open, a)
	}
	clear(l.open)
	slices.SortFunc(open, func(a, b *attempt) int { return int(a.sentAt - b.sentAt) })
	for _, a := range open {
		status := decision.Reset
		if !a.whole {
			status = decision.ConnectFailed
		}
		d.count(status)
		d.end(a, &Reply{Status: status})
	}
	pings := l.pings
	l.pings = nil
	for _, tag := range slices.Sorted(maps.Keys(pings)) { // closing has given up what the undo spoke of
		if a := pings[tag]; a != nil {
			d.cleared(a)
		}
	}
	l.host.refuseWaiting()
	l.host.wake()
}

func (d *Director) count(s decision.Status) {
	c := &d.Counts
	switch s {
	case decision.OK:
		c.OK++
	case decision.Miss:
		c.Miss++
	case decision.Full:
		c.Full++
	case decision.Failed:
		c.Errors++
	case decision.NotSent:
		c.Void++
	case decision.Reset:
		c.Reset++
	case decision.ConnectFailed:
		c.NoCon++
	}
}
