// Package fleetsim is a model of a fleet of directors that share limits: the very packages that real ones use (roll, turns),
// with virtual time, no sockets, and all chance from one seed. It knows what directors say to the board and what it answers,
// and nothing of requests: demand is a number.
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
	Seed      uint64
	Directors int           // at the start (8)
	Caches    int           // cold ones, each a limit of its own (4)
	Length    time.Duration // (30 s)
	Skew      float64       // exponent of Zipf's law over the directors' demands (1); below 0: all want the same
	Load      float64       // of what all limits bear that all directors together want (1.5)
	Loss      float64       // share of calls that are lost
	Delay     time.Duration // of a call and of its answer, each up to this (20 ms)
	Drift     float64       // by which clocks run apart (0.01)
	Double    time.Duration // when as many again join; 0: never
	Halve     time.Duration // when half of those that are there die at one moment; 0: never
	Regrant   time.Duration // when another granter takes over; 0: never
	Cut       time.Duration // when a third is cut off from the board, for 5 s; 0: never
	Even      bool          // for comparison: even parts of the number at the start, and no turns
}

func (c *Config) fill() {
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

// Check tells what of a run can't be.
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
	OnRoll    int     // as the board counts
	Worst     float64 // the most of any one limit that may be used together
	Used      float64 // of all limits, what is used: what each has, as far as it wants it
	Could     float64 // what could be used: demand, or all that is not set aside
	Fairness  float64 // Jain's index of what those get that want as much as an even part or more
}

// Result is what a run gave.
type Result struct {
	Points     []Point
	Worst      float64       // of all moments and limits: over 1, a limit was passed
	Unused     time.Duration // the longest time during which under half of what could be was used
	Messages   int           // calls and answers
	Bytes      int           // of the beats and grants in them
	RollEvents int
	Directors  int // that ever lived
}

const (
	step     = 10 * time.Millisecond
	beat     = 100 * time.Millisecond
	sampling = 50 * time.Millisecond
)

// QuotaSettings are the settings of the model; those of the real ones.
var QuotaSettings = quota.Settings{Lease: 400 * time.Millisecond, Drift: 0.02, Reserve: 0.2, Fades: 20 * time.Second, Floor: 0.2, Hold: 0.05}

type director struct {
	id     string
	holder *quota.Holder
	demand []float64 // by box
	rate   float64   // of its clock
	next   time.Duration
	alive  bool
	cut    time.Duration // from the board, until then
}

type flight struct {
	to    *director
	beat  *quota.Renewal
	grant *quota.Grant
	at    time.Duration
}

type model struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	all     []*director
	net     []flight
	granter *quota.Allocator
	epoch   int64
	roll    *membership.Tracker
	fleet   fleet.Fleet
	limits  []string
	res     Result
	poor    time.Duration // since when too little is used; below 0: it is not
}

// Run plays a run. progress, if it is given, is told how far it is from time to time.
func Run(cfg Config, progress func(done float64)) (Result, error) {
	if err := cfg.Check(); err != nil {
		return Result{}, err
	}
	cfg.fill()
	m := &model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 17)), epoch: 1, poor: -1}
	m.granter = quota.NewAllocator(QuotaSettings, 1, 0, true)
	m.roll = membership.New(membership.Settings{Lease: 600 * time.Millisecond, Drift: 0.02, Gather: 150 * time.Millisecond})
	for i := range cfg.Caches {
		m.limits = append(m.limits, fmt.Sprintf("cold:box-%d", i))
	}
	m.join(cfg.Directors)
	for m.now < cfg.Length {
		m.now += step
		m.events()
		m.deliver()
		m.beats()
		m.board()
		if m.now%sampling == 0 {
			m.sample()
		}
		if progress != nil && m.now%time.Second == 0 {
			progress(float64(m.now) / float64(cfg.Length))
		}
	}
	m.res.Directors = len(m.all)
	return m.res, nil
}

// join lets so many more directors live. Their demands follow Zipf's law by their place; all together want the load.
func (m *model) join(n int) {
	sum, weights := 0.0, make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -max(0, m.cfg.Skew))
		sum += weights[i]
	}
	for i := range n {
		d := &director{id: fmt.Sprintf("d%d/1", len(m.all)), alive: true, rate: 1 + (2*m.rng.Float64()-1)*m.cfg.Drift, next: m.now + time.Duration(m.rng.Int64N(int64(beat)))}
		d.holder = quota.NewHolder(d.id, QuotaSettings)
		for range m.limits {
			d.demand = append(d.demand, m.cfg.Load*weights[i]/sum*float64(n)/float64(m.cfg.Directors))
		}
		m.all = append(m.all, d)
	}
}

