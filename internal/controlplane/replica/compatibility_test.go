package replica

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards the encoding of the members in stored changes and in snapshots: every later
// version must be able to read it.
func TestLandedForms(t *testing.T) {
	golden.Check[confChangeContext](t, "members-change.cbor", cbor.Marshal, cbor.Unmarshal)
	golden.Check[map[uint64]Member](t, "members.cbor", cbor.Marshal, cbor.Unmarshal)
}
