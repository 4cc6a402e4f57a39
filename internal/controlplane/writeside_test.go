package controlplane

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// TestForbiddenCallersAreRejected checks that callers are rejected by address, both at the watch port and at the write side, and that a
// write side on an address other than loopback is rejected without TLS.
func TestForbiddenCallersAreRejected(t *testing.T) {
	set := settingsIn(t.TempDir())
	set.Watchers = prefixes("10.0.0.0/8")
	s, _ := start(t, set)
	addr, err := s.Addr()
	check(t, err)
	res, err := http.Get("http://" + addr.String() + "/bulletins?after=0&patience=1")
	check(t, err)
	check(t, res.Body.Close())
	if res.StatusCode != http.StatusForbidden {
		t.Error(res.Status)
	}
	set = settingsIn(t.TempDir())
	set.Write = operatorconfig.Write{TCP: loopback(), Writers: prefixes("10.0.0.0/8")}
	s, _ = start(t, set)
	res, err = http.Get("http://" + s.WriteAddr().String() + "/v1/world")
	check(t, err)
	check(t, res.Body.Close())
	if res.StatusCode != http.StatusForbidden {
		t.Error(res.Status)
	}
	set = settingsIn(t.TempDir())
	set.Write = operatorconfig.Write{TCP: nonLoopback()}
	if _, err := New(set, Options{}); err == nil || !strings.Contains(err.Error(), "not loopback") {
		t.Error(err)
	}
}

// TestCallerIsRecorded checks that every change records the name by which the caller was identified, followed by the name that the
// caller claims for itself.
func TestCallerIsRecorded(t *testing.T) {
	set := settingsIn(t.TempDir())
	_, c := start(t, set)
	_, err := client(t, set, "anna").Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	h, err := c.History(0)
	check(t, err)
	if len(h.Events) != 1 || !strings.HasSuffix(h.Events[0].Who, "(says anna)") || strings.HasPrefix(h.Events[0].Who, " ") {
		t.Errorf("%+v", h.Events)
	}
	if _, err = c.Purge(fleet.Purge{Object: "xyz"}); err == nil {
		t.Error("an invalid purge was accepted")
	}
}

// FuzzWriteSide sends arbitrary bodies to the write side. None may cause a server error, and every accepted purge must be in the event
// log.
func FuzzWriteSide(f *testing.F) {
	s := startServer(f, settingsIn(f.TempDir()))
	f.Add("/v1/purges", []byte(`{"group":3}`))
	f.Add("/v1/applies", []byte("stairvane-plan 1 0 x\n"))
	f.Add("/v1/applies/1/pause", []byte{})
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \x00%?#") {
			return
		}
		before := s.store.Fleet().Revision
		w := httptest.NewRecorder()
		r, err := http.NewRequest("POST", "http://board/v1/purges", strings.NewReader(string(body)))
		if err != nil {
			return
		}
		r.URL.Path = path
		conn, other := net.Pipe()
		defer func() { check(t, errors.Join(conn.Close(), other.Close())) }()
		r.RemoteAddr = "127.0.0.1:1"
		s.writeServer.Handler.ServeHTTP(w, r.WithContext(context.WithValue(context.Background(), connKey{}, conn)))
		if w.Code >= 500 || w.Code == 200 && path == "/v1/purges" && s.store.Fleet().Revision == before {
			t.Errorf("%s %q: %d %s", path, body, w.Code, w.Body)
		}
	})
}
