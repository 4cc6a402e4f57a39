package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// watchedRevision is the revision of the last event that a watch client has applied. Its number of digits contributes
// to the size of requests.
const watchedRevision = 12345678

// watchClient implements the director's side of a watch: it encodes the contents of requests and applies those of answers as
// internal/director does.
type watchClient struct {
	identity discovery.Director
	holder   *quota.Holder
	reporter *health.Reporter
	limits   []string
	request  []byte // buffer of the last request, which the next one overwrites
	sequence uint64 // sequence number of the last quota renewal
	now      time.Duration
}

func newWatchClient(coldCaches int) *watchClient {
	identity := discovery.Director(newDirector(7))
	return &watchClient{
		identity: identity,
		holder:   quota.NewHolder(identity.ID(), quotaSettings),
		reporter: health.NewReporter(health.DefaultSettings, identity.ID()),
		limits:   limitNames(coldCaches),
		now:      time.Hour,
	}
}

// nextRequest encodes the next watch request. The result is valid until the next call.
func (c *watchClient) nextRequest() []byte {
	c.now += 100 * time.Millisecond
	for _, name := range c.limits {
		c.holder.Want(quota.Want{Limit: name, Kind: quota.Rate, Demand: 0.0123456789})
	}
	renewal := c.holder.Renewal(c.now)
	c.sequence = renewal.Seq
	announcement := discovery.Announcement{
		Director:           c.identity,
		MembershipRevision: 1234567,
		Config:             "9c1185a5c5e9fc54",
		QuotaRenewal:       mustJSON(renewal),
		HealthReport:       mustJSON(c.reporter.Report(c.now)),
	}
	c.request = discovery.AppendRequest(c.request[:0], "10.1.2.3:7000", watchedRevision, 100, mustJSON(announcement))
	return c.request
}

// answer returns the answer to the last request, with a grant of an allocator that has 3,500 holders with equal demand.
func (c *watchClient) answer() []byte {
	grant := quota.Grant{Holder: c.identity.ID(), Epoch: 12, Seq: c.sequence, Fallback: 5.714285714285714e-05}
	for _, name := range c.limits {
		grant.Shares = append(grant.Shares, quota.Share{Limit: name, Fraction: 0.00022857142857142857})
	}
	return appendGrantAnswer(nil, watchedRevision, grant)
}

// appendGrantAnswer appends to dst an answer that contains a grant and no event.
func appendGrantAnswer(dst []byte, lastRevision int64, grant quota.Grant) []byte {
	body := append(discovery.ResponseStart(lastRevision), `],"turns":`...)
	body = append(body, mustJSON(grant)...)
	body = append(body, '}')
	return append(discovery.AppendResponseHead(dst, 200, len(body), false), body...)
}

// readGrant decodes the grant in an answer.
func readGrant(answer []byte) (quota.Grant, error) {
	var grant quota.Grant
	response, used, _, err := discovery.ParseResponse(answer)
	if err != nil {
		return grant, fmt.Errorf("parse answer: %w", err)
	}
	if used == 0 {
		return grant, errors.New("parse answer: incomplete")
	}
	watchResponse, err := discovery.Decode(response.Body)
	if err != nil {
		return grant, fmt.Errorf("decode answer: %w", err)
	}
	return grant, json.Unmarshal(watchResponse.QuotaGrant, &grant)
}

// directorCallTime returns the processor time, in seconds, of encoding a watch request and decoding its answer. It decodes the same
// answer each time and sets the sequence number of the grant to that of the request.
func directorCallTime(coldCaches int) (float64, error) {
	c := newWatchClient(coldCaches)
	c.nextRequest()
	answer := c.answer()
	var readErr error
	seconds := timePerOperation(func(int) {
		c.nextRequest()
		grant, err := readGrant(answer)
		if err != nil {
			readErr = err
			return
		}
		grant.Seq = c.sequence
		c.holder.Apply(grant, c.now)
	})
	if readErr != nil {
		return 0, readErr
	}
	if coldCaches > 0 && !c.holder.HasShare(c.limits[0], c.now) {
		return 0, errors.New("the holder has not applied the grant")
	}
	return seconds, nil
}

func reportBytes(caches int) (float64, error) {
	reporter := health.NewReporter(health.DefaultSettings, newDirector(7).ID())
	empty := len(mustJSON(reporter.Report(0)))
	for i := range caches {
		reporter.Record(cacheName(i), 23, 0, 0.0123)
	}
	return float64(len(mustJSON(reporter.Report(time.Hour))) - empty), nil
}
