package simulator

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

const absent = "-"

// fields reads the values of one line in order. The first error sticks.
type fields struct {
	name string
	rest []string
	err  error
}

func newFields(line string) *fields {
	parts := strings.Split(line, " ")
	return &fields{name: parts[0], rest: parts[1:]}
}

func (f *fields) fail(field, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %s: %s", f.name, field, problem)
	}
}

func (f *fields) next(field string) string {
	if len(f.rest) == 0 {
		f.fail(field, "missing")
		return ""
	}
	v := f.rest[0]
	f.rest = f.rest[1:]
	return v
}

func (f *fields) need(field string) string {
	v := f.next(field)
	if v == absent || v == "" {
		f.fail(field, "missing")
	}
	return v
}

func (f *fields) optional(field string) (string, bool) {
	v := f.next(field)
	if v == "" {
		f.fail(field, "empty")
	}
	return v, v != absent && f.err == nil
}

func (f *fields) integer(field string) int64 {
	n, err := strconv.ParseInt(f.need(field), 10, 64)
	if err != nil {
		f.fail(field, "not an integer")
	}
	return n
}

func (f *fields) optionalInt(field string) int64 {
	v, ok := f.optional(field)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail(field, "not an integer")
	}
	return n
}

func (f *fields) small(field string) int {
	n := f.integer(field)
	if n < 0 || n > math.MaxInt32 {
		f.fail(field, "out of range")
		return 0
	}
	return int(n)
}

func (f *fields) host(field string) decision.HostID {
	n, err := strconv.ParseUint(f.need(field), 10, 32)
	if err != nil {
		f.fail(field, "not a host number")
	}
	return decision.HostID(n)
}

func (f *fields) number(field, v string) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(field, "not a number")
		return 0
	}
	return x
}

func (f *fields) optionalNumber(field string) float64 {
	v, ok := f.optional(field)
	if !ok {
		return 0
	}
	return f.number(field, v)
}

func (f *fields) time(field string) time.Duration {
	return f.millis(field, f.number(field, f.need(field)))
}

func (f *fields) optionalTime(field string) time.Duration {
	return f.millis(field, f.optionalNumber(field))
}

func (f *fields) millis(field string, ms float64) time.Duration {
	if math.Abs(ms) > 1e12 {
		f.fail(field, "out of range")
		return 0
	}
	return fromMillis(ms)
}

func (f *fields) flag(field string) bool {
	switch v := f.need(field); v {
	case "1":
		return true
	case "0":
	default:
		f.fail(field, "not 1 or 0")
	}
	return false
}

func (f *fields) object(field, v string) decision.ObjectID {
	n, err := strconv.ParseUint(v, 16, 64)
	if err != nil || len(v) != 16 {
		f.fail(field, "not 16 hex digits")
	}
	return decision.ObjectID(n)
}

func (f *fields) bytes(field string) []byte {
	v, ok := f.optional(field)
	if !ok {
		return nil
	}
	b, err := hex.DecodeString(v)
	if err != nil {
		f.fail(field, "not hex digits")
	}
	return b
}

func (f *fields) report(field string) *decision.LoadReport {
	v, ok := f.optional(field)
	if !ok {
		return nil
	}
	report := &decision.LoadReport{}
	for _, pair := range strings.Split(v, ",") {
		name, value, found := strings.Cut(pair, ":")
		if !found {
			f.fail(field, "not name:value pairs")
			return nil
		}
		SetLoad(report, name, f.number(field, value))
	}
	return report
}

// end fails where values are left over.
func (f *fields) end() error {
	if f.err == nil && len(f.rest) > 0 {
		f.err = fmt.Errorf("%s: %d values too many", f.name, len(f.rest))
	}
	return f.err
}

