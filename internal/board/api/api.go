// Package api is what the board's write side says, and the client of it that the command line uses.
package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// WhoHeader carries who the caller says to be; the board keeps it beside what it knows.
const WhoHeader = "Stairvane-Who"

// HistoryPage is how many events one answer holds at most.
const HistoryPage = 10_000

// Kinds of errors.
const (
	Stale      = "stale"
	Busy       = "busy"
	Damaged    = "damaged"
	Newer      = "newer"
	NotFound   = "not-found"
	WrongState = "wrong-state"
	NotAllowed = "not-allowed"
	BadRequest = "bad-request"
	Failed     = "failed"
)

// Error is the answer to what is refused.
type Error struct {
	Kind    string        `json:"error"`
	Message string        `json:"message"`
	Moved   []plan.Moved  `json:"moved,omitempty"`
	Holder  *apply.Record `json:"holder,omitempty"`
}

func (e *Error) Error() string { return e.Message }

// World is the fleet as it is declared and as it was seen.
type World struct {
	Fleet     fleet.Dump                   `json:"fleet"`
	Observed  map[string]fleet.Observation `json:"observed"`
	NowMS     int64                        `json:"now_ms"`
	Observer  bool                         `json:"observer"`
	Followers int                          `json:"followers"`
	ToldUpTo  int64                        `json:"told_up_to"`
	Holder    *apply.Record                `json:"holder,omitempty"`
}

// Seen is the world that plans are made against.
func (w World) Seen() (fleet.World, error) {
	f, err := fleet.Restore(w.Fleet)
	return fleet.World{Fleet: f, Observed: w.Observed, NowMS: w.NowMS}, err
}

// History is a page of events.
type History struct {
	Events []fleet.Event `json:"events"`
}

// Step is a step of an apply.
type Step struct {
	ID    int       `json:"id"`
	What  string    `json:"what"`
	Thing string    `json:"thing"`
	Wait  plan.Wait `json:"wait"`
	apply.StepState
}

// Apply is an apply with its steps.
type Apply struct {
	apply.Record
	Steps []Step `json:"step_list"`
}

// Accepted is the answer to a plan: its apply, or the one that has carried the same plan out already.
type Accepted struct {
	apply.Record
	Already bool `json:"already"`
}

// Purged is the answer to a purge.
type Purged struct {
	No       int64 `json:"no"`
	IssuedMS int64 `json:"issued_ms"`
}

// Client calls a board's write side.
type Client struct {
	http *http.Client
	base string
	who  string
	path string
}

// Credentials are files in PEM for a board that asks for TLS.
type Credentials struct{ Certificate, Key, Authority string }

// NewClient makes a client of a board at unix:PATH, or at HOST:PORT with or without credentials.
func NewClient(at, who string, c Credentials) (*Client, error) {
	t := &http.Transport{}
	client := &Client{http: &http.Client{Transport: t}, base: "http://board", who: who}
	path, unix := strings.CutPrefix(at, "unix:")
	switch {
	case unix:
		client.path = path
		t.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "unix", path)
		}
		return client, nil
	case c.Certificate == "":
		client.base = "http://" + at
		return client, nil
	}
	own, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", c.Authority)
	}
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, RootCAs: pool}
	client.base = "https://" + at
	return client, nil
}

// call makes one call; an answer that is no success is an *Error.
func (c *Client) call(method, path string, body []byte, out any) error {
	req, err := http.NewRequest(method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.who != "" {
		req.Header.Set(WhoHeader, c.who)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("board: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("board: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		e := &Error{}
		if json.Unmarshal(text, e) != nil || e.Message == "" {
			e = &Error{Kind: Failed, Message: fmt.Sprintf("board: %s: %.200s", res.Status, text)}
		}
		return e
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("board: %w", err)
	}
	return nil
}

// World asks for the world.
func (c *Client) World() (w World, err error) { return w, c.call("GET", "/v1/world", nil, &w) }

// History asks for events after a number.
func (c *Client) History(after int64) (h History, err error) {
	return h, c.call("GET", fmt.Sprintf("/v1/history?after=%d", after), nil, &h)
}

// Submit hands in a plan file.
func (c *Client) Submit(file []byte) (a Accepted, err error) {
	return a, c.call("POST", "/v1/applies", file, &a)
}

// Applies lists all applies.
func (c *Client) Applies() (all []apply.Record, err error) {
	return all, c.call("GET", "/v1/applies", nil, &all)
}

// Apply asks for one apply.
func (c *Client) Apply(id int64) (a Apply, err error) {
	return a, c.call("GET", fmt.Sprintf("/v1/applies/%d", id), nil, &a)
}

// Before asks what the fleet was before an apply.
func (c *Client) Before(id int64) (w fleet.Wish, err error) {
	return w, c.call("GET", fmt.Sprintf("/v1/applies/%d/before", id), nil, &w)
}

// Order pauses, resumes or cancels an apply.
func (c *Client) Order(id int64, o apply.Order) (r apply.Record, err error) {
	return r, c.call("POST", fmt.Sprintf("/v1/applies/%d/%s", id, o), nil, &r)
}

// Purge purges an object or a group.
func (c *Client) Purge(p fleet.Purge) (out Purged, err error) {
	body, err := json.Marshal(p)
	if err != nil {
		return out, err
	}
	return out, c.call("POST", "/v1/purges", body, &out)
}

// Path is the Unix socket that the client calls; empty for one that calls over TCP.
func (c *Client) Path() string { return c.path }
