package replicas

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
)

const (
	callWithin           = 500 * time.Millisecond
	linkQueue            = 4096
	linkTogether         = 4 << 20 // bytes in one call
	linkPause            = 25 * time.Millisecond
	wholeEvery           = 250 * time.Millisecond // to one copy, at most
	snapshotStallTimeout = 10 * time.Second       // for a whole state that does not move
	snapshotVerifyRate   = 4 << 20                // bytes a second that a copy checks at least of a whole state that it has
)

// Headers of a call between copies.
const (
	groupHeader = "Stairvane-Group"
	diskHeader  = "Stairvane-Disk"
	runHeader   = "Stairvane-Run"
	nameHeader  = "Stairvane-Copy"
	takenHeader = "Stairvane-Taken" // of a whole state: index and term of its message
)

// peer carries messages to one other copy, in order, one call at a time.
type peer struct {
	group *Group
	to    operatorconfig.Replica
	queue chan *pb.Message
}

func newPeer(g *Group, to operatorconfig.Replica) *peer {
	return &peer{group: g, to: to, queue: make(chan *pb.Message, linkQueue)}
}

func (l *peer) url(path string) string {
	return l.group.set.Scheme + "://" + l.to.Address.String() + path
}

// nameOf is the name of a disk's copy: by the members, or, at a copy that is being let in and does not know them, by what
// the disk's messages say.
func (g *Group) nameOf(disk uint64) string {
	if m, is := g.driver.Members()[disk]; is {
		return m.Name
	}
	return g.names[disk]
}

// send hands messages to the links.
func (g *Group) send(messages []*pb.Message) {
	for _, m := range messages {
		l := g.links[g.nameOf(m.GetTo())]
		if m.GetType() == pb.MsgSnap {
			g.sendWhole(l, m)
			continue
		}
		if l == nil { // its place is not in this copy's file, or it has left
			continue
		}
		select {
		case l.queue <- m:
		default:
			g.driver.ReportUnreachable(m.GetTo())
		}
	}
}

func (l *peer) run() {
	for {
		var m *pb.Message
		select {
		case <-l.group.stop:
			return
		case m = <-l.queue:
		}
		var body []byte
		var err error
		for m != nil {
			if body, err = appendMessage(body, m); err != nil {
				slog.Error("copies.message", "err", err)
			}
			last := m
			m = nil
			if len(body) < linkTogether {
				select {
				case m = <-l.queue:
				default:
				}
			}
			if m == nil {
				l.deliver(body, last.GetTo())
			}
		}
	}
}

func appendMessage(b []byte, m *pb.Message) ([]byte, error) {
	at := len(b)
	out, err := proto.MarshalOptions{}.MarshalAppend(append(b, 0, 0, 0, 0), m)
	if err != nil {
		return b, err
	}
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at-4))
	return out, nil
}

// deliver makes one call. What is lost is reported to the driver, and so is that another start of the program has this disk.
func (l *peer) deliver(body []byte, to uint64) {
	g := l.group
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	status, answer, err := g.call(ctx, l.url("/v1/copies/messages"), "application/octet-stream", bytes.NewReader(body), nil)
	switch {
	case err != nil || status >= 500:
		g.post(func() {
			if g.driver != nil {
				g.driver.ReportUnreachable(to)
			}
		})
		select {
		case <-g.stop:
		case <-time.After(linkPause):
		}
	case status == http.StatusConflict:
		reason := string(bytes.TrimSpace(answer))
		g.post(func() {
			if g.phase == Active {
				g.out(reason)
			}
		})
	}
}

// call makes a call as this copy; an error means that there is no answer. Whatever the call was for, the answer 410 says that the
// disk was taken out of the group, and ends its part.
func (g *Group) call(ctx context.Context, url, kind string, body io.Reader, header map[string]string) (status int, answer []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return 0, nil, err
	}
	i, _ := g.store.Identity()
	req.Header.Set("Content-Type", kind)
	req.Header.Set(groupHeader, strconv.FormatUint(i.Group, 16))
	req.Header.Set(diskHeader, strconv.FormatUint(i.Disk, 16))
	req.Header.Set(nameHeader, g.set.Self)
	req.Header.Set(runHeader, strconv.FormatUint(g.run, 16))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := g.set.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if res.StatusCode == http.StatusGone {
		g.post(func() {
			if g.phase != Excluded {
				g.out(string(bytes.TrimSpace(answer)))
			}
		})
	}
	return res.StatusCode, answer, err
}

