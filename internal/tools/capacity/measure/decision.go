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
		Name:    "director.time.purge",
		About:   "a purge in the decision module with so many requests open",
		XUnit:   "open request",
		Unit:    capacity.Seconds,
		Sizes:   []int{250, 500, 1000, 2000, 4000},
		ValueAt: purgeTime,
	},
	{
		Name:    "director.memory.open",
		About:   "heap of the decision module with so many requests open",
		XUnit:   "open request",
		Unit:    capacity.Bytes,
		Sizes:   []int{250, 500, 1000, 2000, 4000},
		ValueAt: openHeap,
	},
	{
		Name:    "director.memory.served",
		About:   "heap of the decision module that has served so many different objects, one after another",
		XUnit:   "object served",
		Unit:    capacity.Bytes,
		Sizes:   []int{10_000, 20_000, 40_000, 80_000, 160_000},
		ValueAt: servedHeap,
	},
}

// decisionModule runs a router with the caches of one zone, two parent caches and an origin.
type decisionModule struct {
	router     *decision.Router
	now        time.Duration
	nextUpkeep time.Duration // when the router's next upkeep is due
	requests   int           // requests sent so far
}

func newDecisionModule() *decisionModule {
	m := &decisionModule{router: decision.NewRouter(directorSettings(expectedDirectors), 1), now: time.Hour}
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

// handleActions records when the next upkeep of the router is due, and returns the attempts that the router starts.
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

// sendRequest sends the router a request for an object that has not been requested before and returns the attempts that it starts.
func (m *decisionModule) sendRequest() []decision.StartAttempt {
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

// newModuleWithOpenRequests returns a module with the given number of requests in flight, each with one unanswered attempt.
func newModuleWithOpenRequests(count int) (*decisionModule, error) {
	m := newDecisionModule()
	attempts := 0
	for range count {
		attempts += len(m.sendRequest())
	}
	if attempts != count {
		return nil, fmt.Errorf("%d of %d requests have an open attempt", attempts, count)
	}
	return m, nil
}

func purgeTime(open int) (float64, error) {
	m, err := newModuleWithOpenRequests(open)
	if err != nil {
		return 0, err
	}
	return timePerOperation(func(n int) {
		object := decision.ObjectID(0xd1b54a32d192ed03 * uint64(n%1000+1))
		m.router.Handle(m.now, decision.Purge{Object: object})
	}), nil
}

func openHeap(open int) (float64, error) {
	var err error
	heap := retainedHeap(func() any {
		var m *decisionModule
		m, err = newModuleWithOpenRequests(open)
		return m
	})
	return heap, err
}

// servedHeap returns the heap of a module that has served the given number of objects, one after another, each in 1 ms of simulated
// time and with the router's upkeep. The result is in bytes.
func servedHeap(objects int) (float64, error) {
	var serveErr error
	heap := retainedHeap(func() any {
		m := newDecisionModule()
		for range objects {
			if serveErr = m.serveRequest(); serveErr != nil {
				break
			}
		}
		return m
	})
	return heap, serveErr
}

// serveRequest sends the router a request and reports the result of its attempt after 1 ms of simulated time. It runs the upkeep if
// it is due.
func (m *decisionModule) serveRequest() error {
	attempts := m.sendRequest()
	m.now += time.Millisecond
	if len(attempts) != 1 {
		return fmt.Errorf("router started %d attempts for one request", len(attempts))
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
