package simulator

import (
	"strconv"
	"strings"

	"stairvane.org/stairvane/internal/decision"
)

// timerNames are the simulator's names of the module's timers.
var timerNames = map[decision.TimerKind]string{
	decision.TimerUpkeep:          "sweep",
	decision.TimerWatchEndpoints:  "subscribe",
	decision.TimerCoalescingLimit: "hold",
	decision.TimerAttemptOverdue:  "watch",
	decision.TimerObjectiveMissed: "late",
}

// formatTimer writes a timer as one word: its name, then its request and attempt where it has them,
// separated by colons.
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

// parseTimer reads what formatTimer wrote. A word that it did not write is the zero Timer, which
// the module ignores.
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
			t.Attempt, _ = strconv.Atoi(number) // 0 where it is no number: no such attempt is open, or its first is meant
		}
		return t
	}
	return decision.Timer{}
}
