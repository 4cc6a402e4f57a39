package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"
	bolt "go.etcd.io/bbolt"
)

// Buckets of the file. Their names are stored.
var (
	metaBucket    = []byte("meta")
	eventBucket   = []byte("events")    // event number: chained event
	snapBucket    = []byte("snap")      // "fleet": the last snapshot
	applyBucket   = []byte("applies")   // id: record
	planBucket    = []byte("plans")     // id: plan file
	desiredBucket = []byte("before")    // id: the fleet's state before the apply, as a desired state
	stepBucket    = []byte("steps")     // id and step: state
	planIDBucket  = []byte("by-plan")   // checksum of a plan: id of its last apply
	writeBucket   = []byte("writes")    // id of a caller's write: outcome
	writeAtBucket = []byte("writes-at") // time and id of a write: empty
	logBucket     = []byte("log")       // index: entry of the raft log
	replicaBucket = []byte("copy")      // identity and raft state of the replica
)

var (
	buckets      = [][]byte{metaBucket, eventBucket, snapBucket, applyBucket, planBucket, desiredBucket, stepBucket, planIDBucket}
	laterBuckets = [][]byte{writeBucket, writeAtBucket, logBucket, replicaBucket} // missing in files of older versions
)

// Keys of the meta bucket.
const (
	versionKey   = "version"
	lastApplyKey = "last-apply" // id of the last apply
	holderKey    = "holder"     // id of the apply that holds the apply lock; 0: none
	epochKey     = "epoch"      // of the apply lock
)

// headKey is the key of the last event's number and the hash of the event log up to it. Without it,
// events missing at the end could not be detected, because they leave no gap.
var headKey = []byte("head")

// fleetKey is the key of the snapshot.
var fleetKey = []byte("fleet")

const (
	checksumLength = 8 // bytes after each value
	numberLength   = 8 // bytes of a number that is a key or a value
	fillPercent    = 0.9
)

// encodeNumber encodes a number such that the byte order of keys is their numeric order.
func encodeNumber(n int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(n)) }

func decodeNumber(raw []byte) int64 { return int64(binary.BigEndian.Uint64(raw)) }

// readNumber returns a number from the meta bucket; 0 if there is none.
func readNumber(tx *bolt.Tx, key string) (int64, error) {
	raw, err := get(tx, metaBucket, []byte(key))
	return parseNumber(raw, err, key)
}

func parseNumber(raw []byte, err error, key string) (int64, error) {
	if err != nil || raw == nil {
		return 0, err
	}
	if len(raw) != numberLength {
		return 0, fmt.Errorf("%w: %s is not a number", ErrDamaged, key)
	}
	return decodeNumber(raw), nil
}

// checksum returns the checksum of a value. It covers the bucket and the key, so that a value in the
// wrong place is detected as damage too.
func checksum(bucket, key, value []byte) []byte {
	h := blake3.New()
	_, _ = h.Write(bucket) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum(nil)[:checksumLength]
}

// put is a write of a value to a bucket and key; a nil value deletes the key.
type put struct{ bucket, key, value []byte }

func (p put) write(tx *bolt.Tx) error {
	if p.value == nil {
		return tx.Bucket(p.bucket).Delete(p.key)
	}
	return write(tx, p.bucket, p.key, p.value)
}

// write writes a value with its checksum.
func write(tx *bolt.Tx, bucket, key, value []byte) error {
	b := tx.Bucket(bucket)
	b.FillPercent = fillPercent // events are added in the order of their keys
	return b.Put(key, append(bytes.Clone(value), checksum(bucket, key, value)...))
}

// get returns the value of a key; nil if there is none. It is valid until the transaction ends.
func get(tx *bolt.Tx, bucket, key []byte) ([]byte, error) {
	raw := tx.Bucket(bucket).Get(key)
	if raw == nil {
		return nil, nil
	}
	n := len(raw) - checksumLength
	if n < 0 || !bytes.Equal(raw[n:], checksum(bucket, key, raw[:n])) {
		return nil, fmt.Errorf("%w: checksum mismatch in the value of %s %x", ErrDamaged, bucket, key)
	}
	return raw[:n:n], nil
}

// decoder decodes values whose checksum proves that this program wrote them. The library's default
// limit of 131,072 elements is meant for untrusted input, and a snapshot may contain more purges.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func decode(raw []byte, value any) error {
	if err := decoder.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}
