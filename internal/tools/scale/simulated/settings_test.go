package simulated

import (
	"math"
	"net/netip"
	"slices"
	"testing"
)

func TestDemandsFollowZipfLaw(t *testing.T) {
	const directors = 50
	all := Demands(7, 2, directors, 1, 1.5)
	sum := 0.0
	for _, d := range all {
		sum += d
	}
	if math.Abs(sum-1.5) > 1e-9 {
		t.Errorf("the demands add up to %g", sum)
	}
	if !slices.Equal(all, Demands(7, 2, directors, 1, 1.5)) || slices.Equal(all, Demands(7, 3, directors, 1, 1.5)) {
		t.Error("demands don't depend on exactly the seed and the cache")
	}
	slices.Sort(all)
	slices.Reverse(all)
	for rank, d := range all {
		if math.Abs(d*float64(rank+1)-all[0]) > 1e-9 {
			t.Fatalf("rank %d has %g, the first %g", rank+1, d, all[0])
		}
	}
	if small := slices.Min(Demands(7, 0, 2000, 1.5, 1)); small != MinDemand {
		t.Errorf("the smallest demand is %g", small)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	set := Settings{
		Addresses:      []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Count:          10,
		Total:          20,
		First:          10,
		Crowd:          20,
		StartPerSecond: 1,
	}
	if err := set.check(); err != nil {
		t.Fatal(err)
	}
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Addresses = nil },
		func(s *Settings) { s.Count = MaxDirectors + 1 },
		func(s *Settings) { s.First = 11 },
		func(s *Settings) { s.Crowd = 0 },
		func(s *Settings) { s.StartPerSecond = 0 },
	} {
		wrong := set
		change(&wrong)
		if wrong.check() == nil {
			t.Errorf("accepted: %+v", wrong)
		}
	}
}
