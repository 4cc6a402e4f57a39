package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// directorFleet simulates directors in front of four caches, one of which restarts. The caches only
// count attempts.
type directorFleet struct {
	simulation
	settings      Settings
	random        *rand.Rand
	directors     []*Router
	restartedAt   time.Duration
	endpoints     []Endpoint
	attemptsAt    []time.Duration // times of the attempts at the restarted cache
	lastID        int
	linkTransfers float64 // of each cache, in transfers at a time, as listed
	failureShare  float64 // share of the restarted cache's answers that fail and are retried
}

const (
	meanSendTime  = 200 * time.Millisecond
	restartedHost = HostID(100)
)

func newDirectorFleet(seed uint64, directors int, linkTransfers float64) *directorFleet {
	s := testSettings()
	s.WeightMode = WeightModeNominal
	s.Directors = directors
	s.DirectorsByZone = []int{0, directors}
	s.CacheSlowStart = SlowStart{InitialShare: 0.17, WarmUp: 16 * time.Second, OverloadFactor: 4, Window: 3 * time.Second}
	s.HedgedRequests = false
	f := &directorFleet{
		simulation:    simulation{now: time.Hour},
		settings:      s,
		random:        rand.New(rand.NewPCG(seed, 9)),
		linkTransfers: linkTransfers,
	}
	f.endpoints = []Endpoint{{Host: 900, Zone: "hub", Kind: "origin", Readiness: Ready, Weight: 1000}}
	for i := range 4 {
		f.endpoints = append(f.endpoints, Endpoint{
			Host: restartedHost + HostID(i), Zone: "west", Kind: "cache", Cell: i, Readiness: Ready, Weight: linkTransfers,
		})
	}
	for i := range directors {
		f.directors = append(f.directors, nil)
		f.restartDirector(i)
	}
	return f
}

func (f *directorFleet) restartDirector(i int) {
	r := NewRouter(f.settings, f.random.Uint64())
	f.directors[i] = r
	f.carryOut(i, r, r.Start(f.now))
	f.handle(i, r, EndpointUpdate{Kind: UpdateCached, Endpoints: f.endpoints})
}

func (f *directorFleet) handle(i int, r *Router, ev Event) {
	if f.directors[i] == r { // else it was restarted meanwhile
		f.carryOut(i, r, r.Handle(f.now, ev))
	}
}

func (f *directorFleet) carryOut(i int, r *Router, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SetTimer:
			f.after(a.Delay, func() { f.handle(i, r, TimerFired{a.Timer}) })
		case StartAttempt:
			f.serve(i, r, a)
		}
	}
}

func (f *directorFleet) serve(i int, r *Router, a StartAttempt) {
	q := r.requests[a.Request]
	number := len(q.attempts) - 1
	if a.Host == restartedHost {
		f.attemptsAt = append(f.attemptsAt, f.now)
	}
	took := 20*time.Millisecond + q.sendTime
	fails := a.Host == restartedHost && f.random.Float64() < f.failureShare
	f.after(took, func() {
		e := AttemptResult{
			Request: a.Request, Terminal: !fails, Host: a.Host, Attempt: number, Status: OK, CacheStatus: CacheStatusHit,
			Elapsed: took,
		}
		if fails {
			e.Status = Failed
			e.CacheStatus = CacheStatusNone
		}
		f.handle(i, r, e)
	})
}

// sendRequests has requests arrive at a director at a rate per second. Their sizes vary widely.
func (f *directorFleet) sendRequests(i int, rate float64, until time.Duration) {
	var arrive func()
	arrive = func() {
		if f.now >= until {
			return
		}
		const sigma = 1.2
		sizeKB := meanSendTime.Seconds() * f.settings.FlowKBPerS * math.Exp(sigma*f.random.NormFloat64()-sigma*sigma/2)
		f.lastID++
		f.handle(i, f.directors[i], Request{
			ID: RequestID(fmt.Sprint("r", f.lastID)), Object: ObjectID(f.random.Uint64()), Class: "clip",
			SizeKB: min(sizeKB, 1200), TimeLeft: 4 * time.Second,
		})
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), arrive)
}

// restartCache restarts the first cache and updates all directors.
func (f *directorFleet) restartCache() {
	f.restartedAt = f.now
	f.endpoints[1].StartedAt = f.now
	f.attemptsAt = nil
	for i, r := range f.directors {
		f.handle(i, r, EndpointUpdate{Kind: UpdateDelta, Version: 2, Endpoints: f.endpoints[1:2]})
	}
}

