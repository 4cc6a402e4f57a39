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
	attemptsAt    []time.Duration // times of the attempts at the cache that restarted
	lastID        int
	linkTransfers float64 // listed capacity of each cache, in concurrent transfers
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
	f.execute(i, r, r.Start(f.now))
	f.handle(i, r, EndpointUpdate{Kind: UpdateCached, Endpoints: f.endpoints})
}

func (f *directorFleet) handle(i int, r *Router, ev Event) {
	if f.directors[i] == r { // otherwise the director was restarted in the meantime
		f.execute(i, r, r.Handle(f.now, ev))
	}
}

func (f *directorFleet) execute(i int, r *Router, actions []Action) {
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

// sendRequests schedules the arrival of requests at a director, at the given rate per second until the
// given time. Their sizes vary widely.
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

// restartCache restarts the first cache and sends the update to all directors.
func (f *directorFleet) restartCache() {
	f.restartedAt = f.now
	f.endpoints[1].StartedAt = f.now
	f.attemptsAt = nil
	for i, r := range f.directors {
		f.handle(i, r, EndpointUpdate{Kind: UpdateDelta, Version: 2, Endpoints: f.endpoints[1:2]})
	}
}

// worstWindow returns the attempts, the budget and the bound of the window in which the attempts at
// the restarted cache exceed the bound the most, and the average used share of the budget over all
// windows. The bound is the budget plus an allowance for random variation.
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
		// The capacity rises linearly, so its mean over the window is the value at the middle.
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

// Guards against overloading a restarted cache by the sum of the attempts of all directors. The
// scenarios have one to thirty directors, with demand that is even, comes mostly from one director or
// starts all at once, answers that fail and are retried, and directors that restart while the cache
// warms up.
func TestSlowStartBudgetOfAllDirectors(t *testing.T) {
	demand := 0.0 // requests per second for all four caches; more than the restarted cache can take
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
			for step := range 10 { // restart a tenth of the directors at a time
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
					if name != "idle, then all at once" { // the directors have served requests before
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
						t.Errorf("seed %d: %.0f attempts in a window, budget %.1f, want at most %.1f", seed, attempts, budget, bound)
					}
				}
				t.Logf("used share of the budget, by seed: %v", used)
			})
		}
	}
}
