package scale

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"stairvane.org/stairvane/internal/tools/scale/simulated"
	"stairvane.org/stairvane/internal/tools/testharness"
)

const (
	megabyte          = 1 << 20
	leaderTimeout     = 5 * time.Second
	faultAfter        = 4                     // the fault is made after the window's length divided by this
	watchPollInterval = 25 * time.Millisecond // to check whether all watch, after a fault
	arrivalTimeout    = time.Second           // a purge that took longer counts as missing
	maxNames          = 20
	logDelay          = 2 * time.Second // after the window, for what happened in it to be logged
)

// window measures a cluster under load for a time.
type window struct {
	cluster        *cluster
	settings       Settings
	load           *load
	row            *Row
	members        []*member
	before         []usage
	lines          []int // of each replica's or relay's log before the window
	began          time.Duration
	ended          time.Duration
	faultAt        time.Duration // 0: none was made
	lastIncomplete atomic.Int64  // when some director was last seen not to watch
	tasks          sync.WaitGroup
}

// measure takes one window and fills the row.
func (w *window) measure(ctx context.Context) error {
	leader := w.cluster.group.Leader(leaderTimeout)
	if leader == nil {
		return errNoLeader
	}
	w.members = w.cluster.members(leader)
	w.row.LoadAverage[0] = loadAverage()
	if _, err := w.cluster.sum("POST", "/begin"); err != nil {
		return err
	}
	w.began = simulated.Now()
	busy, own, err := w.readBefore()
	if err != nil {
		return err
	}
	tasks, stop := context.WithCancel(ctx)
	defer stop()
	w.disturb(tasks, leader)
	if err := sleep(ctx, w.settings.Window); err != nil {
		return err
	}
	w.ended = simulated.Now()
	w.readAfter(busy, own)
	stop()
	w.tasks.Wait()
	reports, err := w.reports()
	if err != nil {
		return err
	}
	w.row.LoadAverage[1] = loadAverage()
	w.watchFigures(reports)
	w.purgeFigures(reports)
	w.recoveryFigures()
	if err := sleep(ctx, logDelay); err != nil {
		return err
	}
	w.membershipFigures(reports)
	return nil
}

func (w *window) readBefore() (busy time.Duration, own usage, err error) {
	for _, m := range w.members {
		used, err := readUsage(m.Pid())
		if err != nil {
			return 0, usage{}, err
		}
		w.before = append(w.before, used)
		w.lines = append(w.lines, len(m.Log()))
	}
	own, err = readUsage(os.Getpid())
	return machineBusy(), own, err
}

// readAfter computes what each process used in the window.
func (w *window) readAfter(busy time.Duration, own usage) {
	length := (w.ended - w.began).Seconds()
	w.row.WindowSeconds = length
	w.row.MachineBusy = (machineBusy() - busy).Seconds() / length
	for i, m := range w.members {
		use := Use{Role: m.role, Name: m.Name, Processes: 1}
		if after, err := readUsage(m.Pid()); err == nil && m.Running() {
			use.between(w.before[i], after)
		} else {
			use.Ended = true
		}
		w.row.Processes = append(w.row.Processes, use)
	}
	use := Use{Role: RoleRun, Name: RoleRun, Processes: 1}
	if after, err := readUsage(os.Getpid()); err == nil {
		use.between(own, after)
	}
	w.row.Processes = append(w.row.Processes, use)
	for _, use := range w.row.Processes {
		w.row.OwnBusy += use.CPU
	}
}

func (u *Use) between(before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	u.CPU = (after.cpu - before.cpu).Seconds() / seconds
	u.ResidentMB = float64(after.rss) / megabyte
	u.ReadBytes = float64(after.readBytes-before.readBytes) / seconds
	u.WriteBytes = float64(after.writeBytes-before.writeBytes) / seconds
	u.ReadCalls = float64(after.readCalls-before.readCalls) / seconds
	u.WriteCalls = float64(after.writeCalls-before.writeCalls) / seconds
}

