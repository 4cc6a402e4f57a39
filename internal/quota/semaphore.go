package quota

import (
	"slices"
	"time"
)

// leaveQueue removes a holder from the queue.
func (l *limit) leaveQueue(id string) {
	l.queue = slices.DeleteFunc(l.queue, func(q string) bool { return q == id })
}

// semaphoreShare decides whether a holder gets the semaphore, 1 or 0: those who have waited longest do. It looks at all who wait.
func (l *limit) semaphoreShare(a *account, now time.Duration) float64 {
	if len(a.demands) == 0 {
		l.leaveQueue(a.id)
		return 0
	}
	if !slices.Contains(l.queue, a.id) {
		l.queue = append(l.queue, a.id)
	}
	l.queue = slices.DeleteFunc(l.queue, func(id string) bool {
		waiting := l.accounts[id]
		return waiting == nil || now >= waiting.renewed+waiting.expiresAfter
	})
	usedByOthers := l.used - a.used // 1 for each holder
	isNext := slices.Index(l.queue, a.id) < l.maxHolders
	if a.used > 0 || isNext && usedByOthers < float64(l.maxHolders) {
		return 1
	}
	return 0
}
