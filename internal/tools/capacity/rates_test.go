package capacity

import (
	"math"
	"testing"
	"time"
)

// TestCallsPerSecond checks both limits of the formula. A relay that batches events for as long as a watch request lasts receives
// one request of each director in that time; a server that does not batch receives one request for each event.
func TestCallsPerSecond(t *testing.T) {
	c := &calculation{Size: ExpectedSize(), Design: CurrentDesign()}
	events := c.eventsPerSecond()
	timeout := c.WatchTimeout.Seconds()
	for batchTime, want := range map[time.Duration]float64{
		0:                      events / (1 - math.Exp(-events*timeout)),
		100 * time.Millisecond: 10,
		200 * time.Millisecond: 10,
	} {
		if got := c.callsPerSecond(batchTime); math.Abs(got-want) > 1e-9 {
			t.Errorf("batching for %v: %v calls per second, want %v", batchTime, got, want)
		}
	}
	if between := c.callsPerSecond(50 * time.Millisecond); between <= 10 || between >= c.callsPerSecond(0) {
		t.Errorf("batching for 50 ms: %v calls per second, want a value between those of both limits", between)
	}
}
