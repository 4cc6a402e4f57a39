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
	SequenceNumber int32 // for use by the Responder
}

// Responder receives the final answer of each request that was submitted and not cancelled. Exactly one of its methods is
// called for each.
type Responder interface {
	// Respond passes on an object, whose bytes are valid during the call only. If the responder has no room for it, the request
	// fails instead, and Respond returns false.
	Respond(r *Request, body []byte) (passedOn bool)
	RespondNotModified(r *Request) // the client's cached object is current
	Reject(r *Request, retryAfter time.Duration)
	Fail(r *Request)
}

// UpstreamRequest is an attempt as it is sent to a cache.
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
	NotModified bool   // the client's cached object is current; there is no body
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
	// Ping sends a ping. The handler's Pong is called once the cache has read everything that was sent before it.
	Ping(tag string)
	// IsFlushed reports whether the kernel has accepted everything that was written.
	IsFlushed() bool
	// Close closes the connection. No callback is made afterwards.
	Close()
}

// ConnHandler handles the events of a connection. None of its methods is called during a call of a Dialer or Conn method.
type ConnHandler interface {
	Connected()
	Flushed()
	// Received handles a response. Both arguments are valid only during the call.
	Received(requestID []byte, r *Response)
	Pong(tag []byte)
	// Closed is called once, as the last event, unless the connection was closed by Close.
	Closed(err error)
}

// Dialer opens connections to caches.
type Dialer interface {
	// Dial starts to open a connection. The result is reported by the handler's Connected or Closed.
	Dial(address string, timeout time.Duration, handler ConnHandler) (Conn, error)
}

// Endpoint is an entry of the endpoint list. The Director assigns its Host field.
type Endpoint struct {
	decision.Endpoint
	Name    string
	Address string
}
