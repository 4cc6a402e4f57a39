package simulator

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updateDigest = flag.Bool("update-digest", false, "write new decision digests after an intended change of decisions")

const (
	digestBlocks       = 20  // number of digests in the file
	digestDaysPerBlock = 100 // generated days per digest; the seed of a day is its number
	digestFile         = "decisions.digest"
)

// TestDecisionDigest guards against a refactoring that changes a decision: it hashes all actions of
// the decision module over generated days that contain every event, status and setting.
func TestDecisionDigest(t *testing.T) {
	seen := map[string]int{}
	var got strings.Builder
	for block := range digestBlocks {
		sum := sha256.New()
		first := block * digestDaysPerBlock
		for seed := first; seed < first+digestDaysPerBlock; seed++ {
			newDigestDay(t, uint64(seed), sum, seen).run()
		}
		fmt.Fprintf(&got, "seeds %d to %d: %s\n", first, first+digestDaysPerBlock-1, hex.EncodeToString(sum.Sum(nil)))
	}
	t.Logf("seeds 0 to %d\n%s", digestBlocks*digestDaysPerBlock-1, got.String())
	for _, what := range digestKinds {
		if seen[what] == 0 {
			t.Errorf("no generated day has %q", what)
		}
	}
	path := filepath.Join("testdata", digestFile)
	if *updateDigest {
		if err := os.WriteFile(path, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("the actions do not match the digests in %s:\n%s", path, want)
	}
}

// digestKinds are the events, results, settings and actions that must occur.
var digestKinds = []string{
	"up", "topology changes", "topology all", "topology remembered", "topology refused", "query", "answer", "first", "invalidated object",
	"invalidated group", "left", "alarm", "status_back", "peer", "bound", "peers", "quota", "health", "evidence", "cold demand",
	"status ok", "status error", "status full", "status timeout", "status connect_failed", "status reset", "status cancelled",
	"status moot", "status miss", "note 0", "note 1", "note 2", "note 3", "note 4", "note 5", "note 6", "note 7", "note 8", "note 9",
	"note 10", "load report", "effect safe", "effect keyed", "effect unsafe", "scope all", "scope zone", "scope cell", "weights off",
	"weights nominal", "weights rough", "weights live", "tells all", "tells hit", "tells off", "subscribe",
	"do obtain", "do deny", "do drop_request", "do abort_attempt", "do after", "do stream_changes",
}
