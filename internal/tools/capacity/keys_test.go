package capacity

import (
	"encoding/json"
	"strings"
	"testing"
)

const (
	sizeJSON = `{"Directors":3500,"Sites":210,"Caches":720,"Regions":9,"Zones":26,"RequestsPerSecond":2300000,
		"BitsPerSecond":3500000000000,"Objects":22000000000,"PurgesPerSecond":21,"PurgeWithin":5300000000,
		"ChangesPerDay":8900,"ChangeWithin":8000000000,"FailuresPerDay":25,"RestartsPerDay":750,
		"RegionsApart":3600000000000,"ControlMachines":13,"DirectorCores":0.039,"DirectorBytes":32000000,
		"DirectorBytesPerSecond":9000}`
	designJSON = `{"Replicas":3,"Relays":9,"ColdCaches":8,"ReportedCaches":28,"WatchPatience":100000000,
		"RelayGather":100000000,"ReplicaLease":200000000,"LeaseEvery":50000000,"HealthEvery":500000000,
		"HealthFoundEvery":50000000,"HealthFoundEach":250000,"TickEvery":25000000,"GatherEvery":150000000,
		"ReconnectRetry":40000000,"ReconnectSpread":2500000,"ReconnectSpreadMax":200000000,"PurgeKept":600000000000,
		"LongestDeadline":6000000000,"HistoryKept":10000,"AdoptionKept":2000,"LargestAnswer":4194304,
		"PurgeKeepFactor":2,"LoopCores":1,"EventsPerRestart":2}`
)

// TestSizeAndDesignKeepTheirKeys guards the keys of `stairvane capacity -o json`, which scripts read. The Go fields have other names.
func TestSizeAndDesignKeepTheirKeys(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"size", ExpectedSize(), sizeJSON},
		{"design", CurrentDesign(), designJSON},
	} {
		got, err := json.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		if want := strings.NewReplacer("\n", "", "\t", "").Replace(c.want); string(got) != want {
			t.Errorf("%s is\n%s\nwant\n%s", c.name, got, want)
		}
	}
}
