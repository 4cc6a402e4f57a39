package director

import "time"

// WatchTiming defines the timeouts and the reconnect backoff of a director's watch of the event stream.
type WatchTiming struct {
	PollTimeout    time.Duration // how long a poll waits for events
	SilenceTimeout time.Duration // after which a poll without a response fails
	DialTimeout    time.Duration // within which a connection must be established
	RetryMin       time.Duration // initial retry time
	RetryMax       time.Duration // maximum retry time; it doubles each time all addresses have been tried
	SpreadMax      time.Duration // maximum spread of the reconnects of directors that lost their connections at the same moment
}

// watchRetrySpread is the amount by which each additional director extends the interval over which all of them reconnect: 80
// directors reconnect within 0.2 s.
const watchRetrySpread = 2500 * time.Microsecond

// announcedPollTimeout is the poll timeout of a director that announces itself, whose polls renew its membership lease.
const announcedPollTimeout = 100 * time.Millisecond

// An event counts as acknowledged some seconds after its publication, whether or not it arrived (fleet.Rules.NotifiedWithinMS,
// 7 s by default). Well before that, a silent stream must have been detected, the pause must have ended, and a new connection
// must have been established, regardless of the number of directors.
var oneAddressTiming = WatchTiming{
	PollTimeout:    2 * time.Second,
	SilenceTimeout: 3 * time.Second,
	DialTimeout:    time.Second,
	RetryMin:       20 * time.Millisecond,
	RetryMax:       500 * time.Millisecond,
	SpreadMax:      2 * time.Second,
}

// With several addresses, a silent one is abandoned early enough for a purge to arrive in time through the next address. Directors
// that lost a connection must have reconnected before their membership lease expires.
var severalAddressesTiming = WatchTiming{
	PollTimeout:    announcedPollTimeout,
	SilenceTimeout: 2 * announcedPollTimeout,
	DialTimeout:    200 * time.Millisecond,
	RetryMin:       20 * time.Millisecond,
	RetryMax:       40 * time.Millisecond, // during an election, all replicas reject watchers for half a second
	SpreadMax:      200 * time.Millisecond,
}

// WatchTimingFor returns the timing for a number of addresses. announced is whether the director announces itself as a member.
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

// ReconnectDelay returns the time to wait before the next reconnect: half of retry, plus a random fraction of retry and of a spread. The
// spread grows with the number of directors, since all of them may have lost their connections at the same moment. random must
// be in the range from 0 to 1, excluding 1.
func (t WatchTiming) ReconnectDelay(retry time.Duration, directors int, random float64) time.Duration {
	spread := min(time.Duration(directors-1)*watchRetrySpread, t.SpreadMax)
	return retry/2 + time.Duration(random*float64(retry+spread))
}

// NextRetry returns the retry time to use after all addresses have been tried once more.
func (t WatchTiming) NextRetry(retry time.Duration) time.Duration { return min(2*retry, t.RetryMax) }
