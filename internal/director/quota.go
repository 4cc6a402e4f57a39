package director

import (
	"encoding/json"
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

const (
	// quotaInterval is the interval at which changed shares are passed to the decision module.
	quotaInterval = 20 * time.Millisecond
	// slowStartLimitPrefix is the prefix of the names of limits that are slow start budgets. A cache's name follows.
	slowStartLimitPrefix = "cold:"
	// minDemand replaces a demand of 0, which would release the quota.
	minDemand = 0.001
	// equalShare is the share of a cache without a leased quota.
	equalShare = -1
)

// quotaClient leases shares of the slow start budgets of caches and passes them to the decision module.
type quotaClient struct {
	prog   *Program
	holder *quota.Holder
	shares map[string]float64 // by cache, as last passed to the decision module
	timer  transport.Timer
}

func newQuotaClient(p *Program, directorID string) *quotaClient {
	q := &quotaClient{
		prog:   p,
		holder: quota.NewHolder(directorID, quota.DirectorSettings),
		shares: map[string]float64{},
	}
	q.timer.Fire = q.publishShares
	p.loop.Set(&q.timer, p.loop.Now()+quotaInterval)
	return q
}

func (q *quotaClient) renewal() json.RawMessage { return mustMarshal(q.holder.Renewal(bootTime())) }

func (q *quotaClient) leave() { q.holder.ReleaseAll() }

// updateDemands updates the demand for each cache that is warming up, and releases the quotas of all others.
func (q *quotaClient) updateDemands() {
	warming := map[string]bool{}
	q.prog.director.SlowStartDemand(func(cache string, demand float64) {
		warming[cache] = true
		q.holder.Want(quota.Want{
			Limit:  slowStartLimitPrefix + cache,
			Kind:   quota.Rate,
			Demand: max(demand, minDemand),
		})
		if _, known := q.shares[cache]; !known {
			q.shares[cache] = equalShare
		}
	})
	for cache := range q.shares {
		if !warming[cache] { // the cache has warmed up or is gone
			q.holder.Want(quota.Want{Limit: slowStartLimitPrefix + cache})
			q.prog.director.SetQuotaShare(cache, equalShare)
			delete(q.shares, cache)
		}
	}
}

// applyGrant applies a quota grant of the control plane.
func (q *quotaClient) applyGrant(raw json.RawMessage) {
	var grant quota.Grant
	if err := json.Unmarshal(raw, &grant); err != nil {
		slog.Warn("quota.malformed", "err", err)
		return
	}
	q.holder.Apply(grant, bootTime())
	q.publishShares()
}

// publishShares passes the shares that have changed to the decision module.
func (q *quotaClient) publishShares() {
	now := bootTime()
	for cache, published := range q.shares {
		if share := q.holder.Available(slowStartLimitPrefix+cache, now); share != published {
			q.shares[cache] = share
			q.prog.director.SetQuotaShare(cache, share)
		}
	}
	q.prog.loop.Set(&q.timer, q.prog.loop.Now()+quotaInterval)
}

// shareExpired reports whether the share on which the decision module bases attempts at a cache has expired, which happens if
// the process was paused.
func (q *quotaClient) shareExpired(cache string) bool {
	published, warming := q.shares[cache]
	return warming && published > 0 && q.holder.Available(slowStartLimitPrefix+cache, bootTime()) < published/2
}
