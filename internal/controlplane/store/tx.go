package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"
	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// View reads what is durable.
type View struct {
	tx   *bolt.Tx
	over *layer
}

// get reads a value, which is valid until the transaction ends; nil if there is none.
func (v *View) get(bucket, key []byte) ([]byte, error) {
	if value, is := v.over.find(bucket, key); is {
		return value, nil
	}
	return get(v.tx, bucket, key)
}

func (v *View) number(key string) (int64, error) {
	raw, err := v.get(metaBucket, []byte(key))
	return asNumber(raw, err, key)
}

// Tx is a change. What it writes is seen by later changes once it has returned without an error.
type Tx struct {
	View
	NowMS    int64
	remember time.Duration
	state    state
	events   []fleet.Event
	puts     []pair
}

// pair is a value in its place; a nil value deletes what is there.
type pair struct{ bucket, key, value []byte }

func (p pair) write(tx *bolt.Tx) error {
	if p.value == nil {
		return tx.Bucket(p.bucket).Delete(p.key)
	}
	return put(tx, p.bucket, p.key, p.value)
}

func (t *Tx) put(bucket, key, value []byte) { t.puts = append(t.puts, pair{bucket, key, value}) }

// Fleet is the state that the change builds on, with the events that it has appended.
func (t *Tx) Fleet() fleet.Fleet { return t.state.fleet }

// Append adds an event to the history; its number and time are set here.
func (t *Tx) Append(e fleet.Event) (no int64, err error) {
	e.No, e.AtMS = t.state.fleet.Revision+1, max(t.NowMS, t.state.atMS)
	next, err := t.state.fleet.Apply(e)
	if err != nil {
		return 0, err
	}
	raw, err := fleet.Encode(e)
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	t.state.fleet, t.state.chain, t.state.atMS = next, link(t.state.chain, raw), e.AtMS
	stored, err := fleet.Encode(chained{Event: raw, Chain: bytes.Clone(t.state.chain[:])})
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	t.put(eventBucket, id(e.No), stored)
	t.put(metaBucket, headKey, append(id(e.No), t.state.chain[:]...)) // events that are missing at the end leave no gap
	t.events = append(t.events, e)
	return e.No, nil
}

// Create keeps a new apply with its plan and what the fleet was before, takes the lease, and numbers both.
func (t *Tx) Create(r apply.Record, planFile []byte, before fleet.DesiredState) (apply.Record, error) {
	last, err := t.number("last-apply")
	if err != nil {
		return r, err
	}
	r.ID = last + 1
	t.put(metaBucket, []byte("last-apply"), id(r.ID))
	if r, err = t.Lease(r); err != nil {
		return r, err
	}
	wish, err := fleet.Encode(before)
	if err != nil {
		return r, fmt.Errorf("store: %w", err)
	}
	t.put(planBucket, id(r.ID), planFile)
	t.put(wishBucket, id(r.ID), wish)
	t.put(planIDBucket, []byte(r.PlanSum), id(r.ID))
	return r, nil
}

// Lease takes or takes over the lease for an apply under a new epoch; whoever holds an older one is fenced off.
func (t *Tx) Lease(r apply.Record) (apply.Record, error) {
	epoch, err := t.number("epoch")
	if err != nil {
		return r, err
	}
	r.Epoch = epoch + 1
	t.put(metaBucket, []byte("epoch"), id(r.Epoch))
	t.put(metaBucket, []byte("holder"), id(r.ID))
	return r, t.SetRecord(r)
}

// Hold leaves the lease with an apply that took it in this same change.
func (t *Tx) Hold(r apply.Record) { t.put(metaBucket, []byte("holder"), id(r.ID)) }

// Fence fails with apply.ErrFenced unless the apply has the lease under this epoch.
func (t *Tx) Fence(r apply.Record) error {
	holder, err := t.number("holder")
	if err != nil {
		return err
	}
	epoch, err := t.number("epoch")
	if err != nil {
		return err
	}
	if holder != r.ID || epoch != r.Epoch {
		return &apply.RejectedError{Err: apply.ErrFenced, Detail: fmt.Sprintf("apply %d in epoch %d; it is apply %d's in epoch %d", r.ID, r.Epoch, holder, epoch)}
	}
	return nil
}

// SetRecord keeps a record. One that has ended gives the lease back.
func (t *Tx) SetRecord(r apply.Record) error {
	raw, err := fleet.Encode(r)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	t.put(applyBucket, id(r.ID), raw)
	if r.Status.Ended() {
		t.put(metaBucket, []byte("holder"), id(0))
	}
	return nil
}

