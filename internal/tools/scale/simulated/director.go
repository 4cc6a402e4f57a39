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

// ReasonRejected is the reason of a reconnect after the server rejected the request because it has no lease or too many watchers.
const ReasonRejected = "status 503"

var errAnswerTimeout = errors.New("no answer in time")

// simulatedDirector is one simulated director. It has one connection with one long poll at a time. It implements transport.Handler. Only
// the loop's goroutine uses it.
type simulatedDirector struct {
	process            *Process
	number             int
	identity           discovery.Director
	addressIndex       int // index of the current server's address
	addressesTried     int // addresses that failed since the last answer
	conn               *transport.Conn
	timer              transport.Timer
	retryPause         time.Duration
	rng                *mathrand.Rand
	lastRevision       int64 // revision of the last event received
	membershipRevision int64 // revision of the last membership event
	quotaHolder        *quota.Holder
	demands            []float64 // mean demands, by warming cache
	request            []byte

	answerCount    int64         // since its start; purges in the first answer may be older than the incarnation
	answeredAt     time.Duration // when the last answer arrived
	longestSilence time.Duration // longest time without an answer in the window
}

func newDirector(p *Process, number int, demands []float64) *simulatedDirector {
	d := &simulatedDirector{
		process:      p,
		number:       number,
		addressIndex: number % len(p.settings.Addresses),
		rng:          mathrand.New(mathrand.NewPCG(p.settings.Seed, uint64(number))),
		demands:      demands,
	}
	d.timer.Fire = d.onTimer
	d.reset()
	return d
}

// reset gives the director a new incarnation under the same name, without any state.
func (d *simulatedDirector) reset() {
	d.identity = discovery.Director{
		Name:        fmt.Sprintf("hollow-%05d", d.number),
		Incarnation: rand.Text(),
		Location:    fmt.Sprintf("zone-%02d", d.number%zoneCount),
		Machine:     fmt.Sprintf("machine-%05d", d.number),
		Site:        fmt.Sprintf("site-%03d", d.number%siteCount),
		Version:     "0123456789ab",
	}
	d.lastRevision, d.membershipRevision, d.answerCount = 0, 0, 0
	d.retryPause = d.process.timing.RetryMin
	d.quotaHolder = quota.NewHolder(d.identity.ID(), quota.DirectorSettings)
}

// restart stops the director without notice to the server and starts it as a new incarnation.
func (d *simulatedDirector) restart() {
	d.process.stopped = append(d.process.stopped, d.identity.ID())
	d.close()
	d.reset()
	d.connect()
}

