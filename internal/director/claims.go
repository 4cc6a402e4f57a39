package director

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/claims"
	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/protocol/resp"
	"stairvane.org/stairvane/internal/transport"
)

const (
	claimsTick  = 10 * time.Millisecond
	claimsAgain = 25 * time.Millisecond
	claimsDial  = 200 * time.Millisecond
	claimsPause = 50 * time.Millisecond // before a line that was lost is dialled again
	claimsQueue = 1 << 20               // bytes that wait for a line that is not up
	claimsSlots = 256
	claimsBulk  = 200_000
	unreached   = 300 * time.Millisecond // for an answer, where the class does not wait
)

// claimer is the shell of claims.Node: its lines to other directors, its clock, and what routing asks for.
type claimer struct {
	prog     *Program
	set      config.Claims
	own      discovery.Director
	node     *claims.Node
	listener *transport.Listener
	lines    map[string]*claimLine // to others, by ID
	addrs    map[string]netip.AddrPort
	asks     map[uint64]func(claims.Outcome)
	key      uint64
	tick     transport.Timer
	working  bool
}

func newClaimer(p *Program, c config.Config, own discovery.Director) (*claimer, error) {
	longest := time.Duration(0)
	for _, k := range c.Settings.Classes {
		if k.Idempotency == decision.IdempotentWithKey {
			longest = max(longest, k.DedupWindow)
		}
	}
	x := &claimer{prog: p, set: *c.Claims, lines: map[string]*claimLine{}, addrs: map[string]netip.AddrPort{}, asks: map[uint64]func(claims.Outcome){}}
	var err error
	if x.listener, err = p.loop.Listen(c.Claims.Listen, func() transport.Handler { return &claimPeer{claimer: x} }, func(conn *transport.Conn, h transport.Handler) {
		h.(*claimPeer).conn = conn
		if !c.Claims.Allows(conn.Peer().Addr().Unmap()) {
			slog.Warn("claims.not_allowed", "addr", conn.Peer().Addr().String())
			conn.Close()
		}
	}); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	addr, err := x.listener.Addr()
	if err != nil {
		return nil, err
	}
	x.own = own
	x.own.Claims = addr.String()
	x.node = claims.New(x.own.ID(), claims.Settings{
		Shards: claimsSlots, Slack: routing.ClaimSendTimeout + 200*time.Millisecond, MaxWindow: longest,
		MaxClaims: c.Claims.MaxClaims, Again: claimsAgain,
	})
	x.tick.Fire = x.due
	p.loop.Set(&x.tick, p.loop.Now()+claimsTick)
	return x, nil
}

// news takes a change of the roll in.
func (x *claimer) news(r *discovery.Membership) {
	if r.Snapshot {
		clear(x.addrs)
	}
	var joined []string
	for _, d := range r.Joined {
		joined = append(joined, d.ID())
		if addr, err := netip.ParseAddrPort(d.Claims); err == nil {
			x.addrs[d.ID()] = addr
		}
	}
	for _, id := range r.Left {
		delete(x.addrs, id)
		if l := x.lines[id]; l != nil {
			l.end()
		}
	}
	var slots []claims.ShardState
	for _, s := range r.Shards {
		if s.Number < 0 || s.Number >= claimsSlots || s.ReadyEpoch == 0 && len(s.Replicas) == 0 {
			continue
		}
		slots = append(slots, claims.ShardState{Shard: s.Number, Epoch: s.Epoch, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas, Complete: s.ReadyEpoch})
	}
	x.node.ApplyMembership(joined, r.Left, r.Snapshot, slots, bootTime())
	x.work()
}

func (x *claimer) due() {
	x.node.Tick(bootTime())
	x.work()
	x.prog.loop.Set(&x.tick, x.prog.loop.Now()+claimsTick)
}

// Claim implements routing.Claims.
func (x *claimer) Claim(c routing.ClaimRequest, done func(routing.ClaimOutcome)) {
	now, loopNow := bootTime(), x.prog.loop.Now()
	policy := x.set.PolicyOf(c.Class)
	until := c.Deadline
	if policy != config.ClaimsWait {
		until = min(until, loopNow+unreached)
	}
	x.key++
	x.asks[x.key] = func(o claims.Outcome) {
		r := routing.ClaimOutcome{Group: o.Group, Age: o.Age, RequestedAt: x.prog.loop.Now() - (bootTime() - o.RequestedAt)}
		switch o.Verdict {
		case claims.Granted:
			r.Verdict = routing.ClaimGranted
		case claims.HeldElsewhere:
			r.Verdict = routing.ClaimHeldElsewhere
		case claims.Reused:
			r.Verdict = routing.ClaimKeyReused
		default:
			r.Verdict = routing.ClaimUnavailable
			if policy == config.ClaimsProceed {
				r.Verdict = routing.ClaimNotRequired
			}
		}
		done(r)
	}
	x.node.Request(x.key, claims.Claim{Token: c.IdempotencyKey, Object: uint64(c.Object), Group: c.Group, Request: c.RequestID, Window: c.Window}, c.Movable, now+(until-loopNow), now)
	x.work()
}

