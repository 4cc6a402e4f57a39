package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	joinTimeout         = 45 * time.Second
	memoryCheckInterval = 500 * time.Millisecond
)

// ErrMemory ends a run that uses more memory than it may.
var ErrMemory = errors.New("scale: the run uses more than half of the machine's memory")

// Run measures all sizes, the smallest first wanted first, and calls done after each. It ends by itself: after MaxRun, when the
// processes use too much memory, or at the first size that collapses unless the settings say to keep on. What was measured until
// then is in the result, beside the error if there is one.
func Run(ctx context.Context, set Settings, done func(Row)) (Result, error) {
	result := Result{
		Began:    time.Now().UTC(),
		Settings: set,
		Cores:    runtime.NumCPU(),
		MemoryMB: float64(machineMemory()) / megabyte,
	}
	if err := set.Check(); err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, MaxRun)
	defer cancel()
	for _, size := range set.Directors {
		row, err := runSize(ctx, set, size)
		if err != nil {
			result.Stopped = fmt.Sprintf("%d hollow directors: %v", size, err)
			result.Laws = fitLaws(result.Rows)
			return result, fmt.Errorf("%d hollow directors: %w", size, err)
		}
		result.Rows = append(result.Rows, row)
		done(row)
		if len(row.Collapsed) > 0 && !set.KeepOn {
			result.Stopped = fmt.Sprintf("it collapsed at %d hollow directors", size)
			break
		}
	}
	result.Laws = fitLaws(result.Rows)
	return result, nil
}

// runSize measures one size with processes of its own.
func runSize(ctx context.Context, set Settings, size int) (row Row, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	folder := filepath.Join(set.Folder, fmt.Sprintf("size-%d", size))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return row, err
	}
	c, err := startCluster(set, folder)
	if err != nil {
		return row, err
	}
	defer c.close()
	if err := c.startSimulated(size); err != nil {
		return row, err
	}
	guarded := make(chan struct{})
	go func() {
		defer close(guarded)
		c.guardMemory(ctx, cancel, machineMemory()/memoryDivisor)
	}()
	defer func() {
		cancel(nil)
		<-guarded
	}()
	return c.measure(ctx, size)
}

// measure waits until all directors are there, applies the load and takes a window.
func (c *cluster) measure(ctx context.Context, size int) (row Row, err error) {
	row = Row{Began: time.Now().UTC(), Simulated: size, Real: c.settings.RealDirectors, Fault: c.settings.Fault}
	var took time.Duration
	if row.Joined, took, err = c.awaitJoined(size+c.settings.RealDirectors, joinTimeout); err != nil {
		return row, err
	}
	row.JoinSeconds = took.Seconds()
	purges, err := startLoad(c.group, c.settings)
	if err != nil {
		return row, err
	}
	defer purges.end()
	if err := sleep(ctx, c.settings.Settle); err != nil {
		return row, err
	}
	w := &window{cluster: c, settings: c.settings, load: purges, row: &row}
	if err := w.measure(ctx); err != nil {
		return row, err
	}
	row.Collapsed = collapseReasons(row)
	return row, c.saveLogs()
}

// guardMemory cancels the run when its processes use more memory, in bytes, than they may; 0: any.
func (c *cluster) guardMemory(ctx context.Context, cancel context.CancelCauseFunc, most int64) {
	for sleep(ctx, memoryCheckInterval) == nil {
		if most > 0 && c.resident() > most {
			cancel(ErrMemory)
			return
		}
	}
}

// sleep waits; the error is why the context ended before.
func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(length):
		return nil
	}
}
