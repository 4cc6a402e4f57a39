package replicas_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// purgeOp is a client's call: a purge, or a read of the current revision.
type purgeOp struct{ isRead bool }

// purgeResult is the result of a call.
type purgeResult struct {
	revision  int64
	isUnknown bool // the client does not know whether the purge took effect
}

// callHistory runs clients that purge and read until stopClients, and records their calls and
// results.
type callHistory struct {
	mu       sync.Mutex
	ops      []porcupine.Operation
	accepted map[string]int64 // revisions of the acknowledged purges, by object
	unknown  map[string]bool  // objects of purges without a response
	begin    time.Time
	stop     chan struct{}
	clients  sync.WaitGroup
}

func startCalls(t *testing.T, cluster *testharness.Cluster, clients int, seed uint64) *callHistory {
	h := &callHistory{accepted: map[string]int64{}, unknown: map[string]bool{}, begin: time.Now(), stop: make(chan struct{})}
	for id := range clients {
		c, err := cluster.Client()
		check(t, err)
		rng := rand.New(rand.NewPCG(seed, uint64(id)+2))
		h.clients.Go(func() { h.run(c, id, rng) })
	}
	return h
}

// run makes calls as one client until the clients are stopped.
func (h *callHistory) run(c *api.Client, id int, rng *rand.Rand) {
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(time.Duration(rng.IntN(15)) * time.Millisecond):
		}
		op := purgeOp{isRead: rng.IntN(4) == 0}
		called := time.Since(h.begin)
		object := fmt.Sprintf("%016x", rng.Uint64())
		var result purgeResult
		if op.isRead {
			state, err := c.State()
			if err != nil {
				continue
			}
			result.revision = state.Fleet.Revision
		} else {
			purge, err := c.Purge(fleet.Purge{Object: object})
			result.revision = purge.Revision
			result.isUnknown = err != nil
		}
		h.record(porcupine.Operation{
			ClientId: id,
			Input:    op,
			Call:     called.Nanoseconds(),
			Output:   result,
			Return:   time.Since(h.begin).Nanoseconds(),
		}, object)
	}
}

func (h *callHistory) record(op porcupine.Operation, object string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	if op.Input.(purgeOp).isRead {
		return
	}
	if result := op.Output.(purgeResult); result.isUnknown {
		h.unknown[object] = true
	} else {
		h.accepted[object] = result.revision
	}
}

func (h *callHistory) stopClients() {
	close(h.stop)
	h.clients.Wait()
}

// checkLinearizable checks that the recorded calls are linearizable. Applies append events too, so
// the revision of a purge may exceed the previous one by any amount, but never be equal or lower.
func (h *callHistory) checkLinearizable(t *testing.T) {
	t.Helper()
	for i, op := range h.ops {
		if op.Output.(purgeResult).isUnknown { // the purge may take effect at any later time
			h.ops[i].Return = time.Since(h.begin).Nanoseconds()
		}
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			last := state.(int64)
			result := output.(purgeResult)
			switch {
			case input.(purgeOp).isRead && result.revision >= last:
				return []any{result.revision}
			case input.(purgeOp).isRead:
				return nil
			case result.isUnknown:
				return []any{last, last + 1}
			case result.revision > last:
				return []any{result.revision}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), h.ops, 30*time.Second) {
	case porcupine.Illegal:
		t.Error("the calls are not linearizable")
	case porcupine.Unknown:
		t.Error("the linearizability check timed out")
	}
}

// eventsOf returns the events that a replica serves, as the exact bytes.
func eventsOf(t *testing.T, r *testharness.Replica) (events []json.RawMessage) {
	t.Helper()
	for {
		res, err := http.Get(fmt.Sprintf("http://%s/v1/history?local=1&after=%d", r.Write.Addr(), len(events)))
		check(t, err)
		body, err := io.ReadAll(res.Body)
		check(t, errors.Join(err, res.Body.Close()))
		var page struct{ Events []json.RawMessage }
		check(t, json.Unmarshal(body, &page))
		if len(page.Events) == 0 {
			return events
		}
		events = append(events, page.Events...)
	}
}

// checkEventLogs compares the replicas' events with each other and with the results of the calls. The
// events that two replicas have must be equal byte for byte, and no replica may lack more than 50.
// Each acknowledged purge must be present once, under its revision, and each unacknowledged one at
// most once.
func (h *callHistory) checkEventLogs(t *testing.T, cluster *testharness.Cluster) {
	t.Helper()
	var longest []json.RawMessage
	byReplica := map[string][]json.RawMessage{}
	for _, r := range cluster.Replicas {
		if r.IsStandby {
			continue
		}
		events := eventsOf(t, r)
		byReplica[r.Name] = events
		if len(events) > len(longest) {
			longest = events
		}
	}
	for name, events := range byReplica {
		for i := range events {
			if string(events[i]) != string(longest[i]) {
				t.Fatalf("replica %s has event %s, another replica has %s", name, events[i], longest[i])
			}
		}
		if len(events) < len(longest)-50 {
			t.Errorf("the last event of replica %s is %d, that of another replica is %d", name, len(events), len(longest))
		}
	}
	h.checkPurges(t, longest)
	t.Logf("%d events, %d purges acknowledged, %d not, logs of %d replicas", len(longest), len(h.accepted), len(h.unknown), len(byReplica))
}

func (h *callHistory) checkPurges(t *testing.T, events []json.RawMessage) {
	t.Helper()
	numbers := map[string]int64{} // event numbers of the purges, by object
	for i, raw := range events {
		var event fleet.Event
		check(t, json.Unmarshal(raw, &event))
		if event.No != int64(i+1) {
			t.Fatalf("event %d is at position %d", event.No, i+1)
		}
		if event.Purge == nil {
			continue
		}
		if first, isRepeated := numbers[event.Purge.Object]; isRepeated {
			t.Errorf("purge of %s is both event %d and event %d", event.Purge.Object, first, event.No)
		}
		numbers[event.Purge.Object] = event.No
	}
	lost := 0
	for object, number := range h.accepted {
		if numbers[object] != number {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d acknowledged purges are missing or have another revision", lost, len(h.accepted))
	}
}
