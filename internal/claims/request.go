package claims

import "time"

// pendingRequest is a claim that this director requests.
type pendingRequest struct {
	key     uint64
	claim   Claim
	moves   bool
	until   time.Duration
	first   time.Duration // of the first message
	asked   time.Duration // of the last message
	pending bool          // a message is unanswered
}

// Request asks for a claim; the outcome is returned under the key, not later than until. moves says that nothing of the request
// has run, so that a claim it had may move to another group.
func (n *Node) Request(key uint64, c Claim, moves bool, until, now time.Duration) {
	c.Owner = n.id
	n.Counts.Asked++
	n.seq++
	a := &pendingRequest{key: key, claim: c, moves: moves, until: until, first: now}
	n.asks[n.seq] = a
	n.askOrder = append(n.askOrder, n.seq)
	n.ask(n.seq, a, now)
}

func (n *Node) ask(seq uint64, a *pendingRequest, now time.Duration) {
	i := SlotOf(a.claim.Token, n.set.Shards)
	s := &n.slots[i]
	a.asked, a.pending = now, true
	if len(s.homes) == 0 {
		return // no replica holds claims yet
	}
	c := a.claim
	c.At = 0
	n.send(s.homes[0], Message{Kind: Ask, Seq: seq, Epoch: s.epoch, Shard: i, Moves: a.moves, Claims: []Claim{c}})
}

func (n *Node) handleAnswer(m Message, now time.Duration) {
	a := n.asks[m.Seq]
	if a == nil {
		return
	}
	if m.Verdict == Later {
		a.pending = false // Tick asks again
		return
	}
	o := Outcome{Key: a.key, Verdict: m.Verdict, RequestedAt: a.first}
	if len(m.Claims) == 1 {
		o.Group, o.Age = m.Claims[0].Group, m.Claims[0].At+(now-a.first)
	}
	n.finish(m.Seq, o)
}

func (n *Node) finish(seq uint64, o Outcome) {
	delete(n.asks, seq)
	switch o.Verdict {
	case Granted:
		n.Counts.Granted++
	case HeldElsewhere:
		n.Counts.Bound++
	case Reused:
		n.Counts.Reused++
	case Full:
		n.Counts.Full++
	case Unreached:
		n.Counts.Unreached++
	}
	n.ends = append(n.ends, o)
}

// Release gives up a claim under which nothing has run.
func (n *Node) Release(token, request string) {
	i := SlotOf(token, n.set.Shards)
	if s := &n.slots[i]; len(s.homes) > 0 {
		n.send(s.homes[0], Message{Kind: Drop, Epoch: s.epoch, Shard: i, Claims: []Claim{{Token: token, Owner: n.id, Request: request}}})
	}
}
