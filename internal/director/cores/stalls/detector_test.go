package stalls

import (
	"testing"
	"time"
)

// Guards against failing to report a stall or a recovery, or reporting it twice.
func TestStallAndRecoveryAreReportedOnce(t *testing.T) {
	d := New(2, time.Second)
	heartbeats := []int64{1, 1}
	check := func(ms int, wantStalled, wantRecovered int) {
		t.Helper()
		stalled, recovered := d.Check(heartbeats, time.Duration(ms)*time.Millisecond)
		if len(stalled) != wantStalled || len(recovered) != wantRecovered {
			t.Errorf("at %d ms: stalled %v, recovered %v", ms, stalled, recovered)
		}
	}
	check(1, 0, 0)
	heartbeats[0]++
	check(900, 0, 0)
	heartbeats[0]++
	check(1001, 1, 0) // the heartbeat of core 1 changed at 1 ms
	if d.Healthy() {
		t.Error("healthy with a stalled core")
	}
	heartbeats[0]++
	check(1500, 0, 0)
	heartbeats[0]++
	heartbeats[1] = 2
	check(1600, 0, 1)
	if !d.Healthy() {
		t.Error("not healthy after the recovery")
	}
}
