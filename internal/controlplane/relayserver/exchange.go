package relayserver

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/controlplane/replicas"
)

const (
	renewInterval  = 50 * time.Millisecond // from one request to the next, where nothing is urgent
	urgentInterval = 20 * time.Millisecond // from one request to the next, at least
	retryInterval  = 25 * time.Millisecond // after all replicas have failed in a row
)

// errEnded is the error of an exchange after the loop has ended.
var errEnded = errors.New("the relay has ended")

// keepSession keeps the session with the leader until the loop has ended.
func (s *Server) keepSession() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-s.loopEnded
		cancel()
	}()
	failures := 0
	for {
		began := time.Now()
		again, err := s.exchange(ctx)
		if err != nil {
			failures++
			logFailure(s.set.Name, failures, len(s.upstream.addresses), err)
			if failures%len(s.upstream.addresses) == 0 && !s.pause(retryInterval, nil) {
				return
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		failures = 0
		if again {
			s.upstream.requestSoon()
		}
		if !s.pause(urgentInterval-time.Since(began), nil) || !s.pause(renewInterval-time.Since(began), s.upstream.urgent) {
			return
		}
	}
}

// logFailure logs an error once for each outage: when all replicas have failed in a row.
func logFailure(name string, failures, replicas int, err error) {
	if failures == replicas {
		slog.Warn("relay.leader_lost", "name", name, "err", err)
	}
}

// pause waits for a time, or until urgent has a value unless it is nil. It returns false once the loop has ended.
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

// exchange sends one request and applies its answer. It reports whether the next one is to be sent at once.
func (s *Server) exchange(ctx context.Context) (again bool, err error) {
	requestedAt := replicas.Now() // the lease counts from before the request
	request, ok := onLoop(s, s.request)
	if !ok {
		return false, errEnded
	}
	answer, err := s.upstream.call(ctx, request)
	if err != nil {
		return false, err
	}
	again, ok = onLoop(s, func() bool { return s.applyAnswer(answer, requestedAt) })
	if !ok {
		return false, errEnded
	}
	return again, nil
}

// onLoop runs a function on the loop and returns its result; false if the loop has ended.
func onLoop[T any](r *Server, f func() T) (result T, ok bool) {
	done := make(chan T, 1)
	r.loop.Post(func() { done <- f() })
	select {
	case result = <-done:
		return result, true
	case <-r.loopEnded:
		return result, false
	}
}
