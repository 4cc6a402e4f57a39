package program

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

	"stairvane.org/stairvane/internal/config"
	"stairvane.org/stairvane/internal/standin"
)

// cluster is a director on some cores between stand-in caches and a bulletin that tells what the test says.
type cluster struct {
	t     *testing.T
	g     *Group
	addr  string
	boxes []*standin.Cache
	news  chan string
	ended chan error
}

func newCluster(t *testing.T, cores, boxes int) *cluster {
	c := &cluster{t: t, news: make(chan string, 8), ended: make(chan error, 1)}
	stop := make(chan struct{})
	bulletin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case text := <-c.news:
			fmt.Fprint(w, text)
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); bulletin.Close() })
	var hosts []string
	for i := range boxes {
		b, err := standin.NewCache("127.0.0.1:0")
		check(t, err)
		t.Cleanup(b.Close)
		c.boxes = append(c.boxes, b)
		hosts = append(hosts, c.host(i, "in_service"))
	}
	conf, err := config.Parse(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","seed":"1","bulletin":%q,"limits":{"memory_mb":192,"sockets":2048},
		"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[%s]}}]},"settings":%s}`,
		bulletin.Listener.Addr(), strings.Join(hosts, ","), settings), "", "")
	check(t, err)
	c.g, err = NewGroup(conf, cores)
	check(t, err)
	addr, err := c.g.Addr()
	check(t, err)
	c.addr = addr.String()
	go func() { c.ended <- c.g.Run() }()
	t.Cleanup(func() {
		c.g.Leave()
		check(t, <-c.ended)
		if n := c.g.owners.Len(); n > 0 {
			t.Errorf("%d ids are open after the end", n)
		}
	})
	return c
}

func (c *cluster) host(i int, health string) string {
	return fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"west","class":"std","health":%q,"share":1}`, i, c.boxes[i].Addr(), health)
}

// load has some clients send requests, and adds up what they got.
func (c *cluster) load(clients, each int, pause time.Duration) (sum standin.Tally) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			client, err := standin.Connect(c.addr)
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
			t := client.Finish(patience)
			mu.Lock()
			defer mu.Unlock()
			addTally(&sum, t)
		})
	}
	wg.Wait()
	return sum
}

func addTally(sum *standin.Tally, t standin.Tally) {
	sum.Sent, sum.Served, sum.Refused, sum.Failed = sum.Sent+t.Sent, sum.Served+t.Served, sum.Refused+t.Refused, sum.Failed+t.Failed
	sum.Doubled, sum.Lost = sum.Doubled+t.Doubled, sum.Lost+t.Lost
}

// Each request gets exactly one final answer, on one, two and four cores, while a box is drained with one core stalled
// for 300 ms (one core) or 800 ms (several); nothing goes to that box, from any core, later than 500 ms after the director was told.
func TestCoresAnswerOnceAndDrainInTime(t *testing.T) {
	for _, cores := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			c := newCluster(t, cores, 4)
			got := make(chan standin.Tally, 1)
			go func() { got <- c.load(24, 300, 80*time.Millisecond) }()
			for end := time.Now().Add(patience); len(c.boxes[0].Orders()) < 100; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("no load")
				}
			}
			last := c.g.cores[cores-1].prog
			stalled := make(chan struct{})
			stall := 300 * time.Millisecond
			if cores > 1 { // longer than the grace: on waking, requests that came before the news are read before it
				stall = 800 * time.Millisecond
			}
			last.Post(func() { close(stalled); time.Sleep(stall) })
			<-stalled
			time.Sleep(100 * time.Millisecond)
			c.news <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":false,"hosts":[%s]}}]}`, c.host(0, "terminating"))
			told := time.Now()
			sum := <-got
			t.Logf("%+v", sum)
			if sum.Sent != 24*300 || sum.Served+sum.Refused+sum.Failed != sum.Sent || sum.Doubled+sum.Lost > 0 || sum.Served < sum.Sent/2 {
				t.Errorf("%+v", sum)
			}
			latest, busy := time.Duration(0), 0
			for _, o := range c.boxes[0].Orders() {
				latest = max(latest, o.At.Sub(told))
			}
			if latest > 500*time.Millisecond {
				t.Errorf("sent %v after it was told", latest)
			}
			t.Logf("last sent to the drained box %v after it was told", latest)
			counts := make(chan int64, cores)
			c.g.post(func(p *Program) { counts <- p.director.Counts.Taken })
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
	silent := newCache(t) // answers when the test says so
	c := newCluster(t, 4, 1)
	c.news <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":true,"hosts":[%s]}}]}`, silent.host("s-9", "in_service"))
	seen := make(chan bool, 4)
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		c.g.post(func(p *Program) { seen <- p.feed.last >= 2 })
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
	var peers []*peer
	for range 16 {
		conn, err := net.Dial("tcp", c.addr)
		check(t, err)
		p := newPeer(t, conn)
		p.submit(ridA, objA)
		peers = append(peers, p)
	}
	box := silent.accept()
	id, _ := box.order()
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

// A budget taken from a listed size is the same on each core: four cores must not spend it four times.
func TestCoresCountAsDirectorsWhereDirectorsDivide(t *testing.T) {
	c := config.Config{}
	c.Settings.Dispatchers, c.Settings.DispatchersByZone = 3, []int{0, 2}
	part := divide(c, 4).Settings
	if part.Dispatchers != 12 || !slices.Equal(part.DispatchersByZone, []int{0, 8}) {
		t.Errorf("%d directors, by location %v", part.Dispatchers, part.DispatchersByZone)
	}
	if c.Settings.DispatchersByZone[1] != 2 {
		t.Error("the configuration that the cores share was changed")
	}
}
