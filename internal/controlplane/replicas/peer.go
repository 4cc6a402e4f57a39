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
	peerQueueLength  = 4096                  // messages; further ones are dropped, which raft tolerates
	maxBytesPerCall  = 4 << 20               // once a call's body has this size, no further message is added to it
	peerRetryBackoff = 25 * time.Millisecond // delay after a failed call
)

// peer sends messages to another replica in the operator's file, in order and one call at a time.
type peer struct {
	group  *Group
	config operatorconfig.Replica
	queue  chan *pb.Message
}

func newPeer(g *Group, config operatorconfig.Replica) *peer {
	return &peer{group: g, config: config, queue: make(chan *pb.Message, peerQueueLength)}
}

// send queues the driver's messages for the peers. It must be called on the loop.
func (g *Group) send(messages []*pb.Message) {
	for _, m := range messages {
		p := g.peers[g.replicaName(m.GetTo())]
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

// run sends queued messages until the replica stops.
func (p *peer) run() {
	for {
		select {
		case <-p.group.stop:
			return
		case m := <-p.queue:
			p.sendBatch(p.encodeBatch(m))
		}
	}
}

// encodeBatch encodes a message and the messages queued after it, up to maxBytesPerCall. to is the
// receiver of the last message.
func (p *peer) encodeBatch(first *pb.Message) (body []byte, to uint64) {
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

// sendBatch sends a batch of messages in one call. If the call fails, it reports the receiver to the
// driver as unreachable. It excludes this disk if the response says that another incarnation uses
// the disk.
func (p *peer) sendBatch(body []byte, to uint64) {
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
