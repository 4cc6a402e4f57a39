package routing

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an ID that is forgotten too early, and against many that are mistaken for one that is known.
func TestIDFilterRemembersForThePeriod(t *testing.T) {
	const ids, period = 100_000, time.Second
	f := newIDFilter(period)
	name := func(i int) string { return fmt.Sprintf("%016x", i) }
	if f.contains(name(0), 0) {
		t.Error("an empty filter has an ID")
	}
	for i := range ids {
		f.add(name(i), time.Duration(i)*period/ids)
	}
	for i := range ids {
		if !f.contains(name(i), time.Duration(i)*period/ids+period) {
			t.Fatalf("ID %d is forgotten", i)
		}
	}
	wrong := 0
	for i := range ids {
		if f.contains(name(ids+i), period) {
			wrong++
		}
	}
	if wrong > ids/1000 {
		t.Errorf("%d of %d unknown IDs are reported", wrong, ids)
	}
	if f.contains(name(ids-1), 4*period) {
		t.Error("an ID is kept for more than two periods")
	}
}
