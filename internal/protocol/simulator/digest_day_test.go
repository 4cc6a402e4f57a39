package simulator

import (
	"bufio"
	"bytes"
	"container/heap"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// digestEvent is a line that the server receives at a given time.
type digestEvent struct {
	at    time.Duration
	order int
	line  string
}

type digestQueue []digestEvent

func (q digestQueue) Len() int { return len(q) }
func (q digestQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q digestQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *digestQueue) Push(x any)   { *q = append(*q, x.(digestEvent)) }
func (q *digestQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// digestDay passes the events of one generated day to a Router over the simulator's protocol. It uses
// no names of the decision module except those of events that the protocol does not have.
type digestDay struct {
	t            *testing.T
	random       *rand.Rand
	sum          hash.Hash
	seen         map[string]int
	server       *server
	out          bytes.Buffer
	queue        digestQueue
	order        int
	classes      int
	endpoints    []string // formats of the endpoint lines, without readiness and start time
	ended        map[string]bool
	attempts     map[string]int
	open         map[string]string // hosts of the attempts, by attempt
	failureShare float64           // share of attempts that fail
	slow         time.Duration
}

func newDigestDay(t *testing.T, seed uint64, sum hash.Hash, seen map[string]int) *digestDay {
	d := &digestDay{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 29)),
		sum:      sum,
		seen:     seen,
		ended:    map[string]bool{},
		attempts: map[string]int{},
		open:     map[string]string{},
	}
	d.server = &server{out: bufio.NewWriter(&d.out), routers: map[int]*decision.Router{}}
	d.failureShare = []float64{0, 0.05, 0.2, 0.5, 0.9}[d.random.IntN(5)]
	d.slow = time.Duration(20+d.random.IntN(800)) * time.Millisecond
	return d
}

func (d *digestDay) pick(words ...string) string { return words[d.random.IntN(len(words))] }

func (d *digestDay) hash(format string, args ...any) {
	_, _ = fmt.Fprintf(d.sum, format, args...) // writing to a hash never fails
}

func (d *digestDay) chance(p float64) bool { return d.random.Float64() < p }

func (d *digestDay) at(at time.Duration, format string, args ...any) {
	d.order++
	heap.Push(&d.queue, digestEvent{at, d.order, fmt.Sprintf(format, args...)})
}

