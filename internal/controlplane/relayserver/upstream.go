package relayserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/operatorconfig"
)

const (
	renewInterval = 50 * time.Millisecond // between two requests, where nothing is urgent
	hurryInterval = 20 * time.Millisecond // between two requests, at least
	retryInterval = 25 * time.Millisecond // after all replicas have been tried
	dialTimeout   = 200 * time.Millisecond
	headTimeout   = relaysession.Lease     // for an answer to begin: a later one carries no lease
	stallTimeout  = 500 * time.Millisecond // for each further piece of an answer, which may be a large snapshot
	maxAnswer     = 256 << 20              // bytes
)

// upstream calls the write sides of the replicas and finds the one that leads. Its methods but hurry belong to one goroutine.
type upstream struct {
	http   *http.Client
	scheme string
	names  []string // addresses
	at     int      // the one that is called next
	leads  bool     // that one answered the last call
	urgent chan struct{}
}

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
		u.names = append(u.names, address.String())
	}
	if set.TLS == nil {
		return u, nil
	}
	var err error
	t.TLSClientConfig, err = api.ClientTLS(api.Credentials{Certificate: set.TLS.Certificate, Key: set.TLS.Key, Authority: set.TLS.Authority})
	u.scheme = "https"
	return u, err
}

// hurry has the next request made soon. It never blocks, and may be called from any goroutine.
func (u *upstream) hurry() {
	select {
	case u.urgent <- struct{}{}:
	default:
	}
}

// call makes a request of the replica that answered last. After an error the next one is called next.
func (u *upstream) call(ctx context.Context, r relaysession.Request) (a relaysession.Answer, err error) {
	body, err := json.Marshal(r)
	if err != nil {
		return a, err
	}
	a, err = u.post(ctx, body)
	if err == nil {
		if !u.leads {
			u.leads = true
			slog.Info("relay.leader", "addr", u.names[u.at])
		}
		return a, nil
	}
	err = fmt.Errorf("%s: %w", u.names[u.at], err)
	u.at = (u.at + 1) % len(u.names)
	u.leads = false
	return a, err
}

func (u *upstream) post(ctx context.Context, body []byte) (a relaysession.Answer, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.scheme+"://"+u.names[u.at]+relaysession.Path, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := u.http.Do(req)
	if err != nil {
		return a, err
	}
	defer res.Body.Close()
	stalled := time.AfterFunc(stallTimeout, cancel)
	defer stalled.Stop()
	text, err := io.ReadAll(io.LimitReader(progress{res.Body, stalled}, maxAnswer))
	if err != nil {
		return a, err
	}
	if res.StatusCode != http.StatusOK {
		refused := &api.Error{}
		if json.Unmarshal(text, refused) != nil || refused.Message == "" {
			refused = &api.Error{Kind: api.Failed, Message: fmt.Sprintf("%s: %.200s", res.Status, text)}
		}
		return a, refused
	}
	return a, json.Unmarshal(text, &a)
}

// progress puts a timer off with each piece that is read.
type progress struct {
	from  io.Reader
	timer *time.Timer
}

func (p progress) Read(b []byte) (int, error) {
	n, err := p.from.Read(b)
	if n > 0 {
		p.timer.Reset(stallTimeout)
	}
	return n, err
}

// renew keeps the session with the leader until the loop has ended.
func (r *Server) renew() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-r.ended
		cancel()
	}()
	failures := 0
	for {
		began := time.Now()
		again, err := r.exchange(ctx)
		if err != nil {
			failures++
			logFailure(r.set.Name, failures, len(r.upstream.names), err)
			if failures%len(r.upstream.names) == 0 && !r.pause(retryInterval, nil) {
				return
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		failures = 0
		if again {
			r.upstream.hurry()
		}
		if !r.pause(hurryInterval-time.Since(began), nil) || !r.pause(renewInterval-time.Since(began), r.upstream.urgent) {
			return
		}
	}
}

// logFailure logs a call that failed where all replicas have failed in a row, once for each outage.
func logFailure(name string, failures, replicas int, err error) {
	if failures == replicas {
		slog.Warn("relay.no_leader", "name", name, "err", err)
	}
}

// pause waits for a time, or until a request is urgent if it is given that channel. It is false once the loop has ended.
func (r *Server) pause(length time.Duration, urgent <-chan struct{}) bool {
	timer := time.NewTimer(max(0, length))
	defer timer.Stop()
	select {
	case <-r.ended:
		return false
	case <-urgent:
	case <-timer.C:
	}
	return true
}

var errEnded = errors.New("the relay has ended")

// exchange makes one request and takes its answer in. It tells whether the next one is to be made at once.
func (r *Server) exchange(ctx context.Context) (again bool, err error) {
	asked := replicas.Now() // the lease counts from before the request is made
	request, ok := onLoop(r, r.request)
	if !ok {
		return false, errEnded
	}
	answer, err := r.upstream.call(ctx, request)
	if err != nil {
		return false, err
	}
	again, ok = onLoop(r, func() bool { return r.take(answer, asked) })
	if !ok {
		return false, errEnded
	}
	return again, nil
}

// onLoop runs a function on the loop and gives its result; false if the loop has ended.
func onLoop[T any](r *Server, f func() T) (result T, ok bool) {
	done := make(chan T, 1)
	r.loop.Post(func() { done <- f() })
	select {
	case result = <-done:
		return result, true
	case <-r.ended:
		return result, false
	}
}
