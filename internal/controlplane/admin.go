package controlplane

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// The write side: few callers, who are people and their tools, so that net/http serves them.

const (
	maxSmallBody  = 1 << 16
	barrierWithin = 2 * time.Second
)

// listenWrite opens the write side: a Unix socket, or TCP, which is beyond loopback only with TLS and client certificates.
func (b *Server) listenWrite() (err error) {
	set := b.set.Write
	switch {
	case set.Unix != "":
		// A socket that a killed board left is in the way; the store's lock tells that no other board lives.
		if info, err := os.Lstat(set.Unix); err == nil && info.Mode()&os.ModeSocket != 0 {
			os.Remove(set.Unix)
		}
		if b.write, err = net.Listen("unix", set.Unix); err == nil {
			err = os.Chmod(set.Unix, 0o600)
		}
	case set.TLS == nil && !set.TCP.Addr().IsLoopback():
		err = fmt.Errorf("%v is not loopback, and there is no TLS", set.TCP)
	default:
		b.write, err = net.Listen("tcp", set.TCP.String())
		if err == nil && set.TLS != nil {
			var c *tls.Config
			if c, err = serverTLS(set.TLS.Certificate, set.TLS.Key, set.TLS.Clients); err == nil {
				b.write = tls.NewListener(b.write, c)
			}
		}
	}
	if err != nil {
		return fmt.Errorf("write side: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/world", b.current(b.getWorld))
	mux.HandleFunc("GET /v1/roll", b.current(func(w http.ResponseWriter, _ *http.Request) { reply(w, b.membership.Members()) }))
	mux.HandleFunc("GET /v1/turns", b.current(func(w http.ResponseWriter, _ *http.Request) { reply(w, b.membership.Held()) }))
	mux.HandleFunc("GET /v1/signals", b.current(func(w http.ResponseWriter, _ *http.Request) { reply(w, b.membership.Signals()) }))
	mux.HandleFunc("GET /v1/adoption", b.current(b.getAdoption))
	mux.HandleFunc("GET /v1/history", b.current(b.getHistory))
	mux.HandleFunc("GET /v1/applies", b.current(b.getApplies))
	mux.HandleFunc("GET /v1/applies/{id}", b.current(b.getApply))
	mux.HandleFunc("GET /v1/applies/{id}/before", b.current(b.getBefore))
	mux.HandleFunc("POST /v1/applies", b.postApply)
	mux.HandleFunc("POST /v1/applies/{id}/{order}", b.postOrder)
	mux.HandleFunc("POST /v1/purges", b.postPurge)
	mux.HandleFunc("POST "+relaysession.Path, b.withRelays(b.postRelayLease))
	if b.group != nil {
		b.group.Mount(mux)
		mux.HandleFunc("GET /v1/copies", b.getCopies)
		mux.HandleFunc("POST /v1/copies", b.postCopies)
	}
	b.server = &http.Server{
		Handler: b.guard(mux), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    slog.NewLogLogger(slog.Default().Handler(), slog.LevelInfo),
	}
	return nil
}

func serverTLS(certificate, key, clients string) (*tls.Config, error) {
	own, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(clients)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", clients)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}, nil
}

// current has a reader answer with what was accepted up to now. In a group only the leader knows, and must prove that it
// leads; ?local=1 asks any copy for what it has.
func (b *Server) current(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if b.group != nil && r.URL.Query().Get("local") == "" {
			ctx, cancel := context.WithTimeout(r.Context(), barrierWithin)
			defer cancel()
			if err := b.group.Barrier(ctx); err != nil {
				b.failWith(w, store.ErrNotLeader)
				return
			}
		}
		next(w, r)
	}
}

// withRelays refuses calls of relays where the file does not let them in.
func (b *Server) withRelays(next http.HandlerFunc) http.HandlerFunc {
	if b.set.Relays {
		return next
	}
	return func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusForbidden, api.Error{Kind: api.NotAllowed, Message: "no relays are let in: (relays) is missing in (board ...)"})
	}
}

func (b *Server) getCopies(w http.ResponseWriter, _ *http.Request) { reply(w, b.group.Status()) }

func (b *Server) getAdoption(w http.ResponseWriter, r *http.Request) {
	no, err := strconv.ParseInt(r.URL.Query().Get("event"), 10, 64)
	if err != nil || no < 1 {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "event: a number from 1 on is wanted"})
		return
	}
	e, err := b.membership.Adoption(no)
	switch {
	case errors.Is(err, store.ErrNotLeader):
		b.failWith(w, err)
	case err != nil:
		fail(w, http.StatusNotFound, api.Error{Kind: api.NotFound, Message: err.Error()})
	default:
		reply(w, e)
	}
}

