package measure

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/controlplane/acknowledged"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// serverCallTime returns the processor time of a follower replica for one watch request, in seconds: it parses the request, records
// the heartbeat and encodes an answer with the leader's grant.
func serverCallTime(coldCaches int) (float64, error) {
	c := newWatchClient(coldCaches)
	request := slices.Clone(c.nextRequest())
	grant, err := readGrant(c.answer())
	if err != nil {
		return 0, err
	}
	tracker := membership.New(membershipSettings)
	var callErr error
	var out []byte
	seconds := timePerOperation(func(n int) {
		parsed, err := parseRequest(request)
		if err != nil {
			callErr = err
			return
		}
		director := fleet.Director(parsed.Announcement.Director)
		tracker.RecordHeartbeat(membership.Heartbeat{
			ID:       director.ID(),
			Director: &director,
			At:       time.Duration(n) * time.Millisecond,
			Applied:  parsed.After,
		})
		out = appendGrantAnswer(out[:0], parsed.After, grant)
	})
	return seconds, callErr
}

// parseRequest parses a watch request. It also decodes the quota renewal in it, as the leader does.
func parseRequest(request []byte) (discovery.WatchRequest, error) {
	parsed, used, _, err := discovery.ParseWatchRequest(request)
	if err != nil {
		return parsed, fmt.Errorf("parse watch request: %w", err)
	}
	if used != len(request) {
		return parsed, fmt.Errorf("parse watch request: %d of %d bytes used", used, len(request))
	}
	var renewal quota.Renewal
	if err := json.Unmarshal(parsed.Announcement.QuotaRenewal, &renewal); err != nil {
		return parsed, fmt.Errorf("decode quota renewal: %w", err)
	}
	return parsed, nil
}

func acknowledgedTime(watchers int) (float64, error) {
	tracker := acknowledged.New(7000)
	for i := range watchers {
		tracker.Join(int64(i), netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}))
		tracker.Ack(int64(i), int64(1000+i))
	}
	lowest := int64(0)
	seconds := timePerOperation(func(int) { lowest = tracker.AcknowledgedUpTo(1_000_000, 0) })
	if lowest != 1000 {
		return 0, fmt.Errorf("the lowest acknowledged revision is %d", lowest)
	}
	return seconds, nil
}
