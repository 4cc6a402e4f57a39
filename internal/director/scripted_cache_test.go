package director

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// fullListenerCache is a cache whose accept queue is full, so that new connections are not established.
type fullListenerCache struct {
	*scriptedCache
	fillers []net.Conn
}

func newFullListenerCache(t *testing.T) *fullListenerCache {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must(t, err)
	must(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(t, unix.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f)
	must(t, f.Close())
	must(t, err)
	t.Cleanup(func() { _ = ln.Close() }) // it may be closed already
	full := &fullListenerCache{scriptedCache: &scriptedCache{t, ln}}
	// The kernel decides how many connections the queue holds.
	for range 8 {
		conn, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return full
		}
		t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
		full.fillers = append(full.fillers, conn)
	}
	t.Fatal("the queue is never full")
	return nil
}

// acceptNext empties the queue and accepts the director's connection.
func (f *fullListenerCache) acceptNext() *scriptedConn {
	f.t.Helper()
	for range f.fillers {
		conn, err := f.listener.Accept()
		must(f.t, err)
		must(f.t, conn.Close())
	}
	return f.accept()
}

// scriptedCache is a cache whose connections are accepted and whose requests are answered by the test.
type scriptedCache struct {
	t        *testing.T
	listener net.Listener
}

func newScriptedCache(t *testing.T) *scriptedCache {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { _ = ln.Close() }) // it may be closed already
	return &scriptedCache{t, ln}
}

func (c *scriptedCache) host(name, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"west","class":"std","health":%q,"share":1}`, name, c.listener.Addr(), health)
}

func (c *scriptedCache) accept() *scriptedConn {
	c.t.Helper()
	must(c.t, c.listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)))
	conn, err := c.listener.Accept()
	must(c.t, err)
	p := newScriptedConn(c.t, conn)
	p.commands = make(chan []string, 4096)
	go p.serve()
	return p
}
