package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// linkSimulation simulates a director in front of caches with low-bandwidth links. The attempts in flight
// share a link equally, so that an answer is slowed down by the factor by which they exceed the
// capacity of the link.
type linkSimulation struct {
	simulation
	router           *Router
	random           *rand.Rand
	attemptsInFlight map[HostID]float64
	linkTransfers    float64 // capacity of a link, in transfers at full rate
	requests         []sizedRequest
	index            map[RequestID]int
}

type sizedRequest struct {
	sizeKB   float64
	answered bool
}

func (l *linkSimulation) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SetTimer:
			l.after(a.Delay, func() { l.execute(l.router.Handle(l.now, TimerFired{a.Timer})) })
		case StartAttempt:
			l.serve(a)
		}
	}
}

func (l *linkSimulation) serve(a StartAttempt) {
	q := l.router.requests[a.Request]
	number := len(q.attempts) - 1
	sentAt := l.now
	l.attemptsInFlight[a.Host]++
	slowdown := max(1, l.attemptsInFlight[a.Host]/l.linkTransfers)
	took := 20*time.Millisecond + time.Duration(slowdown*float64(q.sendTime))
	deadline := q.deadline
	l.after(min(took, deadline-l.now), func() {
		l.attemptsInFlight[a.Host]--
		status := OK
		if l.now >= deadline && took > deadline-sentAt {
			status = TimedOut
		}
		if _, isOpen := l.router.requests[a.Request]; isOpen && status == OK {
			l.requests[l.index[a.Request]].answered = true
		}
		l.execute(l.router.Handle(l.now, AttemptResult{
			Request: a.Request, Terminal: status == OK, Host: a.Host, Attempt: number, Status: status, CacheStatus: CacheStatusHit,
			Elapsed: l.now - sentAt,
		}))
	})
}

// Guards against starvation of large requests. For the largest tenth of a class and for the next
// fifth, the share of requests that are answered must be at least two thirds of the class's share
// under low load, and at least half of it while links are full or overloaded.
func TestLargeRequestsGetTheirShare(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		load     float64 // as a multiple of the capacity of the links
		minShare float64 // answered share of the largest requests, as a multiple of that of the class
	}{{"low load", 0.5, 2. / 3}, {"full links", 1, 0.5}, {"overload", 1.6, 0.5}} {
		t.Run(scenario.name, func(t *testing.T) {
			var shares []float64
			for seed := range uint64(5) {
				s := testSettings()
				s.HedgedRequests = false
				s.Directors = 1
				s.DirectorsByZone = []int{0, 1}
				sim := &linkSimulation{
					simulation:       simulation{now: time.Hour},
					router:           NewRouter(s, seed),
					random:           rand.New(rand.NewPCG(seed, 11)),
					attemptsInFlight: map[HostID]float64{},
					linkTransfers:    6,
					index:            map[RequestID]int{},
				}
				sim.execute(sim.router.Start(sim.now))
				sim.execute(sim.router.Handle(sim.now, EndpointUpdate{Kind: UpdateCached, Endpoints: testEndpoints()}))
				until := sim.now + 40*time.Second
				rate := scenario.load * 3 * sim.linkTransfers / meanSendTime.Seconds()
				var arrive func()
				arrive = func() {
					const sigma = 1.1
					sizeKB := min(meanSendTime.Seconds()*s.FlowKBPerS*math.Exp(sigma*sim.random.NormFloat64()-sigma*sigma/2), 2000)
					id := RequestID(fmt.Sprint(len(sim.requests)))
					sim.index[id] = len(sim.requests)
					sim.requests = append(sim.requests, sizedRequest{sizeKB: sizeKB})
					sim.execute(sim.router.Handle(sim.now, Request{
						ID: id, Object: ObjectID(sim.random.Uint64()), Class: "clip", SizeKB: sizeKB, TimeLeft: 4 * time.Second,
					}))
					if sim.now < until {
						sim.after(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), arrive)
					}
				}
				arrive()
				sim.run(until + 5*time.Second)
				slices.SortFunc(sim.requests, func(a, b sizedRequest) int { return int(math.Copysign(1, b.sizeKB-a.sizeKB)) })
				share := func(part []sizedRequest) float64 {
					n := 0.0
					for _, x := range part {
						n += indicator(x.answered)
					}
					return n / float64(len(part))
				}
				all := share(sim.requests)
				tenth := share(sim.requests[:len(sim.requests)/10])
				fifth := share(sim.requests[len(sim.requests)/10 : len(sim.requests)*3/10])
				shares = append(shares, math.Round(100*all)/100, math.Round(100*tenth/all)/100, math.Round(100*fifth/all)/100)
				if min(tenth, fifth) < scenario.minShare*all {
					t.Errorf("seed %d: answered shares: %.2f of all requests, %.2f of the largest tenth, %.2f of the next fifth",
						seed, all, tenth, fifth)
				}
			}
			t.Logf("answered share of the class, and of the largest tenth and the next fifth relative to it, by seed: %v", shares)
		})
	}
}
