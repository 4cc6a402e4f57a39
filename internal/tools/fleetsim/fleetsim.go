// Package fleetsim is a model of a fleet of directors that share limits. It runs the packages that real directors and the control plane
// use (membership, quota) with virtual time and without sockets; all chance comes from one seed. It knows what directors send to the
// control plane and what that answers, and nothing of requests: demand is a number.
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

// Config is a run. Zero values stand for what is in brackets.
type Config struct {
	Seed         uint64
	Directors    int           // at the start (8)
	Caches       int           // cold ones, each a limit of its own (4)
	Length       time.Duration // (30 s)
	Skew         float64       // exponent of Zipf's law over the directors' demands (1); below 0: all want the same
	Load         float64       // of what all limits bear that all directors together want (1.5)
	Loss         float64       // share of calls that are lost
	Delay        time.Duration // of a message, each up to this (20 ms)
	Drift        float64       // by which clocks run apart (0.01)
	Double       time.Duration // when as many again join; 0: never
	Halve        time.Duration // when half of those that are there die at one moment; 0: never
	NewAllocator time.Duration // when another allocator takes over; 0: never
	Cut          time.Duration // when a third is cut off from the control plane, for 5 s; 0: never
	EvenShares   bool          // for comparison: even shares of the number at the start, and no quotas
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

// Check returns an error that names a setting out of its bounds.
func (c Config) Check() error {
	switch {
	case c.Directors < 0 || c.Directors > 5000:
		return fmt.Errorf("directors: %d is not from 1 to 5000", c.Directors)
	case c.Caches < 0 || c.Caches > 2000:
		return fmt.Errorf("boxes: %d is not from 1 to 2000", c.Caches)
	case c.Loss < 0 || c.Loss >= 1:
		return fmt.Errorf("loss: %v is not from 0 to under 1", c.Loss)
	case c.Length < 0 || c.Length > time.Hour:
		return fmt.Errorf("length: %v is over an hour", c.Length)
	}
	return nil
}

// Point is the fleet at a moment.
type Point struct {
	At        time.Duration
	Directors int     // that live
	Members   int     // as the control plane counts
	Worst     float64 // the most of any one limit that may be used together
	Used      float64 // of all limits, what is used: what each has, as far as it wants it
	Usable    float64 // what could be used: demand, or all that is not set aside as fallback
	Fairness  float64 // Jain's index of what those get that want as much as an even share or more
}

// Result is the outcome of a run.
type Result struct {
	Points           []Point
	Worst            float64       // of all moments and limits: over 1, a limit was passed
	Unused           time.Duration // the longest time during which under half of what could be was used
	Messages         int           // calls and answers
	Bytes            int           // of the renewals and grants in them
	MembershipEvents int
	Directors        int // that ever lived
}

const (
	step            = 10 * time.Millisecond  // of virtual time
	renewalInterval = 100 * time.Millisecond // of each director
	sampleInterval  = 50 * time.Millisecond
	cutLength       = 5 * time.Second
	membershipLease = 600 * time.Millisecond
	gatherInterval  = 150 * time.Millisecond // from one change of the membership to the next
	countEvery      = 16                     // messages, of which one is encoded: all would cost more than the model
)

type director struct {
	id          string
	holder      *quota.Holder
	demand      []float64 // by limit
	clockRate   float64
	nextRenewal time.Duration
	alive       bool
	cutUntil    time.Duration // it is cut off from the control plane until then
}

// message is a renewal or a grant on its way.
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

	underusedSince time.Duration // since when too little is used; below 0: it is not
}

