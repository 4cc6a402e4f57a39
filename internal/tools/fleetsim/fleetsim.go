// Package fleetsim simulates a fleet of directors that share limits. It runs the packages that real directors and the control plane use
// (membership, quota) in virtual time and without sockets. All randomness derives from one seed. It models the messages between directors
// and the control plane, but no requests: demand is a number.
package fleetsim

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/quota"
)

// Config configures a run. Zero values stand for the defaults in parentheses.
type Config struct {
	Seed         uint64
	Directors    int           // number at the start (8)
	Caches       int           // number of cold caches, each with its own limit (4)
	Length       time.Duration // virtual time of the run (30 s)
	Skew         float64       // exponent of the Zipf law of the directors' demands (1); below 0: equal demands
	Load         float64       // demand of all directors together, as a multiple of all limits together (1.5)
	Loss         float64       // share of renewals, and of grants, that are lost
	Delay        time.Duration // largest delay of a message (20 ms)
	Drift        float64       // largest deviation of a clock's rate from real time (0.01)
	Double       time.Duration // when as many directors again join; 0: never
	Halve        time.Duration // when half of the directors fail at the same time; 0: never
	NewAllocator time.Duration // when a new allocator takes over; 0: never
	Cut          time.Duration // when a third of the directors are partitioned from the control plane, for 5 s; 0: never
	EvenShares   bool          // for comparison: no quotas, each director uses an even share by the number at the start
}

func (c *Config) setDefaults() {
	if c.Directors <= 0 {
		c.Directors = 8
	}
	if c.Caches <= 0 {
		c.Caches = 4
	}
	if c.Length <= 0 {
		c.Length = 30 * time.Second
	}
	if c.Skew == 0 {
		c.Skew = 1
	}
	if c.Load <= 0 {
		c.Load = 1.5
	}
	if c.Delay <= 0 {
		c.Delay = 20 * time.Millisecond
	}
	if c.Drift <= 0 {
		c.Drift = 0.01
	}
}

// Check returns an error that names the first setting that is out of bounds.
func (c Config) Check() error {
	switch {
	case c.Directors < 0 || c.Directors > 5000:
		return fmt.Errorf("directors: %d is not from 1 to 5000", c.Directors)
	case c.Caches < 0 || c.Caches > 2000:
		return fmt.Errorf("caches: %d is not from 1 to 2000", c.Caches)
	case c.Loss < 0 || c.Loss >= 1:
		return fmt.Errorf("loss: %v is not at least 0 and below 1", c.Loss)
	case c.Length < 0 || c.Length > time.Hour:
		return fmt.Errorf("length: %v is not from 0 to an hour", c.Length)
	}
	return nil
}

// Point is a sample of the fleet.
type Point struct {
	At        time.Duration
	Directors int     // running directors
	Members   int     // members known to the control plane
	Worst     float64 // largest sum of the directors' shares of one limit
	Used      float64 // use of all limits: the sum of the directors' shares, each up to its demand
	Usable    float64 // sum over limits of the usable part: the demand, at most the limit without the reserve for fallback
	Fairness  float64 // Jain's index of the use of directors that demand an even share or more of every limit
}

// Result is the outcome of a run.
type Result struct {
	Points           []Point
	Worst            float64       // largest Point.Worst; over 1, a limit was exceeded
	Unused           time.Duration // longest time in which less than half of Usable was used
	Messages         int           // renewals and grants
	Bytes            int           // encoded size of the renewals and grants, estimated from a sample
	MembershipEvents int
	Directors        int // all that have ever run
}

const (
	step            = 10 * time.Millisecond  // of virtual time
	renewalInterval = 100 * time.Millisecond // of each director
	sampleInterval  = 50 * time.Millisecond
	cutLength       = 5 * time.Second
	membershipLease = 600 * time.Millisecond
	gatherInterval  = 150 * time.Millisecond // between membership events
	encodeEvery     = 16                     // one in this many messages is encoded; encoding all would cost more than the rest
)

type director struct {
	id          string
	holder      *quota.Holder
	demand      []float64 // by limit
	clockRate   float64
	nextRenewal time.Duration
	running     bool
	cutUntil    time.Duration // end of its partition from the control plane
}

