package decision

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what an instance remembers and small helpers. It decides nothing; router.go does.

type host struct {
	Endpoint
	listed   bool // Ready in the list
	out      int  // attempts of ours that are out
	bad      float64
	silent   int
	answered time.Duration // when it last answered anything
	until    time.Duration // ejected until
	ejected  int           // ejections in a row; 0: in good standing
	load     LoadReport    // its last
	lag      float64       // smoothed overhead of its answers, in seconds
	link     window
	ttfb     float64       // smoothed time to first byte, in seconds
	drag     float64       // smoothed rest of a fill's time that neither that, its size nor a hit explains
	heard    time.Duration // when ttfb was last fed
	tokens   float64       // of the cold budget, in seconds of sending
	refilled time.Duration
	part     float64 // of its cold budget that was granted; 0: an even one
	doubt    float64 // what all instances see go wrong there, as a share; see Opinion
	tried    float64 // outcomes since Evidence was asked last, and how many of them were bad
	failed   float64
	phased   bool // its tokens have begun, at a random part of one where many share few
}

// objectPart is what one entry of the table stands for: a part of an object as one class asks for it, and one tenant. What another
// class or tenant has open is no fill of theirs, whatever the object is called.
type objectPart struct {
	object ObjectID
	part   int
	class  int
	tenant string
}

// entry is one open attempt of the table.
type entry struct {
	key     objectPart
	group   int
	owner   *attempt
	cache   *host
	source  *host
	waiters []*request
}

type request struct {
	Request
	class    int
	key      objectPart
	send     time.Duration // own sending time
	room     time.Duration // that it needs in a window
	arrived  time.Duration
	aim      time.Duration // its own, whatever its client's patience
	aimAt    time.Duration
	deadline time.Duration
	attempts []*attempt
	bound    *attempt // another director's, that may have run
	held     *entry
}

// ran is the first attempt that may have run; nil if none has.
func (q *request) ran() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return a.mayRun }); q.bound == nil && i >= 0 {
		return q.attempts[i]
	}
	return q.bound
}

type attempt struct {
	req     *request
	number  int
	host    *host
	source  *host
	sentAt  time.Duration
	entry   *entry // the entry this attempt holds open
	ended   bool
	spent   bool // the cache failed it; a failed source does not count against the cache
	mayRun  bool
	reach   reach
	lacks   reach     // how far it showed the object to be lacking
	late    bool      // its cache has been blamed for it
	judged  bool      // its windows have moved for it
	windows []*window // that it is out in
}

// reach is how far an attempt may go for a copy.
type reach int

const (
	keptHere   reach = iota + 1 // what the cache keeps
	keptBehind                  // what the source keeps
	anywhere
)

// window is how much sending may be out at once.
type window struct {
	limit float64 // in nanoseconds; 0: no limit
	out   time.Duration
	mean  float64 // smoothed out
	late  float64 // smoothed share that is late or refused
}

type attemptKey struct {
	request RequestID
	number  int
}

// Router is one instance of the decision module.
type Router struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	acts    []Action
	hosts   map[HostID]*host
	caches  []*host // of the own zone, by id
	parents []*host // by id
	origin  *host
	open    map[RequestID]*request
	flying  map[attemptKey]*attempt
	table   map[objectPart]*entry
	purged  map[ObjectID]time.Duration // clock time of the last purge
	flushed map[int]time.Duration      // the same by group
	class   map[string]int

	meanSend    []float64 // by class, seconds
	alike       float64   // dispatchers of the zone, itself counted
	missShare   float64
	fetchShare  float64 // share of fills that parents had to fetch
	hitOver     float64 // smoothed overhead of hits, seconds
	lag         float64 // smoothed overhead of an answer beyond its sending time, seconds
	lagDev      float64
	demand      meter          // seconds of sending asked for
	carried     meter          // seconds of sending answered
	carriedBest float64        // the most of it lately, per second
	coldPart    func() float64 // see ShareCold; may be nil
	cachesMost  int            // caches known at once, at most
	parentsMost int            // the same of parents
	measured    time.Duration
	further     float64
	linkUse     float64       // smoothed x1 of the own caches; starts as full, for not all sites report it
	fills       window        // fills over the location's link
	fetches     window        // those that go on to the origin
	patience    time.Duration // the shortest deadline
	longest     time.Duration // the longest deadline
}

// NewRouter makes an instance. Call Start next.
func NewRouter(s Settings, seed uint64) *Router {
	r := &Router{
		s: s, rng: rand.New(rand.NewPCG(seed, 0)),
		hosts: map[HostID]*host{}, open: map[RequestID]*request{}, flying: map[attemptKey]*attempt{},
		table: map[objectPart]*entry{}, purged: map[ObjectID]time.Duration{}, flushed: map[int]time.Duration{},
		class:    map[string]int{},
		meanSend: make([]float64, len(s.Classes)), linkUse: linkFull,
	}
	for i, c := range s.Classes {
		r.class[c.Name] = i
	}
	return r
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func bool01(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }

func (r *Router) after(d time.Duration, t Timer) { r.do(SetTimer{Delay: max(d, 0), Timer: t}) }

func (r *Router) settings(q *request) *Class { return &r.s.Classes[q.class] }

func (r *Router) unhold(q *request) {
	if e := q.held; e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(w *request) bool { return w == q })
		q.held = nil
	}
}

// latest is the later of a time and the one that m holds for k, if any.
func latest[K comparable](m map[K]time.Duration, k K, at time.Duration) time.Duration {
	if old, ok := m[k]; ok {
		return max(old, at)
	}
	return at
}

// forget drops what m holds from before a time.
func forget[K comparable](m map[K]time.Duration, before time.Duration) {
	for k, at := range m {
		if at < before {
			delete(m, k)
		}
	}
}

// meter measures what comes in by the second.
type meter struct{ sum, rate float64 }

// measure moves the rate towards what has come in over dt seconds and starts anew.
func (m *meter) measure(dt, weight float64) {
	m.rate += weight * (m.sum/dt - m.rate)
	m.sum = 0
}

// SlowStartDemand tells of each listed cold host what this instance would send there, as a part of what all may.
func (r *Router) SlowStartDemand(f func(h HostID, demand float64)) {
	usual := &request{send: seconds(r.meanSend[0])}
	for _, peers := range [][]*host{r.caches, r.parents} {
		for _, h := range peers {
			rate, _, _, cold := r.coldRate(h, usual)
			if !cold || !h.listed || rate <= 0 {
				continue
			}
			sharing, demand := r.alike, r.demand.rate/float64(len(peers))
			if slices.Contains(r.parents, h) {
				sharing, demand = max(1, float64(r.s.Directors)), demand*r.missRate()
			}
			f(h.Host, demand/(rate/cmp.Or(h.part, 1/sharing)))
		}
	}
}

// HostOutcomes tells what was seen of each host since it was asked last: outcomes, how many of them were bad, and its smoothed
// overhead in seconds.
func (r *Router) HostOutcomes(f func(h HostID, tried, failed, lag float64)) {
	for id, h := range r.hosts {
		if h.tried > 0 {
			f(id, h.tried, h.failed, max(0, cmp.Or(h.ttfb, h.lag)))
			h.tried, h.failed = 0, 0
		}
	}
}
