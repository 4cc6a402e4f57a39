package routing

import (
	"hash/maphash"
	"time"
)

const (
	idFilterBits   = 1 << 22 // of one generation: half a megabyte
	idFilterHashes = 4
	bitsPerWord    = 64
)

// idFilter remembers request IDs for at least a period, in a fixed amount of memory. It never misses an ID that was added in time. It may
// report one that was not: about 1 in 100 of those, once a generation has 400,000 IDs. The memory is allocated with the first ID. It is not
// safe for concurrent use.
type idFilter struct {
	period    time.Duration
	seed      maphash.Seed
	current   []uint64 // nil: empty
	previous  []uint64 // likewise; the IDs of the period before
	rotatedAt time.Duration
}

func newIDFilter(period time.Duration) idFilter {
	return idFilter{period: period, seed: maphash.MakeSeed()}
}

// rotate drops the IDs that were added longer ago than the last two periods.
func (f *idFilter) rotate(now time.Duration) {
	switch age := now - f.rotatedAt; {
	case age < f.period:
		return
	case age < 2*f.period:
		f.previous = f.current
	default:
		f.previous = nil
	}
	f.current = nil
	f.rotatedAt = now
}

func (f *idFilter) add(id string, now time.Duration) {
	f.rotate(now)
	if f.current == nil {
		f.current = make([]uint64, idFilterBits/bitsPerWord)
	}
	for _, bit := range f.bits(id) {
		f.current[bit/bitsPerWord] |= 1 << (bit % bitsPerWord)
	}
}

func (f *idFilter) contains(id string, now time.Duration) bool {
	f.rotate(now)
	if f.current == nil && f.previous == nil {
		return false
	}
	bits := f.bits(id)
	return hasBits(f.current, bits) || hasBits(f.previous, bits)
}

// bits returns the bits that stand for an ID.
func (f *idFilter) bits(id string) (bits [idFilterHashes]uint32) {
	hash := maphash.String(f.seed, id)
	first, step := uint32(hash), uint32(hash>>32)|1
	for i := range bits {
		bits[i] = (first + uint32(i)*step) % idFilterBits
	}
	return bits
}

func hasBits(words []uint64, bits [idFilterHashes]uint32) bool {
	if words == nil {
		return false
	}
	for _, bit := range bits {
		if words[bit/bitsPerWord]&(1<<(bit%bitsPerWord)) == 0 {
			return false
		}
	}
	return true
}