// message is a renewal or a grant in flight.
type message struct {
	director  *director
	renewal   *quota.Renewal
	grant     *quota.Grant
	deliverAt time.Duration
}

type model struct {
	cfg        Config
	rng        *rand.Rand
	now        time.Duration
	directors  []*director
	inFlight   []message
	allocator  *quota.Allocator
	epoch      int64
	membership *membership.Tracker
	fleet      fleet.Fleet
	limits     []string
	result     Result

	underusedSince time.Duration // start of the time in which less than half of Usable is used; below 0: none
}

// Run simulates a fleet and returns the samples. If progress is not nil, it is called once per second of virtual time with the completed
// share of the run.
func Run(cfg Config, progress func(done float64)) (Result, error) {
	if err := cfg.Check(); err != nil {
		return Result{}, err
	}
	cfg.setDefaults()
	m := &model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 17)), epoch: 1, underusedSince: -1}
	m.allocator = quota.NewAllocator(quota.DirectorSettings, 1, 0, true)
	m.membership = membership.New(membership.Settings{
		Lease: membershipLease, Drift: quota.DirectorSettings.Drift, BatchTime: gatherInterval,
	})
	for i := range cfg.Caches {
		m.limits = append(m.limits, fmt.Sprintf("cold:box-%d", i))
	}
	m.addDirectors(cfg.Directors)
	for m.now < cfg.Length {
		m.now += step
		m.applyFaults()
		m.deliverMessages()
		m.sendRenewals()
		m.updateMembership()
		if m.now%sampleInterval == 0 {
			m.sample()
		}
		if progress != nil && m.now%time.Second == 0 {
			progress(float64(m.now) / float64(cfg.Length))
		}
	}
	m.result.Directors = len(m.directors)
	return m.result, nil
}

// addDirectors adds n directors. Their demands for each limit follow a Zipf law. The demands of the initial directors add up to
// Config.Load.
func (m *model) addDirectors(n int) {
	sum := 0.0
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -max(0, m.cfg.Skew))
		sum += weights[i]
	}
	for i := range n {
		d := &director{
			id:          fmt.Sprintf("d%d/1", len(m.directors)),
			running:     true,
			clockRate:   1 + (2*m.rng.Float64()-1)*m.cfg.Drift,
			nextRenewal: m.now + time.Duration(m.rng.Int64N(int64(renewalInterval))),
		}
		d.holder = quota.NewHolder(d.id, quota.DirectorSettings)
		for range m.limits {
			d.demand = append(d.demand, m.cfg.Load*weights[i]/sum*float64(n)/float64(m.cfg.Directors))
		}
		m.directors = append(m.directors, d)
	}
}

func (m *model) isDue(when time.Duration) bool { return when > 0 && m.now >= when && m.now-step < when }

func (m *model) applyFaults() {
	if m.isDue(m.cfg.Double) {
		m.addDirectors(len(m.directors))
	}
	if m.isDue(m.cfg.Halve) {
		for i, d := range m.directors {
			if i%2 == 0 {
				d.running = false
			}
		}
	}
	if m.isDue(m.cfg.Cut) {
		for i, d := range m.directors {
			if i%3 == 0 {
				d.cutUntil = m.now + cutLength
			}
		}
	}
	if m.isDue(m.cfg.NewAllocator) {
		m.epoch++
		m.allocator = quota.NewAllocator(quota.DirectorSettings, m.epoch, m.now, false)
		m.membership.Reset(m.fleet, m.now)
	}
}

func (m *model) localTime(d *director) time.Duration {
	return time.Duration(float64(m.now)*d.clockRate) + time.Hour
}

func (m *model) sendRenewals() {
	for _, d := range m.directors {
		if !d.running || m.now < d.nextRenewal {
			continue
		}
		d.nextRenewal = m.now + renewalInterval
		for i, l := range m.limits {
			d.holder.Want(quota.Want{Limit: l, Kind: quota.Rate, Demand: d.demand[i]})
		}
		renewal := d.holder.Renewal(m.localTime(d))
		if m.now < d.cutUntil || m.rng.Float64() < m.cfg.Loss {
			continue
		}
		m.countMessage(renewal)
		m.inFlight = append(m.inFlight, message{director: d, renewal: &renewal, deliverAt: m.now + m.randomDelay()})
	}
}

