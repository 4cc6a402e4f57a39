package simulator

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// writeAction writes one action's line.
func writeAction(w *bufio.Writer, slot int, action decision.Action) {
	switch a := action.(type) {
	case decision.StartAttempt:
		fmt.Fprintf(w, "obtain %d %s %d %d %s %d %s %d\n", slot, a.Request, a.Host, a.Options,
			millis(a.MaxAge), a.CachePriority, millis(a.Timeout), a.Source)
	case decision.Reject:
		fmt.Fprintf(w, "deny %d %s %s\n", slot, a.Request, millis(a.RetryAfter))
	case decision.Fail:
		fmt.Fprintf(w, "drop_request %d %s\n", slot, a.Request)
	case decision.CancelAttempt:
		fmt.Fprintf(w, "abort_attempt %d %s %d\n", slot, a.Request, a.Attempt)
	case decision.HealthCheck:
		fmt.Fprintf(w, "health_check %d %d\n", slot, a.Host)
	case decision.SetTimer:
		fmt.Fprintf(w, "after %d %s %s\n", slot, millis(a.Delay), formatTimer(a.Timer))
	case decision.WatchEndpoints:
		fmt.Fprintf(w, "stream_changes %d %d\n", slot, bit(a.Enabled))
	case decision.PollEndpoints:
		fmt.Fprintf(w, "pull %d\n", slot)
	case decision.LogLine:
		fmt.Fprintf(w, "note_down %d %s\n", slot, a.Text)
	}
}
