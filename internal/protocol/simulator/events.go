package simulator

import (
	"fmt"

	"stairvane.org/stairvane/internal/decision"
)

// Messages that the simulator sends.
const (
	messageClock             = "clock"
	messageGo                = "go"
	messageDefineList        = "define_list"
	messageEndpoint          = "item"
	messageUp                = "up"
	messagePowerOff          = "power_off"
	messageEndpointUpdate    = "topology"
	messageRequest           = "query"
	messageAttemptResult     = "answer"
	messagePurge             = "invalidated"
	messageClientGone        = "left"
	messageTimerFired        = "alarm"
	messageFirstByte         = "first"
	messageHealthCheckResult = "status_back"
	messagePeer              = "peer"
)

// messageFinished ends the reply to a batch.
const messageFinished = "finished"

// directorMessages are the messages whose first field is a director.
var directorMessages = map[string]bool{
	messageUp:                true,
	messagePowerOff:          true,
	messageEndpointUpdate:    true,
	messageRequest:           true,
	messageAttemptResult:     true,
	messagePurge:             true,
	messageClientGone:        true,
	messageTimerFired:        true,
	messageFirstByte:         true,
	messageHealthCheckResult: true,
	messagePeer:              true,
}

func errUnknownMessage(f *fields) error { return fmt.Errorf("unknown message %q", f.message) }

// parseEvent parses every event except endpoint updates, which refer to the lists of a server.
func parseEvent(f *fields) (decision.Event, error) {
	var event decision.Event
	switch f.message {
	case messageRequest:
		event = parseRequest(f)
	case messageAttemptResult:
		event = parseAttemptResult(f)
	case messagePurge:
		event = parsePurge(f)
	case messageClientGone:
		event = decision.ClientGone{Request: f.request()}
	case messageTimerFired:
		event = decision.TimerFired{Timer: parseTimer(f.required("Ctx"))}
	case messageFirstByte:
		event = decision.FirstByte{
			Request: f.request(),
			Attempt: f.nonNegativeInt("Hop"),
			Host:    f.host(),
			Elapsed: f.time("Elapsed"),
		}
	case messageHealthCheckResult:
		event = decision.HealthCheckResult{
			Host:    f.host(),
			Status:  decision.Status(f.required("Status")),
			Elapsed: f.time("Elapsed"),
			Load:    f.loadReport("HealthInfo"),
		}
	case messagePeer:
		event = decision.PeerMessage{From: f.nonNegativeInt("Who"), Payload: f.bytes("Payload")}
	default:
		return nil, errUnknownMessage(f)
	}
	return event, f.end()
}

// Bits of a request's flags.
const (
	flagRetry = 2
	flagWrite = 4
)

func parseRequest(f *fields) decision.Request {
	q := decision.Request{ID: f.request()}
	q.Object = f.object("Key", f.required("Key"))
	flags := f.optionalInteger("Flags")
	q.IsRetry = flags&flagRetry != 0
	q.Write = flags&flagWrite != 0
	q.SizeKB = f.optionalNumber("Kbytes")
	q.Tenant, _ = f.optional("UserGroup")
	q.TimeLeft = f.time("TimeLeft")
	q.Part = int(f.optionalNumber("Chunk"))
	q.PurgeGroup = int(f.optionalNumber("LabelNo"))
	q.Class = f.required("Grade")
	return q
}

func parseAttemptResult(f *fields) decision.AttemptResult {
	return decision.AttemptResult{
		Request:     f.request(),
		Terminal:    f.flag("Terminal"),
		FirstByte:   f.optionalTime("FirstByte"),
		Host:        f.host(),
		Attempt:     f.nonNegativeInt("Hop"),
		CacheStatus: decision.CacheStatus(f.optionalInteger("Detail")),
		Status:      parseAttemptStatus(f),
		Elapsed:     f.time("Elapsed"),
		Load:        f.loadReport("HealthInfo"),
	}
}

func parseAttemptStatus(f *fields) decision.Status {
	status := decision.Status(f.required("Status"))
	switch status {
	case decision.OK, decision.Failed, decision.Full, decision.TimedOut, decision.ConnectFailed,
		decision.Reset, decision.Cancelled, decision.NotSent, decision.Miss:
	default:
		f.fail("Status", "unknown")
	}
	return status
}

func parsePurge(f *fields) decision.Purge {
	var p decision.Purge
	if key, ok := f.optional("Key"); ok {
		p.Object = f.object("Key", key)
	} else {
		p.ByGroup = true
	}
	p.Group = int(f.optionalInteger("FamilyId"))
	p.Age = f.time("HowOld")
	return p
}