func (m *model) randomDelay() time.Duration {
	return time.Duration(m.rng.Int64N(int64(m.cfg.Delay) + 1))
}

// countMessage counts a message. It encodes one in encodeEvery messages and counts its size for all of them.
func (m *model) countMessage(v any) {
	m.result.Messages++
	if m.result.Messages%encodeEvery == 1 {
		b, _ := json.Marshal(v) // a renewal or a grant, which can always be encoded
		m.result.Bytes += encodeEvery * len(b)
	}
}

// deliverMessages processes the messages that are due.
func (m *model) deliverMessages() {
	var undelivered []message
	pending := m.inFlight
	m.inFlight = nil
	for _, msg := range pending {
		d := msg.director
		switch {
		case m.now < msg.deliverAt:
			undelivered = append(undelivered, msg)
		case !d.running:
		case msg.renewal != nil:
			described := fleet.Director{Name: d.id[:len(d.id)-2], Incarnation: "1"}
			m.membership.RecordHeartbeat(membership.Heartbeat{ID: d.id, Director: &described, At: m.now})
			grant := m.allocator.Renew(*msg.renewal, m.now)
			if m.rng.Float64() >= m.cfg.Loss {
				m.countMessage(grant)
				undelivered = append(undelivered, message{director: d, grant: &grant, deliverAt: m.now + m.randomDelay()})
			}
		case m.now >= d.cutUntil:
			d.holder.Apply(*msg.grant, m.localTime(d))
		}
	}
	m.inFlight = append(undelivered, m.inFlight...)
}

// updateMembership applies a pending membership change as an event, as the leader does on each tick.
func (m *model) updateMembership() {
	change := m.membership.NextChange(m.fleet, m.now)
	if change == nil {
		return
	}
	next, err := m.fleet.Apply(fleet.Event{No: m.fleet.Revision + 1, Membership: change})
	if err != nil {
		return
	}
	m.fleet = next
	m.membership.MarkWritten(m.now)
	m.result.MembershipEvents++
}

// share returns the share of a limit that a director may use.
func (m *model) share(d *director, limit string) float64 {
	if m.cfg.EvenShares {
		return 1 / float64(m.cfg.Directors)
	}
	return d.holder.Available(limit, m.localTime(d))
}

// sample appends a Point to the result.
func (m *model) sample() {
	p := Point{At: m.now}
	for range m.fleet.Directors() {
		p.Members++
	}
	sums := make([]float64, len(m.limits))
	demands := make([]float64, len(m.limits))
	var uses []float64
	for _, d := range m.directors {
		if !d.running {
			continue
		}
		p.Directors++
		used, wantsEven := 0.0, true
		for i, limit := range m.limits {
			share := m.share(d, limit)
			sums[i] += share
			demands[i] += d.demand[i]
			p.Used += min(share, d.demand[i])
			used += min(share, d.demand[i])
			wantsEven = wantsEven && d.demand[i] >= (1-quota.DirectorSettings.Reserve)/float64(len(m.directors))
		}
		if wantsEven {
			uses = append(uses, used)
		}
	}
	for i, sum := range sums {
		p.Worst = max(p.Worst, sum)
		p.Usable += min(demands[i], 1-quota.DirectorSettings.Reserve)
	}
	p.Fairness = Jain(uses)
	m.result.Worst = max(m.result.Worst, p.Worst)
	m.recordUnderuse(p)
	m.result.Points = append(m.result.Points, p)
}

// recordUnderuse tracks for how long less than half of the usable limits has been used.
func (m *model) recordUnderuse(p Point) {
	switch {
	case p.Used >= p.Usable/2:
		m.underusedSince = -1
	case m.underusedSince < 0:
		m.underusedSince = m.now
	default:
		m.result.Unused = max(m.result.Unused, m.now-m.underusedSince)
	}
}

// Jain returns Jain's fairness index of n values: 1 if all are equal, 1/n if all but one are 0, and 1 if there are none.
func Jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(x)) * squares)
}
