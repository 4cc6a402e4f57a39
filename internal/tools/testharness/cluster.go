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

	// caughtUpEntries is the lag, in log entries, below which a replica counts as caught up while the cluster is under load.
	caughtUpEntries = 50

	defaultSnapshotEvery = 500 // events
)

// Cluster is a control plane of several replicas. Each replica is a process with a folder and with a proxy to every other replica.
type Cluster struct {
	Program       string // path of the stairvane-fleet binary
	Folder        string
	ExtraForms    string // additional forms in (copies ...)
	Parents       bool   // the location's caches fill from parent caches, of the class parent
	Relays        bool   // the control plane admits relays
	SnapshotEvery int    // events between snapshots; 0 means 500
	Replicas      []*Replica
}

// NewCluster creates the folders and proxies of the given numbers of replicas and standbys, named a, b, c and so on, standbys last. It
// starts no process.
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

// writeConfig writes a replica's operator configuration next to its folder and returns the file's path.
func (c *Cluster) writeConfig(r *Replica) (path string, err error) {
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

// Addresses returns the addresses of the replicas' write servers, separated by commas as commands expect them.
func (c *Cluster) Addresses() string {
	var all []string
	for _, r := range c.Replicas {
		all = append(all, r.Write.Addr())
	}
	return strings.Join(all, ",")
}

// Client returns a client of the write servers that finds the current leader.
func (c *Cluster) Client() (*api.Client, error) {
	return api.NewClient(c.Addresses(), clientName, api.Credentials{})
}

// running returns the replicas whose processes have not exited.
func (c *Cluster) running() (all []*Replica) {
	for _, r := range c.Replicas {
		if r.Process != nil && r.Running() {
			all = append(all, r)
		}
	}
	return all
}

// leader returns the replica that reports to lead in the highest term, with its status, or nil if no replica reports to lead.
func (c *Cluster) leader() (leader *Replica, status api.GroupStatus) {
	for _, r := range c.running() {
		s, err := r.Status()
		if err == nil && s.IsLeader && s.Term > status.Term {
			leader, status = r, s
		}
	}
	return leader, status
}

// Leader waits until a replica reports that it leads, and returns it. It returns nil if none does within the given time.
func (c *Cluster) Leader(within time.Duration) *Replica {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(leaderPollInterval) {
		if leader, _ := c.leader(); leader != nil {
			return leader
		}
	}
	return nil
}

// Bootstrap starts all replicas, the first one with the flag that founds the group, and waits until all but the standbys are voters.
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

// AwaitComplete waits until the leader reports as many voters as there are replicas without standbys, all of them alive and caught up.
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
	return errors.New("the group is not complete; last status of the leader: " + last)
}

// isComplete reports whether a leader's status shows a complete group, as AwaitComplete defines it.
func (c *Cluster) isComplete(status api.GroupStatus) bool {
	votersWanted := 0
	for _, r := range c.Replicas {
		if !r.IsStandby {
			votersWanted++
		}
	}
	votersReady := 0
	for _, r := range status.Replicas {
		if r.IsVoter && r.Alive && r.Behind < caughtUpEntries {
			votersReady++
		}
	}
	return votersReady == votersWanted && len(status.Replicas) == votersWanted && !status.Joint && c.disksVote(status)
}

// disksVote reports whether the current disk of each running replica that is not a standby is a voter. The leader's status may be
// slightly out of date and still name the disk that a replica had before.
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

// Close kills all replicas and closes all proxies.
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
