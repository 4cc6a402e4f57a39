package measure

import (
	"stairvane.org/stairvane/internal/controlplane/api"
)

// heartbeatsOf is the body of a replica's lease renewal: a heartbeat and a quota renewal of each director. One director in 40
// announces itself again, because each does so every 2 s.
func heartbeatsOf(directors, coldCaches int, seq uint64) api.Heartbeats {
	var all api.Heartbeats
	limits := limitNames(coldCaches)
	for i := range directors {
		d := directorOf(i)
		heartbeat := api.Heartbeat{ID: d.ID(), AgeMS: int64(i % 50), AppliedRevision: int64(watchedRevision + seq)}
		if (i+int(seq))%40 == 0 {
			heartbeat.Director = &d
			heartbeat.Config = "9c1185a5c5e9fc54"
		}
		all.Directors = append(all.Directors, heartbeat)
		all.QuotaRenewals = append(all.QuotaRenewals, renewalOf(d.ID(), seq, limits))
	}
	return all
}

func leaseEncodingTime(directors int) (float64, error) {
	all := heartbeatsOf(directors, 8, 1)
	return timeOf(func(int) { mustJSON(all) }), nil
}