func (b *Server) postCopies(w http.ResponseWriter, r *http.Request) {
	var o api.ReplicaChange
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmallBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "order: " + err.Error()})
		return
	}
	if err := b.group.ChangeMembers(o); err != nil {
		b.failWith(w, err)
		return
	}
	slog.Info("copies.order", "do", o.Action, "name", o.Name, "by", o.Replacement, "who", who(r))
	reply(w, b.group.Status())
}

type (
	connKey struct{}
	whoKey  struct{}
)

// guard turns away who may not call, and finds out who calls: the user behind a Unix socket, the name in a client's
// certificate, or else the address. What a caller says of itself is kept beside that, marked as said.
func (b *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who, err := b.identify(r)
		if err != nil {
			slog.Warn("write.not_allowed", "err", err)
			fail(w, http.StatusForbidden, api.Error{Kind: api.NotAllowed, Message: err.Error()})
			return
		}
		if said := r.Header.Get(api.WhoHeader); said != "" && len(said) <= 64 && !strings.ContainsFunc(said, func(c rune) bool { return c < ' ' || c > '~' }) {
			who += " (says " + said + ")"
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), whoKey{}, who)))
	})
}

func (b *Server) identify(r *http.Request) (string, error) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if u, ok := conn.(*net.UnixConn); ok {
		return unixPeer(u)
	}
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName, b.allowedWriter(r.RemoteAddr)
	}
	return r.RemoteAddr, b.allowedWriter(r.RemoteAddr)
}

func (b *Server) allowedWriter(remote string) error {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return err
	}
	ip := addr.Addr().Unmap()
	if set := b.set.Write; set.Writers != nil && !set.Writers.Contains(ip) || set.Writers == nil && set.TLS == nil && !ip.IsLoopback() {
		return fmt.Errorf("%v may not write here", ip)
	}
	return nil
}

func unixPeer(c *net.UnixConn) (string, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return "", err
	}
	var cred *unix.Ucred
	var credErr error
	if err := raw.Control(func(fd uintptr) { cred, credErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); err != nil {
		return "", err
	}
	if credErr != nil {
		return "", credErr
	}
	uid := strconv.Itoa(int(cred.Uid))
	if u, err := user.LookupId(uid); err == nil {
		return u.Username, nil
	}
	return "uid " + uid, nil
}

func who(r *http.Request) string {
	s, _ := r.Context().Value(whoKey{}).(string)
	return s
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Info("write.reply_lost", "err", err)
	}
}

func fail(w http.ResponseWriter, status int, e api.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

// failWith answers with what an error says of itself.
func (b *Server) failWith(w http.ResponseWriter, err error) {
	e := api.Error{Kind: api.Failed, Message: err.Error()}
	status := http.StatusInternalServerError
	var refusal *apply.RejectedError
	if errors.As(err, &refusal) {
		e.Moved, e.LeaseHolder = refusal.Moved, refusal.Holder
	}
	var no *replica.RejectedError
	switch {
	case errors.Is(err, store.ErrNotLeader) || errors.Is(err, replica.ErrNotLeader):
		status, e.Kind = http.StatusMisdirectedRequest, api.NotLeader
		if b.group != nil {
			e.Leader = b.group.Status().Leader
		}
	case errors.Is(err, store.ErrOutcomeUnknown):
		status, e.Kind = http.StatusServiceUnavailable, api.OutcomeUnknown
	case errors.Is(err, store.ErrReused):
		status, e.Kind = http.StatusBadRequest, api.BadRequest
	case errors.As(err, &no) || errors.Is(err, replica.ErrBusy):
		status, e.Kind = http.StatusConflict, api.Rejected
	case errors.Is(err, apply.ErrStale):
		status, e.Kind = http.StatusConflict, api.Stale
	case errors.Is(err, apply.ErrBusy):
		status, e.Kind = http.StatusLocked, api.Busy
	case errors.Is(err, plan.ErrDamaged):
		status, e.Kind = http.StatusBadRequest, api.Damaged
	case errors.Is(err, plan.ErrNewer):
		status, e.Kind = http.StatusBadRequest, api.Newer
	case errors.Is(err, errNoApply):
		status, e.Kind = http.StatusNotFound, api.NotFound
	case errors.Is(err, apply.ErrEnded), errors.Is(err, apply.ErrNotPaused), errors.Is(err, apply.ErrNotRunning), errors.Is(err, apply.ErrFenced):
		status, e.Kind = http.StatusConflict, api.WrongState
	}
	fail(w, status, e)
}

func (b *Server) getWorld(w http.ResponseWriter, _ *http.Request) {
	world := b.World()
	out := api.State{Fleet: world.Dump(), Observed: world.Observed, NowMS: world.NowMS, Observer: b.observer.on(), Followers: b.watches.Count(), AcknowledgedUpTo: b.acknowledgedRevision()}
	err := b.store.View(func(v *store.View) (err error) {
		out.LeaseHolder, err = v.Holder()
		return err
	})
	if err != nil {
		b.failWith(w, err)
		return
	}
	reply(w, out)
}

func (b *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		after = 0
	}
	var out api.History
	err = b.store.View(func(v *store.View) (err error) {
		out.Events, err = v.Events(after, api.HistoryPage)
		return err
	})
	if err != nil {
		b.failWith(w, err)
		return
	}
	reply(w, out)
}

