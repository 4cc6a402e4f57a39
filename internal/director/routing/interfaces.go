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
	Timeout        time.Duration // how long the client waits, measured from Submit
	IdempotencyKey string        // empty: none
	ETag           string        // of the object that the client has cached; empty: none
	Body           []byte        // must not change until the final answer
	Responder      Responder
	SequenceNumber int32 // identifies the request to the Responder
}

// Responder receives the final answer to a request. Exactly one method is called for each request that was submitted and
// not cancelled.
type Responder interface {
	Respond(r *Request, body []byte) // body is valid only during the call
	RespondNotModified(r *Request)   // the object that the client has cached is current
	Reject(r *Request, retryAfter time.Duration)
	Fail(r *Request)
}

// UpstreamRequest is the message that sends an attempt to a cache.
type UpstreamRequest struct {
	ID             string
	Class          string
	Object         decision.ObjectID
	Part           int
	Timeout        time.Duration
	IdempotencyKey string
	Source         string // name of the host from which a miss is filled; empty: a miss is not filled
	CachePriority  int
	MaxAge         time.Duration // 0: the limit of the class applies
	Options        decision.FetchOptions
	ETag           string // of the object that the client has cached; empty: none
	Body           []byte
}

// Response is a cache's response to an upstream request.
type Response struct {
	Status      decision.Status
	NotModified bool   // the object that the client has cached is current; there is no body
	ETag        string // empty: unknown
	Body        []byte
	CacheStatus decision.CacheStatus
	GeneratedAt time.Duration        // when the origin generated the object, in Unix time; 0: unknown
	Load        *decision.LoadReport // nil: the response carries none
}

// Conn is a connection to a cache.
type Conn interface {
	Send(r *UpstreamRequest)
	Cancel(requestID string)
	// Ping sends a ping. The cache answers it, reported by ConnHandler.Pong, after it has read everything sent before it.
	Ping(tag string)
	// IsFlushed reports whether the operating system has accepted everything that was written.
	IsFlushed() bool
	// Close closes the connection. The handler is not called afterwards.
	Close()
}

// ConnHandler receives the events of a connection. Its methods are never called from within a method of Dialer or Conn.
type ConnHandler interface {
	Connected()
	Flushed()
	// Received delivers a response. Both arguments are valid only during the call.
	Received(requestID []byte, r *Response)
	Pong(tag []byte)
	// Closed reports that the connection failed or was closed by the cache. It is called at most once, as the last event,
	// and not after Conn.Close.
	Closed(err error)
}

// Dialer opens connections to caches.
type Dialer interface {
	// Dial starts a connection attempt. The handler's Connected or Closed method reports the result.
	Dial(address string, timeout time.Duration, handler ConnHandler) (Conn, error)
}

// Endpoint is an entry of the endpoint list. The Director assigns its Host number.
type Endpoint struct {
	decision.Endpoint
	Name    string
	Address string
}
