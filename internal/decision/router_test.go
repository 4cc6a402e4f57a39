package decision

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// site is a made-up deployment; tests change what they need.
func site() Settings {
	return Settings{
		Zone: "west", Zones: []string{"hub", "west"}, Directors: 2, DirectorsByZone: []int{0, 2},
		Kinds: []string{"cache", "parent", "origin"}, ParentKind: 1, OriginKind: 2, FlowKBPerS: 1000,
		Classes: []Class{{
			Name: "clip", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 4 * time.Second, PriorityWeight: 1,
			Idempotency: Idempotent, DedupWindow: time.Second,
		}},
		WeightMode: WeightModeOff, CacheStatusMode: CacheStatusModeAll, SiblingMode: SiblingModeOff, JoinsFills: true, Cancel: true, HedgedRequests: true,
		RetryAfter: true, MaxAttempts: 6, MaxRetryAfter: 700 * ms, AnswerGrace: 8 * ms,
		DrainGrace: 250 * ms, PurgeGrace: 300 * ms, PurgeDone: 5 * time.Second,
		CacheSlowStart:  SlowStart{InitialShare: 0.2, WarmUp: 10 * time.Second, OverloadFactor: 2, Window: time.Second},
		ParentSlowStart: SlowStart{InitialShare: 0.1, WarmUp: 20 * time.Second, OverloadFactor: 2, Window: time.Second},
	}
}

func members() []Endpoint {
	out := []Endpoint{{Host: 900, Zone: "hub", Kind: "origin"}}
	for i := range 3 {
		out = append(out, Endpoint{Host: HostID(100 + i), Zone: "west", Kind: "cache", Cell: i})
	}
	for i := range 2 {
		out = append(out, Endpoint{Host: HostID(500 + i), Zone: "hub", Kind: "parent"})
	}
	for i := range out {
		out[i].Readiness, out[i].Weight = Ready, 1
	}
	return out
}

// bench drives one router and keeps what it did.
type bench struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	acts []Action
}

func start(t *testing.T, s Settings) *bench {
	b := &bench{t: t, r: NewRouter(s, 7), now: time.Hour}
	b.acts = b.r.Start(b.now)
	b.on(EndpointUpdate{Kind: UpdateCached, Endpoints: members()})
	return b
}

func (b *bench) on(ev Event) []Action {
	acts := b.r.Handle(b.now, ev)
	b.acts = append(b.acts, acts...)
	return acts
}

func (b *bench) query(id string, o ObjectID) []Action {
	return b.on(Request{ID: RequestID(id), Object: o, Class: "clip", SizeKB: 100, TimeLeft: 4 * time.Second})
}

func (b *bench) answer(id string, o StartAttempt, n int, s Status, note CacheStatus) []Action {
	return b.on(AttemptResult{
		Request: RequestID(id), Terminal: s == OK, Host: o.Host, Attempt: n, Status: s, CacheStatus: note,
		Elapsed: 120 * ms, FirstByte: 20 * ms,
	})
}

// of gives the actions of one type.
func of[T Action](acts []Action) []T {
	var out []T
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// sent is the one Obtain among actions.
func (b *bench) sent(acts []Action) StartAttempt {
	b.t.Helper()
	got := of[StartAttempt](acts)
	if len(got) != 1 {
		b.t.Fatalf("want one attempt, got %v", acts)
	}
	return got[0]
}

func TestLaterRequestJoinsOpenAttempt(t *testing.T) {
	b := start(t, site())
	first, second := b.sent(b.query("a", 1)), b.sent(b.query("b", 1))
	if first.Options&JoinFill == 0 || second.Options&JoinFill == 0 {
		t.Errorf("options %d and %d lack join", first.Options, second.Options)
	}
	if first.Host != second.Host || first.Source != second.Source {
		t.Errorf("second went to %d from %d, want %d from %d", second.Host, second.Source, first.Host, first.Source)
	}
	if len(b.r.fills) != 1 {
		t.Errorf("%d entries, want one", len(b.r.fills))
	}
}

func TestHeldUntilFirstAnswer(t *testing.T) {
	s := site()
	s.JoinsFills = false
	for _, end := range []Status{OK, Failed} {
		b := start(t, s)
		first := b.sent(b.query("a", 1))
		if got := of[StartAttempt](b.query("b", 1)); len(got) != 0 {
			t.Fatalf("follower was sent: %v", got)
		}
		acts := b.answer("a", first, 0, end, CacheStatusNone)
		follower := slices.IndexFunc(of[StartAttempt](acts), func(o StartAttempt) bool { return o.Request == "b" })
		if end == OK && (follower < 0 || of[StartAttempt](acts)[follower].Host != first.Host) {
			t.Errorf("served: follower did not go to the copy: %v", acts)
		}
		if end == Failed && len(of[StartAttempt](acts)) != 1 {
			t.Errorf("failed: want one new fill for both, got %v", acts)
		}
	}
}

func TestHeldIsReleasedForItsAim(t *testing.T) {
	s := site()
	s.JoinsFills = false
	b := start(t, s)
	b.query("a", 1)
	timer := of[SetTimer](b.query("b", 1))
	if len(timer) != 1 || timer[0].Delay > 500*ms {
		t.Fatalf("timers %v, want one before the aim", timer)
	}
	b.now += timer[0].Delay
	if got := b.sent(b.on(TimerFired{timer[0].Timer})); got.Request != "b" {
		t.Errorf("released %v", got)
	}
}

func TestHeldEvenAtAFullCache(t *testing.T) {
	for _, joins := range []bool{false, true} {
		s := site()
		s.JoinsFills = joins
		b := start(t, s)
		first := b.sent(b.query("a", 1))
		h := b.r.endpoints.byID[first.Host]
		b.now += ms
		h.lastAnswerAt, h.limit = b.now, concurrencyLimit{limit: 1, inFlight: time.Second}
		got := of[StartAttempt](b.query("b", 1))
		if held := len(got) == 0; held == joins {
			t.Errorf("joins %v: a follower at a full cache that answers was held: %v", joins, held)
		}
	}
}

func TestHashMovesOnlyItsShare(t *testing.T) {
	b := start(t, site())
	pick := func() (out []HostID) {
		for i := range 300 {
			out = append(out, b.r.pickCache(&request{key: fillKey{object: ObjectID(i)}, objectiveAt: time.Hour * 2}).Host)
		}
		return out
	}
	before := pick()
	b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{Host: 101, Zone: "west", Kind: "cache", Readiness: Gone}}})
	moved := 0
	for i, h := range pick() {
		if h == 101 || h != before[i] && before[i] != 101 {
			t.Fatalf("object %d moved from %d to %d", i, before[i], h)
		}
		if h != before[i] {
			moved++
		}
	}
	if moved < 60 || moved > 140 {
		t.Errorf("%d of 300 moved", moved)
	}
}

