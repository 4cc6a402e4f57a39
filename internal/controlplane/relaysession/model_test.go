package relaysession_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

const (
	ms             = time.Millisecond
	step           = 5 * ms
	directorLease  = 400 * ms
	drift          = 0.02
	departedWithin = 420 * ms // no less than a director's lease with drift
	goneWithin     = 1800 * ms
	calls          = 200 * ms // a call is given up after it
)

var (
	firstSeed = flag.Uint64("seed", 1, "the first seed of the model")
	seeds     = flag.Uint64("seeds", 40, "how many seeds")
)

// clock is the clock of one process, up to 1 % off.
type clock struct{ offset, rate float64 }

func (c clock) at(now time.Duration) time.Duration {
	return time.Duration(c.offset + c.rate*float64(now))
}

type modelDirector struct {
	clock
	discovery.Director
	alive, leaving bool
	ended          time.Duration
	relay          int
	calling        int           // number of the call that is under way; 0: none
	next, giveUp   time.Duration // own clock
	lease          time.Duration // own clock: until then it may act
	acknowledged   int64
	calls          int
	lapsed         bool          // its lease was over when it called again, and the leader does not know of that call
	relayed        uint64        // the session that took the call
	relayedAt      time.Duration // when
}

type modelRelay struct {
	clock
	alive         bool
	cutUntil      time.Duration // from the leader
	restartAt     time.Duration // of a dead one
	session       *relaysession.Session
	holder        replica.LeaseHolder
	revision      int64
	number        uint64
	asked, called time.Duration
	waits         uint64 // sequence of the request under way; 0: none
}

// model is a leader, 3 relays and 30 directors with messages that are late, lost and doubled.
type model struct {
	t           *testing.T
	seed        uint64
	rng         *rand.Rand
	now         time.Duration
	calm        bool
	relays      []*modelRelay
	directors   []*modelDirector
	dead        []*modelDirector
	inFlight    []message
	fleet       fleet.Fleet
	tracker     *membership.Tracker
	leases      *replica.Lessor
	noLeader    time.Duration // there is no leader until then
	disturbance time.Duration
	gone        int
	worst       time.Duration
	numbers     uint64
	failed      bool
}

type message struct {
	at      time.Duration
	deliver func()
}

func (m *model) clock() clock {
	return clock{float64(time.Hour) * m.rng.Float64(), 1 + drift/2*(2*m.rng.Float64()-1)}
}

func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

// send delivers a message late, not at all or twice. In calm times nothing is lost.
func (m *model) send(maxDelay time.Duration, deliver func()) {
	loss, double := 0.1, 0.1
	if m.calm {
		loss = 0
	}
	if m.chance(loss) {
		return
	}
	delay := func(longest time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(longest))) }
	if m.chance(double) {
		m.inFlight = append(m.inFlight, message{m.now + delay(10*maxDelay), deliver})
	}
	if !m.calm && m.chance(0.05) {
		maxDelay *= 10
	}
	m.inFlight = append(m.inFlight, message{m.now + delay(maxDelay), deliver})
}

func (m *model) deliver() {
	due := m.inFlight
	m.inFlight = nil
	for _, x := range due {
		if x.at <= m.now {
			x.deliver()
		} else {
			m.inFlight = append(m.inFlight, x)
		}
	}
}

func (m *model) startDirector(name string) {
	m.numbers++
	d := &modelDirector{
		clock: m.clock(), alive: true, relay: m.rng.IntN(len(m.relays)),
		Director: discovery.Director{Name: name, Incarnation: fmt.Sprint(m.numbers)},
	}
	m.directors = append(m.directors, d)
}

func (m *model) startRelay(r *modelRelay, name string) {
	m.numbers++
	*r = modelRelay{clock: m.clock(), alive: true, number: m.numbers}
	r.session = relaysession.New(relaysession.Settings{
		Relay: membership.Relay{Name: name, Incarnation: fmt.Sprint(m.numbers)}, Number: m.numbers,
		DirectorLease: directorLease, Drift: drift,
	}, nil)
}

// lead makes another replica the leader. It was in the group before and has all events.
func (m *model) lead() {
	direct := directorLease // in a control plane without a group, which odd seeds have
	if m.seed%2 == 0 {
		direct += relaysession.Lease
	}
	m.tracker = membership.New(membership.Settings{
		Lease:         direct,
		DirectorLease: directorLease,
		RelayLease:    relaysession.Lease,
		Drift:         drift,
		Gather:        150 * ms,
	})
	m.tracker.Reset(m.fleet, m.now)
	m.leases = replica.NewLessor(replica.Lease{Length: relaysession.Lease, Drift: drift})
	m.leases.SetLeader(true, m.now)
}

