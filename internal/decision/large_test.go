package decision

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// largeWorld is one instance before caches whose links are short: what is out shares them evenly, so each answer takes as much longer
// as there is more out than the link carries.
type largeWorld struct {
	r      *Router
	rng    *rand.Rand
	now    time.Duration
	agenda agenda
	out    map[HostID]float64
	link   float64 // transfers at full pace
	asked  []sized
	at     map[RequestID]int
}

type sized struct {
	kb       float64
	answered bool
}

func (w *largeWorld) after(d time.Duration, do func()) { heap.Push(&w.agenda, due{w.now + d, do}) }

func (w *largeWorld) act(acts []Action) {
	for _, action := range acts {
		switch a := action.(type) {
		case SetTimer:
			w.after(a.Delay, func() { w.act(w.r.Handle(w.now, TimerFired{a.Timer})) })
		case StartAttempt:
			w.obtain(a)
		}
	}
}

func (w *largeWorld) obtain(a StartAttempt) {
	q := w.r.requests[a.Request]
	n, sent := len(q.attempts)-1, w.now
	w.out[a.Host]++
	slow := max(1, w.out[a.Host]/w.link)
	took := 20*time.Millisecond + time.Duration(slow*float64(q.sendTime))
	gone := q.deadline
	w.after(min(took, gone-w.now), func() {
		w.out[a.Host]--
		status := OK
		if w.now >= gone && took > gone-sent {
			status = TimedOut
		}
		if _, open := w.r.requests[a.Request]; open && status == OK {
			w.asked[w.at[a.Request]].answered = true
		}
		w.act(w.r.Handle(w.now, AttemptResult{
			Request: a.Request, Terminal: status == OK, Host: a.Host, Attempt: n, Status: status, CacheStatus: CacheStatusHit,
			Elapsed: w.now - sent,
		}))
	})
}

// The largest requests of a class are answered as its others are, as far as the operators want it: of the largest tenth two thirds of
// the class's share on a calm day, and half of it while links are short.
func TestLargeRequestsGetTheirShare(t *testing.T) {
	for _, day := range []struct {
		name  string
		load  float64 // of what the links carry
		least float64
	}{{"calm", 0.5, 2. / 3}, {"full", 1, 0.5}, {"short", 1.6, 0.5}} {
		t.Run(day.name, func(t *testing.T) {
			var shares []float64
			for seed := range uint64(5) {
				s := site()
				s.HedgedRequests = false
				s.Directors, s.DirectorsByZone = 1, []int{0, 1}
				w := &largeWorld{rng: rand.New(rand.NewPCG(seed, 11)), now: time.Hour, out: map[HostID]float64{}, link: 6, at: map[RequestID]int{}}
				w.r = NewRouter(s, seed)
				w.act(w.r.Start(w.now))
				w.act(w.r.Handle(w.now, EndpointUpdate{Kind: UpdateCached, Endpoints: members()}))
				until := w.now + 40*time.Second
				rate := day.load * 3 * w.link / meanSend.Seconds()
				var one func()
				one = func() {
					const sigma = 1.1
					kb := min(meanSend.Seconds()*s.FlowKBPerS*math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2), 2000)
					id := RequestID(fmt.Sprint(len(w.asked)))
					w.at[id] = len(w.asked)
					w.asked = append(w.asked, sized{kb: kb})
					w.act(w.r.Handle(w.now, Request{ID: id, Object: ObjectID(w.rng.Uint64()), Class: "clip", SizeKB: kb, TimeLeft: 4 * time.Second}))
					if w.now < until {
						w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), one)
					}
				}
				one()
				for len(w.agenda) > 0 && w.agenda[0].at <= until+5*time.Second {
					x := heap.Pop(&w.agenda).(due)
					w.now = x.at
					x.do()
				}
				slices.SortFunc(w.asked, func(a, b sized) int { return int(math.Copysign(1, b.kb-a.kb)) })
				share := func(part []sized) float64 {
					n := 0.0
					for _, x := range part {
						n += indicator(x.answered)
					}
					return n / float64(len(part))
				}
				all, tenth, fifth := share(w.asked), share(w.asked[:len(w.asked)/10]), share(w.asked[len(w.asked)/10:len(w.asked)*3/10])
				shares = append(shares, math.Round(100*all)/100, math.Round(100*tenth/all)/100, math.Round(100*fifth/all)/100)
				if min(tenth, fifth) < day.least*all {
					t.Errorf("seed %d: of all %.2f are answered, of the largest tenth %.2f, of the next fifth %.2f", seed, all, tenth, fifth)
				}
			}
			t.Logf("answered of the class, of the tenth and the fifth as parts of that, by seed: %v", shares)
		})
	}
}
