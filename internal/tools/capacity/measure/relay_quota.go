package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/quota"
)

// quotaTree consists of the allocator of a leader and the node of a relay with its directors.
type quotaTree struct {
	root        *quota.Allocator
	node        *quota.Node
	renewals    []quota.Renewal
	now         time.Duration
	lastRenewal time.Duration // time of the node's last renewal
	granted     float64
}

// newQuotaTree returns a tree in which all directors have renewed their quotas. It returns an error if no quota was granted.
func newQuotaTree(directors int) (*quotaTree, error) {
	t := &quotaTree{
		root: quota.NewAllocator(relaysession.QuotaSettings, 1, time.Hour, true),
		node: quota.NewNode("relay-1/1", relaysession.QuotaSettings),
		now:  time.Hour,
	}
	limits := limitNames(limitCount)
	for i := range directors {
		renewal := newRenewal(newDirector(i).ID(), 1, limits)
		demand := float64((i*7919)%directors+1) / float64(directors*directors) // a different demand for each director
		for limit := range renewal.Wants {
			renewal.Wants[limit].Demand = demand
		}
		t.renewals = append(t.renewals, renewal)
	}
	t.renewNode()
	for i := range 3 * directors {
		t.renewNextDirector(i)
	}
	if t.granted == 0 {
		return nil, fmt.Errorf("%d directors received no grant", directors)
	}
	return t, nil
}

func (t *quotaTree) renewNode() {
	t.node.Apply(t.root.Renew(t.node.Renewal(t.now), t.now), t.now)
	t.lastRenewal = t.now
}

// renewNextDirector renews the quotas of the next director, after those of the node if its interval has elapsed.
func (t *quotaTree) renewNextDirector(n int) {
	t.now += renewalInterval / time.Duration(len(t.renewals))
	if t.now-t.lastRenewal >= leaseInterval {
		t.renewNode()
	}
	renewal := &t.renewals[n%len(t.renewals)]
	renewal.InUse = renewal.Seq
	renewal.Seq++
	for _, share := range t.node.Renew(*renewal, t.now).Shares {
		t.granted += share.Fraction
	}
}

func relayRenewalTime(directors int) (float64, error) {
	t, err := newQuotaTree(directors)
	if err != nil {
		return 0, err
	}
	t.granted = 0
	seconds := timePerOperation(t.renewNextDirector)
	if t.granted == 0 {
		return 0, fmt.Errorf("%d directors received no grant during the measurement", directors)
	}
	return seconds, nil
}

func relayRenewalBytes(directors int) (float64, error) {
	t, err := newQuotaTree(directors)
	if err != nil {
		return 0, err
	}
	return float64(len(mustJSON(t.node.Renewal(t.now)))), nil
}

// renewalOfRelaysTime returns the allocator's processor time for one renewal of a relay, in seconds. The relays renew in turn, each
// once per lease interval.
func renewalOfRelaysTime(relays int) (float64, error) {
	allocator := quota.NewAllocator(relaysession.QuotaSettings, 1, time.Hour, true)
	renewals := make([]quota.Renewal, relays)
	for i := range renewals {
		renewals[i] = relayRenewal(i, relays)
	}
	granted := 0.0
	seconds := timePerOperation(func(n int) {
		renewal := &renewals[n%relays]
		renewal.InUse = renewal.Seq
		renewal.FallbackInUse = renewal.Seq
		for limit := range renewal.Wants {
			renewal.Wants[limit].InUse = renewal.Seq
		}
		renewal.Seq++
		now := time.Hour + time.Duration(n)*leaseInterval/time.Duration(relays)
		for _, share := range allocator.Renew(*renewal, now).Shares {
			granted += share.Fraction
		}
	})
	if granted == 0 {
		return 0, fmt.Errorf("%d relays received no grant", relays)
	}
	return seconds, nil
}

// relayRenewal returns the first renewal of one of several relays that have equal numbers of directors.
func relayRenewal(relay, relays int) quota.Renewal {
	renewal := newRenewal(fmt.Sprintf("relay-%d/1", relay), 1, limitNames(limitCount))
	renewal.Node = true
	renewal.Leaves = expectedDirectors / relays
	for limit := range renewal.Wants {
		want := &renewal.Wants[limit]
		want.Demand = 0
		for i := range demandGroups {
			group := quota.Group{
				Demand: float64(i+relay+1) / float64(expectedDirectors*demandGroups),
				Count:  expectedDirectors / relays / demandGroups,
			}
			want.Groups = append(want.Groups, group)
			want.Demand += group.Demand * float64(group.Count)
		}
	}
	return renewal
}

// relayAppliedHeap returns the heap, in bytes, of a record of when relays applied events.
func relayAppliedHeap(relays int) (float64, error) {
	return retainedHeap(func() any {
		record := adoption.New(recordedEvents, 0)
		for event := int64(0); event <= recordedEvents; event++ {
			at := time.Hour + time.Duration(event)*purgeInterval
			if event > 0 {
				record.RecordCommitted(event, at)
			}
			for i := range relays {
				relay := adoption.RelayReporter(fmt.Sprintf("relay-%d/1", i))
				record.RecordApplied(relay, event, at+time.Duration(i)*time.Millisecond)
			}
		}
		return record
	}), nil
}
