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

// authorize rejects callers that are not allowed and identifies all others. The name that a caller claims for itself is appended to the
// identity and marked as claimed.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := s.identify(r)
		if err != nil {
			slog.Warn("write.forbidden", "err", err)
			s.writeError(w, newRequestError(api.NotAllowed, "%v", err))
			return
		}
		if claimed := r.Header.Get(api.WhoHeader); isPrintableName(claimed) {
			name += " (says " + claimed + ")"
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, name)))
	})
}

// isPrintableName reports whether a claimed name can be recorded: it must consist of 1 to maxClaimedName printable ASCII characters.
func isPrintableName(name string) bool {
	notPrintable := func(c rune) bool { return c < ' ' || c > '~' }
	return name != "" && len(name) <= maxClaimedName && !strings.ContainsFunc(name, notPrintable)
}

// identify returns the name of a caller: the user behind a Unix socket, the common name in the client certificate, or otherwise the
// address. It returns an error if the caller is not allowed.
func (s *Server) identify(r *http.Request) (string, error) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if u, ok := conn.(*net.UnixConn); ok {
		return unixPeerName(u)
	}
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName, s.checkAddress(r.RemoteAddr)
	}
	return r.RemoteAddr, s.checkAddress(r.RemoteAddr)
}

// checkAddress returns an error if the remote address is not allowed to call the write side.
func (s *Server) checkAddress(remote string) error {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return err
	}
	ip := addr.Addr().Unmap()
	if !s.allowsAddress(ip) {
		return fmt.Errorf("%v is not allowed to call the write side", ip)
	}
	return nil
}

// allowsAddress reports whether an address may call the write side. Without a list of writers and without TLS, only loopback may.
func (s *Server) allowsAddress(ip netip.Addr) bool {
	set := s.settings.Write
	if set.Writers != nil {
		return set.Writers.Contains(ip)
	}
	return set.TLS != nil || ip.IsLoopback()
}

// unixPeerName returns the name of the user at the other end of a Unix socket, or the user ID if the name is unknown.
func unixPeerName(c *net.UnixConn) (string, error) {
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

// callerName returns the name of the caller that authorize has identified.
func callerName(r *http.Request) string {
	name, _ := r.Context().Value(callerKey{}).(string)
	return name
}

// writeIdentity identifies a write by the ID under which its caller may repeat it, and by its body.
func writeIdentity(r *http.Request, body []byte) store.Write {
	return store.Write{ID: r.Header.Get(api.WriteHeader), Body: body}
}
