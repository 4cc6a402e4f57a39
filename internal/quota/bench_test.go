package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkRenew measures one renewal for different numbers of limits and of holders, each of which renews every 100 ms.
func BenchmarkRenew(b *testing.B) {
	for _, limits := range []int{0, 1, 8} {
		for _, holders := range []int{100, 200, 400, 800, 1600, 3500} {
			b.Run(fmt.Sprintf("limits=%d/holders=%d", limits, holders), func(b *testing.B) {
				allocator, now := NewAllocator(testSettings(), 1, 0, true), time.Duration(0)
				all := make([]*Holder, holders)
				for i := range all {
					all[i] = NewHolder(fmt.Sprint("d", i), testSettings())
					for l := range limits {
						all[i].Want(Want{Limit: fmt.Sprint("box-", l), Kind: Rate, Demand: float64(i+1) / 1000})
					}
				}
				renew := func(i int) {
					now += 100 * ms / time.Duration(holders)
					h := all[i%holders]
					h.Apply(allocator.Renew(h.Renewal(now), now), now)
				}
				for i := range 3 * holders {
					renew(i)
				}
				for i := 0; b.Loop(); i++ {
					renew(i)
				}
			})
		}
	}
}

// BenchmarkDivide measures one division of a limit for different numbers of holders. With 8 limits and n holders there are
// 8/(50 ms + n*50 us) divisions per second.
func BenchmarkDivide(b *testing.B) {
	for _, holders := range []int{400, 3500} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			allocator := NewAllocator(testSettings(), 1, 0, true)
			for i := range holders {
				h := NewHolder(fmt.Sprint("d", i), testSettings())
				h.Want(Want{Limit: "box", Kind: Rate, Demand: float64(i+1) / 1000})
				allocator.Renew(h.Renewal(0), 0)
			}
			l := allocator.limits["box"]
			for b.Loop() {
				l.dividedBudget = -1
				allocator.refreshDivision(l, budget{share: 0.8, evenShare: 0.8 / float64(holders)}, 0)
			}
		})
	}
}

// BenchmarkNodeRenewal measures the time and the size of one renewal of a node with 400 leaves that each want 8 limits.
func BenchmarkNodeRenewal(b *testing.B) {
	node := NewNode("n", treeSettings())
	for i := range 400 {
		h := NewHolder(fmt.Sprint("d", i), treeSettings())
		for l := range 8 {
			h.Want(Want{Limit: fmt.Sprint("box-", l), Kind: Rate, Demand: float64((i*7919)%400+1) / 1000})
		}
		node.Renew(h.Renewal(0), 0)
	}
	for b.Loop() {
		node.Renewal(0)
	}
	sent, err := json.Marshal(node.Renewal(0))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(sent)), "bytes")
}
