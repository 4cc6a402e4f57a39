package decision

import (
	"testing"
	"time"
)

func TestUpkeepBoundsState(t *testing.T) {
	r := startRouter(t, testSettings())
	for round := range 50 { // each round replaces all caches and purges objects and groups
		for i := range 8 {
			id := HostID(2000 + round*8 + i)
			r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{
				{Host: id, Zone: "west", Kind: "cache", Readiness: Ready, StartedAt: r.now},
				{Host: id - 8, Zone: "west", Kind: "cache", Readiness: Gone},
			}})
			r.handle(Purge{Object: ObjectID(id), Group: round})
			r.handle(Purge{ByGroup: true, Group: int(id)})
		}
		r.now += 2 * time.Second
		r.handle(TimerFired{Timer{Kind: TimerUpkeep}})
	}
	if n := len(r.router.endpoints.byID); n > 20 {
		t.Errorf("%d hosts are kept, 14 are listed", n)
	}
	if n := len(r.router.purges.objects) + len(r.router.purges.groups); n > 8*2*6 {
		t.Errorf("%d purges are kept", n)
	}
	if len(r.router.endpoints.caches) != 11 {
		t.Errorf("%d caches are listed, want 11", len(r.router.endpoints.caches))
	}
}
