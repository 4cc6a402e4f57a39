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

// absent is the word for an absent value.
const absent = "-"

// maxMillis is the longest accepted time, in milliseconds: about 31 years.
const maxMillis = 1e12

// fields reads the values of one line in order. It keeps the first error; values that are read after
// an error are meaningless.
type fields struct {
	message string
	rest    []string // values that have not been read yet
	err     error
}

func newFields(line string) *fields {
	parts := strings.Split(line, " ")
	return &fields{message: parts[0], rest: parts[1:]}
}

func (f *fields) fail(field, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %s: %s", f.message, field, problem)
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

// required reads a value that must not be absent.
func (f *fields) required(field string) string {
	v := f.next(field)
	if v == absent || v == "" {
		f.fail(field, "missing")
	}
	return v
}

// optional reads a value that may be absent; ok is false if it is absent or invalid.
func (f *fields) optional(field string) (value string, ok bool) {
	v := f.next(field)
	if v == "" {
		f.fail(field, "empty")
	}
	return v, v != absent && f.err == nil
}

func (f *fields) integer(field string) int64 {
	n, err := strconv.ParseInt(f.required(field), 10, 64)
	if err != nil {
		f.fail(field, "not an integer")
	}
	return n
}

func (f *fields) optionalInteger(field string) int64 {
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

// nonNegativeInt reads an integer from 0 to the maximum of a signed 32-bit integer.
func (f *fields) nonNegativeInt(field string) int {
	n := f.integer(field)
	if n < 0 || n > math.MaxInt32 {
		f.fail(field, "out of range")
		return 0
	}
	return int(n)
}

func (f *fields) request() decision.RequestID { return decision.RequestID(f.required("Xid")) }

func (f *fields) host() decision.HostID {
	n, err := strconv.ParseUint(f.required("Host"), 10, 32)
	if err != nil {
		f.fail("Host", "not a host number")
	}
	return decision.HostID(n)
}

func (f *fields) parseNumber(field, v string) float64 {
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
	return f.parseNumber(field, v)
}

func (f *fields) time(field string) time.Duration {
	return f.parseMillis(field, f.parseNumber(field, f.required(field)))
}

func (f *fields) optionalTime(field string) time.Duration {
	return f.parseMillis(field, f.optionalNumber(field))
}

func (f *fields) parseMillis(field string, ms float64) time.Duration {
	if math.Abs(ms) > maxMillis {
		f.fail(field, "out of range")
		return 0
	}
	return fromMillis(ms)
}

func (f *fields) flag(field string) bool {
	switch v := f.required(field); v {
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

// loadReport reads a load report. It returns nil if the report is absent.
func (f *fields) loadReport(field string) *decision.LoadReport {
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
		SetLoad(report, name, f.parseNumber(field, value))
	}
	return report
}

// end returns the first error. Values that have not been read are an error.
func (f *fields) end() error {
	if f.err == nil && len(f.rest) > 0 {
		f.err = fmt.Errorf("%s: too many values: %d extra", f.message, len(f.rest))
	}
	return f.err
}

// fromMillis converts milliseconds to a duration, rounded to the simulator's resolution of one
// microsecond.
func fromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
