package replicas_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/membership"
	"stairvane.org/stairvane/internal/protocol/bulletin"
	"stairvane.org/stairvane/internal/relay"
	"stairvane.org/stairvane/internal/standin/rig"
)

// relayOfGroup is a relay whose directors call it before each of its requests, and that goes to whom it is sent.
type relayOfGroup struct {
	t        *testing.T
	group    *rig.Boards
	session  *relay.Session
	client   http.Client
	at       int // the replica that is called
	revision int64
	misled   int // answers of replicas that do not lead
	needFull int
	last     relay.Answer
}

// call makes one request; false if it was not answered with a lease.
func (r *relayOfGroup) call(directors int) bool {
	now := replicas.Now()
	for i := range directors {
		r.session.Observe(bulletin.Announcement{Director: bulletin.Director{Name: fmt.Sprint("d-", i), Incarnation: "1"}}, r.revision, now)
	}
	body, err := json.Marshal(r.session.Request(r.revision, r.revision, now))
	check(r.t, err)
	response, err := r.client.Post("http://"+r.group.List[r.at].Write.Addr()+relay.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		r.at = (r.at + 1) % len(r.group.List)
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		r.follow(response)
		return false
	}
	r.last = relay.Answer{}
	check(r.t, json.NewDecoder(response.Body).Decode(&r.last))
	r.session.Answered(r.last, replicas.Now())
	if r.last.NeedFull {
		r.needFull++
	}
	if r.last.Snapshot != nil {
		r.revision = r.last.Snapshot.Revision
	}
	for _, e := range r.last.Events {
		if e.No != r.revision+1 {
			r.t.Fatalf("event %d comes after %d", e.No, r.revision)
		}
		r.revision = e.No
	}
	return r.last.LeaseMS > 0
}

// follow goes to the leader that an error names, or else to the next replica.
func (r *relayOfGroup) follow(response *http.Response) {
	var e api.Error
	check(r.t, json.NewDecoder(response.Body).Decode(&e))
	if e.Kind != api.NotLeading {
		r.t.Fatalf("%s: %+v", response.Status, e)
	}
	r.misled++
	r.at = (r.at + 1) % len(r.group.List)
	for i, b := range r.group.List {
		if b.Name == e.Leader && b.Running() {
			r.at = i
		}
	}
}

// calls goes on until something holds.
func (r *relayOfGroup) calls(directors int, what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		if r.call(directors) && is() {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("%s: never", what)
		}
	}
}

// A relay finds the leader, and the next one after that is killed: it is asked for all of its directors, and none of them is gone
// meanwhile. Once it is silent all are.
func TestRelayFollowsTheLeader(t *testing.T) {
	const directors = 20
	s := group(t, 3, 0, withRelays)
	r := &relayOfGroup{t: t, group: s, client: http.Client{Timeout: relay.Lease}}
	r.session = relay.New(relay.Settings{Relay: membership.Relay{Name: "r", Incarnation: "1"}, Number: 77, DirectorLease: 400 * time.Millisecond, Drift: 0.02}, nil)
	client, err := s.Client()
	check(t, err)
	members := func(want int) func() bool {
		return func() bool {
			m, err := client.Roll()
			return err == nil && len(m.Directors) == want
		}
	}
	leader := s.Leader(patience)
	for i, b := range s.List { // it begins with one that does not lead
		if b != leader {
			r.at = i
		}
	}
	r.calls(directors, "all are members", members(directors))
	asked := r.needFull
	if r.misled == 0 {
		t.Error("the first replica leads")
	}
	leader.Kill()
	r.calls(directors, "the next leader has asked for all", func() bool { return r.needFull > asked })
	purged, err := client.Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	r.calls(directors, "the relay has the purge", func() bool { return r.revision >= purged.No })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.call(directors)
	}
	history, err := client.History(0)
	check(t, err)
	for _, e := range history.Events {
		if e.Roll != nil && len(e.Roll.Gone) > 0 {
			t.Fatalf("gone: %+v", e.Roll)
		}
	}
	m, err := client.Roll()
	check(t, err)
	if len(m.Relays) != 1 || m.Relays[0].Directors != directors || !m.Relays[0].Complete {
		t.Fatalf("%+v", m.Relays)
	}
	for end := time.Now().Add(patience); !members(0)(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the directors of a relay that is silent are never gone")
		}
	}
}
