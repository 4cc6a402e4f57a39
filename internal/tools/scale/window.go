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
	megabyte            = 1 << 20
	leaderTimeout       = 5 * time.Second
	faultDivisor        = 4                     // the fault is injected after the length of the window divided by this
	watchPollInterval   = 25 * time.Millisecond // between checks whether all directors watch, after a fault
	purgeArrivalTimeout = time.Second           // a purge that arrives later counts as missing
	maxLostNames        = 20
	logDelay            = 2 * time.Second // after the window, until the logs contain what happened in it
)

// window measures a cluster under load for the length of the window.
type window struct {
	cluster          *cluster
	settings         Settings
	load             *load
	row              *Row
	members          []*member
	before           []usage
	logLengths       []int // log lines of each member before the window
	startedAt        time.Duration
	endedAt          time.Duration
	faultAt          time.Duration // 0: no fault was injected
	lastIncompleteAt atomic.Int64  // when a check last found a director that did not watch
	tasks            sync.WaitGroup
}

// measure measures one window and fills in the row.
func (w *window) measure(ctx context.Context) error {
	leader := w.cluster.group.Leader(leaderTimeout)
	if leader == nil {
		return errNoLeader
	}
	w.members = w.cluster.members(leader)
	w.row.LoadAverage[0] = loadAverage()
	if _, err := w.cluster.sumAnswers("POST", "/begin"); err != nil {
		return err
	}
	w.startedAt = simulated.Now()
	busy, own, err := w.readBefore()
	if err != nil {
		return err
	}
	tasks, stop := context.WithCancel(ctx)
	defer stop()
	w.injectFaults(tasks, leader)
	if err := sleep(ctx, w.settings.Window); err != nil {
		return err
	}
	w.endedAt = simulated.Now()
	w.readAfter(busy, own)
	stop()
	w.tasks.Wait()
	reports, err := w.reports()
	if err != nil {
		return err
	}
	w.row.LoadAverage[1] = loadAverage()
	w.fillWatchFigures(reports)
	w.fillPurgeFigures(reports)
	w.fillRecoveryFigures()
	if err := sleep(ctx, logDelay); err != nil {
		return err
	}
	w.fillMembershipFigures(reports)
	return nil
}

func (w *window) readBefore() (busy time.Duration, own usage, err error) {
	for _, m := range w.members {
		used, err := readUsage(m.Pid())
		if err != nil {
			return 0, usage{}, err
		}
		w.before = append(w.before, used)
		w.logLengths = append(w.logLengths, len(m.Log()))
	}
	own, err = readUsage(os.Getpid())
	return machineBusy(), own, err
}

// readAfter computes the resource usage of each process in the window. busy and own are the readings before it.
func (w *window) readAfter(busy time.Duration, own usage) {
	length := (w.endedAt - w.startedAt).Seconds()
	w.row.WindowSeconds = length
	w.row.MachineBusy = (machineBusy() - busy).Seconds() / length
	for i, m := range w.members {
		use := ProcessUsage{Role: m.role, Name: m.Name, Processes: 1}
		if after, err := readUsage(m.Pid()); err == nil && m.Running() {
			use.setRates(w.before[i], after)
		} else {
			use.Ended = true
		}
		w.row.Processes = append(w.row.Processes, use)
	}
	use := ProcessUsage{Role: RoleRun, Name: RoleRun, Processes: 1}
	if after, err := readUsage(os.Getpid()); err == nil {
		use.setRates(own, after)
	}
	w.row.Processes = append(w.row.Processes, use)
	for _, use := range w.row.Processes {
		w.row.OwnBusy += use.CPU
	}
}

func (u *ProcessUsage) setRates(before, after usage) {
	seconds := after.readAt.Sub(before.readAt).Seconds()
	u.CPU = (after.cpu - before.cpu).Seconds() / seconds
	u.ResidentMB = float64(after.rss) / megabyte
	u.ReadBytes = float64(after.readBytes-before.readBytes) / seconds
	u.WriteBytes = float64(after.writeBytes-before.writeBytes) / seconds
	u.ReadCalls = float64(after.readCalls-before.readCalls) / seconds
	u.WriteCalls = float64(after.writeCalls-before.writeCalls) / seconds
}

// injectFaults starts the tasks that inject the fault and the restarts of the settings during the window.
func (w *window) injectFaults(ctx context.Context, leader *testharness.Replica) {
	if w.settings.RestartPerSecond > 0 {
		w.tasks.Go(func() {
			callAtRate(ctx, float64(w.settings.RestartPerSecond), func(n int64) {
				p := w.cluster.simulated[int(n)%len(w.cluster.simulated)]
				var restarted int
				_ = w.cluster.callControl(p, "POST", "/restart?count=1", &restarted) // the process reports the restarted directors
			})
		})
	}
	if w.settings.Fault == NoFault {
		return
	}
	w.tasks.Go(func() {
		if sleep(ctx, w.settings.Window/faultDivisor) != nil {
			return
		}
		w.faultAt = simulated.Now()
		if w.settings.Fault == KillRelay {
			w.cluster.relays[0].Signal(syscall.SIGKILL)
		} else {
			leader.Signal(syscall.SIGKILL)
		}
		callAtRate(ctx, float64(time.Second/watchPollInterval), func(int64) { w.checkWatching() })
	})
}

