package decision

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// What all instances together send a cold cache is the sum that it bears. These tests play whole fleets of instances, each with its
// own clock of events, against caches that only count.

// due is something that happens in a fleet at a time.
type due struct {
	at time.Duration
	do func()
}

type agenda []due

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// coldFleet is a fleet of instances before four caches, one of which starts cold.
type coldFleet struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	agenda  agenda
	nodes   []*Router
	started time.Duration
	list    []Endpoint
	calls   []time.Duration // that reached the cold cache
	wanted  int             // requests in all
	next    int
	link    float64 // of each cache, in transfers at a time, as listed
	fails   float64 // share of answers of the cold cache that fail, so that they are repeated
}

const (
	meanSend = 200 * time.Millisecond
	coldHost = HostID(100)
)

func newColdFleet(seed uint64, nodes int, link float64) *coldFleet {
	s := site()
	s.WeightMode, s.Directors, s.DirectorsByZone = WeightModeNominal, nodes, []int{0, nodes}
	s.CacheSlowStart = SlowStart{InitialShare: 0.17, WarmUp: 16 * time.Second, OverloadFactor: 4, Window: 3 * time.Second}
	s.HedgedRequests = false
	f := &coldFleet{s: s, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, link: link}
	f.list = []Endpoint{{Host: 900, Zone: "hub", Kind: "origin", Readiness: Ready, Weight: 1000}}
	for i := range 4 {
		f.list = append(f.list, Endpoint{Host: coldHost + HostID(i), Zone: "west", Kind: "cache", Cell: i, Readiness: Ready, Weight: link})
	}
	for i := range nodes {
		f.nodes = append(f.nodes, nil)
		f.restart(i)
	}
	return f
}

func (f *coldFleet) after(d time.Duration, do func()) { heap.Push(&f.agenda, due{f.now + d, do}) }

func (f *coldFleet) run(until time.Duration) {
	for len(f.agenda) > 0 && f.agenda[0].at <= until {
		x := heap.Pop(&f.agenda).(due)
		f.now = x.at
		x.do()
	}
	f.now = until
}

func (f *coldFleet) restart(i int) {
	r := NewRouter(f.s, f.rng.Uint64())
	f.nodes[i] = r
	f.act(i, r, r.Start(f.now))
	f.on(i, r, EndpointUpdate{Kind: UpdateCached, Endpoints: f.list})
}

func (f *coldFleet) on(i int, r *Router, ev Event) {
	if f.nodes[i] == r { // else it was restarted meanwhile
		f.act(i, r, r.Handle(f.now, ev))
	}
}

func (f *coldFleet) act(i int, r *Router, acts []Action) {
	for _, action := range acts {
		switch a := action.(type) {
		case SetTimer:
			f.after(a.Delay, func() { f.on(i, r, TimerFired{a.Timer}) })
		case StartAttempt:
			f.obtain(i, r, a)
		}
	}
}

func (f *coldFleet) obtain(i int, r *Router, a StartAttempt) {
	q := r.requests[a.Request]
	n := len(q.attempts) - 1
	if a.Host == coldHost {
		f.calls = append(f.calls, f.now)
	}
	took := 20*time.Millisecond + q.sendTime
	bad := a.Host == coldHost && f.rng.Float64() < f.fails
	f.after(took, func() {
		e := AttemptResult{Request: a.Request, Terminal: !bad, Host: a.Host, Attempt: n, Status: OK, CacheStatus: CacheStatusHit, Elapsed: took}
		if bad {
			e.Status, e.CacheStatus = Failed, CacheStatusNone
		}
		f.on(i, r, e)
	})
}

// ask has requests come to an instance, so many a second, of sizes that vary widely.
func (f *coldFleet) ask(i int, rate float64, until time.Duration) {
	var one func()
	one = func() {
		if f.now >= until {
			return
		}
		const sigma = 1.2
		kb := meanSend.Seconds() * f.s.FlowKBPerS * math.Exp(sigma*f.rng.NormFloat64()-sigma*sigma/2)
		f.next++
		f.wanted++
		f.on(i, f.nodes[i], Request{
			ID: RequestID(fmt.Sprint("r", f.next)), Object: ObjectID(f.rng.Uint64()), Class: "clip",
			SizeKB: min(kb, 1200), TimeLeft: 4 * time.Second,
		})
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), one)
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), one)
}

