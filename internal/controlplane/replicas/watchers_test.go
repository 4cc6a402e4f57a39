package replicas_test

import (
	"net/netip"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/watch/watchtest"
)

// A replica that is cut off closes its watches when its lease ends, and not when the wait of each is over.
func TestAReplicaThatIsCutOffLetsItsWatchersGo(t *testing.T) {
	s := group(t, 3, 0)
	cut := s.Replicas[0]
	if cut == s.Leader(patience) {
		cut = s.Replicas[1]
	}
	const wait = 5 * time.Second
	d, err := watchtest.Dial(netip.MustParseAddrPort(cut.Follow.Addr()), "d", patience)
	check(t, err)
	t.Cleanup(d.Close)
	status, _, err := d.Poll(0)
	if err != nil || status != 200 {
		t.Fatalf("%d, %v", status, err)
	}
	check(t, d.Ask(wait))
	asked := time.Now()
	cut.Cut(false, false)
	if _, _, err := d.Answer(); err == nil {
		t.Error("the watch was answered")
	}
	if took := time.Since(asked); took > wait*3/4 {
		t.Errorf("the watch was closed after %v", took)
	}
	if cut.Count("followers.let_go") == 0 {
		t.Error("no followers.let_go in its log")
	}
}
