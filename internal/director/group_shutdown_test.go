package director

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/protocol/discovery"
)

// submitOnOtherCore submits a request over a connection that is served by another core than the first, and returns the client and
// the cache's connection on which the request arrived.
func (g *testGroup) submitOnOtherCore(cache *scriptedCache) (client, upstream *scriptedConn) {
	g.t.Helper()
	for i := range 64 { // each lands on the first core with a probability of one in the number of cores
		conn, err := net.Dial("tcp", g.addr)
		must(g.t, err)
		client = newScriptedConn(g.t, conn)
		id := fmt.Sprintf("%016x", 0xc000+i)
		client.write(client.submitText(id, objectA, 8*time.Second, "mem", "12000")) // large enough not to time out during the test
		upstream = cache.accept()
		upstream.request()
		accepted := make(chan int64)
		first := g.group.cores[0].prog
		first.Post(func() { accepted <- int64(first.director.InFlight()) })
		if <-accepted == 0 {
			return client, upstream
		}
		upstream.answer(id, "OK", "n=local", "x")
		client.want(1, 0, "x")
		must(g.t, conn.Close())
	}
	g.t.Fatal("all connections are served by the first core")
	return nil, nil
}

// waitApplied waits until a core other than the first has applied a revision, and reports whether it did in time.
func (g *testGroup) waitApplied(revision int64, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		applied := make(chan int64, len(g.group.cores))
		g.group.onAllCores(func(p *Program) {
			if p.director.InFlight() > 0 {
				applied <- p.watch.appliedRevision
			}
		})
		select {
		case r := <-applied:
			if r >= revision {
				return true
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
	return false
}

// purgeAndLoseCache publishes a purge, breaks the connection on which a request is in flight, and checks that the retry asks for a
// copy that is younger than the purge.
func (g *testGroup) purgeAndLoseCache(cache *scriptedCache, client, upstream *scriptedConn) {
	g.t.Helper()
	const noticeTime = 350 * time.Millisecond // of the rule on purges, on sockets
	g.responses <- fmt.Sprintf(`{"no":3,"items":[{"no":3,"recall":{"lot":5,"issued":%d}}]}`, time.Now().UnixMilli())
	if !g.waitApplied(3, noticeTime) {
		g.t.Error("the core with the open request has not applied the purge in time")
	}
	must(g.t, upstream.conn.Close())
	again := cache.accept()
	id, fields := again.request()
	if fields["cap"] == "" {
		g.t.Errorf("request %s is sent again without a limit of age: %v", id, fields)
	}
	again.answer(id, "OK", "n=pulled", "new")
	client.want(1, 0, "new")
	must(g.t, client.conn.Close())
}

func newHeldRequest(t *testing.T) (g *testGroup, cache *scriptedCache, client, upstream *scriptedConn) {
	cache = newScriptedCache(t)
	g = newTestGroup(t, 4, 1)
	g.responses <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":true,"hosts":[%s,%s]}}]}`,
		cache.host("s-8", "in_service"), cache.host("s-9", "in_service"))
	g.waitAllApplied(2)
	client, upstream = g.submitOnOtherCore(cache)
	return g, cache, client, upstream
}

// Guards against the core that watches the event stream ending at a shutdown before the cores that still have requests: they would
// pass on copies of before a purge (review/6).
func TestPurgeReachesCoresDuringShutdown(t *testing.T) {
	g, cache, client, upstream := newHeldRequest(t)
	g.group.Shutdown()
	time.Sleep(drainAcceptTime + 2*lastAnswerTimeout) // every core without requests has nothing left to do
	if !g.group.healthy.Load() {                      // longer than stallTimeout after the cores without requests have ended
		t.Error("a core that has ended counts as stalled")
	}
	g.purgeAndLoseCache(cache, client, upstream)
}

// Guards against events that stay in memory for ever because a core that never reads them keeps its place before them.
func TestPublishedEventsAreFreed(t *testing.T) {
	g := newTestGroup(t, 4, 1)
	freed := make(chan struct{})
	g.group.cores[0].prog.Post(func() {
		event := &discovery.EndpointList{Sequence: 1}
		runtime.AddCleanup(event, func(struct{}) { close(freed) }, struct{}{})
		g.group.cores[0].publish(discovery.WatchResponse{Events: []discovery.Event{{Revision: 1, Endpoints: event}}}, false)
		g.group.cores[0].publish(discovery.WatchResponse{Events: []discovery.Event{{Revision: 1}}}, false)
	})
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runtime.GC()
		select {
		case <-freed:
			return
		default:
		}
	}
	t.Error("an event that all cores have applied is still in memory")
}

// Guards against a core that fails taking the watch of the event stream with it, while the others answer what they have.
func TestPurgeReachesCoresAfterThePanicOfOne(t *testing.T) {
	g, cache, client, upstream := newHeldRequest(t)
	g.wantError = true
	g.group.cores[0].prog.Post(func() { panic("provoked by a test") })
	time.Sleep(drainAcceptTime + 2*lastAnswerTimeout)
	g.purgeAndLoseCache(cache, client, upstream)
}
