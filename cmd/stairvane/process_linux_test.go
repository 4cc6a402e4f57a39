package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// These stories play with directors as processes, as the platform starts them.

var built struct {
	sync.Once
	dir string
	err error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

// directorBinary builds the program once and gives its path.
func directorBinary(t *testing.T) string {
	t.Helper()
	built.Do(func() {
		if built.dir, built.err = os.MkdirTemp("", "stairvane-test"); built.err != nil {
			return
		}
		build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", built.dir+"/", ".")
		build.Env = append(os.Environ(), "CGO_ENABLED=1")
		if out, err := build.CombinedOutput(); err != nil {
			built.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return filepath.Join(built.dir, "stairvane")
}

// process is one director. What it logs goes to logged.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	addr   string
	mu     sync.Mutex
	log    strings.Builder
	serves chan string
	ended  chan error
}

// launch starts a director with a configuration, and with so many descriptors; 0: as many as this process.
func launch(t *testing.T, config map[string]any, descriptors int) *process {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, serves: make(chan string, 1), ended: make(chan error, 1)}
	p.cmd = exec.Command(directorBinary(t))
	if descriptors > 0 {
		p.cmd = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptors, directorBinary(t)))
	}
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		serves := regexp.MustCompile(`"director.serves".*"addr":"([^"]+)"`)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.mu.Lock()
			p.log.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
			if m := serves.FindStringSubmatch(lines.Text()); m != nil {
				p.serves <- m[1]
			}
		}
	}()
	go func() {
		<-read
		p.ended <- p.cmd.Wait()
	}()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// up waits until it listens.
func (p *process) up() string {
	p.t.Helper()
	select {
	case p.addr = <-p.serves:
	case <-time.After(30 * time.Second):
		p.t.Fatalf("it does not serve:\n%s", p.logged())
	}
	return p.addr
}

// leaves sends SIGTERM and waits for the end.
func (p *process) leaves(within time.Duration) {
	p.t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			p.t.Errorf("it ended with %v:\n%s", err, p.logged())
		}
	case <-time.After(within):
		p.t.Fatalf("it does not leave within %v:\n%s", within, p.logged())
	}
}

// heartbeat asks a director once whether it is ready.
func heartbeat(addr string) (good bool, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	const call = "\x80\x01\x00\x01\x00\x00\x00\x09heartbeat\x00\x00\x00\x01\x02\x00\x01\x01\x00"
	if _, err := fmt.Fprintf(conn, "\x00\x00\x00%c%s", len(call), call); err != nil {
		return false, err
	}
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return false, err
	}
	body := make([]byte, int(head[2])<<8|int(head[3]))
	if _, err := io.ReadFull(conn, body); err != nil {
		return false, err
	}
	return strings.Contains(string(body), "\x02\x00\x03\x01"), nil // field 3, true
}

// quickstart is the configuration of the quick start, before a discovery and with these limits.
func quickstart(t *testing.T, discovery string, sockets int) map[string]any {
	t.Helper()
	text, err := os.ReadFile("../../deploy/quickstart/director.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	c["listen"], c["bulletin"] = "127.0.0.1:0", discovery
	c["limits"] = map[string]any{"memory_mb": 64, "sockets": sockets}
	return c
}

func roster(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`"roster":{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

func hostLine(name, addr, health string, share float64, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"west","class":"std","health":%q,"share":%g,"born_ms":%d}`, name, addr, health, share, born)
}

// discovery is a stand-in that tells events from a time on; it holds every call until then.
type discovery struct {
	mu     sync.Mutex
	events []string
	change chan struct{}
}

func newDiscovery(events ...string) *discovery {
	return &discovery{events: events, change: make(chan struct{})}
}

func (d *discovery) tell(events ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, events...)
	close(d.change)
	d.change = make(chan struct{})
}