func (d *simulatedDirector) close() {
	d.timer.Stop()
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// onTimer handles an answer timeout, or the end of the pause before the next connection.
func (d *simulatedDirector) onTimer() {
	if d.conn != nil {
		d.scheduleReconnect(errAnswerTimeout)
		return
	}
	d.connect()
}

func (d *simulatedDirector) connect() {
	d.timer.Stop()
	conn, err := d.process.loop.Dial(d.process.settings.Addresses[d.addressIndex], d.process.timing.DialTimeout, d)
	if err != nil {
		d.scheduleReconnect(err)
		return
	}
	d.conn = conn
}

// scheduleReconnect closes the connection and schedules a connection to the next address after a pause, as a director does. The pause
// grows each time that all addresses have failed.
func (d *simulatedDirector) scheduleReconnect(err error) {
	d.close()
	d.process.counters.reconnects++
	d.process.counters.reasons[err.Error()]++
	pause := d.process.timing.ReconnectDelay(d.retryPause, d.process.settings.Crowd, d.rng.Float64())
	d.process.loop.Set(&d.timer, d.process.loop.Now()+pause)
	addresses := len(d.process.settings.Addresses)
	d.addressIndex = (d.addressIndex + 1) % addresses
	d.addressesTried++
	if d.addressesTried%addresses != 0 {
		return
	}
	d.retryPause = d.process.timing.NextRetry(d.retryPause)
}

// Opened implements transport.Handler.
func (d *simulatedDirector) Opened() { d.poll() }

// Flushed implements transport.Handler.
func (d *simulatedDirector) Flushed() {}

// Closed implements transport.Handler.
func (d *simulatedDirector) Closed(err error) {
	d.conn = nil
	d.scheduleReconnect(err)
}

func (d *simulatedDirector) poll() {
	address := d.process.settings.Addresses[d.addressIndex].String()
	waitMilliseconds := d.process.timing.PollTimeout.Milliseconds()
	d.request = discovery.AppendRequest(d.request[:0], address, d.lastRevision, waitMilliseconds, d.announcement())
	traffic := &d.process.counters.traffic[d.addressIndex]
	traffic.Requests++
	traffic.BytesUp += int64(len(d.request))
	d.conn.Write(d.request)
	d.process.loop.Set(&d.timer, d.process.loop.Now()+d.process.timing.SilenceTimeout)
}

// announcement returns the director's announcement header: its identity and its quota renewal with the current demands.
func (d *simulatedDirector) announcement() []byte {
	for cache, mean := range d.demands {
		demand := max(MinDemand, mean*(1+demandVariation*(2*d.rng.Float64()-1)))
		d.quotaHolder.Want(quota.Want{Limit: limitName(cache), Kind: quota.Rate, Demand: demand})
	}
	a := discovery.Announcement{Director: d.identity, MembershipRevision: d.membershipRevision, Config: "0123456789abcdef"}
	var err error
	if a.QuotaRenewal, err = json.Marshal(d.quotaHolder.Renewal(Now())); err != nil {
		panic(err) // can't happen: it holds only strings and numbers
	}
	header, err := json.Marshal(a)
	if err != nil {
		panic(err) // can't happen: it holds only strings and numbers
	}
	return header
}

// Data implements transport.Handler.
func (d *simulatedDirector) Data(b []byte) (used, need int, err error) {
	response, used, need, err := discovery.ParseResponse(b)
	if err != nil || used == 0 {
		return 0, need, err
	}
	traffic := &d.process.counters.traffic[d.addressIndex]
	traffic.BytesDown += int64(used)
	if response.Status != 200 {
		return used, 0, fmt.Errorf("status %d", response.Status)
	}
	watchResponse, err := d.process.answerDecoder.decode(response.Body)
	if err != nil {
		return used, 0, err
	}
	traffic.Answers++
	now := Now()
	d.longestSilence = max(d.longestSilence, d.silenceInWindow(now))
	d.answeredAt, d.retryPause, d.addressesTried = now, d.process.timing.RetryMin, 0
	d.applyResponse(watchResponse, now)
	if response.Close {
		d.close()
		d.connect()
		return used, 0, nil
	}
	d.poll()
	return used, 0, nil
}

// applyResponse applies the grant and the events of an answer. It counts purges on their first arrival and repeated ones.
func (d *simulatedDirector) applyResponse(response discovery.WatchResponse, now time.Duration) {
	if len(response.QuotaGrant) > 0 {
		d.applyGrant(response.QuotaGrant, now)
	}
	counters := &d.process.counters
	hadMembership := d.membershipRevision > 0 // otherwise the server sends all events from the start
	for _, event := range response.Events {
		if event.Membership != nil && (event.Membership.Snapshot || event.Revision > d.lastRevision) {
			d.membershipRevision = max(d.membershipRevision, event.Revision)
		}
		if event.Revision <= d.lastRevision {
			if event.Purge != nil && hadMembership {
				counters.repeated++
			}
			continue
		}
		d.lastRevision = event.Revision
		if event.Purge != nil && d.answerCount > 0 {
			counters.purges[event.Revision] = append(counters.purges[event.Revision], int64(now))
		}
	}
	d.lastRevision = max(d.lastRevision, response.LastRevision)
	d.answerCount++
}

func (d *simulatedDirector) applyGrant(raw json.RawMessage, now time.Duration) {
	var grant quota.Grant
	if err := json.Unmarshal(raw, &grant); err != nil {
		d.process.counters.reasons["malformed grant: "+err.Error()]++
		return
	}
	d.quotaHolder.Apply(grant, now)
	d.process.counters.grants++
}

// silenceInWindow returns the time since the last answer, or since the start of the window if that is later.
func (d *simulatedDirector) silenceInWindow(now time.Duration) time.Duration {
	return now - max(d.answeredAt, d.process.counters.windowStart)
}