func TestSourceIsTheQuickerParent(t *testing.T) {
	b := start(t, site())
	for _, h := range []HostID{500, 501} {
		p := b.r.endpoints.byID[h]
		p.asSource.firstByte, p.asSource.sampledAt = float64(h-499)*0.1, b.now
	}
	if got := b.sent(b.query("a", 1)); got.Source != 500 {
		t.Errorf("source %d, want the quicker 500", got.Source)
	}
	b.r.endpoints.byID[500].asSource.fillOverhead = 0.5 // its link is jammed: the first byte is quick, the rest is not
	if got := b.sent(b.query("b", 2)); got.Source != 501 {
		t.Errorf("source %d, want 501 past a jammed parent", got.Source)
	}
	for _, h := range []HostID{500, 501} {
		b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{Host: h, Zone: "hub", Kind: "parent", Readiness: Draining}}})
	}
	if got := b.sent(b.query("c", 3)); got.Source != 900 {
		t.Errorf("source %d, want the origin with both parents draining", got.Source)
	}
}

func TestPurgeClosesEntryAndBoundsAge(t *testing.T) {
	b := start(t, site())
	b.query("a", 1)
	b.now += 50 * ms
	b.on(Purge{Object: 1, Age: 20 * ms})
	if len(b.r.fills) != 0 {
		t.Error("the entry opened before the purge is still open")
	}
	b.now += 100 * ms
	if got := b.sent(b.query("b", 1)); got.MaxAge <= 0 || got.MaxAge > 120*ms {
		t.Errorf("oldest copy %v, want above 0 and at most 120ms", got.MaxAge)
	}
	b.on(Purge{ByGroup: true, Group: 0})
	if got := b.sent(b.query("c", 1)); got.MaxAge <= 0 || got.MaxAge > ms {
		t.Errorf("oldest copy %v right after a group purge", got.MaxAge)
	}
}

func TestCrowdedCachePassesOn(t *testing.T) {
	b := start(t, site())
	first := b.sent(b.query("a", 1))
	b.r.endpoints.byID[first.Host].attemptsInFlight = 40
	b.r.fills = fillTable{}
	if got := b.sent(b.query("b", 1)); got.Host == first.Host {
		t.Error("a crowded cache took one more")
	}
}

func TestFullCachesRefuseAtOnce(t *testing.T) {
	b := start(t, site())
	for _, h := range b.r.endpoints.caches {
		h.limit = concurrencyLimit{limit: 1, inFlight: time.Second}
	}
	denied := of[Reject](b.query("a", 1))
	// Of the 400 ms of its aim and twice its sending, half of what is left beside the sending itself.
	if len(denied) != 1 || denied[0].RetryAfter != 250*ms {
		t.Errorf("got %v, want one refusal that tells when to come back", denied)
	}
}

func TestSilenceEjectsButSendsNoCopy(t *testing.T) {
	b := start(t, site())
	first := b.sent(b.query("a", 1))
	b.now += 300 * ms
	for range maxUnanswered {
		if got := of[StartAttempt](b.on(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}})); len(got) != 0 {
			t.Errorf("second copies %v", got)
		}
	}
	if b.r.healthy(b.r.endpoints.byID[first.Host]) {
		t.Error("a cache silent twice is still used")
	}
}

func TestCrowdingAllowsForTheChanceOfASample(t *testing.T) {
	s := site()
	for _, alike := range []int{1, 9} {
		s.DirectorsByZone = []int{0, alike}
		b := start(t, s)
		b.r.endpoints.caches[0].attemptsInFlight, b.r.endpoints.caches[1].attemptsInFlight, b.r.endpoints.caches[2].attemptsInFlight = 5, 2, 2
		if got := b.r.crowded(b.r.endpoints.caches[0]); got != (alike == 1) {
			t.Errorf("5 of 9 attempts out at one of three caches, %d dispatchers: crowded %v", alike, got)
		}
	}
}

// narrowed is a window that limits and has no room.
func narrowed() concurrencyLimit { return concurrencyLimit{limit: 1, inFlight: time.Second} }

func TestLookBeforeFillWhileFillsAreLimited(t *testing.T) {
	b := start(t, site())
	b.r.limits.fills = narrowed()
	look := b.sent(b.query("a", 1))
	if look.Source != look.Host {
		t.Fatalf("source %d, want a look at what %d keeps", look.Source, look.Host)
	}
	if got := b.answer("a", look, 0, Miss, CacheStatusNone); len(of[Reject](got)) != 1 {
		t.Errorf("lacking and no room: %v, want a refusal at once", got)
	}
	b.r.limits.fills.inFlight = 0
	b.r.retryBudget.tokens = 0
	look = b.sent(b.query("b", 1))
	if got := b.sent(b.answer("b", look, 0, Miss, CacheStatusNone)); got.Host != look.Host || got.Source == look.Host {
		t.Errorf("lacking and room: %+v, want a fill at %d, free of the budget", got, look.Host)
	}
}

// A look counts against a cold cache's budget like any attempt: two looks before each fill left it a third.
func TestNoLooksAtAColdCacheWhileWindowsHaveRoom(t *testing.T) {
	for _, room := range []bool{true, false} {
		b := start(t, site())
		b.r.load.bestServed = 1000
		for _, h := range b.r.endpoints.caches {
			h.StartedAt = b.now
		}
		b.r.limits.fills, b.r.limits.fetches = concurrencyLimit{limit: float64(time.Second)}, concurrencyLimit{limit: float64(time.Second)}
		if !room {
			b.r.limits.fetches = narrowed()
		}
		if o := b.sent(b.query("a", 1)); (o.Source == o.Host) == room {
			t.Errorf("room %v: cache %d, source %d", room, o.Host, o.Source)
		}
	}
}

// A look must come back at once, also where a fill hangs that it could join.
func TestLookJoinsNoFill(t *testing.T) {
	b := start(t, site())
	b.r.limits.fills = narrowed()
	if look := b.sent(b.query("a", 1)); look.Options&JoinFill != 0 {
		t.Errorf("options %d of a look join a fill", look.Options)
	}
}

// An answer may be lost on a connection that serves others: the attempt is called off and the same cache asked again,
// for it has the copy; but not one that has all it can do.
func TestOverdueAttemptIsAskedAgain(t *testing.T) {
	for _, strain := range []float64{0.3, 0.95} {
		b := start(t, site())
		first := b.sent(b.query("a", 1))
		b.now += 10 * ms
		h := b.r.endpoints.byID[first.Host]
		h.lastAnswerAt, h.load, b.r.endpoints.parents[0].lastAnswerAt = b.now, LoadReport{CPUShare: strain}, b.now
		b.now += 400 * ms
		off := of[CancelAttempt](b.on(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}}))
		if strain > saturatedCPUShare {
			if len(off) != 0 {
				t.Errorf("a strained cache is asked again: %v", off)
			}
			continue
		}
		if len(off) != 1 || off[0].Attempt != 0 {
			t.Fatalf("called off %v, want attempt 0", off)
		}
		if got := b.sent(b.answer("a", first, 0, Cancelled, CacheStatusNone)); got.Host != first.Host {
			t.Errorf("asked again at %d, want %d, which has the copy", got.Host, first.Host)
		}
	}
}

