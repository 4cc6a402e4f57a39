package thrift

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// submitFrame is a call of submit, written by hand as the protocol page has it.
func submitFrame(fields [][2]string, body string) []byte {
	b := []byte{0, 0, 0, 0}
	b = appendMessage(b[:0], typeCall, "submit", 7)
	b = appendField(b, tMap, 1)
	b = append(b, tBinary, tBinary)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendString(appendString(b, f[0]), f[1])
	}
	b = appendField(b, tBinary, 2)
	b = appendString(b, body)
	b = append(b, tStop)
	setFrame(b, len(b)-frameHead)
	return b
}

func TestCallInAnyPieces(t *testing.T) {
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
	if err != nil || used != len(frame) || c.Method != Submit || c.Seq != 7 || string(c.Body) != "abc" ||
		string(c.Field("budget")) != "1500" || c.Field("token") != nil {
		t.Fatalf("used %d, %v, %+v", used, err, c)
	}
}

// Each damaged message must be turned down without a panic, whatever its lengths claim.
func TestMalformedCalls(t *testing.T) {
	good := submitFrame([][2]string{{"rid", "9b1f03aa5c7e2d41"}}, "abc")
	var c Call
	for cut := frameHead; cut < len(good)-1; cut++ { // truncated inside a frame that says it is whole
		b := bytes.Clone(good[:cut])
		setFrame(b, cut-frameHead)
		if _, _, err := Parse(b, &c); err == nil {
			t.Errorf("cut at %d: taken", cut)
		}
	}
	for i := frameHead; i < len(good); i++ {
		for _, x := range []byte{0x7f, 0x80, 0xff} {
			b := bytes.Clone(good)
			b[i] = x
			_, _, _ = Parse(b, &c)
		}
	}
	if _, _, err := Parse([]byte{0x7f, 0, 0, 0}, &c); err == nil {
		t.Error("oversized frame taken")
	}
	if _, _, err := Parse(submitFrame(nil, string(make([]byte, MaxBody+1))), &c); err == nil {
		t.Error("oversized body taken")
	}
	deep := appendMessage(nil, typeCall, "submit", 1)
	for range 1000 {
		deep = appendField(deep, tStruct, 9)
	}
	setFrame(deep, len(deep)-frameHead)
	if _, _, err := Parse(deep, &c); err == nil {
		t.Error("bottomless struct taken")
	}
}

func TestUnknownFieldsAreSkipped(t *testing.T) {
	b := appendMessage(nil, typeOneway, "revoke", 3)
	b = appendField(b, tList, 8)
	b = append(b, tI64, 0, 0, 0, 1)
	b = append(b, make([]byte, 8)...)
	b = appendField(b, tI32, 1)
	b = append(b, 0, 0, 0, 42, tStop)
	setFrame(b, len(b)-frameHead)
	var c Call
	if used, _, err := Parse(b, &c); err != nil || used != len(b) || c.Method != Revoke || !c.Oneway || c.Target != 42 {
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