// Release implements routing.Claims.
func (x *claimer) Release(token, id string) {
	x.node.Release(token, id)
	x.work()
}

// work carries out what the node wants: messages that go to one director go in one write.
func (x *claimer) work() {
	if x.working {
		return
	}
	x.working = true
	defer func() { x.working = false }()
	for {
		out, ends, _ := x.node.Take() // what is complete goes with each call for news until it was told
		if len(out)+len(ends) == 0 {
			break
		}
		for _, o := range out {
			if o.To == x.own.ID() {
				x.node.Receive(o.To, o.Message, bootTime())
				continue
			}
			x.line(o.To).queue(o.Message)
		}
		for _, o := range ends {
			if done := x.asks[o.Key]; done != nil {
				delete(x.asks, o.Key)
				done(o)
			}
		}
	}
	for _, l := range x.lines {
		l.flush()
	}
}

func (x *claimer) line(id string) *claimLine {
	l := x.lines[id]
	if l == nil {
		l = &claimLine{claimer: x, to: id}
		x.lines[id] = l
	}
	return l
}

// claimLine is this director's line to another; what that one says comes over its own.
type claimLine struct {
	claimer *claimer
	to      string
	conn    *transport.Conn
	up      bool
	out     []byte
	tried   time.Duration
}

func (l *claimLine) queue(m claims.Message) {
	if len(l.out) > claimsQueue { // said again later
		return
	}
	bulks, err := m.Bulks(claimsBulk)
	if err != nil {
		slog.Error("claims.too_many", "err", err)
		return
	}
	l.out = resp.AppendHead(l.out, 2+len(bulks))
	l.out = resp.AppendBulk(l.out, "claims")
	l.out = resp.AppendBulk(l.out, m.Head())
	for _, b := range bulks {
		l.out = resp.AppendBulk(l.out, b)
	}
}

func (l *claimLine) flush() {
	if len(l.out) == 0 {
		return
	}
	if l.conn == nil {
		x := l.claimer
		addr, known := x.addrs[l.to]
		now := x.prog.loop.Now()
		if !known {
			l.out = l.out[:0]
			return
		}
		if l.tried > 0 && now-l.tried < claimsPause {
			return
		}
		l.tried = now
		conn, err := x.prog.loop.Dial(addr, claimsDial, l)
		if err != nil {
			return
		}
		l.conn = conn
		return
	}
	if l.up && l.conn.Queued() < claimsQueue {
		l.conn.Write(l.out)
		l.out = l.out[:0]
	}
}

func (l *claimLine) end() {
	delete(l.claimer.lines, l.to)
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// Opened implements transport.Handler.
func (l *claimLine) Opened() {
	l.up = true
	b := resp.AppendHead(nil, 2)
	b = resp.AppendBulk(b, "from")
	b = resp.AppendBulk(b, l.claimer.own.ID())
	l.conn.Write(b)
	l.flush()
}

// Flushed implements transport.Handler.
func (l *claimLine) Flushed() { l.flush() }

// Data implements transport.Handler.
func (l *claimLine) Data(b []byte) (used, need int, err error) { return len(b), 0, nil }

// Closed implements transport.Handler.
func (l *claimLine) Closed(err error) {
	slog.Debug("claims.line_lost", "to", l.to, "err", err)
	l.conn, l.up, l.out = nil, false, l.out[:0]
}

// claimPeer is another director's line to this one.
type claimPeer struct {
	claimer *claimer
	conn    *transport.Conn
	from    string
	words   resp.Words
}

// Opened implements transport.Handler.
func (c *claimPeer) Opened() {}

// Flushed implements transport.Handler.
func (c *claimPeer) Flushed() {}

// Closed implements transport.Handler.
func (c *claimPeer) Closed(error) {}

// Data implements transport.Handler.
func (c *claimPeer) Data(b []byte) (used, need int, err error) {
	defer c.claimer.work()
	for {
		w, n, need, err := resp.Parse(b[used:], c.words)
		c.words = w
		if err != nil || n == 0 {
			return used, need, err
		}
		used += n
		switch {
		case len(w) == 2 && string(w[0]) == "from" && c.from == "":
			c.from = string(w[1])
		case len(w) >= 2 && string(w[0]) == "claims" && c.from != "":
			m, err := claims.Decode(w[1], w[2:])
			if err != nil {
				slog.Warn("claims.malformed", "from", c.from, "err", err)
				return used, 0, err
			}
			c.claimer.node.Receive(c.from, m, bootTime())
		default:
			return used, 0, fmt.Errorf("claims: a message that is none")
		}
	}
}
