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
	for _, most := range []int64{1, machineMemory()} {
		ctx, cancel := context.WithCancelCause(t.Context())
		within, stop := context.WithTimeout(ctx, 4*memoryCheckInterval)
		begin := time.Now()
		c.guardMemory(within, cancel, most)
		if got := errors.Is(context.Cause(ctx), ErrMemoryLimit); got != (most == 1) {
			t.Errorf("%d bytes allowed: cancelled %v after %v", most, got, time.Since(begin))
		}
		stop()
		cancel(nil)
	}
}
