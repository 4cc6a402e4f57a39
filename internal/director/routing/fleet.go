package routing

import (
	"cmp"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// SetNotifiedAt sets the time at which the process received the endpoint lists and purges that are applied next. It is in
// effect until it is called with 0. Grace periods start at that time, even on a core that was stalled when they arrived.
func (d *Director) SetNotifiedAt(at time.Duration) { d.notifiedAt = at }

func (d *Director) notificationTime() time.Duration {
	if d.notifiedAt > 0 {
		return d.notifiedAt
	}
	return d.loop.Now()
}

// ServedRate returns the current and the recent peak rate at which the module has served, in seconds of sending time per
// second.
func (d *Director) ServedRate() (current, peak float64) { return d.module.ServedRate() }

// SlowStartDemand calls f for each host that is warming up, with the share of the host's capacity that this director would
// use.
func (d *Director) SlowStartDemand(f func(host string, demand float64)) {
	d.module.SlowStartDemand(func(id decision.HostID, demand float64) {
		if h := d.hosts[id]; h != nil {
			f(h.Name, demand)
		}
	})
}

// minQuotaShare replaces a share of 0, which the module would interpret as an equal share.
const minQuotaShare = 1e-9

// SetQuotaShare sets this director's share of the capacity of a host that is warming up. A share below 0 selects an equal
// share.
func (d *Director) SetQuotaShare(host string, share float64) {
	h := d.byName[host]
	if h == nil {
		return
	}
	if share < 0 {
		share = 0
	} else {
		share = max(share, minQuotaShare)
	}
	d.handle(decision.QuotaShare{Host: h.Host, Share: share})
}

// HostOutcomes calls f for each host with the attempts, the failures and the latency overhead since the previous call. The
// incarnation consists of the host's name and start time, so that a restarted process is reported separately.
func (d *Director) HostOutcomes(f func(incarnation string, attempts, failures, overhead float64)) {
	d.module.HostOutcomes(func(id decision.HostID, attempts, failures, overhead float64) {
		if h := d.hosts[id]; h != nil {
			f(h.incarnationName(), attempts, failures, overhead)
		}
	})
}

// SetAggregatedHealth sets the share of a host's attempts that fail, as aggregated over all directors. It does nothing if
// the host is unknown or has been restarted since.
func (d *Director) SetAggregatedHealth(incarnation string, failureShare float64) {
	name := incarnation
	if i := strings.LastIndexByte(incarnation, '@'); i >= 0 {
		name = incarnation[:i]
	}
	h := cmp.Or(d.byName[name], d.byName[incarnation])
	if h != nil && h.incarnationName() == incarnation {
		d.handle(decision.AggregatedHealth{Host: h.Host, FailureShare: failureShare})
	}
}

// SetPeerCounts sets the current numbers of directors.
func (d *Director) SetPeerCounts(counts decision.PeerCounts) { d.handle(counts) }
