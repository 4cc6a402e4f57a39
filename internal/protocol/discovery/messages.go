// Package discovery implements the protocol with which directors watch the event stream of the control plane. Events are numbered
// and contain changes of the endpoint list, purges and changes of the membership. They are sent as JSON in HTTP/1.1 responses to
// watch requests, which are long polls.
//
// The package parses and encodes messages and performs no I/O. Struct tags and constants in this package are the only place that
// maps the names on the wire to the names in the code. client.go implements the director's side, server.go the control plane's
// side.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// MembershipLease is how long a director may act as a member after it sent the last watch request that was answered, measured by
// its own clock. The control plane starts the lease only after its answer and adds a margin for clock drift.
const MembershipLease = 400 * time.Millisecond

// ClockDrift is the maximum rate difference between two clocks, as a fraction. Differences in the time of day do not matter.
const ClockDrift = 0.02

// Path and query keys of a watch request.
const (
	pollPath     = "/bulletins"
	keyAfter     = "after"    // the last revision that the client has applied
	keyTimeoutMS = "patience" // the longest time to wait for events, in milliseconds
)

// AnnounceHeader is the HTTP header that carries an Announcement as JSON.
const AnnounceHeader = "Stairvane-Director"

// Values of Endpoint.Health.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// WatchResponse is the response to a watch request. The events that a director loads when it starts have the same form.
type WatchResponse struct {
	LastRevision     int64           `json:"no"`
	Events           []Event         `json:"items"`             // nil: the response does not have the field
	QuotaGrant       json.RawMessage `json:"turns,omitempty"`   // for this client only; see package quota
	AggregatedHealth json.RawMessage `json:"signals,omitempty"` // for clients that send health reports; see package health
	History          string          `json:"history,omitempty"` // names the event log: revisions of two histories do not compare
	Malformed        []error         `json:"-"`                 // one error per malformed event, which is not in Events
}

// Event is a change of the endpoint list or a purge. Directors that announce themselves also receive changes of the membership.
type Event struct {
	Revision   int64         `json:"no"`
	Endpoints  *EndpointList `json:"roster"`
	Purge      *Purge        `json:"recall"`
	Membership *Membership   `json:"roll,omitempty"`
}

// EndpointList is a snapshot of all endpoints, or the entries that changed.
type EndpointList struct {
	Sequence  int64      `json:"seq"`
	Snapshot  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	Name        string  `json:"host"`
	Address     string  `json:"dial"`
	Site        string  `json:"site"`
	Class       string  `json:"class"`
	Cell        int     `json:"block"`  // the cell within the site
	Health      string  `json:"health"` // InService, Terminating or Terminated
	Weight      float64 `json:"share"`
	StartedAtMS float64 `json:"born_ms"`
}

// Purge invalidates an object or a purge group if its content was generated before IssuedMS, in milliseconds since the Unix epoch.
type Purge struct {
	Object   string  `json:"item"`
	Group    *int    `json:"lot"`
	IssuedMS float64 `json:"issued"`
}

// Membership is a snapshot of the directors and of the replicas of the claim shards, or the changes to them.
type Membership struct {
	Snapshot bool       `json:"whole,omitempty"`
	Joined   []Director `json:"joined,omitempty"`
	Left     []string   `json:"gone,omitempty"` // IDs
	Shards   []Shard    `json:"slots,omitempty"`
}

// Director describes a director process.
type Director struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	Location    string `json:"location,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Version     string `json:"version,omitempty"`
	Claims      string `json:"claims,omitempty"` // address for claim messages; empty: it accepts none
}

// ID identifies the process.
func (d Director) ID() string { return d.Name + "/" + d.Incarnation }

// Shard sets the replicas of a claim shard, starting with this event. If ReadyEpoch is set, the replicas of that epoch have all
// claims of the shard.
type Shard struct {
	Number           int      `json:"slot"`
	Epoch            int64    `json:"epoch,omitempty"`
	Replicas         []string `json:"homes,omitempty"`
	PreviousReplicas []string `json:"from,omitempty"`
	ReadyEpoch       int64    `json:"complete,omitempty"`
}

// Announcement is how a director describes itself in each watch request.
type Announcement struct {
	Director
	MembershipRevision int64           `json:"roll"`               // revision of the last applied membership event; 0: none
	Config             string          `json:"config,omitempty"`   // fingerprint; equal configurations have equal fingerprints
	Leaving            bool            `json:"leaving,omitempty"`  // nothing is in flight and no new work will start
	QuotaRenewal       json.RawMessage `json:"turns,omitempty"`    // see package quota
	HealthReport       json.RawMessage `json:"signals,omitempty"`  // see package health
	ReadyShards        []int64         `json:"complete,omitempty"` // pairs of a shard's number and the epoch in which it is ready
}

// Errors of events that lack a part. Without it they would be applied as if they were about nothing.
var (
	errNoRevision  = errors.New("discovery: the event has no number")
	errNoContent   = errors.New("discovery: the event has neither an endpoint list nor a purge")
	errNoEndpoints = errors.New("discovery: the complete list has no endpoints, not even an empty list of them")
	errNoTarget    = errors.New("discovery: the purge names neither an object nor a group")
	errNoTime      = errors.New("discovery: the purge has no time")
)

// checkComplete returns an error if a required part of the event is missing.
func (e Event) checkComplete() error {
	switch {
	case e.Revision <= 0:
		return errNoRevision
	case e.Endpoints == nil && e.Purge == nil && e.Membership == nil:
		return errNoContent
	case e.Endpoints != nil && e.Endpoints.Snapshot && e.Endpoints.Endpoints == nil:
		return errNoEndpoints
	case e.Purge != nil && e.Purge.Object == "" && e.Purge.Group == nil:
		return errNoTarget
	case e.Purge != nil && e.Purge.IssuedMS <= 0:
		return errNoTime
	}
	return nil
}

// Decode decodes a WatchResponse. An event that is malformed or incomplete does not prevent the other events from being decoded; it
// is reported in Malformed.
func Decode(b []byte) (WatchResponse, error) {
	var r WatchResponse
	if err := json.Unmarshal(b, &r); err != nil {
		return decodeEachEvent(b)
	}
	complete := r.Events[:0]
	for _, event := range r.Events {
		if err := event.checkComplete(); err != nil {
			r.addMalformed(event, err)
			continue
		}
		complete = append(complete, event)
	}
	r.Events = complete
	return r, nil
}

// decodeEachEvent decodes a response of which some events are malformed. It takes longer than decoding it as a whole.
func decodeEachEvent(b []byte) (WatchResponse, error) {
	var raw struct {
		WatchResponse
		Events []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return WatchResponse{}, fmt.Errorf("discovery: decode response: %w", err)
	}
	r := raw.WatchResponse
	for _, text := range raw.Events {
		var event Event
		err := json.Unmarshal(text, &event)
		if err == nil {
			err = event.checkComplete()
		}
		if err != nil {
			r.addMalformed(event, err)
			continue
		}
		r.Events = append(r.Events, event)
	}
	return r, nil
}

func (r *WatchResponse) addMalformed(event Event, err error) {
	r.Malformed = append(r.Malformed, fmt.Errorf("event %d: %w", event.Revision, err))
}
