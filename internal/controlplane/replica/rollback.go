package replica

import "fmt"

// RollbackDetector records the newest state that was observed of each other disk. A disk that
// returns in an older state, for example after a restore from a backup, is excluded, because it may
// have cast votes or acknowledged entries that it no longer knows of. The records are kept only in
// memory. It is not safe for concurrent use.
type RollbackDetector struct{ observed map[uint64]*ObservedDisk }

// ObservedDisk is the newest state that was observed of a disk.
type ObservedDisk struct {
	Term        uint64 `json:"term"` // highest term in its messages
	LastIndex   uint64 `json:"last"` // index up to which it acknowledged the log in that term
	Vote        uint64 `json:"vote"` // disk that it voted for in that term; 0: unknown
	Incarnation uint64 `json:"run"`  // start of the program that may send messages for it
}

// NewRollbackDetector returns a detector without any observations.
func NewRollbackDetector() *RollbackDetector {
	return &RollbackDetector{observed: map[uint64]*ObservedDisk{}}
}

func (r *RollbackDetector) disk(disk uint64) *ObservedDisk {
	o := r.observed[disk]
	if o == nil {
		o = &ObservedDisk{}
		r.observed[disk] = o
	}
	return o
}

// AcceptIncarnation reports whether an incarnation of the program may send messages for a disk. It
// may not if another incarnation was accepted first or was introduced later.
func (r *RollbackDetector) AcceptIncarnation(disk, incarnation uint64) bool {
	o := r.disk(disk)
	if o.Incarnation == 0 {
		o.Incarnation = incarnation
	}
	return o.Incarnation == incarnation
}

// Observe records the term of a disk's message, the index up to which the message acknowledges the
// log, and the disk that it votes for. lastIndex and vote are 0 if the message does not contain
// them.
func (r *RollbackDetector) Observe(disk, term, lastIndex, vote uint64) {
	o := r.disk(disk)
	if term > o.Term {
		o.Term, o.LastIndex, o.Vote = term, 0, 0
	}
	if term < o.Term {
		return
	}
	o.LastIndex = max(o.LastIndex, lastIndex)
	if vote != 0 {
		o.Vote = vote
	}
}

// Introduce records a new incarnation of the program that reports the given state of its disk, and
// returns the state that was observed of the disk before. If the reported state is older than the
// observed one, the incarnation may not send messages.
func (r *RollbackDetector) Introduce(disk, incarnation uint64, state ObservedDisk) ObservedDisk {
	o := r.disk(disk)
	before := *o
	if state.CheckNotOlder(before) == nil {
		o.Incarnation = incarnation
	}
	return before
}

// CheckNotOlder returns an error if a disk's own state is older than the state observed of it.
func (o ObservedDisk) CheckNotOlder(observed ObservedDisk) error {
	switch {
	case o.Term < observed.Term:
		return fmt.Errorf("the disk is at term %d; it was at term %d before", o.Term, observed.Term)
	case o.Term == observed.Term && o.LastIndex < observed.LastIndex:
		return fmt.Errorf("the disk's log ends at %d; it had %d before, in the same term", o.LastIndex, observed.LastIndex)
	case o.Term == observed.Term && observed.Vote != 0 && o.Vote != observed.Vote:
		return fmt.Errorf("the disk does not know the vote that it gave in term %d", o.Term)
	}
	return nil
}
