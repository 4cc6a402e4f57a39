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
	maxRequestBody    = 1 << 16 // bytes, of a purge or a change of replicas
	barrierTimeout    = 2 * time.Second
	readHeaderTimeout = 10 * time.Second
	writeIdleTimeout  = time.Minute
)

// listenWrite opens the write side.
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

// listenUnix opens a Unix socket that only the user of the process may write to. The socket of a killed process is in the way and is
// removed: the store's lock shows that no other process lives.
func (s *Server) listenUnix(path string) (err error) {
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // Listen reports it if the socket is still there
	}
	if s.writeListener, err = net.Listen("unix", path); err != nil {
		return err
	}
	return os.Chmod(path, 0o600)
}

// listenTCP opens a TCP port. Beyond loopback it takes only callers with a client certificate.
func (s *Server) listenTCP() (err error) {
	set := s.settings.Write
	if set.TLS == nil && !set.TCP.Addr().IsLoopback() {
		return fmt.Errorf("%v is not loopback, and there is no TLS", set.TCP)
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
	mux.HandleFunc("GET /v1/world", s.current(answer(s, s.getState)))
	mux.HandleFunc("GET /v1/roll", s.current(answer(s, s.getMembers)))
	mux.HandleFunc("GET /v1/turns", s.current(answer(s, s.getQuotas)))
	mux.HandleFunc("GET /v1/signals", s.current(answer(s, s.getHealth)))
	mux.HandleFunc("GET /v1/adoption", s.current(answer(s, s.getAdoption)))
	mux.HandleFunc("GET /v1/history", s.current(answer(s, s.getHistory)))
	mux.HandleFunc("GET /v1/applies", s.current(answer(s, s.getApplies)))
	mux.HandleFunc("GET /v1/applies/{id}", s.current(answer(s, s.getApply)))
	mux.HandleFunc("GET /v1/applies/{id}/before", s.current(answer(s, s.getDesiredBefore)))
	mux.HandleFunc("POST /v1/applies", limitBody(plan.MaxBytes, answer(s, s.postPlan)))
	mux.HandleFunc("POST /v1/applies/{id}/{order}", answer(s, s.postOrder))
	mux.HandleFunc("POST /v1/purges", limitBody(maxRequestBody, answer(s, s.postPurge)))
	mux.HandleFunc("POST "+relaysession.Path, s.withRelays(s.postRelayLease))
	if s.group != nil {
		s.group.Mount(mux)
		mux.HandleFunc("GET /v1/copies", answer(s, s.getReplicas))
		mux.HandleFunc("POST /v1/copies", limitBody(maxRequestBody, answer(s, s.postReplicaChange)))
	}
	return mux
}

// answer makes a handler that sends what a function returns, or its error.
func answer[T any](s *Server, f func(*http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := f(r)
		if err != nil {
			s.writeError(w, err)
			return
		}
		writeJSON(w, out)
	}
}

// current makes a read linearizable: it answers with everything that was accepted before the call. In a group only the leader can,
// and it first proves that it leads. With ?local=1 any replica answers with what it has.
func (s *Server) current(next http.HandlerFunc) http.HandlerFunc {
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

// withRelays rejects requests of relays where the operator's file does not allow them.
func (s *Server) withRelays(next http.HandlerFunc) http.HandlerFunc {
	if s.settings.Relays {
		return next
	}
	return func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, rejectRequest(api.NotAllowed, "no relays are let in: (relays) is missing in (board ...)"))
	}
}
