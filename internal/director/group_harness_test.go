package director

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/tools/fakes"
)

// testGroup is a director on several cores with fake caches and a control plane whose responses the test supplies.
type testGroup struct {
	t         *testing.T
	group     *Group
	addr      string
	caches    []*fakes.Cache
	responses chan string
	exited    chan error
	wantError bool // Run must return an error
}

func newTestGroup(t *testing.T, cores, caches int) *testGroup {
	return newTestGroupWith(t, cores, caches, testSettings)
}

func newTestGroupWith(t *testing.T, cores, caches int, settings string) *testGroup {
	g := &testGroup{t: t, responses: make(chan string, 8), exited: make(chan error, 1)}
	stop := make(chan struct{})
	controlPlane := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done(): // the core that watched has failed
		case text := <-g.responses:
			_, _ = fmt.Fprint(w, text) // the director polls again if it is lost
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); controlPlane.Close() })
	var hosts []string
	for i := range caches {
		cache, err := fakes.NewCache("127.0.0.1:0")
		must(t, err)
		t.Cleanup(cache.Close)
		g.caches = append(g.caches, cache)
		hosts = append(hosts, g.host(i, "in_service"))
	}
	conf, err := config.Parse(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","seed":"1","bulletin":%q,
		"limits":{"memory_mb":192,"sockets":2048},
		"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[%s]}}]},"settings":%s}`,
		controlPlane.Listener.Addr(), strings.Join(hosts, ","), settings), "", "")
	must(t, err)
	g.group, err = NewGroup(conf, cores)
	must(t, err)
	addr, err := g.group.Addr()
	must(t, err)
	g.addr = addr.String()
	go func() { g.exited <- g.group.Run() }()
	t.Cleanup(func() {
		g.group.Shutdown()
		if err := <-g.exited; (err != nil) != g.wantError {
			t.Errorf("Run returned %v", err)
		}
		kept := 0 // for the IDs of cancelled requests, which may come back
		for _, c := range g.group.cores {
			kept += c.prog.director.KeptIDs()
		}
		if n := g.group.owners.Len(); n != kept && !g.wantError {
			t.Errorf("%d IDs have an owner after the shutdown, want %d", n, kept)
		}
	})
	return g
}

// waitAllApplied waits until all cores have applied a revision.
func (g *testGroup) waitAllApplied(revision int64) {
	g.t.Helper()
	for end := time.Now().Add(testTimeout); !g.allApplied(revision); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatal("the event did not reach all cores")
		}
	}
}

// allApplied reports whether all cores have applied a revision.
func (g *testGroup) allApplied(revision int64) bool {
	seen := make(chan bool, len(g.group.cores))
	g.group.onAllCores(func(p *Program) { seen <- p.watch.appliedRevision >= revision })
	all := true
	for range g.group.cores {
		all = <-seen && all
	}
	return all
}

func (g *testGroup) host(i int, health string) string {
	return fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"west","class":"std","health":%q,"share":1}`, i, g.caches[i].Addr(), health)
}

// load sends requests from several clients and returns the sum of their tallies.
func (g *testGroup) load(clients, each int, pause time.Duration) (sum fakes.Tally) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			client, err := fakes.Connect(g.addr)
			if err != nil {
				g.t.Error(err)
				return
			}
			for i := range each {
				if err := client.SendRandom(200, 5*time.Second); err != nil {
					g.t.Error(err)
					break
				}
				if i%16 == 15 { // rarely more than a connection may have in flight
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
	sum.Sent += t.Sent
	sum.Served += t.Served
	sum.Rejected += t.Rejected
	sum.Failed += t.Failed
	sum.Duplicated += t.Duplicated
	sum.Lost += t.Lost
}
