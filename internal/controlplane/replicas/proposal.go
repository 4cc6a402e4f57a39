package replicas

import (
	"fmt"

	"stairvane.org/stairvane/internal/controlplane/store"
)

// proposal is a batch of writes that was proposed and is not decided.
type proposal struct {
	tag      uint64
	requests []*store.Request
	results  []error // of the evaluation, by request; valid once the batch is committed
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

// takesRequests reports whether the loop takes writes now: while it does not lead it rejects them,
// and while it leads it takes them one batch at a time, and not before it has applied what earlier
// leaders committed.
func (g *Group) takesRequests() bool {
	if g.driver == nil || !g.driver.Status().IsLeader {
		return true
	}
	return g.driver.CanPropose() && g.proposal == nil
}

// propose proposes a batch of a request and those that wait behind it.
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

// collectRequests returns a request and those that wait behind it, up to the size of a batch.
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

// proposeWaiting proposes the next batch at once, so that its entries share the next sync of the
// disk.
func (g *Group) proposeWaiting() {
	if g.driver.InFlight() != 0 || !g.driver.CanPropose() || g.proposal != nil {
		return
	}
	select {
	case r := <-g.store.Requests():
		g.propose(r)
	default:
	}
}
