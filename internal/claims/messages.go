package claims

import "time"

// Claim is that a token runs in a group of caches alone.
type Claim struct {
	Token   string
	Object  uint64
	Group   string // in the caller's words
	Owner   string // ID of the director that asked
	Request string // of that director's, which may move the claim while nothing of it has run
	Version uint32 // counts the moves
	Seq     uint64 // of the asking that it was granted to last
	Window  time.Duration
	At      time.Duration // when it was taken in, by the holder's clock, or earlier; in messages: its age
}

// Kind is what a message is.
type Kind uint8

// Kinds of messages.
const (
	Ask    Kind = iota // a director asks the slot's first home for a claim
	Answer             // what became of it
	Copy               // the first home has a copy held; with several claims it fills a new home
	Held               // the copy is held, or not
	Drop               // nothing has run: the claim is given up
	Close              // a new first home ends an older epoch at a home of it and wants all claims of the slot
	Closed             // those
)

// Verdict is an answer.
type Verdict uint8

// Verdicts.
const (
	Granted       Verdict = iota
	HeldElsewhere         // the token runs elsewhere: Group and age tell where and since when
	Reused                // the token is that of another object
	Full                  // no room for further claims
	Later                 // not now, or not here
	Unreached             // nobody answered in time
)

// Message goes from one director to another.
type Message struct {
	Kind    Kind
	Seq     uint64 // of the asker; the answer carries it back
	Epoch   int64
	Shard   int
	Verdict Verdict
	Moves   bool    // Ask: nothing of the request has run, and its claim may move to another group
	Claims  []Claim // times are ages
}

// Sending is a message with where it goes.
type Sending struct {
	To string
	Message
}

// Outcome ends an asking.
type Outcome struct {
	Key         uint64
	Verdict     Verdict
	Group       string        // Bound: where it runs
	Age         time.Duration // Bound: since when, or a little longer
	RequestedAt time.Duration // when the answer was asked for: the claim counts from later than that
}
