package transport

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Timers fire in the tick that they are due in, never early, also beyond one turn of the wheel; wait never
// oversleeps one.
func TestWheel(t *testing.T) {
	w := &wheel{}
	rng := rand.New(rand.NewPCG(1, 1))
	now, left := time.Duration(0), 0
	for range 500 {
		at := time.Duration(rng.Int64N(int64(3 * slots * Tick)))
		timer := &Timer{}
		timer.Fire = func() {
			left--
			if now < at || now >= at+2*Tick && at > Tick {
				t.Errorf("due at %v, fired at %v", at, now)
			}
		}
		w.set(timer, at)
		left++
		if rng.IntN(5) == 0 {
			timer.Stop()
			left--
		}
	}
	for steps := 0; left > 0; steps++ {
		if steps > 4*slots {
			t.Fatalf("%d timers never fired", left)
		}
		now += max(w.wait(now), Tick/2)
		w.advance(now)
	}
}

func TestTimerSetAgainFromItsOwnCallbackAndStoppedByAnother(t *testing.T) {
	w := &wheel{}
	fired := 0
	var again, other Timer
	again.Fire = func() {
		fired++
		other.Stop()
		if fired < 3 {
			w.set(&again, 0) // long past: the next tick, not this one for ever
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
