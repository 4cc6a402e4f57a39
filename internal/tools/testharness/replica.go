package testharness

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"

	"stairvane.org/stairvane/internal/controlplane/api"
)

// clientName is the name with which the harness calls the write servers.
const clientName = "rig"

// Replica is one replica of the control plane.
type Replica struct {
	*Process
	Name      string
	Folder    string
	IsStandby bool              // it starts as a standby
	Peers     map[string]*Proxy // from this replica to the others, by name
	Write     *Proxy            // to its write server, for clients and relays
	Watch     *Proxy            // to its watch server, for directors
	cluster   *Cluster

	clientMu sync.Mutex // guards client, which is created once because it keeps connections open
	client   *api.Client
}

func (r *Replica) makeProxies() (err error) {
	for _, other := range r.cluster.Replicas {
		if other == r {
			continue
		}
		if r.Peers[other.Name], err = NewProxy(); err != nil {
			return err
		}
	}
	if r.Write, err = NewProxy(); err != nil {
		return err
	}
	r.Watch, err = NewProxy()
	return err
}

// Start starts the replica and makes it the target of all proxies that lead to it.
func (r *Replica) Start(args ...string) error {
	path, err := r.cluster.writeConfig(r)
	if err != nil {
		return err
	}
	if r.Process, err = Start(r.Name, r.cluster.Program, append([]string{"control-plane", path}, args...), nil); err != nil {
		return err
	}
	serves, _, err := r.Event("controlplane.started", 0, startTimeout)
	if err != nil {
		return fmt.Errorf("%w\n%s", err, strings.Join(r.Log(), "\n"))
	}
	write, _ := serves["write"].(string)
	watch, _ := serves["bulletin"].(string)
	r.Write.SetTarget(write)
	r.Watch.SetTarget(watch)
	for _, other := range r.cluster.Replicas {
		if proxy := other.Peers[r.Name]; proxy != nil {
			proxy.SetTarget(write)
		}
	}
	return nil
}

// Path returns the path of the replica's operator configuration.
func (r *Replica) Path() string { return filepath.Join(r.cluster.Folder, r.Name+".scm") }

// Store returns the path of the replica's store.
func (r *Replica) Store() string { return filepath.Join(r.Folder, "board.db") }

// Cut sets whether bytes are forwarded between the replica and all others: outbound for what the replica sends, inbound for what it
// receives. false blocks the direction.
func (r *Replica) Cut(outbound, inbound bool) {
	for _, other := range r.cluster.Replicas {
		if other == r {
			continue
		}
		// A connection carries calls one way and their responses the other. What the replica sends therefore goes forward on
		// its own connections and backward on those that others opened to it.
		r.Peers[other.Name].SetForwarding(outbound, inbound)
		other.Peers[r.Name].SetForwarding(inbound, outbound)
	}
}

// Status returns the group's status as the replica knows it. It is safe for concurrent use.
func (r *Replica) Status() (status api.GroupStatus, err error) {
	r.clientMu.Lock()
	defer r.clientMu.Unlock()
	if r.client == nil {
		if r.client, err = api.NewClient(r.Write.Addr(), clientName, api.Credentials{}); err != nil {
			return status, err
		}
	}
	r.client.EachReplica(func(_ string, s api.GroupStatus, e error) { status, err = s, e })
	return status, err
}
