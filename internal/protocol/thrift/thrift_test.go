package thrift

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"
)

// submitFrame returns a frame that contains a call of submit.
func submitFrame(fields [][2]string, body string) []byte {
	b := []byte{0, 0, 0, 0}
	b = appendMessage(b[:0], messageCall, "submit", 7)
	b = appendField(b, typeMap, 1)
	b = append(b, typeBinary, typeBinary)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendString(appendString(b, f[0]), f[1])
	}
	b = appendField(b, typeBinary, 2)
	b = appendString(b, body)
	b = append(b, typeStop)
	setFrame(b, len(b)-frameHeaderSize)
	return b
}

// Guards against a call that is misparsed when it is received in several reads.
func TestParseIncompleteCall(t *testing.T) {
	frame := submitFrame([][2]string{{"rid", "9b1f03aa5c7e2d41"}, {"budget", "1500"}}, "abc")
	two := append(bytes.Clone(frame), frame...)
	var c Call
	for n := range len(frame) {
		used, need, err := Parse(two[:n], &c)
		if used != 0 || err != nil || need <= n || need > len(frame) {
			t.Fatalf("%d bytes: used %d, need %d, %v", n, used, need, err)
		}
	}
	used, _, err := Parse(two, &c)
	if err != nil || used != len(frame) || c.Method != Submit || c.SequenceNumber != 7 || string(c.Body) != "abc" ||
		string(c.Field("budget")) != "1500" || c.Field("token") != nil {
		t.Fatalf("used %d, %v, %+v", used, err, c)
	}
}

// Guards against a malformed message that causes a panic or is accepted.
func TestParseMalformedCall(t *testing.T) {
	good := submitFrame([][2]string{{"rid", "9b1f03aa5c7e2d41"}}, "abc")
	var c Call
	for cut := frameHeaderSize; cut < len(good); cut++ { // a truncated call in a frame whose size is correct
		b := bytes.Clone(good[:cut])
		setFrame(b, cut-frameHeaderSize)
		if _, _, err := Parse(b, &c); err == nil {
			t.Errorf("cut at %d: accepted", cut)
		}
	}
	for i := frameHeaderSize; i < len(good); i++ {
		for _, x := range []byte{0x7f, 0x80, 0xff} {
			b := bytes.Clone(good)
			b[i] = x
			_, _, _ = Parse(b, &c)
		}
	}
	if _, _, err := Parse([]byte{0x7f, 0, 0, 0}, &c); err == nil {
		t.Error("oversized frame accepted")
	}
	if _, _, err := Parse(submitFrame(nil, string(make([]byte, MaxBody+1))), &c); err == nil {
		t.Error("oversized body accepted")
	}
	deep := appendMessage(nil, messageCall, "submit", 1)
	for range 1000 {
		deep = appendField(deep, typeStruct, 9)
	}
	setFrame(deep, len(deep)-frameHeaderSize)
	if _, _, err := Parse(deep, &c); err == nil {
		t.Error("struct that is nested too deeply accepted")
	}
}

// Guards against taking the start of one message for the end of another whose frame is announced too long.
func TestFrameLongerThanItsMessageIsMalformed(t *testing.T) {
	frame := submitFrame([][2]string{{"rid", "9b1f03aa5c7e2d41"}}, "abc")
	for more := 1; more <= len(frame); more++ {
		b := append(bytes.Clone(frame), frame[:more]...)
		setFrame(b, len(b)-frameHeaderSize)
		var c Call
		if _, _, err := Parse(b, &c); !errors.Is(err, errTrailingBytes) {
			t.Errorf("%d bytes too long: %v", more, err)
		}
	}
}

// Guards against rejecting clients that send fields which this version does not know.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	b := appendMessage(nil, messageOneway, "revoke", 3)
	b = appendField(b, typeList, 8)
	b = append(b, typeI64, 0, 0, 0, 1)
	b = append(b, make([]byte, 8)...)
	b = appendField(b, typeI32, 1)
	b = append(b, 0, 0, 0, 42, typeStop)
	setFrame(b, len(b)-frameHeaderSize)
	var c Call
	if used, _, err := Parse(b, &c); err != nil || used != len(b) || c.Method != Cancel || !c.Oneway || c.CancelTarget != 42 {
		t.Fatalf("used %d, %v, %+v", used, err, c)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(submitFrame([][2]string{{"rid", "9b1f03aa5c7e2d41"}}, "abc"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var c Call
		if used, need, err := Parse(b, &c); used > len(b) || err == nil && used == 0 && need <= len(b) {
			t.Errorf("used %d, need %d of %d", used, need, len(b))
		}
	})
}
