package wire

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lemonhinge.org/lemonhinge"
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

func (f *fields) host(field string) lemonhinge.HostID {
	n, err := strconv.ParseUint(f.need(field), 10, 32)
	if err != nil {
		f.fail(field, "not a host number")
	}
	return lemonhinge.HostID(n)
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

func (f *fields) object(field, v string) lemonhinge.ObjectID {
	n, err := strconv.ParseUint(v, 16, 64)
	if err != nil || len(v) != 16 {
		f.fail(field, "not 16 hex digits")
	}
	return lemonhinge.ObjectID(n)
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

func (f *fields) report(field string) lemonhinge.LoadReport {
	v, ok := f.optional(field)
	if !ok {
		return nil
	}
	report := lemonhinge.LoadReport{}
	for _, pair := range strings.Split(v, ",") {
		name, value, found := strings.Cut(pair, ":")
		if !found {
			f.fail(field, "not name:value pairs")
			return nil
		}
		report[name] = f.number(field, value)
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

func parseMember(line string) (lemonhinge.Member, error) {
	f := newFields(line)
	if f.name != "item" {
		return lemonhinge.Member{}, fmt.Errorf("item line expected, got %q", f.name)
	}
	m := lemonhinge.Member{
		Host:      f.host("Host"),
		Zone:      f.need("Zone"),
		Kind:      f.need("Shape"),
		Cell:      int(f.optionalInt("Cluster")),
		Readiness: lemonhinge.Readiness(f.need("Readiness")),
		Weight:    f.optionalNumber("Share"),
		StartedAt: f.optionalTime("StartedAt"),
	}
	switch m.Readiness {
	case lemonhinge.Ready, lemonhinge.Draining, lemonhinge.Gone:
	default:
		f.fail("Readiness", "unknown")
	}
	return m, f.end()
}

func parseQuery(f *fields) lemonhinge.Event {
	q := lemonhinge.Query{Request: lemonhinge.RequestID(f.need("Xid"))}
	q.Object = f.object("Key", f.need("Key"))
	flags := f.optionalInt("Flags")
	q.Repeat, q.Write = flags&2 != 0, flags&4 != 0
	q.SizeKB = f.optionalNumber("Kbytes")
	q.Tenant, _ = f.optional("UserGroup")
	q.TimeLeft = f.time("TimeLeft")
	q.Part = int(f.optionalNumber("Chunk"))
	q.Group = int(f.optionalNumber("LabelNo"))
	q.Class = f.need("Grade")
	return q
}

func parseAnswer(f *fields) lemonhinge.Event {
	a := lemonhinge.Answer{
		Request:   lemonhinge.RequestID(f.need("Xid")),
		Terminal:  f.flag("Terminal"),
		FirstByte: f.optionalTime("FirstByte"),
		Host:      f.host("Host"),
		Attempt:   f.small("Hop"),
		Note:      lemonhinge.Note(f.optionalInt("Detail")),
		Status:    parseStatus(f, attemptEnds),
		Elapsed:   f.time("Elapsed"),
		Report:    f.report("HealthInfo"),
	}
	return a
}

var attemptEnds = map[lemonhinge.Status]bool{
	lemonhinge.OK: true, lemonhinge.Failed: true, lemonhinge.Full: true, lemonhinge.TimedOut: true,
	lemonhinge.ConnectFailed: true, lemonhinge.Reset: true, lemonhinge.Cancelled: true,
	lemonhinge.Moot: true, lemonhinge.Miss: true,
}

// parseStatus reads an outcome; a nil set takes any word, as for probes.
func parseStatus(f *fields, known map[lemonhinge.Status]bool) lemonhinge.Status {
	s := lemonhinge.Status(f.need("Status"))
	if known != nil && !known[s] {
		f.fail("Status", "unknown")
	}
	return s
}

func parsePurge(f *fields) lemonhinge.Event {
	p := lemonhinge.Invalidated{}
	if v, ok := f.optional("Key"); ok {
		p.Object = f.object("Key", v)
	} else {
		p.Whole = true
	}
	p.Group = int(f.optionalInt("FamilyId"))
	p.Age = f.time("HowOld")
	return p
}

// parseEvent reads any event that needs no list and starts or ends no instance.
func parseEvent(f *fields) (lemonhinge.Event, error) {
	var ev lemonhinge.Event
	switch f.name {
	case "query":
		ev = parseQuery(f)
	case "answer":
		ev = parseAnswer(f)
	case "invalidated":
		ev = parsePurge(f)
	case "left":
		ev = lemonhinge.Left{Request: lemonhinge.RequestID(f.need("Xid"))}
	case "alarm":
		ev = lemonhinge.Alarm{Token: f.need("Ctx")}
	case "first":
		ev = lemonhinge.First{Request: lemonhinge.RequestID(f.need("Xid")), Attempt: f.small("Hop"),
			Host: f.host("Host"), Elapsed: f.time("Elapsed")}
	case "status_back":
		ev = lemonhinge.Probed{Host: f.host("Host"), Status: parseStatus(f, nil),
			Elapsed: f.time("Elapsed"), Report: f.report("HealthInfo")}
	case "peer":
		ev = lemonhinge.Peer{From: f.small("Who"), Payload: f.bytes("Payload")}
	default:
		return nil, fmt.Errorf("unknown message %q", f.name)
	}
	return ev, f.end()
}