func (w *window) checkWatching() {
	at := simulated.Now()
	watching, err := w.cluster.sumAnswers("GET", "/watching")
	if err != nil || watching < w.row.Simulated {
		w.lastIncompleteAt.Store(int64(at))
	}
}

func (w *window) reports() (all []simulated.Report, err error) {
	for _, p := range w.cluster.simulated {
		var r simulated.Report
		if err := w.cluster.callControl(p, "GET", "/report", &r); err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

// fillWatchFigures adds up the counters of the watch protocol and of quotas from all processes of simulated directors.
func (w *window) fillWatchFigures(reports []simulated.Report) {
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
		row.PurgesRepeated += r.PurgesRepeated
		row.Restarted += len(r.Stopped)
		row.LongestSilence = max(row.LongestSilence, milliseconds(r.LongestSilence))
		for reason, count := range r.Reasons {
			row.Reasons[reason] += count
		}
		row.EndedByServer += r.Reasons[io.EOF.Error()] + r.Reasons[simulated.ReasonRejected]
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
	w.row.DirectorRequests += float64(t.Requests) / directors
	w.row.DirectorUp += float64(t.BytesUp) / directors
	w.row.DirectorDown += float64(t.BytesDown) / directors
}

// meansByRole returns the mean usage of each role's processes, in the order in which roles first occur.
func meansByRole(processes []ProcessUsage) (roles []ProcessUsage) {
	for _, p := range processes {
		if p.Ended {
			continue
		}
		at := slices.IndexFunc(roles, func(u ProcessUsage) bool { return u.Role == p.Role })
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

// fillPurgeFigures compares the accepted purges with their arrivals at directors.
func (w *window) fillPurgeFigures(reports []simulated.Report) {
	l := w.load
	l.mu.Lock()
	defer l.mu.Unlock()
	var accepted, delays, last []time.Duration
	for _, p := range l.purges {
		if p.called < w.startedAt || p.accepted > w.endedAt-purgeArrivalTimeout {
			continue
		}
		accepted = append(accepted, p.accepted-p.called)
		arrived := 0
		latest := time.Duration(0)
		for _, r := range reports {
			for _, at := range r.Purges[p.number] {
				delay := max(0, time.Duration(at)-p.accepted) // it may arrive before the writer has its response
				delays = append(delays, delay)
				latest = max(latest, delay)
				arrived++
			}
		}
		last = append(last, latest)
		w.row.PurgesMissing += max(0, w.row.Simulated-arrived)
	}
	w.row.PurgesUnjudged = w.settings.RestartPerSecond > 0 // a restarted director gets earlier purges with its first answer
	w.row.PurgeAccepted, w.row.PurgeDelay, w.row.PurgeLast = summarize(accepted), summarize(delays), summarize(last)
	w.row.PurgesNotAccepted = countBetween(l.failedPurges, w.startedAt, w.endedAt)
	w.row.Changes = countBetween(l.appliedChanges, w.startedAt, w.endedAt)
	w.row.ChangesRefused = countBetween(l.failedChanges, w.startedAt, w.endedAt)
}

func (w *window) fillRecoveryFigures() {
	if w.faultAt == 0 {
		return
	}
	w.row.FaultAtSeconds = (w.faultAt - w.startedAt).Seconds()
	if lastIncomplete := time.Duration(w.lastIncompleteAt.Load()); lastIncomplete > 0 {
		w.row.RecoverySeconds = (lastIncomplete - w.faultAt).Seconds()
		w.row.Recovered = w.endedAt-lastIncomplete > time.Second
		return
	}
	w.row.Recovered = true
}

// fillMembershipFigures counts, from the logs, the directors removed from the membership and the lease losses of servers.
func (w *window) fillMembershipFigures(reports []simulated.Report) {
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
		gone, leaseLosses := readLog(m.Log()[w.logLengths[i]:])
		w.row.LeaseLosses += leaseLosses
		for _, id := range gone {
			w.row.MembershipGone++
			if stopped[id] {
				continue
			}
			w.row.MembershipLost++
			if len(w.row.LostNames) < maxLostNames {
				w.row.LostNames = append(w.row.LostNames, id)
			}
		}
	}
}

// readLog returns, from log lines of a replica or relay, the IDs of directors that were removed from the membership, and how often
// the process closed its watches for lack of a lease.
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

// summarize returns the distribution of durations. It sorts them in place.
func summarize(times []time.Duration) Distribution {
	if len(times) == 0 {
		return Distribution{}
	}
	slices.Sort(times)
	at := func(share float64) float64 {
		return milliseconds(times[min(len(times)-1, int(share*float64(len(times))))])
	}
	const median, percentile99 = 0.5, 0.99
	return Distribution{Count: len(times), P50: at(median), P99: at(percentile99), Max: milliseconds(times[len(times)-1])}
}