func (d *digestDay) settings(seed uint64) string {
	weights := d.pick("off", "nominal", "rough", "live")
	cacheStatusMode := d.pick("all", "hit", "off")
	mode := d.pick("subscribe", "push")
	d.seen["weights "+weights]++
	d.seen["tells "+cacheStatusMode]++
	d.seen[mode]++
	d.classes = 1 + d.random.IntN(4)
	words := []string{
		"Zone=west", "Areas=west,east,mid", "SlotNo=" + fmt.Sprint(d.random.IntN(5)), "Balancers=" + fmt.Sprint(1+d.random.IntN(300)),
		"Models=cache,parent,origin", "FamilyInfo.ParentKind=" + d.pick("1", "1", "1", "-1"),
		"FamilyInfo.SourceKind=" + d.pick("2", "2", "2", "-1"),
		"FamilyInfo.CountByZone=" + d.pick("3,1,1", "40,20,0", "0,1,1", "1,1,1"), "FamilyInfo.HubByZone=2,2,2",
		"FamilyInfo.PipeKbPerS=" + d.pick("9000,9000,9000", "0,0,0"),
		"FamilyInfo.OneFlowKbPerS=" + d.pick("310", "5000", "0"),
		"Weights=" + weights, "FamilyInfo.Tells=" + cacheStatusMode, "FamilyInfo.Siblings=" + d.pick("off", "location", "any"),
		"FamilyInfo.Joins=" + d.pick("true", "false"), "FamilyInfo.Direct=" + d.pick("true", "false"), "MembershipMode=" + mode,
		"Rules.AskWithin=" + d.pick("2000", "8000"), "Limits.Cancel=" + d.pick("true", "true", "false"),
		"Limits.Probes=" + d.pick("true", "false"),
		"Limits.SecondCopies=" + d.pick("true", "false"), "Limits.RetryAfter=" + d.pick("true", "false"),
		"Limits.MaxAttempts=" + d.pick("1", "2", "4", "8"), "Limits.MostHeld=1000", "Limits.MaxRetryAfter=" + d.pick("0", "300", "2000"),
		"Limits.DialTimeout=250", "Charges.Probe=0.01", "Charges.Waste=0.2", "Rules.GraceToAnswer=" + d.pick("0", "20", "100"),
		"Rules.DrainGrace=500", "FamilyInfo.NoticeTime=300", "FamilyInfo.PurgeDone=" + d.pick("1000", "4000"),
		"Rules.ColdFrom=" + d.pick("0.05", "0.2"), "Rules.Cold=" + d.pick("0", "4000", "9000"),
		"Rules.TipMultiple=" + d.pick("1.2", "2"), "Rules.Fall=" + d.pick("500", "1000"),
		"FamilyInfo.UpperColdFrom=0.1", "FamilyInfo.ParentWarmsIn=" + d.pick("0", "6000"), "FamilyInfo.ParentBreaksAt=1.5",
		"FamilyInfo.OriginLimitFactor=2", "FamilyInfo.RootFall=500", "Grades.count=" + fmt.Sprint(d.classes),
	}
	var freshFor, staleFor, staleWeights, multiPart, uncacheable []string
	for i := range d.classes {
		effect := d.pick("safe", "keyed", "unsafe")
		scope := d.pick("all", "zone", "cell")
		d.seen["effect "+effect]++
		d.seen["scope "+scope]++
		class := fmt.Sprintf("Grades.%d.", i)
		words = append(words, class+"Name=g"+fmt.Sprint(i), class+"Aim="+d.pick("100", "400", "1500"),
			class+"AimStretch="+d.pick("0", "1.5"), class+"Deadline="+d.pick("600", "3000", "8000"),
			class+"Worth="+d.pick("1", "5"), class+"LateWorth=0.3", class+"Effect="+effect, class+"Group="+scope,
			class+"DedupWindow="+d.pick("200", "1000", "10000"), class+"Stream="+d.pick("true", "false"))
		freshFor = append(freshFor, d.pick("0", "500", "60000"))
		staleFor = append(staleFor, d.pick("0", "2000"))
		staleWeights = append(staleWeights, "0.5")
		multiPart = append(multiPart, d.pick("true", "false"))
		uncacheable = append(uncacheable, d.pick("false", "false", "false", "true"))
	}
	words = append(words,
		"FamilyInfo.GoodFor="+strings.Join(freshFor, ","),
		"FamilyInfo.OlderBy="+strings.Join(staleFor, ","),
		"FamilyInfo.StaleEarns="+strings.Join(staleWeights, ","),
		"FamilyInfo.MultiPart="+strings.Join(multiPart, ","),
		"FamilyInfo.PassOn="+strings.Join(uncacheable, ","),
	)
	d.seen["up"]++
	return fmt.Sprintf("up 1 %d %s", seed, strings.Join(words, " "))
}

func (d *digestDay) run() {
	d.drawEndpoints()
	seed := d.random.Uint64()
	d.processEvent(d.settings(seed))
	if d.chance(0.4) {
		share := d.random.Float64()
		d.server.routers[1].SetSlowStartShare(func() float64 { return share })
	}
	d.scheduleEvents()
	limit := 20_000
	for d.queue.Len() > 0 && limit > 0 {
		limit--
		e := heap.Pop(&d.queue).(digestEvent)
		if e.at > 25*time.Second {
			break
		}
		d.server.now = max(d.server.now, e.at)
		d.processEvent(e.line)
	}
}

// drawEndpoints draws the endpoints at random.
func (d *digestDay) drawEndpoints() {
	hosts := func(first, n int, kind string, zones ...string) {
		for i := range n {
			d.endpoints = append(d.endpoints, fmt.Sprintf("%d %s %s %d %%s %s %%s",
				first+i, d.pick(zones...), kind, d.random.IntN(3), d.pick("1", "2.5", "40", "0", "-")))
		}
	}
	hosts(1, 1+d.random.IntN(12), "cache", "west", "west", "west", "west", "east")
	hosts(100, d.random.IntN(4), "parent", "mid")
	hosts(200, d.random.IntN(3), "origin", "mid")
}

