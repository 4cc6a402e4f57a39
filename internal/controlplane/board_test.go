package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/tools/fakes"
)

const patience = 20 * time.Second

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if mode := os.Getenv(childMode); mode != "" {
		os.Exit(runChild(mode))
	}
	os.Exit(m.Run())
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// until waits for what must come.
func until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never", what)
		}
	}
}

func settingsIn(folder string) operatorconfig.ControlPlane {
	return operatorconfig.ControlPlane{Listen: loopback(), Store: filepath.Join(folder, "board.db"), Write: operatorconfig.Write{Unix: filepath.Join(folder, "s")}, SnapshotEvery: 1000, KeepEvents: 1000, Batch: 64, Relays: true}
}

// start runs a board until the test ends.
func start(t testing.TB, set operatorconfig.ControlPlane) (*Server, *api.Client) {
	t.Helper()
	b, err := New(set, Options{})
	check(t, err)
	ended := make(chan error, 1)
	go func() { ended <- b.Run() }()
	until(t, "the board runs", func() bool { return b.started.Load() })
	t.Cleanup(func() {
		b.Stop()
		check(t, <-ended)
	})
	return b, client(t, set, "")
}

func client(t testing.TB, set operatorconfig.ControlPlane, who string) *api.Client {
	t.Helper()
	c, err := api.NewClient("unix:"+set.Write.Unix, who, api.Credentials{})
	check(t, err)
	return c
}

// quickRules wait for nothing that a test need not see.
func quickRules() fleet.Rules {
	r := fleet.DefaultRules()
	r.Cache.WarmUpMS, r.Parent.WarmUpMS, r.DrainSettleMS, r.NotifiedWithinMS = 0, 0, 0, 0
	return r
}

// depot is a wished fleet of some caches in one location, with an origin.
func depot(rules fleet.Rules, caches ...fleet.HostSpec) fleet.DesiredState {
	w := fleet.DesiredState{Rules: rules, Hosts: []fleet.HostSpec{{Name: "store", Role: fleet.Origin, Address: "127.0.0.1:9", Site: "hub", Class: "origin", Share: 40}}}
	for _, b := range caches {
		b.Role, b.Site, b.Class, b.Share = fleet.Cache, "west", "std", 4
		w.Hosts = append(w.Hosts, b)
	}
	w.Locations = []fleet.Location{{Name: "west", Floor: 4, Load: 4, Sources: []string{"store"}}}
	w.Normalize()
	return w
}

func cacheBox(n int, running bool) fleet.HostSpec {
	return fleet.HostSpec{Name: fmt.Sprintf("c-%d", n), Address: fmt.Sprintf("127.0.0.1:%d", 10+n), Running: running}
}

func planTo(t testing.TB, c *api.Client, wish fleet.DesiredState) []byte {
	t.Helper()
	world, err := c.State()
	check(t, err)
	w, err := world.ObservedState()
	check(t, err)
	p, err := plan.Make(w, wish, "")
	check(t, err)
	file, err := plan.Encode(p)
	check(t, err)
	return file
}

// carry submits a plan and waits until its apply stops.
func carry(t testing.TB, c *api.Client, file []byte) api.Apply {
	t.Helper()
	a, err := c.Submit(file)
	check(t, err)
	var now api.Apply
	until(t, "the apply stops", func() bool {
		now, err = c.Apply(a.ID)
		check(t, err)
		return now.Status != apply.Running
	})
	return now
}

