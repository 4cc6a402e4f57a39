package director

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/tools/fakes"
)

// testGroup is a director on some cores between stand-in caches and a bulletin that tells what the test says.
type testGroup struct {
	t      *testing.T
	group  *Group
	addr   string
	caches []*fakes.Cache
	events chan string
	exited chan error
}

func newTestGroup(t *testing.T, cores, boxes int) *testGroup {
	return newTestGroupWith(t, cores, boxes, testSettings)
}

func newTestGroupWith(t *testing.T, cores, boxes int, settings string) *testGroup {
	c := &testGroup{t: t, events: make(chan string, 8), exited: make(chan error, 1)}
	stop := make(chan struct{})
	bulletin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case text := <-c.events:
			fmt.Fprint(w, text)
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); bulletin.Close() })
	var hosts []string
	for i := range boxes {
		b, err := fakes.NewCache("127.0.0.1:0")
		must(t, err)
		t.Cleanup(b.Close)
		c.caches = append(c.caches, b)
		hosts = append(hosts, c.host(i, "in_service"))
	}
	conf, err := config.Parse(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","seed":"1","bulletin":%q,"limits":{"memory_mb":192,"sockets":2048},
		"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[%s]}}]},"settings":%s}`,
		bulletin.Listener.Addr(), strings.Join(hosts, ","), settings), "", "")
	must(t, err)
	c.group, err = NewGroup(conf, cores)
	must(t, err)
	addr, err := c.group.Addr()
	must(t, err)
	c.addr = addr.String()
	go func() { c.exited <- c.group.Run() }()
	t.Cleanup(func() {
		c.group.Shutdown()
		must(t, <-c.exited)
		if n := c.group.owners.Len(); n > 0 {
			t.Errorf("%d ids are open after the end", n)
		}
	})
	return c
}

func (c *testGroup) host(i int, health string) string {
	return fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"west","class":"std","health":%q,"share":1}`, i, c.caches[i].Addr(), health)
}

// load has some clients send requests, and adds up what they got.
func (c *testGroup) load(clients, each int, pause time.Duration) (sum fakes.Tally) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			client, err := fakes.Connect(c.addr)
			if err != nil {
				c.t.Error(err)
				return
			}
			for i := range each {
				if err := client.Send(200, 5*time.Second); err != nil {
					c.t.Error(err)
					break
				}
				if i%16 == 15 { // no more than are allowed open on a connection, nearly always
					time.Sleep(pause)
				}
			}
			t := client.Finish(testTimeout)
			mu.Lock()
			defer mu.Unlock()
			addTally(&sum, t)
		})
	}
	wg.Wait()
	return sum
}

func addTally(sum *fakes.Tally, t fakes.Tally) {
	sum.Sent, sum.Served, sum.Refused, sum.Failed = sum.Sent+t.Sent, sum.Served+t.Served, sum.Refused+t.Refused, sum.Failed+t.Failed
	sum.Doubled, sum.Lost = sum.Doubled+t.Doubled, sum.Lost+t.Lost
}

// Each request gets exactly one final answer, on one, two and four cores, while a box is drained with one core stalled
// for 300 ms (one core) or 800 ms (several); nothing goes to that box, from any core, later than 500 ms after the director was told.
func TestCoresAnswerOnceAndDrainInTime(t *testing.T) {
	for _, cores := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			c := newTestGroup(t, cores, 4)
			got := make(chan fakes.Tally, 1)
			go func() { got <- c.load(24, 300, 80*time.Millisecond) }()
			for end := time.Now().Add(testTimeout); len(c.caches[0].Attempts()) < 100; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("no load")
				}
			}
			last := c.group.cores[cores-1].prog
			stalled := make(chan struct{})
			stall := 300 * time.Millisecond
			if cores > 1 { // longer than the grace: on waking, requests that came before the news are read before it
				stall = 800 * time.Millisecond
			}
			last.Post(func() { close(stalled); time.Sleep(stall) })
			<-stalled
			time.Sleep(100 * time.Millisecond)
			c.events <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":false,"hosts":[%s]}}]}`, c.host(0, "terminating"))
			told := time.Now()
			sum := <-got
			t.Logf("%+v", sum)
			if sum.Sent != 24*300 || sum.Served+sum.Refused+sum.Failed != sum.Sent || sum.Doubled+sum.Lost > 0 || sum.Served < sum.Sent/2 {
				t.Errorf("%+v", sum)
			}
			latest, busy := time.Duration(0), 0
			for _, o := range c.caches[0].Attempts() {
				latest = max(latest, o.At.Sub(told))
			}
			if latest > 500*time.Millisecond {
				t.Errorf("sent %v after it was told", latest)
			}
			t.Logf("last sent to the drained box %v after it was told", latest)
			counts := make(chan int64, cores)
			c.group.onAllCores(func(p *Program) { counts <- p.director.Counters.Accepted })
			for range cores {
				if <-counts > 0 {
					busy++
				}
			}
			if busy < cores {
				t.Errorf("%d of %d cores took requests", busy, cores)
			}
		})
	}
}

