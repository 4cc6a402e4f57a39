package wire

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"lemonhinge.org/lemonhinge"
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
func writeAction(w *bufio.Writer, slot int, action lemonhinge.Action) {
	switch a := action.(type) {
	case lemonhinge.Obtain:
		fmt.Fprintf(w, "obtain %d %s %d %d %s %d %s %d\n", slot, a.Request, a.Host, a.Options,
			millis(a.MaxAge), a.Rank, millis(a.Timeout), a.Source)
	case lemonhinge.Deny:
		fmt.Fprintf(w, "deny %d %s %s\n", slot, a.Request, millis(a.HoldOff))
	case lemonhinge.Drop:
		fmt.Fprintf(w, "drop_request %d %s\n", slot, a.Request)
	case lemonhinge.Abort:
		fmt.Fprintf(w, "abort_attempt %d %s %d\n", slot, a.Request, a.Attempt)
	case lemonhinge.Probe:
		fmt.Fprintf(w, "health_check %d %d\n", slot, a.Host)
	case lemonhinge.After:
		fmt.Fprintf(w, "after %d %s %s\n", slot, millis(a.Delay), a.Token)
	case lemonhinge.Subscribe:
		fmt.Fprintf(w, "stream_changes %d %d\n", slot, bit(a.Want))
	case lemonhinge.Pull:
		fmt.Fprintf(w, "pull %d\n", slot)
	case lemonhinge.NoteDown:
		fmt.Fprintf(w, "note_down %d %s\n", slot, a.Line)
	}
}
