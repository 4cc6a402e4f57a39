package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"
)

// sumBytes is the length of a sum before it is written in hex.
const sumBytes = 16

// canonical encodes with sorted keys and shortest forms, so that equal values have equal bytes.
var canonical = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()

// Encode is the stored form of a value, in CBOR. Equal values have equal bytes.
func Encode(v any) ([]byte, error) { return canonical.Marshal(v) }

// Sum names a value: the first 16 bytes of the BLAKE3 of its encoding, in hex. It panics for a value that has no encoding.
func Sum(v any) string {
	b, err := Encode(v)
	if err != nil {
		panic(fmt.Sprintf("fleet: a value without an encoding: %v", err)) // only own types come here
	}
	sum := blake3.Sum256(b)
	return fmt.Sprintf("%x", sum[:sumBytes])
}
