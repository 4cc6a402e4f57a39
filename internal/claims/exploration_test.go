package claims

import (
	"testing"
	"time"
)

// exploration is the state of three directors and one shard with the replicas a and b. Two directors request the same token for
// different groups. Each step is one of several choices: a message arrives or is lost, a director's clock advances, the primary
// fails, or a director applies the membership change that follows.
type exploration struct {
	nodes         map[string]*Node
	inFlight      []inFlightMessage
	now           time.Duration
	primaryFailed bool
	applied       map[string]bool
	groups        map[string]bool // groups that have executed the token
}

func newExploration() *exploration {
	e := &exploration{nodes: map[string]*Node{}, applied: map[string]bool{}, groups: map[string]bool{}, now: time.Hour}
	for _, id := range []string{"a", "b", "c"} {
		n := New(id, Settings{Shards: 1, Slack: time.Second, MaxWindow: time.Minute, MaxClaims: 10, ResendAfter: 10 * ms})
		n.ApplyMembership([]string{"a", "b", "c"}, nil, true, []ShardState{{Epoch: 1, Replicas: []string{"a", "b"}}}, e.now)
		n.SetLeaseEnd(e.now + time.Hour)
		e.nodes[id] = n
	}
	for i, id := range []string{"b", "c"} {
		c := Claim{Token: "t", Object: 1, Group: string(rune('x' + i)), Request: id, Window: time.Minute}
		e.nodes[id].Request(1, c, true, e.now+time.Hour, e.now)
		e.deliver(id)
	}
	return e
}

// deliver adds the messages of a node to those in flight and records the groups that execute the token.
func (e *exploration) deliver(id string) {
	for {
		out, outcomes, _ := e.nodes[id].DrainOutput()
		if len(out)+len(outcomes) == 0 {
			return
		}
		for _, o := range out {
			if o.To == id {
				e.nodes[id].Receive(id, o.Message, e.now)
			} else {
				e.inFlight = append(e.inFlight, inFlightMessage{from: id, to: o.To, message: o.Message})
			}
		}
		for _, o := range outcomes {
			switch o.Verdict {
			case Granted:
				e.groups[map[string]string{"b": "x", "c": "y"}[id]] = true
			case HeldElsewhere:
				e.groups[o.Group] = true
			}
		}
	}
}

// choices returns the number of choices for the next step.
func (e *exploration) choices() int { return 2*len(e.inFlight) + 3 + 1 + 2 }

// apply performs one of the choices.
func (e *exploration) apply(c int) {
	if c < 2*len(e.inFlight) {
		f := e.inFlight[c/2]
		e.inFlight = append(append([]inFlightMessage(nil), e.inFlight[:c/2]...), e.inFlight[c/2+1:]...)
		if c%2 == 0 && (!e.primaryFailed || f.to != "a") {
			e.nodes[f.to].Receive(f.from, f.message, e.now)
			e.deliver(f.to)
		}
		return
	}
	switch c -= 2 * len(e.inFlight); {
	case c < 3:
		id := string(rune('a' + c))
		e.now += 50 * ms
		if !e.primaryFailed || id != "a" {
			e.nodes[id].Tick(e.now)
			e.deliver(id)
		}
	case c == 3:
		e.primaryFailed = true
	default: // the primary is removed from the membership only after its lease
		id := string(rune('b' + c - 4))
		if e.primaryFailed && !e.applied[id] {
			e.applied[id] = true
			next := ShardState{Epoch: 2, Replicas: []string{"b", "c"}, PreviousReplicas: []string{"a", "b"}}
			e.nodes[id].ApplyMembership(nil, []string{"a"}, false, []ShardState{next}, e.now)
			e.deliver(id)
		}
	}
}

// TestNoTokenRunsInTwoGroupsInAnyOrder explores all sequences of choices up to a depth: a token must never be executed in two groups.
// STAIRVANE_DEPTH overrides the depth.
func TestNoTokenRunsInTwoGroupsInAnyOrder(t *testing.T) {
	depth, sequences, maxGroups := intFromEnv("STAIRVANE_DEPTH", 5), 0, 0
	var walk func(path []int)
	walk = func(path []int) {
		e := newExploration()
		for _, c := range path {
			e.apply(c)
		}
		sequences++
		maxGroups = max(maxGroups, len(e.groups))
		if len(e.groups) > 1 {
			t.Fatalf("choices %v: the token is executed in the groups %v", path, e.groups)
		}
		if len(path) < depth {
			for c := range e.choices() {
				walk(append(path[:len(path):len(path)], c))
			}
		}
	}
	walk(nil)
	t.Logf("%d sequences", sequences)
	if maxGroups != 1 {
		t.Error("the token is never executed")
	}
}
