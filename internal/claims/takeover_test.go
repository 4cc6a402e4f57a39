package claims

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestPreviousReplicasLostDuringTakeover covers replicas of the last ready epoch that are members when the next epoch starts and leave
// before they have sent their claims. Those claims may still be in force, so nothing may be granted until claims of the longest window
// have expired. If one replica has sent its claims, requests are granted immediately.
func TestPreviousReplicasLostDuringTakeover(t *testing.T) {
	for _, sent := range []bool{false, true} {
		settings := Settings{Shards: 1, MaxClaims: 100, MaxWindow: 4 * time.Second, Slack: time.Second, ResendAfter: 50 * ms}
		n := New("c", settings)
		n.SetLeaseEnd(time.Hour)
		shard := ShardState{Epoch: 2, Replicas: []string{"c"}, PreviousReplicas: []string{"a", "b"}}
		n.ApplyMembership([]string{"a", "b", "c"}, nil, true, []ShardState{shard}, 0)
		out, _, _ := n.DrainOutput()
		if sent {
			for _, s := range out {
				if s.To == "a" && s.Kind == CloseEpoch {
					n.Receive("a", Message{Kind: EpochClosed, Seq: s.Seq, Epoch: 2}, time.Millisecond)
				}
			}
		}
		n.ApplyMembership(nil, []string{"a", "b"}, false, nil, 2*time.Millisecond)
		for at := 2 * time.Millisecond; at < 10*time.Second; at += 500 * time.Millisecond {
			n.Tick(at)
			if all := n.ReadyShards(); len(all) > 0 {
				n.ApplyMembership(nil, nil, false, []ShardState{{Shard: int(all[0]), ReadyEpoch: all[1]}}, at)
			}
			wanted := Claim{Token: fmt.Sprint(at), Window: time.Second}
			n.Receive("d", Message{Kind: RequestClaim, Seq: uint64(at), Epoch: 2, Claims: []Claim{wanted}}, at)
			out, _, _ := n.DrainOutput()
			granted := slices.ContainsFunc(out, func(s OutgoingMessage) bool { return s.Kind == ReplyClaim && s.Verdict == Granted })
			if want := sent || at >= 9*time.Second+2*ms; granted != want {
				t.Errorf("claims sent %v: after %v granted is %v", sent, at, granted)
			}
		}
	}
}
