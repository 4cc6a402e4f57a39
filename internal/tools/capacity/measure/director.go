package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/tools/capacity"
	"stairvane.org/stairvane/internal/transport"
)

var (
	cacheCounts     = []int{90, 180, 360, 720, 1440}
	directorCounts  = []int{437, 875, 1750, 3500, 7000}
	coldCacheCounts = []int{0, 2, 4, 8, 16}
)

func directorMeasures() []Measure {
	return []Measure{
		{
			Name: "director.memory.hosts", About: "heap of a director that knows so many caches (constant: the process with none)", XUnit: "cache",
			Unit: capacity.Bytes, Sizes: cacheCounts, At: func(size int) (float64, error) { return directorHeap(endpointsBody(size)) },
		},
		{
			Name: "director.memory.purges", About: "heap of a director that keeps so many purges", XUnit: "purge kept",
			Unit: capacity.Bytes, Sizes: []int{200, 400, 800, 1600, 3200}, At: func(size int) (float64, error) { return directorHeap(purgesBody(size)) },
		},
		{
			Name: "director.memory.membership", About: "heap of a director that knows so many directors", XUnit: "director",
			Unit: capacity.Bytes, Sizes: directorCounts, At: func(size int) (float64, error) { return directorHeap(membershipBody(size, 0)) },
		},
		{
			Name: "director.time.host_change", About: "taking in the change of one cache in a list of so many", XUnit: "cache",
			Unit: capacity.Seconds, Sizes: cacheCounts, At: hostChangeTime,
		},
		{
			Name: "director.time.membership_change", About: "taking in a director that joins among so many", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorCounts, At: membershipChangeTime,
		},
		{
			Name: "director.time.watch_call", About: "writing a watch call with quotas of so many cold caches, and reading its answer", XUnit: "cold cache",
			Unit: capacity.Seconds, Sizes: coldCacheCounts, At: directorCallTime,
		},
		{
			Name: "director.bytes.call", About: "a watch call with quotas of so many cold caches", XUnit: "cold cache",
			Unit: capacity.Bytes, Sizes: coldCacheCounts, At: func(size int) (float64, error) { return float64(len(newWatchClient(size).nextRequest())), nil },
		},
		{
			Name: "director.bytes.answer", About: "its answer with as many grants and no event", XUnit: "cold cache",
			Unit: capacity.Bytes, Sizes: coldCacheCounts, At: func(size int) (float64, error) { return float64(len(newWatchClient(size).answer())), nil },
		},
		{
			Name: "director.bytes.report", About: "a health report on so many caches, in the call", XUnit: "cache reported",
			Unit: capacity.Bytes, Sizes: []int{4, 8, 16, 24, 32}, At: reportBytes,
		},
	}
}

// hostFeed, purgeFeed and memberFeed are the bodies of answers.
func endpointsBody(caches int) []byte {
	return encodeResponse(discovery.Event{Revision: 1, Endpoints: &discovery.EndpointList{Sequence: 1, Snapshot: true, Endpoints: wireEndpoints(caches)}})
}

func purgesBody(purges int) []byte {
	var items []discovery.Event
	now := float64(time.Now().UnixMilli())
	for i := range purges {
		items = append(items, discovery.Event{Revision: int64(i + 1), Purge: &discovery.Purge{Object: objectName(i), IssuedMS: now}})
	}
	return encodeResponse(items...)
}

// membershipBody is the membership as a whole, and so many directors that join one by one afterwards.
func membershipBody(directors, joining int) []byte {
	items := []discovery.Event{{
		Revision: 1, Endpoints: &discovery.EndpointList{Sequence: 1, Snapshot: true},
		Membership: &discovery.Membership{Snapshot: true, Joined: wireDirectors(directors)},
	}}
	for i := range joining {
		no := int64(i + 2)
		joined := []discovery.Director{discovery.Director(directorOf(directors + i))}
		items = append(items, discovery.Event{Revision: no, Endpoints: &discovery.EndpointList{Sequence: no}, Membership: &discovery.Membership{Joined: joined}})
	}
	return encodeResponse(items...)
}

func encodeResponse(items ...discovery.Event) []byte {
	body, err := json.Marshal(discovery.WatchResponse{LastRevision: items[len(items)-1].Revision, Events: items})
	if err != nil {
		panic(err) // texts and numbers
	}
	return body
}

// startDirector makes a director process that has taken in a feed, but serves nobody.
func startDirector(feed discovery.WatchResponse) (*director.Program, error) {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	nobody := netip.AddrPortFrom(loopback.Addr(), 1)
	return director.New(config.Config{
		Name: "director-0000", Listen: loopback, Discovery: nobody, Seed: 1, MemoryMB: 192, Sockets: 1024,
		Known: feed, Settings: settings(expectedDirectors),
		Membership: &config.Membership{Machine: "machine-0000", Site: "site-000", Incarnation: "QHTNMB5WJ6RZ3XKDVC2YFA0000", Version: "v1.18.0", Health: true},
	})
}

// stopDirector has a director leave, which takes it about a second.
func stopDirector(p *director.Program) error {
	p.Post(p.Leave)
	return p.Run()
}

// directorHeap is the heap of a director process that has taken in a body. What it was read from is not counted.
func directorHeap(body []byte) (float64, error) {
	var p *director.Program
	var err error
	heap := heapOf(func() any {
		var feed discovery.WatchResponse
		if feed, err = discovery.Decode(body); err != nil {
			return nil
		}
		p, err = startDirector(feed)
		clear(feed.Events) // the process keeps its configuration, with them
		return p
	})
	runtime.KeepAlive(body)
	if err != nil {
		return 0, err
	}
	return heap, stopDirector(p)
}