// Run plays a run. progress, if it is given, is called once a second of virtual time with the share that is done.
func Run(cfg Config, progress func(done float64)) (Result, error) {
	if err := cfg.Check(); err != nil {
		return Result{}, err
	}
	cfg.setDefaults()
	m := &model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 17)), epoch: 1, underusedSince: -1}
	m.allocator = quota.NewAllocator(quota.DirectorSettings, 1, 0, true)
	m.membership = membership.New(membership.Settings{Lease: membershipLease, Drift: quota.DirectorSettings.Drift, Gather: gatherInterval})
	for i := range cfg.Caches {
		m.limits = append(m.limits, fmt.Sprintf("cold:box-%d", i))
	}
	m.join(cfg.Directors)
	for m.now < cfg.Length {
		m.now += step
		m.events()
		m.deliver()
		m.renew()
		m.control()
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

// join adds directors. Their demands follow Zipf's law by their place; all together want the load.
func (m *model) join(n int) {
	sum := 0.0
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -max(0, m.cfg.Skew))
		sum += weights[i]
	}
	for i := range n {
		d := &director{
			id:          fmt.Sprintf("d%d/1", len(m.directors)),
			alive:       true,
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

func (m *model) events() {
	if m.isDue(m.cfg.Double) {
		m.join(len(m.directors))
	}
	if m.isDue(m.cfg.Halve) {
		for i, d := range m.directors {
			if i%2 == 0 {
				d.alive = false
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

func (m *model) clock(d *director) time.Duration {
	return time.Duration(float64(m.now)*d.clockRate) + time.Hour
}

func (m *model) renew() {
	for _, d := range m.directors {
		if !d.alive || m.now < d.nextRenewal {
			continue
		}
		d.nextRenewal = m.now + renewalInterval
		for i, l := range m.limits {
			d.holder.Want(quota.Want{Limit: l, Kind: quota.Rate, Demand: d.demand[i]})
		}
		renewal := d.holder.Renewal(m.clock(d))
		if m.now < d.cutUntil || m.rng.Float64() < m.cfg.Loss {
			continue
		}
		m.count(renewal)
		m.inFlight = append(m.inFlight, message{director: d, renewal: &renewal, deliverAt: m.now + m.delay()})
	}
}

func (m *model) delay() time.Duration { return time.Duration(m.rng.Int64N(int64(m.cfg.Delay) + 1)) }

// count counts a message and, of some, its bytes.
func (m *model) count(v any) {
	m.result.Messages++
	if m.result.Messages%countEvery == 1 {
		b, _ := json.Marshal(v) // a renewal or a grant, which always has a form
		m.result.Bytes += countEvery * len(b)
	}
}

// deliver hands over the messages that have arrived.
func (m *model) deliver() {
	var left []message
	arriving := m.inFlight
	m.inFlight = nil
	for _, msg := range arriving {
		d := msg.director
		switch {
		case m.now < msg.deliverAt:
			left = append(left, msg)
		case !d.alive:
		case msg.renewal != nil:
			described := fleet.Director{Name: d.id[:len(d.id)-2], Incarnation: "1"}
			m.membership.RecordHeartbeat(membership.Heartbeat{ID: d.id, Director: &described, At: m.now})
			grant := m.allocator.Renew(*msg.renewal, m.now)
			if m.rng.Float64() >= m.cfg.Loss {
				m.count(grant)
				left = append(left, message{director: d, grant: &grant, deliverAt: m.now + m.delay()})
			}
		case m.now >= d.cutUntil:
			d.holder.Apply(*msg.grant, m.clock(d))
		}
	}
	m.inFlight = append(left, m.inFlight...)
}

// control is the leader's tick: changes of the membership become events.
func (m *model) control() {
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

// share is what a director may use of a limit.
func (m *model) share(d *director, limit string) float64 {
	if m.cfg.EvenShares {
		return 1 / float64(m.cfg.Directors)
	}
	return d.holder.Available(limit, m.clock(d))
}

// sample takes a point of the result.
func (m *model) sample() {
	p := Point{At: m.now}
	for range m.fleet.Directors() {
		p.Members++
	}
	sums := make([]float64, len(m.limits))
	demands := make([]float64, len(m.limits))
	var got []float64
	for _, d := range m.directors {
		if !d.alive {
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
			got = append(got, used)
		}
	}
	for i, sum := range sums {
		p.Worst = max(p.Worst, sum)
		p.Usable += min(demands[i], 1-quota.DirectorSettings.Reserve)
	}
	p.Fairness = Jain(got)
	m.result.Worst = max(m.result.Worst, p.Worst)
	m.observeUse(p)
	m.result.Points = append(m.result.Points, p)
}

// observeUse measures for how long too little is used.
func (m *model) observeUse(p Point) {
	switch {
	case p.Used >= p.Usable/2:
		m.underusedSince = -1
	case m.underusedSince < 0:
		m.underusedSince = m.now
	default:
		m.result.Unused = max(m.result.Unused, m.now-m.underusedSince)
	}
}

// Jain is Jain's index of fairness: 1 where all values are equal, 1/n where one has all; 1 for no values.
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
