package replicas

import (
	"io"
	"log/slog"
	"net/http"

	pb "go.etcd.io/raft/v3/raftpb"
)

// maxMessagesBytes is the maximum size of the body of a messages call.
const maxMessagesBytes = 64 << 20

// sender identifies the replica that makes a call.
type sender struct {
	group       uint64
	disk        uint64
	incarnation uint64
	name        string
}

// authenticate reads the sender's group, disk and incarnation from the headers, and rejects a sender
// of another group.
func (g *Group) authenticate(w http.ResponseWriter, r *http.Request) (from sender, ok bool) {
	for _, field := range []struct {
		header string
		value  *uint64
	}{
		{groupHeader, &from.group},
		{diskHeader, &from.disk},
		{incarnationHeader, &from.incarnation},
	} {
		number, err := parseID(r.Header.Get(field.header))
		if err != nil {
			http.Error(w, "this is for copies: "+field.header+" is missing", http.StatusBadRequest)
			return sender{}, false
		}
		*field.value = number
	}
	if identity, _ := g.store.Identity(); from.group != identity.Group || from.group == 0 {
		http.Error(w, "this copy is of another group", http.StatusPreconditionFailed)
		return sender{}, false
	}
	from.name = r.Header.Get(nameHeader)
	return from, true
}

// authorize authenticates the sender, and rejects an incarnation that another one has superseded and
// a disk that is not a member.
func (g *Group) authorize(w http.ResponseWriter, r *http.Request) (from sender, ok bool) {
	if from, ok = g.authenticate(w, r); !ok {
		return sender{}, false
	}
	if !g.disks.acceptIncarnation(from.disk, from.incarnation) {
		http.Error(w, "another start of the program has presented itself with this disk: this one counts no more", http.StatusConflict)
		return sender{}, false
	}
	return from, g.checkMember(w, from.disk)
}

// checkMember answers with status 410 if a disk is not a member. Every replica can tell that a disk
// was removed, because a removal is final. Only the leader can tell that an unknown disk is not a
// member: other replicas may not have applied its admission yet.
func (g *Group) checkMember(w http.ResponseWriter, disk uint64) (ok bool) {
	s := g.published.Load()
	_, isKnown := s.members[disk]
	if s.removed[disk] || s.IsLeader && !isKnown {
		http.Error(w, removedText, http.StatusGone)
		return false
	}
	return true
}

// serveMessages receives messages of another replica's driver and queues them for the loop.
func (g *Group) serveMessages(w http.ResponseWriter, r *http.Request) {
	from, ok := g.authorize(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessagesBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	messages, err := decodeMessages(body, from.disk)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.disks.observe(from.disk, messages)
	g.runOnLoop(func() { g.stepMessages(from, messages) })
	w.WriteHeader(http.StatusNoContent)
}

// stepMessages passes received messages to the driver. It must be called on the loop.
func (g *Group) stepMessages(from sender, messages []*pb.Message) {
	if g.driver == nil {
		return
	}
	g.contacts.Received(from.disk)
	g.senderNames[from.disk] = from.name
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap { // accepted only together with its snapshot, by serveSnapshot
			continue
		}
		if err := g.driver.Step(m); err != nil {
			slog.Debug("replica.message_rejected", "err", err)
		}
	}
}
