package store

import (
	"bytes"
	"errors"
	"fmt"

	"stairvane.org/stairvane/internal/fleet"
)

// maxExpiredPerWrite limits how many expired outcomes one write deletes, which bounds the time of a
// write.
const maxExpiredPerWrite = 4

// ErrReused is returned for a write whose id was used for a different write.
var ErrReused = errors.New("this id was used for another write")

// Write identifies a caller's write: ID is an idempotency key with which the write may be repeated,
// and Body is the request. If ID is empty, no outcome is stored.
type Write struct {
	ID   string
	Body []byte
}

// checksum returns a checksum of the write's ID and body.
func (w Write) checksum() []byte { return checksum(writeBucket, []byte(w.ID), w.Body) }

// outcome is the stored result of a write.
type outcome struct {
	WriteChecksum []byte `cbor:"Of"` // checksum of the write
	Value         []byte `cbor:"Value"`
}

// RepeatedWrite decodes the stored outcome of a write into out, and reports whether there was one.
// The error wraps ErrReused if the id was used for a different write.
func (v *View) RepeatedWrite(w Write, out any) (isRepeated bool, err error) {
	if w.ID == "" {
		return false, nil
	}
	raw, err := v.get(writeBucket, []byte(w.ID))
	if err != nil || raw == nil {
		return false, err
	}
	var o outcome
	if err := decode(raw, &o); err != nil {
		return false, err
	}
	if !bytes.Equal(o.WriteChecksum, w.checksum()) {
		return false, fmt.Errorf("%w: %q", ErrReused, w.ID)
	}
	return true, decode(o.Value, out)
}

// RememberWrite stores the outcome of a write for Options.RememberWrites, and deletes some expired
// outcomes.
func (t *Tx) RememberWrite(w Write, value any) error {
	if w.ID == "" {
		return nil
	}
	raw, err := fleet.Encode(value)
	if err != nil {
		return fmt.Errorf("store: encode outcome of write %q: %w", w.ID, err)
	}
	if err := t.putEncoded(writeBucket, []byte(w.ID), outcome{WriteChecksum: w.checksum(), Value: raw}); err != nil {
		return err
	}
	t.put(writeAtBucket, append(encodeNumber(t.NowMS), w.ID...), []byte{})
	t.deleteExpiredOutcomes()
	return nil
}

func (t *Tx) deleteExpiredOutcomes() {
	oldest := t.NowMS - t.rememberWrites.Milliseconds()
	c := t.tx.Bucket(writeAtBucket).Cursor()
	k, _ := c.First()
	for range maxExpiredPerWrite {
		if len(k) <= numberLength || decodeNumber(k) > oldest {
			return
		}
		t.put(writeAtBucket, bytes.Clone(k), nil)
		t.put(writeBucket, bytes.Clone(k[numberLength:]), nil)
		k, _ = c.Next()
	}
}
