package owners

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

type operation struct {
	id, core int
	release  bool
}

// Guards against an ID that has two owners or is released by a core that does not own it: the operations must be
// linearizable.
func TestAcquireAndReleaseAreLinearizable(t *testing.T) {
	seed := uint64(1)
	t.Logf("seed %d", seed)
	table, start := New(), time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wg sync.WaitGroup
	for core := range 4 {
		rng := rand.New(rand.NewPCG(seed, uint64(core)))
		wg.Go(func() {
			for range 300 {
				in := operation{id: rng.IntN(3), core: core, release: rng.IntN(2) == 0}
				call, out := time.Since(start).Nanoseconds(), true
				if in.release {
					table.Release(fmt.Sprint(in.id), core)
				} else {
					out = table.Acquire(fmt.Sprint(in.id), core)
				}
				end := time.Since(start).Nanoseconds()
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: core, Input: in, Call: call, Output: out, Return: end})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, 3)
			for _, o := range all {
				id := o.Input.(operation).id
				parts[id] = append(parts[id], o)
			}
			return parts
		},
		Init: func() any { return -1 },
		Step: func(state, input, output any) (bool, any) {
			owner, in := state.(int), input.(operation)
			switch {
			case in.release && owner == in.core:
				return true, -1
			case in.release:
				return true, owner
			case owner == -1:
				return output.(bool), in.core
			}
			return !output.(bool), owner
		},
	}
	if !porcupine.CheckOperations(model, ops) {
		t.Error("the operations are not linearizable")
	}
}