// disturb makes the fault and the restarts that are wanted while the window goes on.
func (w *window) disturb(ctx context.Context, leader *testharness.Replica) {
	if w.settings.RestartPerSecond > 0 {
		w.tasks.Go(func() {
			each(ctx, float64(w.settings.RestartPerSecond), func(n int64) {
				p := w.cluster.simulated[int(n)%len(w.cluster.simulated)]
				var restarted int
				_ = w.cluster.call(p, "POST", "/restart?count=1", &restarted) // those that were are counted by the process
			})
		})
	}
	if w.settings.Fault == NoFault {
		return
	}
	w.tasks.Go(func() {
		if sleep(ctx, w.settings.Window/faultAfter) != nil {
			return
		}
		w.faultAt = simulated.Now()
		if w.settings.Fault == KillRelay {
			w.cluster.relays[0].Signal(syscall.SIGKILL)
		} else {
			leader.Signal(syscall.SIGKILL)
		}
		each(ctx, float64(time.Second/watchPollInterval), func(int64) { w.observeWatching() })
	})
}

func (w *window) observeWatching() {
	at := simulated.Now()
	watching, err := w.cluster.sum("GET", "/watching")
	if err != nil || watching < w.row.Simulated {
		w.lastIncomplete.Store(int64(at))
	}
}

