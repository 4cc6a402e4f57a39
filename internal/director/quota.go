package director

import (
	"encoding/json"
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

const (
	// quotaInterval is the period in which changed shares are given to the decision module.
	quotaInterval = 20 * time.Millisecond
	// slowStartLimitPrefix begins the name of a limit: the slow start budget of a cache that is warming up.
	slowStartLimitPrefix = "cold:"
	// minDemand stands for a demand of 0, which would give the limit up.
	minDemand = 0.001
	// equalShare is the share of a cache without a leased quota.
	equalShare = -1
)

// quotaClient holds the director's leased shares of the slow start budgets of caches, and gives them to the decision
// module.
type quotaClient struct {
	prog   *Program
	holder *quota.Holder
	shares map[string]float64 // by cache, as the decision module has them
	timer  transport.Timer
}

func newQuotaClient(p *Program, directorID string) *quotaClient {
	q := &quotaClient{
		prog:   p,
		holder: quota.NewHolder(directorID, quota.DirectorSettings),
		shares: map[string]float64{},
	}
	q.timer.Fire = q.publish
	p.loop.Set(&q.timer, p.loop.Now()+quotaInterval)
	return q
}

func (q *quotaClient) renewal() json.RawMessage { return mustMarshal(q.holder.Renewal(bootTime())) }

func (q *quotaClient) leave() { q.holder.ReleaseAll() }

// updateDemands requests what this director would send to caches that are warming up.
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
		if !warming[cache] { // it has warmed up, or is gone
			q.holder.Want(quota.Want{Limit: slowStartLimitPrefix + cache})
			q.prog.director.SetQuotaShare(cache, equalShare)
			delete(q.shares, cache)
		}
	}
}

// takeGrant takes in what the control plane has granted.
func (q *quotaClient) takeGrant(raw json.RawMessage) {
	var grant quota.Grant
	if err := json.Unmarshal(raw, &grant); err != nil {
		slog.Warn("quota.malformed", "err", err)
		return
	}
	q.holder.Apply(grant, bootTime())
	q.publish()
}

// publish gives the decision module the shares that are in force.
func (q *quotaClient) publish() {
	now := bootTime()
	for cache, published := range q.shares {
		if share := q.holder.Available(slowStartLimitPrefix+cache, now); share != published {
			q.shares[cache] = share
			q.prog.director.SetQuotaShare(cache, share)
		}
	}
	q.prog.loop.Set(&q.timer, q.prog.loop.Now()+quotaInterval)
}

// shareExpired reports whether the share is over on which an attempt at a cache was decided: the process may have been
// paused since.
func (q *quotaClient) shareExpired(cache string) bool {
	published, warming := q.shares[cache]
	return warming && published > 0 && q.holder.Available(slowStartLimitPrefix+cache, bootTime()) < published/2
}
