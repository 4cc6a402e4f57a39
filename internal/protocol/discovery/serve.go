package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// This file is the server's side: calls are read and answers written, without I/O.

// MaxPatienceMS is the longest time for which a call may wait.
const MaxPatienceMS = 5000

const maxCall = 32 << 10

// WatchRequest is one request for news.
type WatchRequest struct {
	After        int64
	TimeoutMS    int64
	Close        bool          // the caller ends the connection after the answer
	Announcement *Announcement // nil: the caller does not present itself
}

// RequestError is a call that can't be served. The connection is closed after its answer.
type RequestError struct {
	Status  int
	Message string
}

func (e *RequestError) Error() string { return fmt.Sprintf("bulletin: %d: %s", e.Status, e.Message) }

func callError(status int, format string, args ...any) error {
	return &RequestError{status, fmt.Sprintf(format, args...)}
}

// ParseWatchRequest reads one call from the start of b. used is 0 while it is not whole; then need tells how many bytes must be
// there before it can be. Errors are *CallError.
func ParseWatchRequest(b []byte) (c WatchRequest, used, need int, err error) {
	headEnd := bytes.Index(b, []byte("\r\n\r\n"))
	if headEnd < 0 {
		if len(b) > maxCall {
			return c, 0, 0, callError(431, "the head is longer than %d bytes", maxCall)
		}
		return c, 0, len(b) + 1, nil
	}
	if headEnd > maxCall {
		return c, 0, 0, callError(431, "the head is longer than %d bytes", maxCall)
	}
	lines := strings.Split(string(b[:headEnd]), "\r\n")
	words := strings.Split(lines[0], " ")
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/1.") {
		return c, 0, 0, callError(400, "malformed request line")
	}
	c.Close = words[2] == "HTTP/1.0"
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch {
		case !found || name == "" || strings.ContainsAny(name, " \t\r\n") || strings.ContainsAny(value, "\r\n"):
			return c, 0, 0, callError(400, "malformed header")
		case strings.EqualFold(name, "Content-Length") && value != "0", strings.EqualFold(name, "Transfer-Encoding"):
			return c, 0, 0, callError(400, "a call has no body")
		case strings.EqualFold(name, AnnounceHeader):
			c.Announcement = &Announcement{}
			if err := json.Unmarshal([]byte(value), c.Announcement); err != nil || c.Announcement.Name == "" || c.Announcement.Incarnation == "" {
				return c, 0, 0, callError(400, "malformed announcement")
			}
		case strings.EqualFold(name, "Connection"):
			c.Close = c.Close || strings.EqualFold(value, "close")
		}
	}
	if words[0] != "GET" {
		return c, 0, 0, callError(405, "only GET is served here")
	}
	path, query, _ := strings.Cut(words[1], "?")
	if path != "/bulletins" {
		return c, 0, 0, callError(404, "only /bulletins is served here")
	}
	c.TimeoutMS = MaxPatienceMS
	for _, part := range strings.Split(query, "&") {
		key, value, _ := strings.Cut(part, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		switch {
		case key == "after" && err == nil && n >= 0:
			c.After = n
		case key == "patience" && err == nil && n >= 0:
			c.TimeoutMS = min(n, MaxPatienceMS)
		case key == "after" || key == "patience":
			return c, 0, 0, callError(400, "%s is no number from 0 up", key)
		}
	}
	return c, headEnd + 4, 0, nil
}

// AppendHead appends the head of an answer with a body of some bytes.
func AppendHead(b []byte, status, length int, last bool) []byte {
	text := map[int]string{
		200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 431: "Request Header Fields Too Large",
		503: "Service Unavailable",
	}[status]
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, text, length)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Opening and Closing stand round the items of a feed, which commas set apart.
func Opening(last int64) []byte { return fmt.Appendf(nil, `{"no":%d,"items":[`, last) }

// Closing ends a feed.
const Closing = "]}"

var errItem = errors.New("bulletin: an item is either a list or a purge")

// EncodeEvent writes one event.
func EncodeEvent(i Event) ([]byte, error) {
	if (i.Endpoints == nil) == (i.Purge == nil) {
		return nil, errItem
	}
	if i.Membership != nil {
		if i.Endpoints != nil && i.Endpoints.Endpoints == nil {
			i.Endpoints.Endpoints = []Endpoint{}
		}
		b, err := json.Marshal(i)
		if err != nil {
			return nil, fmt.Errorf("bulletin: %w", err)
		}
		return b, nil
	}
	if i.Purge != nil {
		r := i.Purge
		if r.Group != nil {
			return fmt.Appendf(nil, `{"no":%d,"recall":{"lot":%d,"issued":%.0f}}`, i.Revision, *r.Group, r.IssuedMS), nil
		}
		return fmt.Appendf(nil, `{"no":%d,"recall":{"item":%q,"issued":%.0f}}`, i.Revision, r.Object, r.IssuedMS), nil
	}
	if i.Endpoints.Endpoints == nil {
		i.Endpoints.Endpoints = []Endpoint{}
	}
	list, err := json.Marshal(i.Endpoints)
	if err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	return fmt.Appendf(nil, `{"no":%d,"roster":%s}`, i.Revision, list), nil
}