// SetStep keeps the state of a step.
func (t *Tx) SetStep(applyID int64, step int, s apply.StepState) error {
	raw, err := fleet.Encode(s)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	t.put(stepBucket, stepKey(applyID, step), raw)
	return nil
}

// Holder is the apply that has the lease; nil if there is none.
func (v *View) Holder() (*apply.Record, error) {
	n, err := v.number("holder")
	if err != nil || n == 0 {
		return nil, err
	}
	return v.Record(n)
}

// Record is an apply's record; nil if there is none.
func (v *View) Record(applyID int64) (*apply.Record, error) {
	raw, err := v.get(applyBucket, id(applyID))
	if err != nil || raw == nil {
		return nil, err
	}
	r := &apply.Record{}
	return r, decode(raw, r)
}

// Records are all applies, in order.
func (v *View) Records() (all []apply.Record, err error) {
	last, err := v.number("last-apply")
	if err != nil {
		return nil, err
	}
	for n := int64(1); n <= last; n++ {
		r, err := v.Record(n)
		if err != nil {
			return nil, err
		}
		if r == nil {
			return nil, fmt.Errorf("%w: apply %d is missing", ErrDamaged, n)
		}
		all = append(all, *r)
	}
	return all, nil
}

// ByPlan is the last apply of a plan; nil if there is none.
func (v *View) ByPlan(sum string) (*apply.Record, error) {
	raw, err := v.get(planIDBucket, []byte(sum))
	if err != nil || raw == nil {
		return nil, err
	}
	return v.Record(int64(binary.BigEndian.Uint64(raw)))
}

// Plan is the plan file of an apply.
func (v *View) Plan(applyID int64) ([]byte, error) {
	raw, err := v.get(planBucket, id(applyID))
	if err == nil && raw == nil {
		err = fmt.Errorf("store: apply %d has no plan", applyID)
	}
	return bytes.Clone(raw), err
}

// DesiredBefore is what the fleet was, as a wish, when an apply began.
func (v *View) DesiredBefore(applyID int64) (w fleet.DesiredState, err error) {
	raw, err := v.get(wishBucket, id(applyID))
	if err != nil {
		return w, err
	}
	if raw == nil {
		return w, fmt.Errorf("store: there is no apply %d", applyID)
	}
	return w, decode(raw, &w)
}

// Machine builds the state machine of an apply from what is durable.
func (v *View) Machine(r apply.Record) (*apply.Machine, error) {
	raw, err := v.Plan(r.ID)
	if err != nil {
		return nil, err
	}
	p, err := plan.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("apply %d: %w", r.ID, err)
	}
	states := make([]apply.StepState, len(p.Steps))
	for i := range states {
		states[i].Phase = apply.Pending
		raw, err := v.get(stepBucket, stepKey(r.ID, i+1))
		if err != nil {
			return nil, err
		}
		if raw != nil {
			if err := decode(raw, &states[i]); err != nil {
				return nil, err
			}
		}
	}
	return apply.New(r, p, states)
}

// Events are kept events after a number, at most so many, as they are stored.
func (v *View) Events(after int64, most int) (events []fleet.Event, err error) {
	c := v.tx.Bucket(eventBucket).Cursor()
	for k, _ := c.Seek(id(after + 1)); k != nil && len(events) < most; k, _ = c.Next() {
		raw, err := v.get(eventBucket, k)
		if err != nil {
			return nil, err
		}
		e, _, err := readEvent(raw)
		if err != nil {
			return nil, err
		}
		events = append(events, e)
	}
	for last := after + int64(len(events)); len(events) < most; { // those over the file follow on those in it
		if len(events) > 0 {
			last = events[len(events)-1].No
		}
		raw, is := v.over.find(eventBucket, id(last+1))
		if !is {
			break
		}
		e, _, err := readEvent(raw)
		if err != nil {
			return nil, err
		}
		events = append(events, e)
	}
	return events, nil
}

// readEvent reads an event as it is stored, with its bytes and the hash of the history up to it.
func readEvent(raw []byte) (e fleet.Event, stored chained, err error) {
	if err = decode(raw, &stored); err == nil {
		err = decode(stored.Event, &e)
	}
	return e, stored, err
}

// Write is a caller's write: an id of its own, under which it may be repeated, and what it asks for. Without an id nothing
// is remembered.
type Write struct {
	ID   string
	Body []byte
}

// outcome is what a write led to.
type outcome struct {
	Of    []byte `cbor:"Of"` // checksum of what was asked for
	Value []byte `cbor:"Value"`
}

// ErrReused is the error of a write under an id that another write had.
var ErrReused = errors.New("this id was used for another write")

