package scale

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/scale/simulated"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// Roles of processes, as they are named in results.
const (
	RoleLeader    = "leader"
	RoleReplica   = "replica"
	RoleRelay     = "relay"
	RoleDirector  = "director"
	RoleSimulated = "hollow" // the name in stored results
	RoleRun       = "run"
)

const (
	startTimeout     = 30 * time.Second
	controlTimeout   = 15 * time.Second
	joinPollInterval = 250 * time.Millisecond
	snapshotEvery    = 10_000 // events
)

// processSpec describes how to start a process. The process is ready when it has logged startedEvent, whose attribute addressKey is its
// address.
type processSpec struct {
	name         string
	args         []string
	startedEvent string
	addressKey   string
}

// member is a process of the cluster with its role.
type member struct {
	*testharness.Process
	role    string
	address string // of its watch server or, for simulated directors, of its control server
}

// cluster holds all processes that run for one size.
type cluster struct {
	settings      Settings
	folder        string
	group         *testharness.Cluster
	relays        []*member
	directors     []*testharness.Director
	simulated     []*member
	caches        []*fakes.Cache
	controlClient *http.Client
}

// startCluster starts all processes except the simulated directors.
func startCluster(set Settings, folder string) (*cluster, error) {
	c := &cluster{settings: set, folder: folder, controlClient: &http.Client{Timeout: controlTimeout}}
	if err := c.startAll(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startAll() (err error) {
	if c.group, err = testharness.NewCluster(c.settings.Program, c.folder, c.settings.Replicas, 0); err != nil {
		return err
	}
	c.group.Relays = c.settings.Relays > 0
	c.group.SnapshotEvery = snapshotEvery
	if err := c.group.Bootstrap(startTimeout); err != nil {
		return err
	}
	if err := c.declareFleet(); err != nil {
		return err
	}
	if err := c.startRelays(); err != nil {
		return err
	}
	for i := range c.settings.RealDirectors {
		d, err := c.group.StartDirector(fmt.Sprintf("real-%d", i), "west", i%c.settings.Replicas, "")
		if err != nil {
			return err
		}
		c.directors = append(c.directors, d)
	}
	return nil
}

func (c *cluster) startProcess(spec processSpec, role string) (*member, error) {
	p, err := testharness.Start(spec.name, c.settings.Program, spec.args, nil)
	if err != nil {
		return nil, err
	}
	event, _, err := p.Event(spec.startedEvent, 0, startTimeout)
	if err != nil {
		p.Kill()
		return nil, fmt.Errorf("%w\n%s", err, strings.Join(p.Log(), "\n"))
	}
	address, ok := event[spec.addressKey].(string)
	if !ok {
		p.Kill()
		return nil, fmt.Errorf("scale: %s did not log its address as %s", spec.name, spec.addressKey)
	}
	return &member{Process: p, role: role, address: address}, nil
}

// startRelays starts the relays, and points the watch proxies of the replicas, which real directors use, to them.
func (c *cluster) startRelays() error {
	var upstream []string
	for _, replica := range c.group.Replicas {
		upstream = append(upstream, replica.Write.Addr())
	}
	for i := range c.settings.Relays {
		name := fmt.Sprintf("r%d", i+1)
		file := filepath.Join(c.folder, name+".scm")
		text := fmt.Sprintf("(relay (name %s) (machine m-%s) (site s-%s) (region region-%d) (listen 127.0.0.1:0) (upstream %s))\n",
			name, name, name, i+1, strings.Join(upstream, " "))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		spec := processSpec{name: name, args: []string{"relay", file}, startedEvent: "relay.started", addressKey: "watch"}
		relay, err := c.startProcess(spec, RoleRelay)
		if err != nil {
			return err
		}
		c.relays = append(c.relays, relay)
	}
	for i, replica := range c.group.Replicas {
		if len(c.relays) > 0 {
			replica.Watch.SetTarget(c.relays[i%len(c.relays)].address)
		}
	}
	return nil
}

// watchServers returns the addresses that simulated directors watch: those of the relays or, if there are none, those of the
// replicas themselves and not of their proxies, which would use CPU time of the run.
func (c *cluster) watchServers() (addresses []netip.AddrPort, err error) {
	for _, relay := range c.relays {
		address, err := netip.ParseAddrPort(relay.address)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	if len(addresses) > 0 {
		return addresses, nil
	}
	for _, replica := range c.group.Replicas {
		address, err := replicaWatch(replica)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// replicaWatch returns the address of a replica's own watch server.
func replicaWatch(replica *testharness.Replica) (netip.AddrPort, error) {
	event, _, err := replica.Event("controlplane.started", 0, startTimeout)
	if err != nil {
		return netip.AddrPort{}, err
	}
	address, _ := event["bulletin"].(string)
	return netip.ParseAddrPort(address)
}

// startSimulated starts the given number of simulated directors, spread evenly over the processes.
func (c *cluster) startSimulated(count int) error {
	addresses, err := c.watchServers()
	if err != nil {
		return err
	}
	first := 0
	for i := range c.settings.Processes {
		share := count * (i + 1) / c.settings.Processes
		set := simulated.Settings{
			Addresses:      addresses,
			First:          first,
			Count:          share - first,
			Total:          count,
			ColdCaches:     c.settings.ColdCaches,
			Demand:         c.settings.Demand,
			Zipf:           c.settings.Zipf,
			Crowd:          cmp.Or(c.settings.Crowd, count),
			Seed:           c.settings.Seed,
			StartPerSecond: c.settings.StartPerSecond,
		}
		first = share
		text, err := json.Marshal(set)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("simulated-%d", i)
		file := filepath.Join(c.folder, name+".json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		spec := processSpec{
			name:         name,
			args:         []string{"scale", "simulated", file},
			startedEvent: simulated.StartedEvent,
			addressKey:   simulated.ControlAddressKey,
		}
		p, err := c.startProcess(spec, RoleSimulated)
		if err != nil {
			return err
		}
		c.simulated = append(c.simulated, p)
	}
	return nil
}

// callControl sends a request to the control server of a process of simulated directors and decodes the JSON response into out.
func (c *cluster) callControl(p *member, method, path string, out any) error {
	request, err := http.NewRequest(method, "http://"+p.address+path, nil)
	if err != nil {
		return err
	}
	response, err := c.controlClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the response has been decoded or is not needed
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("scale: %s answered %s", p.Name, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// sumAnswers sends a request to all processes of simulated directors and returns the sum of the numbers that they answer.
func (c *cluster) sumAnswers(method, path string) (total int, err error) {
	for _, p := range c.simulated {
		var one int
		if err := c.callControl(p, method, path, &one); err != nil {
			return total, err
		}
		total += one
	}
	return total, nil
}

// declareFleet applies the fleet's configuration: an origin, and a location with two caches that need no warm-up.
func (c *cluster) declareFleet() error {
	rules := fleet.DefaultRules()
	rules.Cache.WarmUpMS = 0
	rules.Parent.WarmUpMS = 0
	desired := fleet.DesiredState{Rules: rules}
	for _, host := range []fleet.HostSpec{
		{Name: "store", Role: fleet.Origin, Site: "hub", Class: "origin", Share: 40},
		{Name: "west-0", Role: fleet.Cache, Site: "west", Class: "std", Share: 4, Running: true},
		{Name: "west-1", Role: fleet.Cache, Site: "west", Class: "std", Share: 4, Running: true},
	} {
		cache, err := fakes.NewCache("127.0.0.1:0")
		if err != nil {
			return err
		}
		c.caches = append(c.caches, cache)
		host.Address = cache.Addr()
		desired.Hosts = append(desired.Hosts, host)
	}
	desired.Locations = []fleet.Location{{Name: "west", Floor: 1, Load: 1, Sources: []string{"store"}}}
	desired.Normalize()
	client, err := c.group.Client()
	if err != nil {
		return err
	}
	for end := time.Now().Add(startTimeout); ; time.Sleep(retryPause) {
		err := submitChange(client, func(fleet.ObservedState) fleet.DesiredState { return desired })
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// awaitJoined waits until at least count directors are members, but no longer than the given time. It returns the number of members
// in either case.
func (c *cluster) awaitJoined(count int, within time.Duration) (joined int, took time.Duration, err error) {
	client, err := c.group.Client()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	for {
		var members api.Members
		if members, err = client.Members(); err == nil {
			joined = len(members.Directors)
		}
		took = time.Since(start)
		if joined >= count || took > within {
			return joined, took, err
		}
		time.Sleep(joinPollInterval)
	}
}

// members returns all processes except the run itself, with their current roles. leader is the replica that leads; nil if that is
// not needed.
func (c *cluster) members(leader *testharness.Replica) (all []*member) {
	for _, replica := range c.group.Replicas {
		role := RoleReplica
		if replica == leader {
			role = RoleLeader
		}
		address, err := replicaWatch(replica)
		if err != nil {
			continue // it was killed before it was ready
		}
		all = append(all, &member{Process: replica.Process, role: role, address: address.String()})
	}
	all = append(all, c.relays...)
	for _, d := range c.directors {
		all = append(all, &member{Process: d.Process, role: RoleDirector})
	}
	return append(all, c.simulated...)
}

// residentMemory returns the resident memory of all processes in bytes.
func (c *cluster) residentMemory() (sum int64) {
	for _, m := range c.members(nil) {
		if u, err := readUsage(m.Pid()); err == nil {
			sum += u.rss
		}
	}
	return sum
}

var errNoLeader = errors.New("scale: no replica leads")

// saveLogs writes the processes' logs to the folder of their other files.
func (c *cluster) saveLogs() error {
	for _, m := range c.members(nil) {
		text := strings.Join(m.Log(), "\n") + "\n"
		if err := os.WriteFile(filepath.Join(c.folder, m.Name+".log"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes and closes the fake caches.
func (c *cluster) close() {
	for _, p := range append(c.relays, c.simulated...) {
		if p.Running() {
			p.Kill()
		}
	}
	for _, d := range c.directors {
		if d.Running() {
			d.Kill()
		}
	}
	if c.group != nil {
		c.group.Close()
	}
	for _, cache := range c.caches {
		cache.Close()
	}
}