// Two directors follow the board under a steady load while a plan adds two boxes and drains one. Each request gets one
// final answer; nothing is sent to the drained box, and nothing names it, later than 500 ms after a director was told.
func TestChangeUnderLoad(t *testing.T) {
	var boxes []*fakes.Cache
	for range 5 {
		c, err := fakes.NewCache("127.0.0.1:0")
		check(t, err)
		t.Cleanup(c.Close)
		boxes = append(boxes, c)
	}
	b, c := start(t, settingsIn(t.TempDir()))
	rules := quickRules()
	rules.Cache = fleet.SlowStart{InitialShare: 0.5, WarmUpMS: 500, OverloadFactor: 4}
	rules.NotifiedWithinMS, rules.DrainSettleMS = 7000, 700
	box := func(n int, running bool) fleet.HostSpec {
		return fleet.HostSpec{Name: fmt.Sprintf("c-%d", n), Address: boxes[n].Addr(), Running: running}
	}
	if a := carry(t, c, planTo(t, c, depot(rules, box(0, true), box(1, true), box(2, true)))); a.Status != apply.Done {
		t.Fatalf("%+v", a)
	}
	addr, err := b.Addr()
	check(t, err)
	var directors []string
	for range 2 {
		directors = append(directors, startDirector(t, addr.String()))
	}
	until(t, "the directors follow", func() bool { return b.watches.Count() == 2 })
	load := make(chan fakes.Tally, 2)
	for _, d := range directors {
		go func() {
			tally, err := fakes.Load(d, 200, 3*time.Second)
			if err != nil {
				t.Error(err)
			}
			load <- tally
		}()
	}
	until(t, "load", func() bool { return len(boxes[1].Attempts()) > 20 })
	before := b.store.Fleet().Revision
	done := make(chan api.Apply, 1)
	file := planTo(t, c, depot(rules, box(0, true), box(2, true), box(3, false), box(4, false)))
	go func() { done <- carry(t, c, file) }()
	drained := int64(0)
	until(t, "the drain", func() bool {
		m := b.store.Fleet().Host("c-1")
		if m != nil && m.State == fleet.Terminating && drained == 0 {
			drained = b.store.Fleet().Revision
		}
		return drained > before && b.acknowledgedRevision() >= drained
	})
	told := time.Now() // both directors have asked for what comes after the drain
	a := <-done
	if a.Status != apply.Done {
		t.Fatalf("%+v", a)
	}
	for range directors {
		tally := <-load
		if t.Logf("%+v", tally); tally.Doubled+tally.Lost+tally.Failed > 0 || tally.Served < tally.Sent*9/10 {
			t.Errorf("%+v", tally)
		}
	}
	for i, cache := range boxes {
		for _, o := range cache.Attempts() {
			late := o.At.Sub(told)
			if i == 1 && late > 500*time.Millisecond || o.Source == "c-1" && late > 500*time.Millisecond {
				t.Errorf("box %d was asked %v after the drain was told", i, late)
			}
		}
	}
	if len(boxes[3].Attempts()) == 0 || len(boxes[4].Attempts()) == 0 {
		t.Error("an added box got nothing")
	}
	// The second time nothing changes, whoever asks.
	again, err := client(t, b.set, "somebody").Submit(file)
	if err != nil || !again.Already || again.ID != a.ID || b.store.Fleet().Host("c-1") != nil {
		t.Errorf("%+v %v", again, err)
	}
}

const directorSettings = `{"Areas":["hub","west"],"Zone":"west","Models":["std","parent","origin"],"Balancers":1,"SlotNo":0,"Weights":"nominal",
"FamilyInfo":{"ParentKind":-1,"SourceKind":2,"CountByZone":[0,1],"OneFlowKbPerS":5000,"Tells":"hit","Joins":true,
 "Siblings":"off","NoticeTime":0,"PurgeDone":6000,"GoodFor":[0],"OlderBy":[0],"PassOn":[false],"MultiPart":[true]},
"Grades":[{"Name":"clips","Aim":600,"AimStretch":2,"Deadline":6000,"Worth":2,"Effect":"safe","Group":"all"}],
"Limits":{"Cancel":true,"ConnIdle":15000,"DialTimeout":400,"MaxAttempts":8,"MaxRetryAfter":2000,"MostHeld":20000,"Multiplex":32,"RetryAfter":true},
"Rules":{"DrainGrace":500,"GraceToAnswer":8,"Cold":500,"ColdFrom":0.5,"Fall":3000,"TipMultiple":4}}`

// startDirector runs a real director that follows a board, and gives its address.
func startDirector(t *testing.T, bulletin string) string {
	c, err := config.Parse(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","seed":"1","bulletin":%q,"known":{"no":0,"items":[]},"settings":%s}`,
		bulletin, directorSettings), "", "")
	check(t, err)
	p, err := director.New(c)
	check(t, err)
	addr, err := p.Addr()
	check(t, err)
	ended := make(chan error, 1)
	go func() { ended <- p.Run() }()
	t.Cleanup(func() {
		p.Post(p.Leave)
		check(t, <-ended)
	})
	return addr.String()
}

