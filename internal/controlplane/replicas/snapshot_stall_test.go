package replicas

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestSnapshotReceiverHasTimeToVerify guards against a call that is canceled while the receiver
// verifies the snapshot, which takes longer than the stall timeout: the leader would then send the
// snapshot repeatedly.
func TestSnapshotReceiverHasTimeToVerify(t *testing.T) {
	ended := make(chan struct{})
	timer := time.AfterFunc(time.Hour, func() { close(ended) })
	body := func() stallReader {
		return stallReader{r: strings.NewReader("state"), stallTimeout: 20 * time.Millisecond, verifyTimeout: time.Hour, timer: timer}
	}
	if _, err := io.ReadAll(body()); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
		t.Error("the call was canceled during the verification")
	case <-time.After(100 * time.Millisecond):
	}
	timer.Reset(time.Hour)
	if _, err := body().Read(make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended: // the read has set the timer to the stall timeout
	case <-time.After(10 * time.Second):
		t.Error("a stalled call was not canceled")
	}
	if d := verifyTimeout(1600 << 20); d < 6*time.Minute || d > 10*time.Minute {
		t.Errorf("%v to verify 1.6 GB", d)
	}
}
