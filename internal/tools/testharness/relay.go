package testharness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Relay is a relay process with a proxy to each replica's write server and one in front of its own watch server.
type Relay struct {
	*Process
	Name     string
	Upstream []*Proxy // to the replicas' write servers, in the order of Cluster.Replicas
	Watch    *Proxy   // to its watch server
	path     string   // of its operator configuration
	cluster  *Cluster
}

// NewRelay creates a relay's proxies and operator configuration without starting the relay. The replicas are expected to be
// running. forms are additional forms in (relay ...).
func (c *Cluster) NewRelay(name, region, forms string) (*Relay, error) {
	r := &Relay{Name: name, cluster: c, path: filepath.Join(c.Folder, name+".scm")}
	var upstream []string
	for range c.Replicas {
		proxy, err := NewProxy()
		if err != nil {
			return nil, err
		}
		r.Upstream = append(r.Upstream, proxy)
		upstream = append(upstream, proxy.Addr())
	}
	var err error
	if r.Watch, err = NewProxy(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("(relay (name %s) (machine m-%s) (site s-%s) (region %s) (listen 127.0.0.1:0) (upstream %s) %s)\n",
		name, name, name, region, strings.Join(upstream, " "), forms)
	return r, os.WriteFile(r.path, []byte(text), 0o600)
}

// Start starts the relay and sets the targets of its proxies.
func (r *Relay) Start() error {
	for i, replica := range r.cluster.Replicas {
		r.Upstream[i].SetTarget(replica.Write.Addr())
	}
	var err error
	if r.Process, err = Start(r.Name, r.cluster.Program, []string{"relay", r.path}, nil); err != nil {
		return err
	}
	serves, _, err := r.Event("relay.started", 0, startTimeout)
	if err != nil {
		return fmt.Errorf("%w\n%s", err, strings.Join(r.Log(), "\n"))
	}
	watch, _ := serves["watch"].(string)
	r.Watch.SetTarget(watch)
	return nil
}

// Cut blocks the connections from the relay to all replicas, or unblocks them.
func (r *Relay) Cut(cut bool) {
	for _, proxy := range r.Upstream {
		proxy.SetForwarding(!cut, !cut)
	}
}

// Close kills the process and closes the proxies.
func (r *Relay) Close() {
	if r.Process != nil && r.Running() {
		r.Kill()
	}
	for _, proxy := range r.Upstream {
		proxy.Close()
	}
	r.Watch.Close()
}
