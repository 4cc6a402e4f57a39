package relayserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/operatorconfig"
)

const (
	dialTimeout = 200 * time.Millisecond
	// headTimeout is the time for an answer to begin: one that begins later carries no lease.
	headTimeout = relaysession.Lease
	// stallTimeout is the time for each further piece of an answer, which may be a large snapshot.
	stallTimeout = 500 * time.Millisecond
	maxAnswer    = 256 << 20 // bytes
)

// upstream calls the write sides of the replicas and finds the leader among them. All of it but requestSoon belongs to one goroutine.
type upstream struct {
	http      *http.Client
	scheme    string
	addresses []string
	next      int           // index of the address that is called next
	hasLeader bool          // that one answered the last call
	urgent    chan struct{} // has a value if a request is to be sent soon
}

// newUpstream reads the keys, if the file names any.
func newUpstream(set operatorconfig.Relay) (*upstream, error) {
	t := &http.Transport{
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
		ResponseHeaderTimeout: headTimeout,
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	u := &upstream{http: &http.Client{Transport: t}, scheme: "http", urgent: make(chan struct{}, 1)}
	for _, address := range set.Upstream {
		u.addresses = append(u.addresses, address.String())
	}
	if set.TLS == nil {
		return u, nil
	}
	tlsConfig, err := api.ClientTLS(api.Credentials{
		Certificate: set.TLS.Certificate,
		Key:         set.TLS.Key,
		Authority:   set.TLS.Authority,
	})
	if err != nil {
		return nil, err
	}
	t.TLSClientConfig = tlsConfig
	u.scheme = "https"
	return u, nil
}

// requestSoon has the next request sent soon. It never blocks, and may be called from any goroutine.
func (u *upstream) requestSoon() {
	select {
	case u.urgent <- struct{}{}:
	default:
	}
}

// call sends a request to the replica that answered last. After an error the following one is called next.
func (u *upstream) call(ctx context.Context, r relaysession.Request) (a relaysession.Answer, err error) {
	body, err := json.Marshal(r)
	if err != nil {
		return a, fmt.Errorf("encode request: %w", err)
	}
	a, err = u.post(ctx, body)
	if err == nil {
		if !u.hasLeader {
			u.hasLeader = true
			slog.Info("relay.leader_found", "addr", u.addresses[u.next])
		}
		return a, nil
	}
	err = fmt.Errorf("%s: %w", u.addresses[u.next], err)
	u.next = (u.next + 1) % len(u.addresses)
	u.hasLeader = false
	return a, err
}

// post sends one request. The error is an *api.Error if the replica rejects it.
func (u *upstream) post(ctx context.Context, body []byte) (a relaysession.Answer, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := u.scheme + "://" + u.addresses[u.next] + relaysession.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := u.http.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = res.Body.Close() }() // the answer has been read by then
	stalled := time.AfterFunc(stallTimeout, cancel)
	defer stalled.Stop()
	text, err := io.ReadAll(io.LimitReader(progress{res.Body, stalled}, maxAnswer))
	if err != nil {
		return a, fmt.Errorf("read answer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		rejection := &api.Error{}
		if json.Unmarshal(text, rejection) != nil || rejection.Message == "" {
			rejection = &api.Error{Kind: api.Failed, Message: fmt.Sprintf("%s: %.200s", res.Status, text)}
		}
		return a, rejection
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return a, fmt.Errorf("decode answer: %w", err)
	}
	return a, nil
}

// progress resets a timer with each piece that is read.
type progress struct {
	source io.Reader
	timer  *time.Timer
}

// Read implements io.Reader.
func (p progress) Read(b []byte) (int, error) {
	n, err := p.source.Read(b)
	if n > 0 {
		p.timer.Reset(stallTimeout)
	}
	return n, err
}
