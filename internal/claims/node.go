package claims

import (
	"slices"
	"time"
)

// Settings of a Node.
type Settings struct {
	Shards      int           // the same at all directors
	Slack       time.Duration // added to a claim's lifetime: an attempt may be sent a little after the claim was granted
	MaxWindow   time.Duration // the longest window of any claim
	MaxClaims   int           // claims of this node, as primary and as replica
	ResendAfter time.Duration // after which an unanswered message is sent again
}

// lifetime returns how long a claim lasts. A director that is answered with HeldElsewhere may be the first to send, up to the
// window's end, since the owner may have died before it sent. From then on the caches drop repeats for as long again.
func (s Settings) lifetime(window time.Duration) time.Duration { return 2*window + s.Slack }

// Node is one director's part in the claims. It is not safe for concurrent use.
type Node struct {
	set     Settings
	id      string
	members map[string]bool // IDs of all directors that are members
	shards  []shard
	lease   time.Duration // until when the membership is known to be no older than a lease
	seq     uint64        // of the last message that wants an answer

	requests         map[uint64]*pendingRequest // by sequence number
	requestOrder     []uint64                   // sequence numbers, some of requests that are finished
	unconfirmed      map[uint64]*pendingMessage // by sequence number
	unconfirmedOrder []uint64                   // sequence numbers, some of messages that are confirmed

	claimCount  int
	nextSweep   int // the next shard whose expired claims are dropped
	outbox      []Sending
	outcomes    []Outcome
	readyShards []int64 // pairs of shard and epoch
}

// shard is one shard of the claims as this node knows it.
type shard struct {
	epoch            int64
	replicas         []string // IDs; the first is the primary
	previousReplicas []string // of the last epoch that was ready, until this one is
	closedEpoch      int64    // no earlier epoch is served
	ready            bool     // this node is the primary, and all replicas have the claims of earlier epochs
	claims           map[string]*storedClaim

	// Of a takeover by this node, see continueTakeover.
	awaitingClose      map[string]bool // replicas of earlier epochs that have not answered; nil: there is no takeover
	awaitingFill       map[string]bool // new replicas that are not filled
	hasPreviousClaims  bool            // a replica of the last ready epoch has sent its claims, or this node is one
	unknownClaimsUntil time.Duration   // until when claims may be in force that no replica has; 0: there are none
}

// storedClaim is a claim that this node holds.
type storedClaim struct {
	Claim
	unconfirmed map[string]bool // replicas that have not confirmed it
	waiters     []waiter
}

// waiter is a request that waits until its claim is replicated.
type waiter struct {
	caller string
	Message
}

// pendingMessage is a message that is sent again until it is answered.
type pendingMessage struct {
	Sending
	token       string // of the claim; empty: the message is for all claims of a shard
	sentAt      time.Duration
	firstSentAt time.Duration
}

// New makes the node of a director.
func New(id string, set Settings) *Node {
	return &Node{
		set:         set,
		id:          id,
		members:     map[string]bool{},
		shards:      make([]shard, set.Shards),
		requests:    map[uint64]*pendingRequest{},
		unconfirmed: map[uint64]*pendingMessage{},
	}
}

// Take returns, once, the messages to send, the outcomes of requests, and the shards that have become ready as pairs of shard and
// epoch, which are to be reported to the control plane.
func (n *Node) Take() (out []Sending, outcomes []Outcome, ready []int64) {
	out = n.outbox
	outcomes = n.outcomes
	ready = n.readyShards
	n.outbox = nil
	n.outcomes = nil
	n.readyShards = nil
	return out, outcomes, ready
}

// Lease sets until when the membership is known to be no older than a lease. The node serves no shard after that.
func (n *Node) Lease(until time.Duration) { n.lease = until }

