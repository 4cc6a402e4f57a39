package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/tools/scale/simulated"
	"stairvane.org/stairvane/internal/tools/testharness"
)

const (
	purgeWriters = 4
	retryPause   = 50 * time.Millisecond
)

// acceptedPurge is a purge that the control plane has accepted; times are of CLOCK_BOOTTIME.
type acceptedPurge struct {
	number   int64
	called   time.Duration
	accepted time.Duration // when the answer was there
}

// load applies purges and changes of the configuration at steady rates.
type load struct {
	stop  context.CancelFunc
	tasks sync.WaitGroup

	mu          sync.Mutex
	purges      []acceptedPurge
	failed      []time.Duration // when purges were called that were not accepted
	changes     []time.Duration // when changes were taken
	notChanged  []time.Duration
	lastFailure error
}

// startLoad begins the load. Purges fall due at even times, whether or not those before are answered; one that no writer is free
// for in a whole period counts as not accepted.
func startLoad(group *testharness.Cluster, set Settings) (*load, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
	due := make(chan int64, purgeWriters)
	for range purgeWriters {
		client, err := group.Client()
		if err != nil {
			stop()
			return nil, err
		}
		l.tasks.Go(func() {
			for n := range due {
				l.purge(client, n)
			}
		})
	}
	l.tasks.Go(func() {
		defer close(due)
		each(ctx, set.PurgesPerSecond, func(n int64) {
			select {
			case due <- n:
			default:
				l.mu.Lock()
				l.failed = append(l.failed, simulated.Now())
				l.mu.Unlock()
			}
		})
	})
	client, err := group.Client()
	if err != nil {
		stop()
		return nil, err
	}
	l.tasks.Go(func() { each(ctx, set.ChangesPerSecond, func(n int64) { l.change(client, n) }) })
	return l, nil
}

// each calls a function at a rate until the context ends.
func each(ctx context.Context, perSecond float64, do func(n int64)) {
	if perSecond <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := int64(1); ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(n)
		}
	}
}

func (l *load) purge(client *api.Client, n int64) {
	called := simulated.Now()
	answer, err := client.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n)})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed, l.lastFailure = append(l.failed, called), err
		return
	}
	l.purges = append(l.purges, acceptedPurge{number: answer.Revision, called: called, accepted: simulated.Now()})
}

// change has the location's load go up and down. The write side takes changes of the configuration as plans alone, so that this
// is the lightest one: a plan of one step.
func (l *load) change(client *api.Client, n int64) {
	called := simulated.Now()
	err := change(client, func(w fleet.ObservedState) fleet.DesiredState {
		wanted := w.DesiredState()
		for i := range wanted.Locations {
			wanted.Locations[i].Load = 1 + float64(n%2)/2
		}
		return wanted
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.notChanged, l.lastFailure = append(l.notChanged, called), err
		return
	}
	l.changes = append(l.changes, called)
}

// change plans the way to a desired state and hands the plan in.
func change(client *api.Client, desired func(fleet.ObservedState) fleet.DesiredState) error {
	answer, err := client.State()
	if err != nil {
		return err
	}
	state, err := answer.ObservedState()
	if err != nil {
		return err
	}
	p, err := plan.Make(state, desired(state), "")
	if err != nil {
		return err
	}
	file, err := plan.Encode(p)
	if err != nil {
		return err
	}
	_, err = client.Submit(file)
	return err
}

// end stops the load.
func (l *load) end() {
	l.stop()
	l.tasks.Wait()
}

// within counts the times between two.
func within(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}
