package director

import (
	"errors"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/claims"
)

// Guards against a message of another director whose array is announced too short, and which would count as one without its
// claims: a replica would confirm claims that it does not have.
func TestClaimsMessageWithMissingClaimsIsMalformed(t *testing.T) {
	message := claims.Message{Kind: claims.Replicate, Seq: 1, Claims: []claims.Claim{{Token: "token", Window: time.Second}}}
	bulks, err := message.Bulks(maxClaimsBulk)
	must(t, err)
	from := respArray(claimsFrom, "d-2/1")
	whole := respArray(claimsMessage, string(message.Head()), string(bulks[0]))
	for text, wantErr := range map[string]error{
		from + whole:         nil,
		from + whole + whole: nil,
		from + strings.Replace(whole, "*3", "*2", 1): errClaimsArrayLength,
	} {
		service := &claimsService{senders: map[string]*claimsSender{}}
		service.node = claims.New("d-1/1", claims.Settings{Shards: claimsShards, MaxClaims: 10})
		receiver := &claimsReceiver{service: service}
		_, _, err := receiver.Data([]byte(text))
		_, isAnswered := service.senders["d-2/1"]
		if !errors.Is(err, wantErr) || isAnswered != (wantErr == nil) {
			t.Errorf("%q: %v, answered %t", text, err, isAnswered)
		}
	}
}
