package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// leaseWorld is two copies that may lead and one that holds followers, each with a clock that runs apart by the drift, and
// messages that take any time. An event is appended by whoever leads. What must never be: the leader says that an event was
// told while the holder may hold followers that lack it.
type leaseWorld struct {
	fromReceipt bool // guard: the holder counts from before it asked
	noWait      bool // guard: a new leader waits for leases that the one before it gave
}

func (w leaseWorld) run(seed uint64) (broken bool) {
	rng := rand.New(rand.NewPCG(seed, 3))
	lease := Lease{Length: 200 * time.Millisecond, Drift: 0.02}
	rate := func() float64 { return 1 + (2*rng.Float64()-1)*lease.Drift }
	clock := []float64{rate(), rate(), rate()}
	at := func(who int, t time.Duration) time.Duration { return time.Duration(float64(t)*clock[who]) + time.Hour }
	granters := []*Lessor{NewLessor(lease), NewLessor(lease)}
	var holder Holder
	last, has := int64(1), int64(1) // the last event; what the holder's followers have
	leader := 0
	granters[0].Lead(true, at(0, 0)-time.Hour)
	type ask struct {
		asked           time.Duration // by the holder's clock
		told            int64
		to              int
		reaches, answer time.Duration
		given           bool
	}
	var open []*ask
	for t := time.Duration(0); t < 5*time.Second; t += 5 * time.Millisecond {
		if rng.IntN(100) == 0 { // another leads; the one before it may believe that it still does, but gives no lease
			granters[leader].Lead(false, at(leader, t))
			leader = 1 - leader
			granters[leader].Lead(true, at(leader, t))
			if w.noWait {
				granters[leader].led = -time.Hour
			}
		}
		if rng.IntN(20) == 0 {
			last++
		}
		if rng.IntN(10) == 0 {
			open = append(open, &ask{asked: at(2, t), told: has, to: leader, reaches: t + time.Duration(rng.IntN(60))*time.Millisecond})
		}
		for _, a := range open {
			if !a.given && t >= a.reaches && a.to == leader { // only a copy that proves that it leads gives one
				granters[a.to].Give(2, a.told, at(a.to, t))
				a.given, a.answer = true, t+time.Duration(rng.IntN(180))*time.Millisecond
			}
			if a.given && a.answer > 0 && t >= a.answer {
				asked := a.asked
				if w.fromReceipt {
					asked = at(2, t)
				}
				holder.Got(lease, asked)
				a.answer = 0
			}
		}
		if rng.IntN(40) == 0 {
			has = last // its followers catch up
		}
		if granters[leader].Acknowledged(last, at(leader, t), 0) > has && holder.Holds(at(2, t)) {
			return true
		}
	}
	return false
}

func TestNothingIsToldWhileAHolderMayBeBehind(t *testing.T) {
	first := uint64(fromEnv("STAIRVANE_SEED", 1))
	t.Logf("seeds from %d on", first)
	for i := range uint64(fromEnv("STAIRVANE_SEEDS", 500)) {
		if (leaseWorld{}).run(first + i) {
			t.Fatalf("seed %d: an event counts as told while a copy holds followers that lack it", first+i)
		}
	}
	for name, w := range map[string]leaseWorld{"counting from before the asking": {fromReceipt: true}, "the new leader's waiting": {noWait: true}} {
		seed := uint64(1)
		for ; seed < 2000 && !w.run(seed); seed++ {
		}
		if seed == 2000 {
			t.Errorf("without %s nothing fails", name)
		}
		t.Logf("without %s seed %d fails", name, seed)
	}
}

// A leader whose lease holders are gone tells again once their leases are over, and what their followers may still lack
// counts as any follower's that left.
func TestALostHolderIsWaitedForOnce(t *testing.T) {
	l := Lease{Length: 200 * time.Millisecond, Drift: 0.02}
	g := NewLessor(l)
	g.Lead(true, 0)
	if n := g.Acknowledged(9, 100*time.Millisecond, 0); n != 0 {
		t.Errorf("a leader that has just begun tells up to %d", n)
	}
	g.Give(5, 7, time.Second)
	for _, c := range []struct {
		at, within time.Duration
		want       int64
	}{{time.Second, 0, 7}, {time.Second + 207*time.Millisecond, 0, 7}, {time.Second + 208*time.Millisecond, 0, 9}} {
		if n := g.Acknowledged(9, c.at, c.within); n != c.want {
			t.Errorf("at %v: told up to %d, not %d", c.at, n, c.want)
		}
	}
	g.Give(5, 7, 2*time.Second)
	if n := g.Acknowledged(9, 4*time.Second, 7*time.Second); n != 7 {
		t.Errorf("followers of a copy that is gone count as told at once: %d", n)
	}
	if n := g.Acknowledged(9, 10*time.Second, 7*time.Second); n != 9 {
		t.Errorf("a copy that is gone is waited for without end: %d", n)
	}
}
