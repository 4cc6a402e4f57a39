package replicas

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/operatorconfig"
)

const (
	peerQueueLength  = 4096                  // messages; those beyond are dropped, which raft survives
	maxBytesPerCall  = 4 << 20               // of messages that wait and share a call
	peerRetryBackoff = 25 * time.Millisecond // after a call that failed
)

// peer is another replica of the operator's file. It sends messages in order, one call at a time.
type peer struct {
	group *Group
	to    operatorconfig.Replica
	queue chan *pb.Message
}

func newPeer(g *Group, to operatorconfig.Replica) *peer {
	return &peer{group: g, to: to, queue: make(chan *pb.Message, peerQueueLength)}
}

// send queues the driver's messages at the peers. It is called on the loop.
func (g *Group) send(messages []*pb.Message) {
	for _, m := range messages {
		p := g.peers[g.nameOf(m.GetTo())]
		if m.GetType() == pb.MsgSnap {
			g.sendSnapshot(p, m)
			continue
		}
		if p == nil { // the receiver is not in this replica's file, or was removed
			continue
		}
		select {
		case p.queue <- m:
		default:
			g.driver.ReportUnreachable(m.GetTo())
		}
	}
}

// run sends the queued messages until the replica stops.
func (p *peer) run() {
	for {
		select {
		case <-p.group.stop:
			return
		case m := <-p.queue:
			p.deliver(p.collect(m))
		}
	}
}

// collect encodes a message and those that wait behind it, up to the size of a call. to is the
// receiver of the last one.
func (p *peer) collect(first *pb.Message) (body []byte, to uint64) {
	for m := first; m != nil; {
		var err error
		if body, err = appendMessage(body, m); err != nil {
			slog.Error("replica.message_not_encoded", "err", err)
		}
		to = m.GetTo()
		m = nil
		if len(body) < maxBytesPerCall {
			select {
			case m = <-p.queue:
			default:
			}
		}
	}
	return body, to
}

// deliver sends messages in one call. It reports to the driver that they were lost. An answer that
// another incarnation has this disk excludes the replica.
func (p *peer) deliver(body []byte, to uint64) {
	g := p.group
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := p.call(ctx, messagesPath, request{contentType: binaryType, body: bytes.NewReader(body)})
	switch {
	case err != nil || answer.status >= http.StatusInternalServerError:
		g.runOnLoop(func() {
			if g.driver != nil {
				g.driver.ReportUnreachable(to)
			}
		})
		select {
		case <-g.stop:
		case <-time.After(peerRetryBackoff):
		}
	case answer.status == http.StatusConflict:
		g.runOnLoop(func() {
			if g.phase == Active {
				g.exclude(answer.text())
			}
		})
	}
}
