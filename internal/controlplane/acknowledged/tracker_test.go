package acknowledged

import (
	"net/netip"
	"testing"
)

// An event is acknowledged once every watcher has requested the events after it. A watcher that disconnected counts until
// notifiedWithinMS has passed, unless it reconnects with the event.
func TestAcknowledgedUpTo(t *testing.T) {
	a, b := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	tracker := New(7000)
	want := func(nowMS, revision int64) {
		t.Helper()
		if got := tracker.AcknowledgedUpTo(10, nowMS); got != revision {
			t.Errorf("acknowledged up to %d, want %d", got, revision)
		}
	}
	want(0, 10) // no watchers
	tracker.Join(1, a)
	want(0, 10) // a connection without a request is ignored
	tracker.Ack(1, 7)
	tracker.Join(2, b)
	tracker.Ack(2, 9)
	want(0, 7)
	tracker.Leave(1, 10, 1000)
	want(1000, 7)
	tracker.Join(3, b)
	tracker.Ack(3, 8) // another address than that of the departed watcher
	want(1000, 7)
	tracker.Join(4, a)
	tracker.Ack(4, 10)
	want(1000, 8)
	tracker.Leave(3, 10, 2000)
	want(8999, 8)
	want(9000, 9)
	if tracker.Len() != 2 {
		t.Error(tracker.Len())
	}
}
