package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"
)

// sumBytes is the length of a checksum in bytes, before hex encoding.
const sumBytes = 16

// canonicalMode is CBOR's core deterministic encoding: sorted keys and shortest forms, so that equal values have equal bytes.
var canonicalMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Encode returns the stored form of a value, in CBOR. Equal values have equal bytes.
func Encode(v any) ([]byte, error) { return canonicalMode.Marshal(v) }

// Sum returns the checksum of a value: the first 16 bytes of the BLAKE3 hash of its encoding, in hex. It panics if the value can't be
// encoded.
func Sum(v any) string {
	b, err := Encode(v)
	if err != nil {
		panic(fmt.Sprintf("fleet: can't encode value: %v", err)) // callers pass only types of this module, which can be encoded
	}
	sum := blake3.Sum256(b)
	return fmt.Sprintf("%x", sum[:sumBytes])
}
