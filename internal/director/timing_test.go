package director

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/transport"
)

// Guards against all directors reconnecting at the same moment.
func TestReconnectsAreSpread(t *testing.T) {
	loop, err := transport.NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Release()
	const (
		directors = 80
		interval  = 20 * time.Millisecond
	)
	perInterval := map[time.Duration]int{}
	var pauses []time.Duration
	for i := range directors {
		w := newWatchClient(loop, nil, make([]netip.AddrPort, 1), directors, uint64(i))
		p := w.nextPause()
		perInterval[p/interval]++
		pauses = append(pauses, p)
	}
	for at, n := range perInterval {
		if n > directors/4 {
			t.Errorf("%d of %d reconnect between %v and %v", n, directors, at*interval, (at+1)*interval)
		}
	}
	if last := slices.Max(pauses); last > 500*time.Millisecond {
		t.Errorf("the last director waits %v", last)
	}
	if alone := newWatchClient(loop, nil, make([]netip.AddrPort, 1), 0, 1).nextPause(); alone > 2*oneAddressTiming.RetryMin {
		t.Errorf("a single director waits %v", alone)
	}
}

// Guards against a reconnect pause that grows with the number of directors until events arrive too late.
func TestReconnectPauseIsBounded(t *testing.T) {
	loop, err := transport.NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Release()
	const (
		directors   = 3500
		delivered   = 7 * time.Second // after which an event counts as delivered
		memberUntil = 600 * time.Millisecond
	)
	for _, c := range []struct {
		addresses int
		noticed   time.Duration
		within    time.Duration
	}{
		{1, oneAddressTiming.SilenceTimeout + oneAddressTiming.DialTimeout, delivered},
		{3, severalAddressesTiming.SilenceTimeout, memberUntil},
	} {
		longest := time.Duration(0)
		for seed := range directors {
			w := newWatchClient(loop, nil, make([]netip.AddrPort, c.addresses), directors, uint64(seed))
			longest = max(longest, w.nextPause())
		}
		if c.noticed+longest >= c.within {
			t.Errorf("%d addresses: loss detected after %v, pause up to %v: reconnect after %v", c.addresses, c.noticed, longest, c.within)
		}
		if spread := longest - oneAddressTiming.RetryMin; spread < c.within/8 {
			t.Errorf("%d addresses: all reconnect within %v", c.addresses, spread)
		}
	}
}
