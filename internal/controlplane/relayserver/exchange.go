package relayserver

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/controlplane/replicas"
)

const (
	renewInterval  = 50 * time.Millisecond // between two requests if none is urgent
	urgentInterval = 20 * time.Millisecond // minimum time between two requests
	retryInterval  = 25 * time.Millisecond // after each round in which all replicas failed
)

// errStopped is returned by exchange after the loop has stopped.
var errStopped = errors.New("the relay has stopped")

// maintainSession sends requests to the leader until the loop has stopped.
func (s *Server) maintainSession() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-s.loopEnded
		cancel()
	}()
	failures := 0
	for {
		startedAt := time.Now()
		immediate, err := s.exchange(ctx)
		if err != nil {
			failures++
			logFailure(s.settings.Name, failures, len(s.upstream.addresses), err)
			if failures%len(s.upstream.addresses) == 0 && !s.pause(retryInterval, nil) {
				return
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		failures = 0
		if immediate {
			s.upstream.requestSoon()
		}
		if !s.pause(urgentInterval-time.Since(startedAt), nil) || !s.pause(renewInterval-time.Since(startedAt), s.upstream.urgent) {
			return
		}
	}
}

// logFailure logs an error once per outage, after every replica has failed in a row.
func logFailure(name string, failures, replicas int, err error) {
	if failures == replicas {
		slog.Warn("relay.leader_lost", "name", name, "err", err)
	}
}

// pause waits for the given time, or until a value arrives on urgent; urgent may be nil. It returns false once the loop has
// stopped.
func (s *Server) pause(length time.Duration, urgent <-chan struct{}) bool {
	timer := time.NewTimer(max(0, length))
	defer timer.Stop()
	select {
	case <-s.loopEnded:
		return false
	case <-urgent:
	case <-timer.C:
	}
	return true
}

// exchange sends one request and applies its answer. It reports whether the next request should be sent immediately.
func (s *Server) exchange(ctx context.Context) (immediate bool, err error) {
	requestedAt := replicas.Now() // the lease starts before the request is sent
	request, ok := runOnLoop(s, s.request)
	if !ok {
		return false, errStopped
	}
	answer, err := s.upstream.call(ctx, request)
	if err != nil {
		return false, err
	}
	immediate, ok = runOnLoop(s, func() bool { return s.applyAnswer(answer, requestedAt) })
	if !ok {
		return false, errStopped
	}
	return immediate, nil
}

// runOnLoop runs f on the loop and returns its result. ok is false if the loop has stopped.
func runOnLoop[T any](s *Server, f func() T) (result T, ok bool) {
	done := make(chan T, 1)
	s.loop.Post(func() { done <- f() })
	select {
	case result = <-done:
		return result, true
	case <-s.loopEnded:
		return result, false
	}
}
