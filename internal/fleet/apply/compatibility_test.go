package apply

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards the stored records of an apply under way: a later version goes on from them.
func TestLandedForms(t *testing.T) {
	golden.Check[Record](t, "record.cbor", fleet.Encode, cbor.Unmarshal)
	golden.Check[StepState](t, "step.cbor", fleet.Encode, cbor.Unmarshal)
	golden.JSON[Record](t, "record")
	golden.JSON[StepState](t, "step")
}