// A cache whose answers are slow is blamed for what is overdue and ejected; one whose answers come as usual has only lost
// some, and would be missed.
func TestSlowCacheIsEjectedALossyOneIsNot(t *testing.T) {
	for _, slow := range []bool{true, false} {
		b := start(t, site())
		b.r.estimates.overhead.mean, b.r.estimates.overhead.deviation = 0.05, 0.04
		h := b.r.endpoints.byID[b.sent(b.query("a", 1)).Host]
		h.overhead = 0.05 + 0.5*indicator(slow)
		b.now += ms
		h.lastAnswerAt = b.now
		for _, p := range b.r.endpoints.parents {
			p.lastAnswerAt = b.now
		}
		for range 10 {
			b.on(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}})
		}
		if b.r.healthy(h) == slow {
			t.Errorf("slow %t: healthy %t", slow, !slow)
		}
	}
}

// A connection that is refused has cost nobody any work: trying elsewhere is free of the budget, which a dead cache
// would eat up else.
func TestRefusedConnectionCostsNoBudget(t *testing.T) {
	b := start(t, site())
	b.r.retryBudget.tokens = 0
	first := b.sent(b.query("a", 1))
	if got := b.sent(b.answer("a", first, 0, ConnectFailed, CacheStatusNone)); got.Host == first.Host {
		t.Errorf("asked again at %d, which refused the connection", got.Host)
	}
}

// A client that waits less than a fill takes gets what the cache keeps, or a refusal at once; when its time is over,
// that shows nothing short, and the windows stay as they are.
func TestHastyClientNarrowsNoWindow(t *testing.T) {
	b := start(t, site())
	b.r.estimates.overhead.mean = 0.05
	hasty := func(id string) StartAttempt {
		return b.sent(b.on(Request{ID: RequestID(id), Object: 1, Class: "clip", SizeKB: 100, TimeLeft: 120 * ms}))
	}
	look := hasty("a")
	if look.Source != look.Host {
		t.Fatalf("%+v, want a look at what the cache keeps", look)
	}
	if got := b.answer("a", look, 0, Miss, CacheStatusNone); len(of[Reject](got)) != 1 {
		t.Errorf("no time for a fill: %v, want a refusal at once", got)
	}
	b.r.estimates.overhead.mean = 0
	for i := range 20 {
		id := strconv.Itoa(i)
		o := hasty(id)
		b.on(AttemptResult{Request: RequestID(id), Host: o.Host, Status: TimedOut, Elapsed: 120 * ms})
	}
	if b.r.limits.fills.limit > 0 || b.r.limits.fetches.limit > 0 {
		t.Errorf("windows of fills %+v and fetches %+v limit", b.r.limits.fills, b.r.limits.fetches)
	}
}

func TestParentsAreAskedWhatTheyKeepWhileFetchesAreLimited(t *testing.T) {
	b := start(t, site())
	b.r.limits.fetches = narrowed()
	first := b.sent(b.query("a", 1))
	if first.Options&SourceCachedOnly == 0 {
		t.Fatalf("options %d, want only what the parent keeps", first.Options)
	}
	if got := b.answer("a", first, 0, Miss, CacheStatusSourceMissing); len(of[Reject](got)) != 1 {
		t.Errorf("lacking and no room: %v, want a refusal at once", got)
	}
	b.r.limits.fetches.inFlight = 0
	second := b.sent(b.query("b", 2))
	if got := b.sent(b.answer("b", second, 0, Miss, CacheStatusSourceMissing)); got.Options&SourceCachedOnly != 0 {
		t.Error("the room was not used")
	}
}

func TestWindowNarrowsWidensAndIsFreed(t *testing.T) {
	b := start(t, site())
	b.r.estimates.meanSend[0] = 0.1
	w, q := &concurrencyLimit{inFlight: 2 * time.Second}, &request{sendTime: 100 * ms}
	b.r.updateLimit(w, q, false)
	if w.limit != 0 {
		t.Error("one late request limits")
	}
	for range 5 {
		b.r.updateLimit(w, q, false)
	}
	low := w.limit
	if low <= 0 || low > float64(time.Second) {
		t.Fatalf("limit %v after six late ones with 2 s out", time.Duration(low))
	}
	b.r.updateLimit(w, q, true)
	if w.limit <= low {
		t.Error("one in time does not widen it")
	}
	w.inFlight = 0
	for i := 0; w.limit > 0; i++ {
		if b.r.updateLimit(w, q, true); i > 200 {
			t.Fatal("it never comes free")
		}
	}
}

func TestWhichWindowAnAnswerMoves(t *testing.T) {
	late := func(b *bench, note CacheStatus) (fills, fetches, link float64) {
		o := b.sent(b.query("a", 1))
		b.now += 2 * time.Second
		for _, p := range b.r.endpoints.parents {
			p.lastAnswerAt = b.now
		}
		b.on(AttemptResult{Request: "a", Terminal: true, Host: o.Host, Status: OK, CacheStatus: note, Elapsed: 2 * time.Second})
		return b.r.limits.fills.lateShare, b.r.limits.fetches.lateShare, b.r.endpoints.byID[o.Host].limit.lateShare
	}
	for note, want := range map[CacheStatus][3]bool{
		CacheStatusHit: {false, false, true}, CacheStatusFilled: {true, false, false},
		CacheStatusFilledByOrigin: {false, true, false},
	} {
		fills, fetches, link := late(start(t, site()), note)
		if got := [3]bool{fills > 0, fetches > 0, link > 0}; got != want {
			t.Errorf("note %d: late fills, fetches, link %v, want %v", note, got, want)
		}
	}
}

// Where only hits are told, a fetched fill looks like any other. The window of fetches once learnt from failures
// alone there: three of them closed it for the rest of the day.
func TestFetchWindowOpensAgainWhereOnlyHitsAreTold(t *testing.T) {
	s := site()
	s.CacheStatusMode = CacheStatusModeHits
	b := start(t, s)
	b.r.limits.fetches = narrowed()
	b.r.limits.fetches.limit, b.r.limits.fetches.inFlight = float64(10*time.Second), 0
	for i := 0; b.r.limits.fetches.limit > 0; i++ {
		if i == 200 {
			t.Fatalf("still limited to %v after %d fetches in time", b.r.limits.fetches.limit, i)
		}
		id := fmt.Sprint("q", i)
		o := b.sent(b.query(id, ObjectID(i)))
		again := b.sent(b.answer(id, o, 0, Miss, CacheStatusNone)) // the parents lack it
		b.answer(id, again, 1, OK, CacheStatusFilled)
	}
}

func TestLateFetchOfAFollowerIsBorne(t *testing.T) {
	b := start(t, site())
	first := b.sent(b.query("a", 1))
	b.query("b", 1) // joins: it is out in no window
	b.on(AttemptResult{
		Request: "b", Terminal: true, Host: first.Host, Status: OK, CacheStatus: CacheStatusFilledByOrigin,
		Elapsed: 3 * time.Second,
	})
	if b.r.limits.fetches.lateShare != 0 {
		t.Error("a follower's lateness moved the window of fetches")
	}
}

