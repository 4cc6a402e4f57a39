package replicas

import (
	"fmt"

	"stairvane.org/stairvane/internal/controlplane/store"
)

// proposal is a batch of writes that is proposed and not committed yet.
type proposal struct {
	tag      uint64
	requests []*store.Request
	results  []error // of the evaluation, in the order of requests; valid once the batch is committed
}

// complete answers the requests after the batch was applied.
func (p *proposal) complete() {
	for i, r := range p.requests {
		r.Answer(p.results[i])
	}
}

func (p *proposal) fail(err error) {
	for _, r := range p.requests {
		r.Answer(err)
	}
}

// acceptsRequests reports whether the loop receives write requests now. A replica that is not the
// leader receives them to reject them. The leader receives one batch at a time, and none before it
// has applied the entries that earlier leaders committed.
func (g *Group) acceptsRequests() bool {
	if g.driver == nil || !g.driver.Status().IsLeader {
		return true
	}
	return g.driver.CanPropose() && g.proposal == nil
}

// propose proposes a batch of a request and the requests queued after it.
func (g *Group) propose(first *store.Request) {
	if g.driver == nil || !g.driver.CanPropose() {
		first.Answer(store.ErrNotLeader)
		return
	}
	p := &proposal{requests: g.collectRequests(first)}
	data, results, err := g.store.Evaluate(p.requests)
	if err == nil {
		p.tag, err = g.driver.Propose(data)
		if err != nil { // the leadership is being transferred
			err = store.ErrNotLeader
		}
	}
	if err != nil {
		p.fail(fmt.Errorf("not written: %w", err))
		return
	}
	p.results = results
	g.proposal = p
}

// collectRequests returns a request and the requests queued after it, up to the batch size.
func (g *Group) collectRequests(first *store.Request) []*store.Request {
	batch := []*store.Request{first}
	for len(batch) < g.settings.Batch {
		select {
		case r := <-g.store.Requests():
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// proposeNextBatch proposes the next batch without waiting for the event loop, so that its entries
// are persisted with the next disk sync.
func (g *Group) proposeNextBatch() {
	if g.driver.InFlight() != 0 || !g.driver.CanPropose() || g.proposal != nil {
		return
	}
	select {
	case r := <-g.store.Requests():
		g.propose(r)
	default:
	}
}