// Two apply at the same instant, the same plan and different ones: one begins, the others hear who has the lease, and
// once it is over a plan made before it is stale.
func TestTwoAtOnce(t *testing.T) {
	_, c := start(t, settingsIn(t.TempDir()))
	rules := quickRules()
	check(t, func() error {
		a := carry(t, c, planTo(t, c, depot(rules, cacheBox(0, true), cacheBox(1, true))))
		return statusError(a)
	}())
	slow := rules
	slow.DrainSettleMS = 300
	grow := planTo(t, c, depot(slow, cacheBox(0, true), cacheBox(2, true), cacheBox(3, true))) // both drain, and so last
	swap := planTo(t, c, depot(slow, cacheBox(0, true), cacheBox(2, true)))
	submit := func(files ...[]byte) (taken int) {
		got := make(chan error, len(files))
		for i, file := range files {
			go func() {
				own, err := api.NewClient("unix:"+c.Path(), fmt.Sprintf("person %d", i), api.Credentials{})
				if err == nil {
					_, err = own.Submit(file)
				}
				got <- err
			}()
		}
		for range files {
			err := <-got
			var refused *api.Error
			switch {
			case err == nil:
				taken++
			case !errors.As(err, &refused) || refused.Kind != api.Busy || refused.LeaseHolder == nil || !strings.Contains(refused.Message, "says person"):
				t.Errorf("%v", err)
			}
		}
		return taken
	}
	if n := submit(grow, swap, grow, swap); n != 1 {
		t.Errorf("%d were taken at once", n)
	}
	until(t, "the end", func() bool {
		all, err := c.Applies()
		check(t, err)
		return !slices.ContainsFunc(all, func(r apply.Record) bool { return !r.Status.Ended() })
	})
	// Of the two, one has been carried out: it changes nothing more. The other is stale.
	stale, already := 0, 0
	for _, file := range [][]byte{swap, grow} {
		a, err := c.Submit(file)
		var refused *api.Error
		switch {
		case err == nil && a.Already:
			already++
		case errors.As(err, &refused) && refused.Kind == api.Stale && len(refused.Moved) > 0:
			stale++
		default:
			t.Errorf("%+v %v", a, err)
		}
	}
	if stale != 1 || already != 1 {
		t.Errorf("%d stale, %d done already", stale, already)
	}
}

func statusError(a api.Apply) error {
	if a.Status != apply.Done {
		return fmt.Errorf("apply %d is %s: %s", a.ID, a.Status, a.Reason)
	}
	return nil
}

// A box dies in the middle of an apply, seen by the observer: the apply pauses before the step that would break the
// floor, or plans back, as the file says.
func TestDeathInTheMiddle(t *testing.T) {
	for _, trouble := range []string{fleet.Pause, fleet.Revert} {
		t.Run(trouble, func(t *testing.T) {
			set := settingsIn(t.TempDir())
			set.Observer = operatorconfig.Observer{Every: 50 * time.Millisecond, Timeout: 100 * time.Millisecond, Misses: 2}
			b, c := start(t, set)
			var boxes []*fakes.Cache
			var declared []fleet.HostSpec
			for n := range 4 {
				s, err := fakes.NewCache("127.0.0.1:0")
				check(t, err)
				t.Cleanup(s.Close)
				boxes = append(boxes, s)
				declared = append(declared, fleet.HostSpec{Name: fmt.Sprintf("c-%d", n), Address: s.Addr(), Running: true})
			}
			rules := quickRules()
			rules.OnFault, rules.MaxParallelSteps, rules.DrainSettleMS = trouble, 1, 1500
			check(t, statusError(carry(t, c, planTo(t, c, depot(rules, declared...)))))
			until(t, "all are seen", func() bool {
				return len(b.ObservedState().Observed) == 5 && !slices.ContainsFunc(declared, func(x fleet.HostSpec) bool { return b.ObservedState().Observed[x.Name].Sight != fleet.Up })
			})
			a, err := c.Submit(planTo(t, c, depot(rules, declared[2], declared[3]))) // drains c-0, then c-1
			check(t, err)
			until(t, "the first drain", func() bool { return b.store.Fleet().Host("c-0").State == fleet.Terminating })
			boxes[3].Close()
			until(t, "it stops", func() bool {
				now, err := c.Apply(a.ID)
				check(t, err)
				return now.Status != apply.Running
			})
			now, err := c.Apply(a.ID)
			check(t, err)
			if !strings.Contains(now.Reason, "floor of location west") {
				t.Errorf("%s: %s", now.Status, now.Reason)
			}
			if trouble == fleet.Pause {
				if now.Status != apply.Paused || b.store.Fleet().Host("c-1").State != fleet.InService {
					t.Errorf("%+v", now.Record)
				}
				r, err := c.Order(a.ID, apply.OrderCancel)
				if err != nil || r.Status != apply.Cancelled {
					t.Errorf("%+v %v", r, err)
				}
				return
			}
			if now.Status != apply.Reverted || now.RevertedBy == 0 {
				t.Fatalf("%+v", now.Record)
			}
			until(t, "the way back", func() bool {
				back, err := c.Apply(now.RevertedBy)
				check(t, err)
				return back.Status == apply.Done
			})
			if m := b.store.Fleet().Host("c-0"); m == nil || m.State != fleet.InService {
				t.Errorf("%+v", m)
			}
		})
	}
}

