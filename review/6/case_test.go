//go:build review

package case6

import (
	"os/exec"
	"testing"
)

// TestReviewCoresHearOfPurgesUntilTheyEnd runs the case's script, which ends with 1 if the rule is broken and with 2 if the case could not run.
func TestReviewCoresHearOfPurgesUntilTheyEnd(t *testing.T) {
	if out, err := exec.Command("./run.sh").CombinedOutput(); err != nil {
		t.Errorf("run.sh: %v\n%s", err, out)
	}
}
