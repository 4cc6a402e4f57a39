package replica

import "fmt"

// Witness remembers what other disks have shown of themselves, so that one that comes back in an older state is told: what
// it has forgotten it may have promised. It lives as long as the process; the disk's own marks tell the rest.
type Witness struct{ seen map[uint64]*Seen }

// Seen is the most that a disk has shown.
type Seen struct {
	Term uint64 `json:"term"` // of its messages
	Last uint64 `json:"last"` // index up to which it said to have the log, in that term
	Vote uint64 `json:"vote"` // the disk that it voted for in that term; 0: none that is known of
	Run  uint64 `json:"run"`  // the start of the program that is allowed to speak for it
}

// NewWitness has seen nothing.
func NewWitness() *Witness { return &Witness{seen: map[uint64]*Seen{}} }

func (w *Witness) of(disk uint64) *Seen {
	s := w.seen[disk]
	if s == nil {
		s = &Seen{}
		w.seen[disk] = s
	}
	return s
}

// Speaks takes in that a run of the program speaks for a disk, and tells whether it may: not if another run has
// introduced itself since.
func (w *Witness) Speaks(disk, run uint64) bool {
	s := w.of(disk)
	if s.Run == 0 {
		s.Run = run
	}
	return s.Run == run
}

// Shown takes in a message's term, the index up to which the disk said to have the log, and whom it said to vote for; 0 if
// it said nothing of that.
func (w *Witness) Shown(disk, term, last, vote uint64) {
	s := w.of(disk)
	if term > s.Term {
		s.Term, s.Last, s.Vote = term, 0, 0
	}
	if term == s.Term {
		s.Last = max(s.Last, last)
		if vote != 0 {
			s.Vote = vote
		}
	}
}

// Greet takes in a disk's new run with what it says of itself, and hands back what was seen of it. Only a run that shows no
// less may speak for the disk from now on.
func (w *Witness) Greet(disk, run uint64, says Seen) Seen {
	s := w.of(disk)
	seen := *s
	if says.Contradicts(seen) == nil {
		s.Run = run
	}
	return seen
}

// Contradicts tells how what a disk says of itself is less than what was seen of it; nil if it is not.
func (s Seen) Contradicts(seen Seen) error {
	switch {
	case s.Term < seen.Term:
		return fmt.Errorf("the disk is at term %d; it was at term %d before", s.Term, seen.Term)
	case s.Term == seen.Term && s.Last < seen.Last:
		return fmt.Errorf("the disk's log ends at %d; it had %d before, in the same term", s.Last, seen.Last)
	case s.Term == seen.Term && seen.Vote != 0 && s.Vote != seen.Vote:
		return fmt.Errorf("the disk does not know the vote that it gave in term %d", s.Term)
	}
	return nil
}
