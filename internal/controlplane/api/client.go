package api

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

// Times of a client with several addresses.
const (
	callTimeout    = 10 * time.Second // for all attempts of a call
	attemptTimeout = 2 * time.Second
	roundPause     = 30 * time.Millisecond // once each server has been tried
)

const unixConnectTimeout = 5 * time.Second

// Client calls the write side of a control plane. With the addresses of several replicas it finds the leader, and repeats calls
// that were not answered. Its methods may be called by one goroutine at a time.
type Client struct {
	servers  []server
	current  int // index of the server that answered last
	who      string
	unixPath string
}

// server is one replica's write side.
type server struct {
	http *http.Client
	base string // of its URLs
}

// NewClient makes a client of a control plane at unix:PATH, or at HOST:PORT with or without credentials. The addresses of several
// replicas are separated by commas. who is the name that the caller gives itself; it may be empty.
func NewClient(addresses, who string, c Credentials) (*Client, error) {
	client := &Client{who: who}
	for _, address := range strings.Split(addresses, ",") {
		s, err := newServer(address, c)
		if err != nil {
			return nil, err
		}
		client.servers = append(client.servers, s)
		if path, isUnix := strings.CutPrefix(address, unixPrefix); isUnix {
			client.unixPath = path
		}
	}
	return client, nil
}

const unixPrefix = "unix:"

func newServer(address string, c Credentials) (server, error) {
	transport := &http.Transport{}
	s := server{http: &http.Client{Transport: transport}}
	path, isUnix := strings.CutPrefix(address, unixPrefix)
	switch {
	case isUnix:
		s.base = "http://board" // any host: the connection goes to the socket
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: unixConnectTimeout}).DialContext(ctx, "unix", path)
		}
	case c.Certificate == "":
		s.base = "http://" + address
	default:
		config, err := ClientTLS(c)
		if err != nil {
			return server{}, err
		}
		transport.TLSClientConfig = config
		s.base = "https://" + address
	}
	return s, nil
}

// Path is the Unix socket that the client calls; empty for one that calls over TCP.
func (c *Client) Path() string { return c.unixPath }

// request is one call. A write carries an ID, so that it is made once however often it is attempted.
type request struct {
	method  string
	path    string
	body    []byte
	writeID string // empty: a read
}

func (c *Client) get(path string, out any) error {
	return c.call(request{method: http.MethodGet, path: path}, out)
}

func (c *Client) post(path string, body []byte, out any) error {
	return c.call(request{method: http.MethodPost, path: path, body: body, writeID: rand.Text()}, out)
}

// call makes a call and decodes the answer into out. An answer that is no success is an *Error.
func (c *Client) call(r request, out any) error {
	if len(c.servers) == 1 {
		return c.attempt(context.Background(), c.servers[0], r, out)
	}
	deadline := time.Now().Add(callTimeout)
	for attempts := 1; ; attempts++ {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		err := c.attempt(ctx, c.servers[c.current], r, out)
		cancel()
		if !isRetryable(err) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no copy carries it out: %w", err)
		}
		c.current = (c.current + 1) % len(c.servers)
		if attempts%len(c.servers) == 0 {
			time.Sleep(roundPause)
		}
	}
}

// isRetryable tells whether another replica may serve a call that ended with an error: it was not answered, or the one that
// answered does not lead or does not know the outcome.
func isRetryable(err error) bool {
	var answered *Error
	if errors.As(err, &answered) {
		return answered.Kind == NotLeader || answered.Kind == OutcomeUnknown
	}
	return err != nil
}

// attempt makes a call to one server.
func (c *Client) attempt(ctx context.Context, s server, r request, out any) error {
	res, body, err := c.send(ctx, s, r)
	if err != nil {
		return fmt.Errorf("board: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return decodeError(res.Status, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("board: %w", err)
	}
	return nil
}

// send sends a request and reads the answer, whose body is closed then.
func (c *Client) send(ctx context.Context, s server, r request) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, s.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, err
	}
	if c.who != "" {
		req.Header.Set(WhoHeader, c.who)
	}
	if r.writeID != "" {
		req.Header.Set(WriteHeader, r.writeID)
	}
	res, err := s.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }() // it was read to its end
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

