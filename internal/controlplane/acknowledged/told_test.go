package acknowledged

import (
	"net/netip"
	"testing"
)

// An event is told when every follower has asked for what comes after it; one that left counts for a while, unless it
// comes back with it.
func TestTold(t *testing.T) {
	a, b := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	tr := New(7000)
	want := func(now, no int64) {
		t.Helper()
		if got := tr.Told(10, now); got != no {
			t.Errorf("told %d, want %d", got, no)
		}
	}
	want(0, 10) // nobody follows
	tr.Join(1, a)
	want(0, 10) // a connection that has asked nothing is nobody yet
	tr.Ack(1, 7)
	tr.Join(2, b)
	tr.Ack(2, 9)
	want(0, 7)
	tr.Leave(1, 10, 1000)
	want(1000, 7)
	tr.Join(3, b)
	tr.Ack(3, 8) // another address: not the one that left
	want(1000, 7)
	tr.Join(4, a)
	tr.Ack(4, 10)
	want(1000, 8)
	tr.Leave(3, 10, 2000)
	want(8999, 8)
	want(9000, 9)
	if tr.Len() != 2 {
		t.Error(tr.Len())
	}
}
