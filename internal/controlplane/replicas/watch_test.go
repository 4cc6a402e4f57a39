package replicas_test

import (
	"net/netip"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/watch/watchtest"
)

// Guards against a replica that is cut off and keeps its watches open after its lease has ended.
func TestReplicaThatIsCutOffClosesItsWatches(t *testing.T) {
	cluster := startGroup(t, 3, 0)
	cut := cluster.Replicas[0]
	if cut == cluster.Leader(patience) {
		cut = cluster.Replicas[1]
	}
	const wait = 5 * time.Second
	watcher, err := watchtest.Dial(netip.MustParseAddrPort(cut.Follow.Addr()), "d", patience)
	check(t, err)
	t.Cleanup(watcher.Close)
	status, _, err := watcher.Poll(0)
	if err != nil || status != 200 {
		t.Fatalf("%d, %v", status, err)
	}
	check(t, watcher.Ask(wait))
	asked := time.Now()
	cut.Cut(false, false)
	if _, _, err := watcher.Answer(); err == nil {
		t.Error("the watch was answered")
	}
	if took := time.Since(asked); took > wait*3/4 {
		t.Errorf("the watch was closed after %v", took)
	}
	if cut.Count("followers.let_go") == 0 {
		t.Error("no followers.let_go in its log")
	}
}