// scheduleEvents schedules random events that do not depend on actions.
func (d *digestDay) scheduleEvents() {
	d.at(0, "list all")
	for n := d.random.IntN(6); n > 0; n-- {
		d.at(time.Duration(d.random.IntN(15_000))*time.Millisecond, "list %s", d.pick("changes", "changes", "all", "remembered", "refused"))
	}
	objects := 1 + d.random.IntN(40)
	spread := 500 + d.random.IntN(12_000)
	for n := 20 + d.random.IntN(160); n > 0; n-- {
		at := time.Duration(d.random.IntN(spread)) * time.Millisecond
		id := fmt.Sprintf("q%d", n)
		d.at(at, "query 1 %s %016x %d %s %s %s %d %s g%d", id, 1+d.random.IntN(objects), d.random.IntN(8),
			d.pick("0", "12", "300", "2500", "-"), d.pick("t1", "t1", "t2", "-"), d.pick("40", "500", "3000", "8000"),
			d.random.IntN(2), d.pick("0", "1", "2"), d.random.IntN(d.classes+d.random.IntN(2)))
		if d.chance(0.08) {
			d.at(at+time.Duration(d.random.IntN(2000))*time.Millisecond, "left 1 %s", id)
		}
		if d.chance(0.08) {
			d.at(at, "bound %s %s %d %d", id, d.pick("west", "east"), d.random.IntN(3), d.random.IntN(900))
		}
	}
	for n := d.random.IntN(12); n > 0; n-- {
		at := time.Duration(d.random.IntN(spread+3000)) * time.Millisecond
		switch d.random.IntN(9) {
		case 0:
			d.at(at, "invalidated 1 %016x - %d", 1+d.random.IntN(objects), d.random.IntN(900))
		case 1:
			d.at(at, "invalidated 1 - %d %d", d.random.IntN(3), d.random.IntN(900))
		case 2:
			d.at(at, "peers %d %d", d.random.IntN(9), 1+d.random.IntN(300))
		case 3:
			d.at(at, "quota %d %v", 1+d.random.IntN(12), d.random.Float64())
		case 4:
			d.at(at, "health %d %v", d.pickHost(), d.random.Float64())
		case 5:
			d.at(at, "evidence")
		case 6:
			d.at(at, "cold demand")
		case 7:
			d.at(at, "status_back 1 %d ok 3 cpu_share:0.4", d.pickHost())
		default:
			d.at(at, "peer 1 4 0a0b")
		}
	}
}

func (d *digestDay) pickHost() int {
	var number int
	_, _ = fmt.Sscan(d.endpoints[d.random.IntN(len(d.endpoints))], &number)
	return number
}

// processEvent processes one event, hashes the resulting actions and schedules the events that follow from
// them.
func (d *digestDay) processEvent(line string) {
	name, rest, _ := strings.Cut(line, " ")
	router := d.server.routers[1]
	handle := func(e decision.Event) {
		d.server.writeActions(1, router.Handle(d.server.now, e))
	}
	var text string
	var number, other int
	var share float64
	switch name {
	case "list":
		d.sendList(rest)
		return
	case "bound":
		_, _ = fmt.Sscan(rest, new(string), &text, &number, &other)
		id, _, _ := strings.Cut(rest, " ")
		handle(decision.PriorAttempt{
			Request: decision.RequestID(id), Zone: text, Cell: number, Age: time.Duration(other) * time.Millisecond,
		})
	case "peers":
		_, _ = fmt.Sscan(rest, &number, &other)
		handle(decision.PeerCounts{InZone: number, Total: other})
	case "quota":
		_, _ = fmt.Sscan(rest, &number, &share)
		handle(decision.QuotaShare{Host: decision.HostID(number), Share: share})
	case "health":
		_, _ = fmt.Sscan(rest, &number, &share)
		handle(decision.AggregatedHealth{Host: decision.HostID(number), FailureShare: share})
	case "evidence":
		d.hostOutcomes(router)
	case "cold":
		d.slowStartDemand(router)
	default:
		if name == "answer" && d.rewriteAnswer(rest) != "" {
			line = "answer " + d.rewriteAnswer(rest)
			id, _, _ := strings.Cut(strings.TrimPrefix(rest, "1 "), " ")
			d.recordEnd(id, line)
		}
		if err := d.server.handleLine(line); err != nil {
			d.t.Fatalf("%q: %v", line, err)
		}
	}
	d.countEvent(name, rest)
	d.collectActions()
}

func (d *digestDay) countEvent(name, rest string) {
	switch name {
	case "invalidated":
		if strings.HasPrefix(rest, "1 - ") {
			d.seen["invalidated group"]++
		} else {
			d.seen["invalidated object"]++
		}
	case "cold":
		d.seen["cold demand"]++
	default:
		d.seen[name]++
	}
}

func (d *digestDay) sendList(kind string) {
	d.seen["topology "+kind]++
	if kind == "refused" {
		d.sendLine("topology 1 refused - -")
		return
	}
	var lines []string
	for _, m := range d.endpoints {
		if kind == "changes" && d.chance(0.7) || d.chance(0.05) {
			continue
		}
		started := "-"
		if d.chance(0.3) {
			started = fmt.Sprint(max(1, (d.server.now - time.Duration(d.random.IntN(3000))*time.Millisecond).Milliseconds()))
		}
		lines = append(lines, "item "+fmt.Sprintf(m, d.pick("IN", "IN", "IN", "IN", "IN", "LAME", "OUT"), started))
	}
	d.server.in = bufio.NewReader(strings.NewReader(strings.Join(lines, "\n") + "\n"))
	d.sendLine(fmt.Sprintf("define_list 0 %d", len(lines)))
	d.sendLine(fmt.Sprintf("topology 1 %s %d 0", kind, d.order))
	d.collectActions()
}

