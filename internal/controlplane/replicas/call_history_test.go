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

// purgeOp is a call of a client: a purge, or a read of the last revision.
type purgeOp struct{ isRead bool }

// purgeResult is what a call returned.
type purgeResult struct {
	revision  int64
	isUnknown bool // nobody knows whether the purge was done
}

// callHistory is clients that purge and read without end, and what each call returned.
type callHistory struct {
	mu       sync.Mutex
	ops      []porcupine.Operation
	accepted map[string]int64 // events of the purges that were answered, by object
	unknown  map[string]bool  // objects of purges without an answer
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

// run is one client.
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

func (h *callHistory) end() {
	close(h.stop)
	h.clients.Wait()
}

// checkLinearizable checks that the calls can have happened one after the other. Applies append
// events too, so a revision may be higher than the one after the last; never lower or the same.
func (h *callHistory) checkLinearizable(t *testing.T) {
	t.Helper()
	for i, op := range h.ops {
		if op.Output.(purgeResult).isUnknown { // it may take effect at any later time
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
		t.Error("whether the calls are linearizable was not decided in time")
	}
}

// historyOf reads a replica's events, byte for byte as it serves them.
func historyOf(t *testing.T, r *testharness.Replica) (events []json.RawMessage) {
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

// checkHistories compares the replicas' events with each other and with the answers of the calls:
// they are equal byte for byte, every answered purge is there once and under its number, every
// unanswered one at most once.
func (h *callHistory) checkHistories(t *testing.T, cluster *testharness.Cluster) {
	t.Helper()
	var longest []json.RawMessage
	histories := map[string][]json.RawMessage{}
	for _, r := range cluster.Replicas {
		if r.IsStandby {
			continue
		}
		events := historyOf(t, r)
		histories[r.Name] = events
		if len(events) > len(longest) {
			longest = events
		}
	}
	for name, events := range histories {
		for i := range events {
			if string(events[i]) != string(longest[i]) {
				t.Fatalf("replica %s has %s where another has %s", name, events[i], longest[i])
			}
		}
		if len(events) < len(longest)-50 {
			t.Errorf("replica %s ends at event %d, another at %d", name, len(events), len(longest))
		}
	}
	h.checkPurges(t, longest)
	t.Logf("%d events, %d purges answered, %d not, replicas have %d", len(longest), len(h.accepted), len(h.unknown), len(histories))
}

func (h *callHistory) checkPurges(t *testing.T, events []json.RawMessage) {
	t.Helper()
	numbers := map[string]int64{} // of the purges, by object
	for i, raw := range events {
		var event fleet.Event
		check(t, json.Unmarshal(raw, &event))
		if event.No != int64(i+1) {
			t.Fatalf("event %d stands where %d is wanted", event.No, i+1)
		}
		if event.Purge == nil {
			continue
		}
		if first, isRepeated := numbers[event.Purge.Object]; isRepeated {
			t.Errorf("purge of %s is event %d and %d", event.Purge.Object, first, event.No)
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
		t.Errorf("%d of %d accepted purges are missing or elsewhere", lost, len(h.accepted))
	}
}
