package controlplane

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
)

// purgeOp is the input of a call: a purge, or a read of the revision.
type purgeOp struct{ isRead bool }

// purgeResult is the outcome of a call: a revision, or unknown if the purge may or may not have been committed.
type purgeResult struct {
	revision int64
	unknown  bool
}

// TestLinearizableAcrossKills checks that the calls of concurrent writers and readers are linearizable while the server is repeatedly
// killed and restarted. A purge whose call failed may have been committed at any time until the end, or never.
func TestLinearizableAcrossKills(t *testing.T) {
	seed := uint64(1)
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	folder := t.TempDir()
	set := settingsIn(folder)
	begin := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 4 {
		c := client(t, set, "")
		own := rand.New(rand.NewPCG(seed, uint64(id)+2))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				op := porcupine.Operation{ClientId: id, Input: purgeOp{isRead: own.IntN(3) == 0}, Call: time.Since(begin).Nanoseconds()}
				var r purgeResult
				if op.Input.(purgeOp).isRead {
					current, err := c.State()
					if err != nil { // a read that failed has no outcome
						time.Sleep(5 * time.Millisecond)
						continue
					}
					r.revision = current.Fleet.Revision
				} else {
					p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", own.Uint64())})
					r.revision = p.Revision
					if err != nil {
						time.Sleep(5 * time.Millisecond)
						if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
							continue // the request was not sent
						}
						r.unknown = true
					}
				}
				op.Output = r
				op.Return = time.Since(begin).Nanoseconds()
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	for range 4 {
		cmd := childProcess(t, "serve", folder, 0)
		check(t, cmd.Start())
		c := client(t, set, "")
		waitUntil(t, "the server answers", func() bool { _, err := c.State(); return err == nil })
		mu.Lock()
		want := len(ops) + 40 + rng.IntN(60)
		mu.Unlock()
		waitUntil(t, "work", func() bool { mu.Lock(); defer mu.Unlock(); return len(ops) >= want })
		check(t, cmd.Process.Kill())
		_ = cmd.Wait()
	}
	close(stop)
	wg.Wait()
	unknown, certain := 0, 0
	for i, o := range ops {
		if r := o.Output.(purgeResult); r.unknown {
			unknown++
			ops[i].Return = time.Since(begin).Nanoseconds()
		} else {
			certain++
		}
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			n, r := state.(int64), output.(purgeResult)
			switch {
			case input.(purgeOp).isRead && r.revision == n:
				return []any{n}
			case input.(purgeOp).isRead:
				return nil
			case r.unknown:
				return []any{n, n + 1}
			case r.revision == n+1:
				return []any{r.revision}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), ops, 30*time.Second) {
	case porcupine.Illegal:
		t.Errorf("not linearizable: %d calls, %d with unknown outcome", certain, unknown)
	case porcupine.Unknown:
		t.Errorf("linearizability check timed out: %d calls, %d with unknown outcome", certain, unknown)
	}
	t.Logf("%d calls, %d with unknown outcome", certain, unknown)
	s, err := store.Open(set.Store, store.Options{})
	check(t, err)
	check(t, s.Close())
}
