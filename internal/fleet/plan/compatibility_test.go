package plan

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding checks that a plan file of an older version is decoded to the same steps and encoded to the same bytes.
func TestGoldenEncoding(t *testing.T) {
	golden.Check[Plan](t, "plan.cbor", fleet.Encode, cbor.Unmarshal)
	golden.JSON[Plan](t, "plan")
	golden.JSON[StaleRead](t, "moved")
	golden.JSON[ImpossibleError](t, "impossible")
	var made []byte
	if golden.Updating() {
		made = samplePlanFile(t)
	}
	file := golden.Bytes(t, "landed.plan", made)
	p, err := Decode(file)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "landed.txt", text(p))
	again, err := Encode(p)
	if err != nil || !bytes.Equal(again, file) {
		t.Errorf("the stored plan file is encoded to other bytes, %v", err)
	}
}
