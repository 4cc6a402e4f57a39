package replicas_test

import (
	"net/netip"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/watch/watchtest"
)

// TestReplicaThatIsCutOffClosesItsWatches guards against a replica that is cut off and keeps its
// watches open after its lease has expired.
func TestReplicaThatIsCutOffClosesItsWatches(t *testing.T) {
	cluster := startGroup(t, 3, 0)
	cut := cluster.Replicas[0]
	if cut == cluster.Leader(waitTimeout) {
		cut = cluster.Replicas[1]
	}
	const wait = 5 * time.Second
	watcher, err := watchtest.Dial(netip.MustParseAddrPort(cut.Watch.Addr()), "d", waitTimeout)
	check(t, err)
	t.Cleanup(watcher.Close)
	status, _, err := watcher.Poll(0)
	if err != nil || status != 200 {
		t.Fatalf("%d, %v", status, err)
	}
	check(t, watcher.SendRequest(wait))
	requestedAt := time.Now()
	cut.Cut(false, false)
	if _, _, err := watcher.ReadAnswer(); err == nil {
		t.Error("the watch was answered")
	}
	closed := time.Now()
	if took := closed.Sub(requestedAt); took > wait*3/4 {
		t.Errorf("the watch was closed after %v", took)
	}
	// The log is read through a pipe, so the line may be read after the watch has closed; it must have been written before that.
	event, _, err := cut.Event("watcher.lease_lost", 0, waitTimeout)
	check(t, err)
	text, _ := event["time"].(string)
	if written, err := time.Parse(time.RFC3339Nano, text); err != nil || written.After(closed) {
		t.Errorf("watcher.lease_lost was logged at %v (%v), after the watch was closed at %v", written, err, closed)
	}
}
