package decision_test

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// A director creates one Router, passes it events as they occur, and carries out the returned actions
// in order.
func Example() {
	router := decision.NewRouter(decision.Settings{
		Zone: "west", Kinds: []string{"cache", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		FlowKBPerS: 5000, JoinsFills: true, CacheStatusMode: decision.CacheStatusModeAll, MaxAttempts: 4,
		Classes: []decision.Class{{
			Name: "clips", LatencyObjective: 400 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second,
			Idempotency: decision.Idempotent,
		}},
	}, 42)
	start := time.Now()
	execute := func(actions []decision.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case decision.StartAttempt:
				fmt.Printf("ask %d for %s, fill from %d\n", a.Host, a.Request, a.Source)
			case decision.Reject:
				fmt.Printf("reject %s\n", a.Request)
			case decision.SetTimer:
				// start a timer that passes a TimerFired with a.Timer to the router after a.Delay
			}
		}
	}
	execute(router.Start(time.Since(start)))
	execute(router.Handle(time.Since(start), decision.EndpointUpdate{
		Kind: decision.UpdateSnapshot,
		Endpoints: []decision.Endpoint{
			{Host: 11, Zone: "west", Kind: "cache", Readiness: decision.Ready},
			{Host: 21, Zone: "hub", Kind: "parent", Readiness: decision.Ready},
			{Host: 31, Zone: "hub", Kind: "origin", Readiness: decision.Ready},
		},
	}))
	execute(router.Handle(time.Since(start), decision.Request{
		ID: "r1", Object: 7, Class: "clips", SizeKB: 900, TimeLeft: 5 * time.Second,
	}))
	// Output: ask 11 for r1, fill from 21
}
