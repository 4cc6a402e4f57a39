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
	ms               = time.Millisecond
	step             = 5 * ms
	directorLease    = 400 * ms
	drift            = 0.02
	departureTimeout = 420 * ms // at least a director's lease with drift
	removalDeadline  = 1800 * ms
	callTimeout      = 200 * ms // after which a relay abandons a request
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the model")
	seeds     = flag.Uint64("seeds", 40, "number of seeds")
)

// clock is the clock of one process, with a rate up to 1 % off.
type clock struct{ offset, rate float64 }

func (c clock) at(now time.Duration) time.Duration {
	return time.Duration(c.offset + c.rate*float64(now))
}

type modelDirector struct {
	clock
	discovery.Director
	alive, leaving         bool
	endedAt                time.Duration
	relay                  int
	pendingCall            int           // number of the call in progress; 0: none
	nextCall, callDeadline time.Duration // by its own clock
	leaseEnd               time.Duration // by its own clock: the director may act until then
	acknowledged           int64
	callCount              int
	unreportedCall         bool          // its lease had expired when it called again, and the leader has not been told of that call
	relaySession           uint64        // session of the relay that received the last call
	relayCallAt            time.Duration // when that relay received it
}

type modelRelay struct {
	clock
	alive                      bool
	partitionedUntil           time.Duration // from the leader
	restartAt                  time.Duration // if the relay is not alive
	session                    *relaysession.Session
	lease                      replica.LeaseHolder
	revision                   int64
	number                     uint64
	requestedAt, lastRequestAt time.Duration
	pendingSequence            uint64 // sequence of the request in progress; 0: none
}

// model simulates a leader, 3 relays and 30 directors whose messages are delayed, lost or duplicated.
type model struct {
	t               *testing.T
	seed            uint64
	rng             *rand.Rand
	now             time.Duration
	stable          bool
	relays          []*modelRelay
	directors       []*modelDirector
	endedDirectors  []*modelDirector
	inFlight        []message
	fleet           fleet.Fleet
	tracker         *membership.Tracker
	leases          *replica.Lessor
	leaderlessUntil time.Duration // there is no leader until then
	lastDisturbance time.Duration
	removedCount    int
	longestRemoval  time.Duration
	lastNumber      uint64
	failed          bool
}

type message struct {
	deliverAt time.Duration
	deliver   func()
}

func (m *model) clock() clock {
	return clock{float64(time.Hour) * m.rng.Float64(), 1 + drift/2*(2*m.rng.Float64()-1)}
}

func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

// send delivers a message with a random delay, possibly twice or not at all. In stable periods no message is lost.
func (m *model) send(maxDelay time.Duration, deliver func()) {
	loss, double := 0.1, 0.1
	if m.stable {
		loss = 0
	}
	if m.chance(loss) {
		return
	}
	delay := func(longest time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(longest))) }
	if m.chance(double) {
		m.inFlight = append(m.inFlight, message{m.now + delay(10*maxDelay), deliver})
	}
	if !m.stable && m.chance(0.05) {
		maxDelay *= 10
	}
	m.inFlight = append(m.inFlight, message{m.now + delay(maxDelay), deliver})
}

func (m *model) deliver() {
	due := m.inFlight
	m.inFlight = nil
	for _, x := range due {
		if x.deliverAt <= m.now {
			x.deliver()
		} else {
			m.inFlight = append(m.inFlight, x)
		}
	}
}

func (m *model) startDirector(name string) {
	m.lastNumber++
	d := &modelDirector{
		clock: m.clock(), alive: true, relay: m.rng.IntN(len(m.relays)),
		Director: discovery.Director{Name: name, Incarnation: fmt.Sprint(m.lastNumber)},
	}
	m.directors = append(m.directors, d)
}

func (m *model) startRelay(r *modelRelay, name string) {
	m.lastNumber++
	*r = modelRelay{clock: m.clock(), alive: true, number: m.lastNumber}
	r.session = relaysession.New(relaysession.Settings{
		Relay: membership.Relay{Name: name, Incarnation: fmt.Sprint(m.lastNumber)}, Number: m.lastNumber,
		DirectorLease: directorLease, Drift: drift,
	}, nil)
}

// startLeader makes another replica the leader. The replica was already in the group and has all events.
func (m *model) startLeader() {
	direct := directorLease // the lease in a control plane without a group, which odd seeds have
	if m.seed%2 == 0 {
		direct += relaysession.Lease
	}
	m.tracker = membership.New(membership.Settings{
		Lease:         direct,
		DirectorLease: directorLease,
		RelayLease:    relaysession.Lease,
		Drift:         drift,
		BatchTime:     150 * ms,
	})
	m.tracker.Reset(m.fleet, m.now)
	m.leases = replica.NewLessor(replica.Lease{Length: relaysession.Lease, Drift: drift})
	m.leases.SetLeader(true, m.now)
}

