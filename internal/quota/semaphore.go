package quota

import (
	"slices"
	"time"
)

// removeFromQueue removes a holder from the semaphore's queue.
func (l *limit) removeFromQueue(id string) {
	l.queue = slices.DeleteFunc(l.queue, func(q string) bool { return q == id })
}

// semaphoreShare returns 1 if a holder gets the semaphore and 0 otherwise. Holders get it in order of arrival. The call iterates over
// all waiting holders.
func (l *limit) semaphoreShare(a *account, now time.Duration) float64 {
	if len(a.demands) == 0 {
		l.removeFromQueue(a.id)
		return 0
	}
	if !slices.Contains(l.queue, a.id) {
		l.queue = append(l.queue, a.id)
	}
	l.queue = slices.DeleteFunc(l.queue, func(id string) bool {
		waiting := l.accounts[id]
		return waiting == nil || now >= waiting.renewedAt+waiting.expiresAfter
	})
	usedByOthers := l.used - a.used // 1 for each holder
	isNext := slices.Index(l.queue, a.id) < l.maxHolders
	if a.used > 0 || isNext && usedByOthers < float64(l.maxHolders) {
		return 1
	}
	return 0
}
