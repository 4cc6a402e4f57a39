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
	zones        = 26  // in which the directors are spread
	sites        = 210 // likewise
	demandVaries = 0.2 // by which a demand differs from its mean, as a share
)

// ServesEvent is the log event that tells that a process runs; ControlKey is its key with the address of the control server.
const (
	ServesEvent = "simulated.serves"
	ControlKey  = "control"
)

// Now is the time since the machine started, its sleep included: one clock for all processes of a machine.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // no Linux lacks it
	}
	return time.Duration(ts.Nano())
}

func limitName(cache int) string { return fmt.Sprintf("cold:cache-%03d", cache) }

// Process is all simulated directors of one process on one loop. All but its control server runs on that loop.
type Process struct {
	settings  Settings
	timing    director.WatchTiming
	answers   answers
	loop      *transport.Loop
	directors []*simulatedDirector
	count     counters
	stopped   []string
	next      int // director to be restarted next
	control   net.Listener
}

// New prepares the directors; they begin to watch within Run.
func New(set Settings) (*Process, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	loop, err := transport.NewLoop()
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings: set,
		timing:   director.WatchTimingFor(len(set.Addresses), true),
		answers:  newAnswers(),
		loop:     loop,
		count:    newCounters(set, Now()),
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

// Run serves until the process is ended.
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
	slog.Info(ServesEvent, ControlKey, p.control.Addr().String(), "directors", len(p.directors))
	return p.loop.Run()
}

// handler is the control server: POST /begin begins a window, GET /report reports on it, GET /watching tells how many directors
// watch, POST /restart?count=N stops and starts so many.
func (p *Process) handler() http.Handler {
	mux := http.NewServeMux()
	p.serve(mux, "POST /begin", func(int) any { return p.begin() })
	p.serve(mux, "GET /report", func(int) any { return p.report() })
	p.serve(mux, "GET /watching", func(int) any { return p.watching(Now()) })
	p.serve(mux, "POST /restart", func(count int) any { return p.restart(count) })
	return mux
}

// serve answers a call with what a function on the loop returns.
func (p *Process) serve(mux *http.ServeMux, pattern string, do func(count int) any) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		count, err := strconv.Atoi(r.URL.Query().Get("count"))
		if err != nil {
			count = 0
		}
		done := make(chan any, 1)
		p.loop.Post(func() { done <- do(count) })
		if err := json.NewEncoder(w).Encode(<-done); err != nil {
			slog.Warn("simulated.answer_not_sent", "err", err)
		}
	})
}

func (p *Process) begin() int {
	p.count = newCounters(p.settings, Now())
	for _, d := range p.directors {
		d.silence = 0
	}
	return len(p.directors)
}

func (p *Process) restart(count int) int {
	for range count {
		p.directors[p.next%len(p.directors)].restart()
		p.next++
	}
	return count
}

// watching counts the directors that were answered within the silence limit.
func (p *Process) watching(now time.Duration) (count int) {
	for _, d := range p.directors {
		if d.answered > 0 && now-d.answered < p.timing.SilenceTimeout {
			count++
		}
	}
	return count
}

func (p *Process) report() Report {
	now := Now()
	r := Report{
		Directors:  len(p.directors),
		Watching:   p.watching(now),
		Length:     now - p.count.begin,
		Traffic:    p.count.traffic,
		Grants:     p.count.grants,
		PartSums:   make([]float64, p.settings.ColdCaches),
		Reconnects: p.count.ended,
		Reasons:    p.count.reasons,
		Repeated:   p.count.repeated,
		Purges:     p.count.purges,
		Stopped:    p.stopped,
	}
	for _, d := range p.directors {
		silence := max(d.silence, d.silent(now))
		r.LongestSilence = max(r.LongestSilence, silence)
		if silence > discovery.MembershipLease {
			r.Lapsed++
		}
		for cache := range r.PartSums {
			if d.renewer.HasShare(limitName(cache), now) {
				r.PartSums[cache] += d.renewer.Available(limitName(cache), now)
			}
		}
	}
	p.count.detach() // the report is encoded beside the loop
	return r
}
