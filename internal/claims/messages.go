package claims

import "time"

// Claim restricts the execution of requests with a token to one group of caches.
type Claim struct {
	Token   string
	Object  uint64
	Group   string // opaque to this package; the caller defines it
	Owner   string // ID of the director that requested it
	Request string // ID that the owner gave the request; the owner may move the claim while nothing has been executed
	Version uint32 // incremented with each move to another group
	Seq     uint64 // sequence number of the last request message that it was granted for
	Window  time.Duration
	At      time.Duration // when it was stored by this node's clock, or earlier; in messages: the claim's age
}

// Kind is the type of a message. Its values are part of the protocol between directors.
type Kind uint8

// Message kinds.
const (
	RequestClaim   Kind = iota // a director requests a claim from the primary
	ReplyClaim                 // the primary replies with its verdict
	Replicate                  // the primary sends a replica one claim, or all claims of the shard to initialize it
	ConfirmReplica             // the replica reports whether it stored the claims
	ReleaseClaim               // the claim is released because nothing has been executed
	CloseEpoch                 // a new primary asks a replica of earlier epochs to close them
	EpochClosed                // the replica has closed them and sends all its claims of the shard
)

// Verdict is the result of a request or of a message. Its values are part of the protocol between directors.
type Verdict uint8

// Verdicts.
const (
	Granted       Verdict = iota
	HeldElsewhere         // the token belongs to another group; the reply has the group and the claim's age
	Reused                // the token is already used for another object
	Full                  // the primary has reached its limit of claims
	RetryLater            // the node does not currently serve the shard
	Unreachable           // no verdict arrived before the deadline
)

// Message is a message from one director to another.
type Message struct {
	Kind    Kind
	Seq     uint64 // sequence number of the sender; a reply repeats that of its request
	Epoch   int64
	Shard   int
	Verdict Verdict
	MayMove bool    // for RequestClaim: nothing has been executed yet, so an existing claim may move to another group
	Claims  []Claim // At holds ages instead of times
}

// OutgoingMessage is an outgoing message and the ID of its destination director.
type OutgoingMessage struct {
	To string
	Message
}

// Outcome is the final result of a claim request.
type Outcome struct {
	Key         uint64 // the key passed to Request
	Verdict     Verdict
	Group       string        // the group that executes the token, if HeldElsewhere
	Age         time.Duration // of the claim, if HeldElsewhere; never underestimated
	RequestedAt time.Duration // a granted claim's window starts at this time or later
}
