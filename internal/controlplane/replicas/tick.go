package replicas

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/store"
)

const (
	diskRetryInterval    = 200 * time.Millisecond // between attempts to write a failed disk
	ticksPerPromotion    = 4                      // a leader looks for learners that have caught up every so many ticks
	ticksPerMaintenance  = 40                     // the log is compacted and the store's file looked for every so many ticks
	logEntriesKept       = 10_000                 // for replicas that were away; those that lack more are sent a snapshot
	logCompactionSlack   = 2_000                  // entries beyond those before the log is compacted
	logEntriesInSnapshot = 300_000                // while a snapshot is sent, so that the log goes on from it
	snapshotSettleTime   = 30 * time.Second       // after which the receiver has the entries that followed a snapshot
)

// tick follows one tick of the clock.
func (g *Group) tick() {
	g.ticks++
	g.contacts.Tick()
	switch {
	case g.phase == Introducing && g.introduction.isOver(len(g.peers)):
		g.startDriver()
	case g.phase == DiskFailed && Now()-g.diskTriedAt >= diskRetryInterval:
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

// compactLog drops old entries from the log, but for those that replicas which were away for a
// short time need.
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

// revisionHistory is the leader's revisions within the length of a lease, oldest first.
type revisionHistory []revisionAt

type revisionAt struct {
	at       time.Duration
	revision int64
}

// add records a revision, and forgets those that were superseded before the length of a lease ago.
func (h *revisionHistory) add(now time.Duration, revision int64, lease time.Duration) {
	*h = append(*h, revisionAt{at: now, revision: revision})
	for len(*h) > 1 && (*h)[1].at <= now-lease {
		*h = (*h)[1:]
	}
}

// oldest returns the lowest revision that a lease holder must have; 0 if there is none.
func (h revisionHistory) oldest() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[0].revision
}
