// Package api is what the board's write side says, and the client of it that the command line uses.
package api

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

// WhoHeader carries who the caller says to be; the board keeps it beside what it knows.
const WhoHeader = "Stairvane-Who"

// WriteHeader carries an id of the caller's for a write. A write that is repeated under its id within the board's time is
// made once; the answer is the first one's.
const WriteHeader = "Stairvane-Write"

// HistoryPage is how many events one answer holds at most.
const HistoryPage = 10_000

// Kinds of errors.
const (
	Stale          = "stale"
	Busy           = "busy"
	Damaged        = "damaged"
	Newer          = "newer"
	NotFound       = "not-found"
	WrongState     = "wrong-state"
	NotAllowed     = "not-allowed"
	BadRequest     = "bad-request"
	Failed         = "failed"
	NotLeader      = "not-leading" // another copy leads: Leader, if it is known
	OutcomeUnknown = "unknown"     // nobody knows whether it was done: repeat it under the same id
	Rejected       = "refused"     // a change of the copies that is not made
)

// Error is the answer to what is refused.
type Error struct {
	Kind        string           `json:"error"`
	Message     string           `json:"message"`
	Moved       []plan.StaleRead `json:"moved,omitempty"`
	LeaseHolder *apply.Record    `json:"holder,omitempty"`
	Leader      string           `json:"leader,omitempty"` // the copy that leads
}

func (e *Error) Error() string { return e.Message }

// State is the fleet as it is declared and as it was seen.
type State struct {
	Fleet            fleet.Dump                   `json:"fleet"`
	Observed         map[string]fleet.Observation `json:"observed"`
	NowMS            int64                        `json:"now_ms"`
	Observer         bool                         `json:"observer"`
	Followers        int                          `json:"followers"`
	AcknowledgedUpTo int64                        `json:"told_up_to"`
	LeaseHolder      *apply.Record                `json:"holder,omitempty"`
}

// ObservedState is the world that plans are made against.
func (w State) ObservedState() (fleet.ObservedState, error) {
	f, err := fleet.Restore(w.Fleet)
	return fleet.ObservedState{Fleet: f, Observed: w.Observed, NowMS: w.NowMS}, err
}

// History is a page of events.
type History struct {
	Events []fleet.Event `json:"events"`
}

// Step is a step of an apply.
type Step struct {
	ID    int       `json:"id"`
	What  string    `json:"what"`
	Thing string    `json:"thing"`
	Wait  plan.Wait `json:"wait"`
	apply.StepState
}

// Apply is an apply with its steps.
type Apply struct {
	apply.Record
	Steps []Step `json:"step_list"`
}

// Accepted is the answer to a plan: its apply, or the one that has carried the same plan out already.
type Accepted struct {
	apply.Record
	Already bool `json:"already"`
}

// Purged is the answer to a purge.
type Purged struct {
	Revision int64 `json:"no"`
	IssuedMS int64 `json:"issued_ms"`
}

// Heartbeats are what a copy tells the leader of the directors that follow it.
type Heartbeats struct {
	Directors     []Heartbeat     `json:"directors,omitempty"`
	ReadyShards   []int64         `json:"complete,omitempty"` // slot and epoch, in turn
	QuotaRenewals []quota.Renewal `json:"beats,omitempty"`    // what they want of what is shared
	HealthReports []HealthReport  `json:"reports,omitempty"`  // what they have seen of boxes
}

// HealthReport is what a director has seen of boxes, and where it is.
type HealthReport struct {
	health.Report
	health.Place
}

// LeaseAnswer are what a copy is told for the directors that follow it.
type LeaseAnswer struct {
	QuotaGrants      map[string]quota.Grant   `json:"turns,omitempty"`
	AggregatedHealth *health.AggregatedHealth `json:"opinions,omitempty"`
}

// Heartbeat is that a director was there. Director is what it says of itself, where it is told again.
type Heartbeat struct {
	ID              string          `json:"id"`
	AgeMS           int64           `json:"age_ms"`
	Leaving         bool            `json:"leaving,omitempty"`
	AppliedRevision int64           `json:"acts"` // number of the last event that it acts by
	Config          string          `json:"config,omitempty"`
	Director        *fleet.Director `json:"director,omitempty"`
}

// Members is which directors there are.
type Members struct {
	Revision  int64          `json:"revision"`
	Directors []MemberStatus `json:"directors"`
	Relays    []RelayStatus  `json:"relays,omitempty"`
	Lost      []LostDirector `json:"lost,omitempty"` // went without a word lately
	Moving    int            `json:"moving"`         // parts of the claims that their new holders do not have whole yet
}

// LostDirector is a director that has gone without a word.
type LostDirector struct {
	fleet.Director
	LostMS          int64 `json:"lost_ms"` // since it was heard of last
	AppliedRevision int64 `json:"acts"`    // number of the last event that it acted by
}

