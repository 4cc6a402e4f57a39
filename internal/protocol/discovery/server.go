package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxPollTimeoutMS is the longest time, in milliseconds, for which a poll may wait for events.
const MaxPollTimeoutMS = 5000

// maxRequest is the most bytes of a poll.
const maxRequest = 32 << 10

// WatchRequest is a poll.
type WatchRequest struct {
	After        int64         // the last revision that the caller has applied
	TimeoutMS    int64         // for which the poll may wait for events
	Close        bool          // the caller closes the connection after the response
	Announcement *Announcement // nil: the caller does not announce itself
}

// RequestError is why a poll cannot be served. The connection is closed after the response with the status.
type RequestError struct {
	Status  int
	Message string
}

func (e *RequestError) Error() string { return fmt.Sprintf("discovery: %d: %s", e.Status, e.Message) }

func requestError(status int, format string, args ...any) error {
	return &RequestError{Status: status, Message: fmt.Sprintf(format, args...)}
}

// ParseWatchRequest reads a poll from the start of b. used is 0 while it is incomplete; then need is how many bytes must be
// there before it can be complete. Errors are *RequestError.
func ParseWatchRequest(b []byte) (r WatchRequest, used, need int, err error) {
	end := bytes.Index(b, []byte(headEnd))
	if end > maxRequest || end < 0 && len(b) > maxRequest {
		return r, 0, 0, requestError(431, "the head is longer than %d bytes", maxRequest)
	}
	if end < 0 {
		return r, 0, len(b) + 1, nil
	}
	lines := strings.Split(string(b[:end]), lineEnd)
	words := strings.Split(lines[0], " ")
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/1.") {
		return r, 0, 0, requestError(400, "malformed request line")
	}
	method, target, proto := words[0], words[1], words[2]
	r.Close = proto == "HTTP/1.0"
	for _, line := range lines[1:] {
		if err := r.setHeader(line); err != nil {
			return r, 0, 0, err
		}
	}
	if method != "GET" {
		return r, 0, 0, requestError(405, "only GET is served here")
	}
	if err := r.setTarget(target); err != nil {
		return r, 0, 0, err
	}
	return r, end + len(headEnd), 0, nil
}

func (r *WatchRequest) setHeader(line string) error {
	name, value, found := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch {
	case !found || name == "" || strings.ContainsAny(name, " \t\r\n") || strings.ContainsAny(value, "\r\n"):
		return requestError(400, "malformed header")
	case strings.EqualFold(name, "Content-Length") && value != "0", strings.EqualFold(name, "Transfer-Encoding"):
		return requestError(400, "a call has no body")
	case strings.EqualFold(name, AnnounceHeader):
		r.Announcement = &Announcement{}
		err := json.Unmarshal([]byte(value), r.Announcement)
		if err != nil || r.Announcement.Name == "" || r.Announcement.Incarnation == "" {
			return requestError(400, "malformed announcement")
		}
	case strings.EqualFold(name, "Connection"):
		r.Close = r.Close || strings.EqualFold(value, "close")
	}
	return nil
}

func (r *WatchRequest) setTarget(target string) error {
	path, query, _ := strings.Cut(target, "?")
	if path != pollPath {
		return requestError(404, "only %s is served here", pollPath)
	}
	r.TimeoutMS = MaxPollTimeoutMS
	for part := range strings.SplitSeq(query, "&") {
		key, value, _ := strings.Cut(part, "=")
		if key != keyAfter && key != keyTimeoutMS {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			return requestError(400, "%s is no number from 0 up", key)
		}
		if key == keyAfter {
			r.After = n
		} else {
			r.TimeoutMS = min(n, MaxPollTimeoutMS)
		}
	}
	return nil
}

var statusTexts = map[int]string{
	StatusOK: "OK",
	400:      "Bad Request",
	403:      "Forbidden",
	404:      "Not Found",
	405:      "Method Not Allowed",
	431:      "Request Header Fields Too Large",
	503:      "Service Unavailable",
}

// AppendResponseHead appends the head of a response with a body of some bytes. last says that the connection is closed after it.
func AppendResponseHead(b []byte, status, length int, last bool) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, statusTexts[status], length)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, lineEnd...)
}

// ResponseStart is the start of a WatchResponse, up to the events. Commas stand between the events, and Closing ends the
// response.
func ResponseStart(lastRevision int64) []byte {
	return fmt.Appendf(nil, `{"no":%d,"items":[`, lastRevision)
}

// ResponseEnd is the end of a WatchResponse.
const ResponseEnd = "]}"

var errMalformedEvent = errors.New("discovery: an event has either an endpoint list or a purge")

// EncodeEvent encodes an event as it stands between Opening and Closing.
func EncodeEvent(e Event) ([]byte, error) {
	if (e.Endpoints == nil) == (e.Purge == nil) {
		return nil, errMalformedEvent
	}
	if e.Endpoints != nil && e.Endpoints.Endpoints == nil {
		e.Endpoints.Endpoints = []Endpoint{}
	}
	switch {
	case e.Membership != nil:
		return marshal(e)
	case e.Purge != nil:
		return encodePurge(e.Revision, e.Purge), nil
	}
	list, err := marshal(e.Endpoints)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, `{"no":%d,"roster":%s}`, e.Revision, list), nil
}

func encodePurge(revision int64, p *Purge) []byte {
	if p.Group != nil {
		return fmt.Appendf(nil, `{"no":%d,"recall":{"lot":%d,"issued":%.0f}}`, revision, *p.Group, p.IssuedMS)
	}
	return fmt.Appendf(nil, `{"no":%d,"recall":{"item":%q,"issued":%.0f}}`, revision, p.Object, p.IssuedMS)
}

func marshal(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("discovery: encode an event: %w", err)
	}
	return b, nil
}
