package simulated

import (
	"maps"
	"slices"
	"time"
)

// Traffic counts the messages of the watch protocol between the directors of a process and one server in the window.
type Traffic struct {
	Address   string `json:"address"`
	Requests  int64  `json:"requests"`
	Answers   int64  `json:"answers"`
	BytesUp   int64  `json:"bytes_up"`
	BytesDown int64  `json:"bytes_down"`
}

// Report holds the measurements of the directors of one process since the start of the window. Times are in nanoseconds. Points in
// time are readings of CLOCK_BOOTTIME, which all processes of a machine share.
type Report struct {
	Directors      int               `json:"directors"`
	Watching       int               `json:"watching"` // directors whose last answer is within the silence timeout
	Length         time.Duration     `json:"length"`   // length of the window so far
	Traffic        []Traffic         `json:"traffic"`
	Grants         int64             `json:"grants"`          // quota grants received
	PartSums       []float64         `json:"part_sums"`       // by warming cache, the sum of the shares in force now
	Reconnects     int64             `json:"reconnects"`      // connections that were closed or could not be opened
	Reasons        map[string]int64  `json:"reasons"`         // number of reconnects by reason
	LongestSilence time.Duration     `json:"longest_silence"` // longest time in the window that a director was without an answer
	Lapsed         int               `json:"lapsed"`          // directors whose membership lease expired in the window
	PurgesRepeated int64             `json:"repeated"`        // purges that a director received again or out of order
	Purges         map[int64][]int64 `json:"purges"`          // times at which purges arrived at directors, by revision
	Stopped        []string          `json:"stopped"`         // IDs of the directors stopped for a restart since the process started
}

// windowCounters holds what a process counts in a window.
type windowCounters struct {
	windowStart time.Duration
	traffic     []Traffic
	grants      int64
	reconnects  int64
	reasons     map[string]int64
	repeated    int64
	purges      map[int64][]int64
}

func newWindowCounters(set Settings, now time.Duration) windowCounters {
	c := windowCounters{
		windowStart: now,
		traffic:     make([]Traffic, len(set.Addresses)),
		reasons:     map[string]int64{},
		purges:      map[int64][]int64{},
	}
	for i, address := range set.Addresses {
		c.traffic[i].Address = address.String()
	}
	return c
}

// cloneMaps replaces the slices and maps by clones after a report has taken the current ones. The lists of arrivals are not cloned:
// they are only appended to, and the report reads them up to their length at that time.
func (c *windowCounters) cloneMaps() {
	c.traffic = slices.Clone(c.traffic)
	c.reasons = maps.Clone(c.reasons)
	c.purges = maps.Clone(c.purges)
}
