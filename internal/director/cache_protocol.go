package director

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/resp"
)

// Commands sent to caches, and the answer to a ping.
const (
	commandRequest = "do"
	commandCancel  = "undo"
	commandPing    = "ping"
	pong           = "UP"
)

// Numbers of words in the messages of caches: ID, STATUS, FIELDS and BODY. A pong may consist of the first two.
const (
	responseWords  = 4
	shortPongWords = 2
)

var (
	errResponseWords = errors.New("unexpected number of words in response")
	errNoFields      = errors.New("response has neither fields nor the mark for none")
)

// fetchOptionWords are the values of fetch options in the field "do".
var fetchOptionWords = []struct {
	option decision.FetchOptions
	word   string
}{
	{decision.JoinFill, "merge"},
	{decision.SourceCachedOnly, "local"},
	{decision.ParentNoStore, "skip"},
	{decision.Revalidate, "revalidate"},
}

// notModifiedWord is the status word of a response which confirms that the object cached by the client is current.
const notModifiedWord = "SAME"

var statusWords = map[string]decision.Status{
	"OK":            decision.OK,
	notModifiedWord: decision.OK,
	"MISS":          decision.Miss,
	"BUSY":          decision.Full,
	"ERR":           decision.Failed,
	"VOID":          decision.NotSent,
}

// cacheStatusWords are the values of the field "n" in the order of decision.CacheStatus, which starts at 1.
var cacheStatusWords = [...]string{
	"local", "pulled", "pulled_far", "rode", "expired", "turned_away", "cut_off", "not_there",
	"no_place", "far_fault",
}

var cacheStatusByWord = func() map[string]decision.CacheStatus {
	m := map[string]decision.CacheStatus{}
	for i, word := range cacheStatusWords {
		m[word] = decision.CacheStatus(i + 1)
	}
	return m
}()

// maxGeneratedAtMS bounds the time at which an object was generated, in milliseconds of Unix time.
const maxGeneratedAtMS = 1e13

// appendRequestFields appends the fields of a request as comma-separated name=value pairs.
func appendRequestFields(b []byte, r *routing.UpstreamRequest) []byte {
	field := func(name, value string) { b = resp.AppendField(b, 0, name, value) }
	field("sort", r.Class)
	field("asset", fmt.Sprintf("%016x", uint64(r.Object)))
	field("slice", strconv.Itoa(r.Part))
	field("patience", atLeastOneMS(r.Timeout))
	if r.IdempotencyKey != "" {
		field("op", r.IdempotencyKey)
	}
	if r.Source != "" {
		field("up", r.Source)
	}
	if r.CachePriority > 0 {
		field("store", strconv.Itoa(r.CachePriority))
	}
	if r.MaxAge > 0 { // 0 on the wire means the limit of the class
		field("cap", atLeastOneMS(r.MaxAge))
	}
	if options := joinFetchOptions(r.Options); options != "" {
		field("do", options)
	}
	if r.ETag != "" {
		field("inm", r.ETag)
	}
	return b
}

func atLeastOneMS(d time.Duration) string { return strconv.FormatInt(max(1, d.Milliseconds()), 10) }

func joinFetchOptions(options decision.FetchOptions) string {
	joined := ""
	for _, o := range fetchOptionWords {
		if options&o.option == 0 {
			continue
		}
		if joined != "" {
			joined += "+"
		}
		joined += o.word
	}
	return joined
}

// isPong reports whether a message is the answer to a ping.
func isPong(words resp.Words) bool {
	return (len(words) == shortPongWords || len(words) == responseWords) && string(words[1]) == pong
}

// parseResponse parses a response to a request. It returns an error if any of the four words is missing.
func (d *cacheDialer) parseResponse(words resp.Words) (requestID []byte, r *routing.Response, err error) {
	if len(words) != responseWords {
		return nil, nil, fmt.Errorf("%w: %d", errResponseWords, len(words))
	}
	id, statusWord, fields, body := words[0], string(words[1]), words[2], words[3]
	status, known := statusWords[statusWord]
	if !known {
		return nil, nil, fmt.Errorf("unknown response status %q", statusWord)
	}
	if len(fields) == 0 {
		return nil, nil, errNoFields
	}
	r = &routing.Response{Status: status, NotModified: statusWord == notModifiedWord, Body: body}
	err = resp.Fields(fields, func(name, value []byte) error {
		return d.parseResponseField(r, string(name), string(value))
	})
	return id, r, err
}

func (d *cacheDialer) parseResponseField(r *routing.Response, name, value string) error {
	switch name {
	case "n":
		r.CacheStatus = cacheStatusByWord[value]
	case "rev":
		r.ETag = value
	case "since":
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms >= 0 && ms < maxGeneratedAtMS) {
			return fmt.Errorf("field since: invalid value %q", value)
		}
		r.GeneratedAt = time.Duration(ms * float64(time.Millisecond))
	case "l":
		r.Load = d.loadNames.parse(value)
	}
	return nil
}
