package simulator

import (
	"strconv"
	"strings"

	"stairvane.org/stairvane/internal/decision"
)

// timerNames are the names of the decision module's timers in the protocol.
var timerNames = map[decision.TimerKind]string{
	decision.TimerUpkeep:          "sweep",
	decision.TimerWatchEndpoints:  "subscribe",
	decision.TimerCoalescingLimit: "hold",
	decision.TimerAttemptOverdue:  "watch",
	decision.TimerObjectiveMissed: "late",
}

// formatTimer encodes a timer as one word: its name and, for timers that have them, its request and
// attempt, separated by colons.
func formatTimer(t decision.Timer) string {
	name := timerNames[t.Kind]
	switch t.Kind {
	case decision.TimerCoalescingLimit:
		return name + ":" + string(t.Request)
	case decision.TimerAttemptOverdue, decision.TimerObjectiveMissed:
		return name + ":" + string(t.Request) + ":" + strconv.Itoa(t.Attempt)
	}
	return name
}

// parseTimer decodes a timer that formatTimer has encoded. It returns the zero Timer, which the
// decision module ignores, for an unknown name.
func parseTimer(word string) decision.Timer {
	name, rest, _ := strings.Cut(word, ":")
	for kind, known := range timerNames {
		if name != known {
			continue
		}
		t := decision.Timer{Kind: kind}
		switch kind {
		case decision.TimerCoalescingLimit:
			t.Request = decision.RequestID(rest)
		case decision.TimerAttemptOverdue, decision.TimerObjectiveMissed:
			id, number, _ := strings.Cut(rest, ":")
			t.Request = decision.RequestID(id)
			t.Attempt, _ = strconv.Atoi(number) // 0 if invalid; harmless, since attempt 0 is not in flight or is the timer's attempt
		}
		return t
	}
	return decision.Timer{}
}