// refusingDialer stands for caches that nobody dials.
type refusingDialer struct{}

func (refusingDialer) Dial(string, time.Duration, routing.ConnHandler) (routing.Conn, error) {
	return nil, fmt.Errorf("measure: no cache is dialled")
}

func hostChangeTime(caches int) (float64, error) {
	loop, err := transport.NewLoop()
	if err != nil {
		return 0, err
	}
	defer loop.Release()
	limits := routing.Limits{StreamsPerConn: 32, ConnsPerHost: 4, MaxAttempts: 6, MaxDeadline: 6 * time.Second, PurgeTimeout: 5300 * time.Millisecond}
	director := routing.New(loop, settings(expectedDirectors), 1, limits, refusingDialer{})
	director.Start()
	var all []routing.Endpoint
	for _, host := range wireEndpoints(caches) {
		m := routing.Endpoint{Name: host.Name, Address: host.Address}
		m.Zone, m.Kind, m.Cell, m.Readiness, m.Weight = host.Site, host.Class, host.Block, "IN", 1
		all = append(all, m)
	}
	director.UpdateEndpoints(1, true, all)
	return timeOf(func(n int) {
		changed := all[n%caches]
		changed.Weight = 1 - 0.5*float64(n%2)
		director.UpdateEndpoints(int64(n+2), false, []routing.Endpoint{changed})
	}), nil
}

// membershipChangeTime is the difference between starts with and without changes after the membership as a whole.
func membershipChangeTime(directors int) (float64, error) {
	const joining = 200
	without, err := startTime(membershipBody(directors, 0))
	if err != nil {
		return 0, err
	}
	with, err := startTime(membershipBody(directors, joining))
	return (with - without) / joining, err
}

// startTime is the time in which a director process takes in a body at its start.
func startTime(body []byte) (float64, error) {
	feed, err := discovery.Decode(body)
	if err != nil {
		return 0, err
	}
	var started []*director.Program
	took := timeOnce(nil, func() {
		p, fault := startDirector(feed)
		if fault != nil {
			err = fault
			return
		}
		started = append(started, p)
	})
	var group sync.WaitGroup
	faults := make([]error, len(started))
	for i, p := range started {
		group.Go(func() { faults[i] = stopDirector(p) })
	}
	group.Wait()
	return took, errors.Join(append(faults, err)...)
}

// watchClient is a director's side of watch calls: what internal/director puts into each, and takes out of each answer.
type watchClient struct {
	identity discovery.Director
	holder   *quota.Holder
	reporter *health.Reporter
	limits   []string
	request  []byte
	now      time.Duration

	sequence uint64 // of the last renewal
}

func newWatchClient(cold int) *watchClient {
	own := discovery.Director(directorOf(7))
	return &watchClient{
		identity: own, holder: quota.NewHolder(own.ID(), quotaSettings), reporter: health.NewReporter(health.DefaultSettings, own.ID()),
		limits: limitNames(cold), now: time.Hour,
	}
}

// nextRequest writes the next call.
func (c *watchClient) nextRequest() []byte {
	c.now += 100 * time.Millisecond
	for _, name := range c.limits {
		c.holder.Want(quota.Want{Limit: name, Kind: quota.Rate, Demand: 0.0123456789})
	}
	announcement := discovery.Announcement{Director: c.identity, MembershipRevision: 1234567, Config: "9c1185a5c5e9fc54"}
	renewal := c.holder.Renewal(c.now)
	c.sequence = renewal.Seq
	announcement.QuotaRenewal = mustJSON(renewal)
	announcement.HealthReport = mustJSON(c.reporter.Report(c.now))
	c.request = discovery.AppendRequest(c.request[:0], "10.1.2.3:7000", 12345678, 100, mustJSON(announcement))
	return c.request
}

// answer is what an allocator with 3,500 holders like this one answers.
func (c *watchClient) answer() []byte {
	grant := quota.Grant{Holder: c.identity.ID(), Epoch: 12, Seq: c.sequence, Fallback: 5.714285714285714e-05}
	for _, name := range c.limits {
		grant.Parts = append(grant.Parts, quota.Share{Limit: name, Part: 0.00022857142857142857})
	}
	body := append(discovery.Opening(12345678), "],\"turns\":"...)
	body = append(append(body, mustJSON(grant)...), '}')
	return append(discovery.AppendHead(nil, 200, len(body), false), body...)
}

// directorCallTime reads one answer again and again, as if it were that to the last call.
func directorCallTime(cold int) (float64, error) {
	c := newWatchClient(cold)
	c.nextRequest()
	answer := c.answer()
	var fault error
	took := timeOf(func(n int) {
		c.nextRequest()
		response, used, _, err := discovery.ParseResponse(answer)
		if err != nil || used == 0 {
			fault = fmt.Errorf("answer: %d bytes used: %w", used, err)
			return
		}
		feed, err := discovery.Decode(response.Body)
		var grant quota.Grant
		if err == nil {
			err = json.Unmarshal(feed.QuotaGrant, &grant)
		}
		if err != nil {
			fault = err
			return
		}
		grant.Seq = c.sequence
		c.holder.Take(grant, c.now)
	})
	if cold > 0 && !c.holder.Granted(c.limits[0], c.now) {
		fault = errors.New("the grant was not taken")
	}
	return took, fault
}

func reportBytes(caches int) (float64, error) {
	witness := health.NewReporter(health.DefaultSettings, directorOf(7).ID())
	empty := len(mustJSON(witness.Report(0)))
	for i := range caches {
		witness.Record(cacheName(i), 23, 0, 0.0123)
	}
	return float64(len(mustJSON(witness.Report(time.Hour))) - empty), nil
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // texts and numbers
	}
	return b
}
