package routing

import (
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// benchmarkDialer records the connections being established and the connection that got the last request.
type benchmarkDialer struct {
	connecting []ConnHandler
	last       *benchmarkConn
}

type benchmarkConn struct {
	dialer    *benchmarkDialer
	handler   ConnHandler
	requestID string
}

func (d *benchmarkDialer) Dial(_ string, _ time.Duration, handler ConnHandler) (Conn, error) {
	d.connecting = append(d.connecting, handler)
	return &benchmarkConn{dialer: d, handler: handler}, nil
}

func (c *benchmarkConn) Send(r *UpstreamRequest) {
	c.requestID = r.ID
	c.dialer.last = c
}

func (c *benchmarkConn) Cancel(string) {}

func (c *benchmarkConn) Ping(string) {}

func (c *benchmarkConn) IsFlushed() bool { return true }

func (c *benchmarkConn) Close() {}

// servedCounter is a Responder that counts the requests that were served.
type servedCounter struct{ served int }

func (s *servedCounter) Respond(*Request, []byte) bool {
	s.served++
	return true
}

func (s *servedCounter) RespondNotModified(*Request) {}

func (s *servedCounter) Reject(*Request, time.Duration) {}

func (s *servedCounter) Fail(*Request) {}

// BenchmarkRequest measures a request that is answered by its first attempt on an open connection.
func BenchmarkRequest(b *testing.B) {
	loop, err := transport.NewLoop()
	if err != nil {
		b.Fatal(err)
	}
	defer loop.Release()
	dialer := &benchmarkDialer{}
	d := New(loop, testSettings(), 1, testLimits(), dialer)
	d.Start()
	d.UpdateEndpoints(1, true, []Endpoint{testEndpoint("a", decision.Ready)})
	responder := &servedCounter{}
	ids := make([]string, 1024)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	body := []byte("x")
	request := func(i int) {
		d.Submit(&Request{
			ID:         ids[i%len(ids)],
			Class:      "clips",
			Object:     7,
			PurgeGroup: 3,
			SizeKB:     1,
			Timeout:    6 * time.Second,
			Responder:  responder,
		})
		for _, handler := range dialer.connecting {
			handler.Connected()
		}
		dialer.connecting = dialer.connecting[:0]
		conn := dialer.last
		response := okResponse("")
		response.Body = body
		conn.handler.Received([]byte(conn.requestID), response)
	}
	request(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request(i)
	}
	b.StopTimer()
	if responder.served != b.N+1 {
		b.Fatalf("%d of %d requests served", responder.served, b.N+1)
	}
}
