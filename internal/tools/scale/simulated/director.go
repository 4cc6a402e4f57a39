package simulated

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

// Rejected is the reason of a reconnect where the server has no lease, or too many watchers.
const Rejected = "status 503"

var errSilent = errors.New("no answer in time")

// simulatedDirector is one simulated director: a connection with one long poll at a time. It implements transport.Handler.
type simulatedDirector struct {
	process            *Process
	number             int
	own                discovery.Director
	at                 int // place of the server among the addresses
	tried              int // addresses since the last answer
	conn               *transport.Conn
	timer              transport.Timer
	retry              time.Duration
	random             *mathrand.Rand
	lastRevision       int64 // number of the last event that was taken in
	membershipRevision int64 // number of the last event of the membership
	renewer            *quota.Holder
	demands            []float64 // mean demands, by warming cache
	request            []byte

	answers  int64         // since it began: purges of the first one are from before it
	answered time.Duration // when it was answered last
	silence  time.Duration // longest in the window
}

func newDirector(p *Process, number int, demands []float64) *simulatedDirector {
	d := &simulatedDirector{
		process: p,
		number:  number,
		at:      number % len(p.settings.Addresses),
		random:  mathrand.New(mathrand.NewPCG(p.settings.Seed, uint64(number))),
		demands: demands,
	}
	d.timer.Fire = d.overdue
	d.begin()
	return d
}

// begin makes the director a new process of its name, which knows nothing.
func (d *simulatedDirector) begin() {
	d.own = discovery.Director{
		Name:        fmt.Sprintf("hollow-%05d", d.number),
		Incarnation: rand.Text(),
		Location:    fmt.Sprintf("zone-%02d", d.number%zones),
		Machine:     fmt.Sprintf("machine-%05d", d.number),
		Site:        fmt.Sprintf("site-%03d", d.number%sites),
		Version:     "0123456789ab",
	}
	d.lastRevision, d.membershipRevision, d.answers = 0, 0, 0
	d.retry = d.process.timing.RetryMin
	d.renewer = quota.NewHolder(d.own.ID(), quota.DirectorSettings)
}

// restart stops the director without a word and starts it anew.
func (d *simulatedDirector) restart() {
	d.process.stopped = append(d.process.stopped, d.own.ID())
	d.close()
	d.begin()
	d.connect()
}

func (d *simulatedDirector) close() {
	d.timer.Stop()
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// overdue ends a call that is not answered, or a pause before the next connection.
func (d *simulatedDirector) overdue() {
	if d.conn != nil {
		d.lost(errSilent)
		return
	}
	d.connect()
}

func (d *simulatedDirector) connect() {
	d.timer.Stop()
	conn, err := d.process.loop.Dial(d.process.settings.Addresses[d.at], d.process.timing.DialTimeout, d)
	if err != nil {
		d.lost(err)
		return
	}
	d.conn = conn
}

// lost goes on at the next address after a pause, as a director does.
func (d *simulatedDirector) lost(err error) {
	d.close()
	d.process.count.ended++
	d.process.count.reasons[err.Error()]++
	pause := d.process.timing.Pause(d.retry, d.process.settings.Crowd, d.random.Float64())
	d.process.loop.Set(&d.timer, d.process.loop.Now()+pause)
	addresses := len(d.process.settings.Addresses)
	d.at = (d.at + 1) % addresses
	d.tried++
	if d.tried%addresses != 0 {
		return
	}
	d.retry = d.process.timing.NextRetry(d.retry)
}

// Opened implements transport.Handler.
func (d *simulatedDirector) Opened() { d.poll() }

// Flushed implements transport.Handler.
func (d *simulatedDirector) Flushed() {}

// Closed implements transport.Handler.
func (d *simulatedDirector) Closed(err error) {
	d.conn = nil
	d.lost(err)
}

func (d *simulatedDirector) poll() {
	address := d.process.settings.Addresses[d.at].String()
	waitMilliseconds := d.process.timing.PollTimeout.Milliseconds()
	d.request = discovery.AppendRequest(d.request[:0], address, d.lastRevision, waitMilliseconds, d.announcement())
	traffic := &d.process.count.traffic[d.at]
	traffic.Requests++
	traffic.BytesUp += int64(len(d.request))
	d.conn.Write(d.request)
	d.process.loop.Set(&d.timer, d.process.loop.Now()+d.process.timing.SilenceTimeout)
}

// announcement is the director's header: who it is, and its quota renewal with the demands of this moment.
func (d *simulatedDirector) announcement() []byte {
	for cache, mean := range d.demands {
		demand := max(LeastDemand, mean*(1+demandVaries*(2*d.random.Float64()-1)))
		d.renewer.Want(quota.Want{Limit: limitName(cache), Kind: quota.Rate, Demand: demand})
	}
	a := discovery.Announcement{Director: d.own, MembershipRevision: d.membershipRevision, Config: "0123456789abcdef"}
	var err error
	if a.QuotaRenewal, err = json.Marshal(d.renewer.Renewal(Now())); err != nil {
		panic(err) // texts and numbers
	}
	header, err := json.Marshal(a)
	if err != nil {
		panic(err) // texts and numbers
	}
	return header
}

// Data implements transport.Handler.
func (d *simulatedDirector) Data(b []byte) (used, need int, err error) {
	response, used, need, err := discovery.ParseResponse(b)
	if err != nil || used == 0 {
		return 0, need, err
	}
	traffic := &d.process.count.traffic[d.at]
	traffic.BytesDown += int64(used)
	if response.Status != 200 {
		return used, 0, fmt.Errorf("status %d", response.Status)
	}
	feed, err := d.process.answers.decode(response.Body)
	if err != nil {
		return used, 0, err
	}
	traffic.Answers++
	now := Now()
	d.silence = max(d.silence, d.silent(now))
	d.answered, d.retry, d.tried = now, d.process.timing.RetryMin, 0
	d.take(feed, now)
	if response.Close {
		d.close()
		d.connect()
		return used, 0, nil
	}
	d.poll()
	return used, 0, nil
}

// take takes a feed in, each event once.
func (d *simulatedDirector) take(feed discovery.WatchResponse, now time.Duration) {
	if len(feed.QuotaGrant) > 0 {
		d.takeGrant(feed.QuotaGrant, now)
	}
	count := &d.process.count
	hadMembership := d.membershipRevision > 0 // without it the server sends all events from the beginning
	for _, item := range feed.Events {
		if item.Membership != nil && (item.Membership.Snapshot || item.Revision > d.lastRevision) {
			d.membershipRevision = max(d.membershipRevision, item.Revision)
		}
		if item.Revision <= d.lastRevision {
			if item.Purge != nil && hadMembership {
				count.repeated++
			}
			continue
		}
		d.lastRevision = item.Revision
		if item.Purge != nil && d.answers > 0 {
			count.purges[item.Revision] = append(count.purges[item.Revision], int64(now))
		}
	}
	d.lastRevision = max(d.lastRevision, feed.LastRevision)
	d.answers++
}

func (d *simulatedDirector) takeGrant(raw json.RawMessage, now time.Duration) {
	var grant quota.Grant
	if err := json.Unmarshal(raw, &grant); err != nil {
		d.process.count.reasons["malformed grant: "+err.Error()]++
		return
	}
	d.renewer.Apply(grant, now)
	d.process.count.grants++
}

// silent is for how long the director has been without an answer within the window.
func (d *simulatedDirector) silent(now time.Duration) time.Duration {
	return now - max(d.answered, d.process.count.begin)
}
