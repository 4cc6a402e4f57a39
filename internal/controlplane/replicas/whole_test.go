package replicas

import (
	"io"
	"strings"
	"testing"
	"time"
)

// A state of a million events takes a copy longer to check than a line may stand still. The call that brought it was ended meanwhile,
// and it was sent again and again.
func TestWholeStateMayBeChecked(t *testing.T) {
	ended := make(chan struct{})
	timer := time.AfterFunc(time.Hour, func() { close(ended) })
	if _, err := io.ReadAll(stallReader{strings.NewReader("state"), 20 * time.Millisecond, time.Hour, timer}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
		t.Error("it was ended while it was checked")
	case <-time.After(100 * time.Millisecond):
	}
	timer.Reset(time.Hour)
	if _, err := (stallReader{strings.NewReader("state"), 20 * time.Millisecond, time.Hour, timer}).Read(make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended: // its line stands still
	case <-time.After(10 * time.Second):
		t.Error("it waits for a line that stands still")
	}
	if d := verifyTimeout(1600 << 20); d < 6*time.Minute || d > 10*time.Minute {
		t.Errorf("%v to check 1.6 GB", d)
	}
}
