package decision

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRandomEvents passes random events to a Router and checks the invariants that a single Router
// can guarantee.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		first := playRandomEvents(t, seed)
		second := playRandomEvents(t, seed)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: the same events led to different actions", seed)
		}
		if len(first) == 0 {
			t.Fatalf("seed %d: no actions", seed)
		}
	}
}

// playRandomEvents returns the actions that result from the random events of a seed.
func playRandomEvents(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := testSettings()
	s.JoinsFills = rng.IntN(2) == 0
	s.HedgedRequests = rng.IntN(2) == 0
	rng.IntN(2) // unused draw, which keeps the events of each seed unchanged
	s.CacheStatusMode = []CacheStatusMode{CacheStatusModeAll, CacheStatusModeHits, CacheStatusModeNone}[rng.IntN(3)]
	s.Classes[0].Idempotency = []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent}[rng.IntN(3)]
	rng.IntN(2) // unused draw, as above
	s.Directors = 60
	s.DirectorsByZone = []int{0, 1 + rng.IntN(9)}
	r := startRouter(t, s)
	all := testEndpoints()
	for i := range rng.IntN(12) {
		all = append(all, Endpoint{Host: HostID(200 + i), Zone: "west", Kind: "cache", Cell: i / 3, Readiness: Ready})
	}
	r.handle(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: all})
	type timer struct {
		at    time.Duration
		timer Timer
	}
	var timers []timer
	deadlines := map[RequestID]time.Duration{}
	inFlight := map[attemptKey]StartAttempt{}
	ended := map[RequestID]bool{}
	attempts := map[RequestID]int{}
	drained := map[HostID]bool{}
	execute := func(actions []Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case StartAttempt:
				if ended[a.Request] || drained[a.Host] || drained[a.Source] {
					t.Fatalf("seed %d: %+v for a request that has ended, or at a host that is not ready", seed, a)
				}
				for k := range inFlight {
					if k.request == a.Request {
						t.Fatalf("seed %d: two attempts at once for %s", seed, a.Request)
					}
				}
				inFlight[attemptKey{a.Request, attempts[a.Request]}] = a
				attempts[a.Request]++
			case Reject:
				if ended[a.Request] {
					t.Fatalf("seed %d: two final answers for %s", seed, a.Request)
				}
				ended[a.Request] = true
			case Fail:
				if ended[a.Request] {
					t.Fatalf("seed %d: two final answers for %s", seed, a.Request)
				}
				ended[a.Request] = true
			case SetTimer:
				timers = append(timers, timer{r.now + a.Delay, a.Timer})
			}
		}
	}
	endAttempt := func(k attemptKey, status Status) {
		a := inFlight[k]
		delete(inFlight, k)
		if status == OK && !ended[k.request] {
			ended[k.request] = true
		}
		execute(r.handle(AttemptResult{
			Request: k.request, Attempt: k.number, Host: a.Host, Status: status, Terminal: ended[k.request],
			CacheStatus: CacheStatus(rng.IntN(11)), Elapsed: time.Duration(rng.IntN(900)) * ms, FirstByte: time.Duration(rng.IntN(90)) * ms,
		}))
	}
	attemptsInOrder := func() []attemptKey {
		var keys []attemptKey
		for k := range inFlight {
			keys = append(keys, k)
		}
		slices.SortFunc(keys, func(x, y attemptKey) int {
			if c := strings.Compare(string(x.request), string(y.request)); c != 0 {
				return c
			}
			return x.number - y.number
		})
		return keys
	}
	for step := range 600 {
		r.now += time.Duration(rng.IntN(30)) * ms
		for len(timers) > 0 {
			i := slices.IndexFunc(timers, func(t timer) bool { return t.at < r.now })
			if i < 0 {
				break
			}
			due := timers[i]
			timers = slices.Delete(timers, i, i+1)
			execute(r.handle(TimerFired{due.timer}))
		}
		for _, k := range attemptsInOrder() { // attempts end at the deadline of their client
			if r.now >= deadlines[k.request] {
				endAttempt(k, TimedOut)
			}
		}
		statuses := []Status{OK, OK, OK, Failed, Full, ConnectFailed, Reset, Reset, Miss, Cancelled, NotSent}
		switch keys := attemptsInOrder(); rng.IntN(10) {
		case 0, 1, 2:
			id := RequestID(fmt.Sprint("q", step))
			wait := time.Duration(1+rng.IntN(4000)) * ms
			deadlines[id] = r.now + wait
			execute(r.handle(Request{
				ID: id, Object: ObjectID(rng.IntN(5)), PurgeGroup: rng.IntN(3), Class: "clip",
				SizeKB: float64(rng.IntN(900)), TimeLeft: wait,
			}))
		case 3, 4, 5:
			if len(keys) > 0 {
				endAttempt(keys[rng.IntN(len(keys))], statuses[rng.IntN(len(statuses))])
			}
		case 6:
			execute(r.handle(Purge{Object: ObjectID(rng.IntN(5)), Group: rng.IntN(3), ByGroup: rng.IntN(2) == 0}))
		case 7:
			e := all[rng.IntN(len(all))]
			e.Readiness = []Readiness{Ready, Draining, Gone}[rng.IntN(3)]
			if rng.IntN(3) == 0 {
				e.StartedAt = r.now
			}
			drained[e.Host] = e.Readiness != Ready
			execute(r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{e}}))
		case 8: // all caches of a cell start to drain, go away or restart
			cell := rng.IntN(4)
			state := []Readiness{Ready, Draining, Gone}[rng.IntN(3)]
			var cellEndpoints []Endpoint
			for _, e := range all {
				if e.Kind == "cache" && e.Cell == cell {
					e.Readiness = state
					e.StartedAt = r.now
					drained[e.Host] = state != Ready
					cellEndpoints = append(cellEndpoints, e)
				}
			}
			execute(r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: cellEndpoints}))
		case 9: // a snapshot removes or restores caches, parents or the origin
			var snapshot []Endpoint
			for _, e := range all {
				drained[e.Host] = rng.IntN(4) == 0
				if !drained[e.Host] {
					snapshot = append(snapshot, e)
				}
			}
			execute(r.handle(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: snapshot}))
			execute(r.handle(ClientGone{Request: "never"}))
			execute(r.handle(AttemptResult{Request: "never", Status: OK, Terminal: true}))
		}
		for id, at := range deadlines {
			if !ended[id] && r.now > at+2*time.Second {
				t.Fatalf("seed %d: %s was never answered", seed, id)
			}
		}
	}
	return r.actions
}
