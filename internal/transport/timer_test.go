package transport

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against timers that fire early or late, including timers beyond one revolution of the wheel, and against a wait
// that is too long.
func TestTimersFireInTheirTick(t *testing.T) {
	w := &timerWheel{}
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	remaining := 0
	for range 500 {
		at := time.Duration(rng.Int64N(int64(3 * wheelSlots * Tick)))
		timer := &Timer{}
		timer.Fire = func() {
			remaining--
			if now < at || now >= at+2*Tick && at > Tick {
				t.Errorf("due at %v, fired at %v", at, now)
			}
		}
		w.set(timer, at)
		remaining++
		if rng.IntN(5) == 0 {
			timer.Stop()
			remaining--
		}
	}
	for steps := 0; remaining > 0; steps++ {
		if steps > 4*wheelSlots {
			t.Fatalf("%d timers never fired", remaining)
		}
		now += max(w.nextWait(now), Tick/2)
		w.advance(now)
	}
}

// Guards against an endless loop caused by a timer that sets itself again, and against a timer that fires although the
// callback of another timer has stopped it.
func TestTimerSetAndStoppedFromCallback(t *testing.T) {
	w := &timerWheel{}
	fired := 0
	var again, other Timer
	again.Fire = func() {
		fired++
		other.Stop()
		if fired < 3 {
			w.set(&again, 0) // the time has passed, so it must fire at the next tick, not again at this one
		}
	}
	other.Fire = func() { t.Error("fired after it was stopped") }
	w.set(&other, 2*Tick)
	w.set(&again, 2*Tick)
	w.advance(10 * Tick)
	if fired != 3 || other.Active() || again.Active() {
		t.Errorf("fired %d times", fired)
	}
}
