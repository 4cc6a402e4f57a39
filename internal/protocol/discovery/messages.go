// Package discovery is the protocol by which directors watch the event stream of the control plane: numbered events with
// changes of the endpoint list, purges and changes of the membership, as JSON in HTTP/1.1 responses to long polls.
//
// The package parses and encodes messages and does no I/O. It is the one place where the names on the wire are mapped to
// those of the code, by struct tags and constants. client.go is the director's side, server.go the control plane's.
package discovery

import (
	"encoding/json"
	"fmt"
	"time"
)

// MembershipLease is how long a director may act as a member after it sent the poll that was answered last, by its own clock. The
// control plane counts it from after its answer, with a margin for drift.
const MembershipLease = 400 * time.Millisecond

// ClockDrift is the most by which two clocks run apart, as a share. The time of day does not matter.
const ClockDrift = 0.02

// The path and the query keys of a poll.
const (
	pollPath     = "/bulletins"
	keyAfter     = "after"    // the last revision that the caller has applied
	keyTimeoutMS = "patience" // for which the poll may wait for events
)

// AnnounceHeader is the HTTP header that carries an Announcement as JSON.
const AnnounceHeader = "Stairvane-Director"

// The values of Endpoint.Health.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// WatchResponse is the response to a poll. The events of a director's start have the same form.
type WatchResponse struct {
	LastRevision     int64           `json:"no"`
	Events           []Event         `json:"items"`
	QuotaGrant       json.RawMessage `json:"turns,omitempty"`   // for the caller alone; see package quota
	AggregatedHealth json.RawMessage `json:"signals,omitempty"` // for callers that send health reports; see package health
	Malformed        []error         `json:"-"`                 // one for each event that was malformed and is not in Events
}

// Event is a change of the endpoint list, or a purge. Directors that announce themselves get changes of the membership.
type Event struct {
	Revision   int64         `json:"no"`
	Endpoints  *EndpointList `json:"roster"`
	Purge      *Purge        `json:"recall"`
	Membership *Membership   `json:"roll,omitempty"`
}

// EndpointList is a snapshot of the endpoints, or the entries that changed.
type EndpointList struct {
	Sequence  int64      `json:"seq"`
	Snapshot  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Name        string  `json:"host"`
	Address     string  `json:"dial"`
	Site        string  `json:"site"`
	Class       string  `json:"class"`
	Cell        int     `json:"block"`  // the cell within the site
	Health      string  `json:"health"` // InService, Terminating or Terminated
	Weight      float64 `json:"share"`  // its weight
	StartedAtMS float64 `json:"born_ms"`
}

// Purge voids an object, or a group of objects, that was generated before IssuedMS of Unix time.
type Purge struct {
	Object   string  `json:"item"`
	Group    *int    `json:"lot"`
	IssuedMS float64 `json:"issued"`
}

// Membership is a snapshot of the directors and of the claim shards' replicas, or what changed of it.
type Membership struct {
	Snapshot bool       `json:"whole,omitempty"`
	Joined   []Director `json:"joined,omitempty"`
	Left     []string   `json:"gone,omitempty"` // IDs
	Shards   []Shard    `json:"slots,omitempty"`
}

// Director is a member.
type Director struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	Location    string `json:"location,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Version     string `json:"version,omitempty"`
	Claims      string `json:"claims,omitempty"` // address for claims; empty: it accepts none
}

// ID identifies the process.
func (d Director) ID() string { return d.Name + "/" + d.Incarnation }

// Shard says which directors are the replicas of a claim shard from an event on. With ReadyEpoch it says that the replicas
// of that epoch have all claims of the shard.
type Shard struct {
	Number           int      `json:"slot"`
	Epoch            int64    `json:"epoch,omitempty"`
	Replicas         []string `json:"homes,omitempty"`
	PreviousReplicas []string `json:"from,omitempty"`
	ReadyEpoch       int64    `json:"complete,omitempty"`
}

// Announcement is what a director announces with each poll.
type Announcement struct {
	Director
	MembershipRevision int64           `json:"roll"`               // of the last applied membership event; 0: none
	Config             string          `json:"config,omitempty"`   // fingerprint: equal for equal configurations
	Leaving            bool            `json:"leaving,omitempty"`  // nothing is in flight, and nothing new begins
	QuotaRenewal       json.RawMessage `json:"turns,omitempty"`    // see package quota
	HealthReport       json.RawMessage `json:"signals,omitempty"`  // see package health
	ReadyShards        []int64         `json:"complete,omitempty"` // pairs of a shard's number and the epoch in which it is ready
}

// Decode reads a WatchResponse. A malformed event does not hold up those that follow; it is reported in Malformed.
func Decode(b []byte) (WatchResponse, error) {
	var r WatchResponse
	err := json.Unmarshal(b, &r)
	if err == nil {
		return r, nil
	}
	var raw struct {
		WatchResponse
		Events []json.RawMessage `json:"items"`
	}
	if json.Unmarshal(b, &raw) != nil {
		return WatchResponse{}, fmt.Errorf("discovery: decode the response: %w", err)
	}
	r = raw.WatchResponse
	r.Events = nil
	for _, text := range raw.Events {
		var event Event
		if err := json.Unmarshal(text, &event); err != nil {
			r.Malformed = append(r.Malformed, fmt.Errorf("event %d: %w", event.Revision, err))
			continue
		}
		r.Events = append(r.Events, event)
	}
	return r, nil
}