// serveRequest handles a relay's request at the leader.
func (m *model) serveRequest(r *modelRelay, q relaysession.Request, sentAt time.Duration) {
	if m.now < m.leaderlessUntil || m.now < r.partitionedUntil {
		return
	}
	registered, err := m.tracker.Update(q.Update, m.rng.Uint64(), m.now)
	if err != nil {
		return
	}
	for _, d := range m.directors {
		if !registered.NeedFull && !q.More && d.relaySession == q.Session && d.relayCallAt <= sentAt {
			d.unreportedCall = false
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
		if !r.alive || r.number != number || m.now < r.partitionedUntil {
			return
		}
		now := r.at(m.now)
		r.session.HandleAnswer(answer, now)
		if r.pendingSequence == answer.Sequence {
			r.pendingSequence = 0
			r.revision = max(r.revision, answer.Revision)
			r.lease.Renew(replica.Lease{Length: relaysession.Lease}, r.requestedAt)
		}
	})
}

func (m *model) runRelay(r *modelRelay) {
	now := r.at(m.now)
	if !r.alive || now-r.lastRequestAt < 50*ms || r.pendingSequence > 0 && now-r.requestedAt < callTimeout {
		return
	}
	q := r.session.Request(r.revision, r.revision, now)
	r.requestedAt, r.lastRequestAt, r.pendingSequence = now, now, q.Sequence
	if m.now >= r.partitionedUntil {
		sentAt := m.now
		m.send(30*ms, func() { m.serveRequest(r, q, sentAt) })
	}
}

func (m *model) runDirector(d *modelDirector) {
	now := d.at(m.now)
	if d.pendingCall > 0 && now > d.callDeadline { // its relay has stopped or does not answer
		d.pendingCall, d.relay = 0, m.rng.IntN(len(m.relays))
	}
	if !d.alive || d.pendingCall > 0 || now < d.nextCall {
		return
	}
	if m.chance(0.02) {
		d.relay = m.rng.IntN(len(m.relays))
	}
	d.callCount++
	d.pendingCall, d.callDeadline = d.callCount, now+100*ms
	r, number, called, acknowledged := m.relays[d.relay], d.callCount, now, d.acknowledged
	a := discovery.Announcement{Director: d.Director, Leaving: d.leaving}
	m.send(20*ms, func() { m.serveWatch(d, r, a, number, called, acknowledged) })
	if d.leaving {
		d.alive, d.endedAt = false, m.now
		m.endedDirectors = append(m.endedDirectors, d)
	}
}

// serveWatch handles a director's watch request at a relay. A connection has one call at a time, so a call that the director has
// abandoned is ignored.
func (m *model) serveWatch(
	d *modelDirector, r *modelRelay, a discovery.Announcement, number int, called time.Duration, acknowledged int64,
) {
	now := r.at(m.now)
	if !r.alive || !r.lease.HasLease(now) || d.pendingCall != number {
		return
	}
	r.session.RecordWatchRequest(a, acknowledged, now)
	d.unreportedCall = d.unreportedCall || called >= d.leaseEnd
	d.relaySession, d.relayCallAt = r.number, m.now
	revision := r.revision
	m.send(20*ms, func() {
		if d.pendingCall != number || !d.alive {
			return
		}
		own := d.at(m.now)
		d.pendingCall, d.nextCall = 0, own+time.Duration(m.rng.Int64N(int64(100*ms)))
		d.acknowledged = max(d.acknowledged, revision)
		d.leaseEnd = max(d.leaseEnd, called+directorLease)
	})
}

