// Package routing stands between the decision module and the sockets. It turns requests into events and actions into
// messages, and owns open requests, attempts, connection pools, the list of hosts and the guards of the rules. It
// knows neither the clients' nor the caches' protocol: both sides meet it through the types of this file.
package routing

import (
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Request is one try of a client's request.
type Request struct {
	ID     string
	Class  string
	Object decision.ObjectID
	Part   int
	Group  int
	SizeKB float64
	Budget time.Duration // how long the client waits, from now
	Token  string        // the client's idempotency key; may be empty
	Have   string        // tag of a copy that the client holds; may be empty
	Body   []byte        // kept until the final answer
	Caller Caller
	Ref    int32 // the front's own mark
}

// Caller gets the one final answer of each request that it has submitted and not revoked.
type Caller interface {
	Serve(r *Request, body []byte) // body is valid during the call only
	ServeSame(r *Request)          // the copy that the client holds is the one
	Refuse(r *Request, holdOff time.Duration)
	Fail(r *Request)
}

// Order is an attempt as a cache is to get it.
type Order struct {
	ID       string
	Class    string
	Object   decision.ObjectID
	Part     int
	Patience time.Duration
	Token    string
	Source   string // name of the host a miss is filled from; empty: no fill
	Rank     int
	MaxAge   time.Duration
	Options  decision.FetchOptions
	Have     string
	Body     []byte
}

// Reply is how a cache answered an order.
type Reply struct {
	Status decision.Status
	Same   bool   // the client's copy is the one; there is no body
	Tag    string // of the copy; empty: not told
	Body   []byte
	Note   decision.CacheStatus
	Since  time.Duration        // when the origin gave out this copy; 0: not told
	Report *decision.LoadReport // nil: none came
}

// Link is a connection to a cache.
type Link interface {
	Send(o *Order)
	Cancel(id string)
	Ping(tag string) // answered by Pong once the other end has read all that was sent before
	Drained() bool   // the system has taken all that was written
	Close()          // no event follows
}

// LinkEvents is told what happens on a link; none of it happens during a call of Dialer or Link.
type LinkEvents interface {
	Up()
	Flushed()
	Reply(id []byte, r *Reply)
	Pong(tag []byte)
	Down(err error) // once and last
}

// Dialer starts a link.
type Dialer interface {
	Dial(address string, timeout time.Duration, ev LinkEvents) (Link, error)
}

// Member is one line of the list of hosts. Its Host number is routing's to give.
type Member struct {
	decision.Endpoint
	Name    string
	Address string
}

// Limits bound what the director holds.
type Limits struct {
	MaxOpen          int           // requests
	Streams          int           // attempts on one link at a time
	LinksPerHost     int           // at most
	Links            int           // to all hosts together, at most; 0: no limit
	IdleAfter        time.Duration // after which an unused link is closed
	SilentAfter      time.Duration // how long a link may owe an answer and send nothing before nothing new goes on it
	DialTimeout      time.Duration
	Settle           time.Duration // how long the other end may take to notice that a link has been closed
	KeepaliveAfter   time.Duration // how long a link may owe answers and send nothing before it is pinged; 0: for good
	KeepaliveTimeout time.Duration // how long the other end may take to answer a ping before its link counts as dead
	MaxAttempts      int
	DrainGrace       time.Duration
	PurgeGrace       time.Duration
	PurgeDone        time.Duration
	SecondCopies     bool
	LongestAnswer    time.Duration // the longest deadline of a class

	// Where several cores serve, nil elsewhere: Refresh takes in news that are there already, before an attempt is written;
	// Claim and Release keep an id from being open on two cores.
	Refresh func()
	Claim   func(id string) bool
	Release func(id string)
	Cold    func() float64 // what of its own budget for cold hosts this core may spend

	// Spent tells, just before an attempt is written, that the part of a cold host's budget on which it was decided is over.
	Spent func(host string) bool

	// Behind tells whether the director's news are older than it may act by; nil: it may act by any.
	Behind func() bool

	Claims Claims // of keyed requests; nil: they are not claimed
}

// Counts is what a director has taken in, sent and answered.
type Counts struct {
	Taken, Served, Same, Refused, Failed, Revoked          int64
	Repeats                                                int64
	Attempts, Cancelled, LateReplies, GuardStops, Withheld int64
	Claimed, Bound, Unclaimed, Reused, Behind              int64
	OK, Miss, Full, Errors, Void, TimedOut, Reset, NoCon   int64
	Dials, LinksLost, LinksDead, Purges, Lists             int64
}
