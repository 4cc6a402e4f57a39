package scale

import (
	"context"
	"errors"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/testharness"
)

func TestGuardMemoryCancelsRunAboveLimit(t *testing.T) {
	p, err := testharness.Start("idle", "/bin/sleep", []string{"60"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	c := &cluster{group: &testharness.Cluster{}, simulated: []*member{{Process: p, role: RoleSimulated}}}
	for _, limit := range []int64{1, machineMemory()} {
		ctx, cancel := context.WithCancelCause(t.Context())
		within, stop := context.WithTimeout(ctx, 4*memoryCheckInterval)
		start := time.Now()
		c.guardMemory(within, cancel, limit)
		if got := errors.Is(context.Cause(ctx), ErrMemoryLimit); got != (limit == 1) {
			t.Errorf("%d bytes allowed: cancelled %v after %v", limit, got, time.Since(start))
		}
		stop()
		cancel(nil)
	}
}
