package transport

import (
	"math/bits"
	"time"
)

// Tick is the grain of all timers. A timer never fires early; it may fire up to one tick late.
const Tick = 2 * time.Millisecond

const (
	slots     = 4096 // one turn of the wheel is about 8 s, longer than nearly all timers
	slotWords = slots / 64
)

// Timer is one place on the wheel. It is meant to be part of the object that it wakes; it must not be copied
// while it is set.
type Timer struct {
	Fire func()

	wheel      *wheel
	next, prev *Timer
	due        int64 // tick
}

// Active tells whether the timer is set.
func (t *Timer) Active() bool { return t.wheel != nil }

// Stop takes the timer off the wheel, if it is on it.
func (t *Timer) Stop() {
	w := t.wheel
	if w == nil {
		return
	}
	slot := t.due % slots
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.heads[slot] = t.next
		if t.next == nil {
			w.used[slot/64] &^= 1 << (slot % 64)
		}
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.wheel, t.next, t.prev = nil, nil, nil
}

// wheel is a hashed timing wheel; a bitmap of the slots in use finds the next one without walking.
type wheel struct {
	heads [slots]*Timer
	used  [slotWords]uint64
	done  int64 // the last tick whose timers have fired
}

func (w *wheel) set(t *Timer, at time.Duration) {
	t.Stop()
	due := int64((at + Tick - 1) / Tick)
	if due <= w.done {
		due = w.done + 1
	}
	slot := due % slots
	t.wheel, t.due, t.next = w, due, w.heads[slot]
	if t.next != nil {
		t.next.prev = t
	}
	w.heads[slot] = t
	w.used[slot/64] |= 1 << (slot % 64)
}

// advance fires all timers that are due by now.
func (w *wheel) advance(now time.Duration) {
	last := int64(now / Tick)
	if last-w.done > slots { // a long stall: one full turn meets every slot
		w.done = last - slots
	}
	for w.done < last {
		w.done++
		slot := w.done % slots
		if w.used[slot/64]&(1<<(slot%64)) == 0 {
			continue
		}
		for t := w.due(slot, last); t != nil; t = w.due(slot, last) {
			t.Stop()
			t.Fire()
		}
	}
}

// due is a timer of the slot that is due by the tick, for a slot also holds those of later turns.
func (w *wheel) due(slot, tick int64) *Timer {
	for t := w.heads[slot]; t != nil; t = t.next {
		if t.due <= tick {
			return t
		}
	}
	return nil
}

// wait is how long nothing is due. It may be too short, never too long.
func (w *wheel) wait(now time.Duration) time.Duration {
	from := (w.done + 1) % slots
	word, mask := from/64, ^uint64(0)<<(from%64)
	for range slotWords + 1 {
		if set := w.used[word] & mask; set != 0 {
			slot := word*64 + int64(bits.TrailingZeros64(set))
			ahead := (slot - from + slots) % slots
			return time.Duration(w.done+1+ahead)*Tick - now
		}
		word, mask = (word+1)%slotWords, ^uint64(0)
	}
	return time.Second
}
