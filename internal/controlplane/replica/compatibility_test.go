package replica

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the encoding of the members in stored changes and in snapshots: every later
// version must be able to read it.
func TestGoldenEncoding(t *testing.T) {
	golden.Check[confChangeContext](t, "members-change.cbor", cbor.Marshal, cbor.Unmarshal)
	golden.Check[map[uint64]Member](t, "members.cbor", cbor.Marshal, cbor.Unmarshal)
}
