package controlplane

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/tools/fakes"
)

// directorSettings are settings of a director as used in production.
const directorSettings = `{"Areas":["hub","west"],"Zone":"west","Models":["std","parent","origin"],
"Balancers":1,"SlotNo":0,"Weights":"nominal",
"FamilyInfo":{"ParentKind":-1,"SourceKind":2,"CountByZone":[0,1],"OneFlowKbPerS":5000,"Tells":"hit","Joins":true,
 "Siblings":"off","NoticeTime":0,"PurgeDone":6000,"GoodFor":[0],"OlderBy":[0],"PassOn":[false],"MultiPart":[true]},
"Grades":[{"Name":"clips","Aim":600,"AimStretch":2,"Deadline":6000,"Worth":2,"Effect":"safe","Group":"all"}],
"Limits":{"Cancel":true,"ConnIdle":15000,"DialTimeout":400,"MaxAttempts":8,
 "MaxRetryAfter":2000,"MostHeld":20000,"Multiplex":32,"RetryAfter":true},
"Rules":{"DrainGrace":500,"GraceToAnswer":8,"Cold":500,"ColdFrom":0.5,"Fall":3000,"TipMultiple":4}}`

// startDirector runs a real director that watches a control plane, and returns the director's address.
func startDirector(t *testing.T, controlPlane string) string {
	c, err := config.Parse(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","seed":"1",
"bulletin":%q,"known":{"no":0,"items":[]},"settings":%s}`, controlPlane, directorSettings), "", "")
	check(t, err)
	p, err := director.New(c)
	check(t, err)
	addr, err := p.Addr()
	check(t, err)
	ended := make(chan error, 1)
	go func() { ended <- p.Run() }()
	t.Cleanup(func() {
		p.Post(p.Shutdown)
		check(t, <-ended)
	})
	return addr.String()
}

// TestApplyUnderLoadLosesNoRequest runs two directors under a steady load while a plan adds two caches and drains one. Each request
// must get exactly one final answer. Later than 500 ms after the directors have acknowledged the drain, no request may be sent to the
// drained cache or name it as a source.
func TestApplyUnderLoadLosesNoRequest(t *testing.T) {
	var caches []*fakes.Cache
	for range 5 {
		cache, err := fakes.NewCache("127.0.0.1:0")
		check(t, err)
		t.Cleanup(cache.Close)
		caches = append(caches, cache)
	}
	s, c := start(t, settingsIn(t.TempDir()))
	rules := rulesWithoutWaits()
	rules.Cache = fleet.SlowStart{InitialShare: 0.5, WarmUpMS: 500, OverloadFactor: 4}
	rules.NotifiedWithinMS = 7000
	rules.DrainSettleMS = 700
	spec := func(n int, running bool) fleet.HostSpec {
		return fleet.HostSpec{Name: fmt.Sprintf("c-%d", n), Address: caches[n].Addr(), Running: running}
	}
	if a := applyPlan(t, c, planTo(t, c, desiredState(rules, spec(0, true), spec(1, true), spec(2, true)))); a.Status != apply.Done {
		t.Fatalf("%+v", a)
	}
	addr, err := s.Addr()
	check(t, err)
	var directors []string
	for range 2 {
		directors = append(directors, startDirector(t, addr.String()))
	}
	waitUntil(t, "the directors watch", func() bool { return s.watches.Count() == 2 })
	load := make(chan fakes.Tally, 2)
	for _, d := range directors {
		go func() {
			tally, err := fakes.Load(d, 200, 3*time.Second)
			if err != nil {
				t.Error(err)
			}
			load <- tally
		}()
	}
	waitUntil(t, "load", func() bool { return len(caches[1].Attempts()) > 20 })
	before := s.store.Fleet().Revision
	done := make(chan api.Apply, 1)
	file := planTo(t, c, desiredState(rules, spec(0, true), spec(2, true), spec(3, false), spec(4, false)))
	go func() { done <- applyPlan(t, c, file) }()
	drained := int64(0)
	waitUntil(t, "both directors acknowledge the drain", func() bool {
		m := s.store.Fleet().Host("c-1")
		if m != nil && m.State == fleet.Terminating && drained == 0 {
			drained = s.store.Fleet().Revision
		}
		return drained > before && s.acknowledgedRevision() >= drained
	})
	acknowledgedAt := time.Now() // both directors have requested the events after the drain
	a := <-done
	if a.Status != apply.Done {
		t.Fatalf("%+v", a)
	}
	for range directors {
		tally := <-load
		if t.Logf("%+v", tally); tally.Duplicated+tally.Lost+tally.Failed > 0 || tally.Served < tally.Sent*9/10 {
			t.Errorf("%+v", tally)
		}
	}
	for i, cache := range caches {
		for _, o := range cache.Attempts() {
			late := o.At.Sub(acknowledgedAt)
			if i == 1 && late > 500*time.Millisecond || o.Source == "c-1" && late > 500*time.Millisecond {
				t.Errorf("cache %d received a request %v after the drain was acknowledged", i, late)
			}
		}
	}
	if len(caches[3].Attempts()) == 0 || len(caches[4].Attempts()) == 0 {
		t.Error("an added cache received no request")
	}
	// Submitting the same plan again changes nothing, regardless of the caller.
	again, err := client(t, s.settings, "somebody").Submit(file)
	if err != nil || !again.Already || again.ID != a.ID || s.store.Fleet().Host("c-1") != nil {
		t.Errorf("%+v %v", again, err)
	}
}

// TestConcurrentSubmissionsStartOneApply submits identical and different plans concurrently: exactly one apply starts, and the other
// callers are told which apply holds the lock. Once the apply has ended, a plan that was made before it is stale.
func TestConcurrentSubmissionsStartOneApply(t *testing.T) {
	_, c := start(t, settingsIn(t.TempDir()))
	rules := rulesWithoutWaits()
	check(t, notDone(applyPlan(t, c, planTo(t, c, desiredState(rules, cacheSpec(0, true), cacheSpec(1, true))))))
	slow := rules
	slow.DrainSettleMS = 300
	grow := planTo(t, c, desiredState(slow, cacheSpec(0, true), cacheSpec(2, true), cacheSpec(3, true))) // both drain, so they take time
	swap := planTo(t, c, desiredState(slow, cacheSpec(0, true), cacheSpec(2, true)))
	submit := func(files ...[]byte) (accepted int) {
		got := make(chan error, len(files))
		for i, file := range files {
			go func() {
				own, err := api.NewClient("unix:"+c.Path(), fmt.Sprintf("person %d", i), api.Credentials{})
				if err == nil {
					_, err = own.Submit(file)
				}
				got <- err
			}()
		}
		for range files {
			err := <-got
			var rejected *api.Error
			switch {
			case err == nil:
				accepted++
			case !errors.As(err, &rejected) || rejected.Kind != api.Busy || rejected.RunningApply == nil ||
				!strings.Contains(rejected.Message, "says person"):
				t.Errorf("%v", err)
			}
		}
		return accepted
	}
	if n := submit(grow, swap, grow, swap); n != 1 {
		t.Errorf("%d plans were accepted concurrently", n)
	}
	waitUntil(t, "all applies have ended", func() bool {
		all, err := c.Applies()
		check(t, err)
		return !slices.ContainsFunc(all, func(r apply.Record) bool { return !r.Status.Ended() })
	})
	// One of the two plans has been applied, so submitting it again changes nothing. The other is stale.
	stale, already := 0, 0
	for _, file := range [][]byte{swap, grow} {
		a, err := c.Submit(file)
		var rejected *api.Error
		switch {
		case err == nil && a.Already:
			already++
		case errors.As(err, &rejected) && rejected.Kind == api.Stale && len(rejected.StaleReads) > 0:
			stale++
		default:
			t.Errorf("%+v %v", a, err)
		}
	}
	if stale != 1 || already != 1 {
		t.Errorf("%d plans are stale, %d already applied", stale, already)
	}
}

// TestHostLostDuringApply stops a cache during an apply. Once the observer has detected this, the apply must pause before the step that
// would violate the capacity floor, or revert, depending on the rules.
func TestHostLostDuringApply(t *testing.T) {
	for _, onFault := range []string{fleet.Pause, fleet.Revert} {
		t.Run(onFault, func(t *testing.T) {
			set := settingsIn(t.TempDir())
			set.Observer = operatorconfig.Observer{Every: 50 * time.Millisecond, Timeout: 100 * time.Millisecond, Misses: 2}
			s, c := start(t, set)
			var caches []*fakes.Cache
			var declared []fleet.HostSpec
			for n := range 4 {
				s, err := fakes.NewCache("127.0.0.1:0")
				check(t, err)
				t.Cleanup(s.Close)
				caches = append(caches, s)
				declared = append(declared, fleet.HostSpec{Name: fmt.Sprintf("c-%d", n), Address: s.Addr(), Running: true})
			}
			rules := rulesWithoutWaits()
			rules.OnFault = onFault
			rules.MaxParallelSteps = 1
			rules.DrainSettleMS = 1500
			check(t, notDone(applyPlan(t, c, planTo(t, c, desiredState(rules, declared...)))))
			waitUntil(t, "all hosts are observed as up", func() bool {
				observed := s.ObservedState().Observed
				isNotUp := func(x fleet.HostSpec) bool { return observed[x.Name].Reachability != fleet.Up }
				return len(observed) == 5 && !slices.ContainsFunc(declared, isNotUp)
			})
			a, err := c.Submit(planTo(t, c, desiredState(rules, declared[2], declared[3]))) // drains c-0, then c-1
			check(t, err)
			waitUntil(t, "the first drain starts", func() bool { return s.store.Fleet().Host("c-0").State == fleet.Terminating })
			caches[3].Close()
			waitUntil(t, "the apply stops", func() bool {
				now, err := c.Apply(a.ID)
				check(t, err)
				return now.Status != apply.Running
			})
			now, err := c.Apply(a.ID)
			check(t, err)
			if !strings.Contains(now.Reason, "floor of location west") {
				t.Errorf("%s: %s", now.Status, now.Reason)
			}
			if onFault == fleet.Pause {
				if now.Status != apply.Paused || s.store.Fleet().Host("c-1").State != fleet.InService {
					t.Errorf("%+v", now.Record)
				}
				r, err := c.Order(a.ID, apply.OrderCancel)
				if err != nil || r.Status != apply.Cancelled {
					t.Errorf("%+v %v", r, err)
				}
				return
			}
			if now.Status != apply.Reverted || now.RevertedBy == 0 {
				t.Fatalf("%+v", now.Record)
			}
			waitUntil(t, "the reverting apply is done", func() bool {
				back, err := c.Apply(now.RevertedBy)
				check(t, err)
				return back.Status == apply.Done
			})
			if m := s.store.Fleet().Host("c-0"); m == nil || m.State != fleet.InService {
				t.Errorf("%+v", m)
			}
		})
	}
}
