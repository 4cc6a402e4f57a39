package director

import (
	"fmt"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/thrift"
)

const mostGroup = 255

// hexWord tells whether b is made of n hex digits.
func hexWord(b []byte, n int) bool {
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

// word tells whether b can stand as a value in the caches' fields.
func word(b []byte) bool {
	if len(b) > 64 {
		return false
	}
	for _, x := range b {
		if x <= ' ' || x == ',' || x == '=' || x >= 0x7f {
			return false
		}
	}
	return true
}

// readRequest copies out of the call what must outlive it.
func readRequest(call *thrift.Call) (*routing.Request, error) {
	bad := func(name string) error {
		return fmt.Errorf("field %s of request %q: bad value %q", name, call.Field("rid"), call.Field(name))
	}
	id, object, token, have := call.Field("rid"), call.Field("obj"), call.Field("token"), call.Field("have")
	class := call.Field("method")
	switch {
	case !hexWord(id, 16):
		return nil, bad("rid")
	case !hexWord(object, 16):
		return nil, bad("obj")
	case len(class) == 0 || !word(class):
		return nil, bad("method")
	case !word(token):
		return nil, bad("token")
	case !word(have):
		return nil, bad("have")
	}
	r := &routing.Request{ID: string(id), Class: string(class), IdempotencyKey: string(token), ETag: string(have)}
	number, err := strconv.ParseUint(string(object), 16, 64)
	if err != nil {
		return nil, bad("obj")
	}
	r.Object = decision.ObjectID(number)
	if r.Part, err = small(call.Field("part")); err != nil {
		return nil, bad("part")
	}
	if r.PurgeGroup, err = small(call.Field("group")); err != nil || r.PurgeGroup > mostGroup {
		return nil, bad("group")
	}
	if v := call.Field("mem"); len(v) > 0 {
		if r.SizeKB, err = strconv.ParseFloat(string(v), 64); err != nil || !(r.SizeKB >= 0 && r.SizeKB < 1e9) {
			return nil, bad("mem")
		}
	}
	ms, err := strconv.ParseFloat(string(call.Field("budget")), 64)
	if err != nil || !(ms >= 0 && ms < 1e7) {
		return nil, bad("budget")
	}
	r.Timeout = time.Duration(ms * float64(time.Millisecond))
	if len(call.Body) > 0 {
		r.Body = append([]byte(nil), call.Body...)
	}
	return r, nil
}

func small(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(b), 10, 31)
	return int(n), err
}