// The same id on connections of different cores at once: one is served, and the cache sees it once at any moment.
func TestOneIDOnTwoCores(t *testing.T) {
	silent := newScriptedCache(t) // answers when the test says so
	c := newTestGroup(t, 4, 1)
	c.events <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":true,"hosts":[%s]}}]}`, silent.host("s-9", "in_service"))
	seen := make(chan bool, 4)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c.group.onAllCores(func(p *Program) { seen <- p.watch.applied >= 2 })
		all := true
		for range 4 {
			all = <-seen && all
		}
		if all {
			break
		}
		if time.Now().After(end) {
			t.Fatal("not told")
		}
	}
	var peers []*scriptedConn
	for range 16 {
		conn, err := net.Dial("tcp", c.addr)
		must(t, err)
		p := newScriptedConn(t, conn)
		p.submit(requestA, objectA)
		peers = append(peers, p)
	}
	box := silent.accept()
	id, _ := box.request()
	failed := make(chan reply, len(peers))
	for _, p := range peers {
		go func() { failed <- p.reply() }()
	}
	for range len(peers) - 1 {
		if r := <-failed; r.result != 2 {
			t.Errorf("%+v", r)
		}
	}
	box.answer(id, "OK", "n=local", "a")
	if r := <-failed; r.result != 0 || r.body != "a" {
		t.Errorf("%+v", r)
	}
	select {
	case w := <-box.commands:
		t.Errorf("a second order: %v", w)
	default:
	}
}

// A box is listed as just started, four times the size of the warm one, so that most objects are placed on it. All cores together
// keep what the rule lets it have over every window; with a budget for each core they sent it 1.5 times that.
func TestCoresTogetherKeepAColdBoxesBudget(t *testing.T) {
	const window, send = time.Second, 2 * time.Millisecond // the size of a request over the pace of a transfer
	nominal := strings.NewReplacer(`"Zone":"west"`, `"Zone":"west","Weights":"nominal"`, `"Fall":3000`, `"Fall":1000`).Replace(testSettings)
	c := newTestGroupWith(t, 4, 2, nominal)
	got := make(chan fakes.Tally, 1)
	go func() { got <- c.load(24, 112, 480*time.Millisecond) }()
	for end := time.Now().Add(testTimeout); len(c.caches[0].Attempts())+len(c.caches[1].Attempts()) < 200; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no load")
		}
	}
	started := time.Now()
	line := func(i int, share float64, born int64) string {
		return fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"west","class":"std","health":"in_service","share":%g,"born_ms":%d}`,
			i, c.caches[i].Addr(), share, born)
	}
	c.events <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":false,"hosts":[%s,%s]}}]}`,
		line(0, 0.25, 0), line(1, 1, started.UnixMilli()))
	sum := <-got
	if sum.Served+sum.Refused+sum.Failed != sum.Sent || sum.Doubled+sum.Lost > 0 || sum.Served < sum.Sent/2 {
		t.Errorf("%+v", sum)
	}
	var at []time.Duration // of the attempts at the cold box, since its start
	for _, o := range c.caches[1].Attempts() {
		if since := o.At.Sub(started); since > 50*time.Millisecond { // until the news has reached all cores
			at = append(at, since)
		}
	}
	slices.Sort(at)
	worst := 0.0
	for first, i := 0, 0; i < len(at); i++ {
		for at[first] <= at[i]-window {
			first++
		}
		share := 0.17 + 0.83*at[first].Seconds()/16 // at the window's start, when it can do least
		worst = max(worst, float64(i-first+1)*send.Seconds()/(4*share*window.Seconds()))
	}
	t.Logf("%d attempts at the cold box, at worst %.2f of its budget", len(at), worst)
	if worst > 1 || worst < 0.1 {
		t.Errorf("%.2f of the budget of a window: over 1 it falls over, under 0.1 the test has no load", worst)
	}
}

// A budget taken from a listed size is the same on each core: four cores must not spend it four times.
func TestCoresCountAsDirectorsWhereDirectorsDivide(t *testing.T) {
	c := config.Config{}
	c.Settings.Directors, c.Settings.DirectorsByZone = 3, []int{0, 2}
	part := divide(c, 4).Settings
	if part.Directors != 12 || !slices.Equal(part.DirectorsByZone, []int{0, 8}) {
		t.Errorf("%d directors, by location %v", part.Directors, part.DirectorsByZone)
	}
	if c.Settings.DirectorsByZone[1] != 2 {
		t.Error("the configuration that the cores share was changed")
	}
}