// Who may not call is turned away: by address at the bulletin, by address and by certificate at the write side.
func TestWhoMayCall(t *testing.T) {
	set := settingsIn(t.TempDir())
	set.Watchers = prefixes("10.0.0.0/8")
	b, _ := start(t, set)
	addr, err := b.Addr()
	check(t, err)
	res, err := http.Get("http://" + addr.String() + "/bulletins?after=0&patience=1")
	check(t, err)
	if res.Body.Close(); res.StatusCode != http.StatusForbidden {
		t.Error(res.Status)
	}
	set = settingsIn(t.TempDir())
	set.Write = operatorconfig.Write{TCP: loopback(), Writers: prefixes("10.0.0.0/8")}
	b, _ = start(t, set)
	res, err = http.Get("http://" + b.WriteAddr().String() + "/v1/world")
	check(t, err)
	if res.Body.Close(); res.StatusCode != http.StatusForbidden {
		t.Error(res.Status)
	}
	set = settingsIn(t.TempDir())
	set.Write = operatorconfig.Write{TCP: anywhere()}
	if _, err := New(set, Options{}); err == nil || !strings.Contains(err.Error(), "not loopback") {
		t.Error(err)
	}
}

// Every change records who made it, as the system tells it and beside that as the caller says.
func TestWhoIsRecorded(t *testing.T) {
	set := settingsIn(t.TempDir())
	_, c := start(t, set)
	_, err := client(t, set, "anna").Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	h, err := c.History(0)
	check(t, err)
	if len(h.Events) != 1 || !strings.HasSuffix(h.Events[0].Who, "(says anna)") || strings.HasPrefix(h.Events[0].Who, " ") {
		t.Errorf("%+v", h.Events)
	}
	if _, err = c.Purge(fleet.Purge{Object: "xyz"}); err == nil {
		t.Error("a purge of nothing was taken")
	}
}

// FuzzWriteSide sends bodies to the write side: none may do harm, and what it takes must be a change that can be read.
func FuzzWriteSide(f *testing.F) {
	set := settingsIn(f.TempDir())
	b, err := New(set, Options{})
	check(f, err)
	go b.Run()
	until(f, "the board runs", func() bool { return b.started.Load() })
	f.Cleanup(b.Stop)
	f.Add("/v1/purges", []byte(`{"group":3}`))
	f.Add("/v1/applies", []byte("stairvane-plan 1 0 x\n"))
	f.Add("/v1/applies/1/pause", []byte{})
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \x00%?#") {
			return
		}
		before := b.store.Fleet().Revision
		w := httptest.NewRecorder()
		r, err := http.NewRequest("POST", "http://board/v1/purges", strings.NewReader(string(body)))
		if err != nil {
			return
		}
		r.URL.Path = path
		conn, other := net.Pipe()
		defer conn.Close()
		defer other.Close()
		r.RemoteAddr = "127.0.0.1:1"
		b.writeServer.Handler.ServeHTTP(w, r.WithContext(context.WithValue(context.Background(), connKey{}, conn)))
		if w.Code >= 500 || w.Code == 200 && path == "/v1/purges" && b.store.Fleet().Revision == before {
			t.Errorf("%s %q: %d %s", path, body, w.Code, w.Body)
		}
	})
}

// A poll that is unwelcome in any way costs its own connection alone.
func TestFollowersThatMisbehave(t *testing.T) {
	b, _ := start(t, settingsIn(t.TempDir()))
	addr, err := b.Addr()
	check(t, err)
	for text, want := range map[string]string{
		"GET /bulletins?after=0&patience=5000 HTTP/1.1\r\n\r\nGET /bulletins HTTP/1.1\r\n\r\n": "HTTP/1.1 400",
		"POST /bulletins HTTP/1.1\r\n\r\n":                   "HTTP/1.1 405",
		"nonsense\r\n\r\n":                                   "HTTP/1.1 400",
		"GET /bulletins?after=0&patience=1 HTTP/1.0\r\n\r\n": "HTTP/1.1 200",
	} {
		conn, err := net.Dial("tcp", addr.String())
		check(t, err)
		check(t, conn.SetDeadline(time.Now().Add(patience)))
		_, err = conn.Write([]byte(text))
		check(t, err)
		var got []byte
		for buf := make([]byte, 4096); ; {
			n, err := conn.Read(buf)
			if got = append(got, buf[:n]...); err != nil {
				break
			}
		}
		if !strings.HasPrefix(string(got), want) {
			t.Errorf("%q: %q", text, got)
		}
		conn.Close()
	}
	until(t, "all are gone", func() bool { return b.watches.Count() == 0 })
}
