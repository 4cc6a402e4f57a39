package testharness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Relay is a relay's process, with lines to the write sides of all copies and one in front of it.
type Relay struct {
	*Process
	Name  string
	Links []*Proxy // to the copies, in their order
	Watch *Proxy   // from the outside to where it serves watches
	path  string
	list  *Cluster
}

// NewRelay prepares a relay of the copies, which are started already. It is not started. forms are further ones of (relay ...).
func (s *Cluster) NewRelay(name, region, forms string) (*Relay, error) {
	r := &Relay{Name: name, list: s, path: filepath.Join(s.Folder, name+".scm")}
	var upstream []string
	for range s.Replicas {
		l, err := NewProxy()
		if err != nil {
			return nil, err
		}
		r.Links = append(r.Links, l)
		upstream = append(upstream, l.Addr())
	}
	var err error
	if r.Watch, err = NewProxy(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("(relay (name %s) (machine m-%s) (site s-%s) (region %s) (listen 127.0.0.1:0) (upstream %s) %s)\n",
		name, name, name, region, strings.Join(upstream, " "), forms)
	return r, os.WriteFile(r.path, []byte(text), 0o600)
}

// Start starts the relay and leads all lines.
func (r *Relay) Start() error {
	for i, b := range r.list.Replicas {
		r.Links[i].To(b.Write.Addr())
	}
	var err error
	if r.Process, err = Start(r.Name, r.list.Program, []string{"relay", r.path}, nil); err != nil {
		return err
	}
	serves, _, err := r.Event("relay.serves", 0, startWithin)
	if err != nil {
		return fmt.Errorf("%w\n%s", err, strings.Join(r.Log(), "\n"))
	}
	watch, _ := serves["watch"].(string)
	r.Watch.To(watch)
	return nil
}

// Cut cuts the relay off from all copies, or joins it with them again.
func (r *Relay) Cut(cut bool) {
	for _, l := range r.Links {
		l.Carry(!cut, !cut)
	}
}

// Close ends the process and the lines.
func (r *Relay) Close() {
	if r.Process != nil && r.Running() {
		r.Kill()
	}
	for _, l := range r.Links {
		l.Close()
	}
	r.Watch.Close()
}
