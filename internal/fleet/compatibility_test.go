package fleet

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding checks that the encodings of stored events and snapshots, and the checksums that plans compare, stay the same when a
// Go field is renamed.
func TestGoldenEncoding(t *testing.T) {
	golden.Check[Event](t, "event.cbor", Encode, cbor.Unmarshal)
	golden.Check[Dump](t, "fleet.cbor", Encode, cbor.Unmarshal)
	golden.Check[DesiredState](t, "desired.cbor", Encode, cbor.Unmarshal)
	golden.Check[Rules](t, "rules.cbor", Encode, cbor.Unmarshal)
	golden.Check[Read](t, "read.cbor", Encode, cbor.Unmarshal)
	golden.JSON[Event](t, "event")
	golden.JSON[Dump](t, "fleet")
	golden.JSON[Observation](t, "observation")
}