func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var after, patience int
	fmt.Sscan(r.URL.Query().Get("after"), &after)
	fmt.Sscan(r.URL.Query().Get("patience"), &patience)
	over := time.After(time.Duration(patience) * time.Millisecond)
	for {
		d.mu.Lock()
		events, change := d.events, d.change
		d.mu.Unlock()
		if len(events) > after {
			var items []string
			for i := after; i < len(events); i++ {
				items = append(items, fmt.Sprintf(`{"no":%d,%s}`, i+1, events[i]))
			}
			fmt.Fprintf(rw, `{"no":%d,"items":[%s]}`, len(events), strings.Join(items, ","))
			return
		}
		select {
		case <-change:
		case <-over:
			fmt.Fprintf(rw, `{"no":%d,"items":[]}`, after)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func serveDiscovery(t *testing.T, addr string, d *discovery) string {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: d}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// Thirty directors start at once, with no list, while discovery holds its answers: nine in ten are ready within 10 s of their start,
// and soon after the list has come.
func TestThirtyDirectorsAreReadyInTime(t *testing.T) {
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	d := newDiscovery()
	addr := serveDiscovery(t, "127.0.0.1:0", d)
	directorBinary(t) // built before the clock runs
	const many = 30
	started := time.Now()
	nodes := make([]*process, many)
	for i := range nodes {
		nodes[i] = launch(t, quickstart(t, addr, 256), 0)
	}
	for _, p := range nodes {
		if good, err := heartbeat(p.up()); err != nil || good {
			t.Fatalf("ready without a list: %t, %v", good, err)
		}
	}
	up := time.Since(started)
	d.tell(roster(1, true, hostLine("s-1", cache.Addr(), "in_service", 8, 0)))
	told := time.Now()
	var took []time.Duration
	for _, p := range nodes {
		for {
			good, err := heartbeat(p.addr)
			if err != nil {
				t.Fatal(err)
			}
			if good {
				break
			}
			if time.Since(told) > 10*time.Second {
				t.Fatal("one is never ready")
			}
			time.Sleep(5 * time.Millisecond)
		}
		took = append(took, time.Since(told))
	}
	slices.Sort(took)
	t.Logf("all %d listened after %v; ready after the list came: median %v, nine in ten %v, last %v", many, up.Round(time.Millisecond),
		took[many/2].Round(time.Millisecond), took[many*9/10].Round(time.Millisecond), took[many-1].Round(time.Millisecond))
	if up+took[many*9/10] > 10*time.Second {
		t.Errorf("nine in ten are ready only after %v", up+took[many*9/10])
	}
}

// Idle clients take all descriptors that clients may have, and more want in, while discovery is down and the links must be dialled
// anew: clients that ask are served, and discovery is heard when it is back.
func TestIdleClientsLeaveDescriptorsForWhatMatters(t *testing.T) {
	const descriptors = 128
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	place, err := net.Listen("tcp", "127.0.0.1:0") // a port for later; nobody answers there now
	if err != nil {
		t.Fatal(err)
	}
	where := place.Addr().String()
	place.Close()
	c := quickstart(t, where, descriptors)
	c["known"] = json.RawMessage(`{"no":1,"items":[{"no":1,` + roster(1, true, hostLine("s-1", cache.Addr(), "in_service", 8, 0)) + `}]}`)
	p := launch(t, c, descriptors)
	addr := p.up()
	for i := range 3 * descriptors { // half of them have asked once, half say nothing; those that are closed are left so
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			client, err := fakes.Connect(addr)
			if err != nil {
				t.Fatal(err)
			}
			if err := client.Send(100, 5*time.Second); err != nil {
				t.Logf("turned away: %v", err)
			}
			defer client.Finish(0)
		}
	}
	// Whoever comes now may be turned away while all that are there are so new that their first requests may be under way.
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if client, err := fakes.Connect(addr); err == nil && client.Send(100, time.Second) == nil && client.Finish(time.Second).Served == 1 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("nobody gets in:\n%s", p.logged())
		}
	}
	if tally, err := fakes.Load(addr, 50, time.Second); err != nil || tally.Served != tally.Sent {
		t.Errorf("while the descriptors are full: %+v, %v", tally, err)
	}
	d := newDiscovery(roster(1, true, hostLine("s-1", cache.Addr(), "in_service", 8, 0)), roster(2, false, hostLine("s-1", cache.Addr(), "terminated", 8, 0)))
	serveDiscovery(t, where, d)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if good, err := heartbeat(addr); err == nil && !good {
			break // the only cache has gone: it was heard
		}
		if time.Now().After(until) {
			t.Fatalf("discovery is not heard:\n%s", p.logged())
		}
	}
	for _, bad := range []string{"accept.failed", "connection.dial_failed", "connection.limit_reached", "panic"} {
		if strings.Contains(p.logged(), bad) {
			t.Errorf("%s is logged", bad)
		}
	}
	p.leaves(5 * time.Second)
}

