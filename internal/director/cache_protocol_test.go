package director

import (
	"errors"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/protocol/resp"
)

// Guards against passing on, as an answer without bytes, a response whose array is announced shorter than it is, or that lacks
// any other part: its request must go on elsewhere.
func TestIncompleteResponseIsNotServed(t *testing.T) {
	whole := respArray(requestA, "OK", objectFields, "bytes of another object")
	for name, text := range map[string]string{
		"array announced too short": strings.Replace(whole, "*4", "*3", 1),
		"no body":                   respArray(requestA, "OK", objectFields),
		"status alone":              respArray(requestA, "OK"),
		"no fields":                 respArray(requestA, "OK", "", "bytes"),
		"confirmation without body": respArray(requestA, "SAME", objectFields),
		"a word too many":           respArray(requestA, "OK", objectFields, "bytes", "more"),
		"pong of three words":       respArray(requestA, "UP", "-") + whole,
	} {
		t.Run(name, func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			client := d.client()
			client.submit(requestA, objectA, "have", "4be0c1927d55a6f3")
			upstream := c.accept()
			upstream.request()
			upstream.write(text)
			upstream = c.accept()
			upstream.request()
			upstream.answer(requestA, "OK", objectFields, "whole")
			client.want(1, 0, "whole")
			d.onLoop(func() {
				if n := d.program.director.Counters; n.OK != 1 || n.Reset != 1 {
					t.Errorf("%+v", n)
				}
			})
		})
	}
}

// Guards against refusing responses that are whole, of whatever status, and pongs.
func TestWholeResponsesAreAccepted(t *testing.T) {
	const since = 1764576000123 * time.Millisecond
	for _, c := range []struct {
		words  []string
		status decision.Status
		body   string
		same   bool
	}{
		{[]string{"OK", objectFields, "body"}, decision.OK, "body", false},
		{[]string{"OK", objectFields, ""}, decision.OK, "", false}, // an object may be empty
		{[]string{"OK", "n=local", "body"}, decision.OK, "body", false},
		{[]string{"OK", "-", "body"}, decision.OK, "body", false},
		{[]string{"SAME", objectFields, ""}, decision.OK, "", true},
		{[]string{"MISS", "-", ""}, decision.Miss, "", false},
		{[]string{"MISS", "l=cpu_share:0.3", ""}, decision.Miss, "", false},
		{[]string{"BUSY", "l=cpu_share:0.9", ""}, decision.Full, "", false},
		{[]string{"ERR", "-", ""}, decision.Failed, "", false},
		{[]string{"VOID", "-", ""}, decision.NotSent, "", false},
	} {
		words := append([]string{requestA}, c.words...)
		parsed, used, _, err := resp.Parse([]byte(respArray(words...)), nil)
		if err != nil || used == 0 {
			t.Fatal(err)
		}
		dialer := &cacheDialer{loadNames: loadNamesOf([]string{"cpu_share"})}
		id, r, err := dialer.parseResponse(parsed)
		if err != nil || string(id) != requestA || r.Status != c.status || string(r.Body) != c.body || r.NotModified != c.same {
			t.Errorf("%q: %s, %+v, %v", words, id, r, err)
		}
		if c.words[1] == objectFields && (r.GeneratedAt.Round(time.Millisecond) != since || r.ETag != "4be0c1927d55a6f3") {
			t.Errorf("%q: generated at %v, ETag %s", words, r.GeneratedAt, r.ETag)
		}
	}
	for _, pong := range [][]string{{"p1", "UP"}, {"p1", "UP", "-", ""}} {
		if parsed, _, _, err := resp.Parse([]byte(respArray(pong...)), nil); err != nil || !isPong(parsed) {
			t.Errorf("%q is no pong: %v", pong, err)
		}
	}
}

// Guards against accepting a number of words that the protocol does not have, whatever they are.
func TestResponseHasFourWords(t *testing.T) {
	dialer := &cacheDialer{}
	for status := range statusWords {
		words := resp.Words{[]byte(requestA), []byte(status), []byte(objectFields), nil, []byte("more"), nil}
		for n := range len(words) + 1 {
			_, _, err := dialer.parseResponse(words[:n])
			if wantErr := n != responseWords; errors.Is(err, errResponseWords) != wantErr {
				t.Errorf("%s with %d words: %v", status, n, err)
			}
		}
	}
}
