package replica

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards the members in stored changes and in snapshots: they must be readable by
// every later version.
func TestLandedForms(t *testing.T) {
	golden.Check[change](t, "members-change.cbor", cbor.Marshal, cbor.Unmarshal)
	golden.Check[map[uint64]Member](t, "members.cbor", cbor.Marshal, cbor.Unmarshal)
}
