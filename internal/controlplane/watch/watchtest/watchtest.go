// Package watchtest provides a client of a watch server for tests. The client behaves like a director.
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

// Client is the connection of one director. It is not safe for concurrent use.
type Client struct {
	Name     string
	Revision int64 // last revision that it has
	conn     net.Conn
	in       *bufio.Reader
}

// Dial connects a director with the given name. All requests of the client must complete within the given time, starting now.
func Dial(addr netip.AddrPort, name string, within time.Duration) (*Client, error) {
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &Client{Name: name, conn: conn, in: bufio.NewReader(conn)}, conn.SetDeadline(time.Now().Add(within))
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() } // the server may have closed the connection

// SendRequest sends a request for the events after the last one. wait is how long the server may wait for events.
func (c *Client) SendRequest(wait time.Duration) error {
	_, err := fmt.Fprintf(c.conn, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\n%s: {\"name\":%q,\"inc\":\"1\",\"roll\":%d}\r\n\r\n",
		c.Revision, wait.Milliseconds(), discovery.AnnounceHeader, c.Name, c.Revision)
	return err
}

// ReadAnswer reads the answer to a request. status is the HTTP status.
func (c *Client) ReadAnswer() (status int, response discovery.WatchResponse, err error) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, response, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, response, err
	}
	response, err = discovery.Decode(body)
	c.Revision = max(c.Revision, response.LastRevision)
	return res.StatusCode, response, err
}

// Poll sends a request and reads the answer.
func (c *Client) Poll(wait time.Duration) (status int, response discovery.WatchResponse, err error) {
	if err := c.SendRequest(wait); err != nil {
		return 0, response, err
	}
	return c.ReadAnswer()
}