// startCold replaces the first cache by a cold one and tells everybody.
func (f *coldFleet) startCold() {
	f.started = f.now
	f.list[1].StartedAt = f.now
	f.calls = nil
	for i, r := range f.nodes {
		f.on(i, r, EndpointUpdate{Kind: UpdateDelta, Version: 2, Endpoints: f.list[1:2]})
	}
}

// worst finds the window in which the cold cache got most beyond what it bears, and what share of all windows' budgets was used.
func (f *coldFleet) worst() (calls, budget, bound, used float64) {
	rule, worstOver := f.s.CacheSlowStart, math.Inf(-1)
	sum, windows := 0.0, 0
	for from := f.started; from+rule.Window <= f.started+rule.WarmUp; from += 50 * time.Millisecond {
		n := 0.0
		for _, at := range f.calls {
			if at >= from && at < from+rule.Window {
				n++
			}
		}
		// What it can do rises in a line; the mean of the window counts.
		age := (from - f.started + rule.Window/2).Seconds() / rule.WarmUp.Seconds()
		b := rule.OverloadFactor * (rule.InitialShare + (1-rule.InitialShare)*age) * f.link * rule.Window.Seconds() / meanSend.Seconds()
		sum, windows = sum+n/b, windows+1
		if over := n - (b + 2*math.Sqrt(b) + 2); over > worstOver {
			worstOver, calls, budget, bound = over, n, b, b+2*math.Sqrt(b)+2
		}
	}
	return calls, budget, bound, sum / float64(windows)
}

// Cold caches bear the sum over all instances, whether there is one or thirty, demand is even or nearly all one instance's, comes all
// at once, fails and is repeated, or instances are restarted while it warms up.
func TestAColdCacheBearsTheSum(t *testing.T) {
	demand := 0.0 // requests a second in all, for four caches: more than a cold one can take
	stories := map[string]func(f *coldFleet, until time.Duration){
		"even": func(f *coldFleet, until time.Duration) {
			for i := range f.nodes {
				f.ask(i, demand/float64(len(f.nodes)), until)
			}
		},
		"uneven": func(f *coldFleet, until time.Duration) {
			for i := range f.nodes {
				rate := 0.2 * demand / float64(len(f.nodes))
				if i == 0 {
					rate += 0.8 * demand
				}
				f.ask(i, rate, until)
			}
		},
		"idle, then all at once": func(f *coldFleet, until time.Duration) {
			f.after(8*time.Second, func() {
				for i := range f.nodes {
					f.ask(i, 2*demand/float64(len(f.nodes)), until)
				}
			})
		},
		"restarts": func(f *coldFleet, until time.Duration) {
			for i := range f.nodes {
				f.ask(i, demand/float64(len(f.nodes)), until)
			}
			for step := range 10 { // a tenth at a time
				f.after(time.Duration(4+step)*time.Second, func() {
					for i := range f.nodes {
						if i*10/len(f.nodes) == step {
							f.restart(i)
						}
					}
				})
			}
		},
		"all restarted": func(f *coldFleet, until time.Duration) {
			for i := range f.nodes {
				f.ask(i, demand/float64(len(f.nodes)), until)
			}
			f.after(5*time.Second, func() {
				for i := range f.nodes {
					f.restart(i)
				}
			})
		},
		"failures": func(f *coldFleet, until time.Duration) {
			f.fails = 0.5
			for i := range f.nodes {
				f.ask(i, demand/float64(len(f.nodes)), until)
			}
		},
	}
	for name, story := range stories {
		for _, size := range []struct {
			nodes int
			link  float64
		}{{1, 8}, {4, 8}, {20, 8}, {30, 8}, {4, 0.5}, {20, 0.5}, {30, 0.5}} {
			nodes := size.nodes
			demand = 50 * size.link
			t.Run(fmt.Sprintf("%s/%d before %v", name, nodes, size.link), func(t *testing.T) {
				var used []float64
				for seed := range uint64(4) {
					f := newColdFleet(seed, nodes, size.link)
					until := f.now + 22*time.Second
					if name != "idle, then all at once" { // a fleet that has run for a while
						for i := range f.nodes {
							f.ask(i, 20/float64(nodes), f.now+3*time.Second)
						}
					}
					f.after(3*time.Second, func() {
						f.startCold()
						story(f, until)
					})
					f.run(until)
					calls, budget, bound, share := f.worst()
					used = append(used, math.Round(100*share)/100)
					if calls > bound {
						t.Errorf("seed %d: %.0f calls in a window that bears %.1f, %.1f with chance", seed, calls, budget, bound)
					}
				}
				t.Logf("carried of the budget, by seed: %v", used)
			})
		}
	}
}