func (b *Server) getApplies(w http.ResponseWriter, _ *http.Request) {
	var out []apply.Record
	err := b.store.View(func(v *store.View) (err error) {
		out, err = v.Records()
		return err
	})
	if err != nil {
		b.failWith(w, err)
		return
	}
	for i := range out { // the states of steps are kept apart; a record's count is that of its last change
		if !out[i].Status.Ended() {
			if now, _, _, err := b.executor.look(out[i].ID); err == nil {
				out[i] = now
			}
		}
	}
	reply(w, out)
}

// writeOf is the id under which a caller may repeat a write, and what it is of.
func writeOf(r *http.Request, body []byte) store.Write {
	return store.Write{ID: r.Header.Get(api.WriteHeader), Body: body}
}

func applyID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0 // there is none
	}
	return id
}

func (b *Server) getApply(w http.ResponseWriter, r *http.Request) {
	record, p, steps, err := b.executor.look(applyID(r))
	if err != nil {
		b.failWith(w, err)
		return
	}
	out := api.Apply{Record: record, Steps: make([]api.Step, len(steps))}
	for i, s := range steps {
		out.Steps[i] = api.Step{ID: i + 1, What: p.Steps[i].String(), Thing: p.Steps[i].Thing(), Wait: p.Steps[i].Wait, StepState: s}
	}
	reply(w, out)
}

func (b *Server) getBefore(w http.ResponseWriter, r *http.Request) {
	var out fleet.DesiredState
	err := b.store.View(func(v *store.View) error {
		found, err := v.Record(applyID(r))
		if err != nil {
			return err
		}
		if found == nil {
			return errNoApply
		}
		out, err = v.DesiredBefore(found.ID)
		return err
	})
	if err != nil {
		b.failWith(w, err)
		return
	}
	reply(w, out)
}

func (b *Server) postApply(w http.ResponseWriter, r *http.Request) {
	file, err := io.ReadAll(http.MaxBytesReader(w, r.Body, plan.MaxBytes))
	if err != nil {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.Damaged, Message: "the plan did not come whole: " + err.Error()})
		return
	}
	p, err := plan.Decode(file)
	if err != nil {
		b.failWith(w, err)
		return
	}
	record, already, err := b.executor.submit(p, who(r), writeOf(r, file))
	if err != nil {
		b.failWith(w, err)
		return
	}
	reply(w, api.Accepted{Record: record, Already: already})
}

func (b *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	o := apply.Order(r.PathValue("order"))
	if o != apply.OrderPause && o != apply.OrderResume && o != apply.OrderCancel {
		fail(w, http.StatusNotFound, api.Error{Kind: api.NotFound, Message: fmt.Sprintf("no order is called %q", o)})
		return
	}
	record, err := b.executor.obey(applyID(r), o, who(r), writeOf(r, []byte(r.URL.Path)))
	if err != nil {
		b.failWith(w, err)
		return
	}
	reply(w, record)
}

func (b *Server) postPurge(w http.ResponseWriter, r *http.Request) {
	var p fleet.Purge
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSmallBody))
	if err != nil {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "purge: " + err.Error()})
		return
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "purge: " + err.Error()})
		return
	}
	var out api.Purged
	var refused error
	write := writeOf(r, body)
	err = b.store.Do(func(t *store.Tx) (err error) {
		if done, err := t.RepeatedWrite(write, &out); done || err != nil {
			return err
		}
		p := p // it may be tried again
		p.IssuedMS = t.NowMS
		e := fleet.Event{No: t.Fleet().Revision + 1, Who: who(r), Purge: &p}
		if refused = t.Fleet().Check(e); refused != nil {
			return refused
		}
		out.IssuedMS = p.IssuedMS
		if out.Revision, err = t.Append(e); err != nil {
			return err
		}
		return t.RememberWrite(write, out)
	})
	switch {
	case refused != nil:
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: refused.Error()})
	case err != nil:
		b.failWith(w, err)
	default:
		reply(w, out)
	}
}
