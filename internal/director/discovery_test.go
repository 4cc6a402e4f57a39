package director

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/transport"
)

// All directors lose the bulletin at one moment. Eighty of them came back within the same 20 ms.
func TestDirectorsReturnToTheBulletinApart(t *testing.T) {
	loop, err := transport.NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Release()
	const crowd, slot = 80, 20 * time.Millisecond
	perSlot := map[time.Duration]int{}
	var pauses []time.Duration
	for i := range crowd {
		f := newWatchClient(loop, nil, make([]netip.AddrPort, 1), crowd, uint64(i))
		p := f.retryPause()
		perSlot[p/slot]++
		pauses = append(pauses, p)
	}
	for at, n := range perSlot {
		if n > crowd/4 {
			t.Errorf("%d of %d return between %v and %v", n, crowd, at*slot, (at+1)*slot)
		}
	}
	if last := slices.Max(pauses); last > 500*time.Millisecond {
		t.Errorf("the last one waits %v; news count as told 2 s after a break", last)
	}
	if alone := newWatchClient(loop, nil, make([]netip.AddrPort, 1), 0, 1).retryPause(); alone > 2*oneAddressTiming.RetryMin {
		t.Errorf("a single one waits %v", alone)
	}
}

// The pause grows with the number of directors only up to a bound: an event must reach 3,500 of them in time, too.
func TestThePauseBeforeReconnectingIsBounded(t *testing.T) {
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
		{1, oneAddressTiming.Silence + oneAddressTiming.Dial, delivered},
		{3, severalAddressesTiming.Silence, memberUntil},
	} {
		longest := time.Duration(0)
		for seed := range directors {
			f := newWatchClient(loop, nil, make([]netip.AddrPort, c.addresses), directors, uint64(seed))
			longest = max(longest, f.retryPause())
		}
		if c.noticed+longest >= c.within {
			t.Errorf("%d addresses: noticed after %v, and a pause of up to %v: back after %v", c.addresses, c.noticed, longest, c.within)
		}
		if spread := longest - oneAddressTiming.RetryMin; spread < c.within/8 {
			t.Errorf("%d addresses: all come back within %v", c.addresses, spread)
		}
	}
}
