package controlplane

import (
	"net"
	"strings"
	"testing"
	"time"
)

// TestMalformedWatchRequestsCloseTheirConnection checks that a malformed watch request closes only its own connection.
func TestMalformedWatchRequestsCloseTheirConnection(t *testing.T) {
	s, _ := start(t, settingsIn(t.TempDir()))
	addr, err := s.Addr()
	check(t, err)
	for text, want := range map[string]string{
		"GET /bulletins?after=0&patience=5000 HTTP/1.1\r\n\r\nGET /bulletins HTTP/1.1\r\n\r\n": "HTTP/1.1 400",
		"POST /bulletins HTTP/1.1\r\n\r\n":                   "HTTP/1.1 405",
		"nonsense\r\n\r\n":                                   "HTTP/1.1 400",
		"GET /bulletins?after=0&patience=1 HTTP/1.0\r\n\r\n": "HTTP/1.1 200",
	} {
		conn, err := net.Dial("tcp", addr.String())
		check(t, err)
		check(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		_, err = conn.Write([]byte(text))
		check(t, err)
		var got []byte
		for buf := make([]byte, 4096); ; {
			n, err := conn.Read(buf)
			if got = append(got, buf[:n]...); err != nil {
				break
			}
		}
		if !strings.HasPrefix(string(got), want) {
			t.Errorf("%q: %q", text, got)
		}
		check(t, conn.Close())
	}
	waitUntil(t, "all watchers are disconnected", func() bool { return s.watches.Count() == 0 })
}