// ask makes a call with JSON both ways.
func (g *Group) ask(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	status, answer, err := g.call(ctx, url, "application/json", bytes.NewReader(body), nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%d: %s", status, bytes.TrimSpace(answer))
	}
	return json.Unmarshal(answer, out)
}

// sendWhole sends the store as it is to a copy that is too far behind, or new.
func (g *Group) sendWhole(l *peer, m *pb.Message) {
	to := m.GetTo()
	now := Now()
	if l == nil || g.sending[to] || now-g.sentWhole[to] < wholeEvery && g.sentWhole[to] > 0 {
		g.driver.ReportSnapshot(to, false) // it is asked for again
		return
	}
	g.sentWhole[to] = now
	if g.store.HasUnpersisted() { // the file is to hold what the message says
		if err := g.save(nil); err != nil {
			g.driver.ReportSnapshot(to, false)
			return
		}
	}
	g.sending[to] = true
	go func() {
		begin := time.Now()
		length, err := g.stream(l, m)
		if err != nil {
			slog.Warn("copies.whole_not_sent", "to", l.to.Name, "err", err)
		} else {
			slog.Info("copies.whole_sent", "to", l.to.Name, "bytes", length, "took_ms", time.Since(begin).Milliseconds())
		}
		g.post(func() {
			delete(g.sending, to)
			g.sentWhole[to] = Now()
			if g.driver != nil {
				g.driver.ReportSnapshot(to, err == nil)
			}
		})
	}()
}

// stallReader ends a call whose body is not taken for a while. Once it is taken whole, the other copy has the time to check it.
type stallReader struct {
	r            io.Reader
	stuck, check time.Duration
	timer        *time.Timer
}

func (m stallReader) Read(b []byte) (n int, err error) {
	m.timer.Reset(m.stuck)
	if n, err = m.r.Read(b); err == io.EOF {
		m.timer.Reset(m.check)
	}
	return n, err
}

// verifyTimeout is how long a copy may take to check a whole state of a size in bytes: every value of it, and the chain.
func verifyTimeout(size int64) time.Duration {
	return snapshotStallTimeout + time.Duration(size/snapshotVerifyRate)*time.Second
}

func (g *Group) stream(l *peer, m *pb.Message) (length int64, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stuck := time.AfterFunc(snapshotStallTimeout, cancel)
	defer stuck.Stop()
	err = g.store.ExportSnapshot(func(t store.AppliedState, size int64, write func(io.Writer) error) error {
		length = size
		r, w := io.Pipe()
		go func() { w.CloseWithError(write(w)) }()
		defer r.Close()
		status, answer, err := g.call(ctx, l.url("/v1/copies/whole"), "application/octet-stream", stallReader{r, snapshotStallTimeout, verifyTimeout(size), stuck}, map[string]string{
			takenHeader: fmt.Sprintf("%d %d", m.GetTerm(), m.GetTo()), "Stairvane-Length": strconv.FormatInt(size, 10),
		})
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return fmt.Errorf("%d: %s", status, bytes.TrimSpace(answer))
		}
		return nil
	})
	return length, err
}

// lease keeps the lease under which this copy holds followers.
func (g *Group) lease() {
	every := g.set.Lease / 4
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(every):
		}
		if err := g.renew(); err != nil && !errors.Is(err, store.ErrNotLeader) {
			slog.Debug("copies.no_lease", "err", err)
		}
	}
}

// LeaseRequest is what a holder says when it asks for its lease.
type LeaseRequest struct {
	Acknowledged int64          `json:"told"`
	Revision     int64          `json:"revision"`
	Heartbeats   api.Heartbeats `json:"signs"`
}

func (g *Group) renew() error {
	s := g.status.Load()
	asked := Now()
	ctx, cancel := context.WithTimeout(context.Background(), g.set.Lease)
	defer cancel()
	lease := replica.Lease{Length: g.set.Lease, Drift: g.set.Drift}
	switch {
	case s.IsLeader:
		if err := g.Barrier(ctx); err != nil {
			return err
		}
	case s.leaderName == "":
		return store.ErrNotLeader
	default:
		l := g.links[s.leaderName]
		if l == nil {
			return store.ErrNotLeader
		}
		var granted api.LeaseAnswer
		if err := g.ask(ctx, l.url("/v1/copies/lease"), LeaseRequest{g.set.Acknowledged(), g.store.Fleet().Revision, g.set.Heartbeats()}, &granted); err != nil {
			return err
		}
		g.set.TakeLeaseAnswer(granted)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Got(lease, asked)
	return nil
}
