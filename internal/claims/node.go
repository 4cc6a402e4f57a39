package claims

import (
	"slices"
	"time"
)

// Settings of a director's claims.
type Settings struct {
	Shards    int
	Slack     time.Duration // beyond its lifetime: an attempt may be sent a little after its claim was granted
	MaxWindow time.Duration // of any class
	MaxClaims int           // claims held, as primary and as replica
	Again     time.Duration // after which an unanswered message is sent again
}

// Node is one director's replica of the claims. It is not safe for concurrent use.
type Node struct {
	set       Settings
	id        string
	on        map[string]bool // IDs of the members
	slots     []shard
	lease     time.Duration // until when the membership is known to be no older than a lease
	asks      map[uint64]*pendingRequest
	waits     map[uint64]*pendingMessage // for Held and Closed
	askOrder  []uint64                   // sequence numbers in order, for deterministic runs; some are finished
	waitOrder []uint64
	seq       uint64
	held      int
	swept     int
	out       []Sending
	ends      []Outcome
	complete  []int64 // pairs of shard and epoch, to be reported to the control plane
	Counts    Counts
}

// Counts are a node's counters.
type Counts struct {
	Asked, Granted, Bound, Reused, Full, Unreached, Thin int64 // Thin: granted without a replica, for lack of other directors
	Holds, Messages                                      int64
}

// shard is one shard of the claims as this node sees it.
type shard struct {
	epoch  int64
	homes  []string
	from   []string
	closed int64         // no older epoch is served
	ready  bool          // this node is the primary, and all replicas have what was granted before
	blind  time.Duration // until when claims may be in force that no replica has; 0: none
	knows  bool          // a replica of the last complete epoch has sent its claims, or this node is one
	ever   bool          // it had replicas before
	claims map[string]*heldClaim
	closes map[string]bool // replicas of earlier epochs that have not answered
	fills  map[string]bool // new replicas that are not filled
}

// heldClaim is a claim that this node holds.
type heldClaim struct {
	Claim
	pending map[string]bool // replicas that have not confirmed it
	waiters []waiter
}

type waiter struct {
	to string
	Message
}

// pendingMessage is a message that is sent again until it is answered.
type pendingMessage struct {
	Sending
	token string // Copy of one claim
	at    time.Duration
	first time.Duration
}

// New makes the node of a director.
func New(id string, set Settings) *Node {
	return &Node{set: set, id: id, on: map[string]bool{}, slots: make([]shard, set.Shards), asks: map[uint64]*pendingRequest{}, waits: map[uint64]*pendingMessage{}}
}

// Take returns, once, the messages to send, the finished requests, and the completed shards.
func (n *Node) Take() (out []Sending, ends []Outcome, complete []int64) {
	out, ends, complete = n.out, n.ends, n.complete
	n.out, n.ends, n.complete = nil, nil, nil
	n.Counts.Messages += int64(len(out))
	return out, ends, complete
}

// Lease sets until when the membership is known to be no older than a lease.
func (n *Node) Lease(until time.Duration) { n.lease = until }

// lifetime is how long a claim is kept. A director bound by it may be the first to send, until its window is over, since the
// owner may have died before it sent; from then on the caches drop repeats for as long again.
func (s Settings) lifetime(window time.Duration) time.Duration { return 2*window + s.Slack }

func (n *Node) expired(c *Claim, now time.Duration) bool { return now >= c.At+n.set.lifetime(c.Window) }

// retryUntilAnswered sends a message, and sends it again until it is answered.
func (n *Node) retryUntilAnswered(s Sending, token string, now time.Duration) {
	n.seq++
	s.Seq = n.seq
	n.waitOrder = append(n.waitOrder, n.seq)
	n.waits[n.seq] = &pendingMessage{Sending: s, token: token, at: now, first: now}
	n.send(s.To, s.Message)
}

func (n *Node) isPending(to string, k Kind, slot int) bool {
	for _, w := range n.waits {
		if w.To == to && w.Kind == k && w.Shard == slot && w.Epoch == n.slots[slot].epoch {
			return true
		}
	}
	return false
}

func (n *Node) stopRetrying(to string, k Kind, slot int) {
	for seq, w := range n.waits {
		if w.To == to && w.Kind == k && w.Shard == slot {
			delete(n.waits, seq)
		}
	}
}

// send queues a message; the caller delivers one to itself at once.
func (n *Node) send(to string, m Message) { n.out = append(n.out, Sending{to, m}) }

// Receive handles a message.
func (n *Node) Receive(from string, m Message, now time.Duration) {
	if m.Shard < 0 || m.Shard >= len(n.slots) {
		return
	}
	switch m.Kind {
	case Ask:
		if len(m.Claims) == 1 {
			n.handleRequest(from, m, now)
		}
	case Answer:
		n.handleAnswer(m, now)
	case Copy:
		n.send(from, Message{Kind: Held, Seq: m.Seq, Epoch: m.Epoch, Shard: m.Shard, Verdict: n.handleReplica(m, now)})
	case Held:
		n.handleConfirm(from, m, now)
	case Drop:
		if len(m.Claims) == 1 {
			n.handleDrop(from, m)
		}
	case Close:
		n.handleClose(from, m, now)
	case Closed:
		n.handleCollected(from, m, now)
	}
}

// Tick sends unanswered messages again, ends requests that waited too long, and drops expired claims, a part at a time.
func (n *Node) Tick(now time.Duration) {
	n.askOrder = slices.DeleteFunc(n.askOrder, func(seq uint64) bool { return n.asks[seq] == nil })
	for _, seq := range slices.Clone(n.askOrder) {
		a := n.asks[seq]
		switch {
		case now >= a.until:
			n.finish(seq, Outcome{Key: a.key, Verdict: Unreached, RequestedAt: a.first})
		case !a.pending && now-a.asked >= n.set.Again/2, now-a.asked >= 4*n.set.Again:
			n.ask(seq, a, now)
		}
	}
	n.waitOrder = slices.DeleteFunc(n.waitOrder, func(seq uint64) bool { return n.waits[seq] == nil })
	for _, seq := range n.waitOrder {
		w := n.waits[seq]
		if w.Epoch != n.slots[w.Shard].epoch {
			delete(n.waits, seq)
		} else if now-w.at >= n.set.Again {
			w.at = now
			if w.Kind == Copy && w.token == "" && len(w.Claims) > 0 { // ages have grown
				w.Claims = n.claimsWithAges(&n.slots[w.Shard], now)
			}
			n.send(w.To, w.Message)
		}
	}
	for i := range n.slots {
		if s := &n.slots[i]; s.closes != nil && s.blind > 0 && now >= s.blind {
			n.collect(i, now)
		}
	}
	s := &n.slots[n.swept]
	n.swept = (n.swept + 1) % len(n.slots)
	for token, c := range s.claims {
		if len(c.pending) == 0 && n.expired(&c.Claim, now) {
			delete(s.claims, token)
			n.held--
		}
	}
	n.Counts.Holds = int64(n.held)
}
