// Package bulletin reads the bulletin: numbered changes to the list of hosts, and purges, as JSON, and the HTTP/1.1
// answers that carry them. It does no I/O.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of what a bulletin may answer.
const (
	maxHead = 16 << 10
	maxBody = 4 << 20
)

// WatchResponse is what the bulletin tells; the start's events have the same form.
type WatchResponse struct {
	LastRevision int64           `json:"no"`
	Events       []Event         `json:"items"`
	QuotaGrant   json.RawMessage `json:"turns,omitempty"` // a grant, for the one that called alone
	// AggregatedHealth are what all directors together see of boxes, for those who tell what they see.
	AggregatedHealth json.RawMessage `json:"signals,omitempty"`
	Malformed        []error         `json:"-"` // events that can't be read; they are not among Items
}

// Event is one event: a change to the list, or a purge.
type Event struct {
	Revision   int64         `json:"no"`
	Endpoints  *EndpointList `json:"roster"`
	Purge      *Purge        `json:"recall"`
	Membership *Membership   `json:"roll,omitempty"` // told to those alone who announce themselves
}

// EndpointList is a list of hosts, or what has changed of it.
type EndpointList struct {
	Sequence  int64      `json:"seq"`
	Snapshot  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one line of a roster.
type Endpoint struct {
	Name    string  `json:"host"`
	Address string  `json:"dial"`
	Site    string  `json:"site"`
	Class   string  `json:"class"`
	Block   int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`
	BornMS  float64 `json:"born_ms"`
}

// Purge is a purge of an object or of a group.
type Purge struct {
	Object   string  `json:"item"`
	Group    *int    `json:"lot"`
	IssuedMS float64 `json:"issued"`
}

// Membership is the roll of directors and who holds which claims, or what has changed of it.
type Membership struct {
	Snapshot bool       `json:"whole,omitempty"`
	Joined   []Director `json:"joined,omitempty"`
	Left     []string   `json:"gone,omitempty"` // IDs
	Shards   []Shard    `json:"slots,omitempty"`
}

// Director is a director on the roll.
type Director struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	Location    string `json:"location,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Version     string `json:"version,omitempty"`
	Claims      string `json:"claims,omitempty"` // where it takes claims; empty: it takes none
}

// ID names the process.
func (d Director) ID() string { return d.Name + "/" + d.Incarnation }

// Shard is who holds a part of the claims from an event on, or, with Complete, that the homes of that epoch have all of it.
type Shard struct {
	Number           int      `json:"slot"`
	Epoch            int64    `json:"epoch,omitempty"`
	Replicas         []string `json:"homes,omitempty"`
	PreviousReplicas []string `json:"from,omitempty"`
	ReadyEpoch       int64    `json:"complete,omitempty"`
}

// Announcement is how a director presents itself with each call, in a header of its own.
type Announcement struct {
	Director
	MembershipRevision int64           `json:"roll"`               // number of the last event of the roll that it has; 0: none
	Config             string          `json:"config,omitempty"`   // a mark of its configuration: equal where that is equal
	Leaving            bool            `json:"leaving,omitempty"`  // it holds nothing and begins nothing any more
	QuotaRenewal       json.RawMessage `json:"turns,omitempty"`    // what it wants of what is shared
	HealthReport       json.RawMessage `json:"signals,omitempty"`  // what it has seen of boxes
	ReadyShards        []int64         `json:"complete,omitempty"` // slot and epoch, in turn, of which all homes have everything
}

// AnnounceHeader carries an Announcement as JSON.
const AnnounceHeader = "Stairvane-Director"

// Decode reads a feed. An event that can't be read is a fault by itself: what comes after it is not held up by it.
func Decode(b []byte) (WatchResponse, error) {
	var f WatchResponse
	err := json.Unmarshal(b, &f)
	if err == nil {
		return f, nil
	}
	var loose struct {
		WatchResponse
		Items []json.RawMessage `json:"items"`
	}
	if json.Unmarshal(b, &loose) != nil {
		return WatchResponse{}, fmt.Errorf("bulletin: %w", err)
	}
	f = loose.WatchResponse
	f.Events = nil
	for _, raw := range loose.Items {
		var item Event
		if err := json.Unmarshal(raw, &item); err != nil {
			f.Malformed = append(f.Malformed, fmt.Errorf("event %d: %w", item.Revision, err))
			continue
		}
		f.Events = append(f.Events, item)
	}
	return f, nil
}

// AppendRequest appends the call for all events after a number. announce is an Announcement as JSON; empty: none.
func AppendRequest(b []byte, host string, after int64, patienceMS int64, announce []byte) []byte {
	b = fmt.Appendf(b, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n", after, patienceMS, host)
	if len(announce) > 0 {
		b = append(append(append(append(b, AnnounceHeader...), ": "...), announce...), "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// HTTPResponse is one HTTP answer.
type HTTPResponse struct {
	Status int
	Body   []byte
	Close  bool // the server ends the connection after it
}

var errHead = errors.New("bulletin: head of the answer is malformed")

// ParseResponse reads one answer from the start of b. used is 0 while it is not whole; then need tells how many bytes
// must be there before it can be.
func ParseResponse(b []byte) (r HTTPResponse, used, need int, err error) {
	headEnd := bytes.Index(b, []byte("\r\n\r\n"))
	if headEnd < 0 {
		if len(b) > maxHead {
			return r, 0, 0, errHead
		}
		return r, 0, len(b) + 1, nil
	}
	lines := strings.Split(string(b[:headEnd]), "\r\n")
	proto, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	if r.Status, err = strconv.Atoi(code); err != nil || !strings.HasPrefix(proto, "HTTP/1.") {
		return r, 0, 0, errHead
	}
	r.Close = proto == "HTTP/1.0"
	length, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch {
		case !found:
			return r, 0, 0, errHead
		case strings.EqualFold(name, "Content-Length"):
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > maxBody {
				return r, 0, 0, fmt.Errorf("bulletin: length %q out of range", value)
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			chunked = strings.EqualFold(value, "chunked")
		case strings.EqualFold(name, "Connection"):
			r.Close = strings.EqualFold(value, "close")
		}
	}
	at := headEnd + 4
	switch {
	case chunked:
		r.Body, used, need, err = chunks(b, at)
		return r, used, need, err
	case length < 0:
		return r, 0, 0, errors.New("bulletin: answer tells no length")
	case len(b) < at+length:
		return r, 0, at + length, nil
	}
	r.Body = b[at : at+length]
	return r, at + length, 0, nil
}

// chunks joins the chunks of a body that starts at from.
func chunks(b []byte, from int) (body []byte, used, need int, err error) {
	for at := from; ; {
		end := bytes.Index(b[at:], []byte("\r\n"))
		if end < 0 {
			if len(b)-at > maxHead {
				return nil, 0, 0, errors.New("bulletin: chunk without a size")
			}
			return nil, 0, len(b) + 1, nil
		}
		digits, _, _ := strings.Cut(string(b[at:at+end]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
		if err != nil || len(body)+int(size) > maxBody {
			return nil, 0, 0, fmt.Errorf("bulletin: chunk size %q out of range", digits)
		}
		at += end + 2
		if len(b) < at+int(size)+2 {
			return nil, 0, at + int(size) + 2, nil
		}
		body = append(body, b[at:at+int(size)]...)
		at += int(size)
		if string(b[at:at+2]) != "\r\n" {
			return nil, 0, 0, errors.New("bulletin: chunk is not as long as it says")
		}
		at += 2
		if size == 0 {
			return body, at, 0, nil
		}
	}
}