func (m *model) at(when time.Duration) bool { return when > 0 && m.now >= when && m.now-step < when }

func (m *model) events() {
	if m.at(m.cfg.Double) {
		m.join(len(m.all))
	}
	if m.at(m.cfg.Halve) {
		for i, d := range m.all {
			if i%2 == 0 {
				d.alive = false
			}
		}
	}
	if m.at(m.cfg.Cut) {
		for i, d := range m.all {
			if i%3 == 0 {
				d.cut = m.now + 5*time.Second
			}
		}
	}
	if m.at(m.cfg.Regrant) {
		m.epoch++
		m.granter = quota.NewAllocator(QuotaSettings, m.epoch, m.now, false)
		m.roll.Begin(m.fleet, m.now)
	}
}

func (m *model) clock(d *director) time.Duration {
	return time.Duration(float64(m.now)*d.rate) + time.Hour
}

func (m *model) beats() {
	for _, d := range m.all {
		if !d.alive || m.now < d.next {
			continue
		}
		d.next = m.now + beat
		for i, l := range m.limits {
			d.holder.Want(quota.Want{Limit: l, Kind: quota.Rate, Demand: d.demand[i]})
		}
		b := d.holder.Renewal(m.clock(d))
		if m.now < d.cut || m.rng.Float64() < m.cfg.Loss {
			continue
		}
		m.count(b)
		m.net = append(m.net, flight{to: d, beat: &b, at: m.now + m.delay()})
	}
}

func (m *model) delay() time.Duration { return time.Duration(m.rng.Int64N(int64(m.cfg.Delay) + 1)) }

func (m *model) count(v any) {
	m.res.Messages++
	if m.res.Messages%16 == 1 { // every one would cost more than the model
		b, _ := json.Marshal(v)
		m.res.Bytes += 16 * len(b)
	}
}

func (m *model) deliver() {
	var left []flight
	net := m.net
	m.net = nil
	for _, f := range net {
		switch {
		case m.now < f.at:
			left = append(left, f)
		case !f.to.alive:
		case f.beat != nil:
			d := fleet.Director{Name: f.to.id[:len(f.to.id)-2], Incarnation: "1"}
			m.roll.RecordHeartbeat(membership.Heartbeat{ID: f.to.id, Director: &d, At: m.now})
			g := m.granter.Renew(*f.beat, m.now)
			if m.rng.Float64() >= m.cfg.Loss {
				m.count(g)
				left = append(left, flight{to: f.to, grant: &g, at: m.now + m.delay()})
			}
		case m.now >= f.to.cut:
			f.to.holder.Take(*f.grant, m.clock(f.to))
		}
	}
	m.net = append(left, m.net...)
}

func (m *model) board() {
	if c := m.roll.Change(m.fleet, m.now); c != nil {
		if f, err := m.fleet.Apply(fleet.Event{No: m.fleet.Revision + 1, Membership: c}); err == nil {
			m.fleet = f
			m.roll.MarkAnnounced(m.now)
			m.res.RollEvents++
		}
	}
}

// part is what a director may use of a limit.
func (m *model) part(d *director, limit string) float64 {
	if m.cfg.Even {
		return 1 / float64(m.cfg.Directors)
	}
	return d.holder.Part(limit, m.clock(d))
}

func (m *model) sample() {
	p := Point{At: m.now}
	for range m.fleet.Directors() {
		p.OnRoll++
	}
	sums, wants := make([]float64, len(m.limits)), make([]float64, len(m.limits))
	var got []float64
	for _, d := range m.all {
		if !d.alive {
			continue
		}
		p.Directors++
		own, whole := 0.0, true
		for i, l := range m.limits {
			part := m.part(d, l)
			sums[i] += part
			wants[i] += d.demand[i]
			p.Used += min(part, d.demand[i])
			own += min(part, d.demand[i])
			whole = whole && d.demand[i] >= (1-QuotaSettings.Reserve)/float64(len(m.all))
		}
		if whole {
			got = append(got, own)
		}
	}
	for i, sum := range sums {
		p.Worst = max(p.Worst, sum)
		p.Could += min(wants[i], 1-QuotaSettings.Reserve)
	}
	p.Fairness = Jain(got)
	m.res.Worst = max(m.res.Worst, p.Worst)
	switch {
	case p.Used >= p.Could/2:
		m.poor = -1
	case m.poor < 0:
		m.poor = m.now
	default:
		m.res.Unused = max(m.res.Unused, m.now-m.poor)
	}
	m.res.Points = append(m.res.Points, p)
}

// Jain is the index of fairness: 1 where all are alike, 1/n where one has all; 1 for nobody.
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
