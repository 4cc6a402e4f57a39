package measure

import (
	"stairvane.org/stairvane/internal/controlplane/api"
)

// newHeartbeats returns the body of a lease renewal of a replica: a heartbeat and a quota renewal of each director. One director in
// 40 announces itself again, because each director does so every 2 s.
func newHeartbeats(directors, coldCaches int, seq uint64) api.Heartbeats {
	var all api.Heartbeats
	limits := limitNames(coldCaches)
	for i := range directors {
		d := newDirector(i)
		heartbeat := api.Heartbeat{ID: d.ID(), AgeMS: int64(i % 50), AppliedRevision: int64(watchedRevision + seq)}
		if (i+int(seq))%40 == 0 {
			heartbeat.Director = &d
			heartbeat.Config = "9c1185a5c5e9fc54"
		}
		all.Directors = append(all.Directors, heartbeat)
		all.QuotaRenewals = append(all.QuotaRenewals, newRenewal(d.ID(), seq, limits))
	}
	return all
}

func leaseEncodingTime(directors int) (float64, error) {
	all := newHeartbeats(directors, 8, 1)
	return timePerOperation(func(int) { mustJSON(all) }), nil
}
