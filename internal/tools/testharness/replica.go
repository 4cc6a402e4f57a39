package testharness

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"

	"stairvane.org/stairvane/internal/controlplane/api"
)

// clientName is who the harness says to be on the write side.
const clientName = "rig"

// Replica is one replica of the control plane.
type Replica struct {
	*Process
	Name      string
	Folder    string
	IsStandby bool              // it stands by
	Peers     map[string]*Proxy // to the other replicas, by name
	Write     *Proxy            // from the outside to its write side
	Watch     *Proxy            // from the outside to where it serves watches
	cluster   *Cluster

	clientMu sync.Mutex // of client; a client has connections of its own, so there is one
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

// Start starts the replica and connects all proxies to it.
func (r *Replica) Start(args ...string) error {
	path, err := r.cluster.config(r)
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

// Path is the replica's program file.
func (r *Replica) Path() string { return filepath.Join(r.cluster.Folder, r.Name+".scm") }

// Store is the replica's store.
func (r *Replica) Store() string { return filepath.Join(r.Folder, "board.db") }

// Cut lets bytes pass, or not, between the replica and all others: there is what the replica sends, back what it receives.
func (r *Replica) Cut(there, back bool) {
	for _, other := range r.cluster.Replicas {
		if other == r {
			continue
		}
		// A connection carries calls one way and their answers the other: what the replica sends goes forward on its own
		// connections and backward on those of the others.
		r.Peers[other.Name].SetForwarding(there, back)
		other.Peers[r.Name].SetForwarding(back, there)
	}
}

// Status is what the replica knows of the group. It may be called concurrently.
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
