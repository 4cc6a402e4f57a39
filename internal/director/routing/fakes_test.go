package routing

import (
	"bytes"
	"log/slog"
	"slices"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// captureLog returns the log output of f.
func captureLog(t *testing.T, f func()) string {
	t.Helper()
	var b bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewJSONHandler(&b, nil)))
	defer slog.SetDefault(old)
	f()
	return b.String()
}

// fakeDialer opens fake connections. The test calls their handlers.
type fakeDialer struct{ conns []*fakeConn }

type fakeConn struct {
	handler        ConnHandler
	address        string
	stuck          bool // accepts no more bytes
	stuckAfterNext bool // the next request is only partly written
	requests       []UpstreamRequest
	cancelled      []string
	pings          []string
	closed         bool
}

func (d *fakeDialer) Dial(address string, _ time.Duration, handler ConnHandler) (Conn, error) {
	c := &fakeConn{handler: handler, address: address}
	d.conns = append(d.conns, c)
	return c, nil
}

func (c *fakeConn) Send(r *UpstreamRequest) {
	c.requests = append(c.requests, *r)
	c.stuck = c.stuck || c.stuckAfterNext
}

func (c *fakeConn) Cancel(id string) { c.cancelled = append(c.cancelled, id) }

func (c *fakeConn) Ping(tag string) { c.pings = append(c.pings, tag) }

func (c *fakeConn) IsFlushed() bool { return !c.stuck }

func (c *fakeConn) Close() { c.closed = true }

// answerRecorder is a Responder that records the final answers.
type answerRecorder struct {
	answers []string
	noRoom  bool // objects are not passed on
}

func (r *answerRecorder) Respond(q *Request, body []byte) bool {
	if r.noRoom {
		r.Fail(q)
		return false
	}
	r.answers = append(r.answers, q.ID+" served "+string(body))
	return true
}

func (r *answerRecorder) RespondNotModified(q *Request) {
	r.answers = append(r.answers, q.ID+" not modified")
}

func (r *answerRecorder) Reject(q *Request, _ time.Duration) {
	r.answers = append(r.answers, q.ID+" rejected")
}

func (r *answerRecorder) Fail(q *Request) { r.answers = append(r.answers, q.ID+" failed") }

func (r *answerRecorder) want(t *testing.T, answers ...string) {
	t.Helper()
	if !slices.Equal(r.answers, answers) {
		t.Fatalf("answers %q, want %q", r.answers, answers)
	}
}

func testEndpoint(name string, readiness decision.Readiness) Endpoint {
	return Endpoint{
		Name:    name,
		Address: name,
		Endpoint: decision.Endpoint{
			Zone:      "west",
			Kind:      "cache",
			Readiness: readiness,
			Weight:    1,
		},
	}
}

func testLimits() Limits {
	return Limits{
		StreamsPerConn: 32,
		ConnsPerHost:   4,
		IdleTimeout:    time.Hour,
		DialTimeout:    time.Hour,
		SilentTimeout:  time.Hour,
		MaxAttempts:    8,
		MaxDeadline:    6 * time.Second,
		PurgeTimeout:   6 * time.Second,
	}
}

// testSettings returns settings with one class, whose requests are idempotent.
func testSettings() decision.Settings {
	return decision.Settings{
		Zone:            "west",
		Zones:           []string{"west"},
		Kinds:           []string{"cache", "origin"},
		ParentKind:      -1,
		OriginKind:      1,
		FlowKBPerS:      5000,
		JoinsFills:      true,
		Cancel:          true,
		CacheStatusMode: decision.CacheStatusModeHits,
		MaxAttempts:     8,
		Classes: []decision.Class{{
			Name:             "clips",
			LatencyObjective: time.Second,
			Deadline:         6 * time.Second,
			Idempotency:      decision.Idempotent,
		}},
	}
}

// newTestDirector starts a Director with ready hosts of the given names.
func newTestDirector(t testing.TB, change func(*Limits), hosts ...string) (*Director, *fakeDialer, *answerRecorder) {
	t.Helper()
	loop, err := transport.NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	limits := testLimits()
	change(&limits)
	dialer := &fakeDialer{}
	d := New(loop, testSettings(), 1, limits, dialer)
	d.Start()
	var endpoints []Endpoint
	for _, name := range hosts {
		endpoints = append(endpoints, testEndpoint(name, decision.Ready))
	}
	d.UpdateEndpoints(1, true, endpoints)
	return d, dialer, &answerRecorder{}
}

func newTestRequest(responses *answerRecorder, id string) *Request {
	return &Request{
		ID:         id,
		Class:      "clips",
		Object:     7,
		PurgeGroup: 3,
		SizeKB:     100,
		Timeout:    6 * time.Second,
		Responder:  responses,
	}
}

// okResponse returns a whole response with an object.
func okResponse(body string) *Response {
	return &Response{Status: decision.OK, ETag: "4be0c1927d55a6f3", GeneratedAt: time.Second, Body: []byte(body)}
}

func defaultLimits(*Limits) {}

// runLoop runs the director's loop for the given time.
func runLoop(t *testing.T, d *Director, length time.Duration) {
	t.Helper()
	d.loop.Set(&transport.Timer{Fire: d.loop.Stop}, d.loop.Now()+length)
	if err := d.loop.Run(); err != nil {
		t.Fatal(err)
	}
}