// RepeatedWrite reads the outcome of a write that was made before.
func (v *View) RepeatedWrite(w Write, out any) (done bool, err error) {
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
	if !bytes.Equal(o.Of, checksum(writeBucket, []byte(w.ID), w.Body)) {
		return false, fmt.Errorf("%w: %q", ErrReused, w.ID)
	}
	return true, decode(o.Value, out)
}

// RememberWrite keeps the outcome of a write for the store's time, and forgets some that are older.
func (t *Tx) RememberWrite(w Write, v any) error {
	if w.ID == "" {
		return nil
	}
	value, err := fleet.Encode(v)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	raw, err := fleet.Encode(outcome{Of: checksum(writeBucket, []byte(w.ID), w.Body), Value: value})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	t.put(writeBucket, []byte(w.ID), raw)
	t.put(writeAtBucket, append(id(t.NowMS), w.ID...), []byte{})
	c := t.tx.Bucket(writeAtBucket).Cursor()
	k, _ := c.First()
	for range 4 {
		if len(k) <= 8 || int64(binary.BigEndian.Uint64(k)) > t.NowMS-t.remember.Milliseconds() {
			break
		}
		t.put(writeAtBucket, bytes.Clone(k), nil)
		t.put(writeBucket, bytes.Clone(k[8:]), nil)
		k, _ = c.Next()
	}
	return nil
}

// checkApplies looks for applies and states that are missing.
func checkApplies(tx *bolt.Tx) error {
	v := &View{tx: tx}
	if _, err := v.Records(); err != nil {
		return err
	}
	holder, err := v.Holder()
	if err != nil || holder == nil {
		return err
	}
	m, err := v.Machine(*holder)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if holder.StepsDone > m.Record.StepsDone {
		return fmt.Errorf("%w: apply %d has lost states of steps", ErrDamaged, holder.ID)
	}
	return nil
}

// headKey is where the number of the last event and the hash of the history up to it are.
var headKey = []byte("head")

// checkHead compares what was read with the head that was kept.
func checkHead(tx *bolt.Tx, st *state) error {
	head, err := get(tx, metaBucket, headKey)
	if err != nil {
		return err
	}
	if want := append(id(st.fleet.Revision), st.chain[:]...); head == nil && st.fleet.Revision > 0 || head != nil && !bytes.Equal(head, want) {
		return fmt.Errorf("%w: the history ends at event %d, and not where it was left", ErrDamaged, st.fleet.Revision)
	}
	return nil
}

func id(n int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(n)) }

func stepKey(applyID int64, step int) []byte {
	return binary.BigEndian.AppendUint32(id(applyID), uint32(step))
}

func number(tx *bolt.Tx, key string) (int64, error) {
	raw, err := get(tx, metaBucket, []byte(key))
	return asNumber(raw, err, key)
}

func asNumber(raw []byte, err error, key string) (int64, error) {
	if err != nil || raw == nil {
		return 0, err
	}
	if len(raw) != 8 {
		return 0, fmt.Errorf("%w: %s is no number", ErrDamaged, key)
	}
	return int64(binary.BigEndian.Uint64(raw)), nil
}

// checksum binds a value to its place, so that what stands in the wrong one is damage too.
func checksum(bucket, key, value []byte) []byte {
	h := blake3.New()
	h.Write(bucket)
	h.Write([]byte{0})
	h.Write(key)
	h.Write([]byte{0})
	h.Write(value)
	return h.Sum(nil)[:sumLength]
}

func put(tx *bolt.Tx, bucket, key, value []byte) error {
	b := tx.Bucket(bucket)
	b.FillPercent = 0.9 // events come in the order of their keys
	return b.Put(key, append(bytes.Clone(value), checksum(bucket, key, value)...))
}

// get reads a value, which is valid until the transaction ends; nil if there is none.
func get(tx *bolt.Tx, bucket, key []byte) ([]byte, error) {
	raw := tx.Bucket(bucket).Get(key)
	if raw == nil {
		return nil, nil
	}
	n := len(raw) - sumLength
	if n < 0 || !bytes.Equal(raw[n:], checksum(bucket, key, raw[:n])) {
		return nil, fmt.Errorf("%w: the value of %s %x is not as it was written", ErrDamaged, bucket, key)
	}
	return raw[:n:n], nil
}

// values reads what this program wrote, and the checksum says that it is what was written: the library's bound of 131,072 elements is
// for what strangers send. A snapshot with more purges than that was once taken for damage.
var values = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // options of our own
	}
	return m
}()

func decode(raw []byte, v any) error {
	if err := values.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}
