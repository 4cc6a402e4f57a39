package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// leaseSimulation simulates two replicas that may become leader and one that serves watchers under a
// lease. Each has a clock that drifts, and messages have random delays. The leader appends events.
// It must never count an event as acknowledged while the holder may serve watchers that lack it.
// Each field disables a rule without which some seed must fail.
type leaseSimulation struct {
	countFromReceipt bool // the holder's lease runs from the receipt of the answer instead of the sending of the request
	noWaitAtElection bool // a new leader does not wait for the leases of its predecessor
}

func (l leaseSimulation) run(seed uint64) (violated bool) {
	rng := rand.New(rand.NewPCG(seed, 3))
	lease := Lease{Length: 200 * time.Millisecond, Drift: 0.02}
	rate := func() float64 { return 1 + (2*rng.Float64()-1)*lease.Drift }
	clock := []float64{rate(), rate(), rate()}
	localTime := func(process int, t time.Duration) time.Duration {
		return time.Duration(float64(t)*clock[process]) + time.Hour
	}
	lessors := []*Lessor{NewLessor(lease), NewLessor(lease)}
	var holder LeaseHolder
	lastEvent := int64(1)
	watchersHave := int64(1) // last event that the holder's watchers have received
	leader := 0
	lessors[0].SetLeader(true, localTime(0, 0)-time.Hour)
	type request struct {
		sentAt       time.Duration // by the holder's clock
		acknowledged int64
		to           int
		arrivesAt    time.Duration
		answeredAt   time.Duration // 0: the answer has arrived
		isGranted    bool
	}
	var requests []*request
	for t := time.Duration(0); t < 5*time.Second; t += 5 * time.Millisecond {
		if rng.IntN(100) == 0 { // the old leader may not know of the new one yet, but it grants no lease
			lessors[leader].SetLeader(false, localTime(leader, t))
			leader = 1 - leader
			lessors[leader].SetLeader(true, localTime(leader, t))
			if l.noWaitAtElection {
				lessors[leader].leaderSince = -time.Hour
			}
		}
		if rng.IntN(20) == 0 {
			lastEvent++
		}
		if rng.IntN(10) == 0 {
			arrivesAt := t + time.Duration(rng.IntN(60))*time.Millisecond
			requests = append(requests, &request{sentAt: localTime(2, t), acknowledged: watchersHave, to: leader, arrivesAt: arrivesAt})
		}
		for _, r := range requests {
			if !r.isGranted && t >= r.arrivesAt && r.to == leader { // only a replica that proves that it leads grants a lease
				lessors[r.to].Grant(2, r.acknowledged, localTime(r.to, t))
				r.isGranted = true
				r.answeredAt = t + time.Duration(rng.IntN(180))*time.Millisecond
			}
			if r.isGranted && r.answeredAt > 0 && t >= r.answeredAt {
				requestedAt := r.sentAt
				if l.countFromReceipt {
					requestedAt = localTime(2, t)
				}
				holder.Renew(lease, requestedAt)
				r.answeredAt = 0
			}
		}
		if rng.IntN(40) == 0 {
			watchersHave = lastEvent
		}
		if lessors[leader].Acknowledged(lastEvent, localTime(leader, t), 0) > watchersHave && holder.HasLease(localTime(2, t)) {
			return true
		}
	}
	return false
}

// Guards against counting an event as acknowledged while a lease holder serves watchers that lack
// it.
func TestNoAcknowledgementWhileLeaseHolderMayLag(t *testing.T) {
	first := uint64(intFromEnv("STAIRVANE_SEED", 1))
	t.Logf("seeds from %d on", first)
	for i := range uint64(intFromEnv("STAIRVANE_SEEDS", 500)) {
		if (leaseSimulation{}).run(first + i) {
			t.Fatalf("seed %d: an event counts as acknowledged while a replica serves watchers that lack it", first+i)
		}
	}
	for name, broken := range map[string]leaseSimulation{
		"counting from before the request": {countFromReceipt: true},
		"the new leader's wait":            {noWaitAtElection: true},
	} {
		seed := uint64(1)
		for ; seed < 2000 && !broken.run(seed); seed++ {
		}
		if seed == 2000 {
			t.Errorf("without %s nothing fails", name)
		}
		t.Logf("without %s seed %d fails", name, seed)
	}
}

// Guards against a lost lease holder that delays acknowledgements for longer than its lease and the
// time in which its watchers reconnect.
func TestLostLeaseHolderDelaysAcknowledgementOnlyUntilExpiry(t *testing.T) {
	lessor := NewLessor(Lease{Length: 200 * time.Millisecond, Drift: 0.02})
	lessor.SetLeader(true, 0)
	if n := lessor.Acknowledged(9, 100*time.Millisecond, 0); n != 0 {
		t.Errorf("a leader that was just elected counts %d as acknowledged", n)
	}
	lessor.Grant(5, 7, time.Second)
	for _, c := range []struct {
		at, within time.Duration
		want       int64
	}{{time.Second, 0, 7}, {time.Second + 207*time.Millisecond, 0, 7}, {time.Second + 208*time.Millisecond, 0, 9}} {
		if n := lessor.Acknowledged(9, c.at, c.within); n != c.want {
			t.Errorf("at %v: acknowledged up to %d, not %d", c.at, n, c.want)
		}
	}
	lessor.Grant(5, 7, 2*time.Second)
	if n := lessor.Acknowledged(9, 4*time.Second, 7*time.Second); n != 7 {
		t.Errorf("watchers of a lost replica are ignored at once: %d", n)
	}
	if n := lessor.Acknowledged(9, 10*time.Second, 7*time.Second); n != 9 {
		t.Errorf("a lost replica delays acknowledgements forever: %d", n)
	}
}