// serveRequest is the leader's side of a request.
func (m *model) serveRequest(r *modelRelay, q relaysession.Request, made time.Duration) {
	if m.now < m.noLeader || m.now < r.cutUntil {
		return
	}
	registered, err := m.tracker.Update(q.Update, m.rng.Uint64(), m.now)
	if err != nil {
		return
	}
	for _, d := range m.directors {
		if !registered.NeedFull && !q.More && d.relayed == q.Session && d.relayedAt <= made {
			d.lapsed = false
		}
	}
	m.leases.Grant(q.Session, q.Acknowledged, m.now)
	answer := relaysession.Answer{
		Sequence:     q.Sequence,
		NeedFull:     registered.NeedFull,
		Registration: registered.Registration,
		LeaseMS:      relaysession.Lease.Milliseconds(),
		Revision:     m.fleet.Revision,
	}
	number := r.number
	m.send(30*ms, func() {
		if !r.alive || r.number != number || m.now < r.cutUntil {
			return
		}
		now := r.at(m.now)
		r.session.HandleAnswer(answer, now)
		if r.waits == answer.Sequence {
			r.waits = 0
			r.revision = max(r.revision, answer.Revision)
			r.holder.Renew(replica.Lease{Length: relaysession.Lease}, r.asked)
		}
	})
}

func (m *model) runRelay(r *modelRelay) {
	now := r.at(m.now)
	if !r.alive || now-r.called < 50*ms || r.waits > 0 && now-r.asked < calls {
		return
	}
	q := r.session.Request(r.revision, r.revision, now)
	r.asked, r.called, r.waits = now, now, q.Sequence
	if m.now >= r.cutUntil {
		made := m.now
		m.send(30*ms, func() { m.serveRequest(r, q, made) })
	}
}

func (m *model) runDirector(d *modelDirector) {
	now := d.at(m.now)
	if d.calling > 0 && now > d.giveUp { // its relay is gone, or does not answer
		d.calling, d.relay = 0, m.rng.IntN(len(m.relays))
	}
	if !d.alive || d.calling > 0 || now < d.next {
		return
	}
	if m.chance(0.02) {
		d.relay = m.rng.IntN(len(m.relays))
	}
	d.calls++
	d.calling, d.giveUp = d.calls, now+100*ms
	r, number, called, acknowledged := m.relays[d.relay], d.calls, now, d.acknowledged
	a := discovery.Announcement{Director: d.Director, Leaving: d.leaving}
	m.send(20*ms, func() { m.serveCall(d, r, a, number, called, acknowledged) })
	if d.leaving {
		d.alive, d.ended = false, m.now
		m.dead = append(m.dead, d)
	}
}

// serveCall is a relay's side of a director's call. A connection has one call at a time: one that the director gave up is not read.
func (m *model) serveCall(d *modelDirector, r *modelRelay, a discovery.Announcement, number int, called time.Duration, acknowledged int64) {
	now := r.at(m.now)
	if !r.alive || !r.holder.HasLease(now) || d.calling != number {
		return
	}
	r.session.RecordWatchRequest(a, acknowledged, now)
	d.lapsed = d.lapsed || called >= d.lease
	d.relayed, d.relayedAt = r.number, m.now
	revision := r.revision
	m.send(20*ms, func() {
		if d.calling != number || !d.alive {
			return
		}
		own := d.at(m.now)
		d.calling, d.next = 0, own+time.Duration(m.rng.Int64N(int64(100*ms)))
		d.acknowledged = max(d.acknowledged, revision)
		d.lease = max(d.lease, called+directorLease)
	})
}

// disturb ends and cuts off processes, and makes events.
func (m *model) disturb() {
	if m.chance(0.1) {
		m.append(fleet.Event{Purge: &fleet.Purge{Object: "0123456789abcdef"}})
	}
	for i, d := range m.directors {
		if d.alive && m.chance(0.001) {
			d.leaving = m.chance(0.3)
			if !d.leaving {
				d.alive, d.ended = false, m.now
				m.dead = append(m.dead, d)
			}
		}
		if !d.alive && m.now-d.ended > 500*ms && m.chance(0.01) {
			name := d.Name
			m.directors = append(m.directors[:i], m.directors[i+1:]...)
			m.startDirector(name)
			break
		}
	}
	for _, r := range m.relays {
		switch {
		case m.calm || !r.alive:
		case m.chance(0.002):
			r.alive, r.restartAt = false, m.now+time.Duration(m.rng.Int64N(int64(800*ms)))
			m.disturbance = m.now
		case m.chance(0.003):
			r.cutUntil = m.now + time.Duration(m.rng.Int64N(int64(1500*ms)))
			m.disturbance = r.cutUntil
		}
	}
	if !m.calm && m.chance(0.003) {
		m.noLeader = m.now + time.Duration(m.rng.Int64N(int64(250*ms)))
		m.disturbance = m.noLeader
		m.lead()
	}
}

