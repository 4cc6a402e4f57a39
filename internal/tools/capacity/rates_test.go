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
	for gather, want := range map[time.Duration]float64{
		0:                      events / (1 - math.Exp(-events*timeout)),
		100 * time.Millisecond: 10,
		200 * time.Millisecond: 10,
	} {
		if got := c.callsPerSecond(gather); math.Abs(got-want) > 1e-9 {
			t.Errorf("gathering for %v: %v calls a second, not %v", gather, got, want)
		}
	}
	if between := c.callsPerSecond(50 * time.Millisecond); between <= 10 || between >= c.callsPerSecond(0) {
		t.Errorf("gathering for 50 ms: %v calls a second", between)
	}
}