// RelayStatus is a relay that has a session with the leader.
type RelayStatus struct {
	membership.Relay
	Directors    int                        `json:"directors"`    // in lease with it
	RenewedMS    int64                      `json:"renewed_ms"`   // since its last request
	Acknowledged int64                      `json:"acknowledged"` // the lowest revision of its directors
	Current      int64                      `json:"current"`      // the same without stale directors
	BehindMS     int64                      `json:"behind_ms"`    // for how long those have lacked the last event
	Complete     bool                       `json:"complete"`     // the leader knows all of its directors
	StaleCount   int                        `json:"stale_count"`
	Stale        []membership.StaleDirector `json:"stale,omitempty"` // the first of them
}

// MemberStatus is a director on the roll.
type MemberStatus struct {
	fleet.Director
	Relay           string `json:"relay,omitempty"` // that serves it
	LastHeardMS     int64  `json:"heard_ms"`        // since it was heard of last
	Suspected       bool   `json:"suspected"`       // it misses more than its line usually does
	AppliedRevision int64  `json:"acts"`            // number of the last event that it acts by
	BehindMS        int64  `json:"behind_ms"`       // for how long it has not acted by the last one that there is
	Config          string `json:"config"`          // a mark of its configuration: equal where that is
	Shards          int    `json:"slots"`           // parts of the claims on which it decides
}

// GroupStatus is what one copy knows of the group that it is in.
type GroupStatus struct {
	Name              string          `json:"copy"`
	Disk              string          `json:"disk"`
	Phase             string          `json:"phase"`
	Reason            string          `json:"why,omitempty"`
	IsLeader          bool            `json:"leads"`
	Leader            string          `json:"leader,omitempty"`
	Term              uint64          `json:"term"`
	Applied           uint64          `json:"taken"` // index of the log up to which this copy has taken over
	Revision          int64           `json:"revision"`
	Configured        int             `json:"listed"` // copies that this one's file lists, besides spares
	ToleratedFailures int             `json:"bears"`  // copies that may be lost with the group going on
	Joint             bool            `json:"joint,omitempty"`
	Replicas          []ReplicaStatus `json:"copies"`
	Waiting           []string        `json:"waits,omitempty"` // copies whose disks wait to be let in
}

// ReplicaStatus is a copy as the leader sees it; at the others only who it is.
type ReplicaStatus struct {
	Name         string `json:"name"`
	Machine      string `json:"machine"`
	Site         string `json:"site"`
	Disk         string `json:"disk"`
	IsVoter      bool   `json:"votes"`
	Replaces     string `json:"replaces,omitempty"`
	Behind       uint64 `json:"behind"`   // entries
	Alive        bool   `json:"alive"`    // as the leader heard
	SilentMS     int64  `json:"gone_ms"`  // for how long the leader received nothing from it, by the ticks of the leader while it leads
	Acknowledged int64  `json:"told"`     // up to which its followers have all events
	LeaseMS      int64  `json:"lease_ms"` // that is left of its lease
}

// ReplicaChange is a change of members by a hand.
type ReplicaChange struct {
	Action              string `json:"do"` // add, remove, replace or hand-over
	Name                string `json:"name"`
	Replacement         string `json:"by,omitempty"`    // replace: the copy whose waiting disk takes the place; empty: the same name
	AllowLowerTolerance bool   `json:"fewer,omitempty"` // remove: the group may bear less than before
}

// Client calls a board's write side, or those of the copies of one: it finds the one that leads, and repeats what was not
// answered. Its methods may be called by one caller at a time.
type Client struct {
	servers []server
	at      int // the one that answered last
	who     string
	path    string
}

type server struct {
	http *http.Client
	base string
}

// With several addresses a call is tried for so long, and so long at one of them.
const (
	tryFor   = 10 * time.Second
	tryOne   = 2 * time.Second
	tryPause = 30 * time.Millisecond
)

// Credentials are files in PEM for a board that asks for TLS.
type Credentials struct{ Certificate, Key, Authority string }

// NewClient makes a client of a board at unix:PATH, or at HOST:PORT with or without credentials; several addresses, those of
// the copies of one board, are parted by commas.
func NewClient(at, who string, c Credentials) (*Client, error) {
	client := &Client{who: who}
	for _, one := range strings.Split(at, ",") {
		t := &http.Transport{}
		s := server{http: &http.Client{Transport: t}, base: "http://board"}
		path, unix := strings.CutPrefix(one, "unix:")
		switch {
		case unix:
			client.path = path
			t.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
				return (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "unix", path)
			}
		case c.Certificate == "":
			s.base = "http://" + one
		default:
			var err error
			if t.TLSClientConfig, err = ClientTLS(c); err != nil {
				return nil, err
			}
			s.base = "https://" + one
		}
		client.servers = append(client.servers, s)
	}
	return client, nil
}

