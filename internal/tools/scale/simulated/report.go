package simulated

import (
	"maps"
	"slices"
	"time"
)

// Traffic counts the watch protocol between the directors of a process and one server in the window.
type Traffic struct {
	Address   string `json:"address"`
	Requests  int64  `json:"requests"`
	Answers   int64  `json:"answers"`
	BytesUp   int64  `json:"bytes_up"`
	BytesDown int64  `json:"bytes_down"`
}

// Report is what the directors of one process have seen since the window began. Times are nanoseconds; those that are points in
// time are of CLOCK_BOOTTIME, which all processes of a machine share.
type Report struct {
	Directors      int               `json:"directors"`
	Watching       int               `json:"watching"` // directors that were answered within the silence limit
	Length         time.Duration     `json:"length"`   // of the window so far
	Traffic        []Traffic         `json:"traffic"`
	Grants         int64             `json:"grants"`          // quota grants that were taken
	PartSums       []float64         `json:"part_sums"`       // for each warming cache, the sum of the parts in force now
	Reconnects     int64             `json:"reconnects"`      // connections that ended or could not be opened
	Reasons        map[string]int64  `json:"reasons"`         // of reconnects, with how many there were
	LongestSilence time.Duration     `json:"longest_silence"` // longest time in the window that a director was without an answer
	Lapsed         int               `json:"lapsed"`          // directors whose membership lease ran out in the window
	Repeated       int64             `json:"repeated"`        // purges that came to a director once more or out of order
	Purges         map[int64][]int64 `json:"purges"`          // arrivals of purges at directors, by event number
	Stopped        []string          `json:"stopped"`         // IDs of directors that were stopped and started anew, since the start
}

// counters are what the process counts in a window.
type counters struct {
	begin    time.Duration
	traffic  []Traffic
	grants   int64
	ended    int64
	reasons  map[string]int64
	repeated int64
	purges   map[int64][]int64
}

func newCounters(set Settings, now time.Duration) counters {
	c := counters{
		begin:   now,
		traffic: make([]Traffic, len(set.Addresses)),
		reasons: map[string]int64{},
		purges:  map[int64][]int64{},
	}
	for i, address := range set.Addresses {
		c.traffic[i].Address = address.String()
	}
	return c
}

// detach goes on counting in maps of its own, after a report has taken those that there are. Lists of arrivals only grow, and
// a report reads no further than they went.
func (c *counters) detach() {
	c.traffic = slices.Clone(c.traffic)
	c.reasons = maps.Clone(c.reasons)
	c.purges = maps.Clone(c.purges)
}