func (w *window) reports() (all []simulated.Report, err error) {
	for _, p := range w.cluster.simulated {
		var r simulated.Report
		if err := w.cluster.call(p, "GET", "/report", &r); err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

// watchFigures adds up what the process of simulated directorses counted of the watch protocol and of quotas.
func (w *window) watchFigures(reports []simulated.Report) {
	row := w.row
	row.Reasons = map[string]int64{}
	sums := make([]float64, w.settings.ColdCaches)
	for _, r := range reports {
		seconds := r.Length.Seconds()
		for _, t := range r.Traffic {
			w.addTraffic(t, seconds)
		}
		row.Grants += float64(r.Grants) / seconds
		row.Reconnects += r.Reconnects
		row.Lapsed += r.Lapsed
		row.Repeated += r.Repeated
		row.Restarted += len(r.Stopped)
		row.LongestSilence = max(row.LongestSilence, milliseconds(r.LongestSilence))
		for reason, count := range r.Reasons {
			row.Reasons[reason] += count
		}
		row.EndedByServer += r.Reasons[io.EOF.Error()] + r.Reasons[simulated.Rejected]
		for cache, sum := range r.PartSums {
			sums[cache] += sum
		}
	}
	for _, sum := range sums {
		row.LargestPartSum = max(row.LargestPartSum, sum)
	}
	row.Roles = meansByRole(row.Processes)
}

func (w *window) addTraffic(t simulated.Traffic, seconds float64) {
	for i, m := range w.members {
		if m.address != t.Address || m.role == RoleSimulated {
			continue
		}
		use := &w.row.Processes[i]
		use.Requests += float64(t.Requests) / seconds
		use.BytesUp += float64(t.BytesUp) / seconds
		use.BytesDown += float64(t.BytesDown) / seconds
	}
	directors := float64(w.row.Simulated) * seconds
	w.row.DirectorCalls += float64(t.Requests) / directors
	w.row.DirectorUp += float64(t.BytesUp) / directors
	w.row.DirectorDown += float64(t.BytesDown) / directors
}

// meansByRole are the means of each role's processes, in the order in which roles come.
func meansByRole(processes []Use) (roles []Use) {
	for _, p := range processes {
		if p.Ended {
			continue
		}
		at := slices.IndexFunc(roles, func(u Use) bool { return u.Role == p.Role })
		if at < 0 {
			p.Name = ""
			roles = append(roles, p)
			continue
		}
		mean := &roles[at]
		n := float64(mean.Processes)
		for _, field := range []struct {
			to   *float64
			with float64
		}{
			{&mean.CPU, p.CPU},
			{&mean.ResidentMB, p.ResidentMB},
			{&mean.ReadBytes, p.ReadBytes},
			{&mean.WriteBytes, p.WriteBytes},
			{&mean.ReadCalls, p.ReadCalls},
			{&mean.WriteCalls, p.WriteCalls},
			{&mean.Requests, p.Requests},
			{&mean.BytesUp, p.BytesUp},
			{&mean.BytesDown, p.BytesDown},
		} {
			*field.to = (*field.to*n + field.with) / (n + 1)
		}
		mean.Processes++
	}
	return roles
}

// purgeFigures compares what was accepted with what came.
func (w *window) purgeFigures(reports []simulated.Report) {
	l := w.load
	l.mu.Lock()
	defer l.mu.Unlock()
	var accepted, delays, last []time.Duration
	for _, p := range l.purges {
		if p.called < w.began || p.accepted > w.ended-arrivalTimeout {
			continue
		}
		accepted = append(accepted, p.accepted-p.called)
		came := 0
		latest := time.Duration(0)
		for _, r := range reports {
			for _, at := range r.Purges[p.number] {
				delay := max(0, time.Duration(at)-p.accepted) // it may come before the writer has its answer
				delays = append(delays, delay)
				latest = max(latest, delay)
				came++
			}
		}
		last = append(last, latest)
		w.row.Missing += max(0, w.row.Simulated-came)
	}
	w.row.Unjudged = w.settings.RestartPerSecond > 0 // a director that begins anew gets purges from before with its first answer
	w.row.Accepted, w.row.Delay, w.row.Last = spread(accepted), spread(delays), spread(last)
	w.row.NotAccepted = within(l.failed, w.began, w.ended)
	w.row.Changes = within(l.changes, w.began, w.ended)
	w.row.ChangesBusy = within(l.notChanged, w.began, w.ended)
}

func (w *window) recoveryFigures() {
	if w.faultAt == 0 {
		return
	}
	w.row.FaultAtSeconds = (w.faultAt - w.began).Seconds()
	if notAll := time.Duration(w.lastIncomplete.Load()); notAll > 0 {
		w.row.RecoverySeconds = (notAll - w.faultAt).Seconds()
		w.row.Recovered = w.ended-notAll > time.Second
		return
	}
	w.row.Recovered = true
}

// membershipFigures counts who was removed from the membership, and who closed their watches, by the logs.
func (w *window) membershipFigures(reports []simulated.Report) {
	stopped := map[string]bool{}
	for _, r := range reports {
		for _, id := range r.Stopped {
			stopped[id] = true
		}
	}
	for i, m := range w.members {
		if m.role != RoleLeader && m.role != RoleReplica && m.role != RoleRelay {
			continue
		}
		gone, leaseLosses := readLog(m.Log()[w.lines[i]:])
		w.row.LeaseLosses += leaseLosses
		for _, id := range gone {
			w.row.MembershipGone++
			if stopped[id] {
				continue
			}
			w.row.MembershipLost++
			if len(w.row.LostNames) < maxNames {
				w.row.LostNames = append(w.row.LostNames, id)
			}
		}
	}
}

// readLog finds, in lines of a replica's or relay's log, the IDs of directors that were removed from the membership, and how often
// the process closed its watches for want of a lease.
func readLog(lines []string) (gone []string, leaseLosses int) {
	for _, line := range lines {
		var event struct {
			Message string   `json:"msg"`
			Gone    []string `json:"gone"`
		}
		if json.Unmarshal([]byte(line), &event) != nil {
			continue
		}
		switch event.Message {
		case "membership.changed":
			gone = append(gone, event.Gone...)
		case "watcher.lease_lost":
			leaseLosses++
		}
	}
	return gone, leaseLosses
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// spread sorts the times.
func spread(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	slices.Sort(times)
	at := func(share float64) float64 {
		return milliseconds(times[min(len(times)-1, int(share*float64(len(times))))])
	}
	const median, nearlyAll = 0.5, 0.99
	return Spread{Count: len(times), P50: at(median), P99: at(nearlyAll), Max: milliseconds(times[len(times)-1])}
}
