package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Size limits of a response, in bytes.
const (
	maxHead = 16 << 10
	maxBody = 4 << 20
)

// StatusOK is the status of a response with events.
const StatusOK = 200

var (
	errMalformedHead     = errors.New("discovery: malformed response header")
	errNoLength          = errors.New("discovery: response has neither a Content-Length nor chunked encoding")
	errUnterminatedChunk = errors.New("discovery: chunk data does not end at its declared size")
	errNoChunkSize       = errors.New("discovery: chunk size line is missing or too long")
)

const (
	headEnd = "\r\n\r\n"
	lineEnd = "\r\n"
)

// AppendRequest appends a watch request for all events after a revision. announcement is an Announcement as JSON; it may be empty.
func AppendRequest(b []byte, host string, after int64, timeoutMS int64, announcement []byte) []byte {
	b = fmt.Appendf(b, "GET %s?%s=%d&%s=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n",
		pollPath, keyAfter, after, keyTimeoutMS, timeoutMS, host)
	if len(announcement) > 0 {
		b = append(b, AnnounceHeader...)
		b = append(b, ": "...)
		b = append(b, announcement...)
		b = append(b, lineEnd...)
	}
	return append(b, lineEnd...)
}

// HTTPResponse is a parsed HTTP response.
type HTTPResponse struct {
	Status int
	Body   []byte
	Close  bool // the server closes the connection after this response
}

// ParseResponse parses a response at the start of b. If the response is incomplete, used is 0 and need is the minimum length of b
// with which it could be complete.
func ParseResponse(b []byte) (r HTTPResponse, used, need int, err error) {
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 {
		if len(b) > maxHead {
			return r, 0, 0, errMalformedHead
		}
		return r, 0, len(b) + 1, nil
	}
	head, err := parseResponseHead(string(b[:end]))
	if err != nil {
		return r, 0, 0, err
	}
	r = HTTPResponse{Status: head.status, Close: head.close}
	start := end + len(headEnd)
	switch {
	case head.chunked:
		r.Body, used, need, err = parseChunks(b, start)
		return r, used, need, err
	case head.length < 0:
		return r, 0, 0, errNoLength
	case len(b) < start+head.length:
		return r, 0, start + head.length, nil
	}
	r.Body = b[start : start+head.length]
	return r, start + head.length, 0, nil
}

type responseHead struct {
	status  int
	close   bool
	length  int // -1: unknown
	chunked bool
}

func parseResponseHead(text string) (responseHead, error) {
	lines := strings.Split(text, lineEnd)
	proto, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") {
		return responseHead{}, errMalformedHead
	}
	head := responseHead{status: status, close: proto == "HTTP/1.0", length: -1}
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return responseHead{}, errMalformedHead
		}
		if err := head.setHeader(name, strings.TrimSpace(value)); err != nil {
			return responseHead{}, err
		}
	}
	return head, nil
}

func (h *responseHead) setHeader(name, value string) error {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.Atoi(value)
		if err != nil || length < 0 || length > maxBody {
			return fmt.Errorf("discovery: content length %q out of range", value)
		}
		h.length = length
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.chunked = strings.EqualFold(value, "chunked")
	case strings.EqualFold(name, "Connection"):
		h.close = strings.EqualFold(value, "close")
	}
	return nil
}

// parseChunks parses a chunked body that starts at an offset of b and joins its chunks. used and need are as in ParseResponse.
func parseChunks(b []byte, start int) (body []byte, used, need int, err error) {
	for at := start; ; {
		end := bytes.Index(b[at:], []byte(lineEnd))
		if end < 0 {
			if len(b)-at > maxHead {
				return nil, 0, 0, errNoChunkSize
			}
			return nil, 0, len(b) + 1, nil
		}
		digits, _, _ := strings.Cut(string(b[at:at+end]), ";")
		size64, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
		size := int(size64)
		if err != nil || len(body)+size > maxBody {
			return nil, 0, 0, fmt.Errorf("discovery: chunk size %q out of range", digits)
		}
		at += end + len(lineEnd)
		if len(b) < at+size+len(lineEnd) {
			return nil, 0, at + size + len(lineEnd), nil
		}
		body = append(body, b[at:at+size]...)
		at += size
		if string(b[at:at+len(lineEnd)]) != lineEnd {
			return nil, 0, 0, errUnterminatedChunk
		}
		at += len(lineEnd)
		if size == 0 {
			return body, at, 0, nil
		}
	}
}
