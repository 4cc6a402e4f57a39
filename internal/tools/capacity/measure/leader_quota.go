package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/quota"
)

// allocatorOf is an allocator with which each holder has renewed its quotas of all limits.
func allocatorOf(holders, coldCaches int) *quota.Allocator {
	allocator := quota.NewAllocator(quotaSettings, 1, time.Hour, true)
	limits := limitNames(coldCaches)
	for i := range holders {
		allocator.Renew(renewalOf(directorOf(i).ID(), 1, limits), time.Hour)
	}
	return allocator
}

// renewalTime has holders renew in turn, each once in a lease interval.
func renewalTime(holders, coldCaches int) (float64, error) {
	allocator := allocatorOf(holders, coldCaches)
	limits := limitNames(coldCaches)
	renewals := make([]quota.Renewal, holders)
	for i := range renewals {
		renewals[i] = renewalOf(directorOf(i).ID(), 1, limits)
	}
	granted := 0.0
	took := timeOf(func(n int) {
		renewal := &renewals[n%holders]
		renewal.InUse = renewal.Seq
		renewal.Seq++
		now := time.Hour + time.Duration(n)*leaseInterval/time.Duration(holders)
		granted += allocator.Renew(*renewal, now).Fallback
	})
	if granted <= 0 {
		return 0, fmt.Errorf("%d holders were granted nothing", holders)
	}
	return took, nil
}
