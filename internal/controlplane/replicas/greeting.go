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

// This file is how a disk presents itself to the other replicas, how they answer, and how it learns that it was taken out.

// wasRemoved is what a disk that was taken out of the group is answered, with status 410.
const wasRemoved = "the disk was taken out of the group"

// Hello is how a copy presents its disk to the others.
type Hello struct {
	Name     string               `json:"name"`
	Observed replica.ObservedDisk `json:"says"`
}

// Greeting is the answer: what was seen of the disk before, and whether it is in the group.
type Greeting struct {
	Seen     replica.ObservedDisk `json:"seen"`
	Group    uint64               `json:"group"` // of the copy that answers
	IsLeader bool                 `json:"leads"`
	IsMember bool                 `json:"member"`
	Reason   string               `json:"why,omitempty"` // it is not let in
}

// greet presents this disk until it is in. Later it asks the others whether it was taken out, for as long as it has no lease: a
// disk that was taken out is sent nothing, and may neither stand for leader nor know who leads.
func (g *Group) greet() {
	lastReason := ""
	for {
		switch Phase(g.status.Load().Phase) {
		case Excluded:
			return
		case Introducing, AwaitingAdmission:
			for _, l := range g.links {
				go g.greetOne(l, &lastReason)
			}
		case Active:
			if !g.HasLease() {
				for _, l := range g.links {
					go l.askMember()
				}
			}
		}
		select {
		case <-g.stop:
			return
		case <-time.After(greetEvery):
		}
	}
}

// askMember asks one other copy whether this disk was taken out; call acts on the answer.
func (l *peer) askMember() {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	if _, _, err := l.group.call(ctx, l.url("/v1/copies/member"), "application/octet-stream", nil, nil); err != nil {
		slog.Debug("copies.not_asked", "copy", l.to.Name, "err", err)
	}
}

// greetOne presents this disk to one other copy. lastReason is the last one for which the disk was not let in; it is the loop's.
func (g *Group) greetOne(l *peer, lastReason *string) {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	own, ok := g.ownSeen()
	if !ok {
		return
	}
	var answer Greeting
	if err := g.ask(ctx, l.url("/v1/copies/hello"), Hello{Name: g.set.Self, Observed: own}, &answer); err != nil {
		return
	}
	g.post(func() { g.takeGreeting(l, own, answer, lastReason) })
}

// ownSeen has the loop read what this disk holds; ok is false if it can't be read or the group has ended.
func (g *Group) ownSeen() (own replica.ObservedDisk, ok bool) {
	done := make(chan struct{})
	if !g.post(func() {
		defer close(done)
		p, err := g.store.PersistedState()
		if ok = err == nil; ok {
			own = replica.ObservedDisk{Term: p.Term, Vote: p.Vote, LastIndex: p.Compacted.Index + uint64(len(p.Entries))}
		}
	}) {
		return replica.ObservedDisk{}, false
	}
	<-done
	return own, ok
}

// takeGreeting acts on an answer to a hello. It runs on the loop.
func (g *Group) takeGreeting(l *peer, own replica.ObservedDisk, answer Greeting, lastReason *string) {
	identity, _ := g.store.Identity()
	switch {
	case g.phase == Introducing:
		if answer.Group == identity.Group {
			if err := own.CheckNotOlder(answer.Seen); err != nil {
				g.out("the disk came back in an older state, as copy " + l.to.Name + " knows: " + err.Error())
				return
			}
		}
		g.met[l.to.Name] = true
	case g.phase == AwaitingAdmission && answer.IsLeader && answer.IsMember && answer.Group != 0:
		if err := g.store.JoinGroup(answer.Group); err != nil {
			slog.Error("copies.not_joined", "err", err)
			return
		}
		slog.Info("copies.let_in", "copy", g.set.Self, "by", l.to.Name)
		g.begin()
	case g.phase == AwaitingAdmission && answer.IsLeader && answer.Reason != "" && answer.Reason != *lastReason:
		*lastReason = answer.Reason
		slog.Warn("copies.not_let_in", "copy", g.set.Self, "why", answer.Reason)
		g.why = answer.Reason
		g.publish()
	}
}

// confirmMember answers a disk that asks whether it was taken out: 204 if this replica does not know of that, else 410.
func (g *Group) confirmMember(w http.ResponseWriter, r *http.Request) {
	if disk, _, ok := g.callerOfGroup(w, r); ok && g.checkMember(w, disk) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// takeHello answers a disk that presents itself, and lets it in if this copy leads and may.
func (g *Group) takeHello(w http.ResponseWriter, r *http.Request) {
	var hello Hello
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmall)).Decode(&hello); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	disk, diskErr := strconv.ParseUint(r.Header.Get(diskHeader), 16, 64)
	run, runErr := strconv.ParseUint(r.Header.Get(runHeader), 16, 64)
	group, groupErr := strconv.ParseUint(r.Header.Get(groupHeader), 16, 64)
	if err := errors.Join(diskErr, runErr, groupErr); err != nil || disk == 0 {
		http.Error(w, fmt.Sprintf("this is for copies: %v", err), http.StatusBadRequest)
		return
	}
	identity, _ := g.store.Identity()
	if (group == 0 || group == identity.Group) && g.status.Load().removed[disk] {
		http.Error(w, wasRemoved, http.StatusGone)
		return
	}
	answer := Greeting{Group: identity.Group}
	if identity.Group != 0 && group == identity.Group {
		g.mu.Lock()
		answer.Seen = g.witness.Introduce(disk, run, hello.Observed)
		g.mu.Unlock()
	}
	done := make(chan struct{})
	if g.post(func() {
		defer close(done)
		if g.driver == nil || !g.leads || group != 0 && group != identity.Group {
			return
		}
		answer.IsLeader = true
		g.contacts.Received(disk)
		answer.IsMember, answer.Reason = g.admit(hello.Name, disk)
	}) {
		<-done
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// admit decides on a disk that asks to be let in.
func (g *Group) admit(name string, disk uint64) (member bool, reason string) {
	silence := map[uint64]time.Duration{}
	for other := range g.driver.Members() {
		silence[other] = g.contacts.Silence(other)
	}
	c, err := g.view().Admit(name, disk, silence, g.set.ReplaceAfter)
	if err == nil && c == nil {
		return true, ""
	}
	if g.asks[name] != disk {
		g.asks[name] = disk
		g.publish()
	}
	if err == nil {
		if err = g.driver.ProposeChange(*c); err == nil {
			slog.Info("copies.change", "change", describe(c))
			return false, ""
		}
		if errors.Is(err, replica.ErrBusy) {
			return false, ""
		}
	}
	return false, err.Error()
}
