package claims

import "time"

// Claim is that a token runs in one group of caches only.
type Claim struct {
	Token   string
	Object  uint64
	Group   string // in the caller's words
	Owner   string // ID of the director that requested it
	Request string // of the owner, which may move the claim while nothing of it has run
	Version uint32 // counts the moves
	Seq     uint64 // of the message that it was granted to last
	Window  time.Duration
	At      time.Duration // when it was recorded, by this node's clock, or earlier; in messages: its age
}

// Kind is the kind of a message. Its values are sent between directors.
type Kind uint8

// Kinds of messages.
const (
	RequestClaim   Kind = iota // a director requests a claim from the primary
	ReplyClaim                 // the primary's verdict
	Replicate                  // the primary sends a replica one claim, or all claims of a shard to fill it
	ConfirmReplica             // the replica has recorded them, or not
	ReleaseClaim               // nothing has run under the claim: it is released
	CloseEpoch                 // a new primary ends earlier epochs at one of their replicas
	EpochClosed                // the replica has, and sends all claims of the shard
)

// Verdict is the result of a request, or of a message. Its values are sent between directors.
type Verdict uint8

// Verdicts.
const (
	Granted       Verdict = iota
	HeldElsewhere         // the token runs in another group; the answer has the group and the claim's age
	Reused                // the token is in use for another object
	Full                  // the primary holds as many claims as it may
	RetryLater            // the node does not serve the shard now
	Unreachable           // no verdict came in time
)

// Message goes from one director to another.
type Message struct {
	Kind    Kind
	Seq     uint64 // of the sender of a request; its answer has the same
	Epoch   int64
	Shard   int
	Verdict Verdict
	MayMove bool    // RequestClaim: nothing of the request has run, so its claim may move to another group
	Claims  []Claim // with ages in place of times
}

// Sending is a message and the ID of the director that it goes to.
type Sending struct {
	To string
	Message
}

// Outcome ends a request.
type Outcome struct {
	Key         uint64 // of the request
	Verdict     Verdict
	Group       string        // where the token runs, if HeldElsewhere
	Age         time.Duration // of the claim, if HeldElsewhere; never too low
	RequestedAt time.Duration // a granted claim counts from this moment or later
}
