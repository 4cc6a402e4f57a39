package replicas

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/controlplane/replica"
)

const (
	introductionTimeout = time.Second            // for the other replicas to report what they have observed of this disk
	helloInterval       = 250 * time.Millisecond // between hellos, and between membership checks
)

// removedText is the body of the 410 response to a disk that was removed from the group.
const removedText = "the disk was taken out of the group"

// Hello is the request by which a disk introduces itself to another replica.
type Hello struct {
	Name      string               `json:"name"`
	DiskState replica.ObservedDisk `json:"says"`
}

// HelloResponse is the response to a Hello.
type HelloResponse struct {
	Observed replica.ObservedDisk `json:"seen"`  // what the responder had observed of the disk before the hello
	Group    uint64               `json:"group"` // of the responder
	IsLeader bool                 `json:"leads"`
	IsMember bool                 `json:"member"`
	Reason   string               `json:"why,omitempty"` // why the leader does not admit the disk
}

// introduction is the progress of a disk's introduction: the other replicas report what they have
// observed of the disk, or admit it as a member.
type introduction struct {
	startedAt        time.Duration
	acceptedBy       map[string]bool // replicas that have not observed the disk in a newer state
	lastLoggedReason string          // last logged reason why the disk was not admitted
}

func (i *introduction) timedOut() bool { return Now()-i.startedAt >= introductionTimeout }

// isOver reports whether all other replicas have accepted the disk, or introductionTimeout has
// passed.
func (i *introduction) isOver(peers int) bool { return i.timedOut() || len(i.acceptedBy) == peers }

// introduceDisk sends hellos to the other replicas until this disk is active. After that, while the
// disk has no lease, it asks them whether the disk was removed. A removed disk is sent no messages;
// if it can't campaign and doesn't know the leader, it would not learn of its removal otherwise.
func (g *Group) introduceDisk() {
	for {
		switch Phase(g.published.Load().Phase) {
		case Excluded:
			return
		case Introducing, AwaitingAdmission:
			for _, p := range g.peers {
				go g.sendHello(p)
			}
		case Active:
			if !g.HasLease() {
				for _, p := range g.peers {
					go p.confirmMembership()
				}
			}
		}
		select {
		case <-g.stop:
			return
		case <-time.After(helloInterval):
		}
	}
}

// confirmMembership asks another replica whether this disk was removed. If it was, peer.call excludes
// the disk.
func (p *peer) confirmMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := p.call(ctx, memberPath, request{contentType: binaryType}); err != nil {
		slog.Debug("replica.membership_not_confirmed", "replica", p.config.Name, "err", err)
	}
}

// sendHello sends a Hello to another replica and passes the response to the loop.
func (g *Group) sendHello(p *peer) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	own, err := g.diskState()
	if err != nil {
		return // introduceDisk sends the next hello after helloInterval
	}
	var answer HelloResponse
	if err := p.callJSON(ctx, helloPath, Hello{Name: g.settings.Self, DiskState: own}, &answer); err != nil {
		return
	}
	g.runOnLoop(func() { g.handleHelloResponse(p, own, answer) })
}

var errStopped = errors.New("the replica has stopped")

// diskState returns the term, vote and last index that this disk holds, read on the loop.
func (g *Group) diskState() (state replica.ObservedDisk, err error) {
	if !g.callLoop(func() {
		persisted, readErr := g.store.PersistedState()
		if readErr != nil {
			err = fmt.Errorf("read the disk's state: %w", readErr)
			return
		}
		state = replica.ObservedDisk{
			Term:      persisted.Term,
			Vote:      persisted.Vote,
			LastIndex: persisted.Compacted.Index + uint64(len(persisted.Entries)),
		}
	}) {
		return state, errStopped
	}
	return state, err
}

// handleHelloResponse handles the response to a Hello. It must be called on the loop.
func (g *Group) handleHelloResponse(p *peer, own replica.ObservedDisk, answer HelloResponse) {
	switch {
	case g.phase == Introducing:
		g.checkObservation(p, own, answer)
	case g.phase != AwaitingAdmission || !answer.IsLeader:
	case answer.IsMember && answer.Group != 0:
		if err := g.store.JoinGroup(answer.Group); err != nil {
			slog.Error("replica.join_failed", "err", err)
			return
		}
		slog.Info("replica.admitted", "replica", g.settings.Self, "by", p.config.Name)
		g.startDriver()
	case answer.Reason != "" && answer.Reason != g.introduction.lastLoggedReason:
		g.introduction.lastLoggedReason = answer.Reason
		slog.Warn("replica.not_admitted", "replica", g.settings.Self, "reason", answer.Reason)
		g.reason = answer.Reason
		g.publish()
	}
}

// checkObservation excludes this disk if another replica of the group has observed it in a newer
// state.
func (g *Group) checkObservation(p *peer, own replica.ObservedDisk, answer HelloResponse) {
	identity, _ := g.store.Identity()
	if answer.Group == identity.Group {
		if err := own.CheckNotOlder(answer.Observed); err != nil {
			g.exclude("the disk came back in an older state, as copy " + p.config.Name + " knows: " + err.Error())
			return
		}
	}
	g.introduction.acceptedBy[p.config.Name] = true
}

// serveMember answers a disk that asks whether it was removed: with status 410 if it was, else with
// 204.
func (g *Group) serveMember(w http.ResponseWriter, r *http.Request) {
	if from, ok := g.authenticate(w, r); ok && g.checkMember(w, from.disk) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// serveHello answers a disk that introduces itself. The leader also admits the disk if the disk may
// join.
func (g *Group) serveHello(w http.ResponseWriter, r *http.Request) {
	var hello Hello
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSONBytes)).Decode(&hello); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from, err := readHelloSender(r)
	if err != nil {
		http.Error(w, fmt.Sprintf("this is for copies: %v", err), http.StatusBadRequest)
		return
	}
	identity, _ := g.store.Identity()
	isNew := from.group == 0
	isSameGroup := from.group == identity.Group
	if (isNew || isSameGroup) && g.published.Load().removed[from.disk] {
		http.Error(w, removedText, http.StatusGone)
		return
	}
	answer := HelloResponse{Group: identity.Group}
	if identity.Group != 0 && isSameGroup {
		answer.Observed = g.disks.introduce(from.disk, from.incarnation, hello.DiskState)
	}
	g.callLoop(func() {
		if g.driver == nil || !g.isLeader || !isNew && !isSameGroup {
			return
		}
		answer.IsLeader = true
		g.contacts.Received(from.disk)
		answer.IsMember, answer.Reason = g.admit(hello.Name, from.disk)
	})
	writeJSON(w, answer)
}

var errNoDisk = errors.New("the disk has no number")

// readHelloSender reads the sender of a Hello from the headers. Its group is 0 while the disk waits
// to be admitted.
func readHelloSender(r *http.Request) (sender, error) {
	disk, diskErr := parseID(r.Header.Get(diskHeader))
	incarnation, incarnationErr := parseID(r.Header.Get(incarnationHeader))
	group, groupErr := parseID(r.Header.Get(groupHeader))
	if err := errors.Join(diskErr, incarnationErr, groupErr); err != nil {
		return sender{}, err
	}
	if disk == 0 {
		return sender{}, errNoDisk
	}
	return sender{group: group, disk: disk, incarnation: incarnation}, nil
}

func parseID(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }

func formatID(n uint64) string { return strconv.FormatUint(n, 16) }