func TestOneSilentParentSparesTheWindowOfFills(t *testing.T) {
	for _, alone := range []bool{true, false} {
		b := start(t, site())
		o := b.sent(b.query("a", 1))
		b.now += time.Second
		if alone {
			b.r.endpoints.byID[1001-o.Source].lastAnswerAt = b.now // the other of 500 and 501
		}
		b.on(TimerFired{Timer{Kind: TimerObjectiveMissed, Request: "a"}})
		if got := b.r.limits.fills.lateShare > 0; got == alone {
			t.Errorf("silent alone %v: counted as late %v", alone, got)
		}
	}
}

// Fills were late since the origin was short, while all caches reported room on the link: the window of fills closed,
// and every request that its cache lacked was refused for ten seconds.
func TestLateFillsAreBlamedOnTheLinkOnlyWhereItIsFull(t *testing.T) {
	for _, use := range []float64{0.3, 2} {
		b := start(t, site())
		for i := range 30 { // reports come with every answer
			id := fmt.Sprint("q", i)
			o := b.sent(b.query(id, ObjectID(i)))
			b.on(AttemptResult{
				Request: RequestID(id), Terminal: true, Host: o.Host, Status: OK, CacheStatus: CacheStatusHit,
				Elapsed: 110 * ms, Load: &LoadReport{LinkUse: use, HasLinkUse: true},
			})
		}
		b.sent(b.query("a", 1000))
		b.now += time.Second
		b.on(TimerFired{Timer{Kind: TimerObjectiveMissed, Request: "a"}})
		if got := b.r.limits.fills.lateShare > 0; got != (use >= fullLinkUse) {
			t.Errorf("link in use %v: counted as late %v", use, got)
		}
		if b.r.limits.fetches.lateShare == 0 {
			t.Errorf("link in use %v: the window of fetches learnt nothing", use)
		}
	}
}

// With eighty directors most of a jam was called off before its aim: their windows never heard of it.
func TestOverdueAttemptCountsAsLateForItsWindows(t *testing.T) {
	b := start(t, site())
	b.sent(b.query("a", 1))
	b.r.endpoints.parents[0].lastAnswerAt = b.now
	b.now += 300 * ms // before the aim
	if off := of[CancelAttempt](b.on(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}})); len(off) != 1 {
		t.Fatalf("called off %v", off)
	}
	if b.r.limits.fetches.lateShare == 0 {
		t.Error("what was called off as overdue is not late for the window of fetches")
	}
}

// After a flush a third of all fills were called off and asked again of another cache and parent, each a fetch more for
// an origin that was late because of them.
func TestOverdueFillIsNotAskedAgainWhileAllBehindIsSlow(t *testing.T) {
	for name, change := range map[string]func(*Router){
		"a parent sends":  func(r *Router) { r.endpoints.parents[0].lastAnswerAt = r.now },
		"no parent sends": func(*Router) {},
		"fetches are short": func(r *Router) {
			r.endpoints.parents[0].lastAnswerAt, r.limits.fetches.limit = r.now, float64(time.Second)
		},
	} {
		b := start(t, site())
		b.sent(b.query("a", 1))
		b.now += 300 * ms
		b.r.now = b.now
		change(b.r)
		off := of[CancelAttempt](b.on(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}}))
		if (len(off) == 1) != (name == "a parent sends") {
			t.Errorf("%s: called off %v", name, off)
		}
	}
}

func TestWindowsMoveMoreWhereEachOfManySeesLittle(t *testing.T) {
	step := func(n int, inTime bool) float64 {
		s := site()
		s.DirectorsByZone = []int{0, n}
		b := start(t, s)
		b.r.estimates.meanSend[0] = 1
		w := &concurrencyLimit{limit: float64(time.Second), lateShare: 1}
		b.r.updateLimit(w, &request{sendTime: 100 * ms}, inTime)
		return w.limit - float64(time.Second)
	}
	for _, inTime := range []bool{true, false} {
		if one, nine := step(1, inTime), step(9, inTime); nine/one < 2.9 || nine/one > 3.1 {
			t.Errorf("in time %v: one of nine moves it by %v, a single one by %v", inTime, nine, one)
		}
	}
}

func TestManyLateLeaveRoomForOne(t *testing.T) {
	b := start(t, site())
	w, q := &concurrencyLimit{inFlight: time.Second}, &request{sendTime: 100 * ms}
	for range 100 {
		b.r.updateLimit(w, q, false)
	}
	if w.limit < float64(q.sendTime) {
		t.Errorf("limit %v: it takes many requests in time before two may be out", time.Duration(w.limit))
	}
}

// Settings that leave out how many serve the location, or give 0, must not let each take the whole budget.
func TestUntoldNumberOfDispatchersIsTakenAsAll(t *testing.T) {
	for _, x := range []struct {
		all    int
		byZone []int
		want   float64
	}{{80, nil, 80}, {80, []int{0}, 80}, {80, []int{0, 0}, 80}, {80, []int{0, 8}, 8}, {0, nil, 1}} {
		s := site()
		s.Directors, s.DirectorsByZone = x.all, x.byZone
		if got := start(t, s).r.directorsInZone; got != x.want {
			t.Errorf("%+v: %v", x, got)
		}
	}
}

func TestDispatchersOfAZoneDivideTheBurstOfFurtherAttempts(t *testing.T) {
	for _, n := range []int{1, 5, 40} {
		s := site()
		s.DirectorsByZone = []int{0, n}
		b := start(t, s)
		for i := range 400 {
			id := fmt.Sprint("q", i)
			b.answer(id, b.sent(b.query(id, ObjectID(i))), 0, OK, CacheStatusHit)
		}
		if all, most := b.r.retryBudget.tokens*float64(n), float64(max(zoneRetryTokens, minRetryTokens*n)); all > most {
			t.Errorf("%d dispatchers may spend %v at once, %v at most", n, all, most)
		}
	}
}

func TestSlowingCacheIsGivenLess(t *testing.T) {
	b := start(t, site())
	h := b.r.endpoints.byID[b.sent(b.query("a", 1)).Host]
	q := &request{sendTime: 100 * ms}
	for range 12 {
		b.r.updateLimit(&h.limit, q, false) // hits that end later and later
	}
	h.limit.inFlight = time.Second
	b.r.fills = fillTable{}
	if got := b.sent(b.query("b", 1)); got.Host == h.Host {
		t.Error("a cache whose hits are late was given one more")
	}
}

func TestLostAnswersStrandNobody(t *testing.T) {
	b := start(t, site())
	b.r.retryBudget.tokens = 0
	first := b.sent(b.query("a", 1))
	for n := range 4 { // the copy is there: back to it, at no cost to the budget and no blame
		if got := b.sent(b.answer("a", first, n, Reset, CacheStatusNone)); got.Host != first.Host {
			t.Fatalf("went on at %d, want %d, where the copy is", got.Host, first.Host)
		}
	}
	if h := b.r.endpoints.byID[first.Host]; h.health.failureShare != 0 || !b.r.healthy(h) {
		t.Error("a cache whose answers got lost was blamed")
	}
}

