package stairvane_test

import (
	"fmt"
	"time"

	"stairvane.org/stairvane"
)

// A dispatcher makes one Router, hands it events as they happen, and carries out the actions in order.
func Example() {
	router := stairvane.NewRouter(stairvane.Settings{
		Zone: "west", Kinds: []string{"cache", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		FlowKBPerS: 5000, Joins: true, Tells: stairvane.TellsAll, MaxAttempts: 4,
		Classes: []stairvane.Class{{
			Name: "clips", Aim: 400 * time.Millisecond, AimStretch: 2, Deadline: 5 * time.Second, Worth: 1,
			Effect: stairvane.Safe,
		}},
	}, 42)
	began := time.Now()
	carryOut := func(actions []stairvane.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case stairvane.Obtain:
				fmt.Printf("ask %d for %s, fill from %d\n", a.Host, a.Request, a.Source)
			case stairvane.Deny:
				fmt.Printf("refuse %s\n", a.Request)
			case stairvane.After:
				// start a timer that hands the router an Alarm with a.Token
			}
		}
	}
	carryOut(router.Start(time.Since(began)))
	carryOut(router.Handle(time.Since(began), stairvane.Topology{
		Kind: stairvane.ListAll,
		Members: []stairvane.Member{
			{Host: 11, Zone: "west", Kind: "cache", Readiness: stairvane.Ready},
			{Host: 21, Zone: "hub", Kind: "parent", Readiness: stairvane.Ready},
			{Host: 31, Zone: "hub", Kind: "origin", Readiness: stairvane.Ready},
		},
	}))
	carryOut(router.Handle(time.Since(began), stairvane.Query{
		Request: "r1", Object: 7, Class: "clips", SizeKB: 900, TimeLeft: 5 * time.Second,
	}))
	// Output: ask 11 for r1, fill from 21
}
