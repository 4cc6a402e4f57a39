package plan

import "slices"

// capacitySet is a multiset of capacities that tracks its sum and its largest member. It has few distinct members, since hosts come in
// few sizes.
type capacitySet struct {
	sum      float64
	count    int
	counts   map[float64]int
	distinct []float64 // in ascending order; some may have a count of 0
}

func (c *capacitySet) add(v float64) {
	if c.counts == nil {
		c.counts = map[float64]int{}
	}
	if _, known := c.counts[v]; !known {
		at, _ := slices.BinarySearch(c.distinct, v)
		c.distinct = slices.Insert(c.distinct, at, v)
	}
	c.counts[v]++
	c.sum += v
	c.count++
}

func (c *capacitySet) remove(v float64) {
	c.counts[v]--
	c.sum -= v
	c.count--
	if c.count == 0 {
		c.sum = 0 // discards accumulated rounding errors
	}
}

// largest returns the largest member, or 0 if there is none.
func (c *capacitySet) largest() float64 {
	for _, v := range slices.Backward(c.distinct) {
		if c.counts[v] > 0 {
			return v
		}
	}
	return 0
}

// sumWithoutLargest returns the sum without the largest member: the capacity that remains after the worst failure.
func (c *capacitySet) sumWithoutLargest() float64 { return c.sum - c.largest() }
