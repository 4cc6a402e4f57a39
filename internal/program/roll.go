package program

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane"
	"stairvane.org/stairvane/internal/config"
	"stairvane.org/stairvane/internal/protocol/bulletin"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

// RollLease is for how long a director may act on the roll without news. The board counts with the same.
const RollLease = 400 * time.Millisecond

// Turns is how parts of what is shared are leased; the board's are the same.
var Turns = quota.Settings{Lease: RollLease, Drift: 0.02, Reserve: 0.2, Fades: 20 * time.Second, Floor: 0.2, Hold: 0.05}

const partsEvery = 20 * time.Millisecond

const coldMark = "cold:"

const fewerAfter = 10 * time.Second // for which the roll must name fewer directors before it is divided by them

// bootTime is the time since the machine started, its sleep included: a lease must run out while it sleeps.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // no Linux lacks it
	}
	return time.Duration(ts.Nano())
}

// onRoll is the director's place on the board's roll: it presents itself with each call for news, and takes in who else is
// there.
type onRoll struct {
	prog    *Program
	own     bulletin.Director
	claims  *claimer // nil: it claims nothing
	last    int64    // number of the last event of the roll that was taken in
	leaving bool
	others  map[string]string // location, by ID of all on the roll
	told    stairvane.Fellows // to the decision module
	fewer   transport.Timer
	turns   *quota.Holder
	parts   map[string]float64 // of cold hosts' budgets, as the decision module was told them
	look    transport.Timer
	newest  time.Duration // when the call for news was made that was answered last
	most    time.Duration // by which the director's news may be old; 0: any
	shut    bool          // they are older, and that was logged
	signals *signaller    // nil: it tells nothing of boxes
}

func newOnRoll(p *Program, c config.Config) (*onRoll, error) {
	r := &onRoll{prog: p, others: map[string]string{}, own: bulletin.Director{Name: c.Name, Incarnation: c.Roll.Incarnation, Location: c.Settings.Zone,
		Machine: c.Roll.Machine, Site: c.Roll.Site, Version: c.Roll.Version}}
	r.told.All = max(1, c.Settings.Dispatchers)
	r.told.Here = r.told.All
	if i := slices.Index(c.Settings.Zones, c.Settings.Zone); i >= 0 && i < len(c.Settings.DispatchersByZone) {
		r.told.Here = c.Settings.DispatchersByZone[i]
	}
	r.most = c.Roll.BehindMost
	r.turns, r.parts = quota.NewHolder(r.own.ID(), Turns), map[string]float64{}
	r.look.Fire = r.tellParts
	p.loop.Set(&r.look, p.loop.Now()+partsEvery)
	if c.Roll.Signals {
		r.signals = newSignaller(p, r.own.ID())
	}
	if c.Claims == nil {
		return r, nil
	}
	var err error
	if r.claims, err = newClaimer(p, c, r.own); err == nil {
		r.own = r.claims.own
	}
	return r, err
}

// announcement is what the director says of itself with a call for news.
func (r *onRoll) announcement() []byte {
	a := bulletin.Announcement{Director: r.own, Roll: r.last, Leaving: r.leaving, Config: r.prog.config.Mark}
	if r.claims != nil {
		a.Complete = r.claims.node.Incomplete()
	}
	if !r.leaving {
		r.want()
	}
	var err error
	if a.Turns, err = json.Marshal(r.turns.Renewal(bootTime())); err != nil {
		panic(err) // texts and numbers
	}
	if r.signals != nil {
		a.Signals = r.signals.report(bootTime())
	}
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // texts and numbers
	}
	return b
}

// heard takes in that a call for news was answered: the director is on the roll at least until the lease from the call on.
func (r *onRoll) heard(called time.Duration) {
	r.newest = max(r.newest, called)
	if r.claims != nil && !r.leaving {
		r.claims.node.Lease(called + RollLease)
	}
}

// news takes a change of the roll in.
func (r *onRoll) news(no int64, c *bulletin.Roll) {
	r.last = max(r.last, no)
	if c.Whole {
		clear(r.others)
	}
	for _, id := range c.Gone {
		delete(r.others, id)
	}
	for _, d := range c.Joined {
		r.others[d.ID()] = d.Location
	}
	if len(c.Joined)+len(c.Gone) > 0 || c.Whole {
		r.count()
	}
	if r.claims != nil {
		r.claims.news(c)
	}
}

// want says what this director would send to cold hosts.
func (r *onRoll) want() {
	wanted := map[string]bool{}
	r.prog.director.ColdWants(func(host string, demand float64) {
		wanted[host] = true
		r.turns.Want(quota.Want{Limit: coldMark + host, Kind: quota.Rate, Demand: max(demand, 0.001)})
		if _, told := r.parts[host]; !told {
			r.parts[host] = -1
		}
	})
	for host := range r.parts {
		if !wanted[host] { // it is warm, or gone
			r.turns.Want(quota.Want{Limit: coldMark + host})
			r.prog.director.Part(host, -1)
			delete(r.parts, host)
		}
	}
}

// granted takes in what the board has granted.
func (r *onRoll) granted(raw json.RawMessage) {
	var g quota.Grant
	if err := json.Unmarshal(raw, &g); err != nil {
		slog.Warn("turns.malformed", "err", err)
		return
	}
	r.turns.Take(g, bootTime())
	r.tellParts()
}

// tellParts has the decision module know what parts are in force.
func (r *onRoll) tellParts() {
	now := bootTime()
	for host, told := range r.parts {
		if part := r.turns.Part(coldMark+host, now); part != told {
			r.parts[host] = part
			r.prog.director.Part(host, part)
		}
	}
	r.prog.loop.Set(&r.look, r.prog.loop.Now()+partsEvery)
}

// spent tells that the part on which an attempt at a host was decided is over: the process may have been paused since.
func (r *onRoll) spent(host string) bool {
	told, cold := r.parts[host]
	return cold && told > 0 && r.turns.Part(coldMark+host, bootTime()) < told/2
}

// behind tells whether the director's news are older than the fleet allows, at this very moment: whether it was paused, cut off,
// or its board is gone, it then begins nothing.
func (r *onRoll) behind() bool {
	if r.most == 0 {
		return false
	}
	old := bootTime() - r.newest
	if shut := old > r.most; shut != r.shut {
		r.shut = shut
		if shut {
			slog.Error("straggler.shut", "news_ms", old.Milliseconds(), "most_ms", r.most.Milliseconds(), "after", r.prog.discovery.last)
		} else {
			slog.Info("straggler.back", "after", r.prog.discovery.last)
		}
	}
	return r.shut
}

// count tells the decision module by how many to divide. More count at once, fewer only after a while: one that is gone may
// only have lost its way to the board, and at a start of the fleet the roll fills one by one.
func (r *onRoll) count() {
	f := stairvane.Fellows{All: len(r.others)}
	for _, location := range r.others {
		if location == r.own.Location {
			f.Here++
		}
	}
	told := stairvane.Fellows{Here: max(f.Here, r.told.Here), All: max(f.All, r.told.All)}
	if told != r.told {
		r.told = told
		r.prog.director.Fellows(told)
	}
	if r.fewer.Stop(); f != told {
		r.fewer.Fire = func() {
			r.told = f
			r.prog.director.Fellows(f)
		}
		r.prog.loop.Set(&r.fewer, r.prog.loop.Now()+fewerAfter)
	}
}

// leave gives up what the director holds of the roll's.
func (r *onRoll) leave() {
	r.leaving = true
	r.turns.Leave()
	if r.claims != nil {
		r.claims.node.Lease(0)
	}
}
