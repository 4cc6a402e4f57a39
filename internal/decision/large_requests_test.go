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

func (w *linkSimulation) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SetTimer:
			w.after(a.Delay, func() { w.execute(w.router.Handle(w.now, TimerFired{a.Timer})) })
		case StartAttempt:
			w.serve(a)
		}
	}
}

func (w *linkSimulation) serve(a StartAttempt) {
	q := w.router.requests[a.Request]
	number := len(q.attempts) - 1
	sentAt := w.now
	w.attemptsInFlight[a.Host]++
	slowdown := max(1, w.attemptsInFlight[a.Host]/w.linkTransfers)
	took := 20*time.Millisecond + time.Duration(slowdown*float64(q.sendTime))
	deadline := q.deadline
	w.after(min(took, deadline-w.now), func() {
		w.attemptsInFlight[a.Host]--
		status := OK
		if w.now >= deadline && took > deadline-sentAt {
			status = TimedOut
		}
		if _, isOpen := w.router.requests[a.Request]; isOpen && status == OK {
			w.requests[w.index[a.Request]].answered = true
		}
		w.execute(w.router.Handle(w.now, AttemptResult{
			Request: a.Request, Terminal: status == OK, Host: a.Host, Attempt: number, Status: status, CacheStatus: CacheStatusHit,
			Elapsed: w.now - sentAt,
		}))
	})
}

// Guards against starvation of large requests. For the largest tenth of a class, the share of
// requests that are answered must be at least two thirds of the class's share under low load, and at
// least half of it while links are full or overloaded.
func TestLargeRequestsGetTheirShare(t *testing.T) {
	for _, day := range []struct {
		name     string
		load     float64 // as a multiple of the capacity of the links
		minShare float64 // answered share of the largest requests, as a multiple of that of the class
	}{{"calm", 0.5, 2. / 3}, {"full", 1, 0.5}, {"short", 1.6, 0.5}} {
		t.Run(day.name, func(t *testing.T) {
			var shares []float64
			for seed := range uint64(5) {
				s := testSettings()
				s.HedgedRequests = false
				s.Directors = 1
				s.DirectorsByZone = []int{0, 1}
				w := &linkSimulation{
					simulation:       simulation{now: time.Hour},
					router:           NewRouter(s, seed),
					random:           rand.New(rand.NewPCG(seed, 11)),
					attemptsInFlight: map[HostID]float64{},
					linkTransfers:    6,
					index:            map[RequestID]int{},
				}
				w.execute(w.router.Start(w.now))
				w.execute(w.router.Handle(w.now, EndpointUpdate{Kind: UpdateCached, Endpoints: testEndpoints()}))
				until := w.now + 40*time.Second
				rate := day.load * 3 * w.linkTransfers / meanSendTime.Seconds()
				var arrive func()
				arrive = func() {
					const sigma = 1.1
					sizeKB := min(meanSendTime.Seconds()*s.FlowKBPerS*math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2), 2000)
					id := RequestID(fmt.Sprint(len(w.requests)))
					w.index[id] = len(w.requests)
					w.requests = append(w.requests, sizedRequest{sizeKB: sizeKB})
					w.execute(w.router.Handle(w.now, Request{
						ID: id, Object: ObjectID(w.random.Uint64()), Class: "clip", SizeKB: sizeKB, TimeLeft: 4 * time.Second,
					}))
					if w.now < until {
						w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), arrive)
					}
				}
				arrive()
				w.run(until + 5*time.Second)
				slices.SortFunc(w.requests, func(a, b sizedRequest) int { return int(math.Copysign(1, b.sizeKB-a.sizeKB)) })
				share := func(part []sizedRequest) float64 {
					n := 0.0
					for _, x := range part {
						n += indicator(x.answered)
					}
					return n / float64(len(part))
				}
				all := share(w.requests)
				tenth := share(w.requests[:len(w.requests)/10])
				fifth := share(w.requests[len(w.requests)/10 : len(w.requests)*3/10])
				shares = append(shares, math.Round(100*all)/100, math.Round(100*tenth/all)/100, math.Round(100*fifth/all)/100)
				if min(tenth, fifth) < day.minShare*all {
					t.Errorf("seed %d: answered shares: %.2f of all requests, %.2f of the largest tenth, %.2f of the next fifth",
						seed, all, tenth, fifth)
				}
			}
			t.Logf("answered share of the class, and of the largest tenth and the next fifth relative to it, by seed: %v", shares)
		})
	}
}
