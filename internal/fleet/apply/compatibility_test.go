package apply

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding checks that the stored records of an apply in progress keep their encoding, so that a later version can continue it.
func TestGoldenEncoding(t *testing.T) {
	golden.Check[Record](t, "record.cbor", fleet.Encode, cbor.Unmarshal)
	golden.Check[StepState](t, "step.cbor", fleet.Encode, cbor.Unmarshal)
	golden.JSON[Record](t, "record")
	golden.JSON[StepState](t, "step")
}