// decodeError is the *Error in an answer that is no success. An answer that was not sent by a control plane becomes one, too.
func decodeError(status string, body []byte) error {
	e := &Error{}
	if json.Unmarshal(body, e) != nil || e.Message == "" {
		e = &Error{Kind: Failed, Message: fmt.Sprintf("board: %s: %.200s", status, body)}
	}
	if e.Kind == NotLeader && e.Leader != "" {
		e.Message += "; copy " + e.Leader + " does"
	}
	return e
}

// State asks for the fleet's state.
func (c *Client) State() (s State, err error) { return s, c.get("/v1/world", &s) }

// Members asks which directors and relays there are.
func (c *Client) Members() (m Members, err error) { return m, c.get("/v1/roll", &m) }

// Quotas asks which quotas are in force, and whose they are.
func (c *Client) Quotas() (allocations []quota.Allocation, err error) {
	return allocations, c.get("/v1/turns", &allocations)
}

// Health asks for what directors have reported of caches.
func (c *Client) Health() (caches []health.CacheStatus, err error) {
	return caches, c.get("/v1/signals", &caches)
}

// Adoption asks when each director applied an event.
func (c *Client) Adoption(revision int64) (e adoption.Event, err error) {
	return e, c.get(fmt.Sprintf("/v1/adoption?event=%d", revision), &e)
}

// History asks for the events after a revision, at most HistoryPage of them.
func (c *Client) History(after int64) (h History, err error) {
	return h, c.get(fmt.Sprintf("/v1/history?after=%d", after), &h)
}

// Submit has a plan file applied.
func (c *Client) Submit(file []byte) (a Accepted, err error) {
	return a, c.post("/v1/applies", file, &a)
}

// Applies lists all applies.
func (c *Client) Applies() (all []apply.Record, err error) {
	return all, c.get("/v1/applies", &all)
}

// Apply asks for one apply with its steps.
func (c *Client) Apply(id int64) (a Apply, err error) {
	return a, c.get(fmt.Sprintf("/v1/applies/%d", id), &a)
}

// Before asks for the desired state that an apply replaced.
func (c *Client) Before(id int64) (d fleet.DesiredState, err error) {
	return d, c.get(fmt.Sprintf("/v1/applies/%d/before", id), &d)
}

// Order pauses, resumes or cancels an apply.
func (c *Client) Order(id int64, o apply.Order) (r apply.Record, err error) {
	return r, c.post(fmt.Sprintf("/v1/applies/%d/%s", id, o), nil, &r)
}

// Purge purges an object or a group of objects.
func (c *Client) Purge(p fleet.Purge) (out Purged, err error) {
	body, err := json.Marshal(p)
	if err != nil {
		return out, fmt.Errorf("encode purge: %w", err)
	}
	return out, c.post("/v1/purges", body, &out)
}

// EachReplica asks each replica what it knows of the group, in the order of the addresses.
func (c *Client) EachReplica(f func(address string, known GroupStatus, err error)) {
	for _, s := range c.servers {
		var known GroupStatus
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		err := c.attempt(ctx, s, request{method: http.MethodGet, path: "/v1/copies"}, &known)
		cancel()
		f(s.base, known, err)
	}
}

// ChangeReplicas has the leader change the members of the group.
func (c *Client) ChangeReplicas(change ReplicaChange) (known GroupStatus, err error) {
	body, err := json.Marshal(change)
	if err != nil {
		return known, fmt.Errorf("encode change of replicas: %w", err)
	}
	return known, c.post("/v1/copies", body, &known)
}
