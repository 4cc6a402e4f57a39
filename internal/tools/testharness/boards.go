package testharness

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
)

const startWithin = 30 * time.Second

// Cluster are the copies of one board, each a process with a folder and with lines to all others.
type Cluster struct {
	Program  string // path of stairvane-fleet
	Folder   string
	Extra    string // further forms of (copies ...)
	Parents  bool   // directors fill from hub caches, of the class parent
	Relays   bool   // relays are let in
	Every    int    // events from one snapshot to the next; 0: 500
	Replicas []*Replica
}

// Replica is one copy.
type Replica struct {
	*Process
	Name   string
	Folder string
	Spare  bool
	Links  map[string]*Proxy // to the other copies, by name
	Write  *Proxy            // from the outside to its write side
	Follow *Proxy            // from the outside to its bulletin
	boards *Cluster
	asking sync.Mutex
	ask    *api.Client
}

// NewCluster prepares so many copies, named a, b, c and so on, the last ones spares. None is started.
func NewCluster(program, folder string, copies, spares int) (*Cluster, error) {
	s := &Cluster{Program: program, Folder: folder}
	for i := range copies + spares {
		b := &Replica{Name: string(rune('a' + i)), Spare: i >= copies, Links: map[string]*Proxy{}, boards: s}
		b.Folder = filepath.Join(folder, b.Name)
		if err := os.MkdirAll(b.Folder, 0o700); err != nil {
			return nil, err
		}
		s.Replicas = append(s.Replicas, b)
	}
	for _, b := range s.Replicas {
		var err error
		for _, o := range s.Replicas {
			if o != b {
				if b.Links[o.Name], err = NewProxy(); err != nil {
					return nil, err
				}
			}
		}
		if b.Write, err = NewProxy(); err != nil {
			return nil, err
		}
		if b.Follow, err = NewProxy(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// config writes the program's file of a copy, beside its folder.
func (s *Cluster) config(b *Replica) (path string, err error) {
	var list strings.Builder
	for _, o := range s.Replicas {
		at, spare := "127.0.0.1:1", ""
		if l := b.Links[o.Name]; l != nil {
			at = l.Addr()
		}
		if o.Spare {
			spare = " (spare)"
		}
		fmt.Fprintf(&list, "    (copy %s (address %s) (machine m-%s) (site s-%s)%s)\n", o.Name, at, o.Name, o.Name, spare)
	}
	path = filepath.Join(s.Folder, b.Name+".scm")
	relays := ""
	if s.Relays {
		relays = " (relays)"
	}
	text := fmt.Sprintf("(board (listen 127.0.0.1:0) (store %s) (write (tcp 127.0.0.1:0)) (snapshot-every %d) (keep 100000)%s\n  (copies (self %s)\n%s    %s))\n",
		filepath.Join(b.Folder, "board.db"), cmp.Or(s.Every, 500), relays, b.Name, list.String(), s.Extra)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Start starts a copy and leads all lines to it.
func (b *Replica) Start(args ...string) error {
	path, err := b.boards.config(b)
	if err != nil {
		return err
	}
	if b.Process, err = Start(b.Name, b.boards.Program, append([]string{"board", path}, args...), nil); err != nil {
		return err
	}
	serves, _, err := b.Event("board.serves", 0, startWithin)
	if err != nil {
		return fmt.Errorf("%w\n%s", err, strings.Join(b.Log(), "\n"))
	}
	write, _ := serves["write"].(string)
	follow, _ := serves["bulletin"].(string)
	b.Write.To(write)
	b.Follow.To(follow)
	for _, o := range b.boards.Replicas {
		if l := o.Links[b.Name]; l != nil {
			l.To(write)
		}
	}
	return nil
}

// Path is the copy's program file.
func (b *Replica) Path() string { return filepath.Join(b.boards.Folder, b.Name+".scm") }

// Store is the copy's store.
func (b *Replica) Store() string { return filepath.Join(b.Folder, "board.db") }

// Cut cuts a copy's lines to and from all other copies; there and back as it is seen from the copy.
func (b *Replica) Cut(there, back bool) {
	for _, o := range b.boards.Replicas {
		if o == b {
			continue
		}
		// A line carries calls one way and their answers the other: what the copy says goes there on its own lines and
		// back on the others'.
		b.Links[o.Name].Carry(there, back)
		o.Links[b.Name].Carry(back, there)
	}
}

// Addresses are the write sides, as commands take them.
func (s *Cluster) Addresses() string {
	var all []string
	for _, b := range s.Replicas {
		all = append(all, b.Write.Addr())
	}
	return strings.Join(all, ",")
}

// Client calls the group.
func (s *Cluster) Client() (*api.Client, error) {
	return api.NewClient(s.Addresses(), "rig", api.Credentials{})
}

// Status is what a copy knows of the group.
func (b *Replica) Status() (known api.GroupStatus, err error) {
	b.asking.Lock() // one client, for each has connections of its own
	defer b.asking.Unlock()
	if b.ask == nil {
		if b.ask, err = api.NewClient(b.Write.Addr(), "rig", api.Credentials{}); err != nil {
			return known, err
		}
	}
	b.ask.EachReplica(func(_ string, k api.GroupStatus, e error) { known, err = k, e })
	return known, err
}

// Leader waits until one copy leads and says so; nil after a time.
func (s *Cluster) Leader(within time.Duration) *Replica {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var best *Replica
		var term uint64
		for _, b := range s.Replicas {
			if b.Process == nil || !b.Running() {
				continue
			}
			if k, err := b.Status(); err == nil && k.IsLeader && k.Term > term {
				best, term = b, k.Term
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// Found starts all copies and waits until all but the spares vote.
func (s *Cluster) Found(within time.Duration) error {
	for i, b := range s.Replicas {
		args := []string{}
		if i == 0 {
			args = append(args, "--found")
		}
		if err := b.Start(args...); err != nil {
			return err
		}
	}
	return s.Whole(within)
}

// disksVote tells whether the very disk of each copy that runs and is no spare votes: a view that is a moment old may still
// name the disk that one had before.
func (s *Cluster) disksVote(k api.GroupStatus) bool {
	for _, b := range s.Replicas {
		if b.Spare || b.Process == nil || !b.Running() {
			continue
		}
		own, err := b.Status()
		if err != nil || !slices.ContainsFunc(k.Replicas, func(m api.ReplicaStatus) bool { return m.IsVoter && m.Disk == own.Disk }) {
			return false
		}
	}
	return true
}

// Whole waits until as many copies vote as are no spares, and all of them are there and have caught up.
func (s *Cluster) Whole(within time.Duration) error {
	want := 0
	for _, b := range s.Replicas {
		if !b.Spare {
			want++
		}
	}
	var last string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, b := range s.Replicas {
			if b.Process == nil || !b.Running() {
				continue
			}
			k, err := b.Status()
			if err != nil || !k.IsLeader {
				continue
			}
			n := 0
			for _, m := range k.Replicas {
				if m.IsVoter && m.Alive && m.Behind < 50 {
					n++
				}
			}
			last = fmt.Sprintf("%+v", k)
			if n == want && len(k.Replicas) == want && !k.Joint && s.disksVote(k) {
				return nil
			}
		}
	}
	return errors.New("the group is not whole: " + last)
}

// Close ends all processes and lines.
func (s *Cluster) Close() {
	for _, b := range s.Replicas {
		if b.Process != nil && b.Running() {
			b.Kill()
		}
		for _, l := range b.Links {
			l.Close()
		}
		b.Write.Close()
		b.Follow.Close()
	}
}