func (m *model) append(e fleet.Event) {
	e.No = m.fleet.Revision + 1
	after, err := m.fleet.Apply(e)
	if err != nil {
		m.t.Fatal(err)
	}
	m.fleet = after
}

// inLease reports whether a director may act.
func (m *model) inLease(d *modelDirector) bool { return d.alive && d.at(m.now) < d.lease }

func (m *model) fail(format string, args ...any) {
	m.failed = true
	m.t.Errorf("seed %d at %v: %s", m.seed, m.now, fmt.Sprintf(format, args...))
}

// announce writes the next change of the members, and checks that no director in lease has left with it.
func (m *model) announce() {
	if m.now < m.noLeader {
		return
	}
	c := m.tracker.NextChange(m.fleet, m.now)
	if c == nil {
		return
	}
	m.append(fleet.Event{Membership: c})
	m.tracker.MarkWritten(m.now)
	m.gone += len(c.Left)
	for _, id := range c.Left {
		for _, d := range m.directors {
			if d.ID() == id && m.inLease(d) && !d.lapsed {
				m.fail("%s is announced as gone and in lease", id)
			}
		}
	}
}

func (m *model) check() {
	if m.now >= m.noLeader && m.tracker.Settled(m.now) {
		everywhere := m.leases.Acknowledged(m.fleet.Revision, m.now, departedWithin)
		for _, d := range m.directors {
			if m.inLease(d) && d.acknowledged < everywhere {
				m.fail("%s has %d, and %d counts as acknowledged by all", d.ID(), d.acknowledged, everywhere)
			}
		}
	}
	remaining := m.dead[:0]
	for _, d := range m.dead {
		if m.fleet.Director(d.ID()) == nil && m.now-d.ended > 10*time.Second {
			continue
		}
		remaining = append(remaining, d)
		if m.fleet.Director(d.ID()) == nil {
			continue
		}
		since := m.now - max(d.ended, m.disturbance)
		if m.worst = max(m.worst, since); since > goneWithin {
			m.fail("%s ended at %v and is not announced as gone", d.ID(), d.ended)
		}
	}
	m.dead = remaining
}

// end checks that after a quiet time the members are the directors that are alive.
func (m *model) end() {
	members := 0
	for range m.fleet.Directors() {
		members++
	}
	alive := 0
	for _, d := range m.directors {
		if d.alive {
			alive++
			if m.fleet.Director(d.ID()) == nil {
				m.fail("%s lives and is not a member", d.ID())
			}
		}
	}
	if members != alive {
		m.fail("%d members, %d alive", members, alive)
	}
}

// Whatever happens to messages, relays and leaders: a director in lease is never announced as gone, one that has ended is announced
// within a bound, and the acknowledged revision never exceeds what any director in lease has.
func TestModel(t *testing.T) {
	gone, worst := 0, time.Duration(0)
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		m := &model{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Hour, disturbance: time.Hour}
		m.lead()
		for i := range 3 {
			m.relays = append(m.relays, &modelRelay{})
			m.startRelay(m.relays[i], fmt.Sprint("relay-", i))
		}
		for i := range 30 {
			m.startDirector(fmt.Sprint("d", i))
		}
		for m.now < time.Hour+15*time.Second && !m.failed {
			m.now += step
			m.calm = m.now%(5*time.Second) > 2500*ms
			m.deliver()
			if m.now < time.Hour+13*time.Second {
				m.disturb()
			}
			for i, r := range m.relays {
				if !r.alive && m.now > r.restartAt {
					m.startRelay(r, fmt.Sprint("relay-", i))
				}
			}
			for _, r := range m.relays {
				m.runRelay(r)
			}
			for _, d := range m.directors {
				m.runDirector(d)
			}
			if m.now%(25*ms) == 0 {
				m.announce()
			}
			m.check()
		}
		if !m.failed {
			m.end()
		}
		gone, worst = gone+m.gone, max(worst, m.worst)
	}
	t.Logf("seeds %d to %d: %d announced as gone, at the latest after %v", *firstSeed, *firstSeed+*seeds-1, gone, worst)
	if gone == 0 {
		t.Error("no director ended")
	}
}