func (d *digestDay) sendLine(line string) {
	if err := d.server.handleLine(line); err != nil {
		d.t.Fatalf("%q: %v", line, err)
	}
}

// rewriteAnswer returns an answer with its terminal flag set according to the state at its arrival, or
// an empty string if the answer needs no change.
func (d *digestDay) rewriteAnswer(rest string) string {
	words := strings.Split(rest, " ")
	if len(words) < 9 {
		return ""
	}
	words[2] = "0"
	if words[7] == "ok" || d.ended[words[1]] {
		words[2] = "1"
	}
	return strings.Join(words, " ")
}

func (d *digestDay) recordEnd(id, line string) {
	if strings.Contains(line, " ok ") {
		d.ended[id] = true
	}
}

// collectActions hashes the actions that were written and schedules the reactions to them.
func (d *digestDay) collectActions() {
	_ = d.server.out.Flush()
	text := d.out.String()
	d.out.Reset()
	d.hash("%d\n%s", d.server.now, text)
	for line := range strings.Lines(text) {
		words := strings.Split(strings.TrimSuffix(line, "\n"), " ")
		d.seen["do "+words[0]]++
		switch words[0] {
		case "obtain":
			d.scheduleAnswer(words)
		case "abort_attempt":
			d.scheduleCancelled(words)
		case "deny", "drop_request":
			d.ended[words[2]] = true
		case "after":
			var ms float64
			_, _ = fmt.Sscan(words[2], &ms)
			d.at(d.server.now+fromMillis(ms), "alarm 1 %s", words[3])
		}
	}
}

// scheduleAnswer schedules a random result of an attempt.
func (d *digestDay) scheduleAnswer(words []string) {
	id, host := words[2], words[3]
	number := d.attempts[id]
	d.attempts[id]++
	key := fmt.Sprintf("%s:%d", id, number)
	d.open[key] = host
	if d.chance(0.03) {
		return // the attempt gets no answer
	}
	took := time.Duration(d.random.Int64N(int64(2 * d.slow)))
	status := "ok"
	cacheStatus := d.pick("0", "1", "1", "2", "3", "4", "5")
	if d.chance(d.failureShare) {
		status = d.pick("error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss")
		cacheStatus = d.pick("0", "0", "0", "6", "7", "8", "9", "10")
	} else if d.chance(0.1) {
		status = "miss"
		cacheStatus = "0"
	}
	report := "-"
	if d.chance(0.4) {
		report = fmt.Sprintf("cpu_share:%.2f,x1:%.2f", d.random.Float64()*1.1, d.random.Float64()*3)
		d.seen["load report"]++
	}
	firstByte := "-"
	if d.chance(0.6) {
		firstByte = fmt.Sprint(took.Milliseconds() / 2)
		if d.chance(0.2) {
			d.at(d.server.now+took/2, "first 1 %s %d %s %d", id, number, host, took.Milliseconds()/2)
		}
	}
	d.seen["status "+status]++
	d.seen["note "+cacheStatus]++
	d.at(d.server.now+took, "answer 1 %s 0 %s %s %d %s %s %d %s",
		id, firstByte, host, number, cacheStatus, status, took.Milliseconds(), report)
}

// scheduleCancelled schedules the result of a cancelled attempt.
func (d *digestDay) scheduleCancelled(words []string) {
	key := words[2] + ":" + words[3]
	host, out := d.open[key]
	if !out || d.chance(0.2) {
		return
	}
	d.at(d.server.now+time.Millisecond, "answer 1 %s 0 - %s %s 0 cancelled 10 -", words[2], host, words[3])
}

func (d *digestDay) hostOutcomes(router *decision.Router) {
	var lines []string
	router.HostOutcomes(func(h decision.HostID, outcomes, failures, overhead float64) {
		lines = append(lines, fmt.Sprintf("%d %v %v %v\n", h, outcomes, failures, overhead))
	})
	slices.Sort(lines) // HostOutcomes iterates over a map
	d.hash("%s", fmt.Sprint(lines))
}

func (d *digestDay) slowStartDemand(router *decision.Router) {
	router.SlowStartDemand(func(h decision.HostID, demand float64) { d.hash("%d %v\n", h, demand) })
	now, best := router.ServedRate()
	d.hash("%v %v\n", now, best)
}
