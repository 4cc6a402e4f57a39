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

// Timeouts and delays of a client with several addresses.
const (
	callTimeout    = 10 * time.Second // for all attempts of one call
	attemptTimeout = 2 * time.Second
	roundBackoff   = 30 * time.Millisecond // after each server has been tried once
)

const unixConnectTimeout = 5 * time.Second

// Client calls the write side of a control plane. With the addresses of several replicas it finds the leader and retries calls that
// were not answered. It is not safe for concurrent use.
type Client struct {
	servers    []server
	current    int // index of the server that calls try first
	who        string
	socketPath string
}

// server is the write side of one replica.
type server struct {
	http *http.Client
	base string // base URL
}

// NewClient returns a client for the control plane at addresses, a comma-separated list with one address per replica. An address is
// unix:PATH or HOST:PORT. TLS is used for HOST:PORT if c has a certificate. who is the name that the caller claims for itself; it may
// be empty.
func NewClient(addresses, who string, c Credentials) (*Client, error) {
	client := &Client{who: who}
	for _, address := range strings.Split(addresses, ",") {
		s, err := newServer(address, c)
		if err != nil {
			return nil, err
		}
		client.servers = append(client.servers, s)
		if path, isUnix := strings.CutPrefix(address, unixPrefix); isUnix {
			client.socketPath = path
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
		s.base = "http://board" // the host is not used: the connection goes to the socket
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

// Path returns the path of the Unix socket that the client uses, or an empty string if it uses TCP.
func (c *Client) Path() string { return c.socketPath }

// request is one call. A write has an ID, so that the server executes it only once regardless of the number of attempts.
type request struct {
	method  string
	path    string
	body    []byte
	writeID string // empty for a read
}

func (c *Client) get(path string, out any) error {
	return c.call(request{method: http.MethodGet, path: path}, out)
}

func (c *Client) post(path string, body []byte, out any) error {
	return c.call(request{method: http.MethodPost, path: path, body: body, writeID: rand.Text()}, out)
}

// call sends a request and decodes the response into out. With several servers it retries until callTimeout. The error is an *Error if
// the server reported one.
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
			return fmt.Errorf("no replica served the request: %w", err)
		}
		c.current = (c.current + 1) % len(c.servers)
		if attempts%len(c.servers) == 0 {
			time.Sleep(roundBackoff)
		}
	}
}

// isRetryable reports whether a call that failed with err should be tried at another replica. That is the case if there was no answer,
// or if the replica that answered is not the leader or does not know the outcome of the write.
func isRetryable(err error) bool {
	var answered *Error
	if errors.As(err, &answered) {
		return answered.Kind == NotLeader || answered.Kind == OutcomeUnknown
	}
	return err != nil
}

// attempt sends a request to one server and decodes the response into out.
func (c *Client) attempt(ctx context.Context, s server, r request, out any) error {
	res, body, err := c.send(ctx, s, r)
	if err != nil {
		return fmt.Errorf("control plane: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return decodeError(res.Status, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("control plane: %w", err)
	}
	return nil
}

// send sends a request, reads the whole response body and closes it.
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
	defer func() { _ = res.Body.Close() }() // the body was read to the end
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

// decodeError returns the *Error in an unsuccessful response. A response that doesn't come from a control plane is converted to an
// *Error of kind Failed.
func decodeError(status string, body []byte) error {
	e := &Error{}
	if json.Unmarshal(body, e) != nil || e.Message == "" {
		e = &Error{Kind: Failed, Message: fmt.Sprintf("control plane: %s: %.200s", status, body)}
	}
	if e.Kind == NotLeader && e.Leader != "" {
		e.Message += "; replica " + e.Leader + " is the leader"
	}
	return e
}

// State returns the declared and the observed state of the fleet.
func (c *Client) State() (s State, err error) { return s, c.get("/v1/world", &s) }

// Members returns the directors that are members, and the relays.
func (c *Client) Members() (m Members, err error) { return m, c.get("/v1/roll", &m) }

// Quotas returns the quota allocations in force, with their holders.
func (c *Client) Quotas() (allocations []quota.Allocation, err error) {
	return allocations, c.get("/v1/turns", &allocations)
}

// Health returns the health of the caches as reported by directors.
func (c *Client) Health() (caches []health.CacheStatus, err error) {
	return caches, c.get("/v1/signals", &caches)
}

// Adoption returns when each director applied the event at a revision.
func (c *Client) Adoption(revision int64) (e adoption.Event, err error) {
	return e, c.get(fmt.Sprintf("/v1/adoption?event=%d", revision), &e)
}

// History returns the events after a revision, at most HistoryPage of them.
func (c *Client) History(after int64) (h History, err error) {
	return h, c.get(fmt.Sprintf("/v1/history?after=%d", after), &h)
}

// Submit starts an apply of a plan file.
func (c *Client) Submit(file []byte) (a Accepted, err error) {
	return a, c.post("/v1/applies", file, &a)
}

// Applies returns all applies.
func (c *Client) Applies() (all []apply.Record, err error) {
	return all, c.get("/v1/applies", &all)
}

// Apply returns one apply with its steps.
func (c *Client) Apply(id int64) (a Apply, err error) {
	return a, c.get(fmt.Sprintf("/v1/applies/%d", id), &a)
}

// Before returns the desired state that an apply replaced.
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

// EachReplica requests the group status of each replica, in the order of the addresses, and calls f with each result.
func (c *Client) EachReplica(f func(address string, known GroupStatus, err error)) {
	for _, s := range c.servers {
		var known GroupStatus
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		err := c.attempt(ctx, s, request{method: http.MethodGet, path: "/v1/copies"}, &known)
		cancel()
		f(s.base, known, err)
	}
}

// ChangeReplicas requests that the leader change the members of the group.
func (c *Client) ChangeReplicas(change ReplicaChange) (known GroupStatus, err error) {
	body, err := json.Marshal(change)
	if err != nil {
		return known, fmt.Errorf("encode replica change: %w", err)
	}
	return known, c.post("/v1/copies", body, &known)
}
