package replicas

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Paths of the calls between replicas.
const (
	messagesPath = "/v1/copies/messages"
	snapshotPath = "/v1/copies/whole"
	helloPath    = "/v1/copies/hello"
	leasePath    = "/v1/copies/lease"
	memberPath   = "/v1/copies/member"
)

// Headers of a call between replicas. Numbers are hexadecimal, except for those in the snapshot
// headers, which are decimal.
const (
	groupHeader          = "Stairvane-Group"
	diskHeader           = "Stairvane-Disk"
	incarnationHeader    = "Stairvane-Run"
	nameHeader           = "Stairvane-Copy"
	snapshotHeader       = "Stairvane-Taken" // term and receiver of a snapshot's message
	snapshotLengthHeader = "Stairvane-Length"
)

const (
	binaryType       = "application/octet-stream"
	jsonType         = "application/json"
	callTimeout      = 500 * time.Millisecond
	maxResponseBytes = 1 << 20
	maxJSONBytes     = 1 << 20 // of a request body
)

// request is a call to a peer.
type request struct {
	contentType string
	body        io.Reader
	header      map[string]string // in addition to those that identify the sender
}

// response is a peer's response.
type response struct {
	status int
	body   []byte
}

// statusError is a response with an unexpected status.
type statusError struct {
	Status int
	Text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

// check returns an error unless the status is 200.
func (r response) check() error {
	if r.status == http.StatusOK {
		return nil
	}
	return &statusError{Status: r.status, Text: r.text()}
}

func (r response) text() string { return string(bytes.TrimSpace(r.body)) }

// call sends a POST request with headers that identify this replica. It returns an error if there is
// no complete response. A response with status 410 means, for every path, that this disk was removed
// from the group, and call excludes the disk.
func (p *peer) call(ctx context.Context, path string, r request) (response, error) {
	g := p.group
	url := g.settings.Scheme + "://" + p.config.Address.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, r.body)
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", path, err)
	}
	identity, _ := g.store.Identity()
	req.Header.Set("Content-Type", r.contentType)
	req.Header.Set(groupHeader, formatID(identity.Group))
	req.Header.Set(diskHeader, formatID(identity.Disk))
	req.Header.Set(nameHeader, g.settings.Self)
	req.Header.Set(incarnationHeader, formatID(g.incarnation))
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	client := g.settings.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = res.Body.Close() }() // the body has been read already
	answer := response{status: res.StatusCode}
	answer.body, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if res.StatusCode == http.StatusGone {
		g.runOnLoop(func() {
			if g.phase != Excluded {
				g.exclude(answer.text())
			}
		})
	}
	return answer, err
}

// callJSON makes a call whose request and response bodies are JSON.
func (p *peer) callJSON(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	answer, err := p.call(ctx, path, request{contentType: jsonType, body: bytes.NewReader(body)})
	if err != nil {
		return err
	}
	if err := answer.check(); err != nil {
		return err
	}
	return json.Unmarshal(answer.body, out)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", jsonType)
	_ = json.NewEncoder(w).Encode(answer) // an error means that the caller has disconnected
}