// injectFaults stops and partitions processes, and appends events.
func (m *model) injectFaults() {
	if m.chance(0.1) {
		m.append(fleet.Event{Purge: &fleet.Purge{Object: "0123456789abcdef"}})
	}
	for i, d := range m.directors {
		if d.alive && m.chance(0.001) {
			d.leaving = m.chance(0.3)
			if !d.leaving {
				d.alive, d.endedAt = false, m.now
				m.endedDirectors = append(m.endedDirectors, d)
			}
		}
		if !d.alive && m.now-d.endedAt > 500*ms && m.chance(0.01) {
			name := d.Name
			m.directors = append(m.directors[:i], m.directors[i+1:]...)
			m.startDirector(name)
			break
		}
	}
	for _, r := range m.relays {
		switch {
		case m.stable || !r.alive:
		case m.chance(0.002):
			r.alive, r.restartAt = false, m.now+time.Duration(m.rng.Int64N(int64(800*ms)))
			m.lastDisturbance = m.now
		case m.chance(0.003):
			r.partitionedUntil = m.now + time.Duration(m.rng.Int64N(int64(1500*ms)))
			m.lastDisturbance = r.partitionedUntil
		}
	}
	if !m.stable && m.chance(0.003) {
		m.leaderlessUntil = m.now + time.Duration(m.rng.Int64N(int64(250*ms)))
		m.lastDisturbance = m.leaderlessUntil
		m.startLeader()
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
func (m *model) inLease(d *modelDirector) bool { return d.alive && d.at(m.now) < d.leaseEnd }

func (m *model) fail(format string, args ...any) {
	m.failed = true
	m.t.Errorf("seed %d at %v: %s", m.seed, m.now, fmt.Sprintf(format, args...))
}

// writeMembershipChange writes the next change of the members and checks that it does not remove a director within its lease.
func (m *model) writeMembershipChange() {
	if m.now < m.leaderlessUntil {
		return
	}
	c := m.tracker.NextChange(m.fleet, m.now)
	if c == nil {
		return
	}
	m.append(fleet.Event{Membership: c})
	m.tracker.MarkWritten(m.now)
	m.removedCount += len(c.Left)
	for _, id := range c.Left {
		for _, d := range m.directors {
			if d.ID() == id && m.inLease(d) && !d.unreportedCall {
				m.fail("%s was removed within its lease", id)
			}
		}
	}
}

func (m *model) checkInvariants() {
	if m.now >= m.leaderlessUntil && m.tracker.Settled(m.now) {
		acknowledgedByAll := m.leases.Acknowledged(m.fleet.Revision, m.now, departureTimeout)
		for _, d := range m.directors {
			if m.inLease(d) && d.acknowledged < acknowledgedByAll {
				m.fail("%s has revision %d, but %d counts as acknowledged by all", d.ID(), d.acknowledged, acknowledgedByAll)
			}
		}
	}
	remaining := m.endedDirectors[:0]
	for _, d := range m.endedDirectors {
		if m.fleet.Director(d.ID()) == nil && m.now-d.endedAt > 10*time.Second {
			continue
		}
		remaining = append(remaining, d)
		if m.fleet.Director(d.ID()) == nil {
			continue
		}
		since := m.now - max(d.endedAt, m.lastDisturbance)
		if m.longestRemoval = max(m.longestRemoval, since); since > removalDeadline {
			m.fail("%s ended at %v and has not been removed", d.ID(), d.endedAt)
		}
	}
	m.endedDirectors = remaining
}

// checkFinalMembers checks that, after a stable period, the members are exactly the directors that are alive.
func (m *model) checkFinalMembers() {
	members := 0
	for range m.fleet.Directors() {
		members++
	}
	alive := 0
	for _, d := range m.directors {
		if d.alive {
			alive++
			if m.fleet.Director(d.ID()) == nil {
				m.fail("%s is alive but not a member", d.ID())
			}
		}
	}
	if members != alive {
		m.fail("got %d members, want the %d directors that are alive", members, alive)
	}
}

// TestModel checks that for any sequence of message, relay and leader faults, a director within its lease is never removed, a
// director that has stopped is removed within a bounded time, and the acknowledged revision never exceeds the revision of any
// director within its lease.
func TestModel(t *testing.T) {
	removedCount, longestRemoval := 0, time.Duration(0)
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		m := &model{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Hour, lastDisturbance: time.Hour}
		m.startLeader()
		for i := range 3 {
			m.relays = append(m.relays, &modelRelay{})
			m.startRelay(m.relays[i], fmt.Sprint("relay-", i))
		}
		for i := range 30 {
			m.startDirector(fmt.Sprint("d", i))
		}
		for m.now < time.Hour+15*time.Second && !m.failed {
			m.now += step
			m.stable = m.now%(5*time.Second) > 2500*ms
			m.deliver()
			if m.now < time.Hour+13*time.Second {
				m.injectFaults()
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
				m.writeMembershipChange()
			}
			m.checkInvariants()
		}
		if !m.failed {
			m.checkFinalMembers()
		}
		removedCount, longestRemoval = removedCount+m.removedCount, max(longestRemoval, m.longestRemoval)
	}
	t.Logf("seeds %d to %d: %d directors removed, the slowest after %v", *firstSeed, *firstSeed+*seeds-1, removedCount, longestRemoval)
	if removedCount == 0 {
		t.Error("no director was removed")
	}
}
