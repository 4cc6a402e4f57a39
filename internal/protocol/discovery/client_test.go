package discovery

import (
	"encoding/json"
	"errors"
	"testing"
)

// TestResponseInAnyPieces checks that a response that arrives in pieces is parsed correctly.
func TestResponseInAnyPieces(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n{\"no\":4,\"items\":[]}  ",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\n{\"no\":4,\"i\r\n9;x=1\r\ntems\":[]}\r\n0\r\n\r\n",
	} {
		for n := range len(text) {
			if _, used, need, err := ParseResponse([]byte(text[:n])); used != 0 || err != nil || need <= n {
				t.Fatalf("%q: used %d, need %d, %v", text[:n], used, need, err)
			}
		}
		r, used, _, err := ParseResponse([]byte(text + "HTTP"))
		if err != nil || used != len(text) || r.Status != 200 || r.Close {
			t.Fatalf("used %d, %v, %+v", used, err, r)
		}
		if f, err := Decode(r.Body); err != nil || f.LastRevision != 4 {
			t.Fatalf("%v, %+v", err, f)
		}
	}
}

// TestMalformedResponses checks that a malformed response is neither accepted nor treated as incomplete forever.
func TestMalformedResponses(t *testing.T) {
	for _, text := range []string{
		"SMTP 200\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", string(make([]byte, maxHead+1)),
	} {
		if _, used, need, err := ParseResponse([]byte(text)); err == nil {
			t.Errorf("%.60q: used %d, need %d", text, used, need)
		}
	}
	if _, err := Decode([]byte(`{"no":`)); err == nil {
		t.Error("malformed JSON was accepted")
	}
}

// Guards against applying an event that lacks a part as if it were about nothing: a purge or a drain would be skipped silently, and
// all endpoints would count as gone.
func TestIncompleteEventsAreReported(t *testing.T) {
	for text, want := range map[string]error{
		`{"roster":{"seq":1,"whole":true,"hosts":[]}}`: errNoRevision,
		`{"no":7}`: errNoContent,
		`null`:     errNoRevision,
		`{"no":7,"roster":{"seq":1,"whole":true}}`:                             errNoEndpoints,
		`{"no":7,"recall":{"issued":1764576000123}}`:                           errNoTarget,
		`{"no":7,"recall":{"item":"7f3a9c21e0b4d655"}}`:                        errNoTime,
		`{"no":7,"recall":{"lot":0}}`:                                          errNoTime,
		`{"no":7,"roster":{"seq":1,"whole":true,"hosts":[]}}`:                  nil,
		`{"no":7,"roster":{"seq":1,"whole":false}}`:                            nil, // nothing has changed
		`{"no":7,"recall":{"lot":0,"issued":1764576000123}}`:                   nil,
		`{"no":7,"recall":{"item":"7f3a9c21e0b4d655","issued":1764576000123}}`: nil,
		`{"no":7,"roll":{"whole":true}}`:                                       nil,
	} {
		r, err := Decode([]byte(`{"no":9,"items":[` + text + `,{"no":9,"recall":{"lot":1,"issued":1}}]}`))
		if err != nil || r.Events[len(r.Events)-1].Revision != 9 {
			t.Errorf("%s: %v, %+v", text, err, r.Events)
			continue
		}
		var got error
		if len(r.Malformed) > 0 {
			got = r.Malformed[0]
		}
		if !errors.Is(got, want) || len(r.Events)+len(r.Malformed) != 2 {
			t.Errorf("%s: got %v, want %v", text, got, want)
		}
	}
}

func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, used, need, err := ParseResponse(b); used > len(b) || err == nil && used == 0 && need <= len(b) {
			t.Errorf("used %d, need %d of %d", used, need, len(b))
		}
	})
}

// FuzzDecode checks that a malformed event does not hide other events: each event is either decoded or reported as malformed.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"no":3,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[]}},{"no":2,"recall":{"lot":"x"}},{"no":3}]}`))
	f.Add([]byte(`{"no":1,"items":[7,{"no":"one"},null]}`))
	f.Add([]byte(`{"no":1,"items":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Decode(b)
		var text struct {
			Items []json.RawMessage `json:"items"`
		}
		if err != nil {
			if len(got.Events)+len(got.Malformed) > 0 {
				t.Errorf("error %v, but got %d events", err, len(got.Events))
			}
			return
		}
		if err := json.Unmarshal(b, &text); err != nil {
			t.Fatalf("Decode accepted an invalid response: %v", err)
		}
		if n := len(got.Events) + len(got.Malformed); n != len(text.Items) {
			t.Errorf("got %d events, want %d", n, len(text.Items))
		}
	})
}