func TestDispatchersDrawTheSamePairForPurgedObjects(t *testing.T) {
	sources := func(seed uint64, prepare func(*Router)) (out []HostID) {
		b := &bench{t: t, r: NewRouter(site(), seed), now: time.Hour}
		b.r.Start(b.now)
		list := members()
		for i := range 6 {
			list = append(list, Endpoint{Host: HostID(510 + i), Zone: "hub", Kind: "parent", Readiness: Ready})
		}
		b.on(EndpointUpdate{Kind: UpdateCached, Endpoints: list})
		prepare(b.r)
		for i := range 40 {
			out = append(out, b.sent(b.query(fmt.Sprint(i), ObjectID(i))).Source)
		}
		return out
	}
	for name, prepare := range map[string]func(*Router){
		"purged":     func(r *Router) { r.Handle(r.now, Purge{ByGroup: true}) },
		"lacked":     func(r *Router) { r.estimates.fetchShare = 0.9 },
		"parent out": func(r *Router) { r.endpoints.parents[3].isReady = false },
	} {
		if !slices.Equal(sources(1, prepare), sources(2, prepare)) {
			t.Errorf("%s: two dispatchers draw different parents", name)
		}
	}
	calm := func(*Router) {}
	if slices.Equal(sources(1, calm), sources(2, calm)) {
		t.Error("in calm times the draw is not at random")
	}
}

func TestStateStaysBounded(t *testing.T) {
	b := start(t, site())
	for wave := range 50 { // all caches replaced again and again, each object purged
		for i := range 8 {
			id := HostID(2000 + wave*8 + i)
			b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{
				{Host: id, Zone: "west", Kind: "cache", Readiness: Ready, StartedAt: b.now},
				{Host: id - 8, Zone: "west", Kind: "cache", Readiness: Gone},
			}})
			b.on(Purge{Object: ObjectID(id), Group: wave})
			b.on(Purge{ByGroup: true, Group: int(id)})
		}
		b.now += 2 * time.Second
		b.on(TimerFired{Timer{Kind: TimerUpkeep}})
	}
	if n := len(b.r.endpoints.byID); n > 20 {
		t.Errorf("%d hosts are remembered, 14 are listed", n)
	}
	if n := len(b.r.purges.objects) + len(b.r.purges.groups); n > 8*2*6 {
		t.Errorf("%d purges are remembered", n)
	}
	if len(b.r.endpoints.caches) != 11 {
		t.Errorf("%d caches to choose from, want 11", len(b.r.endpoints.caches))
	}
}

func TestAllRestartedAtOnceKeepTheirBudgets(t *testing.T) {
	s := site()
	b := start(t, s)
	var wave []Endpoint
	for _, m := range members() {
		if m.Kind == "cache" {
			m.StartedAt = b.now
			wave = append(wave, m)
		}
	}
	b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: wave})
	const carried = 6.0
	sent := map[HostID]float64{}
	for i := range 200 {
		b.now += 5 * ms
		b.r.load.bestServed = carried
		for _, o := range of[StartAttempt](b.query(fmt.Sprint("q", i), ObjectID(i))) {
			sent[o.Host] += 0.1
		}
	}
	if len(sent) != len(wave) {
		t.Errorf("%d of %d cold caches were used", len(sent), len(wave))
	}
	for h, work := range sent {
		if limit := s.CacheSlowStart.OverloadFactor * 0.3 * carried / 3; work > limit {
			t.Errorf("sent %.2f s of work to the cold cache %d, at most %.2f", work, h, limit)
		}
	}
}

func TestKnownFillCountsWholeAtAColdParent(t *testing.T) {
	spent := func(look bool) float64 {
		b := start(t, site())
		for _, h := range []HostID{500, 501} {
			b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{
				{Host: h, Zone: "hub", Kind: "parent", Readiness: Ready, StartedAt: b.now - 19*time.Second},
			}})
		}
		b.r.estimates.missShare, b.r.load.bestServed = 0.1, 100
		b.now += 500 * ms
		if look {
			b.r.limits.fills = concurrencyLimit{limit: float64(time.Hour)}
		}
		o := b.sent(b.query("a", 1))
		if look {
			o = b.sent(b.answer("a", o, 0, Miss, CacheStatusNone))
		}
		p := b.r.endpoints.byID[o.Source]
		full := p.slowStart.tokens
		b.r.spendSlowStart(p, b.r.requests["a"], -1)
		one := p.slowStart.tokens - full
		b.r.hasSlowStartCapacity(p, b.r.requests["a"])
		budget, _ := b.r.slowStartBudget(p, b.r.requests["a"])
		return (budget.rate*budget.rule.Window.Seconds()*slowStartBurst - full) / one
	}
	if got := spent(false); got < 0.14 || got > 0.16 {
		t.Errorf("an attempt that may be a hit spent %.2f of a fill, want the share planned with, 0.15", got)
	}
	if got := spent(true); got < 0.99 || got > 1.01 {
		t.Errorf("a fill found to be one spent %.2f of itself", got)
	}
}

func TestColdBudgetOutlivesAWaveOfRemovals(t *testing.T) {
	b := start(t, site())
	b.r.load.bestServed = 6
	q := &request{}
	rate := func() float64 {
		cold := members()[1]
		cold.StartedAt = b.now
		b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{cold}})
		budget, _ := b.r.slowStartBudget(b.r.endpoints.byID[cold.Host], q)
		return budget.rate
	}
	before := rate()
	b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{
		{Host: 101, Zone: "west", Kind: "cache", Readiness: Gone},
		{Host: 102, Zone: "west", Kind: "cache", Readiness: Gone},
	}})
	b.on(TimerFired{Timer{Kind: TimerUpkeep}})
	b.r.load.bestServed = 6
	if after := rate(); len(b.r.endpoints.caches) != 1 || after > before {
		t.Errorf("%d caches left: %.2f s a second for a cold one, %.2f before the others were gone", len(b.r.endpoints.caches), after, before)
	}
}

func TestFailedSourceKeepsCache(t *testing.T) {
	b := start(t, site())
	first := b.sent(b.query("a", 1))
	again := b.sent(b.answer("a", first, 0, Full, CacheStatusSourceRejected))
	if again.Host != first.Host || again.Source == first.Source {
		t.Errorf("went on at %d from %d, want %d from another than %d", again.Host, again.Source, first.Host, first.Source)
	}
}

func TestColdCacheKeepsBudget(t *testing.T) {
	s := site()
	b := start(t, s)
	fresh := members()[1]
	fresh.StartedAt = b.now - 100*ms
	b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{fresh}})
	const carried = 3.0 // by this instance's zone, in transfers at full pace
	b.r.load.bestServed = carried
	spent := 0.0
	for i := range 200 {
		b.now += 5 * ms
		b.r.load.bestServed = carried
		b.query(fmt.Sprint("q", i), ObjectID(i))
	}
	for _, o := range of[StartAttempt](b.acts) {
		if o.Host == fresh.Host {
			spent += 0.1
		}
	}
	// One second: the cold share has risen to at most 0.3, the instance has half of the zone.
	if limit := s.CacheSlowStart.OverloadFactor * 0.3 * carried / 3; spent == 0 || spent > limit {
		t.Errorf("sent %.2f s of work to the cold cache, want some and at most %.2f", spent, limit)
	}
}