// SIGTERM before the first list, and while discovery can't be reached.
func TestLeavesBeforeItHasAList(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0) // never accepts: a call is made and hangs
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	hangs := fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port)
	for range 4 { // the queue is full: dials to it hang
		if conn, err := net.DialTimeout("tcp", hangs, 50*time.Millisecond); err == nil {
			defer conn.Close()
		}
	}
	for name, where := range map[string]string{"refused": "127.0.0.1:1", "dialling": hangs, "silent": serveDiscovery(t, "127.0.0.1:0", newDiscovery())} {
		p := launch(t, quickstart(t, where, 256), 0)
		if good, err := heartbeat(p.up()); err != nil || good {
			t.Errorf("%s: ready without a list: %t, %v", name, good, err)
		}
		p.leaves(5 * time.Second)
	}
}

// A cold cache bears the sum of 1 to 30 directors, each a process of its own that knows nothing of the others. A fifth of them gets
// most of the demand, and a quarter is killed and started anew while the cache warms up.
func TestAColdCacheBearsAllProcesses(t *testing.T) {
	for _, nodes := range []int{1, 4, 20, 30} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			coldSum(t, nodes)
		})
	}
}

func coldSum(t *testing.T, nodes int) {
	const (
		warms    = 5 * time.Second
		window   = time.Second
		from     = 0.2
		multiple = 4.0
		work     = 0.02 // s of sending: 10 KB at 500 KB/s
		link     = 1.0
	)
	var caches []*fakes.Cache
	for range 2 {
		c, err := fakes.NewCache("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		caches = append(caches, c)
	}
	d := newDiscovery(roster(1, true, hostLine("s-2", caches[1].Addr(), "in_service", link, 0)))
	where := serveDiscovery(t, "127.0.0.1:0", d)
	c := quickstart(t, where, 256)
	settings := c["settings"].(map[string]any)
	settings["Balancers"] = nodes
	family := settings["FamilyInfo"].(map[string]any)
	family["CountByZone"], family["OneFlowKbPerS"] = []int{0, nodes}, 500
	rules := settings["Rules"].(map[string]any)
	rules["Cold"], rules["ColdFrom"], rules["Fall"], rules["TipMultiple"] = warms.Milliseconds(), from, window.Milliseconds(), multiple
	at := make([]string, nodes)
	procs := make([]*process, nodes)
	var mu sync.Mutex
	start := func(i int) {
		p := launch(t, c, 0)
		addr := p.up()
		mu.Lock()
		defer mu.Unlock()
		procs[i], at[i] = p, addr
	}
	var launched sync.WaitGroup
	directorBinary(t)
	for i := range nodes {
		launched.Add(1)
		go func() { defer launched.Done(); start(i) }()
	}
	launched.Wait()
	if t.Failed() {
		return
	}
	born := time.Now()
	d.tell(roster(2, false, hostLine("s-1", caches[0].Addr(), "in_service", link, born.UnixMilli())))
	var load sync.WaitGroup
	for i := range nodes {
		load.Add(1)
		go func() {
			defer load.Done()
			perSecond := 80 / nodes
			if i%5 == 0 { // a fifth of them has 240 a second in all, of which half are the cold cache's
				perSecond = 240 / ((nodes + 4) / 5)
			}
			for until := born.Add(warms); time.Now().Before(until); {
				mu.Lock()
				addr := at[i]
				mu.Unlock()
				_, _ = fakes.Load(addr, perSecond, min(time.Until(until), 500*time.Millisecond))
			}
		}()
	}
	kills := (nodes + 3) / 4
	for i := range kills {
		time.Sleep(time.Until(born.Add(time.Duration(i+1) * warms * 3 / 4 / time.Duration(kills))))
		_ = procs[4*i].cmd.Process.Kill()
		<-procs[4*i].ended
		start(4 * i)
	}
	load.Wait()
	orders := caches[0].Attempts()
	used, windows := 0.0, 0
	for w := time.Duration(0); w+window <= warms; w += 20 * time.Millisecond {
		n := 0.0
		for _, o := range orders {
			if age := o.At.Sub(born); age >= w && age < w+window {
				n++
			}
		}
		share := from + (1-from)*(w+window/2).Seconds()/warms.Seconds()
		budget := multiple * share * link * window.Seconds() / work
		used, windows = used+n/budget, windows+1
		if bound := budget + 2*math.Sqrt(budget) + 2; n > bound {
			t.Fatalf("%v after its start the cold cache got %.0f calls in %v; it bears %.1f, %.1f with chance", w, n, window, budget, bound)
		}
	}
	t.Logf("%d calls came to the cold cache, %d to the other; %.2f of its budget was used", len(orders), len(caches[1].Attempts()), used/float64(windows))
	if len(orders) == 0 {
		t.Error("nothing went to the cold cache")
	}
}

// patient is a client as the protocol page has it: one request after another on a resting connection; one that crosses the close of
// it within 50 ms is sent again, once, elsewhere.
type patient struct {
	addrs                   func() []string
	served, crossed, others int
	lost                    []string
}

const crossingTime = 50 * time.Millisecond

func (p *patient) run(until time.Time, number int) {
	var conn net.Conn
	seq := 0
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for at := number; time.Now().Before(until); {
		if conn == nil {
			addrs := p.addrs()
			var err error
			if conn, err = net.Dial("tcp", addrs[at%len(addrs)]); err != nil {
				at++
				time.Sleep(time.Millisecond)
				continue
			}
			seq = 0
		}
		seq++
		sent := time.Now()
		result, err := ask(conn, seq, fmt.Sprintf("%08x%08x", number, sent.UnixNano()&0xffffffff))
		switch {
		case err != nil && time.Since(sent) <= crossingTime:
			p.crossed++
			conn.Close()
			conn, at = nil, at+1
		case err != nil:
			p.lost = append(p.lost, fmt.Sprintf("after %v: %v", time.Since(sent), err))
			conn.Close()
			conn, at = nil, at+1
		case result == 0:
			p.served++
		default:
			p.others++
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// ask sends one request and reads its answer: 0 served, 1 refused, 2 failed.
func ask(conn net.Conn, seq int, rid string) (int, error) {
	str := func(s string) string { return string([]byte{0, 0, byte(len(s) >> 8), byte(len(s))}) + s }
	fields := []string{"method", "clips", "rid", rid, "budget", "3000", "obj", rid, "part", "0", "group", "5", "mem", "100"}
	text := "\x80\x01\x00\x01" + str("submit") + string([]byte{0, 0, byte(seq >> 8), byte(seq)}) + "\x0d\x00\x01\x0b\x0b\x00\x00\x00" + string(rune(len(fields)/2))
	for _, f := range fields {
		text += str(f)
	}
	text += "\x0b\x00\x02" + str("") + "\x00"
	if _, err := io.WriteString(conn, str(text)); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return 0, err
	}
	body := make([]byte, int(head[1])<<16|int(head[2])<<8|int(head[3]))
	if _, err := io.ReadFull(conn, body); err != nil {
		return 0, err
	}
	return int(body[4+4+len("submit")+4+2]), nil
}

// Directors are told to end one after another under load and come back on their addresses, while a cache is slow: no request is
// lost, and what crosses a close is all that is sent again.
func TestRestartsUnderLoadLoseNothing(t *testing.T) {
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	slow, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.Slow(300 * time.Millisecond)
	d := newDiscovery(roster(1, true, hostLine("s-1", cache.Addr(), "in_service", 8, 0), hostLine("s-2", slow.Addr(), "in_service", 8, 0)))
	where := serveDiscovery(t, "127.0.0.1:0", d)
	const nodes, clients = 5, 20
	procs, addrs := make([]*process, nodes), make([]string, nodes)
	for i := range nodes {
		procs[i] = launch(t, quickstart(t, where, 256), 0)
		addrs[i] = procs[i].up()
		for good := false; !good; {
			if good, err = heartbeat(addrs[i]); err != nil {
				t.Fatal(err)
			}
		}
	}
	until := time.Now().Add(nodes*1500*time.Millisecond + time.Second)
	people := make([]*patient, clients)
	var all sync.WaitGroup
	for i := range people {
		people[i] = &patient{addrs: func() []string { return addrs }}
		all.Add(1)
		go func() {
			defer all.Done()
			people[i].run(until, i)
		}()
	}
	for i := range nodes {
		procs[i].leaves(8 * time.Second)
		c := quickstart(t, where, 256)
		c["listen"] = addrs[i]
		procs[i] = launch(t, c, 0)
		procs[i].up()
	}
	all.Wait()
	served, crossed, others := 0, 0, 0
	for _, p := range people {
		served, crossed, others = served+p.served, crossed+p.crossed, others+p.others
		for _, l := range p.lost {
			t.Errorf("lost %s", l)
		}
	}
	t.Logf("%d served, %d crossed a close and were sent again, %d refused or failed", served, crossed, others)
	if served < 500 || others > served/20 || crossed > nodes*clients {
		t.Errorf("%d served, %d crossed, %d refused or failed", served, crossed, others)
	}
}
