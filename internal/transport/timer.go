package transport

import (
	"math/bits"
	"time"
)

// Tick is the resolution of all timers. A timer never fires early; it may fire up to one tick late.
const Tick = 2 * time.Millisecond

const (
	wheelSlots  = 4096 // 8 s, longer than nearly all timers
	wordBits    = 64
	bitmapWords = wheelSlots / wordBits
	// maxWait is how long the loop waits if no timer is set.
	maxWait = time.Second
)

// Timer calls Fire at the time for which it is set; see Loop.Set. It is meant to be a field of the object that it serves,
// and must not be copied while it is set.
type Timer struct {
	Fire func()

	wheel      *timerWheel // nil: the timer is not set
	next, prev *Timer      // in the list of its slot
	dueTick    int64
}

// Active reports whether the timer is set.
func (t *Timer) Active() bool { return t.wheel != nil }

// Stop cancels the timer. It does nothing if the timer is not set.
func (t *Timer) Stop() {
	w := t.wheel
	if w == nil {
		return
	}
	slot := t.dueTick % wheelSlots
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.slots[slot] = t.next
		if t.next == nil {
			w.bitmap[slot/wordBits] &^= 1 << (slot % wordBits)
		}
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.wheel = nil
	t.next = nil
	t.prev = nil
}

// timerWheel is a hashed timing wheel. A bitmap of the used slots makes it possible to find the next timer without scanning
// all slots.
type timerWheel struct {
	slots    [wheelSlots]*Timer // lists, by tick modulo wheelSlots
	bitmap   [bitmapWords]uint64
	lastTick int64 // the last tick whose timers have fired
}

// set sets or resets a timer. If the time has passed, the timer fires at the next tick.
func (w *timerWheel) set(t *Timer, at time.Duration) {
	t.Stop()
	due := int64((at + Tick - 1) / Tick)
	if due <= w.lastTick {
		due = w.lastTick + 1
	}
	slot := due % wheelSlots
	t.wheel = w
	t.dueTick = due
	t.next = w.slots[slot]
	if t.next != nil {
		t.next.prev = t
	}
	w.slots[slot] = t
	w.bitmap[slot/wordBits] |= 1 << (slot % wordBits)
}

// advance fires all timers that are due by now.
func (w *timerWheel) advance(now time.Duration) {
	tick := int64(now / Tick)
	if tick-w.lastTick > wheelSlots { // after a long stall, one revolution visits every slot
		w.lastTick = tick - wheelSlots
	}
	for w.lastTick < tick {
		w.lastTick++
		slot := w.lastTick % wheelSlots
		if w.bitmap[slot/wordBits]&(1<<(slot%wordBits)) == 0 {
			continue
		}
		for t := w.dueTimer(slot, tick); t != nil; t = w.dueTimer(slot, tick) {
			t.Stop()
			t.Fire()
		}
	}
}

// dueTimer returns a timer of a slot that is due by the given tick, or nil. A slot also contains timers of later
// revolutions.
func (w *timerWheel) dueTimer(slot, tick int64) *Timer {
	for t := w.slots[slot]; t != nil; t = t.next {
		if t.dueTick <= tick {
			return t
		}
	}
	return nil
}

// nextWait returns the time until the next timer is due. It may return too short a time, but never too long a time.
func (w *timerWheel) nextWait(now time.Duration) time.Duration {
	from := (w.lastTick + 1) % wheelSlots
	word := from / wordBits
	mask := ^uint64(0) << (from % wordBits)
	for range bitmapWords + 1 {
		if used := w.bitmap[word] & mask; used != 0 {
			slot := word*wordBits + int64(bits.TrailingZeros64(used))
			ahead := (slot - from + wheelSlots) % wheelSlots
			return time.Duration(w.lastTick+1+ahead)*Tick - now
		}
		word = (word + 1) % bitmapWords
		mask = ^uint64(0)
	}
	return maxWait
}
