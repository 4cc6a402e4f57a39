package plan

import "slices"

// capacities is a multiset of capacities with its sum and its greatest member. It has few distinct members, for hosts come in few kinds.
type capacities struct {
	sum      float64
	count    int
	counts   map[float64]int
	distinct []float64 // ascending; some may have a count of 0
}

func (c *capacities) add(v float64) {
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

func (c *capacities) remove(v float64) {
	c.counts[v]--
	c.sum -= v
	c.count--
	if c.count == 0 {
		c.sum = 0 // without rounding errors
	}
}

// greatest is the greatest member; 0 if there is none.
func (c *capacities) greatest() float64 {
	for _, v := range slices.Backward(c.distinct) {
		if c.counts[v] > 0 {
			return v
		}
	}
	return 0
}

// withoutGreatest is the sum with the greatest member dying.
func (c *capacities) withoutGreatest() float64 { return c.sum - c.greatest() }
