package claims

import (
	"slices"
	"time"
)

// Settings configures a Node.
type Settings struct {
	Shards      int           // must be the same for all directors
	Slack       time.Duration // added to a claim's lifetime, since an attempt may be sent a little after the claim was granted
	MaxWindow   time.Duration // upper bound of the window of any claim
	MaxClaims   int           // limit of claims stored by this node, as primary and as replica
	ResendAfter time.Duration // time after which an unacknowledged message is sent again
	// FirstSeq is the number after which messages are numbered. It must be random for each process: answers to an earlier process at the
	// same address then have numbers that this one does not use.
	FirstSeq uint64
}

// lifetime returns how long a claim is kept. A director that receives HeldElsewhere may be the first to send the request, at the
// latest at the end of the window, because the owner may have failed before sending it. From then on the caches reject duplicates
// for another window.
func (s Settings) lifetime(window time.Duration) time.Duration { return 2*window + s.Slack }

// Node is one director's instance of the claims protocol. It is not safe for concurrent use.
type Node struct {
	settings Settings
	id       string
	members  map[string]bool // IDs of the member directors
	shards   []shard
	lease    time.Duration // end of the membership lease; no shard is served after it
	seq      uint64        // sequence number of the last message that expects a reply

	requests         map[uint64]*pendingRequest // by sequence number
	requestOrder     []uint64                   // sequence numbers in order of creation; may include finished requests
	unconfirmed      map[uint64]*pendingMessage // by sequence number
	unconfirmedOrder []uint64                   // sequence numbers in order of creation; may include acknowledged messages

	claimCount  int
	nextSweep   int // the next shard to remove expired claims from
	outbox      []OutgoingMessage
	outcomes    []Outcome
	readyShards []int64 // alternating shard and epoch
}

// shard is this node's state of one shard.
type shard struct {
	epoch            int64
	replicas         []string // IDs; the first is the primary
	previousReplicas []string // of the last ready epoch; empty once the event log marks the current epoch as ready
	closedEpoch      int64    // epochs before this one are not served
	ready            bool     // this node is the primary, and all replicas have the claims of earlier epochs
	claims           map[string]*storedClaim

	// State of a takeover by this node; see continueTakeover.
	awaitingClose      map[string]bool // replicas of earlier epochs that have not replied; nil if no takeover is in progress
	awaitingFill       map[string]bool // new replicas that have not yet acknowledged the claims
	hasPreviousClaims  bool            // a replica of the last ready epoch has sent its claims, or this node was one
	unknownClaimsUntil time.Duration   // when claims that no remaining replica has will have expired; 0: there are none
}

// storedClaim is a claim stored by this node.
type storedClaim struct {
	Claim
	unconfirmed map[string]bool // replicas that have not acknowledged it
	waiters     []waiter
}

// waiter is a request that is answered once its claim is replicated.
type waiter struct {
	caller string
	Message
}

// pendingMessage is a message that is sent again until it is acknowledged.
type pendingMessage struct {
	OutgoingMessage
	token       string // token of the claim; empty if the message concerns all claims of a shard
	sentAt      time.Duration
	firstSentAt time.Duration
}

// New returns the node of the director with the given ID.
func New(id string, settings Settings) *Node {
	return &Node{
		settings:    settings,
		id:          id,
		seq:         settings.FirstSeq,
		members:     map[string]bool{},
		shards:      make([]shard, settings.Shards),
		requests:    map[uint64]*pendingRequest{},
		unconfirmed: map[uint64]*pendingMessage{},
	}
}

// DrainOutput returns and clears the messages to send, the outcomes of requests, and the shards that have become ready, as alternating
// shard and epoch. The caller must report the ready shards to the control plane.
func (n *Node) DrainOutput() (out []OutgoingMessage, outcomes []Outcome, ready []int64) {
	out = n.outbox
	outcomes = n.outcomes
	ready = n.readyShards
	n.outbox = nil
	n.outcomes = nil
	n.readyShards = nil
	return out, outcomes, ready
}

// SetLeaseEnd sets the end of the membership lease. Until then, the membership known to the node is no older than a lease; after that,
// the node serves no shard.
func (n *Node) SetLeaseEnd(until time.Duration) { n.lease = until }

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
		n.handleConfirmReplica(from, m, now)
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

// Tick resends unacknowledged messages, ends requests whose deadline has passed, continues takeovers, and removes the expired claims
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

// sweep removes the expired claims of the next shard.
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

// expired reports whether the lifetime of a claim has ended.
func (n *Node) expired(c *Claim, now time.Duration) bool {
	return now >= c.At+n.settings.lifetime(c.Window)
}

// send enqueues a message, which DrainOutput returns.
func (n *Node) send(to string, m Message) {
	n.outbox = append(n.outbox, OutgoingMessage{To: to, Message: m})
}

// sendUntilConfirmed sends a message and resends it until it is acknowledged. token is the token of its claim, or empty if the message
// concerns all claims of a shard.
func (n *Node) sendUntilConfirmed(s OutgoingMessage, token string, now time.Duration) {
	n.seq++
	s.Seq = n.seq
	n.unconfirmedOrder = append(n.unconfirmedOrder, n.seq)
	n.unconfirmed[n.seq] = &pendingMessage{OutgoingMessage: s, token: token, sentAt: now, firstSentAt: now}
	n.send(s.To, s.Message)
}

// resendUnconfirmed resends the messages that have not been acknowledged within ResendAfter. Messages of earlier epochs are dropped.
func (n *Node) resendUnconfirmed(now time.Duration) {
	n.unconfirmedOrder = slices.DeleteFunc(n.unconfirmedOrder, func(seq uint64) bool { return n.unconfirmed[seq] == nil })
	for _, seq := range n.unconfirmedOrder {
		p := n.unconfirmed[seq]
		if p.Epoch != n.shards[p.Shard].epoch {
			delete(n.unconfirmed, seq)
			continue
		}
		if now-p.sentAt < n.settings.ResendAfter {
			continue
		}
		p.sentAt = now
		if p.Kind == Replicate && p.token == "" && len(p.Claims) > 0 {
			p.Claims = n.claimsWithAges(&n.shards[p.Shard], now) // their ages have increased
		}
		n.send(p.To, p.Message)
	}
}

// hasUnconfirmed reports whether a message of the given kind to a replica, for the current epoch of a shard, is unacknowledged.
func (n *Node) hasUnconfirmed(to string, k Kind, shard int) bool {
	for _, p := range n.unconfirmed {
		if p.To == to && p.Kind == k && p.Shard == shard && p.Epoch == n.shards[shard].epoch {
			return true
		}
	}
	return false
}

// dropUnconfirmed stops resending messages of the given kind to a replica of a shard.
func (n *Node) dropUnconfirmed(to string, k Kind, shard int) {
	for seq, p := range n.unconfirmed {
		if p.To == to && p.Kind == k && p.Shard == shard {
			delete(n.unconfirmed, seq)
		}
	}
}
