package director

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

// MembershipLease is how long a director may act as a member after the watch request that was answered last. The control
// plane counts with the same length.
const MembershipLease = 400 * time.Millisecond

// QuotaSettings are those of leased shares of common limits; the control plane's are the same.
var QuotaSettings = quota.Settings{Lease: MembershipLease, Drift: 0.02, Reserve: 0.2, Fades: 20 * time.Second, Floor: 0.2, Hold: 0.05}

const sharesInterval = 20 * time.Millisecond

const coldLimitPrefix = "cold:"

const shrinkDelay = 10 * time.Second // for which the membership must be smaller before limits are divided by the smaller number

// bootTime is the time since the machine started, suspension included: a lease must expire while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // no Linux lacks it
	}
	return time.Duration(ts.Nano())
}

// membershipClient is the director's side of the membership: it announces the director with each watch request and applies
// the changes of the membership.
type membershipClient struct {
	prog         *Program
	self         discovery.Director
	claims       *claimer // nil: idempotency claims are off
	applied      int64    // number of the last membership event that was applied
	leaving      bool
	locations    map[string]string   // by director ID, of all members
	counted      decision.PeerCounts // as the decision module was given it
	shrinkTimer  transport.Timer
	quota        *quota.Holder
	shares       map[string]float64 // of cold caches' budgets, as the decision module was given them
	publishTimer transport.Timer
	lastRenewal  time.Duration   // when the watch request was made that was answered last
	maxStaleness time.Duration   // 0: unlimited
	fenced       bool            // the staleness limit was exceeded, and that was logged
	health       *healthReporter // nil: health reports are off
}

func newMembershipClient(p *Program, c config.Config) (*membershipClient, error) {
	r := &membershipClient{prog: p, locations: map[string]string{}, self: discovery.Director{
		Name: c.Name, Incarnation: c.Membership.Incarnation, Location: c.Settings.Zone,
		Machine: c.Membership.Machine, Site: c.Membership.Site, Version: c.Membership.Version,
	}}
	r.counted.Total = max(1, c.Settings.Directors)
	r.counted.InZone = r.counted.Total
	if i := slices.Index(c.Settings.Zones, c.Settings.Zone); i >= 0 && i < len(c.Settings.DirectorsByZone) {
		r.counted.InZone = c.Settings.DirectorsByZone[i]
	}
	r.maxStaleness = c.Membership.MaxStaleness
	r.quota, r.shares = quota.NewHolder(r.self.ID(), QuotaSettings), map[string]float64{}
	r.publishTimer.Fire = r.publishShares
	p.loop.Set(&r.publishTimer, p.loop.Now()+sharesInterval)
	if c.Membership.Health {
		r.health = newHealthReporter(p, r.self.ID())
	}
	if c.Claims == nil {
		return r, nil
	}
	var err error
	if r.claims, err = newClaimer(p, c, r.self); err == nil {
		r.self = r.claims.own
	}
	return r, err
}

// announcement is the announcement that goes with a watch request, as JSON.
func (r *membershipClient) announcement() []byte {
	a := discovery.Announcement{Director: r.self, MembershipRevision: r.applied, Leaving: r.leaving, Config: r.prog.config.Fingerprint}
	if r.claims != nil {
		a.ReadyShards = r.claims.node.Incomplete()
	}
	if !r.leaving {
		r.updateDemands()
	}
	var err error
	if a.QuotaRenewal, err = json.Marshal(r.quota.Renewal(bootTime())); err != nil {
		panic(err) // texts and numbers
	}
	if r.health != nil {
		a.HealthReport = r.health.report(bootTime())
	}
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // texts and numbers
	}
	return b
}

// renewed records that a watch request was answered: the director is a member until the lease, counted from the request,
// is over.
func (r *membershipClient) renewed(called time.Duration) {
	r.lastRenewal = max(r.lastRenewal, called)
	if r.claims != nil && !r.leaving {
		r.claims.node.Lease(called + MembershipLease)
	}
}

