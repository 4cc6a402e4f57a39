package measure

import (
	"fmt"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/tools/capacity"
)

var decisionMeasures = []Measure{
	{
		Name:  "director.time.purge",
		About: "a purge in the decision module with so many requests open",
		XUnit: "open request",
		Unit:  capacity.Seconds,
		Sizes: []int{250, 500, 1000, 2000, 4000},
		At:    purgeTime,
	},
	{
		Name:  "director.memory.open",
		About: "heap of the decision module with so many requests open",
		XUnit: "open request",
		Unit:  capacity.Bytes,
		Sizes: []int{250, 500, 1000, 2000, 4000},
		At:    openHeap,
	},
	{
		Name:  "director.memory.served",
		About: "heap of the decision module that has served so many different objects, one after another",
		XUnit: "object served",
		Unit:  capacity.Bytes,
		Sizes: []int{10_000, 20_000, 40_000, 80_000, 160_000},
		At:    servedHeap,
	},
}

// decisionModule is a router with the caches of one zone, two parents and an origin.
type decisionModule struct {
	router     *decision.Router
	now        time.Duration
	nextUpkeep time.Duration // when it asked to be woken next
	requests   int           // requests so far
}

func newDecisionModule() *decisionModule {
	m := &decisionModule{router: decision.NewRouter(settings(expectedDirectors), 1), now: time.Hour}
	m.handleActions(m.router.Start(m.now))
	endpoints := []decision.Endpoint{{Host: 900, Zone: "hub", Kind: "origin"}}
	for i := range 2 {
		endpoints = append(endpoints, decision.Endpoint{Host: decision.HostID(500 + i), Zone: "hub", Kind: "parent"})
	}
	for i := range cachesPerZone {
		endpoints = append(endpoints, decision.Endpoint{Host: decision.HostID(100 + i), Zone: zoneName(0), Kind: "cache", Cell: i})
	}
	for i := range endpoints {
		endpoints[i].Readiness = decision.Ready
		endpoints[i].Weight = 1
	}
	m.handleActions(m.router.Handle(m.now, decision.EndpointUpdate{
		Kind:      decision.UpdateSnapshot,
		Version:   1,
		Endpoints: endpoints,
	}))
	return m
}

// handleActions records when the router wants its upkeep, and returns the attempts that it starts.
func (m *decisionModule) handleActions(actions []decision.Action) (attempts []decision.StartAttempt) {
	for _, action := range actions {
		switch a := action.(type) {
		case decision.SetTimer:
			if a.Timer.Kind == decision.TimerUpkeep {
				m.nextUpkeep = m.now + a.Delay
			}
		case decision.StartAttempt:
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// request sends the router a request for an object that was not requested before.
func (m *decisionModule) request() []decision.StartAttempt {
	m.requests++
	return m.handleActions(m.router.Handle(m.now, decision.Request{
		ID:         decision.RequestID(strconv.Itoa(m.requests)),
		Object:     decision.ObjectID(0x9e3779b97f4a7c15 * uint64(m.requests)),
		PurgeGroup: m.requests % 251,
		Class:      "clips",
		SizeKB:     200,
		TimeLeft:   6 * time.Second,
	}))
}

// openRequests leaves requests in flight, each with an attempt that is not answered.
func openRequests(count int) (*decisionModule, error) {
	m := newDecisionModule()
	attempts := 0
	for range count {
		attempts += len(m.request())
	}
	if attempts != count {
		return nil, fmt.Errorf("%d of %d requests have an open attempt", attempts, count)
	}
	return m, nil
}

func purgeTime(open int) (float64, error) {
	m, err := openRequests(open)
	if err != nil {
		return 0, err
	}
	return timeOf(func(n int) {
		object := decision.ObjectID(0xd1b54a32d192ed03 * uint64(n%1000+1))
		m.router.Handle(m.now, decision.Purge{Object: object})
	}), nil
}

func openHeap(open int) (float64, error) {
	var err error
	heap := heapOf(func() any {
		var m *decisionModule
		m, err = openRequests(open)
		return m
	})
	return heap, err
}

// servedHeap serves one object after another, each in 1 ms of simulated time, with the router's upkeep.
func servedHeap(objects int) (float64, error) {
	var serveErr error
	heap := heapOf(func() any {
		m := newDecisionModule()
		for range objects {
			if serveErr = m.serve(); serveErr != nil {
				break
			}
		}
		return m
	})
	return heap, serveErr
}

// serve sends the router a request, and answers its attempt after 1 ms.
func (m *decisionModule) serve() error {
	attempts := m.request()
	m.now += time.Millisecond
	if len(attempts) != 1 {
		return fmt.Errorf("%d attempts for one request", len(attempts))
	}
	m.handleActions(m.router.Handle(m.now, decision.AttemptResult{
		Request:     attempts[0].Request,
		Terminal:    true,
		Host:        attempts[0].Host,
		Status:      decision.OK,
		CacheStatus: decision.CacheStatusHit,
		Elapsed:     time.Millisecond,
		FirstByte:   time.Millisecond,
	}))
	if m.now >= m.nextUpkeep {
		m.handleActions(m.router.Handle(m.now, decision.TimerFired{Timer: decision.Timer{Kind: decision.TimerUpkeep}}))
	}
	return nil
}
