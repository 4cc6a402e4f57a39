package claims

import (
	"testing"
	"time"
)

// Guards against taking a reply that lacks the claim it is about for a verdict: its group and age would be wrong.
func TestReplyWithoutItsClaimIsNoVerdict(t *testing.T) {
	for _, verdict := range []Verdict{Granted, HeldElsewhere} {
		n := New("a", Settings{Shards: 1, MaxClaims: 100, MaxWindow: 4 * time.Second, Slack: time.Second, ResendAfter: 50 * ms})
		n.SetLeaseEnd(time.Hour)
		n.ApplyMembership([]string{"a", "b"}, nil, true, []ShardState{{Epoch: 2, Replicas: []string{"b"}}}, 0)
		wanted := Claim{Token: "token", Group: "west", Owner: "a", Request: "r1", Window: time.Second}
		n.Request(1, wanted, false, time.Second, 0)
		out, _, _ := n.DrainOutput()
		if len(out) != 1 || out[0].Kind != RequestClaim {
			t.Fatalf("%+v", out)
		}
		reply := Message{Kind: ReplyClaim, Seq: out[0].Seq, Epoch: 2, Verdict: verdict}
		n.Receive("b", reply, ms)
		if _, outcomes, _ := n.DrainOutput(); len(outcomes) != 0 {
			t.Errorf("an incomplete reply has the outcome %+v", outcomes)
		}
		n.Tick(100 * ms)
		if out, _, _ = n.DrainOutput(); len(out) != 1 || out[0].Kind != RequestClaim {
			t.Errorf("the request is not sent again: %+v", out)
		}
		reply.Claims = []Claim{wanted}
		n.Receive("b", reply, 101*ms)
		if _, outcomes, _ := n.DrainOutput(); len(outcomes) != 1 || outcomes[0].Verdict != verdict || outcomes[0].Group != "west" {
			t.Errorf("outcomes %+v", outcomes)
		}
	}
}
