package routing

import (
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Request is a client's request.
type Request struct {
	ID             string
	Class          string
	Object         decision.ObjectID
	Part           int
	PurgeGroup     int
	SizeKB         float64
	Timeout        time.Duration // how long the client waits, counted from Submit
	IdempotencyKey string        // empty: none
	ETag           string        // of the object that the client has cached; empty: none
	Body           []byte        // must not change until the final answer
	Responder      Responder
	SequenceNumber int32 // the Responder's own number of the request
}

// Responder gets the one final answer of each request that was submitted and not cancelled.
type Responder interface {
	Respond(r *Request, body []byte) // body is valid during the call only
	RespondNotModified(r *Request)   // what the client has cached is current
	Reject(r *Request, retryAfter time.Duration)
	Fail(r *Request)
}

// UpstreamRequest is an attempt as a cache receives it.
type UpstreamRequest struct {
	ID             string
	Class          string
	Object         decision.ObjectID
	Part           int
	Timeout        time.Duration
	IdempotencyKey string
	Source         string // name of the host that a miss is filled from; empty: a miss is not filled
	CachePriority  int
	MaxAge         time.Duration // 0: the class's own limit
	Options        decision.FetchOptions
	ETag           string // of the object that the client has cached
	Body           []byte
}

// Response is a cache's response to an upstream request.
type Response struct {
	Status      decision.Status
	NotModified bool   // what the client has cached is current; there is no body
	ETag        string // empty: unknown
	Body        []byte
	CacheStatus decision.CacheStatus
	GeneratedAt time.Duration        // when the origin generated this object, in Unix time; 0: unknown
	Load        *decision.LoadReport // nil: the response has none
}

// Conn is a connection to a cache.
type Conn interface {
	Send(r *UpstreamRequest)
	Cancel(requestID string)
	// Ping is answered by Pong once the cache has read everything that was sent before.
	Ping(tag string)
	// IsFlushed reports whether the operating system has taken everything that was written.
	IsFlushed() bool
	// Close closes the connection. No callback follows.
	Close()
}

// ConnHandler gets the events of a connection. No method is called while a method of Dialer or Conn runs.
type ConnHandler interface {
	Connected()
	Flushed()
	// Received gets a response. Both arguments are valid during the call only.
	Received(requestID []byte, r *Response)
	Pong(tag []byte)
	// Closed is called once, as the last event. Close does not cause it.
	Closed(err error)
}

// Dialer opens connections to caches.
type Dialer interface {
	// Dial starts to connect. The handler's Connected or Closed gives the result.
	Dial(address string, timeout time.Duration, handler ConnHandler) (Conn, error)
}

// Endpoint is one entry of the endpoint list. The Director sets its Host number.
type Endpoint struct {
	decision.Endpoint
	Name    string
	Address string
}
