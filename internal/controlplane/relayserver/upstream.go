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
	// responseHeaderTimeout is the maximum time until the response header arrives. A later answer would not grant a lease.
	responseHeaderTimeout = relaysession.Lease
	// stallTimeout is the maximum time between two reads of a response body, which may be a large snapshot.
	stallTimeout = 500 * time.Millisecond
	maxAnswer    = 256 << 20 // bytes
)

// upstream calls the replicas' write sides and finds the leader among them. requestSoon may be called from any goroutine;
// everything else belongs to a single goroutine.
type upstream struct {
	http      *http.Client
	scheme    string
	addresses []string
	next      int           // index of the address to call next
	hasLeader bool          // the last call succeeded
	urgent    chan struct{} // holds a value if a request is to be sent soon
}

// newUpstream returns an upstream for the configured replicas. It reads the TLS keys if the configuration names any.
func newUpstream(settings operatorconfig.Relay) (*upstream, error) {
	t := &http.Transport{
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
		ResponseHeaderTimeout: responseHeaderTimeout,
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	u := &upstream{http: &http.Client{Transport: t}, scheme: "http", urgent: make(chan struct{}, 1)}
	for _, address := range settings.Upstream {
		u.addresses = append(u.addresses, address.String())
	}
	if settings.TLS == nil {
		return u, nil
	}
	tlsConfig, err := api.ClientTLS(api.Credentials{
		Certificate: settings.TLS.Certificate,
		Key:         settings.TLS.Key,
		Authority:   settings.TLS.Authority,
	})
	if err != nil {
		return nil, err
	}
	t.TLSClientConfig = tlsConfig
	u.scheme = "https"
	return u, nil
}

// requestSoon causes the next request to be sent soon. It never blocks and may be called from any goroutine.
func (u *upstream) requestSoon() {
	select {
	case u.urgent <- struct{}{}:
	default:
	}
}

// call sends a request to the replica that answered last. After an error, the next call goes to the next replica.
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

// post sends one request. It returns an *api.Error if the replica rejects the request.
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
	defer func() { _ = res.Body.Close() }() // the body has been read by then
	stallTimer := time.AfterFunc(stallTimeout, cancel)
	defer stallTimer.Stop()
	responseBody, err := io.ReadAll(io.LimitReader(progressReader{res.Body, stallTimer}, maxAnswer))
	if err != nil {
		return a, fmt.Errorf("read answer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		rejection := &api.Error{}
		if json.Unmarshal(responseBody, rejection) != nil || rejection.Message == "" {
			rejection = &api.Error{Kind: api.Failed, Message: fmt.Sprintf("%s: %.200s", res.Status, responseBody)}
		}
		return a, rejection
	}
	if err := json.Unmarshal(responseBody, &a); err != nil {
		return a, fmt.Errorf("decode answer: %w", err)
	}
	return a, nil
}

// progressReader resets a timer whenever it reads data.
type progressReader struct {
	source io.Reader
	timer  *time.Timer
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.source.Read(b)
	if n > 0 {
		p.timer.Reset(stallTimeout)
	}
	return n, err
}
