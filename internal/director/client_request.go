package director

import (
	"fmt"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/thrift"
)

// Bounds of a request's fields.
const (
	maxPurgeGroup  = 255
	maxFieldBytes  = 64
	idDigits       = 16
	sizeKBBound    = 1e9
	timeoutMSBound = 1e7
	countBits      = 31
)

// The names of a request's fields in the clients' protocol.
const (
	fieldID             = "rid"
	fieldObject         = "obj"
	fieldClass          = "method"
	fieldIdempotencyKey = "token"
	fieldETag           = "have"
	fieldPart           = "part"
	fieldPurgeGroup     = "group"
	fieldSizeKB         = "mem"
	fieldTimeoutMS      = "budget"
)

// readRequest converts a call to a request. It copies the bytes of the call, which are reused for the next one.
func readRequest(call *thrift.Call) (*routing.Request, error) {
	if name := invalidText(call); name != "" {
		return nil, fieldError(call, name)
	}
	r := &routing.Request{
		ID:             string(call.Field(fieldID)),
		Class:          string(call.Field(fieldClass)),
		IdempotencyKey: string(call.Field(fieldIdempotencyKey)),
		ETag:           string(call.Field(fieldETag)),
	}
	if name := readNumbers(call, r); name != "" {
		return nil, fieldError(call, name)
	}
	if len(call.Body) > 0 {
		r.Body = append([]byte(nil), call.Body...)
	}
	return r, nil
}

func fieldError(call *thrift.Call, name string) error {
	return fmt.Errorf("field %s of request %.*q: bad value %.*q", name, idDigits, call.Field(fieldID), maxFieldBytes, call.Field(name))
}

// invalidText returns the name of the first malformed text field, or "".
func invalidText(call *thrift.Call) string {
	class := call.Field(fieldClass)
	switch {
	case !isHex(call.Field(fieldID), idDigits):
		return fieldID
	case !isHex(call.Field(fieldObject), idDigits):
		return fieldObject
	case len(class) == 0 || !isFieldValue(class):
		return fieldClass
	case !isFieldValue(call.Field(fieldIdempotencyKey)):
		return fieldIdempotencyKey
	case !isFieldValue(call.Field(fieldETag)):
		return fieldETag
	}
	return ""
}

// readNumbers sets the numeric fields of a request. It returns the name of the first malformed one, or "".
func readNumbers(call *thrift.Call, r *routing.Request) string {
	object, err := strconv.ParseUint(string(call.Field(fieldObject)), 16, 64)
	if err != nil {
		return fieldObject
	}
	r.Object = decision.ObjectID(object)
	if r.Part, err = parseCount(call.Field(fieldPart)); err != nil {
		return fieldPart
	}
	if r.PurgeGroup, err = parseCount(call.Field(fieldPurgeGroup)); err != nil || r.PurgeGroup > maxPurgeGroup {
		return fieldPurgeGroup
	}
	if v := call.Field(fieldSizeKB); len(v) > 0 { // not every site tells the size
		if r.SizeKB, err = parseBelow(v, sizeKBBound); err != nil {
			return fieldSizeKB
		}
	}
	ms, err := parseBelow(call.Field(fieldTimeoutMS), timeoutMSBound)
	if err != nil {
		return fieldTimeoutMS
	}
	r.Timeout = time.Duration(ms * float64(time.Millisecond))
	return ""
}

// isHex reports whether b consists of exactly n hex digits.
func isHex(b []byte, n int) bool {
	if len(b) != n {
		return false
	}
	for _, x := range b {
		if (x < '0' || x > '9') && (x < 'a' || x > 'f') && (x < 'A' || x > 'F') {
			return false
		}
	}
	return true
}

// isFieldValue reports whether b is a valid field value in the caches' protocol.
func isFieldValue(b []byte) bool {
	if len(b) > maxFieldBytes {
		return false
	}
	for _, x := range b {
		if x <= ' ' || x == ',' || x == '=' || x >= 0x7f {
			return false
		}
	}
	return true
}

// parseCount parses an integer that is 0 or more.
func parseCount(b []byte) (int, error) {
	n, err := strconv.ParseUint(string(b), 10, countBits)
	return int(n), err
}

// parseBelow parses a number that is at least 0 and less than bound.
func parseBelow(b []byte, bound float64) (float64, error) {
	x, err := strconv.ParseFloat(string(b), 64)
	if err == nil && !(x >= 0 && x < bound) { // written so that NaN is out of range as well
		err = strconv.ErrRange
	}
	return x, err
}
