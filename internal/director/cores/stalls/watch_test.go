package stalls

import (
	"testing"
	"time"
)

func TestStallsAreSeenOnceAndSoIsTheReturn(t *testing.T) {
	w := New(2, time.Second)
	beats := []int64{1, 1}
	at := func(ms int, stalled, back int) {
		t.Helper()
		s, b := w.Look(beats, time.Duration(ms)*time.Millisecond)
		if len(s) != stalled || len(b) != back {
			t.Errorf("at %d: %v, %v", ms, s, b)
		}
	}
	at(1, 0, 0)
	beats[0]++
	at(900, 0, 0)
	beats[0]++
	at(1001, 1, 0) // core 1 beat at 1 ms
	if w.Well() {
		t.Error("well with a stalled core")
	}
	beats[0]++
	at(1500, 0, 0)
	beats[0], beats[1] = beats[0]+1, 2
	at(1600, 0, 1)
	if !w.Well() {
		t.Error("not well")
	}
}
