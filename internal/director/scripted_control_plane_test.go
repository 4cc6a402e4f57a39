package director

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// scriptedControlPlane is a control plane whose polls are accepted by the test, which writes the responses byte by byte.
type scriptedControlPlane struct {
	t        *testing.T
	listener net.Listener
}

func newScriptedControlPlane(t *testing.T) *scriptedControlPlane {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { _ = ln.Close() }) // it may be closed already
	return &scriptedControlPlane{t, ln}
}

func (s *scriptedControlPlane) addr() string { return s.listener.Addr().String() }

// acceptPoll accepts the director's next connection and reads its poll, which must request the events after a revision.
func (s *scriptedControlPlane) acceptPoll(after int) *scriptedConn {
	s.t.Helper()
	must(s.t, s.listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)))
	conn, err := s.listener.Accept()
	must(s.t, err)
	p := newScriptedConn(s.t, conn)
	p.wantPoll(after)
	return p
}

// watchResponse returns a response whose events are numbered consecutively from a revision.
func watchResponse(from int, events ...string) string {
	items := make([]string, len(events))
	for i, e := range events {
		items[i] = fmt.Sprintf(`{"no":%d,%s}`, from+i, e)
	}
	body := fmt.Sprintf(`{"no":%d,"items":[%s]}`, from+len(events)-1, strings.Join(items, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func endpointDelta(seq int, hosts ...string) string {
	return fmt.Sprintf(`"roster":{"seq":%d,"whole":false,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}
