package controlplane

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os/user"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/store"
)

const maxClaimedName = 64 // bytes

// Keys of a request's context.
type (
	connKey   struct{} // the net.Conn of the request
	callerKey struct{} // the name of the caller, a string
)

// authorize rejects who may not call, and identifies who does. What a caller says of itself is recorded beside that, and marked.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := s.identify(r)
		if err != nil {
			slog.Warn("write.forbidden", "err", err)
			s.writeError(w, rejectRequest(api.NotAllowed, "%v", err))
			return
		}
		if claimed := r.Header.Get(api.WhoHeader); isPrintableName(claimed) {
			name += " (says " + claimed + ")"
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, name)))
	})
}

// isPrintableName tells whether a name that a caller gives itself can be recorded.
func isPrintableName(name string) bool {
	notPrintable := func(c rune) bool { return c < ' ' || c > '~' }
	return name != "" && len(name) <= maxClaimedName && !strings.ContainsFunc(name, notPrintable)
}

// identify gives the name of a caller: the user behind a Unix socket, the name in the client's certificate, or else the address.
// The error tells that the caller may not call.
func (s *Server) identify(r *http.Request) (string, error) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if u, ok := conn.(*net.UnixConn); ok {
		return unixPeer(u)
	}
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName, s.checkAddress(r.RemoteAddr)
	}
	return r.RemoteAddr, s.checkAddress(r.RemoteAddr)
}

// checkAddress gives an error for an address that may not call.
func (s *Server) checkAddress(remote string) error {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return err
	}
	ip := addr.Addr().Unmap()
	if !s.allowsAddress(ip) {
		return fmt.Errorf("%v may not write here", ip)
	}
	return nil
}

// allowsAddress tells whether an address may call. Without a list of writers, and without certificates, only loopback may.
func (s *Server) allowsAddress(ip netip.Addr) bool {
	set := s.settings.Write
	if set.Writers != nil {
		return set.Writers.Contains(ip)
	}
	return set.TLS != nil || ip.IsLoopback()
}

// unixPeer is the name of the user behind a Unix socket.
func unixPeer(c *net.UnixConn) (string, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return "", err
	}
	var cred *unix.Ucred
	var credErr error
	err = raw.Control(func(fd uintptr) {
		cred, credErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil {
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

// callerOf is the name of who sent a request.
func callerOf(r *http.Request) string {
	name, _ := r.Context().Value(callerKey{}).(string)
	return name
}

// writeOf identifies a write by the ID under which its caller may repeat it, and by its content.
func writeOf(r *http.Request, body []byte) store.Write {
	return store.Write{ID: r.Header.Get(api.WriteHeader), Body: body}
}
