package director

import "time"

// WatchTiming is the timing of a director's watch of the event stream.
type WatchTiming struct {
	PollTimeout    time.Duration // for which a poll may wait for events
	SilenceTimeout time.Duration // after which a poll without a response is given up
	DialTimeout    time.Duration // within which a connection must come up
	RetryMin       time.Duration // first pause between two connections
	RetryMax       time.Duration // longest pause; it doubles each time that all addresses have been tried
	SpreadMax      time.Duration // over which directors that lost their connections at one moment spread, at most
}

// watchRetrySpread is by how much each further director widens the time over which all reconnect: 80
// directors do within 0.2 s.
const watchRetrySpread = 2500 * time.Microsecond

// announcedPollTimeout is the poll timeout of a director that announces itself: its polls renew its lease.
const announcedPollTimeout = 100 * time.Millisecond

// An event counts as acknowledged some seconds after it was published, whether it arrived or not (fleet.Rules.NotifiedWithinMS, 7 s by
// default). A silent stream must be noticed, the pause be over and a connection be up well before that, however many
// directors there are.
var oneAddressTiming = WatchTiming{
	PollTimeout:    2 * time.Second,
	SilenceTimeout: 3 * time.Second,
	DialTimeout:    time.Second,
	RetryMin:       20 * time.Millisecond,
	RetryMax:       500 * time.Millisecond,
	SpreadMax:      2 * time.Second,
}

// With several addresses, a silent one is given up soon enough that a purge still arrives in time over the next. Directors
// that lost one must be back before their membership lease ends.
var severalAddressesTiming = WatchTiming{
	PollTimeout:    announcedPollTimeout,
	SilenceTimeout: 2 * announcedPollTimeout,
	DialTimeout:    200 * time.Millisecond,
	RetryMin:       20 * time.Millisecond,
	RetryMax:       40 * time.Millisecond, // while replicas elect a leader, all reject their watchers for half a second
	SpreadMax:      200 * time.Millisecond,
}

// WatchTimingFor is the timing for a number of addresses. announced says that the director announces itself as a member.
func WatchTimingFor(addresses int, announced bool) WatchTiming {
	if addresses > 1 {
		return severalAddressesTiming
	}
	t := oneAddressTiming
	if announced {
		t.PollTimeout = announcedPollTimeout
		t.SilenceTimeout = 2 * announcedPollTimeout
	}
	return t
}

// Pause is how long to wait before the next connection: half the present retry time and a random part of as much again. It
// is spread wider the more directors there are, since all lost their connections at the same moment. random is from 0 up
// to 1.
func (t WatchTiming) Pause(retry time.Duration, directors int, random float64) time.Duration {
	spread := min(time.Duration(directors-1)*watchRetrySpread, t.SpreadMax)
	return retry/2 + time.Duration(random*float64(retry+spread))
}

// NextRetry is the retry time after all addresses were tried once more.
func (t WatchTiming) NextRetry(retry time.Duration) time.Duration { return min(2*retry, t.RetryMax) }
