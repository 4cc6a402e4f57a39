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
	introductionTimeout = time.Second            // to learn what the others have observed of this disk
	helloInterval       = 250 * time.Millisecond // from one hello to the next
)

// removedText is the answer, with status 410, to a disk that was removed from the group.
const removedText = "the disk was taken out of the group"

// Hello introduces a disk to another replica.
type Hello struct {
	Name      string               `json:"name"`
	DiskState replica.ObservedDisk `json:"says"`
}

// Greeting answers a Hello.
type Greeting struct {
	Observed replica.ObservedDisk `json:"seen"`  // of the disk, before the hello
	Group    uint64               `json:"group"` // of the replica that answers
	IsLeader bool                 `json:"leads"`
	IsMember bool                 `json:"member"`
	Reason   string               `json:"why,omitempty"` // why the disk is not admitted
}

// introduction is the state of a disk that was a member before and asks the others what they have
// observed of it.
type introduction struct {
	startedAt       time.Duration
	answered        map[string]bool // replicas that have nothing against the disk
	rejectionLogged string          // the last reason for which the disk was not admitted
}

func (i *introduction) timedOut() bool { return Now()-i.startedAt >= introductionTimeout }

// isOver reports whether all others have answered, or have had the time to.
func (i *introduction) isOver(peers int) bool { return i.timedOut() || len(i.answered) == peers }

// introduceDisk introduces this disk until it is active. Afterwards it asks the others whether the
// disk was removed, for as long as it has no lease: a disk that was removed is sent nothing, and
// may neither campaign nor know who leads.
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

// confirmMembership asks another replica whether this disk was removed; call excludes it if it was.
func (p *peer) confirmMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := p.call(ctx, memberPath, request{contentType: binaryType}); err != nil {
		slog.Debug("replica.membership_not_confirmed", "replica", p.to.Name, "err", err)
	}
}

// sendHello introduces this disk to another replica.
func (g *Group) sendHello(p *peer) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	own, err := g.diskState()
	if err != nil {
		return // the next hello follows soon
	}
	var answer Greeting
	if err := p.callJSON(ctx, helloPath, Hello{Name: g.settings.Self, DiskState: own}, &answer); err != nil {
		return
	}
	g.runOnLoop(func() { g.handleGreeting(p, own, answer) })
}

var errStopped = errors.New("the replica has stopped")

// diskState has the loop read what this disk holds.
func (g *Group) diskState() (state replica.ObservedDisk, err error) {
	if !g.callLoop(func() {
		persisted, readErr := g.store.PersistedState()
		if readErr != nil {
			err = fmt.Errorf("read state of the disk: %w", readErr)
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

// handleGreeting handles the answer to a hello, on the loop.
func (g *Group) handleGreeting(p *peer, own replica.ObservedDisk, answer Greeting) {
	switch {
	case g.phase == Introducing:
		g.checkObservation(p, own, answer)
	case g.phase != AwaitingAdmission || !answer.IsLeader:
	case answer.IsMember && answer.Group != 0:
		if err := g.store.JoinGroup(answer.Group); err != nil {
			slog.Error("replica.join_failed", "err", err)
			return
		}
		slog.Info("replica.admitted", "replica", g.settings.Self, "by", p.to.Name)
		g.startDriver()
	case answer.Reason != "" && answer.Reason != g.introduction.rejectionLogged:
		g.introduction.rejectionLogged = answer.Reason
		slog.Warn("replica.not_admitted", "replica", g.settings.Self, "reason", answer.Reason)
		g.reason = answer.Reason
		g.publish()
	}
}

// checkObservation excludes this disk if another replica of the group has observed it in a newer
// state.
func (g *Group) checkObservation(p *peer, own replica.ObservedDisk, answer Greeting) {
	identity, _ := g.store.Identity()
	if answer.Group == identity.Group {
		if err := own.CheckNotOlder(answer.Observed); err != nil {
			g.exclude("the disk came back in an older state, as copy " + p.to.Name + " knows: " + err.Error())
			return
		}
	}
	g.introduction.answered[p.to.Name] = true
}

// serveMember answers a disk that asks whether it was removed: 204 if this replica does not know of
// that, else 410.
func (g *Group) serveMember(w http.ResponseWriter, r *http.Request) {
	if from, ok := g.authenticate(w, r); ok && g.checkMember(w, from.disk) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// serveHello answers a disk that introduces itself, and admits it if this replica leads and the
// disk may join.
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
	answer := Greeting{Group: identity.Group}
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

// readHelloSender reads who sends a hello. Its group is 0 while it waits to be admitted.
func readHelloSender(r *http.Request) (sender, error) {
	disk, diskErr := parseNumber(r.Header.Get(diskHeader))
	incarnation, incarnationErr := parseNumber(r.Header.Get(incarnationHeader))
	group, groupErr := parseNumber(r.Header.Get(groupHeader))
	if err := errors.Join(diskErr, incarnationErr, groupErr); err != nil {
		return sender{}, err
	}
	if disk == 0 {
		return sender{}, errNoDisk
	}
	return sender{group: group, disk: disk, incarnation: incarnation}, nil
}

func parseNumber(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }

func formatNumber(n uint64) string { return strconv.FormatUint(n, 16) }
