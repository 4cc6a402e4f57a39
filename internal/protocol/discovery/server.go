package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxPollTimeoutMS is the maximum time, in milliseconds, for which a watch request may wait for events.
const MaxPollTimeoutMS = 5000

// maxRequestHead is the maximum size of a watch request in bytes.
const maxRequestHead = 32 << 10

// WatchRequest is a parsed watch request (a long poll).
type WatchRequest struct {
	After        int64         // the last revision that the client has applied
	TimeoutMS    int64         // how long the request may wait for events
	Close        bool          // the client closes the connection after the response
	Announcement *Announcement // nil: the client does not announce itself
}

// RequestError describes why a watch request cannot be served. The connection is closed after a response with Status.
type RequestError struct {
	Status  int
	Message string
}

func (e *RequestError) Error() string { return fmt.Sprintf("discovery: %d: %s", e.Status, e.Message) }

func requestError(status int, format string, args ...any) error {
	return &RequestError{Status: status, Message: fmt.Sprintf(format, args...)}
}

// ParseWatchRequest parses a watch request at the start of b. If the request is incomplete, used is 0 and need is the minimum
// length of b with which it could be complete. Errors are of type *RequestError.
func ParseWatchRequest(b []byte) (r WatchRequest, used, need int, err error) {
	end := bytes.Index(b, []byte(headEnd))
	if end > maxRequestHead || end < 0 && len(b) > maxRequestHead {
		return r, 0, 0, requestError(431, "request header exceeds %d bytes", maxRequestHead)
	}
	if end < 0 {
		return r, 0, len(b) + 1, nil
	}
	lines := strings.Split(string(b[:end]), lineEnd)
	fields := strings.Split(lines[0], " ")
	if len(fields) != 3 || !strings.HasPrefix(fields[2], "HTTP/1.") {
		return r, 0, 0, requestError(400, "malformed request line")
	}
	method, target, proto := fields[0], fields[1], fields[2]
	r.Close = proto == "HTTP/1.0"
	for _, line := range lines[1:] {
		if err := r.setHeader(line); err != nil {
			return r, 0, 0, err
		}
	}
	if method != "GET" {
		return r, 0, 0, requestError(405, "only the GET method is supported")
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
		return requestError(400, "a watch request must not have a body")
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
		return requestError(404, "only the path %s is supported", pollPath)
	}
	r.TimeoutMS = MaxPollTimeoutMS
	for part := range strings.SplitSeq(query, "&") {
		key, value, _ := strings.Cut(part, "=")
		if key != keyAfter && key != keyTimeoutMS {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			return requestError(400, "%s must be a non-negative integer", key)
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

// AppendResponseHead appends the status line and header of a response. length is the size of the body in bytes. If last is true,
// the connection is closed after the response.
func AppendResponseHead(b []byte, status, length int, last bool) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, statusTexts[status], length)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, lineEnd...)
}

// ResponseStart returns the start of an encoded WatchResponse, up to the events. Events are separated by commas, and ResponseEnd
// ends the response.
func ResponseStart(lastRevision int64) []byte {
	return fmt.Appendf(nil, `{"no":%d,"items":[`, lastRevision)
}

// ResponseEnd is the end of an encoded WatchResponse.
const ResponseEnd = "]}"

var errMalformedEvent = errors.New("discovery: an event must have either an endpoint list or a purge")

// EncodeEvent encodes an event in the form that a WatchResponse contains between ResponseStart and ResponseEnd.
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
		return nil, fmt.Errorf("discovery: encode event: %w", err)
	}
	return b, nil
}