// Six in ten caches were replaced: budgets taken from what one of eighty directors had carried refused 150 requests a
// second for ten seconds. All directors together keep the budget of a cold host, and none of it lies idle for want of load.
func TestDispatchersDivideTheBudgetOfAListedSize(t *testing.T) {
	for _, n := range []int{1, 8, 80} {
		s := site()
		s.WeightMode, s.Directors, s.DirectorsByZone = WeightModeNominal, n, []int{0, n}
		for _, parent := range []bool{false, true} {
			rule := s.CacheSlowStart
			if parent {
				rule = s.ParentSlowStart
			}
			total, spent := 0.0, 0.0
			for i := range n {
				b := &bench{t: t, r: NewRouter(s, uint64(i)), now: time.Hour}
				b.r.Start(b.now)
				list := members()
				for j := range list {
					list[j].Weight = 6
				}
				b.on(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: list})
				q := &request{sendTime: 250 * ms}
				b.r.estimates.meanSend[0] = 0.25
				h := b.r.endpoints.caches[0]
				if parent {
					h = b.r.endpoints.parents[0]
				}
				h.StartedAt = b.now
				budget, cold := b.r.slowStartBudget(h, q)
				if !cold {
					t.Fatal("it is not cold")
				}
				total += budget.rate
				if b.r.hasSlowStartCapacity(h, q) { // at once
					spent += q.sendTime.Seconds()
				}
			}
			if want := slowStartSafety * rule.OverloadFactor * rule.InitialShare * 6; total < 0.99*want || total > 1.01*want {
				t.Errorf("%d dispatchers, parent %v: budgets come to %v, want %v", n, parent, total, want)
			}
			if most := rule.OverloadFactor * rule.InitialShare * 6 * rule.Window.Seconds(); n > 1 && spent > most {
				t.Errorf("%d dispatchers, parent %v: %v s of sending at once, %v in a window", n, parent, spent, most)
			}
		}
	}
}

// A hub zone was lost while a hub cache elsewhere failed two thirds: by the mean of their peers each hid the other.
func TestTwoBadParentsOfFourDoNotHideEachOther(t *testing.T) {
	b := start(t, site())
	more := members()
	for i := range 2 {
		more = append(more, Endpoint{Host: HostID(502 + i), Zone: "hub", Kind: "parent", Readiness: Ready, Weight: 1})
	}
	b.on(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: more})
	for range 3 {
		b.r.recordOutcome(b.r.endpoints.parents[0], true)
		b.r.recordOutcome(b.r.endpoints.parents[1], true)
	}
	for i, p := range b.r.endpoints.parents {
		if out := b.now < p.health.ejectedUntil; out != (i < 2) {
			t.Errorf("parent %d ejected: %v", i, out)
		}
	}
	b = start(t, site())
	for range 9 {
		for _, p := range b.r.endpoints.parents { // all suffer: no host's fault
			b.r.recordOutcome(p, true)
		}
	}
	if slices.ContainsFunc(b.r.endpoints.parents, func(p *host) bool { return b.now < p.health.ejectedUntil }) {
		t.Error("ejected for what all suffer")
	}
}

// Where only hits are told, a lost parent's refusals were taken for its caches', and closed the windows.
func TestRefusalAfterAConnectIsTheSources(t *testing.T) {
	for elapsed, sources := range map[time.Duration]bool{2 * ms: false, 150 * ms: true} {
		s := site()
		s.CacheStatusMode = CacheStatusModeHits
		b := start(t, s)
		o := b.sent(b.query("a", 1))
		cache, source := b.r.endpoints.byID[o.Host], b.r.endpoints.byID[o.Source]
		source.health.failureShare = 0.4
		b.now += elapsed
		b.on(AttemptResult{Request: "a", Host: o.Host, Status: Full, Elapsed: elapsed})
		if (cache.health.failureShare == 0) != sources {
			t.Errorf("after %v: the cache's share is %v", elapsed, cache.health.failureShare)
		}
		if b.r.limits.fetches.lateShare > 0 {
			t.Errorf("after %v: the refusal of a parent that is bad alone counts against the origin", elapsed)
		}
	}
}

// A hub cache that restarts under its old id is told to all at one moment: their first tokens must not come at one moment too.
func TestRestartedHostIsMetApart(t *testing.T) {
	s := site()
	s.WeightMode, s.Directors, s.DirectorsByZone = WeightModeNominal, 80, []int{0, 8}
	ready := 0
	for i := range s.Directors {
		b := &bench{t: t, r: NewRouter(s, uint64(i)), now: time.Hour}
		b.r.Start(b.now)
		b.on(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: members()})
		again := Endpoint{Host: 500, Zone: "hub", Kind: "parent", Readiness: Ready, Weight: 6, StartedAt: b.now}
		b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{again}})
		b.r.estimates.meanSend[0] = 0.25
		q := &request{sendTime: 250 * ms}
		b.r.hasSlowStartCapacity(b.r.endpoints.byID[500], q)
		b.r.now += 4 * time.Second // a third of a token
		ready += int(indicator(b.r.hasSlowStartCapacity(b.r.endpoints.byID[500], q)))
	}
	if ready < 12 || ready > 45 {
		t.Errorf("4 s after the news %d of 80 may send", ready)
	}
}

func TestHungCacheIsEjectedAndTried(t *testing.T) {
	b := start(t, site())
	h := b.r.endpoints.caches[0]
	for i := range maxUnanswered {
		q := &request{Request: Request{ID: RequestID(fmt.Sprint(i))}}
		b.r.handleOverdue(&attempt{request: q, cache: h, source: b.r.endpoints.origin, sentAt: b.now})
	}
	if b.r.healthy(h) {
		t.Fatal("a silent cache is still used")
	}
	b.r.eject(b.r.endpoints.caches[1])
	if !b.r.healthy(b.r.endpoints.caches[1]) {
		t.Error("so many are out that the rest cannot carry the load")
	}
	b.now = h.health.ejectedUntil
	b.r.Handle(b.now, PeerMessage{})
	if !b.r.healthy(h) {
		t.Error("no way back")
	}
	h.attemptsInFlight = 1
	if b.r.healthy(h) {
		t.Error("on trial, more than one attempt at a time")
	}
}

func TestEffects(t *testing.T) {
	s := site()
	s.Classes[0].Idempotency = NonIdempotent
	b := start(t, s)
	first := b.sent(b.query("a", 1))
	acts := b.answer("a", first, 0, Failed, CacheStatusNone)
	if len(of[Fail](acts)) != 1 || len(of[StartAttempt](acts)) != 0 || len(of[Reject](acts)) != 0 {
		t.Errorf("unsafe and maybe run: %v, want a failure", acts)
	}
	second := b.sent(b.query("b", 2))
	if got := b.answer("b", second, 0, ConnectFailed, CacheStatusNone); len(of[StartAttempt](got)) != 1 {
		t.Errorf("unsafe and never run: %v, want another attempt", got)
	}
	s.Classes[0].Idempotency, s.Classes[0].DedupScope = IdempotentWithKey, ScopeCell
	b = start(t, s)
	first = b.sent(b.query("a", 1))
	if got := b.sent(b.answer("a", first, 0, Reset, CacheStatusNone)); got.Host != first.Host {
		t.Errorf("keyed by cell and maybe run: sent again to %d, want the same cell's %d", got.Host, first.Host)
	}
	if got := b.answer("a", first, 1, Failed, CacheStatusNone); len(of[StartAttempt](got)) != 0 || len(of[Fail](got)) != 1 {
		t.Errorf("keyed by cell, each cache a cell of its own: %v, want a failure", got)
	}
}

