package testharness

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
)

const (
	startTimeout         = 30 * time.Second
	leaderPollInterval   = 10 * time.Millisecond
	completePollInterval = 20 * time.Millisecond

	// caughtUpEntries is how many entries a replica may lack, under load, and count as caught up.
	caughtUpEntries = 50

	defaultSnapshotEvery = 500 // events
)

// Cluster is a control plane of several replicas, each a process with a folder and with proxies to all others.
type Cluster struct {
	Program       string // path of stairvane-fleet
	Folder        string
	ExtraForms    string // further forms of (copies ...)
	Parents       bool   // directors fill from parent caches, of the class parent
	Relays        bool   // relays are admitted
	SnapshotEvery int    // events from one snapshot to the next; 0: 500
	Replicas      []*Replica
}

// NewCluster prepares so many replicas, named a, b, c and so on, the last ones standbys. None is started.
func NewCluster(program, folder string, replicas, standbys int) (*Cluster, error) {
	c := &Cluster{Program: program, Folder: folder}
	for i := range replicas + standbys {
		r := &Replica{Name: string(rune('a' + i)), IsStandby: i >= replicas, Peers: map[string]*Proxy{}, cluster: c}
		r.Folder = filepath.Join(folder, r.Name)
		if err := os.MkdirAll(r.Folder, 0o700); err != nil {
			return nil, err
		}
		c.Replicas = append(c.Replicas, r)
	}
	for _, r := range c.Replicas {
		if err := r.makeProxies(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// config writes the program's file of a replica, beside its folder.
func (c *Cluster) config(r *Replica) (path string, err error) {
	var list strings.Builder
	for _, other := range c.Replicas {
		address, standby := "127.0.0.1:1", ""
		if proxy := r.Peers[other.Name]; proxy != nil {
			address = proxy.Addr()
		}
		if other.IsStandby {
			standby = " (spare)"
		}
		fmt.Fprintf(&list, "    (copy %[1]s (address %[2]s) (machine m-%[1]s) (site s-%[1]s)%[3]s)\n", other.Name, address, standby)
	}
	relays := ""
	if c.Relays {
		relays = " (relays)"
	}
	text := fmt.Sprintf("(board (listen 127.0.0.1:0) (store %s) (write (tcp 127.0.0.1:0)) (snapshot-every %d) (keep 100000)%s\n",
		r.Store(), cmp.Or(c.SnapshotEvery, defaultSnapshotEvery), relays)
	text += fmt.Sprintf("  (copies (self %s)\n%s    %s))\n", r.Name, list.String(), c.ExtraForms)
	return r.Path(), os.WriteFile(r.Path(), []byte(text), 0o600)
}

// Addresses are the write sides, as commands take them.
func (c *Cluster) Addresses() string {
	var all []string
	for _, r := range c.Replicas {
		all = append(all, r.Write.Addr())
	}
	return strings.Join(all, ",")
}

// Client calls the write side of whichever replica leads.
func (c *Cluster) Client() (*api.Client, error) {
	return api.NewClient(c.Addresses(), clientName, api.Credentials{})
}

// running are the replicas whose processes have not ended.
func (c *Cluster) running() (all []*Replica) {
	for _, r := range c.Replicas {
		if r.Process != nil && r.Running() {
			all = append(all, r)
		}
	}
	return all
}

// leader is the replica that leads in the highest term, with its status; nil if none says that it leads.
func (c *Cluster) leader() (leader *Replica, status api.GroupStatus) {
	for _, r := range c.running() {
		s, err := r.Status()
		if err == nil && s.IsLeader && s.Term > status.Term {
			leader, status = r, s
		}
	}
	return leader, status
}

// Leader waits until a replica says that it leads; nil after a time.
func (c *Cluster) Leader(within time.Duration) *Replica {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(leaderPollInterval) {
		if leader, _ := c.leader(); leader != nil {
			return leader
		}
	}
	return nil
}

// Bootstrap starts all replicas and waits until all but the standbys vote.
func (c *Cluster) Bootstrap(within time.Duration) error {
	for i, r := range c.Replicas {
		var args []string
		if i == 0 {
			args = append(args, "--found")
		}
		if err := r.Start(args...); err != nil {
			return err
		}
	}
	return c.AwaitComplete(within)
}

// AwaitComplete waits until as many replicas vote as are no standbys, and all of them are there and have caught up.
func (c *Cluster) AwaitComplete(within time.Duration) error {
	var last string
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(completePollInterval) {
		for _, r := range c.running() {
			status, err := r.Status()
			if err != nil || !status.IsLeader {
				continue
			}
			if c.isComplete(status) {
				return nil
			}
			last = fmt.Sprintf("%+v", status)
		}
	}
	return errors.New("the group is not complete: " + last)
}

// isComplete reports whether a leader's view is that of a complete group.
func (c *Cluster) isComplete(status api.GroupStatus) bool {
	wanted := 0
	for _, r := range c.Replicas {
		if !r.IsStandby {
			wanted++
		}
	}
	current := 0
	for _, r := range status.Replicas {
		if r.IsVoter && r.Alive && r.Behind < caughtUpEntries {
			current++
		}
	}
	return current == wanted && len(status.Replicas) == wanted && !status.Joint && c.disksVote(status)
}

// disksVote reports whether the very disk of each replica that runs and is no standby votes: a view that is a moment old may still
// name the disk that one had before.
func (c *Cluster) disksVote(status api.GroupStatus) bool {
	for _, r := range c.running() {
		if r.IsStandby {
			continue
		}
		own, err := r.Status()
		if err != nil {
			return false
		}
		votes := func(s api.ReplicaStatus) bool { return s.IsVoter && s.Disk == own.Disk }
		if !slices.ContainsFunc(status.Replicas, votes) {
			return false
		}
	}
	return true
}

// Close ends all processes and proxies.
func (c *Cluster) Close() {
	for _, r := range c.Replicas {
		if r.Process != nil && r.Running() {
			r.Kill()
		}
		for _, proxy := range r.Peers {
			proxy.Close()
		}
		r.Write.Close()
		r.Watch.Close()
	}
}
