package discovery

import (
	"errors"
	"testing"
)

// TestWatchRequestInAnyPieces checks that a watch request that arrives in pieces is parsed correctly.
func TestWatchRequestInAnyPieces(t *testing.T) {
	text := string(AppendRequest(nil, "127.0.0.1:8500", 41, 7000, nil))
	for n := range len(text) {
		if _, used, need, err := ParseWatchRequest([]byte(text[:n])); used != 0 || err != nil || need <= n {
			t.Fatalf("%q: used %d, need %d, %v", text[:n], used, need, err)
		}
	}
	c, used, _, err := ParseWatchRequest([]byte(text + "GET"))
	if err != nil || used != len(text) || c != (WatchRequest{After: 41, TimeoutMS: MaxPollTimeoutMS}) {
		t.Fatalf("%+v, used %d, %v", c, used, err)
	}
}

// TestRejectedWatchRequests checks that a malformed watch request is rejected with the expected status.
func TestRejectedWatchRequests(t *testing.T) {
	for text, status := range map[string]int{
		"GET /bulletins HTTP/1.1\r\nContent-Length: 3\r\n\r\n":    400,
		"GET /bulletins HTTP/1.1\r\nTransfer-Encoding: x\r\n\r\n": 400,
		"GET /bulletins?after=-1 HTTP/1.1\r\n\r\n":                400,
		"GET /bulletins HTTP/1.1\r\nno colon\r\n\r\n":             400,
		"GET /bulletins HTTP/1.1\r\nA : b\r\n\r\n":                400,
		"POST /bulletins HTTP/1.1\r\n\r\n":                        405,
		"GET /other HTTP/1.1\r\n\r\n":                             404,
		"hello\r\n\r\n":                                           400,
		string(make([]byte, maxRequestHead+1)):                    431,
	} {
		var e *RequestError
		if _, used, _, err := ParseWatchRequest([]byte(text)); !errors.As(err, &e) || e.Status != status || used != 0 {
			t.Errorf("%.40q: %v", text, err)
		}
	}
}

// TestEventsAreDecodedAsEncoded checks that directors can decode the events that the control plane encodes.
func TestEventsAreDecodedAsEncoded(t *testing.T) {
	group := 17
	var body []byte
	body = append(body, ResponseStart(43)...)
	for i, event := range []Event{
		{Revision: 41, Endpoints: &EndpointList{Sequence: 7, Endpoints: []Endpoint{{
			Name:        "s-1",
			Address:     "10.1.0.9:9090",
			Site:        "east",
			Class:       "std",
			Cell:        2,
			Health:      InService,
			Weight:      4,
			StartedAtMS: 1764576000123,
		}}}},
		{Revision: 42, Purge: &Purge{Object: "7f3a9c21e0b4d655", IssuedMS: 1764576000123}},
		{Revision: 43, Purge: &Purge{Group: &group, IssuedMS: 1764576000480}},
	} {
		if i > 0 {
			body = append(body, ',')
		}
		b, err := EncodeEvent(event)
		if err != nil {
			t.Fatal(err)
		}
		body = append(body, b...)
	}
	body = append(body, ResponseEnd...)
	response := append(AppendResponseHead(nil, 200, len(body), false), body...)
	r, used, _, err := ParseResponse(response)
	if err != nil || used != len(response) {
		t.Fatal(err, used)
	}
	f, err := Decode(r.Body)
	if err != nil || f.LastRevision != 43 || len(f.Events) != 3 || f.Events[0].Endpoints.Endpoints[0].StartedAtMS != 1764576000123 ||
		f.Events[1].Purge.Object != "7f3a9c21e0b4d655" || *f.Events[2].Purge.Group != 17 || f.Events[2].Purge.IssuedMS != 1764576000480 {
		t.Errorf("%v %s", err, r.Body)
	}
}

func FuzzParseWatchRequest(f *testing.F) {
	f.Add([]byte("GET /bulletins?after=3&patience=2000 HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, used, need, err := ParseWatchRequest(b)
		if used > len(b) || err == nil && used == 0 && need <= len(b) || c.After < 0 || c.TimeoutMS > MaxPollTimeoutMS {
			t.Errorf("%+v, used %d, need %d of %d", c, used, need, len(b))
		}
	})
}