// applyChange applies a change of the membership.
func (r *membershipClient) applyChange(no int64, c *discovery.Membership) {
	r.applied = max(r.applied, no)
	if c.Snapshot {
		clear(r.locations)
	}
	for _, id := range c.Left {
		delete(r.locations, id)
	}
	for _, d := range c.Joined {
		r.locations[d.ID()] = d.Location
	}
	if len(c.Joined)+len(c.Left) > 0 || c.Snapshot {
		r.countDirectors()
	}
	if r.claims != nil {
		r.claims.news(c)
	}
}

// updateDemands updates what this director would send to cold caches.
func (r *membershipClient) updateDemands() {
	wanted := map[string]bool{}
	r.prog.director.SlowStartDemand(func(host string, demand float64) {
		wanted[host] = true
		r.quota.Want(quota.Want{Limit: coldLimitPrefix + host, Kind: quota.Rate, Demand: max(demand, 0.001)})
		if _, told := r.shares[host]; !told {
			r.shares[host] = -1
		}
	})
	for host := range r.shares {
		if !wanted[host] { // it is warm, or gone
			r.quota.Want(quota.Want{Limit: coldLimitPrefix + host})
			r.prog.director.SetQuotaShare(host, -1)
			delete(r.shares, host)
		}
	}
}

// takeGrant takes in what the board has takeGrant.
func (r *membershipClient) takeGrant(raw json.RawMessage) {
	var g quota.Grant
	if err := json.Unmarshal(raw, &g); err != nil {
		slog.Warn("turns.malformed", "err", err)
		return
	}
	r.quota.Take(g, bootTime())
	r.publishShares()
}

// publishShares gives the decision module the shares that are in force.
func (r *membershipClient) publishShares() {
	now := bootTime()
	for host, told := range r.shares {
		if part := r.quota.Part(coldLimitPrefix+host, now); part != told {
			r.shares[host] = part
			r.prog.director.SetQuotaShare(host, part)
		}
	}
	r.prog.loop.Set(&r.publishTimer, r.prog.loop.Now()+sharesInterval)
}

// shareExpired reports whether the share on which an attempt at a host was decided is over: the process may have been
// paused since.
func (r *membershipClient) shareExpired(host string) bool {
	told, cold := r.shares[host]
	return cold && told > 0 && r.quota.Part(coldLimitPrefix+host, bootTime()) < told/2
}

// stale reports whether the director's events are older than the staleness limit at this moment. A stale director begins
// no attempts, whether it was paused, is cut off, or the control plane is gone.
func (r *membershipClient) stale() bool {
	if r.maxStaleness == 0 {
		return false
	}
	old := bootTime() - r.lastRenewal
	if shut := old > r.maxStaleness; shut != r.fenced {
		r.fenced = shut
		if shut {
			slog.Error("straggler.shut", "news_ms", old.Milliseconds(), "most_ms", r.maxStaleness.Milliseconds(), "after", r.prog.watch.applied)
		} else {
			slog.Info("straggler.back", "after", r.prog.watch.applied)
		}
	}
	return r.fenced
}

// countDirectors gives the decision module the number of directors to divide by. More count at once, fewer only after a
// while: one that has left may only have lost its connection, and at a start of the fleet members join one by one.
func (r *membershipClient) countDirectors() {
	f := decision.PeerCounts{Total: len(r.locations)}
	for _, location := range r.locations {
		if location == r.self.Location {
			f.InZone++
		}
	}
	told := decision.PeerCounts{InZone: max(f.InZone, r.counted.InZone), Total: max(f.Total, r.counted.Total)}
	if told != r.counted {
		r.counted = told
		r.prog.director.SetPeerCounts(told)
	}
	if r.shrinkTimer.Stop(); f != told {
		r.shrinkTimer.Fire = func() {
			r.counted = f
			r.prog.director.SetPeerCounts(f)
		}
		r.prog.loop.Set(&r.shrinkTimer, r.prog.loop.Now()+shrinkDelay)
	}
}

// leave gives up the director's shares and claims.
func (r *membershipClient) leave() {
	r.leaving = true
	r.quota.Leave()
	if r.claims != nil {
		r.claims.node.Lease(0)
	}
}