// Receive handles a message from another director, or from the node itself.
func (n *Node) Receive(from string, m Message, now time.Duration) {
	if m.Shard < 0 || m.Shard >= len(n.shards) {
		return
	}
	switch m.Kind {
	case RequestClaim:
		if len(m.Claims) == 1 {
			n.handleRequest(from, m, now)
		}
	case ReplyClaim:
		n.handleReply(m, now)
	case Replicate:
		verdict := n.handleReplicate(m, now)
		n.send(from, Message{Kind: ConfirmReplica, Seq: m.Seq, Epoch: m.Epoch, Shard: m.Shard, Verdict: verdict})
	case ConfirmReplica:
		n.handleConfirm(from, m, now)
	case ReleaseClaim:
		if len(m.Claims) == 1 {
			n.handleRelease(from, m)
		}
	case CloseEpoch:
		n.handleCloseEpoch(from, m, now)
	case EpochClosed:
		n.handleEpochClosed(from, m, now)
	}
}

// Tick sends unanswered messages again, ends requests that have waited too long, goes on with takeovers, and drops expired claims
// of one shard.
func (n *Node) Tick(now time.Duration) {
	n.retryRequests(now)
	n.resendUnconfirmed(now)
	for i := range n.shards {
		if s := &n.shards[i]; s.awaitingClose != nil && s.unknownClaimsUntil > 0 && now >= s.unknownClaimsUntil {
			n.continueTakeover(i, now)
		}
	}
	n.sweep(now)
}

// sweep drops the expired claims of the next shard.
func (n *Node) sweep(now time.Duration) {
	s := &n.shards[n.nextSweep]
	n.nextSweep = (n.nextSweep + 1) % len(n.shards)
	for token, c := range s.claims {
		if len(c.unconfirmed) == 0 && n.expired(&c.Claim, now) {
			delete(s.claims, token)
			n.claimCount--
		}
	}
}

func (n *Node) expired(c *Claim, now time.Duration) bool { return now >= c.At+n.set.lifetime(c.Window) }

// send queues a message.
func (n *Node) send(to string, m Message) { n.outbox = append(n.outbox, Sending{To: to, Message: m}) }

// sendUntilConfirmed sends a message, and sends it again until it is answered. token is that of its claim, or empty.
func (n *Node) sendUntilConfirmed(s Sending, token string, now time.Duration) {
	n.seq++
	s.Seq = n.seq
	n.unconfirmedOrder = append(n.unconfirmedOrder, n.seq)
	n.unconfirmed[n.seq] = &pendingMessage{Sending: s, token: token, sentAt: now, firstSentAt: now}
	n.send(s.To, s.Message)
}

// resendUnconfirmed sends messages again that are unanswered for too long. Those of an earlier epoch are dropped.
func (n *Node) resendUnconfirmed(now time.Duration) {
	n.unconfirmedOrder = slices.DeleteFunc(n.unconfirmedOrder, func(seq uint64) bool { return n.unconfirmed[seq] == nil })
	for _, seq := range n.unconfirmedOrder {
		p := n.unconfirmed[seq]
		if p.Epoch != n.shards[p.Shard].epoch {
			delete(n.unconfirmed, seq)
			continue
		}
		if now-p.sentAt < n.set.ResendAfter {
			continue
		}
		p.sentAt = now
		if p.Kind == Replicate && p.token == "" && len(p.Claims) > 0 {
			p.Claims = n.claimsWithAges(&n.shards[p.Shard], now) // their ages have grown
		}
		n.send(p.To, p.Message)
	}
}

// hasUnconfirmed reports whether a message of a kind for the current epoch of a shard is unanswered.
func (n *Node) hasUnconfirmed(to string, k Kind, shard int) bool {
	for _, p := range n.unconfirmed {
		if p.To == to && p.Kind == k && p.Shard == shard && p.Epoch == n.shards[shard].epoch {
			return true
		}
	}
	return false
}

// dropUnconfirmed has messages of a kind not sent again.
func (n *Node) dropUnconfirmed(to string, k Kind, shard int) {
	for seq, p := range n.unconfirmed {
		if p.To == to && p.Kind == k && p.Shard == shard {
			delete(n.unconfirmed, seq)
		}
	}
}