// worstWindow finds the window in which the restarted cache got most attempts beyond its budget,
// and which share of all windows' budgets was used. The bound is the budget with an allowance for
// chance.
func (f *directorFleet) worstWindow() (attempts, budget, bound, used float64) {
	rule := f.settings.CacheSlowStart
	worstExcess := math.Inf(-1)
	usedSum := 0.0
	windows := 0
	for from := f.restartedAt; from+rule.Window <= f.restartedAt+rule.WarmUp; from += 50 * time.Millisecond {
		inWindow := 0.0
		for _, at := range f.attemptsAt {
			if at >= from && at < from+rule.Window {
				inWindow++
			}
		}
		// The capacity rises linearly; the mean of the window counts.
		age := (from - f.restartedAt + rule.Window/2).Seconds() / rule.WarmUp.Seconds()
		share := rule.InitialShare + (1-rule.InitialShare)*age
		windowBudget := rule.OverloadFactor * share * f.linkTransfers * rule.Window.Seconds() / meanSendTime.Seconds()
		windowBound := windowBudget + 2*math.Sqrt(windowBudget) + 2
		usedSum += inWindow / windowBudget
		windows++
		if excess := inWindow - windowBound; excess > worstExcess {
			worstExcess = excess
			attempts = inWindow
			budget = windowBudget
			bound = windowBound
		}
	}
	return attempts, budget, bound, usedSum / float64(windows)
}

// A restarted cache gets attempts of all directors and must bear their sum, whether there is one
// director or thirty, demand is even, nearly all one director's, or comes all at once, answers fail
// and are retried, or directors restart while the cache warms up.
func TestSlowStartBudgetOfAllDirectors(t *testing.T) {
	demand := 0.0 // requests per second for all four caches, more than the restarted one can take
	scenarios := map[string]func(f *directorFleet, until time.Duration){
		"even": func(f *directorFleet, until time.Duration) {
			for i := range f.directors {
				f.sendRequests(i, demand/float64(len(f.directors)), until)
			}
		},
		"uneven": func(f *directorFleet, until time.Duration) {
			for i := range f.directors {
				rate := 0.2 * demand / float64(len(f.directors))
				if i == 0 {
					rate += 0.8 * demand
				}
				f.sendRequests(i, rate, until)
			}
		},
		"idle, then all at once": func(f *directorFleet, until time.Duration) {
			f.after(8*time.Second, func() {
				for i := range f.directors {
					f.sendRequests(i, 2*demand/float64(len(f.directors)), until)
				}
			})
		},
		"restarts": func(f *directorFleet, until time.Duration) {
			for i := range f.directors {
				f.sendRequests(i, demand/float64(len(f.directors)), until)
			}
			for step := range 10 { // a tenth at a time
				f.after(time.Duration(4+step)*time.Second, func() {
					for i := range f.directors {
						if i*10/len(f.directors) == step {
							f.restartDirector(i)
						}
					}
				})
			}
		},
		"all restarted": func(f *directorFleet, until time.Duration) {
			for i := range f.directors {
				f.sendRequests(i, demand/float64(len(f.directors)), until)
			}
			f.after(5*time.Second, func() {
				for i := range f.directors {
					f.restartDirector(i)
				}
			})
		},
		"failures": func(f *directorFleet, until time.Duration) {
			f.failureShare = 0.5
			for i := range f.directors {
				f.sendRequests(i, demand/float64(len(f.directors)), until)
			}
		},
	}
	for name, scenario := range scenarios {
		for _, size := range []struct {
			directors     int
			linkTransfers float64
		}{{1, 8}, {4, 8}, {20, 8}, {30, 8}, {4, 0.5}, {20, 0.5}, {30, 0.5}} {
			demand = 50 * size.linkTransfers
			t.Run(fmt.Sprintf("%s/%d before %v", name, size.directors, size.linkTransfers), func(t *testing.T) {
				var used []float64
				for seed := range uint64(4) {
					f := newDirectorFleet(seed, size.directors, size.linkTransfers)
					until := f.now + 22*time.Second
					if name != "idle, then all at once" { // the directors have run for a while
						for i := range f.directors {
							f.sendRequests(i, 20/float64(size.directors), f.now+3*time.Second)
						}
					}
					f.after(3*time.Second, func() {
						f.restartCache()
						scenario(f, until)
					})
					f.run(until)
					attempts, budget, bound, share := f.worstWindow()
					used = append(used, math.Round(100*share)/100)
					if attempts > bound {
						t.Errorf("seed %d: %.0f attempts in a window that bears %.1f, %.1f with chance", seed, attempts, budget, bound)
					}
				}
				t.Logf("used share of the budget, by seed: %v", used)
			})
		}
	}
}
