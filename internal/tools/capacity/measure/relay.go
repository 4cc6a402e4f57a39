package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/tools/capacity"
)

// relaySizes are directors of one relay; few are relays.
var (
	directorsPerRelay = []int{50, 100, 200, 400, 800}
	relayCounts       = []int{4, 8, 16, 32, 64}
)

const (
	leaseInterval   = 50 * time.Millisecond  // from one request of a relay to the next
	renewalInterval = 100 * time.Millisecond // from one renewal of a director to the next
	demandGroups    = 16                     // of equal demand, that a relay names at most
	limitCount      = 8
)

func relayMeasures() []Measure {
	return []Measure{
		{
			Name: "relay.time.renewal_8_limits", About: "one quota renewal of 8 limits at a relay with so many directors, each each 100 ms; its own renewals each 50 ms and their answers are in it",
			XUnit: "director of a relay", Unit: capacity.Seconds, Sizes: directorsPerRelay, At: relayRenewalTime,
		},
		{
			Name: "relay.bytes.renewal_8_limits", About: "the relay's own renewal of 8 limits in JSON", XUnit: "director of a relay",
			Unit: capacity.Bytes, Sizes: directorsPerRelay, At: relayRenewalBytes,
		},
		{
			Name: "leader.time.renewal_8_limits_relays", About: "one quota renewal of 8 limits, of 16 groups of demand each, among so many relays", XUnit: "relay",
			Unit: capacity.Seconds, Sizes: relayCounts, At: renewalOfRelaysTime,
		},
		{
			Name: "leader.memory.adoption_relays", About: "heap of the record of 2,000 events at so many relays", XUnit: "relay",
			Unit: capacity.Bytes, Sizes: relayCounts, At: relayAppliedHeap,
		},
	}
}

// quotaTree is a leader's allocator and a relay's node with its directors.
type quotaTree struct {
	root     *quota.Allocator
	node     *quota.Node
	renewals []quota.Renewal
	now      time.Duration
	renewed  time.Duration // when the node last renewed
	granted  float64
}

// quotaTreeOf is a tree in which all directors have renewed, and have been granted something.
func quotaTreeOf(directors int) (*quotaTree, error) {
	t := &quotaTree{root: quota.NewAllocator(relaysession.QuotaSettings, 1, time.Hour, true), node: quota.NewNode("relay-1/1", relaysession.QuotaSettings), now: time.Hour}
	limits := limitNames(limitCount)
	for i := range directors {
		r := renewalOf(directorOf(i).ID(), 1, limits)
		for k := range r.Wants {
			r.Wants[k].Demand = float64((i*7919)%directors+1) / float64(directors*directors)
		}
		t.renewals = append(t.renewals, r)
	}
	t.renewNode()
	for i := range 3 * directors {
		t.renew(i)
	}
	if t.granted == 0 {
		return nil, fmt.Errorf("%d directors were granted nothing", directors)
	}
	return t, nil
}

func (t *quotaTree) renewNode() {
	t.node.Take(t.root.Renew(t.node.Renewal(t.now), t.now), t.now)
	t.renewed = t.now
}

// renew has the directors renew in turn.
func (t *quotaTree) renew(n int) {
	t.now += renewalInterval / time.Duration(len(t.renewals))
	if t.now-t.renewed >= leaseInterval {
		t.renewNode()
	}
	r := &t.renewals[n%len(t.renewals)]
	r.Taken = r.Seq
	r.Seq++
	for _, part := range t.node.Renew(*r, t.now).Parts {
		t.granted += part.Part
	}
}

func relayRenewalTime(directors int) (float64, error) {
	t, err := quotaTreeOf(directors)
	if err != nil {
		return 0, err
	}
	t.granted = 0
	took := timeOf(t.renew)
	if t.granted == 0 {
		return 0, fmt.Errorf("%d directors were granted nothing while it was measured", directors)
	}
	return took, nil
}

func relayRenewalBytes(directors int) (float64, error) {
	t, err := quotaTreeOf(directors)
	if err != nil {
		return 0, err
	}
	return float64(len(mustJSON(t.node.Renewal(t.now)))), nil
}

// renewalOfRelaysTime has relays renew in turn, each after 50 ms.
func renewalOfRelaysTime(relays int) (float64, error) {
	allocator := quota.NewAllocator(relaysession.QuotaSettings, 1, time.Hour, true)
	renewals := make([]quota.Renewal, relays)
	for i := range renewals {
		renewals[i] = renewalOf(fmt.Sprintf("relay-%d/1", i), 1, limitNames(limitCount))
		renewals[i].Node = true
		renewals[i].Leaves = expectedDirectors / relays
		for k := range renewals[i].Wants {
			want := &renewals[i].Wants[k]
			want.Demand = 0
			for g := range demandGroups {
				group := quota.Group{Demand: float64(g+i+1) / float64(expectedDirectors*demandGroups), Count: expectedDirectors / relays / demandGroups}
				want.Groups = append(want.Groups, group)
				want.Demand += group.Demand * float64(group.Count)
			}
		}
	}
	granted := 0.0
	took := timeOf(func(n int) {
		r := &renewals[n%relays]
		r.Taken, r.TakenFallback = r.Seq, r.Seq
		for k := range r.Wants {
			r.Wants[k].Taken = r.Seq
		}
		r.Seq++
		now := time.Hour + time.Duration(n)*leaseInterval/time.Duration(relays)
		for _, part := range allocator.Renew(*r, now).Parts {
			granted += part.Part
		}
	})
	if granted == 0 {
		return 0, fmt.Errorf("%d relays were granted nothing", relays)
	}
	return took, nil
}

func relayAppliedHeap(relays int) (float64, error) {
	return heapOf(func() any {
		record := adoption.New(recordedEvents, 0)
		for event := int64(0); event <= recordedEvents; event++ {
			at := time.Hour + time.Duration(event)*47*time.Millisecond
			if event > 0 {
				record.Told(event, at)
			}
			for i := range relays {
				record.Heard(adoption.RelayTaker(fmt.Sprintf("relay-%d/1", i)), event, at+time.Duration(i)*time.Millisecond)
			}
		}
		return record
	}), nil
}