func TestUncacheablePassesTheTable(t *testing.T) {
	s := site()
	s.Classes[0].Uncacheable = true
	b := start(t, s)
	if got := b.sent(b.query("a", 1)); got.Options&JoinFill != 0 || got.CachePriority != 0 || len(b.r.fills) != 0 {
		t.Errorf("uncacheable: %+v with %d entries", got, len(b.r.fills))
	}
}

// TestAnySequence feeds random events and checks the rules that one instance can keep by itself.
func TestAnySequence(t *testing.T) {
	for seed := range uint64(60) {
		first, second := play(t, seed), play(t, seed)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: equal events, other actions", seed)
		}
		if len(first) == 0 {
			t.Fatalf("seed %d: nothing happened", seed)
		}
	}
}

func play(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := site()
	s.JoinsFills, s.HedgedRequests, s.DirectToSource = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	s.CacheStatusMode = []CacheStatusMode{CacheStatusModeAll, CacheStatusModeHits, CacheStatusModeNone}[rng.IntN(3)]
	s.Classes[0].Idempotency = []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent}[rng.IntN(3)]
	s.SiblingMode = []SiblingMode{SiblingModeOff, SiblingModeLocation}[rng.IntN(2)]
	s.Directors, s.DirectorsByZone = 60, []int{0, 1 + rng.IntN(9)}
	b := start(t, s)
	all := members()
	for i := range rng.IntN(12) {
		all = append(all, Endpoint{Host: HostID(200 + i), Zone: "west", Kind: "cache", Cell: i / 3, Readiness: Ready})
	}
	b.on(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: all})
	type timer struct {
		at    time.Duration
		timer Timer
	}
	var timers []timer
	left, out := map[RequestID]time.Duration{}, map[attemptKey]StartAttempt{}
	ended, tries, drained := map[RequestID]bool{}, map[RequestID]int{}, map[HostID]bool{}
	take := func(acts []Action) {
		for _, act := range acts {
			switch a := act.(type) {
			case StartAttempt:
				if ended[a.Request] || drained[a.Host] || drained[a.Source] {
					t.Fatalf("seed %d: %+v after an end or a drain", seed, a)
				}
				for k := range out {
					if k.request == a.Request {
						t.Fatalf("seed %d: two attempts at once for %s", seed, a.Request)
					}
				}
				out[attemptKey{a.Request, tries[a.Request]}] = a
				tries[a.Request]++
			case Reject:
				if ended[a.Request] {
					t.Fatalf("seed %d: two answers for %s", seed, a.Request)
				}
				ended[a.Request] = true
			case Fail:
				if ended[a.Request] {
					t.Fatalf("seed %d: two answers for %s", seed, a.Request)
				}
				ended[a.Request] = true
			case SetTimer:
				timers = append(timers, timer{b.now + a.Delay, a.Timer})
			}
		}
	}
	answer := func(k attemptKey, st Status) {
		o := out[k]
		delete(out, k)
		if st == OK && !ended[k.request] {
			ended[k.request] = true
		}
		take(b.on(AttemptResult{
			Request: k.request, Attempt: k.number, Host: o.Host, Status: st, Terminal: ended[k.request],
			CacheStatus: CacheStatus(rng.IntN(11)), Elapsed: time.Duration(rng.IntN(900)) * ms, FirstByte: time.Duration(rng.IntN(90)) * ms,
		}))
	}
	pick := func() []attemptKey {
		var keys []attemptKey
		for k := range out {
			keys = append(keys, k)
		}
		slices.SortFunc(keys, func(x, y attemptKey) int {
			if c := strings.Compare(string(x.request), string(y.request)); c != 0 {
				return c
			}
			return x.number - y.number
		})
		return keys
	}
	for step := range 600 {
		b.now += time.Duration(rng.IntN(30)) * ms
		for len(timers) > 0 {
			i := slices.IndexFunc(timers, func(x timer) bool { return x.at < b.now })
			if i < 0 {
				break
			}
			due := timers[i]
			timers = slices.Delete(timers, i, i+1)
			take(b.on(TimerFired{due.timer}))
		}
		for _, k := range pick() { // attempts end at their client's deadline
			if b.now >= left[k.request] {
				answer(k, TimedOut)
			}
		}
		statuses := []Status{OK, OK, OK, Failed, Full, ConnectFailed, Reset, Reset, Miss, Cancelled, NotSent}
		switch keys := pick(); rng.IntN(10) {
		case 0, 1, 2:
			id := RequestID(fmt.Sprint("q", step))
			wait := time.Duration(1+rng.IntN(4000)) * ms
			left[id] = b.now + wait
			take(b.on(Request{
				ID: id, Object: ObjectID(rng.IntN(5)), PurgeGroup: rng.IntN(3), Class: "clip",
				SizeKB: float64(rng.IntN(900)), TimeLeft: wait,
			}))
		case 3, 4, 5:
			if len(keys) > 0 {
				answer(keys[rng.IntN(len(keys))], statuses[rng.IntN(len(statuses))])
			}
		case 6:
			take(b.on(Purge{Object: ObjectID(rng.IntN(5)), Group: rng.IntN(3), ByGroup: rng.IntN(2) == 0}))
		case 7:
			m := all[rng.IntN(len(all))]
			m.Readiness = []Readiness{Ready, Draining, Gone}[rng.IntN(3)]
			if rng.IntN(3) == 0 {
				m.StartedAt = b.now
			}
			drained[m.Host] = m.Readiness != Ready
			take(b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{m}}))
		case 8: // a wave: a cell drains, is gone or comes back cold
			cell := rng.IntN(4)
			state := []Readiness{Ready, Draining, Gone}[rng.IntN(3)]
			var wave []Endpoint
			for _, m := range all {
				if m.Kind == "cache" && m.Cell == cell {
					m.Readiness, m.StartedAt = state, b.now
					drained[m.Host] = state != Ready
					wave = append(wave, m)
				}
			}
			take(b.on(EndpointUpdate{Kind: UpdateDelta, Endpoints: wave}))
		case 9: // a whole list that drops some parents, the origin or caches, or brings them back
			var whole []Endpoint
			for _, m := range all {
				drained[m.Host] = rng.IntN(4) == 0
				if !drained[m.Host] {
					whole = append(whole, m)
				}
			}
			take(b.on(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: whole}))
			take(b.on(ClientGone{Request: "never"}))
			take(b.on(AttemptResult{Request: "never", Status: OK, Terminal: true}))
		}
		for id, at := range left {
			if !ended[id] && b.now > at+2*time.Second {
				t.Fatalf("seed %d: %s was never answered", seed, id)
			}
		}
	}
	return b.acts
}

