package simulator

import (
	"fmt"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// appendAction appends the protocol line for an action of a director to b and returns the result. It
// returns b unchanged for an action that the protocol does not have.
func appendAction(b []byte, director int, action decision.Action) []byte {
	switch a := action.(type) {
	case decision.StartAttempt:
		return fmt.Appendf(b, "obtain %d %s %d %d %s %d %s %d\n", director, a.Request, a.Host, a.Options,
			formatMillis(a.MaxAge), a.CachePriority, formatMillis(a.Timeout), a.Source)
	case decision.Reject:
		return fmt.Appendf(b, "deny %d %s %s\n", director, a.Request, formatMillis(a.RetryAfter))
	case decision.Fail:
		return fmt.Appendf(b, "drop_request %d %s\n", director, a.Request)
	case decision.CancelAttempt:
		return fmt.Appendf(b, "abort_attempt %d %s %d\n", director, a.Request, a.Attempt)
	case decision.HealthCheck:
		return fmt.Appendf(b, "health_check %d %d\n", director, a.Host)
	case decision.SetTimer:
		return fmt.Appendf(b, "after %d %s %s\n", director, formatMillis(a.Delay), formatTimer(a.Timer))
	case decision.WatchEndpoints:
		return fmt.Appendf(b, "stream_changes %d %d\n", director, formatFlag(a.Enabled))
	case decision.PollEndpoints:
		return fmt.Appendf(b, "pull %d\n", director)
	case decision.LogLine:
		return fmt.Appendf(b, "note_down %d %s\n", director, a.Text)
	}
	return b
}

func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

func formatFlag(b bool) int {
	if b {
		return 1
	}
	return 0
}