// ClientTLS reads the files with which a board that asks for TLS is called.
func ClientTLS(c Credentials) (*tls.Config, error) {
	own, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", c.Authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, RootCAs: pool}, nil
}

// call makes a call; an answer that is no success is an *Error. A write carries an id, so that it is made once however
// often it is tried.
func (c *Client) call(method, path string, body []byte, out any) error {
	write := ""
	if method == http.MethodPost {
		write = rand.Text()
	}
	if len(c.servers) == 1 {
		return c.one(context.Background(), c.servers[0], method, path, write, body, out)
	}
	for end, tries := time.Now().Add(tryFor), 1; ; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), tryOne)
		err := c.one(ctx, c.servers[c.at], method, path, write, body, out)
		cancel()
		var refused *Error
		if err == nil || errors.As(err, &refused) && refused.Kind != NotLeader && refused.Kind != OutcomeUnknown {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("no copy carries it out: %w", err)
		}
		if c.at = (c.at + 1) % len(c.servers); tries%len(c.servers) == 0 {
			time.Sleep(tryPause)
		}
	}
}

func (c *Client) one(ctx context.Context, s server, method, path, write string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.who != "" {
		req.Header.Set(WhoHeader, c.who)
	}
	if write != "" {
		req.Header.Set(WriteHeader, write)
	}
	res, err := s.http.Do(req)
	if err != nil {
		return fmt.Errorf("board: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("board: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		e := &Error{}
		if json.Unmarshal(text, e) != nil || e.Message == "" {
			e = &Error{Kind: Failed, Message: fmt.Sprintf("board: %s: %.200s", res.Status, text)}
		}
		if e.Kind == NotLeader && e.Leader != "" {
			e.Message += "; copy " + e.Leader + " does"
		}
		return e
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("board: %w", err)
	}
	return nil
}

// State asks for the world.
func (c *Client) State() (w State, err error) { return w, c.call("GET", "/v1/world", nil, &w) }

// Members asks which directors there are.
func (c *Client) Members() (r Members, err error) { return r, c.call("GET", "/v1/roll", nil, &r) }

// Quotas asks what is leased to whom.
func (c *Client) Quotas() (held []quota.Allocation, err error) {
	return held, c.call("GET", "/v1/turns", nil, &held)
}

// Health asks what is known of all boxes.
func (c *Client) Health() (all []health.CacheStatus, err error) {
	return all, c.call("GET", "/v1/signals", nil, &all)
}

// Adoption asks when each director took an event.
func (c *Client) Adoption(no int64) (e adoption.Event, err error) {
	return e, c.call("GET", fmt.Sprintf("/v1/adoption?event=%d", no), nil, &e)
}

// History asks for events after a number.
func (c *Client) History(after int64) (h History, err error) {
	return h, c.call("GET", fmt.Sprintf("/v1/history?after=%d", after), nil, &h)
}

// Submit hands in a plan file.
func (c *Client) Submit(file []byte) (a Accepted, err error) {
	return a, c.call("POST", "/v1/applies", file, &a)
}

// Applies lists all applies.
func (c *Client) Applies() (all []apply.Record, err error) {
	return all, c.call("GET", "/v1/applies", nil, &all)
}

// Apply asks for one apply.
func (c *Client) Apply(id int64) (a Apply, err error) {
	return a, c.call("GET", fmt.Sprintf("/v1/applies/%d", id), nil, &a)
}

// Before asks what the fleet was before an apply.
func (c *Client) Before(id int64) (w fleet.DesiredState, err error) {
	return w, c.call("GET", fmt.Sprintf("/v1/applies/%d/before", id), nil, &w)
}

// Order pauses, resumes or cancels an apply.
func (c *Client) Order(id int64, o apply.Order) (r apply.Record, err error) {
	return r, c.call("POST", fmt.Sprintf("/v1/applies/%d/%s", id, o), nil, &r)
}

// Purge purges an object or a group.
func (c *Client) Purge(p fleet.Purge) (out Purged, err error) {
	body, err := json.Marshal(p)
	if err != nil {
		return out, err
	}
	return out, c.call("POST", "/v1/purges", body, &out)
}

// EachReplica asks each copy what it knows of the group. The addresses are in the order in which they were given.
func (c *Client) EachReplica(f func(address string, known GroupStatus, err error)) {
	for _, s := range c.servers {
		var known GroupStatus
		ctx, cancel := context.WithTimeout(context.Background(), tryOne)
		err := c.one(ctx, s, http.MethodGet, "/v1/copies", "", nil, &known)
		cancel()
		f(s.base, known, err)
	}
}

// ChangeReplicas has the leader change the group.
func (c *Client) ChangeReplicas(o ReplicaChange) (known GroupStatus, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return known, err
	}
	return known, c.call("POST", "/v1/copies", body, &known)
}

// Path is the Unix socket that the client calls; empty for one that calls over TCP.
func (c *Client) Path() string { return c.path }
