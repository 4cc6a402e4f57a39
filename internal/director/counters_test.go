package director

import (
	"encoding/json"
	"testing"

	"stairvane.org/stairvane/internal/director/routing"
)

// Guards against changing the log key of a counter: operators' scripts read these keys.
func TestCountersKeepTheirKeys(t *testing.T) {
	for _, c := range []struct {
		counters any
		want     string
	}{
		{
			FrontendCounters{},
			`{"Connections":0,"Turned":0,"Evicted":0,"Mute":0,"Malformed":0,"Unserved":0,"Heartbeats":0,` +
				`"Stuck":0,"Shed":0,"Crossed":0,"Dropped":0,"LeftUnread":0,"Unfinished":0}`,
		},
		{
			routing.Counters{},
			`{"Taken":0,"Served":0,"Same":0,"Refused":0,"Failed":0,"Revoked":0,"Repeats":0,` +
				`"Attempts":0,"Cancelled":0,"LateReplies":0,"GuardStops":0,"Withheld":0,` +
				`"Claimed":0,"Bound":0,"Unclaimed":0,"Reused":0,"Behind":0,` +
				`"OK":0,"Miss":0,"Full":0,"Errors":0,"Void":0,"TimedOut":0,"Reset":0,"NoCon":0,` +
				`"Dials":0,"LinksLost":0,"LinksDead":0,"Purges":0,"Lists":0}`,
		},
	} {
		got, err := json.Marshal(c.counters)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != c.want {
			t.Errorf("got %s, want %s", got, c.want)
		}
	}
}

// Guards against summing the counters of several cores incorrectly.
func TestCountersAreAddedUp(t *testing.T) {
	sum := routing.Counters{Accepted: 2, EndpointUpdates: 1}
	addCounters(&sum, routing.Counters{Accepted: 3, Cancelled: 1})
	if want := (routing.Counters{Accepted: 5, Cancelled: 1, EndpointUpdates: 1}); sum != want {
		t.Errorf("got %+v, want %+v", sum, want)
	}
}
