package capacity

import (
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"
)

const repositoryRoot = "../../../"

// TestDesignMatchesProgramConstants guards against a constant of the program that changes while CurrentDesign keeps the old value.
func TestDesignMatchesProgramConstants(t *testing.T) {
	d := CurrentDesign()
	milliseconds := func(t time.Duration) string { return strconv.FormatInt(t.Milliseconds(), 10) }
	microseconds := func(t time.Duration) string { return strconv.FormatInt(t.Microseconds(), 10) }
	for _, x := range []struct{ file, pattern, value string }{
		{"internal/operatorconfig/relay.go", `BatchTime: +(\d+) \* time.Millisecond`, milliseconds(d.RelayBatchTime)},
		{"internal/director/timing.go", `announcedPollTimeout = (\d+) \* time.Millisecond`, milliseconds(d.WatchTimeout)},
		{"internal/director/timing.go", `RetryMax: +(\d+) \* time.Millisecond, // during an election`, milliseconds(d.ReconnectRetry)},
		{"internal/director/timing.go", `watchRetrySpread = (\d+) \* time.Microsecond`, microseconds(d.ReconnectSpread)},
		{"internal/director/timing.go", `SpreadMax: +(\d+) \* time.Millisecond`, milliseconds(d.ReconnectSpreadMax)},
		{"internal/operatorconfig/control_plane.go", `defaultKeepEvents += (\d+)_000`, strconv.Itoa(d.HistoryLength / 1000)},
		{"internal/operatorconfig/control_plane.go", `defaultReplicaLease += (\d+) \* time.Millisecond`, milliseconds(d.ReplicaLease)},
		{"internal/controlplane/adoption.go", `maxAdoptionEvents = (\d+)`, strconv.Itoa(d.AppliedRecordLength)},
		{"internal/controlplane/directors.go", `membershipPollInterval = (\d+) \* time.Millisecond`, milliseconds(d.MembershipTick)},
		{"internal/controlplane/members.go", `minMembershipInterval = (\d+) \* time.Millisecond`, milliseconds(d.MembershipEventInterval)},
		{"internal/health/reporter.go", `reportInterval = (\d+) \* time.Millisecond`, milliseconds(d.HealthReportInterval)},
		{"internal/health/aggregator.go", `aggregateInterval += (\d+) \* time.Millisecond`, milliseconds(d.HealthAggregationInterval)},
		{"internal/health/aggregator.go", `aggregateIntervalPerDirector = (\d+) \* time.Microsecond`, microseconds(d.HealthPerDirector)},
		{"internal/fleet/event.go", `PurgeRetentionMS = (\d+) \* 60 \* 1000`, strconv.Itoa(int(d.PurgeRetention.Minutes()))},
		{"internal/protocol/discovery/client.go", `maxBody = (\d+) << 20`, strconv.Itoa(int(d.MaxAnswerBytes) >> 20)},
	} {
		text, err := os.ReadFile(repositoryRoot + x.file)
		if err != nil {
			t.Fatal(err)
		}
		found := regexp.MustCompile(x.pattern).FindStringSubmatch(string(text))
		if found == nil || found[1] != x.value {
			t.Errorf("%s: %s matches %v, but the design has %s", x.file, x.pattern, found, x.value)
		}
	}
}
