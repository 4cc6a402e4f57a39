package replicas

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/store"
)

const (
	diskRetryInterval    = 200 * time.Millisecond // between attempts to write to a failed disk
	ticksPerPromotion    = 4                      // interval, in ticks, at which a leader looks for learners that have caught up
	ticksPerMaintenance  = 40                     // interval, in ticks, at which the log is compacted and the store's file is checked
	logEntriesKept       = 10_000                 // for replicas that were unreachable; one that lacks more is sent a snapshot
	logCompactionSlack   = 2_000                  // entries beyond logEntriesKept before the log is compacted
	logEntriesInSnapshot = 300_000                // kept while a snapshot is sent, so that the receiver can then catch up from the log
	snapshotSettleTime   = 30 * time.Second       // after which a receiver is assumed to have the entries that followed its snapshot
)

// tick handles one tick of the loop's ticker.
func (g *Group) tick() {
	g.ticks++
	g.contacts.Tick()
	switch {
	case g.phase == Introducing && g.introduction.isOver(len(g.peers)):
		g.startDriver()
	case g.phase == DiskFailed && Now()-g.lastDiskAttempt >= diskRetryInterval:
		g.retryDisk()
	}
	if g.driver == nil {
		return
	}
	g.driver.Tick()
	if g.isLeader {
		g.revisions.add(Now(), g.store.Fleet().Revision, g.settings.Lease)
		if g.ticks%ticksPerPromotion == 0 {
			g.promoteLearner()
		}
	}
	if g.ticks%ticksPerMaintenance == 0 {
		if g.store.FileMissing() {
			g.exclude("the store's file is gone, or another is in its place")
			return
		}
		g.compactLog()
	}
	g.publish()
}

// compactLog drops old entries from the log. It keeps recent ones for replicas that were
// unreachable for a short time.
func (g *Group) compactLog() {
	keep := uint64(logEntriesKept)
	if g.sends.anyUnsettled() {
		keep = logEntriesInSnapshot
	}
	if g.driver.Applied().Index-g.driver.FirstIndex() < keep+logCompactionSlack {
		return
	}
	if compacted := g.driver.Compact(keep); compacted.Index > 0 {
		g.store.CompactLog(store.Position(compacted))
	}
}

// revisionHistory holds the leader's revisions during the last lease duration, oldest first.
type revisionHistory []revisionAt

type revisionAt struct {
	at       time.Duration
	revision int64
}

// add records a revision, and drops those that were superseded at least a lease duration ago.
func (h *revisionHistory) add(now time.Duration, revision int64, lease time.Duration) {
	*h = append(*h, revisionAt{at: now, revision: revision})
	for len(*h) > 1 && (*h)[1].at <= now-lease {
		*h = (*h)[1:]
	}
}

// oldest returns the lowest revision that a replica must have to be granted a lease; 0 if none is
// recorded.
func (h revisionHistory) oldest() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[0].revision
}
