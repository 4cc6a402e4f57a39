package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/quota"
)

// newAllocator returns an allocator with which each holder has renewed its quotas of all limits once.
func newAllocator(holders, coldCaches int) *quota.Allocator {
	allocator := quota.NewAllocator(quotaSettings, 1, time.Hour, true)
	limits := limitNames(coldCaches)
	for i := range holders {
		allocator.Renew(newRenewal(newDirector(i).ID(), 1, limits), time.Hour)
	}
	return allocator
}

// renewalTime returns the allocator's processor time for one renewal, in seconds. The holders renew in turn, each once per lease
// interval.
func renewalTime(holders, coldCaches int) (float64, error) {
	allocator := newAllocator(holders, coldCaches)
	limits := limitNames(coldCaches)
	renewals := make([]quota.Renewal, holders)
	for i := range renewals {
		renewals[i] = newRenewal(newDirector(i).ID(), 1, limits)
	}
	granted := 0.0
	seconds := timePerOperation(func(n int) {
		renewal := &renewals[n%holders]
		renewal.InUse = renewal.Seq
		renewal.Seq++
		now := time.Hour + time.Duration(n)*leaseInterval/time.Duration(holders)
		granted += allocator.Renew(*renewal, now).Fallback
	})
	if granted <= 0 {
		return 0, fmt.Errorf("%d holders received no grant", holders)
	}
	return seconds, nil
}
