package simulated

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

const (
	zoneCount       = 26  // locations that the directors are spread over
	siteCount       = 210 // sites that the directors are spread over
	demandVariation = 0.2 // largest deviation of a demand from its mean, as a share of the mean
)

// StartedEvent is the log event of a process that is ready. ControlAddressKey is its attribute with the control server's address.
const (
	StartedEvent      = "simulated.serves"
	ControlAddressKey = "control"
)

// Now returns the time since the machine booted, including suspends. All processes of a machine share this clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported Linux kernel has this clock
	}
	return time.Duration(ts.Nano())
}

func limitName(cache int) string { return fmt.Sprintf("cold:cache-%03d", cache) }

// Process holds the simulated directors of one process, which share one loop. All methods except those of the control server run on it.
type Process struct {
	settings      Settings
	timing        director.WatchTiming
	answerDecoder answerDecoder
	loop          *transport.Loop
	directors     []*simulatedDirector
	counters      windowCounters
	stopped       []string
	nextRestart   int // counter that selects the director to restart next
	control       net.Listener
}

// New creates the directors and the listener of the control server. The directors start to watch in Run.
func New(set Settings) (*Process, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	loop, err := transport.NewLoop()
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings:      set,
		timing:        director.WatchTimingFor(len(set.Addresses), true),
		answerDecoder: newAnswerDecoder(),
		loop:          loop,
		counters:      newWindowCounters(set, Now()),
	}
	if p.control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		loop.Release()
		return nil, err
	}
	demands := make([][]float64, set.Count)
	for cache := range set.ColdCaches {
		all := Demands(set.Seed, cache, set.Total, set.Zipf, set.Demand)
		for i := range demands {
			demands[i] = append(demands[i], all[set.First+i])
		}
	}
	for i := range set.Count {
		p.directors = append(p.directors, newDirector(p, set.First+i, demands[i]))
	}
	return p, nil
}

// Run starts the directors and the control server, and runs the loop until it ends.
func (p *Process) Run() error {
	for i, d := range p.directors {
		at := p.loop.Now() + time.Duration(i)*time.Second/time.Duration(p.settings.StartPerSecond)
		p.loop.Set(&d.timer, at)
	}
	go func() {
		if err := http.Serve(p.control, p.handler()); err != nil {
			slog.Error("simulated.control_ended", "err", err)
		}
	}()
	slog.Info(StartedEvent, ControlAddressKey, p.control.Addr().String(), "directors", len(p.directors))
	return p.loop.Run()
}

// handler returns the handler of the control server: POST /begin starts a window, GET /report returns a Report on it, GET /watching
// returns the number of directors that watch, and POST /restart?count=N restarts N directors.
func (p *Process) handler() http.Handler {
	mux := http.NewServeMux()
	p.handle(mux, "POST /begin", func(int) any { return p.beginWindow() })
	p.handle(mux, "GET /report", func(int) any { return p.report() })
	p.handle(mux, "GET /watching", func(int) any { return p.watching(Now()) })
	p.handle(mux, "POST /restart", func(count int) any { return p.restart(count) })
	return mux
}

// handle registers a handler that runs call on the loop and sends its result as JSON.
func (p *Process) handle(mux *http.ServeMux, pattern string, call func(count int) any) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		count, err := strconv.Atoi(r.URL.Query().Get("count"))
		if err != nil {
			count = 0
		}
		done := make(chan any, 1)
		p.loop.Post(func() { done <- call(count) })
		if err := json.NewEncoder(w).Encode(<-done); err != nil {
			slog.Warn("simulated.answer_not_sent", "err", err)
		}
	})
}

func (p *Process) beginWindow() int {
	p.counters = newWindowCounters(p.settings, Now())
	for _, d := range p.directors {
		d.longestSilence = 0
	}
	return len(p.directors)
}

func (p *Process) restart(count int) int {
	for range count {
		p.directors[p.nextRestart%len(p.directors)].restart()
		p.nextRestart++
	}
	return count
}

// watching returns the number of directors whose last answer is within the silence timeout.
func (p *Process) watching(now time.Duration) (count int) {
	for _, d := range p.directors {
		if d.answeredAt > 0 && now-d.answeredAt < p.timing.SilenceTimeout {
			count++
		}
	}
	return count
}

func (p *Process) report() Report {
	now := Now()
	r := Report{
		Directors:      len(p.directors),
		Watching:       p.watching(now),
		Length:         now - p.counters.windowStart,
		Traffic:        p.counters.traffic,
		Grants:         p.counters.grants,
		PartSums:       make([]float64, p.settings.ColdCaches),
		Reconnects:     p.counters.reconnects,
		Reasons:        p.counters.reasons,
		PurgesRepeated: p.counters.repeated,
		Purges:         p.counters.purges,
		Stopped:        p.stopped,
	}
	for _, d := range p.directors {
		longestSilence := max(d.longestSilence, d.silenceInWindow(now))
		r.LongestSilence = max(r.LongestSilence, longestSilence)
		if longestSilence > discovery.MembershipLease {
			r.Lapsed++
		}
		for cache := range r.PartSums {
			if d.quotaHolder.HasShare(limitName(cache), now) {
				r.PartSums[cache] += d.quotaHolder.Available(limitName(cache), now)
			}
		}
	}
	p.counters.cloneMaps() // the report is encoded on another goroutine
	return r
}
