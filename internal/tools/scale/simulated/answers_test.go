package simulated

import "testing"

// TestDecodeSeparatesGrantsFromEvents checks that an answer is decoded to the same events with and without a grant, and from the cache.
func TestDecodeSeparatesGrantsFromEvents(t *testing.T) {
	a := newAnswerDecoder()
	events := `{"no":7,"items":[{"no":7,"recall":{"item":"00000000000000a1","issued":5}}]`
	for _, grant := range []string{"", `{"holder":"d1/x","seq":3}`, `{"holder":"d2/x","seq":4}`} {
		body := events + "}"
		if grant != "" {
			body = events + `,"turns":` + grant + "}"
		}
		feed, err := a.decode([]byte(body))
		onePurge := len(feed.Events) == 1 && feed.Events[0].Purge != nil
		if err != nil || feed.LastRevision != 7 || !onePurge || string(feed.QuotaGrant) != grant {
			t.Errorf("%s: %+v, %v", body, feed, err)
		}
	}
	if len(a.decoded) != 2 { // with and without the closing brace
		t.Errorf("%d answers are cached", len(a.decoded))
	}
	for _, body := range []string{`{"no":7,"items":[`, `{"no":7,"items":[{"no":"x"}],"turns":{}}`} {
		if _, err := a.decode([]byte(body)); err == nil {
			t.Errorf("%s was decoded", body)
		}
	}
}
