package controlplane

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet/plan"
)

const (
	maxRequestBody    = 1 << 16 // bytes, for a purge or a replica change
	barrierTimeout    = 2 * time.Second
	readHeaderTimeout = 10 * time.Second
	writeIdleTimeout  = time.Minute
)

// listenWrite opens the listener of the write side and creates its HTTP server.
func (s *Server) listenWrite() error {
	var err error
	if s.settings.Write.Unix != "" {
		err = s.listenUnix(s.settings.Write.Unix)
	} else {
		err = s.listenTCP()
	}
	if err != nil {
		return fmt.Errorf("write side: %w", err)
	}
	s.writeServer = &http.Server{
		Handler:           s.authorize(s.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       writeIdleTimeout,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelInfo),
	}
	return nil
}

// listenUnix opens a Unix socket that only the user of the process may write to. It first removes the stale socket of a killed process;
// the store's lock ensures that no other process is using it.
func (s *Server) listenUnix(path string) (err error) {
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // if the socket still exists, Listen reports it
	}
	if s.writeListener, err = net.Listen("unix", path); err != nil {
		return err
	}
	return os.Chmod(path, 0o600)
}

// listenTCP opens a TCP port. An address other than loopback requires TLS with client certificates.
func (s *Server) listenTCP() (err error) {
	set := s.settings.Write
	if set.TLS == nil && !set.TCP.Addr().IsLoopback() {
		return fmt.Errorf("%v is not loopback and TLS is not configured", set.TCP)
	}
	if s.writeListener, err = net.Listen("tcp", set.TCP.String()); err != nil || set.TLS == nil {
		return err
	}
	config, err := api.ServerTLS(api.Credentials{Certificate: set.TLS.Certificate, Key: set.TLS.Key, Authority: set.TLS.Clients})
	if err != nil {
		return err
	}
	s.writeListener = tls.NewListener(s.writeListener, config)
	return nil
}

// routes maps the paths of the write side to their handlers.
func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/world", s.linearizable(jsonHandler(s, s.getState)))
	mux.HandleFunc("GET /v1/roll", s.linearizable(jsonHandler(s, s.getMembers)))
	mux.HandleFunc("GET /v1/turns", s.linearizable(jsonHandler(s, s.getQuotas)))
	mux.HandleFunc("GET /v1/signals", s.linearizable(jsonHandler(s, s.getHealth)))
	mux.HandleFunc("GET /v1/adoption", s.linearizable(jsonHandler(s, s.getAdoption)))
	mux.HandleFunc("GET /v1/history", s.linearizable(jsonHandler(s, s.getHistory)))
	mux.HandleFunc("GET /v1/applies", s.linearizable(jsonHandler(s, s.getApplies)))
	mux.HandleFunc("GET /v1/applies/{id}", s.linearizable(jsonHandler(s, s.getApply)))
	mux.HandleFunc("GET /v1/applies/{id}/before", s.linearizable(jsonHandler(s, s.getDesiredBefore)))
	mux.HandleFunc("POST /v1/applies", limitBody(plan.MaxBytes, jsonHandler(s, s.postPlan)))
	mux.HandleFunc("POST /v1/applies/{id}/{order}", jsonHandler(s, s.postOrder))
	mux.HandleFunc("POST /v1/purges", limitBody(maxRequestBody, jsonHandler(s, s.postPurge)))
	mux.HandleFunc("POST "+relaysession.Path, s.requireRelays(s.postRelayLease))
	if s.group != nil {
		s.group.Mount(mux)
		mux.HandleFunc("GET /v1/copies", jsonHandler(s, s.getReplicas))
		mux.HandleFunc("POST /v1/copies", limitBody(maxRequestBody, jsonHandler(s, s.postReplicaChange)))
	}
	return mux
}

// jsonHandler returns a handler that sends the result of f as JSON, or its error.
func jsonHandler[T any](s *Server, f func(*http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := f(r)
		if err != nil {
			s.writeError(w, err)
			return
		}
		writeJSON(w, out)
	}
}

// linearizable makes a read linearizable: the answer includes every change that was accepted before the call. In a group only the
// leader can serve such a read, after a barrier has confirmed its leadership. With ?local=1 any replica answers from its local state.
func (s *Server) linearizable(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.group != nil && r.URL.Query().Get("local") == "" {
			ctx, cancel := context.WithTimeout(r.Context(), barrierTimeout)
			defer cancel()
			if err := s.group.Barrier(ctx); err != nil {
				s.writeError(w, store.ErrNotLeader)
				return
			}
		}
		next(w, r)
	}
}

// requireRelays rejects the requests of relays unless the operator configuration allows relays.
func (s *Server) requireRelays(next http.HandlerFunc) http.HandlerFunc {
	if s.settings.Relays {
		return next
	}
	return func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, newRequestError(api.NotAllowed, "relays are not allowed: (relays) is missing in (board ...)"))
	}
}
