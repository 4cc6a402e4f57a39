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

// acceptedPurge is a purge that the control plane has accepted. Times are readings of CLOCK_BOOTTIME.
type acceptedPurge struct {
	number   int64         // revision of its event
	called   time.Duration // when the call was sent
	accepted time.Duration // when the response was received
}

// load applies purges and configuration changes at constant rates.
type load struct {
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu             sync.Mutex
	purges         []acceptedPurge
	failedPurges   []time.Duration // when purges were due or sent that were not accepted
	appliedChanges []time.Duration // when the configuration changes that were applied were sent
	failedChanges  []time.Duration
	lastError      error
}

// startLoad starts the load. Purges are due at constant intervals, whether or not earlier ones have been answered. A purge that is
// due while all writers are busy and their queue is full counts as not accepted.
func startLoad(group *testharness.Cluster, settings Settings) (*load, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	due := make(chan int64, purgeWriters)
	for range purgeWriters {
		client, err := group.Client()
		if err != nil {
			cancel()
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
		callAtRate(ctx, settings.PurgesPerSecond, func(n int64) {
			select {
			case due <- n:
			default:
				l.mu.Lock()
				l.failedPurges = append(l.failedPurges, simulated.Now())
				l.mu.Unlock()
			}
		})
	})
	client, err := group.Client()
	if err != nil {
		cancel()
		return nil, err
	}
	l.tasks.Go(func() { callAtRate(ctx, settings.ChangesPerSecond, func(n int64) { l.submitChange(client, n) }) })
	return l, nil
}

// callAtRate calls a function at a rate, with n counting from 1, until the context is done.
func callAtRate(ctx context.Context, perSecond float64, call func(n int64)) {
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
			call(n)
		}
	}
}

func (l *load) purge(client *api.Client, n int64) {
	called := simulated.Now()
	answer, err := client.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n)})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failedPurges, l.lastError = append(l.failedPurges, called), err
		return
	}
	l.purges = append(l.purges, acceptedPurge{number: answer.Revision, called: called, accepted: simulated.Now()})
}

// submitChange alternates the location's load between two values. The write server accepts configuration changes only as
// plans; this is the smallest one, a plan of one step.
func (l *load) submitChange(client *api.Client, n int64) {
	called := simulated.Now()
	err := submitChange(client, func(observed fleet.ObservedState) fleet.DesiredState {
		desired := observed.DesiredState()
		for i := range desired.Locations {
			desired.Locations[i].Load = 1 + float64(n%2)/2
		}
		return desired
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failedChanges, l.lastError = append(l.failedChanges, called), err
		return
	}
	l.appliedChanges = append(l.appliedChanges, called)
}

// submitChange plans the steps from the observed state to a desired state, and submits the plan.
func submitChange(client *api.Client, desired func(fleet.ObservedState) fleet.DesiredState) error {
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

// stopAndWait stops the load and waits for its goroutines.
func (l *load) stopAndWait() {
	l.cancel()
	l.tasks.Wait()
}

// countBetween returns the number of times that are at or after from and before to.
func countBetween(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}
