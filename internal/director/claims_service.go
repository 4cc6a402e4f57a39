package director

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/claims"
	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

const (
	claimsTickInterval  = 10 * time.Millisecond
	claimsRetryInterval = 25 * time.Millisecond
	// claimsClockSlack is the error in the age of a claim that clocks and network delays may cause.
	claimsClockSlack = 200 * time.Millisecond
	// claimsUnreachableTimeout is how long to wait for an outcome if the policy of the class is not ClaimsWait.
	claimsUnreachableTimeout = 300 * time.Millisecond
	claimsShards             = 256
	maxFirstClaimsSeq        = 1 << 61 // half of what fits into a message
)

// claimsService runs a claims.Node: it provides the node's clock and its connections to other directors. It implements
// routing.ClaimService.
type claimsService struct {
	prog       *Program
	settings   config.Claims
	self       discovery.Director
	node       *claims.Node
	listener   *transport.Listener
	senders    map[string]*claimsSender  // by director ID
	addresses  map[string]netip.AddrPort // by director ID
	pending    map[uint64]func(claims.Outcome)
	lastKey    uint64 // last key used in pending
	tickTimer  transport.Timer
	processing bool
}

func newClaimsService(p *Program, c config.Config, self discovery.Director) (*claimsService, error) {
	s := &claimsService{
		prog:      p,
		settings:  *c.Claims,
		senders:   map[string]*claimsSender{},
		addresses: map[string]netip.AddrPort{},
		pending:   map[uint64]func(claims.Outcome){},
	}
	if err := s.listen(); err != nil {
		return nil, fmt.Errorf("listen for claims: %w", err)
	}
	addr, err := s.listener.Addr()
	if err != nil {
		return nil, err
	}
	s.self = self
	s.self.Claims = addr.String()
	s.node = claims.New(s.self.ID(), claims.Settings{
		Shards:      claimsShards,
		Slack:       routing.ClaimSendTimeout + claimsClockSlack,
		MaxWindow:   longestDedupWindow(c.Settings),
		MaxClaims:   c.Claims.MaxClaims,
		ResendAfter: claimsRetryInterval,
		FirstSeq:    rand.Uint64N(maxFirstClaimsSeq),
	})
	s.tickTimer.Fire = s.tick
	p.loop.Set(&s.tickTimer, p.loop.Now()+claimsTickInterval)
	return s, nil
}

func longestDedupWindow(s decision.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		if class.Idempotency == decision.IdempotentWithKey {
			longest = max(longest, class.DedupWindow)
		}
	}
	return longest
}

// applyMembership applies a change of the membership and of the replicas of shards.
func (s *claimsService) applyMembership(change *discovery.Membership) {
	if change.Snapshot {
		clear(s.addresses)
	}
	var joined []string
	for _, d := range change.Joined {
		joined = append(joined, d.ID())
		if addr, err := netip.ParseAddrPort(d.Claims); err == nil {
			s.addresses[d.ID()] = addr
		}
	}
	for _, id := range change.Left {
		delete(s.addresses, id)
		if sender := s.senders[id]; sender != nil {
			sender.close()
		}
	}
	s.node.ApplyMembership(joined, change.Left, change.Snapshot, shardStates(change.Shards), bootTime())
	s.processNodeOutput()
}

func shardStates(shards []discovery.Shard) []claims.ShardState {
	var states []claims.ShardState
	for _, shard := range shards {
		if shard.Number < 0 || shard.Number >= claimsShards || shard.ReadyEpoch == 0 && len(shard.Replicas) == 0 {
			continue
		}
		states = append(states, claims.ShardState{
			Shard:            shard.Number,
			Epoch:            shard.Epoch,
			Replicas:         shard.Replicas,
			PreviousReplicas: shard.PreviousReplicas,
			ReadyEpoch:       shard.ReadyEpoch,
		})
	}
	return states
}

func (s *claimsService) tick() {
	s.node.Tick(bootTime())
	s.processNodeOutput()
	s.prog.loop.Set(&s.tickTimer, s.prog.loop.Now()+claimsTickInterval)
}

// Claim implements routing.ClaimService.
func (s *claimsService) Claim(c routing.ClaimRequest, done func(routing.ClaimOutcome)) {
	now := bootTime()
	loopNow := s.prog.loop.Now()
	policy := s.settings.PolicyOf(c.Class)
	deadline := c.Deadline
	if policy != config.ClaimsWait {
		deadline = min(deadline, loopNow+claimsUnreachableTimeout)
	}
	s.lastKey++
	s.pending[s.lastKey] = func(o claims.Outcome) {
		done(routing.ClaimOutcome{
			Verdict:     verdictOf(o, policy),
			Group:       o.Group,
			Age:         o.Age,
			RequestedAt: s.prog.loop.Now() - (bootTime() - o.RequestedAt),
		})
	}
	claim := claims.Claim{
		Token:   c.IdempotencyKey,
		Object:  uint64(c.Object),
		Group:   c.Group,
		Request: c.RequestID,
		Window:  c.Window,
	}
	s.node.Request(s.lastKey, claim, c.Movable, now+(deadline-loopNow), now)
	s.processNodeOutput()
}

func verdictOf(o claims.Outcome, policy string) routing.ClaimVerdict {
	switch o.Verdict {
	case claims.Granted:
		return routing.ClaimGranted
	case claims.HeldElsewhere:
		return routing.ClaimHeldElsewhere
	case claims.Reused:
		return routing.ClaimKeyReused
	default:
		if policy == config.ClaimsProceed {
			return routing.ClaimNotRequired
		}
		return routing.ClaimUnavailable
	}
}

// Release implements routing.ClaimService.
func (s *claimsService) Release(idempotencyKey, requestID string) {
	s.node.Release(idempotencyKey, requestID)
	s.processNodeOutput()
}

// processNodeOutput sends the node's messages and reports its outcomes until there are none left. Messages to the same
// director are combined into one write.
func (s *claimsService) processNodeOutput() {
	if s.processing {
		return
	}
	s.processing = true
	defer func() { s.processing = false }()
	for {
		messages, outcomes, _ := s.node.DrainOutput() // ready shards are announced with each poll instead
		if len(messages)+len(outcomes) == 0 {
			break
		}
		for _, m := range messages {
			if m.To == s.self.ID() {
				s.node.Receive(m.To, m.Message, bootTime())
				continue
			}
			s.senderFor(m.To).enqueue(m.Message)
		}
		for _, o := range outcomes {
			if done := s.pending[o.Key]; done != nil {
				delete(s.pending, o.Key)
				done(o)
			}
		}
	}
	for _, sender := range s.senders {
		sender.flush()
	}
}