func TestEmptyList(t *testing.T) {
	b := &bench{t: t, r: NewRouter(site(), 1), now: 0}
	b.r.Start(0)
	b.on(EndpointUpdate{Kind: UpdateCached})
	if got := of[Reject](b.query("a", 1)); len(got) != 1 {
		t.Errorf("no hosts: %v, want one refusal", b.acts)
	}
}

// Another director has sent the token to one cell: the request goes there, as long as its caches drop repeats, and nowhere
// else. With no time left it fails, and promises nothing.
func TestBoundRequestKeepsToItsGroup(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		send bool
	}{{100 * ms, true}, {time.Second, false}} {
		s := site()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope = IdempotentWithKey, ScopeCell
		b := start(t, s)
		first := of[StartAttempt](b.query("q", 7))
		if len(first) != 1 {
			t.Fatal(first)
		}
		cell := int(first[0].Host-100+1) % 3 // not the one that was chosen
		b.on(PriorAttempt{Request: "q", Cell: cell, Age: c.age})
		next := b.answer("q", first[0], 0, NotSent, CacheStatusNone)
		for try := 0; try < 20 && len(of[StartAttempt](next))+len(of[Fail](next)) == 0; try++ {
			b.now += 20 * ms
			for _, a := range of[SetTimer](b.acts) {
				next = append(next, b.on(TimerFired{a.Timer})...)
			}
		}
		sent, dropped := of[StartAttempt](next), of[Fail](next)
		if c.send && (len(sent) != 1 || sent[0].Host != HostID(100+cell)) {
			t.Errorf("after %v: sent %v, dropped %v; the token is bound to host %d", c.age, sent, dropped, 100+cell)
		}
		if !c.send && (len(sent) != 0 || len(dropped) != 1 || len(of[Reject](next)) != 0) {
			t.Errorf("after %v: sent %v, dropped %v", c.age, sent, dropped)
		}
	}
}

// What all see of a parent weighs with its time to first byte: it is drawn only where no other is, and again once nothing is held
// against it. Of itself it ejects nobody; one bad outcome of one's own is enough beside it, and never where the peers are as bad.
func TestOpinionIsAPriorAndNoVerdict(t *testing.T) {
	b := start(t, site())
	doubted := b.r.endpoints.parents[0]
	b.on(AggregatedHealth{Host: doubted.Host, FailureShare: 0.6})
	if !b.r.healthy(doubted) || doubted.health.failureShare != 0 {
		t.Error("an opinion has ejected a parent")
	}
	drawn := func() (n int) {
		for i := range 200 {
			q := &request{Request: Request{Object: ObjectID(i)}, key: fillKey{object: ObjectID(i)}}
			n += int(indicator(b.r.pickSource(q) == doubted))
		}
		return n
	}
	if n := drawn(); n > 0 {
		t.Errorf("a doubted parent is drawn %d times in 200 though there are others", n)
	}
	b.r.recordOutcome(doubted, true)
	if b.r.healthy(doubted) {
		t.Error("a doubted parent that failed here too is still in")
	}
	b = start(t, site())
	doubted = b.r.endpoints.parents[0]
	b.on(AggregatedHealth{Host: doubted.Host, FailureShare: 0.6})
	for _, p := range b.r.endpoints.parents[1:] {
		p.isReady = false
	}
	if drawn() != 200 {
		t.Error("the only parent is not used")
	}
	for _, p := range b.r.endpoints.parents[1:] {
		p.isReady, p.health.failureShare = true, 0.3
	}
	if b.r.recordOutcome(doubted, true); !b.r.healthy(doubted) {
		t.Error("ejected for what all suffer")
	}
	b.on(AggregatedHealth{Host: doubted.Host})
	if drawn() == 0 {
		t.Error("nothing is held against it, and it is never drawn")
	}
	m := members()
	for i := range m {
		m[i].StartedAt = b.now
	}
	b.on(AggregatedHealth{Host: doubted.Host, FailureShare: 0.6})
	if b.on(EndpointUpdate{Kind: UpdateSnapshot, Version: 9, Endpoints: m}); b.r.endpoints.byID[doubted.Host].health.aggregatedFailures != 0 {
		t.Error("a process that was started anew has the old one's opinion")
	}
}

// What is told of a host is what came since it was asked last.
func TestEvidence(t *testing.T) {
	b := start(t, site())
	h := b.r.endpoints.caches[0]
	for i := range 5 {
		b.r.recordOutcome(h, i == 0)
	}
	for want := 5.0; want >= 0; want -= 5 {
		tried, failed := 0.0, 0.0
		b.r.HostOutcomes(func(id HostID, n, bad, _ float64) {
			if id == h.Host {
				tried, failed = n, bad
			}
		})
		if tried != want || failed != min(1, want) {
			t.Errorf("%v of %v, not of %v", failed, tried, want)
		}
	}
}

// Classes and tenants may call their objects alike: none joins what another has open, and each keeps its own time.
func TestClassesAndTenantsDoNotJoinEachOther(t *testing.T) {
	s := site()
	s.JoinsFills = false // followers are held, so that joining shows
	s.Classes = append(s.Classes, Class{Name: "clips", LatencyObjective: 400 * ms, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: Idempotent})
	b := start(t, s)
	ask := func(id, class, tenant string) int {
		return len(of[StartAttempt](b.on(Request{ID: RequestID(id), Object: 7, Class: class, Tenant: tenant, SizeKB: 100, TimeLeft: 4 * time.Second})))
	}
	if ask("a", "clip", "x") != 1 || ask("b", "clip", "x") != 0 {
		t.Fatal("the second of one class and tenant is not held")
	}
	if ask("c", "clips", "x") != 1 {
		t.Error("a class waits for another's attempt")
	}
	if ask("d", "clip", "y") != 1 {
		t.Error("a tenant waits for another's attempt")
	}
}

// An overdue attempt that may not be repeated is not called off: its answer may still come, and nothing else could be sent.
func TestWhatMayNotBeRepeatedIsNotCalledOff(t *testing.T) {
	for _, k := range []struct {
		effect  Idempotency
		after   time.Duration
		callOff bool
	}{{Idempotent, 2 * time.Second, true}, {NonIdempotent, 2 * time.Second, false}, {IdempotentWithKey, 500 * ms, true}, {IdempotentWithKey, 2 * time.Second, false}} {
		s := site() // its window for repeats is 1 s
		s.Classes[0].Idempotency, s.Classes[0].DedupScope = k.effect, ScopeAll
		b := start(t, s)
		o := b.sent(b.query("a", 7))
		b.now += 10 * ms
		other := b.sent(b.query("b", 7)) // at the same cache, which answers it
		if other.Host != o.Host {
			t.Fatal("not at the same cache")
		}
		b.now += k.after
		b.answer("b", other, 0, OK, CacheStatusFilled) // so its source sends, too: nothing is jammed
		if got := len(of[CancelAttempt](b.on(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}}))) == 1; got != k.callOff {
			t.Errorf("%s after %v: called off %t", k.effect, k.after, got)
		}
	}
}