// fromMillis keeps the simulator's grain of a microsecond.
func fromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func parseMember(line string) (decision.Endpoint, error) {
	f := newFields(line)
	if f.name != "item" {
		return decision.Endpoint{}, fmt.Errorf("item line expected, got %q", f.name)
	}
	m := decision.Endpoint{
		Host:      f.host("Host"),
		Zone:      f.need("Zone"),
		Kind:      f.need("Shape"),
		Cell:      int(f.optionalInt("Cluster")),
		Readiness: decision.Readiness(f.need("Readiness")),
		Weight:    f.optionalNumber("Share"),
		StartedAt: f.optionalTime("StartedAt"),
	}
	switch m.Readiness {
	case decision.Ready, decision.Draining, decision.Gone:
	default:
		f.fail("Readiness", "unknown")
	}
	return m, f.end()
}

func parseQuery(f *fields) decision.Event {
	q := decision.Request{ID: decision.RequestID(f.need("Xid"))}
	q.Object = f.object("Key", f.need("Key"))
	flags := f.optionalInt("Flags")
	q.IsRetry, q.Write = flags&2 != 0, flags&4 != 0
	q.SizeKB = f.optionalNumber("Kbytes")
	q.Tenant, _ = f.optional("UserGroup")
	q.TimeLeft = f.time("TimeLeft")
	q.Part = int(f.optionalNumber("Chunk"))
	q.PurgeGroup = int(f.optionalNumber("LabelNo"))
	q.Class = f.need("Grade")
	return q
}

func parseAnswer(f *fields) decision.Event {
	a := decision.AttemptResult{
		Request:     decision.RequestID(f.need("Xid")),
		Terminal:    f.flag("Terminal"),
		FirstByte:   f.optionalTime("FirstByte"),
		Host:        f.host("Host"),
		Attempt:     f.small("Hop"),
		CacheStatus: decision.CacheStatus(f.optionalInt("Detail")),
		Status:      parseStatus(f, attemptEnds),
		Elapsed:     f.time("Elapsed"),
		Load:        f.report("HealthInfo"),
	}
	return a
}

var attemptEnds = map[decision.Status]bool{
	decision.OK: true, decision.Failed: true, decision.Full: true, decision.TimedOut: true,
	decision.ConnectFailed: true, decision.Reset: true, decision.Cancelled: true,
	decision.NotSent: true, decision.Miss: true,
}

// parseStatus reads an outcome; a nil set takes any word, as for probes.
func parseStatus(f *fields, known map[decision.Status]bool) decision.Status {
	s := decision.Status(f.need("Status"))
	if known != nil && !known[s] {
		f.fail("Status", "unknown")
	}
	return s
}

func parsePurge(f *fields) decision.Event {
	p := decision.Purge{}
	if v, ok := f.optional("Key"); ok {
		p.Object = f.object("Key", v)
	} else {
		p.ByGroup = true
	}
	p.Group = int(f.optionalInt("FamilyId"))
	p.Age = f.time("HowOld")
	return p
}

// parseEvent reads any event that needs no list and starts or ends no instance.
func parseEvent(f *fields) (decision.Event, error) {
	var ev decision.Event
	switch f.name {
	case "query":
		ev = parseQuery(f)
	case "answer":
		ev = parseAnswer(f)
	case "invalidated":
		ev = parsePurge(f)
	case "left":
		ev = decision.ClientGone{Request: decision.RequestID(f.need("Xid"))}
	case "alarm":
		ev = decision.TimerFired{Timer: parseTimer(f.need("Ctx"))}
	case "first":
		ev = decision.FirstByte{
			Request: decision.RequestID(f.need("Xid")), Attempt: f.small("Hop"),
			Host: f.host("Host"), Elapsed: f.time("Elapsed"),
		}
	case "status_back":
		ev = decision.HealthCheckResult{
			Host: f.host("Host"), Status: parseStatus(f, nil),
			Elapsed: f.time("Elapsed"), Load: f.report("HealthInfo"),
		}
	case "peer":
		ev = decision.PeerMessage{From: f.small("Who"), Payload: f.bytes("Payload")}
	default:
		return nil, fmt.Errorf("unknown message %q", f.name)
	}
	return ev, f.end()
}
