//go:build review

package main

import (
	"os/exec"
	"testing"
)

// TestReviewSecond runs the scripts of the second review's cases, which end with 1 if the rule is broken and with 2 if the case could not run.
func TestReviewSecond(t *testing.T) {
	for _, number := range []string{"6", "7", "8"} {
		t.Run(number, func(t *testing.T) {
			if out, err := exec.Command("../" + number + "/run.sh").CombinedOutput(); err != nil {
				t.Errorf("run.sh: %v\n%s", err, out)
			}
		})
	}
}
