package store

import (
	"bytes"
	"errors"
	"fmt"

	"stairvane.org/stairvane/internal/fleet"
)

// maxForgottenWrites is how many old outcomes a write deletes at most, so that no write takes long.
const maxForgottenWrites = 4

// ErrReused is the error of a write under an id that another write had.
var ErrReused = errors.New("this id was used for another write")

// Write is a caller's write: an idempotency key, under which it may be repeated, and what it asks
// for. Without an id nothing is remembered.
type Write struct {
	ID   string
	Body []byte
}

// checksum identifies what a write asks for.
func (w Write) checksum() []byte { return checksum(writeBucket, []byte(w.ID), w.Body) }

// outcome is what a write led to.
type outcome struct {
	Of    []byte `cbor:"Of"` // checksum of the write
	Value []byte `cbor:"Value"`
}

// RepeatedWrite reads the outcome of a write into out if it was made before. The error wraps
// ErrReused if its id was used for another write.
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
	if !bytes.Equal(o.Of, w.checksum()) {
		return false, fmt.Errorf("%w: %q", ErrReused, w.ID)
	}
	return true, decode(o.Value, out)
}

// RememberWrite stores the outcome of a write for Options.RememberWrites, and deletes some that are
// older.
func (t *Tx) RememberWrite(w Write, value any) error {
	if w.ID == "" {
		return nil
	}
	raw, err := fleet.Encode(value)
	if err != nil {
		return fmt.Errorf("store: encode outcome of write %q: %w", w.ID, err)
	}
	if err := t.putEncoded(writeBucket, []byte(w.ID), outcome{Of: w.checksum(), Value: raw}); err != nil {
		return err
	}
	t.put(writeAtBucket, append(encodeNumber(t.NowMS), w.ID...), []byte{})
	t.forgetOldWrites()
	return nil
}

func (t *Tx) forgetOldWrites() {
	oldest := t.NowMS - t.remember.Milliseconds()
	c := t.tx.Bucket(writeAtBucket).Cursor()
	k, _ := c.First()
	for range maxForgottenWrites {
		if len(k) <= numberLength || decodeNumber(k) > oldest {
			return
		}
		t.put(writeAtBucket, bytes.Clone(k), nil)
		t.put(writeBucket, bytes.Clone(k[numberLength:]), nil)
		k, _ = c.Next()
	}
}
