package measure

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/quota"
)

// newTracker returns a tracker that has recorded one heartbeat of each director.
func newTracker(directors int) *membership.Tracker {
	tracker := membership.New(membershipSettings)
	for i := range directors {
		d := newDirector(i)
		tracker.RecordHeartbeat(membership.Heartbeat{
			ID:       d.ID(),
			Director: &d,
			At:       time.Hour,
			Applied:  1000,
			Config:   "9c1185a5c5e9fc54",
		})
	}
	return tracker
}

// leaseTime returns the leader's processor time for a lease renewal of a replica, in seconds, without the quota allocator and the
// answer.
func leaseTime(directors int) (float64, error) {
	var bodies [][]byte
	for seq := range 4 {
		bodies = append(bodies, mustJSON(newHeartbeats(directors, 8, uint64(seq+1))))
	}
	tracker := newTracker(directors)
	record := adoption.New(recordedEvents, 0)
	var decodeErr error
	seconds := timePerOperation(func(n int) {
		var heartbeats api.Heartbeats
		if err := json.Unmarshal(bodies[n%len(bodies)], &heartbeats); err != nil {
			decodeErr = err
			return
		}
		now := time.Hour + time.Duration(n)*leaseInterval
		applied := int64(n + 1)
		record.RecordCommitted(applied, now)
		for _, d := range heartbeats.Directors {
			at := now - time.Duration(d.AgeMS)*time.Millisecond
			tracker.RecordHeartbeat(membership.Heartbeat{
				ID:       d.ID,
				Director: d.Director,
				At:       at,
				Applied:  applied,
				Config:   d.Config,
			})
			record.RecordApplied(d.ID, applied, at)
		}
	})
	return seconds, decodeErr
}

// tickTime returns the processor time of one tick of the leader's membership service, in seconds.
func tickTime(directors int) (float64, error) {
	tracker := newTracker(directors)
	record := adoption.New(recordedEvents, 0)
	for i := range directors {
		record.RecordApplied(newDirector(i).ID(), 0, time.Hour)
	}
	reports := newReportingDirectors(directors)
	allocator := quota.NewAllocator(quotaSettings, 1, time.Hour, true)
	isMember := func(id string) bool {
		_, isKnown := tracker.LastContact(id)
		return isKnown
	}
	seconds := timePerOperation(func(int) {
		allocator.Sweep(time.Hour)
		reports.aggregator.Sweep(reports.now)
		record.MarkGone(isMember, time.Hour)
		tracker.Observe(1000, time.Hour)
	})
	if known := len(tracker.Versions()); known != directors {
		return 0, fmt.Errorf("%d of %d directors have a version", known, directors)
	}
	return seconds, nil
}

func membershipCheckTime(directors int) (float64, error) {
	f, err := newFleet(0, directors)
	if err != nil {
		return 0, err
	}
	tracker := newTracker(directors)
	var changed *fleet.MembershipChange
	seconds := timePerOperation(func(int) { changed = tracker.NextChange(f, time.Hour) })
	if changed != nil {
		return 0, fmt.Errorf("the membership of %d directors has changed", directors)
	}
	return seconds, nil
}

// appliedHeap returns the heap, in bytes, of a record of when directors applied events. The size is the number of directors times
// the number of events.
func appliedHeap(size int) (float64, error) {
	directors := size / measuredEvents
	ids := make([]string, 0, directors)
	for i := range directors {
		ids = append(ids, newDirector(i).ID())
	}
	heap := retainedHeap(func() any {
		record := adoption.New(recordedEvents, 0)
		for _, id := range ids {
			record.RecordApplied(id, 0, time.Hour)
		}
		for event := int64(1); event <= measuredEvents; event++ {
			at := time.Hour + time.Duration(event)*purgeInterval
			record.RecordCommitted(event, at)
			for i, id := range ids {
				record.RecordApplied(id, event, at+time.Duration(i%100)*time.Millisecond)
			}
		}
		return record
	})
	runtime.KeepAlive(ids)
	return heap, nil
}
