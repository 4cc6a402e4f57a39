package rig

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

// Boards are the copies of one board, each a process with a folder and with lines to all others.
type Boards struct {
	Program string // path of stairvane-fleet
	Folder  string
	Extra   string // further forms of (copies ...)
	Hubs    bool   // directors fill from hub caches, of the class parent
	Relays  bool   // relays are let in
	Every   int    // events from one snapshot to the next; 0: 500
	List    []*Board
}

// Board is one copy.
type Board struct {
	*Process
	Name   string
	Folder string
	Spare  bool
	Links  map[string]*Link // to the other copies, by name
	Write  *Link            // from the outside to its write side
	Follow *Link            // from the outside to its bulletin
	boards *Boards
	asking sync.Mutex
	ask    *api.Client
}

// NewBoards prepares so many copies, named a, b, c and so on, the last ones spares. None is started.
func NewBoards(program, folder string, copies, spares int) (*Boards, error) {
	s := &Boards{Program: program, Folder: folder}
	for i := range copies + spares {
		b := &Board{Name: string(rune('a' + i)), Spare: i >= copies, Links: map[string]*Link{}, boards: s}
		b.Folder = filepath.Join(folder, b.Name)
		if err := os.MkdirAll(b.Folder, 0o700); err != nil {
			return nil, err
		}
		s.List = append(s.List, b)
	}
	for _, b := range s.List {
		var err error
		for _, o := range s.List {
			if o != b {
				if b.Links[o.Name], err = NewLink(); err != nil {
					return nil, err
				}
			}
		}
		if b.Write, err = NewLink(); err != nil {
			return nil, err
		}
		if b.Follow, err = NewLink(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// config writes the program's file of a copy, beside its folder.
func (s *Boards) config(b *Board) (path string, err error) {
	var list strings.Builder
	for _, o := range s.List {
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
func (b *Board) Start(args ...string) error {
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
	for _, o := range b.boards.List {
		if l := o.Links[b.Name]; l != nil {
			l.To(write)
		}
	}
	return nil
}

// Path is the copy's program file.
func (b *Board) Path() string { return filepath.Join(b.boards.Folder, b.Name+".scm") }

// Store is the copy's store.
func (b *Board) Store() string { return filepath.Join(b.Folder, "board.db") }

// Cut cuts a copy's lines to and from all other copies; there and back as it is seen from the copy.
func (b *Board) Cut(there, back bool) {
	for _, o := range b.boards.List {
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
func (s *Boards) Addresses() string {
	var all []string
	for _, b := range s.List {
		all = append(all, b.Write.Addr())
	}
	return strings.Join(all, ",")
}

// Client calls the group.
func (s *Boards) Client() (*api.Client, error) {
	return api.NewClient(s.Addresses(), "rig", api.Credentials{})
}

// Known is what a copy knows of the group.
func (b *Board) Known() (known api.Copies, err error) {
	b.asking.Lock() // one client, for each has connections of its own
	defer b.asking.Unlock()
	if b.ask == nil {
		if b.ask, err = api.NewClient(b.Write.Addr(), "rig", api.Credentials{}); err != nil {
			return known, err
		}
	}
	b.ask.EachCopy(func(_ string, k api.Copies, e error) { known, err = k, e })
	return known, err
}

// Leader waits until one copy leads and says so; nil after a time.
func (s *Boards) Leader(within time.Duration) *Board {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var best *Board
		var term uint64
		for _, b := range s.List {
			if b.Process == nil || !b.Running() {
				continue
			}
			if k, err := b.Known(); err == nil && k.Leads && k.Term > term {
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
func (s *Boards) Found(within time.Duration) error {
	for i, b := range s.List {
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
func (s *Boards) disksVote(k api.Copies) bool {
	for _, b := range s.List {
		if b.Spare || b.Process == nil || !b.Running() {
			continue
		}
		own, err := b.Known()
		if err != nil || !slices.ContainsFunc(k.List, func(m api.CopyStatus) bool { return m.Votes && m.Disk == own.Disk }) {
			return false
		}
	}
	return true
}

// Whole waits until as many copies vote as are no spares, and all of them are there and have caught up.
func (s *Boards) Whole(within time.Duration) error {
	want := 0
	for _, b := range s.List {
		if !b.Spare {
			want++
		}
	}
	var last string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, b := range s.List {
			if b.Process == nil || !b.Running() {
				continue
			}
			k, err := b.Known()
			if err != nil || !k.Leads {
				continue
			}
			n := 0
			for _, m := range k.List {
				if m.Votes && m.Alive && m.Behind < 50 {
					n++
				}
			}
			last = fmt.Sprintf("%+v", k)
			if n == want && len(k.List) == want && !k.Joint && s.disksVote(k) {
				return nil
			}
		}
	}
	return errors.New("the group is not whole: " + last)
}

// Close ends all processes and lines.
func (s *Boards) Close() {
	for _, b := range s.List {
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
