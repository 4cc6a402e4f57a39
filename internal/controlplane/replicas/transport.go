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

// Headers of a call between replicas. Numbers are hexadecimal but for those of the snapshot's
// headers.
const (
	groupHeader          = "Stairvane-Group"
	diskHeader           = "Stairvane-Disk"
	incarnationHeader    = "Stairvane-Run"
	nameHeader           = "Stairvane-Copy"
	snapshotHeader       = "Stairvane-Taken" // of a snapshot: term and receiver of its message
	snapshotLengthHeader = "Stairvane-Length"
)

const (
	binaryType     = "application/octet-stream"
	jsonType       = "application/json"
	callTimeout    = 500 * time.Millisecond
	maxAnswerBytes = 1 << 20
	maxJSONBytes   = 1 << 20 // of a call's body
)

// request is a call to a peer.
type request struct {
	contentType string
	body        io.Reader
	header      map[string]string // in addition to those that tell who calls
}

// response is a peer's answer.
type response struct {
	status int
	body   []byte
}

// statusError is an answer with a status that the caller did not want.
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

// call makes a call as this replica. An error means that there is no complete answer. Whatever the
// call was for, an answer with status 410 says that this disk was removed from the group, which
// excludes it.
func (p *peer) call(ctx context.Context, path string, r request) (response, error) {
	g := p.group
	url := g.settings.Scheme + "://" + p.to.Address.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, r.body)
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", path, err)
	}
	identity, _ := g.store.Identity()
	req.Header.Set("Content-Type", r.contentType)
	req.Header.Set(groupHeader, formatNumber(identity.Group))
	req.Header.Set(diskHeader, formatNumber(identity.Disk))
	req.Header.Set(nameHeader, g.settings.Self)
	req.Header.Set(incarnationHeader, formatNumber(g.incarnation))
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
	defer func() { _ = res.Body.Close() }() // what was read is what counts
	answer := response{status: res.StatusCode}
	answer.body, err = io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if res.StatusCode == http.StatusGone {
		g.runOnLoop(func() {
			if g.phase != Excluded {
				g.exclude(answer.text())
			}
		})
	}
	return answer, err
}

// callJSON makes a call with JSON in both directions.
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
	_ = json.NewEncoder(w).Encode(answer) // the caller is gone if it fails
}
