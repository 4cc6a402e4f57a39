package replicas

import (
	"io"
	"log/slog"
	"net/http"

	pb "go.etcd.io/raft/v3/raftpb"
)

const maxMessagesBytes = 64 << 20 // of a call's body

// sender is who makes a call.
type sender struct {
	group       uint64
	disk        uint64
	incarnation uint64
	name        string
}

// authenticate reads which disk and which incarnation of the program call, and rejects those of
// another group.
func (g *Group) authenticate(w http.ResponseWriter, r *http.Request) (from sender, ok bool) {
	for _, field := range []struct {
		header string
		value  *uint64
	}{
		{groupHeader, &from.group},
		{diskHeader, &from.disk},
		{incarnationHeader, &from.incarnation},
	} {
		number, err := parseNumber(r.Header.Get(field.header))
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

// authorize reads who calls, and rejects a disk that is no member and an incarnation that another
// one has superseded.
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

// checkMember answers 410 to a disk that is no member. Any replica knows that a disk was removed,
// for that is final; of a disk that it has never seen only the leader knows that it is no member.
func (g *Group) checkMember(w http.ResponseWriter, disk uint64) (ok bool) {
	s := g.published.Load()
	_, isKnown := s.members[disk]
	if s.removed[disk] || s.IsLeader && !isKnown {
		http.Error(w, removedText, http.StatusGone)
		return false
	}
	return true
}

// serveMessages takes in the messages of another replica's driver.
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

// stepMessages passes received messages to the driver, on the loop.
func (g *Group) stepMessages(from sender, messages []*pb.Message) {
	if g.driver == nil {
		return
	}
	g.contacts.Received(from.disk)
	g.senders[from.disk] = from.name
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap { // it is valid only together with its snapshot
			continue
		}
		if err := g.driver.Step(m); err != nil {
			slog.Debug("replica.message_rejected", "err", err)
		}
	}
}
