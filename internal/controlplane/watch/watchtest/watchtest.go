// Package watchtest calls a watch server as a director does, for tests.
package watchtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/protocol/discovery"
)

// Client is a director's connection. It is not safe for concurrent use.
type Client struct {
	Name string
	Last int64 // the last event that it has
	conn net.Conn
	in   *bufio.Reader
}

// Dial connects; all calls of the client are over within a time.
func Dial(addr netip.AddrPort, name string, within time.Duration) (*Client, error) {
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &Client{Name: name, conn: conn, in: bufio.NewReader(conn)}, conn.SetDeadline(time.Now().Add(within))
}

// Close ends the connection.
func (c *Client) Close() { c.conn.Close() }

// Ask asks for what comes after the last event; the server may wait for it for a time.
func (c *Client) Ask(wait time.Duration) error {
	_, err := fmt.Fprintf(c.conn, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\n%s: {\"name\":%q,\"inc\":\"1\",\"roll\":%d}\r\n\r\n",
		c.Last, wait.Milliseconds(), discovery.AnnounceHeader, c.Name, c.Last)
	return err
}

// Answer reads the answer to what was asked.
func (c *Client) Answer() (status int, feed discovery.WatchResponse, err error) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, feed, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, feed, err
	}
	feed, err = discovery.Decode(body)
	c.Last = max(c.Last, feed.LastRevision)
	return res.StatusCode, feed, err
}

// Poll asks and reads the answer.
func (c *Client) Poll(wait time.Duration) (status int, feed discovery.WatchResponse, err error) {
	if err := c.Ask(wait); err != nil {
		return 0, feed, err
	}
	return c.Answer()
}
