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

// ErrMemoryLimit is returned by Run if the run's processes use more memory than allowed.
var ErrMemoryLimit = errors.New("scale: the run uses more than half of the machine's memory")

// Run measures all sizes in the order of the settings, and calls done after each. It stops early after MaxRun, when the processes use
// too much memory, or at the first size that collapses unless the settings say to keep on. The result holds what was measured until
// then, also if Run returns an error.
func Run(ctx context.Context, settings Settings, done func(Row)) (Result, error) {
	result := Result{
		Began:    time.Now().UTC(),
		Settings: settings,
		Cores:    runtime.NumCPU(),
		MemoryMB: float64(machineMemory()) / megabyte,
	}
	if err := settings.Check(); err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, MaxRun)
	defer cancel()
	for _, size := range settings.Directors {
		row, err := runSize(ctx, settings, size)
		if err != nil {
			result.Stopped = fmt.Sprintf("%d simulated directors: %v", size, err)
			result.Laws = fitLaws(result.Rows)
			return result, fmt.Errorf("%d simulated directors: %w", size, err)
		}
		result.Rows = append(result.Rows, row)
		done(row)
		if len(row.Collapsed) > 0 && !settings.KeepOn {
			result.Stopped = fmt.Sprintf("the control plane collapsed at %d simulated directors", size)
			break
		}
	}
	result.Laws = fitLaws(result.Rows)
	return result, nil
}

// runSize measures one size with newly started processes.
func runSize(ctx context.Context, settings Settings, size int) (row Row, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	folder := filepath.Join(settings.Folder, fmt.Sprintf("size-%d", size))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return row, err
	}
	c, err := startCluster(settings, folder)
	if err != nil {
		return row, err
	}
	defer c.close()
	if err := c.startSimulated(size); err != nil {
		return row, err
	}
	guardDone := make(chan struct{})
	go func() {
		defer close(guardDone)
		c.guardMemory(ctx, cancel, machineMemory()/memoryDivisor)
	}()
	defer func() {
		cancel(nil)
		<-guardDone
	}()
	return c.measure(ctx, size)
}

// measure waits until all directors have joined or the time is over, starts the load and measures a window.
func (c *cluster) measure(ctx context.Context, size int) (row Row, err error) {
	row = Row{Began: time.Now().UTC(), Simulated: size, Real: c.settings.RealDirectors, Fault: c.settings.Fault}
	var took time.Duration
	if row.Joined, took, err = c.awaitJoined(size+c.settings.RealDirectors, joinTimeout); err != nil {
		return row, err
	}
	row.JoinSeconds = took.Seconds()
	workload, err := startLoad(c.group, c.settings)
	if err != nil {
		return row, err
	}
	defer workload.stopAndWait()
	if err := sleep(ctx, c.settings.Settle); err != nil {
		return row, err
	}
	w := &window{cluster: c, settings: c.settings, load: workload, row: &row}
	if err := w.measure(ctx); err != nil {
		return row, err
	}
	row.Collapsed = collapseReasons(row)
	return row, c.saveLogs()
}

// guardMemory cancels the run with ErrMemoryLimit when its processes use more memory than limit, in bytes; 0 means no limit. It returns
// then or when the context is done.
func (c *cluster) guardMemory(ctx context.Context, cancel context.CancelCauseFunc, limit int64) {
	for sleep(ctx, memoryCheckInterval) == nil {
		if limit > 0 && c.residentMemory() > limit {
			cancel(ErrMemoryLimit)
			return
		}
	}
}

// sleep waits for the given time. If the context is done first, it returns the cause.
func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(length):
		return nil
	}
}
